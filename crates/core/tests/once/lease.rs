//! Tests of the lease that a home needs to act, and of the promises of the voters that confirm it.

use crate::rig::{
    LEASE,
    Rig,
    STEP,
    all_links_up,
    change,
    confirming_vote,
    fleet, //
};
use googletest::prelude::*;
use toucanturn_core::{
    config::store::Store,
    once::{
        Fleet,
        MAX_LEASE,
        promise_duration, //
    },
    units::{
        Incarnation,
        Millis,
        Revision, //
    },
};

const SEVEN: [&str; 7] = ["r1", "r2", "r3", "r4", "r5", "r6", "r7"];

fn in_first_four(name: &str) -> bool {
    ["r1", "r2", "r3", "r4"].contains(&name)
}

fn same_side(a: &str, b: &str) -> bool {
    in_first_four(a) == in_first_four(b)
}

#[gtest]
fn verify_a_lease_needs_a_majority() {
    // Guards against a call that runs on both sides of a partition: seven routers are split into
    // four and three, and a home goes on without a majority of the published fleet.
    let mut rig = Rig::new(&SEVEN);
    rig.publish(1, &SEVEN, &SEVEN);
    rig.advance(LEASE, all_links_up);
    expect_that!(rig.holders().len(), eq(7));
    rig.advance(Millis(LEASE.0 + STEP.0), same_side);
    expect_that!(
        rig.holders(),
        elements_are![eq(&"r1"), eq(&"r2"), eq(&"r3"), eq(&"r4")]
    );
}

#[gtest]
fn verify_a_lease_runs_from_the_time_it_was_asked_for() {
    // Guards against a home that acts after its voters' promises have ended: the votes of a round
    // arrive almost a whole lease late, and the lease is counted from their arrival.
    let mut rig = Rig::new(&SEVEN);
    rig.publish(1, &SEVEN, &SEVEN);
    let asked = rig.now;
    let config = rig.router_mut("r1").config();
    let mut asks = Vec::new();
    rig.router_mut("r1").home.tick(asked, &config, &mut asks);
    expect_that!(asks.len(), eq(6));
    let late = asked + Millis(LEASE.0 - 100);
    for (to, _) in asks.iter().take(3) {
        rig.router_mut("r1").home.record_vote(
            late,
            *to,
            Incarnation(1),
            (Revision(1), 1),
            confirming_vote(),
        );
    }
    expect_that!(rig.router_mut("r1").home.holds_lease(late), eq(true));
    expect_that!(
        rig.router_mut("r1").home.holds_lease(asked + LEASE),
        eq(false)
    );
}

#[gtest]
fn verify_a_restarted_voter_confirms_nothing_for_the_longest_lease() {
    // Guards against two homes that act for one key: a voter confirms the old epoch, restarts
    // without memory of that promise, and confirms the new epoch at once.
    let mut rig = Rig::new(&["r1", "r2", "r3"]);
    let three = ["r1", "r2", "r3"];
    rig.publish(1, &three, &three);
    rig.advance(LEASE, all_links_up);
    rig.restart("r2");
    rig.restart("r3");
    rig.publish(1, &three, &["r2", "r3"]);
    rig.advance(Millis(MAX_LEASE.0 - 100), all_links_up);
    expect_that!(rig.holders(), is_empty());
    rig.advance(promise_duration(MAX_LEASE), all_links_up);
    expect_that!(rig.holders().len(), eq(3));
}

#[gtest]
fn verify_a_voter_keeps_its_promise_over_a_change_of_epoch() {
    // Guards against a home of the new epoch that acts while one of the old epoch holds its lease:
    // r1 is cut off with a fresh lease, and the other routers apply the next fleet list at once and
    // confirm its epoch within that lease.
    let mut rig = Rig::new(&SEVEN);
    rig.publish(1, &SEVEN, &SEVEN);
    rig.advance(LEASE, all_links_up);
    let rest = &SEVEN[1..];
    rig.publish(2, rest, rest);
    let cut = |a: &str, b: &str| a != "r1" && b != "r1";
    let mut held_ms = 0;
    while rig.holders() == vec!["r1"] {
        held_ms += STEP.0;
        rig.advance(STEP, cut);
    }
    expect_that!(held_ms, le(LEASE.0));
    expect_that!(rig.holders(), is_empty());
    rig.advance(LEASE, cut);
    expect_that!(rig.holders().len(), eq(6));
}

