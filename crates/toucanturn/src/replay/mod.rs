//! `toucanturn replay`: a recorded trace against its stated outcome.

use std::{
    fs::File,
    io::BufReader,
    path::Path,
    sync::mpsc::{
        self,
        RecvTimeoutError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use snafu::ResultExt;
use toucanturn_replay::{
    report::Report,
    run as replay,
    size,
    trace::Trace, //
};

use crate::{
    Verdict, args,
    errors::{
        Error,
        ReadSnafu,
        ReplaySnafu,
        Result,
        TraceSnafu, //
    },
    output::{
        self,
        Progress, //
    },
};

mod indices;
mod outcome;

use outcome::Outcome;

/// Time between two signs of life.
const SIGN: Duration = Duration::from_millis(500);

/// Replays a trace.
pub(crate) fn run(args: &args::Replay) -> Result<Verdict> {
    let path = args.trace.as_deref();
    let path = path.ok_or_else(|| Error::usage("replay: expected a trace"))?;
    let trace = read(path)?;
    let report = watched(&trace)?;
    let failures = report.failures();
    if args.json {
        output::print_json(&Outcome::new(&report, failures.clone()))?;
    } else {
        output::print(&report.text())?;
    }
    Ok(if failures.is_empty() {
        Verdict::Yes
    } else {
        Verdict::No
    })
}

fn read(path: &Path) -> Result<Trace> {
    let file = File::open(path).context(ReadSnafu { path })?;
    let trace = Trace::read(BufReader::new(file)).context(TraceSnafu { path })?;
    indices::check(path, &trace)?;
    Ok(trace)
}

/// Replays beside a line of progress.
fn watched(trace: &Trace) -> Result<Report> {
    let start = Instant::now();
    let progress = Progress::new();
    let (sender, done) = mpsc::channel();
    std::thread::scope(|scope| {
        let replaying = scope.spawn(move || {
            let _ = sender.send(replay(trace, &size::estimated));
        });
        loop {
            match done.recv_timeout(SIGN) {
                Ok(report) => return Ok(report),
                Err(RecvTimeoutError::Timeout) => {
                    let (lines, seconds) = (trace.lines.len(), start.elapsed().as_secs());
                    progress.show(&format!("replaying {lines} lines, {seconds} s"));
                }
                Err(RecvTimeoutError::Disconnected) => {
                    // The scope itself would panic at a thread that panicked and was not joined.
                    let _ = replaying.join();
                    return ReplaySnafu.fail();
                }
            }
        }
    })
}
