//! `toucanturn`, the operators' command line: checks settings and configurations, explains
//! decisions, shows and drains routers, replays traces, tells what became of a request.
//!
//! Exit codes: 0 fine; 1 the input is bad or the answer is no; 2 wrong usage. docs/CLI.md is the
//! manual.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use gumdrop::Options;

mod args;
mod check;
mod client;
mod drain;
mod errors;
mod explain;
mod files;
mod output;
mod replay;
mod status;
mod trace;
mod view;

use args::{
    Args,
    Command, //
};
use errors::{
    Error,
    Result, //
};

/// `Verdict` is what a command that ran to its end found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// All is well.
    Yes,
    /// The input is bad or the answer is no.
    No,
}

/// Exit code of bad input and of a no.
const BAD_INPUT: u8 = 1;

/// Exit code of wrong usage.
const WRONG_USAGE: u8 = 2;

fn main() -> ExitCode {
    let raw: Vec<String> = std::env::args().skip(1).collect();
    match run(&raw) {
        Ok(Verdict::Yes) => ExitCode::SUCCESS,
        Ok(Verdict::No) => ExitCode::from(BAD_INPUT),
        Err(error @ Error::Usage { .. }) => {
            output::complain(&format!("{error}; see --help"));
            ExitCode::from(WRONG_USAGE)
        }
        Err(error) => {
            output::complain(&snafu::Report::from_error(error).to_string());
            ExitCode::from(BAD_INPUT)
        }
    }
}

fn run(raw: &[String]) -> Result<Verdict> {
    let args = Args::parse_args_default(raw).map_err(Error::usage)?;
    if args.help_requested() {
        output::print(&args::help(&args))?;
        return Ok(Verdict::Yes);
    }
    if args.version {
        output::print(concat!("toucanturn ", env!("CARGO_PKG_VERSION"), "\n"))?;
        return Ok(Verdict::Yes);
    }
    match args.command {
        Some(Command::Check(args)) => check::run(&args),
        Some(Command::Explain(args)) => explain::run(&args),
        Some(Command::Status(args)) => status::run(&args),
        Some(Command::Drain(args)) => drain::run(&args),
        Some(Command::Replay(args)) => replay::run(&args),
        Some(Command::Trace(args)) => trace::run(&args),
        None => Err(Error::usage("expected a command")),
    }
}
