//! Checks of a published configuration: which values are refused, and that all faults are reported
//! at once.

#![expect(clippy::unwrap_used, reason = "a test that can't go on panics")]

use std::collections::BTreeSet;

use googletest::prelude::*;
use serde_json::{
    Value,
    json, //
};
use toucanturn_core::{
    config::{
        Check, Config, Kind, Policy, document,
        fault::{
            Fault,
            MAX_FAULTS, //
        },
    },
    units::Millis, //
};

const VITALBOX: &str = include_str!("../../../examples/vitalbox.json");
const TERENNI: &str = include_str!("../../../examples/terenni.json");

/// Cases: the JSON pointer of a field in the example, its invalid value (null removes the field),
/// and the path of the only fault that follows.
const INVALID_VALUES: &str = r#"[
["/policy/load_multiple", 1.0, "policy.load_multiple"],
["/policy/load_multiple", "1.25", "policy.load_multiple"],
["/policy/max_attempts", 0, "policy.max_attempts"],
["/policy/max_attempts", 2.5, "policy.max_attempts"],
["/policy/max_attempts", -1, "policy.max_attempts"],
["/policy/lease_ms", 18446744073709551615, "policy.lease_ms"],
["/policy/data_centers/be-north-1", "Not A Name", "policy.data_centers.be-north-1"],
["/policy/unknown", 1, "policy"],
["/fleet", {}, "fleet"],
["/fleet", null, "fleet"],
["/fleet/Router", {}, "fleet"],
["/fleet/router-1/address", "0.0.0.0:80", "fleet.router-1.address"],
["/fleet/router-1/address", "10.20.1.10:0", "fleet.router-1.address"],
["/fleet/router-1/address", "host:80", "fleet.router-1.address"],
["/fleet/router-1/data_center", "elsewhere", "fleet.router-1.data_center"],
["/models/assistant/min_replicas", true, "models/assistant.min_replicas"],
["/models/assistant/version", null, "models/assistant.version"],
["/services/billing/path", "billing", "services/billing.path"],
["/services/billing/path", "/billing/", "services/billing.path"],
["/services/billing/path", "/a/../b", "services/billing.path"],
["/services/billing/path", "/b%69lling", "services/billing.path"],
["/services/billing/path", "/v1/models", "services/billing.path"],
["/services/billing/path", "/healthz", "services/billing.path"],
["/services/billing/path", "/subscriptions", "services/subscriptions.path"],
["/services/billing/once", [{"method": "post"}], "services/billing.once[0].method"],
["/services/billing/once", [{"method": "PUT"}, {"method": "PUT"}], "services/billing.once[1]"],
["/endpoints/engine-1/kind", "gpu", "endpoints/engine-1.kind"],
["/endpoints/engine-1/models", [], "endpoints/engine-1.models"],
["/endpoints/engine-1/models", ["assistant", "x"], "endpoints/engine-1.models[1]"],
["/endpoints/engine-1/models", ["assistant", "assistant"], "endpoints/engine-1.models[1]"],
["/endpoints/engine-1/service", "billing", "endpoints/engine-1.service"],
["/endpoints/engine-1/checks_key", true, "endpoints/engine-1.checks_key"],
["/endpoints/engine-1/capacity", 0, "endpoints/engine-1.capacity"],
["/endpoints/engine-1/address", "10.20.2.100:9000", "endpoints/engine-2.address"],
["/endpoints/engine-1/address", "10.20.1.10:8081", "endpoints/engine-1.address"],
["/endpoints/billing-1/service", null, "endpoints/billing-1.service"],
["/endpoints/billing-1/service", "x", "endpoints/billing-1.service"],
["/endpoints/billing-1/models", ["assistant"], "endpoints/billing-1.models"],
["/endpoints/billing-1/checks_fencing", true, "endpoints/billing-1.checks_fencing"],
["/workspaces/renewals/priority", 10, "workspaces/renewals.priority"],
["/workspaces/renewals/requests_per_s", 0, "workspaces/renewals.requests_per_s"],
["/workspaces/renewals/deadline_ms", null, "workspaces/renewals.deadline_ms"],
["/workspaces/renewals/key_sha256", [], "workspaces/renewals.key_sha256"],
["/workspaces/renewals/key_sha256", ["xyz"], "workspaces/renewals.key_sha256[0]"],
["/workspaces/renewals/services", ["x"], "workspaces/renewals.services[0]"],
["/workspaces/Bad", {}, "workspaces"],
["/orders", {}, ""]
]"#;

