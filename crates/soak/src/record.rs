//! What is noted during a run, for the judges. Times are milliseconds of the clock that all processes
//! share.

use std::collections::BTreeMap;

use serde::Serialize;
use toucanturn_platform_standin::replica::RequestEvent;

/// `Kind` is a route of the published configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::EnumIter, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// May run once.
    Once,
    /// May run again.
    Read,
    /// A stream that another endpoint may go on with.
    Chat,
    /// A stream that may run once.
    Talk,
}

impl Kind {
    /// Tells whether its answer is a stream.
    pub const fn streams(self) -> bool {
        matches!(self, Kind::Chat | Kind::Talk)
    }

    /// Gets how many endpoints it may be sent to.
    pub const fn attempts(self) -> usize {
        match self {
            Kind::Once | Kind::Talk => 1,
            Kind::Read => 2,
            Kind::Chat => 3,
        }
    }
}

/// `Call` is a request as its caller saw it.
#[derive(Clone, Debug, Serialize)]
pub struct Call {
    /// Its id.
    pub id: String,
    /// Its route.
    pub kind: Kind,
    /// What it is for; repeats of the same content have the same.
    pub item: String,
    /// Number of its key.
    pub key: usize,
    /// Router that it was sent to.
    pub router: usize,
    /// Which process of that router.
    pub life: u32,
    /// When its first byte went out.
    pub sent: u64,
    /// When its answer ended.
    pub ended: u64,
    /// Its status; 0 where none came.
    pub status: u16,
    /// Whether the answer came to its proper end.
    pub whole: bool,
    /// Its body, as far as it came.
    pub body: String,
    /// Whether the caller gave up waiting, or broke the connection itself.
    pub gave_up: bool,
    /// Request that began the stream which this one takes up, and the last event that had come.
    pub resumes: Option<(String, u64)>,
}

impl Call {
    /// Gets the last event that its caller had before it.
    pub fn after(&self) -> u64 {
        self.resumes.as_ref().map_or(0, |(_, after)| *after)
    }
}

/// `Key` is a key that a configuration lists or listed.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Key {
    /// When it was published.
    pub since: u64,
    /// When it was taken away.
    pub revoked: Option<u64>,
}

/// `Target` is what a fault comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Target {
    /// A router's process, killed and started again: what it knows is new then.
    Router(usize),
    /// A router's process, suspended: it may not have heard what was published.
    Paused(usize),
    /// An endpoint or the link before it.
    Replica(usize),
    /// The store.
    Store,
    /// A router's link to the store.
    Link(usize),
    /// A router's way to its peers.
    Peers(usize),
    /// What comes to an endpoint is held up on its way, and arrives together.
    HeldUp(usize),
    /// All links: the soak's own process, which forwards for them, did not run.
    Links,
}

/// `Span` is a fault from its beginning to when its effects are over.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Span {
    /// What it came to.
    pub target: Target,
    /// When it began.
    pub from: u64,
    /// When it was over.
    pub to: u64,
}

/// `Leaving` is an endpoint whose entry said that it is leaving.
#[derive(Clone, Debug, Serialize)]
pub struct Leaving {
    /// The endpoint's name.
    pub replica: String,
    /// When it was published.
    pub at: u64,
}

/// `Evacuation` is a data centre that was to get nothing.
#[derive(Clone, Debug, Serialize)]
pub struct Evacuation {
    /// Its name.
    pub data_center: String,
    /// When that was published.
    pub from: u64,
    /// When it was restored; `None` while it is not.
    pub to: Option<u64>,
}

/// `Cold` is the time for which an endpoint tolerates few requests.
#[derive(Clone, Debug, Serialize)]
pub struct Cold {
    /// The endpoint's name.
    pub replica: String,
    /// When it began.
    pub from: u64,
    /// When it ended.
    pub to: u64,
}

/// `Start` is a start of a router's process.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Start {
    /// Which router.
    pub router: usize,
    /// When.
    pub at: u64,
}

/// `Kill` is a kill of one router or several at once.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Kill {
    /// When.
    pub at: u64,
    /// Whether all routers were killed.
    pub all: bool,
}

/// `Release` is a release of a software version.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Release {
    /// When the first endpoint of the version was started.
    pub from: u64,
    /// When the last endpoint was replaced; `None` while some are not.
    pub to: Option<u64>,
}

/// `Phase` is what goes on as a stream is taken up; of several, the last one counts.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    strum::EnumIter,
    strum::Display,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Nothing of the following.
    Calm,
    /// Software versions change.
    Release,
    /// The router was suspended, or cut off from its peers or the store.
    OutOfStep,
    /// A router was killed since the stream began, or shortly before.
    SomeKilled,
    /// All routers were.
    AllKilled,
}

/// `TakeUps` counts streams that callers take up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TakeUps {
    /// Requests that take a stream up.
    pub sent: usize,
    /// Those that went on.
    pub going: usize,
    /// Those that were refused and have not run.
    pub refused: usize,
    /// Those that went on at another software version.
    pub joined: usize,
}

/// `Member` is an endpoint's process.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// The endpoint's name.
    pub replica: String,
    /// When it began to listen.
    pub from: u64,
    /// When it ended; `None` while it has not.
    pub to: Option<u64>,
    /// Version of its software.
    pub build: String,
}

/// `Record` is all of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Record {
    /// Requests, in the order of their ends.
    pub calls: Vec<Call>,
    /// What endpoints saw, in the order of their words.
    pub notes: Vec<RequestEvent>,
    /// Keys by number.
    pub keys: Vec<Key>,
    /// Faults.
    pub spans: Vec<Span>,
    /// Starts of routers.
    pub starts: Vec<Start>,
    /// Endpoints' processes.
    pub members: Vec<Member>,
    /// Kills of routers.
    pub kills: Vec<Kill>,
    /// Releases.
    pub releases: Vec<Release>,
    /// Endpoints that left.
    pub leaving: Vec<Leaving>,
    /// Evacuations.
    pub evacuations: Vec<Evacuation>,
    /// Endpoints that were cold.
    pub cold: Vec<Cold>,
    /// What went wrong with a process: an end of its own, a stop that cut or took too long.
    pub processes: Vec<String>,
    /// What was not served when all faults were over.
    pub unrecovered: Vec<String>,
    /// Streams that were taken up, counted when the run is over.
    pub take_ups: BTreeMap<Phase, TakeUps>,
}

impl Target {
    /// Tells whether it keeps a router from hearing what is published; `None` for any router.
    pub fn blinds(self, router: Option<usize>) -> bool {
        match self {
            Target::Store => true,
            Target::Paused(n) | Target::Link(n) => router.is_none_or(|router| router == n),
            Target::Router(_)
            | Target::Replica(_)
            | Target::Peers(_)
            | Target::HeldUp(_)
            | Target::Links => false,
        }
    }
}

impl Record {
    /// Tells whether a fault of some target overlaps a time.
    pub fn faulty(&self, from: u64, to: u64, of: impl Fn(Target) -> bool) -> bool {
        let hit = |span: &&Span| span.from <= to && span.to >= from && of(span.target);
        self.spans.iter().any(|span| hit(&span))
    }
}
