//! Tests of the limit on requests that all routers together send to a cold endpoint.

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
            ColdEndpoint,
            ColdStart,
            Fleet,
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
    raw_catalog,
    request, //
};

/// Requests a second that all routers together may send to the cold endpoint.
const MAX_REQUESTS_PER_S: u32 = 26;
/// Time between two rounds of digests, in milliseconds.
const ROUND_MS: u64 = 100;

/// `Router` is one router of a fleet under unlimited demand.
struct Router {
    warmup: Warmup,
    tag: u64,
    partition: usize,
    /// Number of other routers of its partition that it knows, at most.
    known_routers: usize,
    paused_until_ms: u64,
}

/// `Discovery` is how fast a router learns of others after its start.
#[derive(Clone, Copy)]
enum Discovery {
    /// Their number doubles in each round.
    Doubling,
    /// One more in each round.
    Linear,
}

/// `Simulation` is a fleet that sends requests to one cold endpoint.
struct Simulation {
    discovery: Discovery,
    routers: Vec<Router>,
    cold: ColdEndpoint,
    now_ms: u64,
    arrivals: VecDeque<u64>,
    /// Most requests within a second.
    max_per_s: usize,
    /// All requests.
    total: usize,
}

impl Simulation {
    fn new(count: usize, bound: u32, seed: u64) -> Self {
        let mut keys: SlotMap<EndpointKey, ()> = SlotMap::with_key();
        let router = |n: usize| Router {
            warmup: Warmup::default(),
            tag: score(7, n as u64),
            partition: 0,
            known_routers: 0,
            paused_until_ms: 0,
        };
        Self {
            discovery: Discovery::Doubling,
            routers: (0..count).map(router).collect(),
            cold: ColdEndpoint {
                key: keys.insert(()),
                seed,
                bound,
            },
            now_ms: 0,
            arrivals: VecDeque::new(),
            max_per_s: 0,
            total: 0,
        }
    }

    /// Runs a round: each running router learns of others in its partition, and sends all requests that it may.
    fn run_round(&mut self) {
        self.now_ms += ROUND_MS;
        let partitions: Vec<(usize, u64)> =
            self.routers.iter().map(|r| (r.partition, r.tag)).collect();
        let now = Time(self.now_ms);
        for router in &mut self.routers {
            if self.now_ms < router.paused_until_ms {
                continue;
            }
            let more = match self.discovery {
                Discovery::Doubling => router.known_routers + 1,
                Discovery::Linear => 1,
            };
            router.known_routers = (router.known_routers + more).min(partitions.len());
            let reachable = partitions
                .iter()
                .filter(|(partition, _)| *partition == router.partition);
            let others = reachable
                .map(|(_, tag)| *tag)
                .filter(|tag| *tag != router.tag);
            let fleet = Fleet {
                me: router.tag,
                others: others.take(router.known_routers).collect(),
                expected: true,
            };
            router.warmup.follow(now, &fleet, &[self.cold]);
            while router.warmup.admits(now, self.cold.key) {
                router.warmup.record_placed(now, 0, self.cold.key);
                router.warmup.sent(now, self.cold.key);
                self.arrivals.push_back(self.now_ms);
                self.total += 1;
            }
        }
        while self
            .arrivals
            .front()
            .is_some_and(|at| at + 1000 <= self.now_ms)
        {
            self.arrivals.pop_front();
        }
        self.max_per_s = self.max_per_s.max(self.arrivals.len());
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / ROUND_MS {
            self.run_round();
        }
    }
}

/// Guards against limits that each router keeps on its own and that all routers together exceed.
#[gtest]
fn verify_all_routers_together_keep_the_bound_of_a_cold_endpoint() {
    for routers in [1, 2, 7, 13, 14, 86, 295, 330] {
        for seed in 0..10 {
            let mut simulation = Simulation::new(routers, MAX_REQUESTS_PER_S, seed);
            simulation.run(10_000);
            expect_that!(
                simulation.max_per_s,
                le(MAX_REQUESTS_PER_S as usize),
                "{routers} routers"
            );
            // The endpoint must get some requests, or no router would learn that it is warm.
            let only_router = routers == 1;
            expect_that!(
                simulation.total > 20,
                eq(!only_router),
                "{routers} routers: {}",
                simulation.total
            );
        }
    }
}

