//! The calls beside the chat: reports, cache moves, cancelling, and the truth.

use crate::{
    engine::{
        Engine,
        Order,
        cache::Events, //
    },
    http,
    sync::lock,
    truth,
};
use salvo::{
    Depot,
    FlowCtrl,
    Request,
    Response,
    handler,
    http::StatusCode, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    sync::Arc,
    time::Duration, //
};

/// Longest wait for another engine that exports a prefix.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// `Models` lists the models.
pub(super) struct Models(pub(super) Arc<Engine>);

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Serialize)]
struct Model {
    id: String,
}

#[handler]
impl Models {
    async fn handle(&self, res: &mut Response) {
        let ids = lock(&self.0.deployment).models.clone();
        let data = ids.into_iter().map(|id| Model { id }).collect();
        http::answer(
            res,
            StatusCode::OK,
            &ModelList {
                object: "list",
                data,
            },
        );
    }
}

/// `Load` is the lagging load report.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Load {
    /// Number of the process's life.
    pub incarnation: u64,
    /// How long ago the report was true.
    pub age_ms: u64,
    /// Requests in the batch.
    pub in_flight: usize,
    /// Requests that wait for the batch.
    pub queued: usize,
    /// Places in the batch.
    pub capacity: usize,
    /// Whether it was leaving.
    pub leaving: bool,
    /// Models and adapters loaded.
    pub models: Vec<String>,
    /// Version loaded.
    pub version: String,
    /// Its role.
    pub role: String,
    /// Number of the last order obeyed.
    pub fence: u64,
}

/// `GetLoad` reads the load report.
pub(super) struct GetLoad(pub(super) Arc<Engine>);

#[handler]
impl GetLoad {
    async fn handle(&self, res: &mut Response) {
        let options = &self.0.options;
        let (age, occupancy) = self.0.slots.seen(options.load_lag);
        let deployment = lock(&self.0.deployment);
        let load = Load {
            incarnation: self.0.endpoint.incarnation(),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            in_flight: occupancy.in_flight,
            queued: occupancy.queued,
            capacity: options.capacity,
            leaving: self.0.endpoint.was_leaving(options.load_lag),
            models: deployment.models.clone(),
            version: deployment.version.clone(),
            role: deployment.role.clone(),
            fence: deployment.fence,
        };
        http::answer(res, StatusCode::OK, &load);
    }
}

/// `GetEvents` reads the cache events.
pub(super) struct GetEvents(pub(super) Arc<Engine>);

#[handler]
impl GetEvents {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let events: Events = lock(&self.0.cache).events_since(http::query(req, "since"));
        http::answer(res, StatusCode::OK, &events);
    }
}

/// `Export` is the body of an export.
#[derive(Deserialize, Serialize)]
struct Export {
    prefix: String,
}

/// `Exported` is its answer, which stands for the KV cache itself.
#[derive(Deserialize, Serialize)]
struct Exported {
    prefix: String,
    tokens: usize,
}

/// `Import` is the body of an import.
#[derive(Deserialize)]
struct Import {
    prefix: String,
    from: String,
}

/// `ExportCache` hands out a prefix.
pub(super) struct ExportCache(pub(super) Arc<Engine>);

#[handler]
impl ExportCache {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let Some(Export { prefix }) = http::body(req, res).await else {
            return;
        };
        let tokens = lock(&self.0.cache).tokens(&prefix);
        match tokens {
            Some(tokens) => http::answer(res, StatusCode::OK, &Exported { prefix, tokens }),
            None => http::fail(res, StatusCode::NOT_FOUND, "the prefix isn't cached"),
        }
    }
}

/// `ImportCache` takes a prefix over from another engine.
pub(super) struct ImportCache(pub(super) Arc<Engine>);

#[handler]
impl ImportCache {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let Some(import) = http::body::<Import>(req, res).await else {
            return;
        };
        match self.fetch(&import).await {
            Ok(exported) => {
                lock(&self.0.cache).store(&exported.prefix, exported.tokens);
                http::answer(res, StatusCode::OK, &exported);
            }
            Err(error) => http::fail(res, StatusCode::BAD_GATEWAY, &error.to_string()),
        }
    }
}

impl ImportCache {
    async fn fetch(&self, import: &Import) -> reqwest::Result<Exported> {
        let url = format!("http://{}/v1/cache/export", import.from);
        let request = self.0.client.post(url).timeout(EXPORT_TIMEOUT);
        let export = Export {
            prefix: import.prefix.clone(),
        };
        request
            .json(&export)
            .send()
            .await?
            .error_for_status()?
            .json()
            .await
    }
}

/// `Cancelled` is the answer to a cancel.
#[derive(Serialize)]
struct Cancelled {
    cancelled: usize,
}

/// `Cancel` cancels the requests in progress with an id.
pub(super) struct Cancel(pub(super) Arc<Engine>);

#[handler]
impl Cancel {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let id = req.params().get("id").map_or("", String::as_str);
        let cancelled = self.0.endpoint.log.cancel(id);
        if cancelled == 0 {
            http::fail(res, StatusCode::NOT_FOUND, "no such request in progress");
        } else {
            lock(&self.0.answers).shift_remove(id);
            http::answer(res, StatusCode::OK, &Cancelled { cancelled });
        }
    }
}

/// `Truth` is what the engine really did.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Truth {
    /// Every request that it took up.
    pub requests: Vec<truth::Request>,
    /// Every order that it obeyed.
    pub orders: Vec<Order>,
}

/// `GetTruth` tells what the engine really did.
pub(super) struct GetTruth(pub(super) Arc<Engine>);

#[handler]
impl GetTruth {
    async fn handle(&self, res: &mut Response) {
        let orders = lock(&self.0.deployment).orders.iter().cloned().collect();
        let truth = Truth {
            requests: self.0.endpoint.log.requests(),
            orders,
        };
        http::answer(res, StatusCode::OK, &truth);
    }
}

/// `Forget` empties the cache, as the new process of a rejoining engine would find it.
pub(super) struct Forget(pub(super) Arc<Engine>);

#[handler]
impl Forget {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        lock(&self.0.cache).clear();
        lock(&self.0.answers).clear();
        ctrl.call_next(req, depot, res).await;
    }
}
