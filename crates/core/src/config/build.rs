//! Builds the next configuration from the one in force and the entries that changed.
//!
//! Only changed entries are parsed. Unchanged ones keep their checked values, and every name keeps
//! its arena key, so that state which the node keeps by key (loads, views, limits) remains valid in
//! the next revision. The result depends on the content alone and not on the earlier revisions:
//! deletions are applied first, then entries that others refer to, then those that refer to them,
//! and the checks of [`cross`] run last.

use std::{
    collections::HashSet,
    sync::Arc, //
};

use bytes::Bytes;

use super::{
    Config,
    Policy,
    cross,
    entry,
    fault::{
        Fault,
        Faults, //
    },
    key::Key,
    object::Object,
    raw::{
        MAX_VALUE_BYTES,
        Value, //
    },
    reference, //
};
use crate::{
    arena::Arena,
    ids::Id,
    peer::Entry,
    units::Revision, //
};

/// `ChangedParts` says which parts of the new configuration differ from the old one.
#[derive(Debug, Default)]
pub(super) struct ChangedParts {
    pub(super) policy: bool,
    pub(super) fleet: bool,
    pub(super) services: bool,
    pub(super) endpoints: bool,
    pub(super) workspaces: bool,
    /// Whether a model or service was deleted.
    pub(super) removed: bool,
}

/// `ChangedEntries` holds the changed entries by kind.
#[derive(Default)]
struct ChangedEntries<'a> {
    policy: Option<&'a Entry>,
    fleet: Option<&'a Entry>,
    models: Vec<(Id, &'a Entry)>,
    services: Vec<(Id, &'a Entry)>,
    endpoints: Vec<(Id, &'a Entry)>,
    workspaces: Vec<(Id, &'a Entry)>,
}

/// Builds the configuration at `revision`: `old` overwritten with `entries`.
///
/// # Errors
///
/// All faults that the check finds.
pub(super) fn build<'a>(
    old: &Config,
    revision: Revision,
    entries: impl Iterator<Item = &'a Entry>,
) -> Result<Config, Vec<Fault>> {
    let mut faults = Faults::default();
    let changed = sort_by_kind(entries, &mut faults);
    let mut next = old.clone();
    next.revision = revision;
    let touched = ChangedParts {
        policy: changed.policy.is_some(),
        fleet: changed.fleet.is_some(),
        services: !changed.services.is_empty(),
        endpoints: !changed.endpoints.is_empty(),
        workspaces: !changed.workspaces.is_empty(),
        removed: remove_deleted(&changed, &mut next),
    };
    if let Some(e) = changed.policy {
        next.policy = Arc::new(policy(e, &mut faults));
    }
    if let Some(e) = changed.fleet {
        next.epoch = e.revision;
        fleet(e, &mut next, &mut faults);
    }
    for (id, value) in live(&changed.models) {
        let path = format!("models/{id}");
        if let Some(o) = open(&path, value, &mut faults) {
            let model = entry::model(id, o);
            insert(&mut next.models, &path, id, model, &mut faults);
        }
    }
    for (id, value) in live(&changed.services) {
        let path = format!("services/{id}");
        if let Some(o) = open(&path, value, &mut faults) {
            let service = entry::service(id, o);
            insert(&mut next.services, &path, id, service, &mut faults);
        }
    }
    for (id, value) in live(&changed.endpoints) {
        let path = format!("endpoints/{id}");
        let object = open(&path, value, &mut faults);
        if let Some(endpoint) = object.and_then(|o| entry::endpoint(id, o, &next)) {
            insert(&mut next.endpoints, &path, id, endpoint, &mut faults);
        }
    }
    for (id, value) in live(&changed.workspaces) {
        let path = format!("workspaces/{id}");
        if let Some(o) = open(&path, value, &mut faults) {
            let workspace = entry::workspace(id, o, &next);
            insert(&mut next.workspaces, &path, id, workspace, &mut faults);
        }
    }
    cross::check(old, &next, &touched, &mut faults);
    faults.or(next)
}

fn sort_by_kind<'a>(
    entries: impl Iterator<Item = &'a Entry>,
    faults: &mut Faults,
) -> ChangedEntries<'a> {
    let mut out = ChangedEntries::default();
    for entry in entries {
        match Key::try_from(&entry.key[..]) {
            Ok(Key::Policy) => out.policy = Some(entry),
            Ok(Key::Fleet) => out.fleet = Some(entry),
            Ok(Key::Model(id)) => out.models.push((id, entry)),
            Ok(Key::Service(id)) => out.services.push((id, entry)),
            Ok(Key::Endpoint(id)) => out.endpoints.push((id, entry)),
            Ok(Key::Workspace(id)) => out.workspaces.push((id, entry)),
            Err(error) if entry.value.is_some() => {
                let key = String::from_utf8_lossy(&entry.key).into_owned();
                faults.add("", Value::Text(key), error);
            }
            Err(_) => {}
        }
    }
    out
}

