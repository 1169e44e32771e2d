//! The configuration service of a replay: entries by revision, and the watches that wait.

use bytes::Bytes;
use indexmap::IndexMap;
use toucanturn_core::{
    peer::{
        Change,
        Entry, //
    },
    units::Revision,
};

/// `Service` is the platform's configuration service.
#[derive(Debug)]
pub struct Service {
    /// Whether it answers.
    pub up: bool,
    /// Routers that wait, by index, with the revision they hold.
    pub watches: Vec<(usize, Revision)>,
    revision: Revision,
    entries: IndexMap<String, Entry>,
}

impl Service {
    /// Makes a service that holds `first` under revision 1.
    pub fn new(first: &IndexMap<String, serde_json::Value>) -> Self {
        let mut service = Self {
            up: true,
            watches: Vec::new(),
            revision: Revision(0),
            entries: IndexMap::new(),
        };
        service.publish(first);
        service
    }

    /// Writes entries under the next revision.
    pub fn publish(&mut self, entries: &IndexMap<String, serde_json::Value>) {
        self.revision.0 += 1;
        for (key, value) in entries {
            let value = (!value.is_null()).then(|| Bytes::from(value.to_string()));
            let entry = Entry {
                key: Bytes::from(key.clone()),
                revision: self.revision,
                value,
            };
            self.entries.insert(key.clone(), entry);
        }
    }

    /// Gets all that was written after `since`.
    pub fn after(&self, since: Revision) -> Change {
        let newer = self.entries.values().filter(|e| e.revision > since);
        let mut entries: Vec<Entry> = newer.cloned().collect();
        entries.sort_by_key(|e| e.revision);
        Change {
            since,
            revision: self.revision,
            floor: None,
            entries,
        }
    }

    /// Takes out the watches that can be answered.
    pub fn take_ready(&mut self) -> Vec<(usize, Revision)> {
        if !self.up {
            return Vec::new();
        }
        let revision = self.revision;
        let ready = self.watches.extract_if(.., |(_, since)| *since < revision);
        ready.collect()
    }
}
