//! Streamed answers: events are forwarded as they arrive, and when an endpoint's stream fails, another
//! endpoint resumes it.
//!
//! A stream that has failed is resumed after its end ([`Relay::resume`]). One whose endpoint keeps silent may still go
//! on: it is ended only when another one has taken over ([`crate::proxied::succession`]), or at its deadline.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{
    future::FutureExt as _,
    stream::{
        StreamExt as _,
        unfold, //
    },
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
use toucanturn_account::Reservation;
use toucanturn_core::{
    gateway::{
        outcome::{
            AttemptOutcome,
            NextStep, //
        },
        refusal::{
            Cause,
            Refusal, //
        },
        route::Kind,
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::{
    answer_body::{
        self,
        AnswerBody, //
    },
    client::Connection,
    exchange::{
        Body,
        BodyAborted, //
    },
    framing::BodyEnd,
    protocol::ReplyHead,
    proxied::{
        Attempt, AttemptGuard, ProxiedRequest,
        succession::{
            Present,
            Succession, //
        },
    },
    sse::EventSplitter,
    state::{
        duration,
        now, //
    },
};

/// Multiple of a stream's longest pause so far for which its endpoint may keep silent.
const PAUSE_MULTIPLE: u64 = 2;
/// Media type of streams of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// `Relay` is a stream that is being forwarded to a caller.
struct Relay {
    proxied: ProxiedRequest,
    attempt: Option<Attempt>,
    /// Head of the answer that is delivered.
    head: http::response::Parts,
    /// Last event that the caller has received from another router.
    received_before: Option<u64>,
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
    /// Longest pause after an event.
    longest_pause: Millis,
}

/// `Piece` is what [`Relay::next_piece`] returns.
enum Piece {
    /// A complete event, or the remaining bytes of an answer that is no stream of events.
    Bytes(Bytes),
    /// The endpoint's answer is complete.
    End,
    /// The connection broke, or the answer ended although its last event is incomplete.
    Broken,
    /// The endpoint sent nothing until the deadline, or an event that exceeds the length limit.
    Stalled,
    /// Another attempt has taken over, whose answer is an error.
    NoStream(Box<Attempt>),
    /// The endpoint was given up for another attempt, which failed.
    Refused(Refusal),
}

/// What an endpoint sends next; `None` at the end of its answer.
type NextFrame = Option<Result<Frame<Bytes>, answer_body::Error>>;

/// What an endpoint that has kept silent sends next, and the rest of its attempt.
type Next = (
    NextFrame,
    (http::response::Parts, ReplyHead, AnswerBody, Connection),
);

/// Returns how an attempt ended, if its answer broke off.
fn failure_of((frame, _): &Next) -> Option<AttemptOutcome> {
    matches!(frame, Some(Err(_))).then_some(AttemptOutcome::Broken)
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
        let mut relay = Relay {
            held: proxied.reservation(),
            proxied,
            head: attempt.head.clone(),
            attempt: Some(attempt),
            received_before: resume,
            events: EventSplitter::default(),
            last,
            event_delivered: false,
            resumed: false,
            complete: false,
            heard: now(),
            longest_pause: Millis(0),
        };
        if let Some(attempt) = &relay.attempt {
            relay.events.push(&attempt.ahead);
        }
        match relay.next_piece().await {
            Piece::Bytes(first) => return relay.respond(Some(first)),
            Piece::End => {
                relay.finish();
                return relay.respond(None);
            }
            Piece::NoStream(attempt) => return failure(relay.proxied, *attempt, resume).await,
            Piece::Refused(refusal) => return relay.proxied.refuse(refusal),
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
            Piece::Stalled | Piece::Refused(_) => AttemptOutcome::Stalled,
            Piece::NoStream(_) => AttemptOutcome::Failed,
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
    fn respond(self, first: Option<Bytes>) -> Response<Body> {
        let mut head = self.head.clone();
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
            let open = self.attempt.as_ref().filter(|_| !self.complete);
            let Some(patience) = open.map(|attempt| self.patience(&attempt.guard)) else {
                return Piece::End;
            };
            if !self.held.try_set(self.events.partial_len()) {
                if let Some(attempt) = &self.attempt {
                    self.proxied.log_no_memory(&attempt.guard.target);
                }
                self.record_end(Some(BodyEnd::Overlong));
                return Piece::Stalled;
            }
            if self.events.is_overlong() {
                self.record_end(Some(BodyEnd::Overlong));
                return Piece::Stalled;
            }
            if patience == Duration::ZERO {
                self.record_end(Some(BodyEnd::Silent));
                return Piece::Stalled;
            }
            let Some(attempt) = &mut self.attempt else {
                return Piece::End;
            };
            let frame = tokio::select! {
                biased;
                () = self.held.ended() => continue,
                frame = timeout(patience, attempt.body.frame()) => frame,
            };
            let frame = match frame {
                Ok(frame) => frame,
                Err(_) => match self.await_next().await {
                    Ok(Some(frame)) => frame,
                    Ok(None) => continue,
                    Err(piece) => return piece,
                },
            };
            self.note_heard();
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.events.push(&data);
                    }
                }
                None => {
                    self.record_end(None);
                    return self.judge_end();
                }
                Some(Err(error)) => {
                    self.record_end(Some(BodyEnd::Lost));
                    tracing::debug!(%error, "stream ended early");
                    return Piece::Broken;
                }
            }
        }
    }

    /// Returns how long the endpoint may send nothing.
    fn patience(&self, guard: &AttemptGuard) -> Duration {
        let limit = self.proxied.silence_timeout(guard, self.event_delivered);
        let usual = duration(Millis(self.longest_pause.0 * PAUSE_MULTIPLE));
        limit.max(usual).min(self.proxied.time_left())
    }

    fn note_heard(&mut self) {
        if self.event_delivered {
            self.longest_pause = self.longest_pause.max(now().since(self.heard));
        }
        self.heard = now();
    }

    /// Waits on for an endpoint that keeps silent, while another one may take over. Returns what it sends, nothing if
    /// another one has taken over, or how the stream failed.
    async fn await_next(&mut self) -> Result<Option<NextFrame>, Piece> {
        let Some(attempt) = self.attempt.take() else {
            return Ok(None);
        };
        let status = Some(attempt.head.status);
        self.record_partial();
        let Attempt {
            head,
            reply,
            mut body,
            connection,
            guard,
            ..
        } = attempt;
        let progress = async move {
            let frame = body.frame().await;
            (frame, (head, reply, body, connection))
        };
        let mut present = Present {
            progress: progress.boxed_local(),
            guard,
            status,
        };
        // After an event without an ID no other endpoint can go on.
        let resumable = !self.event_delivered || self.last.is_some();
        let resume = match self.event_delivered {
            true => self.last,
            false => self.received_before,
        };
        let (next, guard) = loop {
            if self.proxied.time_left() == Duration::ZERO {
                return Err(self.stall(present, BodyEnd::Silent));
            }
            if resumable {
                let succession = self.proxied.succeed(present, resume, failure_of);
                present = match succession.await {
                    Succession::Heard(next, guard) => break (next, guard),
                    Succession::Kept(present) => present,
                    Succession::Replaced(attempt) => return self.go_on_with(attempt),
                    Succession::Failed(refusal) => return Err(Piece::Refused(refusal)),
                };
            }
            let patience = self.patience(&present.guard);
            tokio::select! {
                biased;
                () = self.held.ended() => {
                    self.proxied.log_no_memory(&present.guard.target);
                    return Err(self.stall(present, BodyEnd::Overlong));
                }
                heard = timeout(patience, &mut present.progress) => {
                    if let Ok(next) = heard {
                        break (next, present.guard);
                    }
                }
            }
        };
        let (frame, (head, reply, body, connection)) = next;
        self.attempt = Some(Attempt::new((head, reply, body), connection, guard));
        Ok(Some(frame))
    }

    /// Ends a silent attempt, and closes its connection.
    fn stall(&mut self, present: Present<Next>, end: BodyEnd) -> Piece {
        drop(present.progress);
        self.proxied.record_end(Some(end));
        let outcome = AttemptOutcome::Stalled;
        self.proxied.end(present.guard, outcome, present.status);
        Piece::Stalled
    }

    /// Goes on with the answer of an attempt that has taken over.
    fn go_on_with(&mut self, attempt: Box<Attempt>) -> Result<Option<NextFrame>, Piece> {
        if !attempt.head.status.is_success() {
            return Err(Piece::NoStream(attempt));
        }
        self.adopt(*attempt);
        Ok(None)
    }

    fn adopt(&mut self, attempt: Attempt) {
        self.events = EventSplitter::default();
        self.held = self.proxied.reservation();
        self.events.push(&attempt.ahead);
        self.resumed = self.event_delivered;
        if !self.event_delivered {
            self.head = attempt.head.clone();
        }
        self.attempt = Some(attempt);
        self.heard = now();
        self.longest_pause = Millis(0);
    }

    /// Judges the end of the endpoint's answer, where the connection reports one.
    ///
    /// A stream of events that ends within an event was broken off, however its end is marked. One without events
    /// that ends with its connection was, too.
    fn judge_end(&mut self) -> Piece {
        let is_stream = self.is_event_stream();
        let received = self.proxied.received.as_ref();
        let unmarked = received.is_some_and(|r| r.framing.ends_connection());
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
        self.record_partial();
        self.proxied.record_end(end);
    }

    fn record_partial(&mut self) {
        if let Some(received) = &mut self.proxied.received
            && received.end.is_none()
        {
            received.partial = self.events.partial_len();
        }
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
        let attempt = self.attempt.take();
        attempt.map_or(NextStep::GiveUp, |a| self.proxied.abandon(a, outcome))
    }

    /// Resumes the stream at another endpoint after the last event; returns why that failed.
    async fn resume(&mut self) -> Result<(), Option<Cause>> {
        let resumable = matches!(
            self.proxied.ticket.route.kind,
            Kind::Stream { resumable: true }
        );
        let last = self.last.filter(|_| resumable).ok_or(None)?;
        loop {
            let started = self.proxied.start(Some(last)).await;
            let attempt = started.map_err(|refusal| Some(refusal.cause))?;
            if attempt.head.status.is_success() {
                self.adopt(attempt);
                return Ok(());
            }
            self.end_failed(attempt)?;
        }
    }

    /// Ends an attempt whose answer is an error; fails if no other attempt follows.
    fn end_failed(&mut self, attempt: Attempt) -> Result<(), Option<Cause>> {
        match self.proxied.abandon(attempt, AttemptOutcome::Failed) {
            NextStep::Again => Ok(()),
            _ => Err(Some(Cause::EndpointFailed)),
        }
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
            ended => {
                let outcome = ended.outcome();
                let silent = now().since(relay.heard);
                let resumed = match ended {
                    Piece::Refused(refusal) => Err(Some(refusal.cause)),
                    Piece::NoStream(attempt) => match relay.end_failed(*attempt) {
                        Ok(()) => relay.resume().await,
                        Err(cause) => Err(cause),
                    },
                    _ => match relay.end(outcome) {
                        NextStep::Again => relay.resume().await,
                        _ => Err(None),
                    },
                };
                if let Err(cause) = resumed {
                    let at = (relay.last, silent);
                    relay.proxied.log_stream_lost(outcome, cause, at);
                    // The HTTP library drops its output buffer when a body fails, so it gets to flush the buffer first.
                    yield_now().await;
                    return Some((Err(BodyAborted), None));
                }
            }
        }
    }
}
