//! `toucanturn-gatewayd`, one router of the fleet on the users' platform.
//!
//! The platform names the settings file in an environment variable and serves until SIGTERM. It is a
//! program of its own, without the own interface, as each of its pages in memory is paid for on every VM.

#![forbid(unsafe_code)]

use std::process::ExitCode;

mod run;

/// Exit code of bad input.
const BAD_INPUT: u8 = 1;

/// Exit code of wrong usage.
const WRONG_USAGE: u8 = 2;

fn main() -> ExitCode {
    let Some(path) = toucanturn_platform::settings_path() else {
        eprintln!("toucanturn-gatewayd: the platform has named no settings file");
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
