//! Selects the home of a workspace: the first router in rendezvous order that is not known to be
//! unreachable.

use slotmap::SecondaryMap;

use crate::{
    arena::RouterKey,
    config::Config,
    ids::{
        Tag,
        rendezvous, //
    },
    units::{
        Millis,
        Permille,
        Time, //
    },
};

/// Time for which an unreachable router is skipped, unless a message from it arrives.
pub const UNREACHABLE_TTL: Millis = Millis(30_000);
/// Time after a change of the fleet list during which a new home asks its predecessor for grants.
pub const HANDOVER_PERIOD: Millis = Millis(5000);
/// Part of the limit by which the two sides of a partition together may exceed it.
pub const PARTITION_ALLOWANCE: Permille = Permille(30);

/// Summary intervals without a message from any peer after which a router counts as isolated.
pub const SILENT_INTERVALS: u64 = 3;

/// `Homes` ranks the routers of the fleet as homes and tracks which of them are unreachable.
#[derive(Debug, Default)]
pub(super) struct Homes {
    unreachable_until: SecondaryMap<RouterKey, Time>,
    /// The last measured time between a grant request and its answer.
    round_trips: SecondaryMap<RouterKey, Millis>,
    fleet: Vec<(RouterKey, Tag)>,
    previous_fleet: Vec<(RouterKey, Tag)>,
    fleet_changed: Time,
    /// Time without a message from any peer after which this router counts as isolated.
    max_silence: Millis,
    /// Whether a message has arrived since the last tick.
    heard_since_tick: bool,
    /// Time of the last tick before which a message had arrived.
    last_heard: Option<Time>,
}

impl Homes {
    /// Applies a new configuration.
    pub(super) fn apply(&mut self, now: Time, config: &Config) {
        self.unreachable_until
            .retain(|key, _| config.fleet.get(key).is_some());
        self.round_trips
            .retain(|key, _| config.fleet.get(key).is_some());
        let interval = config.policy.summary_interval.0;
        self.max_silence = Millis(interval.saturating_mul(SILENT_INTERVALS));
        let fleet: Vec<_> = config.fleet.iter().map(|(k, r)| (k, r.tag)).collect();
        if fleet != self.fleet {
            self.previous_fleet = std::mem::replace(&mut self.fleet, fleet);
            self.fleet_changed = now;
        }
    }

    /// Gets when this router last applied a change of the fleet list.
    pub(super) fn fleet_changed(&self) -> Time {
        self.fleet_changed
    }

    /// Gets a workspace's home: the first in rendezvous order that this router can reach.
    pub(super) fn current_home(
        &self,
        now: Time,
        me: Option<RouterKey>,
        item: Tag,
    ) -> Option<RouterKey> {
        self.highest_ranked(self.fleet.iter(), now, me, item)
    }

    /// Gets the first router in rendezvous order, reachable or not.
    pub(super) fn published_home(&self, item: Tag) -> Option<RouterKey> {
        let best = self.fleet.iter().max_by_key(|(_, tag)| score(item, *tag));
        best.map(|(key, _)| *key)
    }

    /// Gets the home under the previous fleet list, while it may still act as the home.
    ///
    /// Routers that have applied the change keep asking the predecessor, which relays their
    /// requests once it has applied the change itself. So the bucket moves at one moment, although
    /// the routers apply the change at different times.
    pub(super) fn predecessor(
        &self,
        now: Time,
        me: Option<RouterKey>,
        item: Tag,
    ) -> Option<RouterKey> {
        if now.since(self.fleet_changed) >= HANDOVER_PERIOD {
            return None;
        }
        let key = self.highest_ranked(self.previous_fleet.iter(), now, me, item)?;
        let stays = self.fleet.iter().any(|(k, _)| *k == key);
        (stays && Some(key) != me).then_some(key)
    }

