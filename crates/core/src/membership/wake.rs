//! Detects that this process was paused, from the gap between two readings of its clock.
//!
//! A router that resumes has an old view of the endpoints, and old messages in its sockets. The age
//! of the view needs no special treatment, as
//! [`MAX_CONFIRMATION_AGE`](super::MAX_CONFIRMATION_AGE) is measured on a clock that counts the
//! pause. The messages in the sockets, however, look new. So for [`SETTLE_TIME`] after a pause,
//! reports that an endpoint is live do not confirm it, failures are not counted, and no endpoint is
//! polled. By the time the first poll is sent the sockets have been read, so its answer cannot be
//! confused with that of an earlier poll.

use crate::units::{
    Millis,
    Time, //
};

/// Time between two events from which this process counts as paused; the driver sends a tick every
/// [`TICK`](crate::event::TICK). A shorter pause is not noticed and may add this much to the age of
/// what the view knows.
pub const MIN_PAUSE: Millis = Millis(400);

/// Time after a pause in which messages that are read may have been sent before it.
pub const SETTLE_TIME: Millis = Millis(100);

/// Time after a pause in which requests wait for an endpoint to be confirmed instead of being
/// refused. It is long enough for two polls of a reachable endpoint.
pub const CONFIRMATION_WAIT: Millis = Millis(600);

/// `PauseDetector` watches the clock for pauses of this process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PauseDetector {
    last_event: Option<Time>,
    resumed_at: Option<Time>,
}

impl PauseDetector {
    /// Records the time of an event; gives the length of the pause that it ended, if there was one.
    pub(super) fn advance(&mut self, now: Time) -> Option<Millis> {
        let gap = self
            .last_event
            .map_or(Millis(0), |last_event| now.since(last_event));
        self.last_event = self.last_event.max(Some(now));
        if gap < MIN_PAUSE {
            return None;
        }
        self.resumed_at = Some(now);
        Some(gap)
    }

    /// Tells whether messages that are read now may have been sent before the pause.
    pub(super) fn settling(&self, now: Time) -> bool {
        self.resumed_at.is_some_and(|t| now.since(t) < SETTLE_TIME)
    }

    /// Tells whether a pause ended so recently that requests should wait for endpoints to be
    /// confirmed.
    pub(super) fn recently_paused(&self, now: Time) -> bool {
        self.resumed_at
            .is_some_and(|t| now.since(t) < CONFIRMATION_WAIT)
    }
}
