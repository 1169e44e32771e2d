//! Requests that crash the endpoints that run them are held back.
//!
//! No limit of attempts or of retries stops such a request: its caller repeats it under a new id, at any
//! router, and each repeat is a first attempt. What stops it is its content's record: at which endpoints it was
//! in progress when their connections broke, and whether they have ended since.
//!
//! Whatever is in progress at an endpoint that ends is a suspect, so one crash says little. A request is held back
//! after [`CRASHES`] of them, at different endpoints and moments, with no whole answer in between; one that was
//! answered before after [`CRASHES_ANSWERED`]. Routers tell each other of each crash, as a request may come to another
//! one each time.
//!
//! A request that was in progress at each crash by chance, while no endpoint was left to answer it, looks the same. So
//! after a while one is let through, as a trial: a whole answer ends the suspicion at all routers, another crash
//! holds it back for longer.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::{
    gateway::{
        endpoint::Fared,
        fingerprint::Fingerprint, //
    },
    ids::Tag,
    units::{
        Millis,
        Time, //
    },
};

/// Crashes after which a request is held back.
pub const CRASHES: usize = 3;
/// The same for one that was answered whole before: what endpoints have run once seldom ends them later.
pub const CRASHES_ANSWERED: usize = 6;
/// Newest crashes of a request that are kept.
pub const MAX_CRASHES: usize = 6;
/// Length of a moment, of whose crashes few count: endpoints that are lost together take all that they run with them,
/// and what is asked for often runs on several of them.
const TOGETHER: Millis = Millis(250);
/// Most by which a crash that others tell of seems to be later than it was.
const TOLD_LATE: Millis = Millis(250);
/// Time after which an endpoint counts as ended from which nothing was heard since a connection broke. A connection
/// may break for other reasons, and an endpoint that goes on answers others by then.
const SETTLED: Millis = Millis(500);
/// Times as long as before that a request is held back after a trial that crashed an endpoint.
const LONGER: u64 = 12;
/// Requests for each router of the fleet of which one is let through once the time is over. Routers don't agree on which
/// one; with fewer, several would let one through at the same time.
const TRIAL_PART: u64 = 2;
/// Time after which another one may be let through by the same router.
const TRIAL: Millis = Millis(3000);
/// Shortest time that the caller of what is held back is told to wait.
pub const COME_BACK: Millis = Millis(1000);
/// Requests of which crashes are kept, at most.
pub const MAX_SUSPECTS: usize = 512;
/// Those of one workspace: without a bound, one that crashes endpoints by many requests would have others' crashes
/// forgotten.
pub const MAX_OF_WORKSPACE: usize = 128;
/// Newest whole answers that are remembered.
const MAX_ANSWERS: usize = 2048;
/// Time for which a request's record is kept after its last news, besides that for which it is held back.
const KEPT: Millis = Millis(600_000);
/// Time for which peers are told of what is new: a few times what news take to reach all routers.
const TOLD: Millis = Millis(3000);
/// Time between two digests that tell of what is held back, for routers that start later or were cut off.
const REMINDER: Millis = Millis(500);
/// Tiers of records: what is held back or was answered again and again, what has several crashes, the rest.
const TIERS: usize = 3;
/// Whole answers from which on a request counts as one that comes again.
const POPULAR: u32 = 2;
/// Their order in digests, by turns: what is likely to be held back soon must not wait for the rest, which must come, too.
const ORDERS: [[usize; TIERS]; 4] = [[0, 1, 2], [1, 0, 2], [0, 1, 2], [2, 1, 0]];
/// Records in a digest, at most.
pub const MAX_RECORDS: usize = 5;
/// Crashes in a digest, at most.
pub const MAX_TOLD: usize = 6;

/// `Policy` says for how long requests are held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Time before the first trial; zero where nothing is held back.
    pub first: Millis,
}

impl Policy {
    /// Gets the time for which a request is held back after these crashes, of which it takes `needed`.
    ///
    /// Those that came soon after the ones before were in progress already, or come from routers that didn't know yet;
    /// what comes after the first time was a trial.
    fn hold(self, crashes: &[Crash], needed: usize) -> Millis {
        let since = crashes.get(needed.saturating_sub(1)..).unwrap_or_default();
        let pairs = since.windows(2);
        let trials = pairs.filter(|pair| pair[1].at.since(pair[0].at) >= self.first);
        let times = trials.fold(1, |times: u64, _| times.saturating_mul(LONGER));
        Millis(self.first.0.saturating_mul(times))
    }
}

