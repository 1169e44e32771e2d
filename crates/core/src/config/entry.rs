//! Parses and validates single published entries.
//!
//! Each function reads one JSON object, resolves the names in it in the arenas of the configuration
//! that is being built, and records every fault. Checks that need two entries (for example for
//! equal addresses) are in [`super::cross`].

use std::collections::HashSet;

use bytes::Bytes;
use indexmap::IndexMap;

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
    fault::Faults,
    field::Field,
    object::{
        Object,
        hash, //
    },
    raw::Value,
    reference as r, //
};
use crate::{
    arena::Arena,
    ids::Id,
    units::Millis, //
};

/// Paths at which the router itself answers callers.
const RESERVED: [&str; 5] = ["/v1", "/healthz", "/readyz", "/status", "/drain"];

pub(super) fn policy(mut o: Object<'_>) -> Policy {
    let policy = Policy {
        load_multiple: o.ratio(&r::LOAD_MULTIPLE),
        drain_deadline: Millis(o.number(&r::DRAIN_DEADLINE)),
        retry_budget: o.ratio(&r::RETRY_BUDGET),
        max_attempts: o.number_u32(&r::MAX_ATTEMPTS),
        key_ttl: Millis(o.number(&r::KEY_TTL)),
        lease: Millis(o.number(&r::LEASE)),
        clock_skew: Millis(o.number(&r::CLOCK_SKEW)),
        idle_timeout: Millis(o.number(&r::IDLE_TIMEOUT)),
        poll_interval: Millis(o.number(&r::POLL_INTERVAL)),
        summary_interval: Millis(o.number(&r::SUMMARY_INTERVAL)),
        config_readers: o.number_u32(&r::CONFIG_READERS),
        data_centers: data_centers(&mut o),
    };
    if policy.lease >= policy.key_ttl {
        let path = o.path(&r::LEASE);
        o.faults.add(path, policy.lease.0, "less than `key_ttl_ms`");
    }
    o.finish();
    policy
}

fn data_centers(o: &mut Object<'_>) -> IndexMap<Id, Id> {
    let path = o.path(&r::DATA_CENTERS);
    let mut out = IndexMap::new();
    for (name, region) in o.table(&r::DATA_CENTERS) {
        let Ok(id) = Id::try_from(name.as_str()) else {
            name_fault(&path, &name, o.faults);
            continue;
        };
        let text = match &region {
            Value::Text(text) => Id::try_from(text.as_str()).ok(),
            _ => None,
        };
        if text.is_none() {
            o.faults.add(format!("{path}.{name}"), region, "a name");
        }
        // A data centre with an invalid region is added too, so that references to it are no
        // faults.
        out.insert(id.clone(), text.unwrap_or(id));
    }
    out
}

/// Reads the routers of the published fleet.
pub(super) fn fleet(value: Value, faults: &mut Faults) -> Vec<Router> {
    let Value::Object(members) = value else {
        faults.add("fleet", value, "an object of routers by name");
        return Vec::new();
    };
    if members.is_empty() || members.len() > r::MAX_ROUTERS {
        let expected = format_args!("1 to {} routers", r::MAX_ROUTERS);
        faults.add("fleet", format_args!("{}", members.len()), expected);
        return Vec::new();
    }
    let mut out = Vec::new();
    for (name, value) in members {
        match Id::try_from(name.as_str()) {
            Ok(id) => out.extend(router(id, value, faults)),
            Err(_) => name_fault("fleet", &name, faults),
        }
    }
    out
}

fn router(id: Id, value: Value, faults: &mut Faults) -> Option<Router> {
    let mut o = Object::new(&format!("fleet.{id}"), value, faults)?;
    let address = o.address(&r::ENDPOINT_ADDRESS);
    let peer_address = o.address(&r::PEER_ADDRESS);
    let data_center = o.id(&r::DATA_CENTER);
    o.finish();
    Some(Router {
        tag: id.tag(),
        id,
        address: address?,
        peer_address: peer_address?,
        data_center: data_center?,
    })
}

pub(super) fn model(id: &Id, mut o: Object<'_>) -> Model {
    let version = o.id(&r::VERSION);
    let min_replicas = o.number_u32(&r::MIN_REPLICAS);
    o.finish();
    Model {
        id: id.clone(),
        version: version.unwrap_or_else(|| id.clone()),
        min_replicas,
    }
}

pub(super) fn service(id: &Id, mut o: Object<'_>) -> Service {
    let path = o.parsed(&r::PATH, |text| is_path(text).then(|| text.to_owned()));
    let path = path.unwrap_or_default();
    let under = |long: &str, short: &str| {
        let rest = long.strip_prefix(short);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    let reserved = RESERVED.iter().find(|r| under(&path, r) || under(r, &path));
    if let (Some(reserved), false) = (reserved, path.is_empty()) {
        let at = o.path(&r::PATH);
        let expected = format_args!("a path that does not overlap {reserved}");
        o.faults.add(at, format_args!("{path:?}"), expected);
    }
    let list = o.list(&r::ONCE);
    let mut once: Vec<Rule> = Vec::new();
    for (at, value) in list {
        let Some(rule) = rule(&at, value, o.faults) else {
            continue;
        };
        if once.contains(&rule) {
            o.faults.add(at, "a rule given before", "each rule once");
        }
        once.push(rule);
    }
    o.finish();
    Service {
        id: id.clone(),
        path: path.into(),
        once,
    }
}

fn rule(path: &str, value: Value, faults: &mut Faults) -> Option<Rule> {
    let mut o = Object::new(path, value, faults)?;
    let capitals = |text: &str| {
        let good = (1..=16).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_uppercase());
        good.then(|| Bytes::copy_from_slice(text.as_bytes()))
    };
    let prefix = |text: &str| {
        let good = text.is_empty() || is_path(text);
        good.then(|| Bytes::copy_from_slice(text.as_bytes()))
    };
    let method = o.parsed(&r::METHOD, capitals);
    let path = o.parsed(&r::RULE_PATH, prefix);
    o.finish();
    Some(Rule {
        method: method?,
        path: path?,
    })
}

