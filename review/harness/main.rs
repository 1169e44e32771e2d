//! Stand-ins of the platform for the cases of this review, and the cases themselves.
//!
//! Usage: `harness CASE`, from the root of the repository, after the build of the deploy file. The exit code is 1 if
//! the rule was broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` plays the case without its disruption.

#![allow(dead_code, reason = "not each case uses all of the stand-ins")]

mod cases;
mod http;
mod replica;
mod router;
mod store;

use std::{
    fs::File,
    io::Write,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Instant,
};

/// `Record` is what was sent, answered and run, in the order in which it was noted.
pub struct Record {
    began: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    fn new() -> Arc<Self> {
        let (began, lines) = (Instant::now(), Mutex::default());
        Arc::new(Self { began, lines })
    }

    /// Milliseconds since the start of the case.
    pub fn now(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Notes a line with the time.
    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.now();
        let line = format!("{:>8.3} s  {}", at as f64 / 1000.0, text.as_ref());
        self.lines.lock().expect("not poisoned").push(line);
    }
}

/// `Verdict` is the result of a case.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Record::new();
    record.note(format!("case {case}, disruption: {trouble}"));
    let verdict = cases::play(&case, trouble, &record);
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::NotRun(text) => (2, format!("could not run: {text}")),
    };
    record.note(&text);
    println!("{text}");
    let path = PathBuf::from(format!("review/{case}/record.txt"));
    let lines = record.lines.lock().expect("not poisoned").join("\n");
    let written = File::create(&path).and_then(|mut f| writeln!(f, "{lines}"));
    if let Err(error) = written {
        eprintln!("can't write {}: {error}", path.display());
    }
    std::process::exit(code);
}
