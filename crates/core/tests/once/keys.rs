//! Tests of a home's key memory, and of its answers for keys that are not in it.

use bytes::Bytes;
use googletest::prelude::*;
use toucanturn_core::{
    once::{
        KeyDecision,
        MAX_KEYS,
        MAX_LEASE,
        MAX_STORED_ANSWER_BYTES,
        MAX_WAITERS_PER_KEY,
        promise_duration, //
    },
    request::{
        Answer,
        Call,
        Code,
        Key,
        Outcome,
        Refusal, //
    },
    units::{
        Millis,
        Wall, //
    },
};

use crate::rig::{
    LEASE,
    Rig,
    SKEW,
    STEP,
    all_links_up,
    home_of,
    key, //
};

const FIVE: [&str; 5] = ["r1", "r2", "r3", "r4", "r5"];

/// Longer than the period after the start of a home's tenure in which a key cannot be told from one
/// made before the tenure.
const PAST_TENURE_START: Millis = Millis(2 * SKEW.0 + 500);

fn five_routers() -> Rig {
    let mut rig = Rig::new(&FIVE);
    rig.publish(1, &FIVE, &FIVE);
    rig.advance(Millis(LEASE.0 + PAST_TENURE_START.0), all_links_up);
    rig
}

fn answer(body: usize) -> Answer {
    Answer {
        status: 200,
        content_type: Bytes::from_static(b"application/json"),
        body: Bytes::from(vec![b'x'; body]),
        cached_tokens: None,
    }
}

fn refusal_of(begin: KeyDecision) -> Option<(Code, Outcome)> {
    match begin {
        KeyDecision::Refuse(Refusal { code, outcome, .. }) => Some((code, outcome)),
        _ => None,
    }
}

#[gtest]
fn verify_a_key_runs_once_and_its_answer_is_given_again() {
    let mut rig = five_routers();
    let key = rig.key_with_home("r1", rig.now.wall, &[&FIVE]);
    expect_that!(rig.begin("r1", key, 9), eq(&KeyDecision::Run));
    expect_that!(rig.begin("r1", key, 9), eq(&KeyDecision::Wait));
    let ended = rig
        .router_mut("r1")
        .home
        .end(key, Outcome::Done, Some(answer(5)));
    expect_that!(ended.waiters, elements_are![eq(&Call(1))]);
    expect_that!(rig.begin("r1", key, 9), eq(&KeyDecision::Replay(answer(5))));
}

#[gtest]
fn verify_a_key_with_other_content_is_refused() {
    // Guards against a caller that takes the answer to one order for that to another: a key comes a
    // second time with another body, and the home compares the key alone. The outcome is not "not
    // run", as the first body may have run and the caller would read it as a statement about the
    // key.
    let mut rig = five_routers();
    let key = rig.key_with_home("r1", rig.now.wall, &[&FIVE]);
    rig.begin("r1", key, 9);
    let refused = Some((Code::KeyReused, Outcome::Unknown));
    expect_that!(refusal_of(rig.begin("r1", key, 8)), eq(refused));
}

#[gtest]
fn verify_a_key_made_before_the_tenure_is_unknown() {
    // Guards against a payment that is taken twice: the home runs it, its VM is replaced, the
    // caller repeats the key, and the new incarnation takes a key that it does not remember for a
    // new one.
    let mut rig = five_routers();
    let key = rig.key_with_home("r1", rig.now.wall, &[&FIVE]);
    expect_that!(rig.begin("r1", key, 9), eq(&KeyDecision::Run));
    rig.restart("r1");
    rig.publish(1, &FIVE, &["r1"]);
    rig.advance(Millis(2 * LEASE.0), all_links_up);
    expect_that!(rig.holders().len(), eq(5));
    let refused = Some((Code::KeyExpired, Outcome::Unknown));
    expect_that!(refusal_of(rig.begin("r1", key, 9)), eq(refused));
    let later = rig.key_with_home("r1", rig.now.wall + PAST_TENURE_START, &[&FIVE]);
    rig.advance(PAST_TENURE_START, all_links_up);
    expect_that!(rig.begin("r1", later, 9), eq(&KeyDecision::Run));
}

