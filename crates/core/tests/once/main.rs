//! Tests of calls that run at most once.
#![expect(clippy::unwrap_used, reason = "tests")]

mod keys;
mod lease;
mod property;
mod rig;
mod simulation;
