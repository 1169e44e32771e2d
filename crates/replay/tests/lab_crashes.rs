//! Requests that end engines, before a large fleet in the laboratory: what they cost, with the digests as they are.

use googletest::prelude::*;
use toucanturn_replay::lab::{
    account::Account,
    engine::Shape,
    play,
    sheet::{
        Kind,
        Sheet,
        Span,
        Trouble, //
    },
};

/// Milliseconds after the third crash from which few arrivals are allowed, and how many.
const KNOWN: u64 = 3000;
const MOST: usize = 3;

/// A request that ends engines comes again each 0.65 s, before a fleet whose engines run a dozen requests each.
fn account(routers: usize, engines: usize, hold: u64) -> Account {
    let kind = |rate, sessions, shared, own, output, goal| Kind {
        rate,
        sessions,
        shared,
        own,
        output,
        goal,
    };
    // As many requests for each engine, whatever the size.
    let share = engines as f64 / 204.0;
    let sheet = Sheet {
        routers,
        engines,
        shape: Shape {
            slots: 12,
            step: 3.09,
            per_request: 0.08,
            read: 56.9,
            chunk: 1024.0,
            first: 41.0,
            memory: 304_000,
        },
        kinds: vec![
            kind(659.0 * share, 800, 8620, 580, 56, 500),
            kind(694.0 * share, 1600, 2041, 360, 28, 800),
            kind(183.0 * share, 400, 603, 110, 280, 1000),
        ],
        troubles: vec![Span {
            from: 3000,
            to: 15_000,
            trouble: Trouble::Fatal {
                every: 650,
                down: 2500,
            },
        }],
        length: 15_000,
        hold,
    };
    play(&sheet, 1)
}

/// Guards against a request that ends engines of a large fleet, whose routers see one of its repeats each.
#[gtest]
fn verify_a_request_that_ends_engines_is_contained_at_any_size() {
    for (routers, engines) in [(7, 12), (89, 140), (295, 204)] {
        let held = account(routers, engines, 5000);
        let before = account(routers, engines, 0);

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
