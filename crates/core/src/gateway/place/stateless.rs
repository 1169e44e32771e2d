//! Requests without a prompt go to the endpoint with the least load or the fastest answers.

use crate::{
    arena::EndpointKey,
    gateway::{
        endpoint::Endpoint,
        fraction,
        place::{
            Placed,
            PlacementContext,
            affinity::cheaper_of_two,
            cost::{
                FAILURE_TOLERANCE,
                ServiceMean,
                cost,
                draw,
                least,
                refusal_rate, //
            },
            placed, //
        },
    },
    load::score,
};

/// Weight of the failure rate in the expected time until an answer: a rate of 1 adds so many times
/// that time.
const FAILURE_TIME_FACTOR: f32 = 8.0;
/// Multiple of the least delay that a longer one counts as at most, so that no endpoint gets more than about
/// twice what another gets: the load multiple holds.
const MAX_DELAY_RATIO: f32 = 2.0;

pub(super) fn by_load(
    context: &PlacementContext<'_>,
    candidates: &[(EndpointKey, &Endpoint)],
    mean: ServiceMean,
) -> Option<Placed> {
    let stated = candidates.iter().any(|(_, e)| e.age(context.now).is_some());
    let rank = if stated {
        by_stated_load(context, candidates, mean)?
    } else if context.is_short {
        by_delay(context, candidates).or_else(|| by_answer_time(context, candidates, mean))?
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

/// Draws an endpoint by the inverse of its delay, where requests wait at all of them.
///
/// All routers hear about the same delays; with the least delay they would all choose the same endpoint.
fn by_delay(
    context: &PlacementContext<'_>,
    candidates: &[(EndpointKey, &Endpoint)],
) -> Option<usize> {
    let delays = candidates
        .iter()
        .map(|(_, e)| e.mean_delay(context.now).map(|delay| delay + 1.0));
    let least = delays.clone().flatten().reduce(f32::min)?;
    let most = least * MAX_DELAY_RATIO;
    let weights: Vec<f32> = delays
        .map(|delay| delay.unwrap_or(most).min(most).recip())
        .collect();
    let drawn = fraction(score(context.draw, 1));
    let mut left = drawn * weights.iter().sum::<f32>();
    let chosen = weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    });
    Some(chosen.unwrap_or(weights.len() - 1))
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
