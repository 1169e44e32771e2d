//! Flap damping: an endpoint that goes down again and again is kept in reserve for a while.
//!
//! After RFC 2439: each flap adds to a penalty that decays with a half-life. Above one threshold
//! the endpoint is suppressed, below a lower one it is used again. The penalty has a ceiling, so
//! the longest suppression is bounded: the half-life times log2(ceiling / reuse), 60 s by [`RULE`].

use crate::units::{
    Millis,
    Time, //
};

/// `Rule` is the numbers of the damping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Penalty of one flap (RFC 2439, section 4.2 calls it the figure of merit).
    pub flap: u32,
    /// Penalty at which an endpoint is suppressed.
    pub suppress: u32,
    /// Penalty below which it is used again.
    pub reuse: u32,
    /// Greatest penalty.
    pub ceiling: u32,
    /// Time in which a penalty halves.
    pub half_life: Millis,
}

/// The rule in use; docs/design/membership.md gives the measurement behind it.
pub const RULE: Rule = Rule {
    flap: 1000,
    suppress: 2500,
    reuse: 1000,
    ceiling: 4000,
    half_life: Millis::from_secs(30),
};

/// `Penalty` is the flap history of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Penalty {
    rule: Rule,
    value: u32,
    at: Time,
    suppressed: bool,
}

impl Default for Penalty {
    fn default() -> Self {
        Self::new(RULE)
    }
}

impl Penalty {
    /// Makes an empty history under a rule.
    pub const fn new(rule: Rule) -> Self {
        Self {
            rule,
            value: 0,
            at: Time(0),
            suppressed: false,
        }
    }

    /// Adds one flap.
    pub fn flap(&mut self, now: Time) {
        let Rule { flap, ceiling, .. } = self.rule;
        self.suppressed = self.suppressed(now);
        self.value = self.value(now).saturating_add(flap).min(ceiling);
        self.at = now;
        self.suppressed |= self.value >= self.rule.suppress;
    }

    /// Takes one flap back that turned out not to be the endpoint's fault.
    pub fn forgive(&mut self, now: Time) {
        self.value = self.value(now).saturating_sub(self.rule.flap);
        self.at = now;
        self.suppressed &= self.value >= self.rule.suppress;
    }

    /// Gets the penalty as decayed by `now`: halved each half-life, linear in between.
    pub fn value(&self, now: Time) -> u32 {
        let half = self.rule.half_life.0.max(1);
        let age = now.since(self.at).0;
        let halves = u32::try_from(age / half).unwrap_or(u32::MAX);
        let halved = u64::from(self.value.checked_shr(halves).unwrap_or(0));
        let lost = halved * (age % half) / (2 * half);
        u32::try_from(halved - lost).unwrap_or(self.rule.ceiling)
    }

    /// Tells whether the endpoint is suppressed.
    pub fn suppressed(&self, now: Time) -> bool {
        self.suppressed && self.value(now) >= self.rule.reuse
    }
}
