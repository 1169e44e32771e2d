//! Quarantine of requests that crash the endpoints that run them.
//!
//! Limits on attempts and retries do not stop such a request: its caller repeats it under a new id,
//! at any router, and each repeat is a first attempt. The quarantine therefore keeps a crash record
//! for each request content: the endpoints whose connections broke while the request was in
//! progress there, and whether those endpoints have ended since.
//!
//! Every request in progress at an endpoint that ends is a suspect, so one crash says little. A
//! request is quarantined after [`QUARANTINE_THRESHOLD`] crashes at different endpoints and times
//! without a complete answer in between, and after [`QUARANTINE_THRESHOLD_ANSWERED`] if it was
//! answered completely before. Routers exchange crash records, because each repeat of a request may
//! arrive at another router.
//!
//! A request that was in progress at each crash by coincidence, and that no remaining endpoint
//! could answer, looks the same. Once the hold time is over, one request is therefore admitted as a
//! trial: a complete answer clears the request at all routers, another crash extends the hold.

use std::{
    collections::VecDeque,
    sync::Arc, //
};

use indexmap::IndexMap;

use crate::{
    gateway::{
        endpoint::Liveness,
        fingerprint::Fingerprint,
        part_quarantine::{
            PartQuarantine,
            PromptParts, //
        },
    },
    ids::Tag,
    units::{
        Millis,
        Time, //
    },
};

/// Crashes after which a request is quarantined.
pub const QUARANTINE_THRESHOLD: usize = 3;
/// Crashes after which a request that was answered completely before is quarantined: content that
/// endpoints have run once seldom crashes them later.
pub const QUARANTINE_THRESHOLD_ANSWERED: usize = 6;
/// Limit of the crashes kept for a request; the newest are kept.
pub const MAX_CRASHES_PER_REQUEST: usize = 6;
/// Window in which crashes belong to one group, of which at most two count: endpoints that are lost
/// together take all their requests with them, and popular content often runs on several of them.
const CRASH_GROUP_WINDOW: Millis = Millis(250);
/// Upper bound of the delay by which a crash reported by a peer appears later than it was.
const MAX_REPORT_DELAY: Millis = Millis(250);
/// Time after a broken connection from which an endpoint that nothing was heard of counts as ended.
/// A connection may break for other reasons; an endpoint that goes on has answered other requests
/// by then.
const PRESUMED_ENDED_AFTER: Millis = Millis(500);
/// Factor by which the hold time grows after each trial that crashed an endpoint.
const HOLD_FACTOR: u64 = 12;
/// Once the hold time is over, a request is admitted as a trial with a probability of one in this
/// number times the number of routers. Routers do not coordinate trials; with a smaller number
/// several would admit one at the same time.
const TRIAL_ODDS_PER_ROUTER: u64 = 2;
/// Time after a trial in which the same router admits no other trial of the same request.
const TRIAL_INTERVAL: Millis = Millis(3000);
/// Minimum wait that the caller of a quarantined request is told.
pub const MIN_RETRY_AFTER: Millis = Millis(1000);
/// Limit of the requests for which crashes are kept.
pub const MAX_SUSPECTS: usize = 512;
/// Limit of these requests for one workspace. Without it, a workspace that crashes endpoints with
/// many different requests would evict the crash records of other workspaces.
pub const MAX_SUSPECTS_PER_WORKSPACE: usize = 128;
/// Limit of the remembered complete answers; the newest are kept.
const MAX_REMEMBERED_ANSWERS: usize = 2048;
/// Time for which a request's record is kept after its last change, in addition to its hold time.
const RECORD_RETENTION: Millis = Millis(600_000);
/// Time for which a change is announced to peers: a few times the time in which gossip reaches all
/// routers.
const ANNOUNCEMENT_PERIOD: Millis = Millis(3000);
/// Interval between digests that announce quarantined requests again, for routers that started
/// later or were cut off.
const REANNOUNCEMENT_INTERVAL: Millis = Millis(500);
/// Limit of the answers that wait for a sign of their endpoint; the newest are kept.
const MAX_UNPROVED_ANSWERS: usize = 256;
/// Number of priority tiers of records: 0 for requests that are quarantined or were answered
/// repeatedly, 1 for those with several crashes, 2 for the rest.
const TIERS: usize = 3;
/// Complete answers from which on a request counts as answered repeatedly.
const REPEATED_ANSWERS: u32 = 2;
/// Orders in which successive digests take the tiers: requests that are likely to be quarantined
/// soon must not wait for the rest, but the rest must be sent, too.
const TIER_ORDERS: [[usize; TIERS]; 4] = [[0, 1, 2], [1, 0, 2], [0, 1, 2], [2, 1, 0]];
/// Limit of the records in a digest.
pub const MAX_DIGEST_RECORDS: usize = 5;
/// Limit of the crashes in a digest.
pub const MAX_DIGEST_CRASHES: usize = 6;

