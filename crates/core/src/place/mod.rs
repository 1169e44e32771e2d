//! Chooses the endpoint for a request.
//!
//! A returning chat goes to the engine that its placement token names, as long as that engine's
//! load is below the limit: the published multiple of the mean load, less a small margin. A chat
//! without a token goes to the first engine by rendezvous hash among those somewhat below the mean,
//! so that new chats fill the least loaded engines and leave the room below the limit to returning
//! chats. Where the engine that holds a prefix can't take the chat, another engine imports the
//! prefix from it.
//!
//! Two rules keep the limit although each router knows only part of the load: a router sends an
//! endpoint a bounded number of requests before it announces them to its peers
//! ([`max_unannounced`](crate::load::max_unannounced)), and it announces them early where an
//! endpoint is close to its limit. docs/design/skew.md gives the bound.

use rand::Rng;

use crate::{
    arena::EndpointKey,
    config::Config,
    load::{
        LoadTable,
        Pool,
        PoolKey,
        Usable, //
    },
    membership::View,
    request::{
        Placed,
        Work, //
    },
    units::Time,
};

pub mod moves;
mod pass;

use pass::Pass;

/// Most passes over one region's endpoints of one [`Usable`] level. A pass is repeated where the
/// endpoint that it picked is in another state than the load table has.
const MAX_PASSES: usize = 8;

/// `PlacementContext` is the state that a placement reads.
#[derive(Clone, Copy)]
pub struct PlacementContext<'a> {
    /// The configuration in force.
    pub config: &'a Config,
    /// States of endpoints.
    pub view: &'a View,
    /// Loads of endpoints.
    pub loads: &'a LoadTable,
    /// Current time.
    pub now: Time,
}

/// Chooses an endpoint for `work` other than those in `tried`; `None` when no endpoint can take it.
pub fn choose(
    context: PlacementContext<'_>,
    work: &Work,
    tried: &[EndpointKey],
    rng: &mut impl Rng,
) -> Option<Placed> {
    let pool_key = match work {
        Work::Chat { model, .. } => PoolKey::Model(*model),
        Work::Plain { service, .. } | Work::Once { service, .. } => PoolKey::Service(*service),
    };
    let pool = context.loads.pool(pool_key)?;
    // Another region's engine comes before a suspect one of the own region.
    for usable in usable_levels(pool) {
        if context.view.recently_paused(context.now) && most_unavailable(pool) {
            // The requests that arrived while this process was suspended would all go to the first
            // endpoint that answers; the node holds them until the others have answered.
            return None;
        }
        // The list is made anew for each level: endpoints that a pass over live ones found to be
        // suspect are candidates of last resort.
        let mut excluded = tried.to_vec();
        for span in [pool.own_region(), pool.other_regions()] {
            if pool.totals(&span, usable).count == 0 {
                continue;
            }
            for _ in 0..MAX_PASSES {
                let pass = Pass::new(context, pool, span.clone(), usable, &excluded);
                let Some(placed) = pass.pick(pool_key, work, rng) else {
                    break;
                };
                if pass.takes_work(placed.endpoint) {
                    return Some(placed);
                }
                excluded.push(placed.endpoint);
            }
        }
    }
    None
}

/// Gets the [`Usable`] levels to try in order. Where most endpoints that can take work are suspect,
/// this router's own view is more likely at fault: after a suspension or at the start of a
/// partition, the one or two endpoints that it heard last would get all requests. Live and suspect
/// endpoints are then treated alike.
fn usable_levels(pool: &Pool) -> impl Iterator<Item = Usable> {
    let count = |usable| {
        let spans = [pool.own_region(), pool.other_regions()];
        spans
            .map(|span| pool.totals(&span, usable).count)
            .iter()
            .sum::<u64>()
    };
    let mostly_suspect = 2 * count(Usable::Yes) < count(Usable::LastResort);
    let first = (!mostly_suspect).then_some(Usable::Yes);
    first.into_iter().chain([Usable::LastResort])
}

/// Tells whether less than half of the endpoints can take work.
fn most_unavailable(pool: &Pool) -> bool {
    let count = |span| pool.totals(&span, Usable::LastResort).count;
    let available = count(pool.own_region()) + count(pool.other_regions());
    2 * available < pool.keys().len() as u64
}
