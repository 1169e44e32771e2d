//! Requests between routers: one that does not reach a service hands requests for it to a peer.
//!
//! A peer numbers its connection when that is opened, and each request on it carries the next number
//! in a sealed header field, so that a copied request is refused.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddrV4,
    rc::Rc,
};

use bytes::Bytes;
use futures_util::stream::StreamExt as _;
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    Method,
    Request,
    Response,
    StatusCode,
    Uri,
    header,
    request::Parts, //
};
use http_body_util::{
    BodyExt as _,
    Either,
    Full,
    Limited,
    StreamBody, //
};
use hyper::body::Incoming;
use indexmap::IndexMap;
use snafu::Snafu;
use tokio::time::timeout;
use toucanturn_core::{
    gateway::{
        handoff::{
            Grant,
            PeerReport, //
        },
        origin::Origin,
        refusal::{
            Cause,
            Refusal, //
        },
    },
    units::{
        Millis,
        Time, //
    },
};
use toucanturn_wire::handoff::{
    self,
    ContentHash,
    Handoff,
    Position,
    content_hash, //
};

use crate::{
    client::{
        self,
        Connection,
        SendOutcome, //
    },
    exchange::{
        self,
        Body,
        Progress,
        keep_alive, //
    },
    log::text,
    pool,
    proxied::ProxiedRequest,
    relay,
    state::{
        Phase,
        Shared,
        State,
        now, //
    },
    streams,
};

/// Path that numbers a connection.
const SESSION_PATH: &str = "/handoff";
/// Header field with what accompanies a request.
pub(crate) const HANDOFF_FIELD: HeaderName = HeaderName::from_static("toucanturn-handoff");
/// Header field of an answer with the report of its attempts.
pub(crate) const REPORT_FIELD: HeaderName = HeaderName::from_static("toucanturn-report");
/// Header field of the answer to the call that numbers a connection: the peer heeds the origin in a grant.
const ORIGINS_FIELD: HeaderName = HeaderName::from_static("toucanturn-origins");
/// Longest answer to the call that numbers a connection, in bytes.
const MAX_SESSION_BYTES: usize = 64;
/// Limit of the peers' requests in progress; further ones are refused, so that a router's own callers
/// keep most of its memory and processor.
const MAX_ACCEPTED: usize = 128;
/// Time for which an idle connection to a peer is kept that states none.
const DEFAULT_IDLE: Millis = Millis(400);
/// Time before a peer's idle timeout at which a connection is given up.
const IDLE_MARGIN: Millis = Millis(350);

/// `Error` is why a connection to a peer could not be opened.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// There is no connection.
    #[snafu(display("{source}"), context(false))]
    Connect {
        /// The cause.
        source: client::Error,
    },
    /// The peer did not number the connection in time.
    #[snafu(display("the peer did not number the connection"))]
    NoSession,
}

/// `PeerConnection` is an open connection to a peer.
#[derive(Debug)]
pub(crate) struct PeerConnection {
    pub(crate) connection: Connection,
    /// Place of the next request.
    pub(crate) next: Position,
    /// Whether the peer heeds the origin in a grant; an earlier version of routers does not.
    pub(crate) heeds_origins: bool,
}

impl PeerConnection {
    async fn open(address: SocketAddrV4) -> Result<Self, Error> {
        let mut connection = Connection::open(address, pool::CONNECT_TIMEOUT).await?;
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(SESSION_PATH);
        if let Ok(host) = HeaderValue::try_from(address.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        let called = async {
            let SendOutcome::Head(response, _) = connection.send(request).await else {
                return None;
            };
            let success = response.status().is_success();
            let heeds_origins = response.headers().contains_key(ORIGINS_FIELD);
            let body = Limited::new(response.into_body(), MAX_SESSION_BYTES);
            let body = body.collect().await.ok()?.to_bytes();
            let number = std::str::from_utf8(&body).ok().filter(|_| success)?;
            Some((number.parse().ok()?, heeds_origins))
        };
        let called = timeout(pool::CONNECT_TIMEOUT, called).await;
        let (session, heeds_origins) = called.ok().flatten().ok_or(Error::NoSession)?;
        let next = Position { session, number: 0 };
        Ok(Self {
            connection,
            next,
            heeds_origins,
        })
    }
}

/// `PeerPool` holds the idle connections to peers.
#[derive(Debug, Default)]
pub(crate) struct PeerPool {
    idle: RefCell<IndexMap<SocketAddrV4, Vec<(Time, PeerConnection)>>>,
}

impl PeerPool {
    /// Takes an idle connection to a peer, or opens one.
    pub(crate) async fn connect(&self, peer: SocketAddrV4) -> Result<PeerConnection, Error> {
        match self.take(now(), peer) {
            Some(kept) => Ok(kept),
            None => PeerConnection::open(peer).await,
        }
    }