/// `Policy` says for how long requests are quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Hold time before the first trial; zero turns the quarantine off.
    pub first: Millis,
}

impl Policy {
    /// Tells whether nothing is quarantined.
    pub(super) fn is_off(self) -> bool {
        self.first == Millis(0)
    }

    /// Returns the hold time of a request with these crashes, of which `threshold` quarantine it; it
    /// grows by `factor` after each trial that crashed an endpoint.
    ///
    /// Crashes that follow the one before within the first hold time do not extend it: their
    /// requests were in progress already, or come from routers that did not know yet. A later crash
    /// was caused by a trial.
    pub(super) fn hold(self, crashes: &[Crash], threshold: usize, factor: u64) -> Millis {
        let since = crashes
            .get(threshold.saturating_sub(1)..)
            .unwrap_or_default();
        let pairs = since.windows(2);
        let trials = pairs.filter(|pair| pair[1].at.since(pair[0].at) >= self.first);
        let times = trials.fold(1, |times: u64, _| times.saturating_mul(factor));
        Millis(self.first.0.saturating_mul(times))
    }
}

/// `Crash` is a connection that an endpoint broke while a request was in progress there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The incarnation of the endpoint.
    pub endpoint: Tag,
    /// When the request was sent there.
    pub sent: Time,
    /// When the connection broke.
    pub at: Time,
    /// Whether this router observed it; otherwise a peer reported it.
    pub observed_here: bool,
}

impl Crash {
    /// Tells whether the request was sent before the endpoint ended at `end`. A proxy or another
    /// intermediary may accept a connection on behalf of an endpoint that has ended, and break it.
    ///
    /// Times reported by peers appear later than they were by the time the report took, so they get
    /// a tolerance.
    fn was_sent_before(&self, end: Time) -> bool {
        let tolerance = if self.observed_here {
            Millis(0)
        } else {
            MAX_REPORT_DELAY
        };
        self.sent <= end + tolerance
    }
}

/// `CrashReport` is a crash as routers report it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The incarnation of the endpoint.
    pub endpoint: Tag,
    /// Time since the connection broke.
    pub age: Millis,
    /// Time that the request had been at the endpoint when the connection broke.
    pub ran: Millis,
}

/// `Record` is what routers report to each other about a request, or about a prompt part; ages count
/// from the sending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Fingerprint of the request's content; for a prompt part the tag of the workspace that its
    /// record applies to, and the part's hash.
    pub request: Fingerprint,
    /// Whether it is about a prompt part.
    pub is_part: bool,
    /// Crashes while the request was in progress.
    pub crashes: Vec<CrashReport>,
    /// Age of its newest complete answer.
    pub answered: Option<Millis>,
}

/// `Verdict` is why and for how long a request is quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Time until a trial may be admitted; zero if the hold time is over.
    pub left: Millis,
    /// The crashes that count.
    pub crashes: Vec<Crash>,
}

/// `Suspect` is the crash record of a request's content or of a prompt part.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    /// Oldest first, at most one for each endpoint.
    pub(super) crashes: Vec<Crash>,
    /// When an endpoint last answered it completely. Earlier crashes are dropped.
    answered: Option<Time>,
    /// Complete answers that this router saw.
    answers: u32,
    /// When the record last changed.
    pub(super) last_changed: Time,
    /// When the last trial was admitted.
    pub(super) last_trial: Option<Time>,
}

/// `RecordSelection` picks the records for digests.
#[derive(Clone, Debug, Default)]
pub(super) struct RecordSelection {
    /// When quarantined requests were last announced again.
    last_reannounced: Time,
    /// Index into [`TIER_ORDERS`] for the next digest, and the next record of each tier.
    tier_order: usize,
    next_in_tier: [usize; TIERS],
}

