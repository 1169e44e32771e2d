//! Quarantine of prompt parts that crash the endpoints that run requests with them.
//!
//! Requests that share such a part may differ in everything else, so each has a fingerprint of its
//! own and the [quarantine](super::contents) of contents never sees one of them twice. This one
//! keeps a crash record for each shared part of the prompts that were in progress at endpoints
//! whose connections broke.
//!
//! All parts of all these prompts are suspects. Three things tell the one that crashes endpoints
//! from the others:
//!
//! - A complete answer clears the parts of its prompt: the part that crashes endpoints has none.
//! - Crashes that another part explains as well do not count against a part: if each crash of one
//!   part was also one of another part, requests with the first part alone are served, and their
//!   answers clear it.
//! - A part that was answered recently needs more crashes, over a longer time in which its service answered
//!   requests without it about as often as usual. In an outage a missing answer says nothing about a part.
//!
//! The record of a part is about the requests of one workspace until another workspace's request
//! with it is in progress at a crash. A workspace that names another one's part in requests that
//! crash endpoints therefore doesn't get that one's requests quarantined.
//!
//! Each trial may cost an endpoint, so one router of the fleet decides on them, and the hold time
//! grows fast: a day has at most three.

use bytes::Bytes;
use indexmap::IndexMap;

use crate::{
    gateway::{
        endpoint::Liveness,
        fingerprint::Fingerprint,
        quarantine::{
            answers::AnswerRate,
            crash::{
                Crash,
                Policy,
                Record,
                Verdict,
                time_left, //
            },
            suspect::Suspect,
            table::{
                RECORD_RETENTION,
                Rules,
                Table, //
            },
        },
        warmup::Fleet,
    },
    ids::Tag,
    load::score,
    units::{
        Millis,
        Time, //
    },
};

/// Crashes after which a part is quarantined.
pub const PART_THRESHOLD: usize = 3;
/// Crashes after which a part that was answered recently is quarantined.
pub const PART_THRESHOLD_ANSWERED: usize = 5;
/// Time since the first of its crashes for which a part that was answered recently must have had no
/// answer at any router. Popular parts are in progress at most crashes, and have answers within
/// this time.
const ANSWERLESS_TIME: Millis = Millis(1500);
/// Crashes of a part without any answer after which a request with it gets no further attempt: most
/// likely, that would crash the next endpoint.
const RETRY_THRESHOLD: usize = 2;
/// Factor by which the hold time grows after each trial that crashed an endpoint.
const HOLD_FACTOR: u64 = 60;
/// Time after a trial in which no other one of the same part is admitted.
const TRIAL_INTERVAL: Millis = Millis(30_000);
/// Limit of the parts for which crashes are kept.
pub const MAX_PART_SUSPECTS: usize = 1024;
/// Limit of these parts for one workspace.
pub const MAX_PART_SUSPECTS_PER_WORKSPACE: usize = 512;
/// Limit of the remembered answered parts; the ones answered least recently are evicted.
const MAX_ANSWERED_PARTS: usize = 2048;
/// Time for which a record without crashes is kept, for peers that have crashes of its part.
const CLEARED_RETENTION: Millis = Millis(3000);
/// Scope of a part that was in progress at crashes with requests of several workspaces.
pub const ANY_WORKSPACE: u32 = u32::MAX;

/// `PromptParts` is the shared parts of a request's prompt, and the workspace that sent it.
#[derive(Clone, Copy, Debug)]
pub struct PromptParts<'a> {
    /// Tag of the workspace; 0 if there is none.
    pub workspace: u32,
    /// Hashes of the shared parts, each once.
    pub parts: &'a [u64],
    /// Service that runs it.
    pub service: &'a Bytes,
}

/// `PartVerdict` is why and for how long a request with a quarantined part is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartVerdict {
    /// Hash of the part.
    pub part: u64,
    /// Its crashes, and the time until a trial may be admitted.
    pub verdict: Verdict,
}

const RULES: Rules = Rules {
    threshold: PART_THRESHOLD,
    threshold_answered: PART_THRESHOLD_ANSWERED,
    hold_factor: HOLD_FACTOR,
    cleared_retention: |_| CLEARED_RETENTION,
    max_records: MAX_PART_SUSPECTS,
    max_per_workspace: MAX_PART_SUSPECTS_PER_WORKSPACE,
    // The one with the fewest crashes; among equals one that was answered, and the one that changed
    // least recently.
    rank: |suspect| {
        let unanswered = suspect.last_answered().is_none();
        (suspect.crashes.len(), unanswered, suspect.last_changed)
    },
};

impl Suspect {
    /// Tells whether requests with the part were answered recently.
    fn is_known_good(&self, now: Time) -> bool {
        self.answered_within(now, RECORD_RETENTION)
    }

