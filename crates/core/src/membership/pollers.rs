//! Who polls whom: each endpoint has one router that polls it, and others that take over.
//!
//! In a large fleet nobody can poll all. The routers of an endpoint's region
//! are ranked for it by rendezvous hash. The first polls it and passes the reports on in its
//! summaries; the one of rank `r` starts when it has heard nothing for [`patience`] of `r`. No
//! agreement is needed: where lists differ or a router falls silent, two poll for a while, and
//! nobody's news gets older than [`FRESH`](super::FRESH) as long as the endpoint can be reached.

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

/// Time that a report may take to a peer beside the wait for the next summary.
pub const TRANSIT: Millis = Millis(100);

/// Time between the start of one rank and the next.
const STEP: Millis = Millis(100);

/// Ranks from this one on start together.
const LAST_RANK: usize = 5;

/// Latest start: a poll at this age of the news is answered before it is too old.
const LATEST: Millis = Millis(2200);

/// Most polls and probes that a router sends in a second, and at once: what control may send bounds it, and
/// they come only while news is missing.
pub const BUDGET: u64 = 40;

/// Gets the region of a data centre. Data centres that the policy doesn't name are one region.
fn region<'a>(config: &'a Config, data_center: &Id) -> Option<&'a Id> {
    config.policy.data_centers.get(data_center)
}

/// Gets the place of `me` among the pollers of an endpoint, from 0; `None` when another region
/// polls it. An endpoint in a region without routers is polled by all regions' routers.
pub fn rank(config: &Config, me: RouterKey, endpoint: &Endpoint) -> Option<usize> {
    rank_among(config, me, endpoint, |_| true)
}

/// Gets the place of `me` among those pollers of an endpoint that `there` picks.
pub fn rank_among(
    config: &Config,
    me: RouterKey,
    endpoint: &Endpoint,
    there: impl Fn(RouterKey) -> bool,
) -> Option<usize> {
    let home = region(config, &endpoint.data_center);
    let near = |dc: &Id| region(config, dc) == home;
    let anyone = !config.fleet.iter().any(|(_, r)| near(&r.data_center));
    let item = u64::from(endpoint.tag.0);
    let score = |key: RouterKey| {
        let router = config.fleet.get(key)?;
        let chosen = anyone || near(&router.data_center);
        chosen.then(|| (rendezvous(item, router.tag), router.tag))
    };
    let mine = score(me)?;
    let above = |(key, _): &(RouterKey, _)| there(*key) && score(*key).is_some_and(|s| s > mine);
    Some(config.fleet.iter().filter(above).count())
}

/// Gets the age of the news on an endpoint at which the router of this rank polls it itself.
pub fn patience(policy: &Policy, rank: usize) -> Millis {
    if rank == 0 {
        return policy.poll_interval;
    }
    let usual = policy.poll_interval.0 + 2 * policy.summary_interval.0 + 4 * TRANSIT.0;
    let place = u64::try_from(rank.min(LAST_RANK)).unwrap_or(0) - 1;
    Millis((usual + place * STEP.0).min(LATEST.0))
}

/// `Meter` bounds polls and probes to [`BUDGET`].
#[derive(Clone, Copy, Debug)]
pub(super) struct Meter {
    milli: u64,
    filled: crate::units::Time,
}

impl Default for Meter {
    fn default() -> Self {
        Self {
            milli: BUDGET * 1000,
            filled: crate::units::Time(0),
        }
    }
}

impl Meter {
    /// Takes up to `wanted` out; gives how many there were.
    pub(super) fn take(&mut self, now: crate::units::Time, wanted: usize) -> usize {
        let grown = now.since(self.filled).0.saturating_mul(BUDGET);
        self.milli = self.milli.saturating_add(grown).min(BUDGET * 1000);
        self.filled = now;
        let there = usize::try_from(self.milli / 1000).unwrap_or(0);
        let taken = wanted.min(there);
        self.milli -= 1000 * u64::try_from(taken).unwrap_or(0);
        taken
    }
}