/// `UnprovedAnswer` is an answer that ended with its connection. It is complete if its endpoint goes on; if the
/// endpoint has ended, it was broken off, and its request is a suspect.
#[derive(Clone, Debug)]
pub struct UnprovedAnswer {
    /// Fingerprint of the request's content.
    pub request: Fingerprint,
    /// This router's own hash of the content.
    pub hash: u64,
    /// The crash that it may have been.
    pub crash: Crash,
    /// Hashes of the prompt's shared parts.
    pub parts: Arc<[u64]>,
}

/// `Quarantine` holds the crash records of requests.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: IndexMap<Fingerprint, Suspect>,
    /// Oldest first; answers that are neither complete nor crashes yet.
    unproved: VecDeque<UnprovedAnswer>,
    /// Newest complete answers, by this router's own hash of the content.
    answers: VecDeque<(u64, Time)>,
    selection: RecordSelection,
}

impl Quarantine {
    /// Tells whether the workspace has a suspect; otherwise the content of its requests need not be
    /// hashed.
    pub fn has_suspects(&self, workspace: u32) -> bool {
        self.suspects.keys().any(|f| f.workspace == workspace)
    }

    /// Counts the requests that have a record.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Tells whether no request has a record.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Records that an endpoint broke a connection on which a request was in progress.
    pub fn crashed(&mut self, now: Time, request: Fingerprint, endpoint: Tag, sent: Time) {
        let crash = Crash {
            endpoint,
            sent,
            at: now,
            observed_here: true,
        };
        self.suspect_mut(now, request).add_crash(now, crash);
    }

