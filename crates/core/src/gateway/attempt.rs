//! One request on its way: admitted, placed, sent, and what follows an attempt's end.

use std::sync::Arc;

use bytes::Bytes;

use crate::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        ask::{
            self,
            Ask, //
        },
        budget::Budget,
        catalog::Workspace,
        endpoint,
        fate::{
            Fate,
            Next, //
        },
        fingerprint::{
            self,
            Content,
            Fingerprint, //
        },
        hot_spots,
        knowledge::cold_time,
        place,
        quarantine::{
            self,
            Verdict, //
        },
        refusal::{
            Cause,
            Refusal, //
        },
        route::Route,
        spread_until, //
    },
    units::{
        Millis,
        Time, //
    },
};

/// Times a route's goal after which an attempt without any answer is given up: it is late by then,
/// and an endpoint that hangs would hold it until the caller leaves.
const GOALS: u64 = 2;
/// Times the longest pause that is on time after which a stream without a further event is given up.
const PAUSES: u64 = 4;
/// Shortest time that an endpoint may say nothing: below it, a busy endpoint would be taken for one that hangs.
const MIN_SILENCE: Millis = Millis(600);

/// Endpoints that may prove unreachable in one request before it is given up: each costs a
/// connection's timeout.
const MAX_UNREACHED: usize = 3;

/// `Ticket` is an admitted request on its way through its attempts.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Route that it took.
    pub route: Arc<Route>,
    /// Service that the route's split drew.
    pub service: Bytes,
    /// Workspace that sent it; `None` on routes open to everybody.
    pub workspace: Option<Arc<Workspace>>,
    /// Rank under overload; 0 goes first.
    pub priority: u8,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// When it must have its final answer: the deadline or the route's limit, if that is earlier.
    pub until: Time,
    /// Version of the configuration that admitted it.
    pub version: u64,
    /// Endpoints that it was sent to.
    pub tried: Vec<EndpointKey>,
    /// When it was last sent to one.
    pub sent: Time,
    /// Endpoints that could not be reached; they don't count as attempts.
    pub unreached: Vec<EndpointKey>,
    /// Whether some attempt may have run.
    pub may_have_run: bool,
    /// Whether a repeat is counted that has not been sent yet.
    pub granted: bool,
    /// Its content, where that was looked at.
    pub content: Option<Fingerprint>,
}

impl Ticket {
    /// Counts the endpoints that it was sent to.
    pub fn attempts(&self) -> u32 {
        u32::try_from(self.tried.len()).unwrap_or(u32::MAX)
    }

    /// Gets the tag of the workspace that sent it.
    pub(super) fn workspace_tag(&self) -> u64 {
        fingerprint::workspace(self.workspace.as_ref().map(|w| &w.name)).into()
    }
}

impl Gateway {
    /// Admits a request, or says why not.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets at once.
    pub fn admit(&mut self, now: Time, ask: &Ask) -> Result<Ticket, Refusal> {
        let Some(catalog) = self.catalog.clone() else {
            return Err(Refusal::later(Cause::NotReady));
        };
        if !self.proof.covers_routes(now, &self.bounds) {
            return Err(Refusal::later(Cause::Stale));
        }
        let Some(route) = catalog.route(&ask.host, &ask.path) else {
            return Err(Refusal::never(Cause::UnknownRoute));
        };
        let workspace = match &ask.key {
            Some(key) => catalog.holder(key),
            None => None,
        };
        if workspace.is_none() && !route.anonymous && catalog.has_workspaces() {
            return Err(Refusal::never(Cause::UnknownKey));
        }
        let began = now - ask.waited;
        let limit = began + route.limit;
        let deadline = ask.deadline.map_or(limit, |left| began + left);
        let until = deadline.min(limit);
        if self.outlasts_stop(route, until) {
            return Err(Refusal::later(Cause::Stopping));
        }
        let draw = self.draw();
        let Some(service) = route.service(draw) else {
            return Err(Refusal::later(Cause::NoEndpoint));
        };
        let priority = workspace
            .as_ref()
            .and_then(|w| w.priority)
            .unwrap_or(route.priority);
        let window = self.bounds.retry.window;
        self.budget(&service).first(now, window);
        Ok(Ticket {
            service,
            workspace,
            priority,
            deadline,
            until,
            version: catalog.version,
            route: Arc::clone(route),
            tried: Vec::new(),
            sent: now,
            unreached: Vec::new(),
            may_have_run: false,
            granted: false,
            content: None,
        })
    }

