//! Calls that an entry router forwards to their home.

use bytes::Bytes;
use googletest::prelude::*;
use serde_json::{
    Value,
    json, //
};
use toucanturn_core::{
    action::Action,
    config::Priority,
    event::{
        Event,
        Source, //
    },
    ids::Id,
    node::{
        Node,
        Options, //
    },
    peer::{
        Change,
        Entry, //
    },
    request::{
        Call,
        Key,
        Origin,
        Outcome,
        Request,
        Work, //
    },
    units::{
        Incarnation,
        Millis,
        Now,
        Revision,
        Time,
        Wall, //
    },
};

const NOW: Now = Now {
    mono: Time(1_000_000),
    wall: Wall(1_790_000_000_000),
};

fn entry(key: &str, value: Value) -> Entry {
    Entry {
        key: Bytes::copy_from_slice(key.as_bytes()),
        revision: Revision(1),
        value: Some(Bytes::from(value.to_string())),
    }
}

fn change() -> Change {
    let router = |n: u16| {
        json!({"address": format!("10.0.0.{n}:80"), "peer_address": format!("10.0.0.{n}:81"),
            "data_center": "be-north-1"})
    };
    let workspace = json!({"key_sha256": ["0".repeat(64)], "priority": 5, "requests_per_s": 100,
        "burst": 100, "models": [], "services": ["orders"], "deadline_ms": 5000});
    let endpoint = json!({"kind": "service", "address": "10.0.1.1:80",
        "data_center": "be-north-1", "service": "orders"});
    let once = json!([{"method": "POST", "path": ""}]);
    Change {
        since: Revision(0),
        revision: Revision(1),
        entries: vec![
            entry("fleet", json!({"r1": router(1), "r2": router(2)})),
            entry("services/orders", json!({"path": "/orders", "once": once})),
            entry("endpoints/ord-1", endpoint),
            entry("workspaces/shop", workspace),
        ],
        floor: None,
    }
}

/// Makes router `r1` with the configuration, and a key whose home is `r2`.
fn entry_router(out: &mut Vec<Action>) -> (Node, Key) {
    let options = Options {
        id: Id::try_from("r1").unwrap(),
        incarnation: Incarnation(7),
        seed: 1,
    };
    let mut node = Node::new(options, NOW);
    let source = Source::Service;
    let change = change();
    node.handle(NOW, Event::Publish { source, change }, out);
    let config = node.config();
    let workspace = Id::try_from("shop").unwrap().tag();
    let dated = |n: u128| Key {
        workspace,
        uuid: u128::from(NOW.wall.0) << 80 | n,
    };
    let elsewhere = |key: &Key| config.home(key.item()) != node.me();
    let key = (0..).map(dated).find(elsewhere).unwrap();
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
    // Symptom: a caller reads "done" beside a service's error 500, and never asks again.
    // Sequence: the entry router forwards an order; the service answers 500 at the home, which
    // says "unknown".
    // Cause: the home's reply carried its answer to the entry router's node without its outcome.
    let mut out = Vec::new();
    let (mut node, key) = entry_router(&mut out);
    let call = Call(1);
    let request = request(&node, key);
    out.clear();
    node.handle(NOW, Event::Request { call, request }, &mut out);
    // The grant of the limit's home does not come; the static share decides.
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
