//! Tests of the load estimates that a router makes from old and incomplete reports.

use googletest::prelude::*;
use toucanturn_core::{
    event::Report,
    units::Millis, //
};

use crate::fixture::{
    INCARNATION,
    Router,
    router, //
};

fn report(in_flight: u32) -> Report {
    Report {
        incarnation: INCARNATION,
        age: Millis(1000),
        in_flight,
        ..Report::default()
    }
}

fn estimate(router: &Router, name: &str) -> u32 {
    router.loads.estimate(router.now, router.key(name))
}

#[gtest]
fn verify_summary_replaces_the_one_before() {
    let mut router = router(2, 0, 64);
    let (a, b, peer) = (router.key("near-0"), router.key("near-1"), router.peer(1));
    router.loads.peer(router.now, peer, &[(a, 5), (b, 2)]);
    router.loads.peer(router.now, peer, &[(a, 3)]);
    expect_that!(estimate(&router, "near-0"), eq(3));
    expect_that!(estimate(&router, "near-1"), eq(0));
}

#[gtest]
fn verify_summary_of_a_silent_peer_expires() {
    // A router stops while it has requests at an engine. If its last summary never expired, the
    // idle engine would get no work.
    let mut router = router(2, 0, 64);
    let (key, peer) = (router.key("near-0"), router.peer(1));
    router.loads.peer(router.now, peer, &[(key, 9)]);
    router.now = router.now + Millis(1500);
    router.loads.refresh(router.now, &router.view);
    expect_that!(estimate(&router, "near-0"), eq(0));
}

#[gtest]
fn verify_report_covers_routers_that_are_not_heard() {
    let mut router = router(2, 0, 64);
    router.add_announced_load("near-0", 4);
    router.now = router.now + Millis(1500);
    let key = router.key("near-0");
    router.loads.report(router.now, key, &report(11));
    expect_that!(estimate(&router, "near-0"), eq(11));
}

#[gtest]
fn verify_requests_since_a_report_count_once() {
    // A report is 1 s old when it arrives. If it replaced the requests sent since, or were added to
    // all of them, load would swing between engines.
    let mut router = router(2, 0, 64);
    let key = router.key("near-0");
    router.add_announced_load("near-0", 4);
    router.now = router.now + Millis(1500);
    router.add_announced_load("near-0", 6);
    router.loads.report(router.now, key, &report(4));
    expect_that!(estimate(&router, "near-0"), eq(10));
    router.loads.report(router.now, key, &report(7));
    expect_that!(estimate(&router, "near-0"), eq(13));
    router.loads.report(router.now, key, &report(4));
    for _ in 0..4 {
        router.loads.ended(router.now, key);
    }
    expect_that!(estimate(&router, "near-0"), eq(6));
}

#[gtest]
fn verify_old_report_does_not_replace_the_load_of_an_answer_head() {
    let mut router = router(2, 0, 64);
    let key = router.key("near-0");
    router.loads.record_answer_load(router.now, key, 8);
    router.loads.report(router.now, key, &report(0));
    expect_that!(estimate(&router, "near-0"), eq(8));
}

#[gtest]
fn verify_report_adds_only_a_large_surplus_while_all_peers_are_heard() {
    // A report differs from the announced counts by the requests in transit. Only a larger surplus
    // comes from requests that no router has announced.
    let mut router = router(2, 0, 64);
    router.receive_idle_summaries();
    let key = router.key("near-0");
    router.add_announced_load("near-0", 4);
    router.loads.record_answer_load(router.now, key, 6);
    expect_that!(estimate(&router, "near-0"), eq(4));
    router.loads.record_answer_load(router.now, key, 14);
    expect_that!(estimate(&router, "near-0"), eq(12));
}

#[gtest]
fn verify_load_is_announced_before_an_endpoint_gets_more() {
    let mut router = router(2, 0, 64);
    let key = router.key("near-0");
    let (high_limit, low_limit) = (40, 3);
    router.loads.sent(router.now, key);
    expect_false!(router.loads.must_announce(key, high_limit));
    expect_true!(router.loads.must_announce(key, low_limit));
    router.loads.sent(router.now, key);
    expect_true!(router.loads.must_announce(key, high_limit));
    router.loads.mark_announced();
    expect_false!(router.loads.must_announce(key, low_limit));
}
