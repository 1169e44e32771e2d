//! The crash record of a request's content or of a prompt part.

use indexmap::IndexMap;

use crate::{
    gateway::{
        endpoint::Liveness,
        fingerprint::Fingerprint,
        quarantine::crash::{
            Crash,
            CrashReport,
            Record,
            presumed_ended,
            same_group, //
        },
    },
    ids::Tag,
    units::{
        Millis,
        Time, //
    },
};

/// Limit of the crashes kept for a request; the newest are kept.
pub const MAX_CRASHES_PER_REQUEST: usize = 6;

/// `Suspect` is the crash record of a request's content or of a prompt part.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    /// Tag of the workspace whose requests crashed endpoints; [`ANY_WORKSPACE`](super::parts::ANY_WORKSPACE)
    /// for a part that several sent.
    pub(super) workspace: u32,
    /// Oldest first, at most one for each endpoint.
    pub(super) crashes: Vec<Crash>,
    /// When an endpoint last answered it completely. Earlier crashes are dropped.
    answered: Option<Time>,
    /// Complete answers that this router saw.
    pub(super) answers: u32,
    /// When the record last changed.
    pub(super) last_changed: Time,
    /// When the last trial was admitted.
    pub(super) last_trial: Option<Time>,
}

impl Suspect {
    pub(super) const fn new(now: Time, workspace: u32) -> Self {
        Self {
            workspace,
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

    /// Lists the crashes that count of endpoints that have ended, or are presumed to have.
    pub(super) fn proven_crashes(
        &self,
        now: Time,
        liveness_since: impl Fn(Tag, Time) -> Liveness,
    ) -> Vec<Crash> {
        self.counting_crashes(|c| presumed_ended(now, c, liveness_since(c.endpoint, c.at)))
    }

    /// Lists the crashes that count of endpoints that have not answered since. Once a request is
    /// quarantined, a further crash counts without waiting for proof that the endpoint ended.
    pub(super) fn possible_crashes(
        &self,
        liveness_since: impl Fn(Tag, Time) -> Liveness,
    ) -> Vec<Crash> {
        self.counting_crashes(|c| liveness_since(c.endpoint, c.at) != Liveness::Alive)
    }

    /// Lists the crashes that count, among those for which `ended` holds: the first of each group,
    /// and one more if its request was sent after that first crash.
    fn counting_crashes(&self, ended: impl Fn(&Crash) -> bool) -> Vec<Crash> {
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

    pub(super) fn record(&self, now: Time, request: Fingerprint) -> Record {
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
