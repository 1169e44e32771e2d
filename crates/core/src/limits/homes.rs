//! Which router is a workspace's home: the first in rendezvous order that is not known to be
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

/// Time for which an unreachable router is passed over, unless it is heard from.
pub const DOWN_FOR: Millis = Millis(30_000);
/// Time after a fleet change during which a new home draws on the one before it.
pub const HANDOVER: Millis = Millis(5000);
/// What a home that reaches most of the fleet fills beyond the part that it reaches.
pub const ALLOWANCE: Permille = Permille(80);

/// `Homes` knows the order of homes and who cannot be reached.
#[derive(Debug, Default)]
pub(super) struct Homes {
    down: SecondaryMap<RouterKey, Time>,
    round_trips: SecondaryMap<RouterKey, Millis>,
    fleet: Vec<(RouterKey, Tag)>,
    before: Vec<(RouterKey, Tag)>,
    moved: Time,
}

impl Homes {
    /// Follows a new configuration.
    pub(super) fn apply(&mut self, now: Time, config: &Config) {
        self.down.retain(|key, _| config.fleet.get(key).is_some());
        self.round_trips
            .retain(|key, _| config.fleet.get(key).is_some());
        let fleet: Vec<_> = config.fleet.iter().map(|(k, r)| (k, r.tag)).collect();
        if fleet != self.fleet {
            self.before = std::mem::replace(&mut self.fleet, fleet);
            self.moved = now;
        }
    }

    /// Gets the time at which the fleet last changed here.
    pub(super) fn moved(&self) -> Time {
        self.moved
    }

    /// Gets a workspace's home as this router sees it.
    pub(super) fn first(&self, now: Time, me: Option<RouterKey>, item: Tag) -> Option<RouterKey> {
        self.best(&self.fleet, now, me, item)
    }

    /// Tells whether a router comes first in the published order, reachable or not.
    pub(super) fn is_published(&self, router: RouterKey, item: Tag) -> bool {
        let best = self.fleet.iter().max_by_key(|(_, tag)| score(item, *tag));
        best.is_some_and(|(key, _)| *key == router)
    }

    /// Gets the home under the fleet before the last change, while it may still act as such.
    pub(super) fn predecessor(
        &self,
        now: Time,
        me: Option<RouterKey>,
        item: Tag,
    ) -> Option<RouterKey> {
        if now.since(self.moved) >= HANDOVER {
            return None;
        }
        let key = self.best(&self.before, now, me, item)?;
        let stays = self.fleet.iter().any(|(k, _)| *k == key);
        (stays && Some(key) != me).then_some(key)
    }

    /// Notes that a router cannot be reached.
    pub(super) fn failed(&mut self, now: Time, router: RouterKey) {
        self.down.insert(router, now + DOWN_FOR);
    }

    /// Notes that a router was heard.
    pub(super) fn heard(&mut self, router: RouterKey) {
        self.down.remove(router);
    }

    /// Notes how long an answer took.
    pub(super) fn answered(&mut self, router: RouterKey, took: Millis) {
        self.round_trips.insert(router, took);
    }

    /// Gets the time after which a question counts as lost.
    pub(super) fn patience(&self, router: RouterKey, least: Millis) -> Millis {
        let known = self.round_trips.get(router).map_or(0, |t| t.0);
        Millis(least.0.max(2 * known))
    }

    /// Gets the part of its rate at which a home may fill.
    ///
    /// The two sides of a partition each have a home. Filling by the part of the fleet that each
    /// reaches keeps their sum near the limit; the allowance keeps one dead router of seven from
    /// costing the others a seventh, and only one side can hold the majority that has it.
    pub(super) fn fill(&self, now: Time) -> Permille {
        let all = self.fleet.len().max(1) as u64;
        let down = self.down.values().filter(|until| now < **until).count() as u64;
        let reached = all.saturating_sub(down).max(1);
        let part = reached * 1000 / all;
        let extra = if reached * 2 > all { ALLOWANCE.0 } else { 0 };
        Permille(u32::try_from(part).unwrap_or(1000) + extra).min(Permille(1000))
    }

    /// Gets the number of routers in the fleet.
    pub(super) fn len(&self) -> usize {
        self.fleet.len()
    }

    fn best(
        &self,
        fleet: &[(RouterKey, Tag)],
        now: Time,
        me: Option<RouterKey>,
        item: Tag,
    ) -> Option<RouterKey> {
        let up = |key: RouterKey| {
            Some(key) == me || self.down.get(key).is_none_or(|until| now >= *until)
        };
        let reached = fleet.iter().filter(|(key, _)| up(*key));
        let best = reached.max_by_key(|(_, tag)| score(item, *tag));
        best.map(|(key, _)| *key)
    }
}

/// Scores as [`Config::home`] does.
fn score(item: Tag, router: Tag) -> (u64, Tag) {
    (rendezvous(u64::from(item.0), router), router)
}