    /// Tells whether its record applies to requests of a workspace.
    fn applies_to(&self, workspace: u32) -> bool {
        self.workspace == ANY_WORKSPACE || self.workspace == workspace
    }

    /// Counts its crashes that were not crashes of another part.
    fn crashes_without(&self, other: &Self) -> usize {
        let crashes = self.crashes.iter();
        crashes.filter(|c| !other.has_crash_of(c.endpoint)).count()
    }

    fn extend_scope(&mut self, workspace: u32) {
        if self.crashes.is_empty() {
            self.workspace = workspace;
        } else if self.workspace != workspace {
            self.workspace = ANY_WORKSPACE;
        }
    }
}

/// `PartQuarantine` holds the crash records of prompt parts.
#[derive(Clone, Debug)]
pub struct PartQuarantine {
    table: Table<u64>,
    /// When requests with a part were last answered completely, as far as this router knows.
    answers: IndexMap<u64, Time>,
    /// Complete answers of each service that this router has passed on.
    service_answers: IndexMap<Bytes, AnswerRate>,
    fleet: Fleet,
}

impl Default for PartQuarantine {
    fn default() -> Self {
        Self {
            table: Table::new(&RULES),
            answers: IndexMap::new(),
            service_answers: IndexMap::new(),
            fleet: Fleet::default(),
        }
    }
}

impl PartQuarantine {
    /// Counts the parts that have a record.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Tells whether no part has a record.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Updates the list of routers, of which one admits the trials of a part.
    pub fn update_fleet(&mut self, fleet: &Fleet) {
        self.fleet.clone_from(fleet);
    }

    /// Records that an endpoint broke a connection on which a request was in progress.
    pub fn crashed(&mut self, now: Time, prompt: PromptParts<'_>, crash: Crash) {
        for part in prompt.parts {
            let answered = self.answers.get(part).copied();
            let suspect = self.table.get_or_insert(now, *part, prompt.workspace);
            if let Some(at) = answered {
                suspect.apply_answer(now, at);
            }
            suspect.extend_scope(prompt.workspace);
            suspect.add_crash(now, crash);
        }
    }

    /// Records that a request was answered completely, at `at`.
    pub fn answered(&mut self, now: Time, at: Time, prompt: PromptParts<'_>) {
        match self.service_answers.get_mut(prompt.service) {
            Some(rate) => rate.record(at),
            None => {
                let rate = self.service_answers.entry(prompt.service.clone());
                rate.or_default().record(at);
            }
        }
        for part in prompt.parts {
            self.remember_answer(at, *part);
            if let Some(suspect) = self.table.get_mut(*part) {
                suspect.apply_answer(now, at);
            }
        }
    }

