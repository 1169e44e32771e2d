//! The decisions of a router in front of replicated services that a registry lists.
//!
//! [`Gateway`] takes checked requests, what the registry says and how attempts ended, each with its
//! time; it answers which endpoint gets a request, whether a failed attempt is followed by another,
//! and what a caller is told. It does no I/O and reads no clock.
//!
//! A request passes [`Gateway::admit`] (route, key, age of what is known), then for each attempt
//! [`Gateway::place`] and [`Gateway::ended`].

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use crate::{
    arena::EndpointKey,
    units::{
        Millis,
        Time, //
    },
};

pub mod ask;
pub mod budget;
pub mod catalog;
pub mod endpoint;
pub mod fate;
pub mod heat;
pub mod mesh;
pub mod mirror;
pub mod place;
pub mod proof;
pub mod refusal;
pub mod registry;
pub mod route;
pub mod settings;

use ask::Ask;
use budget::Budget;
use catalog::{
    Catalog,
    Workspace, //
};
use endpoint::Entry;
use fate::{
    Fate,
    Next, //
};
use heat::Heat;
use proof::Proof;
use refusal::{
    Cause,
    Refusal, //
};
use registry::Registry;
use route::Route;
use settings::Bounds;

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
}

impl Ticket {
    /// Counts the endpoints that it was sent to.
    pub fn attempts(&self) -> u32 {
        u32::try_from(self.tried.len()).unwrap_or(u32::MAX)
    }
}

/// `Change` is one thing that the registry says.
#[derive(Clone, Debug)]
pub enum Change {
    /// The published configuration.
    Catalog(Box<Catalog>),
    /// An endpoint's entry, new or changed.
    Entry(Entry),
    /// An endpoint's entry is gone.
    Removed(Bytes),
    /// An endpoint's entry can't be understood: somebody else has written there, and it names nobody.
    Unreadable(Bytes),
}

/// `News` is what became of a change, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// A configuration is in force.
    Applied {
        /// Its version.
        version: u64,
    },
    /// A configuration was refused, as a newer one is in force.
    Older {
        /// Its version.
        version: u64,
        /// The version in force.
        held: u64,
    },
    /// An endpoint changed its state.
    Endpoint {
        /// Its name.
        id: Bytes,
        /// The new state.
        state: endpoint::State,
    },
}

/// `End` is when a router that stops ends.
#[derive(Clone, Copy, Debug)]
struct End {
    at: Time,
    /// Longest limit of a route that counts: that of the whole stop, then any.
    covers: Millis,
}

/// `Gateway` is one router.
#[derive(Debug)]
pub struct Gateway {
    bounds: Bounds,
    catalog: Option<Arc<Catalog>>,
    registry: Registry,
    proof: Proof,
    budgets: IndexMap<Bytes, Budget>,
    heats: IndexMap<Bytes, Heat>,
    end: Option<End>,
    routers: u32,
    /// Most routers that were heard of lately, this one among them, and when.
    most: (u32, Time),
    /// From when this router's part of the fleet's extra repeats may be used.
    extra_from: Time,
    rng: StdRng,
}

