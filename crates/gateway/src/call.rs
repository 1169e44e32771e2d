//! One admitted request and its attempts: connected, sent, and how each ended.

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderMap,
    Method,
    Request,
    Response,
    StatusCode,
    Uri,
    request::Parts, //
};
use http_body_util::{
    BodyExt,
    Either,
    Full,
    Limited, //
};
use hyper::body::Incoming;
use tokio::time::timeout;
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Gateway, Ticket,
        ask::Ask,
        fate::{
            Fate,
            Next, //
        },
        fingerprint::Content,
        place::Placed,
        quarantine::Crash,
        refusal::{
            Cause,
            Refusal, //
        },
    },
    units::Time,
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
    exchange::{
        Body,
        MAX_ANSWER,
        refuse, //
    },
    log::text,
    pool::Pool,
    state::{
        Shared,
        now, //
    },
};

/// Longest wait for the body of an answer that says that nothing ran; its connection is kept if
/// the body comes by then.
const REJECTION_BODY: Duration = Duration::from_millis(50);

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

impl Call {
    /// Makes the call of an admitted request.
    pub(crate) fn new(
        state: Shared,
        (ask, ticket): (Ask, Ticket),
        (parts, body): (Parts, Bytes),
        began: Time,
    ) -> Self {
        Self {
            state,
            ask,
            ticket,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            began,
        }
    }

    /// Looks at the content where it may be that of a request that crashed endpoints. It is hashed only then, as bodies
    /// may be large.
    fn identify(&mut self) {
        let known = self.ticket.content.is_some();
        if !known && self.state.gateway.borrow().watches(&self.ticket) {
            self.fingerprint();
        }
    }

    fn fingerprint(&mut self) {
        let mut gateway = self.state.gateway.borrow_mut();
        let content = gateway.identify(now(), &self.content());
        drop(gateway);
        self.ticket.content = Some(content);
    }

