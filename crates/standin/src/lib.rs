//! Stand-ins for everything the router fleet talks to: the platform, the model engines, the
//! plain services and the platform's balancer.
//!
//! They speak the protocols of `docs/PROTOCOLS.md` and inject its faults on demand, and know
//! nothing of the router. They're no simulators: each is one small server with bounded state.
//!
//! Start one inside a test with [`platform::start`], [`engine::start`] or [`service::start`], or
//! from the shell with the `toucanturn-standin` program.

#![forbid(unsafe_code)]

pub mod balancer;
mod endpoint;
pub mod engine;
pub mod errors;
pub mod fault;
mod http;
mod lagged;
pub mod link;
pub mod platform;
pub mod server;
pub mod service;
mod sync;
pub mod truth;

pub use crate::errors::{
    Error,
    Result, //
};
