//! Decides whether and when a failed attempt is retried, and when a refused caller should retry.
//!
//! Three rules bound retries: a call has a greatest number of attempts; a router's retries are a
//! limited share of its first attempts ([`RetryBudget`]), so that they don't overload failing
//! endpoints; and a request that may not be repeated is sent again only if no byte of it left.

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

/// Most retries that the budget can accumulate.
const MAX_SAVED_RETRIES: u64 = 10;

/// Longest wait before the second retry of a call; doubles with each further retry.
const BACKOFF_BASE: Millis = Millis(100);

/// Longest wait before any retry.
const MAX_BACKOFF: Millis = Millis(2000);

/// Statuses that the same request would get from every endpoint (RFC 9110, sections 15.6.2 and
/// 15.6.6): not implemented, and HTTP version not supported.
const NON_RETRYABLE_STATUSES: [u16; 2] = [501, 505];

/// `RetryBudget` bounds a router's retries to a share of its first attempts.
///
/// # Invariants
///
/// It starts empty and grows only with first attempts, so retries never exceed the share
/// [`Policy::retry_budget`] of them: with a tenth, calls make at most 1.1 attempts on average when
/// all endpoints fail.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBudget {
    // Saved retries in thousandths.
    milli_retries: u64,
}

impl RetryBudget {
    /// Adds the share of a first attempt.
    pub fn first(&mut self, policy: &Policy) {
        let grown = self
            .milli_retries
            .saturating_add(u64::from(policy.retry_budget.0));
        self.milli_retries = grown.min(MAX_SAVED_RETRIES * 1000);
    }

    /// Takes one retry from the budget; false when it has none left.
    pub fn take(&mut self) -> bool {
        let enough = self.milli_retries >= 1000;
        if enough {
            self.milli_retries -= 1000;
        }
        enough
    }
}

/// Tells whether the rules other than the budget allow another attempt after `end`. A call that
/// runs at most once is sent again only if no byte of it left.
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
        End::Failed(answer) => repeatable && !NON_RETRYABLE_STATUSES.contains(&answer.status),
    }
}

/// Gets how long to wait before the attempt that follows `attempts` failed ones. The first retry
/// goes to another endpoint at once. Later ones wait a random time ("full jitter"), as the fault is
/// then hardly that of one endpoint, and all calls meet it at the same time.
pub fn backoff(attempts: u32, rng: &mut impl Rng) -> Millis {
    let Some(doublings) = attempts.checked_sub(2) else {
        return Millis(0);
    };
    let longest = (BACKOFF_BASE.0 << doublings.min(16)).min(MAX_BACKOFF.0);
    Millis(rng.random_range(0..=longest))
}

/// `RefusalCause` is the reason for which a caller is refused, and the time until it passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalCause {
    /// Code that the caller gets.
    pub code: Code,
    /// Time before which a retry would be refused again.
    pub min_wait: Millis,
}

/// Gets the time after which a refused caller should retry: at least `cause.min_wait`, plus a
/// random part of a time that is at least as long, so that callers that were refused together don't
/// retry together.
pub fn retry_after(cause: RefusalCause, rng: &mut impl Rng) -> Millis {
    let spread = cause.min_wait.0.max(min_spread(cause.code).0);
    let jitter = rng.random_range(0..=spread);
    Millis(cause.min_wait.0.saturating_add(jitter))
}

/// Gets the shortest time over which the retries of callers are spread.
const fn min_spread(code: Code) -> Millis {
    match code {
        // The load balancer sends the retry to another router.
        Code::Draining => Millis(200),
        // Only one caller uses a key, so its retry meets no others.
        Code::KeyInProgress => Millis(100),
        // All callers of a workspace or of the fleet are refused at once.
        Code::OverLimit | Code::Overloaded | Code::NoEndpoint | Code::KeysFull => Millis(2000),
        _ => Millis(1000),
    }
}
