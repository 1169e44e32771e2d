//! A whole configuration in one file.

use std::path::Path;

use bytes::Bytes;
use serde::Serialize;
use serde_json::{
    Value,
    value::RawValue, //
};
use snafu::ResultExt;
use toucanturn_core::{
    config::{
        Config,
        store::{
            self,
            Store, //
        },
    },
    peer::{
        Change,
        Entry, //
    },
    units::Revision,
};

use crate::errors::{
    ReadSnafu,
    Result, //
};

/// `Fault` is one thing wrong with a file.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Fault {
    /// JSON path of the field.
    pub(crate) path: String,
    /// What was found and what was expected.
    pub(crate) reason: String,
}

/// Kinds whose entries are published one by one.
const KINDS: [&str; 4] = ["models", "services", "endpoints", "workspaces"];

/// Reads a file.
pub(crate) fn read(path: &Path) -> Result<Vec<u8>> {
    std::fs::read(path).context(ReadSnafu { path })
}

/// Checks a configuration file as if it were the first revision published.
pub(crate) fn config(file: &[u8]) -> std::result::Result<Config, Vec<Fault>> {
    let entries = entries(file)?;
    let mut store = Store::default();
    let change = Change {
        since: Revision(0),
        revision: Revision(1),
        entries,
    };
    match store.apply(&change) {
        Ok(()) => Ok(Config::clone(store.current())),
        Err(store::Error::Invalid { faults }) => {
            let fault = |f: store::Fault| Fault {
                path: f.path,
                reason: f.reason,
            };
            Err(faults.into_iter().map(fault).collect())
        }
        Err(other) => Err(vec![fault("", other)]),
    }
}

fn fault(path: &str, reason: impl ToString) -> Fault {
    Fault {
        path: path.to_owned(),
        reason: reason.to_string(),
    }
}

fn entries(file: &[u8]) -> std::result::Result<Vec<Entry>, Vec<Fault>> {
    type Sections = indexmap::IndexMap<String, Box<RawValue>>;
    let sections: Sections = serde_json::from_slice(file).map_err(|e| vec![fault("", e)])?;
    let mut faults = Vec::new();
    let mut out = Vec::new();
    let entry = |key: String, value: &RawValue| Entry {
        key: key.into(),
        revision: Revision(1),
        value: Some(Bytes::copy_from_slice(value.get().as_bytes())),
    };
    for (name, value) in sections {
        if name == "policy" || name == "fleet" {
            out.push(entry(name, &value));
        } else if KINDS.contains(&name.as_str()) {
            match serde_json::from_str::<Sections>(value.get()) {
                Ok(all) => out.extend(all.iter().map(|(id, v)| entry(format!("{name}/{id}"), v))),
                Err(error) => faults.push(fault(&name, error)),
            }
        } else {
            let found = Value::String(name);
            let expected = "policy, fleet, models, services, endpoints or workspaces";
            faults.push(fault("", format!("found {found}, expected {expected}")));
        }
    }
    if faults.is_empty() {
        Ok(out)
    } else {
        Err(faults)
    }
}
