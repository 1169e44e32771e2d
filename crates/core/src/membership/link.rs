//! Distinguishes a fault of this router's own network link from faults of endpoints.
//!
//! If a single endpoint cannot be reached, the endpoint is at fault. If most of the endpoints and
//! peers that this router contacts fail together, their common part is this router's link. Then no
//! endpoint is counted as down: all become suspect and are probed, so that requests still go to
//! those that answer.

use crate::units::{
    Millis,
    Time, //
};

/// Time for which a contact counts. It is longer than the longest interval between probes.
pub const CONTACT_WINDOW: Millis = Millis::from_secs(20);

/// Fewest failing contacts from which a link fault is concluded.
pub const MIN_FAILING_CONTACTS: usize = 3;

/// Time in which a link fault may take endpoints down one after the other before most have failed
/// and the fault is recognised. Endpoints that went down in this time are then counted as up again.
pub const FAULT_ONSET: Millis = Millis::from_secs(5);

/// `Contact` is when this router last reached an endpoint or a peer, and when it last failed to.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Contact {
    pub(super) good: Option<Time>,
    pub(super) bad: Option<Time>,
}

/// `ContactTally` counts endpoints and peers by whether the last contact succeeded.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ContactTally {
    good: usize,
    bad: usize,
}

impl ContactTally {
    /// Counts one endpoint or peer, if it was contacted within [`CONTACT_WINDOW`].
    pub(super) fn count(&mut self, now: Time, contact: Contact) {
        let recent = |t: &Option<Time>| t.is_some_and(|t| now.since(t) <= CONTACT_WINDOW);
        if recent(&contact.bad) && contact.bad > contact.good {
            self.bad += 1;
        } else if recent(&contact.good) {
            self.good += 1;
        }
    }

    /// Tells whether most failed, and at least [`MIN_FAILING_CONTACTS`].
    pub(super) fn indicates_link_fault(self) -> bool {
        self.bad >= MIN_FAILING_CONTACTS && self.bad > self.good
    }
}
