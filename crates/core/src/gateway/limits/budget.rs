//! The retry budget of a service: retries are limited to a share of its requests over a sliding
//! window.

use std::collections::VecDeque;

use crate::units::{
    Millis,
    Permille,
    Time, //
};

/// Length of the interval that one counter of the window covers.
const COUNTER_INTERVAL: Millis = Millis(500);

/// `Policy` limits retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Window over which requests and retries are counted.
    pub window: Millis,
    /// Allowed retries, as a share of this router's requests in the window.
    pub share: Permille,
    /// Retries allowed in addition, for all routers together.
    pub fleet: u32,
    /// This router's part of these additional retries.
    pub extra: u32,
}

/// `RetryBudget` counts the requests and retries of one service at this router.
///
/// # Invariants
///
/// Counters are ordered by time, and none is older than the window plus one interval.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    counters: VecDeque<Counter>,
}

#[derive(Clone, Copy, Debug)]
struct Counter {
    since: Time,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Counts a new request.
    pub fn record_request(&mut self, now: Time, window: Millis) {
        self.counter(now, window).requests += 1;
    }

    /// Takes back the newest counted request, which another router counts.
    pub fn forget_request(&mut self) {
        let newest = self.counters.iter_mut().rev().find(|c| c.requests > 0);
        if let Some(counter) = newest {
            counter.requests -= 1;
        }
    }

    /// Counts a retry: an attempt of a request beyond its first.
    pub fn record_retry(&mut self, now: Time, window: Millis) {
        self.counter(now, window).retries += 1;
    }

    /// Tells whether the policy allows one more retry.
    pub fn allows(&mut self, now: Time, policy: &Policy) -> bool {
        self.expire(now, policy.window);
        let requests: u32 = self.counters.iter().map(|c| c.requests).sum();
        let retries: u32 = self.counters.iter().map(|c| c.retries).sum();
        let share = policy.share.of(u64::from(requests));
        u64::from(retries) < share + u64::from(policy.extra)
    }

    fn counter(&mut self, now: Time, window: Millis) -> &mut Counter {
        self.expire(now, window);
        let fresh = Counter {
            since: now,
            requests: 0,
            retries: 0,
        };
        let current = self
            .counters
            .pop_back_if(|c| now.since(c.since) < COUNTER_INTERVAL)
            .unwrap_or(fresh);
        self.counters.push_back(current);
        let last = self.counters.len() - 1;
        &mut self.counters[last]
    }

    fn expire(&mut self, now: Time, window: Millis) {
        while let Some(oldest) = self.counters.front() {
            if now.since(oldest.since) <= window + COUNTER_INTERVAL {
                break;
            }
            self.counters.pop_front();
        }
    }
}
