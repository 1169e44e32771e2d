//! Fleet-wide limits of workspaces, though each router sees a sliver of the traffic.
//!
//! Each workspace has a home router (rendezvous over the fleet) that holds its one token bucket;
//! the others ask it for grants ([`peer::Message::Ask`]) in batches sized by their own recent
//! demand, and admit from what they were granted. A call waits for a grant at most [`MAX_WAIT`];
//! then the router's static share of the limit decides.
//!
//! When a home cannot be reached, the next in rendezvous order takes over with a nearly empty
//! bucket, once a further router agrees. A router that is asked but is not the home passes on what it gets from the home itself,
//! so that a lost path between two routers costs time, not requests. After a change of the fleet
//! the old home goes on until it has followed the change itself, and passes on questions then.
//!
//! docs/design/limits.md weighs this against other ways.
//!
//! [`peer::Message::Ask`]: crate::peer::Message::Ask

use indexmap::IndexMap;
use slotmap::SecondaryMap;

use crate::{
    arena::{
        RouterKey,
        WorkspaceKey, //
    },
    config::{
        Config,
        Limit,
        Priority, //
    },
    ids::{
        Tag,
        rendezvous, //
    },
    request::Call,
    units::{
        Millis,
        Time, //
    },
};

mod bucket;
mod demand;
mod entry;
mod grant;
mod homes;
mod row;
mod share;

pub use bucket::{
    ASKS_PER_S,
    CAUTION,
    GRANT_TTL,
    HOME_CAUTION,
    MAX_RETRY,
    MIN_RETRY, //
};
pub use homes::{
    ALLOWANCE,
    DOWN_FOR,
    HANDOVER,
    SILENT_INTERVALS, //
};
pub use share::MAX_LOTS;

pub(crate) use demand::Demand;

use homes::Homes;
use row::{
    Pending,
    Row, //
};

/// Longest time that a call waits for a grant (up to a tick later).
pub const MAX_WAIT: Millis = Millis(100);
/// Most calls that wait at one router; at the bound further ones are refused.
pub const MAX_WAITING: usize = 4096;
/// Most calls of one workspace that wait at one router; at the bound further ones are refused.
pub const MAX_WAITING_WORKSPACE: usize = 1024;
/// Length of demand that a grant is to cover.
pub const BATCH: Millis = Millis(500);
/// Length of demand at which the next grant is asked for ahead.
pub const LOW_WATER: Millis = Millis(100);
/// Time after which an unanswered question is asked again, at least.
pub const ASK_AGAIN: Millis = Millis(50);
/// Questions without an answer after which the next router in order is asked.
pub const MAX_ASKS: u32 = 3;
/// When to come back to a router that has to ask the home itself.
pub const RELAY_RETRY: Millis = Millis(20);
/// Time between two signs of life that a substitute asks of the published home.
pub const PROBE: Millis = Millis(250);
/// Time over which the returns of refused callers are spread.
pub const SPREAD: Millis = Millis(1000);
/// Time after which a workspace without requests is forgotten here.
pub const IDLE: Millis = Millis(10_000);

/// `Ask` is one request that asks to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// This router, `None` while it is not in the fleet list.
    pub me: Option<RouterKey>,
    /// The call.
    pub call: Call,
    /// The workspace it is charged to.
    pub workspace: WorkspaceKey,
    /// Its priority.
    pub priority: Priority,
}

/// `Verdict` is what admission says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Admitted.
    Admit,
    /// It waits for the home's grant; [`Limits::granted`] or [`Limits::tick`] says more.
    Wait,
    /// Over the limit; come back later.
    Refuse {
        /// When to come back.
        retry_after: Millis,
    },
}

/// `Outgo` is what the limits want sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outgo {
    /// Ask a workspace's home.
    Ask {
        /// The home.
        home: RouterKey,
        /// The workspace.
        workspace: WorkspaceKey,
        /// Requests wanted.
        want: u32,
        /// Number of the question.
        nonce: u64,
    },
    /// A waiting call was decided.
    Decided {
        /// The call.
        call: Call,
        /// [`Verdict::Admit`] or [`Verdict::Refuse`].
        verdict: Verdict,
    },
}

/// `Question` is what a peer asks of this router as a workspace's home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Question {
    /// This router, `None` while it is not in the fleet list.
    pub me: Option<RouterKey>,
    /// The peer.
    pub from: RouterKey,
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Requests wanted.
    pub want: u32,
}

