//! The lease under which a home acts, and the promises of those that confirm it.

use crate::rig::{
    LEASE,
    Rig,
    STEP,
    change,
    fleet,
    open,
    yes, //
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

fn side(name: &str) -> bool {
    ["r1", "r2", "r3", "r4"].contains(&name)
}

fn split(a: &str, b: &str) -> bool {
    side(a) == side(b)
}

#[gtest]
fn verify_a_lease_needs_a_majority() {
    // Symptom: an action runs on both sides of a partition.
    // Sequence: seven routers are cut into four and three; both sides go on.
    // Cause: a home that acts without a majority of the published fleet.
    let mut rig = Rig::new(&SEVEN);
    rig.publish(1, &SEVEN, &SEVEN);
    rig.pass(LEASE, open);
    expect_that!(rig.holders().len(), eq(7));
    rig.pass(Millis(LEASE.0 + STEP.0), split);
    expect_that!(
        rig.holders(),
        elements_are![eq(&"r1"), eq(&"r2"), eq(&"r3"), eq(&"r4")]
    );
}

#[gtest]
fn verify_a_lease_runs_from_the_time_it_was_asked_for() {
    // Symptom: a home acts after the voters' promises have run out.
    // Sequence: the answers to a round come almost a whole lease late.
    // Cause: a lease that is counted from the answer.
    let mut rig = Rig::new(&SEVEN);
    rig.publish(1, &SEVEN, &SEVEN);
    let asked = rig.now;
    let config = rig.at("r1").config();
    let mut asks = Vec::new();
    rig.at("r1").home.tick(asked, &config, &mut asks);
    expect_that!(asks.len(), eq(6));
    let late = asked + Millis(LEASE.0 - 100);
    for (to, _) in asks.iter().take(3) {
        rig.at("r1")
            .home
            .record_vote(late, *to, Incarnation(1), (Revision(1), 1), yes());
    }
    expect_that!(rig.at("r1").home.holds_lease(late), eq(true));
    expect_that!(rig.at("r1").home.holds_lease(asked + LEASE), eq(false));
}

#[gtest]
fn verify_a_fresh_voter_confirms_nothing_for_the_longest_lease() {
    // Symptom: two homes act for one key.
    // Sequence: a voter confirms the old epoch, restarts, and confirms the new one at once.
    // Cause: the new life has forgotten what the last one promised.
    let mut rig = Rig::new(&["r1", "r2", "r3"]);
    let three = ["r1", "r2", "r3"];
    rig.publish(1, &three, &three);
    rig.pass(LEASE, open);
    rig.restart("r2");
    rig.restart("r3");
    rig.publish(1, &three, &["r2", "r3"]);
    rig.pass(Millis(MAX_LEASE.0 - 100), open);
    expect_that!(rig.holders(), is_empty());
    rig.pass(promise_duration(MAX_LEASE), open);
    expect_that!(rig.holders().len(), eq(3));
}

#[gtest]
fn verify_a_voter_keeps_its_promise_over_a_change_of_epoch() {
    // Symptom: a home of the new epoch acts while one of the old still holds its lease.
    // Sequence: r1 is cut off with a fresh lease; the others take the next fleet list at once.
    // Cause: a voter that confirms the new epoch within the lease that it confirmed before.
    let mut rig = Rig::new(&SEVEN);
    rig.publish(1, &SEVEN, &SEVEN);
    rig.pass(LEASE, open);
    let rest = &SEVEN[1..];
    rig.publish(2, rest, rest);
    let cut = |a: &str, b: &str| a != "r1" && b != "r1";
    let mut held = 0;
    while rig.holders() == vec!["r1"] {
        held += STEP.0;
        rig.pass(STEP, cut);
    }
    expect_that!(held, le(LEASE.0));
    expect_that!(rig.holders(), is_empty());
    rig.pass(LEASE, cut);
    expect_that!(rig.holders().len(), eq(6));
}

#[gtest]
fn verify_a_voter_confirms_only_the_latest_life_of_a_home() {
    // Symptom: an action runs in the old and in the new life of its home.
    // Sequence: a home's VM is replaced, and the old process comes back from a pause.
    // Cause: a voter that confirms both lives.
    let mut rig = Rig::new(&["r1", "r2", "r3"]);
    let three = ["r1", "r2", "r3"];
    rig.publish(1, &three, &three);
    let now = rig.now;
    let voter = rig.at("r2");
    let config = voter.config();
    let asker = config.fleet.key(&"r1".try_into().unwrap()).unwrap();
    let mut ask = |at, life| {
        let asked = (Revision(1), LEASE);
        let vote = voter
            .home
            .vote(at, &config, asker, Incarnation(life), asked);
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
    // Symptom: a home of a list that is no longer in force goes on.
    // Sequence: a voter has the next list, the home that asks has the last; and the other way.
    // Cause: a voter that keeps an old home going is no witness that it ended.
    let mut rig = Rig::new(&["r1", "r2", "r3"]);
    let three = ["r1", "r2", "r3"];
    rig.publish(2, &three, &three);
    let now = rig.now;
    let voter = rig.at("r2");
    let config = voter.config();
    let asker = config.fleet.key(&"r1".try_into().unwrap()).unwrap();
    let mut ask = |epoch| {
        let asked = (Revision(epoch), LEASE);
        let vote = voter.home.vote(now, &config, asker, Incarnation(1), asked);
        vote.confirmed
    };
    expect_that!(ask(1), eq(false));
    expect_that!(ask(3), eq(false));
    expect_that!(ask(2), eq(true));
}

#[gtest]
fn verify_a_shorter_published_lease_does_not_shorten_promises() {
    // Symptom: a home acts under a lease that its voters think is over.
    // Sequence: the lease is published shorter; a voter has the news, the home has not.
    // Cause: a voter that keeps its promise for its own idea of the lease.
    let mut rig = Rig::new(&["r1", "r2", "r3"]);
    let three = ["r1", "r2", "r3"];
    rig.publish(1, &three, &three);
    let now = rig.now;
    let voter = rig.at("r2");
    let config = voter.config();
    let asker = config.fleet.key(&"r1".try_into().unwrap()).unwrap();
    let asked = (Revision(1), Millis(6000));
    let vote = voter.home.vote(now, &config, asker, Incarnation(1), asked);
    expect_that!(vote.confirmed, eq(true));
    rig.publish(2, &["r1", "r2"], &["r2"]);
    let voter = rig.at("r2");
    let config = voter.config();
    let asked = (Revision(2), LEASE);
    let mut ask = |at| {
        let vote = voter.home.vote(at, &config, asker, Incarnation(1), asked);
        vote.confirmed
    };
    expect_that!(ask(now + Millis(6000)), eq(false));
    expect_that!(ask(now + promise_duration(Millis(6000))), eq(true));
}

#[gtest]
fn verify_an_answer_counts_for_its_own_round() {
    // Symptom: a home acts after the voters' promises have run out.
    // Sequence: the answers to one round come after the next was sent.
    // Cause: an answer counted for a round that was sent after the promise was given.
    let mut rig = Rig::new(&SEVEN);
    rig.publish(1, &SEVEN, &SEVEN);
    let first = rig.now;
    let config = rig.at("r1").config();
    let mut asks = Vec::new();
    rig.at("r1").home.tick(first, &config, &mut asks);
    let second = first + Millis(LEASE.0 - 100);
    rig.at("r1").home.tick(second, &config, &mut asks);
    for (to, _) in asks.iter().take(3) {
        let round = (Revision(1), 1);
        rig.at("r1")
            .home
            .record_vote(second, *to, Incarnation(1), round, yes());
    }
    expect_that!(rig.at("r1").home.holds_lease(second), eq(false));
}

#[gtest]
fn verify_a_swap_of_members_waits_for_the_old_fleet() {
    // Symptom: an action runs under two fleet lists at once.
    // Sequence: one publish puts r8 in the place of r1; r1 to r4 do not hear it and are cut off.
    // Cause: r1 to r4 are a majority of the old seven, r5 to r8 of the new.
    let mut rig = Rig::new(&SEVEN);
    rig.add("r8");
    rig.publish(1, &SEVEN, &SEVEN);
    rig.pass(promise_duration(MAX_LEASE), open);
    let next = ["r2", "r3", "r4", "r5", "r6", "r7", "r8"];
    rig.publish(2, &next, &["r5", "r6", "r7", "r8"]);
    rig.pass(Millis(3 * MAX_LEASE.0), split);
    expect_that!(
        rig.holders(),
        elements_are![eq(&"r1"), eq(&"r2"), eq(&"r3"), eq(&"r4")]
    );
    rig.publish(2, &next, &["r2", "r3", "r4"]);
    rig.pass(promise_duration(MAX_LEASE), open);
    expect_that!(rig.holders(), is_empty());
    rig.pass(LEASE, open);
    expect_that!(rig.holders().len(), eq(7));
}

#[gtest]
fn verify_a_home_that_knows_the_old_fleet_waits_without_its_voters() {
    // Symptom: an action runs under two fleet lists at once.
    // Sequence: as above, but r6 and r7 restart and know only the new list, as r8 does.
    // Cause: a home that leaves the old fleet to its voters.
    let mut rig = Rig::new(&SEVEN);
    rig.add("r8");
    rig.publish(1, &SEVEN, &SEVEN);
    rig.pass(promise_duration(MAX_LEASE), open);
    let next = ["r2", "r3", "r4", "r5", "r6", "r7", "r8"];
    rig.publish(2, &next, &["r5"]);
    for name in ["r6", "r7", "r8"] {
        rig.restart(name);
        rig.publish(2, &next, &[name]);
    }
    rig.pass(Millis(3 * MAX_LEASE.0), split);
    expect_that!(rig.holders(), not(contains(eq(&"r5"))));
}

#[gtest]
fn verify_a_router_at_a_new_address_is_another_voter() {
    // Symptom: an action runs under two fleet lists at once.
    // Sequence: two routers of three are replaced at other addresses under their old names.
    // Cause: the old process and the new one count as one voter, though both can be up.
    let made = |names: &[&str]| {
        let mut store = Store::default();
        store
            .apply(&change(0, 1, &[("fleet", fleet(names))]))
            .unwrap();
        Fleet::of(store.current())
    };
    let old = made(&["r1", "r2", "r3"]);
    expect_that!(old.quorums_intersect(&made(&["r1", "r2", "r3"])), eq(true));
    expect_that!(
        old.quorums_intersect(&made(&["r1@2", "r2@2", "r3"])),
        eq(false)
    );
}

#[gtest]
fn verify_overlap_is_what_it_says() {
    // Symptom: a publish is thought safe whose majorities are apart.
    // Sequence: every pair of fleets of up to five of six routers.
    // Cause: a rule of thumb on counts that does not match the sets.
    let names = ["r1", "r2", "r3", "r4", "r5", "r6"];
    let of = |mask: u32| -> Vec<&str> {
        let hit = |(i, _): &(usize, &&str)| mask & (1 << i) != 0;
        names
            .iter()
            .enumerate()
            .filter(hit)
            .map(|(_, n)| *n)
            .collect()
    };
    let made = |mask: u32| {
        let mut store = Store::default();
        let entries = [("fleet", fleet(&of(mask)))];
        store.apply(&change(0, 1, &entries)).unwrap();
        Fleet::of(store.current())
    };
    let fleets: Vec<Fleet> = (1..64).map(made).collect();
    let majority =
        |part: u32, whole: u32| part & !whole == 0 && part.count_ones() * 2 > whole.count_ones();
    for a in 1..64u32 {
        for b in 1..64u32 {
            let apart =
                (1..64).any(|x| majority(x, a) && (1..64).any(|y| majority(y, b) && x & y == 0));
            let says = fleets[a as usize - 1].quorums_intersect(&fleets[b as usize - 1]);
            expect_that!(says, eq(!apart), "fleets {a:b} and {b:b}");
        }
    }
}

#[gtest]
fn verify_a_large_fleet_is_not_asked_as_a_whole() {
    // Symptom: control traffic grows with the square of the fleet.
    // Sequence: 40 routers renew their leases; then two of those asked are gone.
    // Cause: every home asks every router in every round.
    let names: Vec<&'static str> = (1..=40).map(|n| &*format!("r{n}").leak()).collect();
    let mut rig = Rig::new(&names);
    rig.publish(1, &names, &names);
    rig.pass(LEASE, open);
    let now = rig.now + LEASE;
    let config = rig.at("r1").config();
    let mut asks = Vec::new();
    rig.at("r1").home.tick(now, &config, &mut asks);
    expect_that!(asks.len(), eq(23));
    let gone = |_: &str, b: &str| b != "r2" && b != "r3";
    rig.pass(Millis(2 * LEASE.0), gone);
    expect_that!(rig.holders().len(), ge(40));
}
