//! One process that the demonstration started, and its log.

use std::{
    io::{
        BufRead,
        BufReader,
        Read, //
    },
    path::PathBuf,
    process::{
        Child,
        Command,
        Stdio, //
    },
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    thread,
};

use serde_json::Value;
use snafu::ResultExt;

use crate::errors::{
    AddressesSnafu,
    IoSnafu,
    Result,
    StartSnafu, //
};

/// `Process` is one started program; dropping it ends it.
#[derive(Debug)]
pub struct Process {
    /// What the demonstration calls it.
    pub name: String,
    /// The addresses that it printed.
    pub addresses: Value,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a program of this workspace and reads the line with its addresses.
    pub fn start(name: &str, program: &str, args: &[&str]) -> Result<Self> {
        let mut child = Command::new(beside(program)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .context(StartSnafu { name })?;
        let log = Arc::new(Mutex::new(Vec::new()));
        if let Some(stderr) = child.stderr.take() {
            collect(stderr, Arc::clone(&log));
        }
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout)
                .read_line(&mut line)
                .context(IoSnafu)?;
        }
        let mut process = Self {
            name: name.to_owned(),
            addresses: Value::Null,
            child,
            log,
        };
        match serde_json::from_str(&line) {
            Ok(addresses) => process.addresses = addresses,
            Err(_) => {
                return AddressesSnafu {
                    name: process.text(),
                }
                .fail();
            }
        }
        Ok(process)
    }

    /// Gets one of its addresses.
    pub fn address(&self, kind: &str) -> String {
        self.addresses[kind].as_str().unwrap_or_default().to_owned()
    }

    /// Gets the log lines that hold `part`.
    pub fn lines(&self, part: &str) -> Vec<String> {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.iter()
            .filter(|line| line.contains(part))
            .cloned()
            .collect()
    }

    /// Asks it to end by SIGTERM and waits; gives its exit code.
    pub fn stop(mut self) -> Result<i32> {
        let pid = self.child.id().to_string();
        Command::new("kill").arg(&pid).status().context(IoSnafu)?;
        let status = self.child.wait().context(IoSnafu)?;
        Ok(status.code().unwrap_or(-1))
    }

    /// Gets the memory that it holds, in bytes (`VmRSS` of proc(5)).
    pub fn resident(&self) -> Result<u64> {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).context(IoSnafu)?;
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kib = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
        Ok(kib.unwrap_or_default() * 1024)
    }

    /// Gets the processor time that it has used, in milliseconds (proc(5), fields 14 and 15, at
    /// the usual 100 ticks a second).
    pub fn cpu_ms(&self) -> Result<u64> {
        let path = format!("/proc/{}/stat", self.child.id());
        let text = std::fs::read_to_string(path).context(IoSnafu)?;
        let after = text.rsplit(')').next().unwrap_or_default();
        let ticks = after.split_whitespace().skip(11).take(2);
        let ticks: u64 = ticks.filter_map(|t| t.parse::<u64>().ok()).sum();
        Ok(ticks * 10)
    }

    fn text(&self) -> String {
        format!("{}: {}", self.name, self.lines("").join(" | "))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn beside(program: &str) -> Result<PathBuf> {
    let own = std::env::current_exe().context(IoSnafu)?;
    Ok(own.with_file_name(program))
}

fn collect(stderr: impl Read + Send + 'static, log: Arc<Mutex<Vec<String>>>) {
    thread::spawn(move || {
        for line in BufReader::new(stderr)
            .lines()
            .map_while(std::result::Result::ok)
        {
            log.lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(line);
        }
    });
}
