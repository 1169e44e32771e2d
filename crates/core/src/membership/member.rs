//! One endpoint in a router's view: its life, its health and how sure the router is of both.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use super::{
    FRESH,
    Seen,
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

/// Score at which an endpoint counts as down.
const DOWN_AT: u32 = 6;

/// Score of a refused connection or a 503: three in a row are enough.
const REFUSED: u32 = 2;

/// Score of a failed probe on a new connection: two in a row are enough.
const UNREACHED: u32 = 3;

/// Score of requests without progress: three are enough, [`STRIKE_GAP`] apart.
const SILENT: u32 = 2;

/// Time in which silent requests count once. One middlebox that loses its table silences all open
/// connections together while new ones work; that is one fault, not many.
const STRIKE_GAP: Millis = Millis(1000);

/// Time for which a request without progress is held against an endpoint that answers probes.
const STRIKE_MEMORY: Millis = Millis::from_secs(30);

/// Time after which an endpoint that the VM list named and no longer names is kept in reserve.
/// Lists lag and differ, so to be missing is no proof of leaving.
pub const MISSING_AFTER: Millis = Millis::from_secs(30);

/// Shortest time between two probes of an endpoint that is down; doubles up to [`PROBE_MAX`].
const PROBE_MIN: Millis = Millis(500);

/// Longest time between two polls by an endpoint's first poller.
const POLL_MAX: Millis = Millis::from_secs(2);

/// Longest time between two probes of an endpoint that is down, so none is lost for ever.
pub const PROBE_MAX: Millis = Millis::from_secs(8);

/// Time after which the driver gives up a poll or probe and says that it failed.
pub const POLL_TIMEOUT: Millis = Millis(1000);

/// `Listed` is what the VM list last said of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Listed {
    /// When the list was made.
    pub(super) date: Time,
    /// Its word; `None` when it no longer named the endpoint.
    pub(super) state: Option<VmState>,
}

/// `Member` is one endpoint.
///
/// # Invariants
///
/// `leaving` goes back to false only together with a greater `life`.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) address: SocketAddr,
    pub(super) life: Incarnation,
    /// When this life was first seen to follow another.
    pub(super) born: Time,
    /// Whether the endpoint states its life when it is polled. One that states it only in answers
    /// to requests can't say that a next life began, as it gets no request while it is leaving.
    pub(super) stated: bool,
    pub(super) leaving: bool,
    /// When this life last said itself that it is leaving.
    own_left: Option<Time>,
    /// Whether a poll, of any life, has said that the endpoint is leaving.
    polls_tell: bool,
    /// When it was last known not to be leaving, by its own word.
    pub(super) sure: Option<Time>,
    /// Word from before this moment doesn't count.
    pub(super) doubt: Option<Time>,
    /// Failures to reach it in a row.
    reach: u32,
    /// Requests that it left unanswered.
    work: u32,
    struck: Option<Time>,
    down: bool,
    downed: Time,
    pub(super) contact: Contact,
    pub(super) penalty: Penalty,
    pub(super) listed: Option<Listed>,
    pub(super) missing: Option<Time>,
    /// When the poll or probe that is still out was sent.
    out: Option<Time>,
    /// When the last one was sent.
    asked: Option<Time>,
    misses: u32,
    /// This router's place among the endpoint's pollers.
    pub(super) rank: usize,
    /// The endpoint as it was when it was ranked.
    pub(super) ranked: Option<Arc<Endpoint>>,
    pub(super) added: Time,
    /// State last given to the node.
    pub(super) given: State,
}

impl Member {
    pub(super) fn new(endpoint: &Endpoint, now: Time) -> Self {
        Self {
            address: endpoint.address,
            life: Incarnation(0),
            born: Time(0),
            stated: false,
            leaving: false,
            own_left: None,
            polls_tell: false,
            sure: None,
            doubt: None,
            reach: 0,
            work: 0,
            struck: None,
            down: false,
            downed: now,
            contact: Contact::default(),
            penalty: Penalty::default(),
            listed: None,
            missing: None,
            out: None,
            asked: None,
            misses: 0,
            rank: 0,
            ranked: None,
            added: now,
            given: State::Suspect,
        }
    }

