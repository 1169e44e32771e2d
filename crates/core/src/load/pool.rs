//! The endpoints that can stand for each other, as flat arrays.

use std::ops::Range;

use crate::{
    arena::EndpointKey,
    ids::{
        Tag,
        rendezvous, //
    },
};

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

/// `Pool` is the endpoints of one model or service, those of the own region first.
///
/// # Invariants
///
/// All arrays are of one length; `near` is at most that.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    keys: Vec<EndpointKey>,
    tags: Vec<Tag>,
    capacities: Vec<u32>,
    loads: Vec<u32>,
    unshared: Vec<u32>,
    usable: Vec<Usable>,
    near: usize,
}

impl Pool {
    pub(super) fn new(mut spots: Vec<Spot>) -> Self {
        spots.sort_by_key(|s| (!s.near, s.tag));
        Self {
            keys: spots.iter().map(|s| s.key).collect(),
            tags: spots.iter().map(|s| s.tag).collect(),
            capacities: spots.iter().map(|s| s.capacity).collect(),
            loads: vec![0; spots.len()],
            unshared: vec![0; spots.len()],
            usable: vec![Usable::Yes; spots.len()],
            near: spots.iter().filter(|s| s.near).count(),
        }
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

    /// Gets the requests in progress and the number of endpoints that are at least as `usable`.
    pub fn sum(&self, span: Range<usize>, usable: Usable) -> (u64, u64) {
        let both = self.loads[span.clone()].iter().zip(&self.usable[span]);
        both.fold((0, 0), |(total, count), (load, u)| {
            let counts = u64::from(*u >= usable);
            (total + u64::from(*load) * counts, count + counts)
        })
    }

    /// Gets the load at a place.
    pub fn load(&self, at: usize) -> u32 {
        self.loads[at]
    }

    /// Gets the own requests at a place of which peers were not told yet.
    pub fn unshared(&self, at: usize) -> u32 {
        self.unshared[at]
    }

    /// Tells whether the endpoint at a place takes one more.
    pub fn has_room(&self, at: usize, usable: Usable) -> bool {
        self.usable[at] >= usable && self.loads[at] < self.capacities[at]
    }

    /// Tells whether the endpoint at a place may get work.
    pub fn usable(&self, at: usize) -> Usable {
        self.usable[at]
    }

    /// Gets the rendezvous score of a place for `item`.
    pub fn score(&self, at: usize, item: u64) -> u64 {
        rendezvous(item, self.tags[at])
    }

    pub(super) fn set(&mut self, at: usize, load: u32, unshared: u32) {
        self.loads[at] = load;
        self.unshared[at] = unshared;
    }

    pub(super) fn shared(&mut self) {
        self.unshared.fill(0);
    }

    pub(super) fn set_states(&mut self, state: impl Fn(EndpointKey) -> Usable) {
        for (usable, key) in self.usable.iter_mut().zip(&self.keys) {
            *usable = state(*key);
        }
    }
}