/// `Crash` is an endpoint that broke off while a request was in progress there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// This life of the endpoint.
    pub endpoint: Tag,
    /// When the request was sent there.
    pub sent: Time,
    /// When its connection broke.
    pub at: Time,
    /// Whether this router saw it.
    pub own: bool,
}

impl Crash {
    /// Tells whether the request was sent by the endpoint's `end`. Something between, as a proxy, may take a
    /// connection in the name of an endpoint that has ended, and break it off.
    ///
    /// What others tell seems to be later than it was by the time under way.
    fn could_run(&self, end: Time) -> bool {
        let under_way = if self.own { Millis(0) } else { TOLD_LATE };
        self.sent <= end + under_way
    }
}

/// `Told` is a crash as routers tell each other of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    /// This life of the endpoint.
    pub endpoint: Tag,
    /// How long ago its connection broke.
    pub age: Millis,
    /// For how long it had the request then.
    pub ran: Millis,
}

/// `Record` is what routers tell each other of a request; ages count from the sending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its content.
    pub request: Fingerprint,
    /// Endpoints that broke off with it.
    pub crashes: Vec<Told>,
    /// Age of its newest whole answer.
    pub answered: Option<Millis>,
}

/// `Verdict` is why and for how long a request is held back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Time until one may be let through; zero if it is over.
    pub left: Millis,
    /// The crashes that count.
    pub crashes: Vec<Crash>,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// Oldest first, one of each endpoint.
    crashes: Vec<Crash>,
    /// When an endpoint last answered it whole. Crashes before say nothing.
    answered: Option<Time>,
    /// Whole answers that this router saw.
    answers: u32,
    /// When something new was learnt.
    changed: Time,
    /// When one was last let through.
    tried: Option<Time>,
}

/// `Quarantine` is the requests that were in progress at endpoints that broke off.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: IndexMap<Fingerprint, Suspect>,
    /// Newest whole answers, by this router's own hash of the content.
    answers: VecDeque<(u64, Time)>,
    /// When peers were last reminded of what is held back.
    reminded: Time,
    /// Which tier of records comes first in the next digest, and which record of each tier.
    turn: usize,
    next: [usize; TIERS],
}

impl Quarantine {
    /// Tells whether some request of a workspace is known: contents of others needn't be looked at.
    pub fn watches(&self, workspace: u32) -> bool {
        self.suspects.keys().any(|f| f.workspace == workspace)
    }

    /// Counts the requests that are known.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Tells whether none is known.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Notes that an endpoint broke off while it had a request.
    pub fn crashed(&mut self, now: Time, request: Fingerprint, endpoint: Tag, sent: Time) {
        let crash = Crash {
            endpoint,
            sent,
            at: now,
            own: true,
        };
        self.suspect(now, request).note(now, crash);
    }

