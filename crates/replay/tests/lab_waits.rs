//! Long and short prompts before uneven engines, with and without expected waits, in the laboratory.

mod uneven;

use googletest::prelude::*;
use toucanturn_replay::lab::{
    account::Account,
    play,
    sheet::{
        Span,
        Trouble, //
    },
};

const COLD: &str = "cold start";
const SLOW: &str = "half of the engines slow, hot subject";
/// Seeds that are put together where a single one says little.
const SEEDS: u64 = 6;
/// Share of the requests of these seeds by which two ways differ by chance.
const CHANCE: f64 = 0.002;
/// Largest share of requests that may reach engines over the published load multiple.
const MULTIPLE: f64 = 0.03;

fn account(size: (usize, usize), name: &str, more: &[Trouble]) -> Account {
    let mut sheet = uneven::sheet(size.0, size.1, name);
    sheet.troubles.extend(more.iter().map(|trouble| Span {
        from: 0,
        to: uneven::LENGTH,
        trouble: *trouble,
    }));
    play(&sheet, 1)
}

fn on_time(size: (usize, usize), name: &str, more: &[Trouble]) -> f64 {
    let (from, to) = uneven::span(name);
    account(size, name, more).on_time(from, to)
}

/// Guards against prompts that wait at slow engines while others idle.
#[gtest]
fn verify_prompts_avoid_slow_engines_at_any_size() {
    for size in [(7, 12), (122, 90)] {
        let without = on_time(size, SLOW, &[]);
        let with = account(size, SLOW, &[Trouble::Stated]);
        let (from, to) = uneven::span(SLOW);
        println!("{size:?}: {without:.3}, {:.3}", with.on_time(from, to));
        expect_that!(with.on_time(from, to), ge(without + 0.04), "{size:?}");
        let (worst, at) = with.worst_multiple_since(2000);
        expect_that!(worst, le(MULTIPLE), "{size:?}, from {at} ms");
    }
}

/// Guards against a cold fleet in which prompts wait to be read though engines idle, and against the same with
/// digests that are late or absent: what is known then must not make it worse.
#[gtest]
fn verify_a_cold_fleet_is_no_worse_with_late_or_no_digests() {
    let size = (122, 90);
    let without = on_time(size, COLD, &[]);
    let with = on_time(size, COLD, &[Trouble::Stated]);
    let late = on_time(
        size,
        COLD,
        &[Trouble::Stated, Trouble::LateDigests { by: 500 }],
    );
    let plainly_late = on_time(size, COLD, &[Trouble::LateDigests { by: 500 }]);
    let never = [Trouble::Stated, Trouble::LateDigests { by: 60_000 }];
    let plainly_never = on_time(size, COLD, &never[1..]);
    let never = on_time(size, COLD, &never);
    println!(
        "{without:.3}, {with:.3}; late {plainly_late:.3}, {late:.3}; none {plainly_never:.3}, {never:.3}"
    );
    expect_that!(with, ge(without));
    expect_that!(late, ge(plainly_late - 0.01));
    expect_that!(never, ge(plainly_never - 0.01));
}

/// Guards against a router that is cut off from its peers, and against a restart of all: each decides by what it
/// sees itself.
#[gtest]
fn verify_slow_engines_are_avoided_beside_a_cut_and_after_a_restart() {
    let size = (7, 12);
    let cut = Trouble::CutOff { router: 0 };
    let without = on_time(size, SLOW, &[cut]);
    let with = on_time(size, SLOW, &[cut, Trouble::Stated]);
    println!("cut {without:.3}, {with:.3}");
    expect_that!(with, ge(without + 0.04));
    let restarted = |more: &[Trouble]| {
        let mut sheet = uneven::sheet(size.0, size.1, SLOW);
        sheet.troubles.push(Span {
            from: 3900,
            to: 4000,
            trouble: Trouble::Lost,
        });
        sheet.troubles.extend(more.iter().map(|trouble| Span {
            from: 0,
            to: uneven::LENGTH,
            trouble: *trouble,
        }));
        play(&sheet, 1).on_time(4000, 7000)
    };
    let (without, with) = (restarted(&[]), restarted(&[Trouble::Stated]));
    println!("restart {without:.3}, {with:.3}");
    expect_that!(with, ge(without + 0.04));
}

