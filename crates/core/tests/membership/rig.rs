//! Fixture: a complete node with three engines, for the tests of retries and of pauses.
#![expect(
    clippy::unwrap_used,
    reason = "a wrong configuration is a fault of the test"
)]

use bytes::Bytes;
use serde_json::json;
use toucanturn_core::{
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
        Origin,
        Prefix,
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

pub(crate) const START: Now = Now {
    mono: Time(100_000),
    wall: Wall(1_800_000_000_000),
};

/// Creates a node with three engines, and a chat request. `budget` is the retry budget; `limit` is
/// the request rate per second and the burst of the workspace.
pub(crate) fn node(budget: f64, limit: u32) -> (Node, Request) {
    let router = |n| json!({"address": format!("10.0.0.{n}:80"), "peer_address": format!("10.0.0.{n}:81"), "data_center": "be-north-1"});
    let engine = |n| json!({"kind": "engine", "address": format!("10.0.1.{n}:80"), "data_center": "be-north-1", "models": ["assistant"], "capacity": 4096});
    let entries = [
        ("policy", json!({"retry_budget": budget, "max_attempts": 3})),
        ("fleet", json!({"r1": router(1)})),
        ("models/assistant", json!({"version": "v1"})),
        ("endpoints/e1", engine(1)),
        ("endpoints/e2", engine(2)),
        ("endpoints/e3", engine(3)),
        (
            "workspaces/chat",
            json!({"key_sha256": ["00".repeat(32)], "priority": 5, "requests_per_s": limit, "burst": limit, "models": ["assistant"], "deadline_ms": 20_000}),
        ),
    ];
    let entry = |(key, value): &(&'static str, serde_json::Value)| Entry {
        key: Bytes::from_static(key.as_bytes()),
        revision: Revision(1),
        value: Some(Bytes::from(value.to_string())),
    };
    let change = Change {
        revision: Revision(1),
        entries: entries.iter().map(entry).collect(),
        ..Change::default()
    };
    let id = Id::try_from("r1").unwrap();
    let incarnation = Incarnation(1);
    let seed = 1;
    let options = Options {
        id,
        incarnation,
        seed,
    };
    let mut node = Node::new(options, START);
    let mut out = Vec::new();
    let source = Source::Service;
    node.handle(START, Event::Publish { source, change }, &mut out);
    assert_eq!(node.config().revision, Revision(1), "{out:?}");
    let config = node.config();
    let workspace = config.workspaces.names().next().unwrap().1;
    let model = config.models.names().next().unwrap().1;
    let request = Request {
        origin: Origin::Caller,
        workspace,
        priority: config.workspaces.get(workspace).unwrap().priority,
        work: Work::Chat {
            model,
            prefix: Prefix(1),
            token: None,
        },
        deadline: START.mono + Millis::from_secs(20),
    };
    (node, request)
}
