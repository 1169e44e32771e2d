//! Which shared parts get so much of a service's traffic that one endpoint can't carry them.
//!
//! News of loads take a moment to reach all routers. While they do, each router that sees a hot part's
//! endpoint below its limit sends there, and all of them together go far over it. What share of the
//! work a part has can be seen by one router alone, as callers come to routers by chance: from it
//! follows over how many endpoints the part is best spread from the start. A router of a large fleet sees
//! too few requests for that within a second, so routers tell each other of a sample of theirs.
//!
//! Work counts, not requests, as the multiple is of requests in progress: a session whose answers last
//! twice as long has twice the share of these. Spread by its share of requests, a session with long answers is
//! put on too few endpoints.

use std::collections::VecDeque;

use crate::units::{
    Millis,
    Time, //
};

/// Requests that are remembered: at a usual rate those of the time below, and of less time at a router that gets more,
/// whose counts are as good in less.
const MAX_SEEN: usize = 256;
/// Time for which a request is remembered: what was hot before that has had time to cool, and what has just
/// become hot is soon most of what is remembered.
const REMEMBERED: Millis = Millis(3000);
/// Standard deviations by which a part's count must be above chance. With none, two requests for the
/// same part among thirty would pass for a hot one, and its prompts would be read at four endpoints.
const DOUBT: f64 = 1.5;
/// Part of the published multiple that is filled; the rest is left for chance.
const FILLED: f64 = 0.8;

#[derive(Clone, Copy, Debug)]
struct Seen {
    at: Time,
    part: u32,
    work: u32,
}

/// `HotSpots` is the parts that a service's newest requests at this router asked for, and their work.
#[derive(Clone, Debug, Default)]
pub struct HotSpots {
    seen: VecDeque<Seen>,
}

/// Gets the tag of a part, by which routers tell each other of it.
pub fn tag(part: u64) -> u32 {
    let [a, b, c, d, ..] = part.to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

impl HotSpots {
    /// Notes a request for a part, and how much work it is: any unit will do, as long as an engine has
    /// a request for the longer the more it is.
    pub fn note(&mut self, now: Time, part: u32, work: u32) {
        self.seen.push_back(Seen {
            at: now,
            part,
            work,
        });
        let old = |seen: &Seen| now.since(seen.at) > REMEMBERED;
        while self.seen.len() > MAX_SEEN || self.seen.front().is_some_and(old) {
            self.seen.pop_front();
        }
    }

    /// Gets the share of the work that a part has, 0 to 1, and the least that it may well have.
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    fn share(&self, part: u32) -> (f64, f64) {
        let mut count = 0.0_f64;
        let mut work = 0_u64;
        let mut all = 0_u64;
        for seen in &self.seen {
            all += u64::from(seen.work);
            if seen.part == part {
                count += 1.0;
                work += u64::from(seen.work);
            }
        }
        if work == 0 {
            return (0.0, 0.0);
        }
        let share = work as f64 / all as f64;
        let sure = count - DOUBT * count.sqrt() - 0.5;
        (share, share * sure.max(0.0) / count)
    }

    /// Gets over how many of `endpoints` a part is to be spread, so that none carries more than
    /// `multiple` times the mean.
    ///
    /// Of n endpoints each carries 1 - share of the mean from other parts. The hot one adds share x n
    /// means to those that it is spread over.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "endpoints are few, and the cast saturates"
    )]
    pub fn spread(&self, part: u32, endpoints: usize, multiple: f64) -> usize {
        let needed = |share: f64| {
            let room = (multiple * FILLED - (1.0 - share)).max(1.0 - FILLED);
            (share * endpoints as f64 / room).ceil() as usize
        };
        let (likely, least) = self.share(part);
        if needed(least) < 2 {
            return 1;
        }
        needed(likely).clamp(1, endpoints.max(1))
    }
}
