//! How many requests come.

use crate::units::{
    Millis,
    Time, //
};

const SECOND: u64 = 1000;

/// `Demand` estimates requests a second, with a memory of about one second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    milli: u64,
    noted: Time,
}

impl Demand {
    /// Notes requests.
    pub(crate) fn note(&mut self, now: Time, requests: u32) {
        self.milli = self.milli(now) + u64::from(requests) * 1000;
        self.noted = now;
    }

    /// Gets the requests that a time of this length brings.
    pub(crate) fn within(&self, now: Time, span: Millis) -> u32 {
        let requests = self.milli(now).saturating_mul(span.0) / SECOND / 1000;
        u32::try_from(requests).unwrap_or(u32::MAX)
    }

    fn milli(&self, now: Time) -> u64 {
        let left = SECOND.saturating_sub(now.since(self.noted).0);
        self.milli * left / SECOND
    }
}
