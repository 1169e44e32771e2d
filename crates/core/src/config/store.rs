//! Stores the published entries by revision and the newest valid configuration built from them.
//!
//! Whether a revision is valid depends on its content alone, so all routers decide alike. A store
//! holds two contents: the one in force, which is the greatest valid revision that it received, and
//! the entries written after it (`pending`), which are empty or end in a revision that was refused.
//! The revisions of both only grow, and a merge takes the greater of each, so routers that exchange
//! [`Change`]s converge to the same pair whatever the order of arrival.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    sync::Arc, //
};

use bytes::Bytes;
use indexmap::IndexMap;
use snafu::Snafu;

pub use super::fault::Fault;
use super::{
    Config, build,
    raw::MAX_VALUE_BYTES,
    reference::{
        MAX_CONTENT_BYTES,
        MAX_KEY_BYTES, //
    },
};
use crate::{
    peer::{
        Change,
        Entry, //
    },
    units::Revision,
};

/// Most deletions that are kept for peers, besides those of the newest revision.
///
/// Above this number the older half is dropped. A peer whose revision is below the newest dropped
/// deletion gets a whole snapshot.
pub const MAX_TOMBSTONES: usize = 4096;

/// Most bytes of keys and values that are kept of refused revisions. A change that exceeds this is
/// dropped and read again.
pub const MAX_PENDING_BYTES: usize = 2 * MAX_CONTENT_BYTES;
/// Most entries that are kept of refused revisions.
pub const MAX_PENDING_ENTRIES: usize = 65_536;

/// `Error` is the reason why a change was not put in force.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The change starts after a revision that is newer than those in this store.
    #[snafu(display("the change starts after revision {since}, this store holds {held}"))]
    Gap {
        /// Revision after which the change starts.
        since: u64,
        /// What is held.
        held: u64,
    },
    /// The change contains nothing that is new to this store.
    #[snafu(display("revision {found} brings nothing to {held}"))]
    Old {
        /// Revision of the change.
        found: u64,
        /// What is held.
        held: u64,
    },
    /// The change contradicts itself or exceeds its bounds; nothing of it is kept.
    #[snafu(display("found {found}, expected {expected}"))]
    Malformed {
        /// What was found.
        found: String,
        /// What was expected.
        expected: &'static str,
    },
    /// The configuration is invalid; the older one stays in force.
    #[snafu(display("{} faults, first {}", faults.len(), first(faults)))]
    Invalid {
        /// All faults of the configuration.
        faults: Vec<Fault>,
    },
}

fn first(faults: &[Fault]) -> String {
    faults.first().map(Fault::to_string).unwrap_or_default()
}

type Entries = IndexMap<Bytes, Entry>;

/// `Store` holds the published entries and the configuration in force.
///
/// # Invariants
///
/// - `entries` overwritten with `pending` is the published content at `held`; `entries` alone is
///   the content of `current`.
/// - Every entry of `pending` is newer than `current`.
/// - Every deletion after `floor` is kept in `entries` or `pending`.
#[derive(Debug, Default)]
pub struct Store {
    entries: Entries,
    pending: Entries,
    held: Revision,
    floor: Revision,
    reread: bool,
    current: Arc<Config>,
}

impl Store {
    /// Gets the configuration in force; its revision is zero before the first.
    pub fn current(&self) -> &Arc<Config> {
        &self.current
    }

    /// Gets the newest revision received, valid or not.
    pub fn held(&self) -> Revision {
        self.held
    }

    /// Gets the revision after which to read the configuration service next: the newest one
    /// received. While that one is refused, every other read starts after the revision in force
    /// instead.
    ///
    /// A corrupt answer may have contained a revision far above the published ones. A router that
    /// only asked for revisions above that would miss every later one; a read after the revision in
    /// force returns them.
    pub fn next_read(&mut self) -> Revision {
        self.reread = !self.reread && !self.pending.is_empty();
        if self.reread {
            self.current.revision
        } else {
            self.held
        }
    }

    /// Merges a change and puts the result in force if it is valid.
    ///
    /// # Errors
    ///
    /// [`Error::Gap`], [`Error::Old`] and [`Error::Malformed`] leave the store as it was;
    /// [`Error::Invalid`] may have raised [`Store::held`].
    pub fn apply(&mut self, change: &Change) -> Result<(), Error> {
        let revision = validate(change)?;
        if revision > self.held {
            self.apply_newest(change, revision)
        } else {
            self.apply_between(change, revision)
        }
    }

