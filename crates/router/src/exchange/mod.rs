//! One request's own task: it carries out the steps that the node decides for it.
//!
//! The task owns the request's body and its way back to the caller. It reports each attempt's
//! head and end to the node and waits for the next step; it never tries again by itself.

use std::sync::Arc;

use bytes::{
    Bytes,
    BytesMut, //
};
use http::{
    HeaderValue,
    Method, //
};
use tokio::sync::{
    mpsc,
    oneshot, //
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
        Outcome,
        Refusal,
        Token, //
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::{
    answers::{
        self,
        Meta,
        Reply, //
    },
    driver::Driver,
    imports::{
        self,
        Import, //
    },
    metrics::Name,
};

mod attempt;
mod home;

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
