//! Tests of a complete node that receives events directly, without a driver or peers.

#![expect(clippy::unwrap_used, reason = "a fixture that fails ends its test")]

mod fixture;
mod forward;
mod polls;
mod reading;
