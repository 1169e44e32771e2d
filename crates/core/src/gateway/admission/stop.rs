//! Which requests a stopping router still accepts, so that no answer is cut off.

use crate::{
    gateway::{
        Gateway,
        Ticket,
        incoming_request::{
            IncomingRequest,
            Length,
            Prompt, //
        },
        route::Route, //
    },
    units::{
        Millis,
        Permille,
        Time, //
    },
};

/// Share of a route's answers that must have ended within what is left of a stop for a request that may run again:
/// its caller can take it up elsewhere if it is cut off.
const REPEATABLE_SHARE: Permille = Permille(900);
/// The same for a request that must not run twice.
const ONCE_SHARE: Permille = Permille(1000);

/// `StopDeadline` is until when a stopping router answers.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct StopDeadline {
    at: Time,
    /// Only routes whose time limit is at most this are held to the deadline: first the length of
    /// the whole stop, after `Gateway::close` any limit.
    max_route_limit: Millis,
}

/// `Span` is the time that a request may take.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct Span {
    began: Time,
    until: Time,
    length: Option<Length>,
}

impl Span {
    /// Gets that of a request that came at `began`, and whose final answer is due at `until`.
    pub(in crate::gateway) fn new(began: Time, until: Time, prompt: Option<&Prompt>) -> Self {
        Self {
            began,
            until,
            length: prompt.map(Prompt::length),
        }
    }

    /// Gets that of a request that comes now.
    pub(in crate::gateway) fn of(now: Time, until: Time, request: &IncomingRequest) -> Self {
        Self::new(now - request.waited, until, request.prompt.as_ref())
    }
}

impl Gateway {
    /// Records that this router stops and answers until `end`. From now on it accepts no request that
    /// may last longer: its answer would be cut off, though a router that stays could have completed
    /// it. Requests of routes whose time limit is longer than the whole stop are accepted until
    /// [`Gateway::close`] if they are likely to end in time, because callers still arrive for some time
    /// and most answers take a small part of such a limit.
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

    /// Tells whether a request is refused because the stop would cut it off.
    pub(in crate::gateway) fn outlasts_stop(&self, now: Time, route: &Route, span: &Span) -> bool {
        let Some(end) = self.end.filter(|end| span.until > end.at) else {
            return false;
        };
        if route.limit <= end.max_route_limit {
            return true;
        }
        let repeatable = route.kind.repeatable();
        let share = if repeatable {
            REPEATABLE_SHARE
        } else {
            ONCE_SHARE
        };
        let expected = self
            .durations
            .expected(now, (&route.name, span.length), share);
        expected.map_or(!repeatable, |took| span.began + took > end.at)
    }

    /// Records how long a request took whose answer is complete, or that was given up at its end.
    pub(in crate::gateway) fn record_duration(&mut self, now: Time, ticket: &Ticket) {
        let kind = (&ticket.route.name, ticket.length);
        self.durations.record(now, kind, now.since(ticket.began));
    }
}
