//! When an attempt may be given up because its endpoint keeps silent, and what has to be held before.
//!
//! An endpoint that pauses is not told from one that hangs. So the attempt stays open until another one has sent the
//! first event of its stream, or the whole of another answer: until then each step of the successor (limits, placement,
//! connection, hand-off, its answer) may fail, and the endpoint may go on after all. Two endpoints may run a stream for
//! [`MAX_OVERLAP`] at most; a successor that has not failed by then takes over. Of other requests, which may run more than
//! once, both attempts go on until one has answered.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use bytes::BytesMut;
use futures_util::future::{
    FutureExt as _,
    LocalBoxFuture, //
};
use http::StatusCode;
use http_body_util::BodyExt as _;
use tokio::{
    sync::Notify,
    time::{
        Instant,
        sleep_until,
        timeout, //
    },
};
use toucanturn_core::gateway::{
    outcome::{
        AttemptOutcome,
        NextStep, //
    },
    refusal::{
        Cause,
        Refusal, //
    },
};

use crate::{
    framing::BodyEnd,
    log::text,
    proxied::{
        Attempt,
        AttemptGuard,
        ProxiedRequest,
        Target,
        report::endpoint_name, //
    },
    sse::EventSplitter,
    state::now,
};

/// Longest time for which two endpoints may run one stream, from sending it to the second one or to the peer that sends it
/// there. 400 ms are allowed; the rest is for the way to the endpoint and for a router that waits for its share of a
/// processor.
const MAX_OVERLAP: Duration = Duration::from_millis(250);
/// Bytes of a stream after which it counts as begun although its first event is not complete.
const MAX_AHEAD_BYTES: usize = 64 << 10;

/// `Present` is an attempt whose endpoint keeps silent. `progress` completes when the endpoint sends something, and
/// owns the connection.
pub(crate) struct Present<T> {
    pub(crate) progress: LocalBoxFuture<'static, T>,
    pub(crate) guard: AttemptGuard,
    /// Status of its answer, if the head has arrived.
    pub(crate) status: Option<StatusCode>,
}

/// `Succession` is how the search for a successor ended.
pub(crate) enum Succession<T> {
    /// The endpoint has sent something; its attempt goes on.
    Heard(T, AttemptGuard),
    /// No other endpoint has taken over; the attempt goes on.
    Kept(Present<T>),
    /// Another attempt has taken over, and the silent one was ended. The request's state is that of the new one.
    Replaced(Box<Attempt>),
    /// The silent attempt was ended, and its successor failed.
    Failed(Refusal),
}

/// `Dispatch` tells whether an attempt is under way.
#[derive(Debug, Default)]
pub(super) struct Dispatch {
    sent: Cell<Option<Instant>>,
    to_peer: Cell<bool>,
    changed: Notify,
}

impl Dispatch {
    /// Records that an attempt is sent. A peer may send it on at once, and only its answer tells whether it did.
    pub(super) fn begin(&self, target: &Target) {
        self.sent.set(Some(Instant::now()));
        self.to_peer.set(matches!(target, Target::Peer { .. }));
        self.changed.notify_one();
    }

    /// Records that the attempt has ended.
    pub(super) fn end(&self) {
        self.sent.set(None);
        self.to_peer.set(false);
        self.changed.notify_one();
    }

    /// Waits until an attempt has been under way for [`MAX_OVERLAP`].
    async fn overlapped(&self) {
        loop {
            let Some(sent) = self.sent.get() else {
                self.changed.notified().await;
                continue;
            };
            tokio::select! {
                () = sleep_until(sent + MAX_OVERLAP) => return,
                () = self.changed.notified() => {}
            }
        }
    }
}

/// `First` is what happens first while a successor is under way.
enum First<T> {
    Heard(T),
    Begun(Result<Box<Attempt>, Cause>),
    Overlapped,
}

