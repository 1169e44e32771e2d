//! How many requests an endpoint gets while it warms up.
//!
//! - **Bounded** is the number of requests that all routers together send to one endpoint within a second while it is
//!   cold: first tries, repeats, resumed streams and probes alike. Well above it, the endpoint crashes.
//! - **Counted** by its owners, the few routers that come first for it by rendezvous hashing over the fleet. Each has a
//!   fixed part of the bound; the others send it nothing. No router needs to know what another one has sent.
//! - **A router that hears nobody** keeps to its part in the fleet that it remembers. One that has started lately and
//!   still hears of others for the first time, or has never heard of another, owns nothing.
//! - **Proof**: the parts of all owners add up to the bound divided by [`MAX_OWNER_SETS`], so that the bound holds also where
//!   routers disagree and an endpoint has that many times its owners. On either side of a cut the owners are among those
//!   that come first of that side, whether they remember the other side or not. `tests/gateway/warmup.rs` holds it over
//!   random histories of cuts, restarts and pauses.

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

/// Time within which a part of the bound may be used once: a second, and what a request may be late on its way.
const PERIOD: Millis = Millis(1100);
/// Longest time after its start in which a router owns nothing, as it has not heard of most others yet.
const SETTLE: Millis = Millis(3000);
/// Time without another new router after which it has heard of most: each digest brings several.
const QUIET: Millis = Millis(700);
/// Times its owners that an endpoint may have while routers disagree on who there is: both sides of a cut.
pub const MAX_OWNER_SETS: u32 = 2;
/// Time for which a router that isn't heard of is still counted as an owner. It may be cut off and use its part.
const MEMBER_TTL: Millis = Millis(600_000);
/// Most routers that are remembered; beyond it the one that was heard least recently goes.
const MAX_MEMBERS: usize = 2048;
/// Where all endpoints of a service are cold, the part of what is free that each step down in rank must leave to the more
/// urgent, one in so many.
const RANK_RESERVE: u32 = 8;
/// Lowest rank that counts for it.
const MAX_RANK: u32 = 4;
/// Most workspaces whose turns are kept within a period; others take none.
const MAX_WORKSPACES: usize = 256;

/// `Policy` is how the bound follows from the rate that a cold endpoint tolerates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Multiple of the rate.
    pub over: Permille,
    /// Requests above it.
    pub slack: u32,
}

/// `ColdStart` is what a service publishes of its endpoints' start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStart {
    /// How long an endpoint is cold.
    pub time: Millis,
    /// Thousandths of a request a second that it tolerates meanwhile.
    pub per_second: Permille,
}

impl ColdStart {
    /// Gets the requests that an endpoint may get within a second.
    pub fn bound(&self, policy: &Policy) -> u32 {
        let rate = u64::from(self.per_second.0) * u64::from(policy.over.0) / 1_000_000;
        u32::try_from(rate)
            .unwrap_or(u32::MAX)
            .saturating_add(policy.slack)
    }
}

/// `Fleet` is the routers as one of them hears of them, by tags that are spread over all numbers.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// This router.
    pub me: u64,
    /// The others.
    pub others: Vec<u64>,
    /// Whether this router was told of others to begin with.
    pub expected: bool,
}

/// `ColdEndpoint` is an endpoint that is warming up.
#[derive(Clone, Copy, Debug)]
pub struct ColdEndpoint {
    /// The endpoint.
    pub key: EndpointKey,
    /// Hash of its name.
    pub seed: u64,
    /// Requests that it may get within a second.
    pub bound: u32,
}

/// `Meter` is what this router may send to one endpoint.
#[derive(Clone, Debug, Default)]
struct Meter {
    /// Requests that the endpoint may get within a second from all routers.
    bound: u32,
    /// Requests within [`PERIOD`].
    quota: u32,
    /// Times of the newest requests, chosen or sent.
    used: VecDeque<Time>,
}

impl Meter {
    fn free(&self, now: Time) -> u32 {
        let used = self.used.iter().filter(|at| now.since(**at) < PERIOD);
        let used = u32::try_from(used.count()).unwrap_or(u32::MAX);
        self.quota.saturating_sub(used)
    }
}

/// `Turns` is what workspaces got of cold endpoints within [`PERIOD`], so that none takes all that there is.
#[derive(Clone, Debug, Default)]
struct Turns {
    began: Time,
    /// Requests that were let in, of each workspace that asked.
    got: IndexMap<u64, u32>,
}

impl Turns {
    fn ask(&mut self, now: Time, workspace: u64) {
        if now.since(self.began) >= PERIOD {
            self.began = now;
            self.got.clear();
        }
        if self.got.len() < MAX_WORKSPACES {
            self.got.entry(workspace).or_default();
        }
    }

