//! Sockets, clocks and streams around the gateway decisions of `toucanturn-core`.
//!
//! One thread serves callers, keeps connections to endpoints and follows the registry. It decides
//! nothing: [`exchange`] asks [`toucanturn_core::gateway::Gateway`] at each step. How requests,
//! answers and the registry look on the wire is told by a [`dialect::Dialect`] and a
//! [`feed::Reader`], which the program at the rim brings along.
//!
//! Start at [`process::run`].

#![forbid(unsafe_code)]

mod call;
pub mod client;
mod copies;
pub mod dialect;
pub mod errors;
pub mod events;
pub mod exchange;
pub mod feed;
pub mod gossip;
pub mod log;
pub mod metrics;
mod pace;
pub mod peers;
pub mod pool;
pub mod process;
mod reads;
pub mod relay;
pub mod server;
pub mod settings;
pub mod state;
