//! `toucanturn replay`: a recorded trace against its stated outcome.

use crate::{
    Verdict, args,
    errors::{
        AbsentSnafu,
        Error,
        Result, //
    },
};

/// Replays a trace.
pub(crate) fn run(args: &args::Replay) -> Result<Verdict> {
    let _trace = args
        .trace
        .as_ref()
        .ok_or_else(|| Error::usage("replay: expected a trace"))?;
    AbsentSnafu { what: "replay" }.fail()
}