    fn take(&mut self, workspace: u64) {
        if let Some(got) = self.got.get_mut(&workspace) {
            *got += 1;
        }
    }

    /// Tells whether a workspace got more than another one that asks.
    fn ahead(&self, workspace: u64) -> bool {
        let least = self.got.values().min().copied().unwrap_or_default();
        self.got.get(&workspace).is_some_and(|got| *got > least)
    }
}

/// `Warmup` is this router's part in what cold endpoints get.
#[derive(Clone, Debug, Default)]
pub struct Warmup {
    /// When this router began to listen to others.
    started: Option<Time>,
    /// When it last heard of a router that it didn't know.
    met: Time,
    me: u64,
    /// Whether this router owns its part: it has listened for long enough, and heard others if there are any.
    settled: bool,
    /// Other routers, and when they were last heard.
    members: IndexMap<u64, Time>,
    meters: IndexMap<EndpointKey, Meter>,
    turns: Turns,
}

impl Warmup {
    /// Follows which routers there are, and divides what the cold endpoints may get.
    pub fn follow(&mut self, now: Time, fleet: &Fleet, cold: &[ColdEndpoint]) {
        let started = *self.started.get_or_insert(now);
        self.me = fleet.me;
        let mut changed = self.remember(now, &fleet.others);
        let lonely = self.members.is_empty() && fleet.expected;
        let quiet = now.since(started.max(self.met)) >= QUIET;
        let settled = (quiet || now.since(started) >= SETTLE) && !lonely;
        changed |= settled != self.settled;
        self.settled = settled;
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

    /// Notes which routers are heard of; returns whether those that are remembered are others than before.
    fn remember(&mut self, now: Time, heard: &[u64]) -> bool {
        let mut changed = false;
        for other in heard {
            changed |= self.members.insert(*other, now).is_none();
        }
        if changed {
            self.met = now;
        }
        let all = self.members.len();
        // Who hears nobody may be cut off, and the others go on with their parts.
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

    /// Gets this router's part of an endpoint's bound.
    fn quota(&self, endpoint: &ColdEndpoint) -> u32 {
        if !self.settled || endpoint.bound == 0 {
            return 0;
        }
        let routers = u32::try_from(self.members.len() + 1).unwrap_or(u32::MAX);
        let owners = (endpoint.bound / MAX_OWNER_SETS).max(1);
        if routers <= owners {
            return owners / routers;
        }
        let mine = score(endpoint.seed, self.me);
        let before = self.members.keys();
        let before = before.filter(|tag| score(endpoint.seed, **tag) > mine);
        let owns = before.take(owners as usize).count() < owners as usize;
        u32::from(owns)
    }

    /// Tells whether this router may send a request to a cold endpoint.
    pub fn admits(&self, now: Time, endpoint: EndpointKey) -> bool {
        let meter = self.meters.get(&endpoint);
        meter.is_some_and(|m| m.free(now) > 0)
    }

    /// Tells whether some endpoint is cold.
    pub fn active(&self) -> bool {
        !self.meters.is_empty()
    }

    /// Notes that a workspace has a request that may have to go to a cold endpoint.
    pub fn asked(&mut self, now: Time, workspace: u64) {
        self.turns.ask(now, workspace);
    }

    /// Tells whether a request of this rank and workspace may use what is free at these endpoints, all that its service
    /// has. A workspace that got more than another one that asks counts as one rank lower.
    pub fn admits_rank(
        &self,
        now: Time,
        rank: u8,
        workspace: u64,
        endpoints: impl Iterator<Item = EndpointKey>,
    ) -> bool {
        let rank = u32::from(rank) + u32::from(self.turns.ahead(workspace));
        let (mut free, mut all) = (0_u32, 0_u32);
        for meter in endpoints.filter_map(|key| self.meters.get(&key)) {
            free = free.saturating_add(meter.free(now));
            all = all.saturating_add(meter.quota);
        }
        let reserved = all.saturating_mul(rank.min(MAX_RANK)) / RANK_RESERVE;
        free > reserved
    }

    /// Notes that a cold endpoint was chosen for a request of a workspace.
    pub fn chosen(&mut self, now: Time, workspace: u64, endpoint: EndpointKey) {
        self.turns.take(workspace);
        let meter = self.meters.entry(endpoint).or_default();
        meter.used.retain(|at| now.since(*at) < PERIOD);
        meter.used.push_back(now);
    }

    /// Notes that a request that an endpoint was chosen for goes out: it counts from now, as connecting takes time.
    pub fn sent(&mut self, now: Time, endpoint: EndpointKey) {
        if let Some(meter) = self.meters.get_mut(&endpoint)
            && meter.used.pop_front().is_some()
        {
            meter.used.push_back(now);
        }
    }
}
