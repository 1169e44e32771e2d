//! A workspace's limit holds over the whole fleet, wherever its traffic enters.

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

/// Runs 25 s of traffic and gives the fewest and the most calls admitted in any 10 s.
fn figures(fleet: &mut Fleet, phases: &[Vec<f64>]) -> (usize, usize) {
    let workspace = fleet.workspace(0);
    let span = Millis(25_000 / phases.len() as u64);
    for rates in phases {
        fleet.run(span, workspace, rates);
    }
    let settled = Time(2000);
    (fleet.fewest(settled, WINDOW), fleet.most(Time(0), WINDOW))
}

fn one(routers: usize, at: usize, rate: f64) -> Vec<f64> {
    let mut rates = vec![0.0; routers];
    rates[at] = rate;
    rates
}

fn split(routers: usize, rate: f64) -> Vec<f64> {
    let mut rates = vec![rate * 0.1 / (routers - 1) as f64; routers];
    rates[1] = rate * 0.9;
    rates
}

fn even(routers: usize, rate: f64) -> Vec<f64> {
    vec![rate / routers as f64; routers]
}

/// The limit's window and its tenth above and below.
fn bounds() -> (usize, usize) {
    let window = LIMIT as usize * 10;
    (window * 9 / 10, window * 11 / 10)
}

fn shapes(routers: usize, load: f64) -> Vec<(&'static str, Vec<Vec<f64>>)> {
    let rate = f64::from(LIMIT) * load;
    vec![
        ("even", vec![even(routers, rate)]),
        ("one", vec![one(routers, 1, rate)]),
        ("90/10", vec![split(routers, rate)]),
        ("shift", vec![one(routers, 1, rate), one(routers, 2, rate)]),
        (
            "shifts",
            (0..12).map(|i| one(routers, i % 5, rate)).collect(),
        ),
    ]
}

fn check(routers: usize, network: Network, load: f64) {
    let (low, high) = bounds();
    for (name, phases) in shapes(routers, load) {
        let published = Published::new(routers, 1, LIMIT, LIMIT);
        let mut fleet = Fleet::new(&published, network, 1);
        let (fewest, most) = figures(&mut fleet, &phases);
        println!("{routers} routers, {name} at {load}: {fewest}..{most} of {low}..{high}");
        expect_that!(most, le(high), "{name} at {load}");
        expect_that!(fewest, ge(low), "{name} at {load}");
    }
}

#[gtest]
fn verify_limit_is_fleet_wide_with_7_routers() {
    for load in [1.0, 1.2, 3.0] {
        check(7, LAN, load);
    }
}

#[gtest]
fn verify_limit_is_fleet_wide_with_330_routers() {
    for load in [1.0, 3.0] {
        check(330, LAN, load);
    }
}

#[gtest]
fn verify_limit_holds_when_messages_are_slow() {
    let slow = Network {
        delay: (15, 40),
        ..LAN
    };
    check(7, slow, 1.0);
    check(7, slow, 3.0);
}

#[gtest]
fn verify_limit_holds_when_messages_are_lost() {
    let lossy = Network { loss: 20, ..LAN };
    check(7, lossy, 1.0);
    check(7, lossy, 3.0);
}

/// Prints and checks what was admitted in any 10 s.
fn expect_within(fleet: &Fleet, what: &str, low: usize) {
    let (_, high) = bounds();
    let fewest = fleet.fewest(Time(2000), WINDOW);
    let most = fleet.most(Time(0), WINDOW);
    println!("{what}: {fewest}..{most} of {low}..{high}");
    expect_that!(most, le(high), "{what}");
    expect_that!(fewest, ge(low), "{what}");
}

#[gtest]
fn verify_limit_holds_when_the_home_restarts() {
    // Symptom: right after a restart a workspace gets twice its limit, or nothing for seconds.
    // Sequence: the home dies with grants given out; another router takes over; a second later
    // the home is back, with no memory, and both hold a bucket.
    // Cause: a bucket that starts full, and a substitute that doesn't step back.
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
        // At a load of one, the calls that would enter at the dead router are not made at all.
        expect_within(&fleet, &format!("restart, {routers} at {load}"), bounds().0);
    }
}

