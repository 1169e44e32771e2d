//! What cold endpoints get from all routers together.

use std::collections::VecDeque;

use bytes::Bytes;
use googletest::prelude::*;
use proptest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use slotmap::SlotMap;
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Change, Gateway,
        catalog::Catalog,
        endpoint::Entry,
        refusal::Cause,
        warmup::{
            Cold,
            Fleet,
            Rate,
            Warmup, //
        },
    },
    load::score,
    units::{
        Millis,
        Permille,
        Time,
        Wall, //
    },
};

use crate::fixture::{
    bounds,
    entry,
    raw_catalog, //
    request,
};

const BOUND: u32 = 26;
/// Time between two rounds of digests.
const STEP: u64 = 100;

/// One router of a fleet under demand without end.
struct Router {
    warmup: Warmup,
    tag: u64,
    side: usize,
    /// How much of its side it has heard of.
    heard: usize,
    paused_until: u64,
}

/// How fast routers hear of each other after a start.
#[derive(Clone, Copy)]
enum Pace {
    /// Twice as many after each round.
    Usual,
    /// One more after each round.
    Slow,
}

/// A fleet before one cold endpoint.
struct World {
    pace: Pace,
    routers: Vec<Router>,
    cold: Cold,
    now: u64,
    arrivals: VecDeque<u64>,
    most: usize,
    all: usize,
}

impl World {
    fn new(count: usize, bound: u32, seed: u64) -> Self {
        let mut keys: SlotMap<EndpointKey, ()> = SlotMap::with_key();
        let router = |n: usize| Router {
            warmup: Warmup::default(),
            tag: score(7, n as u64),
            side: 0,
            heard: 0,
            paused_until: 0,
        };
        Self {
            pace: Pace::Usual,
            routers: (0..count).map(router).collect(),
            cold: Cold {
                key: keys.insert(()),
                seed,
                bound,
            },
            now: 0,
            arrivals: VecDeque::new(),
            most: 0,
            all: 0,
        }
    }

    /// Goes on by a round: each router that runs hears a part of its side, and sends all that it may.
    fn step(&mut self) {
        self.now += STEP;
        let sides: Vec<(usize, u64)> = self.routers.iter().map(|r| (r.side, r.tag)).collect();
        let now = Time(self.now);
        for router in &mut self.routers {
            if self.now < router.paused_until {
                continue;
            }
            let more = match self.pace {
                Pace::Usual => router.heard + 1,
                Pace::Slow => 1,
            };
            router.heard = (router.heard + more).min(sides.len());
            let near = sides.iter().filter(|(side, _)| *side == router.side);
            let others = near.map(|(_, tag)| *tag).filter(|tag| *tag != router.tag);
            let fleet = Fleet {
                me: router.tag,
                others: others.take(router.heard).collect(),
                expected: true,
            };
            router.warmup.follow(now, &fleet, &[self.cold]);
            while router.warmup.admits(now, self.cold.key) {
                router.warmup.chosen(now, 0, self.cold.key);
                router.warmup.sent(now, self.cold.key);
                self.arrivals.push_back(self.now);
                self.all += 1;
            }
        }
        while self
            .arrivals
            .front()
            .is_some_and(|at| at + 1000 <= self.now)
        {
            self.arrivals.pop_front();
        }
        self.most = self.most.max(self.arrivals.len());
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            self.step();
        }
    }
}

/// Guards against limits that each router keeps for itself and all break together.
#[gtest]
fn verify_all_routers_together_keep_the_bound_of_a_cold_endpoint() {
    for routers in [1, 2, 7, 13, 14, 86, 295, 330] {
        for seed in 0..10 {
            let mut world = World::new(routers, BOUND, seed);
            world.run(10_000);
            expect_that!(world.most, le(BOUND as usize), "{routers} routers");
            // The endpoint must not idle: nobody would know when it is warm for real.
            let lonely = routers == 1;
            expect_that!(
                world.all > 20,
                eq(!lonely),
                "{routers} routers: {}",
                world.all
            );
        }
    }
}

/// Guards against routers that forget the others behind a cut and take their parts as well.
#[gtest]
fn verify_both_sides_of_a_cut_keep_the_bound_together() {
    for routers in [7, 86, 295] {
        let mut world = World::new(routers, BOUND, 3);
        world.run(5000);
        for (n, router) in world.routers.iter_mut().enumerate() {
            router.side = n % 2;
        }
        world.run(60_000);
        // Those that restart behind the cut know only their side.
        for router in &mut world.routers {
            router.warmup = Warmup::default();
            router.heard = 0;
        }
        world.run(20_000);
        expect_that!(world.most, le(BOUND as usize), "{routers} routers");
    }
}

#[gtest]
fn verify_routers_that_are_cut_off_alone_keep_to_their_parts() {
    let mut world = World::new(86, BOUND, 3);
    world.run(5000);
    let before = world.all;
    world.run(10_000);
    let usual = world.all - before;
    for (n, router) in world.routers.iter_mut().enumerate() {
        router.side = n;
    }
    let before = world.all;
    world.run(10_000);
    expect_that!(world.all - before, all!(gt(0), le(usual + 1)));
    expect_that!(world.most, le(BOUND as usize));
}

