//! Flap damping: an endpoint that goes down again and again is kept in reserve for a while.
//!
//! After RFC 2439: each flap adds to a penalty that decays with a half-life. Above one threshold
//! the endpoint is suppressed, below a lower one it is used again. The penalty has a ceiling, so
//! the longest suppression is bounded: [`HALF_LIFE`] times log2([`CEILING`] / [`REUSE`]).

use crate::units::{
    Millis,
    Time, //
};

/// Penalty of one flap (RFC 2439, section 4.2 calls it the figure of merit).
pub const FLAP: u32 = 1000;

/// Penalty at which an endpoint is suppressed.
pub const SUPPRESS: u32 = 2500;

/// Penalty below which it is used again.
pub const REUSE: u32 = 1000;

/// Greatest penalty.
pub const CEILING: u32 = 6000;

/// Time in which a penalty halves.
pub const HALF_LIFE: Millis = Millis::from_secs(10);

/// `Penalty` is the flap history of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Penalty {
    value: u32,
    at: Time,
    suppressed: bool,
}

impl Penalty {
    /// Adds one flap.
    pub fn flap(&mut self, now: Time) {
        self.value = self.value(now).saturating_add(FLAP).min(CEILING);
        self.at = now;
        self.suppressed = self.suppressed(now) || self.value >= SUPPRESS;
    }

    /// Takes one flap back that turned out not to be the endpoint's fault.
    pub fn forgive(&mut self, now: Time) {
        self.value = self.value(now).saturating_sub(FLAP);
        self.at = now;
        self.suppressed &= self.value >= SUPPRESS;
    }

    /// Gets the penalty as decayed by `now`: halved each half-life, linear in between.
    pub fn value(&self, now: Time) -> u32 {
        let age = now.since(self.at).0;
        let halves = u32::try_from(age / HALF_LIFE.0).unwrap_or(u32::MAX);
        let halved = u64::from(self.value.checked_shr(halves).unwrap_or(0));
        let part = age % HALF_LIFE.0;
        let lost = halved * part / (2 * HALF_LIFE.0);
        u32::try_from(halved - lost).unwrap_or(CEILING)
    }

    /// Tells whether the endpoint is suppressed.
    pub fn suppressed(&self, now: Time) -> bool {
        self.suppressed && self.value(now) >= REUSE
    }
}