/// Returns whether `text` is an absolute path in normal form. Empty segments, dot segments and
/// percent signs are refused: another program may rewrite them before it compares paths, and a call
/// could then bypass a rule that it must run at most once.
fn is_path(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@".contains(&b);
    let segment = |s: &str| !matches!(s, "" | "." | "..") && s.bytes().all(plain);
    let rest = text.strip_prefix('/');
    text.len() <= 256 && rest.is_some_and(|rest| rest.split('/').all(segment))
}

pub(super) fn endpoint(id: &Id, mut o: Object<'_>, next: &Config) -> Option<Endpoint> {
    let kind = o.parsed(&r::KIND, |text| text.parse::<Kind>().ok());
    let address = o.address(&r::ENDPOINT_ADDRESS);
    let data_center = o.id(&r::DATA_CENTER);
    let models = names(&mut o, &r::MODELS, &next.models);
    let service = o.text(&r::SERVICE);
    let service = service.map(|name| {
        let path = o.path(&r::SERVICE);
        name_of(&path, Value::Text(name), &next.services, o.faults)
    });
    let capacity = o.number_u32(&r::CAPACITY);
    let fencing = o.flag(&r::CHECKS_FENCING);
    let key_check = o.flag(&r::CHECKS_KEY);
    let misfits = match kind {
        Some(Kind::Engine) => [
            (models.is_empty(), &r::MODELS, "none", "one or more"),
            (service.is_some(), &r::SERVICE, "one", "none"),
            (key_check, &r::CHECKS_KEY, "true", "false"),
        ],
        Some(Kind::Service) => [
            (!models.is_empty(), &r::MODELS, "some", "none"),
            (service.is_none(), &r::SERVICE, "none", "one"),
            (fencing, &r::CHECKS_FENCING, "true", "false"),
        ],
        None => [(false, &r::KIND, "", ""); 3],
    };
    for (_, field, found, expected) in misfits.into_iter().filter(|m| m.0) {
        let (path, kind) = (o.path(field), kind.unwrap_or(Kind::Engine));
        let expected = format_args!("{expected} for kind `{kind}`");
        o.faults.add(path, found, expected);
    }
    o.finish();
    let checked = |flag| if flag { Check::Checked } else { Check::Ignored };
    Some(Endpoint {
        tag: id.tag(),
        id: id.clone(),
        kind: kind?,
        address: address?,
        data_center: data_center?,
        models,
        service: service.flatten(),
        capacity,
        fencing: checked(fencing),
        key_check: checked(key_check),
    })
}

pub(super) fn workspace(id: &Id, mut o: Object<'_>, next: &Config) -> Workspace {
    let requests_per_s = o.number_u32(&r::REQUESTS_PER_S);
    let burst = o
        .optional_number(&r::BURST)
        .and_then(|n| u32::try_from(n).ok());
    let workspace = Workspace {
        tag: id.tag(),
        id: id.clone(),
        keys: hashes(&mut o),
        priority: Priority(u8::try_from(o.number(&r::PRIORITY)).unwrap_or(0)),
        limit: Limit {
            requests_per_s,
            burst: burst.unwrap_or(requests_per_s),
        },
        models: names(&mut o, &r::MODELS, &next.models),
        services: names(&mut o, &r::SERVICES, &next.services),
        deadline: Millis(o.number(&r::DEADLINE)),
    };
    o.finish();
    workspace
}

/// Reads key hashes. An invalid one is not shown in the fault, as it may be the key itself.
fn hashes(o: &mut Object<'_>) -> Vec<[u8; 32]> {
    let mut out = Vec::new();
    for (path, value) in o.list(&r::KEY_HASHES) {
        let found = match &value {
            Value::Text(text) => hash(text),
            _ => None,
        };
        match found {
            Some(hash) => out.push(hash),
            None => o
                .faults
                .add(path, "something else", "64 hexadecimal digits"),
        }
    }
    out
}

/// Reads a list of published names.
fn names<K: slotmap::Key, V>(o: &mut Object<'_>, field: &Field, arena: &Arena<K, V>) -> Vec<K> {
    let mut out = Vec::new();
    let mut seen = HashSet::new();
    for (path, value) in o.list(field) {
        let Some(key) = name_of(&path, value, arena, o.faults) else {
            // A null key keeps the number of names, so that a wrong name causes only one fault.
            out.push(K::null());
            continue;
        };
        if !seen.insert(key) {
            o.faults.add(path, "a name given before", "each name once");
        }
        out.push(key);
    }
    out
}

fn name_of<K: slotmap::Key, V>(
    path: &str,
    value: Value,
    arena: &Arena<K, V>,
    faults: &mut Faults,
) -> Option<K> {
    let key = match &value {
        Value::Text(text) => Id::try_from(text.as_str()).ok(),
        _ => None,
    };
    let key = key.and_then(|id| arena.key(&id));
    if key.is_none() {
        faults.add(path, value, "a published name");
    }
    key
}

fn name_fault(path: &str, name: &str, faults: &mut Faults) {
    let found = Value::Text(name.to_owned());
    faults.add(path, found, "a name `[a-z0-9][a-z0-9._-]{0,62}`");
}