#[gtest]
fn verify_a_voter_confirms_only_the_latest_incarnation_of_a_home() {
    // Guards against a call that runs in two incarnations of its home: the home's VM is replaced,
    // the old process resumes after a pause, and a voter confirms both.
    let mut rig = Rig::new(&["r1", "r2", "r3"]);
    let three = ["r1", "r2", "r3"];
    rig.publish(1, &three, &three);
    let now = rig.now;
    let voter = rig.router_mut("r2");
    let config = voter.config();
    let requester = config.fleet.key(&"r1".try_into().unwrap()).unwrap();
    let mut ask = |at, incarnation| {
        let asked = (Revision(1), LEASE);
        let vote = voter
            .home
            .vote(at, &config, requester, Incarnation(incarnation), asked);
        vote.confirmed
    };
    expect_that!(ask(now, 1), eq(true));
    expect_that!(ask(now + LEASE, 2), eq(false));
    expect_that!(ask(now + LEASE, 1), eq(false));
    expect_that!(ask(now + promise_duration(LEASE), 2), eq(true));
    expect_that!(ask(now + promise_duration(LEASE), 1), eq(false));
    expect_that!(
        ask(
            now + promise_duration(MAX_LEASE) + promise_duration(MAX_LEASE),
            1
        ),
        eq(false)
    );
}

#[gtest]
fn verify_a_voter_confirms_its_own_epoch_only() {
    // Guards against a home of a superseded fleet list that goes on: the voter has the next list
    // and the home the previous one, or the other way round. A voter that confirms the old home
    // cannot attest that it has ended.
    let mut rig = Rig::new(&["r1", "r2", "r3"]);
    let three = ["r1", "r2", "r3"];
    rig.publish(2, &three, &three);
    let now = rig.now;
    let voter = rig.router_mut("r2");
    let config = voter.config();
    let requester = config.fleet.key(&"r1".try_into().unwrap()).unwrap();
    let mut ask = |epoch| {
        let asked = (Revision(epoch), LEASE);
        let vote = voter
            .home
            .vote(now, &config, requester, Incarnation(1), asked);
        vote.confirmed
    };
    expect_that!(ask(1), eq(false));
    expect_that!(ask(3), eq(false));
    expect_that!(ask(2), eq(true));
}

#[gtest]
fn verify_a_shorter_published_lease_does_not_shorten_promises() {
    // Guards against a home that acts under a lease that its voters take for ended: a shorter lease
    // is published, the voter has received it and the home has not, and the voter keeps its promise
    // only for its own lease duration.
    let mut rig = Rig::new(&["r1", "r2", "r3"]);
    let three = ["r1", "r2", "r3"];
    rig.publish(1, &three, &three);
    let now = rig.now;
    let voter = rig.router_mut("r2");
    let config = voter.config();
    let requester = config.fleet.key(&"r1".try_into().unwrap()).unwrap();
    let asked = (Revision(1), Millis(6000));
    let vote = voter
        .home
        .vote(now, &config, requester, Incarnation(1), asked);
    expect_that!(vote.confirmed, eq(true));
    rig.publish(2, &["r1", "r2"], &["r2"]);
    let voter = rig.router_mut("r2");
    let config = voter.config();
    let asked = (Revision(2), LEASE);
    let mut ask = |at| {
        let vote = voter
            .home
            .vote(at, &config, requester, Incarnation(1), asked);
        vote.confirmed
    };
    expect_that!(ask(now + Millis(6000)), eq(false));
    expect_that!(ask(now + promise_duration(Millis(6000))), eq(true));
}

#[gtest]
fn verify_a_vote_counts_for_its_own_round() {
    // Guards against a home that acts after its voters' promises have ended: votes of one round
    // arrive after the next round was sent and count for that later round.
    let mut rig = Rig::new(&SEVEN);
    rig.publish(1, &SEVEN, &SEVEN);
    let first = rig.now;
    let config = rig.router_mut("r1").config();
    let mut asks = Vec::new();
    rig.router_mut("r1").home.tick(first, &config, &mut asks);
    let second = first + Millis(LEASE.0 - 100);
    rig.router_mut("r1").home.tick(second, &config, &mut asks);
    for (to, _) in asks.iter().take(3) {
        let round = (Revision(1), 1);
        rig.router_mut("r1").home.record_vote(
            second,
            *to,
            Incarnation(1),
            round,
            confirming_vote(),
        );
    }
    expect_that!(rig.router_mut("r1").home.holds_lease(second), eq(false));
}

