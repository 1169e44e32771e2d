//! A whole configuration document, split into the keys of one transaction.

use crate::{
    errors::{
        DocumentSnafu,
        ParseDocumentSnafu,
        ReadDocumentSnafu,
        Result, //
    },
    platform::store::Entries,
};
use indexmap::IndexMap;
use serde_json::Value;
use snafu::ResultExt;
use std::{
    fs,
    path::Path, //
};

/// Top-level keys that are one key of the configuration service each.
const SINGLE_KEYS: [&str; 2] = ["policy", "fleet"];
/// Top-level maps of which each member is a key `<map>/<id>`.
const MAP_KEYS: [&str; 4] = ["endpoints", "services", "models", "workspaces"];

/// Reads the document in `path` as one transaction.
pub(super) fn read(path: &Path) -> Result<Entries> {
    let text = fs::read(path).context(ReadDocumentSnafu { path })?;
    let document = serde_json::from_slice(&text).context(ParseDocumentSnafu)?;
    entries(document)
}

fn entries(document: IndexMap<String, Value>) -> Result<Entries> {
    let mut entries = Entries::new();
    for (name, value) in document {
        if SINGLE_KEYS.contains(&name.as_str()) {
            entries.insert(name, Some(value));
        } else if MAP_KEYS.contains(&name.as_str()) {
            let Value::Object(members) = value else {
                return DocumentSnafu {
                    found: format!("no map under `{name}`"),
                }
                .fail();
            };
            let keyed = members
                .into_iter()
                .map(|(id, value)| (format!("{name}/{id}"), Some(value)));
            entries.extend(keyed);
        } else {
            return DocumentSnafu {
                found: format!("the top-level key `{name}`"),
            }
            .fail();
        }
    }
    Ok(entries)
}
