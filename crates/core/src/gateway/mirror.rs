//! A copy of what the registry publishes, which routers hand on to each other.
//!
//! Calls to a registry are few and dear in a large fleet. So one router of a data centre reads it,
//! and the others ask that one for what has changed, and how old it is. The copy holds records as
//! they were published, without their meaning.

use std::collections::VecDeque;

use bytes::Bytes;
use indexmap::IndexMap;

use crate::units::Revision;

/// Removals that are remembered; one who asks for older ones gets everything.
const MAX_REMOVED: usize = 1024;
/// Spans that are remembered of which a copy can't tell all removals; one who asks from before the
/// oldest of more gets everything.
const MAX_BLIND: usize = 64;

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
/// Every removal after `horizon` is remembered, but for records that came and went within a span of
/// `blind`. Spans are in order and don't overlap.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    revision: Revision,
    horizon: Revision,
    records: IndexMap<Bytes, (Revision, Bytes)>,
    removed: IndexMap<Bytes, Revision>,
    blind: VecDeque<Blind>,
}

/// `Blind` is a span of revisions that was passed in one step: what came and went between its ends
/// was never seen here. One whose copy is of a revision between them may hold such a record.
#[derive(Clone, Copy, Debug)]
struct Blind {
    after: Revision,
    before: Revision,
}

impl Blind {
    fn holds(&self, revision: Revision) -> bool {
        self.after < revision && revision < self.before
    }
}

impl Mirror {
    /// Gets the revision of the newest read.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes a read of the registry in; returns the records that it changes. One that is older than
    /// the copy changes nothing: a whole read may overtake another.
    pub fn apply(&mut self, delta: Delta) -> Vec<Record> {
        if delta.revision < self.revision {
            return Vec::new();
        }
        if delta.whole {
            self.pass(delta.revision);
        }
        self.take(delta)
    }

    /// Takes a peer's delta in, as [`Mirror::apply`] does. The peer may not know what came and went.
    pub fn apply_from_peer(&mut self, delta: Delta) -> Vec<Record> {
        if delta.revision < self.revision {
            return Vec::new();
        }
        self.pass(delta.revision);
        self.take(delta)
    }

    /// Notes that the copy goes to `revision` in one step.
    ///
    /// Without this, routers that had started a moment earlier than the peer that they copied from
    /// were never told of an endpoint that was removed between the two first reads, and sent it
    /// requests until it was gone, under a fresh proof of age.
    fn pass(&mut self, revision: Revision) {
        let span = Blind {
            after: self.revision,
            before: revision,
        };
        if span.after.0.saturating_add(1) >= span.before.0 {
            return;
        }
        self.blind.push_back(span);
        if self.blind.len() > MAX_BLIND
            && let Some(oldest) = self.blind.pop_front()
        {
            self.horizon = self.horizon.max(oldest.before);
        }
    }

    fn take(&mut self, delta: Delta) -> Vec<Record> {
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
        let blind = self.blind.iter().any(|span| span.holds(revision));
        let outside = revision < self.horizon || revision > self.revision;
        let whole = blind || outside || revision == Revision(0);
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

    /// Takes a record out. The removal is remembered also where the record is not known: pages of a
    /// whole read may have missed it already, and one whose copy is of that time has it.
    fn remove(&mut self, key: Bytes, at: Revision, changed: &mut Vec<Record>) {
        let held = self.records.get(&key).map(|(held, _)| *held);
        let told = self.removed.get(&key).is_some_and(|told| *told >= at);
        if told || held.is_some_and(|held| held >= at) {
            return;
        }
        self.records.swap_remove(&key);
        self.removed.shift_remove(&key);
        self.removed.insert(key.clone(), at);
        if self.removed.len() > MAX_REMOVED
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
