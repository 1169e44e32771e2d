//! Requests that crash the endpoints that run them are held back.
//!
//! No limit of attempts or of retries stops such a request: its caller repeats it under a new id, at any
//! router, and each repeat is a first attempt. What stops it is its content's record: at which endpoints it was
//! in progress when their connections broke, and whether they have ended since.
//!
//! Whatever is in progress at an endpoint that ends is a suspect, so one crash says little. A request is held back
//! after [`CRASHES`] of them, at different endpoints and moments, with no whole answer in between. Routers tell each
//! other of each crash, as a request may come to another one each time.

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
/// Newest crashes of a request that are kept.
pub const MAX_CRASHES: usize = 4;
/// Crashes within this time of each other count as one: endpoints that are lost together take all that they run
/// with them, and what is asked for often runs on several of them.
const TOGETHER: Millis = Millis(250);
/// Time after which an endpoint counts as ended from which nothing was heard since a connection broke. A connection
/// may break for other reasons, and an endpoint that goes on answers others by then.
const SETTLED: Millis = Millis(1000);
/// Requests of which crashes are kept, at most.
pub const MAX_SUSPECTS: usize = 512;
/// Those of one workspace: without a bound, one that crashes endpoints by many requests would have others' crashes
/// forgotten.
pub const MAX_OF_WORKSPACE: usize = 128;
/// Time for which a request's record is kept after its last news, besides that for which it is held back.
const KEPT: Millis = Millis(600_000);
/// Times as long as the first time a request is held back that has crashed an endpoint after that.
const AGAIN: u64 = 10;
/// Time for which peers are told of news of a request that isn't held back: a few times what news take to reach
/// all routers.
const TOLD: Millis = Millis(3000);
/// Records in a digest, at most.
pub const MAX_RECORDS: usize = 5;
/// Crashes in a digest, at most.
pub const MAX_TOLD: usize = 6;

/// `Policy` says for how long requests are held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// After the third crash; zero where nothing is held back.
    pub first: Millis,
    /// After a crash by a request that was let through again.
    pub again: Millis,
}

impl Policy {
    /// Makes one of the time after the third crash.
    pub const fn of(first: Millis) -> Self {
        Self {
            first,
            again: Millis(first.0.saturating_mul(AGAIN)),
        }
    }
}

/// `Crash` is an endpoint that broke off while a request was in progress there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// This life of the endpoint.
    pub endpoint: Tag,
    /// When its connection broke.
    pub at: Time,
    /// Whether this router saw it.
    pub own: bool,
}

/// `Record` is what routers tell each other of a request; ages count from the sending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its content.
    pub request: Fingerprint,
    /// Endpoints that broke off with it, and how long ago.
    pub crashes: Vec<(Tag, Millis)>,
    /// Age of its newest whole answer.
    pub answered: Option<Millis>,
}

/// `Verdict` is why and for how long a request is held back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Time until it may be sent again.
    pub left: Millis,
    /// The crashes that count.
    pub crashes: Vec<Crash>,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// Oldest first, one of each endpoint.
    crashes: Vec<Crash>,
    /// When an endpoint last answered it whole: it doesn't crash what runs it, and crashes before say nothing.
    answered: Option<Time>,
    /// When something new was learnt.
    changed: Time,
}

/// `Quarantine` is the requests that were in progress at endpoints that broke off.
#[derive(Clone, Debug)]
pub struct Quarantine {
    suspects: IndexMap<Fingerprint, Suspect>,
    /// Part of the time by which this router holds requests back for longer than others, in thousandths. Let
    /// through again by all at once, a request would crash one endpoint for each router.
    longer: u64,
    next: usize,
}

impl Quarantine {
    /// Makes one that knows of nothing; `draw` is random, another one at each router.
    pub fn new(draw: u64) -> Self {
        Self {
            suspects: IndexMap::new(),
            longer: draw % 1000,
            next: 0,
        }
    }

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
    pub fn crashed(&mut self, now: Time, request: Fingerprint, endpoint: Tag) {
        let crash = Crash {
            endpoint,
            at: now,
            own: true,
        };
        self.suspect(now, request).note(now, crash);
    }

    /// Notes that an endpoint answered a request whole.
    pub fn answered(&mut self, now: Time, request: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.answer(now, now);
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
        if suspect.crashes.len() < CRASHES {
            return None;
        }
        let crashes = suspect.counted(now, fared);
        let last = crashes.last()?;
        let hold = match crashes.len() {
            0..CRASHES => return None,
            CRASHES => policy.first,
            _ => policy.again,
        };
        let hold = Millis(hold.0 + hold.0 * self.longer / 1000);
        let left = Millis(hold.0.saturating_sub(now.since(last.at).0));
        (left > Millis(0)).then_some(Verdict { left, crashes })
    }

