//! The decisions of a router in front of replicated services whose endpoints are listed in a
//! registry.
//!
//! [`Gateway`] is given parsed requests, changes of the registry and the outcomes of attempts, each
//! with its time. It decides which endpoint gets a request, whether a failed attempt is retried,
//! and what the caller is told. It does no I/O and reads no clock.
//!
//! A request passes the folders in this order; the head of each says which load it answers:
//!
//! - [`admission`]: [`Gateway::admit`] checks its route, its key and the age of the configuration; it
//!   may have to wait.
//! - [`place`]: for each attempt, [`Gateway::place`] chooses an endpoint.
//! - [`limits`]: what all routers together may send.
//! - [`attempt`]: the attempts, up to [`Gateway::ended`], which decides what follows.
//! - [`prefill`]: what engines have still to read, asked for before a prompt is placed.
//! - [`quarantine`]: requests that are held back because they crash endpoints.
//!
//! What these decide by:
//!
//! - [`endpoint`] and [`registry`]: the endpoints, and the table of them.
//! - [`origin`]: the software versions of streams.
//! - [`fleet`]: what is learnt from the registry and from the other routers, and requests that a peer
//!   serves.
//! - [`settings`]: bounds and policies.
//!
//! [`explain`] tells where a request would go, and why.

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
    Revision,
    Time, //
};

pub mod admission;
pub mod attempt;
pub mod endpoint;
pub mod explain;
pub mod fleet;
pub mod limits;
pub mod origin;
pub mod place;
pub mod prefill;
pub mod quarantine;
pub mod registry;
pub mod settings;

pub use admission::{
    catalog,
    fingerprint,
    incoming_request,
    refusal,
    route,
    stop,
    waiting, //
};
pub use attempt::{
    Ticket,
    outcome, //
};
pub use endpoint::waits;
pub use fleet::{
    handoff,
    hot_spots,
    mesh,
    mirror,
    proof,
    reach,
    reading,
    shared_reads,
    updates,
    variability, //
};
pub use limits::{
    brittle,
    budget,
    multiple,
    warmup, //
};
pub use updates::{
    Change,
    RegistryEvent, //
};

use admission::Durations;
use brittle::Brittleness;
use budget::RetryBudget;
use catalog::Catalog;
use endpoint::Incarnation;
use handoff::Peers;
use hot_spots::HotSpots;
use mesh::Sample;
use multiple::LoadNotes;
use origin::{
    Streams,
    process::Replaced, //
};
use prefill::Prefill;
use proof::FreshnessProof;
use quarantine::{
    Quarantine,
    parts::PartQuarantine, //
};
use reach::Reach;
use registry::Registry;
use settings::Bounds;
use shared_reads::SharedReads;
use stop::StopDeadline;
use variability::{
    Speeds,
    Variability, //
};
use waiting::Waiting;
use warmup::Warmup;

/// Shortest retry delay that a refused caller is told: the time in which changes reach all routers
/// of a small fleet.
const MIN_RETRY_DELAY: Millis = Millis(150);

/// `Gateway` is the state of one router.
#[derive(Debug)]
pub struct Gateway {
    bounds: Bounds,
    catalog: Option<Arc<Catalog>>,
    registry: Registry,
    proof: FreshnessProof,
    /// Time of the last tick.
    last_tick: Time,
    /// Times of the last tick before the process was suspended, and of the first one after that.
    suspended_at: Time,
    resumed_at: Time,
    budgets: IndexMap<Bytes, RetryBudget>,
    hot_spots: IndexMap<Bytes, HotSpots>,
    /// Newest requests that this router's peers have not been told of, oldest first.
    samples: VecDeque<Sample>,
    shared_reads: SharedReads,
    prefill: Prefill,
    load_notes: LoadNotes,
    quarantine: Quarantine,
    part_quarantine: PartQuarantine,
    warmup: Warmup,
    brittleness: Brittleness,
    variability: Variability,
    waiting: Waiting,
    reach: Reach,
    peers: Peers,
    /// Software versions of recent streams.
    streams: Streams,
    /// Incarnations of endpoints that were replaced by others with other software within the life of a stream.
    replaced: IndexMap<Incarnation, Replaced>,
    /// Longest time that a stream lasts with its caller's tries.
    stream_life: Millis,
    /// The same by the configuration in force; streams from before it may last for longer.
    published_stream_life: Millis,
    /// Until when the streams from before it may last.
    stream_life_until: Time,
    /// Services of which peers state that more than one version serves, and when they last did.
    peers_mixed: IndexMap<Bytes, Time>,
    /// When peers were last told of streams.
    streams_reported_at: Option<Time>,
    /// Services whose streams peers are told of.
    reported: Vec<Bytes>,
    /// When the process began, as far as that is known.
    started_at: Time,
    /// When this router missed changes of the registry, if no peer has told it of the versions of before.
    unread_since: Option<Time>,
    /// Revision of the registry from which on this router knows of each version; `None` before its first read.
    known_from: Option<Revision>,
    /// Revision of the registry's state that is known.
    revision: Revision,
    /// Services that a peer, which knew of all versions, has stated to have several, and until when that counts.
    inherited_mixed: IndexMap<Bytes, Time>,
    /// Routes that endpoints of another service have served, and until when that counts.
    moved_routes: IndexMap<Bytes, Time>,
    /// Events that the next tick returns.
    events: Vec<RegistryEvent>,
    /// Seed of the keyed hashes of request contents.
    seed: u64,
    end: Option<StopDeadline>,
    durations: Durations,
    routers: u32,
    /// Greatest recent number of routers, this one included, and when it was last observed.
    max_routers: (u32, Time),
    /// Time from which this router may use its part of the fleet's extra retries.
    extra_retries_from: Time,
    rng: StdRng,
}

