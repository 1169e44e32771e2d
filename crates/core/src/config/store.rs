//! The published entries by revision, and the newest valid configuration made from them.
//!
//! What is in force is a function of what was published alone: at each revision the whole content
//! is checked, and an invalid one leaves the older one in force until a later revision is valid.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;
use snafu::Snafu;

use super::{
    Check,
    Config,
    Endpoint,
    Kind,
    Limit,
    Model,
    Policy,
    Priority,
    Router,
    Rule,
    Service,
    Workspace,
    raw, //
};
use crate::{
    ids::Id,
    peer::{
        Change,
        Entry, //
    },
    units::{
        Millis,
        Permille,
        Revision, //
    },
};

/// `Fault` is one thing wrong with a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// JSON path of the field.
    pub path: String,
    /// What was found and what was expected.
    pub reason: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

/// `Error` says why a change is not in force.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The change starts after a revision that this store doesn't hold.
    #[snafu(display("the change starts after revision {since}, this store holds {held}"))]
    Gap {
        /// Where the change starts.
        since: u64,
        /// What is held.
        held: u64,
    },
    /// The change is not newer than what is held.
    #[snafu(display("revision {found} is not above {held}"))]
    Old {
        /// Revision of the change.
        found: u64,
        /// What is held.
        held: u64,
    },
    /// The change contradicts itself or its bounds; nothing of it is held.
    #[snafu(display("expected {expected}"))]
    Malformed {
        /// What was expected.
        expected: String,
    },
    /// The configuration is invalid; the older one stays in force.
    #[snafu(display("{} faults, first {}", faults.len(), faults.first().map(Fault::to_string).unwrap_or_default()))]
    Invalid {
        /// All that is wrong with it.
        faults: Vec<Fault>,
    },
}

/// `Store` holds the published entries and the configuration in force.
#[derive(Debug, Default)]
pub struct Store {
    entries: IndexMap<Bytes, Entry>,
    held: Revision,
    current: Arc<Config>,
}

impl Store {
    /// Gets the configuration in force; revision zero before the first.
    pub fn current(&self) -> &Arc<Config> {
        &self.current
    }

    /// Gets the newest revision seen, valid or not.
    pub fn held(&self) -> Revision {
        self.held
    }

    /// Merges a change and puts the result in force if it is valid.
    pub fn apply(&mut self, change: &Change) -> Result<(), Error> {
        if change.since > self.held {
            return GapSnafu {
                since: change.since.0,
                held: self.held.0,
            }
            .fail();
        }
        if change.revision <= self.held {
            return OldSnafu {
                found: change.revision.0,
                held: self.held.0,
            }
            .fail();
        }
        for entry in &change.entries {
            let newer = |old: &Entry| old.revision < entry.revision;
            if self.entries.get(&entry.key).is_none_or(newer) {
                self.entries.insert(entry.key.clone(), entry.clone());
            }
        }
        self.held = change.revision;
        let next = check(&self.entries, self.held, &self.current)?;
        self.current = Arc::new(next);
        Ok(())
    }

    /// Gets all that was published after `since`, for a peer: one change or more, to be applied in
    /// this order.
    pub fn after(&self, since: Revision) -> Vec<Change> {
        let newer = self.entries.values().filter(|e| e.revision > since);
        let mut entries: Vec<Entry> = newer.cloned().collect();
        entries.sort_by_key(|e| e.revision);
        vec![Change {
            since,
            revision: self.held,
            floor: None,
            entries,
        }]
    }
}

fn parse<T: serde::de::DeserializeOwned>(
    key: &str,
    value: &Bytes,
    faults: &mut Vec<Fault>,
) -> Option<T> {
    let mut raw = serde_json::Deserializer::from_slice(value);
    match serde_path_to_error::deserialize(&mut raw) {
        Ok(parsed) => Some(parsed),
        Err(error) => {
            let path = format!("{key}.{}", error.path());
            faults.push(Fault {
                path,
                reason: error.inner().to_string(),
            });
            None
        }
    }
}

fn id(path: &str, text: &str, faults: &mut Vec<Fault>) -> Option<Id> {
    let result = Id::try_from(text);
    result
        .map_err(|e| {
            faults.push(Fault {
                path: path.to_owned(),
                reason: format!("{text:?}: {e}"),
            })
        })
        .ok()
}

fn address(path: &str, text: &str, faults: &mut Vec<Fault>) -> Option<std::net::SocketAddr> {
    let reason = || format!("{text:?}: expected IP:PORT");
    text.parse()
        .map_err(|_| {
            faults.push(Fault {
                path: path.to_owned(),
                reason: reason(),
            })
        })
        .ok()
}

