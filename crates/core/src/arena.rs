//! Arenas of configured objects: small `Copy` keys that stay the same over revisions, with look-up
//! by name and by tag.

use std::sync::Arc;

use indexmap::IndexMap;
use slotmap::{
    Key,
    SlotMap,
    new_key_type, //
};

use crate::ids::{
    Id,
    Tag, //
};

new_key_type! {
    /// `RouterKey` identifies a router of the published fleet.
    pub struct RouterKey;
    /// `EndpointKey` identifies an endpoint.
    pub struct EndpointKey;
    /// `ServiceKey` identifies a plain service.
    pub struct ServiceKey;
    /// `ModelKey` identifies a model.
    pub struct ModelKey;
    /// `WorkspaceKey` identifies a workspace.
    pub struct WorkspaceKey;
}

/// `Arena` holds the objects of one kind. Cloning copies the tables and shares the objects.
#[derive(Clone, Debug)]
pub struct Arena<K: Key, V> {
    slots: SlotMap<K, Arc<V>>,
    names: IndexMap<Id, K>,
    tags: IndexMap<Tag, K>,
}

impl<K: Key, V> Default for Arena<K, V> {
    fn default() -> Self {
        Self {
            slots: SlotMap::with_key(),
            names: IndexMap::new(),
            tags: IndexMap::new(),
        }
    }
}

impl<K: Key, V> Arena<K, V> {
    /// Inserts an object. It replaces an older one of the same name and keeps that one's key.
    pub fn put(&mut self, id: &Id, value: Arc<V>) -> K {
        if let Some(&key) = self.names.get(id) {
            self.slots[key] = value;
            return key;
        }
        let key = self.slots.insert(value);
        self.names.insert(id.clone(), key);
        self.tags.insert(id.tag(), key);
        key
    }

    /// Removes the object of this name.
    pub fn remove(&mut self, id: &Id) -> Option<Arc<V>> {
        let key = self.names.swap_remove(id)?;
        if self.tags.get(&id.tag()) == Some(&key) {
            self.tags.swap_remove(&id.tag());
        }
        self.slots.remove(key)
    }

    /// Gets an object by key; `None` after its removal.
    pub fn get(&self, key: K) -> Option<&Arc<V>> {
        self.slots.get(key)
    }

    /// Gets the key of a name.
    pub fn key(&self, id: &Id) -> Option<K> {
        self.names.get(id).copied()
    }

    /// Gets the key of a tag.
    pub fn by_tag(&self, tag: Tag) -> Option<K> {
        self.tags.get(&tag).copied()
    }

    /// Iterates over keys and objects.
    pub fn iter(&self) -> impl Iterator<Item = (K, &Arc<V>)> {
        self.slots.iter()
    }

    /// Iterates over names and keys.
    pub fn names(&self) -> impl Iterator<Item = (&Id, K)> {
        self.names.iter().map(|(id, key)| (id, *key))
    }

    /// Gets the number of objects.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Tells whether there are no objects.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}
