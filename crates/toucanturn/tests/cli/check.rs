//! `toucanturn check`: all faults at once.

use googletest::prelude::*;
use serde_json::json;

use crate::support::{
    Files,
    config,
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
        "endpoints/eng-1.address",
        "eng-1.example:80",
        "assistent",
        "key_sha256",
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