/// Removes deleted entries; returns whether other entries may have referred to one of them.
fn remove_deleted(changed: &ChangedEntries<'_>, next: &mut Config) -> bool {
    let mut removed = false;
    for id in deleted(&changed.models) {
        removed |= next.models.remove(id).is_some();
    }
    for id in deleted(&changed.services) {
        removed |= next.services.remove(id).is_some();
    }
    for id in deleted(&changed.endpoints) {
        next.endpoints.remove(id);
    }
    for id in deleted(&changed.workspaces) {
        next.workspaces.remove(id);
    }
    removed
}

fn deleted<'a>(entries: &'a [(Id, &Entry)]) -> impl Iterator<Item = &'a Id> {
    let gone = entries.iter().filter(|(_, e)| e.value.is_none());
    gone.map(|(id, _)| id)
}

fn live<'a>(entries: &'a [(Id, &Entry)]) -> impl Iterator<Item = (&'a Id, &'a Bytes)> {
    let value = |(id, e): &'a (Id, &Entry)| Some((id, e.value.as_ref()?));
    entries.iter().filter_map(value)
}

fn open<'a>(path: &str, value: &Bytes, faults: &'a mut Faults) -> Option<Object<'a>> {
    let value = Value::parse(path, value, MAX_VALUE_BYTES, faults)?;
    Object::new(path, value, faults)
}

fn policy(entry: &Entry, faults: &mut Faults) -> Policy {
    let object = entry.value.as_ref().map(|v| open("policy", v, faults));
    object.flatten().map(entry::policy).unwrap_or_default()
}

fn fleet(entry: &Entry, next: &mut Config, faults: &mut Faults) {
    let Some(value) = &entry.value else {
        faults.add("fleet", "nothing", "a published fleet");
        return;
    };
    let Some(value) = Value::parse("fleet", value, MAX_VALUE_BYTES, faults) else {
        return;
    };
    let routers = entry::fleet(value, faults);
    let kept: HashSet<&Id> = routers.iter().map(|r| &r.id).collect();
    let gone = next.fleet.names().map(|(id, _)| id);
    let gone: Vec<Id> = gone.filter(|id| !kept.contains(id)).cloned().collect();
    for id in gone {
        next.fleet.remove(&id);
    }
    for router in routers {
        let id = router.id.clone();
        insert(&mut next.fleet, &format!("fleet.{id}"), &id, router, faults);
    }
}

/// Inserts a value unless another name has the same tag: messages between peers contain tags
/// instead of names, so two names with one tag would be confused.
fn insert<K: slotmap::Key, V>(
    arena: &mut Arena<K, V>,
    path: &str,
    id: &Id,
    value: V,
    faults: &mut Faults,
) {
    let holder = arena.by_tag(id.tag()).unwrap_or(K::null());
    if !holder.is_null() && arena.key(id) != Some(holder) {
        let found = format_args!("the tag of another name ({:08x})", id.tag().0);
        faults.add(path, found, "a name with a tag of its own");
        return;
    }
    arena.put(id, Arc::new(value));
}

/// Checks the total size of the published content, which `Config` does not contain.
pub(super) fn check_size(bytes: usize) -> Option<Fault> {
    (bytes > reference::MAX_CONTENT_BYTES).then(|| Fault {
        path: String::new(),
        found: format!("{bytes} bytes"),
        expected: format!(
            "at most {} bytes of keys and values",
            reference::MAX_CONTENT_BYTES
        ),
    })
}
