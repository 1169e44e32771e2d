//! Sockets, clocks and streams around the gateway decisions of `toucanturn-core`.
//!
//! One thread serves callers, keeps connections to endpoints and follows the registry. It decides
//! nothing: [`exchange`] asks [`toucanturn_core::gateway::Gateway`] at each step. How requests,
//! answers and the registry look on the wire is told by a [`protocol::ProtocolAdapter`] and a
//! [`feed::RegistryReader`], which the program at the rim brings along.
//!
//! Start at [`process::run`].

#![forbid(unsafe_code)]

pub mod client;
pub mod errors;
pub mod exchange;
pub mod feed;
pub mod gossip;
mod head_timeout;
pub mod log;
pub mod metrics;
mod peer_follower;
pub mod peers;
pub mod pool;
pub mod process;
pub mod protocol;
mod proxied;
mod reads;
pub mod relay;
pub mod server;
pub mod settings;
pub mod sse;
pub mod state;
