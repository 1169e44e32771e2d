//! Limits on the requests that an endpoint gets while it warms up.
//!
//! - **Bound**: the number of requests that all routers together may send to one endpoint per
//!   second while it is cold: first attempts, retries, resumed streams and probes alike. Well above
//!   it, the endpoint crashes.
//! - **Owners**: the few routers that rendezvous hashing over the fleet ranks first for the
//!   endpoint. Each owner has a fixed quota, its share of the bound; the other routers send the
//!   endpoint nothing. No router needs to know what another one has sent.
//! - **Isolated routers**: a router that hears of no other keeps to its quota in the fleet that it
//!   remembers. A router that has started recently and still discovers others, or that expects
//!   others and has never heard of one, owns nothing.
//! - **Why the bound holds**: the quotas of all owners add up to the bound divided by
//!   [`MAX_OWNER_SETS`], so the bound also holds where routers disagree and an endpoint has that
//!   many sets of owners. On either side of a network partition the owners are among the routers
//!   that rank first on that side, whether they remember the other side or not.
//!   `tests/gateway/warmup.rs` checks this over random histories of partitions, restarts and
//!   pauses.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::{
    arena::EndpointKey,
    load::score,
    units::{
        Millis,
        Permille,
        Time, //
    },
};

/// Time within which each request of a quota may be sent once: a second, and the time that a
/// request may be delayed on its way.
const PERIOD: Millis = Millis(1100);
/// Maximum time after its start in which a router owns nothing, because it has not heard of most
/// others yet.
const MAX_DISCOVERY_TIME: Millis = Millis(3000);
/// Time without a newly discovered router after which a router has heard of most: each digest names
/// several.
const DISCOVERY_QUIET_TIME: Millis = Millis(700);
/// Number of different owner sets that an endpoint may have while routers disagree on the fleet:
/// one for each side of a partition.
pub const MAX_OWNER_SETS: u32 = 2;
/// Time for which a router that is no longer heard of still counts as an owner. It may be cut off
/// and use its quota.
const MEMBER_TTL: Millis = Millis(600_000);
/// Limit of the routers that are remembered; beyond it the one that was heard least recently is
/// evicted.
const MAX_MEMBERS: usize = 2048;
/// Where all endpoints of a service are cold, each step down in priority must leave one in so many
/// requests of the quotas to more urgent requests.
const RANK_RESERVE_DIVISOR: u32 = 8;
/// Largest number of steps that counts for this reserve.
const MAX_RANK: u32 = 4;
/// Limit of the workspaces whose requests are counted within a period; others are not counted.
const MAX_WORKSPACES: usize = 256;

/// `Policy` is how the bound follows from the rate that a cold endpoint tolerates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Multiple of the rate.
    pub over: Permille,
    /// Requests in addition to the multiple.
    pub slack: u32,
}

/// `ColdStart` is what a service publishes of the warm-up of its endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStart {
    /// How long an endpoint is cold.
    pub time: Millis,
    /// Rate that a cold endpoint tolerates, in thousandths of a request per second.
    pub per_second: Permille,
}

impl ColdStart {
    /// Returns the number of requests that a cold endpoint may get per second.
    pub fn bound(&self, policy: &Policy) -> u32 {
        let rate = u64::from(self.per_second.0) * u64::from(policy.over.0) / 1_000_000;
        u32::try_from(rate)
            .unwrap_or(u32::MAX)
            .saturating_add(policy.slack)
    }
}

/// `Fleet` is the fleet as one router sees it; routers are named by evenly distributed hashes of
/// their addresses.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// This router.
    pub me: u64,
    /// The other routers.
    pub others: Vec<u64>,
    /// Whether this router is configured with other routers.
    pub expected: bool,
}

/// `ColdEndpoint` is an endpoint that is warming up.
#[derive(Clone, Copy, Debug)]
pub struct ColdEndpoint {
    /// The endpoint.
    pub key: EndpointKey,
    /// Hash of its name.
    pub seed: u64,
    /// Number of requests that it may get per second from all routers.
    pub bound: u32,
}

