//! Limits on the requests that brittle endpoints have to turn away.
//!
//! - **Bound**: a brittle endpoint states how many requests it may turn away for want of room within
//!   a second; beyond that it crashes. What all routers send counts: first attempts, retries and
//!   resumed streams alike.
//! - **Room**: an endpoint that is not known to be full has room. It is known to be full by the load
//!   that it states, or for a while after it has turned a request away at that load.
//! - **Surges**: loads are known too late to stop a surge. So a router sends requests wherever there is
//!   room only until it has its part of [`FREE_SLOT_SHARE`] of the service's slots in use. Beyond it, an
//!   endpoint counts as having room for this router only within a part of the other slots, which are
//!   divided among the routers by rendezvous hashing. A surge then meets room at each endpoint, also at
//!   one that has just restarted, however late routers learn of each other's requests. Prompts may be
//!   read again elsewhere meanwhile.
//! - **Who may take a risk**: any other request may be turned away, and is sent only by the
//!   endpoint's owners, the same few routers that own the quotas for cold endpoints, and by each only
//!   within its quota. A request that was turned away uses it for a second, one that was not only
//!   until that is known.
//! - **Why the bound holds**: the quotas of all owners add up to the bound divided by the number of
//!   owner sets that a divided fleet may have, and all parts of the slots to the slots.
//! - **What it does not cover**: requests within the free share that many routers send to the same
//!   endpoint; endpoints that state no load; endpoints that tolerate many rejections
//!   ([`TOLERANT_SLOT_DIVISOR`]); services with few slots for each router ([`MIN_SLOTS_PER_ROUTER`]), of
//!   which some routers would have no part. There, a surge that fills an endpoint within the time in
//!   which loads are reported can exceed the bound.

use std::collections::VecDeque;

use bytes::Bytes;
use indexmap::IndexMap;

use crate::{
    arena::EndpointKey,
    gateway::warmup::Warmup,
    units::{
        Millis,
        Permille,
        Time, //
    },
};

/// Time for which a request that was turned away uses the quota: a second, and the time that a
/// request may be delayed on its way.
const PERIOD: Millis = Millis(1100);
/// Time after which a request that has not been turned away has been taken in.
const DECISION_TIME: Millis = Millis(100);
/// Time for which statements of different endpoints of a service may disagree before the newest one
/// counts.
const DISAGREEMENT_TIME: Millis = Millis(1000);
/// Time without any statement after which a service's endpoints count as sturdy again.
const STATEMENT_TTL: Millis = Millis(30_000);
/// Share of a service's slots that all routers together use wherever there is room. With more of it, a
/// surge fills endpoints that many sessions share; with less, more prompts leave the endpoint that holds
/// them.
const FREE_SLOT_SHARE: Permille = Permille(400);
/// Slots of a service for each router from which they are divided among the routers.
const MIN_SLOTS_PER_ROUTER: u32 = 4;
/// An endpoint that may turn away one in so many of its slots within a second tolerates what is sent
/// before its load is known; its slots are not divided.
const TOLERANT_SLOT_DIVISOR: u32 = 2;
/// Limit of the endpoints that are metered; beyond it the one that was used least recently is
/// evicted.
const MAX_METERS: usize = 4096;

/// `Statement` is what the endpoints of a service state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Statement {
    /// Requests that an endpoint may turn away within a second.
    limit: u32,
    /// When an endpoint last stated a limit.
    at: Time,
    /// Requests that this router may have in progress wherever there is room; `None` where slots are
    /// not divided.
    free: Option<u32>,
}

/// `Meter` is what this router has sent to an endpoint that may have had no room.
#[derive(Clone, Debug, Default)]
struct Meter {
    /// When requests were turned away.
    rejected: VecDeque<Time>,
    /// When the newest requests that may be turned away were placed or sent.
    undecided: VecDeque<Time>,
}