#[gtest]
fn verify_a_replacement_of_members_waits_for_the_old_fleet() {
    // Guards against a call that runs under two fleet lists at once: one publish replaces r1 by r8,
    // and r1 to r4 do not receive it and are cut off. r1 to r4 are a majority of the old seven, r5
    // to r8 of the new seven.
    let mut rig = Rig::new(&SEVEN);
    rig.add("r8");
    rig.publish(1, &SEVEN, &SEVEN);
    rig.advance(promise_duration(MAX_LEASE), all_links_up);
    let next = ["r2", "r3", "r4", "r5", "r6", "r7", "r8"];
    rig.publish(2, &next, &["r5", "r6", "r7", "r8"]);
    rig.advance(Millis(3 * MAX_LEASE.0), same_side);
    expect_that!(
        rig.holders(),
        elements_are![eq(&"r1"), eq(&"r2"), eq(&"r3"), eq(&"r4")]
    );
    rig.publish(2, &next, &["r2", "r3", "r4"]);
    rig.advance(promise_duration(MAX_LEASE), all_links_up);
    expect_that!(rig.holders(), is_empty());
    rig.advance(LEASE, all_links_up);
    expect_that!(rig.holders().len(), eq(7));
}

#[gtest]
fn verify_a_home_that_knows_the_old_fleet_waits_without_its_voters() {
    // Guards against the same fault where r6 and r7 restart and, like r8, know only the new list: a
    // home that knows the old fleet must itself wait and not leave that to its voters.
    let mut rig = Rig::new(&SEVEN);
    rig.add("r8");
    rig.publish(1, &SEVEN, &SEVEN);
    rig.advance(promise_duration(MAX_LEASE), all_links_up);
    let next = ["r2", "r3", "r4", "r5", "r6", "r7", "r8"];
    rig.publish(2, &next, &["r5"]);
    for name in ["r6", "r7", "r8"] {
        rig.restart(name);
        rig.publish(2, &next, &[name]);
    }
    rig.advance(Millis(3 * MAX_LEASE.0), same_side);
    expect_that!(rig.holders(), not(contains(eq(&"r5"))));
}

#[gtest]
fn verify_a_router_at_a_new_address_is_another_voter() {
    // Guards against a call that runs under two fleet lists at once: two of three routers are
    // replaced at other addresses under their old names, and the old and the new process count as
    // one voter though both can be running.
    let fleet_of = |names: &[&str]| {
        let mut store = Store::default();
        store
            .apply(&change(0, 1, &[("fleet", fleet(names))]))
            .unwrap();
        Fleet::of(store.current())
    };
    let old = fleet_of(&["r1", "r2", "r3"]);
    expect_that!(
        old.quorums_intersect(&fleet_of(&["r1", "r2", "r3"])),
        eq(true)
    );
    expect_that!(
        old.quorums_intersect(&fleet_of(&["r1@2", "r2@2", "r3"])),
        eq(false)
    );
}

#[gtest]
fn verify_quorums_intersect_matches_an_exhaustive_search() {
    // Guards against a publish that is taken for safe though its majorities can be disjoint,
    // because a rule on counts does not match the sets. Checks every pair of non-empty fleets out
    // of six routers.
    let names = ["r1", "r2", "r3", "r4", "r5", "r6"];
    let members = |mask: u32| -> Vec<&str> {
        let selected = |(i, _): &(usize, &&str)| mask & (1 << i) != 0;
        names
            .iter()
            .enumerate()
            .filter(selected)
            .map(|(_, n)| *n)
            .collect()
    };
    let fleet_of = |mask: u32| {
        let mut store = Store::default();
        let entries = [("fleet", fleet(&members(mask)))];
        store.apply(&change(0, 1, &entries)).unwrap();
        Fleet::of(store.current())
    };
    let fleets: Vec<Fleet> = (1..64).map(fleet_of).collect();
    let majority =
        |part: u32, whole: u32| part & !whole == 0 && part.count_ones() * 2 > whole.count_ones();
    for a in 1..64u32 {
        for b in 1..64u32 {
            let disjoint =
                (1..64).any(|x| majority(x, a) && (1..64).any(|y| majority(y, b) && x & y == 0));
            let reported = fleets[a as usize - 1].quorums_intersect(&fleets[b as usize - 1]);
            expect_that!(reported, eq(!disjoint), "fleets {a:b} and {b:b}");
        }
    }
}

#[gtest]
fn verify_a_large_fleet_is_not_asked_as_a_whole() {
    // Guards against control traffic that grows with the square of the fleet because each home asks
    // every router in each round: 40 routers renew their leases, then two of the voters that were
    // asked are gone.
    let names: Vec<&'static str> = (1..=40).map(|n| &*format!("r{n}").leak()).collect();
    let mut rig = Rig::new(&names);
    rig.publish(1, &names, &names);
    rig.advance(LEASE, all_links_up);
    let now = rig.now + LEASE;
    let config = rig.router_mut("r1").config();
    let mut asks = Vec::new();
    rig.router_mut("r1").home.tick(now, &config, &mut asks);
    expect_that!(asks.len(), eq(23));
    let gone = |_: &str, b: &str| b != "r2" && b != "r3";
    rig.advance(Millis(2 * LEASE.0), gone);
    expect_that!(rig.holders().len(), ge(40));
}
