//! A fault of the router's own link, told from faults of endpoints.

use googletest::prelude::*;
use toucanturn_core::{
    arena::EndpointKey,
    membership::{
        Observation,
        State,
        View, //
    },
    units::{
        Millis,
        Time, //
    },
};

#[path = "membership/fixture.rs"]
mod fixture;
use fixture::*;

const START: Time = Time(100_000);

/// Fails polls of `dead` three times, 500 ms apart, while the others answer.
fn fail(view: &mut View, keys: &[EndpointKey], dead: usize) -> Time {
    let mut now = START;
    for _ in 0..3 {
        now = now + Millis(500);
        for (n, key) in keys.iter().enumerate() {
            view.asked(now, *key);
            if n < dead {
                view.seen(now, *key, Observation::Unreached);
            } else {
                view.self_report(now, *key, self_report(1));
            }
        }
    }
    now
}

fn count(view: &View, now: Time, keys: &[EndpointKey], state: State) -> usize {
    let hit = |key: &&EndpointKey| view.state(now, **key) == state;
    keys.iter().filter(hit).count()
}

#[googletest::test]
fn verify_fault_of_the_own_link_marks_nobody_down() {
    // Symptom: a router whose switch rebooted refused all work for half a minute. Sequence: all
    // endpoints and peers fail together, then all answer again. Cause: each was counted as down
    // and damped for a flap that was the router's own.
    let (mut view, keys) = view(START, 10);
    let now = fail(&mut view, &keys, 10);
    expect_that!(count(&view, now, &keys, State::Suspect), eq(10));
    expect_that!(view.link_fault_since(), some(anything()));
    expect_that!(view.penalty(now, keys[0]), eq(0));
    let later = now + Millis(500);
    for key in &keys {
        view.self_report(later, *key, fresh(later, 1));
    }
    view.changes(later);
    expect_that!(count(&view, later, &keys, State::Live), eq(10));
    expect_that!(view.link_fault_since(), none());
}

#[googletest::test]
fn verify_endpoints_that_fell_before_the_fault_was_seen_are_taken_back() {
    // Symptom: after a fault of its own link a router kept two engines out and damped. Sequence:
    // the polls of two fail a second before those of the others. Cause: the first to fail were
    // judged when most still counted as reached.
    let (mut view, keys) = view(START, 10);
    for (n, key) in keys.iter().enumerate() {
        let at = START + Millis(if n < 2 { 500 } else { 1500 });
        view.seen(at, *key, Observation::Unreached);
        view.seen(at + Millis(500), *key, Observation::Unreached);
        if n == 1 {
            let now = START + Millis(1000);
            expect_that!(count(&view, now, &keys, State::Down), eq(2));
        }
    }
    let now = START + Millis(2000);
    expect_that!(count(&view, now, &keys, State::Suspect), eq(10));
    expect_that!(view.penalty(now, keys[0]), le(20));
}

#[googletest::test]
fn verify_dead_data_center_is_not_taken_for_the_own_link() {
    let (mut view, keys) = view(START, 12);
    let now = fail(&mut view, &keys, 3);
    expect_that!(count(&view, now, &keys, State::Down), eq(3));
    expect_that!(count(&view, now, &keys, State::Live), eq(9));
    expect_that!(view.link_fault_since(), none());
}

#[googletest::test]
fn verify_peers_that_answer_show_that_the_link_is_fine() {
    // Symptom: requests kept going to a pool that was dead. Sequence: all five replicas die, six
    // peers answer. Cause: only endpoints were counted.
    let (mut view, keys) = view(START, 5);
    for (router, _) in config(5, 6).fleet.iter() {
        view.peer(START + Millis(400), router, true);
    }
    let now = fail(&mut view, &keys, 5);
    expect_that!(count(&view, now, &keys, State::Down), eq(5));
}

#[googletest::test]
fn verify_leaving_is_believed_during_a_fault_of_the_link() {
    let (mut view, keys) = view(START, 10);
    let now = fail(&mut view, &keys, 10);
    view.self_report(now, keys[0], farewell(1));
    expect_that!(view.state(now, keys[0]), eq(State::Leaving));
}
