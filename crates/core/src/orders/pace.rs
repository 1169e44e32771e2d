//! How many engines of a model may load at once, without the issuers agreeing on it.
//!
//! Each engine has its own issuer, so nobody counts the loads of a model. Instead, all issuers put
//! the engines that don't hold what is published into the same order, and only the first of them
//! may load. Under one revision engines only leave this queue, as they become right. So an issuer
//! with old news sees a longer queue than there is and lets fewer load, never more: whoever loads
//! was among the first then, and as long as it isn't right it still is. The bounds hold for certain
//! while no engine falls behind its report (a crash, a later life) and views of who is down agree.

use slotmap::SecondaryMap;

use super::{
    Hold, Scene,
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
pub const MAX_LOADING: usize = 2;

/// `Place` is an engine's place in the queue. Those that serve nothing come first: to load them
/// takes nothing away.
type Place = (bool, Tag);

/// `Standing` is what the queue needs to know of one engine.
#[derive(Clone, Copy, Debug)]
struct Standing {
    place: Place,
    /// Whether it holds what is published.
    right: bool,
    /// Whether it takes requests for the model.
    serves: bool,
}

fn standing(
    scene: &Scene<'_>,
    engines: &SecondaryMap<EndpointKey, Engine>,
    model: ModelKey,
    (key, endpoint): (EndpointKey, &Endpoint),
) -> Option<Standing> {
    // One that leaves or is down loads nothing that could be waited for, and serves nobody.
    let state = scene.view.state(scene.now, key);
    if matches!(state, State::Leaving | State::Down) {
        return None;
    }
    let life = scene.view.incarnation(key);
    let news = engines.get(key).and_then(|e| e.news(life));
    let loaded = news.map(|n| &n.loaded);
    let id = scene.config.models.get(model).map(|m| &m.id);
    let holds = |l: &&std::sync::Arc<super::Loaded>| id.is_some_and(|id| l.models.contains(id));
    let right = loaded.is_some_and(|l| engine::wanted(scene.config, endpoint, l).is_none());
    Some(Standing {
        place: (
            loaded.is_some_and(|l| !l.models.is_empty()),
            endpoint.tag, //
        ),
        right,
        serves: loaded.filter(holds).is_some(),
    })
}

/// Tells whether an engine may load now, or why not.
pub(super) fn check(
    scene: &Scene<'_>,
    engines: &SecondaryMap<EndpointKey, Engine>,
    endpoint: EndpointKey,
) -> Result<(), Hold> {
    let Some(target) = scene.config.endpoints.get(endpoint) else {
        return Err(Hold::Unreported);
    };
    let mut models = target.models.iter();
    models.try_for_each(|model| check_model(scene, engines, *model, (endpoint, target)))
}

fn check_model(
    scene: &Scene<'_>,
    engines: &SecondaryMap<EndpointKey, Engine>,
    model: ModelKey,
    target: (EndpointKey, &Endpoint),
) -> Result<(), Hold> {
    let Some(own) = standing(scene, engines, model, target) else {
        return Err(Hold::Unreported);
    };
    let all = scene.config.endpoints.iter();
    let all = all.filter(|(_, e)| e.models.contains(&model));
    let others = all.filter(|(key, _)| *key != target.0);
    let others = others.filter_map(|(key, e)| standing(scene, engines, model, (key, e)));
    let mut ahead = 0;
    let mut serving = 0;
    for other in others {
        // Whoever is ahead may be loading by its own issuer's order, and so may not be serving.
        let may_load = !other.right && other.place < own.place;
        ahead += usize::from(may_load);
        serving += usize::from(other.serves && !may_load);
    }
    if ahead >= MAX_LOADING {
        return Err(Hold::Pace);
    }
    let least = scene.config.models.get(model).map_or(0, |m| m.min_replicas);
    let enough = serving >= usize::try_from(least).unwrap_or(usize::MAX);
    if own.serves && !enough {
        return Err(Hold::MinReplicas);
    }
    Ok(())
}

/// Lists the engines whose news is needed before one may load: those of its models that may be
/// ahead of it and were not heard since `since`, and those that were never heard in this life.
pub(super) fn unknown(
    scene: &Scene<'_>,
    engines: &SecondaryMap<EndpointKey, Engine>,
    endpoint: EndpointKey,
    since: crate::units::Time,
) -> Vec<EndpointKey> {
    let Some(target) = scene.config.endpoints.get(endpoint) else {
        return Vec::new();
    };
    let shared = |e: &Endpoint| e.models.iter().any(|m| target.models.contains(m));
    let all = scene.config.endpoints.iter();
    let all = all.filter(|(_, e)| shared(e));
    let stale = |(key, e): (EndpointKey, &std::sync::Arc<Endpoint>)| {
        let state = scene.view.state(scene.now, key);
        if matches!(state, State::Leaving | State::Down) {
            return None;
        }
        let life = scene.view.incarnation(key);
        let Some(news) = engines.get(key).and_then(|e| e.news(life)) else {
            return Some((None, e.tag, key));
        };
        let right = engine::wanted(scene.config, e, &news.loaded).is_none();
        (!right && news.at < since).then_some((Some(news.at), e.tag, key))
    };
    let mut stale: Vec<_> = all.filter_map(stale).collect();
    stale.sort_unstable();
    stale.into_iter().map(|(_, _, key)| key).collect()
}
