//! Who gives orders, and what happens on the way.

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

use crate::world::{
    Setup,
    World, //
};

/// Makes a world that has settled; unfenced engines' issuers are past their hold-off.
fn settled(setup: Setup) -> World {
    let mut world = World::new(setup);
    world.run(Millis::from_secs(15));
    world
}

#[gtest]
fn verify_engines_that_hold_what_is_published_get_no_order() {
    let world = settled(Setup::default());
    expect_that!(world.given, is_empty());
    expect_that!(world.tokens, is_empty());
}

#[gtest]
fn verify_one_issuer_gives_one_order_where_views_agree() {
    let mut world = settled(Setup {
        engines: 6,
        ..Setup::default()
    });
    world.publish_all(2, "v2");
    world.run(Millis::from_secs(40));
    expect_that!(world.versions(), each(eq(&"v2")));
    expect_that!(world.given, len(eq(6)));
    for given in &world.given {
        expect_that!(given.router, eq(world.issuers(given.engine).0));
        expect_that!(given.order.fence, eq(2 * FENCES_PER_REVISION));
    }
}

#[gtest]
fn verify_no_second_order_while_one_is_unanswered_or_loads() {
    // Symptom: an engine loads the same weights again and again. Sequence: an order's answer is
    // lost, the issuer sends it anew each tick. Cause: no answer was taken for no order.
    let mut world = settled(Setup {
        load: 30_000,
        fenced: false,
        ..Setup::default()
    });
    world.mute = true;
    world.publish_all(2, "v2");
    let policy = world.routers[0].config.policy.clone();
    world.run(Millis(hold_off(&policy).0 + 5000));
    expect_that!(world.given, len(eq(1)));
    world.mute = false;
    world.run(LOAD_TIMEOUT);
    expect_that!(world.versions(), each(eq(&"v2")));
}

#[gtest]
fn verify_a_publish_in_the_middle_ends_with_the_newer_version() {
    // Symptom: an engine stays with a version that is no longer published. Sequence: while it
    // loads v2, v3 is published. Cause: the issuer waited for v2 to show, which it never did.
    let mut world = settled(Setup {
        load: 5000,
        ..Setup::default()
    });
    world.publish_all(2, "v2");
    world.run(Millis(2000));
    world.publish_all(3, "v3");
    world.run(Millis::from_secs(15));
    expect_that!(world.versions(), each(eq(&"v3")));
    expect_that!(world.given, len(eq(2)));
}

#[gtest]
fn verify_a_replaced_engine_gets_its_order_anew() {
    // Symptom: a new engine serves the version of its image. Sequence: the engine obeyed, its VM
    // was replaced while it loaded. Cause: the issuer took the former life's answer for it.
    let mut world = settled(Setup {
        load: 5000,
        ..Setup::default()
    });
    world.publish_all(2, "v2");
    world.run(Millis(2000));
    let engine = &mut world.engines[0];
    engine.life = 2;
    engine.loading = None;
    engine.fence = 0;
    world.run(Millis::from_secs(15));
    expect_that!(world.versions(), each(eq(&"v2")));
    expect_that!(world.given, len(eq(2)));
    // A life that holds nothing at all.
    let engine = &mut world.engines[0];
    engine.life = 3;
    engine.fence = 0;
    engine.models.clear();
    world.run(Millis::from_secs(15));
    expect_that!(world.engines[0].models, not(is_empty()));
    expect_that!(world.given, len(eq(3)));
}

#[gtest]
fn verify_a_woken_router_gives_no_order_before_it_heard_fresh_news() {
    // Symptom: an engine goes back to an old version. Sequence: its issuer sleeps while v2 is
    // published and loaded by another router, wakes cut off, and orders what it holds. Cause: an
    // old configuration looks like any other.
    for fenced in [true, false] {
        let mut world = settled(Setup {
            fenced,
            ..Setup::default()
        });
        let (first, second) = world.issuers(0);
        world.routers[first].asleep = true;
        let others: Vec<_> = (0..3).filter(|n| *n != first).collect();
        world.publish(2, "v2", &others);
        world.run(Millis::from_secs(30));
        expect_that!(world.versions(), each(eq(&"v2")));
        let before = world.given.len();
        world.routers[first].asleep = false;
        world.routers[first].cut = true;
        world.run(Millis::from_secs(30));
        expect_that!(world.given.len(), eq(before));
        expect_that!(
            world.given,
            each(field!(&crate::world::Given.router, eq(second)))
        );
        let held: Vec<_> = world.routers[first].holds.iter().map(|h| h.1).collect();
        expect_that!(held, contains(eq(&HoldReason::NoNews)));
    }
}
