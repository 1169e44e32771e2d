//! An admitted request and its attempts at endpoints: placement, connection, sending and outcome.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
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
    BodyExt,
    Either,
    Full,
    LengthLimitError,
    Limited, //
};
use hyper::body::Incoming;
use tokio::time::timeout;
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Gateway, Ticket,
        endpoint::Signal,
        fingerprint::Content,
        handoff::{
            PeerReport,
            Probe, //
        },
        incoming_request::IncomingRequest,
        origin::Origin,
        outcome::{
            AttemptOutcome,
            NextStep, //
        },
        place::Placed,
        quarantine::{
            Crash,
            Verdict, //
        },
        refusal::{
            Cause,
            Refusal, //
        },
    },
    units::{
        Millis,
        Permille,
        Time, //
    },
};

use toucanturn_wire::handoff::Position;

use crate::{
    client::{
        ConnectFailure,
        Connection,
        SendOutcome, //
    },
    exchange::{
        Body,
        MAX_BUFFERED_ANSWER_BYTES,
        refuse, //
    },
    framing::{
        BodyEnd,
        Framing,
        Received, //
    },
    handoff::{
        self,
        PeerConnection, //
    },
    log::text,
    pool::Pool,
    protocol::{
        ForwardContext,
        ReplyHead, //
    },
    state::{
        Shared,
        now, //
    },
    waiting::wait_for_turn,
};

/// How a hand-off ended without an endpoint's answer: its outcome, and the head of the peer's answer.
type HandoffEnd = (
    AttemptGuard,
    AttemptOutcome,
    Option<ReplyHead>,
    Option<StatusCode>,
);

/// Longest wait for the body of an answer that states that nothing ran. The connection is kept for
/// reuse if the body is complete by then.
const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Time limit of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);

/// `ProxiedRequest` is an admitted request that is being forwarded to endpoints.
#[derive(Debug)]
pub(crate) struct ProxiedRequest {
    pub(crate) state: Shared,
    pub(crate) incoming_request: IncomingRequest,
    pub(crate) ticket: Ticket,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    pub(crate) began: Time,
    /// Load that the endpoint of the newest attempt has stated, and the limit when it was chosen.
    stated: Option<(u32, f32)>,
    /// Slowdown that the endpoint of the newest attempt has stated.
    slowdown: Option<Permille>,
    /// Time from the sending of the newest attempt until its answer began.
    first: Option<Millis>,
    /// What the endpoint of the newest attempt has answered.
    pub(crate) received: Option<Received>,
}

/// `Way` is where the next attempt goes.
enum Way {
    /// To an endpoint.
    Endpoint(Placed),
    /// To a peer.
    Peer(SocketAddrV4),
}

/// `Target` is where an attempt was sent.
#[derive(Clone, Debug)]
pub(crate) enum Target {
    /// An endpoint.
    Endpoint(EndpointKey),
    /// A peer, over a connection at this place.
    Peer {
        /// Its address.
        address: SocketAddrV4,
        /// Place of the next request on the connection.
        next: Position,
        /// Whether it heeds the origin in a grant.
        heeds_origins: bool,
        /// What the peer has reported of its attempts.
        report: Option<PeerReport>,
    },
}

/// `AttemptGuard` is an attempt in progress. Dropping it before [`AttemptGuard::end`] records that the
/// caller disconnected.
#[derive(Debug)]
pub(crate) struct AttemptGuard {
    state: Shared,
    pub(crate) target: Target,
    active: bool,
}

impl AttemptGuard {
    fn start(proxied: &mut ProxiedRequest, target: Target) -> Self {
        let mut gateway = proxied.state.gateway.borrow_mut();
        match &target {
            Target::Endpoint(endpoint) => gateway.sent(now(), &mut proxied.ticket, *endpoint),
            Target::Peer { address, .. } => {
                gateway.handed_off(now(), &mut proxied.ticket, *address)
            }
        }
        drop(gateway);
        Self {
            state: proxied.state.clone(),
            target,
            active: true,
        }
    }

    /// Records the report in the head of a peer's answer.
    fn record_report(&mut self, headers: &HeaderMap) {
        if let Target::Peer { report, .. } = &mut self.target {
            *report = handoff::report(headers);
        }
    }