/// Gets the faults of a document; none if it is valid.
fn faults(document: &Value) -> Vec<Fault> {
    let bytes = serde_json::to_vec(document).unwrap();
    Config::try_from(&bytes[..]).err().unwrap_or_default()
}

fn example() -> Value {
    serde_json::from_str(VITALBOX).unwrap()
}

/// Gets the example with the value at each JSON pointer replaced; null removes the field. In a
/// field's name, `~` stands for `/`.
fn example_with(changes: &[(&str, Value)]) -> Value {
    let mut out = example();
    for (pointer, value) in changes {
        let (parent, name) = pointer.rsplit_once('/').unwrap();
        let name = name.replace('~', "/");
        let fields = out.pointer_mut(parent).unwrap().as_object_mut().unwrap();
        match value {
            Value::Null => drop(fields.remove(&name).unwrap()),
            value => drop(fields.insert(name, value.clone())),
        }
    }
    out
}

fn paths(faults: &[Fault]) -> BTreeSet<&str> {
    faults.iter().map(|f| f.path.as_str()).collect()
}

#[gtest]
fn verify_the_examples_are_valid_and_of_the_expected_sizes() {
    for (text, engines, data_centers) in [(VITALBOX, 12, 4), (TERENNI, 10, 4)] {
        let config = Config::try_from(text.as_bytes()).unwrap();
        let kinds = config.endpoints.iter().map(|(_, e)| e.kind);
        expect_that!(kinds.filter(|k| *k == Kind::Engine).count(), eq(engines));
        expect_that!(config.endpoints.len(), eq(engines + 4));
        expect_that!(config.policy.data_centers.len(), eq(data_centers));
        expect_that!(config.workspaces.len(), eq(10));
        expect_that!(config.fleet.len(), eq(7));
        expect_that!(config.epoch, eq(config.revision));
    }
}

#[gtest]
fn verify_absent_fields_have_their_defaults() {
    let document = json!({
        "fleet": {"r1": {"address": "10.0.0.1:1", "peer_address": "10.0.0.1:2", "data_center": "a"}},
        "models": {"m": {"version": "v1"}},
        "endpoints": {"e": {"kind": "engine", "address": "10.0.0.2:1", "data_center": "a", "models": ["m"]}},
        "workspaces": {"w": {"key_sha256": ["00".repeat(32)], "priority": 5, "requests_per_s": 9,
                             "deadline_ms": 1000}},
    });
    let config = Config::try_from(document.to_string().as_bytes()).unwrap();
    let (_, endpoint) = config.endpoints.iter().next().unwrap();
    let (_, workspace) = config.workspaces.iter().next().unwrap();
    expect_that!(*config.policy, eq(&Policy::default()));
    expect_that!(config.policy.lease, eq(Millis(2000)));
    expect_that!(endpoint.capacity, eq(32));
    expect_that!(endpoint.fencing, eq(Check::Ignored));
    expect_that!(workspace.limit.burst, eq(9));
}

#[gtest]
fn verify_each_fault_names_its_path() {
    // Guards against an operator's mistake that takes effect, or a refusal that doesn't say where
    // the mistake is, because a check is missing or names another field.
    let cases: Vec<(String, Value, String)> = serde_json::from_str(INVALID_VALUES).unwrap();
    for (pointer, value, path) in cases {
        let found = faults(&example_with(&[(&pointer, value.clone())]));
        let lines: Vec<String> = found.iter().map(Fault::to_string).collect();
        expect_that!(paths(&found), eq(&BTreeSet::from([&path[..]])), "{lines:?}");
        expect_that!(found.len(), eq(1), "{pointer} = {value}: {lines:?}");
    }
}

#[gtest]
fn verify_all_faults_are_reported_at_once() {
    // Guards against a check that stops at the first fault, so that an operator corrects one and
    // meets the next at the next publish. The document has faults in several entries, several in
    // one entry, and an address that is a fault only because two entries share it.
    let document = example_with(&[
        ("/policy/lease_ms", json!("2s")),
        ("/policy/extra", json!(1)),
        ("/models/assistant/version", json!(7)),
        ("/endpoints/engine-3/capacity", json!(-4)),
        ("/endpoints/engine-3/modles", json!([])),
        ("/endpoints/engine-3/address", json!("10.20.1.100:9000")),
        ("/workspaces/renewals/priority", json!(12)),
    ]);
    let found = faults(&document);
    let expected = [
        "policy",
        "policy.lease_ms",
        "models/assistant.version",
        "endpoints/engine-3",
        "endpoints/engine-3.capacity",
        "endpoints/engine-3.address",
        "workspaces/renewals.priority",
    ];
    expect_that!(paths(&found), eq(&BTreeSet::from(expected)));
    let lines: Vec<String> = found.iter().map(Fault::to_string).collect();
    let lease_line = "policy.lease_ms: found \"2s\", expected a whole number (ms), 50 to 60000";
    expect_true!(lines.iter().any(|l| l == lease_line));
}

