//! `toucanturn check`: all that is wrong with a file at once.

use std::path::Path;

use serde::Serialize;
use toucanturn_core::{
    config::{
        Config,
        fault, //
    },
    settings::Settings, //
};

use crate::{
    Verdict,
    args::{
        self,
        CheckFile,
        CheckKind, //
    },
    errors::{
        Error,
        Result, //
    },
    files,
    output, //
};

/// `Fault` is one thing wrong with a file.
#[derive(Debug, Serialize)]
struct Fault {
    path: String,
    found: String,
    expected: String,
}

impl From<fault::Fault> for Fault {
    fn from(fault: fault::Fault) -> Self {
        Self {
            path: fault.path,
            found: fault.found,
            expected: fault.expected,
        }
    }
}

/// `Report` is what the operator is told.
#[derive(Debug, Serialize)]
struct Report {
    valid: bool,
    faults: Vec<Fault>,
}

/// Checks a file.
pub(crate) fn run(args: &args::Check) -> Result<Verdict> {
    match &args.kind {
        Some(CheckKind::Config(file)) => check(file, |text| Config::try_from(text).map(drop)),
        Some(CheckKind::Settings(file)) => check(file, |text| Settings::try_from(text).map(drop)),
        None => Err(Error::usage("check: expected settings or config")),
    }
}

type Faults = Vec<fault::Fault>;

fn check(
    args: &CheckFile,
    judge: impl FnOnce(&[u8]) -> std::result::Result<(), Faults>,
) -> Result<Verdict> {
    let path = args.file.as_deref();
    let path = path.ok_or_else(|| Error::usage("check: expected a file"))?;
    let judged = judge(&files::read(path)?);
    let valid = judged.is_ok();
    let faults = judged.err().unwrap_or_default();
    let report = Report {
        valid,
        faults: faults.into_iter().map(Fault::from).collect(),
    };
    if args.json {
        output::print_json(&report)?;
    } else {
        output::print(&report.text(path))?;
    }
    Ok(if valid { Verdict::Yes } else { Verdict::No })
}

impl Report {
    fn text(&self, path: &Path) -> String {
        if self.valid {
            return format!("{}: valid\n", path.display());
        }
        let line = |f: &Fault| {
            let place = if f.path.is_empty() { "file" } else { &f.path };
            format!("{place}: found {}, expected {}\n", f.found, f.expected)
        };
        self.faults.iter().map(line).collect()
    }
}
