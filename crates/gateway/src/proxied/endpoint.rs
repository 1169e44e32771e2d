//! The exchange with an endpoint: connection, request, and the head and body of its answer.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::FutureExt as _;
use http::{
    HeaderMap,
    Request,
    Response,
    StatusCode,
    Uri, //
};
use http_body_util::{
    Either,
    Full, //
};
use hyper::body::Incoming;
use tokio::time::timeout;
use toucanturn_answer::{
    Fault,
    Framing, //
};
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        endpoint::Signal,
        outcome::{
            AttemptOutcome,
            NextStep, //
        },
        place::Placed,
        refusal::Refusal,
    },
};

use crate::{
    answer_body::AnswerBody,
    client::{
        ConnectFailure,
        Connection,
        SendOutcome, //
    },
    exchange::{
        Body,
        MAX_BUFFERED_ANSWER_BYTES, //
    },
    framing::{
        BodyEnd,
        Received, //
    },
    handoff::PeerConnection,
    loads,
    log::text,
    memory::{
        self,
        CollectError, //
    },
    pool::{
        self,
        open, //
    },
    prefill,
    protocol::{
        ForwardContext,
        ReplyHead,
        Signature, //
    },
    proxied::{
        Attempt, AttemptGuard, ProxiedRequest, Target,
        report::endpoint_name,
        succession::{
            Present,
            Succession, //
        },
    },
    state::{
        duration,
        now, //
    },
};

/// Longest wait for the body of an answer that states that nothing ran. The connection is kept for
/// reuse if the body is complete by then.
const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// `SendFailure` is why a request that was sent to an endpoint has no answer of it.
pub(super) enum SendFailure {
    /// The attempt has ended.
    Ended(AttemptGuard, AttemptOutcome, Option<StatusCode>),
    /// It was given up for another one, which failed.
    Refused(Refusal),
}

/// The connection that a request was sent on, and the outcome of sending it.
type HeadExchange = (Connection, SendOutcome);

/// `Head` is the head of an answer.
enum Head {
    /// The endpoint's.
    Arrived((Response<Incoming>, Framing), Connection, AttemptGuard),
    /// That of another attempt, which has taken over.
    Replaced(Attempt),
}

async fn exchange_head(mut connection: Connection, request: Request<Full<Bytes>>) -> HeadExchange {
    let judge = Framing::with_unannounced_end;
    let outcome = connection.send_judged(request, judge).await;
    (connection, outcome)
}

/// Returns how an attempt ended, if what came of its endpoint is a failure or a rejection.
fn failure_of(outcome: &SendOutcome, reply: fn(&HeaderMap) -> ReplyHead) -> Option<AttemptOutcome> {
    let response = match outcome {
        SendOutcome::Head(response, _) => response,
        SendOutcome::Unsent => return Some(AttemptOutcome::NotSent),
        SendOutcome::ConnectionLost(_) | SendOutcome::Malformed(_) => {
            return Some(AttemptOutcome::Broken);
        }
    };
    let status = response.status();
    if reply(response.headers()).rejected {
        Some(AttemptOutcome::Rejected)
    } else if status == StatusCode::MISDIRECTED_REQUEST {
        Some(AttemptOutcome::Misdirected)
    } else {
        status.is_server_error().then_some(AttemptOutcome::Failed)
    }
}

impl ProxiedRequest {
    pub(super) fn may_send(&self, placed: &Placed) -> bool {
        let gateway = self.state.gateway.borrow();
        gateway.may_send_placed(now(), &self.ticket, placed)
    }

