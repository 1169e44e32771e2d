//! Rate limit of the decision log, which has one line for each decision about a request or change of state.
//!
//! Lines are written through `tracing`. [`LogLimiter`] bounds their number per second. It counts the dropped lines and
//! logs the count before the first line of the next second, so that a reader sees that lines are missing.

use std::cell::Cell;

use toucanturn_core::units::{
    Millis,
    Time, //
};

use crate::state;

/// Lines that are written per second; further ones are dropped and counted.
const MAX_LINES_PER_SECOND: u32 = 300;
const SECOND: Millis = Millis(1000);

/// `LogLimiter` counts the lines that were written and dropped in the current second.
#[derive(Debug, Default)]
pub struct LogLimiter {
    second: Cell<Time>,
    lines: Cell<u32>,
    dropped: Cell<u64>,
}

impl LogLimiter {
    /// Counts a line; returns whether it may be written.
    pub fn try_admit(&self) -> bool {
        let now = state::now();
        if now.since(self.second.get()) >= SECOND {
            self.second.set(now);
            self.lines.set(0);
            let dropped = self.dropped.take();
            if dropped > 0 {
                tracing::warn!(event = 690, dropped, "log lines left out");
            }
        }
        let lines = self.lines.get() + 1;
        self.lines.set(lines);
        let within = lines <= MAX_LINES_PER_SECOND;
        if !within {
            self.dropped.set(self.dropped.get() + 1);
        }
        within
    }
}

/// Returns bytes as text for a log line; invalid UTF-8 is replaced.
pub fn text(bytes: &[u8]) -> std::borrow::Cow<'_, str> {
    String::from_utf8_lossy(bytes)
}
