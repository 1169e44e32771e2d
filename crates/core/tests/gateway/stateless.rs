//! Many routers before a few endpoints that state no load: slots with a queue, whose answers show how busy they are.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    ops::Range,
};

use bytes::Bytes;
use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Change,
        Gateway,
        Ticket,
        endpoint::Entry,
        outcome::AttemptOutcome, //
    },
    units::Time,
};
use toucanturn_judge::multiple::{
    Change as LoadChange,
    Note,
    Window,
    arrivals,
    calm_windows,
    worst, //
};

use crate::fixture::{
    bounds,
    catalog_change,
    entry,
    request, //
};

/// Endpoints, and the requests that each runs at once.
const ENDPOINTS: u8 = 6;
const SLOTS: usize = 6;
/// Requests that wait at an endpoint; further ones are turned away.
const QUEUE: usize = 24;
/// Milliseconds that a request takes.
const WORK_MS: Range<u64> = 18..102;
/// Requests in a millisecond.
const REQUESTS_PER_MS: f64 = 0.29;
/// When the change comes, and when the play ends, in milliseconds.
const CHANGE_MS: u64 = 8000;
const END_MS: u64 = 14_000;
/// Milliseconds between two reads of the registry.
const READ_MS: u64 = 500;

/// `Sent` is a request at an endpoint.
struct Sent {
    router: usize,
    ticket: Ticket,
    key: EndpointKey,
}

/// `Pool` is an endpoint's slots and queue.
#[derive(Default)]
struct Pool {
    running: usize,
    queue: VecDeque<Sent>,
}

/// `Fleet` is the routers and the endpoints.
struct Fleet {
    routers: Vec<Gateway>,
    pools: Vec<Pool>,
    ends: BTreeMap<u64, Vec<(usize, Sent)>>,
    notes: Vec<Note>,
    rng: StdRng,
}

impl Fleet {
    fn new(routers: usize, endpoints: u8, seed: u64) -> Self {
        let router = |n| {
            let mut gateway = Gateway::new(bounds(), n + 1);
            let mut changes = vec![catalog_change(1)];
            changes.extend((0..endpoints).map(|n| Change::Entry(in_own_data_center(n))));
            gateway.record_registry_read(Time(0), Time(0));
            gateway.apply_changes(Time(0), changes);
            gateway
        };
        Self {
            routers: (0..routers as u64).map(router).collect(),
            pools: (0..ENDPOINTS).map(|_| Pool::default()).collect(),
            ends: BTreeMap::new(),
            notes: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn note(&mut self, at: u64, endpoint: usize, change: LoadChange) {
        self.notes.push(Note {
            at,
            endpoint,
            change,
            counts: true,
        });
    }

    fn send(&mut self, now: u64) {
        let index = self.rng.random_range(0..self.routers.len());
        let router = &mut self.routers[index];
        let at = Time(now);
        let request = request("/once/x");
        let mut ticket = router.admit(at, &request).expect("the request is admitted");
        let placed = router.place(at, &ticket, &request);
        let key = placed.expect("an endpoint is available").endpoint;
        router.sent(at, &mut ticket, key);
        let endpoint = router.registry().get(key).expect("it is listed");
        let number = usize::from(endpoint.entry.address.ip().octets()[3]);
        let sent = Sent {
            router: index,
            ticket,
            key,
        };
        if self.pools[number].queue.len() >= QUEUE {
            self.note(now, number, LoadChange::Rejected);
            return self.answer(now, sent, AttemptOutcome::Rejected);
        }
        self.note(now, number, LoadChange::Accepted);
        self.pools[number].queue.push_back(sent);
    }

    fn answer(&mut self, now: u64, mut sent: Sent, outcome: AttemptOutcome) {
        let router = &mut self.routers[sent.router];
        router.ended(Time(now), &mut sent.ticket, sent.key, outcome);
    }

    fn work(&mut self, now: u64) {
        for (number, sent) in self.ends.remove(&now).into_iter().flatten() {
            self.pools[number].running -= 1;
            self.note(now, number, LoadChange::Ended);
            self.answer(now, sent, AttemptOutcome::Answered);
        }
        for number in 0..self.pools.len() {
            while self.pools[number].running < SLOTS
                && let Some(sent) = self.pools[number].queue.pop_front()
            {
                self.pools[number].running += 1;
                let end = now + self.rng.random_range(WORK_MS);
                self.ends.entry(end).or_default().push((number, sent));
            }
        }
    }

    /// Plays requests, and a change of the registry that all routers read within half a second; returns the worst five
    /// seconds after it.
    fn play(&mut self, change: &Change) -> Window {
        let routers = self.routers.len() as u64;
        for now in 1..END_MS {
            for index in 0..self.routers.len() {
                let reads = (now + index as u64 * READ_MS / routers).is_multiple_of(READ_MS);
                let news = reads && (CHANGE_MS..CHANGE_MS + READ_MS).contains(&now);
                let router = &mut self.routers[index];
                if reads {
                    router.record_registry_read(Time(now), Time(now));
                }
                if news {
                    router.apply_changes(Time(now), vec![change.clone()]);
                }
            }
            self.work(now);
            if self.rng.random_bool(REQUESTS_PER_MS) {
                self.send(now);
            }
        }
        let up = (0..self.pools.len()).map(|n| (n, 0..u64::MAX)).collect();
        let arrivals = arrivals(&self.notes, &up);
        let windows = calm_windows(&arrivals, std::slice::from_ref(&(0..CHANGE_MS)));
        worst(&windows).expect("the play has windows after the change")
    }
}

/// Gets the entry of an endpoint that is alone in its data centre.
fn in_own_data_center(number: u8) -> Entry {
    Entry {
        data_center: Bytes::from(format!("dc-{number}")),
        ..entry(number)
    }
}

/// Guards against routers that take an endpoint of which they know nothing for the fastest, all at once.
#[gtest]
fn verify_an_endpoint_that_joins_is_within_the_multiple() {
    for (routers, seed) in [(7, 1), (86, 1), (86, 2), (295, 1)] {
        let joins = Change::Entry(in_own_data_center(ENDPOINTS - 1));
        let window = Fleet::new(routers, ENDPOINTS - 1, seed).play(&joins);

        expect_that!(window.is_broken(), eq(false), "{routers}: {window:?}");
    }
}

/// Guards against the same where the data centre of a known endpoint is restored.
#[gtest]
fn verify_an_endpoint_of_a_restored_data_center_is_within_the_multiple() {
    for (routers, seed) in [(7, 1), (86, 1), (86, 2), (295, 1)] {
        let name = Bytes::from_static(b"dc-3");
        let mut fleet = Fleet::new(routers, ENDPOINTS, seed);
        for router in &mut fleet.routers {
            router.apply_changes(Time(0), vec![Change::Evacuated(name.clone())]);
        }
        let window = fleet.play(&Change::Restored(name));

        expect_that!(window.is_broken(), eq(false), "{routers}: {window:?}");
    }
}
