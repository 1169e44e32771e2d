//! Answers to callers: headers, errors in their one JSON shape, and relayed answers.

use std::str::FromStr;

use bytes::Bytes;
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    StatusCode,
    header, //
};
use salvo::Response;
use serde_json::json;
use tokio::sync::mpsc;
use tokio_stream::{
    StreamExt,
    wrappers::ReceiverStream, //
};
use tokio_util::sync::DropGuard;
use toucanturn_core::{
    request::{
        Code,
        Outcome,
        Refusal, //
    },
    units::Millis,
};

use crate::filters::Denial;

/// Header that carries a request's id.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header that carries the outcome.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-outcome");
/// Header that carries the number of attempts.
pub const ATTEMPTS: HeaderName = HeaderName::from_static("x-attempts");
/// Header that carries the placement token.
pub const CHAT: HeaderName = HeaderName::from_static("x-chat");
/// Header that marks a repeated answer.
pub const REPLAYED: HeaderName = HeaderName::from_static("x-replayed");

/// When to come back after a 429 or 503 that doesn't say.
const SOON: Millis = Millis(1000);

/// `Meta` is what every answer carries beside its body.
#[derive(Clone, Debug, Default)]
pub struct Meta {
    /// Attempts made at endpoints.
    pub attempts: u32,
    /// Placement token for the chat's next request.
    pub chat: Option<String>,
    /// Whether this is an earlier answer to the same key.
    pub replayed: bool,
}

/// `Reply` is a final answer on its way to the caller.
#[derive(Debug)]
pub enum Reply {
    /// A whole answer of an endpoint.
    Whole {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: Bytes,
        /// Body.
        body: Bytes,
        /// What became of the action.
        outcome: Outcome,
        /// The rest.
        meta: Meta,
    },
    /// A stream of server-sent events.
    Stream {
        /// Whole events.
        events: mpsc::Receiver<Bytes>,
        /// The rest.
        meta: Meta,
    },
    /// A refusal.
    Refused {
        /// Why.
        refusal: Refusal,
        /// The rest.
        meta: Meta,
    },
}

/// Gets the HTTP status of a refusal.
pub const fn status(code: Code) -> StatusCode {
    match code {
        Code::OverLimit => StatusCode::TOO_MANY_REQUESTS,
        Code::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Code::EndpointFailed | Code::Truncated => StatusCode::BAD_GATEWAY,
        Code::KeyExpired | Code::KeyFuture | Code::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        Code::KeyInProgress => StatusCode::CONFLICT,
        Code::AnswerGone => StatusCode::OK,
        Code::Forbidden => StatusCode::FORBIDDEN,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Writes the JSON of a refusal.
pub fn error_body(
    code: &str,
    message: &str,
    id: &str,
    outcome: Outcome,
    after: Option<Millis>,
) -> Bytes {
    let error = json!({
        "code": code,
        "message": message,
        "outcome": outcome,
        "request_id": id,
        "retry_after_ms": after.map(|m| m.0),
    });
    Bytes::from(json!({ "error": error }).to_string())
}

/// Writes the JSON of a refusal by the decisions.
pub fn refusal_body(refusal: &Refusal, id: &str) -> Bytes {
    let after = come_back(status(refusal.code), refusal.retry_after);
    let message = message(refusal.code);
    error_body(refusal.code.into(), message, id, refusal.outcome, after)
}

/// Gets the text of a refusal: what was found, by the name of the field where there is one.
const fn message(code: Code) -> &'static str {
    match code {
        Code::Draining => "this router is draining",
        Code::NotReady => "this router has no configuration yet",
        Code::OverLimit => "the workspace is over its limit",
        Code::Overloaded => "requests of this priority are turned away for overload",
        Code::Deadline => "x-deadline-ms: the deadline has passed or can't be met",
        Code::NoEndpoint => "no endpoint can take the request",
        Code::EndpointFailed => "every attempt at an endpoint failed",
        Code::Truncated => "the answer broke off",
        Code::HomeUnavailable => "idempotency-key: the router that remembers it can't be reached",
        Code::KeyExpired => "idempotency-key: older than what is remembered",
        Code::KeyFuture => "idempotency-key: its date is in the future",
        Code::KeyReused => "idempotency-key: came before with another method, path or body",
        Code::KeyInProgress => "idempotency-key: its first request is still in progress",
        Code::KeysFull => "idempotency-key: no more keys can be remembered now",
        Code::AnswerGone => "idempotency-key: it ran, and its answer is no longer kept",
        Code::Forbidden => "the workspace or its rights changed while the request waited",
    }
}

/// Gets when to come back. 429 and 503 always say it: a caller that is not told comes at once, or
/// never.
fn come_back(status: StatusCode, after: Option<Millis>) -> Option<Millis> {
    let soon = match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Some(SOON),
        _ => None,
    };
    // Never zero: the header's least is a second, and the body must not say "at once".
    after.or(soon).map(|after| after.max(Millis(1)))
}

