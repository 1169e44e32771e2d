//! An admitted request and its attempts at endpoints: placement, connection, sending and outcome.

use std::{
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    HeaderValue,
    Method,
    Response,
    StatusCode,
    Uri,
    header,
    request::Parts, //
};
use toucanturn_answer::Head;
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Ticket,
        fingerprint::Content,
        handoff::PeerReport,
        incoming_request::IncomingRequest,
        outcome::{
            AttemptOutcome,
            NextStep, //
        },
        place::Placed,
        prefill::Owner,
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
    answer_body::AnswerBody,
    client::Connection,
    exchange::{
        Body,
        Progress,
        refuse, //
    },
    framing::{
        BodyEnd,
        Received, //
    },
    handoff, loads,
    log::text,
    prefill,
    protocol::ReplyHead,
    reads,
    state::{
        Shared,
        duration,
        now, //
    },
    waiting::wait_for_turn,
};

mod endpoint;
mod peer;
mod probe;
pub(crate) mod report;
pub(crate) mod succession;

use endpoint::SendFailure;
use report::{
    endpoint_build,
    endpoint_name, //
};
use succession::Dispatch;

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
    /// What is told if this process ends before the answer begins.
    pub(crate) progress: Rc<Progress>,
    /// Time that is left for asking keepers of prefill backlogs.
    pub(crate) inquiry_left: Duration,
    /// Whether an attempt is under way.
    dispatch: Rc<Dispatch>,
    /// Time that is left for waiting for reads of the registry that tell whether endpoints have restarted.
    read_wait_left: Duration,
}

