//! What an endpoint says of itself: that it is shutting down, or wants no requests for a time.

use crate::{
    gateway::{
        endpoint::Endpoint,
        mesh, //
    },
    units::{
        Millis,
        Time, //
    },
};

/// Longest time for which an endpoint gets no requests because it asked for that. One that asks for
/// more by mistake is tried again after it.
const MAX_BACK_OFF: Millis = Millis(3_600_000);
/// Time after the sending of a request that was answered for which peers' reports of a back-off are
/// not heeded.
const RECENTLY_SERVED: Millis = Millis(500);

/// `Signals` is what an instance of an endpoint has said of itself in its answers to this router.
///
/// It is first-hand, so no registry entry ends it: the entry may be older than the answer, and may
/// disappear and come back while the instance is the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signals {
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Until when it wants no requests; `None` if it did not ask for that, or that time has ended.
    pub back_off_until: Option<Time>,
}

/// `Signal` is one statement of an endpoint about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// It is shutting down.
    Leaving,
    /// It wants no requests from this router for a time.
    BackOff(Millis),
}

impl Signals {
    /// Notes a statement that arrived at `now`; returns whether it is news. A shorter time than one
    /// that it asked for before doesn't end that one.
    pub fn record(&mut self, now: Time, signal: Signal) -> bool {
        match signal {
            Signal::Leaving => !std::mem::replace(&mut self.leaving, true),
            Signal::BackOff(asked) => {
                let until = now + Millis(asked.0.min(MAX_BACK_OFF.0));
                if until <= now {
                    return false;
                }
                let news = self.back_off_until.is_none_or(|held| held <= now);
                self.back_off_until = self.back_off_until.max(Some(until));
                news
            }
        }
    }
}

impl Endpoint {
    /// Notes that it has asked another router for a back-off that ends in `left`.
    ///
    /// It did not ask this router, and the report may be wrong or hold for that router alone. So other
    /// endpoints are only preferred for a while, and not if it has just served this router.
    pub fn record_peer_back_off(&mut self, now: Time, left: Millis) {
        let serves = |at: Time| now.since(at) < RECENTLY_SERVED;
        if !self.confirmed_at.is_some_and(serves) {
            let until = now + Millis(left.0.min(mesh::MAX_PEER_BACK_OFF.0));
            self.avoided_until = self.avoided_until.max(until);
        }
    }

    /// Tells whether other endpoints are preferred because it has asked another router for a back-off.
    pub fn avoided(&self, now: Time) -> bool {
        now < self.avoided_until
    }

    /// Gets how much longer it wants no requests.
    pub fn back_off(&self, now: Time) -> Millis {
        let until = self.signals.back_off_until;
        until.map_or(Millis(0), |until| until.since(now))
    }

    /// Tells whether it wants no requests now.
    pub fn backing_off(&self, now: Time) -> bool {
        self.back_off(now) > Millis(0)
    }

    /// Forgets a back-off that has ended; returns whether there was one.
    pub fn end_back_off(&mut self, now: Time) -> bool {
        let ended = self.signals.back_off_until.take_if(|until| *until <= now);
        ended.is_some()
    }
}
