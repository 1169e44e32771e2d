//! The table of endpoints that the registry lists.
//!
//! The load that it answers: entries that come late, lapse in an outage of the registry, are written by
//! others, or disappear all at once.
//!
//! - this file: the table with its indexes, and how an entry is inserted.
//! - `removal`: which endpoints stay in use after their entries are missing or their data centre is
//!   evacuated.
//! - `attempts`: what this router's own requests show of an endpoint.
//! - `reports`: what peers are told of endpoints, and report of them.

use std::{
    cmp::Ordering,
    net::SocketAddrV4, //
};

use bytes::Bytes;
use indexmap::IndexMap;
use slotmap::SlotMap;

use crate::{
    arena::EndpointKey,
    gateway::{
        RegistryEvent,
        endpoint::{
            Endpoint,
            Entry,
            Incarnation,
            Signals,
            State, //
        },
        origin::{
            Build,
            BuildHistory, //
        },
    },
    ids::Tag,
    units::{
        Millis,
        Time, //
    },
};

mod attempts;
mod removal;
mod reports;

/// `Registry` holds the endpoints, with indexes by name, tag and service.
#[derive(Debug, Default)]
pub struct Registry {
    endpoints: SlotMap<EndpointKey, Endpoint>,
    by_name: IndexMap<Bytes, EndpointKey>,
    by_tag: IndexMap<Tag, EndpointKey>,
    by_service: IndexMap<Bytes, Vec<EndpointKey>>,
    builds: BuildHistory,
    /// Signals of instances that have no entry at the moment. An entry that lapsed in an outage may
    /// come back, and may be older than the signal.
    unlisted_signals: IndexMap<Tag, Signals>,
    /// Incarnations that others with other software have replaced since the last call of [`Registry::take_replaced`].
    replaced: Vec<Incarnation>,
    /// Evacuated data centres, whose endpoints get no requests, and when the evacuation became
    /// known here.
    evacuated: IndexMap<Bytes, Time>,
    recovered: Option<Time>,
}

impl Registry {
    /// Returns an endpoint.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Tells whether an entry names an endpoint at an address.
    pub fn lists_at(&self, id: &Bytes, address: SocketAddrV4) -> bool {
        let key = self.by_name.get(id);
        let endpoint = key.and_then(|k| self.endpoints.get(*k));
        endpoint.is_some_and(|e| e.entry.address == address)
    }

