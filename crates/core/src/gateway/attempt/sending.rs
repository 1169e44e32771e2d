//! The sending of an attempt, and what its answer says of the endpoint.

use crate::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        RegistryEvent,
        Ticket,
        endpoint,
        place,
        route::Route, //
    },
    units::{
        Millis,
        Time, //
    },
};

/// Multiple of a route's goal after which an attempt without any answer is given up. The answer is
/// late by then, and a hanging endpoint would hold the request until the caller leaves.
const STALL_GOAL_MULTIPLE: u64 = 2;
/// Multiple of a route's longest on-time pause after which a stream without a further event is
/// given up.
const STALL_PAUSE_MULTIPLE: u64 = 4;
/// Shortest time after which an endpoint that sends nothing is given up. A shorter one would give up
/// busy endpoints as hanging.
const MIN_SILENCE_TIMEOUT: Millis = Millis(600);

/// Gets how long an endpoint may send nothing before another one is tried if that is possible.
pub(in crate::gateway) fn silence_limit(route: &Route, begun: bool) -> Millis {
    if begun {
        Millis(route.pause.0 * STALL_PAUSE_MULTIPLE).max(MIN_SILENCE_TIMEOUT)
    } else {
        Millis(route.goal.0 * STALL_GOAL_MULTIPLE).max(MIN_SILENCE_TIMEOUT)
    }
}

impl Gateway {
    /// Tells whether an endpoint may get a request now. It is checked again right before sending,
    /// because the evidence that held when the endpoint was chosen may have expired while the
    /// connection was made, and the endpoint may have asked for a pause.
    pub fn may_send(&self, now: Time, endpoint: EndpointKey) -> bool {
        let backing_off = self
            .registry
            .get(endpoint)
            .is_some_and(|e| e.backing_off(now));
        !backing_off && self.is_confirmed(now, endpoint)
    }

    /// Tells whether an endpoint is usable and nothing has outdated the evidence for that.
    pub(in crate::gateway) fn is_confirmed(&self, now: Time, endpoint: EndpointKey) -> bool {
        let endpoint = self.registry.get(endpoint);
        self.proof.covers_evacuations(now, &self.bounds)
            && endpoint.is_some_and(|e| {
                e.usable()
                    && e.recently_confirmed(
                        now,
                        self.proof.read(),
                        self.bounds.max_confirmation_age,
                    )
            })
    }

    /// Tells whether a request may be sent to the endpoint chosen for it. The endpoint may have
    /// become cold since, and then gets only requests that count against this router's part of its
    /// warm-up limit.
    pub fn may_send_placed(&self, now: Time, ticket: &Ticket, placed: &place::Placed) -> bool {
        let endpoint = self.registry.get(placed.endpoint);
        let cold = endpoint.is_some_and(|e| e.cold(now) > Millis(0));
        let counted = placed.cold || !cold || self.warmup_limit(&ticket.service).is_none();
        let spared = self.brittle_context(now, &ticket.service);
        let spared = spared.zip(endpoint).is_some_and(|(brittle, e)| {
            !placed.at_risk && brittle.at_risk(now, placed.endpoint, e)
        });
        let held = !placed.trial && self.part_verdict(now, ticket).is_some();
        let goes_on = self.check_origin(ticket).is_ok() && !held;
        counted && !spared && goes_on && self.may_send(now, placed.endpoint)
    }

    /// Notes how many requests an endpoint may turn away within a second, as it states in an answer, or
    /// that it states nothing; returns whether that is news.
    pub fn record_brittle(&mut self, now: Time, endpoint: EndpointKey, limit: Option<u32>) -> bool {
        let service = self.registry.get(endpoint).map(|e| &e.entry.service);
        let news = service
            .cloned()
            .is_some_and(|s| self.brittleness.record(now, &s, limit));
        if news {
            self.divide_brittle_endpoints(now);
        }
        news
    }

    /// Notes that an endpoint's answer does not say that it is leaving. The confirmation counts
    /// from when the request was sent, as the answer may have waited in this process.
    pub fn confirm(&mut self, ticket: &Ticket, endpoint: EndpointKey) {
        self.registry.confirm(endpoint, ticket.sent);
    }

