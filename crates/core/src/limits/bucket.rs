//! The token bucket that the home of a workspace holds, with its record of grants that may still be
//! unused.

use indexmap::IndexMap;

use crate::{
    arena::RouterKey,
    config::Limit,
    units::{
        Millis,
        Permille,
        Time, //
    },
};

/// Time after a grant request was sent at which its grant expires at the requesting router.
pub const GRANT_TTL: Millis = Millis(1000);
/// Shortest time after which a router that got less than it wanted may send another request.
pub const MIN_RETRY_AFTER: Millis = Millis(100);
/// Longest such time, except for limits that allow less than one request in that time.
pub const MAX_RETRY_AFTER: Millis = Millis(1000);
/// Rate of grant requests for one workspace at which its home starts to lengthen the retry times.
pub const TARGET_GRANT_REQUESTS_PER_S: u64 = 330;
/// Time after its creation during which a substitute's bucket fills at half its rate: the home may
/// be partitioned, not down, and not have noticed yet.
pub const SUBSTITUTE_HALF_RATE_PERIOD: Millis = Millis(750);
/// The same time for the published home's bucket: a substitute may not have learned yet that the
/// home is back.
pub const HOME_HALF_RATE_PERIOD: Millis = Millis(250);

/// One request in millionths of a request, the unit of the buckets' token counts.
const MICRO_PER_REQUEST: u64 = 1_000_000;
/// Divisor of one second's tokens that gives the number of tokens in a new bucket.
const START_DIVISOR: u64 = 20;
/// Divisor of one second's tokens that gives the smallest capacity of a bucket. A smaller published
/// burst does not apply, or the tokens that arrive between two requests of one router would be
/// lost.
const MIN_BURST_DIVISOR: u64 = 4;
/// Divisor of a grant that gives the part that a router may still hold when it sends the next
/// request.
pub(super) const UNUSED_GRANT_DIVISOR: u64 = 5;
/// Time between two removals of expired grants.
const CLEANUP_INTERVAL: Millis = Millis(50);

/// `Grant` is what one router may still hold unused.
#[derive(Clone, Copy, Debug)]
struct Grant {
    requested: Time,
    micro: u64,
}

/// `Bucket` is the token bucket of a workspace.
///
/// # Invariants
///
/// The sum of the tokens and the grants that may be unused never exceeds the greater of the
/// published burst and one second's tokens. So the fleet admits at most `w * rate` plus that sum in
/// a window of `w` seconds, however long routers keep their grants.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    /// The tokens, in millionths of a request.
    micro: u64,
    last_fill: Time,
    /// Until when the bucket fills at half its rate.
    half_rate_until: Time,
    grants: IndexMap<RouterKey, Grant>,
    /// Sum of the grants, in millionths of a request.
    unused_micro: u64,
    last_cleanup: Time,
}

/// `Withdrawal` is one request for tokens of a bucket.
#[derive(Clone, Copy, Debug)]
pub(super) struct Withdrawal {
    /// The published limit.
    pub(super) limit: Limit,
    /// Share of the limit's rate at which this home fills its bucket.
    pub(super) fill: Permille,
    /// Requests wanted.
    pub(super) want: u32,
    /// The requesting router; `None` for this router's own calls.
    pub(super) from: Option<RouterKey>,
}

impl Bucket {
    /// Makes a nearly empty bucket that fills from `created` on, at half its rate for
    /// `half_rate_period`.
    pub(super) fn new(created: Time, half_rate_period: Millis, limit: Limit) -> Self {
        let second = u64::from(limit.requests_per_s) * MICRO_PER_REQUEST;
        Self {
            micro: (second / START_DIVISOR).max(MICRO_PER_REQUEST),
            last_fill: created,
            half_rate_until: created + half_rate_period,
            grants: IndexMap::new(),
            unused_micro: 0,
            last_cleanup: created,
        }
    }

    /// Makes a full bucket.
    pub(super) fn full(created: Time, limit: Limit) -> Self {
        Self {
            micro: u64::from(limit.burst) * MICRO_PER_REQUEST,
            ..Self::new(created, Millis(0), limit)
        }
    }

    /// Takes up to the wanted number of requests. Returns the number taken and, if it is smaller,
    /// the time until more are available.
    pub(super) fn take(&mut self, now: Time, withdrawal: Withdrawal) -> (u32, Millis) {
        if let Some(router) = withdrawal.from {
            self.start_grant(now, router);
        }
        self.fill(now, withdrawal.limit, withdrawal.fill);
        let whole = u32::try_from(self.micro / MICRO_PER_REQUEST).unwrap_or(u32::MAX);
        let granted = withdrawal.want.min(whole);
        let micro = u64::from(granted) * MICRO_PER_REQUEST;
        self.micro -= micro;
        // A router asks for a single request only when a call waits for it, so it is used at once.
        if let Some(router) = withdrawal.from
            && granted > 1
        {
            self.unused_micro += micro;
            self.grants.entry(router).and_modify(|g| g.micro += micro);
        }
        if granted == withdrawal.want {
            return (granted, Millis(0));
        }
        (granted, self.retry_after(withdrawal.limit, withdrawal.fill))
    }

    /// Replaces a router's grant when it sends a request: by then, at most a small part of the
    /// earlier grant is unused.
    fn start_grant(&mut self, now: Time, router: RouterKey) {
        let old = self.grants.get(&router).map_or(0, |g| g.micro);
        let micro = old / UNUSED_GRANT_DIVISOR;
        self.unused_micro = self.unused_micro.saturating_sub(old - micro);
        self.grants.insert(
            router,
            Grant {
                requested: now,
                micro,
            },
        );
        if now.since(self.last_cleanup) >= CLEANUP_INTERVAL {
            self.last_cleanup = now;
            self.grants
                .retain(|_, g| now.since(g.requested) <= GRANT_TTL);
            self.unused_micro = self.grants.values().map(|g| g.micro).sum();
        }
    }

    fn fill(&mut self, now: Time, limit: Limit, share: Permille) {
        let rate = u64::from(limit.requests_per_s);
        let micro_per_ms = rate * u64::from(share.0);
        let half_rate_left_ms = self.half_rate_until.since(self.last_fill).0;
        let elapsed_ms = now.since(self.last_fill).0;
        let half_rate_ms = elapsed_ms.min(half_rate_left_ms);
        let added = micro_per_ms.saturating_mul(elapsed_ms - half_rate_ms)
            + micro_per_ms * half_rate_ms / 2;
        self.last_fill = now;
        let second = rate * MICRO_PER_REQUEST;
        let burst = u64::from(limit.burst) * MICRO_PER_REQUEST;
        let max_unspent = burst
            .max(second)
            .max(MICRO_PER_REQUEST)
            .saturating_sub(self.unused_micro);
        let capacity = burst.max(second / MIN_BURST_DIVISOR).max(MICRO_PER_REQUEST);
        self.micro = self
            .micro
            .saturating_add(added)
            .min(capacity)
            .min(max_unspent);
    }

    fn retry_after(&self, limit: Limit, share: Permille) -> Millis {
        let micro_per_ms = (u64::from(limit.requests_per_s) * u64::from(share.0)).max(1);
        let next_token_ms = MICRO_PER_REQUEST
            .saturating_sub(self.micro)
            .div_ceil(micro_per_ms);
        let spread_ms = self.grants.len() as u64 * 1000 / TARGET_GRANT_REQUESTS_PER_S;
        Millis(
            spread_ms
                .clamp(MIN_RETRY_AFTER.0, MAX_RETRY_AFTER.0)
                .max(next_token_ms),
        )
    }
}
