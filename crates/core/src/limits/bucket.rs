//! The home's token bucket of one workspace, and its account of grants that may still be unused.

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

/// Time after the question at which what was granted expires at the asker.
pub const GRANT_TTL: Millis = Millis(1000);
/// Shortest time after which a router that got less than it wanted may ask again.
pub const MIN_RETRY: Millis = Millis(100);
/// Longest such time, but for limits of less than one request in that time.
pub const MAX_RETRY: Millis = Millis(1000);
/// Questions a second about one workspace at which its home starts to spread them further.
pub const ASKS_PER_S: u64 = 330;
/// Time after its start during which a substitute's bucket fills at half its rate: the home may
/// only be cut off, and not know it yet.
pub const CAUTION: Millis = Millis(750);
/// The same for a home's own bucket: a substitute may not have heard yet that the home is back.
pub const HOME_CAUTION: Millis = Millis(250);

/// Millionths of a request, the unit in which buckets count.
const REQUEST: u64 = 1_000_000;
/// Part of a second's worth with which a new bucket starts: one twentieth.
const START_PART: u64 = 20;
/// Part of a second's worth below which a published burst does not count, or the tokens between
/// two questions of one router would be lost: one quarter.
const LEAST_BURST_PART: u64 = 4;
/// Part of a grant that a router may still hold when it asks again: one fifth.
pub(super) const CARRY_PART: u64 = 5;
/// Time between two clean-ups of the account.
const CLEAN_EVERY: Millis = Millis(50);

#[derive(Clone, Copy, Debug)]
struct Grant {
    at: Time,
    micro: u64,
}

/// `Bucket` is the one token bucket of a workspace.
///
/// # Invariants
///
/// Tokens and grants that may be unused together never exceed the greater of the published burst
/// and one second's worth. So what the fleet admits in a window of `w` seconds is at most
/// `w * rate` plus that, however long routers keep their grants.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    micro: u64,
    filled: Time,
    cautious: Time,
    grants: IndexMap<RouterKey, Grant>,
    unused: u64,
    cleaned: Time,
}

/// `Take` is one withdrawal.
#[derive(Clone, Copy, Debug)]
pub(super) struct Take {
    /// The published limit.
    pub(super) limit: Limit,
    /// Part of the rate at which this home fills.
    pub(super) fill: Permille,
    /// Requests wanted.
    pub(super) want: u32,
    /// The router that asks; `None` for this router's own calls.
    pub(super) from: Option<RouterKey>,
}

impl Bucket {
    /// Makes a nearly empty bucket that began to fill at `born`, at half its rate for a time.
    pub(super) fn new(born: Time, caution: Millis, limit: Limit) -> Self {
        let second = u64::from(limit.requests_per_s) * REQUEST;
        Self {
            micro: (second / START_PART).max(REQUEST),
            filled: born,
            cautious: born + caution,
            grants: IndexMap::new(),
            unused: 0,
            cleaned: born,
        }
    }

    /// Makes a full bucket.
    pub(super) fn full(born: Time, limit: Limit) -> Self {
        Self {
            micro: u64::from(limit.burst) * REQUEST,
            ..Self::new(born, Millis(0), limit)
        }
    }

    /// Takes up to the wanted number of requests; gives those, and the time until more can be
    /// had if they are fewer.
    pub(super) fn take(&mut self, now: Time, take: Take) -> (u32, Millis) {
        if let Some(router) = take.from {
            self.asked(now, router);
        }
        self.fill(now, take.limit, take.fill);
        let whole = u32::try_from(self.micro / REQUEST).unwrap_or(u32::MAX);
        let granted = take.want.min(whole);
        let micro = u64::from(granted) * REQUEST;
        self.micro -= micro;
        // One request is asked for only when a call waits for it, so it is used at once.
        if let Some(router) = take.from
            && granted > 1
        {
            self.unused += micro;
            self.grants.entry(router).and_modify(|g| g.micro += micro);
        }
        if granted == take.want {
            return (granted, Millis(0));
        }
        (granted, self.retry_after(take.limit, take.fill))
    }

    /// Notes that a router asks, so that of its earlier grant only a small part can be unused.
    fn asked(&mut self, now: Time, router: RouterKey) {
        let old = self.grants.get(&router).map_or(0, |g| g.micro);
        let micro = old / CARRY_PART;
        self.unused = self.unused.saturating_sub(old - micro);
        self.grants.insert(router, Grant { at: now, micro });
        if now.since(self.cleaned) >= CLEAN_EVERY {
            self.cleaned = now;
            self.grants.retain(|_, g| now.since(g.at) <= GRANT_TTL);
            self.unused = self.grants.values().map(|g| g.micro).sum();
        }
    }

    fn fill(&mut self, now: Time, limit: Limit, part: Permille) {
        let rate = u64::from(limit.requests_per_s);
        let per_milli = rate * u64::from(part.0);
        let cautious = self.cautious.since(self.filled).0;
        let elapsed = now.since(self.filled).0;
        let slow = elapsed.min(cautious);
        let added = per_milli.saturating_mul(elapsed - slow) + per_milli * slow / 2;
        self.filled = now;
        let second = rate * REQUEST;
        let burst = u64::from(limit.burst) * REQUEST;
        let most = burst.max(second).max(REQUEST).saturating_sub(self.unused);
        let tokens = burst.max(second / LEAST_BURST_PART).max(REQUEST);
        self.micro = self.micro.saturating_add(added).min(tokens).min(most);
    }

    fn retry_after(&self, limit: Limit, part: Permille) -> Millis {
        let per_milli = (u64::from(limit.requests_per_s) * u64::from(part.0)).max(1);
        let next = REQUEST.saturating_sub(self.micro).div_ceil(per_milli);
        let spread = self.grants.len() as u64 * 1000 / ASKS_PER_S;
        Millis(spread.clamp(MIN_RETRY.0, MAX_RETRY.0).max(next))
    }
}