    /// Records how the attempt ended; returns what follows.
    pub(crate) fn end(mut self, proxied: &mut ProxiedRequest, outcome: AttemptOutcome) -> NextStep {
        self.active = false;
        let mut gateway = proxied.state.gateway.borrow_mut();
        let ticket = &mut proxied.ticket;
        match &self.target {
            Target::Endpoint(endpoint) => gateway.ended(now(), ticket, *endpoint, outcome),
            Target::Peer {
                address, report, ..
            } => gateway.hand_off_ended(now(), ticket, *address, outcome, report.as_ref()),
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if self.active {
            self.state.metrics.count("attempts", "left");
            let mut gateway = self.state.gateway.borrow_mut();
            match &self.target {
                Target::Endpoint(endpoint) => gateway.caller_left(now(), *endpoint),
                Target::Peer { address, .. } => gateway.caller_left_peer(*address),
            }
        }
    }
}

/// `Attempt` is an attempt for which the head of the endpoint's answer has arrived.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) head: http::response::Parts,
    pub(crate) reply: ReplyHead,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) guard: AttemptGuard,
}

impl ProxiedRequest {
    /// Creates the state of an admitted request.
    pub(crate) fn new(
        state: Shared,
        (incoming_request, ticket): (IncomingRequest, Ticket),
        (parts, body): (Parts, Bytes),
        began: Time,
    ) -> Self {
        Self {
            state,
            incoming_request,
            ticket,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            began,
            stated: None,
            slowdown: None,
            first: None,
            received: None,
        }
    }