    /// Applies a change that ends above the newest revision received.
    fn apply_newest(&mut self, change: &Change, revision: Revision) -> Result<(), Error> {
        if change.since > self.held {
            let (since, held) = (change.since.0, self.held.0);
            return GapSnafu { since, held }.fail();
        }
        let mut pending = self.newer_entries(change, revision);
        if change.since.0 > 0 {
            for (key, old) in &self.pending {
                let keep = |new: &Entry| new.revision < old.revision;
                if pending.get(key).is_none_or(keep) {
                    pending.insert(key.clone(), old.clone());
                }
            }
        }
        let weight = |e: &Entry| e.key.len() + e.value.as_ref().map_or(0, Bytes::len);
        let found = pending.values().map(weight).sum::<usize>();
        if found > MAX_PENDING_BYTES || pending.len() > MAX_PENDING_ENTRIES {
            let found = format!("{} refused entries, {found} bytes", pending.len());
            let expected = "no more than is kept of refused revisions";
            return MalformedSnafu { found, expected }.fail();
        }
        self.raise_floor(change, revision);
        self.held = revision;
        let built = self.build(revision, &pending);
        self.pending = pending;
        let config = built?;
        self.put_in_force(config);
        Ok(())
    }

    /// Applies a change that ends between the revision in force and the newest one received.
    ///
    /// A router that reads two revisions in one delta, the newer of them invalid, never sees the
    /// older one by itself. A peer that saw it has it in force; without this step the two would
    /// differ until the next valid revision.
    fn apply_between(&mut self, change: &Change, revision: Revision) -> Result<(), Error> {
        let current = self.current.revision;
        let held = self.held;
        if revision <= current || revision == held || change.since > current {
            let (found, held) = (revision.0, held.0);
            return OldSnafu { found, held }.fail();
        }
        let between = self.newer_entries(change, revision);
        let config = self.build(revision, &between)?;
        self.raise_floor(change, revision);
        // A key of `between` that `pending` lacks was deleted later: `pending` came from a
        // snapshot, which need not contain deletions.
        let mut after = std::mem::take(&mut self.pending);
        for key in between.keys() {
            if !after.contains_key(key) {
                after.insert(key.clone(), tombstone(key, held));
            }
        }
        after.retain(|_, entry| entry.revision > revision);
        self.pending = between;
        self.put_in_force(config);
        self.pending = after;
        Ok(())
    }

    /// Gets the entries of a change that are newer than the revision in force. A snapshot need not
    /// contain deletions, so a key that it lacks counts as deleted.
    fn newer_entries(&self, change: &Change, revision: Revision) -> Entries {
        let current = self.current.revision;
        let mut out = Entries::new();
        for entry in change.entries.iter().filter(|e| e.revision > current) {
            let newer = |old: &Entry| old.revision < entry.revision;
            if out.get(&entry.key).is_none_or(newer) {
                out.insert(entry.key.clone(), entry.clone());
            }
        }
        if change.since.0 > 0 {
            return out;
        }
        let named: HashSet<&Bytes> = change.entries.iter().map(|e| &e.key).collect();
        let live = self.entries.values().filter(|e| e.value.is_some());
        for lost in live.filter(|e| !named.contains(&e.key)) {
            out.insert(lost.key.clone(), tombstone(&lost.key, revision));
        }
        out
    }

    /// Raises `floor` after a snapshot, which may lack deletions up to that revision.
    fn raise_floor(&mut self, change: &Change, revision: Revision) {
        let floor = change.floor.unwrap_or(revision);
        if change.since.0 == 0 && floor > self.current.revision {
            self.floor = self.floor.max(floor);
        }
    }

    fn build(&self, revision: Revision, newer: &Entries) -> Result<Config, Error> {
        let size = |e: &Entry| e.value.as_ref().map_or(0, |v| e.key.len() + v.len());
        let old = self.entries.values();
        let old = old.filter(|e| !newer.contains_key(&e.key)).map(size);
        let bytes = old.sum::<usize>() + newer.values().map(size).sum::<usize>();
        let built = build::build(&self.current, revision, newer.values());
        match (built, build::check_size(bytes)) {
            (Ok(config), None) => Ok(config),
            (Ok(_), Some(fault)) => {
                let faults = vec![fault];
                InvalidSnafu { faults }.fail()
            }
            (Err(faults), _) => InvalidSnafu { faults }.fail(),
        }
    }

