//! Where a request goes.
//!
//! A chat that returns goes to the engine that its placement token names, as long as that engine
//! carries less than its limit: the published multiple of the mean, less a small margin. A chat
//! without a token goes to the first engine by rendezvous hash among those below the mean, so that
//! new work fills what lies low and leaves the room below the limit to the chats that return. Where
//! the holder of a prefix can't take the chat, another engine imports the prefix from it.
//!
//! The limit holds on partial knowledge because of two rules: each router sends an endpoint only
//! so many requests before it tells its peers ([`quota`](crate::load::quota)), and it tells them
//! early where an endpoint is close to its limit. docs/design/skew.md gives the bound.

use rand::Rng;

use crate::{
    arena::EndpointKey,
    config::Config,
    load::{
        Group,
        Pool,
        Table,
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
mod round;

use round::Round;

/// Endpoints that one placement may find in another state than the table has, before it gives up
/// on their kind: each costs one more pass.
const MAX_PASSES: usize = 8;

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
    let group = match work {
        Work::Chat { model, .. } => Group::Model(*model),
        Work::Plain { service, .. } | Work::Once { service, .. } => Group::Service(*service),
    };
    let pool = scene.loads.pool(group)?;
    // Another region's engine comes before a suspect one of the own region.
    for usable in rounds(pool) {
        // Made anew for each state: what the rounds for live ones found suspect is just what the
        // rounds of last resort are for.
        if scene.view.recently_paused(scene.now) && few_known(pool) {
            // The requests that came while this process stood still would all go to the one endpoint
            // that it hears first; the node holds them for the answers of the others.
            return None;
        }
        let mut barred = tried.to_vec();
        for span in [pool.near(), pool.far()] {
            if pool.sum(&span, usable).count == 0 {
                continue;
            }
            for _ in 0..MAX_PASSES {
                let round = Round::new(scene, pool, span.clone(), usable, &barred);
                let Some(placed) = round.pick(group, work, rng) else {
                    break;
                };
                if round.takes_work(placed.endpoint) {
                    return Some(placed);
                }
                barred.push(placed.endpoint);
            }
        }
    }
    None
}

/// Gets the kinds of rounds to go through. Where most endpoints that can take work are suspect,
/// the fault is more likely this router's own view: after a pause or at the start of a partition
/// the one or two that it heard last would get everything, so all are taken alike.
fn rounds(pool: &Pool) -> impl Iterator<Item = Usable> {
    let count = |usable| {
        let spans = [pool.near(), pool.far()];
        spans
            .map(|span| pool.sum(&span, usable).count)
            .iter()
            .sum::<u64>()
    };
    let few = 2 * count(Usable::Yes) < count(Usable::LastResort);
    let first = (!few).then_some(Usable::Yes);
    first.into_iter().chain([Usable::LastResort])
}

/// Tells whether less than half of the endpoints are known to take work.
fn few_known(pool: &Pool) -> bool {
    let count = |span| pool.sum(&span, Usable::LastResort).count;
    let known = count(pool.near()) + count(pool.far());
    2 * known < pool.keys().len() as u64
}