impl Meter {
    fn used(&self, now: Time) -> u32 {
        let rejected = self.rejected.iter().filter(|at| now.since(**at) < PERIOD);
        let undecided = self
            .undecided
            .iter()
            .filter(|at| now.since(**at) < DECISION_TIME);
        u32::try_from(rejected.count() + undecided.count()).unwrap_or(u32::MAX)
    }

    fn expire(&mut self, now: Time) {
        self.rejected.retain(|at| now.since(*at) < PERIOD);
        self.undecided.retain(|at| now.since(*at) < DECISION_TIME);
    }
}

/// `BrittleEndpoint` is an endpoint of a brittle service.
#[derive(Clone, Copy, Debug)]
pub struct BrittleEndpoint {
    /// The endpoint.
    pub key: EndpointKey,
    /// Hash of its name.
    pub seed: u64,
    /// Requests that it may turn away within a second.
    pub limit: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it states its load.
    pub states_load: bool,
}

/// `Quota` is what this router may do to an endpoint.
#[derive(Clone, Copy, Debug)]
struct Quota {
    /// Requests that the endpoint may have to turn away for this router within a second.
    quota: u32,
    /// Slots that this router may use; `None` if they are not divided.
    slots: Option<u32>,
    /// State of the fleet, limit and divided slots that it follows from.
    basis: (u64, u32, Option<u32>),
}

/// `Brittleness` is which services have brittle endpoints, and what this router has made them turn
/// away.
#[derive(Clone, Debug, Default)]
pub struct Brittleness {
    services: IndexMap<Bytes, Statement>,
    quotas: IndexMap<EndpointKey, Quota>,
    meters: IndexMap<EndpointKey, Meter>,
}

impl Brittleness {
    /// Records what an endpoint of a service states in an answer: the limit, or that it has none;
    /// returns whether that is news.
    pub fn record(&mut self, now: Time, service: &Bytes, limit: Option<u32>) -> bool {
        let held = self.limit(now, service);
        match limit {
            Some(limit) => {
                // Endpoints of a service that differ are all taken for the most brittle one.
                let limit = held.map_or(limit, |held| held.min(limit));
                let free = self.services.get(service).and_then(|s| s.free);
                let statement = Statement {
                    limit,
                    at: now,
                    free,
                };
                self.services.insert(service.clone(), statement);
                held != Some(limit)
            }
            None => {
                let old = |s: &Statement| now.since(s.at) >= DISAGREEMENT_TIME;
                let ended = self.services.get(service).is_some_and(old);
                if ended {
                    self.services.swap_remove(service);
                }
                ended
            }
        }
    }

    /// Returns how many requests an endpoint of a service may turn away within a second; `None` where
    /// that does it no harm.
    pub fn limit(&self, now: Time, service: &[u8]) -> Option<u32> {
        let statement = self.services.get(service)?;
        (now.since(statement.at) < STATEMENT_TTL).then_some(statement.limit)
    }

    /// Updates the quotas and the parts of slots; `endpoints` are all of the brittle services, by
    /// service, and `routers` is the number of routers.
    pub fn follow(
        &mut self,
        warmup: &Warmup,
        routers: u32,
        endpoints: &IndexMap<Bytes, Vec<BrittleEndpoint>>,
    ) {
        let mut before = std::mem::take(&mut self.quotas);
        for (service, endpoints) in endpoints {
            let free = free_slots(routers, endpoints);
            if let Some(statement) = self.services.get_mut(service) {
                statement.free = free;
            }
            for e in endpoints {
                let slots = free.map(|_| e.slots - share_of(e.slots, FREE_SLOT_SHARE));
                let basis = (warmup.generation(), e.limit, slots);
                let known = before.swap_remove(&e.key).filter(|q| q.basis == basis);
                let quota = known.unwrap_or_else(|| Quota {
                    quota: warmup.share(e.seed, e.limit),
                    slots: slots.map(|slots| warmup.division(e.seed, slots)),
                    basis,
                });
                self.quotas.insert(e.key, quota);
            }
        }
    }

