//! Requests to endpoints over HTTP/1.1, and what is certain when one fails.
//!
//! `reqwest` repeats requests by itself after protocol errors, follows redirects and uses the
//! environment's proxies; all of that is off here. Beneath it, `hyper-util` repeats a request when
//! a pooled connection closed before the request was written to it; that can't be switched off, so
//! calls that run at most once don't go through a pool at all: [`Endpoints::send_once`] opens a
//! connection, looks whether the request still stands, and writes the one request to it with `hyper` alone.

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderMap,
    HeaderValue,
    Method,
    header, //
};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use reqwest::{
    Client,
    ClientBuilder,
    Response,
    redirect,
    retry, //
};
use snafu::ResultExt;
use tokio::net::TcpStream;
use toucanturn_answer::{
    Framing,
    Head, //
};
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
    connect_timeout: Duration,
}

impl Endpoints {
    /// Makes the client.
    ///
    /// # Errors
    ///
    /// Fails when the library can't set up a client.
    pub fn new(connect_timeout: Duration) -> Result<Self> {
        let base = base(connect_timeout);
        let pooled = base
            .pool_max_idle_per_host(IDLE_PER_ENDPOINT)
            .pool_idle_timeout(IDLE_TIME);
        Ok(Self {
            pooled: pooled.build().context(ClientSnafu)?,
            connect_timeout,
        })
    }

    /// Sends a request over a pooled connection and gets the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails with what is certain about the request.
    pub async fn send(
        &self,
        endpoint: &Endpoint,
        outgoing: Outgoing,
    ) -> std::result::Result<(Response, Framing), Failure> {
        let url = format!("http://{}{}", endpoint.address, outgoing.path);
        let method = outgoing.method.clone();
        let request = self
            .pooled
            .request(outgoing.method, url)
            .headers(outgoing.headers);
        let sent = request.body(outgoing.body).send().await;
        let response = sent.map_err(|e| {
            if e.is_connect() {
                Failure::NotSent
            } else {
                Failure::MaybeSent
            }
        })?;
        accept(&method, response)
    }

    /// Sends a request over a connection of its own, which is closed after the answer, and gets
    /// the head of the answer.
    ///
    /// Nothing is sent unless `stands` holds: a process that was paused while it connected must not
    /// send what another router may answer for by now. It is asked after connecting, right before
    /// the request is written.
    ///
    /// # Errors
    ///
    /// Fails with what is certain about the request.
    pub async fn send_once(
        &self,
        endpoint: &Endpoint,
        outgoing: Outgoing,
        stands: impl Fn() -> bool + Send,
    ) -> std::result::Result<(Response, Framing), Failure> {
        let connecting = TcpStream::connect(endpoint.address);
        let stream = match tokio::time::timeout(self.connect_timeout, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) | Err(_) => return Err(Failure::NotSent),
        };
        let _ = stream.set_nodelay(true);
        let shaken = http1::handshake(TokioIo::new(stream)).await;
        let Ok((mut sender, connection)) = shaken else {
            return Err(Failure::NotSent);
        };
        let method = outgoing.method.clone();
        let request = request(endpoint, outgoing).ok_or(Failure::NotSent)?;
        if !stands() {
            return Err(Failure::NotSent);
        }
        tokio::spawn(connection);
        let response = sender
            .send_request(request)
            .await
            .map_err(|_| Failure::MaybeSent)?;
        let response = Response::from(response.map(reqwest::Body::wrap));
        accept(&method, response)
    }
}

/// Judges the head of an answer. The connection of one that is refused is closed, as its body is dropped unread.
fn accept(
    method: &Method,
    response: Response,
) -> std::result::Result<(Response, Framing), Failure> {
    let head = Head {
        method,
        status: response.status(),
        version: response.version(),
        headers: response.headers(),
    };
    let framing = Framing::try_from(head).map_err(|_| Failure::MaybeSent)?;
    Ok((response, framing))
}

/// Makes the request as it goes over the wire; `None` when its path can't be written.
fn request(endpoint: &Endpoint, outgoing: Outgoing) -> Option<http::Request<Full<Bytes>>> {
    let mut request = http::Request::new(Full::new(outgoing.body));
    *request.method_mut() = outgoing.method;
    *request.uri_mut() = outgoing.path.parse().ok()?;
    *request.headers_mut() = outgoing.headers;
    let host = HeaderValue::from_str(&endpoint.address.to_string()).ok()?;
    request.headers_mut().insert(header::HOST, host);
    request
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
    Some(request)
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
