//! Routes whose streams endpoints of several services may have begun.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::{
    IndexMap,
    IndexSet, //
};

use crate::{
    gateway::{
        Gateway,
        catalog::Catalog,
        route::Route, //
    },
    units::Time,
};

impl Gateway {
    /// Tells whether endpoints of more than one service may have begun streams of a route: it has several, or had
    /// another one until recently.
    pub fn has_several_services(&self, now: Time, route: &Route) -> bool {
        let moved = self.moved_routes.get(&route.name);
        route.shares.len() > 1 || moved.is_some_and(|until| now < *until)
    }

    /// Notes the routes that `next` sends to other services than the configuration in force.
    ///
    /// A route that is added may take requests over from another one.
    pub(in crate::gateway) fn record_moved_routes(&mut self, now: Time, next: &Catalog) {
        let Some(held) = self.catalog.clone() else {
            return;
        };
        let until = now + self.stream_life;
        let before: IndexMap<&Bytes, &Arc<Route>> = held.routes().map(|r| (&r.name, r)).collect();
        let mut left = IndexSet::new();
        for route in next.routes() {
            let before = before.get(&route.name);
            if before.is_some_and(|before| has_services_of(before, route)) {
                continue;
            }
            left.extend(before.iter().flat_map(|r| &r.shares).map(|s| &s.service));
            self.moved_routes.insert(route.name.clone(), until);
        }
        if !left.is_empty() {
            self.streams.queue(|service| left.contains(service));
        }
    }
}

/// Tells whether two versions of a route have the same services.
fn has_services_of(route: &Route, other: &Route) -> bool {
    let lists = |of: &Route, service: &Bytes| of.shares.iter().any(|s| s.service == *service);
    let within = |a: &Route, b: &Route| a.shares.iter().all(|s| lists(b, &s.service));
    within(route, other) && within(other, route)
}
