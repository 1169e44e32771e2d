//! Streamed answers: events are forwarded as they arrive, and when an endpoint's stream fails, another
//! endpoint resumes it.

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
use tokio::{
    task::yield_now,
    time::timeout, //
};
use toucanturn_core::{
    gateway::{
        outcome::{
            AttemptOutcome,
            NextStep, //
        },
        refusal::Cause,
        route::Kind,
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::{
    exchange::{
        Body,
        BodyAborted, //
    },
    framing::{
        BodyEnd,
        Framing, //
    },
    memory::Reservation,
    proxied::{
        Attempt,
        ProxiedRequest, //
    },
    sse::EventSplitter,
    state::now,
};

/// Media type of streams of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// `Relay` is a stream that is being forwarded to a caller.
struct Relay {
    proxied: ProxiedRequest,
    attempt: Option<Attempt>,
    events: EventSplitter,
    /// What the bytes of `events` hold of the memory for answers.
    held: Reservation,
    /// Id of the last event that the caller has received.
    last: Option<u64>,
    /// Whether the caller has received an event.
    event_delivered: bool,
    /// Whether another endpoint has resumed the stream.
    resumed: bool,
    /// Whether the endpoint's answer is complete and its last piece has been returned.
    complete: bool,
    /// When an endpoint last sent something.
    heard: Time,
}

/// `Piece` is what [`Relay::next_piece`] returns.
enum Piece {
    /// A complete event, or the remaining bytes of an answer that is no stream of events.
    Bytes(Bytes),
    /// The endpoint's answer is complete.
    End,
    /// The connection broke, or the answer ended although its last event is incomplete.
    Broken,
    /// The endpoint sent nothing for too long, or an event that exceeds the length limit.
    Stalled,
}

/// Answers a request with a stream.
///
/// The head is sent with the first event. Until then another endpoint can be tried, and the caller
/// can still get a refusal that says whether its request may have run.
///
/// `resume` is the last event that the caller has received from another router.
pub(crate) async fn answer(mut proxied: ProxiedRequest, resume: Option<u64>) -> Response<Body> {
    let mut last = proxied.incoming_request.resume;
    loop {
        let attempt = match proxied.start(resume).await {
            Ok(attempt) => attempt,
            Err(refusal) => return proxied.refuse(refusal),
        };
        if !attempt.head.status.is_success() {
            return failure(proxied, attempt, resume).await;
        }
        let head = attempt.head.clone();
        let mut relay = Relay {
            held: proxied.reservation(),
            proxied,
            attempt: Some(attempt),
            events: EventSplitter::default(),
            last,
            event_delivered: false,
            resumed: false,
            complete: false,
            heard: now(),
        };
        match relay.next_piece().await {
            Piece::Bytes(first) => return relay.respond(head, Some(first)),
            Piece::End => {
                relay.finish();
                return relay.respond(head, None);
            }
            ended @ (Piece::Broken | Piece::Stalled) => {
                let outcome = ended.outcome();
                let next = relay.end(outcome);
                last = relay.last;
                proxied = relay.proxied;
                if next != NextStep::Again {
                    return proxied.refuse(proxied.given_up(outcome.cause()));
                }
            }
        }
    }
}

impl Piece {
    /// Returns the outcome of an attempt whose stream failed with this piece.
    fn outcome(&self) -> AttemptOutcome {
        match self {
            Piece::Stalled => AttemptOutcome::Stalled,
            _ => AttemptOutcome::Broken,
        }
    }
}

/// Forwards an endpoint's error answer, which is not a stream.
async fn failure(
    mut proxied: ProxiedRequest,
    attempt: Attempt,
    resume: Option<u64>,
) -> Response<Body> {
    match proxied.buffer_answer(attempt).await {
        (NextStep::Again, Ok(_)) => Box::pin(answer(proxied, resume)).await,
        (_, Ok(response)) => response,
        (_, Err(_)) => proxied.refuse(proxied.given_up(AttemptOutcome::Broken.cause())),
    }
}

impl Relay {
    /// Builds the caller's answer, whose body forwards this stream.
    fn respond(self, mut head: http::response::Parts, first: Option<Bytes>) -> Response<Body> {
        // Another endpoint may resume the stream, and the first one's length does not include its part.
        head.headers.remove(header::CONTENT_LENGTH);
        let complete = self.attempt.is_none();
        let response = self
            .proxied
            .caller_response(&head, Either::Left(Full::default()));
        let start = futures_util::stream::iter(first.map(|b| Ok(Frame::data(b))));
        let remaining = unfold(Some(self), |relay| async move { step(relay?).await });
        let body = if complete {
            start.boxed_local()
        } else {
            start.chain(remaining).boxed_local()
        };
        response.map(|_| Either::Right(StreamBody::new(body)))
    }

    /// Returns the next complete event, or how the endpoint's answer ended.
    async fn next_piece(&mut self) -> Piece {
        loop {
            while let Some(event) = self.events.next_event() {
                let seen = event.id.is_some() && event.id <= self.last;
                if let Some(received) = &mut self.proxied.received {
                    received.events += 1;
                }
                if !seen {
                    self.last = event.id.or(self.last);
                    if let (false, Some(attempt)) = (self.event_delivered, &self.attempt) {
                        self.proxied.begin_stream(&attempt.guard.target);
                    }
                    self.event_delivered = true;
                    return Piece::Bytes(event.bytes);
                }
            }
            let Some(attempt) = self.attempt.as_mut().filter(|_| !self.complete) else {
                return Piece::End;
            };
            let left = self
                .proxied
                .silence_timeout(&attempt.guard, self.event_delivered);
            if !self.held.try_set(self.events.partial_len()) {
                self.proxied.log_no_memory(&attempt.guard.target);
                self.record_end(Some(BodyEnd::Overlong));
                return Piece::Stalled;
            }
            if self.events.is_overlong() {
                self.record_end(Some(BodyEnd::Overlong));
                return Piece::Stalled;
            }
            if left == Duration::ZERO {
                self.record_end(Some(BodyEnd::Silent));
                return Piece::Stalled;
            }
            let frame = tokio::select! {
                biased;
                () = self.held.ended() => continue,
                frame = timeout(left, attempt.body.frame()) => frame,
            };
            match &frame {
                Ok(None) => self.record_end(None),
                Ok(Some(Err(_))) => self.record_end(Some(BodyEnd::Lost)),
                Err(_) => self.record_end(Some(BodyEnd::Silent)),
                Ok(Some(Ok(_))) => {}
            }
            match frame {
                Ok(Some(Ok(frame))) => {
                    self.heard = now();
                    if let Ok(data) = frame.into_data() {
                        self.events.push(&data);
                    }
                }
                Ok(None) => return self.judge_end(),
                Ok(Some(Err(error))) => {
                    tracing::debug!(%error, "stream ended early");
                    return Piece::Broken;
                }
                Err(_) => return Piece::Stalled,
            }
        }
    }

    /// Judges the end of the endpoint's answer, where the connection reports one.
    ///
    /// A stream of events that ends within an event was broken off, however its end is marked. One without events
    /// that ends with its connection was, too.
    fn judge_end(&mut self) -> Piece {
        let is_stream = self.is_event_stream();
        let received = self.proxied.received.as_ref();
        let unmarked = received.is_some_and(|r| r.framing == Framing::Close);
        let empty = unmarked && !self.events.has_begun();
        if is_stream && (self.events.has_partial() || empty) {
            return Piece::Broken;
        }
        // Bytes that are no events can't complete a stream.
        if self.resumed && self.events.has_partial() {
            return Piece::Broken;
        }
        self.complete = true;
        match self.events.has_partial() {
            true => Piece::Bytes(self.events.rest()),
            false => Piece::End,
        }
    }

    /// Returns whether the endpoint's answer is a stream of events: by its media type, or by its beginning if it states
    /// none.
    fn is_event_stream(&self) -> bool {
        let head = self.attempt.as_ref().map(|a| &a.head);
        let media_type = head.and_then(|h| h.headers.get(header::CONTENT_TYPE));
        let essence = media_type.map(|v| v.as_bytes().split(|b| *b == b';').next());
        match essence {
            Some(essence) => essence
                .unwrap_or_default()
                .trim_ascii()
                .eq_ignore_ascii_case(EVENT_STREAM),
            None => self.events.begins_with_field(),
        }
    }

    /// Records how the body of the endpoint's answer ended; `None` if the connection reports its end.
    fn record_end(&mut self, end: Option<BodyEnd>) {
        if let Some(received) = &mut self.proxied.received
            && received.end.is_none()
        {
            received.partial = self.events.partial_len();
        }
        self.proxied.record_end(end);
    }

    /// Ends the attempt as answered, and keeps its connection.
    fn finish(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            let status = attempt.head.status;
            self.proxied
                .keep_connection(&attempt.guard, attempt.connection, &attempt.reply);
            self.proxied
                .end(attempt.guard, AttemptOutcome::Answered, Some(status));
        }
    }

    /// Ends a failed attempt and closes its connection, so that its endpoint stops before another one
    /// resumes the stream.
    fn end(&mut self, outcome: AttemptOutcome) -> NextStep {
        self.events = EventSplitter::default();
        self.held = self.proxied.reservation();
        let Some(attempt) = self.attempt.take() else {
            return NextStep::GiveUp;
        };
        drop(attempt.connection);
        let status = attempt.head.status;
        self.proxied.end(attempt.guard, outcome, Some(status))
    }

    /// Resumes the stream at another endpoint after the last event; returns why that failed.
    async fn resume(&mut self) -> Result<(), Option<Cause>> {
        let resumable = matches!(
            self.proxied.ticket.route.kind,
            Kind::Stream { resumable: true }
        );
        let last = self.last.filter(|_| resumable).ok_or(None)?;
        let started = self.proxied.start(Some(last)).await;
        let attempt = started.map_err(|refusal| Some(refusal.cause))?;
        if !attempt.head.status.is_success() {
            let status = attempt.head.status;
            self.proxied
                .end(attempt.guard, AttemptOutcome::Failed, Some(status));
            return Err(Some(Cause::EndpointFailed));
        }
        self.attempt = Some(attempt);
        self.resumed = true;
        self.heard = now();
        Ok(())
    }

    /// Logs that the stream ends without its end.
    fn log_lost(&self, outcome: AttemptOutcome, silent: Millis, cause: Option<Cause>) {
        self.proxied
            .log_stream_lost(outcome, cause, (self.last, silent));
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
            ended @ (Piece::Broken | Piece::Stalled) => {
                let outcome = ended.outcome();
                let silent = now().since(relay.heard);
                let resumed = match relay.end(outcome) {
                    NextStep::Again => relay.resume().await,
                    _ => Err(None),
                };
                if let Err(cause) = resumed {
                    relay.log_lost(outcome, silent, cause);
                    // The HTTP library drops its output buffer when a body fails, so it gets to flush the buffer first.
                    yield_now().await;
                    return Some((Err(BodyAborted), None));
                }
            }
        }
    }
}
