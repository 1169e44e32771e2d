//! Scheduling of a router's reads of the registry: when it reads itself, and how long a read may
//! take.
//!
//! Calls to a registry are expensive in a large fleet, so few routers of a data centre read it and
//! the others follow a peer. Each decides by itself, from the age of its freshness proof:
//!
//! - Readers, which read in normal operation, begin a read whenever their proof is as old as the
//!   read interval.
//! - Standbys read when the proof is older than it gets with a working peer. They are few, by rank,
//!   because most outages are those of the registry itself, and calls of all routers would gain
//!   nothing then.
//! - A router whose peers do not answer reads for itself. So does any router whose proof gets so
//!   old that it would soon exceed a promised bound.
//!
//! A slow registry still proves what it answers, as of the sending of the call. So a read may wait
//! for as long as its answer could prove something, and the next one begins before that on another
//! connection: a lost answer delays the proof only by a part of the read interval, and slow answers
//! overlap.

use indexmap::IndexMap;

use crate::units::{
    Millis,
    Time, //
};

/// Limit of the unanswered reads at the same time. An answer takes at most a few read intervals, or
/// it proves nothing any more.
const MAX_OPEN_READS: usize = 6;
/// Divisor of the read interval that gives the time after which an unanswered read is duplicated,
/// where answers usually come at once.
const HEDGE_INTERVAL_DIVISOR: u64 = 4;
/// Multiple of the usual answer latency after which a missing answer may be lost.
const HEDGE_LATENCY_FACTOR: u64 = 2;
/// Divisor of the read interval that gives the answer latency from which the registry counts as
/// slow. The calls that otherwise follow the first call of a read are then made at the same time as
/// it.
const SLOW_ANSWER_DIVISOR: u64 = 2;
/// Number of half read intervals after which a proof is older than it gets with a working peer. Two
/// and a half reads fit into the time within which a change must be in force; the rest of that time
/// is needed to pass on what standbys read.
const LATE_HALF_INTERVALS: u64 = 3;
/// Routers that read once the proof is late, including the first standbys, as a multiple of the
/// readers.
const FIRST_STANDBYS: usize = 2;
/// Routers that read at most, including all standbys, as a multiple of the readers.
pub(in crate::gateway) const ALL_STANDBYS: usize = 4;
/// Divisor of the read interval that gives the delay of the last standbys after the first.
const STANDBY_DELAY_DIVISOR: u64 = 4;
/// Number of quarter read intervals after which a router reads itself whatever its rank. No peer
/// has passed anything on to it, though it may reach the registry; otherwise it would act on
/// replaced routes for longer than promised. The rest of the promised time is for its own read.
const LAST_RESORT_QUARTER_INTERVALS: u64 = 11;
/// Divisor of the read interval that gives the proof age from which a router reads itself if a peer
/// has something newer that it does not pass on.
const WITHHELD_UPDATE_DIVISOR: u64 = 2;
/// Consecutive requests to peers without an answer after which a router reads for itself: it is cut
/// off from its peers, but perhaps not from the registry.
const ISOLATION_THRESHOLD: u32 = 2;
/// Upper limit of the time that a read waits for an answer, even if the answer would prove
/// something later.
const MAX_ANSWER_TIMEOUT: Millis = Millis(10_000);
/// Minimum pause after a failed read; it doubles with each further failure.
const MIN_RETRY_PAUSE: Millis = Millis(150);
/// Maximum pause between failing reads of a reader.
const MAX_READER_PAUSE: Millis = Millis(300);
/// Maximum pause between failing reads of a router that cannot ask peers because it has no
/// configuration yet, or whose peers have something newer that they do not pass on. After a loss of
/// all routers all of them are in this state, and the registry would receive the calls of each
/// during an outage.
const MAX_NEWCOMER_PAUSE: Millis = Millis(600);
/// Maximum time from a peer's refusal to serve a version as old as the router's to its own read. The
/// reads are spread over it: all that follow one peer are refused together.
const MAX_REFUSED_DELAY: Millis = Millis(300);
/// Maximum pause between failing reads of a standby.
const MAX_STANDBY_PAUSE: Millis = Millis(2400);
/// Minimum time between the beginnings of two reads on demand. Requests that need one meanwhile share the next one.
const MIN_DEMAND_INTERVAL: Millis = Millis(50);
/// Time for which a read on demand is repeated where reads fail; what has asked for it has given up by then.
const DEMAND_TTL: Millis = Millis(1000);
/// Consecutive failed reads after which the registry counts as lost: a single one may have been lost by the network.
pub const FAILURES_UNTIL_LOST: u32 = 2;
/// Maximum time until the decision is made again.
const MAX_DECISION_INTERVAL: Millis = Millis(500);

