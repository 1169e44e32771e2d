//! How much work each endpoint has, put together from own requests, peers' summaries and
//! endpoints' reports, each with its age.
//!
//! Own requests are exact, peers' summaries are one interval old, reports a second. While every
//! router of the fleet is heard, the load is what they say of themselves and reports add nothing.
//! While some are not, a report's surplus over what was known *at the time it speaks of* stands
//! for them, so that requests sent since the report are not lost and not counted twice.
//!
//! The table also keeps the [`Pool`] of each model and service as flat arrays, brought up to date
//! by every event, so that a placement neither sorts nor allocates.

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
    CLOSED,
    Pool,
    Spot,
    Sum,
    Usable,
    item_seed,
    score, //
};

/// Age at which a peer's summary says nothing any more: five summaries missed.
const PEER_STALE: Millis = Millis(1000);
/// Age at which an endpoint's report says nothing any more.
const REPORT_STALE: Millis = Millis::from_secs(10);

/// Room below the limit at which a router tells its peers of each request at once.
const CLOSE: u32 = 3;
/// Requests that a router sends to one endpoint before it tells its peers, elsewhere.
const UNTOLD: u32 = 2;

/// Gets the requests that a router may send to an endpoint before it has told its peers, `told`
/// the load without them.
///
/// Routers that see the same room would all fill it between two summaries, and the endpoint would
/// carry that many times its limit. This bounds what peers can't know: at most [`UNTOLD`] requests
/// of each router.
pub const fn quota(told: u32, limit: u32) -> u32 {
    if limit.saturating_sub(told) <= CLOSE {
        1
    } else {
        UNTOLD
    }
}

/// `Group` names a pool: the endpoints that can stand for each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Group {
    /// Engines that serve a model.
    Model(ModelKey),
    /// Replicas of a plain service.
    Service(ServiceKey),
}

#[derive(Clone, Debug, Default)]
struct Peer {
    heard: Option<Time>,
    // Whether it is in the own region: others seldom send to the same endpoints.
    near: bool,
    loads: Vec<(EndpointKey, u32)>,
}

/// `Table` is the load of every endpoint.
#[derive(Debug, Default)]
pub struct Table {
    entries: SecondaryMap<EndpointKey, Entry>,
    peers: SecondaryMap<RouterKey, Peer>,
    pools: IndexMap<Group, Pool>,
    me: Option<RouterKey>,
    // Whether every other router of the own region is heard.
    whole: bool,
}

impl Table {
    /// Follows a new configuration; `me` is this router, `None` while it is not in the fleet list.
    pub fn apply(&mut self, config: &Config, me: Option<RouterKey>) {
        self.me = me;
        self.entries
            .retain(|key, _| config.endpoints.get(key).is_some());
        let router = me.and_then(|me| config.fleet.get(me));
        let region = router.and_then(|r| region(config, &r.data_center));
        let near =
            |e: &Endpoint| region.is_none() || region == self::region(config, &e.data_center);
        let mut pools: IndexMap<Group, Vec<Spot>> = IndexMap::new();
        for (key, endpoint) in config.endpoints.iter() {
            let spot = Spot {
                key,
                tag: endpoint.tag,
                capacity: endpoint.capacity,
                near: near(endpoint),
            };
            let models = endpoint.models.iter().map(|m| Group::Model(*m));
            let service = endpoint.service.iter().map(|s| Group::Service(*s));
            for group in models.chain(service) {
                pools.entry(group).or_default().push(spot);
            }
            if !self.entries.contains_key(key) {
                self.entries.insert(key, Entry::default());
            }
            if let Some(entry) = self.entries.get_mut(key) {
                entry.places.clear();
            }
        }
        let made = pools
            .into_iter()
            .map(|(group, spots)| (group, Pool::new(spots)));
        self.pools = made.collect();
        for (index, pool) in self.pools.values().enumerate() {
            for (at, key) in pool.keys().iter().enumerate() {
                if let Some(entry) = self.entries.get_mut(*key) {
                    entry.places.push((index, at));
                }
            }
        }
        let known = |key| config.fleet.get(key).is_some() && Some(key) != me;
        let gone: Vec<RouterKey> = self.peers.keys().filter(|key| !known(*key)).collect();
        for key in gone {
            self.forget(key);
        }
        for (key, router) in config.fleet.iter().filter(|(key, _)| Some(*key) != me) {
            if let Some(entry) = self.peers.entry(key) {
                let there = self::region(config, &router.data_center);
                entry.or_default().near = region.is_none() || region == there;
            }
        }
        self.hear();
        self.spread_all();
    }

    /// Follows the view of endpoints' states and lets what is too old go. The driver's ticks bring
    /// it; in between, [`crate::place::choose`] checks the state of what it picks.
    pub fn refresh(&mut self, now: Time, view: &View) {
        let stale = |p: &Peer| p.heard.is_some_and(|t| now.since(t) > PEER_STALE);
        let late = self.peers.iter().filter(|(_, p)| stale(p));
        let late: Vec<RouterKey> = late.map(|(key, _)| key).collect();
        for key in late {
            self.silence(now, key);
        }
        for entry in self.entries.values_mut() {
            entry.expire(now, REPORT_STALE);
        }
        self.hear();
        for pool in self.pools.values_mut() {
            pool.set_states(|key| match view.state(now, key) {
                State::Live => Usable::Yes,
                State::Suspect => Usable::LastResort,
                State::Leaving | State::Down => Usable::No,
            });
        }
    }