    /// Gets the state, worked out from what is known.
    pub(super) fn state(&self, now: Time) -> State {
        if self.leaving {
            return State::Leaving;
        }
        if self.down || self.stale(now) {
            return State::Down;
        }
        let missing = self.missing.is_some_and(|t| now.since(t) >= MISSING_AFTER);
        let doubtful = self.sure.is_none()
            || self.reach > 0
            || self.struck_lately(now)
            || missing
            || self.penalty.suppressed(now);
        if doubtful {
            State::Suspect
        } else {
            State::Live
        }
    }

    /// Tells whether the endpoint may have been leaving for [`FRESH`] without this router knowing.
    /// One that was never heard is not stale but suspect, or a fleet could not start.
    pub(super) fn stale(&self, now: Time) -> bool {
        match (self.sure, self.doubt) {
            (None, None) => false,
            (None, Some(_)) => true,
            (Some(sure), _) => now.since(sure) > FRESH || self.doubted(),
        }
    }

    /// Notes that it was known not to be leaving at `at`.
    pub(super) fn confirm(&mut self, at: Time) {
        self.sure = self.sure.max(Some(at));
    }

    /// Starts a later life.
    pub(super) fn begin(&mut self, now: Time, life: Incarnation) {
        let crashed = self.life != Incarnation(0) && !self.leaving && self.sure.is_some();
        if crashed && !self.down {
            self.penalty.flap(now);
        }
        self.born = if self.life == Incarnation(0) && !self.leaving {
            Time(0)
        } else {
            now
        };
        self.life = life;
        self.leaving = false;
        self.own_left = None;
        self.sure = None;
        self.reach = 0;
        self.work = 0;
        self.misses = 0;
        self.down = false;
    }

    /// Notes that it said itself that it is leaving, in the answer to a poll or to a request.
    pub(super) fn said_leaving(&mut self, now: Time, seen: Seen) {
        self.own_left = Some(now);
        self.polls_tell |= seen == Seen::Reached;
    }

    /// Notes that a life is leaving, the present one or a later one.
    pub(super) fn leave(&mut self, life: Incarnation) {
        if life > self.life {
            self.own_left = None;
        }
        self.life = life;
        self.leaving = true;
    }

    /// Tells whether a poll sent at `since`, whose answer says neither that the endpoint is leaving
    /// nor which life it is, shows a next life.
    ///
    /// An endpoint whose polls never state a life would otherwise stay out for good after one
    /// restart, which shows as requests refused with `no_endpoint` while it serves. Nothing is
    /// shown where its polls don't tell that it is leaving, or such a leaving would end at once, and
    /// nothing against a peer or a VM list, which may know more than its process.
    pub(super) fn back_unstated(&self, since: Time) -> bool {
        let list_agrees = self.listed.and_then(|l| l.state) == Some(VmState::Leaving);
        let said = self.own_left.is_some_and(|left| since >= left);
        self.leaving && self.polls_tell && said && !list_agrees
    }

    /// Gets the number that counts up from this life, for a next one that is not stated. Peers
    /// that still spread that this life is leaving are then not believed.
    pub(super) fn next_life(&self) -> Incarnation {
        Incarnation(self.life.0.saturating_add(1))
    }

    /// Notes that a request was answered.
    pub(super) fn answered(&mut self, now: Time) {
        self.work = 0;
        self.reached(now);
    }

    /// Notes that a poll or probe was answered. It doesn't clear what requests have shown: an
    /// endpoint that answers probes and no request comes back on trial, one strike from down.
    pub(super) fn reached(&mut self, now: Time) {
        self.contact.good = Some(now);
        self.reach = 0;
        self.misses = 0;
        self.down = false;
        self.work = self.work.min(DOWN_AT - SILENT);
    }

    /// Notes a refusal.
    pub(super) fn refused(&mut self, now: Time) {
        self.contact.bad = Some(now);
        self.reach = (self.reach + REFUSED).min(DOWN_AT);
    }

    /// Notes a failed poll or probe.
    pub(super) fn unreached(&mut self, now: Time) {
        self.contact.bad = Some(now);
        self.reach = (self.reach + UNREACHED).min(DOWN_AT);
        self.misses = self.misses.saturating_add(1);
    }