/// Guards against routers that know few others yet and take the parts of all.
#[gtest]
fn verify_a_router_that_has_just_started_sends_nothing_to_a_cold_endpoint() {
    let mut world = World::new(86, BOUND, 3);
    world.pace = Pace::Slow;
    world.run(2800);
    expect_that!(world.all, eq(0));
    world.run(1200);
    expect_that!(world.all, gt(0));
}

/// Guards against a service whose endpoints and routers all start at once, and that nobody dares to serve.
#[gtest]
fn verify_routers_that_have_met_send_to_cold_endpoints_soon_after_their_start() {
    for routers in [2, 7, 86] {
        let mut world = World::new(routers, BOUND, 3);
        world.run(1800);
        expect_that!(world.all, gt(0), "{routers} routers");
    }
}

#[gtest]
fn verify_a_service_that_tolerates_nothing_gets_nothing_while_it_is_cold() {
    let mut world = World::new(7, 0, 3);
    world.run(8000);
    expect_that!(world.all, eq(0));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    /// Cuts that heal, restarts and pauses at any moment, in fleets of 7 to 330 routers.
    #[test]
    fn verify_the_bound_holds_over_random_histories(
        routers in prop_oneof![Just(7_usize), Just(30), Just(86), Just(330)],
        bound in prop_oneof![Just(1_u32), Just(6), Just(26), Just(80)],
        seed in any::<u64>(),
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = World::new(routers, bound, seed);
        for _ in 0..6 {
            match rng.random_range(0..4) {
                0 => {
                    let part = rng.random_range(1..=routers);
                    for router in &mut world.routers {
                        router.side = usize::from(rng.random_range(0..routers) < part);
                    }
                }
                1 => {
                    for router in &mut world.routers {
                        router.side = 0;
                    }
                    world.run(4000);
                }
                2 => {
                    let until = world.now + rng.random_range(0..6000);
                    for router in &mut world.routers {
                        if rng.random_range(0..4) == 0 {
                            router.paused_until = until;
                        }
                    }
                }
                _ => {
                    for router in &mut world.routers {
                        if rng.random_range(0..3) == 0 {
                            router.warmup = Warmup::default();
                            router.heard = 0;
                        }
                    }
                }
            }
            world.run(rng.random_range(100..4000));
            // One cut at a time: it heals, and routers hear of each other, before the next one.
            for router in &mut world.routers {
                router.side = 0;
            }
            world.run(4000);
        }
        // A bound of one has no half: each side of a cut owns it.
        let most = (bound as usize).max(2);
        prop_assert!(world.most <= most, "{} of {bound} at {routers} routers", world.most);
    }
}

/// Makes a gateway whose service bounds what its cold endpoints get, and that is the only router.
fn gateway(endpoints: &[Entry]) -> Gateway {
    let mut raw = raw_catalog(1);
    raw.services[0].warmup = Some(Rate {
        time: Millis(3000),
        per_second: Permille(14_000),
    });
    let catalog = Catalog::try_from(raw).expect("the configuration is valid");
    let mut gateway = Gateway::new(bounds(), 1);
    let mut changes = vec![Change::Catalog(Box::new(catalog))];
    changes.extend(endpoints.iter().cloned().map(Change::Entry));
    gateway.proved(Time(0), Time(0));
    gateway.follow(Time(0), changes);
    alone(&mut gateway, Time(0));
    gateway
}

/// Plays a round of digests of the only router.
fn alone(gateway: &mut Gateway, now: Time) {
    gateway.proved(now, now);
    gateway.follow_fleet(now, &Fleet::default());
}

fn cold(number: u8, millis: u64) -> Entry {
    Entry {
        cold: Millis(millis),
        ..entry(number)
    }
}

/// Sends requests until one is refused; counts them, and gets why the last one was.
fn flood(gateway: &mut Gateway, now: Time) -> (usize, Option<Cause>) {
    for sent in 0..100 {
        let request = request("/chat/x");
        let mut ticket = gateway
            .admit(now, &request)
            .expect("the request is admitted");
        match gateway.place(now, &ticket, &request) {
            Ok(placed) => gateway.sent(now, &mut ticket, placed.endpoint),
            Err(refusal) => return (sent, Some(refusal.cause)),
        }
    }
    (100, None)
}

#[gtest]
fn verify_what_cold_endpoints_can_not_take_is_refused_at_once() {
    let mut gateway = gateway(&[cold(0, 60_000), cold(1, 60_000)]);
    alone(&mut gateway, Time(4000));
    let (sent, cause) = flood(&mut gateway, Time(4000));
    expect_that!(sent, all!(gt(10), le(26)));
    expect_that!(cause, some(eq(Cause::WarmingUp)));
}

