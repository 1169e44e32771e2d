//! Repeats within their share.

use googletest::prelude::*;
use toucanturn_core::{
    gateway::budget::{
        Budget,
        Policy, //
    },
    units::{
        Millis,
        Permille,
        Time, //
    },
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
fn verify_repeats_stay_within_share_and_extra() {
    let mut budget = Budget::default();
    for n in 0..100 {
        budget.first(Time(n * 10), WINDOW);
    }
    let mut allowed = 0;
    while budget.allows(Time(1000), &policy()) {
        budget.repeat(Time(1000), WINDOW);
        allowed += 1;
    }
    expect_that!(allowed, eq(20 + 3));
}

/// In any window of the length that is promised, repeats are within the share of the requests of
/// that window and the step before it, whatever the order in which they come.
#[gtest]
fn verify_every_sliding_window_is_within_the_share() {
    let mut budget = Budget::default();
    let (mut firsts, mut repeats) = (Vec::new(), Vec::new());
    for n in 0..6000_u64 {
        let now = Time(n * 10);
        // Bursts and lulls, and everything fails.
        if (n / 700) % 2 == 0 || n % 17 == 0 {
            budget.first(now, WINDOW);
            firsts.push(now);
        }
        if budget.allows(now, &policy()) {
            budget.repeat(now, WINDOW);
            repeats.push(now);
        }
    }
    for end in repeats.iter().copied() {
        let within = |times: &[Time], span: u64| {
            let span = Millis(span);
            times
                .iter()
                .filter(|t| **t <= end && end.since(**t) <= span)
                .count()
        };
        let firsts = within(&firsts, WINDOW.0 + 500);
        expect_that!(within(&repeats, WINDOW.0), le(firsts.div_ceil(5) + 3));
    }
}

#[gtest]
fn verify_old_requests_allow_nothing() {
    let mut budget = Budget::default();
    for _ in 0..1000 {
        budget.first(Time(0), WINDOW);
    }
    let none = Policy {
        extra: 0,
        ..policy()
    };
    expect_true!(budget.allows(Time(10_000), &none));
    expect_false!(budget.allows(Time(10_501), &none));
}
