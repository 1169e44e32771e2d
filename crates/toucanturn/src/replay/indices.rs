//! Indices of routers in a trace.
//!
//! The replay takes them as they are and would end in a panic at one that its setup doesn't have.

use std::path::Path;

use toucanturn_replay::trace::{
    Happening,
    Trace, //
};

use crate::errors::{
    IndexSnafu,
    Result, //
};

/// Checks that every line names routers of the setup.
pub(super) fn check(path: &Path, trace: &Trace) -> Result<()> {
    let count = trace.setup.routers.len();
    for (i, line) in trace.lines.iter().enumerate() {
        if let Some(found) = named(&line.what).into_iter().find(|r| *r >= count) {
            // The setup is line 1.
            let line = i + 2;
            return IndexSnafu {
                path,
                line,
                found,
                count,
            }
            .fail();
        }
    }
    Ok(())
}

fn named(what: &Happening) -> Vec<usize> {
    match what {
        Happening::Request(request) => vec![request.router],
        Happening::Vms { routers, .. } => routers.clone(),
        Happening::Pause { router, .. } | Happening::Restart { router } => vec![*router],
        Happening::Partition { groups } => groups.concat(),
        Happening::Engine { .. } | Happening::Publish { .. } | Happening::ConfigService { .. } => {
            Vec::new()
        }
    }
}
