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

use bytes::Bytes;

use crate::{
    gateway::{
        endpoint::Liveness,
        fingerprint::Fingerprint,
        quarantine::{
            crash::{
                Crash,
                PRESUMED_ENDED_AFTER,
                Policy,
                Record,
                Verdict,
                time_left, //
            },
            parts::{
                PartQuarantine,
                PromptParts, //
            },
            suspect::Suspect,
            table::{
                RECORD_RETENTION,
                Rules,
                Table, //
            },
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
/// Limit of the answers that wait for a sign of their endpoint; the newest are kept.
const MAX_UNPROVED_ANSWERS: usize = 256;
/// Complete answers from which on a request counts as answered repeatedly.
const REPEATED_ANSWERS: u32 = 2;

const RULES: Rules = Rules {
    threshold: QUARANTINE_THRESHOLD,
    threshold_answered: QUARANTINE_THRESHOLD_ANSWERED,
    hold_factor: HOLD_FACTOR,
    cleared_retention: |policy| RECORD_RETENTION + policy.first,
    max_records: MAX_SUSPECTS,
    max_per_workspace: MAX_SUSPECTS_PER_WORKSPACE,
    // The one with the fewest crashes; among equals the one that changed least recently.
    rank: |suspect| (suspect.crashes.len(), false, suspect.last_changed),
};

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
    /// Service that ran it.
    pub service: Bytes,
}

/// `Quarantine` holds the crash records of requests.
#[derive(Clone, Debug)]
pub struct Quarantine {
    table: Table<Fingerprint>,
    /// Oldest first; answers that are neither complete nor crashes yet.
    unproved: VecDeque<UnprovedAnswer>,
    /// Newest complete answers, by this router's own hash of the content.
    answers: VecDeque<(u64, Time)>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            table: Table::new(&RULES),
            unproved: VecDeque::new(),
            answers: VecDeque::new(),
        }
    }
}

impl Quarantine {
    /// Tells whether the workspace has a suspect; otherwise the content of its requests need not be
    /// hashed.
    pub fn has_suspects(&self, workspace: u32) -> bool {
        self.table.iter().any(|(f, _)| f.workspace == workspace)
    }

    /// Counts the requests that have a record.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Tells whether no request has a record.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
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
        if let Some(suspect) = self.table.get_mut(request) {
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
    pub(in crate::gateway) fn judge_unproved(
        &mut self,
        now: Time,
        parts: &mut PartQuarantine,
        liveness_since: impl Fn(Tag, Time) -> Liveness,
    ) {
        for answer in std::mem::take(&mut self.unproved) {
            let crash = answer.crash;
            let waited = now.since(crash.at) >= PRESUMED_ENDED_AFTER;
            let prompt = PromptParts {
                workspace: answer.request.workspace,
                parts: &answer.parts,
                service: &answer.service,
            };
            match liveness_since(crash.endpoint, crash.at) {
                Liveness::Dead => {
                    self.suspect_mut(now, answer.request).add_crash(now, crash);
                    parts.crashed(now, prompt, crash);
                }
                Liveness::Unknown if !waited => self.unproved.push_back(answer),
                Liveness::Alive | Liveness::Unknown => {
                    self.record_complete_answer(crash.at, answer.hash);
                    if let Some(suspect) = self.table.get_mut(answer.request) {
                        suspect.answers = suspect.answers.saturating_add(1);
                        suspect.apply_answer(now, crash.at);
                    }
                    parts.answered(now, crash.at, prompt);
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
        let Some(suspect) = self.table.get_mut(request) else {
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
        let suspect = self.table.get(request).filter(|_| !policy.is_off())?;
        self.table.proven_crashes(now, suspect, &liveness_since)?;
        let verdict = self.table.verdict(now, suspect, policy, &liveness_since)?;
        let last = verdict.crashes.last()?.at;
        let last_trial = suspect.last_trial.filter(|at| *at >= last);
        let trial = last_trial.map_or(Millis(0), |at| time_left(now, at, TRIAL_INTERVAL));
        let left = verdict.left.max(trial);
        Some(Verdict { left, ..verdict })
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
        if !may_try(verdict, draw, routers) {
            return false;
        }
        if let Some(suspect) = self.table.get_mut(request) {
            suspect.last_trial = Some(now);
        }
        true
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
    }

    /// Picks the records for a digest that has room for so many records and crashes.
    pub fn records(&mut self, now: Time, room: (usize, usize)) -> Vec<Record> {
        let describe = |request, suspect: &Suspect, is_held| (request, tier(suspect, is_held));
        self.table.records(now, room, describe)
    }

    /// Merges a record that a peer sent.
    pub fn heard(&mut self, now: Time, record: &Record) {
        let known = self.table.contains(record.request);
        if !record.crashes.is_empty() || known {
            self.suspect_mut(now, record.request).merge(now, record);
        }
    }

    fn suspect_mut(&mut self, now: Time, request: Fingerprint) -> &mut Suspect {
        self.table.get_or_insert(now, request, request.workspace)
    }
}

/// Tells whether a request would be admitted as a trial; see [`Quarantine::admit_trial`].
pub(in crate::gateway) fn may_try(verdict: &Verdict, draw: u64, routers: u32) -> bool {
    let chosen = draw.is_multiple_of(u64::from(routers.max(1)) * TRIAL_ODDS_PER_ROUTER);
    verdict.left == Millis(0) && chosen
}

/// Returns the priority tier for digests. Tier 0 has requests that peers must quarantine, and those
/// that they must not because they were answered repeatedly. A single answer does not count, as
/// most requests are never repeated.
fn tier(suspect: &Suspect, is_held: bool) -> usize {
    if is_held || suspect.answers >= REPEATED_ANSWERS {
        0
    } else if suspect.crashes.len() > 1 {
        1
    } else {
        2
    }
}
