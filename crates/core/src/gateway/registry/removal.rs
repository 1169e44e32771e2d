//! Which endpoints stay in use after their entries are missing or incomplete, or their data centre is
//! evacuated.

use bytes::Bytes;
use indexmap::IndexMap;

use crate::{
    gateway::{
        RegistryEvent,
        endpoint::{
            Endpoint,
            State, //
        },
        registry::{
            Registry,
            state_event, //
        },
    },
    units::{
        Millis,
        Time, //
    },
};

/// If more than one in so many of a service's endpoints are missing from one read, the removal is
/// not taken for planned.
const MASS_REMOVAL_DIVISOR: usize = 3;
/// Entries without a start time are taken for those of another writer where at most one in so many of
/// a service's entries lacks it.
const UNIDENTIFIED_DIVISOR: usize = 4;

impl Registry {
    /// Removes the endpoints whose entries are missing from a read.
    ///
    /// They have left, unless the registry has just recovered from an outage and a large part of a
    /// service is missing. In that case the entries have lapsed while nobody could renew them, and
    /// without them the service would have no endpoints. Such endpoints are used until `grace`
    /// after the recovery. If only a few are missing they are removed in any case: if they have not
    /// left, the other endpoints carry their work meanwhile.
    pub fn remove(
        &mut self,
        now: Time,
        ids: &[Bytes],
        grace: Millis,
        events: &mut Vec<RegistryEvent>,
    ) {
        let recovered = self.recovered.filter(|at| now.since(*at) < grace);
        let depleted_services = self.depleted_services(ids);
        for id in ids {
            let lapsed =
                recovered.is_some_and(|at| self.mark_lapsed(at, id, &depleted_services, events));
            if !lapsed {
                self.discard(id, events);
            }
        }
    }

    /// Takes the endpoints out of use whose entries don't state the start time that nearly all others of
    /// their service state.
    ///
    /// Endpoints that state it always do, so such an entry was made by another writer. Where a service
    /// changes to software that states it, most of its endpoints do so before the others are left out.
    pub fn check_start_times(&mut self, events: &mut Vec<RegistryEvent>) {
        for keys in self.by_service.values() {
            let endpoints = keys.iter().filter_map(|key| self.endpoints.get(*key));
            let unstated = endpoints.filter(|e| e.entry.born.is_none()).count();
            let few = unstated * UNIDENTIFIED_DIVISOR <= keys.len();
            for key in keys {
                if let Some(endpoint) = self.endpoints.get_mut(*key) {
                    let unidentified = few && endpoint.entry.born.is_none();
                    let before = std::mem::replace(&mut endpoint.unidentified, unidentified);
                    if before != unidentified {
                        events.push(state_event(endpoint));
                    }
                }
            }
        }
    }

    /// Lists the services that would lose a large part of their endpoints.
    fn depleted_services(&self, ids: &[Bytes]) -> Vec<Bytes> {
        let mut lost: IndexMap<&Bytes, usize> = IndexMap::new();
        for id in ids {
            let key = self.by_name.get(id);
            if let Some(endpoint) = key.and_then(|k| self.endpoints.get(*k)) {
                *lost.entry(&endpoint.entry.service).or_default() += 1;
            }
        }
        let large = |(service, count): &(&Bytes, usize)| {
            let all = self.known(service.as_ref());
            let all = all.filter(|(_, e)| e.stays_listed()).count();
            count * MASS_REMOVAL_DIVISOR > all
        };
        let depleted_services = lost.into_iter().filter(large);
        depleted_services
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Stops new requests to the endpoints of a data centre until it is restored.
    pub fn evacuate(&mut self, now: Time, data_center: Bytes, events: &mut Vec<RegistryEvent>) {
        if self.evacuated.contains_key(&data_center) {
            return;
        }
        self.evacuated.insert(data_center.clone(), now);
        for endpoint in self.in_data_center(&data_center) {
            endpoint.evacuated = Some(now);
        }
        events.push(RegistryEvent::Evacuated { data_center });
    }

    /// Ends the evacuation of a data centre. Its endpoints may have become cold meanwhile, each for
    /// the time that `cold` returns for its service.
    pub fn restore(
        &mut self,
        now: Time,
        data_center: &Bytes,
        cold: impl Fn(&Bytes) -> Millis,
        events: &mut Vec<RegistryEvent>,
    ) {
        if self.evacuated.shift_remove(data_center).is_none() {
            return;
        }
        for endpoint in self.in_data_center(data_center) {
            endpoint.evacuated = None;
            endpoint.doubt(now, cold(&endpoint.entry.service));
        }
        events.push(RegistryEvent::Restored {
            data_center: data_center.clone(),
        });
    }

    fn in_data_center(&mut self, data_center: &Bytes) -> impl Iterator<Item = &mut Endpoint> {
        let all = self.endpoints.values_mut();
        all.filter(|e| e.entry.data_center == *data_center)
    }

    /// Removes endpoints with lapsed entries after the grace period.
    pub fn expire(&mut self, now: Time, grace: Millis, events: &mut Vec<RegistryEvent>) {
        let over = |e: &Endpoint| match e.state {
            State::Lapsed { returned } => now.since(returned) >= grace,
            _ => false,
        };
        let gone = self.endpoints.values().filter(|e| over(e));
        let gone: Vec<Bytes> = gone.map(|e| e.entry.id.clone()).collect();
        for id in gone {
            self.discard(&id, events);
        }
    }

    fn mark_lapsed(
        &mut self,
        returned: Time,
        id: &Bytes,
        depleted_services: &[Bytes],
        events: &mut Vec<RegistryEvent>,
    ) -> bool {
        let key = self.by_name.get(id);
        let Some(endpoint) = key.and_then(|k| self.endpoints.get_mut(*k)) else {
            return false;
        };
        if !depleted_services.contains(&endpoint.entry.service) {
            return false;
        }
        match endpoint.state {
            State::Ready => {
                endpoint.state = State::Lapsed { returned };
                events.push(state_event(endpoint));
                true
            }
            State::Lapsed { .. } => true,
            State::Leaving | State::Gone => false,
        }
    }
}