    pub(super) async fn connect(&mut self, placed: &Placed) -> Result<Connection, NextStep> {
        let kept = self.state.pool.take(now(), placed.endpoint);
        pool::note_lost(&self.state);
        if let Some(kept) = kept {
            return Ok(kept);
        }
        let address = {
            let gateway = self.state.gateway.borrow();
            gateway.connecting(now(), &mut self.ticket);
            let endpoint = gateway.registry().get(placed.endpoint);
            endpoint.map(|e| e.entry.address)
        };
        let error = match address {
            Some(address) => match open(&self.state, (placed.endpoint, address)).await {
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

    pub(super) async fn send(
        &mut self,
        placed: &Placed,
        connection: Connection,
        resume: Option<u64>,
    ) -> Result<Attempt, SendFailure> {
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
        if let (Some(_), Some(prompt)) = (placed.passed_wait, &self.incoming_request.prompt) {
            let (metrics, length) = (&self.state.metrics, prompt.length().to_string());
            metrics.count("passed_waits", &length);
        }
        let progress = exchange_head(connection, request).boxed_local();
        let sent = Present {
            progress,
            guard,
            status: None,
        };
        match self.await_head(sent, resume).await? {
            Head::Arrived(response, connection, guard) => {
                self.accept_head(placed, response, (connection, guard))
                    .await
            }
            Head::Replaced(attempt) => Ok(attempt),
        }
    }

    /// Waits for the head of the answer. While the endpoint keeps silent, another one may take over.
    async fn await_head(
        &mut self,
        mut sent: Present<HeadExchange>,
        resume: Option<u64>,
    ) -> Result<Head, SendFailure> {
        let mut notice = self.state.gateway.borrow().silence_notice(&self.ticket);
        let ((connection, outcome), guard) = loop {
            let limit = self.silence_timeout(&sent.guard, false);
            let until_notice = notice.map_or(Duration::MAX, duration);
            if let Ok(exchanged) = timeout(limit.min(until_notice), &mut sent.progress).await {
                break (exchanged, sent.guard);
            }
            if notice.take().is_some() && until_notice < limit {
                self.note_silence(&sent.guard);
                continue;
            }
            if self.time_left() == Duration::ZERO {
                drop(sent.progress);
                return Err(SendFailure::Ended(
                    sent.guard,
                    AttemptOutcome::Stalled,
                    None,
                ));
            }
            let reply = self.state.protocol.reply;
            let failure = |(_, outcome): &HeadExchange| failure_of(outcome, reply);
            match self.succeed(sent, resume, failure).await {
                Succession::Heard(exchanged, guard) => break (exchanged, guard),
                Succession::Kept(present) => sent = present,
                Succession::Replaced(attempt) => return Ok(Head::Replaced(*attempt)),
                Succession::Failed(refusal) => return Err(SendFailure::Refused(refusal)),
            }
        };
        match outcome {
            SendOutcome::Head(response, framing) => {
                Ok(Head::Arrived((response, framing), connection, guard))
            }
            SendOutcome::Malformed(fault) => {
                self.record_malformed(fault);
                Err(SendFailure::Ended(guard, AttemptOutcome::Broken, None))
            }
            SendOutcome::Unsent => Err(SendFailure::Ended(guard, AttemptOutcome::NotSent, None)),
            SendOutcome::ConnectionLost(error) => {
                tracing::debug!(id = %text(&self.incoming_request.id), %error, "connection broke before the answer's head");
                Err(SendFailure::Ended(guard, AttemptOutcome::Broken, None))
            }
        }
    }

    /// Judges the head of an endpoint's answer.
    async fn accept_head(
        &mut self,
        placed: &Placed,
        (response, framing): (Response<Incoming>, Framing),
        (connection, guard): (Connection, AttemptGuard),
    ) -> Result<Attempt, SendFailure> {
        {
            let mut gateway = self.state.gateway.borrow_mut();
            gateway.heard(now(), placed.endpoint, connection.opened);
        }
        let (head, body) = response.into_parts();
        self.received = Some(Received::new(framing));
        let mut reply = (self.state.protocol.reply)(&head.headers);
        reply.closes |= framing.ends_connection();
        let status = Some(head.status);
        if let Some(load) = reply.load {
            let mut gateway = self.state.gateway.borrow_mut();
            gateway.record_load(now(), placed.endpoint, load);
            drop(gateway);
            loads::send_notes(&self.state);
            self.stated = Some((load.requests(), placed.limit));
            self.slowdown = load.slowdown;
        }
        if reply.id.as_ref() != Some(&self.incoming_request.id) {
            return Err(SendFailure::Ended(guard, AttemptOutcome::Broken, status));
        }
        // With the signature field alone it is an answer of an endpoint that ran the request.
        let unsigned = reply.signature == Signature::Absent;
        let misdirected =
            head.status == StatusCode::MISDIRECTED_REQUEST && (reply.rejected || unsigned);
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
            return Err(SendFailure::Ended(guard, outcome, status));
        }
        // An answer without a signature did not come from the endpoint, or is incomplete.
        if !reply.is_endpoints_own() {
            return Err(SendFailure::Ended(guard, AttemptOutcome::Broken, status));
        }
        // A leaving endpoint closes its connection with each answer and few others do, so an answer that
        // keeps the connection open confirms that the endpoint is not leaving.
        if !reply.closes && !reply.leaving {
            let mut gateway = self.state.gateway.borrow_mut();
            gateway.confirm(&self.ticket, placed.endpoint);
        }
        // The silence of a stream is judged where it is forwarded.
        let is_stream = self.ticket.route.kind.streams() && head.status.is_success();
        let patience = (!is_stream).then(|| self.silence_timeout(&guard, false));
        let body = AnswerBody::new(body, framing, patience);
        Ok(Attempt::new((head, reply, body), connection, guard))
    }

    /// Buffers an attempt's answer until it is complete, and ends the attempt. Returns what follows, and
    /// the caller's answer or how the attempt failed.
    pub(crate) async fn buffer_answer(
        &mut self,
        mut attempt: Attempt,
    ) -> (NextStep, Result<Response<Body>, AttemptOutcome>) {
        let collected = self.collect(&mut attempt).await;
        let Attempt {
            head,
            reply,
            ahead,
            connection,
            guard,
            ..
        } = attempt;
        let answer = match collected {
            Ok(()) if self.would_mislead(head.status) => {
                self.keep_connection(&guard, connection, &reply);
                Err(AttemptOutcome::Failed)
            }
            Ok(()) => {
                self.keep_connection(&guard, connection, &reply);
                Ok(self.caller_response(&head, Either::Left(Full::new(ahead))))
            }
            Err(outcome) => Err(outcome),
        };
        let outcome = match &answer {
            Ok(_) if head.status.is_server_error() => AttemptOutcome::Failed,
            Ok(_) => AttemptOutcome::Answered,
            Err(outcome) => *outcome,
        };
        (self.end(guard, outcome, Some(head.status)), answer)
    }

    /// Reads the whole body of an attempt's answer.
    pub(super) async fn collect(&mut self, attempt: &mut Attempt) -> Result<(), AttemptOutcome> {
        if attempt.whole {
            return Ok(());
        }
        self.record_first(&attempt.guard.target);
        let held = self.reservation();
        let collected = timeout(
            self.time_left(),
            memory::collect(&mut attempt.body, MAX_BUFFERED_ANSWER_BYTES, held),
        )
        .await;
        let error = match collected {
            Ok(Ok(rest)) => {
                self.record_end(None);
                attempt.ahead = match attempt.ahead.is_empty() {
                    true => rest,
                    false => [std::mem::take(&mut attempt.ahead), rest].concat().into(),
                };
                attempt.whole = true;
                return Ok(());
            }
            Ok(Err(error)) => error,
            Err(_) => {
                self.record_end(Some(BodyEnd::Silent));
                return Err(AttemptOutcome::Stalled);
            }
        };
        tracing::debug!(id = %text(&self.incoming_request.id), %error, "body of the answer ended early");
        match error {
            CollectError::Overlong => self.record_end(Some(BodyEnd::Overlong)),
            CollectError::NoRoom => {
                self.record_end(Some(BodyEnd::Overlong));
                self.log_no_memory(&attempt.guard.target);
            }
            CollectError::Lost { .. } => self.record_end(Some(BodyEnd::Lost)),
        }
        Err(AttemptOutcome::Broken)
    }

    /// Tells whether an answer with this status would promise that a request that must not run twice
    /// has not run. An endpoint states that otherwise; with its status alone, it may have run the
    /// request.
    fn would_mislead(&self, status: StatusCode) -> bool {
        !self.ticket.route.kind.repeatable() && (self.state.protocol.promises_not_run)(status)
    }

    /// Records that the newest attempt's answer has begun: its first event, or its body.
    pub(super) fn record_first(&mut self, target: &Target) {
        if self.first.is_some() {
            return;
        }
        if let Target::Endpoint(endpoint) = target {
            let mut gateway = self.state.gateway.borrow_mut();
            gateway.record_begun(now(), &self.ticket, *endpoint);
            drop(gateway);
            prefill::send_notes(&self.state);
        }
        let took = now().since(self.ticket.sent);
        self.first = Some(took);
        if let Some(prompt) = &self.incoming_request.prompt {
            let (metrics, length) = (&self.state.metrics, prompt.length().to_string());
            metrics.time("first_event", &length, took);
        }
    }

    /// Records that what came instead of an answer's head is none.
    pub(super) fn record_malformed(&self, fault: Fault) {
        self.state.metrics.count("malformed_answers", fault.into());
        tracing::debug!(id = %text(&self.incoming_request.id), %fault, "malformed answer");
    }

    /// Records how the body of the newest attempt's answer ended; `None` if the connection reports its end.
    pub(crate) fn record_end(&mut self, end: Option<BodyEnd>) {
        if let Some(received) = &mut self.received
            && received.end.is_none()
        {
            let end = end.unwrap_or_else(|| received.framing.into());
            received.end = Some(end);
            self.state.metrics.count("body_ends", &end.to_string());
        }
    }

    /// Reads the short body of a rejection; keeps the connection if it is complete in time.
    pub(super) async fn drain_rejection(
        &self,
        guard: &AttemptGuard,
        connection: Connection,
        mut body: Incoming,
        reply: &ReplyHead,
    ) {
        let held = self.reservation();
        if let Ok(Ok(_)) = timeout(
            REJECTION_BODY_TIMEOUT,
            memory::collect(&mut body, MAX_BUFFERED_ANSWER_BYTES, held),
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
        // Without the signature, the answer is not the endpoint's own.
        let signed = reply.signature == Signature::Present;
        if reply.leaving && (signed || reply.rejected) {
            self.state.metrics.count("signals", "leaving");
            let news = gateway.record_signal(now(), &self.ticket, Signal::Leaving);
            if news && self.state.log.try_admit() {
                let endpoint = endpoint_name(&gateway, endpoint);
                tracing::info!(event = 662, %id, %endpoint, status, "endpoint says that it leaves");
            }
        }
        if signed || reply.rejected {
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
}

/// Returns the URI in origin form, that is, path and query (RFC 9112, section 3.2.1).
pub(super) fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}
