//! A fleet of routers before engines, with loads as they are and as the routers know them.

use std::collections::{
    BTreeMap,
    HashMap, //
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
        Gateway,
        Ticket,
        ask::Ask,
        endpoint::Load,
        fate::Fate, //
    },
    units::Time,
};

use crate::fixture::{
    gateway,
    prompt, //
    request,
};

/// Milliseconds until an engine answers, stating its load, and until the answer is whole.
const HEAD: u64 = 60;
/// See [`HEAD`].
const WHOLE: std::ops::Range<u64> = 150..900;
/// Milliseconds between a router's digests, each to two others.
const ROUND: u64 = 200;
/// Milliseconds that are counted, after as many that aren't.
const SPAN: u64 = 5000;

/// `Event` is what becomes of a request later.
enum Event {
    Head(usize, EndpointKey, Bytes),
    End(usize, Box<Ticket>, EndpointKey, Bytes),
}

/// `Size` is that of a fleet and of what it stands before.
#[derive(Clone, Copy, Debug)]
struct Size {
    routers: usize,
    engines: u8,
    /// Requests a millisecond.
    rate: f64,
    /// Part of them that are of one session.
    hot: f64,
}

/// `Fleet` is the routers, and the requests that each engine really has.
struct Fleet {
    size: Size,
    routers: Vec<Gateway>,
    held: HashMap<Bytes, u32>,
    later: BTreeMap<u64, Vec<Event>>,
    rng: StdRng,
}

impl Fleet {
    fn new(size: Size, seed: u64) -> Self {
        Self {
            size,
            routers: (0..size.routers).map(|_| gateway(size.engines)).collect(),
            held: HashMap::new(),
            later: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn mean(&self) -> f64 {
        f64::from(self.held.values().sum::<u32>()) / f64::from(self.size.engines)
    }

    /// Places a request; tells whether its engine was over twice the mean and three more.
    fn send(&mut self, now: u64, request: &Ask) -> bool {
        let who = self.rng.random_range(0..self.size.routers);
        let router = &mut self.routers[who];
        let at = Time(now);
        router.proved(at, at);
        let mut ticket = router.admit(at, request).expect("the request is admitted");
        let placed = router
            .place(at, &ticket, request)
            .expect("an endpoint is available");
        router.sent(at, &mut ticket, placed.endpoint);
        let engine = router
            .registry()
            .get(placed.endpoint)
            .expect("the endpoint is listed");
        let name = engine.entry.id.clone();
        let over = f64::from(self.held.get(&name).copied().unwrap_or(0)) > 2.0 * self.mean() + 3.0;
        *self.held.entry(name.clone()).or_default() += 1;
        let whole = now + self.rng.random_range(WHOLE);
        let head = Event::Head(who, placed.endpoint, name.clone());
        self.later.entry(now + HEAD).or_default().push(head);
        let end = Event::End(who, Box::new(ticket), placed.endpoint, name);
        self.later.entry(whole).or_default().push(end);
        over
    }

    fn pass(&mut self, now: u64) {
        for event in self.later.remove(&now).into_iter().flatten() {
            match event {
                Event::Head(who, endpoint, name) => {
                    let load = Load {
                        running: self.held[&name],
                        waiting: 0,
                        slots: 64,
                    };
                    self.routers[who].stated(Time(now), endpoint, load);
                }
                Event::End(who, mut ticket, endpoint, name) => {
                    *self.held.entry(name).or_default() -= 1;
                    self.routers[who].ended(Time(now), &mut ticket, endpoint, Fate::Answered);
                }
            }
        }
        for who in 0..self.size.routers {
            if (now + who as u64 * ROUND / self.size.routers as u64).is_multiple_of(ROUND) {
                self.tell(now, who);
            }
        }
    }

    /// Sends a router's digest to two others.
    fn tell(&mut self, now: u64, who: usize) {
        let (sights, _) = self.routers[who].observed(Time(now), now);
        let samples = self.routers[who].samples();
        for _ in 0..2 {
            let whom = self.rng.random_range(0..self.size.routers);
            self.routers[whom].seen(Time(now), &sights);
            self.routers[whom].sampled(Time(now), &samples);
        }
    }

    /// Sends requests for a while; gets how many were counted, and how many of these reached an engine
    /// over the multiple.
    fn play(&mut self) -> (u32, u32) {
        let (mut all, mut over) = (0, 0);
        for now in 1..2 * SPAN {
            self.pass(now);
            let mut rate = self.size.rate;
            while self.rng.random_bool(rate.clamp(0.0, 1.0)) {
                rate -= 1.0;
                let hot = self.rng.random_bool(self.size.hot);
                let parts = u64::from(self.size.engines) * 7;
                let shared = if hot {
                    7
                } else {
                    self.rng.random_range(100..100 + parts)
                };
                let asked = Ask {
                    prompt: Some(prompt(shared, now)),
                    ..request("/chat/x")
                };
                let late = self.send(now, &asked);
                if now >= SPAN {
                    all += 1;
                    over += u32::from(late);
                }
            }
        }
        (all, over)
    }
}

/// Symptom: 4.2 % of a fleet's requests reached an engine over twice the mean and three more (3 %
/// allowed). Sequence: one workspace and one of its sessions get most of the traffic, so one engine is at
/// its limit for seconds. Cause: loads of engines that get little are known too late and too high, so
/// the mean was taken a tenth too high, and the limit with it.
#[gtest]
fn verify_an_engine_that_stays_at_its_limit_is_within_the_multiple() {
    let size = Size {
        routers: 7,
        engines: 9,
        rate: 0.19,
        hot: 0.5,
    };
    for seed in 1..=5 {
        let (all, over) = Fleet::new(size, seed).play();

        expect_that!(over * 100, le(all * 3), "seed {seed}: {over} of {all}");
    }
}

/// The same where news take several rounds to reach all.
#[gtest]
fn verify_a_large_fleet_is_within_the_multiple() {
    for (seed, hot) in (1..).zip([0.0, 0.05, 0.15, 0.3]) {
        let size = Size {
            routers: 66,
            engines: 60,
            rate: 1.25,
            hot,
        };
        let (all, over) = Fleet::new(size, seed).play();

        expect_that!(over * 100, le(all * 3), "hot {hot}: {over} of {all}");
    }
}
