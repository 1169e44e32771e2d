//! Whether an endpoint is alive and can be reached.

use crate::{
    gateway::endpoint::Endpoint,
    units::{
        Millis,
        Time, //
    },
};

/// First pause after a failed connection to an endpoint; doubles with each further failure.
const MIN_PAUSE: Millis = Millis(400);
/// Longest pause between connection attempts to an unreachable endpoint.
const MAX_PAUSE: Millis = Millis(3200);

/// `Liveness` says whether an endpoint is still alive after a connection to it broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It has answered a request that was sent after the break.
    Alive,
    /// It could not be reached since, or is no longer listed.
    Dead,
    /// No evidence either way.
    Unknown,
}

impl Endpoint {
    /// Notes that its answer to a request of this router, sent at `at`, did not say that it is
    /// leaving.
    pub fn confirm(&mut self, at: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Notes the same for a request of another router.
    pub fn confirm_by_peer(&mut self, at: Time) {
        self.confirmed_by_peer_at = self.confirmed_by_peer_at.max(Some(at));
    }

    /// Tells whether it was confirmed less than `bound` ago that it is not leaving; `read` is the
    /// send time of the newest registry read.
    ///
    /// The bound for API keys is longer: with it, endpoints would get requests after the time
    /// within which routers promise to notice that an endpoint leaves. With registry reads as the
    /// only evidence, each registry outage longer than the bound would stop all traffic. The
    /// endpoints' own answers confirm the same at no extra cost.
    pub fn recently_confirmed(&self, now: Time, read: Option<Time>, bound: Millis) -> bool {
        let newest = read.max(self.confirmed_at).max(self.confirmed_by_peer_at);
        newest.is_some_and(|at| now.since(at) < bound)
    }

    /// Tells whether it has been alive since a connection to it broke at `since`.
    ///
    /// An answer to any router's request that was sent later shows that it is alive.
    pub fn liveness_since(&self, since: Time) -> Liveness {
        let answered = self.confirmed_at.max(self.confirmed_by_peer_at);
        if answered.is_some_and(|at| at > since) {
            Liveness::Alive
        } else if self.unreached_at.is_some_and(|at| at >= since) {
            Liveness::Dead
        } else {
            Liveness::Unknown
        }
    }

    /// Tells whether it currently gets no requests because it could not be reached or its answers
    /// broke off.
    pub fn paused(&self, now: Time) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Tells whether it currently gets no requests because no connection to it could be made.
    pub fn unreached(&self, now: Time) -> bool {
        self.paused(now) && self.unreached_at > self.confirmed_at
    }

    /// Tells whether it can't be reached from here, while peers get answers from it.
    pub fn reached_by_peers_only(&self, now: Time) -> bool {
        self.unreached(now) && self.confirmed_by_peer_at > self.unreached_at
    }

    /// Ends the pause of one that peers have reached since it could not be reached from here.
    pub fn end_pause_if_peers_reach(&mut self, now: Time) {
        if self.reached_by_peers_only(now) {
            self.paused_until = None;
            self.consecutive_failures = 0;
        }
    }

    /// Notes that no connection to it could be made.
    pub fn record_unreached(&mut self, now: Time) {
        self.unreached_at = Some(now);
        self.pause(now, self.consecutive_failures);
        self.consecutive_failures += 1;
    }

    pub(super) fn pause(&mut self, now: Time, doublings: u32) {
        let pause = MIN_PAUSE.0 << doublings.min(8);
        self.paused_until = Some(now + Millis(pause.min(MAX_PAUSE.0)));
    }
}
