//! A value that readers see late.

use std::{
    collections::VecDeque,
    time::Duration, //
};
use tokio::time::Instant;

/// Most past values kept; beyond it the oldest is forgotten and the lag gets shorter.
const MAX_VALUES: usize = 4096;

/// `Lagged` is a value with its recent past.
///
/// # Invariants
///
/// There's always at least one value, and the values stand in the order of their time.
#[derive(Debug)]
pub(crate) struct Lagged<T> {
    first: (Instant, T),
    later: VecDeque<(Instant, T)>,
}

impl<T> Lagged<T> {
    /// Creates it with a value that is seen from the start.
    pub(crate) fn new(value: T) -> Self {
        Self {
            first: (Instant::now(), value),
            later: VecDeque::new(),
        }
    }

    /// Sets the value from now on.
    pub(crate) fn set(&mut self, value: T) {
        if self.later.len() == MAX_VALUES
            && let Some(oldest) = self.later.pop_front()
        {
            self.first = oldest;
        }
        self.later.push_back((Instant::now(), value));
    }

    /// Gets the value of `lag` ago and its age, which is shorter when there was none yet.
    pub(crate) fn seen(&self, lag: Duration) -> (Duration, &T) {
        let now = Instant::now();
        let known = self
            .later
            .iter()
            .rev()
            .find(|(since, _)| *since + lag <= now);
        let (_, value) = known.unwrap_or(&self.first);
        (lag.min(now - self.first.0), value)
    }
}
