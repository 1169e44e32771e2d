//! Which endpoint gets a request.
//!
//! A prompt goes to the endpoint that rendezvous hashing gives its last shared part, as long as
//! that carries less than its limit, else to the next in that order: the same few endpoints then
//! hold the part, whichever router the request came by, without a word between routers. Other
//! requests go where the fewest are in progress; where no endpoint states its load, to the one whose
//! newest answers came soonest, as the own requests of one of many routers say nothing then.

use crate::{
    arena::EndpointKey,
    gateway::{
        Ticket,
        ask::Prompt,
        endpoint::Endpoint,
        hot_spots::{
            self,
            HotSpots, //
        },
        proof::Proof,
        registry::Registry,
        settings::Bounds,
        warmup::Warmup, //
    },
    load::score,
    units::{
        Millis,
        Time, //
    },
};

/// `Margin` is how far placement fills the published multiple.
#[derive(Clone, Copy, Debug)]
struct Margin {
    /// Part of the multiple.
    part: f32,
    /// Requests above it; small means would else leave no room.
    slack: f32,
}

/// Margin where a load is known as of now. Closer to the multiple, chance and a hot session put endpoints over it.
const FRESH: Margin = Margin {
    part: 0.92,
    slack: 2.6,
};
/// Margin where it is as old as [`OLD`], or not known at all: meanwhile others may have sent as many requests as there
/// are routers. The fresh margin alone would break the multiple after a cold start; this one alone would send calm
/// prompts past their endpoint, where their parts are read again.
const STALE: Margin = Margin {
    part: 0.65,
    slack: 1.5,
};
/// Age from which a load is stale.
const OLD: Millis = Millis(500);
/// Load that a share of failures of 1 counts as, where it is above the usual one by more than chance.
const FAILURE_LOAD: f32 = 24.0;
/// Share of failures above the usual one that chance may give: two standard deviations of about eight answers of which
/// half fail. Where all engines fail alike there is no better one to go to, and counted in full each would be over its
/// limit: prompts would go wherever is least and be read again.
const FAILURE_DOUBT: f32 = 0.25;
/// Times the time until an answer that a share of failures of 1 adds.
const FAILURE_TIMES: f32 = 8.0;

/// Part of the bound on evacuations within which what is held there is still fetched: the evacuation was known here
/// later than it was ordered.
const EVACUATION_FETCH_PART: u64 = 2;

/// `Scene` is all that a placement looks at.
#[derive(Clone, Copy, Debug)]
pub struct Scene<'a> {
    /// The endpoints.
    pub registry: &'a Registry,
    /// How old what the registry says is.
    pub proof: &'a Proof,
    /// The bounds that are kept.
    pub bounds: &'a Bounds,
    /// Own requests in progress that an endpoint may have.
    pub share: u32,
    /// Which parts the service's requests are for.
    pub hot_spots: Option<&'a HotSpots>,
    /// What this router may send to cold endpoints; `None` where the service's may get any number.
    pub warmup: Option<&'a Warmup>,
    /// The time.
    pub now: Time,
    /// A random number.
    pub draw: u64,
}

impl Scene<'_> {
    fn stays(&self, endpoint: &Endpoint) -> bool {
        self.proof.covers_evacuations(self.now, self.bounds)
            && endpoint.stays(self.now, self.proof.read(), self.bounds.staying)
    }

    fn cold(&self, endpoint: &Endpoint) -> bool {
        self.warmup.is_some() && endpoint.cold(self.now) > Millis(0)
    }

    /// Tells whether what an endpoint holds may be fetched from it.
    ///
    /// In an evacuated data centre only while requests that were placed there before may still be on their way.
    fn lends(&self, endpoint: &Endpoint) -> bool {
        let bound = self.bounds.evacuation.unwrap_or_default();
        endpoint
            .evacuated
            .is_none_or(|since| self.now.since(since).0 < bound.0 / EVACUATION_FETCH_PART)
    }
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
    /// Another endpoint that most likely holds the prompt's shared parts.
    pub holder: Option<EndpointKey>,
    /// Whether it is cold, and the request counts in this router's part of what it may get.
    pub cold: bool,
}