    fn take(&self, now: Time, peer: SocketAddrV4) -> Option<PeerConnection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&peer)?;
        kept.retain(|(until, open)| now < *until && !open.connection.is_closed());
        let index = kept.iter().rposition(|(_, c)| c.connection.is_ready())?;
        Some(kept.remove(index).1)
    }

    /// Keeps a connection after a complete answer; `stated` is the idle time that the peer states.
    pub(crate) fn keep(&self, peer: SocketAddrV4, open: PeerConnection, stated: Option<Millis>) {
        let keep = stated.map_or(DEFAULT_IDLE, |s| Millis(s.0.saturating_sub(IDLE_MARGIN.0)));
        let mut idle = self.idle.borrow_mut();
        idle.entry(peer).or_default().push((now() + keep, open));
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn tick(&self, now: Time) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, kept| {
            kept.retain(|(until, open)| now < *until && !open.connection.is_closed());
            !kept.is_empty()
        });
    }
}

/// Hashes what a peer acts on in a request.
fn hash(method: &Method, uri: &Uri, headers: &HeaderMap, body: &[u8]) -> ContentHash {
    let path = uri.path_and_query().map_or(uri.path(), |p| p.as_str());
    let own = [HANDOFF_FIELD, header::CONTENT_LENGTH];
    let fields = headers.iter().filter(|(name, _)| !own.contains(name));
    let mut fields: Vec<(&[u8], &[u8])> = fields
        .map(|(name, value)| (name.as_str().as_bytes(), value.as_bytes()))
        .collect();
    // The order of fields with different names may change on the way.
    fields.sort_by_key(|(name, _)| *name);
    let mut parts = vec![method.as_str().as_bytes(), path.as_bytes(), body];
    parts.extend(fields.into_iter().flat_map(|(name, value)| [name, value]));
    content_hash(&parts)
}

/// Makes the request to a peer: the caller's, with what accompanies it. `None` while no configuration is in force.
pub(crate) fn request(
    state: &State,
    (method, uri, headers): (&Method, Uri, HeaderMap),
    body: &Bytes,
    position: Position,
    grant: Grant,
) -> Option<Request<Full<Bytes>>> {
    let accompanying = Handoff {
        position,
        content: hash(method, &uri, &headers, body),
        grant,
    };
    let gateway = state.gateway.borrow();
    let catalog = gateway.catalog()?;
    let field = handoff::encode(&accompanying, &catalog.secret, catalog.version);
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = headers;
    let field = HeaderValue::try_from(field).ok()?;
    request.headers_mut().insert(HANDOFF_FIELD, field);
    Some(request)
}

/// Decodes a peer's report of its attempts.
pub(crate) fn report(headers: &HeaderMap) -> Option<PeerReport> {
    let field = headers.get(REPORT_FIELD)?;
    handoff::decode_report(field.as_bytes()).ok()
}

/// `Session` is what a router keeps of a connection of a peer.
#[derive(Debug, Default)]
pub(crate) struct Session {
    expected: Cell<Option<Position>>,
}

impl Session {
    /// Takes the place of a request; returns whether it is the expected one.
    fn advance(&self, position: Position) -> bool {
        let expected = self.expected.get() == Some(position);
        if expected {
            let next = Position {
                number: position.number.saturating_add(1),
                ..position
            };
            self.expected.set(Some(next));
        }
        expected
    }
}

/// Returns whether a request is one of a hand-off.
pub(crate) fn is_handoff(request: &Request<Incoming>) -> bool {
    request.headers().contains_key(HANDOFF_FIELD)
}

/// Returns whether a request asks for a number of its connection.
pub(crate) fn is_session_call(request: &Request<Incoming>) -> bool {
    request.uri().path() == SESSION_PATH
}

/// Numbers a connection.
pub(crate) fn open_session(state: &State, session: &Session) -> Response<Body> {
    let number = state.gateway.borrow_mut().draw();
    session.expected.set(Some(Position {
        session: number,
        number: 0,
    }));
    let mut response = Response::new(Either::Left(Full::from(number.to_string())));
    let heeded = HeaderValue::from_static("1");
    response.headers_mut().insert(ORIGINS_FIELD, heeded);
    response
}

/// `Accepted` counts a peer's request until its answer has ended.
struct Accepted(Rc<Cell<usize>>);

