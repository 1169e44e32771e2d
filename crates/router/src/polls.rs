//! Asks endpoints for their load reports and probes those that are down.

use std::{
    sync::Arc,
    time::Duration, //
};

use serde::Deserialize;
use toucanturn_core::{
    arena::EndpointKey,
    event::{
        Event,
        Report, //
    },
    units::{
        Incarnation,
        Millis, //
    },
};

use crate::driver::Driver;

/// Time that a poll or probe may take.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
struct RawReport {
    #[serde(default)]
    incarnation: u64,
    #[serde(default)]
    age_ms: u64,
    in_flight: u32,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    leaving: bool,
}

/// Polls an endpoint's load report.
pub(crate) fn poll(driver: &Arc<Driver>, endpoint: EndpointKey) {
    let driver = Arc::clone(driver);
    tokio::spawn(async move {
        let report = read(&driver, endpoint).await;
        driver.feed(Event::Polled { endpoint, report });
    });
}

/// Probes an endpoint on a new connection, so that one silent connection is told apart from a
/// silent endpoint.
pub(crate) fn probe(driver: &Arc<Driver>, endpoint: EndpointKey) {
    let driver = Arc::clone(driver);
    tokio::spawn(async move {
        let config = driver.config();
        let Some(target) = config.endpoints.get(endpoint) else {
            return;
        };
        let connect = tokio::net::TcpStream::connect(target.address);
        let connected = tokio::time::timeout(POLL_TIMEOUT, connect).await;
        let answered = connected.is_ok_and(|c| c.is_ok());
        driver.feed(Event::Probed { endpoint, answered });
    });
}

async fn read(driver: &Driver, endpoint: EndpointKey) -> Option<Report> {
    let config = driver.config();
    let target = config.endpoints.get(endpoint)?;
    let url = format!("http://{}/v1/load", target.address);
    let request = driver.control.get(url).timeout(POLL_TIMEOUT);
    let response = request.send().await.ok()?.error_for_status().ok()?;
    let raw: RawReport = response.json().await.ok()?;
    Some(Report {
        incarnation: Incarnation(raw.incarnation),
        age: Millis(raw.age_ms),
        in_flight: raw.in_flight,
        queued: raw.queued,
        leaving: raw.leaving,
    })
}
