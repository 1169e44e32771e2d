//! The decisions of a toucanturn router, without I/O.
//!
//! This crate takes events with the time they happened at and returns actions. It opens no socket,
//! reads no clock and draws no random number of its own: the daemon, the tests, a recorded trace
//! and a program that embeds it all drive the same code.
//!
//! Start at [`node::Node`]; the vocabulary is in [`event`] and [`action`], the published
//! configuration in [`config`].

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