#[gtest]
fn verify_a_caller_whose_clock_is_ahead_does_not_run_twice() {
    // Guards against a payment that is taken twice because a tenure trusts callers' clocks: r5 is
    // cut off and removed from the next fleet list, and at the end of its lease runs a key dated as
    // far ahead as it accepts; r1, whose clock is behind, becomes the key's home.
    let mut rig = five_routers();
    let next = ["r1", "r2", "r3", "r4"];
    rig.publish(2, &next, &next);
    let cut = |a: &str, b: &str| a != "r5" && b != "r5";
    rig.advance(Millis(LEASE.0 - 600), cut);
    let ahead = rig.now.wall + SKEW;
    let mut keys = (0..).map(|n| key(ahead, n));
    let moves_from_r5_to_r1 = |k: &Key| home_of(*k, &FIVE) == "r5" && home_of(*k, &next) == "r1";
    let moved_key = keys.find(moves_from_r5_to_r1).unwrap();
    expect_that!(rig.begin("r5", moved_key, 9), eq(&KeyDecision::Run));
    rig.now.wall = Wall(rig.now.wall.0 - SKEW.0);
    while !rig.holders().contains(&"r1") {
        rig.advance(STEP, cut);
    }
    let refused = Some((Code::KeyExpired, Outcome::Unknown));
    expect_that!(refusal_of(rig.begin("r1", moved_key, 9)), eq(refused));
}

#[gtest]
fn verify_a_key_in_progress_is_not_forgotten() {
    // Guards against a payment that is taken twice: the wall clock is stepped ahead while a call
    // runs, and expiry drops the key in progress.
    let mut rig = five_routers();
    let key = rig.key_with_home("r1", rig.now.wall, &[&FIVE]);
    rig.begin("r1", key, 9);
    rig.now.wall = rig.now.wall + Millis::from_secs(3700);
    rig.advance(Millis::from_secs(11), all_links_up);
    expect_that!(rig.begin("r1", key, 9), eq(&KeyDecision::Wait));
}

#[gtest]
fn verify_a_key_dated_ahead_is_refused() {
    let mut rig = five_routers();
    let ahead = rig.now.wall + Millis(SKEW.0 + 1);
    let key = rig.key_with_home("r1", ahead, &[&FIVE]);
    let refused = Some((Code::KeyFuture, Outcome::NotRun));
    expect_that!(refusal_of(rig.begin("r1", key, 9)), eq(refused));
}

#[gtest]
fn verify_a_forgotten_key_never_runs_again() {
    // Guards against a payment that is taken again an hour later because expiry relies on the wall
    // clock alone: the clock is stepped ahead, keys expire, the clock is corrected and the caller
    // repeats its key.
    let mut rig = five_routers();
    let key = rig.key_with_home("r1", rig.now.wall, &[&FIVE]);
    rig.begin("r1", key, 9);
    rig.router_mut("r1")
        .home
        .end(key, Outcome::Done, Some(answer(5)));
    let right = rig.now.wall;
    rig.now.wall = right + Millis::from_secs(3700);
    rig.advance(Millis::from_secs(11), all_links_up);
    expect_that!(rig.router_mut("r1").home.len(), eq(0));
    rig.now.wall = right + Millis::from_secs(11);
    let refused = Some((Code::KeyExpired, Outcome::Unknown));
    expect_that!(refusal_of(rig.begin("r1", key, 9)), eq(refused));
}