    /// Tells whether this router may send an endpoint one more request that it may turn away.
    pub fn admits(&self, now: Time, endpoint: EndpointKey) -> bool {
        let quota = self.quotas.get(&endpoint).map_or(0, |q| q.quota);
        let used = self.meters.get(&endpoint).map_or(0, |m| m.used(now));
        used < quota
    }

    /// Tells whether this router has its free share of a service's slots in use; `used` are the requests
    /// that it has in progress there.
    pub fn uses_free_share(&self, service: &[u8], used: u32) -> bool {
        let free = self.services.get(service).and_then(|s| s.free);
        free.is_some_and(|free| used >= free)
    }

    /// Tells whether this router has its part of an endpoint's slots in use; `used` are the requests that
    /// it has in progress there. An endpoint that has just joined has no part yet.
    pub fn uses_part(&self, endpoint: EndpointKey, used: u32) -> bool {
        let part = self.quotas.get(&endpoint).and_then(|q| q.slots);
        used >= part.unwrap_or_default()
    }

    /// Tells whether no service has brittle endpoints.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Records that a request that may be turned away is placed.
    pub fn record_placed(&mut self, now: Time, endpoint: EndpointKey) {
        self.meter(now, endpoint).undecided.push_back(now);
    }

    /// Records that a placed request is sent: it counts from now, because connecting takes time.
    pub fn sent(&mut self, now: Time, endpoint: EndpointKey) {
        if let Some(meter) = self.meters.get_mut(&endpoint)
            && meter.undecided.pop_front().is_some()
        {
            meter.undecided.push_back(now);
        }
    }

    /// Records that a request was turned away.
    pub fn rejected(&mut self, now: Time, endpoint: EndpointKey) {
        let meter = self.meter(now, endpoint);
        meter.undecided.pop_front();
        meter.rejected.push_back(now);
    }

    /// Forgets services that are not configured any more.
    pub fn retain(&mut self, configured: impl Fn(&Bytes) -> bool) {
        self.services.retain(|name, _| configured(name));
    }

    fn meter(&mut self, now: Time, endpoint: EndpointKey) -> &mut Meter {
        let mut meter = self.meters.shift_remove(&endpoint).unwrap_or_default();
        meter.expire(now);
        if self.meters.len() >= MAX_METERS {
            self.meters.shift_remove_index(0);
        }
        self.meters.entry(endpoint).or_insert(meter)
    }
}

/// Returns how many requests this router may have in progress at endpoints of a service wherever there is
/// room; `None` if their slots are not divided.
///
/// An endpoint counts with the median of all at most. One entry with absurdly many slots would make the free share
/// endless, and a surge would fill the other endpoints.
fn free_slots(routers: u32, endpoints: &[BrittleEndpoint]) -> Option<u32> {
    let mut stated: Vec<u32> = endpoints.iter().map(|e| e.slots).collect();
    let middle = stated.len().checked_sub(1)? / 2;
    let median = *stated.select_nth_unstable(middle).1;
    let slots = stated.iter().map(|slots| (*slots).min(median));
    let slots = slots.fold(0, u32::saturating_add);
    let is_tolerant = |e: &BrittleEndpoint| e.limit >= e.slots / TOLERANT_SLOT_DIVISOR;
    let is_divided = slots >= routers.saturating_mul(MIN_SLOTS_PER_ROUTER)
        && endpoints.iter().any(|e| e.states_load)
        && !endpoints.iter().all(is_tolerant);
    is_divided.then(|| share_of(slots, FREE_SLOT_SHARE).div_ceil(routers.max(1)))
}

fn share_of(count: u32, share: Permille) -> u32 {
    let part = u64::from(count) * u64::from(share.0) / 1000;
    u32::try_from(part).unwrap_or(u32::MAX)
}
