//! The failure rate and the latency of an endpoint's newest answers.

use crate::{
    gateway::{
        endpoint::{
            Endpoint,
            State, //
        },
        outcome::AttemptOutcome,
        remaining_fraction, //
    },
    units::{
        Millis,
        Time, //
    },
};

/// Consecutive broken or stalled answers after which an endpoint is paused.
const PAUSE_AFTER_BROKEN: u32 = 2;
/// Weight of the newest answer in the failure rate; about the last eight answers count.
const FAILURE_RATE_WEIGHT: f32 = 0.125;
/// Time in which the failure rate halves without answers. An endpoint that gets no requests gives
/// no answers, so without the decay it would stay idle long after its recovery while the other
/// endpoints are overloaded.
const FAILURE_RATE_HALF_LIFE: Millis = Millis(1000);
/// Weight of the newest answer in the latency; about the last three answers count. A queue fills
/// and empties within a few answers of its endpoint, and one router sees only a few of them.
const LATENCY_WEIGHT: f32 = 0.3;
/// Time in which the latency halves without answers, so that an endpoint that was slow is tried
/// again.
const LATENCY_HALF_LIFE: Millis = Millis(2000);
/// Age from which the latency of answers is not known any more. A router of a large fleet gets an answer
/// of each endpoint of a busy service every second or two.
const LATENCY_TTL: Millis = Millis(4000);
/// Latency that a rejected request counts as: the caller waits before it retries, and the retry
/// then takes as long as any other request.
const REJECTED_LATENCY: Millis = Millis(600);
/// Least latency that a failed answer counts as, because it may cost another attempt. With its real
/// latency, an endpoint that fails at once would get several times its share of the requests.
const MIN_FAILED_LATENCY: Millis = Millis(300);
/// Latency that a broken answer counts as. It is high because requests that must not run twice are
/// lost.
const BROKEN_LATENCY: Millis = Millis(1500);

impl Endpoint {
    /// Gets the recent failure rate of its answers, from 0 to 1.
    pub fn failure_rate(&self, now: Time) -> f32 {
        let (at, share) = self.failure_rate;
        share * remaining_fraction(now.since(at), FAILURE_RATE_HALF_LIFE)
    }

    /// Gets the recent latency of its answers in milliseconds; `None` if there were none within
    /// [`LATENCY_TTL`].
    pub fn latency(&self, now: Time) -> Option<f32> {
        let (at, latency) = self.latency?;
        let age = now.since(at);
        (age < LATENCY_TTL).then(|| latency * remaining_fraction(age, LATENCY_HALF_LIFE))
    }

    /// Notes how an attempt ended, and how long it took.
    pub fn ended(&mut self, now: Time, outcome: AttemptOutcome, took: Millis) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        let sent = (outcome != AttemptOutcome::Left).then(|| now - took);
        self.waits.ended(sent, self.own_in_flight);
        match outcome {
            AttemptOutcome::Answered => {
                self.consecutive_failures = 0;
                self.paused_until = None;
                self.update_latency(now, took);
                self.update_failure_rate(now, 0.0);
            }
            AttemptOutcome::Failed => {
                self.update_latency(now, took.max(MIN_FAILED_LATENCY));
                self.update_failure_rate(now, 1.0);
            }
            AttemptOutcome::Broken | AttemptOutcome::Stalled => {
                self.update_latency(now, BROKEN_LATENCY);
                self.update_failure_rate(now, 1.0);
                self.consecutive_failures += 1;
                if self.consecutive_failures >= PAUSE_AFTER_BROKEN {
                    self.pause(now, self.consecutive_failures - PAUSE_AFTER_BROKEN);
                }
            }
            AttemptOutcome::Rejected => {
                self.update_latency(now, REJECTED_LATENCY);
                self.record_full(now);
            }
            AttemptOutcome::Misdirected => self.state = State::Gone,
            AttemptOutcome::NotSent | AttemptOutcome::Left => {}
        }
    }

    /// Updates the failure rate with one answer: 1 for a failure, 0 for a success.
    fn update_failure_rate(&mut self, now: Time, failure: f32) {
        let share = self.failure_rate(now);
        self.failure_rate = (now, share + (failure - share) * FAILURE_RATE_WEIGHT);
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "milliseconds of an answer are few"
    )]
    fn update_latency(&mut self, now: Time, took: Millis) {
        let took = took.0 as f32;
        let before = self.latency(now).unwrap_or(took);
        self.latency = Some((now, before + (took - before) * LATENCY_WEIGHT));
    }
}
