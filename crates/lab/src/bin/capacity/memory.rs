//! Memory of one node by what it holds. Each figure is taken in a process of its own, since one
//! that has freed memory reuses it.

use std::process::Command;

use toucanturn_core::{
    peer::Entry,
    units::Millis, //
};

use crate::{
    published::{
        self,
        Size, //
    },
    world::World, //
};

/// `Held` is a node's memory in bytes, by what was added.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Held {
    /// The published configuration, parsed, with all tables that it sizes.
    pub(crate) config: f64,
    /// What peers told in three seconds, and what ticks keep.
    pub(crate) heard: f64,
    /// 2,000 open chats.
    pub(crate) calls: f64,
    /// 30,000 keys with an answer of 200 bytes each.
    pub(crate) keys: f64,
    /// What stays of 40,000 chats that ended, more than are kept for moves.
    pub(crate) recent: f64,
}

/// Open chats that are made.
pub(crate) const CALLS: u32 = 2000;

/// Keys that are made.
pub(crate) const KEYS: u32 = 30_000;

/// Measures in a process of its own.
pub(crate) fn measure(size: Size) -> Held {
    let args = [size.routers, size.endpoints, size.workspaces].map(|n| n.to_string());
    let exe = std::env::current_exe().unwrap_or_default();
    let output = Command::new(exe).arg("memory").args(args).output();
    let text = output.map(|o| o.stdout).unwrap_or_default();
    let text = String::from_utf8_lossy(&text).into_owned();
    let mut parts = text
        .split_whitespace()
        .filter_map(|n| n.parse::<f64>().ok());
    let mut next = || parts.next().unwrap_or(f64::NAN);
    Held {
        config: next(),
        heard: next(),
        calls: next(),
        keys: next(),
        recent: next(),
    }
}

/// Measures here and prints the five figures.
pub(crate) fn child(size: Size) {
    let change = published::snapshot(size);
    let weight = |e: &Entry| e.key.len() + e.value.as_ref().map_or(0, bytes::Bytes::len);
    let content: usize = change.entries.iter().map(weight).sum();
    let before = resident();
    let world = World::with(&change);
    // The world's own store parses the same again.
    let config = (resident() - before) / 2.0 + content as f64;
    let mut world = world.surround();
    let before = resident();
    world.run(Millis(3000), 0.0);
    let heard = resident() - before;
    world.answer = None;
    let before = resident();
    world.run(Millis(1000), f64::from(CALLS));
    let calls = resident() - before;
    let keys = if size.routers <= 7 {
        keys(&mut World::with(&change).surround())
    } else {
        f64::NAN
    };
    let recent = if size.routers <= 7 {
        recent(&mut World::with(&change).surround())
    } else {
        f64::NAN
    };
    println!("{config} {heard} {calls} {keys} {recent}");
}

fn recent(world: &mut World) -> f64 {
    world.answer = Some(Millis(20));
    // So that grants and rows for all workspaces are there before.
    world.run(Millis(5000), 1000.0);
    let before = resident();
    world.run(Millis(40_000), 1000.0);
    resident() - before
}

fn keys(world: &mut World) -> f64 {
    world.run(Millis(20_000), 0.0);
    world.answer = Some(Millis(20));
    world.body = 200;
    let before = resident();
    let mut made = 0;
    while made < KEYS && world.now.mono.0 < 600_000 {
        made += (0..700).map(|_| u32::from(world.forwarded())).sum::<u32>();
        world.run(Millis(50), 0.0);
    }
    let refused = world.action("refuse").count;
    if refused > 0 {
        eprintln!("{refused} of {made} keys were refused");
    }
    resident() - before
}

fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
    number.unwrap_or(f64::NAN) * 1024.0
}
