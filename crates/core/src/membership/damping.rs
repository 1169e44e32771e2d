//! Flap damping: an endpoint that goes down repeatedly is suppressed for a while.
//!
//! After RFC 2439: each flap adds to a penalty that decays with a half-life. At one threshold the
//! endpoint is suppressed, below a lower one it is used again. The penalty has a ceiling, so the
//! longest suppression is bounded: the half-life times log2(ceiling / reuse), 60 s by
//! [`DEFAULT_PARAMS`].

use crate::units::{
    Millis,
    Time, //
};

/// `DampingParams` holds the parameters of flap damping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DampingParams {
    /// Penalty of one flap (RFC 2439, section 4.2 calls it the figure of merit).
    pub flap: u32,
    /// Penalty at which an endpoint is suppressed.
    pub suppress: u32,
    /// Penalty below which a suppressed endpoint is used again.
    pub reuse: u32,
    /// Largest penalty.
    pub ceiling: u32,
    /// Time in which a penalty halves.
    pub half_life: Millis,
}

/// The parameters in use; docs/design/membership.md gives the reasons for them.
pub const DEFAULT_PARAMS: DampingParams = DampingParams {
    flap: 1000,
    suppress: 2500,
    reuse: 1000,
    ceiling: 4000,
    half_life: Millis::from_secs(30),
};

/// `Penalty` is the flap history of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Penalty {
    params: DampingParams,
    value: u32,
    updated_at: Time,
    suppressed: bool,
}

impl Default for Penalty {
    fn default() -> Self {
        Self::new(DEFAULT_PARAMS)
    }
}

impl Penalty {
    /// Makes an empty history with these parameters.
    pub const fn new(params: DampingParams) -> Self {
        Self {
            params,
            value: 0,
            updated_at: Time(0),
            suppressed: false,
        }
    }

    /// Adds one flap.
    pub fn flap(&mut self, now: Time) {
        let DampingParams { flap, ceiling, .. } = self.params;
        self.suppressed = self.suppressed(now);
        self.value = self.value(now).saturating_add(flap).min(ceiling);
        self.updated_at = now;
        self.suppressed |= self.value >= self.params.suppress;
    }

    /// Removes one flap that turned out not to be the endpoint's fault.
    pub fn remove_flap(&mut self, now: Time) {
        self.value = self.value(now).saturating_sub(self.params.flap);
        self.updated_at = now;
        self.suppressed &= self.value >= self.params.suppress;
    }

    /// Gets the penalty decayed to `now`: halved in each half-life, and linear in between.
    pub fn value(&self, now: Time) -> u32 {
        let half = self.params.half_life.0.max(1);
        let age = now.since(self.updated_at).0;
        let halves = u32::try_from(age / half).unwrap_or(u32::MAX);
        let halved = u64::from(self.value.checked_shr(halves).unwrap_or(0));
        let lost = halved * (age % half) / (2 * half);
        u32::try_from(halved - lost).unwrap_or(self.params.ceiling)
    }

    /// Tells whether the endpoint is suppressed.
    pub fn suppressed(&self, now: Time) -> bool {
        self.suppressed && self.value(now) >= self.params.reuse
    }
}
