//! What a soak leaves behind that is killed.

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
use toucanturn_soak::guard::started;

const LIMIT: Duration = Duration::from_secs(20);

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
    // A store, two routers, two endpoints.
    while soak.children.len() < 5 && Instant::now() < until {
        sleep(Duration::from_millis(20));
        soak.children = children(soak.child.id());
    }
    expect_that!(soak.children.len(), ge(5));
    soak.child.kill().expect("it runs");
    soak.child.wait().expect("it has ended");
    let runs = |(id, start): &&(i32, u64)| started(*id) == Some(*start);
    while soak.children.iter().any(|c| runs(&c)) && Instant::now() < until {
        sleep(Duration::from_millis(20));
    }
    let left: Vec<_> = soak.children.iter().filter(runs).collect();
    expect_that!(left, is_empty());
}
