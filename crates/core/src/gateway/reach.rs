//! Which services this router reaches.
//!
//! One endpoint that can't be connected to may have ended. Several in a row, while no endpoint of the
//! service is heard from, show that the router itself may have lost its way to the service. Only a
//! new connection shows that the way is open again: connections of before may live on while new ones
//! are refused.

use bytes::Bytes;
use indexmap::IndexMap;

use crate::{
    arena::EndpointKey,
    units::{
        Millis,
        Time, //
    },
};

/// One in so many of a service's endpoints that fail in a row make the service unreached.
const FAILED_DIVISOR: usize = 3;
/// Limit of the endpoints that must fail in a row, however many the service has.
const MAX_FAILED: usize = 3;

/// `Outage` is a time in which a service is not reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// When it was noticed.
    pub since: Time,
    /// When an endpoint of the service was last heard from; `None` if none ever was.
    pub last_contact: Option<Time>,
}

#[derive(Clone, Debug, Default)]
struct ServiceReach {
    last_contact: Option<Time>,
    /// Endpoints that have failed since, each once.
    failed: Vec<EndpointKey>,
    outage: Option<Outage>,
}

/// `Reach` is what this router's own connections tell of the services.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    services: IndexMap<Bytes, ServiceReach>,
}

impl Reach {
    /// Records that an endpoint of a service was heard from.
    pub fn heard(&mut self, now: Time, service: &Bytes) {
        let reach = self.service(service);
        reach.last_contact = Some(now);
        reach.failed.clear();
    }

    /// Records that a connection to an endpoint of a service was opened; returns the length of the
    /// outage that this ends.
    pub fn connected(&mut self, now: Time, service: &Bytes) -> Option<Millis> {
        self.heard(now, service);
        let outage = self.service(service).outage.take();
        outage.map(|o| now.since(o.since))
    }

    /// Records that an endpoint could not be connected to, broke the connection or kept silent;
    /// `endpoints` is the number of endpoints of its service. Returns the outage that begins with
    /// this.
    pub fn failed(
        &mut self,
        now: Time,
        service: &Bytes,
        endpoint: EndpointKey,
        endpoints: usize,
    ) -> Option<Outage> {
        let reach = self.service(service);
        if reach.outage.is_some() {
            return None;
        }
        if !reach.failed.contains(&endpoint) {
            reach.failed.push(endpoint);
        }
        let needed = endpoints.div_ceil(FAILED_DIVISOR).clamp(1, MAX_FAILED);
        if reach.failed.len() < needed {
            return None;
        }
        reach.failed.clear();
        reach.outage = Some(Outage {
            since: now,
            last_contact: reach.last_contact,
        });
        reach.outage
    }

    /// Returns the current outage of a service.
    pub fn outage(&self, service: &[u8]) -> Option<Outage> {
        self.services.get(service).and_then(|s| s.outage)
    }

    /// Returns when an endpoint of a service was last heard from.
    pub fn last_contact(&self, service: &[u8]) -> Option<Time> {
        self.services.get(service).and_then(|s| s.last_contact)
    }

    /// Lists the services that are not reached.
    pub fn unreached(&self) -> impl Iterator<Item = &Bytes> {
        let unreached = self.services.iter().filter(|(_, s)| s.outage.is_some());
        unreached.map(|(name, _)| name)
    }

    /// Forgets services that are not configured any more.
    pub fn retain(&mut self, configured: impl Fn(&Bytes) -> bool) {
        self.services.retain(|name, _| configured(name));
    }

    fn service(&mut self, service: &Bytes) -> &mut ServiceReach {
        self.services.entry(service.clone()).or_default()
    }
}
