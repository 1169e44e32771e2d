//! When a router reads the registry itself, and how long a read may take.
//!
//! Calls to a registry are dear in a large fleet, so one router of a data centre reads it and the others
//! follow a peer. Each decides by itself, from the age of what it can prove:
//!
//! - Those that read in calm times begin a read whenever their proof is as old as the time between reads.
//! - Standbys read when the proof is older than a peer that works would let it grow. They are few, by rank, as
//!   most outages are those of the registry itself, where the calls of all would gain nothing.
//! - A router that no peer answers reads for itself, and so does any that has had nothing for so long that it would
//!   break a promise.
//!
//! A registry that is slow still proves what it answers, as of the sending. So a read has as long as its answer
//! could prove something, and the next one begins before that on another connection: an answer that was lost
//! delays the proof by a part of the time between reads alone, and slow answers overlap.

use indexmap::IndexMap;

use crate::units::{
    Millis,
    Time, //
};

/// Reads without an answer at the same time. An answer takes several times the pace at most, or it proves
/// nothing any more.
const MAX_OPEN: usize = 6;
/// Part of the time between reads after which a read without an answer is doubled, where answers usually come
/// at once.
const HEDGE_PART: u64 = 4;
/// Times the usual time of an answer after which one that is missing may be lost.
const HEDGE_ANSWERS: u64 = 2;
/// Part of the time between reads from which on an answer's time is long: what follows from the first call of a
/// read is then asked for at the same time.
const SLOW_PART: u64 = 2;
/// Halves of the time between reads at which what is proved is older than a peer that works lets it grow. Two reads
/// and a half fit into the time in which a change is promised to be in force; what standbys read must get round in
/// what is left of it.
const LATE_HALVES: u64 = 3;
/// Times the readers that read then, with the first standbys.
const FIRST_STANDBYS: usize = 2;
/// Times the readers that read at most, with all standbys.
pub(super) const ALL_STANDBYS: usize = 4;
/// Part of the time between reads by which the last standbys are later than the first.
const STANDBY_STEP_PART: u64 = 4;
/// Quarters of the time between reads after which a router reads by itself whatever its rank. Nobody has handed
/// anything on to it, though it may reach the registry: without this, it would act on routes that have been replaced for
/// longer than is promised. What is left of the promise is for its own read.
const LAST_QUARTERS: u64 = 11;
/// Part of the time between reads for which what is proved is young enough where a peer has something newer that
/// it doesn't hand on.
const OWED_PART: u64 = 2;
/// Asks in a row without an answer of a peer after which a router reads for itself: it is cut off from its peers,
/// and may not be from the registry.
const ALONE: u32 = 2;
/// Longest patience for an answer, however long it would prove something.
const MAX_PATIENCE: Millis = Millis(10_000);
/// Shortest pause after a read that failed; it doubles.
const AGAIN: Millis = Millis(150);
/// Longest pause between reads that fail, of a router that reads for others.
const READER_PAUSE: Millis = Millis(300);
/// The same of one that can't ask peers, as it knows no configuration yet. After a loss of all routers all
/// of them are in this state, and an outage would meet the calls of each.
const START_PAUSE: Millis = Millis(600);
/// The same of a standby.
const STANDBY_PAUSE: Millis = Millis(2400);
/// Longest time until the decision is looked at again.
const LOOK: Millis = Millis(500);

/// `ReadTiming` is how often the registry is read, and how long an answer proves something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadTiming {
    /// Time between reads.
    pub interval: Millis,
    /// Time after its sending for which a read's answer proves something.
    pub validity: Millis,
}

/// `ReadContext` is where a router stands among those that may read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadContext {
    /// Whether a configuration is known; peers can't be asked without one.
    pub has_configuration: bool,
    /// Routers of its data centre that come before it.
    pub rank: usize,
    /// Routers of its data centre that read in calm times.
    pub readers: usize,
    /// Age of what it can prove; `None` before the first read.
    pub age: Option<Millis>,
}

/// `Role` is the part that a router has in reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// It knows no configuration yet.
    Newcomer,
    /// It reads for its data centre.
    Reader,
    /// It follows a peer, and reads only where that has nothing newer.
    Standby,
}

impl ReadTiming {
    /// Gets the age from which on what is proved is older than a peer that works lets it grow.
    pub const fn late(&self) -> Millis {
        Millis(self.interval.0 * LATE_HALVES / 2)
    }
}

impl ReadContext {
    /// Tells whether it reads in calm times.
    pub const fn reads(&self) -> bool {
        self.rank < self.readers
    }

    /// Gets its role.
    pub const fn role(&self) -> Role {
        match (self.has_configuration, self.reads()) {
            (false, _) => Role::Newcomer,
            (true, true) => Role::Reader,
            (true, false) => Role::Standby,
        }
    }
}

/// `ReadId` is that of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReadId(u64);

/// `ReadScheduler` is the reads of one router.
#[derive(Debug, Default)]
pub struct ReadScheduler {
    open: IndexMap<ReadId, Open>,
    last: u64,
    /// When the newest read began.
    began: Time,
    /// Time that the first answer of the newest read took that had one.
    answer: Option<Millis>,
    /// Reads that failed in a row.
    failures: u32,
    /// No read begins before, as the last one failed.
    again: Time,
    /// Asks in a row that no peer answered.
    unanswered: u32,
    /// Whether a peer has something newer that is too large to be handed on.
    peer_withheld_update: bool,
}

#[derive(Clone, Copy, Debug)]
struct Open {
    began: Time,
    /// Whether an answer to it has begun to come.
    answered: bool,
}

