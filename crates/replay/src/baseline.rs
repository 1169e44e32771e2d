//! Placements to compare with: they get the same requests, lists and reports as the routers, and
//! the oracle the truth.

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use toucanturn_core::ids::{
    Tag,
    rendezvous, //
};

use crate::{
    trace::{
        EngineState,
        Request,
        Setup, //
    },
    world::World,
};

/// `Kind` is a way to place.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The decision library.
    Toucanturn,
    /// Any engine.
    Random,
    /// Each engine in turn, per router.
    RoundRobin,
    /// Least load by the lagging reports.
    LeastReported,
    /// First by rendezvous hash, whatever its load.
    Rendezvous,
    /// Knows caches, states and loads as they are, and keeps to the multiple.
    Oracle,
    /// Knows caches and states as they are, and keeps to no multiple.
    OracleUnbounded,
}

/// `Baseline` is the state of one way to place, for all routers.
#[derive(Debug)]
pub struct Baseline {
    kind: Kind,
    rng: StdRng,
    multiple: f64,
    tags: Vec<Tag>,
    turn: Vec<usize>,
    // By router and engine: when it was last said or seen to be gone.
    gone: Vec<Vec<Option<u64>>>,
}

/// Time after which a router tries an engine again that refused.
const RETRY_MS: u64 = 2000;

impl Baseline {
    /// Makes the state at time zero.
    pub fn new(kind: Kind, setup: &Setup, multiple: f64) -> Self {
        let count = setup.routers.len();
        let tag = |id: &String| Tag::of(id.as_bytes());
        Self {
            kind,
            rng: StdRng::seed_from_u64(setup.seed),
            multiple,
            tags: setup.engines.keys().map(tag).collect(),
            turn: (0..count).collect(),
            gone: vec![vec![None; setup.engines.len()]; count],
        }
    }

    /// Notes that a router was told or saw that an engine is gone or back.
    pub fn note(&mut self, now: u64, router: usize, engine: usize, live: bool) {
        self.gone[router][engine] = (!live).then_some(now);
    }

    /// Picks one of `pool`; `None` when the router knows of none that runs.
    pub fn choose(
        &mut self,
        world: &World,
        request: &Request,
        pool: &[usize],
        tried: &[usize],
    ) -> Option<(usize, Option<usize>)> {
        let truth = matches!(self.kind, Kind::Oracle | Kind::OracleUnbounded);
        let gone = &self.gone[request.router];
        let known = |e: usize| gone[e].is_none_or(|t| world.now >= t + RETRY_MS);
        let runs = |e: usize| world.engines[e].state == EngineState::Live;
        let fit = |e: &usize| !tried.contains(e) && if truth { runs(*e) } else { known(*e) };
        let fit: Vec<usize> = pool.iter().copied().filter(fit).collect();
        if fit.is_empty() {
            return None;
        }
        let load = |e: usize| world.engines[e].in_flight;
        let least = || fit.iter().copied().min_by_key(|e| (load(*e), *e));
        let chosen = match self.kind {
            Kind::Toucanturn | Kind::Random => Some(fit[self.rng.random_range(0..fit.len())]),
            Kind::RoundRobin => {
                let turn = &mut self.turn[request.router];
                *turn += 1;
                Some(fit[*turn % fit.len()])
            }
            Kind::LeastReported => {
                let lagged = |e: usize| world.engines[e].lagged(world.now, 1000);
                fit.iter().copied().min_by_key(|e| (lagged(*e), *e))
            }
            Kind::Rendezvous => {
                let score = |e: usize| rendezvous(request.chat, self.tags[e]);
                fit.iter().copied().max_by_key(|e| score(*e))
            }
            Kind::OracleUnbounded => {
                let held = |e: usize| world.engines[e].cached(request.chat);
                let best = fit.iter().copied().max_by_key(|e| held(*e));
                best.filter(|e| held(*e) > 0).or_else(least)
            }
            Kind::Oracle => {
                let total: u32 = fit.iter().map(|e| load(*e)).sum();
                let mean = f64::from(total + 1) / fit.len() as f64;
                let under = |e: &usize| f64::from(load(*e) + 1) <= (self.multiple * mean).ceil();
                let held = |e: usize| world.engines[e].cached(request.chat);
                let best = fit.iter().copied().filter(under).max_by_key(|e| held(*e));
                let chosen = best.filter(|e| held(*e) > 0).or_else(least)?;
                let all = 0..world.engines.len();
                let holder = all.max_by_key(|e| world.engines[*e].cached(request.chat));
                return Some((chosen, holder.filter(|h| *h != chosen)));
            }
        };
        chosen.map(|e| (e, None))
    }
}
