//! Which services this router reaches.
//!
//! One endpoint that can't be connected to may have ended. Several in a row, while no endpoint of the
//! service is heard from, show that the router itself may have lost its way to the service. Only an
//! answer on a new connection shows that the way is open again: connections of before may live on
//! while new ones are refused, and a connection that opens may carry nothing.

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
/// First interval between probes while a service is not reached; it doubles with
/// each that fails.
const MIN_PROBE_INTERVAL: Millis = Millis(100);
/// Longest such interval.
const MAX_PROBE_INTERVAL: Millis = Millis(800);
/// Time after the end of an outage in which another one begins with the longest interval, so that a
/// link that comes and goes is not used each time.
const FLAP_WINDOW: Millis = Millis(5000);
/// Least number of endpoints that must fail in a row where the service has as many: one alone may have
/// ended.
const MIN_FAILED: usize = 2;
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
    /// When the last outage ended.
    ended: Option<Time>,
    next_probe: Time,
    probe_interval: Millis,
}

/// `Reach` is what this router's own connections tell of the services.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    services: IndexMap<Bytes, ServiceReach>,
}

impl Reach {
    /// Records that an endpoint of a service answered on a connection that was opened at `opened`;
    /// returns the length of the outage that this ends.
    pub fn heard(&mut self, now: Time, service: &Bytes, opened: Time) -> Option<Millis> {
        let reach = self.service(service);
        reach.last_contact = Some(now);
        reach.failed.clear();
        let outage = reach.outage.take_if(|o| opened >= o.since)?;
        reach.ended = Some(now);
        Some(now.since(outage.since))
    }

    /// Records that an endpoint could not be connected to or kept silent from `since` on; `endpoints` is the number of endpoints of its service. Returns the outage that begins with
    /// this.
    pub fn failed(
        &mut self,
        now: Time,
        service: &Bytes,
        (endpoint, since): (EndpointKey, Time),
        endpoints: usize,
    ) -> Option<Outage> {
        let reach = self.service(service);
        let heard = reach.last_contact.is_some_and(|at| at >= since);
        if reach.outage.is_some() || heard {
            return None;
        }
        if !reach.failed.contains(&endpoint) {
            reach.failed.push(endpoint);
        }
        let needed = endpoints.div_ceil(FAILED_DIVISOR);
        let needed = needed.clamp(MIN_FAILED, MAX_FAILED).min(endpoints.max(1));
        if reach.failed.len() < needed {
            return None;
        }
        reach.failed.clear();
        let flaps = reach.ended.is_some_and(|at| now.since(at) < FLAP_WINDOW);
        reach.probe_interval = if flaps {
            MAX_PROBE_INTERVAL
        } else {
            MIN_PROBE_INTERVAL
        };
        reach.next_probe = now + reach.probe_interval;
        reach.outage = Some(Outage {
            since: now,
            last_contact: reach.last_contact,
        });
        reach.outage
    }

    /// Tells whether a service that is not reached should be probed now, and counts that as done.
    pub fn begin_probe(&mut self, now: Time, service: &Bytes) -> bool {
        let reach = self.service(service);
        if reach.outage.is_none() || now < reach.next_probe {
            return false;
        }
        let doubled = Millis(reach.probe_interval.0 * 2);
        reach.probe_interval = doubled.min(MAX_PROBE_INTERVAL);
        reach.next_probe = now + reach.probe_interval;
        true
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
