//! Metrics of a router that runs.

use std::{
    collections::BTreeMap,
    net::UdpSocket,
    time::{
        Duration,
        Instant, //
    },
};

use googletest::prelude::*;
use serde_json::json;

use crate::rig::{
    MAIN,
    OTHER,
    Rig,
    chat_body, //
};

/// Time for metrics that are sent once a second.
const REST: Duration = Duration::from_secs(4);

/// Opens a socket for metrics; gives it with its address.
fn open() -> (UdpSocket, String) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind");
    let time_out = Some(Duration::from_millis(50));
    socket.set_read_timeout(time_out).expect("a time-out");
    let address = socket.local_addr().expect("address").to_string();
    (socket, address)
}

/// Listens until metrics are as wanted; gives the latest value of each.
fn listen(
    socket: &UdpSocket,
    wanted: impl Fn(&BTreeMap<String, String>) -> bool,
) -> BTreeMap<String, String> {
    let end = Instant::now() + REST;
    let mut seen = BTreeMap::new();
    let mut buffer = [0; 65_536];
    while Instant::now() < end && !wanted(&seen) {
        let Ok(length) = socket.recv(&mut buffer) else {
            continue;
        };
        for line in String::from_utf8_lossy(&buffer[..length]).lines() {
            let line = line.trim_start_matches("toucanturn.");
            if let Some((name, value)) = line.split_once(':') {
                seen.insert(name.to_owned(), value.to_owned());
            }
        }
    }
    seen
}

/// Symptom: a page of operators shows nothing of skew, view age or control traffic, or shows it
/// minutes late. Cause: metrics that are named and not sent, or that wait for a datagram to fill.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_gauges_and_counts_come_within_seconds() {
    let (socket, address) = open();
    let rig = Rig::start_with(json!({ "statsd": address })).await;
    let chat = rig.chat(MAIN, &[], &chat_body("assistant")).await;
    expect_that!(chat.status, eq(200));
    rig.chat(OTHER, &[], &chat_body("assistant")).await;
    let names = [
        "requests",
        "done",
        "not_run",
        "refusals",
        "skew",
        "control_bytes_out",
        "control_bytes_in",
        "view_age_ms",
        "config_revision",
        "open",
    ];
    let seen = tokio::task::spawn_blocking(move || {
        listen(&socket, |seen| names.iter().all(|n| seen.contains_key(*n)))
    });
    let seen = seen.await.expect("no panic");
    for name in names {
        expect_that!(seen.contains_key(name), eq(true), "{name} in {seen:?}");
    }
    // One engine carries the whole load: as much as the mean.
    expect_that!(seen.get("skew"), some(eq("1000|g")));
    expect_that!(seen.get("open"), some(eq("0|g")));
    // A fleet of one sends nothing to others.
    expect_that!(seen.get("control_bytes_out"), some(eq("0|c")));
}

/// Symptom: one engine carries everything and no page shows it. Sequence: of two engines, one has a
/// chat in progress: twice the mean.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_skew_is_the_highest_load_over_the_mean() {
    let (socket, address) = open();
    let rig = Rig::start_with(json!({ "statsd": address })).await;
    let late = json!({"mode": "late", "count": 1, "delay_ms": 4000});
    rig.engine_fault(late).await;
    let body = chat_body("assistant");
    let chat = rig.chat(MAIN, &[("x-deadline-ms", "10000")], &body);
    let seen = async {
        // The chat is to go to the only engine that there is yet.
        tokio::time::sleep(Duration::from_millis(200)).await;
        rig.add_engine().await;
        let is_uneven = |seen: &BTreeMap<String, String>| {
            let value = |name: &str| seen.get(name).map(String::as_str);
            value("skew") == Some("2000|g") && value("open") == Some("1|g")
        };
        let seen = tokio::task::spawn_blocking(move || listen(&socket, is_uneven));
        seen.await.expect("no panic")
    };
    let (chat, seen) = tokio::join!(chat, seen);
    expect_that!(chat.status, eq(200), "{chat:?}");
    expect_that!(seen.get("skew"), some(eq("2000|g")), "{seen:?}");
    expect_that!(seen.get("open"), some(eq("1|g")), "{seen:?}");
}

/// Symptom: control traffic eats the network and no page shows it.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_control_bytes_are_counted_both_ways() {
    let (socket, address) = open();
    let rig = Rig::start_with(json!({ "statsd": address })).await;
    let other = rig.add_router().await;
    let names = ["control_bytes_out", "control_bytes_in"];
    let counted = move |seen: &BTreeMap<String, String>| {
        let counted = |n: &str| seen.get(n).is_some_and(|v| v != "0|c");
        names.iter().all(|n| counted(n))
    };
    let seen = tokio::task::spawn_blocking(move || listen(&socket, counted));
    let seen = seen.await.expect("no panic");
    other.abort();
    for name in names {
        expect_that!(seen.get(name), some(not(eq("0|c"))), "{name} in {seen:?}");
    }
}

/// Symptom: callers wait because the metrics server is gone. Sequence: nobody listens at the
/// address, or a black hole is there, and every request counts several metrics.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_requests_go_on_while_nobody_listens_for_metrics() {
    let closed = UdpSocket::bind("127.0.0.1:0").expect("bind");
    let closed = closed.local_addr().expect("address").to_string();
    // 192.0.2.0/24 is no network (RFC 5737).
    for address in [closed, "192.0.2.1:8125".to_owned()] {
        let rig = Rig::start_with(json!({ "statsd": address })).await;
        let end = Instant::now() + Duration::from_millis(1500);
        while Instant::now() < end {
            let body = chat_body("assistant");
            let chat = rig.chat(MAIN, &[("x-deadline-ms", "1000")], &body);
            expect_that!(chat.await.status, eq(200), "{address}");
        }
        rig.expect_serving().await;
    }
}