/// `Role` is this router's part in a workspace's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// It holds the bucket.
    Home,
    /// It asks this router, `None` when there is none to ask.
    Entry(Option<RouterKey>),
}

/// `Limits` holds this router's buckets as a home and its shares as an entry.
#[derive(Debug, Default)]
pub struct Limits {
    rows: SecondaryMap<WorkspaceKey, Row>,
    homes: Homes,
    waiting: IndexMap<Call, WorkspaceKey>,
    nonce: u64,
    me: Option<RouterKey>,
}

/// `Scene` is what a decision about one workspace looks at.
#[derive(Clone, Copy)]
struct Scene {
    now: Time,
    me: Option<RouterKey>,
    workspace: WorkspaceKey,
    tag: Tag,
    limit: Limit,
}

impl Scene {
    fn new(
        now: Time,
        config: &Config,
        me: Option<RouterKey>,
        workspace: WorkspaceKey,
    ) -> Option<Self> {
        let published = config.workspaces.get(workspace)?;
        Some(Self {
            now,
            me,
            workspace,
            tag: published.tag,
            limit: published.limit,
        })
    }
}

impl Limits {
    /// Follows a new configuration.
    pub fn apply(&mut self, now: Time, config: &Config) {
        self.rows
            .retain(|key, _| config.workspaces.get(key).is_some());
        let moved = self.homes.moved();
        self.homes.apply(now, config);
        let stays = |p: &Pending| config.fleet.get(p.home).is_some();
        for row in self.rows.values_mut() {
            row.handed &= self.homes.moved() == moved;
            row.pending = row.pending.filter(stays);
        }
    }

    /// Notes that a router cannot be reached. What waits for its answer asks the next in order.
    pub fn failed(
        &mut self,
        now: Time,
        config: &Config,
        me: Option<RouterKey>,
        router: RouterKey,
        out: &mut Vec<Outgo>,
    ) {
        if Some(router) == me {
            return;
        }
        self.homes.failed(now, router);
        for key in self.rows.keys().collect::<Vec<_>>() {
            let Some(row) = self.rows.get_mut(key) else {
                continue;
            };
            // What a router said of its bucket ends with the bucket.
            if row.refuser == Some(router) {
                row.refuse_until = now;
            }
            if row.pending.is_none_or(|p| p.home != router) {
                continue;
            }
            row.pending = None;
            if let Some(scene) = Scene::new(now, config, me, key) {
                self.ask_for_waiting(scene, out);
            }
        }
    }

    /// Notes that a router was heard, so that it can be asked again.
    pub fn heard(&mut self, router: RouterKey) {
        self.homes.heard(router);
    }

    /// Forgets a waiting call whose caller went away.
    pub fn gone(&mut self, call: Call) {
        let Some(workspace) = self.waiting.swap_remove(&call) else {
            return;
        };
        if let Some(row) = self.rows.get_mut(workspace) {
            row.waiting.retain(|w| w.call != call);
        }
    }

    /// Lets time pass.
    pub fn tick(
        &mut self,
        now: Time,
        config: &Config,
        me: Option<RouterKey>,
        out: &mut Vec<Outgo>,
    ) {
        self.homes.tick(now);
        self.tick_pending(now, out);
        for key in self.rows.keys().collect::<Vec<_>>() {
            let Some(scene) = Scene::new(now, config, me, key) else {
                continue;
            };
            self.ask_for_waiting(scene, out);
            self.tick_waiting(scene, out);
            self.tick_probe(scene, out);
        }
        self.rows.retain(|_, row| !row.is_idle(now));
    }

    /// Gets the number of calls that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

fn row(rows: &mut SecondaryMap<WorkspaceKey, Row>, scene: Scene) -> Option<&mut Row> {
    Some(rows.entry(scene.workspace)?.or_default())
}

/// Refuses a call; the time to come back is spread by the call's number, so that callers refused
/// together do not return together.
fn refuse(router: Option<RouterKey>, call: Call, after: Millis) -> Verdict {
    let router = slotmap::Key::data(&router.unwrap_or_default()).as_ffi();
    let tag = Tag(u32::try_from(call.0 & u64::from(u32::MAX)).unwrap_or_default());
    let jitter = rendezvous(router, tag) % SPREAD.0;
    Verdict::Refuse {
        retry_after: Millis(after.0 + jitter),
    }
}
