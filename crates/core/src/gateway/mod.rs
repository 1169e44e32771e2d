//! The decisions of a router in front of replicated services that a registry lists.
//!
//! [`Gateway`] takes checked requests, what the registry says and how attempts ended, each with its
//! time; it answers which endpoint gets a request, whether a failed attempt is followed by another,
//! and what a caller is told. It does no I/O and reads no clock.
//!
//! A request passes [`Gateway::admit`] (route, key, age of what is known), then for each attempt
//! [`Gateway::place`] and [`Gateway::ended`] ([`attempt`]). What the router knows comes by [`knowledge`];
//! how it stops is in [`stop`].

use std::{
    collections::VecDeque,
    sync::Arc, //
};

use bytes::Bytes;
use indexmap::IndexMap;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use crate::units::{
    Millis,
    Time, //
};

pub mod ask;
pub mod attempt;
pub mod budget;
pub mod catalog;
pub mod endpoint;
pub mod fate;
pub mod fingerprint;
pub mod hot_spots;
pub mod knowledge;
pub mod mesh;
pub mod mirror;
pub mod place;
pub mod proof;
pub mod quarantine;
pub mod reading;
pub mod refusal;
pub mod registry;
pub mod route;
pub mod settings;
pub mod stop;
pub mod warmup;

pub use attempt::Ticket;
pub use knowledge::{
    Change,
    News, //
};

use budget::Budget;
use catalog::Catalog;
use hot_spots::HotSpots;
use mesh::Sample;
use proof::FreshnessProof;
use quarantine::Quarantine;
use registry::Registry;
use settings::Bounds;
use stop::StopDeadline;
use warmup::Warmup;

/// Shortest wait that a refused caller is told: the time in which news go round a small fleet.
const COME_BACK: Millis = Millis(150);

/// `Gateway` is one router.
#[derive(Debug)]
pub struct Gateway {
    bounds: Bounds,
    catalog: Option<Arc<Catalog>>,
    registry: Registry,
    proof: FreshnessProof,
    /// When the last tick was.
    ticked: Time,
    /// When the first tick after a suspension was.
    woke: Time,
    budgets: IndexMap<Bytes, Budget>,
    hot_spots: IndexMap<Bytes, HotSpots>,
    /// Newest requests that peers have not been told of, oldest first.
    samples: VecDeque<Sample>,
    quarantine: Quarantine,
    warmup: Warmup,
    /// Seed of the quick hashes of contents.
    seed: u64,
    end: Option<StopDeadline>,
    routers: u32,
    /// Most routers that were heard of lately, this one among them, and when.
    most: (u32, Time),
    /// From when this router's part of the fleet's extra repeats may be used.
    extra_from: Time,
    rng: StdRng,
}

impl Gateway {
    /// Makes a gateway that knows nothing yet; `seed` is that of its random draws.
    pub fn new(bounds: Bounds, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        Self {
            bounds,
            catalog: None,
            registry: Registry::default(),
            proof: FreshnessProof::default(),
            ticked: Time(0),
            woke: Time(0),
            budgets: IndexMap::new(),
            hot_spots: IndexMap::new(),
            samples: VecDeque::new(),
            quarantine: Quarantine::default(),
            warmup: Warmup::default(),
            seed: rng.random(),
            end: None,
            routers: 1,
            most: (1, Time(0)),
            extra_from: Time(0),
            rng,
        }
    }

    /// Gets the configuration in force.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Gets the endpoints.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Gets the age of what is known.
    pub fn proof(&self) -> &FreshnessProof {
        &self.proof
    }

    /// Gets the bounds that it keeps.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Follows new bounds.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
        self.divide();
    }

    /// Notes that an earlier life of this router may have ended just now. It may have used the
    /// router's part of the fleet's extra repeats, so this life uses its share alone for the length
    /// of the window. Without this, routers that are killed again and again while answers are failures repeat
    /// more than is allowed.
    pub fn restarted(&mut self, now: Time) {
        self.extra_from = now + self.bounds.retry.window;
    }

    /// Tells whether callers may be sent here.
    pub fn ready(&self, now: Time) -> bool {
        let reachable = self
            .registry
            .usable()
            .any(|(key, _)| self.may_send(now, key));
        self.catalog.is_some() && reachable && self.proof.covers_routes(now, &self.bounds)
    }

    /// Draws a number.
    pub fn draw(&mut self) -> u64 {
        self.rng.random()
    }
}

/// Gets when a refused caller should come back where there is room after `room`: spread by `draw` over the time until
/// then, as there is some before, and within a third of the time that it has left.
fn spread_until(now: Time, deadline: Time, room: Millis, draw: u64) -> Millis {
    let wait = COME_BACK.0 + draw % room.0.max(COME_BACK.0);
    Millis(wait.min(deadline.since(now).0 / 3))
}

/// Gets when a refused caller should come back: soon, spread by `draw` so that those refused
/// together don't return together, and within a third of the time that it has left.
pub fn come_back(now: Time, deadline: Time, draw: u64) -> Millis {
    let left = deadline.since(now).0;
    let wait = COME_BACK.0 + draw % COME_BACK.0;
    Millis(wait.min(left / 3))
}
