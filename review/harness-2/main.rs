//! Plays a case of the second review: `harness CASE ROOT FOLDER SCRATCH`. ROOT is the repository, FOLDER that of the case,
//! and SCRATCH a temporary folder for settings, logs and the IDs of the processes that are started.
//!
//! The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

use std::env;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use spoiled_answers::Spoil;

mod http;
mod notes;
mod replica;
mod restarted_engine;
mod router;
mod second_engine;
mod spoiled_answers;
mod store;

/// Time after which a play that has not ended could not run.
const PLAY_TIMEOUT: Duration = Duration::from_secs(110);

/// `Place` is where a case is played.
pub struct Place {
    /// The repository.
    pub root: PathBuf,
    /// The folder of the case, for its record.
    pub folder: PathBuf,
    /// A temporary folder for settings and logs.
    pub scratch: PathBuf,
    /// Whether there is a disruption.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, root, folder, scratch] = arguments.as_slice() else {
        eprintln!("usage: harness CASE ROOT FOLDER SCRATCH");
        return ExitCode::from(2);
    };
    let place = Place {
        root: Path::new(root).to_path_buf(),
        folder: Path::new(folder).to_path_buf(),
        scratch: Path::new(scratch).to_path_buf(),
        trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let case = case.clone();
    let play = thread::spawn(move || match case.as_str() {
        "both-framings" => spoiled_answers::play(&place, Spoil::BothFramings),
        "restarted-engine" => restarted_engine::play(&place),
        "switching" => spoiled_answers::play(&place, Spoil::Switching),
        "second-engine" => second_engine::play(&place),
        _ => Err(format!("no case {case:?}")),
    });
    let mut waited = Duration::ZERO;
    while !play.is_finished() && waited < PLAY_TIMEOUT {
        thread::sleep(Duration::from_millis(50));
        waited += Duration::from_millis(50);
    }
    let played = if play.is_finished() {
        play.join()
            .unwrap_or_else(|_| Err("the play has panicked".to_owned()))
    } else {
        Err("the play takes too long".to_owned())
    };
    match played {
        Ok(true) => {
            println!("the rule is broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            println!("the rule holds");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
