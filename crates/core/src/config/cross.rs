//! Checks that need more than one entry, such as unique addresses and valid references.
//!
//! Each check runs over the whole configuration, but only if an entry that it reads has changed.
//! docs/design/configuration.md explains the cost and why no index is kept.

use std::hash::Hash;

use indexmap::IndexMap;

use super::{
    Config,
    build::ChangedParts,
    fault::Faults,
    reference as r, //
};
use crate::arena::Arena;

pub(super) fn check(old: &Config, next: &Config, touched: &ChangedParts, faults: &mut Faults) {
    counts(next, faults);
    if touched.fleet || touched.endpoints {
        addresses(next, faults);
    }
    if touched.policy || touched.fleet || touched.endpoints {
        data_centers(next, faults);
    }
    if touched.services {
        service_paths(next, faults);
    }
    if touched.workspaces {
        key_hashes(next, faults);
    }
    if touched.removed {
        references(old, next, faults);
    }
}

fn counts(next: &Config, faults: &mut Faults) {
    if next.epoch.0 == 0 {
        faults.add("fleet", "nothing", "a published fleet");
    }
    let counts = [
        ("models", next.models.len(), r::MAX_MODELS),
        ("services", next.services.len(), r::MAX_SERVICES),
        ("endpoints", next.endpoints.len(), r::MAX_ENDPOINTS),
        ("workspaces", next.workspaces.len(), r::MAX_WORKSPACES),
    ];
    for (kind, found, max) in counts {
        if found > max {
            faults.add(kind, found, format_args!("at most {max}"));
        }
    }
}

/// `Unique` finds values that occur in two places.
struct Unique<K, P> {
    seen: IndexMap<K, P>,
}

impl<K: Hash + Eq, P> Unique<K, P> {
    fn with_capacity(capacity: usize) -> Self {
        let seen = IndexMap::with_capacity(capacity);
        Self { seen }
    }

    /// Records a value and its place; returns the earlier place of the value if it has one.
    fn note(&mut self, value: K, place: P) -> Option<&P> {
        match self.seen.entry(value) {
            indexmap::map::Entry::Occupied(entry) => Some(entry.into_mut()),
            indexmap::map::Entry::Vacant(entry) => {
                entry.insert(place);
                None
            }
        }
    }
}

/// Two processes can't listen on one address: an answer of the one would be taken for the other's.
fn addresses(next: &Config, faults: &mut Faults) {
    let size = 2 * next.fleet.len() + next.endpoints.len();
    let mut unique = Unique::with_capacity(size);
    let routers = next.fleet.iter().flat_map(|(_, r)| {
        [
            (r.address, ("fleet.", &r.id, "address")),
            (r.peer_address, ("fleet.", &r.id, "peer_address")),
        ]
    });
    let endpoints = next.endpoints.iter();
    let endpoints = endpoints.map(|(_, e)| (e.address, ("endpoints/", &e.id, "address")));
    for (address, place) in routers.chain(endpoints) {
        if let Some((kind, id, field)) = unique.note(address, place) {
            let expected = format_args!("another address than {kind}{id}.{field}");
            let (kind, id, field) = place;
            faults.add(format!("{kind}{id}.{field}"), address, expected);
        }
    }
}

fn data_centers(next: &Config, faults: &mut Faults) {
    let known = &next.policy.data_centers;
    if known.is_empty() {
        return;
    }
    let expected = "a data centre of `policy.data_centers`";
    for (_, router) in next.fleet.iter() {
        if !known.contains_key(&router.data_center) {
            let path = format!("fleet.{}.data_center", router.id);
            faults.add(path, &router.data_center, expected);
        }
    }
    for (_, endpoint) in next.endpoints.iter() {
        if !known.contains_key(&endpoint.data_center) {
            let path = format!("endpoints/{}.data_center", endpoint.id);
            faults.add(path, &endpoint.data_center, expected);
        }
    }
}

fn service_paths(next: &Config, faults: &mut Faults) {
    let mut unique = Unique::with_capacity(next.services.len());
    // An empty path marks one that was refused before.
    let services = next.services.iter().filter(|(_, s)| !s.path.is_empty());
    for (_, service) in services {
        if let Some(other) = unique.note(service.path.clone(), &service.id) {
            let found = String::from_utf8_lossy(&service.path);
            let expected = format_args!("another path than services/{other}");
            faults.add(format!("services/{}.path", service.id), found, expected);
        }
    }
}

/// Checks that no two workspaces share a key: a caller's requests would count against the limit of
/// the other workspace.
fn key_hashes(next: &Config, faults: &mut Faults) {
    let mut unique = Unique::with_capacity(next.workspaces.len());
    for (_, workspace) in next.workspaces.iter() {
        for hash in &workspace.keys {
            if let Some(other) = unique.note(*hash, &workspace.id) {
                let expected = format_args!("another hash than one of workspaces/{other}");
                let path = format!("workspaces/{}.key_sha256", workspace.id);
                faults.add(path, "a hash given before", expected);
            }
        }
    }
}

/// Finds references to models and services that were deleted.
fn references(old: &Config, next: &Config, faults: &mut Faults) {
    for (_, endpoint) in next.endpoints.iter() {
        let path = |field| format!("endpoints/{}.{field}", endpoint.id);
        find_deleted(&old.models, &next.models, &endpoint.models, faults, |i| {
            path(format!("models[{i}]"))
        });
        let service = endpoint.service.as_slice();
        find_deleted(&old.services, &next.services, service, faults, |_| {
            path("service".to_owned())
        });
    }
    for (_, workspace) in next.workspaces.iter() {
        let path = |field: &str, i| format!("workspaces/{}.{field}[{i}]", workspace.id);
        find_deleted(&old.models, &next.models, &workspace.models, faults, |i| {
            path("models", i)
        });
        let services = &workspace.services;
        find_deleted(&old.services, &next.services, services, faults, |i| {
            path("services", i)
        });
    }
}

fn find_deleted<K: slotmap::Key, V>(
    old: &Arena<K, V>,
    next: &Arena<K, V>,
    keys: &[K],
    faults: &mut Faults,
    path: impl Fn(usize) -> String,
) {
    for (i, key) in keys.iter().enumerate() {
        // A null key marks a name that was refused before.
        if key.is_null() || next.get(*key).is_some() {
            continue;
        }
        let name = old.names().find(|(_, k)| k == key);
        let name = name.map_or("a deleted name", |(id, _)| id.as_str());
        faults.add(path(i), format_args!("{name:?}"), "a published name");
    }
}
