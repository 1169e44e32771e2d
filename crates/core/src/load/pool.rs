//! Pools of interchangeable endpoints, stored as flat arrays.

use std::ops::Range;

use crate::{arena::EndpointKey, ids::Tag};

/// `Usable` tells whether an endpoint may get work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Usable {
    /// It gets no work.
    No,
    /// It gets work only where no other endpoint can.
    LastResort,
    /// It may get work.
    #[default]
    Yes,
}

/// `PoolMember` is one endpoint of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolMember {
    /// The endpoint.
    pub key: EndpointKey,
    /// Tag of its name.
    pub tag: Tag,
    /// Requests that it can have in progress at once.
    pub capacity: u32,
    /// Whether it is in this router's region.
    pub in_own_region: bool,
}

/// Load that stands for an endpoint that gets no work: above every limit.
pub const NO_ROOM: u32 = u32::MAX;

/// Multiplier of the score, odd: 2^64 over the golden ratio (Knuth, TAOCP 3, section 6.4).
const SCORE_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// `LoadTotals` is the number of some endpoints and of the requests in progress there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadTotals {
    /// Requests in progress, as estimated.
    pub total: u64,
    /// Requests of this router and of the peers whose summaries are current.
    pub known: u64,
    /// Number of endpoints.
    pub count: u64,
}

/// `Pool` holds the endpoints of one model or service, those of the own region first.
///
/// # Invariants
///
/// All arrays have the same length, which `own_region_len` doesn't exceed. `available` and
/// `totals` are derived from the other fields.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    keys: Vec<EndpointKey>,
    seeds: Vec<u64>,
    capacities: Vec<u32>,
    loads: Vec<u32>,
    known: Vec<u32>,
    unannounced: Vec<u32>,
    usable: Vec<Usable>,
    // By `usable_index`: the load, or `NO_ROOM` where the endpoint is full or less usable.
    available: [Vec<u32>; 2],
    // By `usable_index`, then by region: the own one and the others.
    totals: [[LoadTotals; 2]; 2],
    own_region_len: usize,
}

/// Gets the index of the arrays for endpoints that are at least as `usable`.
const fn usable_index(usable: Usable) -> usize {
    match usable {
        Usable::Yes => 0,
        Usable::LastResort | Usable::No => 1,
    }
}

impl Pool {
    pub(super) fn new(mut members: Vec<PoolMember>) -> Self {
        members.sort_by_key(|m| (!m.in_own_region, m.tag));
        let seed = |m: &PoolMember| xxhash_rust::xxh3::xxh3_64(&m.tag.0.to_le_bytes());
        let mut pool = Self {
            keys: members.iter().map(|m| m.key).collect(),
            seeds: members.iter().map(seed).collect(),
            capacities: members.iter().map(|m| m.capacity).collect(),
            loads: vec![0; members.len()],
            known: vec![0; members.len()],
            unannounced: vec![0; members.len()],
            usable: vec![Usable::Yes; members.len()],
            available: [vec![NO_ROOM; members.len()], vec![NO_ROOM; members.len()]],
            totals: <[[LoadTotals; 2]; 2]>::default(),
            own_region_len: members.iter().filter(|m| m.in_own_region).count(),
        };
        pool.recompute();
        pool
    }

    /// Lists the endpoints by position.
    pub fn keys(&self) -> &[EndpointKey] {
        &self.keys
    }

    /// Gets the positions of the own region's endpoints.
    pub fn own_region(&self) -> Range<usize> {
        0..self.own_region_len
    }

    /// Gets the positions of the other regions' endpoints.
    pub fn other_regions(&self) -> Range<usize> {
        self.own_region_len..self.keys.len()
    }

    /// Gets the totals of the endpoints of [`Pool::own_region`] or [`Pool::other_regions`] that are
    /// at least as `usable`.
    pub fn totals(&self, span: &Range<usize>, usable: Usable) -> LoadTotals {
        if span.is_empty() {
            return LoadTotals::default();
        }
        self.totals[usable_index(usable)][usize::from(span.end > self.own_region_len)]
    }

