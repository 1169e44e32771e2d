//! Where a request goes.

use rand::{
    Rng,
    RngExt, //
};

use crate::{
    arena::EndpointKey,
    config::Config,
    ids::rendezvous,
    load::Table,
    membership::{
        State,
        View, //
    },
    request::{
        Placed,
        Reason,
        Work, //
    },
    units::Time,
};

/// `Scene` is all that a placement looks at.
#[derive(Clone, Copy)]
pub struct Scene<'a> {
    /// The configuration in force.
    pub config: &'a Config,
    /// States of endpoints.
    pub view: &'a View,
    /// Loads of endpoints.
    pub loads: &'a Table,
    /// The time.
    pub now: Time,
}

/// Chooses an endpoint for `work`, none of those in `tried`; `None` when no endpoint can take it.
pub fn choose(
    scene: Scene<'_>,
    work: &Work,
    tried: &[EndpointKey],
    rng: &mut impl Rng,
) -> Option<Placed> {
    let fits = |key: EndpointKey| {
        let state = scene.view.state(scene.now, key);
        matches!(state, State::Live | State::Suspect) && !tried.contains(&key)
    };
    let serves = |e: &crate::config::Endpoint| match work {
        Work::Chat { model, .. } => e.models.contains(model),
        Work::Plain { service, .. } | Work::Once { service, .. } => e.service == Some(*service),
    };
    let all: Vec<EndpointKey> = scene
        .config
        .endpoints
        .iter()
        .filter(|(key, e)| serves(e) && fits(*key))
        .map(|(key, _)| key)
        .collect();
    if all.is_empty() {
        return None;
    }
    let load = |key: EndpointKey| u64::from(scene.loads.estimate(scene.now, key));
    let total: u64 = all.iter().map(|k| load(*k)).sum::<u64>() + 1;
    let count = all.len() as u64;
    let bound = scene.config.policy.load_multiple.of(total).div_ceil(count);
    let under = |key: EndpointKey| load(key) < bound;
    let Work::Chat { prefix, token, .. } = work else {
        let first = all[rng.random_range(0..all.len())];
        let second = all[rng.random_range(0..all.len())];
        let (best, other) = if load(second) < load(first) {
            (second, first)
        } else {
            (first, second)
        };
        let runner_up = (other != best).then_some(other);
        return Some(Placed {
            endpoint: best,
            runner_up,
            reason: Reason::LeastLoaded,
        });
    };
    let mut ranked = all;
    let tag = |key: &EndpointKey| {
        scene
            .config
            .endpoints
            .get(*key)
            .map(|e| e.tag)
            .unwrap_or_default()
    };
    ranked.sort_by_key(|key| std::cmp::Reverse(rendezvous(prefix.0, tag(key))));
    if let Some(token) = token
        && let Some(key) = scene.config.endpoints.by_tag(token.last)
        && ranked.contains(&key)
        && under(key)
    {
        return Some(Placed {
            endpoint: key,
            runner_up: ranked.first().copied(),
            reason: Reason::Token,
        });
    }
    let found = ranked.iter().position(|k| under(*k)).unwrap_or(0);
    let reason = if found == 0 {
        Reason::Home
    } else {
        Reason::Overflow
    };
    Some(Placed {
        endpoint: ranked[found],
        runner_up: ranked.get(found + 1).copied(),
        reason,
    })
}
