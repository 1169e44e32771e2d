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
/// What the two sides of a partition together may fill beyond the limit.
pub const ALLOWANCE: Permille = Permille(30);

/// Summary intervals without a word from any peer after which a router counts as cut off alone.
pub const SILENT_INTERVALS: u64 = 3;

/// `Homes` knows the order of homes and who cannot be reached.
#[derive(Debug, Default)]
pub(super) struct Homes {
    down: SecondaryMap<RouterKey, Time>,
    round_trips: SecondaryMap<RouterKey, Millis>,
    fleet: Vec<(RouterKey, Tag)>,
    before: Vec<(RouterKey, Tag)>,
    moved: Time,
    silence: Millis,
    spoken: bool,
    heard: Option<Time>,
}

impl Homes {
    /// Follows a new configuration.
    pub(super) fn apply(&mut self, now: Time, config: &Config) {
        self.down.retain(|key, _| config.fleet.get(key).is_some());
        self.round_trips
            .retain(|key, _| config.fleet.get(key).is_some());
        let interval = config.policy.summary_interval.0;
        self.silence = Millis(interval.saturating_mul(SILENT_INTERVALS));
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
        self.best(self.fleet.iter(), now, me, item)
    }

    /// Gets a workspace's home in the published order, reachable or not.
    pub(super) fn published(&self, item: Tag) -> Option<RouterKey> {
        let best = self.fleet.iter().max_by_key(|(_, tag)| score(item, *tag));
        best.map(|(key, _)| *key)
    }

    /// Gets the home under the fleet before the last change, for as long as it may still be that.
    ///
    /// Routers that have followed the change go on asking it; once it has followed too, it passes
    /// them on. So the bucket changes hands at one moment, though routers follow one by one.
    pub(super) fn predecessor(
        &self,
        now: Time,
        me: Option<RouterKey>,
        item: Tag,
    ) -> Option<RouterKey> {
        if now.since(self.moved) >= HANDOVER {
            return None;
        }
        let key = self.best(self.before.iter(), now, me, item)?;
        let stays = self.fleet.iter().any(|(k, _)| *k == key);
        (stays && Some(key) != me).then_some(key)
    }

    /// Gets the router that has a say in whether `me`, first of those it can reach, is the home
    /// now; `None` when nobody has.
    ///
    /// After a change of the fleet that is the home before it. A substitute needs the word of the
    /// next in order: it alone may have lost its path to the home, and a second bucket would then
    /// double the limit.
    pub(super) fn witness(&self, now: Time, me: RouterKey, item: Tag) -> Option<RouterKey> {
        if self.published(item) == Some(me) {
            return self.predecessor(now, Some(me), item);
        }
        let others = self.fleet.iter().filter(|(key, _)| *key != me);
        self.best(others, now, None, item)
    }

    /// Notes that a router cannot be reached.
    pub(super) fn failed(&mut self, now: Time, router: RouterKey) {
        self.down.insert(router, now + DOWN_FOR);
    }

    /// Notes that a router was heard.
    pub(super) fn heard(&mut self, router: RouterKey) {
        self.down.remove(router);
        self.spoken = true;
    }

    /// Lets time pass.
    pub(super) fn tick(&mut self, now: Time) {
        if std::mem::take(&mut self.spoken) {
            self.heard = Some(now);
        }
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
    /// The two sides of a partition each have a home. The smaller one fills at half of the part of
    /// the fleet that it reaches, and the greater one leaves that room, but for [`ALLOWANCE`]. So
    /// their sum stays near the limit, and routers that are dead, not cut off, cost the living
    /// little.
    pub(super) fn fill(&self, now: Time) -> Permille {
        let all = self.fleet.len().max(1) as u64;
        let down = self.down.values().filter(|until| now < **until).count() as u64;
        // A router that is cut off alone hears it from its peers' silence before its own
        // connections fail.
        let silent = self.heard.is_some_and(|t| now.since(t) > self.silence);
        let down = if silent { all - 1 } else { down.min(all - 1) };
        let half = |routers: u64| u32::try_from(routers * 500 / all).unwrap_or(500);
        if down * 2 < all {
            Permille((1000 + ALLOWANCE.0 - half(down)).min(1000))
        } else {
            Permille(half(all - down))
        }
    }

    /// Gets the number of routers in the fleet.
    pub(super) fn len(&self) -> usize {
        self.fleet.len()
    }

    fn best<'a>(
        &self,
        routers: impl Iterator<Item = &'a (RouterKey, Tag)>,
        now: Time,
        me: Option<RouterKey>,
        item: Tag,
    ) -> Option<RouterKey> {
        let up = |key: RouterKey| {
            Some(key) == me || self.down.get(key).is_none_or(|until| now >= *until)
        };
        let reached = routers.filter(|(key, _)| up(*key));
        let best = reached.max_by_key(|(_, tag)| score(item, *tag));
        best.map(|(key, _)| *key)
    }
}

/// Scores as [`Config::home`] does.
fn score(item: Tag, router: Tag) -> (u64, Tag) {
    (rendezvous(u64::from(item.0), router), router)
}
