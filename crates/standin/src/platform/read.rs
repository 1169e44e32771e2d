//! The calls that the fleet makes.

use crate::{
    http,
    platform::{
        Mode,
        Platform,
        Vm,
        store::Changes, //
    },
    sync::lock,
};
use salvo::{
    Depot, FlowCtrl, Request, Response, Router,
    conn::ConnCtrl,
    handler,
    http::{
        StatusCode,
        header::RETRY_AFTER, //
    },
};
use serde::Serialize;
use std::{
    future::pending,
    sync::Arc,
    time::Duration, //
};
use tokio::time::{
    Instant,
    timeout_at, //
};

/// Longest wait of a watch; longer ones are cut to it.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Size that every model version claims to have.
const WEIGHT_BYTES: u64 = 16 << 30;
/// Answers of `rubbish`, one after the other: no JSON, half of it, and wrong types.
const RUBBISH: [&str; 3] = [
    "<html>bad gateway</html>",
    r#"{"revision": 9, "entries": [{"key": "pol"#,
    r#"{"revision": "nine", "entries": {"policy": 9}, "age_ms": -1, "vms": "none"}"#,
];

pub(super) fn routes(platform: &Arc<Platform>) -> Router {
    Router::new()
        .hoop(Gate(platform.clone()))
        .push(Router::with_path("v1/config").get(Config(platform.clone())))
        .push(Router::with_path("v1/vms").get(Vms(platform.clone())))
        .push(Router::with_path("v1/weights/{model}/{version}").get(Weights(platform.clone())))
}

/// `Gate` applies the faults that concern every call.
struct Gate(Arc<Platform>);

#[handler]
impl Gate {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
        conn: &mut ConnCtrl,
    ) {
        self.count(req);
        let mode = lock(&self.0.store).mode();
        match mode {
            Mode::Down => conn.abort(),
            Mode::Hang => pending().await,
            Mode::Rubbish => answer_rubbish(&self.0, res),
            Mode::Ok | Mode::Stale | Mode::Older => {
                ctrl.call_next(req, depot, res).await;
                return;
            }
        }
        ctrl.skip_rest();
    }
}

impl Gate {
    fn count(&self, req: &Request) {
        let mut calls = lock(&self.0.calls);
        match req.uri().path() {
            "/v1/config" => {
                calls.config += 1;
                calls.watches += u64::from(http::query::<u64>(req, "wait_ms") > 0);
            }
            "/v1/vms" => calls.vms += 1,
            _ => calls.weights += 1,
        }
    }
}

fn answer_rubbish(platform: &Platform, res: &mut Response) {
    let calls = lock(&platform.calls).config;
    let turn = usize::try_from(calls).unwrap_or_default() % RUBBISH.len();
    http::answer_bytes(res, StatusCode::OK, RUBBISH[turn].into());
}

/// `Config` reads or watches the configuration.
struct Config(Arc<Platform>);

#[handler]
impl Config {
    async fn handle(&self, req: &mut Request, res: &mut Response, conn: &mut ConnCtrl) {
        let since = http::query(req, "since");
        let wait = Duration::from_millis(http::query(req, "wait_ms")).min(MAX_WAIT);
        match self.wait_newer(since, wait).await {
            Ok(changes) => http::answer(res, StatusCode::OK, &changes),
            Err(Mode::Rubbish) => answer_rubbish(&self.0, res),
            Err(_) => conn.abort(),
        }
    }
}

impl Config {
    /// Waits for something newer than `since`, or gets the fault that ended the wait.
    async fn wait_newer(&self, since: u64, wait: Duration) -> Result<Changes, Mode> {
        let deadline = Instant::now() + wait;
        // Subscribes before the first look, so that no change falls between look and wait.
        let mut change = self.0.changes.subscribe();
        loop {
            let (mode, changes) = {
                let store = lock(&self.0.store);
                (store.mode(), store.since(since))
            };
            match mode {
                Mode::Down | Mode::Rubbish => return Err(mode),
                Mode::Hang => pending().await,
                Mode::Ok | Mode::Stale | Mode::Older => {}
            }
            if !changes.entries.is_empty() {
                return Ok(changes);
            }
            if timeout_at(deadline, change.changed()).await.is_err() {
                return Ok(changes);
            }
        }
    }
}

/// `Seen` is the VM list as the platform shows it.
#[derive(Serialize)]
struct Seen<'a> {
    age_ms: u128,
    vms: &'a [Vm],
}

/// `Vms` reads the VM list.
struct Vms(Arc<Platform>);

#[handler]
impl Vms {
    async fn handle(&self, res: &mut Response) {
        let vms = lock(&self.0.vms);
        let (age, list) = vms.list.seen(vms.lag);
        http::answer(
            res,
            StatusCode::OK,
            &Seen {
                age_ms: age.as_millis(),
                vms: list,
            },
        );
    }
}

/// `Weight` is the answer of the weight store.
#[derive(Serialize)]
struct Weight<'a> {
    model: &'a str,
    version: &'a str,
    bytes: u64,
    tokens: f64,
}

/// `Weights` takes a token of the weight store.
struct Weights(Arc<Platform>);

#[handler]
impl Weights {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let taken = lock(&self.0.weights).take();
        match taken {
            Ok(tokens) => {
                let model = req.params().get("model").map_or("", String::as_str);
                let version = req.params().get("version").map_or("", String::as_str);
                let weight = Weight {
                    model,
                    version,
                    bytes: WEIGHT_BYTES,
                    tokens,
                };
                http::answer(res, StatusCode::OK, &weight);
            }
            Err(wait) => {
                // Whole seconds, rounded up (RFC 9110, section 10.2.3).
                let seconds = wait.as_secs().saturating_add(1);
                http::set_header(res, RETRY_AFTER.as_str(), seconds);
                http::fail(
                    res,
                    StatusCode::TOO_MANY_REQUESTS,
                    "over the rate of the weight store",
                );
            }
        }
    }
}