    fn put_in_force(&mut self, config: Config) {
        self.current = Arc::new(config);
        self.entries.extend(self.pending.drain(..));
        self.drop_old_tombstones();
    }

    /// Drops the older half of the deletions once there are more than [`MAX_TOMBSTONES`].
    fn drop_old_tombstones(&mut self) {
        let deleted = self.entries.values().filter(|e| e.value.is_none());
        let mut revisions: Vec<Revision> = deleted.map(|e| e.revision).collect();
        if revisions.len() <= MAX_TOMBSTONES {
            return;
        }
        revisions.sort_unstable();
        // Deletions of the newest revision stay: a change ends at the revision of its newest entry.
        let newest = Revision(self.current.revision.0.saturating_sub(1));
        let cut = revisions[revisions.len() / 2].min(newest);
        self.entries
            .retain(|_, e| e.value.is_some() || e.revision > cut);
        self.floor = self.floor.max(cut);
    }

    /// Gets what was published after `since`, for a peer: one or two changes to apply in this
    /// order. The first ends at the revision in force here, the second at the newest one, which was
    /// refused.
    pub fn after(&self, since: Revision) -> Vec<Change> {
        let current = self.current.revision;
        let entries: Vec<&Entry> = self.entries.values().collect();
        let mut out = vec![self.change_between(since, current, &entries)];
        if !self.pending.is_empty() {
            let old = entries.iter().copied();
            let old = old.filter(|e| !self.pending.contains_key(&e.key));
            let entries: Vec<&Entry> = old.chain(self.pending.values()).collect();
            out.push(self.change_between(since.max(current), self.held, &entries));
        }
        out
    }

    /// Gets the change from `since` to `revision`, whose content is `entries`. Makes a snapshot if
    /// some deletions since then were dropped.
    fn change_between(&self, since: Revision, revision: Revision, entries: &[&Entry]) -> Change {
        let (since, floor) = if since < self.floor {
            (Revision(0), Some(self.floor.min(revision)))
        } else {
            (since, (since.0 == 0).then_some(Revision(0)))
        };
        let newer = entries.iter().filter(|e| e.revision > since);
        let mut entries: Vec<Entry> = newer.map(|e| (*e).clone()).collect();
        entries.sort_by_key(|e| e.revision);
        Change {
            since,
            revision,
            floor,
            entries,
        }
    }
}

fn tombstone(key: &Bytes, revision: Revision) -> Entry {
    Entry {
        key: key.clone(),
        revision,
        value: None,
    }
}

/// Checks a change by itself and gets the revision at which it ends: that of its newest entry.
///
/// The revision that the change states may be greater and is not used. A service that reads its
/// revision and its entries in two steps may state a revision whose entries are missing, and a
/// router that took it over would never ask for them. With the lower revision, the next read
/// returns them.
fn validate(change: &Change) -> Result<Revision, Error> {
    let malformed = |found: String, expected| MalformedSnafu { found, expected }.fail();
    let mut seen = HashMap::new();
    let mut bytes = 0_usize;
    let mut newest = Revision(0);
    for entry in &change.entries {
        let size = entry.value.as_ref().map_or(0, Bytes::len);
        if entry.key.len() > MAX_KEY_BYTES || size > MAX_VALUE_BYTES {
            let found = format!("{} and {size} bytes", entry.key.len());
            return malformed(found, "a key and a value within their bounds");
        }
        if entry.revision.0 == 0 || entry.revision > change.revision {
            let found = format!("an entry of revision {}", entry.revision.0);
            return malformed(found, "revisions from 1 to that of the change");
        }
        let other = seen.insert((&entry.key, entry.revision), &entry.value);
        if other.is_some_and(|other| *other != entry.value) {
            let found = String::from_utf8_lossy(&entry.key).into_owned();
            return malformed(found, "one value of a key at a revision");
        }
        bytes += entry.key.len() + size;
        newest = newest.max(entry.revision);
    }
    if bytes > 2 * MAX_CONTENT_BYTES {
        return malformed(format!("{bytes} bytes"), "at most twice a whole content");
    }
    Ok(newest)
}