/// Guards against a key that is refused as expired although the router has said that it takes new ones: the clocks are
/// read in whole milliseconds, and a later reading dates the start of the tenure a little later.
#[gtest]
fn verify_a_key_made_after_a_router_takes_new_ones_is_no_older_than_its_tenure() {
    for error in 0..=3 {
        let mut rig = Rig::new(&["r1"]);
        rig.publish(1, &["r1"], &["r1"]);
        rig.advance(STEP, all_links_up);
        expect_that!(rig.holders(), elements_are![eq(&"r1")]);
        for _ in 0..3 * SKEW.0 {
            let (now, router) = (rig.now, rig.router_mut("r1"));
            let config = router.config();
            if router.home.accepts_new_keys(now, &config) {
                break;
            }
            rig.now = rig.now + Millis(1);
            if rig.now.mono.0.is_multiple_of(STEP.0) {
                let (now, router) = (rig.now, rig.router_mut("r1"));
                router.home.tick(now, &router.config(), &mut Vec::new());
            }
        }
        let key = rig.key_with_home("r1", rig.now.wall, &[&["r1"]]);
        rig.now.wall = rig.now.wall + Millis(error);
        expect_that!(rig.begin("r1", key, 9), eq(&KeyDecision::Run), "{error} ms");
    }
}

#[gtest]
fn verify_a_stepped_clock_does_not_date_a_tenure_back() {
    // Guards against a payment that is taken twice because a tenure is dated by one reading of the
    // wall clock: after a tenure starts, the home's wall clock is stepped back an hour, or it was
    // an hour behind at the start and is corrected; a key that ran before the tenure comes again.
    for (start, now) in [(0, 3_600_000), (3_600_000, 0)] {
        let mut rig = five_routers();
        let key = rig.key_with_home("r1", rig.now.wall, &[&FIVE]);
        rig.begin("r1", key, 9);
        let (right, mono) = (rig.now.wall, rig.now.mono);
        rig.now.wall = Wall(right.0 - start);
        rig.restart("r1");
        rig.publish(1, &FIVE, &["r1"]);
        rig.advance(Millis(10 * LEASE.0), all_links_up);
        rig.now.wall = Wall(right.0 + rig.now.mono.since(mono).0 - now);
        let begun = rig.begin("r1", key, 9);
        let outcome = refusal_of(begun).map(|(_, outcome)| outcome);
        expect_that!(outcome, some(eq(Outcome::Unknown)));
    }
}

#[gtest]
fn verify_a_full_memory_refuses_new_keys_and_forgets_none() {
    let mut rig = Rig::new(&["r1"]);
    rig.publish(1, &["r1"], &["r1"]);
    rig.advance(Millis(LEASE.0 + PAST_TENURE_START.0), all_links_up);
    let wall = rig.now.wall;
    for number in 0..MAX_KEYS as u64 {
        rig.begin("r1", key(wall, number), 9);
    }
    let one_more = rig.begin("r1", key(wall, 1 << 40), 9);
    expect_that!(
        refusal_of(one_more),
        some(eq((Code::KeysFull, Outcome::NotRun)))
    );
    expect_that!(rig.begin("r1", key(wall, 0), 9), eq(&KeyDecision::Wait));
}

#[gtest]
fn verify_a_large_answer_is_known_to_be_done() {
    let mut rig = five_routers();
    let key = rig.key_with_home("r1", rig.now.wall, &[&FIVE]);
    rig.begin("r1", key, 9);
    let large = Some(answer(MAX_STORED_ANSWER_BYTES + 1));
    rig.router_mut("r1").home.end(key, Outcome::Done, large);
    let gone = Some((Code::AnswerGone, Outcome::Done));
    expect_that!(refusal_of(rig.begin("r1", key, 9)), eq(gone));
}

#[gtest]
fn verify_repeats_that_wait_are_bounded() {
    let mut rig = five_routers();
    let key = rig.key_with_home("r1", rig.now.wall, &[&FIVE]);
    rig.begin("r1", key, 9);
    for _ in 0..MAX_WAITERS_PER_KEY {
        expect_that!(rig.begin("r1", key, 9), eq(&KeyDecision::Wait));
    }
    let refused = Some((Code::KeyInProgress, Outcome::Unknown));
    expect_that!(refusal_of(rig.begin("r1", key, 9)), eq(refused));
}

