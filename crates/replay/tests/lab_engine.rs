//! The laboratory's engine against arithmetic worked by hand.

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
        Kind,
        Placement,
        Sheet, //
    },
};

/// Steps of 4 ms and 1 ms for each request, 100 tokens read in 1 ms, first event 20 ms after reading.
const SHAPE: Shape = Shape {
    slots: 2,
    step: 4.0,
    per_request: 1.0,
    read: 100.0,
    chunk: 1000.0,
    first: 20.0,
    memory: 3000,
};

fn job(number: usize, part: u64, tokens: u32, own: u32, output: u32) -> Job {
    Job {
        number,
        parts: vec![Part { id: part, tokens }],
        own,
        output,
    }
}

/// Plays up to `end` in steps of a millisecond; gets when each event came.
fn events(engine: &mut Engine, end: u32) -> Vec<(u32, Event)> {
    let mut found = Vec::new();
    for now in 0..=end {
        let told = engine.advance(f64::from(now));
        found.extend(told.into_iter().map(|event| (now, event)));
    }
    found
}

/// 1,500 tokens are read in two steps of 5 + 10 and 5 + 5 ms. Its first event comes with the first step
/// that ends 20 ms later, the fourth after them; with two tokens it is whole a step later.
#[gtest]
fn verify_one_request_alone_takes_its_own_time() {
    let mut engine = Engine::new(SHAPE);
    engine.take(job(1, 7, 1000, 500, 2));
    let told: Vec<Event> = events(&mut engine, 100)
        .into_iter()
        .map(|(_, e)| e)
        .collect();
    expect_that!(
        told,
        elements_are![eq(&Event::First(1)), eq(&Event::Whole(1))]
    );
    expect_that!(engine.read, eq(1000));
}

/// A part that is held is not read again, so the first event comes 10 ms sooner.
#[gtest]
fn verify_a_held_part_is_not_read_again() {
    let first = |held: bool| {
        let mut engine = Engine::new(SHAPE);
        if held {
            engine.fetch(&[Part {
                id: 7,
                tokens: 1000,
            }]);
        }
        engine.take(job(1, 7, 1000, 0, 1));
        (events(&mut engine, 100)[0].0, engine.read)
    };
    let (cold, read) = first(false);
    let (warm, kept) = first(true);
    expect_that!((read, kept), eq((1000, 0)));
    expect_that!(cold - warm, eq(10));
}

/// A third request waits until one of the two that run is whole.
#[gtest]
fn verify_a_full_batch_lets_the_next_wait() {
    let mut engine = Engine::new(SHAPE);
    for number in 1..=3 {
        engine.take(job(number, 7, 100, 0, 10));
    }
    engine.advance(0.0);
    let load = engine.load();
    expect_that!((load.running, load.waiting), eq((2, 1)));
    let told = events(&mut engine, 400);
    let at = |wanted| told.iter().find(|(_, e)| *e == wanted).map(|(at, _)| *at);
    expect_that!(at(Event::First(3)), gt(at(Event::Whole(1))));
}

/// The least recently used part goes when memory is full.
#[gtest]
fn verify_the_least_recently_used_part_goes() {
    let part = |id| Part { id, tokens: 1000 };
    let mut engine = Engine::new(SHAPE);
    engine.fetch(&[part(1), part(2), part(3), part(1), part(4)]);
    let held: Vec<bool> = (1..=4).map(|id| engine.holds(id)).collect();
    expect_that!(held, eq(&vec![true, false, true, true]));
}

#[gtest]
fn verify_the_same_seed_gives_the_same_account() {
    let sheet = Sheet {
        routers: 4,
        engines: 5,
        shape: SHAPE,
        kinds: vec![Kind {
            rate: 60.0,
            sessions: 9,
            shared: 400,
            own: 50,
            output: 10,
            goal: 200,
        }],
        troubles: Vec::new(),
        length: 2000,
        hold: 0,
        tells_back_offs: true,
        asks_keepers: true,
        placement: Placement::Routers,
    };
    let one = play(&sheet, 3);
    let other = play(&sheet, 3);
    expect_that!(one.outcomes, eq(&other.outcomes));
    expect_that!(one.outcomes, not(eq(&play(&sheet, 4).outcomes)));
}
