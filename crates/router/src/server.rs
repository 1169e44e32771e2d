//! The sockets that callers and operators reach.

use std::{
    sync::Arc,
    time::Duration, //
};

use salvo::{
    Router, Server,
    conn::tcp::TcpAcceptor,
    prelude::{
        Depot,
        FlowCtrl,
        Handler,
        Request,
        Response,
        StatusCode,
        async_trait, //
    },
    server::ServerHandle,
};
use serde_json::json;
use snafu::ResultExt;
use tokio::{
    net::TcpListener,
    task::JoinHandle, //
};
use toucanturn_core::event::Event;

use crate::{
    driver::Driver,
    errors::{
        ListenSnafu,
        Result, //
    },
    filters, //
};

/// Least read buffer of the HTTP library in bytes; it panics at less.
const LEAST_BUFFER: usize = 8192;

/// `Serving` is a server that runs.
pub struct Serving {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl Serving {
    /// Takes no more connections, lets answers in progress go out for at most `limit`, and ends.
    pub async fn stop(self, limit: Duration) {
        self.handle.stop_graceful(limit);
        let _ = self.task.await;
    }
}

/// Serves callers.
///
/// # Errors
///
/// Fails when the listener can't be used.
pub fn callers(driver: &Arc<Driver>, listener: TcpListener) -> Result<Serving> {
    let router = Router::new()
        .push(Router::with_path("healthz").get(Health))
        .push(Router::with_path("readyz").get(Ready(Arc::clone(driver))))
        .push(filters::chain(driver));
    serve(driver, listener, router)
}

/// Serves operators.
///
/// # Errors
///
/// Fails when the listener can't be used.
pub fn operators(driver: &Arc<Driver>, listener: TcpListener) -> Result<Serving> {
    let router = Router::new()
        .push(Router::with_path("healthz").get(Health))
        .push(Router::with_path("readyz").get(Ready(Arc::clone(driver))))
        .push(Router::with_path("status").get(Status(Arc::clone(driver))))
        .push(Router::with_path("drain").post(Drain(Arc::clone(driver))));
    serve(driver, listener, router)
}

fn serve(driver: &Driver, listener: TcpListener, router: Router) -> Result<Serving> {
    let address = listener.local_addr().unwrap_or(driver.settings.listen);
    let acceptor = TcpAcceptor::try_from(listener).context(ListenSnafu { address })?;
    let mut server = Server::new(acceptor);
    let limits = &driver.settings.limits;
    server
        .http1_mut()
        .max_header_size(limits.max_header)
        .max_buf_size(limits.max_header.max(LEAST_BUFFER));
    let handle = server.handle();
    let task = tokio::spawn(server.serve(router));
    Ok(Serving { handle, task })
}

struct Health;

#[async_trait]
impl Handler for Health {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        res.render("ok\n");
    }
}

struct Ready(Arc<Driver>);

#[async_trait]
impl Handler for Ready {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let ready = self.0.with_node(|n| n.ready());
        res.status_code(if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        });
        res.render(if ready { "ready\n" } else { "not ready\n" });
    }
}

struct Status(Arc<Driver>);

#[async_trait]
impl Handler for Status {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let open = self.0.open();
        let clocks = crate::clock::now();
        let now = clocks.mono;
        let status = self.0.with_node(|n| {
            let config = n.config();
            let endpoint = |(key, e): (_, &Arc<toucanturn_core::config::Endpoint>)| {
                json!({
                    "id": e.id.as_str(),
                    "state": n.view().state(now, key),
                    "load": n.loads().estimate(now, key),
                })
            };
            json!({
                "id": self.0.settings.id.as_str(),
                "incarnation": n.incarnation().0,
                "ready": n.ready(),
                "revision": config.revision.0,
                "epoch": config.epoch.0,
                "view_age_ms": n.view().age(now).0,
                "open": open,
                "takes_keys": n.takes_keys(clocks),
                "endpoints": config.endpoints.iter().map(endpoint).collect::<Vec<_>>(),
            })
        });
        res.render(salvo::writing::Json(status));
    }
}

struct Drain(Arc<Driver>);

#[async_trait]
impl Handler for Drain {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        self.0.feed(Event::Drain);
        res.render(salvo::writing::Json(
            json!({ "draining": true, "open": self.0.open() }),
        ));
    }
}
