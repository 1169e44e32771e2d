//! The peer link between two routers on loopback.

#![expect(
    clippy::expect_used,
    reason = "a test's helpers stop at what can't happen"
)]

mod deliver;
mod forward;
mod proxy;
mod refuse;
mod support;
