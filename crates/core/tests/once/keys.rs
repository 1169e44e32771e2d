//! The home's memory of keys, and what it says of those that it does not remember.

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
    home,
    key,
    open, //
};

const FIVE: [&str; 5] = ["r1", "r2", "r3", "r4", "r5"];

/// Past the time after a tenure's start whose keys are not told from older ones.
const SETTLED: Millis = Millis(2 * SKEW.0 + 500);

fn five() -> Rig {
    let mut rig = Rig::new(&FIVE);
    rig.publish(1, &FIVE, &FIVE);
    rig.pass(Millis(LEASE.0 + SETTLED.0), open);
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

fn told(begin: KeyDecision) -> Option<(Code, Outcome)> {
    match begin {
        KeyDecision::Refuse(Refusal { code, outcome, .. }) => Some((code, outcome)),
        _ => None,
    }
}

#[gtest]
fn verify_a_key_runs_once_and_its_answer_is_given_again() {
    let mut rig = five();
    let key = rig.key_of("r1", rig.now.wall, &[&FIVE]);
    expect_that!(rig.begin("r1", key, 9), eq(&KeyDecision::Run));
    expect_that!(rig.begin("r1", key, 9), eq(&KeyDecision::Wait));
    let ended = rig.at("r1").home.end(key, Outcome::Done, Some(answer(5)));
    expect_that!(ended.waiters, elements_are![eq(&Call(1))]);
    expect_that!(rig.begin("r1", key, 9), eq(&KeyDecision::Replay(answer(5))));
}

#[gtest]
fn verify_a_key_with_other_content_is_refused() {
    // Symptom: a caller takes the answer to one order for the answer to another.
    // Sequence: a key comes a second time with another body.
    // Cause: a home that looks at the key alone. The first body may have run, and "not run" would
    // be read as a promise about the key.
    let mut rig = five();
    let key = rig.key_of("r1", rig.now.wall, &[&FIVE]);
    rig.begin("r1", key, 9);
    let refused = Some((Code::KeyReused, Outcome::Unknown));
    expect_that!(told(rig.begin("r1", key, 8)), eq(refused));
}

#[gtest]
fn verify_a_key_made_before_the_tenure_is_unknown() {
    // Symptom: a payment is taken twice.
    // Sequence: the home runs it and its VM is replaced; the caller repeats it to the new life.
    // Cause: a new life that takes a key which it does not remember for a new one.
    let mut rig = five();
    let key = rig.key_of("r1", rig.now.wall, &[&FIVE]);
    expect_that!(rig.begin("r1", key, 9), eq(&KeyDecision::Run));
    rig.restart("r1");
    rig.publish(1, &FIVE, &["r1"]);
    rig.pass(Millis(2 * LEASE.0), open);
    expect_that!(rig.holders().len(), eq(5));
    let refused = Some((Code::KeyExpired, Outcome::Unknown));
    expect_that!(told(rig.begin("r1", key, 9)), eq(refused));
    let later = rig.key_of("r1", rig.now.wall + SETTLED, &[&FIVE]);
    rig.pass(SETTLED, open);
    expect_that!(rig.begin("r1", later, 9), eq(&KeyDecision::Run));
}

#[gtest]
fn verify_a_caller_whose_clock_is_ahead_does_not_run_twice() {
    // Symptom: a payment is taken twice.
    // Sequence: r5 is cut off and left out of the next fleet list; at the end of its lease it runs
    // a key dated as far ahead as it takes; r1, whose clock is behind, becomes the key's home.
    // Cause: a tenure that trusts callers' clocks.
    let mut rig = five();
    let next = ["r1", "r2", "r3", "r4"];
    rig.publish(2, &next, &next);
    let cut = |a: &str, b: &str| a != "r5" && b != "r5";
    rig.pass(Millis(LEASE.0 - 600), cut);
    let ahead = rig.now.wall + SKEW;
    let mut keys = (0..).map(|n| key(ahead, n));
    let moves = |k: &Key| home(*k, &FIVE) == "r5" && home(*k, &next) == "r1";
    let moved = keys.find(moves).unwrap();
    expect_that!(rig.begin("r5", moved, 9), eq(&KeyDecision::Run));
    rig.now.wall = Wall(rig.now.wall.0 - SKEW.0);
    while !rig.holders().contains(&"r1") {
        rig.pass(STEP, cut);
    }
    let refused = Some((Code::KeyExpired, Outcome::Unknown));
    expect_that!(told(rig.begin("r1", moved, 9)), eq(refused));
}

#[gtest]
fn verify_a_key_in_progress_is_not_forgotten() {
    // Symptom: a payment is taken twice.
    // Sequence: the wall clock is stepped ahead while a call runs.
    // Cause: an expiry that drops what is still in progress.
    let mut rig = five();
    let key = rig.key_of("r1", rig.now.wall, &[&FIVE]);
    rig.begin("r1", key, 9);
    rig.now.wall = rig.now.wall + Millis::from_secs(3700);
    rig.pass(Millis::from_secs(11), open);
    expect_that!(rig.begin("r1", key, 9), eq(&KeyDecision::Wait));
}

#[gtest]
fn verify_a_key_dated_ahead_is_refused() {
    let mut rig = five();
    let ahead = rig.now.wall + Millis(SKEW.0 + 1);
    let key = rig.key_of("r1", ahead, &[&FIVE]);
    let refused = Some((Code::KeyFuture, Outcome::NotRun));
    expect_that!(told(rig.begin("r1", key, 9)), eq(refused));
}

#[gtest]
fn verify_a_forgotten_key_never_runs_again() {
    // Symptom: a payment is taken twice, an hour apart.
    // Sequence: the wall clock is stepped ahead, keys are forgotten as too old, the clock is set
    // right and the caller repeats its key.
    // Cause: an expiry that asks the wall clock alone.
    let mut rig = five();
    let key = rig.key_of("r1", rig.now.wall, &[&FIVE]);
    rig.begin("r1", key, 9);
    rig.at("r1").home.end(key, Outcome::Done, Some(answer(5)));
    let right = rig.now.wall;
    rig.now.wall = right + Millis::from_secs(3700);
    rig.pass(Millis::from_secs(11), open);
    expect_that!(rig.at("r1").home.len(), eq(0));
    rig.now.wall = right + Millis::from_secs(11);
    let refused = Some((Code::KeyExpired, Outcome::Unknown));
    expect_that!(told(rig.begin("r1", key, 9)), eq(refused));
}

#[gtest]
fn verify_a_stepped_clock_does_not_date_a_tenure_back() {
    // Symptom: a payment is taken twice.
    // Sequence: a home starts its tenure; its wall clock is stepped back an hour, or was an hour
    // behind at the start and is set right; a key that ran before the tenure comes again.
    // Cause: a tenure dated by one reading of the wall clock.
    for (start, now) in [(0, 3_600_000), (3_600_000, 0)] {
        let mut rig = five();
        let key = rig.key_of("r1", rig.now.wall, &[&FIVE]);
        rig.begin("r1", key, 9);
        let (right, mono) = (rig.now.wall, rig.now.mono);
        rig.now.wall = Wall(right.0 - start);
        rig.restart("r1");
        rig.publish(1, &FIVE, &["r1"]);
        rig.pass(Millis(10 * LEASE.0), open);
        rig.now.wall = Wall(right.0 + rig.now.mono.since(mono).0 - now);
        let begun = rig.begin("r1", key, 9);
        let outcome = told(begun).map(|(_, outcome)| outcome);
        expect_that!(outcome, some(eq(Outcome::Unknown)));
    }
}

#[gtest]
fn verify_a_full_memory_refuses_new_keys_and_forgets_none() {
    let mut rig = Rig::new(&["r1"]);
    rig.publish(1, &["r1"], &["r1"]);
    rig.pass(Millis(LEASE.0 + SETTLED.0), open);
    let wall = rig.now.wall;
    for number in 0..MAX_KEYS as u64 {
        rig.begin("r1", key(wall, number), 9);
    }
    let one_more = rig.begin("r1", key(wall, 1 << 40), 9);
    expect_that!(told(one_more), some(eq((Code::KeysFull, Outcome::NotRun))));
    expect_that!(rig.begin("r1", key(wall, 0), 9), eq(&KeyDecision::Wait));
}

#[gtest]
fn verify_a_large_answer_is_known_to_be_done() {
    let mut rig = five();
    let key = rig.key_of("r1", rig.now.wall, &[&FIVE]);
    rig.begin("r1", key, 9);
    let large = Some(answer(MAX_STORED_ANSWER_BYTES + 1));
    rig.at("r1").home.end(key, Outcome::Done, large);
    let gone = Some((Code::AnswerGone, Outcome::Done));
    expect_that!(told(rig.begin("r1", key, 9)), eq(gone));
}

#[gtest]
fn verify_repeats_that_wait_are_bounded() {
    let mut rig = five();
    let key = rig.key_of("r1", rig.now.wall, &[&FIVE]);
    rig.begin("r1", key, 9);
    for _ in 0..MAX_WAITERS_PER_KEY {
        expect_that!(rig.begin("r1", key, 9), eq(&KeyDecision::Wait));
    }
    let refused = Some((Code::KeyInProgress, Outcome::Unknown));
    expect_that!(told(rig.begin("r1", key, 9)), eq(refused));
}

#[gtest]
fn verify_a_touched_key_is_not_said_to_be_not_run() {
    // Symptom: an action that ran is called not run.
    // Sequence: an attempt breaks after its bytes left, the next finds no endpoint to send to.
    // Cause: an outcome made from the last attempt alone.
    let mut rig = five();
    let key = rig.key_of("r1", rig.now.wall, &[&FIVE]);
    rig.begin("r1", key, 9);
    rig.at("r1").home.mark_may_have_run(key);
    let ended = rig.at("r1").home.end(key, Outcome::NotRun, None);
    expect_that!(ended.outcome, eq(Outcome::Unknown));
    expect_that!(told(rig.begin("r1", key, 9)), some(anything()));
}

#[gtest]
fn verify_a_lapse_among_the_same_lives_keeps_the_tenure() {
    let mut rig = five();
    let key = rig.key_of("r1", rig.now.wall, &[&FIVE]);
    rig.pass(Millis(3 * LEASE.0), |_, _| false);
    expect_that!(rig.holders(), is_empty());
    let refused = Some((Code::HomeUnavailable, Outcome::Unknown));
    expect_that!(told(rig.begin("r1", key, 9)), eq(refused));
    rig.pass(LEASE, open);
    expect_that!(rig.begin("r1", key, 9), eq(&KeyDecision::Run));
}

#[gtest]
fn verify_a_lapse_over_which_voters_restarted_starts_afresh() {
    // Symptom: a payment is taken twice.
    // Sequence: a home loses its lease; most voters restart, read an older fleet list from a
    // stale service, let that list's home run the key, then catch up and confirm the first again.
    // Cause: a home that takes the epoch number for proof that no other acted since.
    let mut rig = five();
    let older = ["r2", "r3", "r4", "r5"];
    let key = rig.key_of("r1", rig.now.wall, &[&FIVE]);
    rig.pass(Millis(2 * LEASE.0), |_, _| false);
    for name in older {
        rig.restart(name);
        rig.publish(1, &FIVE, &[name]);
    }
    rig.pass(Millis(promise_duration(MAX_LEASE).0 + LEASE.0), open);
    expect_that!(rig.holders().len(), eq(5));
    let refused = Some((Code::KeyExpired, Outcome::Unknown));
    expect_that!(told(rig.begin("r1", key, 9)), eq(refused));
}

#[gtest]
fn verify_a_change_of_fleet_keeps_the_keys_that_stay() {
    let mut rig = five();
    let next = ["r1", "r2", "r3", "r4"];
    let key = rig.key_of("r1", rig.now.wall, &[&FIVE, &next]);
    rig.publish(2, &next, &FIVE);
    rig.pass(Millis(2 * LEASE.0), open);
    expect_that!(rig.begin("r1", key, 9), eq(&KeyDecision::Run));
}

#[gtest]
fn verify_a_key_that_changes_home_is_unknown_at_the_new_one() {
    // Symptom: an order is placed twice.
    // Sequence: r5 runs it, the next fleet list has no r5, the caller repeats it.
    // Cause: a new home that takes what it does not remember for new.
    let mut rig = five();
    let next = ["r1", "r2", "r3", "r4"];
    let wall = rig.now.wall;
    let mut keys = (0..).map(|n| key(wall, n));
    let moves = |k: &Key| home(*k, &FIVE) == "r5" && home(*k, &next) == "r1";
    let moved = keys.find(moves).unwrap();
    expect_that!(rig.begin("r5", moved, 9), eq(&KeyDecision::Run));
    rig.publish(2, &next, &FIVE);
    rig.pass(Millis(2 * LEASE.0), open);
    let refused = Some((Code::KeyExpired, Outcome::Unknown));
    expect_that!(told(rig.begin("r1", moved, 9)), eq(refused));
}

#[gtest]
fn verify_an_epoch_that_the_home_skipped_ends_the_tenure() {
    // Symptom: an order is placed twice.
    // Sequence: r1 is paused over two fleet lists; under the first, another router is home to its
    // key and runs it; under the second, r1 is home again.
    // Cause: a tenure that reaches back over an epoch which the home never saw.
    let mut rig = five();
    let without = ["r2", "r3", "r4", "r5"];
    let wall = rig.now.wall;
    let key = rig.key_of("r1", wall, &[&FIVE]);
    let paused = |a: &str, b: &str| a != "r1" && b != "r1";
    rig.publish(2, &without, &without);
    rig.pass(Millis(2 * LEASE.0), paused);
    rig.publish(3, &FIVE, &FIVE);
    rig.pass(Millis(3 * LEASE.0), open);
    expect_that!(rig.holders().len(), eq(5));
    let refused = Some((Code::KeyExpired, Outcome::Unknown));
    expect_that!(told(rig.begin("r1", key, 9)), eq(refused));
}

#[gtest]
fn verify_a_call_begun_before_a_new_tenure_is_not_sent() {
    // Symptom: an order is placed twice.
    // Sequence: a home begins a call and is paused before it is sent; over two fleet lists
    // another home answers for the key; the home wakes, gets a new lease and sends.
    // Cause: a check that looks at the lease alone.
    let mut rig = five();
    let without = ["r2", "r3", "r4", "r5"];
    let wall = rig.now.wall;
    let key = rig.key_of("r1", wall, &[&FIVE]);
    rig.begin("r1", key, 9);
    let now = rig.now;
    expect_that!(
        rig.at("r1").home.send_deadline(now, key),
        some(gt(now.mono))
    );
    let paused = |a: &str, b: &str| a != "r1" && b != "r1";
    rig.publish(2, &without, &without);
    rig.pass(Millis(2 * LEASE.0), paused);
    rig.publish(3, &FIVE, &FIVE);
    rig.pass(Millis(3 * LEASE.0), open);
    let now = rig.now;
    expect_that!(rig.holders().len(), eq(5));
    expect_that!(rig.at("r1").home.send_deadline(now, key), none());
}

#[gtest]
fn verify_nothing_is_sent_after_the_lease() {
    // Symptom: a router that woke late sends what another home has answered for.
    // Sequence: a home begins a call, is paused for longer than its lease, and sends.
    // Cause: a lease that is looked at only when the call begins.
    let mut rig = five();
    let key = rig.key_of("r1", rig.now.wall, &[&FIVE]);
    rig.begin("r1", key, 9);
    let now = rig.now;
    let until = rig.at("r1").home.send_deadline(now, key);
    expect_that!(until, some(le(now.mono + LEASE)));
    let now = now + LEASE;
    expect_that!(rig.at("r1").home.send_deadline(now, key), none());
}

#[gtest]
fn verify_only_a_home_vouches_for_a_key() {
    // Symptom: an action that ran is called not run.
    // Sequence: a key runs at its home; its repeat is refused by another router, or by the home.
    // Cause: "not run" said of a request where the caller reads it of its action.
    let mut rig = five();
    let key = rig.key_of("r1", rig.now.wall, &[&FIVE]);
    let now = rig.now;
    let proves_not_run = |rig: &mut Rig, name: &str| {
        let router = rig.at(name);
        let config = router.config();
        router.home.proves_not_run(now, &config, key)
    };
    expect_that!(proves_not_run(&mut rig, "r1"), eq(true));
    expect_that!(proves_not_run(&mut rig, "r2"), eq(false));
    rig.begin("r1", key, 9);
    expect_that!(proves_not_run(&mut rig, "r1"), eq(false));
}
