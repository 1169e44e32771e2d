//! Whole nodes, each alone with events made by hand.

#![expect(clippy::unwrap_used, reason = "a fixture that fails ends its test")]

mod fixture;
mod forward;
mod polls;
mod reading;
