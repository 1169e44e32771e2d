//! All endpoints that the registry lists or has listed.

use std::cmp::Ordering;

use bytes::Bytes;
use indexmap::IndexMap;
use slotmap::SlotMap;

use crate::{
    arena::EndpointKey,
    gateway::{
        News,
        endpoint::{
            Endpoint,
            Entry,
            Fared,
            Load,
            State, //
        },
        fate::Fate,
        mesh::{
            MAX_LOADLESS,
            Sight, //
        },
    },
    ids::Tag,
    load::score,
    units::{
        Millis,
        Time, //
    },
};

/// One in so many of a service's endpoints may leave between two reads; more than that is no plan.
const LAPSED_PART: usize = 3;

/// `Registry` is the endpoints by name and by service.
#[derive(Debug, Default)]
pub struct Registry {
    slots: SlotMap<EndpointKey, Endpoint>,
    names: IndexMap<Bytes, EndpointKey>,
    tags: IndexMap<Tag, EndpointKey>,
    services: IndexMap<Bytes, Vec<EndpointKey>>,
    /// Data centres whose endpoints get nothing, and since when that is known.
    evacuated: IndexMap<Bytes, Time>,
    returned: Option<Time>,
}

impl Registry {
    /// Gets an endpoint.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.slots.get(key)
    }

    /// Lists a service's endpoints that may get work.
    pub fn of(&self, service: &[u8]) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.known(service).filter(|(_, e)| e.usable())
    }

    /// Lists a service's endpoints, also those that are leaving.
    pub fn known(&self, service: &[u8]) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        let keys = self.services.get(service).into_iter().flatten();
        keys.filter_map(|k| self.slots.get(*k).map(|e| (*k, e)))
    }

    /// Lists all endpoints that may get work.
    pub fn usable(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.slots.iter().filter(|(_, e)| e.usable())
    }

    /// Counts the endpoints that are listed.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Tells whether none is listed.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Notes that the registry is read again after it was away.
    pub fn back(&mut self, now: Time) {
        self.returned = Some(now);
    }

    /// Puts an entry in; `since` is when its endpoint came, if that is known.
    ///
    /// The life that began last counts. An entry of an earlier one came late, and changes nothing; with
    /// one of a later life the earlier one is gone. Without this, a restarted endpoint would keep the load
    /// and the leaving state of its life before, and be counted on for prompts that it has forgotten.
    pub fn put(&mut self, now: Time, since: Option<Time>, entry: Entry, news: &mut Vec<News>) {
        let known = self.names.get(&entry.id);
        let held = known.and_then(|k| self.slots.get(*k));
        let held = held.map(|e| e.entry.born);
        match held.map(|born| entry.born.cmp(&born)) {
            // Only another writer leaves out what this endpoint states: the entry names nobody.
            Some(Ordering::Less) if entry.born.is_none() => return self.drop(&entry.id, news),
            Some(Ordering::Less) => return,
            Some(Ordering::Greater) => self.drop(&entry.id, news),
            Some(Ordering::Equal) | None => {}
        }
        if let Some(key) = self.names.get(&entry.id)
            && let Some(endpoint) = self.slots.get_mut(*key)
        {
            let moved = endpoint.entry.service != entry.service;
            endpoint.evacuated = self.evacuated.get(&entry.data_center).copied();
            if endpoint.follow(entry) {
                news.push(told(endpoint));
            }
            endpoint.listed(now);
            if moved {
                self.index();
            }
            return;
        }
        let mut endpoint = Endpoint::new(since, entry);
        endpoint.evacuated = self.evacuated.get(&endpoint.entry.data_center).copied();
        endpoint.listed(now);
        news.push(told(&endpoint));
        let id = endpoint.entry.id.clone();
        let service = endpoint.entry.service.clone();
        let key = self.slots.insert(endpoint);
        self.names.insert(id, key);
        if let Some(endpoint) = self.slots.get(key) {
            self.tags.insert(endpoint.tag(), key);
        }
        self.services.entry(service).or_default().push(key);
    }

    /// Takes entries out that one read missed.
    ///
    /// Their endpoints are gone, unless the registry has just come back and a large part of a
    /// service is missing: then the entries have lapsed while nobody could renew them, and without
    /// them the service would have nobody left to serve it. They are used until `grace` after the
    /// return. A few that are missing are gone: the others carry their work meanwhile if not.
    pub fn remove(&mut self, now: Time, ids: &[Bytes], grace: Millis, news: &mut Vec<News>) {
        let returned = self.returned.filter(|at| now.since(*at) < grace);
        let emptied = self.emptied(ids);
        for id in ids {
            let lapses = returned.is_some_and(|at| self.lapse(at, id, &emptied, news));
            if !lapses {
                self.drop(id, news);
            }
        }
    }

    /// Lists the services that would lose a large part of their endpoints.
    fn emptied(&self, ids: &[Bytes]) -> Vec<Bytes> {
        let mut lost: IndexMap<&Bytes, usize> = IndexMap::new();
        for id in ids {
            let key = self.names.get(id);
            if let Some(endpoint) = key.and_then(|k| self.slots.get(*k)) {
                *lost.entry(&endpoint.entry.service).or_default() += 1;
            }
        }
        let large = |(service, count): &(&Bytes, usize)| {
            let all = self.known(service.as_ref());
            let all = all.filter(|(_, e)| e.stays_listed()).count();
            count * LAPSED_PART > all
        };
        let emptied = lost.into_iter().filter(large);
        emptied.map(|(service, _)| service.clone()).collect()
    }

    /// Gives the endpoints of a data centre nothing more, until it is restored.
    pub fn evacuate(&mut self, now: Time, data_center: Bytes, news: &mut Vec<News>) {
        if self.evacuated.contains_key(&data_center) {
            return;
        }
        self.evacuated.insert(data_center.clone(), now);
        for endpoint in self.located(&data_center) {
            endpoint.evacuated = Some(now);
        }
        news.push(News::Evacuated { data_center });
    }

    /// Ends the evacuation of a data centre. Its endpoints may have become cold meanwhile, each for the time that `cold`
    /// gives for its service.
    pub fn restore(
        &mut self,
        now: Time,
        data_center: &Bytes,
        cold: impl Fn(&Bytes) -> Millis,
        news: &mut Vec<News>,
    ) {
        if self.evacuated.shift_remove(data_center).is_none() {
            return;
        }
        for endpoint in self.located(data_center) {
            endpoint.evacuated = None;
            endpoint.doubt(now, cold(&endpoint.entry.service));
        }
        news.push(News::Restored {
            data_center: data_center.clone(),
        });
    }

    fn located(&mut self, data_center: &Bytes) -> impl Iterator<Item = &mut Endpoint> {
        let all = self.slots.values_mut();
        all.filter(|e| e.entry.data_center == *data_center)
    }

    /// Takes an endpoint out at once.
    pub fn drop(&mut self, id: &Bytes, news: &mut Vec<News>) {
        let Some(key) = self.names.swap_remove(id) else {
            return;
        };
        if let Some(mut endpoint) = self.slots.remove(key) {
            endpoint.state = State::Gone;
            news.push(told(&endpoint));
        }
        self.index();
    }

    /// Ends the grace of entries that lapsed.
    pub fn expire(&mut self, now: Time, grace: Millis, news: &mut Vec<News>) {
        let over = |e: &Endpoint| match e.state {
            State::Lapsed { returned } => now.since(returned) >= grace,
            _ => false,
        };
        let gone = self.slots.values().filter(|e| over(e));
        let gone: Vec<Bytes> = gone.map(|e| e.entry.id.clone()).collect();
        for id in gone {
            self.drop(&id, news);
        }
    }

    fn lapse(
        &mut self,
        returned: Time,
        id: &Bytes,
        emptied: &[Bytes],
        news: &mut Vec<News>,
    ) -> bool {
        let key = self.names.get(id);
        let Some(endpoint) = key.and_then(|k| self.slots.get_mut(*k)) else {
            return false;
        };
        if !emptied.contains(&endpoint.entry.service) {
            return false;
        }
        match endpoint.state {
            State::Ready => {
                endpoint.state = State::Lapsed { returned };
                news.push(told(endpoint));
                true
            }
            State::Lapsed { .. } => true,
            State::Leaving | State::Gone => false,
        }
    }

    /// Notes that a request goes out.
    pub fn sent(&mut self, now: Time, key: EndpointKey) {
        if let Some(endpoint) = self.slots.get_mut(key) {
            endpoint.sent(now);
        }
    }

    /// Notes the load that an endpoint states.
    pub fn stated(&mut self, now: Time, key: EndpointKey, load: Load) {
        if let Some(endpoint) = self.slots.get_mut(key) {
            endpoint.state_load(now, load);
        }
    }

    /// Notes how an attempt ended, and what time it took.
    pub fn ended(&mut self, now: Time, key: EndpointKey, fate: Fate, took: Millis) {
        if let Some(endpoint) = self.slots.get_mut(key) {
            endpoint.ended(now, fate, took);
        }
    }

    /// Notes that an endpoint could not be reached. Where a restart keeps its name, it may be another life that is next
    /// reached there, cold for the time that `cold` gives for its service.
    pub fn unreached(&mut self, now: Time, key: EndpointKey, cold: impl Fn(&Bytes) -> Millis) {
        if let Some(endpoint) = self.slots.get_mut(key) {
            endpoint.unreached(now);
            if endpoint.entry.born.is_some() {
                let time = cold(&endpoint.entry.service);
                endpoint.doubt(now, time);
            }
        }
    }

    /// Notes that an endpoint was not leaving at a time, by its own answer.
    pub fn confirm(&mut self, key: EndpointKey, at: Time) {
        if let Some(endpoint) = self.slots.get_mut(key) {
            endpoint.confirm(at);
        }
    }

    /// Tells how a life of an endpoint fared since a connection to it broke.
    pub fn fared(&self, life: Tag, since: Time) -> Fared {
        self.life(life).map_or(Fared::Ended, |e| e.fared(since))
    }

    /// Gets the endpoint of a life that is listed.
    pub fn life(&self, life: Tag) -> Option<&Endpoint> {
        let key = self.tags.get(&life);
        key.and_then(|k| self.slots.get(*k))
    }

    /// Lists at most `room` of the newest sights of endpoints, with a few of those that state no load; `draw`
    /// picks them.
    pub fn sights(&self, now: Time, draw: u64, room: usize) -> Vec<Sight> {
        let all = self.slots.values().filter_map(|e| e.sight(now));
        let (mut sights, mut loadless): (Vec<Sight>, Vec<Sight>) =
            all.partition(|s| s.load.is_some());
        loadless.sort_by_key(|s| score(draw, s.endpoint.into()));
        loadless.truncate(MAX_LOADLESS);
        let most = room.saturating_sub(loadless.len());
        if sights.len() > most {
            sights.sort_by_key(|s| s.age);
            sights.truncate(most);
        }
        sights.append(&mut loadless);
        sights
    }

    /// Notes what a peer knows of an endpoint. Its confirmation counts only if `timely`: not where the
    /// message may have waited here for long.
    pub fn seen(&mut self, now: Time, sight: Sight, timely: bool) {
        let key = self.tags.get(&Tag(sight.endpoint));
        if let Some(endpoint) = key.and_then(|k| self.slots.get_mut(*k)) {
            endpoint.seen(now, sight);
            if let Some(age) = sight.confirmation().filter(|_| timely) {
                endpoint.confirm_by_peer(now - age);
            }
        }
    }

    fn index(&mut self) {
        self.tags = self.slots.iter().map(|(k, e)| (e.tag(), k)).collect();
        self.services.clear();
        for (key, endpoint) in &self.slots {
            let service = endpoint.entry.service.clone();
            self.services.entry(service).or_default().push(key);
        }
    }
}

fn told(endpoint: &Endpoint) -> News {
    News::Endpoint {
        id: endpoint.entry.id.clone(),
        state: endpoint.state,
    }
}
