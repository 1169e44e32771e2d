//! The prefill backlogs that routers keep for each other, in the laboratory: with them beside expected waits alone.

mod uneven;

use googletest::prelude::*;
use toucanturn_replay::lab::{
    play,
    sheet::{
        Span,
        Trouble, //
    },
};

const COLD: &str = "cold start";
const SLOW: &str = "half of the engines slow, hot subject";
/// Routers, engines, and seeds that are put together: a seed of a small fleet says little.
const SMALL: (usize, usize, u64) = (7, 12, 12);
const LARGE: (usize, usize, u64) = (122, 90, 1);
const LARGEST: (usize, usize, u64) = (300, 220, 1);
/// Share of the requests of these seeds by which two ways differ by chance.
const CHANCE: f64 = 0.01;
/// Largest share of requests that may reach engines over the published load multiple.
const MULTIPLE: f64 = 0.03;

/// `Shares` is the shares of requests that were late, and that reached engines over the multiple in the worst time.
#[derive(Clone, Copy, Debug)]
struct Shares {
    late: f64,
    over: f64,
}

#[expect(clippy::cast_precision_loss, reason = "seeds are few")]
fn shares(size: (usize, usize, u64), name: &str, asks_keepers: bool, failure: &[Span]) -> Shares {
    let (routers, engines, seeds) = size;
    let mut sheet = uneven::sheet(routers, engines, name);
    let (from, to) = uneven::span(name);
    sheet.asks_keepers = asks_keepers;
    sheet.length = to + 1000;
    sheet.troubles.push(always(Trouble::Stated));
    sheet.troubles.extend_from_slice(failure);
    let mut sum = Shares {
        late: 0.0,
        over: 0.0,
    };
    for account in (1..=seeds).map(|seed| play(&sheet, seed)) {
        sum.late += (1.0 - account.on_time(from, to)) / seeds as f64;
        sum.over = sum.over.max(account.worst_multiple().0);
    }
    sum
}

/// Plays a load without and with keepers that are asked; expects the load multiple to be kept as well.
fn compare(size: (usize, usize, u64), name: &str, failure: &[Span]) -> (Shares, Shares) {
    let without = shares(size, name, false, failure);
    let with = shares(size, name, true, failure);
    println!("{size:?}, {name}, {failure:?}: {without:.4?}, {with:.4?}");
    expect_that!(
        with.over,
        le(MULTIPLE.max(without.over)),
        "{size:?}, {name}"
    );
    (without, with)
}

fn always(trouble: Trouble) -> Span {
    Span {
        from: 0,
        to: uneven::LENGTH,
        trouble,
    }
}

/// Expects that no more prompts are late than with expected waits alone.
fn expect_no_loss(size: (usize, usize, u64), name: &str, failure: &[Span]) {
    let (without, with) = compare(size, name, failure);
    expect_that!(with.late, le(without.late + CHANCE), "{size:?}, {name}");
}

/// Guards against prompts of a cold fleet that queue behind those that other routers have just sent there.
#[gtest]
fn verify_a_cold_start_has_half_of_the_late_prompts() {
    for size in [SMALL, LARGE] {
        let (without, with) = compare(size, COLD, &[]);
        expect_that!(with.late * 2.0, le(without.late), "{size:?}");
    }
}

/// Guards against prompts that queue at slow engines, as their routers hear of waits too late.
#[gtest]
fn verify_slow_engines_make_fewer_prompts_late() {
    for size in [SMALL, LARGE] {
        let (without, with) = compare(size, SLOW, &[]);
        expect_that!(with.late, lt(without.late - CHANCE), "{size:?}");
    }
}

/// Guards against keepers that are asked too much, or know too little, before the largest fleet.
#[gtest]
fn verify_the_largest_fleet_has_half_of_the_late_prompts() {
    let (without, with) = compare(LARGEST, COLD, &[]);
    expect_that!(with.late * 2.0, le(without.late));
}

/// Guards against routers that wait for keepers which don't answer, or go by what they have sent themselves.
#[gtest]
fn verify_silent_keepers_cost_nothing() {
    let silent = [always(Trouble::SilentKeepers)];
    expect_no_loss(SMALL, COLD, &silent);
    expect_no_loss(SMALL, SLOW, &silent);
    expect_no_loss(LARGE, SLOW, &silent);
}

/// Guards against a third of the routers whose keepers are cut off, and against keepers that know nothing of theirs.
#[gtest]
fn verify_routers_that_are_cut_off_cost_nothing() {
    for size in [SMALL, LARGE] {
        let routers = size.0.div_ceil(3);
        let cut = [always(Trouble::CutOffMany { routers })];
        expect_no_loss(size, SLOW, &cut);
    }
}

/// Guards against routers that start at once, hear of no keeper and keep what they send themselves.
#[gtest]
fn verify_routers_that_start_at_once_lose_nothing() {
    let start = |from, to| Span {
        from,
        to,
        trouble: Trouble::Lost,
    };
    expect_no_loss(LARGE, COLD, &[start(0, 2)]);
    for size in [SMALL, LARGE] {
        expect_no_loss(size, SLOW, &[start(3900, 4000)]);
    }
}
