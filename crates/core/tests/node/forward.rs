//! Tests of calls that an entry router forwards to the home of their key.

use googletest::prelude::*;
use toucanturn_core::{
    action::Action,
    config::Priority,
    event::Event,
    ids::Id,
    node::Node,
    request::{
        Call,
        Key,
        Origin,
        Outcome,
        Request,
        Work, //
    },
    units::Millis,
};

use crate::fixture::{
    NOW,
    node, //
};

/// Creates router `r1` of two, and a key whose home is `r2`.
fn entry_router(out: &mut Vec<Action>) -> (Node, Key) {
    let node = node("r1", 2, 7, out);
    let config = node.config();
    let workspace = Id::try_from("shop").unwrap().tag();
    let current_key = |n: u128| Key {
        workspace,
        uuid: u128::from(NOW.wall.0) << 80 | n,
    };
    let has_other_home = |key: &Key| config.home(key.item()) != node.me();
    let key = (0..).map(current_key).find(has_other_home).unwrap();
    (node, key)
}

fn request(node: &Node, key: Key) -> Request {
    let config = node.config();
    Request {
        origin: Origin::Caller,
        workspace: config
            .workspaces
            .key(&Id::try_from("shop").unwrap())
            .unwrap(),
        priority: Priority(5),
        work: Work::Once {
            service: config
                .services
                .key(&Id::try_from("orders").unwrap())
                .unwrap(),
            key,
            content: 1,
        },
        deadline: NOW.mono + Millis(5000),
    }
}

#[gtest]
fn verify_the_outcome_of_the_home_reaches_the_caller() {
    // Guards against a caller that reads "done" beside an error 500 of a service and never asks
    // again: the entry router forwards an order, the service answers 500 at the home, which reports
    // "unknown", and the reply reaches the entry node without its outcome.
    let mut out = Vec::new();
    let (mut node, key) = entry_router(&mut out);
    let call = Call(1);
    let request = request(&node, key);
    out.clear();
    node.handle(NOW, Event::Request { call, request }, &mut out);
    // The home of the workspace's limit grants nothing, so the static share of the limit decides.
    let mut now = NOW;
    for _ in 0..10 {
        now = now + Millis(50);
        node.handle(now, Event::Tick, &mut out);
    }
    let forwarded = |a: &Action| matches!(a, Action::Forward { .. });
    expect_that!(out.iter().any(forwarded), eq(true));
    out.clear();
    let outcome = Outcome::Unknown;
    let refusal = None;
    let done = Event::ForwardDone {
        call,
        outcome,
        refusal,
    };
    node.handle(now, done, &mut out);
    expect_that!(out, contains(eq(&Action::Finish { call, outcome })));
}