#[gtest]
fn verify_a_key_that_may_have_run_is_not_reported_as_not_run() {
    // Guards against an action that ran and is reported as not run because the outcome comes from
    // the last attempt alone: one attempt breaks after its bytes were sent, and the next finds no
    // endpoint.
    let mut rig = five_routers();
    let key = rig.key_with_home("r1", rig.now.wall, &[&FIVE]);
    rig.begin("r1", key, 9);
    rig.router_mut("r1").home.mark_may_have_run(key);
    let ended = rig.router_mut("r1").home.end(key, Outcome::NotRun, None);
    expect_that!(ended.outcome, eq(Outcome::Unknown));
    expect_that!(refusal_of(rig.begin("r1", key, 9)), some(anything()));
}

#[gtest]
fn verify_a_lease_lapse_among_the_same_incarnations_keeps_the_tenure() {
    let mut rig = five_routers();
    let key = rig.key_with_home("r1", rig.now.wall, &[&FIVE]);
    rig.advance(Millis(3 * LEASE.0), |_, _| false);
    expect_that!(rig.holders(), is_empty());
    let refused = Some((Code::HomeUnavailable, Outcome::Unknown));
    expect_that!(refusal_of(rig.begin("r1", key, 9)), eq(refused));
    rig.advance(LEASE, all_links_up);
    expect_that!(rig.begin("r1", key, 9), eq(&KeyDecision::Run));
}

#[gtest]
fn verify_a_lease_lapse_in_which_voters_restarted_starts_a_new_tenure() {
    // Guards against a payment that is taken twice because a home takes the epoch number as proof
    // that no other home acted: it loses its lease; most voters restart, read an older fleet list
    // from a stale service, let that list's home run the key, then catch up and confirm the first
    // home again.
    let mut rig = five_routers();
    let older = ["r2", "r3", "r4", "r5"];
    let key = rig.key_with_home("r1", rig.now.wall, &[&FIVE]);
    rig.advance(Millis(2 * LEASE.0), |_, _| false);
    for name in older {
        rig.restart(name);
        rig.publish(1, &FIVE, &[name]);
    }
    rig.advance(
        Millis(promise_duration(MAX_LEASE).0 + LEASE.0),
        all_links_up,
    );
    expect_that!(rig.holders().len(), eq(5));
    let refused = Some((Code::KeyExpired, Outcome::Unknown));
    expect_that!(refusal_of(rig.begin("r1", key, 9)), eq(refused));
}

#[gtest]
fn verify_a_change_of_fleet_keeps_the_keys_that_stay() {
    let mut rig = five_routers();
    let next = ["r1", "r2", "r3", "r4"];
    let key = rig.key_with_home("r1", rig.now.wall, &[&FIVE, &next]);
    rig.publish(2, &next, &FIVE);
    rig.advance(Millis(2 * LEASE.0), all_links_up);
    expect_that!(rig.begin("r1", key, 9), eq(&KeyDecision::Run));
}

#[gtest]
fn verify_a_key_that_changes_home_is_unknown_at_the_new_one() {
    // Guards against an order that is placed twice: r5 runs it, the next fleet list is without r5,
    // the caller repeats the key, and the new home takes a key that it does not remember for a new
    // one.
    let mut rig = five_routers();
    let next = ["r1", "r2", "r3", "r4"];
    let wall = rig.now.wall;
    let mut keys = (0..).map(|n| key(wall, n));
    let moves_from_r5_to_r1 = |k: &Key| home_of(*k, &FIVE) == "r5" && home_of(*k, &next) == "r1";
    let moved_key = keys.find(moves_from_r5_to_r1).unwrap();
    expect_that!(rig.begin("r5", moved_key, 9), eq(&KeyDecision::Run));
    rig.publish(2, &next, &FIVE);
    rig.advance(Millis(2 * LEASE.0), all_links_up);
    let refused = Some((Code::KeyExpired, Outcome::Unknown));
    expect_that!(refusal_of(rig.begin("r1", moved_key, 9)), eq(refused));
}