impl Gateway {
    /// Makes a gateway that knows nothing yet; `seed` is that of its random draws.
    pub fn new(bounds: Bounds, seed: u64) -> Self {
        Self {
            bounds,
            catalog: None,
            registry: Registry::default(),
            proof: Proof::default(),
            budgets: IndexMap::new(),
            heats: IndexMap::new(),
            end: None,
            routers: 1,
            most: (1, Time(0)),
            extra_from: Time(0),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Gets the configuration in force.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Gets the endpoints.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Gets the age of what is known.
    pub fn proof(&self) -> &Proof {
        &self.proof
    }

    /// Follows new bounds.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
        self.divide();
    }

    /// Notes that an earlier life of this router may have ended just now. It may have used the
    /// router's part of the fleet's extra repeats, so this life uses its share alone for the length
    /// of the window. Without this, 7 routers that were killed every two seconds while most answers
    /// were failures sent 303 repeats of 849 requests in 10 s, where 224 were allowed.
    pub fn restarted(&mut self, now: Time) {
        self.extra_from = now + self.bounds.retry.window;
    }

    /// Tells whether callers may be sent here.
    pub fn ready(&self, now: Time) -> bool {
        let reachable = self.registry.usable().next().is_some();
        self.catalog.is_some() && reachable && self.proof.holds(now, self.bounds.proof)
    }

    /// Notes a read of the registry that was sent at `sent` and answered with the newest state;
    /// what it has changed follows. After a long time without one, the registry counts as back.
    pub fn proved(&mut self, now: Time, sent: Time) {
        if self
            .proof
            .age(now)
            .is_some_and(|age| age >= self.bounds.away)
        {
            self.registry.back(now);
        }
        self.proof.renew(sent);
    }

    /// Notes that this router stops and ends at `end`. From now on it takes no request that may last
    /// longer: its answer would be cut, though a router that stays could have given it. Routes whose
    /// limit is longer than the whole stop are the exception until [`Gateway::close`], as callers
    /// still come for some time and most answers take a small part of such a limit.
    pub fn end_at(&mut self, now: Time, end: Time) {
        let covers = end.since(now);
        self.end = Some(End { at: end, covers });
    }

    /// Notes that callers go to other routers by now: nothing is taken that may be cut.
    pub fn close(&mut self) {
        if let Some(end) = &mut self.end {
            end.covers = Millis(u64::MAX);
        }
    }

    /// Follows what one read of the registry has changed.
    pub fn follow(&mut self, now: Time, changes: Vec<Change>) -> Vec<News> {
        let mut news = Vec::new();
        let mut removed = Vec::new();
        // What the first read lists has been there before this router.
        let since = (!self.registry.is_empty()).then_some(now);
        for change in changes {
            match change {
                Change::Catalog(catalog) => self.publish(*catalog, &mut news),
                Change::Entry(entry) => {
                    // It was there again before this read ended.
                    removed.retain(|id| *id != entry.id);
                    self.registry.put(since, entry, &mut news);
                }
                Change::Removed(id) => removed.push(id),
                Change::Unreadable(id) => self.registry.drop(&id, &mut news),
            }
        }
        let grace = self.bounds.lapse;
        self.registry.remove(now, &removed, grace, &mut news);
        news
    }

    /// Ends what has waited long enough.
    pub fn tick(&mut self, now: Time) -> Vec<News> {
        let mut news = Vec::new();
        self.registry.expire(now, self.bounds.lapse, &mut news);
        news
    }

    fn publish(&mut self, catalog: Catalog, news: &mut Vec<News>) {
        let version = catalog.version;
        match &self.catalog {
            Some(held) if held.version > version => news.push(News::Older {
                version,
                held: held.version,
            }),
            Some(held) if held.version == version => {}
            _ => {
                self.heats.retain(|name, _| catalog.service(name).is_some());
                self.catalog = Some(Arc::new(catalog));
                news.push(News::Applied { version });
            }
        }
    }

    /// Admits a request, or says why not.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets at once.
    pub fn admit(&mut self, now: Time, ask: &Ask) -> Result<Ticket, Refusal> {
        let Some(catalog) = self.catalog.clone() else {
            return Err(Refusal::later(Cause::NotReady));
        };
        if !self.proof.holds(now, self.bounds.proof) {
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
        let deadline = ask.deadline.map_or(now + route.limit, |left| now + left);
        let until = deadline.min(now + route.limit);
        if self
            .end
            .is_some_and(|end| until > end.at && route.limit <= end.covers)
        {
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
        let draw = self.draw();
        let part = ask.prompt.as_ref().and_then(ask::Prompt::anchor);
        let first = ticket.tried.is_empty() && ticket.unreached.is_empty();
        if let Some(part) = part.filter(|_| first) {
            let heat = self.heats.entry(ticket.service.clone()).or_default();
            heat.note(now, part.id, ask.work());
        }
        let scene = place::Scene {
            share: self.share(&ticket.service),
            heat: self.heats.get(&ticket.service),
            registry: &self.registry,
            bounds: &self.bounds,
            now,
            draw,
        };
        let placed = place::choose(&scene, ticket, ask.prompt.as_ref());
        let shares = self
            .catalog
            .as_ref()
            .is_some_and(|c| c.shares(&ticket.service));
        let placed = placed.map(|placed| place::Placed {
            holder: placed.holder.filter(|_| shares),
            ..placed
        });
        placed.ok_or_else(|| Refusal::given_up(Cause::NoEndpoint, ticket.may_have_run))
    }

    /// Notes that an attempt goes out.
    pub fn sent(&mut self, now: Time, ticket: &mut Ticket, endpoint: EndpointKey) {
        ticket.granted = false;
        ticket.tried.push(endpoint);
        ticket.sent = now;
        self.registry.sent(now, endpoint);
    }

    /// Notes the load that an endpoint states of itself.
    pub fn stated(&mut self, now: Time, endpoint: EndpointKey, load: endpoint::Load) {
        self.registry.stated(now, endpoint, load);
    }

    /// Gets how long an endpoint may say nothing before another one is asked, `begun` once it has
    /// sent a part of the answer. `None` where no other attempt could follow: then waiting is all
    /// that is left.
    pub fn patience(&mut self, now: Time, ticket: &Ticket, begun: bool) -> Option<Millis> {
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
            Millis(route.pause.0 * PAUSES).max(MIN_PATIENCE)
        } else {
            Millis(route.goal.0 * GOALS).max(MIN_PATIENCE)
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
        self.registry
            .ended(now, endpoint, fate, now.since(ticket.sent));
        self.judge(now, ticket, endpoint, fate)
    }

    /// Notes that the caller of an attempt left.
    pub fn left(&mut self, now: Time, endpoint: EndpointKey) {
        self.registry.ended(now, endpoint, Fate::Left, Millis(0));
    }

    /// Notes that no connection to an endpoint could be made, so that nothing was sent.
    pub fn unreached(&mut self, now: Time, ticket: &mut Ticket, endpoint: EndpointKey) -> Next {
        self.registry.unreached(now, endpoint);
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

    /// Lists the newest loads that are known, for peers.
    pub fn sights(&self, now: Time) -> Vec<mesh::Sight> {
        self.registry.sights(now, mesh::MAX_SIGHTS)
    }

    /// Notes loads that a peer knows.
    pub fn seen(&mut self, now: Time, sights: &[mesh::Sight]) {
        for sight in sights {
            self.registry.seen(now, *sight);
        }
    }

    /// Follows the number of routers among which the fleet's retries and the endpoints' connections
    /// are divided.
    ///
    /// Retries are divided among the most that were heard of lately: those that are not heard may be
    /// cut off, and use their part.
    pub fn fleet(&mut self, now: Time, routers: u32) {
        self.routers = routers.max(1);
        let (most, heard) = self.most;
        if self.routers >= most || now.since(heard) >= MOST_KEPT {
            self.most = (self.routers, now);
        }
        self.divide();
    }

    /// Sets this router's part of the fleet's extra repeats. Until another router was heard of it stays
    /// the one that the settings give to a fleet of unknown size.
    fn divide(&mut self) {
        if self.most.0 > 1 {
            self.bounds.retry.extra = self.bounds.retry.fleet / self.most.0;
        }
    }

    /// Gets the requests that this router may have in progress at one endpoint of a service: its
    /// part of the connections that the endpoint takes. Beyond them it resets new ones, and what was
    /// sent there may or may not have run.
    fn share(&self, service: &[u8]) -> u32 {
        let catalog = self.catalog.as_ref();
        let service = catalog.and_then(|c| c.service(service));
        let all = service.map_or(u32::MAX, |s| s.connections);
        (all / self.routers).max(MIN_SHARE)
    }

    /// Draws a number.
    pub fn draw(&mut self) -> u64 {
        self.rng.random()
    }
}

/// Times a route's goal after which an attempt without any answer is given up: it is late by then,
/// and an endpoint that hangs would hold it until the caller leaves.
const GOALS: u64 = 2;
/// Times the longest pause that is on time after which a stream without a further event is given up.
const PAUSES: u64 = 4;
/// Shortest patience: below it, a busy endpoint would be taken for one that hangs.
const MIN_PATIENCE: Millis = Millis(600);

/// Time for which the greatest number of routers that was heard of divides the fleet's extra retries.
/// Cuts between data centres last seconds; routers that are gone for good cost the others a part of
/// the retries for so long.
const MOST_KEPT: Millis = Millis(30_000);

/// Least requests in progress at one endpoint, however many routers there are.
const MIN_SHARE: u32 = 2;

/// Endpoints that may prove unreachable in one request before it is given up: each costs a
/// connection's timeout.
const MAX_UNREACHED: usize = 3;

/// Gets when a refused caller should come back: soon, spread by `draw` so that those refused
/// together don't return together, and within a third of the time that it has left.
pub fn come_back(now: Time, deadline: Time, draw: u64) -> Millis {
    let left = deadline.since(now).0;
    let wait = COME_BACK.0 + draw % COME_BACK.0;
    Millis(wait.min(left / 3))
}

/// Shortest wait that a refused caller is told: two rounds of news between routers.
const COME_BACK: Millis = Millis(150);
