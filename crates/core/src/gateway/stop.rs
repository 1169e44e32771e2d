//! How a router stops: what it still takes, so that nothing is cut.

use crate::{
    gateway::{
        Gateway,
        route::Route, //
    },
    units::{
        Millis,
        Time, //
    },
};

/// `StopDeadline` is when a router that stops ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct StopDeadline {
    at: Time,
    /// Longest limit of a route that counts: that of the whole stop, then any.
    covers: Millis,
}

impl Gateway {
    /// Notes that this router stops and ends at `end`. From now on it takes no request that may last
    /// longer: its answer would be cut, though a router that stays could have given it. Routes whose
    /// limit is longer than the whole stop are the exception until [`Gateway::close`], as callers
    /// still come for some time and most answers take a small part of such a limit.
    pub fn end_at(&mut self, now: Time, end: Time) {
        let covers = end.since(now);
        self.end = Some(StopDeadline { at: end, covers });
    }

    /// Notes that callers go to other routers by now: nothing is taken that may be cut.
    pub fn close(&mut self) {
        if let Some(end) = &mut self.end {
            end.covers = Millis(u64::MAX);
        }
    }

    /// Tells whether a request of a route that may last until `until` would be cut by the stop.
    pub(super) fn outlasts_stop(&self, route: &Route, until: Time) -> bool {
        self.end
            .is_some_and(|end| until > end.at && route.limit <= end.covers)
    }
}
