//! What a soak leaves behind that is killed.

#![expect(clippy::expect_used, reason = "a test fails by its panic")]

use std::{
    process::{
        Child,
        Command,
        Stdio, //
    },
    thread::sleep,
    time::{
        Duration,
        Instant, //
    },
};

use googletest::prelude::*;

const LIMIT: Duration = Duration::from_secs(20);
/// Time between two looks at the processes; short, to find them just started.
const LOOK: Duration = Duration::from_millis(2);
/// Place of the start among the fields behind the name in `/proc/ID/stat` (proc(5)), in ticks since the boot.
const START: usize = 19;

/// Ends the soak and what it started, however the test ends.
struct Soak {
    child: Child,
    /// Its children with their starts.
    children: Vec<(i32, u64)>,
}

impl Drop for Soak {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for (id, start) in self.children.clone() {
            if started(id) == Some(start) {
                let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
            }
        }
    }
}

/// Gets when a process started; `None` where there is none with this id.
fn started(id: i32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name before it may hold anything, also brackets and spaces.
    let (_, fields) = text.rsplit_once(')')?;
    fields.split_whitespace().nth(START)?.parse().ok()
}

/// Lists the children of a process with their starts.
fn children(parent: u32) -> Vec<(i32, u64)> {
    let path = format!("/proc/{parent}/task/{parent}/children");
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let ids = text.split_whitespace().filter_map(|id| id.parse().ok());
    ids.filter_map(|id| Some((id, started(id)?))).collect()
}

/// Symptom: a test's stand-in endpoint counted four arrivals of nobody's. Sequence: a soak was killed; its routers ran on
/// and called the ports of registries and endpoints that were gone; the system gave these ports to a test. Cause: a
/// killed process ends none of its children.
#[gtest]
fn verify_a_killed_soak_leaves_nobody_behind() {
    expect_that!(left_behind(5), is_empty());
}

/// Guards against a child that runs on as the soak was killed just after it had started it.
#[gtest]
fn verify_a_soak_that_is_killed_while_it_starts_leaves_nobody_behind() {
    for children in 1..=5 {
        expect_that!(left_behind(children), is_empty(), "of {children}");
    }
}

/// Kills a soak as soon as it has so many children; lists those that run on.
fn left_behind(children_at_least: usize) -> Vec<(i32, u64)> {
    let child = Command::new(env!("CARGO_BIN_EXE_toucanturn-soak"))
        .args(["--seconds", "60", "--routers", "2", "--replicas", "2"])
        .stdout(Stdio::null())
        .spawn()
        .expect("it starts");
    let mut soak = Soak {
        child,
        children: Vec::new(),
    };
    let until = Instant::now() + LIMIT;
    // The guard, a store, two routers, two endpoints.
    while soak.children.len() < children_at_least && Instant::now() < until {
        sleep(LOOK);
        soak.children = children(soak.child.id());
    }
    expect_that!(soak.children.len(), ge(children_at_least));
    soak.child.kill().expect("it runs");
    soak.child.wait().expect("it has ended");
    let runs = |(id, start): &&(i32, u64)| started(*id) == Some(*start);
    while soak.children.iter().any(|c| runs(&c)) && Instant::now() < until {
        sleep(LOOK);
    }
    soak.children.iter().filter(runs).copied().collect()
}