#[gtest]
fn verify_next_router_takes_over_when_the_home_is_gone() {
    // Symptom: a workspace falls to a sliver of its limit for as long as its home is away.
    // Sequence: the home dies and does not come back; nobody publishes a new fleet.
    // Cause: routers that keep asking the dead home and live on their static share.
    for (routers, load) in [(7, 3.0), (330, 3.0)] {
        let published = Published::new(routers, 1, LIMIT, LIMIT);
        let mut fleet = Fleet::new(&published, LAN, 3);
        let workspace = fleet.workspace(0);
        let home = fleet.home(workspace);
        let rates = one(routers, (home + 1) % routers, f64::from(LIMIT) * load);
        fleet.run(Millis(10_000), workspace, &rates);
        fleet.routers[home].up = false;
        fleet.run(Millis(45_000), workspace, &rates);
        expect_within(&fleet, &format!("gone, {routers} at {load}"), bounds().0);
    }
}

#[gtest]
fn verify_limit_holds_while_the_fleet_changes() {
    // Symptom: during a rollout a workspace gets up to twice its limit.
    // Sequence: the published fleet loses, then regains the workspace's home; routers follow over
    // a second, the home last, so that some ask the old home and some the new one.
    // Cause: a new home that fills its own bucket while the old one still grants.
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
        for gone in [vec![home], vec![]] {
            let config = published.without(&gone);
            for n in 1..=routers {
                fleet.run(Millis(1000 / routers as u64), workspace, &all);
                fleet.apply((home + n) % routers, &config);
            }
            let rates = if gone.is_empty() { &all } else { &others };
            fleet.run(Millis(12_000), workspace, rates);
        }
        expect_within(&fleet, &format!("change, {routers} at {load}"), bounds().0);
    }
}

#[gtest]
fn verify_limit_holds_while_a_new_home_joins() {
    // Symptom: a workspace gets up to twice its limit after its new home joined.
    // Sequence: the published fleet gains the workspace's new home, which follows first; the
    // others follow over 4 s, the old home last.
    // Cause: two buckets, one for those who have followed and one for those who have not.
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
        let old = fleet.home_in(&config, workspace);
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
        expect_within(&fleet, &format!("join, {routers} at {load}"), bounds().0);
    }
}

#[gtest]
fn verify_grants_expire_unused() {
    // Symptom: a burst far above the published one after a quiet time.
    // Sequence: one router after the other gets a batch of grants and then no more calls; four
    // seconds later calls come at all of them at once.
    // Cause: grants that are kept, and a bucket that fills as if they had been used.
    let published = Published::new(7, 1, LIMIT, LIMIT);
    let mut fleet = Fleet::new(&published, LAN, 11);
    let workspace = fleet.workspace(0);
    for pause in [4000, 300, 0] {
        fleet.run(Millis(2000), workspace, &[]);
        for at in 0..7 {
            fleet.run(Millis(400), workspace, &one(7, at, f64::from(LIMIT)));
        }
        fleet.run(Millis(pause), workspace, &[]);
        let from = fleet.now;
        fleet.run(Millis(2000), workspace, &even(7, f64::from(LIMIT) * 20.0));
        let most = fleet.most(from, Millis(1000));
        println!("burst after {pause} ms: {most} in a second");
        expect_that!(most, le(2 * LIMIT as usize));
    }
}

#[gtest]
fn verify_two_sides_of_a_partition_share_the_limit() {
    // Symptom: during a partition a workspace gets its limit once on each side.
    // Sequence: the home is cut off with a part of the fleet; the others find a substitute; later
    // the two sides meet again.
    // Cause: two buckets that each fill at the whole rate.
    for (routers, part) in [(7, 1), (7, 3), (330, 66)] {
        let published = Published::new(routers, 1, LIMIT, LIMIT);
        let mut fleet = Fleet::new(&published, LAN, 5);
        let workspace = fleet.workspace(0);
        let home = fleet.home(workspace);
        let rates = even(routers, f64::from(LIMIT) * 3.0);
        fleet.run(Millis(12_000), workspace, &rates);
        let far: Vec<usize> = (0..part).map(|n| (home + n) % routers).collect();
        fleet.cut(&far);
        fleet.run(Millis(20_000), workspace, &rates);
        fleet.heal();
        fleet.run(Millis(12_000), workspace, &rates);
        expect_within(
            &fleet,
            &format!("partition, {part} of {routers}"),
            bounds().0,
        );
    }
}

