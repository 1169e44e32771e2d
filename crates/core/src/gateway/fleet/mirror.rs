//! A copy of the registry's published records, which routers pass on to each other.
//!
//! Calls to a registry are expensive and limited in a large fleet. So one router of a data centre
//! reads it, and the others ask that router for what has changed and how old it is. The copy holds
//! records as they were published, without interpreting them.

use std::collections::VecDeque;

use bytes::Bytes;
use indexmap::IndexMap;

use crate::units::Revision;

/// Limit of the remembered removals; a peer that asks for changes since an older revision gets all
/// records.
const MAX_REMEMBERED_REMOVALS: usize = 1024;
/// Limit of the remembered spans of which not all removals are known; a peer that asks for changes
/// since an older one gets all records.
const MAX_UNOBSERVED_SPANS: usize = 64;

/// `Record` is a published record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key of the record.
    pub key: Bytes,
    /// Value of the record; `None` if it was removed.
    pub value: Option<Bytes>,
    /// Revision of its last change.
    pub revision: Revision,
}

/// `Delta` is a set of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Revision of a copy that has applied the changes.
    pub revision: Revision,
    /// Whether these are all existing records rather than changes.
    pub whole: bool,
    /// The records.
    pub records: Vec<Record>,
}

impl Delta {
    /// Counts the bytes of all keys and values.
    pub fn bytes(&self) -> usize {
        let value = |r: &Record| r.value.as_ref().map_or(0, Bytes::len);
        self.records.iter().map(|r| r.key.len() + value(r)).sum()
    }
}

/// `Mirror` is the copy.
///
/// # Invariants
///
/// Every removal after `horizon` is remembered, except for records that were created and removed
/// within a span of `unobserved`. Spans are in order and do not overlap.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    revision: Revision,
    horizon: Revision,
    records: IndexMap<Bytes, (Revision, Bytes)>,
    removed: IndexMap<Bytes, Revision>,
    unobserved: VecDeque<UnobservedSpan>,
}

/// `UnobservedSpan` is a span of revisions that the copy passed in one step, so that records
/// created and removed between its ends were never seen here. A peer whose copy is at a revision
/// within the span may hold such a record.
#[derive(Clone, Copy, Debug)]
struct UnobservedSpan {
    after: Revision,
    before: Revision,
}

impl UnobservedSpan {
    fn contains(&self, revision: Revision) -> bool {
        self.after < revision && revision < self.before
    }
}

impl Mirror {
    /// Returns the revision of the copy.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Tells whether a record exists.
    pub fn holds(&self, key: &Bytes) -> bool {
        self.records.contains_key(key)
    }

    /// Applies a read of the registry; returns the records that it changes. A read that is older
    /// than the copy changes nothing, as complete reads may overtake each other.
    pub fn apply(&mut self, delta: Delta) -> Vec<Record> {
        if delta.revision < self.revision {
            return Vec::new();
        }
        if delta.whole {
            self.skip_to(delta.revision);
        }
        self.apply_records(delta)
    }

    /// Applies a peer's delta, as [`Mirror::apply`] does. The peer may not know of records that
    /// were created and removed in between.
    pub fn apply_from_peer(&mut self, delta: Delta) -> Vec<Record> {
        if delta.revision < self.revision {
            return Vec::new();
        }
        self.skip_to(delta.revision);
        self.apply_records(delta)
    }

    /// Notes that the copy passes to `revision` in one step.
    ///
    /// Otherwise, a router that had started a moment before the peer it copies from would never be
    /// told of an endpoint that was removed between the first reads of the two. It would send that
    /// endpoint requests after it had left, with a fresh proof of age.
    fn skip_to(&mut self, revision: Revision) {
        let span = UnobservedSpan {
            after: self.revision,
            before: revision,
        };
        if span.after.0.saturating_add(1) >= span.before.0 {
            return;
        }
        self.unobserved.push_back(span);
        if self.unobserved.len() > MAX_UNOBSERVED_SPANS
            && let Some(oldest) = self.unobserved.pop_front()
        {
            self.horizon = self.horizon.max(oldest.before);
        }
    }

    fn apply_records(&mut self, delta: Delta) -> Vec<Record> {
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

    /// Returns the changes since `revision`.
    pub fn since(&self, revision: Revision) -> Delta {
        let unobserved = self.unobserved.iter().any(|span| span.contains(revision));
        let outside = revision < self.horizon || revision > self.revision;
        let whole = unobserved || outside || revision == Revision(0);
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

    /// Removes a record. The removal is remembered even if the record is unknown: the pages of a
    /// complete read may have been fetched after the removal, and a peer whose copy is older still
    /// has the record.
    fn remove(&mut self, key: Bytes, at: Revision, changed: &mut Vec<Record>) {
        let held = self.records.get(&key).map(|(held, _)| *held);
        let already_removed = self
            .removed
            .get(&key)
            .is_some_and(|removed_at| *removed_at >= at);
        if already_removed || held.is_some_and(|held| held >= at) {
            return;
        }
        self.records.swap_remove(&key);
        self.removed.shift_remove(&key);
        self.removed.insert(key.clone(), at);
        if self.removed.len() > MAX_REMEMBERED_REMOVALS
            && let Some((_, oldest)) = self.removed.shift_remove_index(0)
        {
            self.horizon = self.horizon.max(oldest);
        }
        if held.is_some() {
            changed.push(Record {
                key,
                value: None,
                revision: at,
            });
        }
    }
}