#[gtest]
fn verify_a_key_hash_is_unique_over_all_workspaces_and_never_shown() {
    // Guards against requests of one customer that use up another's limit: a hash is copied to a
    // second workspace, and hashes are compared only within a workspace. Also guards against a
    // bearer key in a log: a key is written in place of its hash, and the fault shows the value.
    let hash = example()["workspaces"]["renewals"]["key_sha256"].clone();
    let found = faults(&example_with(&[("/workspaces/staging/key_sha256", hash)]));
    expect_that!(found.len(), eq(1));
    let found = faults(&example_with(&[(
        "/workspaces/staging/key_sha256",
        json!(["sk-secret"]),
    )]));
    expect_that!(found.len(), eq(1));
    expect_that!(format!("{found:?}"), not(contains_substring("sk-secret")));
}

#[gtest]
fn verify_a_field_given_twice_is_refused() {
    // Guards against a limit in the file that is not in force: a field or a name is written twice
    // with two values, and a JSON map keeps the last.
    let duplicate = VITALBOX.replacen("\"priority\": 8", "\"priority\": 8, \"priority\": 1", 1);
    let faults = Config::try_from(duplicate.as_bytes()).unwrap_err();
    expect_that!(
        faults[0].found,
        contains_substring("\"priority\" given twice")
    );
}

#[gtest]
fn verify_size_depth_and_number_of_faults_are_bounded() {
    // Guards against a malformed publish that exhausts a router's memory or stack or fills its log:
    // a value above 1 MiB, 100,000 nested lists, or 1,000 invalid workspaces.
    let long = "x".repeat(1 << 20);
    let found = faults(&example_with(&[("/models/assistant/version", json!(long))]));
    expect_that!(found[0].expected, eq("at most 1048576 bytes"));
    let deep = "[".repeat(100_000);
    expect_that!(Config::try_from(deep.as_bytes()).unwrap_err().len(), eq(1));
    let mut many = example();
    for i in 0..1000 {
        many["workspaces"][format!("w{i}")] = json!({});
    }
    expect_that!(faults(&many).len(), eq(MAX_FAULTS + 1));
}

#[gtest]
fn verify_names_that_share_a_tag_are_refused() {
    // Guards against a peer's load report for one workspace that is counted for another: peers
    // identify entries by a 32-bit hash of the name, the tag, and two published names share one.
    let mut seen = std::collections::HashMap::new();
    let name = |i: u32| format!("w{i}");
    let tag = |i: u32| toucanturn_core::ids::Tag::of(name(i).as_bytes());
    let pair = (0..).find_map(|i| seen.insert(tag(i), i).map(|other| (other, i)));
    let (one, other) = pair.unwrap();
    let workspace = |digit: &str| json!({"key_sha256": [digit.repeat(64)], "priority": 1, "requests_per_s": 1, "deadline_ms": 10});
    let mut document = example();
    document["workspaces"][name(one)] = workspace("1");
    expect_that!(faults(&document), is_empty());
    document["workspaces"][name(other)] = workspace("2");
    let found = faults(&document);
    expect_that!(found.len(), eq(1));
    expect_that!(found[0].path, eq(&format!("workspaces/{}", name(other))));
}

#[gtest]
fn verify_a_file_splits_into_its_keys() {
    let parts = document::split(VITALBOX.as_bytes()).unwrap();
    let keys: Vec<_> = parts
        .iter()
        .map(|(k, _)| std::str::from_utf8(k).unwrap())
        .collect();
    expect_that!(keys.len(), eq(2 + 1 + 2 + 16 + 10));
    expect_true!(keys.contains(&"policy"));
    expect_true!(keys.contains(&"fleet"));
    expect_true!(keys.contains(&"endpoints/engine-12"));
    let document = example();
    for (key, value) in &parts {
        let value: Value = serde_json::from_slice(value).unwrap();
        let pointer = format!("/{}", std::str::from_utf8(key).unwrap());
        expect_that!(document.pointer(&pointer), some(eq(&value)));
    }
}
