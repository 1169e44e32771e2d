//! What the logs of gateways say of one request.

use serde_json::Value;
use snafu::OptionExt;

use crate::{
    args::Explain,
    errors::{
        Result,
        UnrecordedSnafu, //
    },
    trace,
};

/// Event of a request that was placed.
const PLACED: u64 = 610;
/// Event of an attempt that has ended.
const ENDED: u64 = 611;
/// Event of a request that was refused.
const REFUSED: u64 = 620;
/// Event of a request that was held back for its content.
const HELD: u64 = 621;
/// Event of a request that was held back for a part of its prompt.
const PART_HELD: u64 = 622;

/// `Recorded` is what a log says of a request.
#[derive(Debug, Default)]
pub(super) struct Recorded {
    pub(super) route: Option<String>,
    pub(super) workspace: Option<String>,
    pub(super) prompt: Option<String>,
    /// Hashes of the prompt's shared parts, which are logged where the content was looked at.
    pub(super) hashes: Option<String>,
    pub(super) content: Option<String>,
}

/// Reads what the logs say of a request: where it was last placed, or refused before it was placed, and its
/// content and parts, where they were looked at.
pub(super) fn recorded(args: &Explain, id: &str) -> Result<Recorded> {
    let lines = trace::read(&args.log)?;
    let last = |events: &[u64], field: Option<&str>| {
        let mut named = lines.iter().rev().filter(|l| trace::names(l, id));
        named.find(|l| events.contains(&l.event) && field.is_none_or(|f| l.fields.contains_key(f)))
    };
    let placed = last(&[PLACED], None);
    let line = placed.or_else(|| last(&[REFUSED], Some("route")));
    let line = line.context(UnrecordedSnafu { id })?;
    let text = |line: Option<&trace::Line>, name: &str| {
        line.and_then(|l| l.fields.get(name)?.as_str().map(str::to_owned))
    };
    let prompt = line.fields.get("prompt").and_then(Value::as_u64);
    let looked_at = last(&[ENDED], Some("parts"));
    let held_part = last(&[PART_HELD], Some("part"));
    Ok(Recorded {
        route: text(Some(line), "route"),
        workspace: text(Some(line), "workspace"),
        prompt: prompt.map(|tokens| tokens.to_string()),
        hashes: text(looked_at, "parts").or_else(|| text(held_part, "part")),
        content: text(last(&[ENDED, HELD], Some("content")), "content"),
    })
}
