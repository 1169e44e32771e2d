//! Placement: which endpoint gets a request.
//!
//! A prompt goes to the endpoint that rendezvous hashing ranks first for its last shared part, as
//! long as that endpoint's load is below its limit, else to the next in that order. The same few
//! endpoints then hold the part, whichever router a request came through, without coordination
//! between routers. Other requests go to the endpoint with the fewest requests in progress; where
//! no endpoint states its load, to the one whose newest answers were fastest, because the own
//! requests of one of many routers say little about the load then. An endpoint whose answers are not
//! known gets its even share of the requests until they are.

use crate::{
    arena::EndpointKey,
    gateway::{
        Ticket,
        brittle::Brittleness,
        endpoint::Endpoint,
        hot_spots::HotSpots,
        incoming_request::Prompt,
        origin::Origin,
        proof::FreshnessProof,
        registry::Registry,
        settings::Bounds,
        shared_reads::SharedReads,
        warmup::Warmup, //
    },
    units::{
        Millis,
        Time, //
    },
};

mod affinity;
mod cost;
mod expected;
mod standing;
mod stateless;

pub use standing::{
    Decision,
    Reason,
    Standing,
    Standings,
    standings, //
};

pub(in crate::gateway) use affinity::readers;
pub(in crate::gateway) use expected::longest_wait;

use affinity::{
    by_affinity,
    holder, //
};
use cost::{
    ServiceMean,
    limit, //
};
use expected::Reader;
use stateless::by_load;

/// Divisor of the bound on evacuations. For that part of the bound, what an evacuated endpoint
/// holds is still fetched from it; the evacuation became known here later than it was ordered.
const EVACUATION_FETCH_DIVISOR: u64 = 2;

/// `PlacementContext` is the input of a placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    /// The endpoints.
    pub registry: &'a Registry,
    /// How old the registry's state is.
    pub proof: &'a FreshnessProof,
    /// The bounds to keep.
    pub bounds: &'a Bounds,
    /// Limit of this router's own requests in progress at one endpoint.
    pub share: u32,
    /// Shares of prompt parts in the service's requests.
    pub hot_spots: Option<&'a HotSpots>,
    /// Where the first parts of prompts were read.
    pub shared_reads: &'a SharedReads,
    /// This router's quotas for cold endpoints; `None` where the service sets no limit for them.
    pub warmup: Option<&'a Warmup>,
    /// What this router may make brittle endpoints turn away; `None` where they are sturdy.
    pub brittle: Option<BrittleContext<'a>>,
    /// Whether the service is short of room, by its endpoints' delays.
    pub is_short: bool,
    /// Number of routers.
    pub routers: u32,
    /// Whether the endpoints' speed varies, so that waits decide.
    pub speeds_vary: bool,
    /// What the keeper of a backlog advises.
    pub advice: Advice,
    /// The time.
    pub now: Time,
    /// A random number.
    pub draw: u64,
}

/// `Advice` is what the keeper of the backlog expects that a prompt has asked first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Advice {
    /// It was not asked, or has not answered.
    None,
    /// The prompt needn't wait for long at the endpoint.
    Go(EndpointKey),
    /// It would wait for long there.
    Leave,
}

/// `BrittleContext` is what limits the requests that brittle endpoints have to turn away.
#[derive(Clone, Copy, Debug)]
pub struct BrittleContext<'a> {
    /// What this router has made them turn away.
    pub brittleness: &'a Brittleness,
    /// Number of routers.
    pub routers: u32,
    /// Whether this router has its free share of the service's slots in use, so that it has room only
    /// within its parts.
    pub confined: bool,
}

impl BrittleContext<'_> {
    fn admits(&self, now: Time, key: EndpointKey, endpoint: &Endpoint) -> bool {
        !self.at_risk(now, key, endpoint) || self.brittleness.admits(now, key)
    }

    /// Tells whether an endpoint may have to turn one more request away.
    pub fn at_risk(&self, now: Time, key: EndpointKey, endpoint: &Endpoint) -> bool {
        (self.confined && self.brittleness.uses_part(key, endpoint.own_in_flight))
            || endpoint.is_known_full(now, self.routers)
    }
}

