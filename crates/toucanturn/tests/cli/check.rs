//! `toucanturn check`: all faults at once.

use googletest::prelude::*;
use serde_json::json;

use crate::support::{
    Files,
    config,
    settings,
    toucanturn, //
};

#[gtest]
fn verify_a_valid_configuration_passes() {
    let files = Files::new();
    let path = files.write("config.json", config());
    let run = toucanturn(["check", "config", &path]);
    expect_that!(run.code, some(eq(0)), "{run:?}");
    expect_that!(run.out, eq(&format!("{path}: valid\n")));
    let run = toucanturn(["check", "config", "--json", &path]);
    expect_that!(run.code, some(eq(0)));
    expect_that!(run.json(), eq(&json!({"valid": true, "faults": []})));
}

#[gtest]
fn verify_all_faults_of_a_configuration_are_named_at_once() {
    let mut bad = config();
    bad["endpoints"]["eng-1"]["address"] = json!("eng-1.example:80");
    bad["endpoints"]["eng-2"]["models"] = json!(["assistent"]);
    bad["workspaces"]["vitalbox-chat"]["key_sha256"] = json!(["short"]);
    let files = Files::new();
    let path = files.write("config.json", bad);
    let run = toucanturn(["check", "config", &path]);
    expect_that!(run.code, some(eq(1)));
    for part in [
        "endpoints/eng-1.address: found ",
        "eng-1.example:80",
        "assistent",
        "workspaces/vitalbox-chat.key_sha256",
        "expected ",
    ] {
        expect_that!(run.out, contains_substring(part));
    }
    let run = toucanturn(["check", "config", "--json", &path]);
    expect_that!(run.code, some(eq(1)));
    expect_that!(run.json()["faults"].as_array(), some(len(eq(3))));
}

#[gtest]
fn verify_a_file_that_is_no_configuration_is_refused() {
    let files = Files::new();
    for text in ["", "[]", "{", r#"{"endpoint": {}}"#, r#"{"endpoints": []}"#] {
        let path = files.write("config.json", text);
        let run = toucanturn(["check", "config", &path]);
        expect_that!(run.code, some(eq(1)), "{text:?}: {run:?}");
        expect_that!(run.out, not(eq("")), "{text:?}");
    }
}

#[gtest]
fn verify_a_missing_file_is_named() {
    let run = toucanturn(["check", "config", "/nonexistent/config.json"]);
    expect_that!(run.code, some(eq(1)));
    expect_that!(run.err, contains_substring("/nonexistent/config.json"));
}

#[gtest]
fn verify_valid_settings_pass() {
    let files = Files::new();
    let path = files.write("settings.json", settings());
    let run = toucanturn(["check", "settings", &path]);
    expect_that!(run.code, some(eq(0)), "{run:?}");
    expect_that!(run.out, eq(&format!("{path}: valid\n")));
}

#[gtest]
fn verify_all_faults_of_settings_are_named_and_no_secret_is_shown() {
    let mut bad = settings();
    bad["listen"] = json!("entry-1:80");
    bad["listen_adress"] = json!("10.0.0.1:80");
    bad["peer_key"] = json!("c0ffee");
    let files = Files::new();
    let path = files.write("settings.json", bad);
    let run = toucanturn(["check", "settings", &path]);
    expect_that!(run.code, some(eq(1)), "{run:?}");
    for part in ["listen: found ", "listen_adress", "peer_key: "] {
        expect_that!(run.out, contains_substring(part));
    }
    expect_that!(run.out, not(contains_substring("c0ffee")));
    expect_that!(run.out, not(contains_substring("2222")));
}

#[gtest]
fn verify_the_examples_pass() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    for name in ["vitalbox", "terenni"] {
        for (kind, suffix) in [("config", "json"), ("settings", "settings.json")] {
            let path = format!("{root}/{name}.{suffix}");
            let run = toucanturn(["check", kind, &path]);
            expect_that!(run.code, some(eq(0)), "{path}: {run:?}");
        }
    }
}
