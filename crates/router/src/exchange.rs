//! One request's own task: it carries out the steps that the node decides for it.
//!
//! The task owns the request's body and its way back to the caller. It reports each attempt's
//! head and end to the node and waits for the next step; it never tries again by itself.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::StreamExt;
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    Method, //
};
use reqwest::Response;
use tokio::{
    sync::{
        mpsc,
        oneshot, //
    },
    time::timeout, //
};
use tokio_util::sync::CancellationToken;
use toucanturn_core::{
    arena::RouterKey,
    config,
    event::Event,
    ids::Tag,
    request::{
        self,
        Answer,
        Attempt,
        Call,
        Code,
        End,
        Outcome,
        Prefix,
        Refusal,
        Token, //
    },
    units::{
        Incarnation,
        Millis,
        Time, //
    },
};

use toucanturn_wire::forward;

use crate::{
    answers::{
        self,
        Meta,
        Reply, //
    },
    clock,
    driver::Driver,
    endpoints::{
        Failure,
        Outgoing, //
    },
    events,
    imports::{
        self,
        Import, //
    },
    metrics::Name,
    relay::Scanner,
};

/// Largest whole answer in bytes; a longer one is broken off.
const MAX_ANSWER: usize = 8 << 20;

/// Events on their way to a caller; a slow caller holds its own stream back.
const RELAY_QUEUE: usize = 16;

/// `Shape` says how a request's answer goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// In one piece.
    Whole,
    /// As server-sent events with an end mark.
    Stream,
}

/// `Exchange` is a request as its task needs it.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The caller's request id.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<HeaderValue>,
    /// Body.
    pub body: Bytes,
    /// How the answer goes back.
    pub shape: Shape,
    /// Tag of its workspace.
    pub workspace: Tag,
    /// What the node was told.
    pub request: request::Request,
}

/// `Step` is what the node wants of a request's task.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Send it to an endpoint.
    Dispatch(Dispatch),
    /// Have its prefix imported before the next dispatch.
    Import(Import),
    /// Send it to its home router.
    Forward {
        /// The home.
        router: RouterKey,
        /// When the answer must be back.
        deadline: Time,
    },
    /// Refuse it.
    Refuse(Refusal),
    /// Give an earlier answer.
    Replay(Answer),
    /// Give the answer that the last attempt brought.
    Finish(Outcome),
    /// Drop it; the caller is gone.
    Cancel,
}

/// `Dispatch` is one attempt.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Its number.
    pub attempt: Attempt,
    /// Where it goes.
    pub endpoint: Arc<config::Endpoint>,
    /// When the answer must be whole.
    pub deadline: Time,
    /// Time without progress after which it is broken.
    pub idle: Millis,
    /// Placement token for the caller.
    pub token: Option<Token>,
    /// For a call that runs at most once: the time from which nothing may be sent any more.
    pub not_after: Option<Time>,
}

/// `Task` carries one request through its steps.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) driver: Arc<Driver>,
    pub(crate) call: Call,
    pub(crate) exchange: Exchange,
    pub(crate) steps: mpsc::Receiver<Step>,
    pub(crate) reply: Option<oneshot::Sender<Reply>>,
    /// The stream to the caller, once its first event has been relayed.
    pub(crate) stream: Option<mpsc::Sender<Bytes>>,
    pub(crate) held: Option<Answer>,
    pub(crate) meta: Meta,
    pub(crate) arrived: Time,
    /// Cancelled when the caller's connection goes away.
    pub(crate) gone: CancellationToken,
}

impl Task {
    /// Runs until the caller has its final answer.
    pub(crate) async fn run(mut self) {
        let mut told = false;
        loop {
            let gone = self.gone.clone();
            let step = tokio::select! {
                biased;
                step = self.steps.recv() => step,
                () = gone.cancelled(), if !told => {
                    told = true;
                    self.feed(Event::Gone { call: self.call });
                    continue;
                }
            };
            let more = match step {
                None | Some(Step::Cancel) => false,
                Some(Step::Dispatch(dispatch)) => {
                    self.attempt(dispatch).await;
                    true
                }
                Some(Step::Import(import)) => {
                    imports::run(&self.driver, &import).await;
                    true
                }
                Some(Step::Forward { router, deadline }) => {
                    self.forward(router, deadline).await;
                    true
                }
                Some(Step::Refuse(refusal)) => {
                    self.refuse(refusal).await;
                    false
                }
                Some(Step::Replay(answer)) => {
                    self.meta.replayed = true;
                    self.answer(answer, Outcome::Done);
                    false
                }
                Some(Step::Finish(outcome)) => {
                    if let Some(answer) = self.held.take() {
                        self.answer(answer, outcome);
                    }
                    false
                }
            };
            if !more {
                break;
            }
        }
        self.driver.forget(self.call);
    }

