//! Tests that a fault of the router's own link is distinguished from faults of endpoints.

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

/// Fails three polls, 500 ms apart, of each of the first `dead` endpoints, while the others answer.
fn fail_polls(view: &mut View, keys: &[EndpointKey], dead: usize) -> Time {
    let mut now = START;
    for _ in 0..3 {
        now = now + Millis(500);
        for (n, key) in keys.iter().enumerate() {
            view.asked(now, *key);
            if n < dead {
                view.seen(now, *key, Observation::Unreached);
            } else {
                view.self_report(now, *key, poll_answer(1));
            }
        }
    }
    now
}

fn count_in_state(view: &View, now: Time, keys: &[EndpointKey], state: State) -> usize {
    let in_state = |key: &&EndpointKey| view.state(now, **key) == state;
    keys.iter().filter(in_state).count()
}

#[googletest::test]
fn verify_fault_of_the_own_link_marks_no_endpoint_down() {
    // Guards against a router that refuses all work for half a minute after its switch reboots: all
    // endpoints and peers fail together, then all answer again, and each is marked down and damped
    // for a flap of the router's own link.
    let (mut view, keys) = view(START, 10);
    let now = fail_polls(&mut view, &keys, 10);
    expect_that!(count_in_state(&view, now, &keys, State::Suspect), eq(10));
    expect_that!(view.link_fault_since(), some(anything()));
    expect_that!(view.penalty(now, keys[0]), eq(0));
    let later = now + Millis(500);
    for key in &keys {
        view.self_report(later, *key, poll_answer_sent_at(later, 1));
    }
    view.changes(later);
    expect_that!(count_in_state(&view, later, &keys, State::Live), eq(10));
    expect_that!(view.link_fault_since(), none());
}

#[googletest::test]
fn verify_endpoints_marked_down_before_the_link_fault_was_detected_are_restored() {
    // Guards against a router that keeps two engines out and damped after a fault of its own link:
    // the polls of two fail a second before those of the others, and the two are judged while most
    // still count as reached.
    let (mut view, keys) = view(START, 10);
    for (n, key) in keys.iter().enumerate() {
        let at = START + Millis(if n < 2 { 500 } else { 1500 });
        view.seen(at, *key, Observation::Unreached);
        view.seen(at + Millis(500), *key, Observation::Unreached);
        if n == 1 {
            let now = START + Millis(1000);
            expect_that!(count_in_state(&view, now, &keys, State::Down), eq(2));
        }
    }
    let now = START + Millis(2000);
    expect_that!(count_in_state(&view, now, &keys, State::Suspect), eq(10));
    expect_that!(view.penalty(now, keys[0]), le(20));
}

#[googletest::test]
fn verify_dead_data_center_is_not_taken_for_a_fault_of_the_own_link() {
    let (mut view, keys) = view(START, 12);
    let now = fail_polls(&mut view, &keys, 3);
    expect_that!(count_in_state(&view, now, &keys, State::Down), eq(3));
    expect_that!(count_in_state(&view, now, &keys, State::Live), eq(9));
    expect_that!(view.link_fault_since(), none());
}

#[googletest::test]
fn verify_peers_that_answer_show_that_the_link_is_fine() {
    // Guards against requests that keep going to a dead pool: all five replicas stop, six peers
    // answer, and only endpoints count as evidence of the link.
    let (mut view, keys) = view(START, 5);
    for (router, _) in config(5, 6).fleet.iter() {
        view.peer(START + Millis(400), router, true);
    }
    let now = fail_polls(&mut view, &keys, 5);
    expect_that!(count_in_state(&view, now, &keys, State::Down), eq(5));
}

#[googletest::test]
fn verify_leaving_is_believed_during_a_fault_of_the_link() {
    let (mut view, keys) = view(START, 10);
    let now = fail_polls(&mut view, &keys, 10);
    view.self_report(now, keys[0], leaving_poll_answer(1));
    expect_that!(view.state(now, keys[0]), eq(State::Leaving));
}
