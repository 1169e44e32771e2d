//! The path of one request: admission, placement, sending, and what follows the end of an attempt.

use std::{
    net::SocketAddrV4,
    sync::Arc, //
};

use bytes::Bytes;
use indexmap::IndexSet;

use crate::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        RegistryEvent,
        budget::RetryBudget,
        catalog::Workspace,
        endpoint,
        fingerprint::{
            self,
            Content,
            Fingerprint, //
        },
        handoff,
        hot_spots,
        incoming_request::{
            IncomingRequest,
            Prompt, //
        },
        origin::{
            Build,
            Origin, //
        },
        outcome::{
            AttemptOutcome,
            NextStep, //
        },
        place,
        quarantine::{
            self, Crash, UnprovedAnswer, Verdict,
            parts::{
                PartVerdict,
                PromptParts, //
            },
        },
        refusal::{
            Cause,
            Refusal, //
        },
        retry_delay_after,
        route::Route,
        spread_retry_delay,
        updates::warmup_time, //
    },
    ids::Tag,
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

/// Time within which endpoints that are full have room again: callers who are refused come back spread
/// over it.
pub(super) const FULL_RETRY_DELAY: Millis = Millis(1000);

/// Unreachable endpoints after which a request is given up, because each costs a connect timeout.
const MAX_UNREACHED: usize = 3;

/// `Ticket` is an admitted request and the state of its attempts.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Route that the request matched.
    pub route: Arc<Route>,
    /// Service drawn from the route's weighted services.
    pub service: Bytes,
    /// Workspace that sent it; `None` if it came without a known key on a route that needs none.
    pub workspace: Option<Arc<Workspace>>,
    /// Priority under overload; 0 is the most urgent.
    pub priority: u8,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// When the final answer is due: the deadline, or the route's time limit if that is earlier.
    pub until: Time,
    /// Version of the configuration that admitted it.
    pub version: u64,
    /// Endpoints that it was sent to.
    pub tried: Vec<EndpointKey>,
    /// When it was last sent to an endpoint.
    pub sent: Time,
    /// Incarnation of the endpoint that it was last sent to.
    pub life: Option<Tag>,
    /// Endpoints that could not be connected to; they don't count as attempts.
    pub unreached: Vec<EndpointKey>,
    /// Attempts of peers at endpoints that are not listed here.
    pub remote_attempts: u32,
    /// Most endpoints that it may be sent to.
    pub max_attempts: u32,
    /// Endpoints that it must not be sent to because another router has tried them.
    pub excluded: Vec<EndpointKey>,
    /// Peers that it was handed to, or that could not be connected to.
    pub peers: Vec<SocketAddrV4>,
    /// Whether a peer has handed it to this router.
    pub from_peer: bool,
    /// Whether the retry budget counts it as a request.
    pub counted: bool,
    /// When the first connection that it waited for was begun.
    pub connecting_since: Option<Time>,
    /// Whether an endpoint may have run it.
    pub may_have_run: bool,
    /// Whether the retry budget is already charged for a retry that has not been sent yet.
    pub retry_reserved: bool,
    /// Fingerprint of its content, if that was computed.
    pub content: Option<Fingerprint>,
    /// Hashes of the shared parts of its prompt, each once.
    pub parts: Arc<[u64]>,
    /// Whether the newest answer has a status of success.
    pub succeeded: bool,
    /// Software version at which it may run, if its caller has events of its stream.
    pub origin: Origin,
    /// Software version of the endpoint that it was last sent to.
    pub build: Option<Build>,
    /// Whether nothing but the end of its connection shows that the newest answer is complete.
    pub unproved: bool,
}

impl Ticket {
    /// Counts its attempts: the endpoints that it was sent to.
    pub fn attempts(&self) -> u32 {
        let tried = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        tried.saturating_add(self.remote_attempts)
    }

    /// Gets the tag of the workspace that sent it.
    pub(super) fn workspace_tag(&self) -> u64 {
        self.fingerprint_workspace().into()
    }

    /// Gets the workspace tag of its fingerprints.
    fn fingerprint_workspace(&self) -> u32 {
        fingerprint::workspace(self.workspace.as_ref().map(|w| &w.name))
    }

