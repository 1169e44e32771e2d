//! Start, signals and shutdown of the gateway daemon.

#![expect(clippy::expect_used, reason = "a test fails by its panic")]

use std::{
    io::{
        BufRead,
        BufReader,
        Read as _, //
    },
    path::Path,
    process::{
        Child,
        Command,
        ExitStatus,
        Stdio, //
    },
};

use googletest::prelude::*;
use serde_json::Value;
use toucanturn_platform::names::SETTINGS_VARIABLE;

/// Returns settings of a gateway whose registry refuses connections.
fn settings(stop_s: f64) -> String {
    let any = "127.0.0.1:0";
    serde_json::json!({
        "id": "r1", "data_center": "a", "registry": "127.0.0.1:1", "seeds": [],
        "listen": {"callers": any, "ready": any, "peers": any},
        "bounds": {"config_ms": 2000, "revoke_ms": 5000, "leaving_ms": 2000, "stop_s": stop_s,
            "lapse_s": 2, "skew": 2, "retry_share": 0.2, "retry_extra": 54, "retry_window_s": 10},
    })
    .to_string()
}

/// A running daemon; dropping it kills the process.
struct Daemon {
    child: Child,
    lines: BufReader<std::process::ChildStdout>,
}

impl Daemon {
    fn start(path: &Path) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_toucanturn-gatewayd"))
            .env(SETTINGS_VARIABLE, path)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let lines = BufReader::new(child.stdout.take().expect("the output is piped"));
        Self { child, lines }
    }

    /// Reads the next log line.
    fn next(&mut self) -> Value {
        let mut line = String::new();
        let read = self.lines.read_line(&mut line).expect("the log is UTF-8");
        assert!(read > 0, "the log has ended");
        serde_json::from_str(&line).expect("a line is JSON")
    }

    /// Reads log lines until one of `event`; returns it.
    fn until(&mut self, event: u64) -> Value {
        self.until_one_of(&[event])
    }

    /// Reads log lines until one of several events; returns it.
    fn until_one_of(&mut self, events: &[u64]) -> Value {
        loop {
            let line = self.next();
            if events.iter().any(|event| line["event"] == *event) {
                return line;
            }
        }
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(sent.expect("kill can be run").success(), "{name} was sent");
    }

    fn end(&mut self) -> ExitStatus {
        self.child.wait().expect("the daemon can be waited for")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Fails if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[gtest]
fn verify_it_starts_follows_its_settings_and_stops_by_signal() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let path = folder.path().join("settings.json");
    std::fs::write(&path, settings(2.0)).expect("the file can be written");
    let mut daemon = Daemon::start(&path);
    expect_that!(daemon.until(600)["id"], eq(&Value::from("r1")));
    std::fs::write(&path, "{").expect("the file can be written");
    daemon.signal("HUP");
    daemon.until(604);
    std::fs::write(&path, settings(0.5)).expect("the file can be written");
    daemon.signal("HUP");
    expect_that!(daemon.until(605)["needs_restart"], eq(&Value::from(false)));
    daemon.signal("TERM");
    daemon.until(691);
    expect_that!(daemon.until(692)["cut"], eq(&Value::from(0)));
    expect_that!(daemon.end().code(), some(eq(0)));
}

/// Replaces a file atomically, so that a pending reload doesn't find it empty.
fn replace(path: &Path, text: &str) {
    let new = path.with_extension("new");
    std::fs::write(&new, text).expect("the file can be written");
    std::fs::rename(&new, path).expect("the file can be replaced");
}

/// Invalid settings leave the old ones in force, and log one line per fault, however often they are read.
#[gtest]
fn verify_bad_settings_are_told_of_once() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let path = folder.path().join("settings.json");
    std::fs::write(&path, settings(0.5)).expect("the file can be written");
    let mut daemon = Daemon::start(&path);
    daemon.until(600);
    for (number, bad) in ["{", "["].iter().enumerate() {
        replace(&path, bad);
        daemon.signal("HUP");
        daemon.until(604);
        for _ in 0..3 {
            daemon.signal("HUP");
        }
        let sound = if number == 0 { 0.6 } else { 0.7 };
        replace(&path, &settings(sound));
        daemon.signal("HUP");
        let next = daemon.until_one_of(&[604, 605]);
        expect_that!(next["event"], eq(&Value::from(605)), "{bad} {next}");
    }
}

