//! One endpoint in a router's view: its incarnation, its health, and when both were last confirmed.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use super::{
    MAX_CONFIRMATION_AGE,
    Observation,
    State,
    damping::Penalty,
    link::Contact, //
};
use crate::{
    config::Endpoint,
    event::VmState,
    units::{
        Incarnation,
        Millis,
        Time, //
    },
};

/// Failure score at which an endpoint counts as down.
const DOWN_SCORE: u32 = 6;

/// Score of a refused connection or a 503: three in a row take the endpoint down.
const REFUSED_SCORE: u32 = 2;

/// Score of a failed probe on a new connection: two in a row take the endpoint down.
const UNREACHED_SCORE: u32 = 3;

/// Score of a strike, that is of requests without progress: three strikes, at least
/// [`MIN_STRIKE_INTERVAL`] apart, take the endpoint down.
const SILENT_SCORE: u32 = 2;

/// Shortest time between two strikes. When a middlebox loses its connection table, all open
/// connections fall silent together while new ones work; that is one fault, not many.
const MIN_STRIKE_INTERVAL: Millis = Millis(1000);

/// Time for which a strike counts against an endpoint that answers probes.
const STRIKE_EXPIRY: Millis = Millis::from_secs(30);

/// Time after which an endpoint that the VM list named and no longer names counts as suspect. Lists
/// lag and differ, so a missing entry does not prove that the endpoint is leaving.
pub const MISSING_AFTER: Millis = Millis::from_secs(30);

/// Shortest interval between two probes of an endpoint that is down; it doubles with failed probes
/// up to [`MAX_PROBE_INTERVAL`].
const MIN_PROBE_INTERVAL: Millis = Millis(500);

/// Longest interval between two polls by an endpoint's first poller while polls fail.
const MAX_POLL_INTERVAL: Millis = Millis::from_secs(2);

/// Longest interval between two probes of an endpoint that is down. It is bounded so that every
/// endpoint is found again when it recovers.
pub const MAX_PROBE_INTERVAL: Millis = Millis::from_secs(8);

/// Time after which the driver gives up a poll or probe and reports it as failed. A driver that is
/// short of processor time reports it later.
pub const POLL_TIMEOUT: Millis = Millis(1000);

/// Time after which a poll or probe without any report counts as lost, and another one is sent.
const LOST_POLL_TIMEOUT: Millis = Millis(5000);

/// `Listing` is what the VM list last said of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Listing {
    /// When the list was made.
    pub(super) made_at: Time,
    /// The listed state; `None` if the list no longer named the endpoint.
    pub(super) state: Option<VmState>,
}

/// `EndpointRecord` is what this router knows of one endpoint.
///
/// # Invariants
///
/// `leaving` goes back to false only together with a greater `incarnation`.
#[derive(Clone, Debug)]
pub(super) struct EndpointRecord {
    pub(super) address: SocketAddr,
    pub(super) incarnation: Incarnation,
    /// When this incarnation was first seen to follow another.
    pub(super) restarted_at: Time,
    /// Whether the endpoint states its incarnation when it is polled. One that states it only in
    /// answers to requests cannot announce its next incarnation, as it gets no requests while it is
    /// leaving.
    pub(super) states_incarnation: bool,
    pub(super) leaving: bool,
    /// When this incarnation itself last said that it is leaving.
    said_leaving_at: Option<Time>,
    /// Whether a poll, of any incarnation, has been answered that the endpoint is leaving.
    polls_report_leaving: bool,
    /// When the endpoint last confirmed that it is not leaving.
    pub(super) last_confirmed: Option<Time>,
    /// Confirmations from before this time don't count.
    pub(super) reconfirm_after: Option<Time>,
    /// Score of consecutive failures to reach the endpoint.
    reach_score: u32,
    /// Score of requests without progress.
    request_score: u32,
    last_strike: Option<Time>,
    down: bool,
    down_since: Time,
    pub(super) contact: Contact,
    pub(super) penalty: Penalty,
    pub(super) listed: Option<Listing>,
    pub(super) missing_since: Option<Time>,
    /// When the poll or probe that is still unanswered was sent.
    poll_sent_at: Option<Time>,
    /// When the last poll or probe was sent.
    last_poll_at: Option<Time>,
    failed_polls: u32,
    /// This router's rank among the endpoint's pollers.
    pub(super) rank: usize,
    /// The configured endpoint for which `rank` was computed.
    pub(super) ranked_endpoint: Option<Arc<Endpoint>>,
    pub(super) added_at: Time,
    /// State last reported to the node.
    pub(super) reported_state: State,
}

