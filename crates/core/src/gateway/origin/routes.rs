//! Routes whose streams endpoints of several services may have begun.

use bytes::Bytes;

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
        let moved = next.routes().filter(|route| {
            let before = held.routes().find(|r| r.name == route.name);
            !before.is_some_and(|before| has_services_of(before, route))
        });
        let moved: Vec<Bytes> = moved.map(|r| r.name.clone()).collect();
        if moved.is_empty() {
            return;
        }
        let left = held.routes().filter(|r| moved.contains(&r.name));
        let left: Vec<&Bytes> = left.flat_map(|r| &r.shares).map(|s| &s.service).collect();
        self.streams.queue(|service| left.contains(&service));
        self.moved_routes
            .extend(moved.into_iter().map(|name| (name, until)));
    }
}

/// Tells whether two versions of a route have the same services.
fn has_services_of(route: &Route, other: &Route) -> bool {
    let lists = |of: &Route, service: &Bytes| of.shares.iter().any(|s| s.service == *service);
    let within = |a: &Route, b: &Route| a.shares.iter().all(|s| lists(b, &s.service));
    within(route, other) && within(other, route)
}
