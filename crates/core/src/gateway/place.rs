//! Which endpoint gets a request.
//!
//! A prompt goes to the endpoint that rendezvous hashing gives its last shared part, as long as
//! that carries less than its limit, else to the next in that order: the same few endpoints then
//! hold the part, whichever router the request came by, without a word between routers. Other
//! requests go where the fewest are in progress, the own data centre first among equals.

use crate::{
    arena::EndpointKey,
    gateway::{
        Ticket,
        ask::Prompt,
        endpoint::Endpoint,
        registry::Registry,
        settings::Bounds, //
    },
    load::score,
    units::Time,
};

/// Requests above the multiple of the mean that an endpoint may carry; small means would else
/// leave no room.
const SLACK: f32 = 2.7;
/// Part of the published multiple that placement fills, as loads are known late.
const MARGIN: f32 = 0.95;
/// Load that a share of failures of 1 counts as.
const FAILURE_LOAD: f32 = 12.0;

/// `Scene` is all that a placement looks at.
#[derive(Clone, Copy, Debug)]
pub struct Scene<'a> {
    /// The endpoints.
    pub registry: &'a Registry,
    /// The bounds that are kept.
    pub bounds: &'a Bounds,
    /// The time.
    pub now: Time,
    /// A random number.
    pub draw: u64,
}

/// `Placed` is the endpoint chosen, and what decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placed {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Its load as estimated.
    pub load: u32,
    /// The load at which it would not have been chosen.
    pub limit: f32,
    /// How many endpoints came before it in the order of preference.
    pub rank: u32,
}

/// Chooses an endpoint that the ticket has not tried; `None` where there is none.
pub fn choose(scene: &Scene<'_>, ticket: &Ticket, prompt: Option<&Prompt>) -> Option<Placed> {
    let all: Vec<(EndpointKey, &Endpoint)> = scene.registry.of(&ticket.service).collect();
    let fresh = |k: &EndpointKey| !ticket.tried.contains(k) && !ticket.unreached.contains(k);
    let mut open: Vec<(EndpointKey, &Endpoint)> = Vec::with_capacity(all.len());
    open.extend(all.iter().filter(|(k, _)| fresh(k)));
    let sound: Vec<_> = open
        .iter()
        .filter(|(_, e)| !e.paused(scene.now))
        .copied()
        .collect();
    if !sound.is_empty() {
        open = sound;
    }
    let limit = limit(scene, &all);
    let anchor = prompt.and_then(Prompt::anchor);
    match anchor {
        Some(part) => by_affinity(scene, open, part.id, limit),
        None => by_load(scene, &open, limit),
    }
}

#[expect(clippy::cast_precision_loss, reason = "loads are small numbers")]
fn limit(scene: &Scene<'_>, all: &[(EndpointKey, &Endpoint)]) -> f32 {
    let total: u32 = all.iter().map(|(_, e)| e.load(scene.now)).sum();
    let mean = total as f32 / all.len().max(1) as f32;
    let multiple = scene.bounds.skew.0 as f32 / 1000.0;
    mean * (multiple * MARGIN).max(1.0) + SLACK
}

#[expect(clippy::cast_precision_loss, reason = "loads are small numbers")]
fn cost(scene: &Scene<'_>, endpoint: &Endpoint) -> f32 {
    endpoint.load(scene.now) as f32 + endpoint.failing() * FAILURE_LOAD
}

fn by_affinity(
    scene: &Scene<'_>,
    mut open: Vec<(EndpointKey, &Endpoint)>,
    item: u64,
    limit: f32,
) -> Option<Placed> {
    open.sort_by_key(|(_, e)| std::cmp::Reverse(score(item, e.seed)));
    let below = open.iter().position(|(_, e)| cost(scene, e) < limit);
    let rank = match below {
        Some(rank) => rank,
        None => least(scene, &open)?,
    };
    placed(scene, &open, rank, limit)
}

fn by_load(scene: &Scene<'_>, open: &[(EndpointKey, &Endpoint)], limit: f32) -> Option<Placed> {
    let rank = least(scene, open)?;
    placed(scene, open, rank, limit)
}

/// Finds the endpoint with the least cost, a random one among equals.
fn least(scene: &Scene<'_>, open: &[(EndpointKey, &Endpoint)]) -> Option<usize> {
    let ranked = open.iter().enumerate().min_by(|(_, (_, a)), (_, (_, b))| {
        let order = cost(scene, a).total_cmp(&cost(scene, b));
        order.then_with(|| score(scene.draw, a.seed).cmp(&score(scene.draw, b.seed)))
    });
    ranked.map(|(rank, _)| rank)
}

fn placed(
    scene: &Scene<'_>,
    open: &[(EndpointKey, &Endpoint)],
    rank: usize,
    limit: f32,
) -> Option<Placed> {
    let (endpoint, chosen) = open.get(rank)?;
    Some(Placed {
        endpoint: *endpoint,
        load: chosen.load(scene.now),
        limit,
        rank: u32::try_from(rank).unwrap_or(u32::MAX),
    })
}
