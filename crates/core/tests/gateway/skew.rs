//! Simulates a fleet of routers and engines, whose real loads differ from those that the routers know.

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
        endpoint::Load,
        incoming_request::IncomingRequest,
        outcome::AttemptOutcome, //
    },
    units::Time,
};

use crate::fixture::{
    gateway_with_seed,
    prompt,
    request, //
};

/// Time until an engine sends the head of its answer, which states its load.
const HEAD_MS: u64 = 60;
/// Time until the answer is complete.
const ANSWER_MS: std::ops::Range<u64> = 150..900;
/// Time between a router's digests, each to two others.
const DIGEST_INTERVAL_MS: u64 = 200;
/// Measured time, after a warm-up of the same length.
const MEASURED_MS: u64 = 5000;

/// `Event` is a later event of a request: the head or the end of its answer.
enum Event {
    Head(usize, EndpointKey, Bytes),
    End(usize, Box<Ticket>, EndpointKey, Bytes),
}

/// `Size` is the size of a fleet and its traffic.
#[derive(Clone, Copy, Debug)]
struct Size {
    routers: usize,
    engines: u8,
    /// Requests per millisecond.
    requests_per_ms: f64,
    /// Share of them that belongs to one session.
    hot_share: f64,
    /// Whether requests have prompts.
    prompts: bool,
}

/// `Fleet` is the routers, and the real number of requests in progress at each engine.
struct Fleet {
    size: Size,
    routers: Vec<Gateway>,
    in_progress: HashMap<Bytes, u32>,
    scheduled: BTreeMap<u64, Vec<Event>>,
    rng: StdRng,
}

impl Fleet {
    fn new(size: Size, seed: u64) -> Self {
        Self {
            size,
            routers: (0..size.routers)
                .map(|n| {
                    let mut router = gateway_with_seed(size.engines, n as u64 + 1);
                    router.fleet(Time(0), u32::try_from(size.routers).unwrap_or(u32::MAX));
                    router
                })
                .collect(),
            in_progress: HashMap::new(),
            scheduled: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn mean(&self) -> f64 {
        f64::from(self.in_progress.values().sum::<u32>()) / f64::from(self.size.engines)
    }

    /// Places a request; returns whether its engine was over twice the mean load plus three.
    fn send(&mut self, now: u64, request: &IncomingRequest) -> bool {
        let index = self.rng.random_range(0..self.size.routers);
        let router = &mut self.routers[index];
        let at = Time(now);
        router.record_registry_read(at, at);
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
        let over =
            f64::from(self.in_progress.get(&name).copied().unwrap_or(0)) > 2.0 * self.mean() + 3.0;
        *self.in_progress.entry(name.clone()).or_default() += 1;
        let answer_end = now + self.rng.random_range(ANSWER_MS);
        let head = Event::Head(index, placed.endpoint, name.clone());
        self.scheduled.entry(now + HEAD_MS).or_default().push(head);
        let end = Event::End(index, Box::new(ticket), placed.endpoint, name);
        self.scheduled.entry(answer_end).or_default().push(end);
        over
    }

    fn process_events(&mut self, now: u64) {
        for event in self.scheduled.remove(&now).into_iter().flatten() {
            match event {
                Event::Head(index, endpoint, name) => {
                    let load = Load {
                        running: self.in_progress[&name],
                        waiting: 0,
                        slots: 64,
                        slowdown: None,
                    };
                    self.routers[index].record_load(Time(now), endpoint, load);
                }
                Event::End(index, mut ticket, endpoint, name) => {
                    *self.in_progress.entry(name).or_default() -= 1;
                    self.routers[index].ended(
                        Time(now),
                        &mut ticket,
                        endpoint,
                        AttemptOutcome::Answered,
                    );
                }
            }
        }
        for index in 0..self.size.routers {
            if (now + index as u64 * DIGEST_INTERVAL_MS / self.size.routers as u64)
                .is_multiple_of(DIGEST_INTERVAL_MS)
            {
                self.send_digest(now, index);
            }
        }
    }

    /// Sends a router's digest to two others.
    fn send_digest(&mut self, now: u64, index: usize) {
        let reports = self.routers[index].digest_contents(Time(now), now).reports;
        let samples = self.routers[index].samples();
        for _ in 0..2 {
            let receiver = self.rng.random_range(0..self.size.routers);
            self.routers[receiver].record_peer_report(Time(now), &reports);
            self.routers[receiver].record_peer_samples(Time(now), &samples);
        }
    }

    /// Runs the simulation; returns the number of measured requests, and how many of them reached an engine
    /// over the multiple.
    fn run(&mut self) -> (u32, u32) {
        let (mut all, mut over) = (0, 0);
        for now in 1..2 * MEASURED_MS {
            self.process_events(now);
            let mut due = self.size.requests_per_ms;
            while self.rng.random_bool(due.clamp(0.0, 1.0)) {
                due -= 1.0;
                let hot = self.rng.random_bool(self.size.hot_share);
                let parts = u64::from(self.size.engines) * 7;
                let shared = if hot {
                    7
                } else {
                    self.rng.random_range(100..100 + parts)
                };
                let request = IncomingRequest {
                    prompt: self.size.prompts.then(|| prompt(shared, now)),
                    ..request("/chat/x")
                };
                let overloaded = self.send(now, &request);
                if now >= MEASURED_MS {
                    all += 1;
                    over += u32::from(overloaded);
                }
            }
        }
        (all, over)
    }
}

/// Guards against a limit that is too high: with most of the traffic from one session of one workspace, one
/// engine stays at its limit for seconds. Loads of engines with few requests were known too late and too high,
/// so the mean and the limit were a tenth too high, and 4.2 % of the requests (3 % are allowed) reached an
/// engine over twice the mean plus three.
#[gtest]
fn verify_an_engine_that_stays_at_its_limit_is_within_the_multiple() {
    let size = Size {
        routers: 7,
        engines: 9,
        requests_per_ms: 0.19,
        hot_share: 0.5,
        prompts: true,
    };
    for seed in 1..=5 {
        let (all, over) = Fleet::new(size, seed).run();

        expect_that!(over * 100, le(all * 3), "seed {seed}: {over} of {all}");
    }
}

/// The same in a fleet so large that digests take several rounds to reach all routers.
#[gtest]
fn verify_a_large_fleet_is_within_the_multiple() {
    for (seed, hot_share) in (1..).zip([0.0, 0.05, 0.15, 0.3]) {
        let size = Size {
            routers: 66,
            engines: 60,
            requests_per_ms: 1.25,
            hot_share,
            prompts: true,
        };
        let (all, over) = Fleet::new(size, seed).run();

        expect_that!(
            over * 100,
            le(all * 3),
            "hot share {hot_share}: {over} of {all}"
        );
    }
}

/// Guards against routers that all choose the engine that was the least loaded when they last heard of it.
#[gtest]
fn verify_requests_without_a_prompt_are_within_the_multiple() {
    for (routers, engines, requests_per_ms) in [(7, 9, 0.05), (66, 60, 0.5), (66, 60, 1.25)] {
        let size = Size {
            routers,
            engines,
            requests_per_ms,
            hot_share: 0.0,
            prompts: false,
        };
        let (all, over) = Fleet::new(size, 1).run();

        expect_that!(over * 100, le(all * 3), "{size:?}: {over} of {all}");
    }
}