/// Chooses an endpoint that the ticket has not tried; `None` where there is none.
pub fn choose(scene: &Scene<'_>, ticket: &Ticket, prompt: Option<&Prompt>) -> Option<Placed> {
    let all: Vec<(EndpointKey, &Endpoint)> = scene.registry.of(&ticket.service).collect();
    let fresh = |k: &EndpointKey| !tried(ticket, *k);
    let mut open: Vec<(EndpointKey, &Endpoint)> = Vec::with_capacity(all.len());
    open.extend(
        all.iter()
            .filter(|(k, e)| fresh(k) && scene.stays(e) && e.own < scene.share),
    );
    let open = warm_or_admitted(scene, ticket, open);
    let sound: Vec<_> = open
        .iter()
        .filter(|(_, e)| !e.paused(scene.now))
        .copied()
        .collect();
    let open = if sound.is_empty() { open } else { sound };
    let usual = Usual::of(scene, &all);
    let anchor = prompt.and_then(Prompt::anchor);
    match anchor {
        Some(part) => {
            let placed = by_affinity(scene, open, part.id, usual)?;
            let holder = holder(scene, ticket, part.id, placed.endpoint);
            Some(Placed { holder, ..placed })
        }
        None => by_load(scene, &open, usual),
    }
}

/// Leaves out the cold endpoints that this router may not send to. Where all are cold, some of what is free is left to
/// requests that are more urgent, and to other workspaces.
fn warm_or_admitted<'a>(
    scene: &Scene<'_>,
    ticket: &Ticket,
    mut open: Vec<(EndpointKey, &'a Endpoint)>,
) -> Vec<(EndpointKey, &'a Endpoint)> {
    let Some(warmup) = scene.warmup else {
        return open;
    };
    let keys = open.iter().map(|(key, _)| *key);
    let all_cold = open.iter().all(|(_, e)| scene.cold(e));
    let admitted = |workspace| warmup.admits_rank(scene.now, ticket.priority, workspace, keys);
    if all_cold && !admitted(ticket.workspace_tag()) {
        return Vec::new();
    }
    open.retain(|(key, e)| !scene.cold(e) || warmup.admits(scene.now, *key));
    open
}

/// Gets after what time the first endpoint that a ticket was not sent to is warm; `None` where none is cold.
pub fn warm_after(scene: &Scene<'_>, ticket: &Ticket) -> Option<Millis> {
    scene.warmup?;
    let all = scene.registry.of(&ticket.service);
    let cold = all.filter(|(k, e)| !tried(ticket, *k) && scene.stays(e) && scene.cold(e));
    cold.map(|(_, e)| e.cold(scene.now)).min()
}

/// Tells whether an endpoint that the ticket has not tried is left out as nothing confirms that it isn't
/// leaving.
pub fn unconfirmed(scene: &Scene<'_>, ticket: &Ticket) -> bool {
    let mut all = scene.registry.of(&ticket.service);
    all.any(|(k, e)| !tried(ticket, k) && !scene.stays(e))
}

fn tried(ticket: &Ticket, endpoint: EndpointKey) -> bool {
    ticket.tried.contains(&endpoint) || ticket.unreached.contains(&endpoint)
}

/// `Usual` is what the endpoints of a service have in the mean.
#[derive(Clone, Copy, Debug)]
struct Usual {
    load: f32,
    failing: f32,
}

impl Usual {
    #[expect(clippy::cast_precision_loss, reason = "loads are small numbers")]
    fn of(scene: &Scene<'_>, all: &[(EndpointKey, &Endpoint)]) -> Self {
        let count = all.len().max(1) as f32;
        let load: u32 = all.iter().map(|(_, e)| e.load(scene.now)).sum();
        let failing: f32 = all.iter().map(|(_, e)| e.failing(scene.now)).sum();
        Self {
            load: load as f32 / count,
            failing: failing / count,
        }
    }
}

/// Gets the load from which an endpoint is passed over.
#[expect(clippy::cast_precision_loss, reason = "ages are small numbers")]
fn limit(scene: &Scene<'_>, endpoint: &Endpoint, mean: f32) -> f32 {
    let age = endpoint.age(scene.now).map_or(OLD, |age| age.min(OLD));
    let stale = age.0 as f32 / OLD.0 as f32;
    let part = FRESH.part + (STALE.part - FRESH.part) * stale;
    let slack = FRESH.slack + (STALE.slack - FRESH.slack) * stale;
    let multiple = scene.bounds.skew.0 as f32 / 1000.0;
    mean * (multiple * part).max(1.0) + slack
}

#[expect(clippy::cast_precision_loss, reason = "loads are small numbers")]
fn cost(scene: &Scene<'_>, endpoint: &Endpoint, usual: Usual) -> f32 {
    let above = endpoint.failing(scene.now) - usual.failing - FAILURE_DOUBT;
    endpoint.load(scene.now) as f32 + above.max(0.0) * FAILURE_LOAD
}