    /// Chooses the endpoint of the next attempt.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets at once.
    pub fn place(
        &mut self,
        now: Time,
        ticket: &Ticket,
        ask: &Ask,
    ) -> Result<place::Placed, Refusal> {
        if now >= ticket.until {
            return Err(Refusal::given_up(Cause::Deadline, ticket.may_have_run));
        }
        self.release(now, ticket)?;
        let draw = self.draw();
        let part = ask.prompt.as_ref().and_then(ask::Prompt::anchor);
        let first = ticket.tried.is_empty() && ticket.unreached.is_empty();
        if let Some(part) = part.filter(|_| first) {
            self.note_request(now, &ticket.service, hot_spots::tag(part.id), ask.work());
        }
        if self.warmup.has_cold_endpoints() {
            self.warmup.record_waiting(now, ticket.workspace_tag());
        }
        let context = place::PlacementContext {
            share: self.share(&ticket.service),
            hot_spots: self.hot_spots.get(&ticket.service),
            registry: &self.registry,
            proof: &self.proof,
            bounds: &self.bounds,
            warmup: self.cold_bound(&ticket.service).map(|_| &self.warmup),
            now,
            draw,
        };
        let placed = place::choose(&context, ticket, ask.prompt.as_ref());
        let Some(placed) = placed else {
            if let Some(warm) = place::time_until_warm(&context, ticket) {
                let wait = spread_until(now, ticket.deadline, warm, draw);
                let may_have_run = ticket.may_have_run;
                return Err(Refusal::until(Cause::WarmingUp, wait, may_have_run));
            }
            let cause = if place::has_unconfirmed(&context, ticket) {
                Cause::Unconfirmed
            } else {
                Cause::NoEndpoint
            };
            return Err(Refusal::given_up(cause, ticket.may_have_run));
        };
        if placed.cold {
            let workspace = ticket.workspace_tag();
            self.warmup.record_placed(now, workspace, placed.endpoint);
        }
        let shares = self
            .catalog
            .as_ref()
            .is_some_and(|c| c.shares(&ticket.service));
        Ok(place::Placed {
            holder: placed.holder.filter(|_| shares),
            ..placed
        })
    }

    /// Lets a request go on that isn't held back, or that is the one in many that is tried.
    fn release(&mut self, now: Time, ticket: &Ticket) -> Result<(), Refusal> {
        let (Some(verdict), Some(content)) = (self.verdict(now, ticket), ticket.content) else {
            return Ok(());
        };
        let draw = self.draw();
        let routers = self.routers;
        if self
            .quarantine
            .admit_trial(now, content, &verdict, draw, routers)
        {
            return Ok(());
        }
        let left = verdict.left.max(quarantine::MIN_RETRY_AFTER);
        Err(Refusal::held(left, ticket.may_have_run))
    }

    /// Gets the fingerprint of a request's content, and looks whether it was answered here before.
    pub fn identify(&mut self, now: Time, content: &Content<'_>) -> Fingerprint {
        let request = Fingerprint::of(content);
        let hash = fingerprint::quick(self.seed, content);
        self.quarantine.apply_remembered_answer(now, request, hash);
        request
    }

    /// Remembers that a content was answered whole.
    pub fn remember(&mut self, now: Time, content: &Content<'_>) {
        let hash = fingerprint::quick(self.seed, content);
        self.quarantine.remember(now, hash);
    }

    /// Tells whether contents of a ticket's workspace are to be looked at: some of them were in progress at endpoints
    /// that broke off.
    pub fn watches(&self, ticket: &Ticket) -> bool {
        let workspace = ticket.workspace.as_ref().map(|w| &w.name);
        self.quarantine.watches(fingerprint::workspace(workspace))
    }

    /// Tells whether and why a ticket is held back.
    pub fn verdict(&self, now: Time, ticket: &Ticket) -> Option<Verdict> {
        let liveness_since = |life, since| self.registry.liveness_since(life, since);
        let content = ticket.content?;
        self.quarantine
            .verdict(now, content, self.bounds.hold, liveness_since)
    }

    /// Tells whether an endpoint may get a request now. Asked right before it is sent: a connection may
    /// have taken so long that what was proved when the endpoint was chosen isn't any more.
    pub fn may_send(&self, now: Time, endpoint: EndpointKey) -> bool {
        let endpoint = self.registry.get(endpoint);
        self.proof.covers_evacuations(now, &self.bounds)
            && endpoint.is_some_and(|e| {
                e.usable() && e.recently_confirmed(now, self.proof.read(), self.bounds.staying)
            })
    }

    /// Tells whether a request may go where it was placed: the endpoint may have become cold since, and then gets only
    /// what is counted.
    pub fn may_send_placed(&self, now: Time, ticket: &Ticket, placed: &place::Placed) -> bool {
        let endpoint = self.registry.get(placed.endpoint);
        let cold = endpoint.is_some_and(|e| e.cold(now) > Millis(0));
        let counted = placed.cold || !cold || self.cold_bound(&ticket.service).is_none();
        counted && self.may_send(now, placed.endpoint)
    }

    /// Notes that an endpoint's answer doesn't say that it leaves. It counts from the request's sending, as
    /// the answer may have waited here.
    pub fn confirm(&mut self, ticket: &Ticket, endpoint: EndpointKey) {
        self.registry.confirm(endpoint, ticket.sent);
    }

