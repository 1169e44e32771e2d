//! Tests that a workspace's limit holds over the whole fleet, whichever routers its calls enter.

#[expect(dead_code, reason = "the example and the tests use a part each")]
mod limits_fleet;

use googletest::prelude::*;
use limits_fleet::{
    Fleet,
    Network,
    Published, //
};
use toucanturn_core::{
    limits::{
        MAX_WAIT,
        MAX_WAITING_PER_WORKSPACE,
        RETRY_JITTER, //
    },
    units::{
        Millis,
        Time, //
    },
};

const WINDOW: Millis = Millis(10_000);
const LIMIT: u32 = 300;

const LAN: Network = Network {
    delay: (1, 3),
    loss: 0,
    summaries: 6,
};

/// Runs 25 s of traffic, an equal part for each of `phases`, and returns the fewest and the most
/// calls admitted in any 10 s.
fn admitted_range(fleet: &mut Fleet, phases: &[Vec<f64>]) -> (usize, usize) {
    let workspace = fleet.workspace(0);
    let span = Millis(25_000 / phases.len() as u64);
    for rates in phases {
        fleet.run(span, workspace, rates);
    }
    let settled_at = Time(2000);
    (
        fleet.min_admitted(settled_at, WINDOW),
        fleet.max_admitted(Time(0), WINDOW),
    )
}

/// Sends the whole rate to router `at`.
fn at_one_router(routers: usize, at: usize, rate: f64) -> Vec<f64> {
    let mut rates = vec![0.0; routers];
    rates[at] = rate;
    rates
}

/// Sends nine tenths of the rate to router 1 and spreads the rest over the others.
fn skewed(routers: usize, rate: f64) -> Vec<f64> {
    let mut rates = vec![rate * 0.1 / (routers - 1) as f64; routers];
    rates[1] = rate * 0.9;
    rates
}

/// Spreads the rate evenly over all routers.
fn even(routers: usize, rate: f64) -> Vec<f64> {
    vec![rate / routers as f64; routers]
}

/// Returns the calls that the limit allows in 10 s, less and plus a tenth.
fn allowed_range() -> (usize, usize) {
    let allowed = LIMIT as usize * 10;
    (allowed * 9 / 10, allowed * 11 / 10)
}

/// Lists named distributions of traffic over the routers, each as a sequence of equal phases.
fn traffic_shapes(routers: usize, load: f64) -> Vec<(&'static str, Vec<Vec<f64>>)> {
    let rate = f64::from(LIMIT) * load;
    vec![
        ("even", vec![even(routers, rate)]),
        ("one", vec![at_one_router(routers, 1, rate)]),
        ("90/10", vec![skewed(routers, rate)]),
        (
            "shift",
            vec![
                at_one_router(routers, 1, rate),
                at_one_router(routers, 2, rate),
            ],
        ),
        (
            "shifts",
            (0..12)
                .map(|i| at_one_router(routers, i % 5, rate))
                .collect(),
        ),
    ]
}

/// Checks the calls admitted in any 10 s for each traffic shape at `load` times the limit.
fn check_traffic_shapes(routers: usize, network: Network, load: f64) {
    let (low, high) = allowed_range();
    for (name, phases) in traffic_shapes(routers, load) {
        let published = Published::new(routers, 1, LIMIT, LIMIT);
        let mut fleet = Fleet::new(&published, network, 1);
        let (least, greatest) = admitted_range(&mut fleet, &phases);
        println!("{routers} routers, {name} at {load}: {least}..{greatest} of {low}..{high}");
        expect_that!(greatest, le(high), "{name} at {load}");
        expect_that!(least, ge(low), "{name} at {load}");
    }
}

#[gtest]
fn verify_limit_is_fleet_wide_with_7_routers() {
    for load in [1.0, 1.2, 3.0] {
        check_traffic_shapes(7, LAN, load);
    }
}

#[gtest]
fn verify_limit_is_fleet_wide_with_330_routers() {
    for load in [1.0, 3.0] {
        check_traffic_shapes(330, LAN, load);
    }
}

#[gtest]
fn verify_limit_holds_when_messages_are_slow() {
    let slow = Network {
        delay: (15, 40),
        ..LAN
    };
    check_traffic_shapes(7, slow, 1.0);
    check_traffic_shapes(7, slow, 3.0);
}

