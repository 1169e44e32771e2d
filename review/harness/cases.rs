//! The cases by their numbers.

use std::sync::Arc;

use crate::{Record, Verdict};

mod refused_configuration;
mod restarted_fleet;
mod restarted_version;
mod stream;

/// Plays a case.
pub fn play(case: &str, trouble: bool, record: &Arc<Record>) -> Verdict {
    let played = match case {
        "1" => restarted_version::play(trouble, record),
        "2" => refused_configuration::play(trouble, record),
        "3" => restarted_fleet::play(trouble, record),
        _ => return Verdict::NotRun(format!("no case {case:?}")),
    };
    played.unwrap_or_else(|error| Verdict::NotRun(error.to_string()))
}
