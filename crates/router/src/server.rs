//! The sockets that callers and operators reach.

use std::{
    net::SocketAddr,
    sync::Arc, //
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
use tokio::net::TcpListener;
use toucanturn_core::event::Event;

use crate::{
    driver::Driver,
    errors::{
        ListenSnafu,
        Result, //
    },
    filters, //
};

/// `Bound` is a server that runs.
pub struct Bound {
    /// Where it listens.
    pub address: SocketAddr,
    /// Stops it.
    pub handle: ServerHandle,
}

/// Serves callers.
///
/// # Errors
///
/// Fails when the address can't be listened on.
pub async fn callers(driver: &Arc<Driver>) -> Result<Bound> {
    let router = Router::new()
        .push(Router::with_path("healthz").get(Health))
        .push(Router::with_path("readyz").get(Ready(Arc::clone(driver))))
        .push(filters::chain(driver));
    serve(driver.options.listen, router).await
}

/// Serves operators.
///
/// # Errors
///
/// Fails when the address can't be listened on.
pub async fn operators(driver: &Arc<Driver>) -> Result<Bound> {
    let router = Router::new()
        .push(Router::with_path("healthz").get(Health))
        .push(Router::with_path("readyz").get(Ready(Arc::clone(driver))))
        .push(Router::with_path("status").get(Status(Arc::clone(driver))))
        .push(Router::with_path("drain").post(Drain(Arc::clone(driver))));
    serve(driver.options.admin_listen, router).await
}

async fn serve(address: SocketAddr, router: Router) -> Result<Bound> {
    let listener = TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })?;
    let bound = listener.local_addr().context(ListenSnafu { address })?;
    let acceptor = TcpAcceptor::try_from(listener).context(ListenSnafu { address })?;
    let server = Server::new(acceptor);
    let handle = server.handle();
    tokio::spawn(server.serve(router));
    Ok(Bound {
        address: bound,
        handle,
    })
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
        let now = crate::clock::now().mono;
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
                "id": self.0.options.id.as_str(),
                "incarnation": n.incarnation().0,
                "ready": n.ready(),
                "revision": config.revision.0,
                "epoch": config.epoch.0,
                "view_age_ms": n.view().age(now).0,
                "open": open,
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
