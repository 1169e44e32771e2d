//! A call's way to its home router and back.

use bytes::Bytes;
use http::HeaderValue;
use toucanturn_core::{
    arena::RouterKey,
    event::Event,
    request::{
        self,
        Answer,
        Code,
        Refusal, //
    },
    units::Time,
};
use toucanturn_wire::forward;

use super::Task;
use crate::{
    clock,
    events, //
};

impl Task {
    /// Sends the call to its home and reports what came of it.
    pub(super) async fn forward(&mut self, router: RouterKey, deadline: Time) {
        let Some(request) = self.forwarded(deadline) else {
            return;
        };
        let call = self.call;
        let event = match self.driver.peers().forward(router, &request).await {
            Ok(reply) => {
                self.meta.attempts = reply.attempts;
                self.meta.replayed = reply.replayed;
                let (outcome, refusal) = (reply.outcome, refused(&reply));
                self.held = Some(Answer {
                    status: reply.status,
                    content_type: reply.content_type,
                    body: reply.body,
                    cached_tokens: None,
                });
                Event::ForwardDone {
                    call,
                    outcome,
                    refusal,
                }
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