#[gtest]
fn verify_limit_holds_when_messages_are_lost() {
    let lossy = Network { loss: 20, ..LAN };
    check_traffic_shapes(7, lossy, 1.0);
    check_traffic_shapes(7, lossy, 3.0);
}

/// Prints the calls admitted in any 10 s and checks them against `low` and the upper bound.
fn expect_admitted_within(fleet: &Fleet, what: &str, low: usize) {
    let (_, high) = allowed_range();
    let least = fleet.min_admitted(Time(2000), WINDOW);
    let greatest = fleet.max_admitted(Time(0), WINDOW);
    println!("{what}: {least}..{greatest} of {low}..{high}");
    expect_that!(greatest, le(high), "{what}");
    expect_that!(least, ge(low), "{what}");
}

#[gtest]
fn verify_limit_holds_when_the_home_restarts() {
    // The home dies with grants outstanding, another router takes over, and 1 s later the home is
    // back with empty state. A bucket that starts full, or a substitute that does not step back,
    // admits twice the limit or nothing for seconds.
    for (routers, load) in [(7, 1.0), (7, 3.0), (330, 1.0), (330, 3.0)] {
        let published = Published::new(routers, 1, LIMIT, LIMIT);
        let mut fleet = Fleet::new(&published, LAN, 2);
        let workspace = fleet.workspace(0);
        let home = fleet.home(workspace);
        let rates = even(routers, f64::from(LIMIT) * load);
        for _ in 0..2 {
            fleet.run(Millis(9000), workspace, &rates);
            fleet.routers[home].up = false;
            fleet.run(Millis(1000), workspace, &rates);
            fleet.restart(home);
        }
        fleet.run(Millis(9000), workspace, &rates);
        // A router that is down gets no calls, so at a load of 1.0 fewer calls than the limit are
        // made.
        expect_admitted_within(
            &fleet,
            &format!("home restart, {routers} at {load}"),
            allowed_range().0,
        );
    }
}

#[gtest]
fn verify_next_router_takes_over_when_the_home_fails() {
    // The home fails for good and no new fleet is published. Routers that keep asking it are left
    // with their static share, a small part of the limit.
    for (routers, load) in [(7, 3.0), (330, 3.0)] {
        let published = Published::new(routers, 1, LIMIT, LIMIT);
        let mut fleet = Fleet::new(&published, LAN, 3);
        let workspace = fleet.workspace(0);
        let home = fleet.home(workspace);
        let rates = at_one_router(routers, (home + 1) % routers, f64::from(LIMIT) * load);
        fleet.run(Millis(10_000), workspace, &rates);
        fleet.routers[home].up = false;
        fleet.run(Millis(45_000), workspace, &rates);
        expect_admitted_within(
            &fleet,
            &format!("home down, {routers} at {load}"),
            allowed_range().0,
        );
    }
}

#[gtest]
fn verify_limit_holds_while_the_fleet_changes() {
    // Routers apply the removal, then the return, of the home within 1 s, the home last. Some ask
    // the old home and some the new one; two buckets that both fill admit up to twice the limit.
    for (routers, load) in [(7, 1.0), (7, 3.0), (330, 3.0)] {
        let mut published = Published::new(routers, 1, LIMIT, LIMIT);
        let mut fleet = Fleet::new(&published, LAN, 4);
        let workspace = fleet.workspace(0);
        let home = fleet.home(workspace);
        let rate = f64::from(LIMIT) * load;
        let all = even(routers, rate);
        let mut others = even(routers, rate * routers as f64 / (routers - 1) as f64);
        others[home] = 0.0;
        fleet.run(Millis(12_000), workspace, &all);
        for removed in [vec![home], vec![]] {
            let config = published.without(&removed);
            for n in 1..=routers {
                fleet.run(Millis(1000 / routers as u64), workspace, &all);
                fleet.apply((home + n) % routers, &config);
            }
            let rates = if removed.is_empty() { &all } else { &others };
            fleet.run(Millis(12_000), workspace, rates);
        }
        expect_admitted_within(
            &fleet,
            &format!("fleet change, {routers} at {load}"),
            allowed_range().0,
        );
    }
}

