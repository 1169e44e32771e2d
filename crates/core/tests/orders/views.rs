//! Two issuers with views that differ.

use googletest::prelude::*;
use toucanturn_core::{
    orders::{
        HoldReason,
        ORDER_TIMEOUT,
        OrderOutcome,
        hold_off, //
        peer_timeout,
    },
    units::Millis,
};

use crate::world::{
    Setup,
    World, //
};

/// Cuts the issuer of engine 0 off and publishes v2 to all others.
fn split(setup: Setup) -> (World, usize, usize) {
    let mut world = World::new(setup);
    world.run(Millis::from_secs(15));
    let (first, second) = world.issuers(0);
    world.routers[first].cut = true;
    let others: Vec<_> = (0..setup.routers).filter(|n| *n != first).collect();
    world.publish(2, "v2", &others);
    (world, first, second)
}

#[gtest]
fn verify_an_old_revision_cant_flip_a_fenced_engine_back() {
    // Symptom: an engine changes its version to and fro. Sequence: the issuer is cut off under
    // revision 1; another takes over under revision 2; each sees the wrong version and outbids the
    // other's number. Cause: a number above the reported one can always be made.
    let (mut world, first, second) = split(Setup::default());
    world.run(Millis::from_secs(60));
    expect_that!(world.versions(), each(eq(&"v2")));
    expect_that!(world.given, len(eq(1)));
    expect_that!(world.given[0].router, eq(second));
    let held: Vec<_> = world.routers[first].holds.iter().map(|h| h.1).collect();
    expect_that!(held, eq(&vec![HoldReason::Behind]));
}

#[gtest]
fn verify_a_late_order_with_an_old_number_is_refused_and_not_repeated() {
    // Symptom: the older version is loaded last. Sequence: revision 1's order is on its way for
    // 4 s; the issuer is cut off meanwhile, and the next one gives revision 2's order, which
    // arrives first. Cause: the engine obeys in the order of arrival.
    let mut world = World::new(Setup::default());
    world.run(Millis::from_secs(15));
    let (first, second) = world.issuers(0);
    world.setup.latency = 4000;
    world.engines[0].version = "v0".to_owned();
    while world.given.is_empty() && world.now.0 < 200_000 {
        world.step();
    }
    world.setup.latency = 50;
    world.routers[first].cut = true;
    let others: Vec<_> = (0..3).filter(|n| *n != first).collect();
    world.publish(2, "v2", &others);
    world.run(Millis::from_secs(60));
    let by: Vec<_> = world.given.iter().map(|g| g.router).collect();
    expect_that!(by, eq(&vec![first, second]));
    let fence = world.given[1].order.fence;
    expect_that!(world.given[0].reply, some(eq(OrderOutcome::Fenced(fence))));
    expect_that!(world.given[1].reply, some(eq(OrderOutcome::Obeyed)));
    expect_that!(world.versions(), each(eq(&"v2")));
}

#[gtest]
fn verify_who_hears_no_majority_leaves_unfenced_engines_alone() {
    // Symptom and sequence: as for the fenced engine, but nobody refuses. Cause: the cut-off
    // router can't know that it was replaced.
    let (mut world, first, second) = split(Setup {
        fenced: false,
        ..Setup::default()
    });
    let cut = world.now;
    world.run(Millis::from_secs(60));
    expect_that!(world.versions(), each(eq(&"v2")));
    expect_that!(world.given, len(eq(1)));
    expect_that!(world.given[0].router, eq(second));
    let policy = world.routers[first].config.policy.clone();
    let earliest = peer_timeout(&policy) + hold_off(&policy);
    expect_that!(world.given[0].at.since(cut), ge(Millis(earliest.0 - 200)));
}

#[gtest]
fn verify_the_hold_off_outlasts_what_the_former_issuer_has_on_its_way() {
    // Symptom: the older version is loaded last. Sequence: the issuer sends v1's order, is cut
    // off, and the order arrives as late as it can; the next issuer's order overtakes it. Cause:
    // taking over at once.
    let mut world = World::new(Setup {
        fenced: false,
        ..Setup::default()
    });
    world.run(Millis::from_secs(15));
    let (first, _) = world.issuers(0);
    world.setup.latency = ORDER_TIMEOUT.0 - 100;
    world.engines[0].version = "v0".to_owned();
    let sent = |w: &World| w.given.iter().any(|g| g.router == first);
    for _ in 0..2000 {
        if sent(&world) {
            break;
        }
        world.step();
    }
    expect_that!(sent(&world), eq(true));
    world.setup.latency = 50;
    world.routers[first].cut = true;
    let others: Vec<_> = (0..3).filter(|n| *n != first).collect();
    world.publish(2, "v2", &others);
    world.run(Millis::from_secs(60));
    expect_that!(world.versions(), each(eq(&"v2")));
    expect_that!(world.given, len(eq(2)));
    let (old, new) = (&world.given[0], &world.given[1]);
    expect_that!(new.at.since(old.at), gt(ORDER_TIMEOUT));
}

#[gtest]
fn verify_a_router_that_hears_of_a_newer_revision_waits_for_it() {
    let mut world = World::new(Setup {
        fenced: false,
        ..Setup::default()
    });
    world.run(Millis::from_secs(15));
    let (first, second) = world.issuers(0);
    world.publish(2, "v1", &[second]);
    world.run(Millis(500));
    world.engines[0].version = "v0".to_owned();
    world.run(Millis::from_secs(20));
    expect_that!(world.given, is_empty());
    world.publish(2, "v1", &[first]);
    world.run(Millis::from_secs(20));
    expect_that!(world.versions(), each(eq(&"v1")));
}
