//! What endpoints cost: their load and failures, against the limit from which they are passed over.

use crate::{
    arena::EndpointKey,
    gateway::{
        endpoint::{
            Endpoint,
            State, //
        },
        place::PlacementContext, //
    },
    load::score,
    units::Millis,
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
pub(super) const FAILURE_TOLERANCE: f32 = 0.25;

/// `ServiceMean` is the mean of the loads and failure rates of a service's endpoints.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceMean {
    /// Mean load of the endpoints that may get requests.
    pub(super) load: f32,
    /// Mean load of all endpoints, also of those that are leaving or evacuated. The multiple is one
    /// of this mean: the fewer endpoints get requests, the less of it is left for each.
    pub(super) load_of_all: f32,
    /// Number of these endpoints.
    pub(super) counted: u32,
    pub(super) failure_rate: f32,
    /// Share of the endpoints that peers report to back off.
    pub(super) avoided: f32,
}

impl ServiceMean {
    /// Returns the mean load of all endpoints as a share of that of those that may get requests.
    pub(super) fn carried_share(&self) -> f64 {
        if self.load > self.load_of_all {
            f64::from(self.load_of_all / self.load)
        } else {
            1.0
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "loads are small numbers")]
    pub(super) fn of(
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
            counted: known_count,
            failure_rate: failure_rate / count,
            avoided: avoided as f32 / count,
        }
    }
}

/// Returns the load from which an endpoint is passed over.
#[expect(clippy::cast_precision_loss, reason = "ages are small numbers")]
pub(super) fn limit(context: &PlacementContext<'_>, endpoint: &Endpoint, mean: ServiceMean) -> f32 {
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
pub(super) fn cost(context: &PlacementContext<'_>, endpoint: &Endpoint, mean: ServiceMean) -> f32 {
    let above = endpoint.failure_rate(context.now) - mean.failure_rate - FAILURE_TOLERANCE;
    let refusing = above.max(0.0) + avoidance(context, endpoint, mean);
    endpoint.load(context.now) as f32 + refusing * FAILURE_LOAD
}

/// Returns by how much an endpoint is to be avoided because peers report that it backs off, from 0 to
/// 1; 0 where all endpoints do, as none is a better choice then.
pub(super) fn avoidance(
    context: &PlacementContext<'_>,
    endpoint: &Endpoint,
    mean: ServiceMean,
) -> f32 {
    let avoided = if endpoint.avoided(context.now) {
        1.0
    } else {
        0.0
    };
    (avoided - mean.avoided).max(0.0)
}

/// Gets the rate of failures, and by how much an endpoint is to be avoided.
pub(super) fn refusal_rate(
    context: &PlacementContext<'_>,
    endpoint: &Endpoint,
    mean: ServiceMean,
) -> f32 {
    endpoint.failure_rate(context.now) + avoidance(context, endpoint, mean)
}

/// Draws one of so many; `turn` tells the draws of one placement apart.
pub(super) fn draw(context: &PlacementContext<'_>, count: usize, turn: u64) -> Option<usize> {
    let drawn = score(context.draw, turn).checked_rem(u64::try_from(count).ok()?)?;
    usize::try_from(drawn).ok()
}

/// Finds the endpoint with the least cost, a random one among equals.
pub(super) fn least(
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