fn hash(path: &str, text: &str, faults: &mut Vec<Fault>) -> Option<[u8; 32]> {
    let mut out = [0; 32];
    let digits = text.as_bytes();
    let pair = |i: usize| std::str::from_utf8(digits.get(2 * i..2 * i + 2)?).ok();
    let good = digits.len() == 64
        && (0..32).all(|i| {
            let byte = pair(i).and_then(|p| u8::from_str_radix(p, 16).ok());
            byte.map(|b| out[i] = b).is_some()
        });
    if !good {
        let reason = "expected 64 hexadecimal digits".to_owned();
        faults.push(Fault {
            path: path.to_owned(),
            reason,
        });
    }
    good.then_some(out)
}

fn check(
    entries: &IndexMap<Bytes, Entry>,
    revision: Revision,
    old: &Config,
) -> Result<Config, Error> {
    let mut faults = Vec::new();
    let f = &mut faults;
    let mut next = Config {
        revision,
        ..Config::default()
    };
    // Keys of things that stay must stay the same: start from the old arenas.
    next.fleet = old.fleet.clone();
    next.endpoints = old.endpoints.clone();
    next.services = old.services.clone();
    next.models = old.models.clone();
    next.workspaces = old.workspaces.clone();
    let live = |prefix: &'static str| {
        entries.values().filter_map(move |e| {
            let key = std::str::from_utf8(&e.key).ok()?;
            let name = key.strip_prefix(prefix)?.strip_prefix('/')?;
            Some((key, name, e.value.as_ref()?))
        })
    };
    if let Some(Entry {
        value: Some(value), ..
    }) = entries.get(&b"policy"[..])
        && let Some(p) = parse::<raw::Policy>("policy", value, f)
    {
        next.policy = Arc::new(policy(&p, f));
    }
    if let Some(Entry {
        value: Some(value),
        revision,
        ..
    }) = entries.get(&b"fleet"[..])
    {
        next.epoch = *revision;
        let members = parse::<IndexMap<String, raw::Router>>("fleet", value, f).unwrap_or_default();
        for (name, r) in &members {
            let path = format!("fleet.{name}");
            let parts = (
                id(&path, name, f),
                address(&format!("{path}.address"), &r.address, f),
                address(&format!("{path}.peer_address"), &r.peer_address, f),
                id(&format!("{path}.data_center"), &r.data_center, f),
            );
            if let (Some(id), Some(address), Some(peer_address), Some(data_center)) = parts {
                let router = Router {
                    tag: id.tag(),
                    id: id.clone(),
                    address,
                    peer_address,
                    data_center,
                };
                next.fleet.put(&id, Arc::new(router));
            }
        }
        prune(&mut next.fleet, |id| members.contains_key(id.as_str()));
    }
    for (key, name, value) in live("models") {
        let Some(m) = parse::<raw::Model>(key, value, f) else {
            continue;
        };
        let parts = (
            id(key, name, f),
            id(&format!("{key}.version"), &m.version, f),
        );
        if let (Some(id), Some(version)) = parts {
            let model = Model {
                id: id.clone(),
                version,
                min_replicas: m.min_replicas,
            };
            next.models.put(&id, Arc::new(model));
        }
    }
    for (key, name, value) in live("services") {
        let Some(s) = parse::<raw::Service>(key, value, f) else {
            continue;
        };
        let Some(id) = id(key, name, f) else { continue };
        let rule = |r: raw::Rule| Rule {
            method: r.method.into(),
            path: r.path.into(),
        };
        let once = s.once.into_iter().map(rule).collect();
        let service = Service {
            id: id.clone(),
            path: s.path.into(),
            once,
        };
        next.services.put(&id, Arc::new(service));
    }
    for (key, name, value) in live("endpoints") {
        let Some(e) = parse::<raw::Endpoint>(key, value, f) else {
            continue;
        };
        let parts = (
            id(key, name, f),
            e.kind.parse::<Kind>().ok(),
            address(&format!("{key}.address"), &e.address, f),
            id(&format!("{key}.data_center"), &e.data_center, f),
        );
        if parts.1.is_none() {
            let reason = format!("{:?}: expected \"engine\" or \"service\"", e.kind);
            f.push(Fault {
                path: format!("{key}.kind"),
                reason,
            });
        }
        let (Some(id), Some(kind), Some(address), Some(data_center)) = parts else {
            continue;
        };
        let models = keys(&next.models, &format!("{key}.models"), &e.models, f);
        let service = e.service.iter().cloned().collect::<Vec<_>>();
        let service = keys(&next.services, &format!("{key}.service"), &service, f)
            .first()
            .copied();
        let checked = |yes| if yes { Check::Checked } else { Check::Ignored };
        let endpoint = Endpoint {
            tag: id.tag(),
            id: id.clone(),
            kind,
            address,
            data_center,
            models,
            service,
            capacity: e.capacity.unwrap_or(32),
            fencing: checked(e.checks_fencing),
            key_check: checked(e.checks_key),
        };
        next.endpoints.put(&id, Arc::new(endpoint));
    }
    for (key, name, value) in live("workspaces") {
        let Some(w) = parse::<raw::Workspace>(key, value, f) else {
            continue;
        };
        let Some(id) = id(key, name, f) else { continue };
        let path = format!("{key}.key_sha256");
        let limit = Limit {
            requests_per_s: w.requests_per_s,
            burst: w.burst.unwrap_or(w.requests_per_s),
        };
        let workspace = Workspace {
            tag: id.tag(),
            id: id.clone(),
            keys: w
                .key_sha256
                .iter()
                .filter_map(|k| hash(&path, k, f))
                .collect(),
            priority: Priority(w.priority),
            limit,
            models: keys(&next.models, &format!("{key}.models"), &w.models, f),
            services: keys(&next.services, &format!("{key}.services"), &w.services, f),
            deadline: Millis(w.deadline_ms),
        };
        next.workspaces.put(&id, Arc::new(workspace));
    }
    let published = |kind: &str, id: &Id| {
        let key = Bytes::from(format!("{kind}/{id}"));
        entries.get(&key).is_some_and(|e| e.value.is_some())
    };
    prune(&mut next.models, |id| published("models", id));
    prune(&mut next.services, |id| published("services", id));
    prune(&mut next.endpoints, |id| published("endpoints", id));
    prune(&mut next.workspaces, |id| published("workspaces", id));
    if faults.is_empty() {
        Ok(next)
    } else {
        InvalidSnafu { faults }.fail()
    }
}