impl ReadScheduler {
    /// Gets when the next read is to begin, as far as can be told now; not later than that it should be asked
    /// again.
    pub fn due(&self, now: Time, standing: &ReadContext, pace: &ReadTiming) -> Time {
        let later = now + LOOK;
        // Another read would take half of the link from one whose bytes come.
        let comes = self.open.values().any(|open| open.answered);
        if comes || self.open.len() >= MAX_OPEN {
            return later;
        }
        let wanted = self.wanted(now, standing, pace);
        let hedge = match self.open.len() {
            0 => Time(0),
            open => self.began + self.gap(open, pace),
        };
        wanted.max(hedge).max(self.again).min(later)
    }

    /// Gets when what is proved will be old enough for an own read.
    fn wanted(&self, now: Time, standing: &ReadContext, pace: &ReadTiming) -> Time {
        let Some(age) = standing.age else {
            return now;
        };
        let proved = now - age;
        let interval = pace.interval;
        let late = pace.late();
        if self.peer_withheld_update {
            return proved + Millis(interval.0 / OWED_PART);
        }
        if !standing.has_configuration {
            return self.began + interval;
        }
        let alone = self.unanswered >= ALONE;
        let rank = standing.rank;
        let wait = if standing.reads() {
            interval
        } else if alone || rank < standing.readers * FIRST_STANDBYS {
            late
        } else if rank < standing.readers * ALL_STANDBYS {
            late + Millis(interval.0 / STANDBY_STEP_PART)
        } else {
            Millis(interval.0 * LAST_QUARTERS / 4)
        };
        proved + wait
    }

    /// Gets the time from the beginning of the newest of `open` reads without an answer to the next one.
    fn gap(&self, open: usize, pace: &ReadTiming) -> Millis {
        let interval = pace.interval.0;
        let usual_latency = self.answer.map_or(interval, |answer| {
            (answer.0 * HEDGE_ANSWERS).max(interval / HEDGE_PART)
        });
        let doublings = u32::try_from(open - 1).unwrap_or(u32::MAX).min(16);
        // Where answers take nearly as long as they prove something, reads follow closer on each other.
        let long = self
            .answer
            .is_some_and(|a| a + pace.interval > pace.validity);
        let most = if long { interval / SLOW_PART } else { interval };
        Millis((usual_latency << doublings).min(most))
    }

    /// Begins a read.
    pub fn begin(&mut self, now: Time) -> ReadId {
        self.last += 1;
        self.began = now;
        self.peer_withheld_update = false;
        let number = ReadId(self.last);
        let open = Open {
            began: now,
            answered: false,
        };
        self.open.insert(number, open);
        number
    }

    /// Tells whether the calls of a read that begins now are to be made at the same time: answers take so long, or
    /// seem to, that one after the other they would prove too little.
    pub fn calls_in_parallel(&self, now: Time, pace: &ReadTiming) -> bool {
        let slow = Millis(pace.interval.0 / SLOW_PART);
        let late = Millis(pace.interval.0 / HEDGE_PART);
        let waits = |open: &Open| !open.answered && now.since(open.began) >= late;
        self.answer.is_some_and(|answer| answer >= slow) || self.open.values().any(waits)
    }

    /// Gets how long a read may wait for an answer: as long as that could prove something.
    pub fn answer_timeout(pace: &ReadTiming) -> Millis {
        pace.validity.min(MAX_PATIENCE)
    }

    /// Gets the time that an answer takes now; zero where none has come yet.
    pub fn usual_latency(&self) -> Millis {
        self.answer.unwrap_or_default()
    }

    /// Notes that an answer to a read has begun to come.
    pub fn answer_started(&mut self, now: Time, number: ReadId) {
        if let Some(open) = self.open.get_mut(&number)
            && !open.answered
        {
            open.answered = true;
            self.answer = Some(now.since(open.began));
        }
    }

    /// Notes that a read is whole; lists those that began before it, whose answers are lost or prove no more.
    pub fn whole(&mut self, number: ReadId) -> Vec<ReadId> {
        self.failures = 0;
        self.peer_withheld_update = false;
        self.again = Time(0);
        let Some(ended) = self.open.swap_remove(&number) else {
            return Vec::new();
        };
        let older = self.open.iter().filter(|(_, o)| o.began <= ended.began);
        let older: Vec<ReadId> = older.map(|(number, _)| *number).collect();
        for number in &older {
            self.open.swap_remove(number);
        }
        older
    }

    /// Notes that a read failed; gets how many in a row did. The pause until the next is spread by `draw`, so
    /// that routers that failed together don't call together.
    ///
    /// One that a later read has made needless counts for nothing.
    pub fn failed(&mut self, now: Time, number: ReadId, standing: &ReadContext, draw: u64) -> u32 {
        if self.open.swap_remove(&number).is_none() {
            return self.failures;
        }
        self.failures = self.failures.saturating_add(1);
        let most = match standing.role() {
            Role::Newcomer => START_PAUSE,
            Role::Reader => READER_PAUSE,
            Role::Standby => STANDBY_PAUSE,
        };
        let doubled = Millis(AGAIN.0 << self.failures.min(8));
        let pause = doubled.min(most).0;
        self.again = now + Millis(pause / 2 + draw % (pause / 2 + 1));
        self.failures
    }

    /// Counts the reads that failed in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Notes that a peer answered an ask, if only that it has nothing newer.
    pub fn peer_answered(&mut self) {
        self.unanswered = 0;
    }

    /// Notes that a peer did not answer an ask.
    pub fn peer_silent(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Notes that a peer has something newer that it doesn't hand on.
    pub fn peer_withheld_update(&mut self) {
        self.peer_withheld_update = true;
    }
}