#[gtest]
fn verify_limit_holds_while_a_new_home_joins() {
    // The joining home applies the new fleet first, the others within 4 s, the old home last. Two
    // buckets, one for those who ask each home, admit up to twice the limit.
    for (routers, load) in [(7, 1.0), (7, 3.0), (330, 3.0)] {
        let mut published = Published::new(routers, 1, LIMIT, LIMIT);
        let mut fleet = Fleet::new(&published, LAN, 4);
        let workspace = fleet.workspace(0);
        let joining = fleet.home(workspace);
        let config = published.without(&[joining]);
        for index in 0..routers {
            fleet.apply(index, &config);
        }
        let other = (joining + 1) % routers;
        let old = fleet.home_under(&config, workspace);
        let config = published.without(&[]);
        let all = even(routers, f64::from(LIMIT) * load);
        let spread = f64::from(LIMIT) * load * routers as f64 / (routers - 1) as f64;
        let mut before = even(routers, spread);
        before[joining] = 0.0;
        fleet.run(Millis(12_000), workspace, &before);
        fleet.apply(joining, &config);
        let followers = (0..routers).map(|n| (other + n) % routers);
        for index in followers.filter(|i| *i != old && *i != joining) {
            fleet.run(Millis(4000 / routers as u64), workspace, &all);
            fleet.apply(index, &config);
        }
        fleet.apply(old, &config);
        fleet.run(Millis(12_000), workspace, &all);
        expect_admitted_within(
            &fleet,
            &format!("new home, {routers} at {load}"),
            allowed_range().0,
        );
    }
}

#[gtest]
fn verify_unused_grants_expire() {
    // Each router in turn gets a batch of grants and then no calls for up to 4 s. Grants that are
    // kept while the bucket refills allow a burst far above the published one.
    let published = Published::new(7, 1, LIMIT, LIMIT);
    let mut fleet = Fleet::new(&published, LAN, 11);
    let workspace = fleet.workspace(0);
    for pause in [4000, 300, 0] {
        fleet.run(Millis(2000), workspace, &[]);
        for at in 0..7 {
            fleet.run(
                Millis(400),
                workspace,
                &at_one_router(7, at, f64::from(LIMIT)),
            );
        }
        fleet.run(Millis(pause), workspace, &[]);
        let from = fleet.now;
        fleet.run(Millis(2000), workspace, &even(7, f64::from(LIMIT) * 20.0));
        let greatest = fleet.max_admitted(from, Millis(1000));
        println!("burst after {pause} ms: {greatest} in a second");
        expect_that!(greatest, le(2 * LIMIT as usize));
    }
}

#[gtest]
fn verify_two_sides_of_a_partition_share_the_limit() {
    // A part of the fleet is cut off with the home, and the others use a substitute. Two buckets
    // that each fill at the full rate admit the limit once on each side.
    for (routers, part) in [(7, 1), (7, 3), (330, 66)] {
        let published = Published::new(routers, 1, LIMIT, LIMIT);
        let mut fleet = Fleet::new(&published, LAN, 5);
        let workspace = fleet.workspace(0);
        let home = fleet.home(workspace);
        let rates = even(routers, f64::from(LIMIT) * 3.0);
        fleet.run(Millis(12_000), workspace, &rates);
        let far: Vec<usize> = (0..part).map(|n| (home + n) % routers).collect();
        fleet.partition(&far);
        fleet.run(Millis(20_000), workspace, &rates);
        fleet.heal_partition();
        fleet.run(Millis(12_000), workspace, &rates);
        expect_admitted_within(
            &fleet,
            &format!("partition, {part} of {routers}"),
            allowed_range().0,
        );
    }
}

#[gtest]
fn verify_limit_is_used_when_one_router_cannot_reach_the_home() {
    // One router cannot reach the home that all others reach. With no relay it refuses most calls;
    // with a second bucket at the router that it asks instead, too many are admitted.
    let published = Published::new(7, 1, LIMIT, LIMIT);
    for load in [1.0, 3.0] {
        let mut fleet = Fleet::new(&published, LAN, 6);
        let workspace = fleet.workspace(0);
        let home = fleet.home(workspace);
        let entry = (home + 1) % 7;
        fleet.broken_link = Some((home, entry));
        let rates = skewed_to(entry, f64::from(LIMIT) * load);
        fleet.run(Millis(25_000), workspace, &rates);
        expect_admitted_within(&fleet, &format!("broken link at {load}"), allowed_range().0);
    }
}

