//! Tests of the retry budget.

use googletest::prelude::*;
use toucanturn_core::{
    gateway::{
        Gateway,
        budget::{
            Policy,
            RetryBudget, //
        },
        outcome::{
            AttemptOutcome,
            NextStep, //
        },
    },
    units::{
        Millis,
        Permille,
        Time, //
    },
};

use crate::fixture::{
    gateway,
    request, //
};

const WINDOW: Millis = Millis(10_000);

fn policy() -> Policy {
    Policy {
        window: WINDOW,
        share: Permille(200),
        fleet: 54,
        extra: 3,
    }
}

#[gtest]
fn verify_retries_stay_within_share_and_extra() {
    let mut budget = RetryBudget::default();
    for n in 0..100 {
        budget.record_request(Time(n * 10), WINDOW);
    }
    let mut allowed = 0;
    while budget.allows(Time(1000), &policy()) {
        budget.record_retry(Time(1000), WINDOW);
        allowed += 1;
    }
    expect_that!(allowed, eq(20 + 3));
}

/// In any window of the published length, retries stay within the share of the requests in that window
/// and the counter step before it, whatever their order.
#[gtest]
fn verify_every_sliding_window_is_within_the_share() {
    let mut budget = RetryBudget::default();
    let (mut firsts, mut retries) = (Vec::new(), Vec::new());
    for n in 0..6000_u64 {
        let now = Time(n * 10);
        // Requests come in bursts, and all attempts fail.
        if (n / 700) % 2 == 0 || n % 17 == 0 {
            budget.record_request(now, WINDOW);
            firsts.push(now);
        }
        if budget.allows(now, &policy()) {
            budget.record_retry(now, WINDOW);
            retries.push(now);
        }
    }
    for end in retries.iter().copied() {
        let within = |times: &[Time], span: u64| {
            let span = Millis(span);
            times
                .iter()
                .filter(|t| **t <= end && end.since(**t) <= span)
                .count()
        };
        let firsts = within(&firsts, WINDOW.0 + 500);
        expect_that!(within(&retries, WINDOW.0), le(firsts.div_ceil(5) + 3));
    }
}

#[gtest]
fn verify_requests_outside_the_window_allow_no_retries() {
    let mut budget = RetryBudget::default();
    for _ in 0..1000 {
        budget.record_request(Time(0), WINDOW);
    }
    let no_extra = Policy {
        extra: 0,
        ..policy()
    };
    expect_true!(budget.allows(Time(10_000), &no_extra));
    expect_false!(budget.allows(Time(10_501), &no_extra));
}

/// Sends a request whose first attempt fails; returns whether another attempt follows.
fn fail_first_attempt(gateway: &mut Gateway, now: Time) -> NextStep {
    let request = request("/read/x");
    gateway.record_registry_read(now, now);
    let mut ticket = gateway
        .admit(now, &request)
        .expect("the request is admitted");
    let placed = gateway
        .place(now, &ticket, &request)
        .expect("an endpoint is available");
    gateway.sent(now, &mut ticket, placed.endpoint);
    gateway.ended(now, &mut ticket, placed.endpoint, AttemptOutcome::Failed)
}

/// Sends five requests whose first attempts fail; returns how many are retried.
fn count_retries(gateway: &mut Gateway, now: Time) -> usize {
    let results = (0..5).map(|_| fail_first_attempt(gateway, now));
    results.filter(|next| *next == NextStep::Again).count()
}

/// Guards against a router that uses its part of the fleet's extra retries again after each restart: with 7
/// routers killed every two seconds and most answers failing, 849 requests got 303 retries in 10 s, where 224
/// are allowed.
#[gtest]
fn verify_a_restart_brings_no_new_extra_repeats() {
    let mut gateway = gateway(2);
    gateway.restarted(Time(0));
    expect_that!(
        count_retries(&mut gateway, Time(100)),
        eq(1),
        "a fifth of five"
    );
    expect_that!(count_retries(&mut gateway, Time(9_999)), eq(1));
    // After a whole window, retries from before the restart no longer count.
    expect_that!(count_retries(&mut gateway, Time(10_001)), gt(2));
}

/// Guards against two sides of a network partition that together send twice the extra retries, because each
/// router divides them among those that it still hears. With 7 routers, the partition isolated one for seconds.
#[gtest]
fn verify_a_partitioned_router_keeps_its_part_of_the_extra_retries() {
    let mut gateway = gateway(2);
    gateway.fleet(Time(0), 18);
    gateway.fleet(Time(5_000), 1);
    expect_that!(count_retries(&mut gateway, Time(5_000)), eq(54 / 18 + 1));
    gateway.fleet(Time(31_000), 2);
    expect_that!(count_retries(&mut gateway, Time(31_000)), eq(54 / 18 + 1));
    // Routers that have been gone for long no longer count.
    gateway.fleet(Time(7_201_000), 2);
    expect_that!(count_retries(&mut gateway, Time(7_201_000)), eq(5));
}

/// Guards against more retries than allowed while connecting is slow: many attempts fail at once, and each
/// would be granted a retry before the first one is sent and counted.
#[gtest]
fn verify_a_retry_counts_from_its_grant() {
    let mut gateway = gateway(2);
    let retried =
        (0..20).filter(|_| fail_first_attempt(&mut gateway, Time(100)) == NextStep::Again);
    expect_that!(retried.count(), le(20 / 5 + 3));
}
