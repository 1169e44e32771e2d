//! The end of an attempt: what it shows of the endpoint, of the way to it and of the request.

use bytes::Bytes;

use crate::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        RegistryEvent,
        Ticket,
        outcome::{
            AttemptOutcome,
            NextStep, //
        },
        prefill::Owner,
        quarantine::Crash,
        updates::warmup_time, //
    },
    units::{
        Millis,
        Time, //
    },
};

impl Gateway {
    /// Notes how an attempt ended, and decides what follows.
    pub fn ended(
        &mut self,
        now: Time,
        ticket: &mut Ticket,
        endpoint: EndpointKey,
        outcome: AttemptOutcome,
    ) -> NextStep {
        self.release_prefill(ticket.owner);
        let whole = outcome == AttemptOutcome::Answered && ticket.succeeded;
        // A request that is given up at its end takes at least so long.
        if whole || (outcome == AttemptOutcome::Stalled && now >= ticket.until) {
            self.record_duration(now, ticket);
        }
        self.record_outcome(now, ticket, endpoint, outcome);
        // A connection that breaks shows nothing: an endpoint may reset it after each request.
        if outcome == AttemptOutcome::Stalled {
            let service = ticket.service.clone();
            self.record_lost_contact(now, &service, (endpoint, ticket.sent));
        }
        if outcome.breaks_connection() {
            self.registry.record_break(now, endpoint);
        }
        let brittle = self.brittleness.limit(now, &ticket.service).is_some();
        if brittle && outcome == AttemptOutcome::Rejected {
            self.brittleness.rejected(now, endpoint);
        }
        if outcome == AttemptOutcome::Rejected {
            self.record_full(now, ticket, endpoint);
        }
        self.registry
            .ended(now, endpoint, outcome, now.since(ticket.sent));
        self.decide_next(now, ticket, endpoint, outcome)
    }

    /// Notes that the endpoint of an attempt that stays open keeps silent.
    pub fn kept_silent(&mut self, now: Time, ticket: &Ticket, endpoint: EndpointKey) {
        let service = ticket.service.clone();
        self.record_lost_contact(now, &service, (endpoint, ticket.sent));
    }

    fn record_lost_contact(&mut self, now: Time, service: &Bytes, failed: (EndpointKey, Time)) {
        let endpoints = self.registry.of(service).count();
        if let Some(outage) = self.reach.failed(now, service, failed, endpoints) {
            self.events.push(RegistryEvent::Unreached {
                service: service.clone(),
                silent: outage.last_contact.map(|at| now.since(at)),
            });
        }
    }

    /// Tells the quarantine how an attempt ended. A broken connection to a leaving endpoint is no
    /// crash, because such an endpoint may close its connections.
    fn record_outcome(
        &mut self,
        now: Time,
        ticket: &Ticket,
        endpoint: EndpointKey,
        outcome: AttemptOutcome,
    ) {
        let usable = self.registry.get(endpoint).filter(|e| e.usable());
        match (outcome, usable) {
            (AttemptOutcome::Broken, Some(endpoint)) => {
                let crash = Crash {
                    endpoint: endpoint.tag(),
                    sent: ticket.sent,
                    at: now,
                    observed_here: true,
                };
                self.part_quarantine
                    .crashed(now, ticket.prompt_parts(), crash);
            }
            (AttemptOutcome::Answered, _) if ticket.succeeded && !ticket.unproved => {
                self.part_quarantine
                    .answered(now, now, ticket.prompt_parts());
            }
            _ => {}
        }
        let Some(content) = ticket.content else {
            return;
        };
        match (outcome, usable) {
            (AttemptOutcome::Broken, Some(endpoint)) => {
                self.quarantine
                    .crashed(now, content, endpoint.tag(), ticket.sent);
            }
            (AttemptOutcome::Answered | AttemptOutcome::Failed, _) if !ticket.unproved => {
                self.quarantine.answered(now, content)
            }
            _ => {}
        }
    }

    /// Notes that the caller left during an attempt of its request, which `owner` names.
    pub fn caller_left(&mut self, now: Time, owner: Owner, endpoint: EndpointKey) {
        self.release_prefill(owner);
        self.registry
            .ended(now, endpoint, AttemptOutcome::Left, Millis(0));
    }

    /// Notes that an endpoint has closed an idle connection before the time that it had stated.
    pub fn connection_lost(&mut self, now: Time, endpoint: EndpointKey) {
        self.registry.record_break(now, endpoint);
    }

    /// Notes that no connection to an endpoint could be made, so that nothing was sent.
    pub fn unreached(&mut self, now: Time, ticket: &mut Ticket, endpoint: EndpointKey) -> NextStep {
        self.release_prefill(ticket.owner);
        let cold = warmup_time(self.catalog.as_ref());
        self.registry.unreached(now, endpoint, cold);
        let service = ticket.service.clone();
        let since = ticket.connecting_since.unwrap_or(now);
        self.record_lost_contact(now, &service, (endpoint, since));
        self.decide_next(now, ticket, endpoint, AttemptOutcome::NotSent)
    }
}
