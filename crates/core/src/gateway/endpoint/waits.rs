//! How long requests wait at an endpoint for the beginning of their answers.
//!
//! An endpoint states its load in its answers. One that is late doesn't answer, so its last statement is
//! from before; what it has to read is seen first in the requests that are still unanswered.

use std::collections::VecDeque;

use crate::{
    gateway::remaining_fraction,
    units::{
        Millis,
        Time, //
    },
};

/// Limit of the unanswered requests that are kept for an endpoint; beyond it the oldest is dropped, so
/// that the wait counts as shorter than it is.
const MAX_UNANSWERED: usize = 32;
/// Time in which an observed wait halves. Requests before it are read meanwhile, and others come.
const HALF_LIFE: Millis = Millis(400);
/// Age from which an observation is ignored.
const TTL: Millis = Millis(2000);
/// Time for which the estimate of a backlog's keeper counts instead of what was observed. It knows what other
/// routers have sent, and more is sent meanwhile.
const ESTIMATE_TTL: Millis = Millis(50);
/// Shortest wait that peers are told of: a shorter one has ended before most of them hear of it.
const MIN_REPORTED: Millis = Millis(50);
/// Age from which an observation is not passed on.
const FORWARD_TTL: Millis = Millis(600);

/// `Observation` is how long a request had waited at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Observation {
    at: Time,
    wait: Millis,
    /// Whether it still waited then.
    unanswered: bool,
}

/// `Waits` is what a router knows of the waits at one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Waits {
    /// Send times of this router's requests whose answers have not begun, oldest first.
    unanswered: VecDeque<Time>,
    newest: Option<Observation>,
    /// What the keeper of the backlog has estimated, and when.
    estimate: Option<(Time, Millis)>,
}

impl Waits {
    /// Notes that a request is sent.
    pub fn sent(&mut self, now: Time) {
        self.unanswered.push_back(now);
        if self.unanswered.len() > MAX_UNANSWERED {
            self.unanswered.pop_front();
        }
    }

    /// Notes that the answer to a request has begun.
    pub fn begun(&mut self, now: Time, sent: Time) {
        self.remove(sent);
        self.record(Observation {
            at: now,
            wait: now.since(sent),
            unanswered: false,
        });
    }

    /// Notes that a request has ended, of which the send time may not be known; `in_flight` are left.
    pub fn ended(&mut self, sent: Option<Time>, in_flight: u32) {
        if let Some(sent) = sent {
            self.remove(sent);
        }
        let in_flight = usize::try_from(in_flight).unwrap_or(usize::MAX);
        while self.unanswered.len() > in_flight {
            self.unanswered.pop_front();
        }
    }

    /// Notes a wait that a peer has reported.
    pub fn record_peer(&mut self, at: Time, wait: Millis, unanswered: bool) {
        self.record(Observation {
            at,
            wait,
            unanswered,
        });
    }

    /// Notes how long a new request waits, by the keeper of the endpoint's backlog.
    pub fn record_estimate(&mut self, now: Time, wait: Millis) {
        self.estimate = Some((now, wait));
    }

    /// Gets how long a new request probably waits before those ahead of it are read.
    pub fn expected(&self, now: Time) -> Millis {
        let estimate = self
            .estimate
            .filter(|(at, _)| now.since(*at) < ESTIMATE_TTL);
        let others = match (estimate, self.newest) {
            (Some((_, wait)), _) => wait,
            (None, Some(observed)) => observed.remaining(now),
            (None, None) => Millis(0),
        };
        self.own(now).max(others)
    }

    /// Gets what peers are told of unanswered requests: how long one has waited, and the age of that.
    pub fn report(&self, now: Time) -> Option<(Millis, Millis)> {
        let own = self.own(now);
        let told = self.newest.filter(|o| o.unanswered);
        let told = told.map(|o| (o.wait, now.since(o.at)));
        let told = told.filter(|(wait, age)| *wait > own && *age < FORWARD_TTL);
        let (wait, age) = told.unwrap_or((own, Millis(0)));
        (wait >= MIN_REPORTED).then_some((wait, age))
    }

    fn own(&self, now: Time) -> Millis {
        let oldest = self.unanswered.front();
        oldest.map_or(Millis(0), |sent| now.since(*sent))
    }

    fn remove(&mut self, sent: Time) {
        if let Some(index) = self.unanswered.iter().position(|at| *at == sent) {
            self.unanswered.remove(index);
        }
    }

    /// Keeps the newer observation. One that still waits says only that it takes so long at least, so it
    /// doesn't replace what lets expect more.
    fn record(&mut self, new: Observation) {
        let replaced = self.newest.is_none_or(|held| {
            held.at < new.at && (!new.unanswered || new.wait >= held.remaining(new.at))
        });
        if replaced {
            self.newest = Some(new);
        }
    }
}

impl Observation {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "waits are seconds at most, and the cast saturates"
    )]
    fn remaining(self, now: Time) -> Millis {
        let age = now.since(self.at);
        if age >= TTL {
            return Millis(0);
        }
        Millis((self.wait.0 as f32 * remaining_fraction(age, HALF_LIFE)) as u64)
    }
}
