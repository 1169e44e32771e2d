//! The judge of the load multiple, on notes made by hand.

#![expect(clippy::unwrap_used, reason = "a test fails by its panic")]

use std::collections::BTreeMap;

use googletest::prelude::*;
use toucanturn_judge::multiple::{
    Change,
    Note,
    Window,
    arrivals,
    calm_windows,
    worst, //
};

/// One request every 10 ms for 6 s, each for 500 ms, at the endpoint that `choose` names.
fn notes(choose: impl Fn(u64) -> usize) -> Vec<Note> {
    let mut notes = Vec::new();
    for n in 0..600 {
        let note = |at, change| Note {
            at,
            endpoint: choose(n),
            change,
            counts: true,
        };
        notes.push(note(n * 10, Change::Accepted));
        notes.push(note(n * 10 + 500, Change::Ended));
    }
    notes
}

fn up(endpoints: usize) -> BTreeMap<usize, std::ops::Range<u64>> {
    (0..endpoints).map(|n| (n, 0..u64::MAX)).collect()
}

fn worst_of(notes: &[Note], endpoints: usize) -> Window {
    let arrivals = arrivals(notes, &up(endpoints));
    worst(&calm_windows(&arrivals, &[])).unwrap()
}

#[gtest]
fn verify_even_load_keeps_the_rule() {
    let window = worst_of(&notes(|n| (n % 10) as usize), 10);
    expect_that!(window.over, eq(0));
    expect_that!(window.arrivals, eq(500));
}

#[gtest]
fn verify_load_at_one_endpoint_breaks_the_rule() {
    let window = worst_of(&notes(|_| 0), 10);
    expect_that!(window.is_broken(), eq(true));
}

#[gtest]
fn verify_endpoints_that_get_nothing_count_in_the_mean() {
    // 50 requests at three endpoints: 16 each, which is over the multiple of the mean over twelve.
    let few = |n| (n % 3) as usize;
    expect_that!(worst_of(&notes(few), 3).is_broken(), eq(false));
    expect_that!(worst_of(&notes(few), 12).is_broken(), eq(true));
}

#[gtest]
fn verify_nineteen_requests_over_the_multiple_are_allowed() {
    let mut notes = notes(|n| (n % 10) as usize);
    for at in 1000..1029 {
        let note = |at, change| Note {
            at,
            endpoint: 0,
            change,
            counts: true,
        };
        notes.push(note(at, Change::Accepted));
        notes.push(note(1029, Change::Ended));
    }
    let window = worst_of(&notes, 10);
    expect_that!(window.over, ge(1));
    expect_that!(window.is_broken(), eq(false));
}

#[gtest]
fn verify_rejected_requests_count_as_arrivals_and_not_as_load() {
    let mut notes = notes(|n| (n % 10) as usize);
    let rejected = notes.iter().filter(|n| n.change == Change::Accepted);
    let rejected: Vec<Note> = rejected
        .map(|note| Note {
            change: Change::Rejected,
            ..*note
        })
        .collect();
    notes.extend(rejected);
    let window = worst_of(&notes, 10);
    expect_that!(window.arrivals, eq(1000));
    expect_that!(window.over, eq(0));
}

#[gtest]
fn verify_windows_with_a_disturbed_endpoint_are_left_out() {
    let arrivals = arrivals(&notes(|_| 0), &up(10));
    let calm_after = |disturbed| calm_windows(&arrivals, std::slice::from_ref(&disturbed));
    // Only windows that begin after the disturbance are left.
    let windows = calm_after(0..500);
    expect_that!(windows, not(is_empty()));
    expect_that!(windows.iter().all(|w| w.from >= 500), eq(true));
    expect_that!(calm_after(4000..5100), is_empty());
}

#[gtest]
fn verify_requests_of_routers_out_of_touch_break_nothing() {
    let mut notes = notes(|_| 0);
    for note in &mut notes {
        note.counts = false;
    }
    expect_that!(worst_of(&notes, 10).over, eq(0));
}
