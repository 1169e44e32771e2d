//! Writing to the operator: data to standard output, complaints and progress to standard error.

use std::io::{
    ErrorKind,
    IsTerminal,
    Write, //
};

use serde::Serialize;
use snafu::ResultExt;

use crate::errors::{
    JsonSnafu,
    PrintSnafu,
    Result, //
};

/// Writes to standard output. A reader that has seen enough (`| head`) is no failure.
pub(crate) fn print(text: &str) -> Result<()> {
    let mut out = std::io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        other => other.context(PrintSnafu),
    }
}

/// Writes a value as JSON to standard output.
pub(crate) fn print_json(value: &impl Serialize) -> Result<()> {
    let text = serde_json::to_string_pretty(value).context(JsonSnafu)?;
    print(&format!("{text}\n"))
}

/// Writes a complaint to standard error; there is nobody to tell if that fails.
pub(crate) fn complain(text: &str) {
    let _ = writeln!(std::io::stderr().lock(), "toucanturn: {}", text.trim_end());
}

/// `Progress` is one line on standard error that is written over and over, where that is a
/// terminal.
#[derive(Debug)]
pub(crate) struct Progress {
    shown: bool,
}

impl Progress {
    /// Starts a line.
    pub(crate) fn new() -> Self {
        Self {
            shown: std::io::stderr().is_terminal(),
        }
    }

    /// Shows `text` in the place of what was there.
    pub(crate) fn show(&self, text: &str) {
        if self.shown {
            // CSI K erases to the end of the line (ECMA-48, section 8.3.41).
            let _ = write!(std::io::stderr().lock(), "\r{text}\x1b[K");
        }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.show("");
    }
}

/// Lays rows out in columns, each as wide as its widest cell.
pub(crate) fn table<const N: usize>(head: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = head.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = cell.len().max(*width);
        }
    }
    let mut out = String::new();
    let mut line = |cells: [&str; N]| {
        let pad = |(cell, width): (&&str, &usize)| format!("{cell:<width$}");
        let cells: Vec<String> = cells.iter().zip(&widths).map(pad).collect();
        out.push_str(cells.join("  ").trim_end());
        out.push('\n');
    };
    line(head);
    for row in rows {
        line(std::array::from_fn(|i| row[i].as_str()));
    }
    out
}
