//! Reads a whole configuration from one file, which operators check before they publish it.
//!
//! The file is one object: `policy` and `fleet` hold the values of these keys; `models`,
//! `services`, `endpoints` and `workspaces` map each NAME to the value of `models/NAME` and so on.

use bytes::Bytes;

use super::{
    Config,
    build,
    fault::{
        Fault,
        Faults, //
    },
    key,
    raw::Value,
    reference::MAX_CONTENT_BYTES, //
};
use crate::{
    peer::Entry,
    units::Revision, //
};

/// Most bytes of a file: the greatest published content, and as much again for white space.
pub const MAX_DOCUMENT_BYTES: usize = 2 * MAX_CONTENT_BYTES;

/// Kinds of entries that are published under a key each.
const KINDS: [&str; 4] = ["models", "services", "endpoints", "workspaces"];

/// Splits a file into the keys and values to publish.
///
/// # Errors
///
/// All faults of the file, its sections and its names; the values are not checked.
pub fn split(file: &[u8]) -> Result<Vec<(Bytes, Bytes)>, Vec<Fault>> {
    let mut faults = Faults::default();
    let mut out = Vec::new();
    match Value::parse("", file, MAX_DOCUMENT_BYTES, &mut faults) {
        Some(Value::Object(sections)) => {
            for (name, value) in sections {
                section(&name, value, &mut out, &mut faults);
            }
        }
        Some(other) => faults.add("", other, "an object"),
        None => {}
    }
    faults.or(out)
}

fn section(name: &str, value: Value, out: &mut Vec<(Bytes, Bytes)>, faults: &mut Faults) {
    if name == "policy" || name == "fleet" {
        out.push((Bytes::copy_from_slice(name.as_bytes()), value.to_json()));
        return;
    }
    if !KINDS.contains(&name) {
        let found = Value::Text(name.to_owned());
        let expected = "policy, fleet, models, services, endpoints or workspaces";
        faults.add("", found, expected);
        return;
    }
    let Value::Object(entries) = value else {
        faults.add(name, value, "an object by name");
        return;
    };
    for (id, value) in entries {
        let key = format!("{name}/{id}");
        match key::Key::try_from(key.as_bytes()) {
            Ok(_) => out.push((key.into(), value.to_json())),
            Err(error) => faults.add(name, Value::Text(id), error),
        }
    }
}

/// Checks a whole file as the first published revision.
impl TryFrom<&[u8]> for Config {
    type Error = Vec<Fault>;

    fn try_from(file: &[u8]) -> Result<Self, Vec<Fault>> {
        let parts = split(file)?;
        let bytes = parts.iter().map(|(key, value)| key.len() + value.len());
        let too_large = build::check_size(bytes.sum());
        let entry = |(key, value)| Entry {
            key,
            revision: Revision(1),
            value: Some(value),
        };
        let entries: Vec<Entry> = parts.into_iter().map(entry).collect();
        let built = build::build(&Config::default(), Revision(1), entries.iter());
        match (built, too_large) {
            (Ok(config), None) => Ok(config),
            (Ok(_), Some(fault)) => Err(vec![fault]),
            (Err(faults), too_large) => Err(too_large.into_iter().chain(faults).collect()),
        }
    }
}
