//! The voter's side of a lease: what this router has promised to homes.
//!
//! A voter that confirms an epoch promises for the length of the lease, and some drift, to confirm
//! no other epoch to anyone and no other life of that home. Two homes that act under two epochs
//! would need a voter in both their quorums that broke this promise.

use indexmap::{
    IndexMap,
    IndexSet, //
};

use super::Member;
use crate::units::{
    Incarnation,
    Millis,
    Now,
    Revision,
    Time, //
};

/// Longest lease that a voter confirms. A voter's new life has forgotten what the last one
/// promised, so it confirms nothing for this long.
pub const MAX_LEASE: Millis = Millis::from_secs(10);

/// Largest difference in rate of two monotonic clocks, in thousandths.
const DRIFT: u64 = 10;

/// Error of one reading of a clock in whole milliseconds.
const GRAIN: Millis = Millis(2);

/// `Asker` is a home that asks for its lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct Asker {
    pub(super) member: Member,
    pub(super) incarnation: Incarnation,
}

/// `Vote` is a voter's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vote {
    /// Whether the voter confirms.
    pub confirmed: bool,
    /// Epoch that it confirmed to anyone before this one, in this life.
    pub previous: Revision,
}

#[derive(Clone, Copy, Debug)]
struct Promise {
    epoch: Revision,
    until: Time,
}

#[derive(Clone, Copy, Debug)]
struct Life {
    incarnation: Incarnation,
    /// End of the promise to the life before.
    after: Time,
    /// End of the promise to this life.
    until: Time,
}

/// `Voter` holds this life's promises.
#[derive(Debug)]
pub(super) struct Voter {
    born: Time,
    promise: Option<Promise>,
    previous: Revision,
    lives: IndexMap<Member, Life>,
}

/// Gets the time for which a voter keeps the promise that a lease of this length rests on.
pub fn kept(lease: Millis) -> Millis {
    Millis(lease.0 + (lease.0 * DRIFT).div_ceil(1000) + GRAIN.0)
}

impl Voter {
    pub(super) fn new(born: Time) -> Self {
        Self {
            born,
            promise: None,
            previous: Revision(0),
            lives: IndexMap::new(),
        }
    }

    /// Forgets homes that left the fleet, once nothing promised to them is in force.
    pub(super) fn prune(&mut self, now: Now, members: &IndexSet<Member>) {
        let kept = |life: &Life| now.mono < life.until || now.mono < life.after;
        self.lives
            .retain(|member, life| members.contains(member) || kept(life));
    }

    /// Answers another router that asks under the epoch which this one holds too.
    pub(super) fn confirm(
        &mut self,
        now: Now,
        asker: Asker,
        epoch: Revision,
        lease: Millis,
    ) -> Vote {
        let confirmed = self.knows(now, asker) && self.epoch(now, epoch, lease);
        if confirmed && let Some(life) = self.lives.get_mut(&asker.member) {
            life.until = life.until.max(now.mono + kept(lease));
        }
        self.vote(confirmed)
    }

    /// Gives this router's own vote for its own lease.
    pub(super) fn confirm_self(&mut self, now: Now, epoch: Revision, lease: Millis) -> Vote {
        let confirmed = self.epoch(now, epoch, lease);
        self.vote(confirmed)
    }

    const fn vote(&self, confirmed: bool) -> Vote {
        Vote {
            confirmed,
            previous: self.previous,
        }
    }

    /// Tells whether the asker is the life to confirm, and notes a later one at once: its earlier
    /// life is confirmed never again, or a paused one would come back beside it.
    fn knows(&mut self, now: Now, asker: Asker) -> bool {
        let fresh = Life {
            incarnation: asker.incarnation,
            after: Time(0),
            until: Time(0),
        };
        let life = self.lives.entry(asker.member).or_insert(fresh);
        if asker.incarnation > life.incarnation {
            *life = Life {
                after: life.until.max(life.after),
                ..fresh
            };
        }
        asker.incarnation == life.incarnation && now.mono >= life.after
    }

    fn epoch(&mut self, now: Now, epoch: Revision, lease: Millis) -> bool {
        let fresh = now.mono < self.born + kept(MAX_LEASE);
        if fresh || epoch == Revision(0) || lease > MAX_LEASE {
            return false;
        }
        let until = now.mono + kept(lease);
        match &mut self.promise {
            Some(promise) if promise.epoch == epoch => promise.until = promise.until.max(until),
            Some(promise) if now.mono < promise.until => return false,
            promise => {
                self.previous = promise.map_or(Revision(0), |p| p.epoch);
                *promise = Some(Promise { epoch, until });
            }
        }
        true
    }
}