/// Guards against a retry time after which nothing has changed.
#[gtest]
fn verify_a_refused_caller_is_told_to_come_back_by_when_an_endpoint_is_warm() {
    let mut gateway = gateway(&[cold(0, 4700)]);
    alone(&mut gateway, Time(4000));
    flood(&mut gateway, Time(4000));
    let request = request("/chat/x");
    let ticket = gateway
        .admit(Time(4000), &request)
        .expect("the request is admitted");
    let refusal = gateway.place(Time(4000), &ticket, &request).unwrap_err();
    expect_that!(refusal.after, some(all!(ge(Millis(150)), le(Millis(850)))));
    expect_false!(refusal.may_have_run);
}

#[gtest]
fn verify_an_endpoint_is_warm_when_its_time_has_passed() {
    let mut gateway = gateway(&[cold(0, 5000)]);
    alone(&mut gateway, Time(5000));
    expect_that!(flood(&mut gateway, Time(5000)).0, eq(100));
}

#[gtest]
fn verify_more_urgent_requests_have_a_reserve_where_all_are_cold() {
    let mut gateway = gateway(&[cold(0, 60_000), cold(1, 60_000)]);
    alone(&mut gateway, Time(4000));
    flood(&mut gateway, Time(4000));
    let request = request("/chat/x");
    let mut ticket = gateway
        .admit(Time(4000), &request)
        .expect("the request is admitted");
    ticket.priority = 0;
    expect_true!(gateway.place(Time(4000), &ticket, &request).is_ok());
}

/// Guards against one workspace that takes all that there is while all endpoints are cold.
#[gtest]
fn verify_workspaces_take_turns_where_all_endpoints_are_cold() {
    let mut world = World::new(1, 200, 1);
    let mut warmup = Warmup::default();
    let alone = Fleet::default();
    warmup.follow(Time(0), &alone, &[world.cold]);
    warmup.follow(Time(5000), &alone, &[world.cold]);
    let key = world.cold.key;
    let mut try_request = |workspace| {
        warmup.asked(Time(5000), workspace);
        let admitted = warmup.admits(Time(5000), key)
            && warmup.admits_rank(Time(5000), 1, workspace, [key].into_iter());
        if admitted {
            warmup.chosen(Time(5000), workspace, key);
            world.all += 1;
        }
        admitted
    };
    expect_true!(try_request(2));
    while try_request(1) {}
    // The first one's crowd has left room.
    let others = (0..10).filter(|_| try_request(2)).count();
    expect_that!(others, gt(5));
    expect_that!(world.all, lt(100));
}

#[gtest]
fn verify_an_endpoint_that_turns_cold_after_it_was_chosen_is_left_out() {
    let mut gateway = gateway(&[entry(0)]);
    alone(&mut gateway, Time(4000));
    let request = request("/chat/x");
    let ticket = gateway
        .admit(Time(4000), &request)
        .expect("the request is admitted");
    let placed = gateway
        .place(Time(4000), &ticket, &request)
        .expect("an endpoint is available");
    expect_true!(gateway.may_send_placed(Time(4000), &ticket, &placed));
    gateway.follow(Time(4001), vec![Change::Entry(cold(0, 3000))]);
    expect_false!(gateway.may_send_placed(Time(4001), &ticket, &placed));
}

/// Guards against a crowd at endpoints that became cold while their data centre was evacuated.
#[gtest]
fn verify_endpoints_of_a_restored_data_center_are_taken_as_cold() {
    let mut gateway = gateway(&[entry(0)]);
    let name = Bytes::from_static(b"a");
    gateway.follow(Time(4000), vec![Change::Evacuated(name.clone())]);
    alone(&mut gateway, Time(5000));
    expect_that!(flood(&mut gateway, Time(5000)).0, eq(0));
    gateway.follow(Time(6000), vec![Change::Restored(name)]);
    alone(&mut gateway, Time(6000));
    expect_that!(flood(&mut gateway, Time(6000)).0, all!(gt(0), le(26)));
    alone(&mut gateway, Time(9000));
    expect_that!(flood(&mut gateway, Time(9000)).0, gt(26));
}

/// Guards against a crowd at an endpoint that has started again under its name before its entry says so.
#[gtest]
fn verify_an_endpoint_that_keeps_its_name_is_taken_as_cold_after_it_was_not_reached() {
    let named = Entry {
        born: Some(Wall(1)),
        ..entry(0)
    };
    let mut gateway = gateway(&[named]);
    alone(&mut gateway, Time(4000));
    let request = request("/chat/x");
    let mut ticket = gateway
        .admit(Time(4000), &request)
        .expect("the request is admitted");
    let placed = gateway
        .place(Time(4000), &ticket, &request)
        .expect("an endpoint is available");
    gateway.unreached(Time(4000), &mut ticket, placed.endpoint);
    alone(&mut gateway, Time(4500));
    expect_that!(flood(&mut gateway, Time(4500)).0, le(26));
}

#[gtest]
fn verify_services_that_bound_nothing_are_served_as_usual_while_cold() {
    let mut gateway = crate::fixture::gateway(0);
    gateway.follow(Time(0), vec![Change::Entry(cold(0, 60_000))]);
    expect_that!(flood(&mut gateway, Time(10)).0, eq(100));
}