    fn feed(&self, event: Event) {
        self.driver.feed(event);
    }

    /// Makes one attempt and reports its end.
    async fn attempt(&mut self, dispatch: Dispatch) {
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
        let response = match head {
            Ok(response) => response,
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
        let own = |v: &HeaderValue| v.as_bytes() == self.exchange.id.as_bytes();
        if !response.headers().get(answers::REQUEST_ID).is_some_and(own) {
            return End::Broken { relayed: false };
        }
        if status == 200 && self.exchange.shape == Shape::Stream {
            return self.relay(response, idle).await;
        }
        match whole(response).await {
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

    /// Sends the call to its home and reports what came of it.
    async fn forward(&mut self, router: RouterKey, deadline: Time) {
        let Some(request) = self.forwarded(deadline) else {
            return;
        };
        let call = self.call;
        let event = match self.driver.peers().forward(router, &request).await {
            Ok(reply) => {
                self.meta.attempts = reply.attempts;
                self.meta.replayed = reply.replayed;
                let refusal = refused(&reply);
                self.held = Some(Answer {
                    status: reply.status,
                    content_type: reply.content_type,
                    body: reply.body,
                    cached_tokens: None,
                });
                Event::ForwardDone { call, refusal }
            }
            Err(error) => {
                events::not_forwarded(&self.exchange.id, call, error.sent, &error);
                Event::ForwardFailed {
                    call,
                    sent: error.sent,
                }
            }
        };
        self.feed(event);
    }

    fn forwarded(&self, deadline: Time) -> Option<forward::Request> {
        let request::Work::Once { key, content, .. } = self.exchange.request.work else {
            return None;
        };
        let text = |v: &HeaderValue| Bytes::copy_from_slice(v.as_bytes());
        Some(forward::Request {
            request_id: Bytes::copy_from_slice(self.exchange.id.as_bytes()),
            key,
            priority: self.exchange.request.priority,
            deadline: deadline.since(clock::now().mono),
            method: Bytes::copy_from_slice(self.exchange.method.as_str().as_bytes()),
            path: Bytes::copy_from_slice(self.exchange.path.as_bytes()),
            content_type: self
                .exchange
                .content_type
                .as_ref()
                .map(text)
                .unwrap_or_default(),
            body: self.exchange.body.clone(),
            content,
        })
    }

    async fn refuse(&mut self, refusal: Refusal) {
        self.driver.metrics.count(Name::Refusals, 1);
        self.count(refusal.outcome);
        if let Some(stream) = self.stream.take() {
            // The stream has begun: the caller learns of the break by an event, never by an end
            // mark, so that a part cannot pass for the whole.
            let refusal = Refusal {
                code: Code::Truncated,
                ..refusal
            };
            let body = answers::refusal_body(&refusal, &self.exchange.id);
            let mut event = BytesMut::from(&b"event: error\ndata: "[..]);
            event.extend_from_slice(&body);
            event.extend_from_slice(b"\n\n");
            let _ = stream.send(event.freeze()).await;
            return;
        }
        if let Some(reply) = self.reply.take() {
            let _ = reply.send(Reply::Refused {
                refusal,
                meta: self.meta.clone(),
            });
        }
    }

    fn answer(&mut self, answer: Answer, outcome: Outcome) {
        self.count(outcome);
        let Answer {
            status,
            content_type,
            body,
            ..
        } = answer;
        let meta = self.meta.clone();
        if let Some(reply) = self.reply.take() {
            let _ = reply.send(Reply::Whole {
                status,
                content_type,
                body,
                outcome,
                meta,
            });
        }
    }

    fn count(&self, outcome: Outcome) {
        let name = match outcome {
            Outcome::Done => Name::Done,
            Outcome::NotRun => Name::NotRun,
            Outcome::Unknown => Name::Unknown,
        };
        self.driver.metrics.count(name, 1);
    }
}

/// Gets the home's refusal out of its reply.
fn refused(reply: &forward::Reply) -> Option<Refusal> {
    let (outcome, retry_after) = (reply.outcome, reply.retry_after);
    match reply.code {
        Some(code) => Some(Refusal {
            code,
            outcome,
            retry_after,
        }),
        // A reply without a status holds no answer to relay.
        None if reply.status == 0 => Some(Refusal::unknown(Code::HomeUnavailable, retry_after)),
        None => None,
    }
}

/// Gets the prefix of a chat.
fn prefix(exchange: &Exchange) -> Option<Prefix> {
    match exchange.request.work {
        request::Work::Chat { prefix, .. } => Some(prefix),
        _ => None,
    }
}

/// Reads a whole answer; `None` when it broke off or is too large. The library compares what came
/// with the declared length.
async fn whole(response: Response) -> Option<Answer> {
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
    Some(Answer {
        status,
        content_type,
        body: body.freeze(),
        cached_tokens,
    })
}