    /// Lists the loads of a span, [`NO_ROOM`] for endpoints that are full or less than `usable`.
    pub fn available_loads(&self, span: &Range<usize>, usable: Usable) -> &[u32] {
        &self.available[usable_index(usable)][span.clone()]
    }

    /// Lists the seeds of a span, for [`score`].
    pub fn seeds(&self, span: &Range<usize>) -> &[u64] {
        &self.seeds[span.clone()]
    }

    /// Gets the load of the endpoint at a position, [`NO_ROOM`] where it is full or less than
    /// `usable`.
    pub fn available_load(&self, at: usize, usable: Usable) -> u32 {
        self.available[usable_index(usable)][at]
    }

    /// Gets the requests at a position of this router and of the peers whose summaries are current.
    pub fn known(&self, at: usize) -> u32 {
        self.known[at]
    }

    /// Gets the own requests at a position that are not announced to the peers yet.
    pub fn unannounced(&self, at: usize) -> u32 {
        self.unannounced[at]
    }

    /// Tells whether the endpoint at a position may get work.
    pub fn usable(&self, at: usize) -> Usable {
        self.usable[at]
    }

    pub(super) fn set_load(&mut self, at: usize, (load, known): (u32, u32), unannounced: u32) {
        let old = (u64::from(self.loads[at]), u64::from(self.known[at]));
        let region = usize::from(at >= self.own_region_len);
        for (index, usable) in [Usable::Yes, Usable::LastResort].into_iter().enumerate() {
            if self.usable[at] >= usable {
                let totals = &mut self.totals[index][region];
                totals.total = totals.total - old.0 + u64::from(load);
                totals.known = totals.known - old.1 + u64::from(known);
            }
        }
        self.loads[at] = load;
        self.known[at] = known;
        self.unannounced[at] = unannounced;
        self.recompute_available(at);
    }

    pub(super) fn mark_announced(&mut self) {
        self.unannounced.fill(0);
    }

    pub(super) fn set_states(&mut self, state: impl Fn(EndpointKey) -> Usable) {
        let mut changed = false;
        for (usable, key) in self.usable.iter_mut().zip(&self.keys) {
            let next = state(*key);
            changed |= *usable != next;
            *usable = next;
        }
        if changed {
            self.recompute();
        }
    }

    /// Computes the derived fields from the others.
    fn recompute(&mut self) {
        self.totals = <[[LoadTotals; 2]; 2]>::default();
        for at in 0..self.keys.len() {
            let region = usize::from(at >= self.own_region_len);
            for (index, usable) in [Usable::Yes, Usable::LastResort].into_iter().enumerate() {
                if self.usable[at] >= usable {
                    let totals = &mut self.totals[index][region];
                    totals.total += u64::from(self.loads[at]);
                    totals.known += u64::from(self.known[at]);
                    totals.count += 1;
                }
            }
            self.recompute_available(at);
        }
    }

    fn recompute_available(&mut self, at: usize) {
        for (index, usable) in [Usable::Yes, Usable::LastResort].into_iter().enumerate() {
            let has_room = self.usable[at] >= usable && self.loads[at] < self.capacities[at];
            self.available[index][at] = if has_room { self.loads[at] } else { NO_ROOM };
        }
    }
}

/// Gets the seed of an item, such as a prefix, for [`score`].
pub fn item_seed(item: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&item.to_le_bytes())
}

/// Gets the rendezvous score of an endpoint for an item from their seeds. It multiplies the
/// combined seeds once and folds the two halves of the product, which costs less than a hash of
/// both.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the product is split into its halves"
)]
pub const fn score(item: u64, endpoint: u64) -> u64 {
    let product = (item ^ endpoint) as u128 * SCORE_MULTIPLIER as u128;
    (product >> 64) as u64 ^ product as u64
}
