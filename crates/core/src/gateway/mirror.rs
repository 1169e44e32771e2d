//! A copy of what the registry publishes, which routers hand on to each other.
//!
//! Calls to a registry are few and dear in a large fleet. So one router of a data centre reads it,
//! and the others ask that one for what has changed, and how old it is. The copy holds records as
//! they were published, without their meaning.

use bytes::Bytes;
use indexmap::IndexMap;

use crate::units::Revision;

/// Removals that are remembered; one who asks for older ones gets everything.
const MAX_REMOVED: usize = 1024;

/// `Record` is one published item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its key.
    pub key: Bytes,
    /// Its value; `None` when it was removed.
    pub value: Option<Bytes>,
    /// Revision of its last change.
    pub revision: Revision,
}

/// `Delta` is what has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Revision that the copy has with it.
    pub revision: Revision,
    /// Whether these are all records that there are.
    pub whole: bool,
    /// The records.
    pub records: Vec<Record>,
}

impl Delta {
    /// Counts the bytes of its keys and values.
    pub fn bytes(&self) -> usize {
        let value = |r: &Record| r.value.as_ref().map_or(0, Bytes::len);
        self.records.iter().map(|r| r.key.len() + value(r)).sum()
    }
}

/// `Mirror` is the copy.
///
/// # Invariants
///
/// No record is newer than `revision`. Every removal after `horizon` is remembered.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    revision: Revision,
    horizon: Revision,
    records: IndexMap<Bytes, (Revision, Bytes)>,
    removed: IndexMap<Bytes, Revision>,
}

impl Mirror {
    /// Gets the revision of the newest read.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes a delta in; returns the records that it changes. One that is older than the copy
    /// changes nothing: a whole read may overtake another.
    pub fn apply(&mut self, delta: Delta) -> Vec<Record> {
        if delta.revision < self.revision {
            return Vec::new();
        }
        let mut changed = Vec::new();
        if delta.whole {
            let kept: indexmap::IndexSet<&Bytes> = delta.records.iter().map(|r| &r.key).collect();
            let missing = self.records.keys().filter(|k| !kept.contains(*k));
            let missing: Vec<Bytes> = missing.cloned().collect();
            for key in missing {
                self.remove(key, delta.revision, &mut changed);
            }
        }
        self.revision = delta.revision;
        for record in delta.records {
            match record.value {
                Some(value) => self.put(record.key, record.revision, value, &mut changed),
                None => self.remove(record.key, record.revision, &mut changed),
            }
        }
        changed
    }

    /// Gets what has changed since `revision`.
    pub fn since(&self, revision: Revision) -> Delta {
        let whole = revision < self.horizon || revision > self.revision || revision == Revision(0);
        let newer = |at: Revision| whole || at > revision;
        let records = self.records.iter().filter(|(_, (at, _))| newer(*at));
        let records = records.map(|(key, (at, value))| Record {
            key: key.clone(),
            value: Some(value.clone()),
            revision: *at,
        });
        let removed = self.removed.iter().filter(|(_, at)| !whole && newer(**at));
        let removed = removed.map(|(key, at)| Record {
            key: key.clone(),
            value: None,
            revision: *at,
        });
        Delta {
            revision: self.revision,
            whole,
            records: removed.chain(records).collect(),
        }
    }

    fn put(&mut self, key: Bytes, at: Revision, value: Bytes, changed: &mut Vec<Record>) {
        let known = self.records.get(&key).is_some_and(|(held, _)| *held >= at);
        if known {
            return;
        }
        self.removed.shift_remove(&key);
        self.records.insert(key.clone(), (at, value.clone()));
        changed.push(Record {
            key,
            value: Some(value),
            revision: at,
        });
    }

    fn remove(&mut self, key: Bytes, at: Revision, changed: &mut Vec<Record>) {
        let older = self.records.get(&key).is_some_and(|(held, _)| *held < at);
        if !older || self.records.swap_remove(&key).is_none() {
            return;
        }
        self.removed.insert(key.clone(), at);
        if self.removed.len() > MAX_REMOVED
            && let Some((_, oldest)) = self.removed.shift_remove_index(0)
        {
            self.horizon = self.horizon.max(oldest);
        }
        changed.push(Record {
            key,
            value: None,
            revision: at,
        });
    }
}
