//! `toucanturn-gatewayd` is a router of the fleet on the users' platform.
//!
//! It reads the settings file that the platform names in an environment variable, and serves until SIGTERM. It is a
//! binary separate from `toucanturnd` and without that one's interface, as every page of its memory is paid for on
//! each VM.

#![forbid(unsafe_code)]

use std::process::ExitCode;

mod run;

/// Exit code for invalid settings and for errors at the start.
const BAD_INPUT: u8 = 1;

/// Exit code if the platform names no settings file.
const WRONG_USAGE: u8 = 2;

fn main() -> ExitCode {
    let Some(path) = toucanturn_platform::settings_path() else {
        eprintln!(
            "toucanturn-gatewayd: no settings file: the platform's environment variable is not set"
        );
        return ExitCode::from(WRONG_USAGE);
    };
    match run::run(&path) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("toucanturn-gatewayd: {}", snafu::Report::from_error(error));
            ExitCode::from(BAD_INPUT)
        }
    }
}
