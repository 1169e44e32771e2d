//! `toucanturn drain` against a stand-in of the operators' port.

use googletest::prelude::*;
use serde_json::{
    Value,
    json, //
};

use crate::support::{
    Answer,
    serve,
    status,
    toucanturn,
    whole, //
};

fn accepted(open: u64) -> Answer {
    whole(&json!({"draining": true, "open": open}))
}

fn live() -> Answer {
    whole(&status(3, true, &[]))
}

fn draining(open: u64) -> Answer {
    whole(&status(open, false, &[]))
}

fn report(phase: &str, open: u64) -> Value {
    json!({"phase": phase, "open": open})
}

#[gtest]
fn verify_drain_asks_once_and_does_not_wait_unasked() {
    let (address, seen) = serve(vec![live(), accepted(3)]);
    let run = toucanturn(["drain", "--json", &address.to_string()]);
    expect_that!(run.code, some(eq(0)), "{run:?}");
    expect_that!(run.json(), eq(&report("draining", 3)));
    let lines = seen.lock().expect("lock");
    let drains = lines.iter().filter(|l| l.starts_with("POST /drain "));
    expect_that!(drains.count(), eq(1));
}

#[gtest]
fn verify_wait_follows_until_the_process_is_gone() {
    let (address, _) = serve(vec![live(), accepted(3), draining(2), draining(1)]);
    let run = toucanturn(["drain", "--wait", "--json", &address.to_string()]);
    expect_that!(run.code, some(eq(0)), "{run:?}");
    expect_that!(run.json(), eq(&report("gone", 1)));
}

#[gtest]
fn verify_wait_ends_when_no_call_is_open() {
    let (address, _) = serve(vec![live(), accepted(3), draining(2), draining(0)]);
    let run = toucanturn(["drain", "--wait", "--json", &address.to_string()]);
    expect_that!(run.code, some(eq(0)), "{run:?}");
    expect_that!(run.json(), eq(&report("over", 0)));
}

/// Symptom: the operator is told that a router still drains although it went long ago. Sequence:
/// the process ends between two looks, and the platform starts the next one at the same address.
/// Cause: the new process answers in the place of the old one.
#[gtest]
fn verify_wait_knows_the_next_process_at_the_same_address() {
    let mut next = status(9, true, &[]);
    next["incarnation"] = json!(8);
    let (address, _) = serve(vec![live(), accepted(3), draining(2), whole(&next)]);
    let run = toucanturn(["drain", "--wait", "--json", &address.to_string()]);
    expect_that!(run.code, some(eq(0)), "{run:?}");
    expect_that!(run.json(), eq(&report("gone", 2)));
}

/// Symptom: an operator deletes a VM that still has callers. Sequence: a look at the draining
/// router breaks off, and the tool says that the process is gone. Cause: a broken connection was
/// taken for a refused one.
#[gtest]
fn verify_wait_does_not_take_a_broken_look_for_the_end() {
    let answers = vec![live(), accepted(3), Answer::Cut, draining(2), draining(0)];
    let (address, seen) = serve(answers);
    let run = toucanturn(["drain", "--wait", "--json", &address.to_string()]);
    expect_that!(run.code, some(eq(0)), "{run:?}");
    expect_that!(run.json(), eq(&report("over", 0)));
    expect_that!(seen.lock().expect("lock").len(), eq(5));
}

#[gtest]
fn verify_wait_has_a_limit_and_says_no_at_it() {
    let answers = [live(), accepted(3)].into_iter();
    let (address, _) = serve(answers.chain((0..20).map(|_| draining(2))).collect());
    let run = toucanturn(["drain", "--wait", "--limit", "1", &address.to_string()]);
    expect_that!(run.code, some(eq(1)), "{run:?}");
    expect_that!(run.err, contains_substring("within 1 s, 2 calls were open"));
}

#[gtest]
fn verify_a_router_that_is_not_there_is_not_drained() {
    let (address, _) = serve(Vec::new());
    let run = toucanturn(["drain", "--wait", &address.to_string()]);
    expect_that!(run.code, some(eq(1)));
    expect_that!(run.err, contains_substring(address.to_string()));
}
