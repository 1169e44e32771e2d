//! The decision log: one line for each decision that touches a request or changes a belief.
//!
//! Lines go through `tracing`. [`LogLimiter`] bounds their number: what is beyond it is counted, and the
//! count is written with the next second's first line, so that a reader sees that lines are missing.

use std::cell::Cell;

use toucanturn_core::units::{
    Millis,
    Time, //
};

use crate::state;

/// Lines a second that are written; the rest is counted.
const MAX_LINES_PER_SECOND: u32 = 300;
const SECOND: Millis = Millis(1000);

/// `LogLimiter` counts the lines of the current second.
#[derive(Debug, Default)]
pub struct LogLimiter {
    second: Cell<Time>,
    lines: Cell<u32>,
    dropped: Cell<u64>,
}

impl LogLimiter {
    /// Tells whether one more line may be written.
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

/// Gets a name as text for a log line.
pub fn text(bytes: &[u8]) -> std::borrow::Cow<'_, str> {
    String::from_utf8_lossy(bytes)
}
