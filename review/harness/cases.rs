//! The cases by their numbers.

use std::sync::Arc;

use crate::{Record, Verdict};

mod refused_configuration;

/// Plays a case.
pub fn play(case: &str, trouble: bool, record: &Arc<Record>) -> Verdict {
    let played = match case {
        "1" => refused_configuration::play(trouble, record),
        _ => return Verdict::NotRun(format!("no case {case:?}")),
    };
    played.unwrap_or_else(|error| Verdict::NotRun(error.to_string()))
}
