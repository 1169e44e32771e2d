//! Estimates the load of each endpoint from this router's own requests, peers' summaries and the
//! endpoints' load reports.
//!
//! Own requests are exact, peers' summaries are up to one interval old, and reports up to a second.
//! While every other router of the own region is heard, the load is the sum of the routers'
//! requests, and a report adds only a surplus above a small tolerance. While some routers are not
//! heard, the surplus of a report over the load known *at the time of the report* stands for their
//! requests. Comparing at that time neither loses nor double-counts requests sent since.
//!
//! The table also keeps the [`Pool`] of each model and service as flat arrays, updated by every
//! event, so that a placement neither sorts nor allocates.

use indexmap::IndexMap;
use slotmap::SecondaryMap;

use crate::{
    arena::{
        EndpointKey,
        ModelKey,
        RouterKey,
        ServiceKey, //
    },
    config::{
        Config,
        Endpoint, //
    },
    event::Report,
    ids::Id,
    membership::{
        State,
        View, //
    },
    units::{
        Millis,
        Time, //
    },
};

mod entry;
mod pool;

use entry::Entry;
pub use pool::{
    LoadTotals,
    NO_ROOM,
    Pool,
    PoolMember,
    Usable,
    item_seed,
    score, //
};

/// Age above which a peer's summary is discarded: five missed summaries.
const PEER_SUMMARY_TTL: Millis = Millis(1000);
/// Age above which an endpoint's report is discarded.
const REPORT_TTL: Millis = Millis::from_secs(10);

/// Free room below the limit, in requests, at or under which a router announces each request to
/// its peers at once.
const NEAR_LIMIT_ROOM: u32 = 3;
/// Requests that a router may send to an endpoint with more room before it announces them.
const MAX_UNANNOUNCED: u32 = 2;

/// Gets the number of requests that a router may send to an endpoint before it announces them to
/// its peers. `announced` is the load without them.
///
/// Routers that see the same free room would all fill it between two summaries, and the endpoint
/// would carry a multiple of its limit. This bounds the load that peers don't know of to
/// [`MAX_UNANNOUNCED`] requests of each router.
pub const fn max_unannounced(announced: u32, limit: u32) -> u32 {
    if limit.saturating_sub(announced) <= NEAR_LIMIT_ROOM {
        1
    } else {
        MAX_UNANNOUNCED
    }
}

/// `PoolKey` identifies a pool of interchangeable endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PoolKey {
    /// Engines that serve a model.
    Model(ModelKey),
    /// Replicas of a plain service.
    Service(ServiceKey),
}

#[derive(Clone, Debug, Default)]
struct Peer {
    last_summary: Option<Time>,
    // Routers of other regions seldom send to the same endpoints.
    in_own_region: bool,
    loads: Vec<(EndpointKey, u32)>,
}

/// `LoadTable` holds the load of every endpoint.
#[derive(Debug, Default)]
pub struct LoadTable {
    entries: SecondaryMap<EndpointKey, Entry>,
    peers: SecondaryMap<RouterKey, Peer>,
    pools: IndexMap<PoolKey, Pool>,
    me: Option<RouterKey>,
    // Whether a current summary is held of every other router of the own region.
    all_peers_heard: bool,
}