    /// Fingerprints the content if it may be that of a request that crashed endpoints. Other content is not
    /// hashed, as bodies may be large.
    fn identify(&mut self) {
        let known = self.ticket.content.is_some();
        if !known && self.state.gateway.borrow().has_suspects(&self.ticket) {
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
                &self.incoming_request.host,
                path.map_or(self.uri.path(), |p| p.as_str()).as_bytes(),
                &self.body,
            ],
        }
    }

    /// Returns the length of its body.
    pub(crate) fn body_len(&self) -> usize {
        self.body.len()
    }

    /// Returns the time until the final answer is due.
    pub(crate) fn time_left(&self) -> Duration {
        Duration::from_millis(self.ticket.until.since(now()).0)
    }

    /// Returns how long an endpoint may send nothing; `begun` says whether it has sent part of its answer.
    pub(crate) fn silence_timeout(&self, guard: &AttemptGuard, begun: bool) -> Duration {
        // A peer notices itself that its endpoint keeps silent.
        if let Target::Peer { .. } = guard.target {
            return self.time_left();
        }
        let mut gateway = self.state.gateway.borrow_mut();
        let limit = gateway.silence_timeout(now(), &self.ticket, begun);
        let limit = limit.map_or(Duration::MAX, |p| Duration::from_millis(p.0));
        limit.min(self.time_left())
    }

    /// Makes attempts until an endpoint's answer has begun. `resume` is the last event that the caller
    /// has received.
    pub(crate) async fn start(&mut self, resume: Option<u64>) -> Result<Attempt, Refusal> {
        wait_for_turn(self).await?;
        loop {
            self.identify();
            let placed = match self.choose_way()? {
                Way::Endpoint(placed) => placed,
                Way::Peer(peer) => match self.hand_off(peer, resume).await {
                    Ok(attempt) => return Ok(attempt),
                    Err(None) => continue,
                    Err(Some(refusal)) => return Err(refusal),
                },
            };
            let connection = match self.connect(&placed).await {
                Ok(connection) => connection,
                Err(NextStep::Again) => continue,
                Err(_) => return Err(self.given_up(Cause::NoEndpoint)),
            };
            if !self.may_send(&placed) {
                self.state.metrics.count("attempts", "overtaken");
                let pool = &self.state.pool;
                pool.keep(now(), placed.endpoint, connection, None);
                continue;
            }
            let (guard, outcome, status) = match self.send(&placed, connection, resume).await {
                Ok(attempt) => return Ok(attempt),
                Err(ended) => ended,
            };
            if self.end(guard, outcome, status) != NextStep::Again {
                return Err(self.given_up(outcome.cause()));
            }
        }
    }

    /// Notes that the first event of a stream is about to be delivered.
    pub(crate) fn begin_stream(&mut self, target: &Target) {
        self.record_first(target);
        let build = match target {
            Target::Endpoint(_) => self.ticket.build,
            Target::Peer { report, .. } => report.as_ref().and_then(|r| r.build),
        };
        let id = &self.incoming_request.id;
        let mut gateway = self.state.gateway.borrow_mut();
        if gateway.begin_stream(now(), &mut self.ticket, id, build) {
            self.state.unsent_streams.notify_one();
        }
    }

    /// Returns the refusal for a request that is given up after its attempts.
    pub(crate) fn given_up(&self, cause: Cause) -> Refusal {
        let mut gateway = self.state.gateway.borrow_mut();
        gateway.give_up(now(), &self.ticket, cause)
    }

    fn choose_way(&self) -> Result<Way, Refusal> {
        let mut gateway = self.state.gateway.borrow_mut();
        gateway.check_origin(now(), &self.ticket)?;
        if let Some(peer) = gateway.hand_off(now(), &self.ticket) {
            return Ok(Way::Peer(peer));
        }
        let placed = match gateway.place(now(), &self.ticket, &self.incoming_request) {
            Ok(placed) => placed,
            Err(refusal) => {
                let peer = gateway.hand_off_refused(now(), &self.ticket, &refusal);
                return peer.map(Way::Peer).ok_or(refusal);
            }
        };
        let peer = gateway.hand_off_instead(now(), &self.ticket, &placed);
        Ok(peer.map_or(Way::Endpoint(placed), Way::Peer))
    }

    /// Hands the request to a peer; returns the peer's answer from an endpoint, a refusal, or nothing if another way
    /// is tried.
    async fn hand_off(
        &mut self,
        peer: SocketAddrV4,
        resume: Option<u64>,
    ) -> Result<Attempt, Option<Refusal>> {
        probe(&self.state, &self.ticket.service);
        let open = match self.state.peer_pool.connect(peer).await {
            Ok(open) => open,
            Err(error) => {
                self.state.metrics.count("handoffs", "unreached");
                tracing::debug!(%peer, %error, "peer not reached");
                let mut gateway = self.state.gateway.borrow_mut();
                gateway.peer_unreached(now(), &mut self.ticket, peer);
                return Err(None);
            }
        };
        if !open.heeds_origins && matches!(self.ticket.origin, Origin::Build(_)) {
            self.ticket.peers.push(peer);
            return Err(None);
        }
        let (guard, outcome, reply, status) = match self.send_to_peer(peer, open, resume).await {
            Ok(attempt) => return Ok(attempt),
            Err(ended) => ended,
        };
        let refused = match &guard.target {
            Target::Peer { report, .. } => report.as_ref().and_then(|r| r.refused),
            Target::Endpoint(_) => None,
        };
        if self.end(guard, outcome, status) == NextStep::Again {
            return Err(None);
        }
        let cause = refused.unwrap_or(outcome.cause());
        let retryable = status.is_none_or(|s| s.is_server_error() || s.as_u16() == 429);
        Err(Some(Refusal {
            retryable: retryable && !self.ticket.may_have_run,
            retry_after: reply.and_then(|r| r.retry_after),
            ..self.given_up(cause)
        }))
    }

    async fn send_to_peer(
        &mut self,
        peer: SocketAddrV4,
        open: PeerConnection,
        resume: Option<u64>,
    ) -> Result<Attempt, HandoffEnd> {
        let PeerConnection {
            mut connection,
            next: position,
            heeds_origins,
        } = open;
        let grant = {
            let gateway = self.state.gateway.borrow();
            gateway.grant(now(), &self.ticket, resume)
        };
        let headers = (self.state.protocol.hand_off)(&self.headers);
        let head = (&self.method, origin_form(&self.uri), headers);
        let request = handoff::request(&self.state, head, &self.body, position, grant);
        let next = Position {
            number: position.number.saturating_add(1),
            ..position
        };
        let target = Target::Peer {
            address: peer,
            next,
            heeds_origins,
            report: None,
        };
        self.received = None;
        let mut guard = AttemptGuard::start(self, target);
        let Some(request) = request else {
            return Err((guard, AttemptOutcome::NotSent, None, None));
        };
        self.log_handed_off(peer);
        let sent = timeout(self.time_left(), connection.send(request)).await;
        let response = match sent {
            Ok(SendOutcome::Head(response)) => response,
            Ok(SendOutcome::Unsent) => return Err((guard, AttemptOutcome::NotSent, None, None)),
            Ok(SendOutcome::ConnectionLost(_)) => {
                return Err((guard, AttemptOutcome::Broken, None, None));
            }
            Err(_) => return Err((guard, AttemptOutcome::Stalled, None, None)),
        };
        let (head, body) = response.into_parts();
        self.received = Some(Received::new(Framing::of(&head, &body)));
        guard.record_report(&head.headers);
        let reply = (self.state.protocol.reply)(&head.headers);
        let status = Some(head.status);
        let is_own = reply.id.as_ref() == Some(&self.incoming_request.id);
        if is_own && reply.sealed && !reply.encoded {
            return Ok(Attempt {
                head,
                reply,
                body,
                connection,
                guard,
            });
        }
        self.drain_rejection(&guard, connection, body, &reply).await;
        // These statuses promise that nothing has run; a peer that doesn't open the message answers 403.
        let not_run = match head.status {
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => false,
            StatusCode::FORBIDDEN | StatusCode::NOT_FOUND => true,
            _ => is_own,
        };
        let outcome = if not_run {
            AttemptOutcome::Rejected
        } else {
            AttemptOutcome::Broken
        };
        Err((guard, outcome, Some(reply), status))
    }

    fn may_send(&self, placed: &Placed) -> bool {
        let gateway = self.state.gateway.borrow();
        gateway.may_send_placed(now(), &self.ticket, placed)
    }

    async fn connect(&mut self, placed: &Placed) -> Result<Connection, NextStep> {
        if let Some(kept) = self.state.pool.take(now(), placed.endpoint) {
            return Ok(kept);
        }
        let address = {
            let gateway = self.state.gateway.borrow();
            gateway.connecting(now(), &mut self.ticket);
            let endpoint = gateway.registry().get(placed.endpoint);
            endpoint.map(|e| e.entry.address)
        };
        let error = match address {
            Some(address) => match Pool::open(address).await {
                Ok(connection) => {
                    self.state.metrics.count("connections", "opened");
                    return Ok(connection);
                }
                Err(error) => (error.to_string(), error.connect_failure()),
            },
            None => (
                "the endpoint is no longer registered".to_owned(),
                ConnectFailure::Unregistered,
            ),
        };
        let (error, failure) = error;
        self.state.metrics.count("connections", "failed");
        let mut gateway = self.state.gateway.borrow_mut();
        let next = gateway.unreached(now(), &mut self.ticket, placed.endpoint);
        if self.state.log.try_admit() {
            let id = text(&self.incoming_request.id);
            let endpoint = endpoint_name(&gateway, placed.endpoint);
            tracing::warn!(event = 612, %id, %endpoint, error, %failure, %next, "endpoint not reached");
        }
        Err(next)
    }

    async fn send(
        &mut self,
        placed: &Placed,
        mut connection: Connection,
        resume: Option<u64>,
    ) -> Result<Attempt, (AttemptGuard, AttemptOutcome, Option<StatusCode>)> {
        if placed.cold {
            self.state.metrics.count("attempts", "cold");
        }
        if let Some(age) = placed.load_age {
            let service = text(&self.ticket.service).into_owned();
            self.state.metrics.time("load_age", &service, age);
        }
        self.stated = None;
        self.slowdown = None;
        self.first = None;
        self.received = None;
        let request = self.request(placed, resume);
        let guard = AttemptGuard::start(self, Target::Endpoint(placed.endpoint));
        self.log_placed(placed, resume.or(self.incoming_request.resume));
        let sent = timeout(
            self.silence_timeout(&guard, false),
            connection.send(request),
        )
        .await;
        let response = match sent {
            Ok(SendOutcome::Head(response)) => response,
            Ok(SendOutcome::Unsent) => return Err((guard, AttemptOutcome::NotSent, None)),
            Ok(SendOutcome::ConnectionLost(error)) => {
                tracing::debug!(id = %text(&self.incoming_request.id), %error, "connection broke before the answer's head");
                return Err((guard, AttemptOutcome::Broken, None));
            }
            Err(_) => return Err((guard, AttemptOutcome::Stalled, None)),
        };
        {
            let mut gateway = self.state.gateway.borrow_mut();
            gateway.heard(now(), placed.endpoint, connection.opened);
        }
        let (head, body) = response.into_parts();
        let framing = Framing::of(&head, &body);
        self.received = Some(Received::new(framing));
        let mut reply = (self.state.protocol.reply)(&head.headers);
        reply.closes |= framing == Framing::Close;
        let status = Some(head.status);
        if let Some(load) = reply.load {
            let mut gateway = self.state.gateway.borrow_mut();
            gateway.record_load(now(), placed.endpoint, load);
            self.stated = Some((load.requests(), placed.limit));
            self.slowdown = load.slowdown;
        }
        if reply.id.as_ref() != Some(&self.incoming_request.id) {
            return Err((guard, AttemptOutcome::Broken, status));
        }
        let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        // A misdirected request was answered by another endpoint than the one that was meant.
        if !misdirected {
            self.record_signals(placed.endpoint, &head, &reply);
        }
        if misdirected || reply.rejected {
            self.drain_rejection(&guard, connection, body, &reply).await;
            let outcome = if misdirected {
                AttemptOutcome::Misdirected
            } else {
                AttemptOutcome::Rejected
            };
            return Err((guard, outcome, status));
        }
        // An answer without the signature field did not come from the endpoint, or is incomplete.
        if !reply.sealed || reply.encoded {
            return Err((guard, AttemptOutcome::Broken, status));
        }
        // A leaving endpoint closes its connection with each answer and few others do, so an answer that
        // keeps the connection open confirms that the endpoint is not leaving.
        if !reply.closes && !reply.leaving {
            let mut gateway = self.state.gateway.borrow_mut();
            gateway.confirm(&self.ticket, placed.endpoint);
        }
        Ok(Attempt {
            head,
            reply,
            body,
            connection,
            guard,
        })
    }

    /// Buffers an attempt's answer until it is complete, and ends the attempt. Returns what follows, and
    /// the caller's answer or how the attempt failed.
    pub(crate) async fn buffer_answer(
        &mut self,
        attempt: Attempt,
    ) -> (NextStep, Result<Response<Body>, AttemptOutcome>) {
        let Attempt {
            head,
            reply,
            body,
            connection,
            guard,
        } = attempt;
        self.record_first(&guard.target);
        let collected = timeout(
            self.time_left(),
            Limited::new(body, MAX_BUFFERED_ANSWER_BYTES).collect(),
        )
        .await;
        match &collected {
            Ok(Ok(_)) => self.record_end(None),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                self.record_end(Some(BodyEnd::Overlong));
            }
            Ok(Err(_)) => self.record_end(Some(BodyEnd::Lost)),
            Err(_) => self.record_end(Some(BodyEnd::Silent)),
        }
        let answer = match collected {
            Ok(Ok(body)) => {
                self.keep_connection(&guard, connection, &reply);
                Ok(self.caller_response(&head, Either::Left(Full::new(body.to_bytes()))))
            }
            Ok(Err(error)) => {
                tracing::debug!(id = %text(&self.incoming_request.id), %error, "body of the answer ended early");
                Err(AttemptOutcome::Broken)
            }
            Err(_) => Err(AttemptOutcome::Stalled),
        };
        let outcome = match &answer {
            Ok(_) if head.status.is_server_error() => AttemptOutcome::Failed,
            Ok(_) => AttemptOutcome::Answered,
            Err(outcome) => *outcome,
        };
        (self.end(guard, outcome, Some(head.status)), answer)
    }

    /// Records that the newest attempt's answer has begun: its first event, or its body.
    fn record_first(&mut self, target: &Target) {
        if self.first.is_some() {
            return;
        }
        if let Target::Endpoint(endpoint) = target {
            let mut gateway = self.state.gateway.borrow_mut();
            gateway.record_begun(now(), &self.ticket, *endpoint);
        }
        let took = now().since(self.ticket.sent);
        self.first = Some(took);
        if let Some(prompt) = &self.incoming_request.prompt {
            let (metrics, length) = (&self.state.metrics, prompt.length().to_string());
            metrics.time("first_event", &length, took);
        }
    }

    /// Records how the body of the newest attempt's answer ended; `None` if the connection reports its end.
    pub(crate) fn record_end(&mut self, end: Option<BodyEnd>) {
        if let Some(received) = &mut self.received
            && received.end.is_none()
        {
            let end = end.unwrap_or_else(|| received.framing.end());
            received.end = Some(end);
            self.state.metrics.count("body_ends", &end.to_string());
        }
    }

    /// Reads the short body of a rejection; keeps the connection if it is complete in time.
    async fn drain_rejection(
        &self,
        guard: &AttemptGuard,
        connection: Connection,
        body: Incoming,
        reply: &ReplyHead,
    ) {
        if let Ok(Ok(_)) = timeout(
            REJECTION_BODY_TIMEOUT,
            Limited::new(body, MAX_BUFFERED_ANSWER_BYTES).collect(),
        )
        .await
        {
            self.keep_connection(guard, connection, reply);
        }
    }

    /// Returns a connection to the pool after a complete answer.
    pub(crate) fn keep_connection(
        &self,
        guard: &AttemptGuard,
        connection: Connection,
        reply: &ReplyHead,
    ) {
        if !reply.closes && !reply.leaving {
            match &guard.target {
                Target::Endpoint(endpoint) => {
                    let pool = &self.state.pool;
                    pool.keep(now(), *endpoint, connection, reply.idle);
                }
                Target::Peer {
                    address,
                    next,
                    heeds_origins,
                    ..
                } => {
                    let open = PeerConnection {
                        connection,
                        next: *next,
                        heeds_origins: *heeds_origins,
                    };
                    self.state.peer_pool.keep(*address, open, reply.idle);
                }
            }
        }
    }

    fn request(&self, placed: &Placed, resume: Option<u64>) -> Request<Full<Bytes>> {
        let gateway = self.state.gateway.borrow();
        let named = gateway.registry().get(placed.endpoint);
        let holder = placed.holder.and_then(|h| gateway.registry().get(h));
        let nobody = Bytes::new();
        let forward = ForwardContext {
            endpoint: named.map_or(&nobody, |e| &e.entry.id),
            workspace: self.ticket.workspace.as_ref().map(|w| &w.name),
            time_left: self.ticket.until.since(now()),
            priority: self.ticket.priority,
            resume,
            generates: self.incoming_request.prompt.is_some(),
            holder: holder.map(|h| h.entry.address),
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = origin_form(&self.uri);
        *request.headers_mut() = (self.state.protocol.forward)(&self.headers, &forward);
        request
    }

    /// Ends an attempt and logs it.
    pub(crate) fn end(
        &mut self,
        guard: AttemptGuard,
        outcome: AttemptOutcome,
        status: Option<StatusCode>,
    ) -> NextStep {
        let of_endpoint = matches!(guard.target, Target::Endpoint(_));
        match outcome {
            AttemptOutcome::Broken if of_endpoint && self.ticket.content.is_none() => {
                self.fingerprint();
            }
            AttemptOutcome::Answered | AttemptOutcome::Failed => self.record_answer(&guard.target),
            _ => {}
        }
        self.identify();
        self.ticket.succeeded = status.is_some_and(|s| s.is_success());
        let target = guard.target.clone();
        let next = guard.end(self, outcome);
        let took = now().since(self.began);
        let service = text(&self.ticket.service).into_owned();
        let endpoint = match target {
            Target::Endpoint(endpoint) => endpoint,
            Target::Peer {
                address, report, ..
            } => {
                self.log_handoff_ended(address, report, outcome, next);
                return next;
            }
        };
        self.state.metrics.count("attempts", &outcome.to_string());
        if self
            .stated
            .is_some_and(|(load, limit)| f64::from(load) > f64::from(limit))
        {
            self.state.metrics.count("overloads", &service);
        }
        if outcome == AttemptOutcome::Answered {
            self.state.metrics.time("answer", &service, took);
        }
        if self.state.log.try_admit() {
            let status = status.map_or(0, |s| s.as_u16());
            let received = self.received.as_ref();
            let gateway = self.state.gateway.borrow();
            tracing::info!(
                event = 611,
                id = %text(&self.incoming_request.id),
                endpoint = %endpoint_name(&gateway, endpoint),
                build = endpoint_build(&gateway, endpoint),
                attempt = self.ticket.tried.len(),
                fate = %outcome,
                status,
                load = self.stated.map(|(load, _)| load),
                slowdown = self.slowdown.map(|s| s.0),
                first = self.first.map(|first| first.0),
                framing = received.map(|r| r.framing.to_string()),
                end = received.and_then(|r| r.end).map(|e| e.to_string()),
                events = received.map(|r| r.events),
                partial = received.map(|r| r.partial),
                took = took.0,
                %next,
                content = self.ticket.content.map(|c| c.to_string()),
                parts = self.ticket.content.and_then(|_| self.shared_parts()),
                "attempt ended"
            );
        }
        next
    }

    /// Lists the hashes of the prompt's shared parts for a log line, in their order.
    fn shared_parts(&self) -> Option<String> {
        let prompt = self.incoming_request.prompt.as_ref()?;
        let hashes = prompt.shared().iter().map(|p| format!("{:016x}", p.id));
        Some(hashes.collect::<Vec<_>>().join(","))
    }

    /// Records that the newest answer is complete, or that only the end of its connection says so.
    fn record_answer(&mut self, target: &Target) {
        let unproved = self
            .received
            .is_some_and(|r| r.end == Some(BodyEnd::Closed));
        self.ticket.unproved = unproved;
        let mut gateway = self.state.gateway.borrow_mut();
        match target {
            Target::Endpoint(endpoint) if unproved => {
                let content = self.content();
                gateway.record_unproved_answer(now(), &self.ticket, *endpoint, &content);
            }
            _ => gateway.record_complete_answer(now(), &self.content()),
        }
    }

    /// Builds the answer that refuses the request.
    pub(crate) fn refuse(&self, refusal: Refusal) -> Response<Body> {
        match refusal.cause {
            Cause::Quarantined => self.log_held(),
            Cause::PartQuarantined => self.log_part_held(),
            _ => {}
        }
        let deadline = Some(self.ticket.deadline);
        let sender = Some(&self.ticket);
        let id = &self.incoming_request.id;
        let mut response = refuse(&self.state, (id, sender), refusal, deadline);
        if self.ticket.from_peer {
            let mut gateway = self.state.gateway.borrow_mut();
            gateway.release_from_peer(&self.ticket);
            let report = gateway.peer_report(&self.ticket, Some(refusal.cause));
            handoff::add_report(response.headers_mut(), &report);
        }
        response
    }

    /// Reports all attempts made so far in an endpoint's answer to a peer.
    pub(crate) fn report_attempts(&self, response: &mut Response<Body>) {
        if self.ticket.from_peer {
            let gateway = self.state.gateway.borrow();
            let report = gateway.peer_report(&self.ticket, None);
            handoff::add_report(response.headers_mut(), &report);
        }
    }

    /// Builds the caller's answer from an endpoint's.
    pub(crate) fn caller_response(
        &self,
        head: &http::response::Parts,
        body: Body,
    ) -> Response<Body> {
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = (self.state.protocol.deliver)(&head.headers);
        response.headers_mut().remove(handoff::REPORT_FIELD);
        self.report_attempts(&mut response);
        response
    }

    fn log_held(&self) {
        let gateway = self.state.gateway.borrow();
        let now = now();
        let verdict = gateway.verdict(now, &self.ticket);
        let (Some(content), Some(verdict), true) =
            (self.ticket.content, verdict, self.state.log.try_admit())
        else {
            return;
        };
        tracing::warn!(
            event = 621,
            id = %text(&self.incoming_request.id),
            %content,
            crashes = describe(&gateway, now, &verdict),
            left = verdict.left.0,
            "request held back"
        );
    }

    fn log_part_held(&self) {
        let gateway = self.state.gateway.borrow();
        let now = now();
        let verdict = gateway.part_verdict(now, &self.ticket);
        let (Some(held), Some(prompt), true) = (
            verdict,
            &self.incoming_request.prompt,
            self.state.log.try_admit(),
        ) else {
            return;
        };
        let place = prompt.parts.iter().position(|p| p.id == held.part);
        tracing::warn!(
            event = 622,
            id = %text(&self.incoming_request.id),
            part = format!("{:016x}", held.part),
            place = place.map(|index| index + 1),
            crashes = describe(&gateway, now, &held.verdict),
            left = held.verdict.left.0,
            "request with a crashing prompt part held back"
        );
    }

    /// Records what an endpoint's answer says of the endpoint itself.
    fn record_signals(
        &self,
        endpoint: EndpointKey,
        head: &http::response::Parts,
        reply: &ReplyHead,
    ) {
        let id = text(&self.incoming_request.id);
        let status = head.status.as_u16();
        let mut gateway = self.state.gateway.borrow_mut();
        // Without the signature field, the answer is not the endpoint's own.
        if reply.leaving && (reply.sealed || reply.rejected) {
            self.state.metrics.count("signals", "leaving");
            let news = gateway.record_signal(now(), &self.ticket, Signal::Leaving);
            if news && self.state.log.try_admit() {
                let endpoint = endpoint_name(&gateway, endpoint);
                tracing::info!(event = 662, %id, %endpoint, status, "endpoint says that it leaves");
            }
        }
        if reply.sealed || reply.rejected {
            let news = gateway.record_brittle(now(), endpoint, reply.brittle);
            if news && self.state.log.try_admit() {
                let service = text(&self.ticket.service);
                let limit = reply.brittle.map_or(-1, i64::from);
                tracing::info!(event = 670, %id, %service, limit, "endpoints may be brittle");
            }
        }
        // With another status the field is about the request, not about the endpoint.
        let unavailable = head.status == StatusCode::SERVICE_UNAVAILABLE;
        if let Some(asked) = reply.retry_after.filter(|_| unavailable) {
            self.state.metrics.count("signals", "back_off");
            let news = gateway.record_signal(now(), &self.ticket, Signal::BackOff(asked));
            if news && self.state.log.try_admit() {
                let endpoint = endpoint_name(&gateway, endpoint);
                let asked = asked.0;
                tracing::info!(event = 663, %id, %endpoint, asked, "endpoint asks for a pause");
            }
        }
    }

    fn log_handed_off(&self, peer: SocketAddrV4) {
        if !self.state.log.try_admit() {
            return;
        }
        let gateway = self.state.gateway.borrow();
        let outage = gateway.reach().outage(&self.ticket.service);
        let unreached = outage.map_or(-1, |o| {
            i64::try_from(now().since(o.since).0).unwrap_or(i64::MAX)
        });
        tracing::info!(
            event = 667,
            id = %text(&self.incoming_request.id),
            service = %text(&self.ticket.service),
            %peer,
            unreached,
            left = self.ticket.until.since(now()).0,
            "handed to a peer"
        );
    }

    fn log_handoff_ended(
        &self,
        peer: SocketAddrV4,
        report: Option<PeerReport>,
        outcome: AttemptOutcome,
        next: NextStep,
    ) {
        self.state.metrics.count("handoffs", &outcome.to_string());
        if !self.state.log.try_admit() {
            return;
        }
        let attempts = report.as_ref().map_or(0, |r| r.tried.len());
        let refused = report.and_then(|r| r.refused).map(|c| c.to_string());
        tracing::info!(
            event = 669,
            id = %text(&self.incoming_request.id),
            %peer,
            fate = %outcome,
            attempts,
            refused,
            end = self.received.and_then(|r| r.end).map(|e| e.to_string()),
            took = now().since(self.began).0,
            %next,
            "hand-off ended"
        );
    }

    fn log_placed(&self, placed: &Placed, resume: Option<u64>) {
        if !self.state.log.try_admit() {
            return;
        }
        let gateway = self.state.gateway.borrow();
        let age = gateway.proof().age(now()).map_or(0, |a| a.0);
        tracing::info!(
            event = 610,
            id = %text(&self.incoming_request.id),
            route = %text(&self.ticket.route.name),
            workspace = self.ticket.workspace.as_ref().map(|w| text(&w.name).into_owned()),
            prompt = self.incoming_request.prompt.as_ref().map(|p| p.input),
            version = self.ticket.version,
            age,
            endpoint = %endpoint_name(&gateway, placed.endpoint),
            build = endpoint_build(&gateway, placed.endpoint),
            after = resume,
            resumes = self.incoming_request.resumes.as_deref().map(|id| text(id).into_owned()),
            load = placed.load,
            load_age = placed.load_age.map(|age| age.0),
            mean = f64::from(placed.mean),
            limit = f64::from(placed.limit),
            rank = placed.rank,
            holder = placed.holder.map(|h| endpoint_name(&gateway, h)),
            cold = placed.cold,
            attempt = self.ticket.tried.len(),
            left = self.ticket.until.since(now()).0,
            "placed"
        );
    }
}

