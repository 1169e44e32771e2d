//! One request's way: read, admitted, placed, sent, and its whole answer back.

use std::{
    convert::Infallible,
    time::Duration, //
};

use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use http::{
    HeaderMap,
    Method,
    Request,
    Response,
    StatusCode,
    Uri,
    header,
    request::Parts, //
};
use http_body_util::{
    BodyExt,
    Either,
    Full,
    LengthLimitError,
    Limited,
    StreamBody, //
};
use hyper::body::{
    Body as _,
    Frame,
    Incoming, //
};
use snafu::Snafu;
use tokio::time::timeout;
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Ticket,
        ask::Ask,
        come_back,
        fate::{
            Fate,
            Next, //
        },
        place::Placed,
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

use crate::{
    client::{
        Connection,
        Sent, //
    },
    dialect::{
        Forward,
        Reply, //
    },
    log::text,
    pool::Pool,
    relay,
    state::{
        Phase,
        Shared,
        now, //
    },
};

/// Most bytes of an answer that is held until it is whole; longer ones are not taken.
const MAX_ANSWER: usize = 8 << 20;
/// Longest wait for the body of an answer that says that nothing ran; its connection is kept if
/// the body comes by then.
const REJECTION_BODY: Duration = Duration::from_millis(50);

/// `Broken` ends an answer to a caller that can't be made whole.
#[derive(Debug, Snafu)]
#[snafu(display("the endpoint's answer broke off"))]
pub struct Broken;

/// `Body` is the body of an answer to a caller.
pub type Body =
    Either<Full<Bytes>, StreamBody<LocalBoxStream<'static, Result<Frame<Bytes>, Broken>>>>;

/// `Call` is one admitted request.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) state: Shared,
    pub(crate) ask: Ask,
    pub(crate) ticket: Ticket,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    pub(crate) began: Time,
}

/// `Flight` is an attempt in progress. Dropping it tells the decisions that the caller left.
#[derive(Debug)]
pub(crate) struct Flight {
    state: Shared,
    pub(crate) endpoint: EndpointKey,
    open: bool,
}

impl Flight {
    fn start(call: &mut Call, endpoint: EndpointKey) -> Self {
        let mut gateway = call.state.gateway.borrow_mut();
        gateway.sent(now(), &mut call.ticket, endpoint);
        drop(gateway);
        Self {
            state: call.state.clone(),
            endpoint,
            open: true,
        }
    }

    /// Ends the attempt.
    pub(crate) fn end(mut self, call: &mut Call, fate: Fate) -> Next {
        self.open = false;
        let mut gateway = call.state.gateway.borrow_mut();
        gateway.ended(now(), &mut call.ticket, self.endpoint, fate)
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if self.open {
            self.state.metrics.count("attempts", "left");
            let mut gateway = self.state.gateway.borrow_mut();
            gateway.left(now(), self.endpoint);
        }
    }
}

/// `Attempt` is an attempt whose answer has begun.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) head: http::response::Parts,
    pub(crate) reply: Reply,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) flight: Flight,
}

