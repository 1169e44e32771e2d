//! Tests of which routers read the configuration service, and how often.

use googletest::prelude::*;
use toucanturn_core::{
    action::Action,
    event::{
        Event,
        TICK, //
    },
    ids::Id,
    node::Node,
    peer::{
        Message,
        Summary, //
    },
    units::{
        Incarnation,
        Millis,
        Now,
        Revision, //
    },
};

use crate::fixture::{
    NOW,
    node, //
};

const ROUTERS: usize = 20;
const CONFIG_READERS: u32 = 3;
const ALL_ROUTERS: u32 = 20;

fn count_watches(out: &[Action]) -> usize {
    out.iter()
        .filter(|a| matches!(a, Action::Watch { .. }))
        .count()
}

/// Ticks the node for `span` while each read of the service fails at once, and returns the number
/// of reads. With `with_peer`, a summary of `r2` arrives before each tick.
fn count_reads_while_failing(node: &mut Node, span: Millis, with_peer: bool) -> usize {
    let mut now = NOW;
    let mut reads = 0;
    while now.mono < NOW.mono + span {
        now = now + TICK;
        if with_peer {
            deliver_summary(node, now, "r2", Revision(1));
        }
        let mut out = Vec::new();
        node.handle(now, Event::Tick, &mut out);
        reads += count_watches(&out);
        for _ in 0..count_watches(&out) {
            node.handle(now, Event::ReadFailed, &mut Vec::new());
        }
    }
    reads
}

fn deliver_summary(node: &mut Node, now: Now, peer: &str, revision: Revision) -> Vec<Action> {
    let from = node.config().fleet.key(&Id::try_from(peer).unwrap());
    let mut out = Vec::new();
    if let Some(from) = from.filter(|key| Some(*key) != node.me()) {
        let message = Message::Summary(Summary {
            revision,
            ..Summary::default()
        });
        let incarnation = Incarnation(1);
        let event = Event::Peer {
            from,
            incarnation,
            message,
        };
        node.handle(now, event, &mut out);
    }
    out
}

#[gtest]
fn verify_few_routers_watch_the_service() {
    // Guards against a configuration service that slows down as the fleet grows: every router
    // watches it, each open watch counts as a call, and each publish wakes them all.
    let watches = |n: &usize| {
        let mut node = node(&format!("r{n}"), ROUTERS, CONFIG_READERS, &mut Vec::new());
        let mut out = Vec::new();
        deliver_summary(
            &mut node,
            NOW,
            if *n == 2 { "r3" } else { "r2" },
            Revision(1),
        );
        node.handle(NOW + TICK, Event::Tick, &mut out);
        count_watches(&out) > 0
    };
    expect_that!((1..=ROUTERS).filter(watches).count(), eq(3));
}

#[gtest]
fn verify_a_service_that_is_down_is_asked_about_once_a_second() {
    // Guards against calls that keep the service down when it comes back: each read fails at once,
    // and each router reads again at its next tick without a pause.
    let mut node = node("r1", ROUTERS, ALL_ROUTERS, &mut Vec::new());
    expect_that!(
        count_reads_while_failing(&mut node, Millis(20_000), true),
        all![ge(13), le(41)]
    );
}

#[gtest]
fn verify_a_router_without_peers_reads_the_service_itself() {
    // Guards against a router that keeps an old configuration though the service is available: it
    // is not a reader, its links to all peers are cut, and it waits for peers to send the change.
    let reads_alone = |n: usize| {
        let mut node = node(&format!("r{n}"), ROUTERS, CONFIG_READERS, &mut Vec::new());
        count_reads_while_failing(&mut node, Millis(10_000), false)
    };
    for n in 1..=ROUTERS {
        expect_that!(reads_alone(n), ge(5));
    }
}

#[gtest]
fn verify_one_of_many_peers_is_asked_for_a_change() {
    // Guards against a publish that fills the links between routers: a router learns of a new
    // revision from all its peers at once and pulls it from each, because an outstanding pull is
    // ignored.
    let mut node = node("r1", ROUTERS, CONFIG_READERS, &mut Vec::new());
    let mut pulls = 0;
    for n in 2..=ROUTERS {
        let out = deliver_summary(&mut node, NOW, &format!("r{n}"), Revision(2));
        let is_pull = |a: &&Action| {
            matches!(
                a,
                Action::Send {
                    message: Message::Pull { .. },
                    ..
                }
            )
        };
        pulls += out.iter().filter(is_pull).count();
    }
    expect_that!(pulls, eq(1));
    // The peer that was asked may be gone, so a summary that arrives later starts another pull.
    let out = deliver_summary(&mut node, NOW + Millis(300), "r5", Revision(2));
    expect_that!(out, not(is_empty()));
}