/// `Takeover` is what became of a successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum Takeover {
    /// The present attempt went on, and it was withdrawn.
    Withdrawn,
    /// It could not be sent, or failed, and the present attempt goes on.
    Refused,
    /// It has sent the first event of its stream, or the whole of another answer.
    Begun,
    /// It has taken over before it has begun to answer, after [`MAX_OVERLAP`].
    Overlapped,
    /// The present attempt has failed meanwhile.
    Inherited,
}

impl ProxiedRequest {
    /// Looks for another endpoint while that of the present attempt keeps silent. `failure` tells how the present
    /// attempt ended if what its endpoint has sent is a failure.
    pub(crate) async fn succeed<T>(
        &mut self,
        present: Present<T>,
        resume: Option<u64>,
        failure: impl Fn(&T) -> Option<AttemptOutcome>,
    ) -> Succession<T> {
        self.note_silence(&present.guard);
        let Some(mut successor) = self.begin_successor() else {
            return Succession::Kept(present);
        };
        let Present {
            mut progress,
            guard,
            status,
        } = present;
        let dispatch = Rc::clone(&successor.dispatch);
        // Boxed, as the successor may need a successor itself.
        let mut begin = successor.begin(resume).boxed_local();
        let is_stream = self.ticket.route.kind.streams();
        let first = tokio::select! {
            biased;
            heard = &mut progress => First::Heard(heard),
            begun = &mut begin => First::Begun(begun),
            () = dispatch.overlapped(), if is_stream => First::Overlapped,
        };
        let (takeover, outcome, begun) = match first {
            First::Heard(heard) => match failure(&heard) {
                None => {
                    let in_peer = dispatch.to_peer.get();
                    drop(begin);
                    self.withdraw(&guard, (successor, in_peer), Takeover::Withdrawn, None);
                    return Succession::Heard(heard, guard);
                }
                Some(outcome) => (Takeover::Inherited, outcome, None),
            },
            First::Begun(Err(cause)) => {
                drop(begin);
                self.withdraw(&guard, (successor, false), Takeover::Refused, Some(cause));
                return Succession::Kept(Present {
                    progress,
                    guard,
                    status,
                });
            }
            First::Begun(Ok(attempt)) => (Takeover::Begun, AttemptOutcome::Stalled, Some(attempt)),
            First::Overlapped => (Takeover::Overlapped, AttemptOutcome::Stalled, None),
        };
        drop(progress);
        let is_sent = begun.is_some() || dispatch.sent.get().is_some();
        let next = self.take_over((guard, outcome, status), takeover);
        if next == NextStep::GiveUp && !is_sent {
            drop(begin);
            return Succession::Failed(self.given_up(outcome.cause()));
        }
        let begun = match begun {
            Some(attempt) => {
                drop(begin);
                Ok(attempt)
            }
            None => begin.await,
        };
        *self = successor;
        match begun {
            Ok(attempt) => Succession::Replaced(attempt),
            Err(cause) => Succession::Failed(self.given_up(cause)),
        }
    }

    /// Notes that the endpoint of an attempt keeps silent. A peer notices its endpoint's silence itself.
    pub(super) fn note_silence(&self, guard: &AttemptGuard) {
        if let Target::Endpoint(endpoint) = guard.target {
            let mut gateway = self.state.gateway.borrow_mut();
            gateway.kept_silent(now(), &self.ticket, endpoint);
        }
    }

    /// Makes attempts until one can take over; ends one that can't, and returns why.
    async fn begin(&mut self, resume: Option<u64>) -> Result<Box<Attempt>, Cause> {
        let started = self.start(resume).await;
        let mut attempt = Box::new(started.map_err(|refusal| refusal.cause)?);
        let status = attempt.head.status;
        let suits = match resume {
            Some(_) => status.is_success(),
            // A promise that nothing has run would hide that the silent endpoint may have run it.
            None => !status.is_server_error() && !(self.state.protocol.promises_not_run)(status),
        };
        let outcome = match suits {
            true => self.read_ahead(&mut attempt, resume).await,
            false => Some(AttemptOutcome::Failed),
        };
        let Some(outcome) = outcome else {
            return Ok(attempt);
        };
        self.abandon(*attempt, outcome);
        Err(outcome.cause())
    }