    /// Records that an endpoint answered a request completely.
    pub fn answered(&mut self, now: Time, request: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.answers = suspect.answers.saturating_add(1);
            suspect.apply_answer(now, now);
        }
    }

    /// Records an answer that ended with its connection. It counts as a crash if its endpoint ends before
    /// [`PRESUMED_ENDED_AFTER`], and as a complete answer otherwise.
    pub fn answered_unproved(&mut self, answer: UnprovedAnswer) {
        if self.unproved.len() == MAX_UNPROVED_ANSWERS {
            self.unproved.pop_front();
        }
        self.unproved.push_back(answer);
    }

    /// Judges the answers that ended with their connections, and tells the quarantine of parts.
    pub(super) fn judge_unproved(
        &mut self,
        now: Time,
        parts: &mut PartQuarantine,
        liveness_since: impl Fn(Tag, Time) -> Liveness,
    ) {
        for answer in std::mem::take(&mut self.unproved) {
            let crash = answer.crash;
            let waited = now.since(crash.at) >= PRESUMED_ENDED_AFTER;
            match liveness_since(crash.endpoint, crash.at) {
                Liveness::Dead => {
                    self.suspect_mut(now, answer.request).add_crash(now, crash);
                    let prompt = PromptParts {
                        workspace: answer.request.workspace,
                        parts: &answer.parts,
                    };
                    parts.crashed(now, prompt, crash);
                }
                Liveness::Unknown if !waited => self.unproved.push_back(answer),
                Liveness::Alive | Liveness::Unknown => {
                    self.record_complete_answer(crash.at, answer.hash);
                    if let Some(suspect) = self.suspects.get_mut(&answer.request) {
                        suspect.answers = suspect.answers.saturating_add(1);
                        suspect.apply_answer(now, crash.at);
                    }
                    parts.answered(now, crash.at, &answer.parts);
                }
            }
        }
    }

    /// Remembers a complete answer by a hash of the request's content, for requests that become
    /// suspects later. The hash is private to this process.
    pub fn record_complete_answer(&mut self, now: Time, hash: u64) {
        if self.answers.len() == MAX_REMEMBERED_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back((hash, now));
    }

    /// Credits a suspect with a complete answer that this router saw before the request became a
    /// suspect.
    pub fn apply_remembered_answer(&mut self, now: Time, request: Fingerprint, hash: u64) {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return;
        };
        let found = self.answers.iter().rev().find(|(of, _)| *of == hash);
        let recent = found.filter(|(_, at)| now.since(*at) < RECORD_RETENTION);
        if let Some((_, at)) = recent {
            suspect.answers = suspect.answers.saturating_add(1);
            suspect.apply_answer(now, *at);
        }
    }

    /// Tells whether a request is quarantined; `liveness_since` tells whether an endpoint has answered or
    /// ended since a time.
    pub fn verdict(
        &self,
        now: Time,
        request: Fingerprint,
        policy: Policy,
        liveness_since: impl Fn(Tag, Time) -> Liveness,
    ) -> Option<Verdict> {
        let suspect = self.suspects.get(&request)?;
        let threshold = suspect.threshold(now);
        let proven =
            suspect.counting_crashes(|c| presumed_ended(now, c, liveness_since(c.endpoint, c.at)));
        if proven.len() < threshold || policy.is_off() {
            return None;
        }
        // Once a request is quarantined, a further crash counts without waiting for proof that the
        // endpoint ended.
        let crashes =
            suspect.counting_crashes(|c| liveness_since(c.endpoint, c.at) != Liveness::Alive);
        let hold = policy.hold(&crashes, threshold, HOLD_FACTOR);
        let last = crashes.last()?.at;
        let last_trial = suspect.last_trial.filter(|at| *at >= last);
        let trial = last_trial.map_or(Millis(0), |at| time_left(now, at, TRIAL_INTERVAL));
        let left = time_left(now, last, hold).max(trial);
        Some(Verdict { left, crashes })
    }

    /// Admits one quarantined request as a trial if the hold time is over; `draw` is random, and
    /// `routers` is the size of the fleet.
    pub fn admit_trial(
        &mut self,
        now: Time,
        request: Fingerprint,
        verdict: &Verdict,
        draw: u64,
        routers: u32,
    ) -> bool {
        let chosen = draw.is_multiple_of(u64::from(routers.max(1)) * TRIAL_ODDS_PER_ROUTER);
        if verdict.left > Millis(0) || !chosen {
            return false;
        }
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.last_trial = Some(now);
        }
        true
    }

    /// Drops old records and false crashes: those of endpoints that have answered since, and those
    /// of endpoints that had ended before the request was sent; `liveness_since` tells whether an endpoint
    /// has answered or ended since a time.
    ///
    /// False crashes are dropped at once, because once these endpoints have left nothing proves any
    /// more that they went on.
    pub fn expire(
        &mut self,
        now: Time,
        policy: Policy,
        liveness_since: impl Fn(Tag, Time) -> Liveness,
    ) {
        let ended = |c: &Crash| liveness_since(c.endpoint, c.at) != Liveness::Alive;
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(ended);
        }
        let ends = first_crashes(self.suspects.values());
        self.suspects.retain(|_, suspect| {
            suspect.retain_runs(&ends);
            let threshold = suspect.threshold(now);
            let hold = policy.hold(&suspect.crashes, threshold, HOLD_FACTOR);
            now.since(suspect.last_changed) < RECORD_RETENTION + hold
        });
    }

    /// Picks the records for a digest that has room for so many records and crashes.
    pub fn records(&mut self, now: Time, room: (usize, usize)) -> Vec<Record> {
        let suspects = self.suspects.iter().map(|(request, suspect)| {
            let is_held = suspect.meets_threshold(now);
            (*request, suspect, is_held, suspect.tier(now))
        });
        self.selection.pick(now, suspects, room)
    }

    /// Merges a record that a peer sent.
    pub fn heard(&mut self, now: Time, record: &Record) {
        let known = self.suspects.contains_key(&record.request);
        if !record.crashes.is_empty() || known {
            self.suspect_mut(now, record.request).merge(now, record);
        }
    }

    /// Returns a request's record; inserts a new one, and evicts another where the table or the
    /// workspace's part of it is full.
    fn suspect_mut(&mut self, now: Time, request: Fingerprint) -> &mut Suspect {
        if !self.suspects.contains_key(&request) {
            let of = |workspace| {
                let keys = self.suspects.keys();
                keys.filter(|f| f.workspace == workspace).count()
            };
            if of(request.workspace) >= MAX_SUSPECTS_PER_WORKSPACE {
                self.evict(|f| f.workspace == request.workspace);
            } else if self.suspects.len() >= MAX_SUSPECTS {
                self.evict(|_| true);
            }
        }
        self.suspects.entry(request).or_insert(Suspect::new(now))
    }

    /// Drops the record with the fewest crashes; among equals the one that changed least recently.
    fn evict(&mut self, of: impl Fn(&Fingerprint) -> bool) {
        let found = self.suspects.iter().enumerate();
        let found = found.filter(|(_, (f, _))| of(f));
        let least = found.min_by_key(|(_, (_, s))| (s.crashes.len(), s.last_changed));
        if let Some(at) = least.map(|(at, _)| at) {
            self.suspects.swap_remove_index(at);
        }
    }
}