    /// Forgets what is old, and crashes of endpoints that have gone on since; `fared` tells how one fared since a time.
    ///
    /// They are forgotten at once, as nothing would tell any more that they lived when they have left.
    pub fn expire(&mut self, now: Time, policy: Policy, fared: impl Fn(Tag, Time) -> Fared) {
        for suspect in self.suspects.values_mut() {
            let ended = |c: &Crash| fared(c.endpoint, c.at) != Fared::Lives;
            suspect.crashes.retain(ended);
        }
        // Kept for as long as any router may hold it back: one crash more then holds it back again.
        let held = KEPT + Millis(2 * policy.first.max(policy.again).0);
        self.suspects.retain(|_, suspect| {
            let grave = suspect.crashes.len() >= CRASHES;
            now.since(suspect.changed) < if grave { held } else { KEPT }
        });
    }

    /// Tells whether there is anything to tell peers.
    pub fn tells(&self, now: Time) -> bool {
        self.suspects.values().any(|s| s.told(now))
    }

    /// Picks records for a digest, by turns: first those with the most crashes, as they may be held back.
    pub fn records(&mut self, now: Time) -> Vec<Record> {
        let (grave, light): (Vec<_>, Vec<_>) = self
            .suspects
            .iter()
            .filter(|(_, s)| s.told(now))
            .partition(|(_, s)| s.crashes.len() > 1);
        let next = self.next;
        let turn = |of: &[(&Fingerprint, &Suspect)], n: usize| {
            let at = (next + n).checked_rem(of.len())?;
            of.get(at).map(|(f, s)| s.record(now, **f))
        };
        let grave_room = grave.len().min(MAX_RECORDS / 2);
        let mut records: Vec<Record> = (0..grave_room).filter_map(|n| turn(&grave, n)).collect();
        let rest = light.len().min(MAX_RECORDS - grave_room);
        records.extend((0..rest).filter_map(|n| turn(&light, n)));
        let mut told = 0;
        records.retain(|r| {
            told += r.crashes.len().max(1);
            told <= MAX_TOLD
        });
        self.next = self.next.wrapping_add(records.len().max(1));
        records
    }

    /// Notes what a peer tells.
    pub fn heard(&mut self, now: Time, records: &[Record]) {
        for record in records {
            let suspect = self.suspect(now, record.request);
            for (endpoint, age) in &record.crashes {
                let crash = Crash {
                    endpoint: *endpoint,
                    at: now - *age,
                    own: false,
                };
                suspect.note(now, crash);
            }
            if let Some(age) = record.answered {
                suspect.answer(now, now - age);
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
            changed: now,
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
        let known = self.crashes.iter().any(|c| c.endpoint == crash.endpoint);
        let cleared = self.answered.is_some_and(|at| at >= crash.at);
        if known || cleared {
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

    /// Finds the crash that says least: one that counts as one with the crash before it, else the oldest.
    fn redundant(&self) -> usize {
        let pairs = self.crashes.windows(2);
        let close = |pair: &[Crash]| together(pair[0].at, pair[1].at);
        pairs.map(close).position(|is| is).map_or(0, |n| n + 1)
    }

    fn answer(&mut self, now: Time, at: Time) {
        let before = self.crashes.len();
        self.crashes.retain(|c| c.at > at);
        if self.crashes.len() < before {
            self.changed = now;
        }
        self.answered = self.answered.max(Some(at));
    }

    /// Lists the crashes that count.
    fn counted(&self, now: Time, fared: impl Fn(Tag, Time) -> Fared) -> Vec<Crash> {
        let mut counted: Vec<Crash> = Vec::with_capacity(self.crashes.len());
        for crash in &self.crashes {
            let ended = match fared(crash.endpoint, crash.at) {
                Fared::Lives => false,
                Fared::Ended => true,
                Fared::Unheard => now.since(crash.at) >= SETTLED,
            };
            let same = |last: &Crash| together(last.at, crash.at);
            if ended && !counted.last().is_some_and(same) {
                counted.push(*crash);
            }
        }
        counted
    }

    /// Tells whether peers are told of it: of what may be held back for as long as it is kept, for those that
    /// start later or were cut off.
    fn told(&self, now: Time) -> bool {
        self.crashes.len() >= CRASHES || now.since(self.changed) < TOLD
    }

    fn record(&self, now: Time, request: Fingerprint) -> Record {
        let age = |at: Time| now.since(at);
        Record {
            request,
            crashes: self
                .crashes
                .iter()
                .map(|c| (c.endpoint, age(c.at)))
                .collect(),
            answered: self.answered.map(age),
        }
    }
}

/// Tells whether two crashes, the earlier one first, count as one.
fn together(one: Time, other: Time) -> bool {
    other.since(one) < TOGETHER
}
