//! The bounded table of the versions of recent streams.

use bytes::Bytes;
use indexmap::IndexMap;

use crate::{
    gateway::{
        endpoint::Incarnation,
        origin::Build, //
    },
    units::{
        Millis,
        Time, //
    },
};

/// Limit of the streams that are remembered.
pub const MAX_STREAMS: usize = 16_384;
/// Interval at which outdated records are removed.
const EXPIRY_INTERVAL: Millis = Millis(1000);

/// `StreamKey` identifies a stream.
///
/// Callers choose their requests' IDs, so the workspace is a separate field: no workspace can name
/// another one's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StreamKey {
    /// Tag of the workspace; 0 if there is none.
    pub workspace: u32,
    /// Hash of the route and of the ID of the request that brought the first event.
    pub stream: u64,
}

/// `StreamReport` is the version of a stream as one router tells another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamReport {
    /// The stream.
    pub key: StreamKey,
    /// Version that began it.
    pub build: Build,
    /// Time since its first event.
    pub age: Millis,
    /// Time for which it is to be remembered.
    pub left: Millis,
}

/// `StreamRecord` is the version of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamRecord {
    /// Version that began it, or [`Build::UNKNOWN`].
    pub build: Build,
    /// Endpoint that began it, if this router knows that.
    pub incarnation: Option<Incarnation>,
    /// When its caller was sent the first event.
    pub began: Time,
    /// Until when it is remembered.
    pub until: Time,
    /// Its service if this router has begun it and may still have to tell peers; `None` otherwise.
    pub service: Option<Bytes>,
}

/// `Streams` holds the versions of recent streams.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    records: IndexMap<StreamKey, StreamRecord>,
    /// Number of records of each workspace.
    workspaces: IndexMap<u32, usize>,
    /// Streams that peers are still to be told of.
    pub(super) unsent: Vec<StreamKey>,
    expired_at: Time,
}

impl Streams {
    /// Gets the record of a stream.
    pub fn get(&self, now: Time, key: StreamKey) -> Option<&StreamRecord> {
        self.records.get(&key).filter(|r| now < r.until)
    }

    /// Counts the records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Adds a record. Of two streams with the same key, the one that began later counts. When all
    /// room is taken, the workspace with the most records loses its oldest one.
    pub fn insert(&mut self, key: StreamKey, record: StreamRecord) {
        if let Some(held) = self.records.get_mut(&key) {
            if held.began <= record.began {
                *held = record;
            }
            return;
        }
        if self.records.len() >= MAX_STREAMS {
            self.evict();
        }
        self.records.insert(key, record);
        *self.workspaces.entry(key.workspace).or_default() += 1;
    }

    fn evict(&mut self) {
        let largest = self.workspaces.iter().max_by_key(|(_, count)| **count);
        let Some((&workspace, _)) = largest else {
            return;
        };
        let of_largest = self
            .records
            .iter()
            .filter(|(k, _)| k.workspace == workspace);
        let oldest = of_largest.min_by_key(|(_, r)| r.began).map(|(k, _)| *k);
        if let Some(key) = oldest {
            self.records.swap_remove(&key);
            self.uncount(key.workspace);
        }
    }

    fn uncount(&mut self, workspace: u32) {
        if let Some(count) = self.workspaces.get_mut(&workspace) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.workspaces.swap_remove(&workspace);
            }
        }
    }

    pub(super) fn expire(&mut self, now: Time) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        self.records.retain(|_, r| now < r.until);
        self.workspaces.clear();
        for key in self.records.keys() {
            *self.workspaces.entry(key.workspace).or_default() += 1;
        }
    }

    /// Records that it is not known which version began the streams of an incarnation that began after `confirmed`, and
    /// queues them.
    pub(super) fn doubt(&mut self, now: Time, incarnation: Incarnation, confirmed: Option<Time>) {
        for (key, record) in &mut self.records {
            if record.incarnation == Some(incarnation) && Some(record.began) >= confirmed {
                record.build = Build::UNKNOWN;
                record.incarnation = None;
                // Of two reports, the later one counts.
                record.began = now;
                self.unsent.push(*key);
            }
        }
    }

    /// Queues the streams that this router has begun, and that peers have not been told of, of the services that
    /// `wanted` tells.
    pub(super) fn queue(&mut self, wanted: impl Fn(&Bytes) -> bool) {
        for (key, record) in &mut self.records {
            if record.service.take_if(|service| wanted(service)).is_some() {
                self.unsent.push(*key);
            }
        }
    }

    pub(super) fn take_unsent(&mut self, now: Time) -> Vec<StreamReport> {
        let unsent = std::mem::take(&mut self.unsent);
        let report = |key: StreamKey| {
            let record = self.get(now, key)?;
            Some(StreamReport {
                key,
                build: record.build,
                age: now.since(record.began),
                left: record.until.since(now),
            })
        };
        unsent.into_iter().filter_map(report).collect()
    }
}
