//! The load of one endpoint, from routers' requests and the endpoint's reports.

use crate::units::{
    Millis,
    Time, //
};

/// Slots of the history of known loads.
const HISTORY_SLOTS: usize = 10;
/// Time that one history slot covers; together the slots reach back further than a report's lag.
const HISTORY_SLOT_LENGTH: Millis = Millis(200);

/// Requests by which a report may differ from the sum of the routers' requests at the same time.
const REPORT_TOLERANCE: u32 = 2;

/// `Entry` is the load of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Entry {
    /// Own requests in progress.
    pub(super) own: u32,
    /// Peers' requests in progress, from their last summaries.
    pub(super) peers: u32,
    /// Own requests sent since the last summary.
    pub(super) unannounced: u32,
    /// Index of each pool that has the endpoint, and the endpoint's position there.
    pub(super) pool_positions: Vec<(usize, usize)>,
    // Time of the last report, and its requests beyond the known load.
    surplus: Option<(Time, u32)>,
    // A ring of known loads; the newest is at `newest`.
    history: [(Time, u32); HISTORY_SLOTS],
    newest: usize,
}

impl Entry {
    /// Gets the load. While every peer is heard, a report's surplus is mostly requests that are not
    /// in a summary yet, so it counts only above [`REPORT_TOLERANCE`].
    pub(super) fn load(&self, all_peers_heard: bool) -> u32 {
        let surplus = self.surplus.map_or(0, |(_, n)| n);
        let tolerance = if all_peers_heard { REPORT_TOLERANCE } else { 0 };
        self.known()
            .saturating_add(surplus.saturating_sub(tolerance))
    }

    /// Records the load that is known now in the history.
    pub(super) fn record_known(&mut self, now: Time) {
        let slot = |t: Time| t.0 / HISTORY_SLOT_LENGTH.0;
        if slot(self.history[self.newest].0) != slot(now) {
            self.newest = (self.newest + 1) % HISTORY_SLOTS;
        }
        self.history[self.newest] = (now, self.known());
    }

    /// Records a report whose figures are of the time `at`.
    pub(super) fn record_report(&mut self, at: Time, in_flight: u32) {
        if self.surplus.is_some_and(|(newer, _)| newer > at) {
            return;
        }
        let surplus = in_flight.saturating_sub(self.known_at(at));
        self.surplus = Some((at, surplus));
    }

    /// Discards a report that is older than `ttl`.
    pub(super) fn expire(&mut self, now: Time, ttl: Millis) {
        self.surplus = self.surplus.filter(|(at, _)| now.since(*at) <= ttl);
    }

    /// Gets the requests of this router and of the peers whose summaries are current.
    pub(super) fn known(&self) -> u32 {
        self.own.saturating_add(self.peers)
    }

    /// Gets the load that was known at a time, or the oldest in the history.
    fn known_at(&self, at: Time) -> u32 {
        let before = self.history.iter().filter(|(t, _)| *t <= at);
        let oldest = || self.history.iter().min_by_key(|(t, _)| *t);
        let found = before.max_by_key(|(t, _)| *t).or_else(oldest);
        found.map_or(0, |(_, n)| *n)
    }
}
