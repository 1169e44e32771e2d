//! Which requests a stopping router still accepts, so that no answer is cut off.

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

/// `StopDeadline` is when a stopping router ends.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct StopDeadline {
    at: Time,
    /// Only routes whose time limit is at most this are held to the deadline: first the length of
    /// the whole stop, after `Gateway::close` any limit.
    max_route_limit: Millis,
}

impl Gateway {
    /// Records that this router stops and ends at `end`. From now on it accepts no request that may
    /// last longer: its answer would be cut off, though a router that stays could have completed
    /// it. Routes whose time limit is longer than the whole stop are excepted until
    /// [`Gateway::close`], because callers still arrive for some time and most answers take a small
    /// part of such a limit.
    pub fn end_at(&mut self, now: Time, end: Time) {
        let max_route_limit = end.since(now);
        self.end = Some(StopDeadline {
            at: end,
            max_route_limit,
        });
    }

    /// Records that callers now go to other routers: no request that may be cut off is accepted any
    /// more.
    pub fn close(&mut self) {
        if let Some(end) = &mut self.end {
            end.max_route_limit = Millis(u64::MAX);
        }
    }

    /// Tells whether a request of a route that may last until `until` would be cut off by the stop.
    pub(in crate::gateway) fn outlasts_stop(&self, route: &Route, until: Time) -> bool {
        self.end
            .is_some_and(|end| until > end.at && route.limit <= end.max_route_limit)
    }
}
