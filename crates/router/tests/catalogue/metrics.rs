//! docs/METRICS.md and the metrics.

use std::{
    net::UdpSocket,
    time::Duration, //
};

use googletest::prelude::*;
use strum::IntoEnumIterator;
use toucanturn_router::metrics::{
    Kind,
    Metrics,
    Name,
    PREFIX, //
};

use crate::{
    page,
    source, //
};

/// Time of one look for a datagram.
const LOOK: Duration = Duration::from_millis(50);

/// Looks before a metric counts as lost.
const LOOKS: u32 = 200;

fn name(metric: Name) -> &'static str {
    metric.into()
}

fn send(metrics: &Metrics, metric: Name) {
    match metric.kind() {
        Kind::Counter => metrics.count(metric, 3),
        Kind::Gauge => metrics.gauge(metric, 3),
        Kind::Timer => metrics.time(metric, 3),
    }
}

#[gtest]
fn verify_every_metric_is_in_the_catalogue_and_every_entry_is_a_metric() {
    let code: Vec<_> = Name::iter()
        .map(|n| (name(n).to_owned(), n.kind().to_string()))
        .collect();
    let rows = page::table(&page::read("METRICS.md"), "# Metrics");
    let row = |r: &Vec<String>| (r[0].clone(), r[1].clone());
    let page: Vec<_> = rows.iter().map(row).collect();
    expect_that!(page, container_eq(code));
}

#[gtest]
fn verify_units_fit_the_names() {
    for row in page::table(&page::read("METRICS.md"), "# Metrics") {
        let (name, unit) = (&row[0], &row[2]);
        expect_that!(unit, not(eq("")), "{name}");
        expect_that!(unit == "milliseconds", eq(name.ends_with("_ms")), "{name}");
        expect_that!(unit == "bytes", eq(name.contains("bytes")), "{name}");
        expect_that!(row[3], not(eq("")), "{name}");
    }
}

#[gtest]
fn verify_each_metric_is_sent_as_its_kind() {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind");
    socket.set_read_timeout(Some(LOOK)).expect("a time-out");
    let address = socket.local_addr().expect("address");
    let metrics = Metrics::new(Some(address)).expect("metrics");
    Name::iter().for_each(|n| send(&metrics, n));
    let mut lines: Vec<String> = Vec::new();
    let mut buffer = [0; 65_536];
    for _ in 0..LOOKS {
        // The queue's thread may still be at work when the first flush comes.
        metrics.flush();
        if let Ok(length) = socket.recv(&mut buffer) {
            let text = String::from_utf8_lossy(&buffer[..length]);
            lines.extend(text.lines().map(str::to_owned));
        }
        if lines.len() == Name::iter().count() {
            break;
        }
    }
    for metric in Name::iter() {
        let suffix = match metric.kind() {
            Kind::Counter => "c",
            Kind::Gauge => "g",
            Kind::Timer => "ms",
        };
        let line = format!("{PREFIX}.{}:3|{suffix}", name(metric));
        expect_that!(lines, contains(eq(&line)));
    }
}

#[gtest]
fn verify_the_page_names_the_metrics_that_no_code_sends() {
    let text: String = source::files("metrics.rs")
        .into_iter()
        .map(|(_, t)| t)
        .collect();
    let is_sent = |n: &Name| text.contains(&format!("Name::{n:?}"));
    let unsent: Vec<_> = Name::iter().filter(|n| !is_sent(n)).map(name).collect();
    let page = page::read("METRICS.md");
    let said = page
        .split_once("Named but not sent yet: ")
        .map_or("", |(_, s)| s);
    let said = said.split_once('.').map_or("", |(s, _)| s);
    let said: Vec<_> = said
        .split(", ")
        .map(|n| n.trim().trim_matches('`'))
        .collect();
    let said: Vec<_> = said.into_iter().filter(|n| !n.is_empty()).collect();
    expect_that!(said, container_eq(unsent));
}
