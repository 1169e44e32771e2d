//! One attempt at an endpoint: the request out, the answer's head, and its body whole or as events.

use std::time::Duration;

use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::StreamExt;
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue, //
};
use reqwest::Response;
use serde::de::IgnoredAny;
use tokio::{
    sync::mpsc,
    time::timeout, //
};
use toucanturn_answer::Framing;
use toucanturn_core::{
    event::Event,
    request::{
        self,
        Answer,
        End,
        Prefix, //
    },
    units::Incarnation,
};

use super::{
    Dispatch,
    Exchange,
    Shape,
    Task, //
};
use crate::{
    answers::{
        self,
        Reply, //
    },
    clock,
    endpoints::{
        Failure,
        Outgoing, //
    },
    metrics::Name,
    relay::Scanner,
};

/// Largest whole answer in bytes; a longer one is broken off.
const MAX_ANSWER: usize = 8 << 20;

/// Events on their way to a caller; a slow caller holds its own stream back.
const RELAY_QUEUE: usize = 16;

impl Task {
    /// Makes one attempt and reports its end.
    pub(super) async fn attempt(&mut self, dispatch: Dispatch) {
        self.meta.attempts = dispatch.attempt.0;
        if self.meta.attempts > 1 {
            self.driver.metrics.count(Name::Retries, 1);
        }
        if let Some(token) = dispatch.token {
            let prefix = prefix(&self.exchange).unwrap_or_default();
            let text = self
                .driver
                .tokens
                .sign(self.exchange.workspace, prefix, token);
            self.meta.chat = Some(text);
        }
        let once = matches!(self.exchange.request.work, request::Work::Once { .. });
        let left = Duration::from_millis(dispatch.deadline.since(clock::now().mono).0);
        let gone = self.gone.clone();
        let end = tokio::select! {
            end = timeout(left, self.send(&dispatch)) => end.ok(),
            // A call that runs once goes on without its caller: the repeat wants the answer.
            () = gone.cancelled(), if !once => Some(End::Cancelled),
        };
        let end = end.unwrap_or(End::Broken {
            relayed: self.stream.is_some(),
        });
        // Of a caller that went away the node hears by `Event::Gone`.
        if end != End::Cancelled {
            self.feed(Event::Ended {
                call: self.call,
                attempt: dispatch.attempt,
                end,
            });
        }
    }

    async fn send(&mut self, dispatch: &Dispatch) -> End {
        let once = matches!(self.exchange.request.work, request::Work::Once { .. });
        let outgoing = self.outgoing(dispatch);
        let endpoints = &self.driver.endpoints;
        let (endpoint, not_after) = (&dispatch.endpoint, dispatch.not_after);
        let sending = async {
            if once {
                let in_time = || not_after.is_none_or(|end| clock::now().mono < end);
                endpoints.send_once(endpoint, outgoing, in_time).await
            } else {
                endpoints.send(endpoint, outgoing).await
            }
        };
        let idle = Duration::from_millis(dispatch.idle.0);
        // A whole answer shows no progress before its head; only the deadline bounds it.
        let head = match self.exchange.shape {
            Shape::Stream => timeout(idle, sending)
                .await
                .unwrap_or(Err(Failure::MaybeSent)),
            Shape::Whole => sending.await,
        };
        let (response, framing) = match head {
            Ok(answered) => answered,
            Err(Failure::NotSent) => return End::NotSent { leaving: false },
            Err(Failure::MaybeSent) => return End::Broken { relayed: false },
        };
        self.note_head(dispatch, &response);
        let status = response.status().as_u16();
        let leaving = answers::flag(response.headers(), "x-leaving");
        if status == 503 && leaving {
            return End::NotSent { leaving: true };
        }
        // An answer that is not this request's own goes to nobody, and its connection is closed
        // by dropping it unread: the next answer on it would be another's too.
        let other = |v: &HeaderValue| v.as_bytes() != self.exchange.id.as_bytes();
        let mut ids = response.headers().get_all(answers::REQUEST_ID).iter();
        if ids.next().is_none_or(other) || ids.any(other) {
            return End::Broken { relayed: false };
        }
        if status == 200 && self.exchange.shape == Shape::Stream {
            return self.relay(response, idle).await;
        }
        match whole(response, framing).await {
            Some(answer) if status >= 500 => {
                self.held = Some(answer.clone());
                End::Failed(answer)
            }
            Some(answer) => {
                self.note_cache(answer.cached_tokens);
                self.held = Some(answer.clone());
                End::Whole(answer)
            }
            None => End::Broken { relayed: false },
        }
    }

