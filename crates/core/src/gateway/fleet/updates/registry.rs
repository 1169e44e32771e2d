//! The changes of the registry, and when it was last read.

use std::sync::Arc;

use bytes::Bytes;

use crate::{
    gateway::{
        Gateway,
        catalog::Catalog,
        endpoint::{
            self,
            Entry, //
        },
    },
    units::{
        Millis,
        Time, //
    },
};

/// `Change` is one change of the registry.
#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration was published.
    Catalog(Box<Catalog>),
    /// The published configuration can't be read: its keys and routes are unknown.
    UnreadableCatalog,
    /// An endpoint's entry was added or changed.
    Entry(Entry),
    /// An endpoint's entry was removed.
    Removed(Bytes),
    /// An endpoint's entry can't be decoded: another program has written to its key, and the entry
    /// identifies no endpoint.
    Unreadable(Bytes),
    /// A data centre is evacuated: its endpoints get no more requests.
    Evacuated(Bytes),
    /// The evacuation of a data centre has ended: its endpoints may get requests again.
    Restored(Bytes),
}

/// `RegistryEvent` is the effect of a registry change, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryEvent {
    /// A configuration came into force.
    Applied {
        /// Its version.
        version: u64,
    },
    /// A configuration was rejected because one with a higher version is in force, which the registry
    /// no longer holds.
    Older {
        /// Its version.
        version: u64,
        /// Version in force.
        held: u64,
    },
    /// The state of an endpoint changed.
    Endpoint {
        /// Its name.
        id: Bytes,
        /// The new state.
        state: endpoint::State,
    },
    /// The time for which an endpoint wanted no requests has ended.
    BackOffEnded {
        /// Its name.
        id: Bytes,
    },
    /// A data centre is evacuated: its endpoints get no more requests.
    Evacuated {
        /// Its name.
        data_center: Bytes,
    },
    /// The evacuation of a data centre has ended: its endpoints may get requests again.
    Restored {
        /// Its name.
        data_center: Bytes,
    },
    /// This router reaches no endpoint of a service.
    Unreached {
        /// Name of the service.
        service: Bytes,
        /// Time since one of its endpoints was last heard from; `None` if none ever was.
        silent: Option<Millis>,
    },
    /// This router reaches an endpoint of a service again.
    Reached {
        /// Name of the service.
        service: Bytes,
        /// Time for which it was not reached.
        after: Millis,
    },
}

impl Gateway {
    /// Notes a registry read that was sent at `sent` and returned the newest state; the changes
    /// that it found follow. If the registry had not answered for long before `sent`, it counts as
    /// returned from an outage.
    ///
    /// The time is counted up to the sending, because a read that itself took long shows no outage,
    /// and without the time in which this process was suspended and could not ask.
    pub fn record_registry_read(&mut self, now: Time, sent: Time) {
        let answered = self.proof.answered();
        let asked = |last: Time| {
            let suspended = self.suspended_within(last, sent);
            Millis(sent.since(last).0.saturating_sub(suspended.0))
        };
        if answered.is_some_and(|last| asked(last) >= self.bounds.outage_threshold) {
            self.registry.registry_recovered(now);
        }
        self.proof.renew(sent);
    }

    /// Notes that the answer to a call sent at `sent` shows that the registry holds newer state
    /// than what is known.
    pub fn record_newer_state(&mut self, sent: Time) {
        self.proof.record_newer_state(sent);
    }

    /// Applies the changes that one registry read found.
    pub fn apply_changes(&mut self, now: Time, changes: Vec<Change>) -> Vec<RegistryEvent> {
        let mut events = Vec::new();
        let mut removed = Vec::new();
        // Endpoints listed by the first read have been there before this router started.
        let since = (!self.registry.is_empty()).then_some(now);
        for change in changes {
            match change {
                Change::Catalog(catalog) => self.publish(now, *catalog, &mut events),
                Change::UnreadableCatalog => self.proof.record_unreadable_configuration(),
                Change::Entry(entry) => {
                    // The entry was added again before this read ended.
                    removed.retain(|id| *id != entry.id);
                    self.registry.put(now, since, entry, &mut events);
                }
                Change::Removed(id) => removed.push(id),
                Change::Unreadable(id) => self.registry.discard(&id, &mut events),
                Change::Evacuated(name) => self.registry.evacuate(now, name, &mut events),
                Change::Restored(name) => {
                    let cold = warmup_time(self.catalog.as_ref());
                    self.registry.restore(now, &name, cold, &mut events);
                }
            }
        }
        let grace = self.bounds.lapse_grace;
        self.registry.remove(now, &removed, grace, &mut events);
        self.registry.check_start_times(&mut events);
        self.record_replaced(now);
        events
    }

    fn publish(&mut self, now: Time, catalog: Catalog, events: &mut Vec<RegistryEvent>) {
        let version = catalog.version;
        match &self.catalog {
            Some(held) if held.version > version => {
                // The registry no longer holds the one in force: a key of that one may be taken away.
                self.proof.record_unreadable_configuration();
                events.push(RegistryEvent::Older {
                    version,
                    held: held.version,
                });
            }
            Some(held) if held.version == version && held.secret == catalog.secret => {
                self.proof.record_readable_configuration();
            }
            _ => {
                self.proof.record_readable_configuration();
                self.hot_spots
                    .retain(|name, _| catalog.service(name).is_some());
                self.reach.retain(|name| catalog.service(name).is_some());
                self.brittleness
                    .retain(|name| catalog.service(name).is_some());
                // Samples name services by their indices in the previous configuration.
                self.samples.clear();
                self.waiting
                    .retain(|service| catalog.service(service).is_some());
                self.record_moved_routes(now, &catalog);
                self.catalog = Some(Arc::new(catalog));
                self.update_stream_life(now);
                events.push(RegistryEvent::Applied { version });
            }
        }
    }
}

/// Gets for how long an endpoint of a service stays cold after its start, by the configuration.
pub(in crate::gateway) fn warmup_time(catalog: Option<&Arc<Catalog>>) -> impl Fn(&Bytes) -> Millis {
    move |service| {
        let service = catalog.and_then(|c| c.service(service));
        let rate = service.and_then(|s| s.warmup);
        rate.map_or(Millis(0), |r| r.time)
    }
}
