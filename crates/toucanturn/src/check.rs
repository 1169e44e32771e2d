//! `toucanturn check`: all that is wrong with a file at once.

use std::path::Path;

use serde::Serialize;

use crate::{
    Verdict,
    args::{
        self,
        CheckFile,
        CheckKind, //
    },
    document::{
        self,
        Fault, //
    },
    errors::{
        AbsentSnafu,
        Error,
        Result, //
    },
    output,
};

#[derive(Serialize)]
struct Report<'a> {
    valid: bool,
    faults: &'a [Fault],
}

/// Checks a file.
pub(crate) fn run(args: &args::Check) -> Result<Verdict> {
    match &args.kind {
        Some(CheckKind::Config(file)) => {
            let path = path(file)?;
            let faults = document::config(&document::read(path)?).err();
            report(path, file.json, &faults.unwrap_or_default())
        }
        Some(CheckKind::Settings(file)) => {
            path(file)?;
            AbsentSnafu {
                what: "check settings",
            }
            .fail()
        }
        None => Err(Error::usage("check: expected settings or config")),
    }
}

fn path(file: &CheckFile) -> Result<&Path> {
    let path = file.file.as_deref();
    path.ok_or_else(|| Error::usage("check: expected a file"))
}

fn report(path: &Path, json: bool, faults: &[Fault]) -> Result<Verdict> {
    let valid = faults.is_empty();
    if json {
        output::print_json(&Report { valid, faults })?;
    } else if valid {
        output::print(&format!("{}: valid\n", path.display()))?;
    } else {
        let line = |f: &Fault| format!("{}: {}\n", f.path, f.reason);
        output::print(&faults.iter().map(line).collect::<String>())?;
    }
    Ok(if valid { Verdict::Yes } else { Verdict::No })
}
