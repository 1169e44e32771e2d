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
        endpoint::{
            Endpoint,
            State, //
        },
        hot_spots::{
            self,
            HotSpots, //
        },
        incoming_request::Prompt,
        proof::FreshnessProof,
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

/// `LoadMargin` is how far placement uses the permitted multiple of the mean load.
#[derive(Clone, Copy, Debug)]
struct LoadMargin {
    /// Part of the multiple that is used.
    part: f32,
    /// Requests allowed in addition; a small mean would leave no room otherwise.
    slack: f32,
}

/// Margin where the load is known as of now. With a margin closer to the multiple, chance and a hot
/// session push endpoints over it.
const FRESH_MARGIN: LoadMargin = LoadMargin {
    part: 0.92,
    slack: 2.6,
};
/// Margin where the load is as old as [`STALE_LOAD_AGE`] or unknown: meanwhile other routers may
/// have sent as many requests as there are routers. The fresh margin alone would break the multiple
/// after a cold start; this one alone would divert prompts under normal load from the endpoint that
/// holds their parts, and the parts would be read again elsewhere.
const STALE_MARGIN: LoadMargin = LoadMargin {
    part: 0.65,
    slack: 1.5,
};
/// Age from which a load is stale.
const STALE_LOAD_AGE: Millis = Millis(500);
/// Load equivalent of a failure rate of 1, for the part of the rate that is above the mean by more
/// than [`FAILURE_TOLERANCE`], and of a back-off that peers report.
const FAILURE_LOAD: f32 = 24.0;
/// Failure rate above the mean that may be due to chance: two standard deviations of about eight
/// answers of which half fail. Without it, where all engines fail alike and none is a better
/// choice, each would be over its limit, prompts would go to the least loaded endpoint, and their
/// parts would be read again.
const FAILURE_TOLERANCE: f32 = 0.25;
/// Weight of the failure rate in the expected time until an answer: a rate of 1 adds so many times
/// that time.
const FAILURE_TIME_FACTOR: f32 = 8.0;

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
    /// This router's quotas for cold endpoints; `None` where the service sets no limit for them.
    pub warmup: Option<&'a Warmup>,
    /// What this router may make brittle endpoints turn away; `None` where they are sturdy.
    pub brittle: Option<BrittleContext<'a>>,
    /// Number of routers.
    pub routers: u32,
    /// The time.
    pub now: Time,
    /// A random number.
    pub draw: u64,
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
    /// The load from which it would have been passed over.
    pub limit: f32,
    /// Number of endpoints before it in the order of preference.
    pub rank: u32,
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
    let mut candidates: Vec<(EndpointKey, &Endpoint)> = Vec::with_capacity(all.len());
    candidates.extend(all.iter().filter(|(k, e)| {
        is_option(ticket, *k, e)
            && context.is_confirmed(e)
            && !e.backing_off(context.now)
            && e.own_in_flight < context.share
            && context.spares_brittle(*k, e)
    }));
    let candidates = exclude_unadmitted_cold(context, ticket, candidates);
    let unpaused: Vec<_> = candidates
        .iter()
        .filter(|(_, e)| !e.paused(context.now))
        .copied()
        .collect();
    let candidates = if unpaused.is_empty() {
        candidates
    } else {
        unpaused
    };
    let mean = ServiceMean::of(context, &ticket.service, &all);
    let placement_part = prompt.and_then(Prompt::placement_part);
    match placement_part {
        Some(part) => {
            let placed = by_affinity(context, candidates, part.id, mean)?;
            let holder = holder(context, ticket, part.id, placed.endpoint);
            Some(Placed { holder, ..placed })
        }
        None => by_load(context, &candidates, mean),
    }
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

