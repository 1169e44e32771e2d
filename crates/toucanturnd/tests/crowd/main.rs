//! A crowd of callers whose bodies don't end: the daemon's memory stays within its bound, and an ordinary chat is
//! answered. A program of its own, so that it runs apart from other tests.

#![expect(clippy::expect_used, reason = "a test that can't set itself up fails")]

use std::{
    net::SocketAddr,
    time::Duration, //
};

use googletest::prelude::*;
use tokio::{
    io::AsyncWriteExt as _,
    net::TcpStream,
    sync::mpsc,
    time::{
        sleep,
        timeout, //
    },
};

#[expect(dead_code, reason = "shared with tests that use all of it")]
#[path = "../daemon/callers.rs"]
mod callers;
#[expect(dead_code, reason = "shared with tests that use all of it")]
#[path = "../daemon/daemon.rs"]
mod daemon;
#[expect(dead_code, reason = "shared with tests that use all of it")]
#[path = "../daemon/fleet.rs"]
mod fleet;
#[expect(dead_code, reason = "shared with tests that use all of it")]
#[path = "../daemon/front.rs"]
mod front;

use callers::{
    Chat,
    chat, //
};
use daemon::Daemon;
use fleet::{
    Fleet,
    KEY, //
};

const MIB: usize = 1 << 20;
const CROWD: usize = 60;
/// Longest body, and most bytes of all bodies, by the default settings.
const MAX_BODY: usize = 8 * MIB;
const MAX_BODIES_MB: usize = 64;
/// Memory of the process beside bodies.
const PROCESS_MB: usize = 32;
const BLOCK_BYTES: usize = 64 << 10;
/// Longest time that a connection may take nothing before its sender leaves it open as it is.
const BLOCKED_TIMEOUT: Duration = Duration::from_secs(3);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
const SAMPLES: usize = 200;

/// Gets a process's resident memory in mebibytes.
fn resident_mb(daemon: &Daemon) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", daemon.pid()));
    let status = status.unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = resident.and_then(|r| r.trim().trim_end_matches(" kB").parse().ok());
    kibibytes.unwrap_or(usize::MAX) >> 10
}

/// Sends a body but for its last byte; returns the connection if it is still open.
async fn send_long_body(router: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(router).await.ok()?;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {MAX_BODY}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    let block = vec![b' '; BLOCK_BYTES];
    for number in 1..=MAX_BODY / BLOCK_BYTES {
        let last = number == MAX_BODY / BLOCK_BYTES;
        let sent = &block[usize::from(last)..];
        match timeout(BLOCKED_TIMEOUT, stream.write_all(sent)).await {
            Ok(sent) => sent.ok()?,
            Err(_) => break,
        }
    }
    Some(stream)
}

/// Guards against bodies that each have a bound, and whose sum has none.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_bodies_that_stop_a_byte_short_stay_within_their_sum() {
    let fleet = Fleet::start(Duration::from_millis(1)).await;
    let router = &fleet.routers[0];
    let crowd: Vec<_> = (0..CROWD)
        .map(|_| tokio::spawn(send_long_body(router.callers)))
        .collect();
    let mut peak = 0;
    for _ in 0..SAMPLES {
        peak = peak.max(resident_mb(router.daemon()));
        sleep(SAMPLE_INTERVAL).await;
    }
    let (begun, _heard) = mpsc::channel(1);
    let id = "ordinary".to_owned();
    let answer = chat(fleet.http.clone(), router.callers, id, 4, begun).await;
    peak = peak.max(resident_mb(router.daemon()));
    println!("{peak} MiB at the peak");
    expect_that!(answer, eq(&Chat::Whole));
    expect_that!(peak, le(MAX_BODIES_MB + PROCESS_MB));
    for sender in crowd {
        drop(sender.await);
    }
}