    /// Reads the first event of a stream, or the whole of another answer; returns how that failed.
    async fn read_ahead(
        &mut self,
        attempt: &mut Attempt,
        resume: Option<u64>,
    ) -> Option<AttemptOutcome> {
        if !self.ticket.route.kind.streams() {
            return self.collect(attempt).await.err();
        }
        // A successor of this attempt's own has read ahead already.
        if !attempt.ahead.is_empty() {
            return None;
        }
        let by_close = self.received.is_some_and(|r| r.framing.ends_connection());
        let limit = self.silence_timeout(&attempt.guard, false);
        let mut events = EventSplitter::default();
        let mut ahead = BytesMut::new();
        let outcome = loop {
            let frame = match timeout(limit, attempt.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                // An answer that is no stream may be complete; it can't complete a stream.
                Ok(None) if !by_close && (ahead.is_empty() || resume.is_none()) => {
                    break None;
                }
                Ok(None | Some(Err(_))) => {
                    self.record_end(Some(BodyEnd::Lost));
                    break Some(AttemptOutcome::Broken);
                }
                // Its own silence is judged where the stream is forwarded.
                Err(_) => break None,
            };
            if let Ok(data) = frame.into_data() {
                ahead.extend_from_slice(&data);
                events.push(&data);
            }
            if events.next_event().is_some() || ahead.len() > MAX_AHEAD_BYTES {
                break None;
            }
        };
        attempt.ahead = ahead.freeze();
        outcome
    }

    /// Makes the state of a successor; `None` if no other attempt may follow.
    fn begin_successor(&mut self) -> Option<Self> {
        let mut gateway = self.state.gateway.borrow_mut();
        let ticket = gateway.begin_successor(now(), &mut self.ticket)?;
        drop(gateway);
        Some(Self {
            state: self.state.clone(),
            incoming_request: self.incoming_request.clone(),
            ticket,
            method: self.method.clone(),
            uri: self.uri.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            began: self.began,
            stated: None,
            slowdown: None,
            first: None,
            received: None,
            progress: Rc::clone(&self.progress),
            inquiry_left: self.inquiry_left,
            read_wait_left: self.read_wait_left,
            dispatch: Rc::default(),
        })
    }

    /// Ends the silent attempt, whose connection is closed.
    fn take_over(
        &mut self,
        (guard, outcome, status): (AttemptGuard, AttemptOutcome, Option<StatusCode>),
        takeover: Takeover,
    ) -> NextStep {
        if outcome == AttemptOutcome::Stalled {
            self.record_end(Some(BodyEnd::Silent));
        }
        self.log_succession(&guard, takeover, None);
        self.end(guard, outcome, status)
    }

    /// Lets the present attempt go on; what its successor has used up counts for the request.
    fn withdraw(
        &mut self,
        guard: &AttemptGuard,
        (successor, in_peer): (Self, bool),
        takeover: Takeover,
        cause: Option<Cause>,
    ) {
        let mut gateway = self.state.gateway.borrow_mut();
        gateway.withdraw_successor(&mut self.ticket, &successor.ticket, in_peer);
        drop(gateway);
        self.log_succession(guard, takeover, cause);
    }

    fn log_succession(&self, guard: &AttemptGuard, takeover: Takeover, cause: Option<Cause>) {
        let metrics = &self.state.metrics;
        metrics.count("successors", &takeover.to_string());
        let Target::Endpoint(endpoint) = guard.target else {
            return;
        };
        if !self.state.log.try_admit() {
            return;
        }
        let gateway = self.state.gateway.borrow();
        tracing::info!(
            event = 614,
            id = %text(&self.incoming_request.id),
            endpoint = %endpoint_name(&gateway, endpoint),
            %takeover,
            cause = cause.map(|c| c.to_string()),
            attempts = self.ticket.attempts(),
            took = now().since(self.began).0,
            left = self.ticket.until.since(now()).0,
            "successor of a silent attempt"
        );
    }
}