impl PlacementContext<'_> {
    /// Tells whether an endpoint is brittle and may turn a request away.
    fn at_risk(&self, key: EndpointKey, endpoint: &Endpoint) -> bool {
        self.brittle
            .is_some_and(|b| b.at_risk(self.now, key, endpoint))
    }

    fn spares_brittle(&self, key: EndpointKey, endpoint: &Endpoint) -> bool {
        self.brittle
            .is_none_or(|b| b.admits(self.now, key, endpoint))
    }

    fn is_confirmed(&self, endpoint: &Endpoint) -> bool {
        self.proof.covers_evacuations(self.now, self.bounds)
            && endpoint.recently_confirmed(
                self.now,
                self.proof.read(),
                self.bounds.max_confirmation_age,
            )
    }

    fn cold(&self, endpoint: &Endpoint) -> bool {
        self.warmup.is_some() && endpoint.cold(self.now) > Millis(0)
    }

    /// Tells whether what an endpoint holds may be fetched from it.
    ///
    /// In an evacuated data centre this is allowed only while requests that were placed there
    /// before may still be on their way.
    fn allows_fetch(&self, endpoint: &Endpoint) -> bool {
        let bound = self.bounds.evacuation.unwrap_or_default();
        endpoint
            .evacuated
            .is_none_or(|since| self.now.since(since).0 < bound.0 / EVACUATION_FETCH_DIVISOR)
    }
}

/// `Placed` is the chosen endpoint, and what decided the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placed {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Its estimated load.
    pub load: u32,
    /// Age of its last load report; `None` if it states no load, or the report is too old to use.
    pub load_age: Option<Millis>,
    /// Mean of the estimated loads of all endpoints of the service.
    pub mean: f32,
    /// Endpoints of which that is the mean.
    pub counted: u32,
    /// The load from which it would have been passed over.
    pub limit: f32,
    /// Number of endpoints before it in the order of preference.
    pub rank: u32,
    /// Expected wait at the first endpoint in the order that has room, if the prompt passes it over for that.
    pub passed_wait: Option<Millis>,
    /// Another endpoint that most likely holds the prompt's shared parts.
    pub holder: Option<EndpointKey>,
    /// Whether the endpoint is cold, so that the request uses up this router's quota for it.
    pub cold: bool,
    /// Whether the endpoint is brittle and may turn the request away.
    pub at_risk: bool,
    /// Whether the quarantine has admitted the request as a trial.
    pub trial: bool,
}

/// Chooses an endpoint that the ticket has not tried; `None` where there is none.
pub fn choose(
    context: &PlacementContext<'_>,
    ticket: &Ticket,
    prompt: Option<&Prompt>,
) -> Option<Placed> {
    let all: Vec<(EndpointKey, &Endpoint)> = context.registry.of(&ticket.service).collect();
    let candidates = candidates(context, ticket, &all);
    let mean = ServiceMean::of(context, &ticket.service, &all);
    choose_among(context, ticket, prompt, candidates, mean)
}

/// Chooses one of these endpoints; `mean` is that of their service.
fn choose_among(
    context: &PlacementContext<'_>,
    ticket: &Ticket,
    prompt: Option<&Prompt>,
    candidates: Vec<(EndpointKey, &Endpoint)>,
    mean: ServiceMean,
) -> Option<Placed> {
    let placement_part = prompt.and_then(|p| p.placement_part().map(|part| (p, part)));
    match placement_part {
        Some((prompt, part)) => {
            let reader = Reader::new(ticket.route.goal, prompt);
            let placed = by_affinity(context, candidates, (part.id, reader), mean)?;
            let holder = holder(context, ticket, (prompt, part.id), placed.endpoint);
            Some(Placed { holder, ..placed })
        }
        None => by_load(context, &candidates, mean),
    }
}