/// Probes an endpoint of a service that is not reached, if it is time for that. No request waits for it.
fn probe(state: &Shared, service: &Bytes) {
    let Some(probe) = state.gateway.borrow_mut().probe(now(), service) else {
        return;
    };
    let state = state.clone();
    tokio::task::spawn_local(async move {
        state.metrics.count("connections", "probed");
        let _ = timeout(PROBE_TIMEOUT, call_health_check(&state, probe)).await;
    });
}

/// Calls an endpoint's health check on a new connection. Any answer shows that the way to it is open.
async fn call_health_check(state: &Shared, probe: Probe) -> Option<()> {
    let mut connection = Pool::open(probe.address).await.ok()?;
    let mut request = Request::new(Full::default());
    *request.uri_mut() = Uri::try_from(probe.health.as_ref()).ok()?;
    let host = HeaderValue::try_from(probe.address.to_string()).ok()?;
    request.headers_mut().insert(header::HOST, host);
    let SendOutcome::Head(response) = connection.send(request).await else {
        return None;
    };
    let opened = connection.opened;
    state
        .gateway
        .borrow_mut()
        .heard(now(), probe.endpoint, opened);
    let reply = (state.protocol.reply)(response.headers());
    let body = Limited::new(response.into_body(), MAX_BUFFERED_ANSWER_BYTES);
    body.collect().await.ok()?;
    if !reply.closes && !reply.leaving {
        let pool = &state.pool;
        pool.keep(now(), probe.endpoint, connection, reply.idle);
    }
    Some(())
}

