//! The table of endpoints that the registry lists.

use std::cmp::Ordering;

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
            Liveness,
            Load,
            Signal,
            Signals,
            State, //
        },
        mesh::{
            BackOffReport,
            EndpointReport,
            MAX_BACK_OFFS,
            MAX_PEER_BACK_OFF,
            MAX_REPORTS_WITHOUT_LOAD, //
        },
        origin::{
            Build,
            BuildHistory, //
        },
        outcome::AttemptOutcome,
    },
    ids::Tag,
    load::score,
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
/// Limit of the instances without an entry whose signals are kept; beyond it the one that lost its
/// entry first is evicted.
const MAX_UNLISTED_SIGNALS: usize = 1024;

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
            Some(Ordering::Greater) => self.discard(&entry.id, events),
            Some(Ordering::Equal) | None => {}
        }
        // Another service or software version is that of another process.
        let known = self.by_name.get(&entry.id);
        let known = known.and_then(|k| self.endpoints.get(*k));
        if known.is_some_and(|e| e.build != Build::of(&entry.service, &entry.build)) {
            self.discard(&entry.id, events);
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

    /// Records that a request is sent to an endpoint.
    pub fn sent(&mut self, now: Time, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.sent(now);
        }
    }

    /// Records that a connection to an endpoint is begun, or that it is no longer being opened.
    pub(super) fn count_opening(&mut self, key: EndpointKey, change: i32) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.own_opening = endpoint.own_opening.saturating_add_signed(change);
        }
    }

    /// Records the load that an endpoint states.
    pub fn record_load(&mut self, now: Time, key: EndpointKey, load: Load) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_load(now, load);
        }
    }

    /// Records that a stream is sent to an endpoint, whose answer begins with its first event.
    pub fn sent_stream(&mut self, now: Time, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.waits.sent(now);
        }
    }

    /// Records how long a request waited at an endpoint before its answer began.
    pub fn record_delay(&mut self, now: Time, key: EndpointKey, delay: Millis) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.waits.begun(now, now - delay);
            endpoint.record_delay(now, delay);
        }
    }

    /// Records how an attempt ended and how long it took.
    pub fn ended(&mut self, now: Time, key: EndpointKey, outcome: AttemptOutcome, took: Millis) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.ended(now, outcome, took);
        }
    }

    /// Records that an endpoint could not be reached. Where a restarted endpoint keeps its name,
    /// the next connection may reach a new incarnation that is cold for the time that `cold`
    /// returns for its service.
    pub fn unreached(&mut self, now: Time, key: EndpointKey, cold: impl Fn(&Bytes) -> Millis) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_unreached(now);
            if endpoint.entry.born.is_some() {
                let time = cold(&endpoint.entry.service);
                endpoint.doubt(now, time);
            }
        }
    }

    /// Records that an endpoint was not leaving at a time, according to its own answer.
    pub fn confirm(&mut self, key: EndpointKey, at: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.confirm(at);
        }
    }

    /// Records what an instance said of itself in an answer; returns whether that is news.
    pub fn record_signal(&mut self, now: Time, life: Tag, signal: Signal) -> bool {
        let key = self.by_tag.get(&life);
        if let Some(endpoint) = key.and_then(|k| self.endpoints.get_mut(*k)) {
            return endpoint.record_signal(now, signal);
        }
        let mut signals = self
            .unlisted_signals
            .get(&life)
            .copied()
            .unwrap_or_default();
        let news = signals.record(now, signal);
        self.keep_unlisted(life, signals);
        news
    }

    /// Keeps the signals of an instance that has no entry.
    fn keep_unlisted(&mut self, life: Tag, signals: Signals) {
        self.unlisted_signals.insert(life, signals);
        if self.unlisted_signals.len() > MAX_UNLISTED_SIGNALS {
            self.unlisted_signals.shift_remove_index(0);
        }
    }

    /// Lists endpoints that have asked this router for a back-off, for its peers; `draw` picks them.
    pub fn back_offs(&self, now: Time, draw: u64) -> Vec<BackOffReport> {
        let report = |e: &Endpoint| BackOffReport {
            endpoint: e.tag().0,
            left: Millis(e.back_off(now).0.min(MAX_PEER_BACK_OFF.0)),
        };
        let all = self.endpoints.values().filter(|e| e.backing_off(now));
        let mut reports: Vec<BackOffReport> = all.map(report).collect();
        if reports.len() > MAX_BACK_OFFS {
            reports.sort_by_key(|r| score(draw, r.endpoint.into()));
            reports.truncate(MAX_BACK_OFFS);
        }
        reports
    }

    /// Applies a peer's report of a back-off.
    pub fn record_peer_back_off(&mut self, now: Time, report: BackOffReport) {
        let key = self.by_tag.get(&Tag(report.endpoint));
        if let Some(endpoint) = key.and_then(|k| self.endpoints.get_mut(*k)) {
            endpoint.record_peer_back_off(now, report.left);
        }
    }

    /// Ends the back-offs whose time has passed.
    pub fn end_back_offs(&mut self, now: Time, events: &mut Vec<RegistryEvent>) {
        for endpoint in self.endpoints.values_mut() {
            if endpoint.end_back_off(now) {
                let id = endpoint.entry.id.clone();
                events.push(RegistryEvent::BackOffEnded { id });
            }
        }
    }

    /// Tells whether an incarnation of an endpoint has answered or ended since a connection to it
    /// broke.
    pub fn liveness_since(&self, life: Tag, since: Time) -> Liveness {
        self.life(life)
            .map_or(Liveness::Dead, |e| e.liveness_since(since))
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

    /// Ends the pauses of a service's endpoints that peers have reached since this router could not.
    pub fn end_pauses_if_peers_reach(&mut self, now: Time, service: &[u8]) {
        for key in self.by_service.get(service).into_iter().flatten() {
            if let Some(endpoint) = self.endpoints.get_mut(*key) {
                endpoint.end_pause_if_peers_reach(now);
            }
        }
    }

    /// Lists at most `room` of the newest endpoint reports, including a few without a load; `draw`
    /// picks these.
    pub fn reports(&self, now: Time, draw: u64, room: usize) -> Vec<EndpointReport> {
        let all = self.endpoints.values().filter_map(|e| e.report(now));
        let (mut reports, mut without_load): (Vec<EndpointReport>, Vec<EndpointReport>) =
            all.partition(|s| s.load.is_some());
        without_load.sort_by_key(|s| score(draw, s.endpoint.into()));
        without_load.truncate(MAX_REPORTS_WITHOUT_LOAD);
        let most = room.saturating_sub(without_load.len());
        if reports.len() > most {
            reports.sort_by_key(|s| s.age);
            reports.truncate(most);
        }
        reports.append(&mut without_load);
        reports
    }

    /// Lists the longest waits of unanswered requests.
    pub fn wait_reports(&self, now: Time, room: usize) -> Vec<EndpointReport> {
        let all = self.endpoints.values().filter_map(|e| e.wait_report(now));
        let mut reports: Vec<EndpointReport> = all.collect();
        reports.sort_by_key(|r| std::cmp::Reverse(r.delay));
        reports.truncate(room);
        reports
    }

    /// Applies a peer's report of an endpoint. Its confirmation counts only if `timely`: not where
    /// the message may have waited here for long.
    pub fn record_peer_report(&mut self, now: Time, report: EndpointReport, timely: bool) {
        let key = self.by_tag.get(&Tag(report.endpoint));
        if let Some(endpoint) = key.and_then(|k| self.endpoints.get_mut(*k)) {
            endpoint.record_peer_report(now, report);
            if let Some(age) = report.confirmation_age().filter(|_| timely) {
                endpoint.confirm_by_peer(now - age);
            }
        }
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
