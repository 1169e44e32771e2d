//! How many engines load at once, and the weight store.

use googletest::prelude::*;
use toucanturn_core::{
    orders::{
        HoldReason,
        pace::MAX_CONCURRENT_LOADS, //
    },
    units::Millis,
};

use crate::world::{
    Setup,
    World, //
};

const POOL: Setup = Setup {
    routers: 7,
    engines: 12,
    fenced: true,
    min_replicas: 0,
    latency: 50,
    load: 3000,
    token: 100,
};

fn rollout(setup: Setup, span: Millis) -> World {
    let mut world = World::new(setup);
    world.run(Millis::from_secs(15));
    world.publish_all(2, "v2");
    world.run(span);
    world
}

#[gtest]
fn verify_no_more_engines_load_at_once_than_allowed() {
    // Symptom: a publish takes the whole pool out of service. Sequence: each of seven issuers sees
    // its own engines only and orders them. Cause: nobody counts.
    for fenced in [true, false] {
        let world = rollout(Setup { fenced, ..POOL }, Millis::from_secs(90));
        expect_that!(world.versions(), each(eq(&"v2")));
        expect_that!(world.given, len(eq(12)));
        expect_that!(world.most_loading, eq(MAX_CONCURRENT_LOADS));
        let polls: usize = world.routers.iter().map(|r| r.polls).sum();
        println!("{polls} polls by 7 routers in 105 s");
    }
}

#[gtest]
fn verify_min_replicas_serve_while_others_load() {
    let setup = Setup {
        engines: 4,
        min_replicas: 3,
        ..POOL
    };
    let world = rollout(setup, Millis::from_secs(60));
    expect_that!(world.versions(), each(eq(&"v2")));
    expect_that!(world.fewest_serving, eq(3));
}

#[gtest]
fn verify_a_pool_without_spare_engines_waits_and_says_so() {
    // As many engines as `min_replicas`: to load any would break what is published.
    let setup = Setup {
        engines: 3,
        min_replicas: 3,
        ..POOL
    };
    let world = rollout(setup, Millis::from_secs(60));
    expect_that!(world.given, is_empty());
    let holds = world
        .routers
        .iter()
        .flat_map(|r| r.holds.iter().map(|h| h.1));
    expect_that!(
        holds.collect::<Vec<_>>(),
        contains(eq(&HoldReason::MinReplicas))
    );
}

#[gtest]
fn verify_a_pool_that_serves_nothing_yet_is_loaded_despite_min_replicas() {
    let setup = Setup {
        engines: 4,
        min_replicas: 3,
        ..POOL
    };
    let mut world = World::new(setup);
    for engine in &mut world.engines {
        engine.models.clear();
        engine.version = "none".to_owned();
    }
    world.run(Millis::from_secs(60));
    expect_that!(world.versions(), each(eq(&"v1")));
    expect_that!(world.most_loading, le(MAX_CONCURRENT_LOADS));
}

#[gtest]
fn verify_every_load_takes_a_token_and_the_store_is_left_alone_when_over_its_rate() {
    // Symptom: the store is asked many times a second and answers nobody. Sequence: it answers
    // 429, the routers ask again. Cause: `Retry-After` was not kept, or by all at the same moment.
    let setup = Setup {
        token: 4000,
        load: 500,
        ..POOL
    };
    let world = rollout(setup, Millis::from_secs(180));
    expect_that!(world.versions(), each(eq(&"v2")));
    expect_that!(world.given.len(), le(world.tokens.len()));
    println!(
        "{} loads, {} tokens, {} over rate",
        world.given.len(),
        world.tokens.len(),
        world.over_rate
    );
    expect_that!(world.over_rate, le(3 * world.tokens.len()));
}

#[gtest]
fn verify_a_dead_engine_does_not_stop_the_others() {
    let mut world = World::new(POOL);
    world.run(Millis::from_secs(15));
    world.engines[0].down = true;
    world.publish_all(2, "v2");
    world.run(Millis::from_secs(90));
    let right = world.versions().iter().filter(|v| **v == "v2").count();
    expect_that!(right, eq(11));
    world.engines[0].down = false;
    world.run(Millis::from_secs(20));
    expect_that!(world.versions(), each(eq(&"v2")));
}