/// Serves one request.
pub(crate) async fn serve(
    state: Shared,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let began = now();
    let (parts, body) = request.into_parts();
    let mut response = match read(&state, &parts, body, began).await {
        Ok((ask, body)) => run(&state, ask, parts, body, began).await,
        Err((id, refusal)) => refuse(&state, &id, refusal, None),
    };
    if state.phase() >= Phase::Stopping {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

async fn read(
    state: &Shared,
    parts: &Parts,
    body: Incoming,
    began: Time,
) -> Result<(Ask, Bytes), (Bytes, Refusal)> {
    let unnamed = Bytes::new();
    let ask = (state.dialect.ask)(parts).map_err(|why| {
        if state.log.admits() {
            tracing::warn!(event = 601, why, "request is malformed");
        }
        (unnamed, Refusal::never(Cause::Malformed))
    })?;
    let limits = {
        let gateway = state.gateway.borrow();
        gateway.catalog().map(|c| c.limits).unwrap_or_default()
    };
    // A body that says itself that it is too long isn't waited for.
    if body.size_hint().lower() > u64::try_from(limits.body).unwrap_or(u64::MAX) {
        return Err((ask.id, Refusal::never(Cause::TooLarge)));
    }
    let patience = ask.deadline.unwrap_or(limits.idle).min(limits.idle);
    let whole = timeout(
        Duration::from_millis(patience.0),
        Limited::new(body, limits.body).collect(),
    );
    match whole.await {
        Ok(Ok(body)) => Ok((ask, body.to_bytes())),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err((ask.id, Refusal::never(Cause::TooLarge)))
        }
        Ok(Err(error)) => {
            if state.log.admits() {
                let id = text(&ask.id);
                tracing::warn!(event = 602, %id, %error, "request's body broke off");
            }
            Err((ask.id, Refusal::never(Cause::Malformed)))
        }
        Err(_) => {
            let waited = now().since(began).0;
            if state.log.admits() {
                let id = text(&ask.id);
                tracing::warn!(event = 603, %id, waited, "request's body is slow");
            }
            Err((ask.id, Refusal::never(Cause::TooSlow)))
        }
    }
}

async fn run(state: &Shared, ask: Ask, parts: Parts, body: Bytes, began: Time) -> Response<Body> {
    let admitted = state.gateway.borrow_mut().admit(began, &ask);
    let ticket = match admitted {
        Ok(ticket) => ticket,
        Err(refusal) => return refuse(state, &ask.id, refusal, ask.deadline.map(|d| began + d)),
    };
    let call = Call {
        state: state.clone(),
        ask,
        ticket,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        began,
    };
    if call.ticket.route.kind.streams() {
        relay::answer(call).await
    } else {
        whole(call).await
    }
}

/// Answers a request whose answer is held until it is whole, so that what breaks off can be
/// repeated.
async fn whole(mut call: Call) -> Response<Body> {
    let mut failure = None;
    loop {
        let attempt = match call.start(None).await {
            Ok(attempt) => attempt,
            Err(refusal) => return failure.unwrap_or_else(|| call.refuse(refusal)),
        };
        let Attempt {
            head,
            reply,
            body,
            connection,
            flight,
        } = attempt;
        let collected = timeout(call.left(), Limited::new(body, MAX_ANSWER).collect()).await;
        let (fate, response) = match collected {
            Ok(Ok(body)) => {
                call.keep(&flight, connection, &reply);
                let fate = if head.status.is_server_error() {
                    Fate::Failed
                } else {
                    Fate::Answered
                };
                (
                    fate,
                    Some(call.deliver(&head, Either::Left(Full::new(body.to_bytes())))),
                )
            }
            Ok(Err(error)) => {
                tracing::debug!(id = %text(&call.ask.id), %error, "answer broke off");
                (Fate::Broken, None)
            }
            Err(_) => (Fate::Stalled, None),
        };
        let next = call.end(flight, fate, Some(head.status));
        match (next, response) {
            (Next::Again, kept) => failure = kept.or(failure),
            (_, Some(response)) => return response,
            (_, None) => {
                let cause = if fate == Fate::Stalled {
                    Cause::Deadline
                } else {
                    Cause::EndpointFailed
                };
                let refusal = Refusal::given_up(cause, call.ticket.may_have_run);
                return failure.unwrap_or_else(|| call.refuse(refusal));
            }
        }
    }
}

impl Call {
    /// Gets the time until the final answer is due.
    pub(crate) fn left(&self) -> Duration {
        Duration::from_millis(self.ticket.until.since(now()).0)
    }

    /// Gets the time that an endpoint may say nothing; `begun` once it has sent a part.
    pub(crate) fn patience(&self, begun: bool) -> Duration {
        let mut gateway = self.state.gateway.borrow_mut();
        let patience = gateway.patience(now(), &self.ticket, begun);
        let patience = patience.map_or(Duration::MAX, |p| Duration::from_millis(p.0));
        patience.min(self.left())
    }

    /// Makes attempts until one has an answer of the endpoint's own; `resume` is the last event
    /// that the caller has.
    pub(crate) async fn start(&mut self, resume: Option<u64>) -> Result<Attempt, Refusal> {
        loop {
            let placed = {
                let mut gateway = self.state.gateway.borrow_mut();
                gateway.place(now(), &self.ticket, &self.ask)?
            };
            let connection = match self.connect(&placed).await {
                Ok(connection) => connection,
                Err(Next::Again) => continue,
                Err(_) => return Err(self.given_up(Cause::NoEndpoint)),
            };
            let (flight, fate, status) = match self.send(&placed, connection, resume).await {
                Ok(attempt) => return Ok(attempt),
                Err(ended) => ended,
            };
            let cause = match fate {
                Fate::Stalled => Cause::Deadline,
                Fate::Rejected | Fate::Misdirected | Fate::NotSent => Cause::NoEndpoint,
                _ => Cause::EndpointFailed,
            };
            if self.end(flight, fate, status) != Next::Again {
                return Err(self.given_up(cause));
            }
        }
    }

    fn given_up(&self, cause: Cause) -> Refusal {
        Refusal::given_up(cause, self.ticket.may_have_run)
    }

    async fn connect(&mut self, placed: &Placed) -> Result<Connection, Next> {
        if let Some(kept) = self.state.pool.take(now(), placed.endpoint) {
            return Ok(kept);
        }
        let address = {
            let gateway = self.state.gateway.borrow();
            let endpoint = gateway.registry().get(placed.endpoint);
            endpoint.map(|e| e.entry.address)
        };
        let error = match address {
            Some(address) => match Pool::open(address).await {
                Ok(connection) => {
                    self.state.metrics.count("connections", "opened");
                    return Ok(connection);
                }
                Err(error) => error.to_string(),
            },
            None => "it is gone".to_owned(),
        };
        self.state.metrics.count("connections", "failed");
        let mut gateway = self.state.gateway.borrow_mut();
        let next = gateway.unreached(now(), &mut self.ticket, placed.endpoint);
        if self.state.log.admits() {
            let id = text(&self.ask.id);
            let endpoint = name(&gateway, placed.endpoint);
            tracing::warn!(event = 612, %id, %endpoint, error, %next, "endpoint not reached");
        }
        Err(next)
    }

    async fn send(
        &mut self,
        placed: &Placed,
        mut connection: Connection,
        resume: Option<u64>,
    ) -> Result<Attempt, (Flight, Fate, Option<StatusCode>)> {
        let request = self.request(placed, resume);
        let flight = Flight::start(self, placed.endpoint);
        self.log_placed(placed);
        let sent = timeout(self.patience(false), connection.send(request)).await;
        let response = match sent {
            Ok(Sent::Head(response)) => response,
            Ok(Sent::Unsent) => return Err((flight, Fate::NotSent, None)),
            Ok(Sent::Lost(error)) => {
                tracing::debug!(id = %text(&self.ask.id), %error, "no answer");
                return Err((flight, Fate::Broken, None));
            }
            Err(_) => return Err((flight, Fate::Stalled, None)),
        };
        let (head, body) = response.into_parts();
        let reply = (self.state.dialect.reply)(&head.headers);
        let status = Some(head.status);
        if let Some(load) = reply.load {
            let mut gateway = self.state.gateway.borrow_mut();
            gateway.stated(now(), placed.endpoint, load);
        }
        if reply.id.as_ref() != Some(&self.ask.id) {
            return Err((flight, Fate::Broken, status));
        }
        if head.status == StatusCode::MISDIRECTED_REQUEST || reply.rejected {
            self.reject(&flight, connection, body, &reply).await;
            let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
            let fate = if misdirected {
                Fate::Misdirected
            } else {
                Fate::Rejected
            };
            return Err((flight, fate, status));
        }
        // Without its signature an answer is not the endpoint's, or not all of it.
        if !reply.sealed || reply.encoded {
            return Err((flight, Fate::Broken, status));
        }
        Ok(Attempt {
            head,
            reply,
            body,
            connection,
            flight,
        })
    }

    /// Keeps the connection of a rejected attempt, if its short body comes at once.
    async fn reject(&self, flight: &Flight, connection: Connection, body: Incoming, reply: &Reply) {
        if let Ok(Ok(_)) = timeout(REJECTION_BODY, Limited::new(body, MAX_ANSWER).collect()).await {
            self.keep(flight, connection, reply);
        }
    }

    /// Keeps a connection whose answer is whole.
    pub(crate) fn keep(&self, flight: &Flight, connection: Connection, reply: &Reply) {
        if !reply.closes {
            let pool = &self.state.pool;
            pool.keep(now(), flight.endpoint, connection, reply.idle);
        }
    }

    fn request(&self, placed: &Placed, resume: Option<u64>) -> Request<Full<Bytes>> {
        let gateway = self.state.gateway.borrow();
        let named = gateway.registry().get(placed.endpoint);
        let holder = placed.holder.and_then(|h| gateway.registry().get(h));
        let nobody = Bytes::new();
        let forward = Forward {
            endpoint: named.map_or(&nobody, |e| &e.entry.id),
            workspace: self.ticket.workspace.as_ref().map(|w| &w.name),
            left: self.ticket.until.since(now()),
            priority: self.ticket.priority,
            resume,
            generates: self.ask.prompt.is_some(),
            holder: holder.map(|h| h.entry.address),
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = origin_form(&self.uri);
        *request.headers_mut() = (self.state.dialect.forward)(&self.headers, &forward);
        request
    }

    /// Ends an attempt, with its line in the log.
    pub(crate) fn end(&mut self, flight: Flight, fate: Fate, status: Option<StatusCode>) -> Next {
        let endpoint = flight.endpoint;
        let next = flight.end(self, fate);
        let took = now().since(self.began);
        let service = text(&self.ticket.service).into_owned();
        self.state.metrics.count("attempts", &fate.to_string());
        if fate == Fate::Answered {
            self.state.metrics.time("answer", &service, took);
        }
        if self.state.log.admits() {
            let status = status.map_or(0, |s| s.as_u16());
            let gateway = self.state.gateway.borrow();
            tracing::info!(
                event = 611,
                id = %text(&self.ask.id),
                endpoint = %name(&gateway, endpoint),
                attempt = self.ticket.tried.len(),
                %fate,
                status,
                took = took.0,
                %next,
                "attempt ended"
            );
        }
        next
    }

    /// Refuses the call.
    pub(crate) fn refuse(&self, refusal: Refusal) -> Response<Body> {
        let deadline = Some(self.ticket.deadline);
        refuse(&self.state, &self.ask.id, refusal, deadline)
    }

    /// Makes the caller's answer from an endpoint's.
    pub(crate) fn deliver(&self, head: &http::response::Parts, body: Body) -> Response<Body> {
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = (self.state.dialect.deliver)(&head.headers);
        response
    }

    fn log_placed(&self, placed: &Placed) {
        if !self.state.log.admits() {
            return;
        }
        let gateway = self.state.gateway.borrow();
        let age = gateway.proof().age(now()).map_or(0, |a| a.0);
        tracing::info!(
            event = 610,
            id = %text(&self.ask.id),
            route = %text(&self.ticket.route.name),
            version = self.ticket.version,
            age,
            endpoint = %name(&gateway, placed.endpoint),
            load = placed.load,
            limit = f64::from(placed.limit),
            rank = placed.rank,
            holder = placed.holder.map(|h| name(&gateway, h)),
            attempt = self.ticket.tried.len(),
            left = self.ticket.until.since(now()).0,
            "placed"
        );
    }
}

fn name(gateway: &toucanturn_core::gateway::Gateway, endpoint: EndpointKey) -> String {
    let found = gateway.registry().get(endpoint);
    found.map_or_else(|| "gone".to_owned(), |e| text(&e.entry.id).into_owned())
}

/// Gets the path and query alone, as an endpoint expects them (RFC 9112, section 3.2.1).
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}

fn refuse(state: &Shared, id: &Bytes, refusal: Refusal, deadline: Option<Time>) -> Response<Body> {
    let now = now();
    let draw = spread(id);
    let until = deadline.unwrap_or(now + DEFAULT_WAIT);
    let wait = refusal.again.then(|| come_back(now, until, draw));
    state.metrics.count("refusals", &refusal.cause.to_string());
    if state.log.admits() {
        let gateway = state.gateway.borrow();
        tracing::warn!(
            event = 620,
            id = %text(id),
            cause = %refusal.cause,
            may_have_run = refusal.may_have_run,
            version = gateway.catalog().map_or(0, |c| c.version),
            age = gateway.proof().age(now).map_or(-1, |a| i64::try_from(a.0).unwrap_or(i64::MAX)),
            endpoints = gateway.registry().len(),
            wait = wait.map_or(0, |w| w.0),
            "request refused"
        );
    }
    let response = (state.dialect.refuse)(&refusal, id, wait);
    response.map(|body| Either::Left(Full::new(body)))
}

/// Time that a caller is taken to wait that doesn't say.
const DEFAULT_WAIT: Millis = Millis(3000);

/// Spreads callers by their ids (FNV-1a, 64 bits).
fn spread(id: &[u8]) -> u64 {
    id.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
