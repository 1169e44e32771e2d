//! Why an endpoint gets a request or not, in words; for explanations alone.

use indexmap::IndexSet;
use serde::Serialize;

use crate::{
    arena::EndpointKey,
    gateway::{
        Ticket,
        endpoint::{
            Endpoint,
            State, //
        },
        incoming_request::Prompt,
        place::{
            PlacementContext,
            affinity::{
                sort,
                spread_width, //
            },
            candidates,
            choose,
            choose_among,
            cost::{
                ServiceMean,
                cost,
                limit, //
            },
            is_option, //
        },
    },
    units::Millis,
};

/// `Decision` is what a choice follows from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Decision {
    /// The order of the endpoints for a part of the prompt, and their load limits.
    PromptPart,
    /// The loads that endpoints state.
    StatedLoad,
    /// How fast the newest answers were.
    AnswerTime,
}

/// `Reason` says why an endpoint is not chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// It has left, or another instance has its address.
    Gone,
    /// It is shutting down.
    Leaving,
    /// Its data centre is evacuated.
    Evacuated,
    /// The request must not be sent to it.
    Excluded,
    /// Nothing confirms recently enough that it is not leaving.
    Unconfirmed,
    /// It has asked for a time without requests.
    BackingOff,
    /// This router has its share of the endpoint's connections in use.
    FullShare,
    /// It may be full, and must not turn away one more request of this router.
    Full,
    /// It is cold, and this router's quota for it is used up or reserved.
    Cold,
    /// It could not be reached, or its answers broke off.
    Paused,
    /// Its load is at its limit, which follows from the permitted multiple of the mean.
    OverLimit,
    /// The chosen one comes earlier in the order for the prompt's part.
    LaterInOrder,
    /// Others wait there for longer than at the chosen one.
    LongWait,
    /// It has more load and failures than the chosen one.
    MoreLoaded,
    /// Its newest answers were slower than those of the chosen one.
    Slower,
    /// It could have been chosen by chance, or the loads differ too little.
    NotDrawn,
    /// It could take the request, which is refused for another reason.
    Able,
}

/// `Standing` is how an endpoint compares for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Why it is not chosen; `None` for the one that is.
    pub reason: Option<Reason>,
    /// Time until the reason ends at the latest, where that is known.
    pub left: Option<Millis>,
    /// Number of endpoints before it in the order for the prompt's part.
    pub rank: Option<u32>,
    /// Load from which it is passed over; `None` if it can't be chosen at all.
    pub limit: Option<f32>,
}

/// `Standings` is how the endpoints of a service compare for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Standings {
    /// What the choice follows from.
    pub decision: Decision,
    /// Number of endpoints among which a random draw chooses at most; 1 where chance has no part.
    pub among: usize,
    /// Where the request would go if it could not be sent to the chosen one.
    pub runner_up: Option<EndpointKey>,
    /// The endpoints that may be chosen, in their order, then the others.
    pub endpoints: Vec<Standing>,
}

/// Compares the endpoints of a request's service; `chosen` is the one that it would go to.
pub fn standings(
    context: &PlacementContext<'_>,
    ticket: &Ticket,
    prompt: Option<&Prompt>,
    chosen: Option<EndpointKey>,
) -> Standings {
    let all: Vec<(EndpointKey, &Endpoint)> = context.registry.of(&ticket.service).collect();
    let mean = ServiceMean::of(context, &ticket.service, &all);
    let mut able = candidates(context, ticket, &all);
    let part = prompt.and_then(Prompt::placement_part);
    if let Some(part) = part {
        sort(&mut able, part.id);
    }
    let decision = match part {
        Some(_) => Decision::PromptPart,
        None if able.iter().any(|(_, e)| e.age(context.now).is_some()) => Decision::StatedLoad,
        None => Decision::AnswerTime,
    };
    let runner_up =
        chosen.and_then(|chosen| runner_up(context, ticket, prompt, (&able, chosen), mean));
    let chosen = able.iter().position(|(key, _)| Some(*key) == chosen);
    let ahead = chosen.and_then(|rank| Some((rank, able.get(rank)?.1)));
    let mut endpoints: Vec<Standing> = Vec::with_capacity(all.len());
    for (rank, (key, e)) in able.iter().enumerate() {
        let reason = (Some(rank) != chosen).then(|| match ahead {
            Some(ahead) => passed_over(context, mean, decision, (rank, e), ahead),
            None => Reason::Able,
        });
        endpoints.push(Standing {
            endpoint: *key,
            reason,
            left: None,
            rank: part.and_then(|_| u32::try_from(rank).ok()),
            limit: Some(limit(context, e, mean)),
        });
    }
    let known = context.registry.known(&ticket.service);
    let listed: IndexSet<EndpointKey> = able.iter().map(|(key, _)| *key).collect();
    let others = known.filter(|(key, _)| !listed.contains(key));
    endpoints.extend(others.map(|(key, e)| {
        let reason = left_out(context, ticket, key, e);
        Standing {
            endpoint: key,
            reason: Some(reason),
            left: time_left(context, e, reason),
            rank: None,
            limit: None,
        }
    }));
    let among = match part {
        Some(part) => {
            let width = spread_width(context, able.len(), part.id, mean);
            let any_fits = able.iter().any(|(_, e)| fits(context, e, mean));
            width.unwrap_or(if any_fits { 1 } else { able.len() })
        }
        None if decision == Decision::StatedLoad => able.len(),
        None => {
            let unknown = able.iter().any(|(_, e)| e.latency(context.now).is_none());
            let by_chance = unknown || context.is_short;
            if by_chance { able.len() } else { 1 }
        }
    };
    Standings {
        decision,
        among: among.max(1),
        runner_up,
        endpoints,
    }
}

