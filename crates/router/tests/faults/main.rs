//! The fault matrix: every fault at every step, against real routers over loopback sockets, judged
//! by what the stand-ins really did. docs/FAULTS.md shows the table and its results.

#![expect(clippy::expect_used, reason = "a test that can't set itself up fails")]

mod caller;
mod closing;
mod cluster;
mod found;
mod host;
mod inject;
mod judge;
mod matrix;
mod page;
mod promises;
mod rows;
mod run;
mod smoke;