impl Drop for ProxiedRequest {
    fn drop(&mut self) {
        self.log_cut_off();
        prefill::release(self);
    }
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
    owner: Owner,
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
        proxied.dispatch.begin(&target);
        prefill::send_notes(&proxied.state);
        proxied.progress.may_have_run.set(true);
        Self {
            state: proxied.state.clone(),
            target,
            owner: proxied.ticket.owner,
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
        proxied.dispatch.end();
        let mut gateway = proxied.state.gateway.borrow_mut();
        let ticket = &mut proxied.ticket;
        let next = match &self.target {
            Target::Endpoint(endpoint) => gateway.ended(now(), ticket, *endpoint, outcome),
            Target::Peer {
                address, report, ..
            } => gateway.hand_off_ended(now(), ticket, *address, outcome, report.as_ref()),
        };
        proxied.progress.may_have_run.set(ticket.may_have_run);
        drop(gateway);
        prefill::send_notes(&proxied.state);
        next
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if self.active {
            self.state.metrics.count("attempts", "left");
            let mut gateway = self.state.gateway.borrow_mut();
            match &self.target {
                Target::Endpoint(endpoint) => gateway.caller_left(now(), self.owner, *endpoint),
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
    pub(crate) body: AnswerBody,
    /// Bytes of the body that have been read ahead.
    pub(crate) ahead: Bytes,
    /// Whether these are the whole body.
    pub(crate) whole: bool,
    pub(crate) connection: Connection,
    pub(crate) guard: AttemptGuard,
}

impl Attempt {
    /// Creates an attempt of whose body nothing has been read.
    pub(crate) fn new(
        (head, reply, body): (http::response::Parts, ReplyHead, AnswerBody),
        connection: Connection,
        guard: AttemptGuard,
    ) -> Self {
        Self {
            head,
            reply,
            body,
            ahead: Bytes::new(),
            whole: false,
            connection,
            guard,
        }
    }
}

impl ProxiedRequest {
    /// Creates the state of an admitted request.
    pub(crate) fn new(
        state: Shared,
        (incoming_request, ticket): (IncomingRequest, Ticket),
        (parts, body): (Parts, Bytes),
        began: Time,
    ) -> Self {
        let read_wait_left = duration(reads::pace(&state).late());
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
            progress: Rc::default(),
            inquiry_left: prefill::MAX_INQUIRY_TIME,
            dispatch: Rc::default(),
            read_wait_left,
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
        self.settle_origin().await;
        loop {
            self.identify();
            let inquiry = prefill::inquire(self).await;
            loads::inquire(self).await;
            let placed = match self.choose_way()? {
                Way::Endpoint(placed) => placed,
                Way::Peer(peer) => match self.hand_off(peer, resume).await {
                    Ok(attempt) => return Ok(attempt),
                    Err(None) => continue,
                    Err(Some(refusal)) => return Err(refusal),
                },
            };
            prefill::record_placed(self, inquiry.as_ref(), &placed);
            let connection = match self.connect(&placed).await {
                Ok(connection) => connection,
                Err(NextStep::Again) => continue,
                Err(_) => return Err(self.given_up(Cause::NoEndpoint)),
            };
            if !self.wait_until_sure(&placed, connection.opened).await {
                self.state.metrics.count("attempts", "unsure");
                self.ticket.pass_over(placed.endpoint);
                let pool = &self.state.pool;
                pool.keep(now(), placed.endpoint, connection, None);
                continue;
            }
            if !self.may_send(&placed) {
                self.state.metrics.count("attempts", "overtaken");
                let pool = &self.state.pool;
                pool.keep(now(), placed.endpoint, connection, None);
                continue;
            }
            let (guard, outcome, status) = match self.send(&placed, connection, resume).await {
                Ok(attempt) => return Ok(attempt),
                Err(SendFailure::Ended(guard, outcome, status)) => (guard, outcome, status),
                Err(SendFailure::Refused(refusal)) => return Err(refusal),
            };
            if self.end(guard, outcome, status) != NextStep::Again {
                return Err(self.given_up(outcome.cause()));
            }
        }
    }

    /// Waits until it is known whether the endpoint chosen has restarted with another software version, if the stream is
    /// bound to one; returns whether the request may be sent on a connection that was opened at `opened`.
    async fn wait_until_sure(&mut self, placed: &Placed, opened: Time) -> bool {
        self.ticket.opened = Some(opened);
        if !self.is_sure(placed, opened) {
            self.wait_for_read(opened).await;
        }
        self.is_sure(placed, opened)
    }

    fn is_sure(&self, placed: &Placed, opened: Time) -> bool {
        let gateway = self.state.gateway.borrow();
        gateway.is_sure_of_process(&self.ticket, placed.endpoint, opened)
    }

    /// Decides the origin of a stream that an endpoint has begun that may have restarted before.
    async fn settle_origin(&mut self) {
        let after = self
            .state
            .gateway
            .borrow()
            .settles_after(now(), &self.ticket);
        if let Some(after) = after {
            self.wait_for_read(after).await;
        }
        let gateway = self.state.gateway.borrow();
        gateway.settle_origin(&mut self.ticket);
    }

    /// Waits until the registry has been read after `since`, while the request has time left for that.
    async fn wait_for_read(&mut self, since: Time) {
        let began = now();
        let limit = self.read_wait_left.min(self.time_left());
        reads::wait_for_read(&self.state, since, limit).await;
        let took = duration(now().since(began));
        self.read_wait_left = self.read_wait_left.saturating_sub(took);
    }

    /// Notes that the first event of a stream is about to be delivered.
    pub(crate) fn begin_stream(&mut self, target: &Target) {
        self.record_first(target);
        let begun_by = match target {
            Target::Endpoint(_) => (self.ticket.build, self.ticket.life),
            Target::Peer { report, .. } => {
                let report = report.as_ref();
                let life = report.and_then(|r| r.tried.last()).copied();
                (report.and_then(|r| r.build), life)
            }
        };
        let id = &self.incoming_request.id;
        let mut gateway = self.state.gateway.borrow_mut();
        if gateway.begin_stream(now(), &mut self.ticket, id, begun_by) {
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
        gateway.check_origin(&self.ticket)?;
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

    /// Ends an attempt whose answer is not used, and closes its connection, so that its endpoint stops.
    pub(crate) fn abandon(&mut self, attempt: Attempt, outcome: AttemptOutcome) -> NextStep {
        drop(attempt.connection);
        self.end(attempt.guard, outcome, Some(attempt.head.status))
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
        let headers = response.headers_mut();
        *headers = (self.state.protocol.deliver)(&head.headers);
        headers.remove(handoff::REPORT_FIELD);
        // The body states its length.
        headers.remove(header::CONTENT_LENGTH);
        if let Some(length) = Head::new(&self.method, head).length_without_body() {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
        }
        self.report_attempts(&mut response);
        response
    }
}