/// Lists the endpoints that a request may go to; `all` are those of its service that may get requests.
fn candidates<'a>(
    context: &PlacementContext<'_>,
    ticket: &Ticket,
    all: &[(EndpointKey, &'a Endpoint)],
) -> Vec<(EndpointKey, &'a Endpoint)> {
    let mut candidates: Vec<(EndpointKey, &'a Endpoint)> = Vec::with_capacity(all.len());
    candidates.extend(all.iter().filter(|(k, e)| {
        is_option(ticket, *k, e)
            && context.is_confirmed(e)
            && !e.backing_off(context.now)
            && e.own_connections() < context.share
            && context.spares_brittle(*k, e)
    }));
    let candidates = exclude_unadmitted_cold(context, ticket, candidates);
    let candidates = prefer(candidates, |e| !e.paused(context.now));
    if !matches!(ticket.origin, Origin::Build(_)) {
        return candidates;
    }
    // The stream is bound to a software version, and an endpoint may have restarted with another one.
    let read = context.proof.read();
    prefer(candidates, |e| !e.may_have_restarted(read))
}

/// Leaves out the endpoints for which a condition doesn't hold, if others are left.
fn prefer(
    candidates: Vec<(EndpointKey, &Endpoint)>,
    condition: impl Fn(&Endpoint) -> bool,
) -> Vec<(EndpointKey, &Endpoint)> {
    if !candidates.iter().any(|(_, e)| condition(e)) {
        return candidates;
    }
    let mut preferred = candidates;
    preferred.retain(|(_, e)| condition(e));
    preferred
}

/// Leaves out the cold endpoints that this router may not send to. Where all endpoints are cold, a
/// part of the free quota is reserved for more urgent requests and other workspaces.
fn exclude_unadmitted_cold<'a>(
    context: &PlacementContext<'_>,
    ticket: &Ticket,
    mut candidates: Vec<(EndpointKey, &'a Endpoint)>,
) -> Vec<(EndpointKey, &'a Endpoint)> {
    let Some(warmup) = context.warmup else {
        return candidates;
    };
    let keys = candidates.iter().map(|(key, _)| *key);
    let all_cold = candidates.iter().all(|(_, e)| context.cold(e));
    let admitted = |workspace| warmup.admits_rank(context.now, ticket.priority, workspace, keys);
    if all_cold && !admitted(ticket.workspace_tag()) {
        return Vec::new();
    }
    candidates.retain(|(key, e)| !context.cold(e) || warmup.admits(context.now, *key));
    candidates
}

/// Returns the time until the first untried cold endpoint is warm; `None` where none is cold.
pub fn time_until_warm(context: &PlacementContext<'_>, ticket: &Ticket) -> Option<Millis> {
    context.warmup?;
    let all = context.registry.of(&ticket.service);
    let cold = all.filter(|(k, e)| {
        is_option(ticket, *k, e)
            && context.is_confirmed(e)
            && context.cold(e)
            && !e.backing_off(context.now)
    });
    cold.map(|(_, e)| e.cold(context.now)).min()
}

/// Tells whether an untried endpoint is excluded because it is brittle and may be full.
pub fn has_spared(context: &PlacementContext<'_>, ticket: &Ticket) -> bool {
    let mut all = context.registry.of(&ticket.service);
    all.any(|(k, e)| {
        is_option(ticket, k, e)
            && context.is_confirmed(e)
            && !e.backing_off(context.now)
            && !context.spares_brittle(k, e)
    })
}

/// Tells whether an untried endpoint is excluded because this router has as many connections there
/// as its share of the endpoint's connections allows.
pub fn has_full_share(context: &PlacementContext<'_>, ticket: &Ticket) -> bool {
    let mut all = context.registry.of(&ticket.service);
    all.any(|(k, e)| {
        is_option(ticket, k, e)
            && context.is_confirmed(e)
            && !e.backing_off(context.now)
            && e.own_connections() >= context.share
    })
}

/// Tells whether an untried endpoint is excluded because nothing confirms that it is not leaving.
pub fn has_unconfirmed(context: &PlacementContext<'_>, ticket: &Ticket) -> bool {
    let mut all = context.registry.of(&ticket.service);
    all.any(|(k, e)| is_option(ticket, k, e) && !context.is_confirmed(e))
}

/// Tells whether an endpoint is untried and of a version at which the request may run.
fn is_option(ticket: &Ticket, key: EndpointKey, endpoint: &Endpoint) -> bool {
    let tried = [&ticket.tried, &ticket.unreached, &ticket.excluded];
    ticket.origin.allows(endpoint.build) && !tried.iter().any(|keys| keys.contains(&key))
}

fn placed(
    context: &PlacementContext<'_>,
    candidates: &[(EndpointKey, &Endpoint)],
    rank: usize,
    mean: ServiceMean,
) -> Option<Placed> {
    let (endpoint, chosen) = candidates.get(rank)?;
    Some(Placed {
        endpoint: *endpoint,
        load: chosen.load(context.now),
        load_age: chosen.age(context.now),
        mean: mean.load_of_all,
        counted: mean.counted,
        limit: limit(context, chosen, mean),
        rank: u32::try_from(rank).unwrap_or(u32::MAX),
        passed_wait: None,
        holder: None,
        cold: context.cold(chosen),
        at_risk: context.at_risk(*endpoint, chosen),
        trial: false,
    })
}
