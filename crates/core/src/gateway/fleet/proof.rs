//! Bounds on the age of the state that a router acts on.
//!
//! A revoked key may still be in the configuration that a router holds, and an endpoint that has
//! left may still be among its entries. The router cannot notice this when it is cut off, was
//! suspended, cannot read as fast as the registry changes, or reads from a replica that lags. So it
//! acts on its state only while it can prove that this was the newest state not long ago; how long
//! ago is bounded for each kind of state.

use crate::{
    gateway::settings::Bounds,
    units::{
        Millis,
        Time, //
    },
};

/// `FreshnessProof` is the sending time of the newest read that returned the newest state.
///
/// The time of sending counts, not that of the answer: the answer does not contain a change that
/// was acknowledged while it was on its way. Times come from a clock that counts suspension.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FreshnessProof {
    read: Option<Time>,
    /// The sending time of the read before.
    read_before: Option<Time>,
    /// The sending time of the newest read that returned the configuration held.
    configuration: Option<Time>,
    /// The same of the read before.
    configuration_before: Option<Time>,
    /// Whether the newest configuration can't be read or applied, so that keys and routes of the one
    /// held may have been replaced.
    configuration_unreadable: bool,
    /// When the registry was last known to hold something newer.
    newer: Option<Time>,
}

impl FreshnessProof {
    /// Records a read that was sent at `sent`.
    pub fn renew(&mut self, sent: Time) {
        if self.read >= Some(sent) {
            return;
        }
        self.read_before = self.read;
        self.read = Some(sent);
        if !self.configuration_unreadable {
            self.configuration_before = self.configuration;
            self.configuration = self.read;
        }
    }

    /// Records that the newest read brought a configuration that can't be read: neither it nor a
    /// later one proves that the one held is the newest.
    pub fn record_unreadable_configuration(&mut self) {
        if !self.configuration_unreadable {
            self.configuration_unreadable = true;
            self.configuration = self.configuration_before;
        }
    }

    /// Records that the newest read brought the configuration that is held now.
    pub fn record_readable_configuration(&mut self) {
        self.configuration_unreadable = false;
        self.configuration = self.read;
    }

    /// Records that the answer to a call sent at `sent` announced something newer, which has not
    /// been read yet.
    pub fn record_newer_state(&mut self, sent: Time) {
        self.newer = self.newer.max(Some(sent));
    }

    /// Returns when the held state was last proven to be the newest; `None` before the first read.
    pub fn read(&self) -> Option<Time> {
        self.read
    }

    /// Returns when the state before it was last proven to be the newest; `None` before the second read.
    pub fn read_before(&self) -> Option<Time> {
        self.read_before
    }

    /// Returns the sending time of the newest call that the registry is known to have answered.
    pub fn answered(&self) -> Option<Time> {
        self.read.max(self.newer)
    }

    /// Tells whether the router may act on keys and routes.
    ///
    /// While the registry is unavailable nothing new is published, so only the bound of keys
    /// applies. A router that hears from the registry that there is something newer, and does not
    /// get it or can't read it, must keep the shorter bound for new configurations.
    pub fn covers_routes(&self, now: Time, bounds: &Bounds) -> bool {
        let outdated = self.configuration_unreadable || self.newer > self.read;
        let bound = if outdated {
            bounds.routes.min(bounds.keys)
        } else {
            bounds.keys
        };
        self.configuration
            .is_some_and(|read| now.since(read) < bound)
    }

    /// Tells whether it is known which data centres are evacuated.
    ///
    /// Answers of endpoints prove nothing here: an endpoint goes on serving in an evacuated data
    /// centre.
    pub fn covers_evacuations(&self, now: Time, bounds: &Bounds) -> bool {
        bounds.evacuation.is_none_or(|bound| self.holds(now, bound))
    }

    /// Returns the age of the held state; `None` before the first read.
    pub fn age(&self, now: Time) -> Option<Millis> {
        self.read.map(|read| now.since(read))
    }

    /// Tells whether the held state is younger than `bound`.
    pub fn holds(&self, now: Time, bound: Millis) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
