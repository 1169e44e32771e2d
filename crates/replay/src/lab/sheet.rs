//! What an experiment plays: a deployment, its load, and what happens to it.

use crate::lab::engine::Shape;

/// `Kind` is one kind of request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    /// Requests a second.
    pub rate: f64,
    /// Sessions among which its requests are drawn alike.
    pub sessions: u64,
    /// Mean tokens of the part that a session's requests share.
    pub shared: u32,
    /// Mean tokens of a request's own.
    pub own: u32,
    /// Mean tokens that an answer has.
    pub output: u32,
    /// Time to the first event within which an answer is on time, in milliseconds.
    pub goal: u64,
}

/// `Trouble` is one thing that happens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// A kind comes `times` as often.
    Burst {
        /// Which kind.
        kind: usize,
        /// How often.
        times: f64,
    },
    /// A part of a kind's requests is of one session.
    Hot {
        /// Which kind.
        kind: usize,
        /// Which part.
        share: f64,
    },
    /// A request that ends each engine that begins to run it comes again and again, at any router.
    Fatal {
        /// Milliseconds between two of its repeats.
        every: u64,
        /// Milliseconds until an ended engine is back, under a new name.
        down: u64,
    },
    /// Requests with one part in their prompts, and nothing else in common, end each engine that begins to run one.
    FatalPart {
        /// Milliseconds between two of them, at any router.
        every: u64,
        /// Milliseconds until an ended engine is back, under a new name.
        down: u64,
    },
    /// A part of the engines turns all requests away.
    Shed {
        /// Which part.
        share: f64,
        /// Milliseconds for which such an engine asks for no requests; 0 if it does not ask.
        back_off: u64,
    },
    /// A part of the engines says in all answers that it leaves; the registry does not.
    Leaves {
        /// Which part.
        share: f64,
    },
    /// A part of the engines drains from the beginning and is gone at the end; each router reads of either within half a
    /// second.
    ScaleIn {
        /// Which part.
        share: f64,
    },
    /// Engines say in all answers that they are brittle, let fewer requests wait from some time on, and crash when
    /// they have to turn too many away.
    Brittle {
        /// Requests that may wait at an engine.
        room: u32,
        /// Milliseconds after the beginning from which only so many may.
        notice: u64,
        /// Requests that an engine may turn away within a second.
        limit: u32,
        /// Whether they say so.
        stated: bool,
        /// Milliseconds until a crashed engine is back, under a new name.
        down: u64,
    },
    /// All engines state their slowdown with their load, so that routers take speeds to vary.
    Stated,
    /// Work takes another time at a part of the engines.
    Slow {
        /// Which part.
        share: f64,
        /// Thousandths of the usual time that work takes there.
        slowdown: u32,
    },
    /// One router hears no digests, and nobody hears its own.
    CutOff {
        /// Which router.
        router: usize,
    },
    /// Each of so many routers hears no digests, and nobody hears theirs.
    CutOffMany {
        /// How many.
        routers: usize,
    },
    /// One router is lost with all that it has under way, and starts again, knowing nothing, at the end; its callers go
    /// to others.
    RouterLost {
        /// Which router.
        router: usize,
    },
    /// A part of the requests comes to one router, beside its share of the others.
    Crowded {
        /// Which router.
        router: usize,
        /// Which part.
        share: f64,
    },
    /// Digests arrive so many milliseconds late.
    LateDigests {
        /// Milliseconds.
        by: u64,
    },
    /// No query, estimate or note arrives between routers.
    SilentKeepers,
    /// Queries, estimates and notes arrive so many milliseconds late.
    LateQueries {
        /// Milliseconds.
        by: u64,
    },
    /// All routers are lost at the beginning, and start again, knowing nothing, at the end.
    Lost,
}

/// `Span` is when a trouble lasts, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// Its beginning.
    pub from: u64,
    /// Its end.
    pub to: u64,
    /// What happens.
    pub trouble: Trouble,
}

/// `Placement` is who chooses the engines of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The routers.
    Routers,
    /// The routers, and one decision in so many is compared with the best one.
    Compared(usize),
    /// An oracle that knows the state of all engines, and nothing of what will come.
    Oracle,
}

/// `Sheet` is a whole experiment but for its seed.
#[derive(Clone, Debug, PartialEq)]
pub struct Sheet {
    /// Routers.
    pub routers: usize,
    /// Engines.
    pub engines: usize,
    /// What they are like.
    pub shape: Shape,
    /// Kinds of request.
    pub kinds: Vec<Kind>,
    /// Troubles.
    pub troubles: Vec<Span>,
    /// Milliseconds that are played.
    pub length: u64,
    /// Milliseconds for which requests that crash engines are held back at first; 0 holds nothing back.
    pub hold: u64,
    /// Whether routers tell each other of engines that ask for pauses.
    pub tells_back_offs: bool,
    /// Whether routers ask each other for prefill backlogs.
    pub asks_keepers: bool,
    /// Who chooses the engines of requests.
    pub placement: Placement,
}

impl Sheet {
    /// Lists the troubles at a time.
    pub fn at(&self, now: u64) -> impl Iterator<Item = Trouble> {
        let during = move |s: &&Span| (s.from..s.to).contains(&now);
        self.troubles.iter().filter(during).map(|s| s.trouble)
    }
}
