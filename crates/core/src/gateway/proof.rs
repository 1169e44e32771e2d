//! How old what this router acts on may be.
//!
//! A key that was taken away may still be in the configuration that a router holds, and an endpoint
//! that has left among its entries. The router can't notice this when it is cut off, was suspended,
//! can't read as fast as the registry grows, or reads from one that lags. So it acts only while it can
//! prove that what it holds was the newest state not long ago, and for each kind of knowledge only for
//! as long as is promised of that kind.

use crate::{
    gateway::settings::Bounds,
    units::{
        Millis,
        Time, //
    },
};

/// `FreshnessProof` is the sending time of the newest read that was answered with the newest state.
///
/// The time of sending counts, not that of the answer: a change that was acknowledged while the
/// answer was on its way is not in it. Times are of a clock that counts suspension.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FreshnessProof {
    read: Option<Time>,
    /// When the registry was last known to hold something newer.
    newer: Option<Time>,
}

impl FreshnessProof {
    /// Notes a read.
    pub fn renew(&mut self, sent: Time) {
        self.read = self.read.max(Some(sent));
    }

    /// Notes that a call that was sent at `sent` told of something newer, which isn't read yet.
    pub fn outdated(&mut self, sent: Time) {
        self.newer = self.newer.max(Some(sent));
    }

    /// Gets when what is known was last the newest state; `None` before the first read.
    pub fn read(&self) -> Option<Time> {
        self.read
    }

    /// Gets the sending time of the newest call that the registry is known to have answered.
    pub fn answered(&self) -> Option<Time> {
        self.read.max(self.newer)
    }

    /// Tells whether keys and routes may be acted on.
    ///
    /// While the registry is away nothing new is published, and the bound of keys alone counts. A router
    /// that hears from the registry that there is something newer, and doesn't get it, must keep the
    /// promise of new configurations: their bound is shorter.
    pub fn covers_routes(&self, now: Time, bounds: &Bounds) -> bool {
        let outdated = self.newer > self.read;
        let bound = if outdated {
            bounds.routes.min(bounds.keys)
        } else {
            bounds.keys
        };
        self.holds(now, bound)
    }

    /// Tells whether it is known which data centres are evacuated.
    ///
    /// An endpoint's own answers are no evidence: it serves on in an evacuated data centre.
    pub fn covers_evacuations(&self, now: Time, bounds: &Bounds) -> bool {
        bounds.evacuation.is_none_or(|bound| self.holds(now, bound))
    }

    /// Gets the age of what is known; `None` before the first read.
    pub fn age(&self, now: Time) -> Option<Millis> {
        self.read.map(|read| now.since(read))
    }

    /// Tells whether what is known is younger than `bound`.
    pub fn holds(&self, now: Time, bound: Millis) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