#[gtest]
fn verify_a_lost_path_to_the_home_costs_no_requests() {
    // Symptom: one router refuses most requests of one workspace while its peers admit them.
    // Sequence: that router cannot reach the workspace's home, though every other router can.
    // Cause: no way round, or a second bucket at the router that was asked instead.
    let published = Published::new(7, 1, LIMIT, LIMIT);
    for load in [1.0, 3.0] {
        let mut fleet = Fleet::new(&published, LAN, 6);
        let workspace = fleet.workspace(0);
        let home = fleet.home(workspace);
        let entry = (home + 1) % 7;
        fleet.severed = Some((home, entry));
        let rates = split_at(entry, f64::from(LIMIT) * load);
        fleet.run(Millis(25_000), workspace, &rates);
        expect_within(&fleet, &format!("lost path at {load}"), bounds().0);
    }
}

fn split_at(entry: usize, rate: f64) -> Vec<f64> {
    let mut rates = vec![rate * 0.1 / 6.0; 7];
    rates[entry] = rate * 0.9;
    rates
}

#[gtest]
fn verify_limit_holds_when_the_home_wakes_late() {
    // Symptom: a burst far above the limit when a paused process wakes.
    // Sequence: the home stands still for 5 s; the others take a substitute; the home wakes,
    // answers the questions it finds and believes to be home all along.
    // Cause: late grants that are taken as fresh, and a bucket that filled while it stood still.
    let published = Published::new(7, 1, LIMIT, LIMIT);
    let mut fleet = Fleet::new(&published, LAN, 7);
    let workspace = fleet.workspace(0);
    let home = fleet.home(workspace);
    let rates = even(7, f64::from(LIMIT) * 3.0);
    fleet.run(Millis(12_000), workspace, &rates);
    fleet.routers[home].paused = fleet.now + Millis(5000);
    fleet.run(Millis(17_000), workspace, &rates);
    expect_within(&fleet, "wakes late", bounds().0);
}

#[gtest]
fn verify_every_call_is_decided_within_the_longest_wait() {
    // Symptom: a caller waits for its refusal until its own deadline.
    // Sequence: the home falls silent without a sign; calls wait for grants that never come.
    // Cause: a wait without a bound, or a call that is forgotten.
    let published = Published::new(7, 1, LIMIT, LIMIT);
    let mut fleet = Fleet::new(&published, LAN, 8);
    let workspace = fleet.workspace(0);
    let home = fleet.home(workspace);
    let rates = even(7, f64::from(LIMIT) * 3.0);
    fleet.run(Millis(3000), workspace, &rates);
    fleet.routers[home].paused = Time(u64::MAX);
    fleet.run(Millis(5000), workspace, &rates);
    fleet.run(Millis(200), workspace, &[]);
    expect_that!(fleet.undecided(), eq(0));
    let longest = fleet.waits.iter().max().copied();
    expect_that!(longest, some(le(MAX_WAIT.0 + 50)));
}

#[gtest]
fn verify_refused_calls_are_told_different_times() {
    // Symptom: waves of requests, a second apart, after a surge.
    // Sequence: a thousand calls are refused in the same moment and come back together.
    // Cause: the same `Retry-After` for all.
    let published = Published::new(7, 1, 10, 10);
    let mut fleet = Fleet::new(&published, LAN, 9);
    let workspace = fleet.workspace(0);
    fleet.run(Millis(500), workspace, &one(7, 1, 2000.0));
    let mut slots = [0_usize; 10];
    for (_, after) in &fleet.refused {
        let slot = after.0 * 10 / (RETRY_JITTER.0 + 1000);
        slots[usize::try_from(slot).unwrap().min(9)] += 1;
    }
    let busiest = slots.iter().max().copied().unwrap_or_default();
    println!("returns of {} in tenths: {slots:?}", fleet.refused.len());
    expect_that!(busiest * 4, le(fleet.refused.len()));
}

#[gtest]
fn verify_waiting_calls_are_bounded_and_surges_do_not_ask_per_request() {
    // Symptom: one surging workspace fills a router's memory and its peer links.
    // Sequence: 20,000 calls enter one router while the home does not answer; later the home
    // answers, and 20,000 calls a second are refused.
    // Cause: a line without a bound; a question for each call.
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
    fleet.run(Millis(5000), workspace, &one(7, entry, 20_000.0));
    let asks = fleet.routers[entry].sent - before;
    println!("{asks} questions for 100,000 calls");
    expect_that!(asks, le(100));
}
