//! Who reads the configuration service, and how often.

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
const READERS: u32 = 3;
const EVERYONE: u32 = 20;

fn watches(out: &[Action]) -> usize {
    out.iter()
        .filter(|a| matches!(a, Action::Watch { .. }))
        .count()
}

/// Lets `span` pass with ticks, each read failing at once; peers are heard or not.
fn pass(node: &mut Node, span: Millis, heard: bool) -> usize {
    let mut now = NOW;
    let mut found = 0;
    while now.mono < NOW.mono + span {
        now = now + TICK;
        if heard {
            hear(node, now, "r2", Revision(1));
        }
        let mut out = Vec::new();
        node.handle(now, Event::Tick, &mut out);
        found += watches(&out);
        for _ in 0..watches(&out) {
            node.handle(now, Event::ReadFailed, &mut Vec::new());
        }
    }
    found
}

fn hear(node: &mut Node, now: Now, peer: &str, revision: Revision) -> Vec<Action> {
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
    // Symptom: the configuration service slows down as the fleet grows.
    // Sequence: every router of the fleet watches it, and each publish wakes them all.
    // Cause: a watch that waits counts as a call, and nobody was left out.
    let watching = |n: &usize| {
        let mut node = node(&format!("r{n}"), ROUTERS, READERS, &mut Vec::new());
        let mut out = Vec::new();
        hear(
            &mut node,
            NOW,
            if *n == 2 { "r3" } else { "r2" },
            Revision(1),
        );
        node.handle(NOW + TICK, Event::Tick, &mut out);
        watches(&out) > 0
    };
    expect_that!((1..=ROUTERS).filter(watching).count(), eq(3));
}

#[gtest]
fn verify_a_service_that_is_down_is_asked_about_once_a_second() {
    // Symptom: when the service comes back, the fleet's calls keep it down.
    // Sequence: each read fails at once; each router asks again at its next tick.
    // Cause: a failed read was followed by the next one without a pause.
    let mut node = node("r1", ROUTERS, EVERYONE, &mut Vec::new());
    expect_that!(pass(&mut node, Millis(20_000), true), all![ge(13), le(41)]);
}

#[gtest]
fn verify_a_router_that_hears_nobody_reads_for_itself() {
    // Symptom: a router keeps an old configuration though the service is well.
    // Sequence: it is no reader, and its links to all peers are cut.
    // Cause: it waited for peers to tell it.
    let alone = |n: usize| {
        let mut node = node(&format!("r{n}"), ROUTERS, READERS, &mut Vec::new());
        pass(&mut node, Millis(10_000), false)
    };
    for n in 1..=ROUTERS {
        expect_that!(alone(n), ge(5));
    }
}

#[gtest]
fn verify_one_of_many_peers_is_asked_for_a_change() {
    // Symptom: a publish fills the links between routers.
    // Sequence: a router hears of a new revision from all its peers at once and pulls it from each.
    // Cause: a pull that is out was not taken into account.
    let mut node = node("r1", ROUTERS, READERS, &mut Vec::new());
    let mut pulls = 0;
    for n in 2..=ROUTERS {
        let out = hear(&mut node, NOW, &format!("r{n}"), Revision(2));
        let pull = |a: &&Action| {
            matches!(
                a,
                Action::Send {
                    message: Message::Pull { .. },
                    ..
                }
            )
        };
        pulls += out.iter().filter(pull).count();
    }
    expect_that!(pulls, eq(1));
    // The one that was asked may be gone: the next summary after a while starts another.
    let out = hear(&mut node, NOW + Millis(300), "r5", Revision(2));
    expect_that!(out, not(is_empty()));
}
