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
    call::{
        Attempt,
        Call, //
    },
    events::Cutter,
    exchange::{
        Body,
        Broken, //
    },
};

/// `Relay` is a stream in progress.
struct Relay {
    call: Call,
    attempt: Option<Attempt>,
    cutter: Cutter,
    /// Last event that the caller has.
    last: Option<u64>,
    /// Whether the caller has an event.
    begun: bool,
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
pub(crate) async fn answer(mut call: Call) -> Response<Body> {
    let mut last = call.ask.resume;
    loop {
        let attempt = match call.start(None).await {
            Ok(attempt) => attempt,
            Err(refusal) => return call.refuse(refusal),
        };
        if !attempt.head.status.is_success() {
            return failure(call, attempt).await;
        }
        let head = attempt.head.clone();
        let mut relay = Relay {
            call,
            attempt: Some(attempt),
            cutter: Cutter::default(),
            last,
            begun: false,
            resumed: false,
        };
        match relay.piece().await {
            Piece::Bytes(first) => return relay.respond(head, Some(first)),
            Piece::End => {
                relay.finish();
                return relay.respond(head, None);
            }
            ended @ (Piece::Broken | Piece::Late) => {
                let fate = ended.fate();
                let next = relay.end(fate);
                last = relay.last;
                call = relay.call;
                if next != Next::Again {
                    return call.refuse(call.given_up(fate.cause()));
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
async fn failure(mut call: Call, attempt: Attempt) -> Response<Body> {
    match call.hold(attempt).await {
        (Next::Again, Ok(_)) => Box::pin(answer(call)).await,
        (_, Ok(response)) => response,
        (_, Err(_)) => call.refuse(call.given_up(Fate::Broken.cause())),
    }
}

impl Relay {
    /// Makes the answer whose body goes on with this stream.
    fn respond(self, mut head: http::response::Parts, first: Option<Bytes>) -> Response<Body> {
        // Another endpoint may go on, and its part is not in the first one's length.
        head.headers.remove(header::CONTENT_LENGTH);
        let whole = self.attempt.is_none();
        let response = self.call.deliver(&head, Either::Left(Full::default()));
        let start = futures_util::stream::iter(first.map(|b| Ok(Frame::data(b))));
        let rest = unfold(Some(self), |relay| async move { step(relay?).await });
        let body = if whole {
            start.boxed_local()
        } else {
            start.chain(rest).boxed_local()
        };
        response.map(|_| Either::Right(StreamBody::new(body)))
    }

    /// Gets the next whole event, or what ended the endpoint's answer.
    async fn piece(&mut self) -> Piece {
        loop {
            while let Some(event) = self.cutter.cut() {
                let seen = event.id.is_some() && event.id <= self.last;
                if !seen {
                    self.last = event.id.or(self.last);
                    self.begun = true;
                    return Piece::Bytes(event.bytes);
                }
            }
            let left = self.call.silence_timeout(self.begun);
            let Some(attempt) = &mut self.attempt else {
                return Piece::End;
            };
            if left == Duration::ZERO || self.cutter.overlong() {
                return Piece::Late;
            }
            match timeout(left, attempt.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.cutter.push(&data);
                    }
                }
                // What goes on with a stream is events; half of one, or another body, would make it look complete.
                Ok(None) if self.cutter.torn() && self.resumed => return Piece::Broken,
                Ok(None) if self.cutter.torn() => return Piece::Bytes(self.cutter.rest()),
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
            self.call
                .keep(&attempt.flight, attempt.connection, &attempt.reply);
            self.call.end(attempt.flight, Fate::Answered, Some(status));
        }
    }

    /// Ends the attempt, which closes its connection: the endpoint stops before another goes on.
    fn end(&mut self, fate: Fate) -> Next {
        self.cutter = Cutter::default();
        let Some(attempt) = self.attempt.take() else {
            return Next::GiveUp;
        };
        drop(attempt.connection);
        let status = attempt.head.status;
        self.call.end(attempt.flight, fate, Some(status))
    }

    /// Goes on at another endpoint after the last event; returns whether one does.
    async fn resume(&mut self) -> bool {
        let resumable = matches!(
            self.call.ticket.route.kind,
            Kind::Stream { resumable: true }
        );
        let Some(last) = self.last.filter(|_| resumable) else {
            return false;
        };
        let Ok(attempt) = self.call.start(Some(last)).await else {
            return false;
        };
        if !attempt.head.status.is_success() {
            let status = attempt.head.status;
            self.call.end(attempt.flight, Fate::Failed, Some(status));
            return false;
        }
        self.attempt = Some(attempt);
        self.resumed = true;
        true
    }
}

type Step = Option<(Result<Frame<Bytes>, Broken>, Option<Relay>)>;

async fn step(mut relay: Relay) -> Step {
    loop {
        match relay.piece().await {
            Piece::Bytes(bytes) => return Some((Ok(Frame::data(bytes)), Some(relay))),
            Piece::End => {
                relay.finish();
                return None;
            }
            ended @ (Piece::Broken | Piece::Late) => {
                if relay.end(ended.fate()) != Next::Again || !relay.resume().await {
                    return Some((Err(Broken), None));
                }
            }
        }
    }
}