#[gtest]
fn verify_an_epoch_that_the_home_skipped_ends_the_tenure() {
    // Guards against an order that is placed twice because a tenure extends over an epoch that the
    // home never saw: r1 is paused during two fleet lists; under the first another router is the
    // home of its key and runs it, under the second r1 is the home again.
    let mut rig = five_routers();
    let without_r1 = ["r2", "r3", "r4", "r5"];
    let wall = rig.now.wall;
    let key = rig.key_with_home("r1", wall, &[&FIVE]);
    let paused = |a: &str, b: &str| a != "r1" && b != "r1";
    rig.publish(2, &without_r1, &without_r1);
    rig.advance(Millis(2 * LEASE.0), paused);
    rig.publish(3, &FIVE, &FIVE);
    rig.advance(Millis(3 * LEASE.0), all_links_up);
    expect_that!(rig.holders().len(), eq(5));
    let refused = Some((Code::KeyExpired, Outcome::Unknown));
    expect_that!(refusal_of(rig.begin("r1", key, 9)), eq(refused));
}

#[gtest]
fn verify_a_call_begun_before_a_new_tenure_is_not_sent() {
    // Guards against an order that is placed twice because only the lease is checked before
    // sending: a home begins a call and is paused before it sends; during two fleet lists another
    // home answers for the key; the home resumes, gets a new lease and sends.
    let mut rig = five_routers();
    let without_r1 = ["r2", "r3", "r4", "r5"];
    let wall = rig.now.wall;
    let key = rig.key_with_home("r1", wall, &[&FIVE]);
    rig.begin("r1", key, 9);
    let now = rig.now;
    expect_that!(
        rig.router_mut("r1").home.send_deadline(now, key),
        some(gt(now.mono))
    );
    let paused = |a: &str, b: &str| a != "r1" && b != "r1";
    rig.publish(2, &without_r1, &without_r1);
    rig.advance(Millis(2 * LEASE.0), paused);
    rig.publish(3, &FIVE, &FIVE);
    rig.advance(Millis(3 * LEASE.0), all_links_up);
    let now = rig.now;
    expect_that!(rig.holders().len(), eq(5));
    expect_that!(rig.router_mut("r1").home.send_deadline(now, key), none());
}

#[gtest]
fn verify_nothing_is_sent_after_the_lease() {
    // Guards against a router that sends a call for which another home has answered: a home begins
    // a call, is paused for longer than its lease, and sends because the lease was checked only
    // when the call began.
    let mut rig = five_routers();
    let key = rig.key_with_home("r1", rig.now.wall, &[&FIVE]);
    rig.begin("r1", key, 9);
    let now = rig.now;
    let until = rig.router_mut("r1").home.send_deadline(now, key);
    expect_that!(until, some(le(now.mono + LEASE)));
    let now = now + LEASE;
    expect_that!(rig.router_mut("r1").home.send_deadline(now, key), none());
}

#[gtest]
fn verify_only_the_home_proves_that_a_key_has_not_run() {
    // Guards against an action that ran and is reported as not run: a key runs at its home, and its
    // repeat is refused by another router or by the home. The caller reads "not run" as a statement
    // about the action, not about that one request.
    let mut rig = five_routers();
    let key = rig.key_with_home("r1", rig.now.wall, &[&FIVE]);
    let now = rig.now;
    let proves_not_run = |rig: &mut Rig, name: &str| {
        let router = rig.router_mut(name);
        let config = router.config();
        router.home.proves_not_run(now, &config, key)
    };
    expect_that!(proves_not_run(&mut rig, "r1"), eq(true));
    expect_that!(proves_not_run(&mut rig, "r2"), eq(false));
    rig.begin("r1", key, 9);
    expect_that!(proves_not_run(&mut rig, "r1"), eq(false));
}
