//! The plain service: any path, each call a run of an action that should happen once.

pub use crate::server::Handle;
use crate::{
    Result,
    endpoint::{
        self,
        Aside,
        Endpoint,
        Leave,
        Rejoin, //
    },
    fault::{
        Fault,
        Mode,
        SetFault, //
    },
    http,
    server::{
        self,
        Ports,
        Runs, //
    },
    sync::lock,
    truth,
};
use indexmap::IndexMap;
use salvo::{
    Request,
    Response,
    Router,
    conn::ConnCtrl,
    handler,
    http::StatusCode, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::sync::{
    Arc,
    Mutex, //
};
use tokio::time::sleep;

/// Most keys counted; beyond it new ones are answered 503 and not run.
const MAX_KEYS: usize = 65_536;

/// `KeyCheck` is whether the service recognises an idempotency key that it has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KeyCheck {
    /// It runs whatever comes.
    #[default]
    Off,
    /// It answers a known key with its first answer.
    On,
}

/// `Options` of a service.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses to bind; by default the system picks.
    pub ports: Ports,
    /// Whether it recognises keys; by default not.
    pub key_check: KeyCheck,
    /// Number of this process's life; by default 1.
    pub incarnation: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ports: Ports::default(),
            key_check: KeyCheck::default(),
            incarnation: 1,
        }
    }
}

/// `Receipt` is the answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Receipt {
    /// The idempotency key, or the request id where there's none.
    pub receipt: String,
    /// Which run of that key this was, from 1.
    pub run: u64,
}

/// `Truth` is what the service really did.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Truth {
    /// Runs for each key, or request id where there's none.
    pub runs: IndexMap<String, u64>,
    /// Every request that was read.
    pub requests: Vec<truth::Request>,
}

/// `Service` is the state behind both ports.
#[derive(Debug)]
struct Service {
    key_check: KeyCheck,
    endpoint: Arc<Endpoint>,
    runs: Mutex<IndexMap<String, u64>>,
}

/// `Outcome` is what came of a call.
enum Outcome {
    Ran(Receipt),
    Replayed(Receipt),
    Full,
}

impl Service {
    /// Runs the action once, unless its key is checked and known or there's no room to count it.
    fn run(&self, name: String) -> Outcome {
        let mut runs = lock(&self.runs);
        let known = runs.contains_key(&name);
        if known && self.key_check == KeyCheck::On {
            return Outcome::Replayed(Receipt {
                receipt: name,
                run: 1,
            });
        }
        if !known && runs.len() == MAX_KEYS {
            return Outcome::Full;
        }
        let count = runs.entry(name.clone()).or_default();
        *count += 1;
        Outcome::Ran(Receipt {
            receipt: name,
            run: *count,
        })
    }
}

/// Starts a service.
///
/// # Errors
///
/// When a port can't be bound.
pub async fn start(options: Options) -> Result<Handle> {
    let endpoint = Endpoint::new(options.incarnation);
    let service = Arc::new(Service {
        key_check: options.key_check,
        endpoint: endpoint.clone(),
        runs: Mutex::default(),
    });
    let listen = Router::new()
        .push(
            Router::with_path("readyz")
                .hoop(Aside(endpoint.clone()))
                .get(Ready(endpoint.clone())),
        )
        .push(Router::with_path("{**path}").goal(Call(service.clone())));
    let control = Router::new()
        .push(Router::with_path("fault").post(SetFault(endpoint.faults.clone())))
        .push(Router::with_path("leave").post(Leave(endpoint.clone())))
        .push(Router::with_path("rejoin").post(Rejoin(endpoint.clone())))
        .push(Router::with_path("truth").get(GetTruth(service.clone())));
    let runs = Runs::new(move |name| lock(&service.runs).get(name).copied().unwrap_or_default());
    let refuses = move || endpoint.faults.refuses();
    server::start(options.ports, listen, control, refuses, runs).await
}

/// `Ready` tells a balancer whether new calls are welcome.
struct Ready(Arc<Endpoint>);

#[handler]
impl Ready {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        if self.0.is_leaving() {
            self.0.turn_away(req, res);
        } else {
            self.0.set_own_headers(res);
            res.status_code(StatusCode::OK);
            res.render("ready");
        }
    }
}

/// `Call` is a call of the service's action.
struct Call(Arc<Service>);

#[handler]
impl Call {
    async fn handle(&self, req: &mut Request, res: &mut Response, conn: &mut ConnCtrl) {
        let endpoint = &self.0.endpoint;
        if endpoint.is_leaving() {
            endpoint.turn_away(req, res);
            return;
        }
        let _in_flight = endpoint.enter();
        let fault = endpoint.faults.take();
        if fault.mode == Mode::Refuse {
            conn.abort();
            return;
        }
        if let Err(error) = req.payload_with_max_size(http::MAX_BODY_BYTES).await {
            http::fail(res, StatusCode::BAD_REQUEST, &error.to_string());
            return;
        }
        if endpoint::before_work(fault, conn).await {
            self.work(req, res, conn, fault).await;
        }
    }
}

impl Call {
    async fn work(&self, req: &Request, res: &mut Response, conn: &ConnCtrl, fault: Fault) {
        let endpoint = &self.0.endpoint;
        let record = endpoint.record(req);
        let id = record.id.clone();
        let name = record.name().to_owned();
        let run = endpoint.log.start(record);
        sleep(fault.delay_of(Mode::Slow)).await;
        let outcome = self.0.run(name);
        endpoint.set_headers(res, &id);
        let receipt = match outcome {
            Outcome::Ran(receipt) => receipt,
            Outcome::Replayed(receipt) => {
                run.note(|request| request.replayed = true);
                http::set_header(res, "x-replayed", true);
                receipt
            }
            Outcome::Full => {
                run.turn_away();
                http::fail(res, StatusCode::SERVICE_UNAVAILABLE, "too many keys");
                return;
            }
        };
        run.done();
        if endpoint::after_work(fault, conn, res).await {
            self.answer(res, fault, &id, receipt);
        }
    }

    fn answer(&self, res: &mut Response, fault: Fault, id: &str, mut receipt: Receipt) {
        if fault.mode == Mode::Crossed {
            let other = self.0.endpoint.log.other_than(id);
            let made_up = || format!("{id}-other");
            let other_id = other
                .as_ref()
                .map_or_else(made_up, |other| other.id.clone());
            http::set_header(res, "x-request-id", other_id);
            receipt.receipt = other.map_or_else(made_up, |other| other.name().to_owned());
        }
        http::answer(res, StatusCode::OK, &receipt);
        if fault.mode == Mode::Truncate {
            http::cut(res);
        }
    }
}

/// `GetTruth` tells what the service really did.
struct GetTruth(Arc<Service>);

#[handler]
impl GetTruth {
    async fn handle(&self, res: &mut Response) {
        let runs = lock(&self.0.runs).clone();
        let truth = Truth {
            runs,
            requests: self.0.endpoint.log.requests(),
        };
        http::answer(res, StatusCode::OK, &truth);
    }
}