/// `ReadTiming` is how often the registry is read, and how long an answer proves something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadTiming {
    /// Time between reads.
    pub interval: Millis,
    /// Time from the sending of a read within which its answer proves something.
    pub validity: Millis,
}

/// `ReadContext` is the state of a router on which its reads depend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadContext {
    /// Whether it has a configuration; without one it cannot ask peers.
    pub has_configuration: bool,
    /// Number of routers of its data centre that come before it as readers.
    pub rank: usize,
    /// Number of routers of its data centre that read in normal operation.
    pub readers: usize,
    /// Age of its freshness proof; `None` before the first read.
    pub age: Option<Millis>,
}

/// `Role` is the part that a router has in reading the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// It has no configuration yet.
    Newcomer,
    /// It reads for its data centre.
    Reader,
    /// It follows a peer, and reads only where the peer has nothing newer.
    Standby,
}

impl ReadTiming {
    /// Returns the age from which a proof is older than it gets with a working peer.
    pub const fn late(&self) -> Millis {
        Millis(self.interval.0 * LATE_HALF_INTERVALS / 2)
    }
}

impl ReadContext {
    /// Tells whether the router reads in normal operation.
    pub const fn reads(&self) -> bool {
        self.rank < self.readers
    }

    /// Returns the router's role.
    pub const fn role(&self) -> Role {
        match (self.has_configuration, self.reads()) {
            (false, _) => Role::Newcomer,
            (true, true) => Role::Reader,
            (true, false) => Role::Standby,
        }
    }
}

/// `ReadId` identifies a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReadId(u64);

/// `ReadScheduler` decides when a router reads the registry, and keeps track of its reads.
#[derive(Debug, Default)]
pub struct ReadScheduler {
    open: IndexMap<ReadId, OpenRead>,
    last_id: u64,
    /// When the newest read began.
    began: Time,
    /// Answer latency of the newest read that was answered.
    answer_latency: Option<Millis>,
    /// Consecutive reads that failed.
    failures: u32,
    /// Earliest time of the next read after a failure.
    not_before: Time,
    /// The same where no peer passes on what the router lacks.
    not_before_unaided: Time,
    /// Consecutive requests that no peer answered.
    unanswered: u32,
    /// Whether a peer has something newer that is too large to be passed on.
    peer_withheld_update: bool,
    /// When to read because a peer refuses to serve a version as old as the router's; it holds until
    /// a read or a peer has brought a newer state.
    refused_as_old: Option<Time>,
    /// When the state was last asked for as of that time.
    demanded: Option<Time>,
    /// When the newest read that is complete began.
    completed: Time,
}

#[derive(Clone, Copy, Debug)]
struct OpenRead {
    began: Time,
    /// Whether its answer has begun to arrive.
    answered: bool,
}

