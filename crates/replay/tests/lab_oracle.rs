//! The laboratory's oracle: what it foresees of one engine, and that it is a bound for what routers decide.

mod fleet;

use googletest::prelude::*;
use toucanturn_core::gateway::incoming_request::Part;
use toucanturn_replay::lab::{
    engine::{
        Engine,
        Event,
        Job,
        Shape, //
    },
    play,
    sheet::{
        Placement,
        Sheet, //
    },
};

const LIMIT: f64 = 10_000.0;

fn job(number: usize, part: u64, tokens: u32) -> Job {
    Job {
        number,
        parts: vec![Part { id: part, tokens }],
        own: 200,
        output: 40,
    }
}

/// An engine that is at work on a few requests.
fn busy_engine() -> Engine {
    let shape = Shape {
        slots: 2,
        step: 4.0,
        per_request: 1.0,
        read: 100.0,
        chunk: 1000.0,
        first: 20.0,
        memory: 50_000,
    };
    let mut engine = Engine::new(shape);
    for number in 0..4 {
        engine.take(job(number, 7, 5000));
    }
    engine.advance(100.0);
    engine
}

/// What is foreseen for a request is what happens if nothing else comes, and foreseeing it changes nothing.
#[gtest]
fn verify_the_first_event_comes_when_it_is_foreseen() {
    let engine = busy_engine();
    for part in [7, 8] {
        let next = job(9, part, 3000);
        let foreseen = engine.time_to_first(101.0, &next, &[], LIMIT);
        let foreseen = foreseen.expect("the engine answers");
        expect_that!(
            engine.load().requests(),
            eq(busy_engine().load().requests())
        );
        let mut real = engine.clone();
        real.take(next);
        expect_that!(
            real.advance(101.0 + foreseen - 0.001),
            not(contains(eq(&Event::First(9))))
        );
        expect_that!(
            real.advance(101.0 + foreseen),
            contains(eq(&Event::First(9)))
        );
    }
}

#[gtest]
fn verify_a_part_that_is_held_or_fetched_is_not_read() {
    let engine = busy_engine();
    let time = |part, fetched: &[Part]| {
        let time = engine.time_to_first(101.0, &job(9, part, 3000), fetched, LIMIT);
        time.expect("the engine answers")
    };
    let part = Part {
        id: 8,
        tokens: 3000,
    };
    expect_that!(time(8, &[part]), eq(time(7, &[])));
    expect_that!(time(8, &[]) - time(7, &[]), ge(29.0));
    expect_that!(
        engine.time_to_first(101.0, &job(9, 8, 3000), &[], 1.0),
        none()
    );
}

/// The routers must not do better than the oracle, or it is none.
#[gtest]
fn verify_the_oracle_is_a_bound_for_the_routers() {
    for seed in [1, 2] {
        let on_time = |placement| {
            let sheet = Sheet {
                length: 8000,
                placement,
                ..fleet::sheet(7, 12, [330.0, 347.0, 92.0])
            };
            let account = play(&sheet, seed);
            let compared = account.decisions.len();
            (account.on_time(1000, 7000), compared)
        };
        let (routers, none) = on_time(Placement::Routers);
        let (same, some) = on_time(Placement::Compared(5));
        let (oracle, all) = on_time(Placement::Oracle);
        expect_that!(same, eq(routers), "comparing changes nothing");
        expect_that!(oracle, ge(routers));
        expect_that!(none, eq(0));
        expect_that!(some, all!(gt(0), lt(all)));
    }
}
