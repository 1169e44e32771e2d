//! `toucanturnd`, one router of the fleet.
//!
//! It reads its settings, binds its sockets, prints one JSON line with the addresses it got, and
//! serves until a drain is over. SIGTERM or SIGINT starts a drain; a second one ends it at once.

#![forbid(unsafe_code)]

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use gumdrop::Options as _;

mod run;

/// `Args` is the command line.
#[derive(Debug, gumdrop::Options)]
struct Args {
    /// Show this help.
    help: bool,
    /// Show the version.
    #[options(no_short)]
    version: bool,
    /// The settings file.
    #[options(meta = "FILE")]
    settings: Option<PathBuf>,
}

/// Exit code of bad input.
const BAD_INPUT: u8 = 1;

/// Exit code of wrong usage.
const WRONG_USAGE: u8 = 2;

fn main() -> ExitCode {
    let raw: Vec<String> = std::env::args().skip(1).collect();
    let args = match Args::parse_args_default(&raw) {
        Ok(args) => args,
        Err(error) => {
            eprintln!("toucanturnd: {error}; see --help");
            return ExitCode::from(WRONG_USAGE);
        }
    };
    if args.help {
        println!("Usage: toucanturnd --settings FILE\n\n{}", Args::usage());
        return ExitCode::SUCCESS;
    }
    if args.version {
        println!("toucanturnd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = args.settings else {
        eprintln!("toucanturnd: --settings FILE is missing; see --help");
        return ExitCode::from(WRONG_USAGE);
    };
    match run::run(&path) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("toucanturnd: {}", snafu::Report::from_error(error));
            ExitCode::from(BAD_INPUT)
        }
    }
}