/// Says why an endpoint is no candidate, by the first of the conditions of [`candidates`] that it
/// fails.
fn left_out(
    context: &PlacementContext<'_>,
    ticket: &Ticket,
    key: EndpointKey,
    endpoint: &Endpoint,
) -> Reason {
    if endpoint.state == State::Gone {
        Reason::Gone
    } else if !endpoint.stays_listed() {
        Reason::Leaving
    } else if endpoint.evacuated.is_some() {
        Reason::Evacuated
    } else if !is_option(ticket, key, endpoint) {
        Reason::Excluded
    } else if !context.is_confirmed(endpoint) {
        Reason::Unconfirmed
    } else if endpoint.backing_off(context.now) {
        Reason::BackingOff
    } else if endpoint.own_connections() >= context.share {
        Reason::FullShare
    } else if !context.spares_brittle(key, endpoint) {
        Reason::Full
    } else if endpoint.paused(context.now) && !context.cold(endpoint) {
        Reason::Paused
    } else {
        Reason::Cold
    }
}

/// Says why a candidate is not chosen, from its rank and that of the chosen one.
fn passed_over(
    context: &PlacementContext<'_>,
    mean: ServiceMean,
    decision: Decision,
    (rank, endpoint): (usize, &Endpoint),
    (chosen_rank, chosen): (usize, &Endpoint),
) -> Reason {
    match decision {
        Decision::PromptPart if rank > chosen_rank && fits(context, chosen, mean) => {
            Reason::LaterInOrder
        }
        Decision::PromptPart if !fits(context, endpoint, mean) => Reason::OverLimit,
        Decision::PromptPart
            if context.speeds_vary
                && endpoint.waits.expected(context.now) > chosen.waits.expected(context.now) =>
        {
            Reason::LongWait
        }
        Decision::StatedLoad if cost(context, endpoint, mean) > cost(context, chosen, mean) => {
            Reason::MoreLoaded
        }
        Decision::AnswerTime => {
            match (endpoint.latency(context.now), chosen.latency(context.now)) {
                (Some(own), Some(other)) if own > other => Reason::Slower,
                _ => Reason::NotDrawn,
            }
        }
        Decision::PromptPart | Decision::StatedLoad => Reason::NotDrawn,
    }
}

fn fits(context: &PlacementContext<'_>, endpoint: &Endpoint, mean: ServiceMean) -> bool {
    cost(context, endpoint, mean) < limit(context, endpoint, mean)
}

/// Finds where a request would go if it could not be sent to `chosen`, which is one of `able`. Without
/// it, cold or paused endpoints may count that don't with it; then all are compared anew.
fn runner_up(
    context: &PlacementContext<'_>,
    ticket: &Ticket,
    prompt: Option<&Prompt>,
    (able, chosen): (&[(EndpointKey, &Endpoint)], EndpointKey),
    mean: ServiceMean,
) -> Option<EndpointKey> {
    let mut rest = able.to_vec();
    rest.retain(|(key, _)| *key != chosen);
    let is_same = !rest.is_empty() && !able.iter().any(|(_, e)| context.cold(e));
    let placed = if is_same {
        choose_among(context, ticket, prompt, rest, mean)
    } else {
        let ticket = Ticket {
            unreached: vec![chosen],
            ..ticket.clone()
        };
        choose(context, &ticket, prompt)
    };
    placed.map(|placed| placed.endpoint)
}

fn time_left(
    context: &PlacementContext<'_>,
    endpoint: &Endpoint,
    reason: Reason,
) -> Option<Millis> {
    match reason {
        Reason::BackingOff => Some(endpoint.back_off(context.now)),
        Reason::Cold => Some(endpoint.cold(context.now)),
        _ => None,
    }
}
