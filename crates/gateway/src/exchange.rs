//! A caller's request from its first byte to its answer: read, admitted, forwarded or refused.

use std::{
    cell::{
        Cell,
        OnceCell, //
    },
    convert::Infallible,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    Request,
    Response,
    header,
    request::Parts, //
};
use http_body_util::{
    Either,
    Full,
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
    gateway::{
        Ticket,
        incoming_request::IncomingRequest,
        outcome::NextStep,
        refusal::{
            Cause,
            Refusal, //
        },
        retry_delay,
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::{
    head_timeout::ConnectionProgress,
    log::text,
    memory::{
        self,
        CollectError, //
    },
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

/// Longest answer that is buffered until it is complete; a longer one counts as broken.
pub(crate) const MAX_BUFFERED_ANSWER_BYTES: usize = 8 << 20;

/// Seconds for which a caller may reuse its connection after an answer. Idle connections hold memory: if each is
/// kept for as long as a configuration allows, they make up most of a router's memory at its peak.
pub(crate) const KEEP_ALIVE_S: u64 = 3;
/// [`KEEP_ALIVE_S`] as the value of the `Keep-Alive` header field.
const KEEP_ALIVE_VALUE: &str = "timeout=3";
const KEEP_ALIVE_HEADER: HeaderName = HeaderName::from_static("keep-alive");

/// `BodyAborted` ends the body of an answer that can't be completed.
#[derive(Debug, Snafu)]
#[snafu(display("the endpoint's answer ended early and could not be resumed"))]
pub struct BodyAborted;

/// `Body` is the body of an answer to a caller.
pub type Body =
    Either<Full<Bytes>, StreamBody<LocalBoxStream<'static, Result<Frame<Bytes>, BodyAborted>>>>;

/// `Progress` is what is known of a request before its answer begins.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Its ID, once it is read.
    id: OnceCell<Bytes>,
    /// Whether an endpoint may have run it.
    pub(crate) may_have_run: Cell<bool>,
}

/// Serves a request. If the process ends before the answer begins, the request's attempt is ended, and the caller is told
/// whether it may have run.
pub(crate) async fn serve(
    state: Shared,
    request: Request<Incoming>,
    connection: Rc<ConnectionProgress>,
) -> Result<Response<Body>, Infallible> {
    let progress = Rc::<Progress>::default();
    let mut response = tokio::select! {
        biased;
        response = answer(&state, request, (&progress, &connection)) => response,
        () = state.wait_for_end() => {
            let refusal = Refusal::given_up(Cause::Stopping, progress.may_have_run.get());
            let id = progress.id.get().cloned().unwrap_or_default();
            refuse(&state, (&id, None), refusal, None)
        }
    };
    keep_alive(&state, response.headers_mut());
    Ok(response)
}

async fn answer(
    state: &Shared,
    request: Request<Incoming>,
    (progress, connection): (&Rc<Progress>, &ConnectionProgress),
) -> Response<Body> {
    let began = now();
    let (parts, body) = request.into_parts();
    let read = read(state, &parts, body, (began, progress)).await;
    connection.end_request();
    match read {
        Ok((incoming_request, body)) => {
            admit_and_answer(state, incoming_request, (parts, body), began, progress).await
        }
        Err((id, refusal)) => refuse(state, (&id, None), refusal, None),
    }
}

/// Tells the sender of a request for how long it may reuse its connection.
pub(crate) fn keep_alive(state: &State, headers: &mut HeaderMap) {
    if state.phase() >= Phase::Stopping {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    } else if keep_alive_allowed(state) {
        headers.insert(
            KEEP_ALIVE_HEADER,
            HeaderValue::from_static(KEEP_ALIVE_VALUE),
        );
    }
}

/// Returns whether callers may be offered [`KEEP_ALIVE_S`]: the published limit for idle connections may be
/// shorter.
fn keep_alive_allowed(state: &State) -> bool {
    let gateway = state.gateway.borrow();
    let limits = gateway.catalog().map(|c| c.limits);
    limits.is_some_and(|limits| limits.idle.0 > KEEP_ALIVE_S * 1000)
}

pub(crate) async fn read(
    state: &Shared,
    parts: &Parts,
    mut body: Incoming,
    (began, progress): (Time, &Progress),
) -> Result<(IncomingRequest, Bytes), (Bytes, Refusal)> {
    let no_id = Bytes::new();
    let incoming_request = (state.protocol.parse_request)(parts).map_err(|why| {
        if state.log.try_admit() {
            tracing::warn!(event = 601, why, "request is malformed");
        }
        (no_id, Refusal::permanent(Cause::Malformed))
    })?;
    progress.id.get_or_init(|| incoming_request.id.clone());
    let limits = state.limits();
    // Refuses a body whose declared length exceeds the limit without reading it.
    if body.size_hint().lower() > u64::try_from(limits.body).unwrap_or(u64::MAX) {
        return Err((incoming_request.id, Refusal::permanent(Cause::TooLarge)));
    }
    let body_timeout = incoming_request
        .deadline
        .unwrap_or(limits.idle)
        .min(limits.idle);
    let body_timeout = Duration::from_millis(body_timeout.0);
    let mut part = Bytes::new();
    if memory::may_count(&body) {
        part = workspace_name(state, &incoming_request);
        let refused = state
            .gateway
            .borrow()
            .refusal_of_head(now(), &incoming_request);
        if let Some(refusal) = refused {
            // A connection that is closed with unread bytes is reset, and the caller may lose the answer.
            let _ = timeout(body_timeout, memory::discard(&mut body, limits.body)).await;
            return Err((incoming_request.id, refusal));
        }
    }
    let held = state.memory.requests.reservation(&part);
    let collected = timeout(body_timeout, memory::collect(&mut body, limits.body, held));
    match collected.await {
        Ok(Ok(body)) => Ok((incoming_request, body)),
        Ok(Err(CollectError::Overlong)) => {
            Err((incoming_request.id, Refusal::permanent(Cause::TooLarge)))
        }
        Ok(Err(CollectError::NoRoom)) => {
            state.metrics.count("buffers_full", "request");
            if state.log.try_admit() {
                let id = text(&incoming_request.id);
                let workspace = text(&part);
                let buffered = state.memory.requests.held();
                tracing::warn!(event = 616, %id, %workspace, buffered, "request ended for want of memory");
            }
            Err((incoming_request.id, Refusal::temporary(Cause::NoMemory)))
        }
        Ok(Err(error)) => {
            if state.log.try_admit() {
                let id = text(&incoming_request.id);
                tracing::warn!(event = 602, %id, %error, "request's body broke off");
            }
            Err((incoming_request.id, Refusal::permanent(Cause::Malformed)))
        }
        Err(_) => {
            let waited = now().since(began).0;
            if state.log.try_admit() {
                let id = text(&incoming_request.id);
                tracing::warn!(event = 603, %id, waited, "request's body is slow");
            }
            Err((incoming_request.id, Refusal::permanent(Cause::TooSlow)))
        }
    }
}

/// Returns the name of the workspace that sends a request; it is empty if none holds its key.
fn workspace_name(state: &State, incoming_request: &IncomingRequest) -> Bytes {
    let gateway = state.gateway.borrow();
    let key = incoming_request.key.as_ref();
    let workspace = gateway
        .catalog()
        .zip(key)
        .and_then(|(c, key)| c.holder(key));
    workspace.map(|w| w.name.clone()).unwrap_or_default()
}

/// Tells whether a router sent a request here because an entry of another writer names an endpoint at this address. It
/// would be sent on, possibly to this address again.
fn is_own_request(state: &State, incoming_request: &IncomingRequest) -> bool {
    let addressee = incoming_request.addressee.as_ref();
    addressee.is_some_and(|id| {
        let gateway = state.gateway.borrow();
        gateway.registry().lists_at(id, state.callers)
    })
}

async fn admit_and_answer(
    state: &Shared,
    mut incoming_request: IncomingRequest,
    content: (Parts, Bytes),
    began: Time,
    progress: &Rc<Progress>,
) -> Response<Body> {
    if is_own_request(state, &incoming_request) {
        let refusal = Refusal::permanent(Cause::Misdirected);
        return refuse(state, (&incoming_request.id, None), refusal, None);
    }
    state.wait_for_first_read().await;
    // Takes the time again: the configuration may have become stale while the body arrived.
    let now = now();
    incoming_request.waited = now.since(began);
    let admitted = state.gateway.borrow_mut().admit(now, &incoming_request);
    let mut ticket = match admitted {
        Ok(ticket) => ticket,
        Err(refusal) => {
            return refuse(
                state,
                (&incoming_request.id, None),
                refusal,
                incoming_request.deadline.map(|d| began + d),
            );
        }
    };
    streams::find_origin(state, &mut ticket, &incoming_request).await;
    let mut proxied =
        ProxiedRequest::new(state.clone(), (incoming_request, ticket), content, began);
    proxied.progress = Rc::clone(progress);
    if proxied.ticket.route.kind.streams() {
        relay::answer(proxied, None).await
    } else {
        answer_buffered(proxied).await
    }
}

/// Answers a request whose answer is buffered until it is complete, so that an attempt whose answer ends
/// early can be repeated.
pub(crate) async fn answer_buffered(mut proxied: ProxiedRequest) -> Response<Body> {
    let mut failure = None;
    let refusal = loop {
        let attempt = match proxied.start(None).await {
            Ok(attempt) => attempt,
            Err(refusal) => break refusal,
        };
        match proxied.buffer_answer(attempt).await {
            (NextStep::Again, answer) => failure = answer.ok().or(failure),
            (_, Ok(response)) => return response,
            (_, Err(outcome)) => break proxied.given_up(outcome.cause()),
        }
    };
    let Some(mut failed) = failure else {
        return proxied.refuse(refusal);
    };
    // Attempts have been made since this answer came.
    proxied.report_attempts(&mut failed);
    failed
}

/// Builds the answer to a refused request and logs the refusal. The answer says when to retry, if the refusal
/// allows that. The ticket is that of an admitted request.
pub(crate) fn refuse(
    state: &Shared,
    (id, ticket): (&Bytes, Option<&Ticket>),
    refusal: Refusal,
    deadline: Option<Time>,
) -> Response<Body> {
    let now = now();
    let draw = xxhash_rust::xxh3::xxh3_64(id);
    let until = deadline.unwrap_or(now + DEFAULT_DEADLINE);
    let soon = || retry_delay(now, until, draw);
    let wait = refusal
        .retryable
        .then(|| refusal.retry_after.unwrap_or_else(soon));
    state.metrics.count("refusals", &refusal.cause.to_string());
    if state.log.try_admit() {
        let gateway = state.gateway.borrow();
        tracing::warn!(
            event = 620,
            id = %text(id),
            cause = %refusal.cause,
            route = ticket.map(|t| text(&t.route.name).into_owned()),
            workspace = ticket
                .and_then(|t| t.workspace.as_ref())
                .map(|w| text(&w.name).into_owned()),
            may_have_run = refusal.may_have_run,
            version = gateway.catalog().map_or(0, |c| c.version),
            age = gateway.proof().age(now).map_or(-1, |a| i64::try_from(a.0).unwrap_or(i64::MAX)),
            endpoints = gateway.registry().len(),
            wait = wait.map_or(0, |w| w.0),
            "request refused"
        );
    }
    let response = (state.protocol.refuse)(&refusal, id, wait);
    response.map(|body| Either::Left(Full::new(body)))
}

/// Time for which a caller is assumed to wait if its request states no deadline.
const DEFAULT_DEADLINE: Millis = Millis(3000);