/// Sends nine tenths of the rate to router `entry` and a sixtieth to each of the other six.
fn skewed_to(entry: usize, rate: f64) -> Vec<f64> {
    let mut rates = vec![rate * 0.1 / 6.0; 7];
    rates[entry] = rate * 0.9;
    rates
}

#[gtest]
fn verify_limit_holds_after_the_home_was_paused() {
    // The home is paused for 5 s and a substitute takes over. The home then answers old requests as
    // if it had been home all along; late grants and a refilled bucket would admit a burst far
    // above the limit.
    let published = Published::new(7, 1, LIMIT, LIMIT);
    let mut fleet = Fleet::new(&published, LAN, 7);
    let workspace = fleet.workspace(0);
    let home = fleet.home(workspace);
    let rates = even(7, f64::from(LIMIT) * 3.0);
    fleet.run(Millis(12_000), workspace, &rates);
    fleet.routers[home].paused_until = fleet.now + Millis(5000);
    fleet.run(Millis(17_000), workspace, &rates);
    expect_admitted_within(&fleet, "home paused", allowed_range().0);
}

#[gtest]
fn verify_every_call_is_decided_within_the_longest_wait() {
    // The home stops answering without closing its connections. A wait without a bound, or a
    // forgotten call, leaves the caller without an answer until its own deadline.
    let published = Published::new(7, 1, LIMIT, LIMIT);
    let mut fleet = Fleet::new(&published, LAN, 8);
    let workspace = fleet.workspace(0);
    let home = fleet.home(workspace);
    let rates = even(7, f64::from(LIMIT) * 3.0);
    fleet.run(Millis(3000), workspace, &rates);
    fleet.routers[home].paused_until = Time(u64::MAX);
    fleet.run(Millis(5000), workspace, &rates);
    fleet.run(Millis(200), workspace, &[]);
    expect_that!(fleet.undecided(), eq(0));
    let longest = fleet.waits.iter().max().copied();
    expect_that!(longest, some(le(MAX_WAIT.0 + 50)));
}

#[gtest]
fn verify_retry_after_differs_between_refused_calls() {
    // A thousand calls are refused at once. With the same `Retry-After` for all they come back
    // together, in waves one second apart.
    let published = Published::new(7, 1, 10, 10);
    let mut fleet = Fleet::new(&published, LAN, 9);
    let workspace = fleet.workspace(0);
    fleet.run(Millis(500), workspace, &at_one_router(7, 1, 2000.0));
    let mut slots = [0_usize; 10];
    for (_, after) in &fleet.refused {
        let slot = after.0 * 10 / (RETRY_JITTER.0 + 1000);
        slots[usize::try_from(slot).unwrap().min(9)] += 1;
    }
    let busiest = slots.iter().max().copied().unwrap_or_default();
    println!(
        "retry times of {} calls in tenths of the range: {slots:?}",
        fleet.refused.len()
    );
    expect_that!(busiest * 4, le(fleet.refused.len()));
}

#[gtest]
fn verify_waiting_calls_and_grant_requests_are_bounded() {
    // 20,000 calls enter one router while the home does not answer, then 20,000 calls a second are
    // refused. An unbounded queue fills memory; a grant request per call fills the peer links.
    let published = Published::new(7, 1, LIMIT, LIMIT);
    let mut fleet = Fleet::new(&published, LAN, 10);
    let workspace = fleet.workspace(0);
    let entry = (fleet.home(workspace) + 1) % 7;
    for _ in 0..20_000 {
        fleet.call(entry, workspace);
    }
    let waiting = fleet.routers[entry].limits.waiting();
    expect_that!(waiting, eq(MAX_WAITING_PER_WORKSPACE));
    expect_that!(fleet.refused.len(), eq(20_000 - MAX_WAITING_PER_WORKSPACE));
    fleet.run(Millis(1000), workspace, &[]);
    let before = fleet.routers[entry].sent;
    fleet.run(Millis(5000), workspace, &at_one_router(7, entry, 20_000.0));
    let requests = fleet.routers[entry].sent - before;
    println!("{requests} grant requests for 100,000 calls");
    expect_that!(requests, le(100));
}
