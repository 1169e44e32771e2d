//! Ends the soak's processes where the soak itself was killed.
//!
//! A killed process ends none of its children: routers and stand-ins would run on, and call ports that others get. The
//! guard is a process that hears by a pipe which ones were started; the system ends the pipe with the soak, and
//! the guard then ends those that still run. Each is known by its id and its start, as ids are used again.

use std::{
    io::{
        BufRead,
        Write as _, //
    },
    os::unix::process::CommandExt as _,
    process::{
        ChildStdin,
        Command,
        Stdio, //
    },
    sync::{
        Mutex,
        OnceLock,
        PoisonError, //
    },
};

use rustix::process::{
    Pid,
    Signal,
    kill_process, //
};

use crate::{
    errors::Result,
    process::beside, //
};

/// The program's argument that makes it the guard.
pub const ARGUMENT: &str = "--guard";
/// Name of the program.
const PROGRAM: &str = "toucanturn-soak";
/// Place of the start among the fields behind the name in `/proc/ID/stat` (proc(5)), in ticks since the boot.
const START: usize = 19;

/// The pipe to the guard of this process.
static GUARD: OnceLock<Mutex<ChildStdin>> = OnceLock::new();

/// Gets when a process started; `None` where there is none with this id.
pub fn started(id: i32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name before it may hold anything, also brackets and spaces.
    let (_, fields) = text.rsplit_once(')')?;
    fields.split_whitespace().nth(START)?.parse().ok()
}

/// Starts the guard, if it doesn't run, and tells it of a process.
///
/// # Errors
///
/// It can't be started, or has ended.
pub fn tell(id: u32) -> Result<()> {
    let guard = match GUARD.get() {
        Some(guard) => guard,
        None => {
            let pipe = start()?;
            GUARD.get_or_init(|| Mutex::new(pipe))
        }
    };
    let mut pipe = guard.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(writeln!(pipe, "{id}")?)
}

/// Starts the guard. A group of its own keeps it from signals that end the soak from a terminal.
fn start() -> Result<ChildStdin> {
    let mut child = Command::new(beside(PROGRAM)?)
        .arg(ARGUMENT)
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .process_group(0)
        .spawn()?;
    let pipe = child.stdin.take();
    Ok(pipe.ok_or_else(|| std::io::Error::other("expected a pipe to the guard"))?)
}

/// Runs as the guard: hears of processes until the input ends, then ends those that still run.
pub fn run(input: impl BufRead) {
    let mut processes = Vec::new();
    for line in input.lines().map_while(std::result::Result::ok) {
        let id = line.trim().parse().ok();
        processes.extend(id.and_then(|id| Some((id, started(id)?))));
    }
    for (id, start) in processes {
        if started(id) != Some(start) {
            continue;
        }
        if let Some(pid) = Pid::from_raw(id) {
            // It may end at this moment.
            let _ = kill_process(pid, Signal::KILL);
        }
    }
}
