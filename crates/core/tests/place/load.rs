//! The load of endpoints from old and partial knowledge.

use googletest::prelude::*;
use toucanturn_core::{
    event::Report,
    units::Millis, //
};

use crate::fixture::{
    LIFE,
    Router,
    router, //
};

fn report(in_flight: u32) -> Report {
    Report {
        incarnation: LIFE,
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
fn verify_silent_peer_is_forgotten() {
    // Symptom: an engine that is idle gets no work. Sequence: a router ends while it has requests
    // there. Cause: its last summary counts for ever.
    let mut router = router(2, 0, 64);
    let (key, peer) = (router.key("near-0"), router.peer(1));
    router.loads.peer(router.now, peer, &[(key, 9)]);
    router.now = router.now + Millis(1500);
    router.loads.refresh(router.now, &router.view);
    expect_that!(estimate(&router, "near-0"), eq(0));
}

#[gtest]
fn verify_report_stands_for_routers_that_are_not_heard() {
    let mut router = router(2, 0, 64);
    router.fill("near-0", 4);
    router.now = router.now + Millis(1500);
    let key = router.key("near-0");
    router.loads.report(router.now, key, &report(11));
    expect_that!(estimate(&router, "near-0"), eq(11));
}

#[gtest]
fn verify_requests_since_a_report_count_once() {
    // Symptom: load swings between engines. Sequence: a report that is a second old replaces the
    // count of requests sent since, or is added to it. Cause: the report and the count speak of
    // different times.
    let mut router = router(2, 0, 64);
    let key = router.key("near-0");
    router.fill("near-0", 4);
    router.now = router.now + Millis(1500);
    router.fill("near-0", 6);
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
fn verify_old_report_doesnt_replace_what_a_head_stated() {
    let mut router = router(2, 0, 64);
    let key = router.key("near-0");
    router.loads.record_answer_load(router.now, key, 8);
    router.loads.report(router.now, key, &report(0));
    expect_that!(estimate(&router, "near-0"), eq(8));
}

#[gtest]
fn verify_report_adds_little_while_all_are_heard() {
    // A report differs by the requests on their way; only a large surplus is somebody's.
    let mut router = router(2, 0, 64);
    router.hear_all();
    let key = router.key("near-0");
    router.fill("near-0", 4);
    router.loads.record_answer_load(router.now, key, 6);
    expect_that!(estimate(&router, "near-0"), eq(4));
    router.loads.record_answer_load(router.now, key, 14);
    expect_that!(estimate(&router, "near-0"), eq(12));
}

#[gtest]
fn verify_peers_are_told_before_an_endpoint_gets_more() {
    let mut router = router(2, 0, 64);
    let key = router.key("near-0");
    let (far, close) = (40, 3);
    router.loads.sent(router.now, key);
    expect_false!(router.loads.must_announce(key, far));
    expect_true!(router.loads.must_announce(key, close));
    router.loads.sent(router.now, key);
    expect_true!(router.loads.must_announce(key, far));
    router.loads.mark_announced();
    expect_false!(router.loads.must_announce(key, close));
}
