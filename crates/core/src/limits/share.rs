//! The part of a workspace's limit that one router holds: its grants, and the static share that it
//! uses while no home answers.

use crate::{
    config::Limit,
    units::Time, //
};

/// Largest number of grants held at once for one workspace; a further grant replaces the oldest.
pub const MAX_HELD_GRANTS: usize = 4;

const MICRO_PER_REQUEST: u64 = 1_000_000;
const MS_PER_SECOND: u64 = 1000;

#[derive(Clone, Copy, Debug)]
struct HeldGrant {
    requests: u32,
    expires: Time,
}

/// `HeldGrants` are the grants of which this router has requests left.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldGrants {
    grants: Vec<HeldGrant>,
}

impl HeldGrants {
    /// Adds a grant.
    pub(super) fn add(&mut self, requests: u32, expires: Time) {
        if requests == 0 {
            return;
        }
        if self.grants.len() == MAX_HELD_GRANTS {
            self.grants.remove(0);
        }
        self.grants.push(HeldGrant { requests, expires });
    }

    /// Takes up to `want` requests, oldest grant first.
    pub(super) fn take(&mut self, now: Time, want: u32) -> u32 {
        let mut taken = 0;
        for grant in &mut self.grants {
            if now < grant.expires {
                let part = grant.requests.min(want - taken);
                grant.requests -= part;
                taken += part;
            }
        }
        self.grants.retain(|g| g.requests > 0 && now < g.expires);
        taken
    }

    /// Gets the number of requests left in grants that have not expired.
    pub(super) fn left(&self, now: Time) -> u32 {
        let valid = self.grants.iter().filter(|g| now < g.expires);
        valid.map(|g| g.requests).sum()
    }
}

/// `StaticShare` is the token bucket of a router while no home answers: it starts empty, and its
/// rate is the limit divided by the number of routers.
#[derive(Clone, Copy, Debug)]
pub(super) struct StaticShare {
    /// The tokens, in millionths of a request.
    micro: u64,
    last_fill: Time,
}

impl StaticShare {
    /// Makes an empty bucket that fills from `now` on.
    pub(super) fn new(now: Time) -> Self {
        Self {
            micro: 0,
            last_fill: now,
        }
    }

    /// Takes one request if the share allows it.
    pub(super) fn take(&mut self, now: Time, limit: Limit, routers: usize) -> bool {
        let micro_per_ms = u64::from(limit.requests_per_s) * 1000;
        let added =
            micro_per_ms.saturating_mul(now.since(self.last_fill).0) / routers.max(1) as u64;
        let capacity = micro_per_ms * MS_PER_SECOND / routers.max(1) as u64;
        self.last_fill = now;
        self.micro = (self.micro + added).min(capacity.max(MICRO_PER_REQUEST));
        let enough = self.micro >= MICRO_PER_REQUEST;
        if enough {
            self.micro -= MICRO_PER_REQUEST;
        }
        enough
    }
}
