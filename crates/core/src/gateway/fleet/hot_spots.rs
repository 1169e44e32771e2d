//! Detects prompt parts that take so much of a service's traffic that one endpoint can't serve
//! them.
//!
//! Load reports take some time to reach all routers. Until then, each router that sees the endpoint
//! of a hot part below its limit sends more requests there, and together the routers exceed the
//! limit by far. One router alone can estimate the share of the work that a part takes, because
//! callers pick routers at random. That share gives the number of endpoints over which to spread
//! the part from the start. In a large fleet one router sees too few requests for the estimate
//! within a second, so routers send each other samples of theirs.
//!
//! The share is one of work, not of requests, because the limit is a multiple of the mean number of
//! requests in progress. A session whose answers last twice as long has twice as many requests in
//! progress. By its share of requests, a session with long answers would be spread over too few
//! endpoints.

use std::collections::VecDeque;

use crate::units::{
    Millis,
    Time, //
};

/// Requests that are kept. At a usual request rate they cover the time below; a router with a
/// higher rate keeps a shorter time, which gives the shares just as well.
const MAX_REQUESTS: usize = 256;
/// Time for which a request is kept. A part that is no longer hot drops out of the estimate, and a
/// part that has just become hot soon dominates it.
const WINDOW: Millis = Millis(3000);
/// Standard deviations by which the count of a part must exceed chance. Without them, two requests
/// for the same part among thirty would count as hot, and its prompts would be processed at four
/// endpoints.
const SIGNIFICANCE_SIGMAS: f64 = 1.5;
/// Part of the published multiple of the mean load that is planned for; the rest allows for random
/// variation.
const TARGET_FILL: f64 = 0.8;

#[derive(Clone, Copy, Debug)]
struct RecentRequest {
    at: Time,
    part: u32,
    work: u32,
}

/// `HotSpots` holds the newest requests of a service known to this router: their prompt parts and
/// work.
#[derive(Clone, Debug, Default)]
pub struct HotSpots {
    recent: VecDeque<RecentRequest>,
}

/// Gets the tag by which routers identify a part to each other.
pub fn tag(part: u64) -> u32 {
    let [a, b, c, d, ..] = part.to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

impl HotSpots {
    /// Records a request for a part, and its work. The unit of the work does not matter, as long as
    /// the work grows with the time that an engine spends on the request.
    pub fn record(&mut self, now: Time, part: u32, work: u32) {
        self.recent.push_back(RecentRequest {
            at: now,
            part,
            work,
        });
        let old = |recent: &RecentRequest| now.since(recent.at) > WINDOW;
        while self.recent.len() > MAX_REQUESTS || self.recent.front().is_some_and(old) {
            self.recent.pop_front();
        }
    }

    /// Estimates the share of the work that a part takes, from 0 to 1, and a lower bound of it.
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    fn share(&self, part: u32) -> (f64, f64) {
        let mut count = 0.0_f64;
        let mut work = 0_u64;
        let mut all = 0_u64;
        for recent in &self.recent {
            all += u64::from(recent.work);
            if recent.part == part {
                count += 1.0;
                work += u64::from(recent.work);
            }
        }
        if work == 0 {
            return (0.0, 0.0);
        }
        let share = work as f64 / all as f64;
        let certain_count = count - SIGNIFICANCE_SIGMAS * count.sqrt() - 0.5;
        (share, share * certain_count.max(0.0) / count)
    }

    /// Gets the number of endpoints, out of `endpoints`, over which a part is spread so that none
    /// carries more than `multiple` times the mean load.
    ///
    /// Each of n endpoints carries 1 - share of the mean load from other parts. The hot part adds
    /// share x n times the mean load, divided by the number of endpoints over which it is spread.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "endpoints are few, and the cast saturates"
    )]
    pub fn spread(&self, part: u32, endpoints: usize, multiple: f64) -> usize {
        let needed = |share: f64| {
            let room = (multiple * TARGET_FILL - (1.0 - share)).max(1.0 - TARGET_FILL);
            (share * endpoints as f64 / room).ceil() as usize
        };
        let (likely, least) = self.share(part);
        if needed(least) < 2 {
            return 1;
        }
        needed(likely).clamp(1, endpoints.max(1))
    }
}
