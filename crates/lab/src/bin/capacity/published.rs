//! Published configurations of a given size, laid out as the two-year plan says.

use std::sync::Arc;

use bytes::Bytes;
use serde_json::{
    Value,
    json, //
};
use toucanturn_core::{
    peer::{
        Change,
        Entry, //
    },
    units::Revision, //
};

/// Data centres and regions of the plan.
const CENTERS: u32 = 19;
const REGIONS: u32 = 5;

/// One endpoint in this many is a replica of the plain service.
const SERVICE_EVERY: u32 = 39;

/// `Size` is how much of each kind is published.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) routers: u32,
    pub(crate) endpoints: u32,
    pub(crate) workspaces: u32,
}

impl Size {
    pub(crate) const fn new(routers: u32, endpoints: u32, workspaces: u32) -> Self {
        Self {
            routers,
            endpoints,
            workspaces,
        }
    }
}

/// Makes the whole configuration as the service's first snapshot.
pub(crate) fn snapshot(size: Size) -> Arc<Change> {
    let models = (0..6).map(|n| (format!("models/m{n}"), json!({"version": "v1"})));
    let once = json!({"path": "/orders", "once": [{"method": "POST"}]});
    let rest = [
        ("policy".to_owned(), policy()),
        ("fleet".to_owned(), fleet(size.routers)),
        ("services/orders".to_owned(), once),
    ];
    let endpoints = (0..size.endpoints).map(endpoint);
    let workspaces = (0..size.workspaces).map(|n| workspace(n, 1000));
    let all = models.chain(rest).chain(endpoints).chain(workspaces);
    let entries = all.map(|(key, value)| entry(&key, &value, 1)).collect();
    Arc::new(Change {
        since: Revision(0),
        revision: Revision(1),
        floor: None,
        entries,
    })
}

/// Makes a change of one workspace.
pub(crate) fn change(revision: u64, rate: u32) -> Change {
    one(revision, workspace(0, rate))
}

/// Makes a change of one endpoint.
pub(crate) fn endpoint_change(revision: u64) -> Change {
    let (key, mut value) = endpoint(1);
    value["capacity"] = json!(64 + revision % 9);
    one(revision, (key, value))
}

/// Makes a change of one router's address.
pub(crate) fn fleet_change(size: Size, revision: u64) -> Change {
    let mut value = fleet(size.routers);
    let last = format!("router-{}", size.routers - 1);
    value[last]["peer_address"] = json!(format!("10.3.0.1:{}", 9000 + revision % 900));
    one(revision, ("fleet".to_owned(), value))
}

fn one(revision: u64, (key, value): (String, Value)) -> Change {
    Change {
        since: Revision(revision - 1),
        revision: Revision(revision),
        floor: None,
        entries: vec![entry(&key, &value, revision)],
    }
}

/// Gets the bytes of a change as the configuration service writes it.
pub(crate) fn service_bytes(change: &Change) -> usize {
    let one = |e: &Entry| {
        let value = e.value.as_deref().unwrap_or(b"null");
        let value: Value = serde_json::from_slice(value).unwrap_or_default();
        json!({"key": String::from_utf8_lossy(&e.key), "revision": e.revision.0, "value": value})
    };
    let entries: Vec<Value> = change.entries.iter().map(one).collect();
    json!({"revision": change.revision.0, "entries": entries})
        .to_string()
        .len()
}

/// Gets the body of the platform's list of VMs for this many endpoints.
pub(crate) fn vm_list(endpoints: u32) -> String {
    let one = |n| json!({"id": format!("engine-{n}"), "state": "live"});
    let vms: Vec<Value> = (0..endpoints).map(one).collect();
    json!({"age_ms": 1000, "vms": vms}).to_string()
}

fn entry(key: &str, value: &Value, revision: u64) -> Entry {
    Entry {
        key: Bytes::copy_from_slice(key.as_bytes()),
        revision: Revision(revision),
        value: Some(value.to_string().into()),
    }
}

fn center(n: u32) -> String {
    format!("dc{}", n % CENTERS)
}

fn policy() -> Value {
    let center = |n| (center(n), json!(format!("region{}", n % REGIONS)));
    let centers: serde_json::Map<String, Value> = (0..CENTERS).map(center).collect();
    json!({"data_centers": centers, "poll_interval_ms": 1000, "lease_ms": 8000})
}

fn fleet(routers: u32) -> Value {
    let router = |n: u32| {
        let (high, low) = (n / 250, n % 250);
        let about = json!({"address": format!("10.1.{high}.{low}:8000"),
            "peer_address": format!("10.1.{high}.{low}:9000"), "data_center": center(n)});
        (format!("router-{n}"), about)
    };
    let routers: serde_json::Map<String, Value> = (0..routers).map(router).collect();
    json!(routers)
}

fn endpoint(n: u32) -> (String, Value) {
    let address = format!("10.2.{}.{}:9000", n / 250, n % 250);
    let mut about = json!({"address": address, "data_center": center(n), "capacity": 64});
    if n.is_multiple_of(SERVICE_EVERY) {
        about["kind"] = json!("service");
        about["service"] = json!("orders");
    } else {
        about["kind"] = json!("engine");
        about["models"] = json!([format!("m{}", n % 6)]);
    }
    (format!("endpoints/engine-{n}"), about)
}

fn workspace(n: u32, rate: u32) -> (String, Value) {
    let models: Vec<String> = (0..6).map(|m| format!("m{m}")).collect();
    let about = json!({"key_sha256": [format!("{n:064x}")], "priority": 5, "requests_per_s": rate,
        "models": models, "services": ["orders"], "deadline_ms": 30000});
    (format!("workspaces/workspace-{n}"), about)
}