    /// Notes that an endpoint answered a request whole.
    pub fn answered(&mut self, now: Time, request: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.answers = suspect.answers.saturating_add(1);
            suspect.answer(now, now);
        }
    }

    /// Remembers a whole answer by a hash of the request's content, which may be any that other routers don't know.
    pub fn remember(&mut self, now: Time, hash: u64) {
        if self.answers.len() == MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back((hash, now));
    }

    /// Looks whether a request that is suspect was answered here before it was known to be.
    pub fn recall(&mut self, now: Time, request: Fingerprint, hash: u64) {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return;
        };
        let found = self.answers.iter().rev().find(|(of, _)| *of == hash);
        let recent = found.filter(|(_, at)| now.since(*at) < KEPT);
        if let Some((_, at)) = recent {
            suspect.answers = suspect.answers.saturating_add(1);
            suspect.answer(now, *at);
        }
    }

    /// Tells whether a request is held back; `fared` tells how an endpoint fared since a time.
    pub fn verdict(
        &self,
        now: Time,
        request: Fingerprint,
        policy: Policy,
        fared: impl Fn(Tag, Time) -> Fared,
    ) -> Option<Verdict> {
        let suspect = self.suspects.get(&request)?;
        let needed = suspect.needed(now);
        let proved = suspect.counted(|crash| match fared(crash.endpoint, crash.at) {
            Fared::Lives => false,
            Fared::Ended => true,
            Fared::Unheard => now.since(crash.at) >= SETTLED,
        });
        if proved.len() < needed || policy.first == Millis(0) {
            return None;
        }
        // Of what is held back, one more crash counts at once.
        let crashes = suspect.counted(|c| fared(c.endpoint, c.at) != Fared::Lives);
        let hold = policy.hold(&crashes, needed);
        let last = crashes.last()?.at;
        let tried = suspect.tried.filter(|at| *at >= last);
        let trial = tried.map_or(Millis(0), |at| left(now, at, TRIAL));
        let left = left(now, last, hold).max(trial);
        Some(Verdict { left, crashes })
    }

    /// Lets one request through of those that are held back, if the time is over; `draw` is random, and `routers` is
    /// how many there are.
    pub fn try_one(
        &mut self,
        now: Time,
        request: Fingerprint,
        verdict: &Verdict,
        draw: u64,
        routers: u32,
    ) -> bool {
        let chosen = draw.is_multiple_of(u64::from(routers.max(1)) * TRIAL_PART);
        if verdict.left > Millis(0) || !chosen {
            return false;
        }
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.tried = Some(now);
        }
        true
    }

    /// Forgets what is old, and crashes that were none: of endpoints that have gone on since, and of those that had
    /// ended before the request was sent; `fared` tells how one fared since a time.
    ///
    /// They are forgotten at once, as nothing would tell any more that they lived when they have left.
    pub fn expire(&mut self, now: Time, policy: Policy, fared: impl Fn(Tag, Time) -> Fared) {
        let ended = |c: &Crash| fared(c.endpoint, c.at) != Fared::Lives;
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(ended);
        }
        let ends = self.ends();
        self.suspects.retain(|_, suspect| {
            let ran = |c: &Crash| ends.get(&c.endpoint).is_none_or(|end| c.could_run(*end));
            suspect.crashes.retain(ran);
            let held = policy.hold(&suspect.crashes, suspect.needed(now));
            now.since(suspect.changed) < KEPT + held
        });
    }

    /// Gets when each endpoint broke off first.
    fn ends(&self) -> IndexMap<Tag, Time> {
        let mut ends = IndexMap::new();
        for crash in self.suspects.values().flat_map(|s| &s.crashes) {
            let end = ends.entry(crash.endpoint).or_insert(crash.at);
            *end = crash.at.min(*end);
        }
        ends
    }

    /// Picks records for a digest, by turns of each tier. Many that were in progress at some endpoint by chance must not keep the others from being told.
    pub fn records(&mut self, now: Time) -> Vec<Record> {
        let reminds = now.since(self.reminded) >= REMINDER;
        if reminds {
            self.reminded = now;
        }
        let mut tiers: [Vec<(Fingerprint, &Suspect)>; TIERS] = Default::default();
        for (request, suspect) in &self.suspects {
            let new = now.since(suspect.changed) < TOLD;
            if new || (reminds && suspect.held(now)) {
                tiers[suspect.tier(now)].push((*request, suspect));
            }
        }
        self.turn = (self.turn + 1) % ORDERS.len();
        let mut records = Vec::with_capacity(MAX_RECORDS);
        let mut room = MAX_TOLD;
        for tier in ORDERS[self.turn] {
            for _ in 0..tiers[tier].len() {
                let (request, suspect) = tiers[tier][self.next[tier] % tiers[tier].len()];
                if records.len() == MAX_RECORDS || suspect.crashes.len() > room {
                    break;
                }
                room -= suspect.crashes.len();
                records.push(suspect.record(now, request));
                self.next[tier] = self.next[tier].wrapping_add(1);
            }
        }
        records
    }

    /// Notes what a peer tells.
    pub fn heard(&mut self, now: Time, records: &[Record]) {
        for record in records {
            let known = self.suspects.contains_key(&record.request);
            if record.crashes.is_empty() && !known {
                continue;
            }
            let suspect = self.suspect(now, record.request);
            if let Some(age) = record.answered {
                suspect.answer(now, now - age);
            }
            for told in &record.crashes {
                let at = now - told.age;
                let crash = Crash {
                    endpoint: told.endpoint,
                    sent: at - told.ran,
                    at,
                    own: false,
                };
                suspect.note(now, crash);
            }
        }
    }

    /// Gets a request's record; makes room for a new one where the table, or its workspace's part of it, is full.
    fn suspect(&mut self, now: Time, request: Fingerprint) -> &mut Suspect {
        if !self.suspects.contains_key(&request) {
            let of = |workspace| {
                let keys = self.suspects.keys();
                keys.filter(|f| f.workspace == workspace).count()
            };
            if of(request.workspace) >= MAX_OF_WORKSPACE {
                self.evict(|f| f.workspace == request.workspace);
            } else if self.suspects.len() >= MAX_SUSPECTS {
                self.evict(|_| true);
            }
        }
        self.suspects.entry(request).or_insert(Suspect {
            crashes: Vec::new(),
            answered: None,
            answers: 0,
            changed: now,
            tried: None,
        })
    }

    /// Forgets the request with the fewest crashes, among those the one of which least lately something was learnt.
    fn evict(&mut self, of: impl Fn(&Fingerprint) -> bool) {
        let found = self.suspects.iter().enumerate();
        let found = found.filter(|(_, (f, _))| of(f));
        let least = found.min_by_key(|(_, (_, s))| (s.crashes.len(), s.changed));
        if let Some(at) = least.map(|(at, _)| at) {
            self.suspects.swap_remove_index(at);
        }
    }
}