/// Finds the endpoint besides `chosen` that most likely holds prompts with `item`: the first in their
/// order that has been there for long enough, also if it is leaving. One that has just come has read
/// nothing yet. Where `chosen` is the first itself, the next one may have stood in for it; a fetch of
/// what is held already costs nothing.
fn holder(
    scene: &Scene<'_>,
    ticket: &Ticket,
    item: u64,
    chosen: EndpointKey,
) -> Option<EndpointKey> {
    let known = scene.registry.known(&ticket.service);
    let settled = known.filter(|(k, e)| {
        *k != chosen && !e.young(scene.now) && !e.paused(scene.now) && scene.lends(e)
    });
    let first = settled.max_by_key(|(_, e)| score(item, e.seed));
    first.map(|(key, _)| key)
}

fn by_affinity(
    scene: &Scene<'_>,
    mut open: Vec<(EndpointKey, &Endpoint)>,
    item: u64,
    usual: Usual,
) -> Option<Placed> {
    open.sort_by_key(|(_, e)| std::cmp::Reverse(score(item, e.seed)));
    let fits =
        |(_, e): &(EndpointKey, &Endpoint)| cost(scene, e, usual) < limit(scene, e, usual.load);
    let among = spread(scene, &open, item, usual);
    let below = among
        .filter(|rank| fits(&open[*rank]))
        .or_else(|| open.iter().position(fits));
    let rank = match below {
        Some(rank) => rank,
        None => least(scene, &open, |e| cost(scene, e, usual))?,
    };
    placed(scene, &open, rank, usual)
}

/// Chooses one of the endpoints that a hot part is spread over, the less loaded of two random ones;
/// `None` for a part that one endpoint carries.
fn spread(
    scene: &Scene<'_>,
    open: &[(EndpointKey, &Endpoint)],
    item: u64,
    usual: Usual,
) -> Option<usize> {
    let multiple = f64::from(scene.bounds.skew.0) / 1000.0;
    let over = scene
        .hot_spots?
        .spread(hot_spots::tag(item), open.len(), multiple);
    if over < 2 {
        return None;
    }
    let pick = |turn| usize::try_from(score(scene.draw, turn) % over as u64).unwrap_or_default();
    let two = [pick(1), pick(2)];
    let costs = two.map(|rank| cost(scene, open[rank].1, usual));
    Some(if costs[1] < costs[0] { two[1] } else { two[0] })
}

fn by_load(scene: &Scene<'_>, open: &[(EndpointKey, &Endpoint)], usual: Usual) -> Option<Placed> {
    let stated = open.iter().any(|(_, e)| e.age(scene.now).is_some());
    let rank = if stated {
        least(scene, open, |e| cost(scene, e, usual))?
    } else {
        least(scene, open, |e| time(scene, e))?
    };
    placed(scene, open, rank, usual)
}

/// Estimates the time until an endpoint answers.
#[expect(clippy::cast_precision_loss, reason = "loads are small numbers")]
fn time(scene: &Scene<'_>, endpoint: &Endpoint) -> f32 {
    let failures = 1.0 + endpoint.failing(scene.now) * FAILURE_TIMES;
    (endpoint.pace(scene.now) + 1.0) * (endpoint.own as f32 + 1.0) * failures
}

/// Finds the endpoint with the least cost, a random one among equals.
fn least(
    scene: &Scene<'_>,
    open: &[(EndpointKey, &Endpoint)],
    cost: impl Fn(&Endpoint) -> f32,
) -> Option<usize> {
    let ranked = open.iter().enumerate().min_by(|(_, (_, a)), (_, (_, b))| {
        let order = cost(a).total_cmp(&cost(b));
        order.then_with(|| score(scene.draw, a.seed).cmp(&score(scene.draw, b.seed)))
    });
    ranked.map(|(rank, _)| rank)
}

fn placed(
    scene: &Scene<'_>,
    open: &[(EndpointKey, &Endpoint)],
    rank: usize,
    usual: Usual,
) -> Option<Placed> {
    let (endpoint, chosen) = open.get(rank)?;
    Some(Placed {
        endpoint: *endpoint,
        load: chosen.load(scene.now),
        limit: limit(scene, chosen, usual.load),
        rank: u32::try_from(rank).unwrap_or(u32::MAX),
        holder: None,
        cold: scene.cold(chosen),
    })
}
