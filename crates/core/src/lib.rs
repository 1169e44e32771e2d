//! The decision logic of a toucanturn router, without I/O.
//!
//! This crate takes timestamped events and returns actions. It opens no sockets, reads no clock and
//! has no source of randomness of its own, so that the daemon, the tests, the replay of a recorded
//! trace and programs that embed the crate all drive the same code.
//!
//! Start at [`node::Node`]. The events are in [`event`], the actions in [`action`], and the
//! published configuration in [`config`].

#![forbid(unsafe_code)]

pub mod action;
pub mod arena;
pub mod chat;
pub mod config;
pub mod event;
pub mod event_stream;
pub mod gateway;
pub mod ids;
pub mod limits;
pub mod load;
pub mod membership;
pub mod node;
pub mod once;
pub mod orders;
pub mod overload;
pub mod peer;
pub mod place;
pub mod request;
pub mod retry;
pub mod settings;
pub mod units;