    /// Notes a request without progress.
    pub(super) fn silent(&mut self, now: Time) {
        self.contact.bad = Some(now);
        if !self.struck_lately(now) {
            self.work = 0;
        }
        if self.struck.is_none_or(|t| now.since(t) >= STRIKE_GAP) {
            self.struck = Some(now);
            self.work = (self.work + SILENT).min(DOWN_AT);
        }
    }

    /// Tells whether it has just failed often enough to count as down.
    pub(super) fn failed(&self) -> bool {
        !self.down && !self.leaving && (self.reach >= DOWN_AT || self.work >= DOWN_AT)
    }

    /// Counts it as down.
    pub(super) fn fall(&mut self, now: Time) {
        self.down = true;
        self.downed = now;
        self.penalty.flap(now);
    }

    /// Takes back that it is down or nearly so: the fault was this router's link.
    pub(super) fn excuse(&mut self, now: Time) {
        if self.down {
            self.down = false;
            self.penalty.forgive(now);
        }
        self.reach = self.reach.min(DOWN_AT - 1);
        self.work = self.work.min(DOWN_AT - 1);
    }

    /// Tells whether it fell within `span`.
    pub(super) fn fell_within(&self, now: Time, span: Millis) -> bool {
        self.down && now.since(self.downed) <= span
    }

    /// Tells whether a probe on a new connection is due.
    pub(super) fn probe_due(&self, now: Time) -> bool {
        let blamed = self.contact.bad > self.contact.good;
        let wanted = self.down || blamed;
        wanted && !self.leaving && self.may_ask(now) && self.rested(now, self.probe_wait())
    }

    /// Tells whether a poll is due at a router that polls when news is `patience` old.
    pub(super) fn poll_due(&self, now: Time, patience: Millis) -> bool {
        if !self.may_ask(now) {
            return false;
        }
        if self.doubted() && self.asked < self.doubt {
            return true;
        }
        if self.rank == 0 {
            let slowed = self.probe_wait().min(POLL_MAX);
            let patience = if self.misses > 0 {
                patience.max(slowed)
            } else {
                patience
            };
            return self.rested(now, patience);
        }
        let old = now.since(self.sure.unwrap_or(self.added)) >= patience;
        let wait = if self.leaving {
            // Only to find its next life when the first poller does not.
            PROBE_MAX
        } else {
            self.probe_wait()
        };
        old && self.rested(now, wait)
    }

    /// Notes that a poll or probe was sent.
    pub(super) fn ask(&mut self, now: Time) {
        self.out = Some(now);
        self.asked = Some(now);
    }

    /// Notes that the poll or probe that was out ended; gives when it was sent.
    pub(super) fn told(&mut self) -> Option<Time> {
        self.out.take()
    }

    /// Forgets what was out before a pause: its answer, if it still comes, may be as old.
    pub(super) fn wake(&mut self, now: Time) {
        self.out = None;
        self.asked = None;
        self.misses = 0;
        if self.sure.is_none() {
            self.doubt = Some(now);
        }
    }

    /// Notes that a peer reaches it, so that it is soon probed from here again.
    pub(super) fn reached_by_peer(&mut self) {
        self.misses = 0;
    }

    /// Gets when it was last asked.
    pub(super) fn last_asked(&self) -> Option<Time> {
        self.asked
    }

    fn struck_lately(&self, now: Time) -> bool {
        let lately = |t| now.since(t) < STRIKE_MEMORY;
        self.work > 0 && self.struck.is_some_and(lately)
    }

    fn doubted(&self) -> bool {
        self.doubt.is_some_and(|d| self.sure.is_none_or(|s| s < d))
    }

    /// Only one poll or probe is out at a time, or an answer could be taken for a later one's.
    pub(super) fn may_ask(&self, now: Time) -> bool {
        self.out.is_none_or(|t| now.since(t) >= POLL_TIMEOUT)
    }

    fn rested(&self, now: Time, wait: Millis) -> bool {
        self.asked.is_none_or(|t| now.since(t) >= wait)
    }

    fn probe_wait(&self) -> Millis {
        let doubled = PROBE_MIN.0 << self.misses.saturating_sub(2).min(8);
        Millis(doubled.min(PROBE_MAX.0))
    }
}
