//! How many complete answers a service gives, against its usual.

use std::collections::VecDeque;

use crate::units::{
    Millis,
    Time, //
};

/// Time span of one count.
const BUCKET: Millis = Millis(250);
/// Counts that are kept: a minute.
const MAX_BUCKETS: usize = 240;
/// Part of its usual answers with which a service counts as serving; one in this number.
const SERVING_DIVISOR: u64 = 2;

/// `AnswerRate` counts the complete answers of a service that this router has passed on.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerRate {
    /// Beginnings of time spans and their counts, oldest first; spans without an answer are left out.
    buckets: VecDeque<(Time, u64)>,
}

impl AnswerRate {
    /// Records an answer.
    pub(super) fn record(&mut self, at: Time) {
        let start = Time(at.0 - at.0 % BUCKET.0);
        match self.buckets.back_mut() {
            Some((newest, count)) if *newest >= start => *count += 1,
            _ => self.buckets.push_back((start, 1)),
        }
        if self.buckets.len() > MAX_BUCKETS {
            self.buckets.pop_front();
        }
    }

    /// Returns when it last answered, to the beginning of that time span.
    pub(super) fn newest(&self) -> Option<Time> {
        self.buckets.back().map(|(start, _)| *start)
    }

    /// Tells whether the service has answered half as often since a time as before it, and at least once.
    pub(super) fn has_served_since(&self, since: Time, now: Time) -> bool {
        let Some((oldest, _)) = self.buckets.front() else {
            return false;
        };
        let (mut before, mut after) = (0, 0);
        for (start, count) in &self.buckets {
            if *start + BUCKET <= since {
                before += count;
            } else if *start >= since {
                after += count;
            }
        }
        let usual_time = since.since(*oldest).0.max(BUCKET.0);
        let usual = before * now.since(since).0 / usual_time;
        after > 0 && after >= usual / SERVING_DIVISOR
    }
}
