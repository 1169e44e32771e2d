//! Which routers poll an endpoint: one polls it, and others take over when its reports stop.
//!
//! In a large fleet no router can poll all endpoints. The routers of an endpoint's region are
//! ranked for it by rendezvous hash. The first polls it and passes the reports on in its summaries;
//! the router of rank `r` polls when it has received no report for [`poll_after_age`] of `r`. No
//! agreement is needed: where fleet lists differ or a router stops reporting, two routers poll for
//! a while, and no confirmation gets older than
//! [`MAX_CONFIRMATION_AGE`](super::MAX_CONFIRMATION_AGE) as long as the endpoint can be reached.

use crate::{
    arena::RouterKey,
    config::{
        Config,
        Endpoint,
        Policy, //
    },
    ids::{
        Id,
        rendezvous, //
    },
    units::Millis,
};

/// Longest time that a report takes to reach a peer, besides the wait for the next summary.
pub const MAX_REPORT_TRANSIT: Millis = Millis(100);

/// Delay between one rank's takeover of an endpoint and the next rank's.
const RANK_DELAY: Millis = Millis(100);

/// Ranks from this one on take over together.
const MAX_DELAYED_RANK: usize = 5;

/// Greatest age of the last report at which any rank takes over: a poll sent then is answered
/// before the endpoint counts as stale.
const MAX_POLL_AFTER_AGE: Millis = Millis(2200);

/// Most polls and probes that a router sends in a second, and in one burst. The bound follows from
/// the traffic allowed for control messages; polls are only needed while reports are missing.
pub const MAX_POLLS_PER_SECOND: u64 = 40;

/// Gets the region of a data centre. All data centres that the policy doesn't name are one region.
fn region<'a>(config: &'a Config, data_center: &Id) -> Option<&'a Id> {
    config.policy.data_centers.get(data_center)
}

/// Gets the rank of `me` among the pollers of an endpoint, from 0; `None` if only routers of
/// another region poll it. An endpoint in a region without routers is polled by the routers of all
/// regions.
pub fn rank(config: &Config, me: RouterKey, endpoint: &Endpoint) -> Option<usize> {
    rank_among(config, me, endpoint, |_| true)
}

/// Gets the rank of `me` among those pollers of an endpoint that `selected` selects.
pub fn rank_among(
    config: &Config,
    me: RouterKey,
    endpoint: &Endpoint,
    selected: impl Fn(RouterKey) -> bool,
) -> Option<usize> {
    let endpoint_region = region(config, &endpoint.data_center);
    let in_region = |dc: &Id| region(config, dc) == endpoint_region;
    let any_region = !config.fleet.iter().any(|(_, r)| in_region(&r.data_center));
    let item = u64::from(endpoint.tag.0);
    let score = |key: RouterKey| {
        let router = config.fleet.get(key)?;
        let eligible = any_region || in_region(&router.data_center);
        eligible.then(|| (rendezvous(item, router.tag), router.tag))
    };
    let own_score = score(me)?;
    let above =
        |(key, _): &(RouterKey, _)| selected(*key) && score(*key).is_some_and(|s| s > own_score);
    Some(config.fleet.iter().filter(above).count())
}

/// Gets the age of the last confirmation of an endpoint at which the router of this rank polls it
/// itself.
pub fn poll_after_age(policy: &Policy, rank: usize) -> Millis {
    if rank == 0 {
        return policy.poll_interval;
    }
    let first_takeover_age =
        policy.poll_interval.0 + 2 * policy.summary_interval.0 + 4 * MAX_REPORT_TRANSIT.0;
    let extra_ranks = u64::try_from(rank.min(MAX_DELAYED_RANK)).unwrap_or(0) - 1;
    Millis((first_takeover_age + extra_ranks * RANK_DELAY.0).min(MAX_POLL_AFTER_AGE.0))
}

/// `PollLimiter` is a token bucket that bounds polls and probes to [`MAX_POLLS_PER_SECOND`].
#[derive(Clone, Copy, Debug)]
pub(super) struct PollLimiter {
    milli_polls: u64,
    refilled_at: crate::units::Time,
}

impl Default for PollLimiter {
    fn default() -> Self {
        Self {
            milli_polls: MAX_POLLS_PER_SECOND * 1000,
            refilled_at: crate::units::Time(0),
        }
    }
}

impl PollLimiter {
    /// Takes up to `wanted` polls; gives how many were available.
    pub(super) fn take(&mut self, now: crate::units::Time, wanted: usize) -> usize {
        let refill = now
            .since(self.refilled_at)
            .0
            .saturating_mul(MAX_POLLS_PER_SECOND);
        self.milli_polls = self
            .milli_polls
            .saturating_add(refill)
            .min(MAX_POLLS_PER_SECOND * 1000);
        self.refilled_at = now;
        let available = usize::try_from(self.milli_polls / 1000).unwrap_or(0);
        let taken = wanted.min(available);
        self.milli_polls -= 1000 * u64::try_from(taken).unwrap_or(0);
        taken
    }
}
