//! Crashes of endpoints while a request was in progress there, and what routers report of them.

use crate::{
    gateway::{
        endpoint::Liveness,
        fingerprint::Fingerprint, //
    },
    ids::Tag,
    units::{
        Millis,
        Time, //
    },
};

/// Window in which crashes belong to one group, of which at most two count: endpoints that are lost
/// together take all their requests with them, and popular content often runs on several of them.
const CRASH_GROUP_WINDOW: Millis = Millis(250);
/// Upper bound of the delay by which a crash reported by a peer appears later than it was.
const MAX_REPORT_DELAY: Millis = Millis(250);
/// Time after a broken connection from which an endpoint that nothing was heard of counts as ended.
/// A connection may break for other reasons; an endpoint that goes on has answered other requests
/// by then.
pub(super) const PRESUMED_ENDED_AFTER: Millis = Millis(500);

/// `Policy` says for how long requests are quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Hold time before the first trial; zero turns the quarantine off.
    pub first: Millis,
}

impl Policy {
    /// Tells whether nothing is quarantined.
    pub(super) const fn is_off(self) -> bool {
        self.first.0 == 0
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
    pub(super) fn was_sent_before(&self, end: Time) -> bool {
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
pub(super) fn same_group(one: &Crash, other: &Crash) -> bool {
    other.at.since(one.at) < CRASH_GROUP_WINDOW
}
