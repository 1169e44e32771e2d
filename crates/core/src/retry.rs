//! Whether and when a failed attempt is followed by another, and when a refused caller comes back.
//!
//! Three bounds hold together: a call has a greatest number of attempts; a router's retries are a
//! share of its first attempts ([`Budget`]), so that endpoints that fail are not buried by them;
//! and what may not be repeated is sent again only when no byte of it left.

use rand::{
    Rng,
    RngExt, //
};

use crate::{
    config::Policy,
    request::{
        Code,
        End,
        Work, //
    },
    units::{
        Millis,
        Time, //
    },
};

/// Most retries that can be saved up.
const MAX_SAVED: u64 = 10;

/// Longest wait before the second retry of a call; doubles with each further one.
const BACKOFF: Millis = Millis(100);

/// Longest wait before any retry.
const BACKOFF_MAX: Millis = Millis(2000);

/// Status codes of endpoints' errors that the same request meets elsewhere, too (RFC 9110,
/// sections 15.6.2 and 15.6.6): not implemented, and HTTP version not supported.
const FINAL: [u16; 2] = [501, 505];

/// `Budget` bounds retries to a share of first attempts (amplification).
///
/// # Invariants
///
/// It starts empty and grows with first attempts only, so at any time retries are at most
/// [`Policy::retry_budget`] of them: with a tenth, 1.1 attempts a call when all endpoints fail.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    milli: u64,
}

impl Budget {
    /// Notes a first attempt.
    pub fn first(&mut self, policy: &Policy) {
        let grown = self.milli.saturating_add(u64::from(policy.retry_budget.0));
        self.milli = grown.min(MAX_SAVED * 1000);
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
    let repeatable = match work {
        Work::Chat { .. } => true,
        Work::Plain { idempotent, .. } => *idempotent,
        Work::Once { .. } => false,
    };
    match end {
        End::Whole(_) | End::Cancelled => false,
        End::NotSent { .. } => true,
        End::Broken { relayed } => repeatable && !relayed,
        End::Failed(answer) => repeatable && !FINAL.contains(&answer.status),
    }
}

/// Gets how long to wait before the attempt that follows `attempts` failed ones. The first retry
/// goes to another endpoint at once; later ones wait a random time ("full jitter"), as by then the
/// fault is not one endpoint's and all calls meet it together.
pub fn pause(attempts: u32, rng: &mut impl Rng) -> Millis {
    let Some(doublings) = attempts.checked_sub(2) else {
        return Millis(0);
    };
    let longest = (BACKOFF.0 << doublings.min(16)).min(BACKOFF_MAX.0);
    Millis(rng.random_range(0..=longest))
}

/// `Cause` is why a caller is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cause {
    /// The code it gets.
    pub code: Code,
    /// Time before which coming back is of no use.
    pub least: Millis,
}

/// Gets when a refused caller should come back: not before `cause.least`, and spread evenly over a
/// time as long as the cause lasts, so that those who were refused together don't return together.
pub fn after(cause: Cause, rng: &mut impl Rng) -> Millis {
    let spread = cause.least.0.max(spread(cause.code).0);
    let late = rng.random_range(0..=spread);
    Millis(cause.least.0.saturating_add(late))
}

/// Gets the shortest time over which the returns of callers are spread.
const fn spread(code: Code) -> Millis {
    match code {
        // The balancer sends it elsewhere.
        Code::Draining => Millis(200),
        // One key, one caller: nobody else returns with it.
        Code::KeyInProgress => Millis(100),
        // All callers of a workspace or of the fleet are refused at once.
        Code::OverLimit | Code::Overloaded | Code::NoEndpoint | Code::KeysFull => Millis(2000),
        _ => Millis(1000),
    }
}
