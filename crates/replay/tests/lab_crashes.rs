//! Requests that end engines, before a large fleet in the laboratory: what they cost, with the digests as they are.

mod fleet;

use googletest::prelude::*;
use toucanturn_replay::lab::{
    account::Account,
    play,
    sheet::{
        Sheet,
        Span,
        Trouble, //
    },
};

/// Milliseconds after the third crash from which few arrivals are allowed, and how many.
const KNOWN: u64 = 3000;
const MOST: usize = 3;

/// Requests that end engines come each 0.65 s, before a fleet whose engines run a dozen requests each.
fn account(routers: usize, engines: usize, hold: u64, trouble: Trouble) -> Account {
    let sheet = Sheet {
        troubles: vec![Span {
            from: 3000,
            to: 15_000,
            trouble,
        }],
        length: 15_000,
        hold,
        ..fleet::sheet(routers, engines, [659.0, 694.0, 183.0])
    };
    play(&sheet, 1)
}

fn check(trouble: Trouble) {
    for (routers, engines) in [(7, 12), (89, 140), (295, 204)] {
        let held = account(routers, engines, 5000, trouble);
        let before = account(routers, engines, 0, trouble);

        expect_that!(held.late_fatal(KNOWN), le(MOST), "{routers} routers");
        expect_that!(held.held, eq(0), "{routers} routers: other requests");
        expect_that!(
            before.late_fatal(KNOWN),
            gt(MOST),
            "{routers} routers: without holding back"
        );
        println!(
            "{routers} routers, {engines} engines: {} ended, {} answers broken off, {:.3} on time; \
             without holding back {}, {}, {:.3}",
            held.crashes.len(),
            held.broken,
            held.on_time(3000, 14_000),
            before.crashes.len(),
            before.broken,
            before.on_time(3000, 14_000),
        );
    }
}

/// Guards against a request that ends engines of a large fleet, whose routers see one of its repeats each.
#[gtest]
fn verify_a_request_that_ends_engines_is_contained_at_any_size() {
    check(Trouble::Fatal {
        every: 650,
        down: 2500,
    });
}

/// Guards against a prompt part that ends engines of a large fleet, in requests that have nothing else in common.
#[gtest]
fn verify_a_part_that_ends_engines_is_contained_at_any_size() {
    check(Trouble::FatalPart {
        every: 650,
        down: 2500,
    });
}

/// Guards against the same where such requests come 20 times as often.
#[gtest]
fn verify_a_popular_part_that_ends_engines_is_contained_at_any_size() {
    check(Trouble::FatalPart {
        every: 33,
        down: 2500,
    });
}