    fn prompt_parts(&self) -> PromptParts<'_> {
        PromptParts {
            workspace: self.fingerprint_workspace(),
            parts: &self.parts,
        }
    }
}

/// Refuses a request that no endpoint could be chosen for, if it is known what would make room; else
/// returns why there is no endpoint.
pub(super) fn refuse_unplaced(
    context: &place::PlacementContext<'_>,
    ticket: &Ticket,
) -> Result<Refusal, Cause> {
    let retry_delay = |room| spread_retry_delay(context.now, ticket.deadline, room, context.draw);
    let may_have_run = ticket.may_have_run;
    if let Some(warm) = place::time_until_warm(context, ticket) {
        let wait = retry_delay(warm);
        return Ok(Refusal::with_retry_after(
            Cause::WarmingUp,
            wait,
            may_have_run,
        ));
    }
    let has_full_share = place::has_full_share(context, ticket);
    if has_full_share || place::has_spared(context, ticket) {
        let wait = retry_delay(FULL_RETRY_DELAY);
        return Ok(Refusal {
            peers_have_room: has_full_share,
            ..Refusal::with_retry_after(Cause::Overloaded, wait, may_have_run)
        });
    }
    Err(if place::has_unconfirmed(context, ticket) {
        Cause::Unconfirmed
    } else {
        Cause::NoEndpoint
    })
}

/// Refuses a request whose endpoints want no requests until the time `left` has passed.
pub(super) fn refuse_backing_off(now: Time, ticket: &Ticket, left: Millis, draw: u64) -> Refusal {
    let wait = retry_delay_after(now, ticket.deadline, left, draw);
    Refusal::with_retry_after(Cause::BackingOff, wait, ticket.may_have_run)
}

/// Gets how long an endpoint may send nothing before another one is tried if that is possible.
pub(super) fn silence_limit(route: &Route, begun: bool) -> Millis {
    if begun {
        Millis(route.pause.0 * STALL_PAUSE_MULTIPLE).max(MIN_SILENCE_TIMEOUT)
    } else {
        Millis(route.goal.0 * STALL_GOAL_MULTIPLE).max(MIN_SILENCE_TIMEOUT)
    }
}

/// Gets when the caller stops waiting, and when the final answer is due.
fn due(now: Time, route: &Route, incoming_request: &IncomingRequest) -> (Time, Time) {
    let began = now - incoming_request.waited;
    let limit = began + route.limit;
    let deadline = incoming_request.deadline.map_or(limit, |left| began + left);
    (deadline, deadline.min(limit))
}

/// Lists the hashes of the shared parts of a request's prompt, each once.
fn shared_parts(incoming_request: &IncomingRequest) -> Arc<[u64]> {
    let shared = incoming_request.prompt.iter().flat_map(Prompt::shared);
    let parts: IndexSet<u64> = shared.map(|part| part.id).collect();
    parts.into_iter().collect()
}

impl Gateway {
    /// Admits a request, or refuses it.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets immediately.
    pub fn admit(
        &mut self,
        now: Time,
        incoming_request: &IncomingRequest,
    ) -> Result<Ticket, Refusal> {
        let Some(catalog) = self.catalog.clone() else {
            return Err(Refusal::temporary(Cause::NotReady));
        };
        if !self.proof.covers_routes(now, &self.bounds) {
            return Err(Refusal::temporary(Cause::Stale));
        }
        let Some(route) = catalog.route(&incoming_request.host, &incoming_request.path) else {
            return Err(Refusal::permanent(Cause::UnknownRoute));
        };
        let workspace = match &incoming_request.key {
            Some(key) => catalog.holder(key),
            None => None,
        };
        if workspace.is_none() && !route.anonymous && catalog.has_workspaces() {
            return Err(Refusal::permanent(Cause::UnknownKey));
        }
        let (_, until) = due(now, route, incoming_request);
        if self.outlasts_stop(route, until) {
            return Err(Refusal::temporary(Cause::Stopping));
        }
        let draw = self.draw();
        let Some(service) = route.service(draw) else {
            return Err(Refusal::temporary(Cause::NoEndpoint));
        };
        let window = self.bounds.retry.window;
        self.budget(&service).record_request(now, window);
        let version = catalog.version;
        let ticket = Ticket::new(now, version, route, service, workspace, incoming_request);
        Ok(ticket)
    }
}

