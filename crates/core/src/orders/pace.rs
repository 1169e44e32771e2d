//! Bounds the number of engines of a model that load at once, without coordination of the issuers.
//!
//! Each engine has its own issuer, so no router counts the loads of a model. Instead, every issuer
//! sorts the engines that don't match the published configuration into the same queue, and only the
//! first [`MAX_CONCURRENT_LOADS`] of them may load. Under one revision, engines only leave this
//! queue, when they match. So an issuer with old reports sees a queue that is too long and lets
//! fewer engines load, never more: an engine that loads was among the first when it began, and
//! stays among them until it matches.
//! The bounds are guaranteed only while no engine loses what it reported (by a crash or restart)
//! and the routers agree on which engines are down.

use slotmap::SecondaryMap;

use super::{
    HoldReason, OrderContext,
    engine::{
        self,
        Engine, //
    },
};
use crate::{
    arena::{
        EndpointKey,
        ModelKey, //
    },
    config::Endpoint,
    ids::Tag,
    membership::State,
};

/// Most engines of one model that load at once.
pub const MAX_CONCURRENT_LOADS: usize = 2;

/// `QueuePosition` sorts engines in the queue: whether the engine holds any model, then its tag.
/// Engines without a model come first, because loading them removes no serving capacity.
type QueuePosition = (bool, Tag);

/// `QueueEntry` is what the queue needs to know of one engine.
#[derive(Clone, Copy, Debug)]
struct QueueEntry {
    position: QueuePosition,
    /// Whether it matches the published configuration.
    up_to_date: bool,
    /// Whether it reports to hold the model.
    serves: bool,
}

fn queue_entry(
    context: &OrderContext<'_>,
    engines: &SecondaryMap<EndpointKey, Engine>,
    model: ModelKey,
    (key, endpoint): (EndpointKey, &Endpoint),
) -> Option<QueueEntry> {
    // An engine that is leaving or down serves no requests, and a load of it can't be waited for.
    let state = context.view.state(context.now, key);
    if matches!(state, State::Leaving | State::Down) {
        return None;
    }
    let incarnation = context.view.incarnation(key);
    let report = engines.get(key).and_then(|e| e.report_of(incarnation));
    let loaded = report.map(|r| &r.loaded);
    let id = context.config.models.get(model).map(|m| &m.id);
    let holds = |l: &&std::sync::Arc<super::Loaded>| id.is_some_and(|id| l.models.contains(id));
    let up_to_date =
        loaded.is_some_and(|l| engine::next_change(context.config, endpoint, l).is_none());
    Some(QueueEntry {
        position: (
            loaded.is_some_and(|l| !l.models.is_empty()),
            endpoint.tag, //
        ),
        up_to_date,
        serves: loaded.filter(holds).is_some(),
    })
}

/// Checks the bounds on concurrent loads; gives the reason why an engine may not load now.
pub(super) fn check(
    context: &OrderContext<'_>,
    engines: &SecondaryMap<EndpointKey, Engine>,
    endpoint: EndpointKey,
) -> Result<(), HoldReason> {
    let Some(target) = context.config.endpoints.get(endpoint) else {
        return Err(HoldReason::Unreported);
    };
    let mut models = target.models.iter();
    models.try_for_each(|model| check_model(context, engines, *model, (endpoint, target)))
}

fn check_model(
    context: &OrderContext<'_>,
    engines: &SecondaryMap<EndpointKey, Engine>,
    model: ModelKey,
    target: (EndpointKey, &Endpoint),
) -> Result<(), HoldReason> {
    let Some(own) = queue_entry(context, engines, model, target) else {
        return Err(HoldReason::Unreported);
    };
    let all = context.config.endpoints.iter();
    let all = all.filter(|(_, e)| e.models.contains(&model));
    let others = all.filter(|(key, _)| *key != target.0);
    let others = others.filter_map(|(key, e)| queue_entry(context, engines, model, (key, e)));
    let mut ahead = 0;
    let mut serving = 0;
    for other in others {
        // An engine that is ahead may be loading by order of its own issuer, and then doesn't
        // serve.
        let may_load = !other.up_to_date && other.position < own.position;
        ahead += usize::from(may_load);
        serving += usize::from(other.serves && !may_load);
    }
    if ahead >= MAX_CONCURRENT_LOADS {
        return Err(HoldReason::Pace);
    }
    let least = context
        .config
        .models
        .get(model)
        .map_or(0, |m| m.min_replicas);
    let enough = serving >= usize::try_from(least).unwrap_or(usize::MAX);
    if own.serves && !enough {
        return Err(HoldReason::MinReplicas);
    }
    Ok(())
}

/// Lists the engines to poll before an engine may load: those that share a model with it and have
/// sent no report in their present incarnation, or sent none since `since` and did not match the
/// published configuration then.
pub(super) fn stale_engines(
    context: &OrderContext<'_>,
    engines: &SecondaryMap<EndpointKey, Engine>,
    endpoint: EndpointKey,
    since: crate::units::Time,
) -> Vec<EndpointKey> {
    let Some(target) = context.config.endpoints.get(endpoint) else {
        return Vec::new();
    };
    let shared = |e: &Endpoint| e.models.iter().any(|m| target.models.contains(m));
    let all = context.config.endpoints.iter();
    let all = all.filter(|(_, e)| shared(e));
    let stale = |(key, e): (EndpointKey, &std::sync::Arc<Endpoint>)| {
        let state = context.view.state(context.now, key);
        if matches!(state, State::Leaving | State::Down) {
            return None;
        }
        let incarnation = context.view.incarnation(key);
        let Some(report) = engines.get(key).and_then(|e| e.report_of(incarnation)) else {
            return Some((None, e.tag, key));
        };
        let up_to_date = engine::next_change(context.config, e, &report.loaded).is_none();
        (!up_to_date && report.at < since).then_some((Some(report.at), e.tag, key))
    };
    let mut stale: Vec<_> = all.filter_map(stale).collect();
    stale.sort_unstable();
    stale.into_iter().map(|(_, _, key)| key).collect()
}
