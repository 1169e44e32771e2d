//! What is known of one endpoint's load.

use crate::units::{
    Millis,
    Time, //
};

/// Slots of the memory of past loads.
const SLOTS: usize = 10;
/// Time that one slot stands for; together they reach back further than a report's lag.
const SLOT: Millis = Millis(200);

/// Requests by which a report may differ from what routers say of themselves at the same time.
const BLUR: u32 = 2;

/// `Entry` is the load of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Entry {
    /// Own requests in progress.
    pub(super) own: u32,
    /// Peers' requests in progress, by their last summaries.
    pub(super) peers: u32,
    /// Own requests sent since the last summary.
    pub(super) unshared: u32,
    /// Pools by index, and the place in each.
    pub(super) places: Vec<(usize, usize)>,
    // Requests of routers that are not heard, and the time of the report that told.
    unheard: Option<(Time, u32)>,
    past: [(Time, u32); SLOTS],
    last: usize,
}

impl Entry {
    /// Gets the load. While every router is heard (`whole`), a report's surplus is mostly the time
    /// between a request and its summary, and counts only above [`BLUR`].
    pub(super) fn load(&self, whole: bool) -> u32 {
        let surplus = self.unheard.map_or(0, |(_, n)| n);
        let blur = if whole { BLUR } else { 0 };
        self.known().saturating_add(surplus.saturating_sub(blur))
    }

    /// Notes the load that is known now.
    pub(super) fn remember(&mut self, now: Time) {
        let slot = |t: Time| t.0 / SLOT.0;
        if slot(self.past[self.last].0) != slot(now) {
            self.last = (self.last + 1) % SLOTS;
        }
        self.past[self.last] = (now, self.known());
    }

    /// Notes a report that speaks of the time `at`.
    pub(super) fn report(&mut self, at: Time, in_flight: u32) {
        if self.unheard.is_some_and(|(newer, _)| newer > at) {
            return;
        }
        let surplus = in_flight.saturating_sub(self.known_at(at));
        self.unheard = Some((at, surplus));
    }

    /// Lets a report go that is older than `age`.
    pub(super) fn expire(&mut self, now: Time, age: Millis) {
        self.unheard = self.unheard.filter(|(at, _)| now.since(*at) <= age);
    }

    /// Gets the requests of this router and the peers that it hears.
    pub(super) fn known(&self) -> u32 {
        self.own.saturating_add(self.peers)
    }

    /// Gets the load that was known at a time, or the oldest that is remembered.
    fn known_at(&self, at: Time) -> u32 {
        let before = self.past.iter().filter(|(t, _)| *t <= at);
        let oldest = || self.past.iter().min_by_key(|(t, _)| *t);
        let found = before.max_by_key(|(t, _)| *t).or_else(oldest);
        found.map_or(0, |(_, n)| *n)
    }
}
