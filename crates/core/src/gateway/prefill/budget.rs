//! How many messages about backlogs this router causes.
//!
//! - **Bound**: the messages a second that a router sends, and those that it receives. Short and long prompts
//!   have a half each, and long ones, which others wait behind, may use what short ones leave.
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
/// Messages that may be caused at once; those of one prompt may exceed it, and are made up for.
pub const MAX_BURST: i64 = 26;
/// Messages of a query: itself, and the estimate that this router sends to another one.
pub(super) const QUERY: i64 = 2;
/// Messages of a note that no query has brought.
pub(super) const NOTE: i64 = 1;
/// Messages of the end of a note.
pub(super) const RELEASE: i64 = 1;

const THOUSAND: i64 = 1000;
/// Thousandths of messages that short prompts, and long ones, may cause at once.
const MAX_FREE: i64 = MAX_BURST * THOUSAND / 2;
/// Thousandths that long prompts leave to short ones.
const MIN_LEFT: i64 = MAX_FREE / 2;

/// `Budget` is what is left of the messages, in thousandths.
#[derive(Clone, Copy, Debug)]
pub(super) struct Budget {
    long: i64,
    short: i64,
    at: Time,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            long: MAX_FREE,
            short: MAX_FREE,
            at: Time(0),
        }
    }
}

impl Budget {
    /// Tells whether keepers may be asked for a prompt.
    pub(super) fn allows_query(&mut self, now: Time, is_long: bool) -> bool {
        self.refill(now);
        if is_long {
            self.long > 0 || self.short > MIN_LEFT
        } else {
            self.short > 0
        }
    }

    /// Tells whether a keeper may be told of a long prompt. Queries end sooner, as all prompts of other routers
    /// are misled by one that is not noted.
    pub(super) fn allows_note(&mut self, now: Time) -> bool {
        self.refill(now);
        self.long > -MAX_FREE
    }

    fn refill(&mut self, now: Time) {
        let Millis(passed) = now.since(self.at);
        let gained = i64::try_from(passed).unwrap_or(i64::MAX);
        let gained = gained.saturating_mul(MESSAGES_PER_SECOND) / 2;
        for free in [&mut self.long, &mut self.short] {
            *free = free.saturating_add(gained).min(MAX_FREE);
        }
        self.at = self.at.max(now);
    }

    /// Charges messages, of which this router keeps one in `routers` itself.
    pub(super) fn charge(&mut self, messages: i64, is_long: bool, routers: u32) {
        let routers = i64::from(routers.max(1));
        let cost = messages * THOUSAND * (routers - 1) / routers;
        let takes_own = is_long && (self.long > 0 || self.short <= MIN_LEFT);
        let free = if takes_own {
            &mut self.long
        } else {
            &mut self.short
        };
        *free = free.saturating_sub(cost);
    }
}