/// Guards against a bound that was changed and is not in force because another value of the file can't be used.
#[gtest]
fn verify_a_value_that_cannot_be_used_costs_only_itself() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let path = folder.path().join("settings.json");
    std::fs::write(&path, settings(2.0)).expect("the file can be written");
    let mut daemon = Daemon::start(&path);
    daemon.until(600);
    let odd = settings(0.5).replace("\"skew\":2", "\"skew\":\"x\"");
    replace(&path, &odd);
    daemon.signal("HUP");
    let line = daemon.until_one_of(&[604, 606]);
    let faults = line["faults"].as_str().unwrap_or_default();
    expect_that!(faults, contains_substring("skew"), "{line}");
    daemon.until(605);
    daemon.signal("TERM");
    daemon.until(692);
    expect_that!(daemon.end().code(), some(eq(0)));
    // At a start the nearest value counts.
    let outside = settings(0.5).replace("\"skew\":2", "\"skew\":0");
    replace(&path, &outside);
    let mut daemon = Daemon::start(&path);
    let line = daemon.until(606);
    let faults = line["faults"].as_str().unwrap_or_default();
    expect_that!(faults, contains_substring("skew"), "{line}");
}

/// Changes that would cut off callers or peers are not applied, and event 605 says that they need a restart.
#[gtest]
fn verify_what_needs_a_restart_is_said() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let path = folder.path().join("settings.json");
    let changes = [
        ("\"data_center\":\"a\"", "\"data_center\":\"b\""),
        ("\"id\":\"r1\"", "\"id\":\"r2\""),
        ("127.0.0.1:1", "127.0.0.1:2"),
    ];
    std::fs::write(&path, settings(0.5)).expect("the file can be written");
    let mut daemon = Daemon::start(&path);
    daemon.until(600);
    for (old, new) in changes {
        std::fs::write(&path, settings(0.5).replace(old, new)).expect("the file can be written");
        daemon.signal("HUP");
        let said = daemon.until(605);
        expect_that!(said["needs_restart"], eq(&Value::from(true)), "{new}");
    }
}

/// A change of settings must not end a stopping router early, as that would cut off its requests.
#[gtest]
fn verify_a_reload_while_it_stops_ends_nothing() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let path = folder.path().join("settings.json");
    std::fs::write(&path, settings(1.0)).expect("the file can be written");
    let mut daemon = Daemon::start(&path);
    daemon.until(600);
    daemon.signal("TERM");
    daemon.until(691);
    std::fs::write(&path, "{").expect("the file can be written");
    for _ in 0..3 {
        daemon.signal("HUP");
    }
    expect_that!(daemon.until(692)["cut"], eq(&Value::from(0)));
    expect_that!(daemon.end().code(), some(eq(0)));
}

#[gtest]
fn verify_settings_that_cannot_be_used_end_the_start() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let path = folder.path().join("settings.json");
    let bad = [
        "{".to_owned(),
        settings(2.0).replace("\"skew\":2", "\"skew\":\"x\""),
        settings(2.0).replace("127.0.0.1:0", "192.0.2.1:0"),
    ];
    for text in bad {
        std::fs::write(&path, &text).expect("the file can be written");
        let mut daemon = Daemon::start(&path);
        expect_that!(daemon.end().code(), some(eq(1)), "{text}");
        let mut said = String::new();
        let mut errors = daemon.child.stderr.take().expect("the output is piped");
        errors
            .read_to_string(&mut said)
            .expect("the error output is UTF-8");
        expect_that!(said, starts_with("toucanturn-gatewayd: "));
    }
    std::fs::remove_file(&path).expect("the file exists");
    expect_that!(Daemon::start(&path).end().code(), some(eq(1)));
}