fn text(value: &str) -> HeaderValue {
    HeaderValue::from_str(value).unwrap_or(HeaderValue::from_static(""))
}

fn common(res: &mut Response, id: &str, meta: &Meta) {
    let headers = res.headers_mut();
    headers.insert(REQUEST_ID, text(id));
    headers.insert(ATTEMPTS, HeaderValue::from(meta.attempts));
    if let Some(chat) = &meta.chat {
        headers.insert(CHAT, text(chat));
    }
    if meta.replayed {
        headers.insert(REPLAYED, HeaderValue::from_static("true"));
    }
}

/// Puts an error that the filter chain found into the response. Nothing was run.
pub(crate) fn reject(res: &mut Response, id: &str, outcome: Outcome, denial: &Denial) {
    common(res, id, &Meta::default());
    res.headers_mut()
        .insert(OUTCOME, text(&outcome.to_string()));
    res.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if let Some(method) = denial.allow {
        let value = HeaderValue::from_static(method);
        res.headers_mut().insert(header::ALLOW, value);
    }
    let status = StatusCode::from_u16(denial.status).unwrap_or_default();
    let after = come_back(status, denial.retry_after);
    retry_after(res, after);
    res.status_code(status);
    let Denial { code, message, .. } = denial;
    res.body(error_body(code, message, id, outcome, after));
}

/// Puts an answer of the router's own into the response.
pub(crate) fn own(res: &mut Response, id: &str, body: &serde_json::Value) {
    common(res, id, &Meta::default());
    res.headers_mut()
        .insert(OUTCOME, HeaderValue::from_static("done"));
    res.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    res.status_code(StatusCode::OK);
    res.body(body.to_string());
}

/// Says when to come back, in whole seconds, rounded up (RFC 9110, section 10.2.3).
fn retry_after(res: &mut Response, after: Option<Millis>) {
    if let Some(after) = after {
        let secs = after.0.div_ceil(1000).max(1);
        res.headers_mut()
            .insert(header::RETRY_AFTER, HeaderValue::from(secs));
    }
}

/// Puts a final answer into the response.
pub fn write(res: &mut Response, id: &str, reply: Reply, guard: DropGuard) {
    match reply {
        Reply::Whole {
            status,
            content_type,
            body,
            outcome,
            meta,
        } => {
            common(res, id, &meta);
            res.headers_mut()
                .insert(OUTCOME, text(&outcome.to_string()));
            if let Ok(value) = HeaderValue::from_bytes(&content_type) {
                res.headers_mut().insert(header::CONTENT_TYPE, value);
            }
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            retry_after(res, come_back(status, None));
            res.status_code(status);
            res.body(body);
        }
        Reply::Stream { events, meta } => {
            common(res, id, &meta);
            let kind = HeaderValue::from_static("text/event-stream");
            res.headers_mut().insert(header::CONTENT_TYPE, kind);
            res.headers_mut()
                .insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
            res.status_code(StatusCode::OK);
            // The guard goes with the stream: when the caller goes away, the request's task hears.
            let events = ReceiverStream::new(events).map(move |event| {
                let _ = &guard;
                Ok::<_, std::io::Error>(event)
            });
            res.stream(events);
        }
        Reply::Refused { refusal, meta } => {
            common(res, id, &meta);
            res.headers_mut()
                .insert(OUTCOME, text(&refusal.outcome.to_string()));
            let kind = HeaderValue::from_static("application/json");
            res.headers_mut().insert(header::CONTENT_TYPE, kind);
            let status = status(refusal.code);
            retry_after(res, come_back(status, refusal.retry_after));
            res.status_code(status);
            res.body(refusal_body(&refusal, id));
        }
    }
}

/// Tells whether an endpoint's header says `true`.
pub(crate) fn flag(headers: &HeaderMap, name: &str) -> bool {
    headers.get(name).is_some_and(|v| v.as_bytes() == b"true")
}

/// Reads a number out of an endpoint's header.
pub(crate) fn number<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
