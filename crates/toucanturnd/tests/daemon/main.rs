//! The daemon as real processes: three of them over loopback sockets, ended, frozen and killed by
//! signals, against stand-ins in the test process. What the stand-ins really did is compared with
//! what callers were told.

#![expect(clippy::expect_used, reason = "a test that can't set itself up fails")]

mod answers;
mod callers;
mod command;
mod daemon;
mod drain;
mod fleet;
mod freeze;
mod front;
mod once;
