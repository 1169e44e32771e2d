//! The token bucket of the weight store.

use std::time::Duration;
use tokio::time::Instant;

/// `Weights` is a token bucket that fills at a set rate.
#[derive(Debug)]
pub(super) struct Weights {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled: Instant,
}

impl Weights {
    /// Creates a full bucket.
    pub(super) fn new(per_second: u32, burst: u32) -> Self {
        let burst = f64::from(burst);
        Self {
            per_second: f64::from(per_second),
            burst,
            tokens: burst,
            filled: Instant::now(),
        }
    }

    /// Takes one token and gets how many are left, or how long until there's one.
    pub(super) fn take(&mut self) -> Result<f64, Duration> {
        let now = Instant::now();
        let earned = (now - self.filled).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + earned).min(self.burst);
        self.filled = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(self.tokens);
        }
        let wait = (1.0 - self.tokens) / self.per_second;
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }
}