    fn outgoing(&self, dispatch: &Dispatch) -> Outgoing {
        let exchange = &self.exchange;
        let mut headers = HeaderMap::new();
        let mut put = |name: &'static str, value: String| {
            if let Ok(value) = HeaderValue::from_str(&value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        };
        let left = dispatch.deadline.since(clock::now().mono);
        put("x-request-id", exchange.id.clone());
        put("x-deadline-ms", left.0.to_string());
        put("x-priority", exchange.request.priority.0.to_string());
        match &exchange.request.work {
            request::Work::Chat { prefix, .. } => put("x-prefix", format!("{:016x}", prefix.0)),
            request::Work::Once { key, .. } => {
                put(
                    "idempotency-key",
                    uuid::Uuid::from_u128(key.uuid).to_string(),
                );
            }
            request::Work::Plain { .. } => {}
        }
        if let Some(kind) = &exchange.content_type {
            headers.insert(http::header::CONTENT_TYPE, kind.clone());
        }
        Outgoing {
            method: exchange.method.clone(),
            path: exchange.path.clone(),
            headers,
            body: exchange.body.clone(),
        }
    }

    fn note_head(&self, dispatch: &Dispatch, response: &Response) {
        let headers = response.headers();
        let waited = clock::now().mono.since(self.arrived);
        self.driver.metrics.time(Name::FirstByteMs, waited.0);
        self.feed(Event::Head {
            call: self.call,
            attempt: dispatch.attempt,
            in_flight: answers::number(headers, "x-in-flight"),
            leaving: answers::flag(headers, "x-leaving"),
            incarnation: answers::number(headers, "x-incarnation").map(Incarnation),
        });
    }

    fn note_cache(&self, cached: Option<u32>) {
        if let Some(tokens) = cached {
            self.driver
                .metrics
                .count(Name::CachedTokens, u64::from(tokens));
        }
        let returning = matches!(
            self.exchange.request.work,
            request::Work::Chat { token: Some(_), .. }
        );
        if returning {
            self.driver.metrics.count(Name::CacheReturns, 1);
            let hit = cached.is_some_and(|t| t > 0);
            self.driver.metrics.count(Name::CacheHits, u64::from(hit));
        }
    }

    /// Relays a stream event by event until its end mark.
    async fn relay(&mut self, response: Response, idle: Duration) -> End {
        let cached = answers::number(response.headers(), "x-cached-tokens");
        self.note_cache(cached);
        let mut chunks = response.bytes_stream();
        let mut scanner = Scanner::default();
        loop {
            let chunk = match timeout(idle, chunks.next()).await {
                Ok(Some(Ok(chunk))) => chunk,
                // Silent, broken off, or ended; whole only if the end mark came.
                _ => {
                    return End::Broken {
                        relayed: self.stream.is_some(),
                    };
                }
            };
            let Ok(events) = scanner.push(&chunk) else {
                return End::Broken {
                    relayed: self.stream.is_some(),
                };
            };
            if !events.is_empty() && !self.pass_on(events).await {
                return End::Cancelled;
            }
            if scanner.is_done() {
                let answer = Answer {
                    status: 200,
                    cached_tokens: cached,
                    ..Answer::default()
                };
                return End::Whole(answer);
            }
        }
    }

    /// Hands events to the caller, the first with the head; `false` when the caller is gone.
    async fn pass_on(&mut self, events: Bytes) -> bool {
        if self.stream.is_none() {
            let (sender, receiver) = mpsc::channel(RELAY_QUEUE);
            let head = Reply::Stream {
                events: receiver,
                meta: self.meta.clone(),
            };
            let Some(reply) = self.reply.take() else {
                return false;
            };
            if reply.send(head).is_err() {
                return false;
            }
            self.stream = Some(sender);
        }
        let Some(stream) = &self.stream else {
            return false;
        };
        stream.send(events).await.is_ok()
    }
}

/// Gets the prefix of a chat.
fn prefix(exchange: &Exchange) -> Option<Prefix> {
    match exchange.request.work {
        request::Work::Chat { prefix, .. } => Some(prefix),
        _ => None,
    }
}

/// Tells whether an answer's media type is JSON (RFC 8259), so that its text shows whether it is whole.
fn is_json(content_type: &[u8]) -> bool {
    let media_type = content_type.split(|b| *b == b';').next();
    media_type.is_some_and(|t| t.trim_ascii().eq_ignore_ascii_case(b"application/json"))
}

/// Reads a whole answer; `None` when it broke off or is too large. The library compares what came
/// with the declared length.
async fn whole(response: Response, framing: Framing) -> Option<Answer> {
    let status = response.status().as_u16();
    let headers = response.headers();
    let content_type = headers.get(http::header::CONTENT_TYPE);
    let content_type = content_type.map(|v| Bytes::copy_from_slice(v.as_bytes()));
    let cached_tokens = answers::number(headers, "x-cached-tokens");
    let mut chunks = response.bytes_stream();
    let mut body = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        body.extend_from_slice(&chunk.ok()?);
        if body.len() > MAX_ANSWER {
            return None;
        }
    }
    let content_type = content_type.unwrap_or_default();
    let has_whole_document = || serde_json::from_slice::<IgnoredAny>(&body).is_ok();
    // An answer that was broken off may end with its connection as well.
    if framing == Framing::Close && is_json(&content_type) && !has_whole_document() {
        return None;
    }
    Some(Answer {
        status,
        content_type,
        body: body.freeze(),
        cached_tokens,
    })
}