    /// Notes that an attempt goes out.
    pub fn sent(&mut self, now: Time, ticket: &mut Ticket, endpoint: EndpointKey) {
        ticket.granted = false;
        ticket.tried.push(endpoint);
        ticket.sent = now;
        self.warmup.sent(now, endpoint);
        self.registry.sent(now, endpoint);
    }

    /// Notes the load that an endpoint states of itself.
    pub fn record_load(&mut self, now: Time, endpoint: EndpointKey, load: endpoint::Load) {
        self.registry.record_load(now, endpoint, load);
    }

    /// Gets how long an endpoint may say nothing before another one is asked, `begun` once it has
    /// sent a part of the answer. `None` where no other attempt could follow: then waiting is all
    /// that is left.
    pub fn silence_timeout(&mut self, now: Time, ticket: &Ticket, begun: bool) -> Option<Millis> {
        let route = &ticket.route;
        if !route.kind.repeatable() || ticket.attempts() >= route.attempts {
            return None;
        }
        let other = |(key, e): &(EndpointKey, &endpoint::Endpoint)| {
            !ticket.tried.contains(key) && !e.paused(now)
        };
        self.registry.of(&ticket.service).find(other)?;
        if !self.may_repeat(now, &ticket.service) {
            return None;
        }
        Some(if begun {
            Millis(route.pause.0 * PAUSES).max(MIN_SILENCE)
        } else {
            Millis(route.goal.0 * GOALS).max(MIN_SILENCE)
        })
    }

    /// Notes how an attempt ended and says what follows.
    pub fn ended(
        &mut self,
        now: Time,
        ticket: &mut Ticket,
        endpoint: EndpointKey,
        fate: Fate,
    ) -> Next {
        self.record(now, ticket, endpoint, fate);
        self.registry
            .ended(now, endpoint, fate, now.since(ticket.sent));
        self.judge(now, ticket, endpoint, fate)
    }

    /// Notes what an attempt's end says of its request. An endpoint that is leaving may end its connections; that
    /// is no crash.
    fn record(&mut self, now: Time, ticket: &Ticket, endpoint: EndpointKey, fate: Fate) {
        let Some(content) = ticket.content else {
            return;
        };
        let usable = self.registry.get(endpoint).filter(|e| e.usable());
        match (fate, usable) {
            (Fate::Broken, Some(endpoint)) => {
                self.quarantine
                    .crashed(now, content, endpoint.tag(), ticket.sent);
            }
            (Fate::Answered | Fate::Failed, _) => self.quarantine.answered(now, content),
            _ => {}
        }
    }

    /// Notes that the caller of an attempt left.
    pub fn left(&mut self, now: Time, endpoint: EndpointKey) {
        self.registry.ended(now, endpoint, Fate::Left, Millis(0));
    }

    /// Notes that no connection to an endpoint could be made, so that nothing was sent.
    pub fn unreached(&mut self, now: Time, ticket: &mut Ticket, endpoint: EndpointKey) -> Next {
        let cold = cold_time(self.catalog.as_ref());
        self.registry.unreached(now, endpoint, cold);
        self.judge(now, ticket, endpoint, Fate::NotSent)
    }

    fn judge(&mut self, now: Time, ticket: &mut Ticket, endpoint: EndpointKey, fate: Fate) -> Next {
        if fate == Fate::NotSent {
            ticket.tried.retain(|k| *k != endpoint);
            ticket.unreached.push(endpoint);
            // A repeat that was counted has not arrived.
            ticket.granted |= !ticket.tried.is_empty();
        }
        ticket.may_have_run |= fate.may_have_run();
        if matches!(fate, Fate::Answered | Fate::Left) {
            return Next::Deliver;
        }
        let open = now < ticket.until && ticket.attempts() < ticket.route.attempts;
        let free = fate == Fate::NotSent && ticket.tried.is_empty();
        let allowed = fate.repeatable(ticket.route.kind)
            && (!ticket.may_have_run || ticket.route.kind.repeatable());
        let open = open && allowed && ticket.unreached.len() < MAX_UNREACHED;
        if open && (free || self.grant(now, ticket)) {
            Next::Again
        } else {
            Next::GiveUp
        }
    }

    /// Counts a repeat if one may follow. It counts from now, as others may be granted before it is
    /// sent; one that could not be sent is still there for the next try.
    fn grant(&mut self, now: Time, ticket: &mut Ticket) -> bool {
        if !ticket.granted && self.may_repeat(now, &ticket.service) {
            let window = self.bounds.retry.window;
            self.budget(&ticket.service).repeat(now, window);
            ticket.granted = true;
        }
        ticket.granted
    }

    fn budget(&mut self, service: &Bytes) -> &mut Budget {
        self.budgets.entry(service.clone()).or_default()
    }

    fn may_repeat(&mut self, now: Time, service: &Bytes) -> bool {
        let mut policy = self.bounds.retry;
        if now < self.extra_from {
            policy.extra = 0;
        }
        self.budget(service).allows(now, &policy)
    }
}
