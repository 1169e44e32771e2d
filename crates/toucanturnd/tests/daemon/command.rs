//! The command line: what is printed, and the exit code.

use googletest::prelude::*;
use serde_json::json;
use tempfile::TempDir;

use crate::{
    daemon::run,
    fleet::settings_of, //
};

/// Symptom: an operator mends a settings file one fault a start. Sequence: the file has several
/// faults. Cause: the reader stops at the first.
#[gtest]
fn verify_wrong_settings_end_it_with_every_fault_named() {
    let files = TempDir::new().expect("a folder can be made");
    let path = files.path().join("settings.json");
    let address = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let three = [address(1), address(2), address(3)];
    let mut settings = settings_of("router-0", &three, address(4));
    settings["listen"] = json!("entry-1:80");
    settings["listen_adress"] = json!("127.0.0.1:80");
    settings["config_service"] = json!(["127.0.0.1:0"]);
    settings["peer_key"] = json!("c0ffee");
    settings["log"] = json!({"level": "loud"});
    settings["limits"] = json!({"max_body_bytes": 1, "max_bdy": 1});
    std::fs::write(&path, settings.to_string()).expect("a file can be written");
    let ended = run(&["--settings", &path.to_string_lossy()]);
    let told = String::from_utf8_lossy(&ended.stderr);
    expect_that!(ended.status.code(), some(eq(1)), "{told}");
    for part in [
        "listen: found ",
        // Its path is that of the object it stands in, here the file itself.
        ": found \"listen_adress\"",
        "config_service[0]: ",
        "peer_key: ",
        "log.level: ",
        "limits.max_body_bytes: ",
        "limits: found \"max_bdy\"",
    ] {
        expect_that!(told, contains_substring(part));
    }
    expect_that!(told, not(contains_substring("c0ffee")), "a secret is shown");
    expect_that!(
        ended.stdout,
        is_empty(),
        "addresses of a router that is none"
    );
}

/// Symptom: a mistyped unit file looks like a crash. Sequence: it names no settings, or no such
/// option. Cause: wrong usage ends with the exit code of bad input.
#[gtest]
fn verify_wrong_usage_has_an_exit_code_of_its_own() {
    for args in [&[][..], &["--settings"], &["--setings", "x.json"]] {
        let ended = run(args);
        expect_that!(ended.status.code(), some(eq(2)), "{args:?}");
        let told = String::from_utf8_lossy(&ended.stderr);
        expect_that!(told, contains_substring("--help"), "{args:?}");
    }
}

/// Symptom: a file that is not there is told without its name. Sequence: the path is mistyped.
/// Cause: the error of the system alone is shown.
#[gtest]
fn verify_a_missing_file_is_named() {
    let ended = run(&["--settings", "/nonexistent/settings.json"]);
    expect_that!(ended.status.code(), some(eq(1)));
    let told = String::from_utf8_lossy(&ended.stderr);
    expect_that!(told, contains_substring("/nonexistent/settings.json"));
}

/// Symptom: help or the version can't be read by a script. Sequence: they are asked for without
/// settings. Cause: they go to the log, or need what they explain.
#[gtest]
fn verify_help_and_version_are_printed() {
    let ended = run(&["--help"]);
    expect_that!(ended.status.code(), some(eq(0)));
    let told = String::from_utf8_lossy(&ended.stdout);
    expect_that!(told, contains_substring("--settings"));
    let ended = run(&["--version"]);
    expect_that!(ended.status.code(), some(eq(0)));
    let told = String::from_utf8_lossy(&ended.stdout);
    expect_that!(told.trim(), starts_with("toucanturnd "));
}
