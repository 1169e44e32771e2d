//! Tells a fault of this router's own link from faults of endpoints.
//!
//! One endpoint that can't be reached is at fault; when most of all that this router is in touch
//! with, peers included, fail together, the common part is its own link. Then nobody is counted as
//! down: all become suspect and are probed, so that work goes on where anything still answers.

use crate::units::{
    Millis,
    Time, //
};

/// Time for which the last contact counts; longer than the slowest probes are apart.
pub const WINDOW: Millis = Millis::from_secs(20);

/// Fewest contacts that must fail for a fault of the link.
pub const MIN_FAILING: usize = 3;

/// Time in which one fault of the link takes endpoints down one after the other, before most have
/// failed and it is recognised. Their fall is then taken back.
pub const ONSET: Millis = Millis::from_secs(5);

/// `Contact` is when this router last reached another party, and when it last failed to.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Contact {
    pub(super) good: Option<Time>,
    pub(super) bad: Option<Time>,
}

/// `Tally` counts contacts by how the last one went.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    good: usize,
    bad: usize,
}

impl Tally {
    /// Counts one contact.
    pub(super) fn add(&mut self, now: Time, contact: Contact) {
        let recent = |t: &Option<Time>| t.is_some_and(|t| now.since(t) <= WINDOW);
        if recent(&contact.bad) && contact.bad > contact.good {
            self.bad += 1;
        } else if recent(&contact.good) {
            self.good += 1;
        }
    }

    /// Tells whether most failed.
    pub(super) fn fault(self) -> bool {
        self.bad >= MIN_FAILING && self.bad > self.good
    }
}