impl Ticket {
    /// Makes the ticket of a request that is admitted now.
    pub(super) fn new(
        now: Time,
        version: u64,
        route: &Arc<Route>,
        service: Bytes,
        workspace: Option<Arc<Workspace>>,
        incoming_request: &IncomingRequest,
    ) -> Self {
        let priority = workspace
            .as_ref()
            .and_then(|w| w.priority)
            .unwrap_or(route.priority);
        let (deadline, until) = due(now, route, incoming_request);
        Self {
            service,
            workspace,
            priority,
            deadline,
            until,
            version,
            max_attempts: route.attempts,
            route: Arc::clone(route),
            remote_attempts: 0,
            excluded: Vec::new(),
            peers: Vec::new(),
            from_peer: false,
            counted: true,
            connecting_since: None,
            tried: Vec::new(),
            sent: now,
            life: None,
            unreached: Vec::new(),
            may_have_run: false,
            retry_reserved: false,
            content: None,
            parts: shared_parts(incoming_request),
            succeeded: true,
            origin: Origin::New,
            build: None,
            unproved: false,
        }
    }
}

impl Gateway {
    /// Chooses the endpoint of the next attempt.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets immediately.
    pub fn place(
        &mut self,
        now: Time,
        ticket: &Ticket,
        incoming_request: &IncomingRequest,
    ) -> Result<place::Placed, Refusal> {
        if now >= ticket.until {
            return Err(Refusal::given_up(Cause::Deadline, ticket.may_have_run));
        }
        self.check_origin(now, ticket)?;
        let trial = self.check_quarantine(now, ticket)?;
        if self.cannot_help(now, ticket) {
            return Err(Refusal::given_up(Cause::Unreached, ticket.may_have_run));
        }
        let draw = self.draw();
        let part = incoming_request
            .prompt
            .as_ref()
            .and_then(Prompt::placement_part);
        let is_first = ticket.tried.is_empty() && ticket.unreached.is_empty();
        if let Some(part) = part.filter(|_| is_first) {
            self.record_request_sample(
                now,
                &ticket.service,
                hot_spots::tag(part.id),
                incoming_request.work(),
            );
        }
        if self.warmup.has_cold_endpoints() {
            self.warmup.record_waiting(now, ticket.workspace_tag());
        }
        let context = self.placement_context(now, ticket, draw);
        let placed = place::choose(&context, ticket, incoming_request.prompt.as_ref());
        let Some(placed) = placed else {
            let cause = match refuse_unplaced(&context, ticket) {
                Ok(refusal) => return Err(refusal),
                Err(cause) => cause,
            };
            return Err(self.give_up(now, ticket, cause));
        };
        self.record_shared_reads(now, incoming_request, placed.endpoint);
        if placed.at_risk {
            self.brittleness.record_placed(now, placed.endpoint);
        }
        if placed.cold {
            let workspace = ticket.workspace_tag();
            self.warmup.record_placed(now, workspace, placed.endpoint);
        }
        let engines_share = self
            .catalog
            .as_ref()
            .is_some_and(|c| c.engines_share_cache(&ticket.service));
        Ok(place::Placed {
            holder: placed.holder.filter(|_| engines_share),
            trial,
            ..placed
        })
    }