    fn remember_answer(&mut self, at: Time, part: u64) {
        if self.answers.len() >= MAX_ANSWERED_PARTS && !self.answers.contains_key(&part) {
            let oldest = self.answers.values().enumerate().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(index, _)| index) {
                self.answers.swap_remove_index(oldest);
            }
        }
        let newest = self.answers.entry(part).or_insert(at);
        *newest = at.max(*newest);
    }

    /// Tells whether another attempt of a request would probably crash another endpoint.
    pub fn forbids_retry(&self, now: Time, prompt: PromptParts<'_>, policy: Policy) -> bool {
        if policy.is_off() {
            return false;
        }
        let crashes = |part: &u64| {
            let suspect = self.table.get(*part)?;
            (!suspect.is_known_good(now) && suspect.applies_to(prompt.workspace))
                .then_some(suspect.crashes.len())
        };
        let most = prompt.parts.iter().filter_map(crashes).max();
        most.is_some_and(|crashes| crashes >= RETRY_THRESHOLD)
    }

    /// Tells whether a request has a quarantined part; `liveness_since` tells whether an endpoint
    /// has answered or ended since a time.
    pub fn verdict(
        &self,
        now: Time,
        prompt: PromptParts<'_>,
        policy: Policy,
        liveness_since: impl Fn(Tag, Time) -> Liveness,
    ) -> Option<PartVerdict> {
        if self.table.is_empty() || policy.is_off() {
            return None;
        }
        let held = prompt.parts.iter().filter_map(|part| {
            let suspect = self.table.get(*part)?;
            let verdict = self.part_verdict(now, suspect, prompt, policy, &liveness_since)?;
            Some(PartVerdict {
                part: *part,
                verdict,
            })
        });
        held.max_by_key(|v| v.verdict.left)
    }

    fn part_verdict(
        &self,
        now: Time,
        suspect: &Suspect,
        prompt: PromptParts<'_>,
        policy: Policy,
        liveness_since: impl Fn(Tag, Time) -> Liveness,
    ) -> Option<Verdict> {
        if !suspect.applies_to(prompt.workspace) {
            return None;
        }
        let proven = self.table.proven_crashes(now, suspect, &liveness_since)?;
        let first = proven.first()?.at;
        // An answer to a request with the part would have cleared its crashes: these are to others.
        let answers = self.service_answers.get(prompt.service);
        let others_answered = answers.is_some_and(|rate| rate.has_served_since(first, now));
        let is_proof = others_answered && now.since(first) >= ANSWERLESS_TIME;
        let is_unproved = suspect.is_known_good(now) && !is_proof;
        if is_unproved || self.is_explained(now, suspect, prompt) {
            return None;
        }
        let verdict = self.table.verdict(now, suspect, policy, &liveness_since)?;
        let trial = suspect.last_trial;
        let trial = trial.map_or(Millis(0), |at| time_left(now, at, TRIAL_INTERVAL));
        let left = verdict.left.max(trial);
        Some(Verdict { left, ..verdict })
    }

    /// Tells whether a part that the prompt does not have explains the crashes of one that it has: a
    /// part with at least as many crashes, without which too few of them are left. A part that was
    /// answered recently explains no crashes of one that was not.
    fn is_explained(&self, now: Time, suspect: &Suspect, prompt: PromptParts<'_>) -> bool {
        let threshold = self.table.threshold(now, suspect);
        let crashes = suspect.crashes.len();
        let absent = self.table.iter();
        let mut absent = absent.filter(|(part, _)| !prompt.parts.contains(part));
        absent.any(|(_, other)| {
            self.table.threshold(now, other) <= threshold
                && other.crashes.len() >= crashes
                && suspect.crashes_without(other) < threshold
        })
    }

    /// Admits a request as a trial of all its quarantined parts if their hold time is over and this
    /// router is the one that decides on it.
    pub fn admit_trial(&mut self, now: Time, verdict: &PartVerdict) -> bool {
        if !self.may_try(verdict) {
            return false;
        }
        if let Some(suspect) = self.table.get_mut(verdict.part) {
            suspect.last_trial = Some(now);
        }
        true
    }

    /// Tells whether a request would be admitted as a trial.
    pub fn may_try(&self, verdict: &PartVerdict) -> bool {
        verdict.verdict.left == Millis(0) && self.owns(verdict.part)
    }

    /// Tells whether this router is the first of the fleet for a part, by rendezvous hashing.
    fn owns(&self, part: u64) -> bool {
        let own = score(part, self.fleet.me);
        self.fleet.others.iter().all(|o| score(part, *o) < own)
    }

    /// Drops old records and false crashes; `liveness_since` tells whether an endpoint has answered or
    /// ended since a time.
    pub fn expire(
        &mut self,
        now: Time,
        policy: Policy,
        liveness_since: impl Fn(Tag, Time) -> Liveness,
    ) {
        self.table.expire(now, policy, liveness_since);
        self.service_answers.retain(|_, rate| {
            rate.newest()
                .is_some_and(|at| now.since(at) < RECORD_RETENTION)
        });
    }

    /// Picks the records for a digest that has room for so many records and crashes.
    pub fn records(&mut self, now: Time, room: (usize, usize)) -> Vec<Record> {
        let describe = |part, suspect: &Suspect, is_held| {
            let request = Fingerprint {
                workspace: suspect.workspace,
                content: part,
            };
            let known_good = suspect.is_known_good(now);
            // Parts without any answer are the likely ones. Peers need the answers of the others
            // only if they hold crashes of them.
            let tier = match (is_held, known_good, suspect.crashes.len()) {
                (true, _, _) | (false, false, 2..) => 0,
                (false, true, 1) => 2,
                _ => 1,
            };
            (request, tier)
        };
        let picked = self.table.records(now, room, describe);
        let records = picked.into_iter().map(|record| Record {
            is_part: true,
            ..record
        });
        records.collect()
    }

    /// Merges a record that a peer sent.
    pub fn heard(&mut self, now: Time, record: &Record) {
        let part = record.request.content;
        let known = self.table.contains(part);
        if record.crashes.is_empty() && !known {
            return;
        }
        if let Some(age) = record.answered {
            self.remember_answer(now - age, part);
        }
        let answered = self.answers.get(&part).copied();
        let suspect = self
            .table
            .get_or_insert(now, part, record.request.workspace);
        if !record.crashes.is_empty() {
            suspect.extend_scope(record.request.workspace);
        }
        if let Some(at) = answered {
            suspect.apply_answer(now, at);
        }
        suspect.merge(now, record);
    }
}