    /// Gets the router that must confirm that `me`, the first router that it can reach, is the
    /// home; `None` if no confirmation is needed.
    ///
    /// For the published home, it is the predecessor after a change of the fleet list. For a
    /// substitute, it is the next router in order: the substitute may be the only one that has lost
    /// its path to the home, and a second bucket would then double the limit.
    pub(super) fn witness(&self, now: Time, me: RouterKey, item: Tag) -> Option<RouterKey> {
        if self.published_home(item) == Some(me) {
            return self.predecessor(now, Some(me), item);
        }
        let others = self.fleet.iter().filter(|(key, _)| *key != me);
        self.highest_ranked(others, now, None, item)
    }

    /// Skips a router for [`UNREACHABLE_TTL`].
    pub(super) fn mark_unreachable(&mut self, now: Time, router: RouterKey) {
        self.unreachable_until.insert(router, now + UNREACHABLE_TTL);
    }

    /// Notes that a message from a router has arrived.
    pub(super) fn mark_reachable(&mut self, router: RouterKey) {
        self.unreachable_until.remove(router);
        self.heard_since_tick = true;
    }

    /// Records whether a message has arrived since the last tick.
    pub(super) fn tick(&mut self, now: Time) {
        if std::mem::take(&mut self.heard_since_tick) {
            self.last_heard = Some(now);
        }
    }

    pub(super) fn record_round_trip(&mut self, router: RouterKey, took: Millis) {
        self.round_trips.insert(router, took);
    }

    /// Gets the time after which a grant request counts as lost, at least `least`.
    pub(super) fn resend_timeout(&self, router: RouterKey, least: Millis) -> Millis {
        let known = self.round_trips.get(router).map_or(0, |t| t.0);
        Millis(least.0.max(2 * known))
    }

    /// Gets the share of the limit's rate at which a home fills its bucket.
    ///
    /// Each side of a partition has a home. The home on the smaller side fills at half the fraction
    /// of the fleet that it reaches. The home on the larger side reduces its rate by as much, less
    /// [`PARTITION_ALLOWANCE`]. So the sum stays near the limit, and routers that have failed,
    /// rather than been partitioned, reduce the rate of the others only a little.
    pub(super) fn fill_share(&self, now: Time) -> Permille {
        let fleet_size = self.fleet.len().max(1) as u64;
        let unreachable = self
            .unreachable_until
            .values()
            .filter(|until| now < **until)
            .count() as u64;
        // An isolated router notices the silence of its peers before its own connections fail.
        let is_isolated = self
            .last_heard
            .is_some_and(|t| now.since(t) > self.max_silence);
        let unreachable = if is_isolated {
            fleet_size - 1
        } else {
            unreachable.min(fleet_size - 1)
        };
        let half_fraction = |routers: u64| u32::try_from(routers * 500 / fleet_size).unwrap_or(500);
        if unreachable * 2 < fleet_size {
            Permille((1000 + PARTITION_ALLOWANCE.0 - half_fraction(unreachable)).min(1000))
        } else {
            Permille(half_fraction(fleet_size - unreachable))
        }
    }

    /// Gets the number of routers in the fleet.
    pub(super) fn len(&self) -> usize {
        self.fleet.len()
    }

    fn highest_ranked<'a>(
        &self,
        routers: impl Iterator<Item = &'a (RouterKey, Tag)>,
        now: Time,
        me: Option<RouterKey>,
        item: Tag,
    ) -> Option<RouterKey> {
        let is_reachable = |key: RouterKey| {
            Some(key) == me
                || self
                    .unreachable_until
                    .get(key)
                    .is_none_or(|until| now >= *until)
        };
        let reachable = routers.filter(|(key, _)| is_reachable(*key));
        let best = reachable.max_by_key(|(_, tag)| score(item, *tag));
        best.map(|(key, _)| *key)
    }
}

/// Gets the rendezvous score of a router, as [`Config::home`] does.
fn score(item: Tag, router: Tag) -> (u64, Tag) {
    (rendezvous(u64::from(item.0), router), router)
}
