//! Whether this router has read of each version that may have begun a stream.
//!
//! The registry says what serves now, not what has served. A router knows the versions of the past by having read each
//! change, or from a peer that has.

use bytes::Bytes;

use crate::{
    gateway::{
        Gateway,
        origin::MAX_MIXED_SERVICES, //
    },
    units::{
        Millis,
        Revision,
        Time, //
    },
};

/// Number of half read intervals between two reads up to which no endpoint is taken to have joined and left unseen: it
/// stays listed for longer while it drains, or until its heartbeats are missed.
const MAX_UNREAD_HALF_INTERVALS: u64 = 5;

/// `Changes` is how a read of the registry got what has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Changes {
    /// Each one since the read before.
    Each,
    /// What is different from the read before.
    Difference,
    /// What is different, and some that came and went is missing, or may be.
    Incomplete,
}

impl Gateway {
    /// Notes up to which revision the registry's state is known by a read; to be called before
    /// [`Gateway::record_registry_read`].
    ///
    /// The time until the answer counts as unread: what has joined and left meanwhile may be in none of its pages.
    pub fn record_history(&mut self, now: Time, revision: Revision, changes: Changes) {
        let last = self.proof.read().unwrap_or(self.started_at);
        let interval = self.bounds.pace().interval;
        let limit = Millis(interval.0 * MAX_UNREAD_HALF_INTERVALS / 2);
        let is_late = now.since(last) > limit;
        let is_news = revision != self.revision;
        let missed = match (changes, self.known_from) {
            (Changes::Each, _) => false,
            (_, None) => is_late && self.unread_since.is_none(),
            (Changes::Difference, Some(_)) => is_late && is_news,
            (Changes::Incomplete, Some(_)) => is_news,
        };
        if missed {
            self.unread_since = Some(now);
            self.known_from = None;
        }
        self.known_from.get_or_insert(revision);
        self.revision = revision;
    }

    /// Tells whether streams may go on that a version has begun of which this router never knew: one that left before
    /// its start, or between two reads.
    pub fn doubts_versions(&self, now: Time) -> bool {
        self.unread_since
            .is_some_and(|at| now.since(at) < self.stream_life)
    }

    /// Returns the revision up to which this router knows of each version that streams may be of, if its digests state
    /// all services that have several.
    pub fn versions_until(&self, now: Time) -> Option<Revision> {
        let index_of = |service: &Bytes| self.catalog.as_ref().and_then(|c| c.index_of(service));
        let indexed = self.all_mixed().all(|service| index_of(service).is_some());
        let states_all = indexed && self.all_mixed().count() <= MAX_MIXED_SERVICES;
        let knows = states_all && self.known_from.is_some() && !self.doubts_versions(now);
        knows.then_some(self.revision)
    }

    /// Notes that a digest of a peer with the same configuration in force has arrived: up to which revision the peer
    /// knows of each version, and which services have several of them.
    ///
    /// A router that doubts its versions relies on a peer that knew of them up to the state that this router began
    /// with, however old the digest is. It cannot tell when what the peer states ends, so it keeps that for the life of
    /// a stream.
    pub fn heard_peer(&mut self, now: Time, until: Option<Revision>, mixed: &[u32]) {
        let knows = self
            .known_from
            .zip(until)
            .is_some_and(|(from, until)| until >= from);
        if self.unread_since.is_none() || !knows {
            return;
        }
        self.unread_since = None;
        let until = now + self.stream_life;
        let names = self.catalog.iter().flat_map(|c| c.names_at(mixed));
        self.inherited_mixed.extend(names.map(|name| (name, until)));
    }
}
