//! The model engine: chat completions with a prefix cache, batching, orders and faults.

mod answer;
mod cache;
mod calls;
mod chat;
mod generation;
mod messages;
mod orders;
mod slots;

use crate::{
    Result,
    endpoint::{
        Aside,
        Endpoint,
        Leave,
        Rejoin, //
    },
    engine::{
        answer::Answer,
        cache::{
            Cache,
            Settings, //
        },
        orders::Deployment,
        slots::Slots,
    },
    fault::SetFault,
    server::{
        self,
        Ports,
        Runs, //
    },
    sync::lock,
};
pub use crate::{
    engine::{
        answer::answer,
        cache::{
            Event,
            Events,
            Kind, //
        },
        calls::{
            Load,
            Truth, //
        },
        orders::{
            Change,
            Fencing,
            Order, //
        },
    },
    server::Handle,
};
use indexmap::IndexMap;
use salvo::Router;
use std::{
    collections::VecDeque,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

/// Most answers kept for resuming; beyond it the oldest is forgotten.
const MAX_ANSWERS: usize = 1024;

/// `Options` of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses to bind; by default the system picks.
    pub ports: Ports,
    /// Models loaded at the start; by default `assistant`.
    pub models: Vec<String>,
    /// Version loaded at the start; by default `v1`.
    pub version: String,
    /// Role at the start; by default `mixed`.
    pub role: String,
    /// Places in the batch; by default 32.
    pub capacity: usize,
    /// Most requests that wait for the batch; beyond it 503, not run; by default 1024.
    pub max_queued: usize,
    /// Time to the first token when the prefix isn't cached; by default none.
    pub first_token: Duration,
    /// Time to the first token when the prefix is cached; by default none.
    pub first_token_cached: Duration,
    /// Time for each later token; by default none.
    pub per_token: Duration,
    /// Most prefixes cached; by default 64.
    pub prefixes: usize,
    /// Lag of the load report; by default none.
    pub load_lag: Duration,
    /// Lag of the cache events; by default none.
    pub event_lag: Duration,
    /// Share of the cache events that are lost, from 0 to 1; by default none.
    pub event_loss: f64,
    /// Whether it checks who gives it an order; by default not.
    pub fencing: Fencing,
    /// Number of this process's life; by default 1.
    pub incarnation: u64,
    /// Seed of what is random, which is only the loss of events; by default 0.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ports: Ports::default(),
            models: vec!["assistant".into()],
            version: "v1".into(),
            role: "mixed".into(),
            capacity: 32,
            max_queued: 1024,
            first_token: Duration::ZERO,
            first_token_cached: Duration::ZERO,
            per_token: Duration::ZERO,
            prefixes: 64,
            load_lag: Duration::ZERO,
            event_lag: Duration::ZERO,
            event_loss: 0.0,
            fencing: Fencing::default(),
            incarnation: 1,
            seed: 0,
        }
    }
}

/// `Engine` is the state behind both ports.
#[derive(Debug)]
struct Engine {
    options: Options,
    endpoint: Arc<Endpoint>,
    slots: Arc<Slots>,
    cache: Mutex<Cache>,
    deployment: Mutex<Deployment>,
    /// Answers by request id, the oldest first.
    answers: Mutex<IndexMap<String, Arc<Answer>>>,
    client: reqwest::Client,
}

impl Engine {
    fn new(options: Options) -> Self {
        let cache = Cache::new(Settings {
            prefixes: options.prefixes,
            event_lag: options.event_lag,
            event_loss: options.event_loss.clamp(0.0, 1.0),
            seed: options.seed,
        });
        let deployment = Deployment {
            fencing: options.fencing,
            models: options.models.clone(),
            version: options.version.clone(),
            role: options.role.clone(),
            fence: 0,
            orders: VecDeque::new(),
        };
        Self {
            endpoint: Endpoint::new(options.incarnation),
            slots: Slots::new(options.capacity, options.max_queued),
            cache: Mutex::new(cache),
            deployment: Mutex::new(deployment),
            answers: Mutex::default(),
            client: reqwest::Client::new(),
            options,
        }
    }

    /// Keeps an answer so that its stream can be resumed.
    fn keep(&self, answer: Answer) -> Arc<Answer> {
        let answer = Arc::new(answer);
        let mut answers = lock(&self.answers);
        answers.shift_remove(&answer.id);
        if answers.len() == MAX_ANSWERS {
            answers.shift_remove_index(0);
        }
        answers.insert(answer.id.clone(), answer.clone());
        answer
    }

    /// Gets a kept answer.
    fn kept(&self, id: &str) -> Option<Arc<Answer>> {
        lock(&self.answers).get(id).cloned()
    }
}

/// Starts an engine.
///
/// # Errors
///
/// When a port can't be bound.
pub async fn start(options: Options) -> Result<Handle> {
    let ports = options.ports;
    let engine = Arc::new(Engine::new(options));
    let (listen, control) = (listen_routes(&engine), control_routes(&engine));
    let log = Arc::clone(&engine.endpoint.log);
    let runs = Runs::new(move |name| log.runs(name));
    let refuses = move || engine.endpoint.faults.refuses();
    server::start(ports, listen, control, refuses, runs).await
}

fn listen_routes(engine: &Arc<Engine>) -> Router {
    let aside = Router::new()
        .hoop(Aside(engine.endpoint.clone()))
        .push(Router::with_path("v1/models").get(calls::Models(engine.clone())))
        .push(Router::with_path("v1/load").get(calls::GetLoad(engine.clone())))
        .push(Router::with_path("v1/cache/events").get(calls::GetEvents(engine.clone())))
        .push(Router::with_path("v1/cache/export").post(calls::ExportCache(engine.clone())))
        .push(Router::with_path("v1/cache/import").post(calls::ImportCache(engine.clone())))
        .push(Router::with_path("v1/orders").post(orders::GiveOrder(engine.clone())))
        .push(Router::with_path("v1/cancel/{id}").post(calls::Cancel(engine.clone())));
    Router::new()
        .push(Router::with_path("v1/chat/completions").post(chat::Chat(engine.clone())))
        .push(aside)
}

fn control_routes(engine: &Arc<Engine>) -> Router {
    let endpoint = &engine.endpoint;
    let rejoin = Router::with_path("rejoin").hoop(calls::Forget(engine.clone()));
    Router::new()
        .push(Router::with_path("fault").post(SetFault(endpoint.faults.clone())))
        .push(Router::with_path("leave").post(Leave(endpoint.clone())))
        .push(rejoin.post(Rejoin(endpoint.clone())))
        .push(Router::with_path("truth").get(calls::GetTruth(engine.clone())))
}
