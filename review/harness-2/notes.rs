//! What clients and replicas have seen, for the judge of a case and for its record.

use std::fs;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// `Run` is the time for which a replica worked on a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub replica: String,
    pub began: Duration,
    /// `None` while it goes on.
    pub ended: Option<Duration>,
}

/// `Notes` is the notes of one play.
pub struct Notes {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
    runs: Mutex<Vec<Run>>,
}

impl Notes {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Mutex::default(),
            runs: Mutex::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn note(&self, line: impl Into<String>) {
        self.lines
            .lock()
            .expect("lines")
            .push((self.now(), line.into()));
    }

    /// Notes that a replica begins to work on a request; returns the number of the run.
    pub fn begin(&self, id: &str, replica: &str) -> usize {
        self.note(format!("replica {replica} begins to work on {id}"));
        let mut runs = self.runs.lock().expect("runs");
        runs.push(Run {
            id: id.to_owned(),
            replica: replica.to_owned(),
            began: self.now(),
            ended: None,
        });
        runs.len() - 1
    }

    pub fn end(&self, number: usize, how: &str) {
        let now = self.now();
        let mut runs = self.runs.lock().expect("runs");
        let run = &mut runs[number];
        run.ended = Some(now);
        let line = format!("replica {} ends its work on {}: {how}", run.replica, run.id);
        drop(runs);
        self.note(line);
    }

    /// Gets the runs of a request.
    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        let runs = self.runs.lock().expect("runs");
        runs.iter().filter(|run| run.id == id).cloned().collect()
    }

    /// Writes the record of the play.
    pub fn write(&self, path: &Path, title: &str) -> std::io::Result<()> {
        let mut text = format!("{title}\n");
        let mut lines = self.lines.lock().expect("lines").clone();
        lines.sort_by_key(|(at, _)| *at);
        for (at, line) in lines {
            text.push_str(&format!("{:9.3} s  {line}\n", at.as_secs_f64()));
        }
        fs::write(path, text)
    }
}
