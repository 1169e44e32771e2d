//! What one router holds of a workspace's limit: its grants, and the static share it falls back to.

use crate::{
    config::Limit,
    units::Time, //
};

/// Most grants held at once for one workspace; at the bound the oldest is given up.
pub const MAX_LOTS: usize = 4;

const REQUEST: u64 = 1_000_000;
const SECOND: u64 = 1000;

#[derive(Clone, Copy, Debug)]
struct Lot {
    requests: u32,
    expires: Time,
}

/// `Lots` are the grants that this router has not used up.
#[derive(Clone, Debug, Default)]
pub(super) struct Lots {
    lots: Vec<Lot>,
}

impl Lots {
    /// Adds a grant.
    pub(super) fn add(&mut self, requests: u32, expires: Time) {
        if requests == 0 {
            return;
        }
        if self.lots.len() == MAX_LOTS {
            self.lots.remove(0);
        }
        self.lots.push(Lot { requests, expires });
    }

    /// Takes up to `want` requests, oldest grant first.
    pub(super) fn take(&mut self, now: Time, want: u32) -> u32 {
        let mut taken = 0;
        for lot in &mut self.lots {
            if now < lot.expires {
                let part = lot.requests.min(want - taken);
                lot.requests -= part;
                taken += part;
            }
        }
        self.lots.retain(|l| l.requests > 0 && now < l.expires);
        taken
    }

    /// Gets the requests that are left.
    pub(super) fn left(&self, now: Time) -> u32 {
        let live = self.lots.iter().filter(|l| now < l.expires);
        live.map(|l| l.requests).sum()
    }
}

/// `Static` is the share of a router that no home answers: the limit divided by the fleet's size,
/// from an empty start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Static {
    micro: u64,
    filled: Time,
}

impl Static {
    /// Starts at `now`, empty.
    pub(super) fn new(now: Time) -> Self {
        Self {
            micro: 0,
            filled: now,
        }
    }

    /// Takes one request if the share allows it.
    pub(super) fn take(&mut self, now: Time, limit: Limit, routers: usize) -> bool {
        let per_milli = u64::from(limit.requests_per_s) * 1000;
        let added = per_milli.saturating_mul(now.since(self.filled).0) / routers.max(1) as u64;
        let second = per_milli * SECOND / routers.max(1) as u64;
        self.filled = now;
        self.micro = (self.micro + added).min(second.max(REQUEST));
        let enough = self.micro >= REQUEST;
        if enough {
            self.micro -= REQUEST;
        }
        enough
    }
}