impl Gateway {
    /// Makes a gateway without any knowledge; `seed` seeds its random number generator.
    pub fn new(bounds: Bounds, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        Self {
            bounds,
            catalog: None,
            registry: Registry::default(),
            proof: FreshnessProof::default(),
            last_tick: Time(0),
            suspended_at: Time(0),
            resumed_at: Time(0),
            budgets: IndexMap::new(),
            hot_spots: IndexMap::new(),
            samples: VecDeque::new(),
            shared_reads: SharedReads::default(),
            prefill: Prefill::default(),
            load_notes: LoadNotes::default(),
            quarantine: Quarantine::default(),
            part_quarantine: PartQuarantine::default(),
            warmup: Warmup::default(),
            brittleness: Brittleness::default(),
            variability: Variability::default(),
            waiting: Waiting::default(),
            reach: Reach::default(),
            peers: Peers::default(),
            streams: Streams::default(),
            replaced: IndexMap::new(),
            stream_life: Millis(0),
            published_stream_life: Millis(0),
            stream_life_until: Time(0),
            peers_mixed: IndexMap::new(),
            streams_reported_at: None,
            reported: Vec::new(),
            started_at: Time(0),
            unread_since: None,
            known_from: None,
            revision: Revision(0),
            inherited_mixed: IndexMap::new(),
            moved_routes: IndexMap::new(),
            events: Vec::new(),
            seed: rng.random(),
            end: None,
            durations: Durations::default(),
            routers: 1,
            max_routers: (1, Time(0)),
            extra_retries_from: Time(0),
            rng,
        }
    }

    /// Gets the configuration in force; `None` before the first one.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Gets the known endpoints.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Gets which services this router reaches.
    pub fn reach(&self) -> &Reach {
        &self.reach
    }

    /// Gets how recently the registry was read.
    pub fn proof(&self) -> &FreshnessProof {
        &self.proof
    }

    /// Gets the bounds in force.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Replaces the bounds.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
        self.update_extra_retries();
    }

    /// Sets what the settings say of the endpoints' speed.
    pub fn set_speeds(&mut self, speeds: Speeds) {
        self.variability.set(speeds);
    }

    /// Notes that this router starts with the system, so that no stream is older.
    pub fn started_first(&mut self, now: Time) {
        self.started_at = now;
    }

    /// Notes that an earlier run of this router may have ended just now. That run may have used the
    /// router's part of the fleet's extra retries, so this one does without them for the length of
    /// the window. Otherwise routers that are restarted repeatedly while requests fail would retry
    /// more often than allowed.
    pub fn restarted(&mut self, now: Time) {
        self.extra_retries_from = now + self.bounds.retry.window;
        self.unread_since = Some(now);
        self.known_from = None;
    }

    /// Tells whether this router can serve requests.
    pub fn ready(&self, now: Time) -> bool {
        let reachable = self
            .registry
            .usable()
            .any(|(key, _)| self.is_confirmed(now, key));
        self.catalog.is_some() && reachable && self.proof.covers_routes(now, &self.bounds)
    }

    /// Draws a random number.
    pub fn draw(&mut self) -> u64 {
        self.rng.random()
    }
}

/// Gets the fraction that remains after a time of something that halves each `half_life`.
#[expect(clippy::cast_precision_loss, reason = "halves of a second are enough")]
fn remaining_fraction(after: Millis, half_life: Millis) -> f32 {
    (-(after.0 as f32) / half_life.0 as f32).exp2()
}

/// Gets the number from 0 to 1 that a random number stands for.
#[expect(clippy::cast_precision_loss, reason = "24 bits are exact")]
fn fraction(draw: u64) -> f32 {
    (draw >> 40) as f32 / (1_u64 << 24) as f32
}

/// Gets the retry delay for a refused caller if there will be room after `room`. It is spread by
/// `draw` over that time, as some room becomes free earlier, and is at most a third of the time
/// left until the deadline.
fn spread_retry_delay(now: Time, deadline: Time, room: Millis, draw: u64) -> Millis {
    let wait = MIN_RETRY_DELAY.0 + draw % room.0.max(MIN_RETRY_DELAY.0);
    Millis(wait.min(deadline.since(now).0 / 3))
}

/// Gets the retry delay for a refused caller if nothing can serve it before `left` has passed. It is
/// spread by `draw` over as long again, and is at most a third of the time left until the deadline.
fn retry_delay_after(now: Time, deadline: Time, left: Millis, draw: u64) -> Millis {
    let wait = left.0 + draw % left.0.max(MIN_RETRY_DELAY.0);
    Millis(wait.min(deadline.since(now).0 / 3))
}

/// Gets the retry delay for a refused caller: short, spread by `draw` so that callers refused
/// together don't return together, and at most a third of the time left until the deadline.
pub fn retry_delay(now: Time, deadline: Time, draw: u64) -> Millis {
    let left = deadline.since(now).0;
    let wait = MIN_RETRY_DELAY.0 + draw % MIN_RETRY_DELAY.0;
    Millis(wait.min(left / 3))
}
