//! How many repeated attempts a service may get: a share of its requests, over a sliding window.

use std::collections::VecDeque;

use crate::units::{
    Millis,
    Permille,
    Time, //
};

/// Length of one counter of the window.
const STEP: Millis = Millis(500);

/// `Policy` bounds repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Window over which both are counted.
    pub window: Millis,
    /// Repeats allowed, as a share of this router's requests in the window.
    pub share: Permille,
    /// Repeats allowed besides, at all routers together.
    pub fleet: u32,
    /// This router's part of them.
    pub extra: u32,
}

/// `Budget` counts one service's requests and repeats at this router.
///
/// # Invariants
///
/// Counters are in the order of their times, and none is older than the window and one step.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    counters: VecDeque<Counter>,
}

#[derive(Clone, Copy, Debug)]
struct Counter {
    since: Time,
    firsts: u32,
    repeats: u32,
}

impl Budget {
    /// Notes a request.
    pub fn first(&mut self, now: Time, window: Millis) {
        self.counter(now, window).firsts += 1;
    }

    /// Notes an attempt beyond the first of a request.
    pub fn repeat(&mut self, now: Time, window: Millis) {
        self.counter(now, window).repeats += 1;
    }

    /// Tells whether one more repeat is within the policy.
    pub fn allows(&mut self, now: Time, policy: &Policy) -> bool {
        self.expire(now, policy.window);
        let firsts: u32 = self.counters.iter().map(|c| c.firsts).sum();
        let repeats: u32 = self.counters.iter().map(|c| c.repeats).sum();
        let share = policy.share.of(u64::from(firsts));
        u64::from(repeats) < share + u64::from(policy.extra)
    }

    fn counter(&mut self, now: Time, window: Millis) -> &mut Counter {
        self.expire(now, window);
        let fresh = Counter {
            since: now,
            firsts: 0,
            repeats: 0,
        };
        let current = self
            .counters
            .pop_back_if(|c| now.since(c.since) < STEP)
            .unwrap_or(fresh);
        self.counters.push_back(current);
        let last = self.counters.len() - 1;
        &mut self.counters[last]
    }

    fn expire(&mut self, now: Time, window: Millis) {
        while let Some(first) = self.counters.front() {
            if now.since(first.since) <= window + STEP {
                break;
            }
            self.counters.pop_front();
        }
    }
}
