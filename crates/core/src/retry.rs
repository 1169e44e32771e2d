//! Whether a failed attempt is followed by another.

use crate::{
    config::Policy,
    request::{
        End,
        Work, //
    },
    units::Time,
};

/// `Budget` bounds retries to a share of first attempts (amplification).
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    milli: u64,
}

/// Most retries that can be saved up.
const MAX_SAVED: u64 = 10;

impl Budget {
    /// Notes a first attempt.
    pub fn first(&mut self, policy: &Policy) {
        self.milli = (self.milli + u64::from(policy.retry_budget.0)).min(MAX_SAVED * 1000);
    }

    /// Takes one retry out of the budget.
    pub fn take(&mut self) -> bool {
        let enough = self.milli >= 1000;
        if enough {
            self.milli -= 1000;
        }
        enough
    }
}

/// Tells whether the rules allow another attempt after `end`, the budget aside. A call that runs
/// once is sent again only when no byte of it left.
pub fn allowed(
    policy: &Policy,
    work: &Work,
    attempts: u32,
    end: &End,
    now: Time,
    deadline: Time,
) -> bool {
    if attempts >= policy.max_attempts || now >= deadline {
        return false;
    }
    match end {
        End::Whole(_) | End::Cancelled => false,
        End::NotSent { .. } => true,
        End::Broken { relayed: true } => false,
        End::Failed(_) | End::Broken { relayed: false } => match work {
            Work::Chat { .. } => true,
            Work::Plain { idempotent, .. } => *idempotent,
            Work::Once { .. } => false,
        },
    }
}
