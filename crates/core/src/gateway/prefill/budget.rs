//! How many messages about backlogs this router causes.
//!
//! - **Bound**: the messages a second that a router sends, and those that it receives.
//! - **Who counts**: each router those that follow from its own prompts, so none needs to know of another. A
//!   query counts twice: for each one that a router asks, it answers one on average.
//! - **A router that hears of no other** is the keeper of all backlogs, and nothing counts.
//! - **Why it holds**: what is caused is charged before it is sent. Keepers are drawn by hash, so a router keeps
//!   about as much as another, and prompts with a hot part ask the keepers of all endpoints that share it.

use crate::units::{
    Millis,
    Time, //
};

/// Messages a second: with 90 bytes each, less than 5 KB.
pub const MESSAGES_PER_SECOND: i64 = 54;
/// Messages that may be caused at once.
pub const MAX_BURST: i64 = 27;
/// Messages of a query: itself, and the estimate that this router sends to another one.
pub(super) const QUERY: i64 = 2;
/// Messages of a note: it is sent, and released.
pub(super) const NOTE: i64 = 1;
pub(super) const RELEASE: i64 = 1;

const THOUSAND: i64 = 1000;

/// `Budget` is what is left of the messages.
#[derive(Clone, Copy, Debug)]
pub(super) struct Budget {
    /// Thousandths of messages; less than none where a prompt has asked further keepers.
    free: i64,
    at: Time,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            free: MAX_BURST * THOUSAND,
            at: Time(0),
        }
    }
}

impl Budget {
    /// Tells whether a prompt may cause messages. Short ones leave a half to long ones, which others wait for.
    pub(super) fn allows(&mut self, now: Time, is_long: bool) -> bool {
        let Millis(passed) = now.since(self.at);
        let gained = i64::try_from(passed)
            .unwrap_or(i64::MAX)
            .saturating_mul(MESSAGES_PER_SECOND);
        self.free = self.free.saturating_add(gained).min(MAX_BURST * THOUSAND);
        self.at = self.at.max(now);
        let least = if is_long { 0 } else { MAX_BURST * THOUSAND / 2 };
        self.free > least
    }

    /// Charges messages, of which this router keeps one in `routers` itself.
    pub(super) fn charge(&mut self, messages: i64, routers: u32) {
        let routers = i64::from(routers.max(1));
        let cost = messages * THOUSAND * (routers - 1) / routers;
        self.free = self.free.saturating_sub(cost);
    }
}
