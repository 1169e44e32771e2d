//! One `toucanturnd` process: its start, its log, the signals sent to it and its end.

use std::{
    io::{
        BufRead,
        BufReader,
        Read, //
    },
    path::Path,
    process::{
        Child,
        Command,
        Output,
        Stdio, //
    },
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    thread,
    time::Duration,
};

use serde_json::Value;

use crate::fleet::until;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_toucanturnd");

/// Longest wait for a process to end.
const END: Duration = Duration::from_secs(60);

/// Runs the program to its end.
pub(crate) fn run(args: &[&str]) -> Output {
    Command::new(PROGRAM)
        .args(args)
        .output()
        .expect("the program can be started")
}

/// `Daemon` is one started process; dropping it ends it.
pub(crate) struct Daemon {
    child: Child,
    log: Arc<Mutex<Vec<Value>>>,
}

impl Daemon {
    /// Starts a process; `None` when it ended before it printed its addresses, as one does that
    /// lost a port to another process.
    pub(crate) fn start(settings: &Path) -> Option<Self> {
        let mut child = Command::new(PROGRAM)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program can be started");
        let log = Arc::new(Mutex::new(Vec::new()));
        let stderr = child.stderr.take().expect("the log is piped");
        collect(stderr, Arc::clone(&log));
        let stdout = child.stdout.take().expect("the output is piped");
        let daemon = Self { child, log };
        let mut line = String::new();
        let read = BufReader::new(stdout).read_line(&mut line);
        read.is_ok_and(|length| length > 0).then_some(daemon)
    }

    /// Sends a signal, named as kill(1) does.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(sent.expect("kill can be run").success(), "{name} was sent");
    }

    /// Stops the process where it is, and waits until the kernel shows it as stopped.
    pub(crate) async fn freeze(&self) {
        self.signal("STOP");
        let path = format!("/proc/{}/stat", self.pid());
        let stopped = || {
            let text = std::fs::read_to_string(&path).unwrap_or_default();
            let after = text.rsplit(')').next().unwrap_or_default();
            after.trim_start().starts_with('T')
        };
        until(END, "the process is stopped", async || stopped()).await;
    }

    /// Lets a stopped process go on.
    pub(crate) fn wake(&self) {
        self.signal("CONT");
    }

    /// Waits for its end; gives its exit code, `None` where a signal ended it.
    pub(crate) async fn ended(&mut self) -> Option<i32> {
        let mut status = None;
        until(END, "the process ended", async || {
            status = self.child.try_wait().expect("the process is ours");
            status.is_some()
        })
        .await;
        status.and_then(|s| s.code())
    }

    /// Gets the process's id.
    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Gets the fields of the log lines of an event.
    pub(crate) fn events(&self, number: u64) -> Vec<Value> {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let fields = log.iter().map(|line| &line["fields"]);
        fields.filter(|f| f["event"] == number).cloned().collect()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // SIGKILL also ends a stopped process.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn collect(stderr: impl Read + Send + 'static, log: Arc<Mutex<Vec<Value>>>) {
    thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            let line = serde_json::from_str(&line).unwrap_or_default();
            log.lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(line);
        }
    });
}
