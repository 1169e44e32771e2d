//! Requests to endpoints over HTTP/1.1, and what is certain when one fails.
//!
//! `reqwest` repeats requests by itself after protocol errors, follows redirects and uses the
//! environment's proxies; all of that is off here. `hyper` repeats a request when a pooled
//! connection closed before the request was written to it; calls that run at most once therefore
//! go on a new connection, which is never pooled.

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderMap,
    Method, //
};
use reqwest::{
    Client,
    ClientBuilder,
    Response,
    redirect,
    retry, //
};
use snafu::ResultExt;
use toucanturn_core::config::Endpoint;

use crate::errors::{
    ClientSnafu,
    Result, //
};

/// Time between keep-alive probes of a connection; three unanswered ones end it.
const KEEPALIVE: Duration = Duration::from_secs(5);

/// Idle connections kept per endpoint.
const IDLE_PER_ENDPOINT: usize = 64;

/// Time after which an idle connection is closed: shorter than what usual middle boxes allow, so
/// that a request does not meet one that went silent.
const IDLE_TIME: Duration = Duration::from_secs(20);

/// `Connection` says which connection a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// A pooled one.
    Pooled,
    /// A new one, closed after the answer.
    Fresh,
}

/// `Failure` says what is certain of a request that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection came about, so no byte of it left.
    NotSent,
    /// Bytes of it may have left.
    MaybeSent,
}

/// `Outgoing` is one request to an endpoint.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// `Endpoints` is the client side towards all endpoints.
#[derive(Clone, Debug)]
pub struct Endpoints {
    pooled: Client,
    fresh: Client,
}

impl Endpoints {
    /// Makes the clients.
    ///
    /// # Errors
    ///
    /// Fails when the library can't set up a client.
    pub fn new(connect_timeout: Duration) -> Result<Self> {
        let base = || base(connect_timeout);
        let pooled = base()
            .pool_max_idle_per_host(IDLE_PER_ENDPOINT)
            .pool_idle_timeout(IDLE_TIME);
        let fresh = base().pool_max_idle_per_host(0);
        Ok(Self {
            pooled: pooled.build().context(ClientSnafu)?,
            fresh: fresh.build().context(ClientSnafu)?,
        })
    }

    /// Sends a request and gets the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails with what is certain about the request.
    pub async fn send(
        &self,
        endpoint: &Endpoint,
        outgoing: Outgoing,
        connection: Connection,
    ) -> std::result::Result<Response, Failure> {
        let client = match connection {
            Connection::Pooled => &self.pooled,
            Connection::Fresh => &self.fresh,
        };
        let url = format!("http://{}{}", endpoint.address, outgoing.path);
        let request = client
            .request(outgoing.method, url)
            .headers(outgoing.headers);
        let sent = request.body(outgoing.body).send().await;
        sent.map_err(|e| {
            if e.is_connect() {
                Failure::NotSent
            } else {
                Failure::MaybeSent
            }
        })
    }
}

fn base(connect_timeout: Duration) -> ClientBuilder {
    Client::builder()
        .http1_only()
        .no_proxy()
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .connect_timeout(connect_timeout)
        .tcp_nodelay(true)
        .tcp_keepalive(KEEPALIVE)
        .tcp_keepalive_interval(KEEPALIVE)
        .tcp_keepalive_retries(3)
}
