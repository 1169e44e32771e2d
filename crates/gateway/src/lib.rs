//! I/O for the gateway decisions of `toucanturn-core`: sockets, clocks and streams.
//!
//! One thread serves callers, holds connections to endpoints and reads the registry. It makes no
//! decisions: [`exchange`] asks [`toucanturn_core::gateway::Gateway`] at each step. The binary
//! supplies a [`protocol::ProtocolAdapter`], which maps requests and answers to the wire, and a
//! [`feed::RegistryReader`], which does the same for the registry.
//!
//! The entry point is [`process::run`].

#![forbid(unsafe_code)]

mod answer_body;
pub mod budget;
pub mod client;
mod client_stream;
mod connections;
pub mod errors;
pub mod exchange;
mod explain;
pub mod feed;
mod framing;
pub mod gossip;
mod handoff;
mod head_timeout;
mod loads;
pub mod log;
pub mod memory;
pub mod metrics;
mod peer_follower;
pub mod peers;
pub mod pool;
mod prefill;
pub mod process;
pub mod protocol;
mod proxied;
mod reads;
pub mod relay;
pub mod server;
pub mod settings;
pub mod sse;
pub mod state;
mod streams;
mod waiting;
