//! Whether another attempt follows, and the budget for that.

use bytes::Bytes;

use crate::{
    arena::EndpointKey,
    gateway::{
        Gateway, Ticket,
        budget::RetryBudget,
        handoff,
        outcome::{
            AttemptOutcome,
            NextStep, //
        },
    },
    units::Time, //
};

/// Unreachable endpoints after which a request is given up, because each costs a connect timeout.
const MAX_UNREACHED: usize = 3;

impl Gateway {
    pub(super) fn decide_next(
        &mut self,
        now: Time,
        ticket: &mut Ticket,
        endpoint: EndpointKey,
        outcome: AttemptOutcome,
    ) -> NextStep {
        if outcome == AttemptOutcome::NotSent {
            ticket.tried.retain(|k| *k != endpoint);
            ticket.unreached.push(endpoint);
            // The retry charged to the budget was not sent.
            ticket.retry_reserved |= !ticket.tried.is_empty();
        }
        ticket.may_have_run |= outcome.may_have_run();
        if matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Left) {
            return NextStep::Deliver;
        }
        let may_continue = now < ticket.until && ticket.attempts() < ticket.max_attempts;
        let costs_no_retry = outcome == AttemptOutcome::NotSent && ticket.tried.is_empty();
        let allowed = outcome.repeatable(ticket.route.kind)
            && (!ticket.may_have_run || ticket.route.kind.repeatable());
        let allowed = allowed && self.has_endpoint_of_origin(ticket);
        let crashes = outcome == AttemptOutcome::Broken
            && self
                .part_quarantine
                .forbids_retry(now, ticket.prompt_parts(), self.bounds.hold);
        let allowed = allowed && !crashes;
        let may_continue = may_continue && allowed && !self.has_waited_for_connections(now, ticket);
        if may_continue && (costs_no_retry || self.reserve_retry(now, ticket)) {
            NextStep::Again
        } else {
            NextStep::GiveUp
        }
    }

    /// Decides whether a request that may have run, at a peer or at an endpoint that keeps silent, is sent once more.
    pub(in crate::gateway) fn decide_retry(
        &mut self,
        now: Time,
        ticket: &mut Ticket,
        outcome: AttemptOutcome,
    ) -> NextStep {
        let may_continue = now < ticket.until
            && ticket.attempts() < ticket.max_attempts
            && outcome.repeatable(ticket.route.kind)
            && self.has_endpoint_of_origin(ticket);
        if may_continue && self.reserve_retry(now, ticket) {
            NextStep::Again
        } else {
            NextStep::GiveUp
        }
    }

    /// Tells whether a request has tried as many connections as it may. Where no endpoint of its
    /// service is reached, one that hangs is enough.
    fn has_waited_for_connections(&mut self, now: Time, ticket: &Ticket) -> bool {
        let hung = ticket
            .connecting_since
            .is_some_and(|at| now.since(at) >= handoff::HUNG_TIME);
        let unreached = self.reach.outage(&ticket.service).is_some();
        ticket.unreached.len() >= MAX_UNREACHED
            || (hung && unreached && self.choose_peer(now, ticket).is_none())
    }

    /// Charges a retry to the budget if one is allowed. The charge counts from now, since other
    /// requests may be allowed a retry before this one is sent. A retry that could not be sent
    /// keeps its charge for the next try.
    fn reserve_retry(&mut self, now: Time, ticket: &mut Ticket) -> bool {
        if !ticket.retry_reserved && self.may_retry(now, &ticket.service) {
            let window = self.bounds.retry.window;
            self.budget(&ticket.service).record_retry(now, window);
            ticket.retry_reserved = true;
        }
        ticket.retry_reserved
    }

    pub(in crate::gateway) fn budget(&mut self, service: &Bytes) -> &mut RetryBudget {
        self.budgets.entry(service.clone()).or_default()
    }

    pub(super) fn may_retry(&mut self, now: Time, service: &Bytes) -> bool {
        let mut policy = self.bounds.retry;
        if now < self.extra_retries_from {
            policy.extra = 0;
        }
        self.budget(service).allows(now, &policy)
    }
}
