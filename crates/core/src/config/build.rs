//! Builds the next configuration from the one in force and the entries that changed.
//!
//! Only changed entries are parsed. Unchanged ones keep their checked values and every name keeps
//! its arena key, so that what the node knows by key (loads, views, limits) outlives a revision.
//! The result depends on the content alone, not on the steps that led to it: removals come first,
//! then what others refer to, then what refers to it, then [`cross`] over the whole.

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
        MAX_VALUE,
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

/// `Touched` says which parts of a configuration differ from the old one.
#[derive(Debug, Default)]
pub(super) struct Touched {
    pub(super) policy: bool,
    pub(super) fleet: bool,
    pub(super) services: bool,
    pub(super) endpoints: bool,
    pub(super) workspaces: bool,
    /// A model or service was taken out.
    pub(super) removed: bool,
}

/// `Changed` holds the changed entries by kind.
#[derive(Default)]
struct Changed<'a> {
    policy: Option<&'a Entry>,
    fleet: Option<&'a Entry>,
    models: Vec<(Id, &'a Entry)>,
    services: Vec<(Id, &'a Entry)>,
    endpoints: Vec<(Id, &'a Entry)>,
    workspaces: Vec<(Id, &'a Entry)>,
}

/// Builds the configuration at `revision`, in which `old` was overwritten with `entries`.
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
    let changed = sort(entries, &mut faults);
    let mut next = old.clone();
    next.revision = revision;
    let touched = Touched {
        policy: changed.policy.is_some(),
        fleet: changed.fleet.is_some(),
        services: !changed.services.is_empty(),
        endpoints: !changed.endpoints.is_empty(),
        workspaces: !changed.workspaces.is_empty(),
        removed: take_out(&changed, &mut next),
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
            put(&mut next.models, &path, id, model, &mut faults);
        }
    }
    for (id, value) in live(&changed.services) {
        let path = format!("services/{id}");
        if let Some(o) = open(&path, value, &mut faults) {
            let service = entry::service(id, o);
            put(&mut next.services, &path, id, service, &mut faults);
        }
    }
    for (id, value) in live(&changed.endpoints) {
        let path = format!("endpoints/{id}");
        let object = open(&path, value, &mut faults);
        if let Some(endpoint) = object.and_then(|o| entry::endpoint(id, o, &next)) {
            put(&mut next.endpoints, &path, id, endpoint, &mut faults);
        }
    }
    for (id, value) in live(&changed.workspaces) {
        let path = format!("workspaces/{id}");
        if let Some(o) = open(&path, value, &mut faults) {
            let workspace = entry::workspace(id, o, &next);
            put(&mut next.workspaces, &path, id, workspace, &mut faults);
        }
    }
    cross::check(old, &next, &touched, &mut faults);
    faults.or(next)
}

fn sort<'a>(entries: impl Iterator<Item = &'a Entry>, faults: &mut Faults) -> Changed<'a> {
    let mut out = Changed::default();
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

/// Takes deleted things out; tells whether others may have referred to one.
fn take_out(changed: &Changed<'_>, next: &mut Config) -> bool {
    let mut removed = false;
    for id in dead(&changed.models) {
        removed |= next.models.remove(id).is_some();
    }
    for id in dead(&changed.services) {
        removed |= next.services.remove(id).is_some();
    }
    for id in dead(&changed.endpoints) {
        next.endpoints.remove(id);
    }
    for id in dead(&changed.workspaces) {
        next.workspaces.remove(id);
    }
    removed
}

fn dead<'a>(entries: &'a [(Id, &Entry)]) -> impl Iterator<Item = &'a Id> {
    let gone = entries.iter().filter(|(_, e)| e.value.is_none());
    gone.map(|(id, _)| id)
}

fn live<'a>(entries: &'a [(Id, &Entry)]) -> impl Iterator<Item = (&'a Id, &'a Bytes)> {
    let value = |(id, e): &'a (Id, &Entry)| Some((id, e.value.as_ref()?));
    entries.iter().filter_map(value)
}

fn open<'a>(path: &str, value: &Bytes, faults: &'a mut Faults) -> Option<Object<'a>> {
    let value = Value::parse(path, value, MAX_VALUE, faults)?;
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
    let Some(value) = Value::parse("fleet", value, MAX_VALUE, faults) else {
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
        put(&mut next.fleet, &format!("fleet.{id}"), &id, router, faults);
    }
}

/// Puts a thing in unless another name has the same tag: peers name things by tag, and would take
/// the one for the other.
fn put<K: slotmap::Key, V>(
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

/// Checks the published content as a whole that is not in `Config`: its size.
pub(super) fn check_size(bytes: usize) -> Option<Fault> {
    (bytes > reference::MAX_CONTENT).then(|| Fault {
        path: String::new(),
        found: format!("{bytes} bytes"),
        expected: format!(
            "at most {} bytes of keys and values",
            reference::MAX_CONTENT
        ),
    })
}