    /// Notes what an endpoint's answer says of the endpoint; returns whether that is news. It holds
    /// for the incarnation that the request was sent to.
    pub fn record_signal(&mut self, now: Time, ticket: &Ticket, signal: endpoint::Signal) -> bool {
        let life = ticket.life;
        life.is_some_and(|life| self.registry.record_signal(now, life, signal))
    }

    /// Notes that an attempt is sent.
    pub fn sent(&mut self, now: Time, ticket: &mut Ticket, endpoint: EndpointKey) {
        if !ticket.counted && !ticket.from_peer {
            ticket.counted = true;
            let window = self.bounds.retry.window;
            self.budget(&ticket.service).record_request(now, window);
        }
        ticket.retry_reserved = false;
        ticket.unproved = false;
        ticket.tried.push(endpoint);
        ticket.sent = now;
        let listed = self.registry.get(endpoint);
        ticket.life = listed.map(endpoint::Endpoint::tag);
        ticket.build = listed.map(|e| e.build);
        let opened = ticket.opened.unwrap_or(now);
        let described = listed.is_none_or(|e| e.is_described(self.proof.read(), opened));
        ticket.unconfirmed = (!described).then_some((endpoint, opened));
        self.warmup.sent(now, endpoint);
        self.brittleness.sent(now, endpoint);
        self.registry.sent(now, endpoint);
        if ticket.route.kind.streams() {
            self.registry.sent_stream(now, endpoint);
        }
    }

    /// Notes the load that an endpoint reports in its answer. An answer that waited here during a
    /// suspension says nothing of the load now.
    pub fn record_load(&mut self, now: Time, endpoint: EndpointKey, load: endpoint::Load) {
        if load.slowdown.is_some() {
            self.variability.record(now);
        }
        if self.reads_backlog(now) {
            return;
        }
        self.registry.record_load(now, endpoint, load);
        self.note_load(now, endpoint, load.requests());
    }

    /// Notes that an endpoint's answer has begun, with its first event or with its head.
    pub fn record_begun(&mut self, now: Time, ticket: &Ticket, endpoint: EndpointKey) {
        self.release_prefill(ticket.owner);
        let waited = now.since(ticket.sent);
        self.registry.record_delay(now, endpoint, waited);
    }

    /// Gets how long an endpoint may send nothing before another one is tried; `begun` tells whether
    /// a part of the answer has arrived. `None` if no other attempt could follow, so that the router
    /// keeps waiting.
    pub fn silence_timeout(&mut self, now: Time, ticket: &Ticket, begun: bool) -> Option<Millis> {
        let route = &ticket.route;
        if !route.kind.repeatable() || ticket.attempts() >= ticket.max_attempts {
            return None;
        }
        let other = |(key, e): &(EndpointKey, &endpoint::Endpoint)| {
            !ticket.tried.contains(key)
                && ticket.origin.allows(e.build)
                && !e.paused(now)
                && !e.backing_off(now)
        };
        let other = self.registry.of(&ticket.service).any(|e| other(&e));
        if !other && self.choose_peer(now, ticket).is_none() {
            return None;
        }
        if !self.may_retry(now, &ticket.service) {
            return None;
        }
        Some(silence_limit(route, begun))
    }

    /// Gets how long an endpoint may send nothing before its silence counts where no other attempt
    /// can follow. A request that may run once alone is not repeated, so its silence may be work.
    pub fn silence_notice(&self, ticket: &Ticket) -> Option<Millis> {
        let route = &ticket.route;
        route.kind.repeatable().then(|| silence_limit(route, false))
    }

    /// Notes that an endpoint answered on a connection that was opened at `opened`.
    pub fn heard(&mut self, now: Time, endpoint: EndpointKey, opened: Time) {
        self.registry.record_answer_on(endpoint, opened);
        let Some(endpoint) = self.registry.get(endpoint) else {
            return;
        };
        let service = endpoint.entry.service.clone();
        if let Some(after) = self.reach.heard(now, &service, opened) {
            self.registry.end_pauses_if_peers_reach(now, &service);
            self.events.push(RegistryEvent::Reached { service, after });
        }
    }

    /// Notes that a connection to an endpoint is begun for a request.
    pub fn connecting(&self, now: Time, ticket: &mut Ticket) {
        ticket.connecting_since.get_or_insert(now);
    }
}
