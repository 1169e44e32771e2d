//! Prompts go where their shared parts are held.

use crate::{
    arena::EndpointKey,
    gateway::{
        Ticket,
        endpoint::{
            Endpoint,
            State, //
        },
        hot_spots,
        incoming_request::Prompt,
        place::{
            Advice,
            Placed,
            PlacementContext,
            candidates,
            cost::{
                ServiceMean,
                cost,
                draw,
                least,
                limit, //
            },
            expected::{
                MAX_ENDPOINTS,
                Reader,
                first_in_time, //
            },
            placed, //
        },
    },
    load::score,
};

/// Finds the endpoint other than `chosen` that most likely holds the parts of a prompt that is placed by
/// `part_id`: the first in that part's order that has been listed for long enough, even if it is leaving. An
/// endpoint that has just joined has read nothing yet. Where `chosen` itself is the first, the next one may
/// have replaced it for a while; fetching what is already held costs nothing.
///
/// Where speeds vary, one that holds at least the first parts of the prompt goes before that next one.
pub(super) fn holder(
    context: &PlacementContext<'_>,
    ticket: &Ticket,
    (prompt, part_id): (&Prompt, u64),
    chosen: EndpointKey,
) -> Option<EndpointKey> {
    let allows = |key: EndpointKey, e: &Endpoint| {
        key != chosen && !e.paused(context.now) && context.allows_fetch(e)
    };
    let known = context.registry.known(&ticket.service);
    let settled = known.filter(|(k, e)| !e.recently_joined(context.now) && allows(*k, e));
    let next = settled.max_by_key(|(_, e)| score(part_id, e.seed));
    let is_first = |chosen: &Endpoint| {
        let rank = score(part_id, chosen.seed);
        next.is_none_or(|(_, e)| {
            !chosen.recently_joined(context.now) && score(part_id, e.seed) < rank
        })
    };
    let reader = || {
        context.registry.get(chosen).filter(|e| is_first(e))?;
        let life = context.shared_reads.holder(context.now, prompt)?;
        let key = context.registry.key_of(life)?;
        let endpoint = context.registry.get(key)?;
        let is_known = endpoint.state != State::Gone && endpoint.entry.service == ticket.service;
        (is_known && allows(key, endpoint)).then_some(key)
    };
    let reader = if context.speeds_vary { reader() } else { None };
    reader.or(next.map(|(key, _)| key))
}

pub(super) fn by_affinity(
    context: &PlacementContext<'_>,
    mut candidates: Vec<(EndpointKey, &Endpoint)>,
    (part_id, reader): (u64, Reader),
    mean: ServiceMean,
) -> Option<Placed> {
    sort(&mut candidates, part_id);
    let fits = |(_, e): &(EndpointKey, &Endpoint)| cost(context, e, mean) < limit(context, e, mean);
    let hot_pick = pick_for_hot_part(context, &candidates, part_id, mean);
    let below = hot_pick.filter(|rank| fits(&candidates[*rank]));
    // Nothing else needs it where speeds don't vary and a hot part has its pick.
    let first = if context.speeds_vary || below.is_none() {
        candidates.iter().position(fits)
    } else {
        None
    };
    let below = if context.speeds_vary {
        below
            .filter(|rank| reader.bears(candidates[*rank].1.waits.expected(context.now)))
            .or_else(|| Some(first_in_time(context, &candidates, first?, fits, reader)))
    } else {
        below.or(first)
    };
    let rank = match below {
        Some(rank) => rank,
        None => least(context, &candidates, |e| cost(context, e, mean))?,
    };
    let passed = first.filter(|first| context.speeds_vary && *first < rank);
    let wait = passed.map(|first| candidates[first].1.waits.expected(context.now));
    let placed = placed(context, &candidates, rank, mean)?;
    Some(Placed {
        passed_wait: wait.filter(|wait| !reader.bears(*wait)),
        ..placed
    })
}

/// Lists the endpoints at which a prompt may be read, in the order in which it prefers them: those with room
/// among which the wait decides. None where there is nothing to choose from.
pub(in crate::gateway) fn readers(
    context: &PlacementContext<'_>,
    ticket: &Ticket,
    prompt: &Prompt,
) -> Vec<EndpointKey> {
    let Some(part) = prompt.placement_part() else {
        return Vec::new();
    };
    let all: Vec<(EndpointKey, &Endpoint)> = context.registry.of(&ticket.service).collect();
    let mean = ServiceMean::of(context, &ticket.service, &all);
    let mut candidates = candidates(context, ticket, &all);
    sort(&mut candidates, part.id);
    let fits = |rank: &usize| {
        let endpoint = candidates[*rank].1;
        cost(context, endpoint, mean) < limit(context, endpoint, mean)
    };
    let hot_pick = pick_for_hot_part(context, &candidates, part.id, mean).filter(fits);
    let others = (0..candidates.len()).filter(|rank| Some(*rank) != hot_pick && fits(rank));
    let readers = hot_pick.into_iter().chain(others).take(MAX_ENDPOINTS);
    let readers: Vec<EndpointKey> = readers.map(|rank| candidates[rank].0).collect();
    if readers.len() < 2 {
        return Vec::new();
    }
    readers
}

/// Puts endpoints in the order in which prompts with a part prefer them.
pub(super) fn sort(candidates: &mut [(EndpointKey, &Endpoint)], part_id: u64) {
    candidates.sort_by_key(|(_, e)| std::cmp::Reverse(score(part_id, e.seed)));
}

/// Chooses one of the endpoints that share a hot part, the less loaded of two random ones; `None`
/// for a part that a single endpoint carries.
///
/// A prompt goes to the one that it has asked for. Where it would wait there, one that is drawn anew, of which
/// nothing is known, would be no better.
fn pick_for_hot_part(
    context: &PlacementContext<'_>,
    candidates: &[(EndpointKey, &Endpoint)],
    part_id: u64,
    mean: ServiceMean,
) -> Option<usize> {
    let spread_width = spread_width(context, candidates.len(), part_id, mean)?;
    let shared = &candidates[..spread_width];
    let asked = match context.advice {
        Advice::None => None,
        Advice::Go(asked) => shared.iter().position(|(key, _)| *key == asked),
        Advice::Leave => return None,
    };
    asked.or_else(|| cheaper_of_two(context, shared, mean))
}

/// Gets how many of so many endpoints share a hot part; `None` for a part that a single endpoint carries.
pub(super) fn spread_width(
    context: &PlacementContext<'_>,
    endpoints: usize,
    part_id: u64,
    mean: ServiceMean,
) -> Option<usize> {
    let multiple = f64::from(context.bounds.skew.0) / 1000.0 * mean.carried_share();
    let width = context
        .hot_spots?
        .spread(hot_spots::tag(part_id), endpoints, multiple);
    (width >= 2).then_some(width)
}

/// Chooses the endpoint with the lower cost of two random ones.
pub(super) fn cheaper_of_two(
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
