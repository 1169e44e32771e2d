//! Tests of what a stopping router accepts.

use googletest::prelude::*;
use toucanturn_core::{
    gateway::{
        Gateway,
        Ticket,
        incoming_request::IncomingRequest,
        outcome::AttemptOutcome,
        refusal::Cause, //
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::fixture::{
    gateway,
    prompt,
    request, //
};

/// End of a stop that begins at [`STOPPED`]; routes may last for 4 s.
const END: Time = Time(13_000);
/// See [`END`].
const STOPPED: Time = Time(10_000);

/// Serves a request that takes a time and ends at `end`.
fn serve(gateway: &mut Gateway, request: &IncomingRequest, end: Time, took: u64) {
    finish(gateway, request, (end, took), AttemptOutcome::Answered);
}

fn finish(
    gateway: &mut Gateway,
    request: &IncomingRequest,
    (end, took): (Time, u64),
    outcome: AttemptOutcome,
) {
    let mut ticket: Ticket = gateway
        .admit(Time(10), request)
        .expect("the request is admitted");
    let placed = gateway
        .place(Time(20), &ticket, request)
        .expect("an endpoint is available");
    ticket.began = end - Millis(took);
    ticket.until = ticket.until.min(end);
    gateway.sent(Time(20), &mut ticket, placed.endpoint);
    gateway.ended(end, &mut ticket, placed.endpoint, outcome);
}

/// Tells whether a request that comes so long after the beginning of the stop is accepted.
fn accepts(gateway: &mut Gateway, request: &IncomingRequest, after: u64) -> bool {
    match gateway.admit(STOPPED + Millis(after), request) {
        Ok(_) => true,
        Err(refusal) => {
            expect_that!(refusal.cause, eq(Cause::Stopping));
            expect_false!(refusal.may_have_run);
            expect_true!(refusal.retryable);
            false
        }
    }
}

/// Makes a gateway that has served each of these requests several times, in this time, and stops.
fn stopping(served: &[(&IncomingRequest, u64)]) -> Gateway {
    let mut gateway = gateway(2);
    for (request, took) in served {
        for _ in 0..5 {
            serve(&mut gateway, request, Time(9000), *took);
        }
    }
    stop(&mut gateway);
    gateway
}

fn stop(gateway: &mut Gateway) {
    gateway.record_registry_read(STOPPED, STOPPED);
    gateway.end_at(STOPPED, END);
}

/// Guards against cutting off a request that comes 1.3 s before the end of a stop and takes 2 s, because its route may
/// last longer than the stop.
#[gtest]
fn verify_a_stopping_router_refuses_what_is_unlikely_to_end_in_time() {
    for path in ["/chat/x", "/once/x", "/read/x"] {
        let request = request(path);
        let mut gateway = stopping(&[(&request, 1600)]);
        // A request may take up to a twentieth longer than those before, which took the same time.
        expect_true!(accepts(&mut gateway, &request, 1320), "{path}");
        expect_false!(accepts(&mut gateway, &request, 1321), "{path}");
    }
}

/// Guards against cutting off a request because it takes longer than those before, where they differ much.
#[gtest]
fn verify_a_request_may_take_longer_than_others_by_what_they_differ() {
    let once = request("/once/x");
    let mut gateway = gateway(2);
    for took in [500, 500, 500, 800, 1000] {
        serve(&mut gateway, &once, Time(9000), took);
    }
    stop(&mut gateway);
    expect_true!(accepts(&mut gateway, &once, 1500));
    expect_false!(accepts(&mut gateway, &once, 1501));
}

#[gtest]
fn verify_what_must_not_run_twice_is_refused_where_no_duration_is_known() {
    let mut gateway = stopping(&[]);
    expect_false!(accepts(&mut gateway, &request("/once/x"), 1));
    expect_true!(accepts(&mut gateway, &request("/chat/x"), 1));
    expect_true!(accepts(&mut gateway, &request("/read/x"), 1));
    // It ends in time however long it takes.
    expect_true!(accepts(&mut gateway, &request("/once/x"), 0));
}

/// Guards against a second run of a request that must not run twice, because most of its kind are short.
#[gtest]
fn verify_the_longest_answer_counts_for_what_must_not_run_twice() {
    for (path, accepted) in [("/once/x", false), ("/read/x", true)] {
        let request = request(path);
        let mut gateway = gateway(2);
        serve(&mut gateway, &request, Time(9000), 2500);
        for _ in 0..19 {
            serve(&mut gateway, &request, Time(9000), 100);
        }
        stop(&mut gateway);
        expect_that!(accepts(&mut gateway, &request, 500), eq(accepted), "{path}");
    }
}

#[gtest]
fn verify_durations_are_told_apart_by_the_length_of_prompts() {
    let long = IncomingRequest {
        prompt: Some(prompt(2, 3)),
        ..request("/chat/x")
    };
    let mut short = long.clone();
    short.prompt.as_mut().expect("a prompt").input = 100;
    let mut unknown = long.clone();
    unknown.prompt.as_mut().expect("a prompt").input = 100_000;
    let mut gateway = stopping(&[(&long, 2000), (&short, 200)]);
    expect_false!(accepts(&mut gateway, &long, 2000));
    expect_true!(accepts(&mut gateway, &short, 2000));
    // It counts as the slowest that is known.
    expect_false!(accepts(&mut gateway, &unknown, 2000));
    expect_true!(accepts(&mut gateway, &unknown, 400));
}

/// Guards against taking fast failures, or the durations of long ago, for what an answer takes.
#[gtest]
fn verify_only_recent_complete_answers_say_how_long_the_next_one_takes() {
    let once = request("/once/x");
    let mut gateway = gateway(2);
    for _ in 0..10 {
        finish(
            &mut gateway,
            &once,
            (Time(9000), 10),
            AttemptOutcome::Failed,
        );
    }
    stop(&mut gateway);
    expect_false!(accepts(&mut gateway, &once, 1));
    let mut gateway = stopping(&[(&once, 10)]);
    expect_true!(accepts(&mut gateway, &once, 1));
    let later = Time(200_000);
    gateway.record_registry_read(later, later);
    gateway.end_at(later, later + Millis(3000));
    expect_that!(gateway.admit(later + Millis(1), &once), err(anything()));
}

/// Guards against taking a route's requests for short because the long ones were given up before they ended.
#[gtest]
fn verify_a_request_that_is_given_up_at_its_end_counts_as_long() {
    let once = request("/once/x");
    let mut gateway = gateway(2);
    for _ in 0..10 {
        serve(&mut gateway, &once, Time(9000), 10);
    }
    finish(
        &mut gateway,
        &once,
        (Time(9500), 2900),
        AttemptOutcome::Stalled,
    );
    stop(&mut gateway);
    expect_false!(accepts(&mut gateway, &once, 1));
}

/// Guards against requests that are cut off late in a stop: from then on, callers go to other routers.
#[gtest]
fn verify_nothing_that_may_outlast_the_stop_is_accepted_after_its_first_part() {
    let read = request("/read/x");
    let mut gateway = stopping(&[(&read, 10)]);
    expect_true!(accepts(&mut gateway, &read, 1));
    gateway.close();
    expect_false!(accepts(&mut gateway, &read, 1));
}
