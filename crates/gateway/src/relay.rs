//! Streams: events go on as they come, and another endpoint goes on where one broke off.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{
    StreamExt as _,
    unfold, //
};
use http::{
    Response,
    header, //
};
use http_body_util::{
    BodyExt as _,
    Either,
    Full,
    StreamBody, //
};
use hyper::body::Frame;
use tokio::time::timeout;
use toucanturn_core::gateway::{
    fate::{
        Fate,
        Next, //
    },
    route::Kind,
};

use crate::{
    exchange::{
        Body,
        BodyAborted, //
    },
    proxied::{
        Attempt,
        ProxiedRequest, //
    },
    sse::EventSplitter,
};

/// `Relay` is a stream in progress.
struct Relay {
    proxied: ProxiedRequest,
    attempt: Option<Attempt>,
    events: EventSplitter,
    /// Last event that the caller has.
    last: Option<u64>,
    /// Whether the caller has an event.
    event_delivered: bool,
    /// Whether another endpoint has gone on.
    resumed: bool,
}

/// `Piece` is what comes next.
enum Piece {
    Bytes(Bytes),
    /// The endpoint's answer ended as it should.
    End,
    /// It broke off.
    Broken,
    /// Time ran out.
    Late,
}

/// Answers a request with a stream.
///
/// The head goes out with the first event: until then another endpoint can be tried, and the
/// caller can be told what became of its request.
pub(crate) async fn answer(mut proxied: ProxiedRequest) -> Response<Body> {
    let mut last = proxied.ask.resume;
    loop {
        let attempt = match proxied.start(None).await {
            Ok(attempt) => attempt,
            Err(refusal) => return proxied.refuse(refusal),
        };
        if !attempt.head.status.is_success() {
            return failure(proxied, attempt).await;
        }
        let head = attempt.head.clone();
        let mut relay = Relay {
            proxied,
            attempt: Some(attempt),
            events: EventSplitter::default(),
            last,
            event_delivered: false,
            resumed: false,
        };
        match relay.next_piece().await {
            Piece::Bytes(first) => return relay.respond(head, Some(first)),
            Piece::End => {
                relay.finish();
                return relay.respond(head, None);
            }
            ended @ (Piece::Broken | Piece::Late) => {
                let fate = ended.fate();
                let next = relay.end(fate);
                last = relay.last;
                proxied = relay.proxied;
                if next != Next::Again {
                    return proxied.refuse(proxied.given_up(fate.cause()));
                }
            }
        }
    }
}

impl Piece {
    /// Gets the fate of an attempt that this ended before its proper end.
    fn fate(&self) -> Fate {
        match self {
            Piece::Late => Fate::Stalled,
            _ => Fate::Broken,
        }
    }
}

/// Hands on an endpoint's own failure, which is no stream.
async fn failure(mut proxied: ProxiedRequest, attempt: Attempt) -> Response<Body> {
    match proxied.buffer_answer(attempt).await {
        (Next::Again, Ok(_)) => Box::pin(answer(proxied)).await,
        (_, Ok(response)) => response,
        (_, Err(_)) => proxied.refuse(proxied.given_up(Fate::Broken.cause())),
    }
}

impl Relay {
    /// Makes the answer whose body goes on with this stream.
    fn respond(self, mut head: http::response::Parts, first: Option<Bytes>) -> Response<Body> {
        // Another endpoint may go on, and its part is not in the first one's length.
        head.headers.remove(header::CONTENT_LENGTH);
        let whole = self.attempt.is_none();
        let response = self
            .proxied
            .caller_response(&head, Either::Left(Full::default()));
        let start = futures_util::stream::iter(first.map(|b| Ok(Frame::data(b))));
        let remaining = unfold(Some(self), |relay| async move { step(relay?).await });
        let body = if whole {
            start.boxed_local()
        } else {
            start.chain(remaining).boxed_local()
        };
        response.map(|_| Either::Right(StreamBody::new(body)))
    }

    /// Gets the next whole event, or what ended the endpoint's answer.
    async fn next_piece(&mut self) -> Piece {
        loop {
            while let Some(event) = self.events.next_event() {
                let seen = event.id.is_some() && event.id <= self.last;
                if !seen {
                    self.last = event.id.or(self.last);
                    self.event_delivered = true;
                    return Piece::Bytes(event.bytes);
                }
            }
            let left = self.proxied.silence_timeout(self.event_delivered);
            let Some(attempt) = &mut self.attempt else {
                return Piece::End;
            };
            if left == Duration::ZERO || self.events.is_overlong() {
                return Piece::Late;
            }
            match timeout(left, attempt.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.events.push(&data);
                    }
                }
                // What goes on with a stream is events; half of one, or another body, would make it look complete.
                Ok(None) if self.events.has_partial() && self.resumed => return Piece::Broken,
                Ok(None) if self.events.has_partial() => return Piece::Bytes(self.events.rest()),
                Ok(None) => return Piece::End,
                Ok(Some(Err(error))) => {
                    tracing::debug!(%error, "stream broke off");
                    return Piece::Broken;
                }
                Err(_) => return Piece::Late,
            }
        }
    }

    /// Ends the attempt as whole.
    fn finish(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            let status = attempt.head.status;
            self.proxied
                .keep_connection(&attempt.guard, attempt.connection, &attempt.reply);
            self.proxied
                .end(attempt.guard, Fate::Answered, Some(status));
        }
    }

    /// Ends the attempt, which closes its connection: the endpoint stops before another goes on.
    fn end(&mut self, fate: Fate) -> Next {
        self.events = EventSplitter::default();
        let Some(attempt) = self.attempt.take() else {
            return Next::GiveUp;
        };
        drop(attempt.connection);
        let status = attempt.head.status;
        self.proxied.end(attempt.guard, fate, Some(status))
    }

    /// Goes on at another endpoint after the last event; returns whether one does.
    async fn resume(&mut self) -> bool {
        let resumable = matches!(
            self.proxied.ticket.route.kind,
            Kind::Stream { resumable: true }
        );
        let Some(last) = self.last.filter(|_| resumable) else {
            return false;
        };
        let Ok(attempt) = self.proxied.start(Some(last)).await else {
            return false;
        };
        if !attempt.head.status.is_success() {
            let status = attempt.head.status;
            self.proxied.end(attempt.guard, Fate::Failed, Some(status));
            return false;
        }
        self.attempt = Some(attempt);
        self.resumed = true;
        true
    }
}

type StreamStep = Option<(Result<Frame<Bytes>, BodyAborted>, Option<Relay>)>;

async fn step(mut relay: Relay) -> StreamStep {
    loop {
        match relay.next_piece().await {
            Piece::Bytes(bytes) => return Some((Ok(Frame::data(bytes)), Some(relay))),
            Piece::End => {
                relay.finish();
                return None;
            }
            ended @ (Piece::Broken | Piece::Late) => {
                if relay.end(ended.fate()) != Next::Again || !relay.resume().await {
                    return Some((Err(BodyAborted), None));
                }
            }
        }
    }
}
