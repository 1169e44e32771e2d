//! Limits on the engines that load at once, and the token rate of the weight store.

use googletest::prelude::*;
use toucanturn_core::{
    orders::{
        HoldReason,
        pace::MAX_CONCURRENT_LOADS, //
    },
    units::Millis,
};

use crate::sim::{
    Setup,
    Simulation, //
};

const SEVEN_ROUTERS_TWELVE_ENGINES: Setup = Setup {
    routers: 7,
    engines: 12,
    fenced: true,
    min_replicas: 0,
    latency_ms: 50,
    load_ms: 3000,
    token_interval_ms: 100,
};

/// Publishes v2 to a settled simulation and runs it for `span`.
fn rollout(setup: Setup, span: Millis) -> Simulation {
    let mut sim = Simulation::new(setup);
    sim.run(Millis::from_secs(15));
    sim.publish_all(2, "v2");
    sim.run(span);
    sim
}

#[gtest]
fn verify_no_more_engines_load_at_once_than_allowed() {
    // Guards against a publish that takes the whole pool out of service: each of seven issuers
    // sends orders to its own engines and none counts the engines that load for the others.
    for fenced in [true, false] {
        let sim = rollout(
            Setup {
                fenced,
                ..SEVEN_ROUTERS_TWELVE_ENGINES
            },
            Millis::from_secs(90),
        );
        expect_that!(sim.versions(), each(eq(&"v2")));
        expect_that!(sim.sent, len(eq(12)));
        expect_that!(sim.most_loading, eq(MAX_CONCURRENT_LOADS));
        let polls: usize = sim.routers.iter().map(|r| r.polls).sum();
        println!("{polls} polls by 7 routers in 105 s");
    }
}

#[gtest]
fn verify_min_replicas_serve_while_others_load() {
    let setup = Setup {
        engines: 4,
        min_replicas: 3,
        ..SEVEN_ROUTERS_TWELVE_ENGINES
    };
    let sim = rollout(setup, Millis::from_secs(60));
    expect_that!(sim.versions(), each(eq(&"v2")));
    expect_that!(sim.fewest_serving, eq(3));
}

#[gtest]
fn verify_a_pool_without_spare_engines_sends_no_order_and_reports_min_replicas() {
    // There are as many engines as `min_replicas`, so that a load leaves too few serving.
    let setup = Setup {
        engines: 3,
        min_replicas: 3,
        ..SEVEN_ROUTERS_TWELVE_ENGINES
    };
    let sim = rollout(setup, Millis::from_secs(60));
    expect_that!(sim.sent, is_empty());
    let holds = sim.routers.iter().flat_map(|r| r.holds.iter().map(|h| h.1));
    expect_that!(
        holds.collect::<Vec<_>>(),
        contains(eq(&HoldReason::MinReplicas))
    );
}

#[gtest]
fn verify_a_pool_that_serves_nothing_loads_despite_min_replicas() {
    let setup = Setup {
        engines: 4,
        min_replicas: 3,
        ..SEVEN_ROUTERS_TWELVE_ENGINES
    };
    let mut sim = Simulation::new(setup);
    for engine in &mut sim.engines {
        engine.models.clear();
        engine.version = "none".to_owned();
    }
    sim.run(Millis::from_secs(60));
    expect_that!(sim.versions(), each(eq(&"v1")));
    expect_that!(sim.most_loading, le(MAX_CONCURRENT_LOADS));
}

#[gtest]
fn verify_every_load_takes_a_token_and_routers_honour_retry_after() {
    // Guards against a weight store overloaded by requests: it answers 429, and routers ask again
    // without regard to `Retry-After`, or all at the moment when it ends.
    let setup = Setup {
        token_interval_ms: 4000,
        load_ms: 500,
        ..SEVEN_ROUTERS_TWELVE_ENGINES
    };
    let sim = rollout(setup, Millis::from_secs(180));
    expect_that!(sim.versions(), each(eq(&"v2")));
    expect_that!(sim.sent.len(), le(sim.tokens.len()));
    println!(
        "{} loads, {} tokens, {} requests over the rate",
        sim.sent.len(),
        sim.tokens.len(),
        sim.throttled
    );
    expect_that!(sim.throttled, le(3 * sim.tokens.len()));
}

#[gtest]
fn verify_a_dead_engine_does_not_stop_the_others() {
    let mut sim = Simulation::new(SEVEN_ROUTERS_TWELVE_ENGINES);
    sim.run(Millis::from_secs(15));
    sim.engines[0].down = true;
    sim.publish_all(2, "v2");
    sim.run(Millis::from_secs(90));
    let on_v2 = sim.versions().iter().filter(|v| **v == "v2").count();
    expect_that!(on_v2, eq(11));
    sim.engines[0].down = false;
    sim.run(Millis::from_secs(20));
    expect_that!(sim.versions(), each(eq(&"v2")));
}
