//! The endpoints that can stand for each other, as flat arrays.

use std::ops::Range;

use crate::{arena::EndpointKey, ids::Tag};

/// `Usable` says whether an endpoint may get work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Usable {
    /// It may not.
    No,
    /// Only where no other can.
    LastResort,
    /// It may.
    #[default]
    Yes,
}

/// `Spot` is one endpoint of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spot {
    /// The endpoint.
    pub key: EndpointKey,
    /// Tag of its name.
    pub tag: Tag,
    /// Requests in progress that it takes at once.
    pub capacity: u32,
    /// Whether it is in this router's region.
    pub near: bool,
}

/// Load of an endpoint that gets no work: above every limit.
pub const CLOSED: u32 = u32::MAX;

/// Odd constant of the score: 2^64 over the golden ratio (Knuth, TAOCP 3, section 6.4).
const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;

/// `Sum` is the requests in progress at some endpoints, and their number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    /// Requests in progress.
    pub total: u64,
    /// Those of this router and the peers that it hears.
    pub heard: u64,
    /// Endpoints.
    pub count: u64,
}

/// `Pool` is the endpoints of one model or service, those of the own region first.
///
/// # Invariants
///
/// All arrays are of one length; `near` is at most that. `open` and `sums` follow from the others.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    keys: Vec<EndpointKey>,
    seeds: Vec<u64>,
    capacities: Vec<u32>,
    loads: Vec<u32>,
    heard: Vec<u32>,
    unshared: Vec<u32>,
    usable: Vec<Usable>,
    // By kind of round: the load, or `CLOSED` where the round must not place.
    open: [Vec<u32>; 2],
    // By kind of round and region, the own one first.
    sums: [[Sum; 2]; 2],
    near: usize,
}

/// Gets the index of a round that takes endpoints at least as `usable`.
const fn round(usable: Usable) -> usize {
    match usable {
        Usable::Yes => 0,
        Usable::LastResort | Usable::No => 1,
    }
}

impl Pool {
    pub(super) fn new(mut spots: Vec<Spot>) -> Self {
        spots.sort_by_key(|s| (!s.near, s.tag));
        let seed = |s: &Spot| xxhash_rust::xxh3::xxh3_64(&s.tag.0.to_le_bytes());
        let mut pool = Self {
            keys: spots.iter().map(|s| s.key).collect(),
            seeds: spots.iter().map(seed).collect(),
            capacities: spots.iter().map(|s| s.capacity).collect(),
            loads: vec![0; spots.len()],
            heard: vec![0; spots.len()],
            unshared: vec![0; spots.len()],
            usable: vec![Usable::Yes; spots.len()],
            open: [vec![CLOSED; spots.len()], vec![CLOSED; spots.len()]],
            sums: <[[Sum; 2]; 2]>::default(),
            near: spots.iter().filter(|s| s.near).count(),
        };
        pool.work_out();
        pool
    }

    /// Lists the endpoints.
    pub fn keys(&self) -> &[EndpointKey] {
        &self.keys
    }

    /// Gets the places of the own region's endpoints.
    pub fn near(&self) -> Range<usize> {
        0..self.near
    }

    /// Gets the places of the other regions' endpoints.
    pub fn far(&self) -> Range<usize> {
        self.near..self.keys.len()
    }

    /// Gets the load of the endpoints of [`Pool::near`] or [`Pool::far`] that are at least as
    /// `usable`.
    pub fn sum(&self, span: &Range<usize>, usable: Usable) -> Sum {
        if span.is_empty() {
            return Sum::default();
        }
        self.sums[round(usable)][usize::from(span.end > self.near)]
    }

    /// Lists the loads of a span, [`CLOSED`] for endpoints that are full or less than `usable`.
    pub fn open(&self, span: &Range<usize>, usable: Usable) -> &[u32] {
        &self.open[round(usable)][span.clone()]
    }

    /// Lists the seeds of a span, for [`score`].
    pub fn seeds(&self, span: &Range<usize>) -> &[u64] {
        &self.seeds[span.clone()]
    }

    /// Gets the load at a place, [`CLOSED`] where it is full or less than `usable`.
    pub fn open_at(&self, at: usize, usable: Usable) -> u32 {
        self.open[round(usable)][at]
    }

    /// Gets the requests at a place of this router and the peers that it hears.
    pub fn heard(&self, at: usize) -> u32 {
        self.heard[at]
    }

    /// Gets the own requests at a place of which peers were not told yet.
    pub fn unshared(&self, at: usize) -> u32 {
        self.unshared[at]
    }

    /// Tells whether the endpoint at a place may get work.
    pub fn usable(&self, at: usize) -> Usable {
        self.usable[at]
    }

    pub(super) fn set(&mut self, at: usize, (load, heard): (u32, u32), unshared: u32) {
        let old = (u64::from(self.loads[at]), u64::from(self.heard[at]));
        let region = usize::from(at >= self.near);
        for (kind, usable) in [Usable::Yes, Usable::LastResort].into_iter().enumerate() {
            if self.usable[at] >= usable {
                let sum = &mut self.sums[kind][region];
                sum.total = sum.total - old.0 + u64::from(load);
                sum.heard = sum.heard - old.1 + u64::from(heard);
            }
        }
        self.loads[at] = load;
        self.heard[at] = heard;
        self.unshared[at] = unshared;
        self.work_out_open(at);
    }

    pub(super) fn shared(&mut self) {
        self.unshared.fill(0);
    }

    pub(super) fn set_states(&mut self, state: impl Fn(EndpointKey) -> Usable) {
        let mut changed = false;
        for (usable, key) in self.usable.iter_mut().zip(&self.keys) {
            let next = state(*key);
            changed |= *usable != next;
            *usable = next;
        }
        if changed {
            self.work_out();
        }
    }

    fn work_out(&mut self) {
        self.sums = <[[Sum; 2]; 2]>::default();
        for at in 0..self.keys.len() {
            let region = usize::from(at >= self.near);
            for (kind, usable) in [Usable::Yes, Usable::LastResort].into_iter().enumerate() {
                if self.usable[at] >= usable {
                    let sum = &mut self.sums[kind][region];
                    sum.total += u64::from(self.loads[at]);
                    sum.heard += u64::from(self.heard[at]);
                    sum.count += 1;
                }
            }
            self.work_out_open(at);
        }
    }

    fn work_out_open(&mut self, at: usize) {
        for (kind, usable) in [Usable::Yes, Usable::LastResort].into_iter().enumerate() {
            let takes = self.usable[at] >= usable && self.loads[at] < self.capacities[at];
            self.open[kind][at] = if takes { self.loads[at] } else { CLOSED };
        }
    }
}

/// Gets the seed of an item, for [`score`].
pub fn item_seed(item: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&item.to_le_bytes())
}

/// Gets the rendezvous score of an endpoint for an item, both by their seeds: the two halves of
/// their product folded, one multiplication where a hash of both would take several.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the halves are what is wanted"
)]
pub const fn score(item: u64, endpoint: u64) -> u64 {
    let product = (item ^ endpoint) as u128 * GOLDEN as u128;
    (product >> 64) as u64 ^ product as u64
}