impl EndpointRecord {
    pub(super) fn new(endpoint: &Endpoint, now: Time) -> Self {
        Self {
            address: endpoint.address,
            incarnation: Incarnation(0),
            restarted_at: Time(0),
            states_incarnation: false,
            leaving: false,
            said_leaving_at: None,
            polls_report_leaving: false,
            last_confirmed: None,
            reconfirm_after: None,
            reach_score: 0,
            request_score: 0,
            last_strike: None,
            down: false,
            down_since: now,
            contact: Contact::default(),
            penalty: Penalty::default(),
            listed: None,
            missing_since: None,
            poll_sent_at: None,
            last_poll_at: None,
            failed_polls: 0,
            rank: 0,
            ranked_endpoint: None,
            added_at: now,
            reported_state: State::Suspect,
        }
    }

    /// Gets the state that follows from what is known.
    pub(super) fn state(&self, now: Time) -> State {
        if self.leaving {
            return State::Leaving;
        }
        if self.down || self.stale(now) {
            return State::Down;
        }
        let is_missing = self
            .missing_since
            .is_some_and(|t| now.since(t) >= MISSING_AFTER);
        let is_suspect = self.last_confirmed.is_none()
            || self.reach_score > 0
            || self.has_recent_strike(now)
            || is_missing
            || self.penalty.suppressed(now);
        if is_suspect {
            State::Suspect
        } else {
            State::Live
        }
    }

    /// Tells whether the endpoint may have been leaving for longer than [`MAX_CONFIRMATION_AGE`]
    /// without this router knowing. One that has never confirmed is suspect and not stale;
    /// otherwise a fleet could not start.
    pub(super) fn stale(&self, now: Time) -> bool {
        match (self.last_confirmed, self.reconfirm_after) {
            (None, None) => false,
            (None, Some(_)) => true,
            (Some(at), _) => now.since(at) > MAX_CONFIRMATION_AGE || self.needs_reconfirmation(),
        }
    }

    /// Records that the endpoint was not leaving at `at`.
    pub(super) fn confirm(&mut self, at: Time) {
        self.last_confirmed = self.last_confirmed.max(Some(at));
    }

    /// Replaces the incarnation by a later one. If the one before had confirmed that it is not
    /// leaving and never said otherwise, it has crashed, which counts as a flap unless the endpoint
    /// is down already.
    pub(super) fn start_incarnation(&mut self, now: Time, incarnation: Incarnation) {
        let crashed =
            self.incarnation != Incarnation(0) && !self.leaving && self.last_confirmed.is_some();
        if crashed && !self.down {
            self.penalty.flap(now);
        }
        self.restarted_at = if self.incarnation == Incarnation(0) && !self.leaving {
            Time(0)
        } else {
            now
        };
        self.incarnation = incarnation;
        self.leaving = false;
        self.said_leaving_at = None;
        self.last_confirmed = None;
        self.reach_score = 0;
        self.request_score = 0;
        self.failed_polls = 0;
        self.down = false;
    }

    /// Records that the endpoint itself said that it is leaving, in the answer to a poll or a
    /// request.
    pub(super) fn note_said_leaving(&mut self, now: Time, seen: Observation) {
        self.said_leaving_at = Some(now);
        self.polls_report_leaving |= seen == Observation::Reached;
    }

