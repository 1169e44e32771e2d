//! Tells that this process was paused, from the gap between two readings of its clock.
//!
//! A paused router wakes with an old view and with old messages in its sockets. The age of the view
//! needs no care: [`FRESH`](super::FRESH) is measured on a clock that counts the pause. What waits
//! in the sockets looks new but isn't. So for [`SETTLE`] after a wake-up good news is not believed,
//! failures are not held against anybody, and nobody is asked: when the first poll is sent, the
//! sockets have been read, and its answer can't be mistaken for that of an earlier poll.

use crate::units::{
    Millis,
    Time, //
};

/// Time between two events after which this process counts as paused; the driver sends a tick
/// every [`TICK`](crate::event::TICK). A shorter pause may add this much to the age of news.
pub const PAUSE: Millis = Millis(400);

/// Time after a wake-up in which what is read may be from before.
pub const SETTLE: Millis = Millis(100);

/// Time after a wake-up in which requests wait for an endpoint to be confirmed, instead of being
/// refused: two polls of a reachable endpoint fit in.
pub const WAIT: Millis = Millis(600);

/// `Wake` watches the clock for pauses.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Wake {
    last: Option<Time>,
    woken: Option<Time>,
}

impl Wake {
    /// Notes the time of an event; gives the length of the pause that it ended, if one did.
    pub(super) fn advance(&mut self, now: Time) -> Option<Millis> {
        let gap = self.last.map_or(Millis(0), |last| now.since(last));
        self.last = self.last.max(Some(now));
        if gap < PAUSE {
            return None;
        }
        self.woken = Some(now);
        Some(gap)
    }

    /// Tells whether what is read now may be from before the pause.
    pub(super) fn settling(&self, now: Time) -> bool {
        self.woken.is_some_and(|t| now.since(t) < SETTLE)
    }

    /// Tells whether requests should wait for endpoints to be confirmed.
    pub(super) fn waiting(&self, now: Time) -> bool {
        self.woken.is_some_and(|t| now.since(t) < WAIT)
    }
}