fn prune<K: slotmap::Key, V>(arena: &mut crate::arena::Arena<K, V>, keep: impl Fn(&Id) -> bool) {
    let gone: Vec<Id> = arena
        .names()
        .map(|(id, _)| id)
        .filter(|id| !keep(id))
        .cloned()
        .collect();
    for id in gone {
        arena.remove(&id);
    }
}

fn keys<K: slotmap::Key, V>(
    arena: &crate::arena::Arena<K, V>,
    path: &str,
    names: &[String],
    faults: &mut Vec<Fault>,
) -> Vec<K> {
    let mut found = Vec::new();
    for name in names {
        match Id::try_from(name.as_str())
            .ok()
            .and_then(|id| arena.key(&id))
        {
            Some(key) => found.push(key),
            None => {
                let reason = format!("{name:?}: expected a published name");
                faults.push(Fault {
                    path: path.to_owned(),
                    reason,
                });
            }
        }
    }
    found
}

fn policy(raw: &raw::Policy, faults: &mut Vec<Fault>) -> Policy {
    let base = Policy::default();
    let ratio = |v: Option<f64>, or: Permille| v.map_or(or, Permille::from_ratio);
    let ms = |v: Option<u64>, or: Millis| v.map_or(or, Millis);
    let mut data_centers = IndexMap::new();
    for (name, region) in &raw.data_centers {
        let path = format!("policy.data_centers.{name}");
        if let (Some(name), Some(region)) = (id(&path, name, faults), id(&path, region, faults)) {
            data_centers.insert(name, region);
        }
    }
    Policy {
        load_multiple: ratio(raw.load_multiple, base.load_multiple),
        drain_deadline: ms(raw.drain_deadline_ms, base.drain_deadline),
        retry_budget: ratio(raw.retry_budget, base.retry_budget),
        max_attempts: raw.max_attempts.unwrap_or(base.max_attempts),
        key_ttl: ms(raw.key_ttl_ms, base.key_ttl),
        lease: ms(raw.lease_ms, base.lease),
        clock_skew: ms(raw.clock_skew_ms, base.clock_skew),
        idle_timeout: ms(raw.idle_timeout_ms, base.idle_timeout),
        poll_interval: ms(raw.poll_interval_ms, base.poll_interval),
        summary_interval: ms(raw.summary_interval_ms, base.summary_interval),
        config_readers: raw.config_readers.unwrap_or(base.config_readers),
        data_centers,
    }
}
