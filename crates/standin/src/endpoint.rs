//! What engines and services have in common: faults, leaving, the record and the headers.

use crate::{
    fault::{
        Fault,
        Faults,
        Mode, //
    },
    http,
    lagged::Lagged,
    sync::lock,
    truth::{
        Log,
        Request as Record,
        State, //
    },
};
use salvo::{
    Depot,
    FlowCtrl,
    Request,
    Response,
    conn::ConnCtrl,
    handler,
    http::StatusCode, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    future::pending,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration,
};
use tokio::time::sleep;

/// `Endpoint` is the common state of an engine or a service.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) faults: Arc<Faults>,
    pub(crate) log: Arc<Log>,
    leaving: Mutex<Lagged<bool>>,
    incarnation: AtomicU64,
    in_flight: AtomicUsize,
    unnamed: AtomicU64,
}

impl Endpoint {
    /// Creates the state of an endpoint that isn't leaving.
    pub(crate) fn new(incarnation: u64) -> Arc<Self> {
        Arc::new(Self {
            faults: Arc::default(),
            log: Arc::default(),
            leaving: Mutex::new(Lagged::new(false)),
            incarnation: AtomicU64::new(incarnation),
            in_flight: AtomicUsize::new(0),
            unnamed: AtomicU64::new(0),
        })
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Relaxed)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        *lock(&self.leaving).seen(Duration::ZERO).1
    }

    /// Gets whether it was leaving `lag` ago.
    pub(crate) fn was_leaving(&self, lag: Duration) -> bool {
        *lock(&self.leaving).seen(lag).1
    }

    /// Counts a request in progress until the guard is dropped.
    pub(crate) fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(self.clone())
    }

    /// Gets what is recorded of a request from its headers.
    pub(crate) fn record(&self, req: &Request) -> Record {
        let id = http::header(req, "x-request-id").map_or_else(|| self.new_id(), String::from);
        Record {
            id,
            state: State::Started,
            came_ms: 0,
            path: req.uri().path().into(),
            priority: http::parsed_header(req, "x-priority").unwrap_or_default(),
            key: http::header(req, "idempotency-key").map(String::from),
            prefix: http::header(req, "x-prefix").map(String::from),
            cached_tokens: 0,
            resumes: 0,
            replayed: false,
        }
    }

    fn new_id(&self) -> String {
        let number = self.unnamed.fetch_add(1, Ordering::Relaxed);
        format!("unnamed-{}-{number}", self.incarnation())
    }

    /// Sets the headers of an answer to the request `id`.
    pub(crate) fn set_headers(&self, res: &mut Response, id: &str) {
        http::set_header(res, "x-request-id", id);
        self.set_own_headers(res);
    }

    /// Sets the headers that tell of the endpoint itself.
    pub(crate) fn set_own_headers(&self, res: &mut Response) {
        http::set_header(res, "x-in-flight", self.in_flight.load(Ordering::Relaxed));
        http::set_header(res, "x-incarnation", self.incarnation());
        if self.is_leaving() {
            http::set_header(res, "x-leaving", true);
        }
    }

    /// Answers that a leaving endpoint takes nothing new; the body is left unread.
    pub(crate) fn turn_away(&self, req: &Request, res: &mut Response) {
        if let Some(id) = http::header(req, "x-request-id") {
            http::set_header(res, "x-request-id", id);
        }
        self.set_own_headers(res);
        http::fail(res, StatusCode::SERVICE_UNAVAILABLE, "leaving");
    }
}

/// `InFlight` is a request in progress.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<Endpoint>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits as the fault says before the work; false when there shall be no work.
pub(crate) async fn before_work(fault: Fault, conn: &ConnCtrl) -> bool {
    match fault.mode {
        Mode::Refuse => {
            conn.abort();
            false
        }
        Mode::SilentBefore => pending().await,
        _ => true,
    }
}

/// Waits as the fault says after the work; false when there shall be no answer.
pub(crate) async fn after_work(fault: Fault, conn: &ConnCtrl, res: &mut Response) -> bool {
    match fault.mode {
        Mode::SilentAfter => pending().await,
        Mode::Late => {
            sleep(fault.delay).await;
            true
        }
        Mode::ResetAfter => {
            conn.abort();
            false
        }
        Mode::Error500 => {
            http::fail(res, StatusCode::INTERNAL_SERVER_ERROR, "fault");
            false
        }
        _ => true,
    }
}

/// `Aside` applies faults of scope `all` to the calls that do no work.
pub(crate) struct Aside(pub(crate) Arc<Endpoint>);

#[handler]
impl Aside {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
        conn: &mut ConnCtrl,
    ) {
        let fault = self.0.faults.take_aside();
        sleep(fault.delay_of(Mode::Slow)).await;
        if !before_work(fault, conn).await {
            ctrl.skip_rest();
            return;
        }
        ctrl.call_next(req, depot, res).await;
        after_work(fault, conn, res).await;
    }
}

/// `Standing` is the answer to `leave` and `rejoin`.
#[derive(Deserialize, Serialize)]
struct Standing {
    leaving: bool,
    incarnation: u64,
}

/// `Leave` is the control call that starts the leaving.
pub(crate) struct Leave(pub(crate) Arc<Endpoint>);

#[handler]
impl Leave {
    async fn handle(&self, res: &mut Response) {
        lock(&self.0.leaving).set(true);
        let standing = Standing {
            leaving: true,
            incarnation: self.0.incarnation(),
        };
        http::answer(res, StatusCode::OK, &standing);
    }
}

/// `Rejoin` is the control call that brings the endpoint back as its next incarnation.
pub(crate) struct Rejoin(pub(crate) Arc<Endpoint>);

#[handler]
impl Rejoin {
    async fn handle(&self, res: &mut Response) {
        let incarnation = self.0.incarnation.fetch_add(1, Ordering::Relaxed) + 1;
        lock(&self.0.leaving).set(false);
        http::answer(
            res,
            StatusCode::OK,
            &Standing {
                leaving: false,
                incarnation,
            },
        );
    }
}
