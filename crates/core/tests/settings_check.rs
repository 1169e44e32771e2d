//! Checks of the settings file of a process.

#![expect(clippy::unwrap_used, reason = "a test that can't go on panics")]

use std::collections::BTreeSet;

use googletest::prelude::*;
use serde_json::{
    Value,
    json, //
};
use toucanturn_core::{
    config::{
        Config,
        fault::Fault, //
    },
    settings::{
        Format,
        Level,
        Limits,
        Settings, //
    },
};

/// Pairs of example settings and the published configuration that contains its router.
const EXAMPLES: [(&str, &str); 2] = [
    (
        include_str!("../../../examples/vitalbox.settings.json"),
        include_str!("../../../examples/vitalbox.json"),
    ),
    (
        include_str!("../../../examples/terenni.settings.json"),
        include_str!("../../../examples/terenni.json"),
    ),
];

/// Cases: a field of the example settings, its invalid value (null removes the field), and the path
/// of the only fault that follows.
const INVALID_VALUES: &str = r#"[
["id", "Router 1", "id"],
["id", null, "id"],
["data_center", 4, "data_center"],
["listen", "10.20.1.10:0", "listen"],
["listen", "localhost:80", "listen"],
["peer_listen", "10.20.1.10:8080", "peer_listen"],
["admin_listen", "10.20.1.10:8081", "admin_listen"],
["config_service", [], "config_service"],
["config_service", ["10.0.0.1:1", "10.0.0.1:1"], "config_service[1]"],
["config_service", ["http://10.0.0.1:1"], "config_service[0]"],
["vm_list", "10.0.0.1:1", "vm_list"],
["peer_key", "00ff", "peer_key"],
["peer_key", null, "peer_key"],
["token_key", "not hexadecimal", "token_key"],
["log", {"format": "xml"}, "log.format"],
["log", {"level": "INFO"}, "log.level"],
["log", {"file": "/var/log/x"}, "log"],
["statsd", "10.0.0.1", "statsd"],
["seed", -1, "seed"],
["limits", [], "limits"],
["limits", {"max_body_bytes": 1e9}, "limits.max_body_bytes"],
["limits", {"max_open_requests": 0}, "limits.max_open_requests"],
["limits", {"key_memory_bytes": 1}, "limits.key_memory_bytes"],
["peer_key_file", "/etc/key", ""]
]"#;

/// Reads the first example with the given fields replaced; null removes a field.
fn example_with(changes: &[(&str, Value)]) -> Result<Settings, Vec<Fault>> {
    let mut out: Value = serde_json::from_str(EXAMPLES[0].0).unwrap();
    let fields = out.as_object_mut().unwrap();
    for (name, value) in changes {
        match value {
            Value::Null => drop(fields.remove(*name).unwrap()),
            value => drop(fields.insert((*name).to_owned(), value.clone())),
        }
    }
    Settings::try_from(out.to_string().as_bytes())
}

#[gtest]
fn verify_the_example_settings_are_valid_and_match_the_published_fleet() {
    for (settings, config) in EXAMPLES {
        let settings = Settings::try_from(settings.as_bytes()).unwrap();
        let config = Config::try_from(config.as_bytes()).unwrap();
        let router = config
            .fleet
            .get(config.fleet.key(&settings.id).unwrap())
            .unwrap();
        expect_that!(router.address, eq(settings.listen));
        expect_that!(router.peer_address, eq(settings.peer_listen));
        expect_that!(router.data_center, eq(&settings.data_center));
        expect_that!(settings.vm_list, eq(&settings.config_service));
    }
}

#[gtest]
fn verify_absent_settings_have_their_defaults() {
    let absent = ["log", "limits", "statsd"].map(|name| (name, Value::Null));
    let settings = example_with(&absent).unwrap();
    expect_that!(settings.limits, eq(Limits::default()));
    expect_that!(settings.log.format, eq(Format::Json));
    expect_that!(settings.log.level, eq(Level::Info));
    expect_that!(settings.statsd, none());
    expect_that!(settings.seed, none());
}

#[gtest]
fn verify_each_fault_names_its_path() {
    // Guards against a process that starts with an invalid setting, or a refusal that names another
    // field, because a check is missing or wrong.
    let cases: Vec<(String, Value, String)> = serde_json::from_str(INVALID_VALUES).unwrap();
    for (name, value, path) in cases {
        let found = example_with(&[(&name, value.clone())]).unwrap_err();
        let paths: Vec<&str> = found.iter().map(|f| &f.path[..]).collect();
        expect_that!(paths, eq(&vec![&path[..]]), "{name} = {value}: {found:?}");
    }
}

#[gtest]
fn verify_all_faults_are_reported_at_once() {
    // Guards against a check that stops at the first fault, so that an operator restarts a VM once
    // for each mistake.
    let changes = [
        ("id", json!("")),
        ("peer_key", json!("00")),
        ("log", json!({"format": 1, "level": 2})),
        ("limits", json!({"max_body_bytes": 0, "other": 0})),
    ];
    let found = example_with(&changes).unwrap_err();
    let paths: BTreeSet<&str> = found.iter().map(|f| &f.path[..]).collect();
    let expected = [
        "id",
        "limits",
        "limits.max_body_bytes",
        "log.format",
        "log.level",
        "peer_key",
    ];
    expect_that!(paths, eq(&BTreeSet::from(expected)));
}

#[gtest]
fn verify_secrets_stay_out_of_logs() {
    // Guards against a key of the fleet in a log or on a terminal, through a derived `Debug` when
    // settings are logged at the start, or through a fault that shows the refused value when a key
    // is mistyped or both keys are the same.
    let key = "ab".repeat(32);
    let settings = example_with(&[("peer_key", json!(key))]).unwrap();
    expect_that!(settings.peer_key.expose(), eq(&[0xab; 32]));
    expect_that!(format!("{settings:?}"), not(contains_substring("abab")));
    expect_that!(format!("{settings:?}"), not(contains_substring("171, 171")));
    let mistyped = example_with(&[("token_key", json!(format!("{key}x")))]);
    expect_that!(format!("{mistyped:?}"), not(contains_substring("abab")));
    let same = example_with(&[("peer_key", json!(key)), ("token_key", json!(key))]);
    expect_that!(same.as_ref().unwrap_err()[0].path, eq("token_key"));
    expect_that!(format!("{same:?}"), not(contains_substring("abab")));
}