/// Guards against routers that forget the other side of a network partition and use its shares as well.
#[gtest]
fn verify_both_sides_of_a_partition_together_keep_the_bound() {
    for routers in [7, 86, 295] {
        let mut simulation = Simulation::new(routers, MAX_REQUESTS_PER_S, 3);
        simulation.run(5000);
        for (n, router) in simulation.routers.iter_mut().enumerate() {
            router.partition = n % 2;
        }
        simulation.run(60_000);
        // Routers that restart during the partition know only their own side.
        for router in &mut simulation.routers {
            router.warmup = Warmup::default();
            router.known_routers = 0;
        }
        simulation.run(20_000);
        expect_that!(
            simulation.max_per_s,
            le(MAX_REQUESTS_PER_S as usize),
            "{routers} routers"
        );
    }
}

#[gtest]
fn verify_routers_that_are_cut_off_alone_keep_to_their_parts() {
    let mut simulation = Simulation::new(86, MAX_REQUESTS_PER_S, 3);
    simulation.run(5000);
    let before = simulation.total;
    simulation.run(10_000);
    let before_partition = simulation.total - before;
    for (n, router) in simulation.routers.iter_mut().enumerate() {
        router.partition = n;
    }
    let before = simulation.total;
    simulation.run(10_000);
    expect_that!(
        simulation.total - before,
        all!(gt(0), le(before_partition + 1))
    );
    expect_that!(simulation.max_per_s, le(MAX_REQUESTS_PER_S as usize));
}

/// Guards against routers that know few others yet and use the shares of all.
#[gtest]
fn verify_a_router_that_has_just_started_sends_nothing_to_a_cold_endpoint() {
    let mut simulation = Simulation::new(86, MAX_REQUESTS_PER_S, 3);
    simulation.discovery = Discovery::Linear;
    simulation.run(2800);
    expect_that!(simulation.total, eq(0));
    simulation.run(1200);
    expect_that!(simulation.total, gt(0));
}

/// Guards against a service that gets no requests after all its endpoints and all routers have started at once.
#[gtest]
fn verify_routers_that_know_each_other_send_to_cold_endpoints_soon_after_their_start() {
    for routers in [2, 7, 86] {
        let mut simulation = Simulation::new(routers, MAX_REQUESTS_PER_S, 3);
        simulation.run(1800);
        expect_that!(simulation.total, gt(0), "{routers} routers");
    }
}

#[gtest]
fn verify_cold_endpoints_with_a_bound_of_zero_get_no_requests() {
    let mut simulation = Simulation::new(7, 0, 3);
    simulation.run(8000);
    expect_that!(simulation.total, eq(0));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    /// Partitions that heal, restarts and pauses at any time, in fleets of 7 to 330 routers.
    #[test]
    fn verify_the_bound_holds_over_random_histories(
        routers in prop_oneof![Just(7_usize), Just(30), Just(86), Just(330)],
        bound in prop_oneof![Just(1_u32), Just(6), Just(26), Just(80)],
        seed in any::<u64>(),
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut simulation = Simulation::new(routers, bound, seed);
        for _ in 0..6 {
            match rng.random_range(0..4) {
                0 => {
                    let part = rng.random_range(1..=routers);
                    for router in &mut simulation.routers {
                        router.partition = usize::from(rng.random_range(0..routers) < part);
                    }
                }
                1 => {
                    for router in &mut simulation.routers {
                        router.partition = 0;
                    }
                    simulation.run(4000);
                }
                2 => {
                    let until = simulation.now_ms + rng.random_range(0..6000);
                    for router in &mut simulation.routers {
                        if rng.random_range(0..4) == 0 {
                            router.paused_until_ms = until;
                        }
                    }
                }
                _ => {
                    for router in &mut simulation.routers {
                        if rng.random_range(0..3) == 0 {
                            router.warmup = Warmup::default();
                            router.known_routers = 0;
                        }
                    }
                }
            }
            simulation.run(rng.random_range(100..4000));
            // Each partition heals, and routers learn of each other, before the next one begins.
            for router in &mut simulation.routers {
                router.partition = 0;
            }
            simulation.run(4000);
        }
        // A bound of one can't be halved, so each side of a partition uses it.
        let limit = (bound as usize).max(2);
        prop_assert!(simulation.max_per_s <= limit, "{} of {bound} at {routers} routers", simulation.max_per_s);
    }
}