/// `Meter` counts what this router sends to one cold endpoint.
#[derive(Clone, Debug, Default)]
struct Meter {
    /// Number of requests that the endpoint may get per second from all routers.
    bound: u32,
    /// Number of requests that this router may send within [`PERIOD`].
    quota: u32,
    /// Times at which the newest requests were placed or sent.
    used: VecDeque<Time>,
}

impl Meter {
    fn free(&self, now: Time) -> u32 {
        let used = self.used.iter().filter(|at| now.since(**at) < PERIOD);
        let used = u32::try_from(used.count()).unwrap_or(u32::MAX);
        self.quota.saturating_sub(used)
    }
}

/// `WorkspaceUsage` counts the requests to cold endpoints that workspaces placed within [`PERIOD`],
/// so that none uses up the quotas alone.
#[derive(Clone, Debug, Default)]
struct WorkspaceUsage {
    began: Time,
    /// Placed requests of each workspace that asked.
    placed: IndexMap<u64, u32>,
}

impl WorkspaceUsage {
    fn add(&mut self, now: Time, workspace: u64) {
        if now.since(self.began) >= PERIOD {
            self.began = now;
            self.placed.clear();
        }
        if self.placed.len() < MAX_WORKSPACES {
            self.placed.entry(workspace).or_default();
        }
    }

    fn record_placed(&mut self, workspace: u64) {
        if let Some(placed) = self.placed.get_mut(&workspace) {
            *placed += 1;
        }
    }

    /// Tells whether a workspace placed more requests than another one that asks.
    fn is_ahead(&self, workspace: u64) -> bool {
        let least = self.placed.values().min().copied().unwrap_or_default();
        self.placed
            .get(&workspace)
            .is_some_and(|placed| *placed > least)
    }
}

/// `Warmup` holds this router's quotas for cold endpoints.
#[derive(Clone, Debug, Default)]
pub struct Warmup {
    /// When this router began to listen to others, since it last knew none.
    started: Option<Time>,
    /// When it last discovered a router.
    last_discovery: Time,
    me: u64,
    /// Whether this router owns its quotas: it has listened for long enough, and heard of others if
    /// any are expected.
    settled: bool,
    /// Number of changes of what quotas follow from.
    generation: u64,
    /// Other routers, and when they were last heard.
    members: IndexMap<u64, Time>,
    meters: IndexMap<EndpointKey, Meter>,
    usage: WorkspaceUsage,
}

impl Warmup {
    /// Updates the fleet and the set of cold endpoints, and computes the quotas for them.
    pub fn follow(&mut self, now: Time, fleet: &Fleet, cold: &[ColdEndpoint]) {
        let last_heard = self.members.values().max();
        let is_lost = last_heard.is_some_and(|at| now.since(*at) >= MEMBER_TTL);
        if is_lost && !fleet.others.is_empty() {
            // All members are about to be forgotten at the first that is heard again.
            self.started = Some(now);
        }
        let started = *self.started.get_or_insert(now);
        self.me = fleet.me;
        let mut changed = self.remember(now, &fleet.others);
        let isolated = self.members.is_empty() && fleet.expected;
        let quiet = now.since(started.max(self.last_discovery)) >= DISCOVERY_QUIET_TIME;
        let settled = (quiet || now.since(started) >= MAX_DISCOVERY_TIME) && !isolated;
        changed |= settled != self.settled;
        self.settled = settled;
        self.generation += u64::from(changed);
        let mut before = std::mem::take(&mut self.meters);
        for endpoint in cold {
            let known = before.swap_remove(&endpoint.key);
            let same = known.as_ref().is_some_and(|m| m.bound == endpoint.bound);
            let mut meter = known.unwrap_or_default();
            if changed || !same {
                meter.bound = endpoint.bound;
                meter.quota = self.quota(endpoint);
            }
            self.meters.insert(endpoint.key, meter);
        }
    }

    /// Records which routers are heard of; returns whether the set of remembered routers changed.
    fn remember(&mut self, now: Time, heard: &[u64]) -> bool {
        let mut changed = false;
        for other in heard {
            changed |= self.members.insert(*other, now).is_none();
        }
        if changed {
            self.last_discovery = now;
        }
        let all = self.members.len();
        // A router that hears of no other may be cut off, while the others still use their quotas.
        if !heard.is_empty() {
            self.members.retain(|_, at| now.since(*at) < MEMBER_TTL);
        }
        while self.members.len() > MAX_MEMBERS {
            let oldest = self.members.iter().min_by_key(|(_, at)| **at);
            let Some(oldest) = oldest.map(|(tag, _)| *tag) else {
                break;
            };
            self.members.swap_remove(&oldest);
        }
        changed || self.members.len() != all
    }

