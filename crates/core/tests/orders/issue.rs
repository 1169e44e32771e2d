//! Which router sends orders to an engine, and lost, late and repeated orders.

use googletest::prelude::*;
use toucanturn_core::{
    orders::{
        FENCES_PER_REVISION,
        HoldReason,
        LOAD_TIMEOUT,
        hold_off, //
    },
    units::Millis,
};

use crate::sim::{
    Setup,
    Simulation, //
};

/// Runs a simulation until issuers of unfenced engines are past their hold-off.
fn settled(setup: Setup) -> Simulation {
    let mut sim = Simulation::new(setup);
    sim.run(Millis::from_secs(15));
    sim
}

#[gtest]
fn verify_engines_on_the_published_version_get_no_order() {
    let sim = settled(Setup::default());
    expect_that!(sim.sent, is_empty());
    expect_that!(sim.tokens, is_empty());
}

#[gtest]
fn verify_one_issuer_sends_one_order_per_engine_when_views_agree() {
    let mut sim = settled(Setup {
        engines: 6,
        ..Setup::default()
    });
    sim.publish_all(2, "v2");
    sim.run(Millis::from_secs(40));
    expect_that!(sim.versions(), each(eq(&"v2")));
    expect_that!(sim.sent, len(eq(6)));
    for sent in &sim.sent {
        expect_that!(sent.router, eq(sim.issuers(sent.engine).0));
        expect_that!(sent.order.fence, eq(2 * FENCES_PER_REVISION));
    }
}

#[gtest]
fn verify_no_second_order_while_one_is_unanswered_or_loading() {
    // Guards against an engine that loads the same weights repeatedly: the reply to an order is
    // lost, and the issuer takes that for an order never sent and sends it again on each tick.
    let mut sim = settled(Setup {
        load_ms: 30_000,
        fenced: false,
        ..Setup::default()
    });
    sim.drop_replies = true;
    sim.publish_all(2, "v2");
    let policy = sim.routers[0].config.policy.clone();
    sim.run(Millis(hold_off(&policy).0 + 5000));
    expect_that!(sim.sent, len(eq(1)));
    sim.drop_replies = false;
    sim.run(LOAD_TIMEOUT);
    expect_that!(sim.versions(), each(eq(&"v2")));
}

#[gtest]
fn verify_a_publish_during_a_load_ends_with_the_newer_version() {
    // Guards against an engine that keeps a version that is no longer published: v3 is published
    // while the engine loads v2, and the issuer goes on waiting for v2 to be reported.
    let mut sim = settled(Setup {
        load_ms: 5000,
        ..Setup::default()
    });
    sim.publish_all(2, "v2");
    sim.run(Millis(2000));
    sim.publish_all(3, "v3");
    sim.run(Millis::from_secs(15));
    expect_that!(sim.versions(), each(eq(&"v3")));
    expect_that!(sim.sent, len(eq(2)));
}

#[gtest]
fn verify_a_replaced_engine_gets_a_new_order() {
    // Guards against a new engine that serves the version of its image: the VM is replaced while
    // it loads, and the issuer counts the reply of the former incarnation for the new one.
    let mut sim = settled(Setup {
        load_ms: 5000,
        ..Setup::default()
    });
    sim.publish_all(2, "v2");
    sim.run(Millis(2000));
    let engine = &mut sim.engines[0];
    engine.incarnation = 2;
    engine.loading = None;
    engine.fence = 0;
    sim.run(Millis::from_secs(15));
    expect_that!(sim.versions(), each(eq(&"v2")));
    expect_that!(sim.sent, len(eq(2)));
    // An incarnation that holds no model at all.
    let engine = &mut sim.engines[0];
    engine.incarnation = 3;
    engine.fence = 0;
    engine.models.clear();
    sim.run(Millis::from_secs(15));
    expect_that!(sim.engines[0].models, not(is_empty()));
    expect_that!(sim.sent, len(eq(3)));
}

#[gtest]
fn verify_a_resumed_router_sends_no_order_before_it_hears_current_state() {
    // Guards against an engine that returns to an old version: its issuer is paused while another
    // router has v2 loaded, resumes cut off from its peers, and orders the version of its own
    // outdated configuration.
    for fenced in [true, false] {
        let mut sim = settled(Setup {
            fenced,
            ..Setup::default()
        });
        let (first, second) = sim.issuers(0);
        sim.routers[first].paused = true;
        let others: Vec<_> = (0..3).filter(|n| *n != first).collect();
        sim.publish(2, "v2", &others);
        sim.run(Millis::from_secs(30));
        expect_that!(sim.versions(), each(eq(&"v2")));
        let sent_before = sim.sent.len();
        sim.routers[first].paused = false;
        sim.routers[first].isolated = true;
        sim.run(Millis::from_secs(30));
        expect_that!(sim.sent.len(), eq(sent_before));
        expect_that!(
            sim.sent,
            each(field!(&crate::sim::SentOrder.router, eq(second)))
        );
        let reasons: Vec<_> = sim.routers[first].holds.iter().map(|h| h.1).collect();
        expect_that!(reasons, contains(eq(&HoldReason::NoNews)));
    }
}