impl LoadTable {
    /// Applies a new configuration; `me` is this router, `None` while it is not in the fleet list.
    pub fn apply(&mut self, config: &Config, me: Option<RouterKey>) {
        self.me = me;
        self.entries
            .retain(|key, _| config.endpoints.get(key).is_some());
        let router = me.and_then(|me| config.fleet.get(me));
        let region = router.and_then(|r| region(config, &r.data_center));
        let in_own_region =
            |e: &Endpoint| region.is_none() || region == self::region(config, &e.data_center);
        let mut pools: IndexMap<PoolKey, Vec<PoolMember>> = IndexMap::new();
        for (key, endpoint) in config.endpoints.iter() {
            let member = PoolMember {
                key,
                tag: endpoint.tag,
                capacity: endpoint.capacity,
                in_own_region: in_own_region(endpoint),
            };
            let models = endpoint.models.iter().map(|m| PoolKey::Model(*m));
            let service = endpoint.service.iter().map(|s| PoolKey::Service(*s));
            for pool in models.chain(service) {
                pools.entry(pool).or_default().push(member);
            }
            if !self.entries.contains_key(key) {
                self.entries.insert(key, Entry::default());
            }
            if let Some(entry) = self.entries.get_mut(key) {
                entry.pool_positions.clear();
            }
        }
        let built = pools
            .into_iter()
            .map(|(key, members)| (key, Pool::new(members)));
        self.pools = built.collect();
        for (index, pool) in self.pools.values().enumerate() {
            for (at, key) in pool.keys().iter().enumerate() {
                if let Some(entry) = self.entries.get_mut(*key) {
                    entry.pool_positions.push((index, at));
                }
            }
        }
        let known = |key| config.fleet.get(key).is_some() && Some(key) != me;
        let removed: Vec<RouterKey> = self.peers.keys().filter(|key| !known(*key)).collect();
        for key in removed {
            self.remove_peer(key);
        }
        for (key, router) in config.fleet.iter().filter(|(key, _)| Some(*key) != me) {
            if let Some(entry) = self.peers.entry(key) {
                let peer_region = self::region(config, &router.data_center);
                entry.or_default().in_own_region = region.is_none() || region == peer_region;
            }
        }
        self.update_all_peers_heard();
        self.update_all_pools();
    }

    /// Takes over the endpoints' states from the view and discards old summaries and reports. It
    /// runs at each tick; between ticks, [`crate::place::choose`] checks the state of the endpoint
    /// that it picks.
    pub fn refresh(&mut self, now: Time, view: &View) {
        let is_stale = |p: &Peer| {
            p.last_summary
                .is_some_and(|t| now.since(t) > PEER_SUMMARY_TTL)
        };
        let stale = self.peers.iter().filter(|(_, p)| is_stale(p));
        let stale: Vec<RouterKey> = stale.map(|(key, _)| key).collect();
        for key in stale {
            self.discard_summary(now, key);
        }
        for entry in self.entries.values_mut() {
            entry.expire(now, REPORT_TTL);
        }
        self.update_all_peers_heard();
        for pool in self.pools.values_mut() {
            pool.set_states(|key| match view.state(now, key) {
                State::Live => Usable::Yes,
                State::Suspect => Usable::LastResort,
                State::Leaving | State::Down => Usable::No,
            });
        }
    }

    /// Records that this router sent a request.
    pub fn sent(&mut self, now: Time, endpoint: EndpointKey) {
        if let Some(entry) = self.entries.get_mut(endpoint) {
            entry.own += 1;
            entry.unannounced += 1;
            entry.record_known(now);
        }
        self.update_pools(endpoint);
    }

    /// Records that a request of this router ended.
    pub fn ended(&mut self, now: Time, endpoint: EndpointKey) {
        if let Some(entry) = self.entries.get_mut(endpoint) {
            entry.own = entry.own.saturating_sub(1);
            // A request that ended before it was announced need not be announced any more.
            entry.unannounced = entry.unannounced.min(entry.own);
            entry.record_known(now);
        }
        self.update_pools(endpoint);
    }

    /// Tells whether this router must announce its requests to an endpoint before it sends more.
    pub fn must_announce(&self, endpoint: EndpointKey, limit: u32) -> bool {
        let Some(entry) = self.entries.get(endpoint) else {
            return false;
        };
        let announced = entry
            .load(self.all_peers_heard)
            .saturating_sub(entry.unannounced);
        entry.unannounced >= max_unannounced(announced, limit)
    }

    /// Records that all own requests were announced to the peers.
    pub fn mark_announced(&mut self) {
        for entry in self.entries.values_mut() {
            entry.unannounced = 0;
        }
        for pool in self.pools.values_mut() {
            pool.mark_announced();
        }
    }

    /// Records an endpoint's load report.
    pub fn report(&mut self, now: Time, endpoint: EndpointKey, report: &Report) {
        if let Some(entry) = self.entries.get_mut(endpoint) {
            entry.record_report(now - report.age, report.in_flight);
        }
        self.update_pools(endpoint);
    }