impl RecordSelection {
    /// Picks the records for a digest that has room for so many records and crashes, from each tier
    /// in turn. Many requests that were in progress at a crash by chance must not keep the others
    /// from being sent.
    ///
    /// Each suspect comes with whether it is quarantined, and with its tier.
    pub(super) fn pick<'a>(
        &mut self,
        now: Time,
        suspects: impl Iterator<Item = (Fingerprint, &'a Suspect, bool, usize)>,
        (most_records, most_crashes): (usize, usize),
    ) -> Vec<Record> {
        let reannounces = now.since(self.last_reannounced) >= REANNOUNCEMENT_INTERVAL;
        if reannounces {
            self.last_reannounced = now;
        }
        let mut tiers: [Vec<(Fingerprint, &Suspect)>; TIERS] = Default::default();
        for (request, suspect, is_held, tier) in suspects {
            let new = now.since(suspect.last_changed) < ANNOUNCEMENT_PERIOD;
            if new || (reannounces && is_held) {
                tiers[tier].push((request, suspect));
            }
        }
        self.tier_order = (self.tier_order + 1) % TIER_ORDERS.len();
        let mut records = Vec::with_capacity(most_records);
        let mut room = most_crashes;
        for tier in TIER_ORDERS[self.tier_order] {
            for _ in 0..tiers[tier].len() {
                let (request, suspect) = tiers[tier][self.next_in_tier[tier] % tiers[tier].len()];
                if records.len() == most_records || suspect.crashes.len() > room {
                    break;
                }
                room -= suspect.crashes.len();
                records.push(suspect.record(now, request));
                self.next_in_tier[tier] = self.next_in_tier[tier].wrapping_add(1);
            }
        }
        records
    }
}

impl Suspect {
    pub(super) const fn new(now: Time) -> Self {
        Self {
            crashes: Vec::new(),
            answered: None,
            answers: 0,
            last_changed: now,
            last_trial: None,
        }
    }

    /// Tells whether it was answered completely within a time.
    pub(super) fn answered_within(&self, now: Time, span: Millis) -> bool {
        self.answered.is_some_and(|at| now.since(at) < span)
    }

    pub(super) const fn last_answered(&self) -> Option<Time> {
        self.answered
    }

    pub(super) fn has_crash_of(&self, endpoint: Tag) -> bool {
        self.crashes.iter().any(|c| c.endpoint == endpoint)
    }

    /// Drops crashes of endpoints that had ended before the request was sent; `ends` is when each
    /// endpoint ended.
    pub(super) fn retain_runs(&mut self, ends: &IndexMap<Tag, Time>) {
        let ran = |c: &Crash| {
            let end = ends.get(&c.endpoint);
            end.is_none_or(|end| c.was_sent_before(*end))
        };
        self.crashes.retain(ran);
    }

    /// Merges what a peer has reported.
    pub(super) fn merge(&mut self, now: Time, record: &Record) {
        if let Some(age) = record.answered {
            self.apply_answer(now, now - age);
        }
        for report in &record.crashes {
            let at = now - report.age;
            let crash = Crash {
                endpoint: report.endpoint,
                sent: at - report.ran,
                at,
                observed_here: false,
            };
            self.add_crash(now, crash);
        }
    }

    /// Adds a crash, unless there is one of the same endpoint already.
    pub(super) fn add_crash(&mut self, now: Time, crash: Crash) {
        if self.answered.is_some_and(|at| at >= crash.at) {
            // The reporting peer does not know of the answer yet, so the answer is announced again.
            self.last_changed = now;
            return;
        }
        if self.has_crash_of(crash.endpoint) {
            return;
        }
        let at = self.crashes.partition_point(|c| c.at <= crash.at);
        self.crashes.insert(at, crash);
        if self.crashes.len() > MAX_CRASHES_PER_REQUEST {
            let extra = self.least_informative();
            self.crashes.remove(extra);
            if extra == at {
                return;
            }
        }
        self.last_changed = now;
    }