    /// Returns this router's quota for an endpoint.
    fn quota(&self, endpoint: &ColdEndpoint) -> u32 {
        self.share(endpoint.seed, endpoint.bound)
    }

    /// Returns the number of changes of what [`Warmup::share`] follows from.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns this router's part of what all routers together may do to an endpoint within a second,
    /// `bound` times; `seed` is the hash of the endpoint's name.
    pub fn share(&self, seed: u64, bound: u32) -> u32 {
        if !self.settled || bound == 0 {
            return 0;
        }
        let routers = u32::try_from(self.members.len() + 1).unwrap_or(u32::MAX);
        let owners = (bound / MAX_OWNER_SETS).max(1);
        if routers <= owners {
            return owners / routers;
        }
        let mine = score(seed, self.me);
        let before = self.members.keys();
        let before = before.filter(|tag| score(seed, **tag) > mine);
        let owns = before.take(owners as usize).count() < owners as usize;
        u32::from(owns)
    }

    /// Returns this router's part of `units` of an endpoint that are divided among all routers; `seed` is
    /// the hash of the endpoint's name. The parts add up to `units` where routers agree on the fleet.
    pub fn division(&self, seed: u64, units: u32) -> u32 {
        if !self.settled {
            return 0;
        }
        let routers = u32::try_from(self.members.len() + 1).unwrap_or(u32::MAX);
        let rest = (units % routers) as usize;
        let mine = score(seed, self.me);
        let before = self.members.keys();
        let before = before.filter(|tag| score(seed, **tag) > mine);
        units / routers + u32::from(before.take(rest).count() < rest)
    }

    /// Tells whether this router may send a request to a cold endpoint.
    pub fn admits(&self, now: Time, endpoint: EndpointKey) -> bool {
        let meter = self.meters.get(&endpoint);
        meter.is_some_and(|m| m.free(now) > 0)
    }

    /// Tells whether an endpoint is cold.
    pub fn has_cold_endpoints(&self) -> bool {
        !self.meters.is_empty()
    }

    /// Records that a workspace has a request that may have to go to a cold endpoint.
    pub fn record_waiting(&mut self, now: Time, workspace: u64) {
        self.usage.add(now, workspace);
    }

    /// Tells whether a request of this priority `rank` and workspace may use the free quotas of
    /// `endpoints`, which are all endpoints of its service. A workspace that placed more requests
    /// than another one that asks counts as one rank lower.
    pub fn admits_rank(
        &self,
        now: Time,
        rank: u8,
        workspace: u64,
        endpoints: impl Iterator<Item = EndpointKey>,
    ) -> bool {
        let rank = u32::from(rank) + u32::from(self.usage.is_ahead(workspace));
        let (mut free, mut all) = (0_u32, 0_u32);
        for meter in endpoints.filter_map(|key| self.meters.get(&key)) {
            free = free.saturating_add(meter.free(now));
            all = all.saturating_add(meter.quota);
        }
        let reserved = all.saturating_mul(rank.min(MAX_RANK)) / RANK_RESERVE_DIVISOR;
        free > reserved
    }

    /// Records that a workspace's request was placed on a cold endpoint.
    pub fn record_placed(&mut self, now: Time, workspace: u64, endpoint: EndpointKey) {
        self.usage.record_placed(workspace);
        let meter = self.meters.entry(endpoint).or_default();
        meter.used.retain(|at| now.since(*at) < PERIOD);
        meter.used.push_back(now);
    }

    /// Records that a placed request is sent: it counts from now, because connecting takes time.
    pub fn sent(&mut self, now: Time, endpoint: EndpointKey) {
        if let Some(meter) = self.meters.get_mut(&endpoint)
            && meter.used.pop_front().is_some()
        {
            meter.used.push_back(now);
        }
    }
}