/// Describes the crashes of a verdict: which endpoints, when, and who saw it.
fn describe(gateway: &Gateway, now: Time, verdict: &Verdict) -> String {
    let seen = |c: &Crash| {
        let endpoint = gateway.registry().life(c.endpoint);
        let name = endpoint.map(|e| text(&e.entry.id).into_owned());
        let name = name.unwrap_or_else(|| format!("{:08x}", c.endpoint.0));
        let by = if c.observed_here { "here" } else { "elsewhere" };
        format!("{name} {} ms ago {by}", now.since(c.at).0)
    };
    let crashes: Vec<String> = verdict.crashes.iter().map(seen).collect();
    crashes.join(", ")
}

fn endpoint_name(gateway: &Gateway, endpoint: EndpointKey) -> String {
    let found = gateway.registry().get(endpoint);
    found.map_or_else(|| "gone".to_owned(), |e| text(&e.entry.id).into_owned())
}

/// Returns the software version of an endpoint; `None` if it is not listed any more.
fn endpoint_build(gateway: &Gateway, endpoint: EndpointKey) -> Option<String> {
    let found = gateway.registry().get(endpoint);
    found.map(|e| text(&e.entry.build).into_owned())
}

/// Returns the URI in origin form, that is, path and query (RFC 9112, section 3.2.1).
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}
