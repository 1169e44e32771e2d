//! Keys with revisions, and the snapshots that the faults answer from.

use crate::{
    errors::{
        PublishSnafu,
        Result, //
    },
    platform::Mode,
};
use indexmap::IndexMap;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;
use snafu::ensure;
use std::{
    collections::VecDeque,
    sync::Arc, //
};

/// Largest value of a key.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Most keys ever held, deleted ones included; beyond it a publish is refused.
const MAX_KEYS: usize = 65_536;
/// Most earlier snapshots kept; beyond it the oldest is forgotten.
const MAX_SNAPSHOTS: usize = 16;

/// `Entries` is one transaction: the new value of each key, none for a deletion.
pub(super) type Entries = IndexMap<String, Option<Value>>;

/// `Entry` is a key as it was last written.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Entry {
    pub(super) key: Arc<str>,
    pub(super) revision: u64,
    pub(super) value: Option<Arc<Value>>,
}

/// `Changes` is what a read answers.
#[derive(Debug, Serialize)]
pub(super) struct Changes {
    pub(super) revision: u64,
    pub(super) entries: Vec<Entry>,
}

/// `Fault` sets how the platform goes wrong.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub(super) struct Fault {
    pub(super) mode: Mode,
    /// For `stale` and `older`: the newest revision that may be seen.
    pub(super) revision: Option<u64>,
}

/// `Snapshot` is every key at one revision, in ascending order of revision.
#[derive(Clone, Debug, Default)]
struct Snapshot {
    revision: u64,
    entries: IndexMap<Arc<str>, Entry>,
}

impl Snapshot {
    fn since(&self, revision: u64) -> Changes {
        let newer = self
            .entries
            .values()
            .filter(|entry| entry.revision > revision);
        Changes {
            revision: self.revision,
            entries: newer.cloned().collect(),
        }
    }
}

/// `Store` is the configuration service's state.
#[derive(Debug, Default)]
pub(super) struct Store {
    current: Arc<Snapshot>,
    earlier: VecDeque<Arc<Snapshot>>,
    fault: Fault,
    /// What `stale` and `older` answer from.
    frozen: Arc<Snapshot>,
}

impl Store {
    /// Publishes one transaction and gets its revision.
    pub(super) fn publish(&mut self, entries: Entries) -> Result<u64> {
        check(&entries)?;
        let mut next = Snapshot::clone(&self.current);
        next.revision += 1;
        for (key, value) in entries {
            let key: Arc<str> = key.into();
            let value = value.map(Arc::new);
            // Moves the key to the end, so that the order of revisions holds.
            next.entries.shift_remove(&key);
            next.entries.insert(
                key.clone(),
                Entry {
                    key,
                    revision: next.revision,
                    value,
                },
            );
        }
        ensure!(
            next.entries.len() <= MAX_KEYS,
            PublishSnafu {
                reason: "too many keys"
            }
        );
        let revision = next.revision;
        self.earlier
            .push_back(std::mem::replace(&mut self.current, Arc::new(next)));
        if self.earlier.len() > MAX_SNAPSHOTS {
            self.earlier.pop_front();
        }
        Ok(revision)
    }

    /// Sets the fault; `stale` and `older` pick their snapshot now.
    pub(super) fn set_fault(&mut self, fault: Fault) {
        self.fault = fault;
        self.frozen = match (fault.mode, fault.revision) {
            (_, Some(revision)) => self.snapshot_at(revision),
            (Mode::Older, None) => self.earlier.back().unwrap_or(&self.current).clone(),
            (_, None) => self.current.clone(),
        };
    }

    /// Gets the mode in force.
    pub(super) fn mode(&self) -> Mode {
        self.fault.mode
    }

    /// Gets what a reader at `revision` is told now.
    pub(super) fn since(&self, revision: u64) -> Changes {
        match self.fault.mode {
            Mode::Stale => self.frozen.since(revision),
            Mode::Older => self.frozen.since(0),
            _ => self.current.since(revision),
        }
    }

    /// Gets the newest snapshot not above `revision`, or the oldest one kept.
    fn snapshot_at(&self, revision: u64) -> Arc<Snapshot> {
        let newest_first = std::iter::once(&self.current).chain(self.earlier.iter().rev());
        let found = newest_first
            .clone()
            .find(|snapshot| snapshot.revision <= revision);
        found
            .or(newest_first.last())
            .unwrap_or(&self.current)
            .clone()
    }
}

fn check(entries: &Entries) -> Result<()> {
    ensure!(
        !entries.is_empty(),
        PublishSnafu {
            reason: "no entries"
        }
    );
    let mut values = entries.values().flatten();
    let fits = values.all(|value| value.to_string().len() <= MAX_VALUE_BYTES);
    ensure!(
        fits,
        PublishSnafu {
            reason: "a value above 1 MB"
        }
    );
    Ok(())
}