impl ReadScheduler {
    /// Returns when the next read is to begin, as far as it can be told now; no later than the time
    /// at which this must be asked again.
    pub fn due(&self, now: Time, context: &ReadContext, timing: &ReadTiming) -> Time {
        let later = now + MAX_DECISION_INTERVAL;
        // Another read would take half of the link's bandwidth from a read whose answer is
        // arriving.
        let answer_arriving = self.open.values().any(|open| open.answered);
        if answer_arriving || self.open.len() >= MAX_OPEN_READS {
            return later;
        }
        let hedge = match self.open.len() {
            0 => Time(0),
            open => self.began + self.hedge_delay(open, timing),
        };
        let demanded = self.demanded.filter(|at| self.completed <= *at);
        let demanded = demanded.filter(|at| now.since(*at) < DEMAND_TTL);
        let demanded = demanded.map(|at| (at + Millis(1)).max(self.began + MIN_DEMAND_INTERVAL));
        let needed_at = self.needed_at(now, context, timing);
        let needed_at = self
            .refused_as_old
            .map_or(needed_at, |at| at.min(needed_at));
        let needed_at = demanded.map_or(needed_at, |at| at.min(needed_at));
        needed_at.max(hedge).max(self.retry_at()).min(later)
    }

    /// Returns the earliest time of the next read after a failure.
    fn retry_at(&self) -> Time {
        if self.peer_withheld_update || self.refused_as_old.is_some() {
            self.not_before_unaided
        } else {
            self.not_before
        }
    }

    /// Returns when the proof will be old enough for this router to read itself.
    fn needed_at(&self, now: Time, context: &ReadContext, timing: &ReadTiming) -> Time {
        let Some(age) = context.age else {
            return now;
        };
        let proved = now - age;
        let interval = timing.interval;
        let late = timing.late();
        if self.peer_withheld_update {
            return proved + Millis(interval.0 / WITHHELD_UPDATE_DIVISOR);
        }
        if !context.has_configuration {
            return self.began + interval;
        }
        let isolated = self.unanswered >= ISOLATION_THRESHOLD;
        let rank = context.rank;
        let wait = if context.reads() {
            interval
        } else if isolated || rank < context.readers * FIRST_STANDBYS {
            late
        } else if rank < context.readers * ALL_STANDBYS {
            late + Millis(interval.0 / STANDBY_DELAY_DIVISOR)
        } else {
            Millis(interval.0 * LAST_RESORT_QUARTER_INTERVALS / 4)
        };
        proved + wait
    }

    /// Returns the time from the beginning of the newest of `open` unanswered reads to the next
    /// read.
    fn hedge_delay(&self, open: usize, timing: &ReadTiming) -> Millis {
        let interval = timing.interval.0;
        let first_delay = self.answer_latency.map_or(interval, |answer_latency| {
            (answer_latency.0 * HEDGE_LATENCY_FACTOR).max(interval / HEDGE_INTERVAL_DIVISOR)
        });
        let doublings = u32::try_from(open - 1).unwrap_or(u32::MAX).min(16);
        // Where answers take nearly as long as they prove something, reads follow more closely on
        // each other.
        let long = self
            .answer_latency
            .is_some_and(|a| a + timing.interval > timing.validity);
        let most = if long {
            interval / SLOW_ANSWER_DIVISOR
        } else {
            interval
        };
        Millis((first_delay << doublings).min(most))
    }

    /// Asks for a read that begins after `now`, whatever the age of the proof.
    pub fn demand(&mut self, now: Time) {
        self.demanded = self.demanded.max(Some(now));
    }

    /// Tells whether no read begins for a while, as several have failed.
    pub fn rests(&self, now: Time) -> bool {
        self.failures >= FAILURES_UNTIL_LOST && now < self.retry_at()
    }

    /// Begins a read.
    pub fn begin(&mut self, now: Time) -> ReadId {
        self.last_id += 1;
        self.began = now;
        self.peer_withheld_update = false;
        let id = ReadId(self.last_id);
        let open = OpenRead {
            began: now,
            answered: false,
        };
        self.open.insert(id, open);
        id
    }

