//! Asks endpoints for their load reports and probes those that are down.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    Method, //
};
use serde::Deserialize;
use toucanturn_core::{
    arena::EndpointKey,
    config::Kind,
    event::{
        Event,
        Report, //
    },
    ids::Id,
    membership,
    orders::{
        self,
        Loaded, //
    },
    units::{
        Incarnation,
        Millis, //
    },
};

use crate::{
    answers,
    driver::Driver,
    endpoints::Outgoing, //
};

/// Time that a poll or probe may take.
const POLL_TIMEOUT: Duration = Duration::from_millis(membership::POLL_TIMEOUT.0);

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
    models: Option<Vec<String>>,
    version: Option<String>,
    #[serde(default)]
    fence: u64,
}

impl RawReport {
    /// Gets what the engine holds; `None` where it doesn't say, so that nothing is ordered.
    fn loaded(&self) -> Option<Arc<Loaded>> {
        let id = |name: &String| Id::try_from(name.as_str()).ok();
        let models = self.models.as_ref()?.iter().take(orders::MAX_MODELS);
        Some(Arc::new(Loaded {
            models: models.filter_map(id).collect(),
            version: self.version.as_ref().and_then(id),
            fence: self.fence,
        }))
    }
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
/// silent endpoint. An endpoint that answers at all has been reached.
pub(crate) fn probe(driver: &Arc<Driver>, endpoint: EndpointKey) {
    let driver = Arc::clone(driver);
    tokio::spawn(async move {
        let config = driver.config();
        let Some(target) = config.endpoints.get(endpoint) else {
            return;
        };
        let outgoing = Outgoing {
            method: Method::GET,
            path: path(target.kind).to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let asked = driver.endpoints.send_once(target, outgoing, || true);
        let answer = tokio::time::timeout(POLL_TIMEOUT, asked).await;
        let answered = answer.is_ok_and(|a| a.is_ok());
        driver.feed(Event::Probed { endpoint, answered });
    });
}

/// Gets the path that is asked of an endpoint.
const fn path(kind: Kind) -> &'static str {
    match kind {
        Kind::Engine => "/v1/load",
        Kind::Service => "/readyz",
    }
}

async fn read(driver: &Driver, endpoint: EndpointKey) -> Option<Report> {
    let config = driver.config();
    let target = config.endpoints.get(endpoint)?;
    let url = format!("http://{}{}", target.address, path(target.kind));
    let request = driver.control.get(url).timeout(POLL_TIMEOUT);
    let response = request.send().await.ok()?;
    if target.kind == Kind::Service {
        return Some(service_report(response.headers()));
    }
    let raw: RawReport = response.error_for_status().ok()?.json().await.ok()?;
    Some(Report {
        loaded: raw.loaded(),
        incarnation: Incarnation(raw.incarnation),
        age: Millis(raw.age_ms),
        in_flight: raw.in_flight,
        queued: raw.queued,
        leaving: raw.leaving,
    })
}

/// Makes a report of what a plain service says in its headers; it has no load report.
fn service_report(headers: &HeaderMap) -> Report {
    Report {
        incarnation: Incarnation(answers::number(headers, "x-incarnation").unwrap_or_default()),
        age: Millis(0),
        in_flight: answers::number(headers, "x-in-flight").unwrap_or_default(),
        queued: 0,
        leaving: answers::flag(headers, "x-leaving"),
        loaded: None,
    }
}
