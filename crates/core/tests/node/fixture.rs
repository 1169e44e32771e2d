//! Fixture: a node with a fleet of a given size and one service.

use bytes::Bytes;
use serde_json::{
    Map,
    Value,
    json, //
};
use toucanturn_core::{
    action::Action,
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
    units::{
        Incarnation,
        Now,
        Revision,
        Time,
        Wall, //
    },
};

pub(crate) const NOW: Now = Now {
    mono: Time(1_000_000),
    wall: Wall(1_790_000_000_000),
};

pub(crate) fn entry(key: &str, revision: u64, value: Value) -> Entry {
    Entry {
        key: Bytes::copy_from_slice(key.as_bytes()),
        revision: Revision(revision),
        value: Some(Bytes::from(value.to_string())),
    }
}

fn initial_change(routers: usize, readers: u32) -> Change {
    let router = |n: usize| {
        let published = json!({"address": format!("10.0.0.{n}:80"), "data_center": "be-north-1",
            "peer_address": format!("10.0.0.{n}:81")});
        (format!("r{n}"), published)
    };
    let fleet: Map<String, Value> = (1..=routers).map(router).collect();
    let workspace = json!({"key_sha256": ["0".repeat(64)], "priority": 5, "requests_per_s": 100,
        "burst": 100, "models": [], "services": ["orders"], "deadline_ms": 5000});
    let endpoint = json!({"kind": "service", "address": "10.0.1.1:80",
        "data_center": "be-north-1", "service": "orders"});
    let once = json!([{"method": "POST", "path": ""}]);
    Change {
        since: Revision(0),
        revision: Revision(1),
        entries: vec![
            entry("policy", 1, json!({"config_readers": readers})),
            entry("fleet", 1, Value::Object(fleet)),
            entry(
                "services/orders",
                1,
                json!({"path": "/orders", "once": once}),
            ),
            entry("endpoints/ord-1", 1, endpoint),
            entry("workspaces/shop", 1, workspace),
        ],
        floor: None,
    }
}

/// Creates the node of router `name` that has just applied a configuration of `routers` routers,
/// with `readers` as `config_readers`.
pub(crate) fn node(name: &str, routers: usize, readers: u32, out: &mut Vec<Action>) -> Node {
    let options = Options {
        id: Id::try_from(name).unwrap(),
        incarnation: Incarnation(7),
        seed: 1,
    };
    let mut node = Node::new(options, NOW);
    node.handle(NOW, Event::Tick, out);
    let source = Source::Service;
    let change = initial_change(routers, readers);
    node.handle(NOW, Event::Publish { source, change }, out);
    node
}