/// Most by which the share of requests over the multiple may grow where it is over already.
const MULTIPLE_GROWTH: f64 = 0.005;

/// Plays slow engines beside a failure, without and with expected waits; expects as much more on time.
fn expect_gain((size, gain): ((usize, usize), f64), failure: &[Span]) {
    let played = |stated: bool| {
        let mut sheet = uneven::sheet(size.0, size.1, SLOW);
        let (from, to) = uneven::span(SLOW);
        sheet.troubles.extend_from_slice(failure);
        sheet
            .troubles
            .extend(stated.then_some(always(Trouble::Stated)));
        let account = play(&sheet, 1);
        let (multiple, _) = account.worst_multiple_since(2000);
        (account.on_time(from, to), multiple)
    };
    let (without, with) = (played(false), played(true));
    println!("{size:?}, {:?}: {without:.3?}, {with:.3?}", failure.first());
    expect_that!(with.0, ge(without.0 + gain), "{size:?}, {failure:?}");
    let most = MULTIPLE.max(without.1 + MULTIPLE_GROWTH);
    expect_that!(with.1, le(most), "{size:?}, {failure:?}");
}

fn always(trouble: Trouble) -> Span {
    Span {
        from: 0,
        to: uneven::LENGTH,
        trouble,
    }
}

/// Guards against placement that needs digests: a router knows its own unanswered requests.
#[gtest]
fn verify_slow_engines_are_avoided_without_digests_and_with_old_reports() {
    for by in [60_000, 1000] {
        let late = [always(Trouble::LateDigests { by })];
        expect_gain(((7, 12), 0.04), &late);
        expect_gain(((122, 90), 0.005), &late);
    }
}

/// Guards against a third of the routers that is cut off from all others and loses the gain, or takes it from them.
#[gtest]
fn verify_slow_engines_are_avoided_while_a_third_of_the_routers_is_cut_off() {
    let sizes = [((7_usize, 12), 0.03), ((122, 90), 0.03), ((300, 220), 0.01)];
    for (size, gain) in sizes {
        let routers = size.0.div_ceil(3);
        expect_gain((size, gain), &[always(Trouble::CutOffMany { routers })]);
    }
}

/// Guards against a router that is lost amid slow engines: its unanswered requests must not be waited for by others.
#[gtest]
fn verify_slow_engines_are_avoided_as_a_router_is_lost() {
    let lost = [Span {
        from: 4500,
        to: 5500,
        trouble: Trouble::RouterLost { router: 0 },
    }];
    expect_gain(((7, 12), 0.05), &lost);
    expect_gain(((122, 90), 0.05), &lost);
}

/// Guards against a fleet that starts at once amid slow engines and knows no waits.
#[gtest]
fn verify_slow_engines_are_avoided_as_all_routers_start_at_once() {
    let restart = [Span {
        from: 3900,
        to: 4000,
        trouble: Trouble::Lost,
    }];
    expect_gain(((122, 90), 0.04), &restart);
}

/// Guards against one router that most connections go to, and that all others know little of.
#[gtest]
fn verify_slow_engines_are_avoided_while_most_requests_come_to_one_router() {
    let crowded = [always(Trouble::Crowded {
        router: 0,
        share: 0.7,
    })];
    expect_gain(((7, 12), 0.1), &crowded);
    expect_gain(((122, 90), 0.02), &crowded);
}

/// Guards against a load that expected waits make worse: seeds are put together, as one is chance.
#[gtest]
fn verify_no_mix_of_lengths_is_worse_with_expected_waits() {
    for load in uneven::LOADS {
        let (from, to) = load.span;
        let mean = |stated: bool| {
            let mut sheet = uneven::sheet(7, 12, load.name);
            sheet
                .troubles
                .extend(stated.then_some(always(Trouble::Stated)));
            let on_time = (1..=SEEDS).map(|seed| play(&sheet, seed).on_time(from, to));
            on_time.sum::<f64>() / SEEDS as f64
        };
        let (without, with) = (mean(false), mean(true));
        println!("{}: {without:.4}, {with:.4}", load.name);
        expect_that!(with, ge(without - CHANCE), "{}", load.name);
    }
}