    /// Returns the index of the least informative crash: the third of a group if there is one, else
    /// the oldest.
    fn least_informative(&self) -> usize {
        let runs = self.crashes.windows(3);
        let close = |run: &[Crash]| same_group(&run[0], &run[2]);
        runs.map(close).position(|is| is).map_or(0, |n| n + 2)
    }

    pub(super) fn apply_answer(&mut self, now: Time, at: Time) {
        if self.answered.is_none() {
            self.last_changed = now;
        }
        let before = self.crashes.len();
        self.crashes.retain(|c| c.at > at);
        if self.crashes.len() < before {
            self.last_changed = now;
        }
        self.answered = self.answered.max(Some(at));
    }

    /// Returns the number of crashes that quarantine the request.
    fn threshold(&self, now: Time) -> usize {
        if self.answered_within(now, RECORD_RETENTION) {
            QUARANTINE_THRESHOLD_ANSWERED
        } else {
            QUARANTINE_THRESHOLD
        }
    }

    /// Tells whether the request has enough crashes to be quarantined.
    fn meets_threshold(&self, now: Time) -> bool {
        self.crashes.len() >= self.threshold(now)
    }

    /// Returns the priority tier for digests. Tier 0 has requests that peers must quarantine, and
    /// those that they must not because they were answered repeatedly. A single answer does not
    /// count, as most requests are never repeated.
    fn tier(&self, now: Time) -> usize {
        if self.meets_threshold(now) || self.answers >= REPEATED_ANSWERS {
            0
        } else if self.crashes.len() > 1 {
            1
        } else {
            2
        }
    }

    /// Lists the crashes that count, among those for which `ended` holds: the first of each group,
    /// and one more if its request was sent after that first crash.
    pub(super) fn counting_crashes(&self, ended: impl Fn(&Crash) -> bool) -> Vec<Crash> {
        let mut counting_crashes: Vec<Crash> = Vec::with_capacity(self.crashes.len());
        let mut group_start: Option<Crash> = None;
        let mut second = false;
        for crash in self.crashes.iter().filter(|crash| ended(crash)) {
            let Some(first) = group_start.filter(|first| same_group(first, crash)) else {
                group_start = Some(*crash);
                second = false;
                counting_crashes.push(*crash);
                continue;
            };
            if !second && crash.sent >= first.at {
                second = true;
                counting_crashes.push(*crash);
            }
        }
        counting_crashes
    }

    fn record(&self, now: Time, request: Fingerprint) -> Record {
        let report = |crash: &Crash| CrashReport {
            endpoint: crash.endpoint,
            age: now.since(crash.at),
            ran: crash.at.since(crash.sent),
        };
        Record {
            request,
            is_part: false,
            crashes: self.crashes.iter().map(report).collect(),
            answered: self.answered.map(|at| now.since(at)),
        }
    }
}

/// Returns the time of the first crash of each endpoint.
pub(super) fn first_crashes<'a>(
    suspects: impl Iterator<Item = &'a Suspect>,
) -> IndexMap<Tag, Time> {
    let mut first_crashes = IndexMap::new();
    for crash in suspects.flat_map(|s| &s.crashes) {
        let end = first_crashes.entry(crash.endpoint).or_insert(crash.at);
        *end = crash.at.min(*end);
    }
    first_crashes
}

/// Tells whether the endpoint of a crash has ended, or is presumed to have.
pub(super) fn presumed_ended(now: Time, crash: &Crash, liveness: Liveness) -> bool {
    match liveness {
        Liveness::Alive => false,
        Liveness::Dead => true,
        Liveness::Unknown => now.since(crash.at) >= PRESUMED_ENDED_AFTER,
    }
}

/// Returns what is left of a time span that began at `since`.
pub(super) fn time_left(now: Time, since: Time, span: Millis) -> Millis {
    Millis(span.0.saturating_sub(now.since(since).0))
}

/// Tells whether two crashes, the earlier one first, belong to one group.
fn same_group(one: &Crash, other: &Crash) -> bool {
    other.at.since(one.at) < CRASH_GROUP_WINDOW
}
