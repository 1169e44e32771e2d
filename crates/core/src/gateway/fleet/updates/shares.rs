//! This router's parts of what the fleet may do together.

use bytes::Bytes;
use indexmap::IndexMap;

use crate::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        brittle::BrittleEndpoint,
        endpoint,
        warmup, //
    },
    units::{
        Millis,
        Time, //
    },
};

/// Time for which the greatest recent number of routers divides the fleet's extra retries. Regions may
/// lose each other for an hour, and both sides go on; routers that have left for good reduce the others'
/// parts for this long.
const MAX_ROUTERS_TTL: Millis = Millis(2 * 3_600_000);

impl Gateway {
    /// Sets the number of routers that share the fleet's extra retries and the connections of
    /// endpoints.
    ///
    /// Retries are divided by the greatest recent number of routers, since routers that can't be
    /// heard may be partitioned and still use their parts. A router that was suspended hears nobody
    /// until it has read what waited here; meanwhile the number before counts.
    pub fn fleet(&mut self, now: Time, routers: u32) {
        let least = if self.reads_backlog(now) {
            self.routers
        } else {
            1
        };
        self.routers = routers.max(least);
        let (max_routers, heard) = self.max_routers;
        if self.routers >= max_routers || now.since(heard) >= MAX_ROUTERS_TTL {
            self.max_routers = (self.routers, now);
        }
        self.update_extra_retries();
    }

    /// Updates the list of routers that share the requests that cold endpoints may get.
    pub fn update_fleet(&mut self, now: Time, fleet: &warmup::Fleet) {
        self.part_quarantine.update_fleet(fleet);
        let bounded = |(key, endpoint): (EndpointKey, &endpoint::Endpoint)| {
            let bound = self.warmup_limit(&endpoint.entry.service)?;
            Some(warmup::ColdEndpoint {
                key,
                seed: endpoint.seed,
                bound,
            })
        };
        // Only a few of many endpoints are cold, and this runs several times a second.
        let cold = self.registry.usable();
        let cold = cold.filter(|(_, e)| e.cold(now) > Millis(0));
        let cold: Vec<warmup::ColdEndpoint> = cold.filter_map(bounded).collect();
        self.warmup.follow(now, fleet, &cold);
        if !self.brittleness.is_empty() {
            self.divide_brittle_endpoints(now);
        }
    }

    /// Updates what this router may do to brittle endpoints.
    pub(in crate::gateway) fn divide_brittle_endpoints(&mut self, now: Time) {
        let mut endpoints: IndexMap<Bytes, Vec<BrittleEndpoint>> = IndexMap::new();
        for (key, e) in self.registry.usable() {
            let service = &e.entry.service;
            let Some(limit) = self.brittleness.limit(now, service) else {
                continue;
            };
            let endpoint = BrittleEndpoint {
                key,
                seed: e.seed,
                limit,
                slots: e.entry.slots,
                states_load: e.age(now).is_some(),
            };
            endpoints.entry(service.clone()).or_default().push(endpoint);
        }
        self.brittleness
            .follow(&self.warmup, self.routers, &endpoints);
    }

    /// Gets how many requests a cold endpoint of a service may get within a second; `None` if that
    /// is not limited.
    pub(in crate::gateway) fn warmup_limit(&self, service: &[u8]) -> Option<u32> {
        let catalog = self.catalog.as_ref()?;
        let rate = catalog.service(service)?.warmup?;
        Some(rate.bound(&self.bounds.warmup))
    }

    /// Sets this router's part of the fleet's extra retries. Until another router has been heard,
    /// it stays the part that the settings give for a fleet of unknown size.
    pub(in crate::gateway) fn update_extra_retries(&mut self) {
        if self.max_routers.0 > 1 {
            self.bounds.retry.extra = self.bounds.retry.fleet / self.max_routers.0;
        }
    }
}