    /// Notes that this router sent a request.
    pub fn sent(&mut self, now: Time, endpoint: EndpointKey) {
        if let Some(entry) = self.entries.get_mut(endpoint) {
            entry.own += 1;
            entry.unshared += 1;
            entry.remember(now);
        }
        self.spread(endpoint);
    }

    /// Notes that a request of this router ended.
    pub fn ended(&mut self, now: Time, endpoint: EndpointKey) {
        if let Some(entry) = self.entries.get_mut(endpoint) {
            entry.own = entry.own.saturating_sub(1);
            // What has ended before peers were told of it is nothing that they miss.
            entry.unshared = entry.unshared.min(entry.own);
            entry.remember(now);
        }
        self.spread(endpoint);
    }

    /// Tells whether peers must hear of the own requests to an endpoint before it gets more.
    pub fn must_tell(&self, endpoint: EndpointKey, limit: u32) -> bool {
        let Some(entry) = self.entries.get(endpoint) else {
            return false;
        };
        let told = entry.load(self.whole).saturating_sub(entry.unshared);
        entry.unshared >= quota(told, limit)
    }

    /// Notes that peers were told of the own requests.
    pub fn shared(&mut self) {
        for entry in self.entries.values_mut() {
            entry.unshared = 0;
        }
        for pool in self.pools.values_mut() {
            pool.shared();
        }
    }

    /// Notes an endpoint's own report.
    pub fn report(&mut self, now: Time, endpoint: EndpointKey, report: &Report) {
        if let Some(entry) = self.entries.get_mut(endpoint) {
            entry.report(now - report.age, report.in_flight);
        }
        self.spread(endpoint);
    }

    /// Notes the requests in progress that an answer's head states, which is a report without age.
    pub fn stated(&mut self, now: Time, endpoint: EndpointKey, in_flight: u32) {
        if let Some(entry) = self.entries.get_mut(endpoint) {
            entry.report(now, in_flight);
        }
        self.spread(endpoint);
    }

    /// Notes a peer's own requests in progress; endpoints not named have none.
    pub fn peer(&mut self, now: Time, router: RouterKey, loads: &[(EndpointKey, u32)]) {
        self.silence(now, router);
        for &(key, in_flight) in loads {
            if let Some(entry) = self.entries.get_mut(key) {
                entry.peers += in_flight;
                entry.remember(now);
            }
            self.spread(key);
        }
        if let Some(entry) = self.peers.entry(router) {
            let peer = entry.or_default();
            peer.heard = Some(now);
            peer.loads = loads.to_vec();
        }
        self.hear();
    }

    /// Forgets a peer that is gone.
    pub fn forget(&mut self, router: RouterKey) {
        if let Some(peer) = self.peers.remove(router) {
            self.take_out(None, &peer.loads);
        }
        self.hear();
    }

    /// Estimates the requests in progress at an endpoint from all routers.
    pub fn estimate(&self, _now: Time, endpoint: EndpointKey) -> u32 {
        let entry = self.entries.get(endpoint);
        entry.map_or(0, |e| e.load(self.whole))
    }

    /// Lists own requests in progress, endpoints with none left out.
    pub fn own(&self) -> impl Iterator<Item = (EndpointKey, u32)> {
        self.entries
            .iter()
            .filter(|(_, e)| e.own > 0)
            .map(|(key, e)| (key, e.own))
    }

    /// Gets an endpoint's place in the pool of a model or service.
    pub fn place(&self, group: Group, endpoint: EndpointKey) -> Option<usize> {
        let wanted = self.pools.get_index_of(&group)?;
        let places = &self.entries.get(endpoint)?.places;
        let found = places.iter().find(|(index, _)| *index == wanted);
        found.map(|(_, at)| *at)
    }

    /// Gets the pool of a model or service.
    pub fn pool(&self, group: Group) -> Option<&Pool> {
        self.pools.get(&group)
    }

    /// Drops what a peer said, but not the peer.
    fn silence(&mut self, now: Time, router: RouterKey) {
        if let Some(peer) = self.peers.get_mut(router) {
            peer.heard = None;
            let loads = std::mem::take(&mut peer.loads);
            self.take_out(Some(now), &loads);
        }
    }

    fn take_out(&mut self, now: Option<Time>, loads: &[(EndpointKey, u32)]) {
        for &(key, in_flight) in loads {
            if let Some(entry) = self.entries.get_mut(key) {
                entry.peers = entry.peers.saturating_sub(in_flight);
                if let Some(now) = now {
                    entry.remember(now);
                }
            }
            self.spread(key);
        }
    }

    /// Finds out anew whether every peer is heard.
    fn hear(&mut self) {
        let whole = self.peers.values().all(|p| p.heard.is_some() || !p.near);
        if whole != self.whole {
            self.whole = whole;
            self.spread_all();
        }
    }

    /// Brings an endpoint's load into its pools.
    fn spread(&mut self, endpoint: EndpointKey) {
        let Some(entry) = self.entries.get(endpoint) else {
            return;
        };
        let load = entry.load(self.whole);
        for &(index, at) in &entry.places {
            if let Some((_, pool)) = self.pools.get_index_mut(index) {
                pool.set(at, (load, entry.known()), entry.unshared);
            }
        }
    }

    fn spread_all(&mut self) {
        let keys: Vec<EndpointKey> = self.entries.keys().collect();
        for key in keys {
            self.spread(key);
        }
    }
}

fn region<'a>(config: &'a Config, data_center: &Id) -> Option<&'a Id> {
    config.policy.data_centers.get(data_center)
}