    /// Gets what a placement depends on; `draw` is a random number.
    pub(super) fn placement_context(
        &self,
        now: Time,
        ticket: &Ticket,
        draw: u64,
    ) -> place::PlacementContext<'_> {
        let service = &ticket.service;
        place::PlacementContext {
            share: self.connection_share(service),
            hot_spots: self.hot_spots.get(service),
            shared_reads: &self.shared_reads,
            registry: &self.registry,
            proof: &self.proof,
            bounds: &self.bounds,
            warmup: self.warmup_limit(service).map(|_| &self.warmup),
            brittle: self.brittle_context(now, service),
            routers: self.routers,
            is_short: self.pressure(now, ticket).is_some(),
            speeds_vary: self.variability.is_stated(now),
            now,
            draw,
        }
    }

    /// Checks that a request is not held back by the quarantine; returns whether it is let through as
    /// a trial.
    fn check_quarantine(&mut self, now: Time, ticket: &Ticket) -> Result<bool, Refusal> {
        let held = self.part_verdict(now, ticket);
        if let Some(held) = &held
            && !self.part_quarantine.admit_trial(now, held)
        {
            let left = held.verdict.left.max(quarantine::MIN_RETRY_AFTER);
            return Err(Refusal::part_quarantined(left, ticket.may_have_run));
        }
        let (Some(verdict), Some(content)) = (self.verdict(now, ticket), ticket.content) else {
            return Ok(held.is_some());
        };
        let draw = self.draw();
        let routers = self.routers;
        if self
            .quarantine
            .admit_trial(now, content, &verdict, draw, routers)
        {
            return Ok(true);
        }
        let left = verdict.left.max(quarantine::MIN_RETRY_AFTER);
        Err(Refusal::quarantined(left, ticket.may_have_run))
    }

    /// Gets the fingerprint of a request's content, and tells the quarantine if the same content
    /// was answered completely through this router before.
    pub fn identify(&mut self, now: Time, content: &Content<'_>) -> Fingerprint {
        let request = Fingerprint::of(content);
        let hash = fingerprint::keyed_hash(self.seed, content);
        self.quarantine.apply_remembered_answer(now, request, hash);
        request
    }

    /// Notes that a request with this content was answered completely.
    pub fn record_complete_answer(&mut self, now: Time, content: &Content<'_>) {
        let hash = fingerprint::keyed_hash(self.seed, content);
        self.quarantine.record_complete_answer(now, hash);
    }

    /// Notes an answer to a request with this content that ended with its connection; its ticket says so.
    pub fn record_unproved_answer(
        &mut self,
        now: Time,
        ticket: &Ticket,
        endpoint: EndpointKey,
        content: &Content<'_>,
    ) {
        let Some(endpoint) = self.registry.get(endpoint).filter(|e| e.usable()) else {
            return;
        };
        self.quarantine.answered_unproved(UnprovedAnswer {
            request: Fingerprint::of(content),
            hash: fingerprint::keyed_hash(self.seed, content),
            crash: Crash {
                endpoint: endpoint.tag(),
                sent: ticket.sent,
                at: now,
                observed_here: true,
            },
            parts: Arc::clone(&ticket.parts),
        });
    }

    /// Tells whether the contents of this workspace's requests must be fingerprinted, because some
    /// of them were in progress at endpoints whose connections broke.
    pub fn has_suspects(&self, ticket: &Ticket) -> bool {
        self.quarantine.has_suspects(ticket.fingerprint_workspace())
    }

    /// Tells whether, why and for how long a request is held back.
    pub fn verdict(&self, now: Time, ticket: &Ticket) -> Option<Verdict> {
        let liveness_since = |life, since| self.registry.liveness_since(life, since);
        let content = ticket.content?;
        self.quarantine
            .verdict(now, content, self.bounds.hold, liveness_since)
    }

    /// Tells whether, why and for how long a request is held back for a part of its prompt.
    pub fn part_verdict(&self, now: Time, ticket: &Ticket) -> Option<PartVerdict> {
        if self.part_quarantine.is_empty() {
            return None;
        }
        let liveness_since = |life, since| self.registry.liveness_since(life, since);
        let prompt = ticket.prompt_parts();
        self.part_quarantine
            .verdict(now, prompt, self.bounds.hold, liveness_since)
    }

    /// Gives up a request for which there is no endpoint, or no further attempt. Where all endpoints
    /// of its service have asked for a time without requests, the refusal says when the first of
    /// these times ends.
    pub fn give_up(&mut self, now: Time, ticket: &Ticket, cause: Cause) -> Refusal {
        match self.first_back_off_end(now, ticket, cause) {
            Some(left) => {
                let draw = self.draw();
                refuse_backing_off(now, ticket, left, draw)
            }
            None => Refusal::given_up(cause, ticket.may_have_run),
        }
    }

    /// Gets the time until the first back-off ends if that is why there is no endpoint.
    pub(super) fn first_back_off_end(
        &self,
        now: Time,
        ticket: &Ticket,
        cause: Cause,
    ) -> Option<Millis> {
        let back_offs = self.registry.of(&ticket.service);
        let back_offs = back_offs.map(|(_, e)| e.back_off(now));
        let first_end = back_offs.min().filter(|left| *left > Millis(0));
        first_end.filter(|_| cause == Cause::NoEndpoint)
    }

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
    pub(super) fn is_confirmed(&self, now: Time, endpoint: EndpointKey) -> bool {
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
        let goes_on = self.check_origin(now, ticket).is_ok() && !held;
        counted && !spared && goes_on && self.may_send(now, placed.endpoint)
    }

    fn brittle_context(&self, now: Time, service: &Bytes) -> Option<place::BrittleContext<'_>> {
        self.brittleness.limit(now, service)?;
        let used = self.registry.of(service).map(|(_, e)| e.own_in_flight);
        let used = used.fold(0, u32::saturating_add);
        Some(place::BrittleContext {
            brittleness: &self.brittleness,
            routers: self.routers,
            confined: self.brittleness.uses_free_share(service, used),
        })
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
        self.warmup.sent(now, endpoint);
        self.brittleness.sent(now, endpoint);
        self.registry.sent(now, endpoint);
        if ticket.route.kind.streams() {
            self.registry.sent_stream(now, endpoint);
        }
    }

    /// Notes the load that an endpoint reports in its answer.
    pub fn record_load(&mut self, now: Time, endpoint: EndpointKey, load: endpoint::Load) {
        if load.slowdown.is_some() {
            self.variability.record(now);
        }
        self.registry.record_load(now, endpoint, load);
    }

    /// Notes that an endpoint's answer has begun, with its first event or with its head.
    pub fn record_begun(&mut self, now: Time, ticket: &Ticket, endpoint: EndpointKey) {
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

    /// Notes how an attempt ended, and decides what follows.
    pub fn ended(
        &mut self,
        now: Time,
        ticket: &mut Ticket,
        endpoint: EndpointKey,
        outcome: AttemptOutcome,
    ) -> NextStep {
        self.record_outcome(now, ticket, endpoint, outcome);
        // A connection that breaks shows nothing: an endpoint may reset it after each request.
        if outcome == AttemptOutcome::Stalled {
            let service = ticket.service.clone();
            self.record_lost_contact(now, &service, (endpoint, ticket.sent));
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

    /// Notes that an endpoint answered on a connection that was opened at `opened`.
    pub fn heard(&mut self, now: Time, endpoint: EndpointKey, opened: Time) {
        let Some(endpoint) = self.registry.get(endpoint) else {
            return;
        };
        let service = endpoint.entry.service.clone();
        if let Some(after) = self.reach.heard(now, &service, opened) {
            self.registry.end_pauses_if_peers_reach(now, &service);
            self.events.push(RegistryEvent::Reached { service, after });
        }
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

    /// Notes that a connection to an endpoint is begun for a request.
    pub fn connecting(&self, now: Time, ticket: &mut Ticket) {
        ticket.connecting_since.get_or_insert(now);
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
                self.part_quarantine.answered(now, now, &ticket.parts);
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

    /// Notes that the caller left during an attempt.
    pub fn caller_left(&mut self, now: Time, endpoint: EndpointKey) {
        self.registry
            .ended(now, endpoint, AttemptOutcome::Left, Millis(0));
    }

    /// Notes that no connection to an endpoint could be made, so that nothing was sent.
    pub fn unreached(&mut self, now: Time, ticket: &mut Ticket, endpoint: EndpointKey) -> NextStep {
        let cold = warmup_time(self.catalog.as_ref());
        self.registry.unreached(now, endpoint, cold);
        let service = ticket.service.clone();
        let since = ticket.connecting_since.unwrap_or(now);
        self.record_lost_contact(now, &service, (endpoint, since));
        self.decide_next(now, ticket, endpoint, AttemptOutcome::NotSent)
    }

    fn decide_next(
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

    /// Decides whether a request that may have run at a peer is sent once more.
    pub(super) fn decide_retry(
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

    pub(super) fn budget(&mut self, service: &Bytes) -> &mut RetryBudget {
        self.budgets.entry(service.clone()).or_default()
    }

    fn may_retry(&mut self, now: Time, service: &Bytes) -> bool {
        let mut policy = self.bounds.retry;
        if now < self.extra_retries_from {
            policy.extra = 0;
        }
        self.budget(service).allows(now, &policy)
    }
}
