//! Callers that don't behave: the process lives, its memory and descriptors stay within their bounds, and an ordinary
//! request is answered.
//!
//! Each test runs the daemon as a process of its own. They run one at a time, as each of them uses much of a core.

#![expect(clippy::expect_used, reason = "a test fails by its panic")]

mod changes;
mod crowd;
mod listeners;
mod memory;
mod router;
