//! A router around the decisions of `toucanturn-core`: sockets, clocks and streams.
//!
//! A request passes a filter chain ([`filters`]): accept, authenticate, deadline, priority,
//! classify; then
//! its own task ([`exchange`]) carries out what the node decides: admit, place, dispatch, relay,
//! account. Controllers feed the node what happens around it: [`platform`] reads the
//! configuration service and the list of VMs, [`polls`] asks endpoints for their load, the peer
//! link carries messages between routers. Nothing here decides.
//!
//! Start at [`driver::Driver`].

#![forbid(unsafe_code)]

pub mod answers;
pub use toucanturn_clock as clock;
pub mod driver;
pub mod endpoints;
pub mod errors;
pub mod events;
pub mod exchange;
pub mod filters;
mod gauges;
mod imports;
pub mod links;
pub mod metrics;
mod orders;
pub mod peers;
pub mod platform;
pub mod polls;
pub mod process;
pub mod relay;
pub mod server;
pub mod tokens;