    /// Records that an incarnation is leaving, the present one or a later one.
    pub(super) fn mark_leaving(&mut self, incarnation: Incarnation) {
        if incarnation > self.incarnation {
            self.said_leaving_at = None;
        }
        self.incarnation = incarnation;
        self.leaving = true;
    }

    /// Tells whether a poll sent at `asked_at`, whose answer says neither that the endpoint is
    /// leaving nor which incarnation it is, proves that the endpoint has restarted.
    ///
    /// Without this rule an endpoint whose polls never state an incarnation would get no requests
    /// after its first restart: they would be refused with `no_endpoint` although it serves. The
    /// answer proves nothing if the endpoint's polls don't report leaving, since the leaving state
    /// would then end at once. Nor does it prove anything if a peer or a VM list says that the
    /// endpoint is leaving, since they may know more than its process.
    pub(super) fn proves_restart(&self, asked_at: Time) -> bool {
        let listed_as_leaving = self.listed.and_then(|l| l.state) == Some(VmState::Leaving);
        let said_before = self.said_leaving_at.is_some_and(|left| asked_at >= left);
        self.leaving && self.polls_report_leaving && said_before && !listed_as_leaving
    }

    /// Gets the number after this incarnation, for a next incarnation that is not stated. With the
    /// greater number, peers that still report this incarnation as leaving are ignored.
    pub(super) fn next_incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation.0.saturating_add(1))
    }

    /// Records that a request was answered.
    pub(super) fn answered(&mut self, now: Time) {
        self.request_score = 0;
        self.reached(now);
    }

    /// Records that a poll or probe was answered. This does not clear the score of requests: an
    /// endpoint that answers probes but no requests is used again, but one more strike takes it
    /// down.
    pub(super) fn reached(&mut self, now: Time) {
        self.contact.good = Some(now);
        self.reach_score = 0;
        self.failed_polls = 0;
        self.down = false;
        self.request_score = self.request_score.min(DOWN_SCORE - SILENT_SCORE);
    }

    /// Records a connection that could not be made, or a 503.
    pub(super) fn refused(&mut self, now: Time) {
        self.contact.bad = Some(now);
        self.reach_score = (self.reach_score + REFUSED_SCORE).min(DOWN_SCORE);
    }

    /// Records a failed poll or probe.
    pub(super) fn unreached(&mut self, now: Time) {
        self.contact.bad = Some(now);
        self.reach_score = (self.reach_score + UNREACHED_SCORE).min(DOWN_SCORE);
        self.failed_polls = self.failed_polls.saturating_add(1);
    }

    /// Records a request without progress, which is a strike unless the last one was just before.
    pub(super) fn silent(&mut self, now: Time) {
        self.contact.bad = Some(now);
        if !self.has_recent_strike(now) {
            self.request_score = 0;
        }
        if self
            .last_strike
            .is_none_or(|t| now.since(t) >= MIN_STRIKE_INTERVAL)
        {
            self.last_strike = Some(now);
            self.request_score = (self.request_score + SILENT_SCORE).min(DOWN_SCORE);
        }
    }

    /// Tells whether a score has reached [`DOWN_SCORE`] and the endpoint is not yet counted as
    /// down.
    pub(super) fn reached_down_score(&self) -> bool {
        !self.down
            && !self.leaving
            && (self.reach_score >= DOWN_SCORE || self.request_score >= DOWN_SCORE)
    }

    /// Counts the endpoint as down.
    pub(super) fn mark_down(&mut self, now: Time) {
        self.down = true;
        self.down_since = now;
        self.penalty.flap(now);
    }

    /// Counts the endpoint as up again and keeps its scores below [`DOWN_SCORE`], because the fault
    /// was this router's link.
    pub(super) fn undo_down(&mut self, now: Time) {
        if self.down {
            self.down = false;
            self.penalty.remove_flap(now);
        }
        self.reach_score = self.reach_score.min(DOWN_SCORE - 1);
        self.request_score = self.request_score.min(DOWN_SCORE - 1);
    }

    /// Tells whether the endpoint is down and went down within the last `span`.
    pub(super) fn went_down_within(&self, now: Time, span: Millis) -> bool {
        self.down && now.since(self.down_since) <= span
    }

    /// Tells whether a probe on a new connection is due.
    pub(super) fn probe_due(&self, now: Time) -> bool {
        let last_contact_failed = self.contact.bad > self.contact.good;
        let wanted = self.down || last_contact_failed;
        wanted
            && !self.leaving
            && self.may_poll(now)
            && self.interval_passed(now, self.probe_interval())
    }

    /// Tells whether a poll is due at a router that polls when the last confirmation is
    /// `poll_after_age` old.
    pub(super) fn poll_due(&self, now: Time, poll_after_age: Millis) -> bool {
        if !self.may_poll(now) {
            return false;
        }
        if self.needs_reconfirmation() && self.last_poll_at < self.reconfirm_after {
            return true;
        }
        if self.rank == 0 {
            let slowed = self.probe_interval().min(MAX_POLL_INTERVAL);
            let poll_after_age = if self.failed_polls > 0 {
                poll_after_age.max(slowed)
            } else {
                poll_after_age
            };
            return self.interval_passed(now, poll_after_age);
        }
        let is_old = now.since(self.last_confirmed.unwrap_or(self.added_at)) >= poll_after_age;
        let interval = if self.leaving {
            // These polls only serve to find its next incarnation if the first poller does not.
            MAX_PROBE_INTERVAL
        } else {
            self.probe_interval()
        };
        is_old && self.interval_passed(now, interval)
    }

    /// Records that a poll or probe was sent.
    pub(super) fn poll_sent(&mut self, now: Time) {
        self.poll_sent_at = Some(now);
        self.last_poll_at = Some(now);
    }

    /// Records that the unanswered poll or probe ended; gives when it was sent.
    pub(super) fn take_outstanding_poll(&mut self) -> Option<Time> {
        self.poll_sent_at.take()
    }

    /// Discards the poll or probe that was sent before a pause of this process: its answer may date
    /// from before the pause, too. An endpoint that has never confirmed must do so from now on.
    pub(super) fn reset_after_pause(&mut self, now: Time) {
        self.poll_sent_at = None;
        self.last_poll_at = None;
        self.failed_polls = 0;
        if self.last_confirmed.is_none() {
            self.reconfirm_after = Some(now);
        }
    }

    /// Records that a peer reaches the endpoint, so that this router soon probes it again.
    pub(super) fn reached_by_peer(&mut self) {
        self.failed_polls = 0;
    }

    /// Gets when the endpoint was last polled or probed.
    pub(super) fn last_poll(&self) -> Option<Time> {
        self.last_poll_at
    }

    /// Tells whether the last strike still counts.
    fn has_recent_strike(&self, now: Time) -> bool {
        let recent = |t| now.since(t) < STRIKE_EXPIRY;
        self.request_score > 0 && self.last_strike.is_some_and(recent)
    }

    /// Tells whether the last confirmation is too early to count.
    fn needs_reconfirmation(&self) -> bool {
        self.reconfirm_after
            .is_some_and(|after| self.last_confirmed.is_none_or(|at| at < after))
    }

    /// Tells whether the endpoint may be polled. Only one poll or probe is unanswered at a time;
    /// otherwise its answer could be taken for that to a later one, and a leaving endpoint would get
    /// work for as long as the report was late.
    pub(super) fn may_poll(&self, now: Time) -> bool {
        self.poll_sent_at
            .is_none_or(|t| now.since(t) >= LOST_POLL_TIMEOUT)
    }

    fn interval_passed(&self, now: Time, interval: Millis) -> bool {
        self.last_poll_at.is_none_or(|t| now.since(t) >= interval)
    }

    fn probe_interval(&self) -> Millis {
        let doubled = MIN_PROBE_INTERVAL.0 << self.failed_polls.saturating_sub(2).min(8);
        Millis(doubled.min(MAX_PROBE_INTERVAL.0))
    }
}