impl Accepted {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for Accepted {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Serves a request that a peer has handed to this router.
pub(crate) async fn serve(
    state: Shared,
    session: &Session,
    request: Request<Incoming>,
) -> Response<Body> {
    let began = now();
    let accepted = Accepted::new(&state.accepted);
    let (mut parts, body) = request.into_parts();
    let mut response = match open(&state, session, &mut parts, body, began).await {
        Ok((proxied, grant)) => answer(proxied, grant).await,
        Err(response) => response,
    };
    keep_alive(&state, response.headers_mut());
    response.map(|body| match body {
        Either::Left(whole) => Either::Left(whole),
        Either::Right(stream) => {
            let held = move |_: &_| {
                let _ = &accepted;
            };
            Either::Right(StreamBody::new(stream.inspect(held).boxed_local()))
        }
    })
}

/// Checks a request that claims to be of a peer, and admits it.
async fn open(
    state: &Shared,
    session: &Session,
    parts: &mut Parts,
    body: Incoming,
    began: Time,
) -> Result<(ProxiedRequest, Grant), Response<Body>> {
    let field = parts.headers.get(HANDOFF_FIELD);
    let field = field.map(HeaderValue::as_bytes).unwrap_or_default();
    let opened = handoff::decode(field, |epoch| state.secret(epoch));
    let accompanying = opened.map_err(|error| {
        tracing::debug!(%error, "hand-off of a peer refused");
        forbidden(state)
    })?;
    let Handoff {
        position,
        content,
        grant,
    } = accompanying;
    if !session.advance(position) {
        return Err(forbidden(state));
    }
    let read = exchange::read(state, parts, body, (began, &Progress::default())).await;
    let (mut incoming_request, body) =
        read.map_err(|(id, refusal)| refuse(state, &id, refusal, None))?;
    if hash(&parts.method, &parts.uri, &parts.headers, &body) != content {
        return Err(forbidden(state));
    }
    parts.headers.remove(HANDOFF_FIELD);
    incoming_request.waited = now().since(began);
    incoming_request.resume = grant.resume.or(incoming_request.resume);
    let left = grant.time_left;
    incoming_request.deadline = Some(incoming_request.deadline.map_or(left, |d| d.min(left)));
    let id = incoming_request.id.clone();
    let busy = state.accepted.get() > MAX_ACCEPTED;
    let admitted = if state.phase() >= Phase::Stopping {
        Err(Refusal::temporary(Cause::Stopping))
    } else if busy {
        Err(Refusal::temporary(Cause::Overloaded))
    } else {
        let mut gateway = state.gateway.borrow_mut();
        gateway.admit_from_peer(now(), &incoming_request, &grant)
    };
    let mut ticket = admitted.map_err(|refusal| refuse(state, &id, refusal, Some(began + left)))?;
    // A router of an earlier version grants no origin.
    if ticket.origin == Origin::New {
        streams::find_origin(state, &mut ticket, &incoming_request).await;
    }
    state.metrics.count("handoffs_accepted", "admitted");
    if state.log.try_admit() {
        tracing::info!(
            event = 668,
            id = %text(&id),
            service = %text(&ticket.service),
            attempts = ticket.max_attempts,
            left = ticket.until.since(now()).0,
            "accepted from a peer"
        );
    }
    let head = Parts::clone(parts);
    let proxied = ProxiedRequest::new(
        state.clone(),
        (incoming_request, ticket),
        (head, body),
        began,
    );
    Ok((proxied, grant))
}

async fn answer(proxied: ProxiedRequest, grant: Grant) -> Response<Body> {
    if proxied.ticket.route.kind.streams() {
        relay::answer(proxied, grant.resume).await
    } else {
        exchange::answer_buffered(proxied).await
    }
}

/// Refuses a peer's request that was not admitted, and reports why.
fn refuse(state: &Shared, id: &Bytes, refusal: Refusal, deadline: Option<Time>) -> Response<Body> {
    state.metrics.count("handoffs_accepted", "refused");
    let mut response = exchange::refuse(state, (id, None), refusal, deadline);
    let report = PeerReport {
        tried: Vec::new(),
        refused: Some(refusal.cause),
        build: None,
    };
    add_report(response.headers_mut(), &report);
    response
}

/// Adds the report of the attempts to an answer to a peer.
pub(crate) fn add_report(headers: &mut HeaderMap, report: &PeerReport) {
    if let Ok(field) = HeaderValue::try_from(handoff::encode_report(report)) {
        headers.insert(REPORT_FIELD, field);
    }
}

fn forbidden(state: &State) -> Response<Body> {
    state.metrics.count("handoffs_accepted", "forbidden");
    let mut response = Response::new(Either::Left(Full::default()));
    *response.status_mut() = StatusCode::FORBIDDEN;
    response
}
