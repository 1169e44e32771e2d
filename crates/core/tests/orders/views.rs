//! Routers that disagree on the issuer of an engine or on the published revision.

use googletest::prelude::*;
use toucanturn_core::{
    orders::{
        HoldReason,
        ORDER_TIMEOUT,
        OrderOutcome,
        hold_off,
        peer_timeout, //
    },
    units::Millis,
};

use crate::sim::{
    Setup,
    Simulation, //
};

/// Isolates the issuer of engine 0 and publishes v2 to all other routers. Also returns that
/// issuer and the router that replaces it.
fn isolate_issuer(setup: Setup) -> (Simulation, usize, usize) {
    let mut sim = Simulation::new(setup);
    sim.run(Millis::from_secs(15));
    let (first, second) = sim.issuers(0);
    sim.routers[first].isolated = true;
    let others: Vec<_> = (0..setup.routers).filter(|n| *n != first).collect();
    sim.publish(2, "v2", &others);
    (sim, first, second)
}

#[gtest]
fn verify_an_old_revision_cannot_revert_a_fenced_engine() {
    // Guards against an engine that alternates between versions: its issuer is cut off under
    // revision 1, another takes over under revision 2, and each picks a fencing number above the
    // one that the engine reports.
    let (mut sim, first, second) = isolate_issuer(Setup::default());
    sim.run(Millis::from_secs(60));
    expect_that!(sim.versions(), each(eq(&"v2")));
    expect_that!(sim.sent, len(eq(1)));
    expect_that!(sim.sent[0].router, eq(second));
    let reasons: Vec<_> = sim.routers[first].holds.iter().map(|h| h.1).collect();
    expect_that!(reasons, eq(&vec![HoldReason::Behind]));
}

#[gtest]
fn verify_a_late_order_with_an_old_fence_is_refused_and_not_repeated() {
    // Guards against an older version that is loaded last: the order of revision 1 is in flight
    // for 4 s, its issuer is cut off meanwhile, and the order of revision 2 by the next issuer
    // arrives first. An engine that obeys in order of arrival ends with revision 1.
    let mut sim = Simulation::new(Setup::default());
    sim.run(Millis::from_secs(15));
    let (first, second) = sim.issuers(0);
    sim.setup.latency_ms = 4000;
    sim.engines[0].version = "v0".to_owned();
    while sim.sent.is_empty() && sim.now.0 < 200_000 {
        sim.step();
    }
    sim.setup.latency_ms = 50;
    sim.routers[first].isolated = true;
    let others: Vec<_> = (0..3).filter(|n| *n != first).collect();
    sim.publish(2, "v2", &others);
    sim.run(Millis::from_secs(60));
    let senders: Vec<_> = sim.sent.iter().map(|s| s.router).collect();
    expect_that!(senders, eq(&vec![first, second]));
    let fence = sim.sent[1].order.fence;
    expect_that!(sim.sent[0].reply, some(eq(OrderOutcome::Fenced(fence))));
    expect_that!(sim.sent[1].reply, some(eq(OrderOutcome::Obeyed)));
    expect_that!(sim.versions(), each(eq(&"v2")));
}

#[gtest]
fn verify_a_router_without_a_majority_sends_no_order_to_unfenced_engines() {
    // Guards against an unfenced engine that alternates between versions: it refuses no order, and
    // an issuer that is cut off can't know that another has taken over.
    let (mut sim, first, second) = isolate_issuer(Setup {
        fenced: false,
        ..Setup::default()
    });
    let isolated_at = sim.now;
    sim.run(Millis::from_secs(60));
    expect_that!(sim.versions(), each(eq(&"v2")));
    expect_that!(sim.sent, len(eq(1)));
    expect_that!(sim.sent[0].router, eq(second));
    let policy = sim.routers[first].config.policy.clone();
    let earliest = peer_timeout(&policy) + hold_off(&policy);
    expect_that!(
        sim.sent[0].at.since(isolated_at),
        ge(Millis(earliest.0 - 200))
    );
}

#[gtest]
fn verify_the_hold_off_outlasts_orders_in_flight_from_the_former_issuer() {
    // Guards against an older version that is loaded last: the issuer sends the order of v1, is
    // cut off, and the order arrives as late as it can. A router that takes over at once sends an
    // order that arrives before it.
    let mut sim = Simulation::new(Setup {
        fenced: false,
        ..Setup::default()
    });
    sim.run(Millis::from_secs(15));
    let (first, _) = sim.issuers(0);
    sim.setup.latency_ms = ORDER_TIMEOUT.0 - 100;
    sim.engines[0].version = "v0".to_owned();
    let sent_by_first = |s: &Simulation| s.sent.iter().any(|o| o.router == first);
    for _ in 0..2000 {
        if sent_by_first(&sim) {
            break;
        }
        sim.step();
    }
    expect_that!(sent_by_first(&sim), eq(true));
    sim.setup.latency_ms = 50;
    sim.routers[first].isolated = true;
    let others: Vec<_> = (0..3).filter(|n| *n != first).collect();
    sim.publish(2, "v2", &others);
    sim.run(Millis::from_secs(60));
    expect_that!(sim.versions(), each(eq(&"v2")));
    expect_that!(sim.sent, len(eq(2)));
    let (old, new) = (&sim.sent[0], &sim.sent[1]);
    expect_that!(new.at.since(old.at), gt(ORDER_TIMEOUT));
}

#[gtest]
fn verify_a_router_that_hears_of_a_newer_revision_waits_for_it() {
    let mut sim = Simulation::new(Setup {
        fenced: false,
        ..Setup::default()
    });
    sim.run(Millis::from_secs(15));
    let (first, second) = sim.issuers(0);
    sim.publish(2, "v1", &[second]);
    sim.run(Millis(500));
    sim.engines[0].version = "v0".to_owned();
    sim.run(Millis::from_secs(20));
    expect_that!(sim.sent, is_empty());
    sim.publish(2, "v1", &[first]);
    sim.run(Millis::from_secs(20));
    expect_that!(sim.versions(), each(eq(&"v1")));
}