    /// Lists a service's endpoints that may get requests.
    pub fn of(&self, service: &[u8]) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.known(service).filter(|(_, e)| e.usable())
    }

    /// Lists a service's endpoints, including those that are leaving.
    pub fn known(&self, service: &[u8]) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        let keys = self.by_service.get(service).into_iter().flatten();
        let listed = keys.filter_map(|k| self.endpoints.get(*k).map(|e| (*k, e)));
        listed.filter(|(_, e)| !e.unidentified)
    }

    /// Gets the software versions of each service.
    pub fn builds(&self) -> &BuildHistory {
        &self.builds
    }

    /// Forgets software versions that have left longer than `retention` ago.
    pub fn expire_builds(&mut self, now: Time, retention: Millis) {
        self.builds.expire(now, retention);
    }

    /// Lists all endpoints that may get requests.
    pub fn usable(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints.iter().filter(|(_, e)| e.usable())
    }

    /// Counts the listed endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Counts the instances without an entry whose signals are kept.
    pub fn unlisted_signals(&self) -> usize {
        self.unlisted_signals.len()
    }

    /// Tells whether no endpoint is listed.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Records that the registry can be read again after an outage.
    pub fn registry_recovered(&mut self, now: Time) {
        self.recovered = Some(now);
    }

    /// Inserts or updates an endpoint from its entry; `since` is when the endpoint joined, if that
    /// is known.
    ///
    /// The newest incarnation counts. An entry of an earlier incarnation came late and is ignored;
    /// an entry of a later one removes the earlier one. Otherwise a restarted endpoint would keep
    /// the load and the leaving state of its previous incarnation, and would be expected to hold
    /// prompts that it has lost.
    pub fn put(
        &mut self,
        now: Time,
        since: Option<Time>,
        entry: Entry,
        events: &mut Vec<RegistryEvent>,
    ) {
        let known = self.by_name.get(&entry.id);
        let endpoint = known.and_then(|k| self.endpoints.get(*k));
        let known_start = endpoint.map(|e| e.entry.born);
        match known_start.map(|born| entry.born.cmp(&born)) {
            // An endpoint always states its start time. An entry without one is from another writer
            // and identifies no incarnation.
            Some(Ordering::Less) if entry.born.is_none() => return self.discard(&entry.id, events),
            Some(Ordering::Less) => return,
            Some(Ordering::Greater) => self.replace(&entry, events),
            Some(Ordering::Equal) | None => {}
        }
        // Another service, software version or address is that of another process. Requests that reached another endpoint
        // at the address of another writer's entry say nothing of the endpoint.
        let known = self.by_name.get(&entry.id);
        let known = known.and_then(|k| self.endpoints.get(*k));
        let is_other = |e: &Endpoint| {
            e.build != Build::of(&entry.service, &entry.build) || e.entry.address != entry.address
        };
        if known.is_some_and(is_other) {
            self.replace(&entry, events);
        }
        if let Some(key) = self.by_name.get(&entry.id)
            && let Some(endpoint) = self.endpoints.get_mut(*key)
        {
            endpoint.evacuated = self.evacuated.get(&entry.data_center).copied();
            if endpoint.update_entry(entry) {
                events.push(state_event(endpoint));
            }
            endpoint.update_cold_until(now);
            return;
        }
        let mut endpoint = Endpoint::new(since, entry);
        endpoint.evacuated = self.evacuated.get(&endpoint.entry.data_center).copied();
        endpoint.update_cold_until(now);
        if let Some(signals) = self.unlisted_signals.shift_remove(&endpoint.tag()) {
            endpoint.restore_signals(signals);
        }
        events.push(state_event(&endpoint));
        let id = endpoint.entry.id.clone();
        let service = endpoint.entry.service.clone();
        self.builds
            .add(&service, endpoint.build, &endpoint.entry.build);
        let key = self.endpoints.insert(endpoint);
        self.by_name.insert(id, key);
        if let Some(endpoint) = self.endpoints.get(key) {
            self.by_tag.insert(endpoint.tag(), key);
        }
        self.by_service.entry(service).or_default().push(key);
    }

    /// Removes the incarnation that the one of an entry has replaced.
    fn replace(&mut self, entry: &Entry, events: &mut Vec<RegistryEvent>) {
        let known = self.by_name.get(&entry.id);
        let known = known.and_then(|k| self.endpoints.get(*k));
        let other = Build::of(&entry.service, &entry.build);
        let replaced = known.filter(|e| e.build != other);
        self.replaced.extend(replaced.map(Endpoint::incarnation));
        self.discard(&entry.id, events);
    }

    /// Takes the incarnations that others with other software have replaced under their names.
    pub fn take_replaced(&mut self) -> Vec<Incarnation> {
        std::mem::take(&mut self.replaced)
    }

    /// Removes an endpoint immediately.
    pub fn discard(&mut self, id: &Bytes, events: &mut Vec<RegistryEvent>) {
        let Some(key) = self.by_name.swap_remove(id) else {
            return;
        };
        if let Some(mut endpoint) = self.endpoints.remove(key) {
            self.builds.remove(&endpoint.entry.service, endpoint.build);
            if endpoint.signals != Signals::default() {
                self.keep_unlisted(endpoint.tag(), endpoint.signals);
            }
            endpoint.state = State::Gone;
            events.push(state_event(&endpoint));
        }
        self.rebuild_indexes();
    }

    /// Returns the endpoint of a listed incarnation.
    pub fn life(&self, life: Tag) -> Option<&Endpoint> {
        let key = self.by_tag.get(&life);
        key.and_then(|k| self.endpoints.get(*k))
    }

    /// Returns the key of a listed incarnation.
    pub fn key_of(&self, life: Tag) -> Option<EndpointKey> {
        self.by_tag.get(&life).copied()
    }

    fn rebuild_indexes(&mut self) {
        self.by_tag = self.endpoints.iter().map(|(k, e)| (e.tag(), k)).collect();
        self.by_service.clear();
        for (key, endpoint) in &self.endpoints {
            let service = endpoint.entry.service.clone();
            self.by_service.entry(service).or_default().push(key);
        }
    }
}

fn state_event(endpoint: &Endpoint) -> RegistryEvent {
    RegistryEvent::Endpoint {
        id: endpoint.entry.id.clone(),
        state: if endpoint.unidentified {
            State::Gone
        } else {
            endpoint.state
        },
    }
}
