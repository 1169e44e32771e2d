//! This router's part of the connections that an endpoint accepts.
//!
//! A connection counts from the moment it is begun. If it counted only once a request is sent on it,
//! all requests that are placed while connections open would open one more each.

use crate::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        endpoint::Endpoint, //
    }, //
};

/// Least number of connections that a router may have to one endpoint, however many routers there
/// are.
const MIN_CONNECTION_SHARE: u32 = 2;

impl Endpoint {
    /// Gets the connections of this router that carry a request or are being opened.
    pub const fn own_connections(&self) -> u32 {
        self.own_in_flight.saturating_add(self.own_opening)
    }
}

impl Gateway {
    /// Gets the connections that this router may have to one endpoint of a service: its part of
    /// those that the endpoint accepts. Beyond that limit the endpoint resets new connections, and
    /// requests sent on them may or may not have run.
    pub(in crate::gateway) fn connection_share(&self, service: &[u8]) -> u32 {
        let catalog = self.catalog.as_ref();
        let service = catalog.and_then(|c| c.service(service));
        let all = service.map_or(u32::MAX, |s| s.connections);
        (all / self.routers).max(MIN_CONNECTION_SHARE)
    }

    /// Notes that a connection to an endpoint is begun.
    pub fn connection_begun(&mut self, endpoint: EndpointKey) {
        self.registry.count_opening(endpoint, 1);
    }

    /// Notes that a connection is open or has failed to open.
    pub fn connection_opened(&mut self, endpoint: EndpointKey) {
        self.registry.count_opening(endpoint, -1);
    }
}
