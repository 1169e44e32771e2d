//! How much work each endpoint has, put together from own requests, endpoints' reports and peers'
//! summaries, each with its age.

use indexmap::IndexMap;
use slotmap::SecondaryMap;

use crate::{
    arena::{
        EndpointKey,
        RouterKey, //
    },
    config::Config,
    event::Report,
    units::Time,
};

#[derive(Clone, Debug, Default)]
struct Entry {
    own: u32,
    report: Option<(Time, u32)>,
    peers: IndexMap<RouterKey, u32>,
}

/// `Table` is the load of every endpoint.
#[derive(Debug, Default)]
pub struct Table {
    entries: SecondaryMap<EndpointKey, Entry>,
}

impl Table {
    /// Follows a new configuration.
    pub fn apply(&mut self, config: &Config) {
        self.entries
            .retain(|key, _| config.endpoints.get(key).is_some());
        for (key, _) in config.endpoints.iter() {
            if !self.entries.contains_key(key) {
                self.entries.insert(key, Entry::default());
            }
        }
    }

    /// Notes that this router sent a request.
    pub fn sent(&mut self, _now: Time, endpoint: EndpointKey) {
        if let Some(entry) = self.entries.get_mut(endpoint) {
            entry.own += 1;
        }
    }

    /// Notes that a request of this router ended.
    pub fn ended(&mut self, _now: Time, endpoint: EndpointKey) {
        if let Some(entry) = self.entries.get_mut(endpoint) {
            entry.own = entry.own.saturating_sub(1);
        }
    }

    /// Notes an endpoint's own report.
    pub fn report(&mut self, now: Time, endpoint: EndpointKey, report: &Report) {
        if let Some(entry) = self.entries.get_mut(endpoint) {
            entry.report = Some((now - report.age, report.in_flight));
        }
    }

    /// Notes a peer's own requests in progress; endpoints not named have none.
    pub fn peer(&mut self, _now: Time, router: RouterKey, loads: &[(EndpointKey, u32)]) {
        for (_, entry) in &mut self.entries {
            entry.peers.swap_remove(&router);
        }
        for &(key, in_flight) in loads {
            if let Some(entry) = self.entries.get_mut(key) {
                entry.peers.insert(router, in_flight);
            }
        }
    }

    /// Forgets a peer that is gone.
    pub fn forget(&mut self, router: RouterKey) {
        for (_, entry) in &mut self.entries {
            entry.peers.swap_remove(&router);
        }
    }

    /// Estimates the requests in progress at an endpoint from all routers.
    pub fn estimate(&self, _now: Time, endpoint: EndpointKey) -> u32 {
        let Some(entry) = self.entries.get(endpoint) else {
            return 0;
        };
        let known = entry.own + entry.peers.values().sum::<u32>();
        known.max(entry.report.map_or(0, |(_, n)| n).min(known))
    }

    /// Lists own requests in progress, endpoints with none left out.
    pub fn own(&self) -> impl Iterator<Item = (EndpointKey, u32)> {
        self.entries
            .iter()
            .filter(|(_, e)| e.own > 0)
            .map(|(key, e)| (key, e.own))
    }
}
