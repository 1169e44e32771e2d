//! The table of crash records that the quarantines of contents and of prompt parts share: its bounds,
//! when records count, expire and are evicted, and what digests tell of them.

use std::hash::Hash;

use indexmap::IndexMap;

use crate::{
    gateway::{
        endpoint::Liveness,
        fingerprint::Fingerprint,
        quarantine::{
            crash::{
                Crash,
                Policy,
                Record,
                Verdict,
                time_left, //
            },
            selection::RecordSelection,
            suspect::Suspect, //
        },
    },
    ids::Tag,
    units::{
        Millis,
        Time, //
    },
};

/// Time for which a record is kept after its last change, in addition to its hold time.
pub(super) const RECORD_RETENTION: Millis = Millis(600_000);

/// `Rules` is in what the two quarantines differ.
#[derive(Debug)]
pub(super) struct Rules {
    /// Crashes that quarantine what was not answered within [`RECORD_RETENTION`].
    pub(super) threshold: usize,
    /// Crashes that quarantine what was.
    pub(super) threshold_answered: usize,
    /// Factor by which the hold time grows after each trial that crashed an endpoint.
    pub(super) hold_factor: u64,
    /// Time for which a record without crashes is kept after its last change.
    pub(super) cleared_retention: fn(Policy) -> Millis,
    /// Limit of the records; beyond it the one with the lowest rank is evicted.
    pub(super) max_records: usize,
    /// Limit of the records of one workspace. Without it, a workspace that crashes endpoints in many
    /// ways would evict the records of the others.
    pub(super) max_per_workspace: usize,
    /// Rank of a record: that with the lowest one is evicted first.
    pub(super) rank: fn(&Suspect) -> (usize, bool, Time),
}

impl Rules {
    fn threshold_of(&self, now: Time, suspect: &Suspect) -> usize {
        if suspect.answered_within(now, RECORD_RETENTION) {
            self.threshold_answered
        } else {
            self.threshold
        }
    }
}

/// `Table` holds crash records by what they are about.
#[derive(Clone, Debug)]
pub(super) struct Table<K> {
    rules: &'static Rules,
    suspects: IndexMap<K, Suspect>,
    selection: RecordSelection,
}

impl<K: Copy + Eq + Hash> Table<K> {
    pub(super) fn new(rules: &'static Rules) -> Self {
        Self {
            rules,
            suspects: IndexMap::new(),
            selection: RecordSelection::default(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.suspects.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    pub(super) fn contains(&self, key: K) -> bool {
        self.suspects.contains_key(&key)
    }

    pub(super) fn get(&self, key: K) -> Option<&Suspect> {
        self.suspects.get(&key)
    }

    pub(super) fn get_mut(&mut self, key: K) -> Option<&mut Suspect> {
        self.suspects.get_mut(&key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (K, &Suspect)> {
        self.suspects.iter().map(|(key, suspect)| (*key, suspect))
    }

    /// Returns the number of crashes that quarantine what a record is about.
    pub(super) fn threshold(&self, now: Time, suspect: &Suspect) -> usize {
        self.rules.threshold_of(now, suspect)
    }

    /// Returns the crashes that are proven if they are enough to quarantine.
    pub(super) fn proven_crashes(
        &self,
        now: Time,
        suspect: &Suspect,
        liveness_since: impl Fn(Tag, Time) -> Liveness,
    ) -> Option<Vec<Crash>> {
        let threshold = self.threshold(now, suspect);
        if suspect.crashes.len() < threshold {
            return None;
        }
        let proven = suspect.proven_crashes(now, liveness_since);
        (proven.len() >= threshold).then_some(proven)
    }

    /// Makes the verdict on what is quarantined, without regard to trials.
    pub(super) fn verdict(
        &self,
        now: Time,
        suspect: &Suspect,
        policy: Policy,
        liveness_since: impl Fn(Tag, Time) -> Liveness,
    ) -> Option<Verdict> {
        let crashes = suspect.possible_crashes(liveness_since);
        let threshold = self.threshold(now, suspect);
        let hold = policy.hold(&crashes, threshold, self.rules.hold_factor);
        let last = crashes.last()?.at;
        let left = time_left(now, last, hold);
        Some(Verdict { left, crashes })
    }

    /// Drops old records and false crashes: those of endpoints that have answered since, and those
    /// of endpoints that had ended before the request was sent; `liveness_since` tells whether an endpoint
    /// has answered or ended since a time.
    ///
    /// False crashes are dropped at once, because once these endpoints have left nothing proves any
    /// more that they went on.
    pub(super) fn expire(
        &mut self,
        now: Time,
        policy: Policy,
        liveness_since: impl Fn(Tag, Time) -> Liveness,
    ) {
        if self.suspects.is_empty() {
            return;
        }
        let ended = |c: &Crash| liveness_since(c.endpoint, c.at) != Liveness::Alive;
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(ended);
        }
        let ends = first_crashes(self.suspects.values());
        let rules = self.rules;
        self.suspects.retain(|_, suspect| {
            suspect.retain_runs(&ends);
            let retention = if suspect.crashes.is_empty() {
                (rules.cleared_retention)(policy)
            } else {
                let threshold = rules.threshold_of(now, suspect);
                RECORD_RETENTION + policy.hold(&suspect.crashes, threshold, rules.hold_factor)
            };
            now.since(suspect.last_changed) < retention
        });
    }

    /// Picks the records for a digest that has room for so many records and crashes; `describe` returns
    /// the fingerprint that a record is told by and its priority tier, given whether it is in force.
    pub(super) fn records(
        &mut self,
        now: Time,
        room: (usize, usize),
        describe: impl Fn(K, &Suspect, bool) -> (Fingerprint, usize),
    ) -> Vec<Record> {
        let rules = self.rules;
        let suspects = self.suspects.iter().map(|(key, suspect)| {
            let is_held = suspect.crashes.len() >= rules.threshold_of(now, suspect);
            let (fingerprint, tier) = describe(*key, suspect, is_held);
            (fingerprint, suspect, is_held, tier)
        });
        self.selection.pick(now, suspects, room)
    }

    /// Returns a record; inserts a new one for a workspace, and evicts another where the table or the
    /// workspace's part of it is full.
    pub(super) fn get_or_insert(&mut self, now: Time, key: K, workspace: u32) -> &mut Suspect {
        if !self.suspects.contains_key(&key) {
            let of = self.suspects.values().filter(|s| s.workspace == workspace);
            if of.count() >= self.rules.max_per_workspace {
                self.evict(|s| s.workspace == workspace);
            } else if self.suspects.len() >= self.rules.max_records {
                self.evict(|_| true);
            }
        }
        let new = Suspect::new(now, workspace);
        self.suspects.entry(key).or_insert(new)
    }

    /// Drops the record with the lowest rank.
    fn evict(&mut self, of: impl Fn(&Suspect) -> bool) {
        let found = self.suspects.values().enumerate().filter(|(_, s)| of(s));
        let least = found.min_by_key(|(_, s)| (self.rules.rank)(s));
        if let Some(at) = least.map(|(at, _)| at) {
            self.suspects.swap_remove_index(at);
        }
    }
}

/// Returns the time of the first crash of each endpoint.
fn first_crashes<'a>(suspects: impl Iterator<Item = &'a Suspect>) -> IndexMap<Tag, Time> {
    let mut first_crashes = IndexMap::new();
    for crash in suspects.flat_map(|s| &s.crashes) {
        let end = first_crashes.entry(crash.endpoint).or_insert(crash.at);
        *end = crash.at.min(*end);
    }
    first_crashes
}
