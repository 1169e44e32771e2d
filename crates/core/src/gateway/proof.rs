//! How old what this router acts on may be.
//!
//! A key that was taken away may still be in the configuration that a router holds. The router
//! can't notice this when it is cut off, was suspended, or reads from a registry that lags. So it
//! acts only while it can prove that what it holds was the newest state not long ago.

use crate::units::{
    Millis,
    Time, //
};

/// `Proof` is the sending time of the newest read that was answered with the newest state.
///
/// The time of sending counts, not that of the answer: a change that was acknowledged while the
/// answer was on its way is not in it. Times are of a clock that counts suspension.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Proof {
    read: Option<Time>,
}

impl Proof {
    /// Notes a read.
    pub fn renew(&mut self, sent: Time) {
        self.read = self.read.max(Some(sent));
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
