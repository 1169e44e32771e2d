//! Engines of the replay.

use googletest::prelude::*;
use toucanturn_replay::{
    engine::Engine,
    trace::EngineState, //
};

#[gtest]
fn verify_cache_is_bounded_and_drops_the_oldest() {
    let mut engine = Engine::new(1000);
    engine.store(1, 400);
    engine.store(2, 400);
    engine.store(1, 500);
    engine.store(3, 300);
    expect_that!(engine.cached(1), eq(500));
    expect_that!(engine.cached(2), eq(0));
    expect_that!(engine.cached(3), eq(300));
}

#[gtest]
fn verify_new_life_begins_empty() {
    let mut engine = Engine::new(1000);
    engine.store(1, 400);
    engine.add(0, 3);
    engine.change(10, EngineState::Down);
    engine.change(20, EngineState::Live);
    expect_that!(engine.cached(1), eq(0));
    expect_that!(engine.in_flight, eq(0));
    expect_that!(engine.life, eq(2));
}

#[gtest]
fn verify_report_lags() {
    let mut engine = Engine::new(0);
    for now in (0..3000).step_by(100) {
        engine.sample(now);
        engine.add(now, 1);
    }
    expect_that!(engine.lagged(2500, 1000), eq(15));
}