    fn content(&self) -> Content<'_> {
        let path = self.uri.path_and_query();
        Content {
            workspace: self.ticket.workspace.as_ref().map(|w| &w.name),
            parts: [
                self.method.as_str().as_bytes(),
                &self.ask.host,
                path.map_or(self.uri.path(), |p| p.as_str()).as_bytes(),
                &self.body,
            ],
        }
    }

    /// Gets the time until the final answer is due.
    pub(crate) fn left(&self) -> Duration {
        Duration::from_millis(self.ticket.until.since(now()).0)
    }

    /// Gets the time that an endpoint may say nothing; `begun` once it has sent a part.
    pub(crate) fn silence_timeout(&self, begun: bool) -> Duration {
        let mut gateway = self.state.gateway.borrow_mut();
        let limit = gateway.silence_timeout(now(), &self.ticket, begun);
        let limit = limit.map_or(Duration::MAX, |p| Duration::from_millis(p.0));
        limit.min(self.left())
    }

    /// Makes attempts until one has an answer of the endpoint's own; `resume` is the last event
    /// that the caller has.
    pub(crate) async fn start(&mut self, resume: Option<u64>) -> Result<Attempt, Refusal> {
        loop {
            self.identify();
            let placed = {
                let mut gateway = self.state.gateway.borrow_mut();
                gateway.place(now(), &self.ticket, &self.ask)?
            };
            let connection = match self.connect(&placed).await {
                Ok(connection) => connection,
                Err(Next::Again) => continue,
                Err(_) => return Err(self.given_up(Cause::NoEndpoint)),
            };
            if !self.may_send(&placed) {
                self.state.metrics.count("attempts", "overtaken");
                let pool = &self.state.pool;
                pool.keep(now(), placed.endpoint, connection, None);
                continue;
            }
            let (flight, fate, status) = match self.send(&placed, connection, resume).await {
                Ok(attempt) => return Ok(attempt),
                Err(ended) => ended,
            };
            if self.end(flight, fate, status) != Next::Again {
                return Err(self.given_up(fate.cause()));
            }
        }
    }

    /// Gives the call up after its attempts.
    pub(crate) fn given_up(&self, cause: Cause) -> Refusal {
        Refusal::given_up(cause, self.ticket.may_have_run)
    }

    fn may_send(&self, placed: &Placed) -> bool {
        let gateway = self.state.gateway.borrow();
        gateway.may_send_placed(now(), &self.ticket, placed)
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
        if placed.cold {
            self.state.metrics.count("attempts", "cold");
        }
        let request = self.request(placed, resume);
        let flight = Flight::start(self, placed.endpoint);
        self.log_placed(placed);
        let sent = timeout(self.silence_timeout(false), connection.send(request)).await;
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
        let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        if misdirected || reply.rejected {
            self.reject(&flight, connection, body, &reply).await;
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
        // An endpoint that leaves ends its connections with each answer, and few others do.
        if !reply.closes {
            let mut gateway = self.state.gateway.borrow_mut();
            gateway.confirm(&self.ticket, placed.endpoint);
        }
        Ok(Attempt {
            head,
            reply,
            body,
            connection,
            flight,
        })
    }

    /// Holds an attempt's answer until it is whole, and ends the attempt; gives what follows, and the
    /// caller's answer or why there is none.
    pub(crate) async fn hold(&mut self, attempt: Attempt) -> (Next, Result<Response<Body>, Fate>) {
        let Attempt {
            head,
            reply,
            body,
            connection,
            flight,
        } = attempt;
        let collected = timeout(self.left(), Limited::new(body, MAX_ANSWER).collect()).await;
        let held = match collected {
            Ok(Ok(body)) => {
                self.keep(&flight, connection, &reply);
                Ok(self.deliver(&head, Either::Left(Full::new(body.to_bytes()))))
            }
            Ok(Err(error)) => {
                tracing::debug!(id = %text(&self.ask.id), %error, "answer broke off");
                Err(Fate::Broken)
            }
            Err(_) => Err(Fate::Stalled),
        };
        let fate = match &held {
            Ok(_) if head.status.is_server_error() => Fate::Failed,
            Ok(_) => Fate::Answered,
            Err(fate) => *fate,
        };
        (self.end(flight, fate, Some(head.status)), held)
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
        match fate {
            Fate::Broken if self.ticket.content.is_none() => self.fingerprint(),
            Fate::Answered | Fate::Failed => {
                let mut gateway = self.state.gateway.borrow_mut();
                gateway.remember(now(), &self.content());
            }
            _ => {}
        }
        self.identify();
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
                content = self.ticket.content.map(|c| c.to_string()),
                "attempt ended"
            );
        }
        next
    }

    /// Refuses the call.
    pub(crate) fn refuse(&self, refusal: Refusal) -> Response<Body> {
        if refusal.cause == Cause::Quarantined {
            self.log_held();
        }
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

    fn log_held(&self) {
        let gateway = self.state.gateway.borrow();
        let now = now();
        let verdict = gateway.verdict(now, &self.ticket);
        let (Some(content), Some(verdict), true) =
            (self.ticket.content, verdict, self.state.log.admits())
        else {
            return;
        };
        let seen = |c: &Crash| {
            let endpoint = gateway.registry().life(c.endpoint);
            let name = endpoint.map(|e| text(&e.entry.id).into_owned());
            let name = name.unwrap_or_else(|| format!("{:08x}", c.endpoint.0));
            let by = if c.observed_here { "here" } else { "elsewhere" };
            format!("{name} {} ms ago {by}", now.since(c.at).0)
        };
        let crashes: Vec<String> = verdict.crashes.iter().map(seen).collect();
        tracing::warn!(
            event = 621,
            id = %text(&self.ask.id),
            %content,
            crashes = crashes.join(", "),
            left = verdict.left.0,
            "request held back"
        );
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
            cold = placed.cold,
            attempt = self.ticket.tried.len(),
            left = self.ticket.until.since(now()).0,
            "placed"
        );
    }
}

fn name(gateway: &Gateway, endpoint: EndpointKey) -> String {
    let found = gateway.registry().get(endpoint);
    found.map_or_else(|| "gone".to_owned(), |e| text(&e.entry.id).into_owned())
}

/// Gets the path and query alone, as an endpoint expects them (RFC 9112, section 3.2.1).
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}
