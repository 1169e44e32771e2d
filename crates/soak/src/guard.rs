//! Ends the soak's processes where the soak itself was killed.
//!
//! A killed process ends none of its children: routers and stand-ins would run on, and call ports that others get. The
//! guard is a process that leads the group in which they are started, and holds the end of a pipe whose other end the system
//! closes with the soak; it then ends its group.
//!
//! A child is in the group before its program runs, and until then holds the pipe open, too. So none is missed, whenever
//! the soak is killed.

use std::{
    io::Read,
    os::unix::process::CommandExt as _,
    process::{
        ChildStdin,
        Command,
        Stdio, //
    },
    sync::{
        Mutex,
        PoisonError, //
    },
};

use rustix::process::{
    Signal,
    getpgrp,
    getpid,
    kill_current_process_group, //
};

use crate::{
    errors::Result,
    process::beside, //
};

/// The program's argument that makes it the guard.
pub const ARGUMENT: &str = "--guard";
/// Name of the program.
const PROGRAM: &str = "toucanturn-soak";
/// The guard of this process.
static GUARD: Mutex<Option<Guard>> = Mutex::new(None);

/// `Guard` is a guard that runs.
struct Guard {
    group: i32,
    /// Open for as long as this process runs.
    _pipe: Option<ChildStdin>,
}

/// Gets the group in which processes are to be started; starts the guard if it doesn't run.
///
/// # Errors
///
/// It can't be started.
pub fn group() -> Result<i32> {
    let mut guard = GUARD.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(guard) = &*guard {
        return Ok(guard.group);
    }
    let started = start()?;
    let group = started.group;
    *guard = Some(started);
    Ok(group)
}

/// Starts the guard. A group of its own also keeps it from signals that end the soak from a terminal.
fn start() -> Result<Guard> {
    let mut child = Command::new(beside(PROGRAM)?)
        .arg(ARGUMENT)
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .process_group(0)
        .spawn()?;
    let group = i32::try_from(child.id()).map_err(std::io::Error::other)?;
    Ok(Guard {
        group,
        _pipe: child.stdin.take(),
    })
}

/// Runs as the guard: waits until the input ends, then ends its group and itself.
pub fn run(mut input: impl Read) {
    let _ = input.read_to_end(&mut Vec::new());
    // Started by hand, it may be in somebody else's group.
    if getpgrp() == getpid() {
        // Nothing is left to be told where it fails.
        let _ = kill_current_process_group(Signal::KILL);
    }
}
