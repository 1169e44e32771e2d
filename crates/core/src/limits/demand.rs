//! Estimate of the request rate.

use crate::units::{
    Millis,
    Time, //
};

const WINDOW_MS: u64 = 1000;

/// `Demand` estimates the requests per second from those of about the last second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    /// Thousandths of requests.
    milli: u64,
    updated: Time,
}

impl Demand {
    /// Adds requests to the estimate.
    pub(crate) fn note(&mut self, now: Time, requests: u32) {
        self.milli = self.milli(now) + u64::from(requests) * 1000;
        self.updated = now;
    }

    /// Gets the expected number of requests in `span`.
    pub(crate) fn within(&self, now: Time, span: Millis) -> u32 {
        let requests = self.milli(now).saturating_mul(span.0) / WINDOW_MS / 1000;
        u32::try_from(requests).unwrap_or(u32::MAX)
    }

    fn milli(&self, now: Time) -> u64 {
        let weight = WINDOW_MS.saturating_sub(now.since(self.updated).0);
        self.milli * weight / WINDOW_MS
    }
}