impl Suspect {
    /// Takes a crash in; one of an endpoint that is known already says nothing new.
    fn note(&mut self, now: Time, crash: Crash) {
        if self.answered.is_some_and(|at| at >= crash.at) {
            // Who tells of it doesn't know of the answer.
            self.changed = now;
            return;
        }
        if self.crashes.iter().any(|c| c.endpoint == crash.endpoint) {
            return;
        }
        let at = self.crashes.partition_point(|c| c.at <= crash.at);
        self.crashes.insert(at, crash);
        if self.crashes.len() > MAX_CRASHES {
            let extra = self.redundant();
            self.crashes.remove(extra);
            if extra == at {
                return;
            }
        }
        self.changed = now;
    }

    /// Finds the crash that says least: one of the same moment as the two before it, else the oldest.
    fn redundant(&self) -> usize {
        let runs = self.crashes.windows(3);
        let close = |run: &[Crash]| together(&run[0], &run[2]);
        runs.map(close).position(|is| is).map_or(0, |n| n + 2)
    }

    fn answer(&mut self, now: Time, at: Time) {
        if self.answered.is_none() {
            self.changed = now;
        }
        let before = self.crashes.len();
        self.crashes.retain(|c| c.at > at);
        if self.crashes.len() < before {
            self.changed = now;
        }
        self.answered = self.answered.max(Some(at));
    }

    /// Gets how many crashes it takes to hold it back.
    fn needed(&self, now: Time) -> usize {
        let recent = self.answered.is_some_and(|at| now.since(at) < KEPT);
        if recent { CRASHES_ANSWERED } else { CRASHES }
    }

    /// Tells whether it has crashes enough to be held back.
    fn held(&self, now: Time) -> bool {
        self.crashes.len() >= self.needed(now)
    }

    /// Gets its place among what peers are told of: first what they must hold back, and what they must not. What was
    /// answered once is seldom asked for again.
    fn tier(&self, now: Time) -> usize {
        if self.held(now) || self.answers >= POPULAR {
            0
        } else if self.crashes.len() > 1 {
            1
        } else {
            2
        }
    }

    /// Lists the crashes that count, of those that `ended` an endpoint: of those at one moment one, or two if the
    /// second met a request that was sent after the first.
    fn counted(&self, ended: impl Fn(&Crash) -> bool) -> Vec<Crash> {
        let mut counted: Vec<Crash> = Vec::with_capacity(self.crashes.len());
        let mut moment: Option<Crash> = None;
        let mut second = false;
        for crash in self.crashes.iter().filter(|crash| ended(crash)) {
            let Some(first) = moment.filter(|first| together(first, crash)) else {
                moment = Some(*crash);
                second = false;
                counted.push(*crash);
                continue;
            };
            if !second && crash.sent >= first.at {
                second = true;
                counted.push(*crash);
            }
        }
        counted
    }

    fn record(&self, now: Time, request: Fingerprint) -> Record {
        let told = |crash: &Crash| Told {
            endpoint: crash.endpoint,
            age: now.since(crash.at),
            ran: crash.at.since(crash.sent),
        };
        Record {
            request,
            crashes: self.crashes.iter().map(told).collect(),
            answered: self.answered.map(|at| now.since(at)),
        }
    }
}

/// Gets what is left of a span that began at a time.
fn left(now: Time, since: Time, span: Millis) -> Millis {
    Millis(span.0.saturating_sub(now.since(since).0))
}

/// Tells whether two crashes, the earlier one first, are of one moment.
fn together(one: &Crash, other: &Crash) -> bool {
    other.at.since(one.at) < TOGETHER
}