/// Makes a gateway that is the only router, with a service that limits requests to its cold endpoints.
fn gateway(endpoints: &[Entry]) -> Gateway {
    let mut raw = raw_catalog(1);
    raw.services[0].warmup = Some(ColdStart {
        time: Millis(3000),
        per_second: Permille(14_000),
    });
    let catalog = Catalog::try_from(raw).expect("the configuration is valid");
    let mut gateway = Gateway::new(bounds(), 1);
    let mut changes = vec![Change::Catalog(Box::new(catalog))];
    changes.extend(endpoints.iter().cloned().map(Change::Entry));
    gateway.record_registry_read(Time(0), Time(0));
    gateway.apply_changes(Time(0), changes);
    run_lone_round(&mut gateway, Time(0));
    gateway
}

/// Runs a round of digests of the only router.
fn run_lone_round(gateway: &mut Gateway, now: Time) {
    gateway.record_registry_read(now, now);
    gateway.update_fleet(now, &Fleet::default());
}

fn cold_entry(number: u8, millis: u64) -> Entry {
    Entry {
        cold: Millis(millis),
        ..entry(number)
    }
}

/// Sends requests until one is refused; returns their number, and why the last one was refused.
fn send_until_refused(gateway: &mut Gateway, now: Time) -> (usize, Option<Cause>) {
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
fn verify_requests_beyond_the_bound_of_cold_endpoints_are_refused_at_once() {
    let mut gateway = gateway(&[cold_entry(0, 60_000), cold_entry(1, 60_000)]);
    run_lone_round(&mut gateway, Time(4000));
    let (sent, cause) = send_until_refused(&mut gateway, Time(4000));
    expect_that!(sent, all!(gt(10), le(26)));
    expect_that!(cause, some(eq(Cause::WarmingUp)));
}

/// Guards against a retry time at which no endpoint is warm yet.
#[gtest]
fn verify_the_retry_time_of_a_refusal_follows_from_when_an_endpoint_is_warm() {
    let mut gateway = gateway(&[cold_entry(0, 4700)]);
    run_lone_round(&mut gateway, Time(4000));
    send_until_refused(&mut gateway, Time(4000));
    let request = request("/chat/x");
    let ticket = gateway
        .admit(Time(4000), &request)
        .expect("the request is admitted");
    let refusal = gateway.place(Time(4000), &ticket, &request).unwrap_err();
    expect_that!(
        refusal.retry_after,
        some(all!(ge(Millis(150)), le(Millis(850))))
    );
    expect_false!(refusal.may_have_run);
}

#[gtest]
fn verify_an_endpoint_is_warm_after_its_cold_time() {
    let mut gateway = gateway(&[cold_entry(0, 5000)]);
    run_lone_round(&mut gateway, Time(5000));
    expect_that!(send_until_refused(&mut gateway, Time(5000)).0, eq(100));
}

#[gtest]
fn verify_urgent_requests_have_a_reserve_while_all_endpoints_are_cold() {
    let mut gateway = gateway(&[cold_entry(0, 60_000), cold_entry(1, 60_000)]);
    run_lone_round(&mut gateway, Time(4000));
    send_until_refused(&mut gateway, Time(4000));
    let request = request("/chat/x");
    let mut ticket = gateway
        .admit(Time(4000), &request)
        .expect("the request is admitted");
    ticket.priority = 0;
    expect_true!(gateway.place(Time(4000), &ticket, &request).is_ok());
}

/// Guards against one workspace that uses the whole limit while all endpoints are cold.
#[gtest]
fn verify_workspaces_take_turns_while_all_endpoints_are_cold() {
    let mut simulation = Simulation::new(1, 200, 1);
    let mut warmup = Warmup::default();
    let alone = Fleet::default();
    warmup.follow(Time(0), &alone, &[simulation.cold]);
    warmup.follow(Time(5000), &alone, &[simulation.cold]);
    let key = simulation.cold.key;
    let mut try_request = |workspace| {
        warmup.record_waiting(Time(5000), workspace);
        let admitted = warmup.admits(Time(5000), key)
            && warmup.admits_rank(Time(5000), 1, workspace, [key].into_iter());
        if admitted {
            warmup.record_placed(Time(5000), workspace, key);
            simulation.total += 1;
        }
        admitted
    };
    expect_true!(try_request(2));
    while try_request(1) {}
    // The requests of workspace 1 have left room for those of workspace 2.
    let others = (0..10).filter(|_| try_request(2)).count();
    expect_that!(others, gt(5));
    expect_that!(simulation.total, lt(100));
}

#[gtest]
fn verify_an_endpoint_that_turns_cold_after_it_was_chosen_is_left_out() {
    let mut gateway = gateway(&[entry(0)]);
    run_lone_round(&mut gateway, Time(4000));
    let request = request("/chat/x");
    let ticket = gateway
        .admit(Time(4000), &request)
        .expect("the request is admitted");
    let placed = gateway
        .place(Time(4000), &ticket, &request)
        .expect("an endpoint is available");
    expect_true!(gateway.may_send_placed(Time(4000), &ticket, &placed));
    gateway.apply_changes(Time(4001), vec![Change::Entry(cold_entry(0, 3000))]);
    expect_false!(gateway.may_send_placed(Time(4001), &ticket, &placed));
}

/// Guards against a burst of requests to endpoints that became cold while their data centre was evacuated.
#[gtest]
fn verify_endpoints_of_a_restored_data_center_are_taken_as_cold() {
    let mut gateway = gateway(&[entry(0)]);
    let name = Bytes::from_static(b"a");
    gateway.apply_changes(Time(4000), vec![Change::Evacuated(name.clone())]);
    run_lone_round(&mut gateway, Time(5000));
    expect_that!(send_until_refused(&mut gateway, Time(5000)).0, eq(0));
    gateway.apply_changes(Time(6000), vec![Change::Restored(name)]);
    run_lone_round(&mut gateway, Time(6000));
    expect_that!(
        send_until_refused(&mut gateway, Time(6000)).0,
        all!(gt(0), le(26))
    );
    run_lone_round(&mut gateway, Time(9000));
    expect_that!(send_until_refused(&mut gateway, Time(9000)).0, gt(26));
}

/// Guards against a burst of requests to an endpoint that has restarted under its id before its entry says so.
#[gtest]
fn verify_an_endpoint_with_a_stable_id_counts_as_cold_after_a_failed_connection() {
    let entry_with_start = Entry {
        born: Some(Wall(1)),
        ..entry(0)
    };
    let mut gateway = gateway(&[entry_with_start]);
    run_lone_round(&mut gateway, Time(4000));
    let request = request("/chat/x");
    let mut ticket = gateway
        .admit(Time(4000), &request)
        .expect("the request is admitted");
    let placed = gateway
        .place(Time(4000), &ticket, &request)
        .expect("an endpoint is available");
    gateway.unreached(Time(4000), &mut ticket, placed.endpoint);
    run_lone_round(&mut gateway, Time(4500));
    expect_that!(send_until_refused(&mut gateway, Time(4500)).0, le(26));
}

#[gtest]
fn verify_services_without_a_bound_are_not_limited_while_cold() {
    let mut gateway = crate::fixture::gateway(0);
    gateway.apply_changes(Time(0), vec![Change::Entry(cold_entry(0, 60_000))]);
    expect_that!(send_until_refused(&mut gateway, Time(10)).0, eq(100));
}