/// Tells whether an untried endpoint is excluded because this router has as many requests in progress
/// there as its share of the endpoint's connections allows.
pub fn has_full_share(context: &PlacementContext<'_>, ticket: &Ticket) -> bool {
    let mut all = context.registry.of(&ticket.service);
    all.any(|(k, e)| {
        is_option(ticket, k, e)
            && context.is_confirmed(e)
            && !e.backing_off(context.now)
            && e.own_in_flight >= context.share
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

/// `ServiceMean` is the mean of the loads and failure rates of a service's endpoints.
#[derive(Clone, Copy, Debug)]
struct ServiceMean {
    /// Mean load of the endpoints that may get requests.
    load: f32,
    /// Mean load of all endpoints, also of those that are leaving or evacuated. The multiple is one
    /// of this mean: the fewer endpoints get requests, the less of it is left for each.
    load_of_all: f32,
    failure_rate: f32,
    /// Share of the endpoints that peers report to back off.
    avoided: f32,
}

impl ServiceMean {
    /// Returns the mean load of all endpoints as a share of that of those that may get requests.
    fn carried_share(&self) -> f64 {
        if self.load > self.load_of_all {
            f64::from(self.load_of_all / self.load)
        } else {
            1.0
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "loads are small numbers")]
    fn of(
        context: &PlacementContext<'_>,
        service: &[u8],
        all: &[(EndpointKey, &Endpoint)],
    ) -> Self {
        let count = all.len().max(1) as f32;
        let known = context.registry.known(service);
        let known = known.filter(|(_, e)| e.state != State::Gone);
        let loads = known.map(|(_, e)| e.load(context.now));
        let (known_count, known_load) =
            loads.fold((0, 0), |(count, sum), load| (count + 1, sum + load));
        let load: u32 = all.iter().map(|(_, e)| e.load(context.now)).sum();
        let failure_rate: f32 = all.iter().map(|(_, e)| e.failure_rate(context.now)).sum();
        let avoided = all.iter().filter(|(_, e)| e.avoided(context.now)).count();
        Self {
            load: load as f32 / count,
            load_of_all: known_load as f32 / (known_count.max(1) as f32),
            failure_rate: failure_rate / count,
            avoided: avoided as f32 / count,
        }
    }
}

/// Returns the load from which an endpoint is passed over.
#[expect(clippy::cast_precision_loss, reason = "ages are small numbers")]
fn limit(context: &PlacementContext<'_>, endpoint: &Endpoint, mean: ServiceMean) -> f32 {
    let age = endpoint
        .age(context.now)
        .map_or(STALE_LOAD_AGE, |age| age.min(STALE_LOAD_AGE));
    let stale = age.0 as f32 / STALE_LOAD_AGE.0 as f32;
    let part = FRESH_MARGIN.part + (STALE_MARGIN.part - FRESH_MARGIN.part) * stale;
    let slack = FRESH_MARGIN.slack + (STALE_MARGIN.slack - FRESH_MARGIN.slack) * stale;
    let multiple = context.bounds.skew.0 as f32 / 1000.0;
    (mean.load_of_all * multiple * part).max(mean.load) + slack
}

#[expect(clippy::cast_precision_loss, reason = "loads are small numbers")]
fn cost(context: &PlacementContext<'_>, endpoint: &Endpoint, mean: ServiceMean) -> f32 {
    let above = endpoint.failure_rate(context.now) - mean.failure_rate - FAILURE_TOLERANCE;
    let refusing = above.max(0.0) + avoidance(context, endpoint, mean);
    endpoint.load(context.now) as f32 + refusing * FAILURE_LOAD
}

/// Returns by how much an endpoint is to be avoided because peers report that it backs off, from 0 to
/// 1; 0 where all endpoints do, as none is a better choice then.
fn avoidance(context: &PlacementContext<'_>, endpoint: &Endpoint, mean: ServiceMean) -> f32 {
    let avoided = if endpoint.avoided(context.now) {
        1.0
    } else {
        0.0
    };
    (avoided - mean.avoided).max(0.0)
}

/// Finds the endpoint other than `chosen` that most likely holds prompts with `part_id`: the first
/// in their order that has been listed for long enough, even if it is leaving. An endpoint that has
/// just joined has read nothing yet. Where `chosen` itself is the first, the next one may have
/// replaced it for a while; fetching what is already held costs nothing.
fn holder(
    context: &PlacementContext<'_>,
    ticket: &Ticket,
    part_id: u64,
    chosen: EndpointKey,
) -> Option<EndpointKey> {
    let known = context.registry.known(&ticket.service);
    let settled = known.filter(|(k, e)| {
        *k != chosen
            && !e.recently_joined(context.now)
            && !e.paused(context.now)
            && context.allows_fetch(e)
    });
    let first = settled.max_by_key(|(_, e)| score(part_id, e.seed));
    first.map(|(key, _)| key)
}

fn by_affinity(
    context: &PlacementContext<'_>,
    mut candidates: Vec<(EndpointKey, &Endpoint)>,
    part_id: u64,
    mean: ServiceMean,
) -> Option<Placed> {
    candidates.sort_by_key(|(_, e)| std::cmp::Reverse(score(part_id, e.seed)));
    let fits = |(_, e): &(EndpointKey, &Endpoint)| cost(context, e, mean) < limit(context, e, mean);
    let hot_pick = pick_for_hot_part(context, &candidates, part_id, mean);
    let below = hot_pick
        .filter(|rank| fits(&candidates[*rank]))
        .or_else(|| candidates.iter().position(fits));
    let rank = match below {
        Some(rank) => rank,
        None => least(context, &candidates, |e| cost(context, e, mean))?,
    };
    placed(context, &candidates, rank, mean)
}

/// Chooses one of the endpoints that share a hot part, the less loaded of two random ones; `None`
/// for a part that a single endpoint carries.
fn pick_for_hot_part(
    context: &PlacementContext<'_>,
    candidates: &[(EndpointKey, &Endpoint)],
    part_id: u64,
    mean: ServiceMean,
) -> Option<usize> {
    let multiple = f64::from(context.bounds.skew.0) / 1000.0 * mean.carried_share();
    let spread_width =
        context
            .hot_spots?
            .spread(hot_spots::tag(part_id), candidates.len(), multiple);
    if spread_width < 2 {
        return None;
    }
    cheaper_of_two(context, &candidates[..spread_width], mean)
}

/// Chooses the endpoint with the lower cost of two random ones.
fn cheaper_of_two(
    context: &PlacementContext<'_>,
    candidates: &[(EndpointKey, &Endpoint)],
    mean: ServiceMean,
) -> Option<usize> {
    let count = candidates.len();
    let pair = [draw(context, count, 1)?, draw(context, count, 2)?];
    let costs = pair.map(|rank| cost(context, candidates[rank].1, mean));
    Some(if costs[1] < costs[0] {
        pair[1]
    } else {
        pair[0]
    })
}

fn by_load(
    context: &PlacementContext<'_>,
    candidates: &[(EndpointKey, &Endpoint)],
    mean: ServiceMean,
) -> Option<Placed> {
    let stated = candidates.iter().any(|(_, e)| e.age(context.now).is_some());
    let rank = if stated {
        by_stated_load(context, candidates, mean)?
    } else {
        by_answer_time(context, candidates, mean)?
    };
    placed(context, candidates, rank, mean)
}

/// Chooses the endpoint with the least cost, of two random ones where other routers send as well.
///
/// Loads that were heard some time ago are the same at all routers. The least of all would be the same
/// endpoint for all of them, until its next answer.
fn by_stated_load(
    context: &PlacementContext<'_>,
    candidates: &[(EndpointKey, &Endpoint)],
    mean: ServiceMean,
) -> Option<usize> {
    if context.routers < 2 {
        return least(context, candidates, |e| cost(context, e, mean));
    }
    cheaper_of_two(context, candidates, mean)
}

/// Chooses the endpoint that is expected to answer soonest, or by chance one whose answers are not
/// known.
///
/// All routers learn of an endpoint that joins or returns at about the same time. If each took it for
/// the fastest, they would together send it several times what it can serve before the first of them
/// gets an answer.
fn by_answer_time(
    context: &PlacementContext<'_>,
    candidates: &[(EndpointKey, &Endpoint)],
    mean: ServiceMean,
) -> Option<usize> {
    let known = candidates
        .iter()
        .filter_map(|(_, e)| e.latency(context.now));
    let Some(fastest) = known.reduce(f32::min) else {
        return least(context, candidates, |e| {
            expected_answer_time(context, e, mean, 0.0)
        });
    };
    // An endpoint that has just failed is no better choice than one of which nothing is known.
    let unknown = fastest + 1.0;
    let is_untested = |e: &Endpoint| {
        e.latency(context.now).is_none()
            && e.own_in_flight == 0
            && refusal_rate(context, e, mean) < FAILURE_TOLERANCE
    };
    let drawn = draw(context, candidates.len(), 1)?;
    if is_untested(candidates.get(drawn)?.1) {
        return least(context, candidates, |e| {
            if is_untested(e) {
                refusal_rate(context, e, mean)
            } else {
                f32::INFINITY
            }
        });
    }
    least(context, candidates, |e| {
        expected_answer_time(context, e, mean, unknown)
    })
}

/// Draws one of so many; `turn` tells the draws of one placement apart.
fn draw(context: &PlacementContext<'_>, count: usize, turn: u64) -> Option<usize> {
    let drawn = score(context.draw, turn).checked_rem(u64::try_from(count).ok()?)?;
    usize::try_from(drawn).ok()
}

/// Estimates the time until an endpoint answers; `unknown` is the latency of one whose answers are not
/// known.
#[expect(clippy::cast_precision_loss, reason = "loads are small numbers")]
fn expected_answer_time(
    context: &PlacementContext<'_>,
    endpoint: &Endpoint,
    mean: ServiceMean,
    unknown: f32,
) -> f32 {
    let failure_factor = 1.0 + refusal_rate(context, endpoint, mean) * FAILURE_TIME_FACTOR;
    let latency = endpoint.latency(context.now).unwrap_or(unknown);
    (latency + 1.0) * (endpoint.own_in_flight as f32 + 1.0) * failure_factor
}

/// Gets the rate of failures, and by how much an endpoint is to be avoided.
fn refusal_rate(context: &PlacementContext<'_>, endpoint: &Endpoint, mean: ServiceMean) -> f32 {
    endpoint.failure_rate(context.now) + avoidance(context, endpoint, mean)
}

/// Finds the endpoint with the least cost, a random one among equals.
fn least(
    context: &PlacementContext<'_>,
    candidates: &[(EndpointKey, &Endpoint)],
    cost: impl Fn(&Endpoint) -> f32,
) -> Option<usize> {
    let ranked = candidates
        .iter()
        .enumerate()
        .min_by(|(_, (_, a)), (_, (_, b))| {
            let order = cost(a).total_cmp(&cost(b));
            order.then_with(|| score(context.draw, a.seed).cmp(&score(context.draw, b.seed)))
        });
    ranked.map(|(rank, _)| rank)
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
        limit: limit(context, chosen, mean),
        rank: u32::try_from(rank).unwrap_or(u32::MAX),
        holder: None,
        cold: context.cold(chosen),
        at_risk: context.at_risk(*endpoint, chosen),
        trial: false,
    })
}