    /// Tells whether the calls of a read that begins now are to be made at the same time, because
    /// answers are so slow, or seem to be, that sequential calls would prove too little.
    pub fn calls_in_parallel(&self, now: Time, timing: &ReadTiming) -> bool {
        let slow = Millis(timing.interval.0 / SLOW_ANSWER_DIVISOR);
        let late = Millis(timing.interval.0 / HEDGE_INTERVAL_DIVISOR);
        let waits_long = |open: &OpenRead| !open.answered && now.since(open.began) >= late;
        self.answer_latency
            .is_some_and(|answer_latency| answer_latency >= slow)
            || self.open.values().any(waits_long)
    }

    /// Returns how long a read may wait for an answer: as long as the answer could prove something.
    pub fn answer_timeout(timing: &ReadTiming) -> Millis {
        timing.validity.min(MAX_ANSWER_TIMEOUT)
    }

    /// Returns the present answer latency; zero before the first answer.
    pub fn usual_latency(&self) -> Millis {
        self.answer_latency.unwrap_or_default()
    }

    /// Records that the answer to a read has begun to arrive.
    pub fn answer_started(&mut self, now: Time, id: ReadId) {
        if let Some(open) = self.open.get_mut(&id)
            && !open.answered
        {
            open.answered = true;
            self.answer_latency = Some(now.since(open.began));
        }
    }

    /// Records that a read is complete; returns the reads that began before it, whose answers are
    /// lost or prove nothing newer.
    pub fn whole(&mut self, id: ReadId) -> Vec<ReadId> {
        self.failures = 0;
        self.peer_withheld_update = false;
        self.refused_as_old = None;
        self.not_before = Time(0);
        self.not_before_unaided = Time(0);
        let Some(ended) = self.open.swap_remove(&id) else {
            return Vec::new();
        };
        self.completed = self.completed.max(ended.began);
        let older = self.open.iter().filter(|(_, o)| o.began <= ended.began);
        let older: Vec<ReadId> = older.map(|(id, _)| *id).collect();
        for id in &older {
            self.open.swap_remove(id);
        }
        older
    }

    /// Records that a read failed; returns the number of consecutive failures. The pause until the
    /// next read is spread by `draw`, so that routers that failed together do not call together.
    ///
    /// A read that a later one has made unnecessary does not count.
    pub fn failed(&mut self, now: Time, id: ReadId, context: &ReadContext, draw: u64) -> u32 {
        if self.open.swap_remove(&id).is_none() {
            return self.failures;
        }
        self.failures = self.failures.saturating_add(1);
        let most = match context.role() {
            Role::Newcomer => MAX_NEWCOMER_PAUSE,
            Role::Reader => MAX_READER_PAUSE,
            Role::Standby => MAX_STANDBY_PAUSE,
        };
        let doubled = Millis(MIN_RETRY_PAUSE.0 << self.failures.min(8));
        let retry_at = |most: Millis| {
            let pause = doubled.min(most).0;
            now + Millis(pause / 2 + draw % (pause / 2 + 1))
        };
        self.not_before = retry_at(most);
        self.not_before_unaided = retry_at(most.min(MAX_NEWCOMER_PAUSE));
        self.failures
    }

    /// Returns the number of consecutive failed reads.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records that a peer answered a request, even if only that it has nothing newer.
    pub fn peer_answered(&mut self) {
        self.unanswered = 0;
    }

    /// Records that a peer did not answer a request.
    pub fn peer_silent(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Records that a peer has something newer that it does not pass on.
    pub fn peer_withheld_update(&mut self) {
        self.peer_withheld_update = true;
    }

    /// Records that a peer refuses to serve a version as old as the router's.
    pub fn peer_refused_as_old(&mut self, now: Time, draw: u64) {
        let at = now + Millis(draw % (MAX_REFUSED_DELAY.0 + 1));
        self.refused_as_old.get_or_insert(at);
    }

    /// Records that a peer has brought a newer state.
    pub fn peer_updated(&mut self) {
        self.unanswered = 0;
        self.refused_as_old = None;
    }
}
