//! The software versions that each service's endpoints have, or had until recently.

use bytes::Bytes;
use indexmap::IndexMap;

use crate::{
    ids::Tag,
    units::{
        Millis,
        Time, //
    },
};

/// `Build` identifies a software version of the endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Build(pub u32);

impl Build {
    /// The version of streams of which it is not known which version began them. No endpoint has it.
    pub const UNKNOWN: Self = Self(0);

    /// Identifies a version by its service and its text.
    pub fn of(service: &[u8], version: &[u8]) -> Self {
        let Tag(tag) = Tag::of(&[service, b"\0", version].concat());
        Self(tag.max(1))
    }
}

/// `Listing` is a version that a service's endpoints have or had.
#[derive(Clone, Debug)]
struct Listing {
    /// Its text.
    name: Bytes,
    /// Listed endpoints.
    endpoints: u32,
    /// When the last one was seen to be gone.
    left: Option<Time>,
}

/// `BuildHistory` is the versions that each service's endpoints have, or had until recently.
#[derive(Clone, Debug, Default)]
pub struct BuildHistory {
    services: IndexMap<Bytes, IndexMap<Build, Listing>>,
}

impl BuildHistory {
    /// Adds an endpoint.
    pub fn add(&mut self, service: &Bytes, build: Build, name: &Bytes) {
        let builds = self.services.entry(service.clone()).or_default();
        let listing = builds.entry(build).or_insert_with(|| Listing {
            name: name.clone(),
            endpoints: 0,
            left: None,
        });
        listing.endpoints += 1;
        listing.left = None;
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, service: &Bytes, build: Build) {
        let builds = self.services.get_mut(service);
        if let Some(listing) = builds.and_then(|b| b.get_mut(&build)) {
            listing.endpoints = listing.endpoints.saturating_sub(1);
        }
    }

    /// Forgets versions of which no stream can be left after `retention`.
    pub fn expire(&mut self, now: Time, retention: Millis) {
        for builds in self.services.values_mut() {
            builds.retain(|_, listing| {
                if listing.endpoints > 0 {
                    return true;
                }
                let left = *listing.left.get_or_insert(now);
                now.since(left) < retention
            });
        }
        self.services.retain(|_, builds| !builds.is_empty());
    }

    /// Tells whether streams of other versions of a service may exist than of the one that is listed.
    pub fn is_mixed(&self, service: &[u8]) -> bool {
        self.services.get(service).is_some_and(are_mixed)
    }

    /// Lists the services of which streams of other versions may exist than of the one that is listed.
    pub fn mixed(&self) -> impl Iterator<Item = &Bytes> {
        let mixed = self.services.iter().filter(|(_, builds)| are_mixed(builds));
        mixed.map(|(service, _)| service)
    }

    /// Lists the versions of a service with their numbers of listed endpoints.
    pub fn builds(&self, service: &[u8]) -> impl Iterator<Item = (Build, &Bytes, u32)> {
        let builds = self.services.get(service).into_iter().flatten();
        builds.map(|(build, listing)| (*build, &listing.name, listing.endpoints))
    }
}

/// Tells whether there is more than one version, or one that has left and that the next one is not to be taken for.
fn are_mixed(builds: &IndexMap<Build, Listing>) -> bool {
    builds.len() > 1 || builds.values().any(|listing| listing.endpoints == 0)
}