    /// Records the requests in progress that an answer's head states, as a report of age zero.
    pub fn record_answer_load(&mut self, now: Time, endpoint: EndpointKey, in_flight: u32) {
        if let Some(entry) = self.entries.get_mut(endpoint) {
            entry.record_report(now, in_flight);
        }
        self.update_pools(endpoint);
    }

    /// Records the requests in progress of a peer, from its summary; endpoints not listed have
    /// none.
    pub fn peer(&mut self, now: Time, router: RouterKey, loads: &[(EndpointKey, u32)]) {
        self.discard_summary(now, router);
        for &(key, in_flight) in loads {
            if let Some(entry) = self.entries.get_mut(key) {
                entry.peers += in_flight;
                entry.record_known(now);
            }
            self.update_pools(key);
        }
        if let Some(entry) = self.peers.entry(router) {
            let peer = entry.or_default();
            peer.last_summary = Some(now);
            peer.loads = loads.to_vec();
        }
        self.update_all_peers_heard();
    }

    /// Removes a peer that left the fleet.
    pub fn remove_peer(&mut self, router: RouterKey) {
        if let Some(peer) = self.peers.remove(router) {
            self.subtract_loads(None, &peer.loads);
        }
        self.update_all_peers_heard();
    }

    /// Estimates the requests of all routers in progress at an endpoint.
    pub fn estimate(&self, _now: Time, endpoint: EndpointKey) -> u32 {
        let entry = self.entries.get(endpoint);
        entry.map_or(0, |e| e.load(self.all_peers_heard))
    }

    /// Lists the own requests in progress of each endpoint that has any.
    pub fn own(&self) -> impl Iterator<Item = (EndpointKey, u32)> {
        self.entries
            .iter()
            .filter(|(_, e)| e.own > 0)
            .map(|(key, e)| (key, e.own))
    }

    /// Gets an endpoint's position in a pool.
    pub fn position(&self, pool: PoolKey, endpoint: EndpointKey) -> Option<usize> {
        let wanted = self.pools.get_index_of(&pool)?;
        let positions = &self.entries.get(endpoint)?.pool_positions;
        let found = positions.iter().find(|(index, _)| *index == wanted);
        found.map(|(_, at)| *at)
    }

    /// Gets the pool of a model or service.
    pub fn pool(&self, key: PoolKey) -> Option<&Pool> {
        self.pools.get(&key)
    }

    /// Discards a peer's last summary, and keeps the peer.
    fn discard_summary(&mut self, now: Time, router: RouterKey) {
        if let Some(peer) = self.peers.get_mut(router) {
            peer.last_summary = None;
            let loads = std::mem::take(&mut peer.loads);
            self.subtract_loads(Some(now), &loads);
        }
    }

    fn subtract_loads(&mut self, now: Option<Time>, loads: &[(EndpointKey, u32)]) {
        for &(key, in_flight) in loads {
            if let Some(entry) = self.entries.get_mut(key) {
                entry.peers = entry.peers.saturating_sub(in_flight);
                if let Some(now) = now {
                    entry.record_known(now);
                }
            }
            self.update_pools(key);
        }
    }

    fn update_all_peers_heard(&mut self) {
        let all_heard = self
            .peers
            .values()
            .all(|p| p.last_summary.is_some() || !p.in_own_region);
        if all_heard != self.all_peers_heard {
            self.all_peers_heard = all_heard;
            self.update_all_pools();
        }
    }

    /// Copies an endpoint's load into its pools.
    fn update_pools(&mut self, endpoint: EndpointKey) {
        let Some(entry) = self.entries.get(endpoint) else {
            return;
        };
        let load = entry.load(self.all_peers_heard);
        for &(index, at) in &entry.pool_positions {
            if let Some((_, pool)) = self.pools.get_index_mut(index) {
                pool.set_load(at, (load, entry.known()), entry.unannounced);
            }
        }
    }

    fn update_all_pools(&mut self) {
        let keys: Vec<EndpointKey> = self.entries.keys().collect();
        for key in keys {
            self.update_pools(key);
        }
    }
}

fn region<'a>(config: &'a Config, data_center: &Id) -> Option<&'a Id> {
    config.policy.data_centers.get(data_center)
}
