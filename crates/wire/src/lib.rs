//! The bytes between routers: messages, their bounds, and the envelope that authenticates them.
//!
//! This crate turns the typed messages of `toucanturn-core` into Protocol Buffers and back, seals
//! them into an [`envelope`] with a keyed MAC and checks one that arrives, replays included
//! ([`window`]). It opens no socket and keeps no connection; `toucanturn-router` does.
//!
//! [`gossip`] is what gateway routers tell each other, [`prefill`] what they tell and ask the routers that keep
//! what engines have still to read.
//!
//! Start at [`envelope::seal`] and [`envelope::open`]; [`message`] has the control messages,
//! [`forward`] the call on its way to its home, and [`receipt`] the replies to both. Nothing that
//! arrives is trusted: each conversion from [`proto`] is a `TryFrom` that checks the bounds in
//! [`limits`].

#![forbid(unsafe_code)]

pub mod envelope;
pub mod errors;
pub mod forward;
pub mod gossip;
pub mod handoff;
pub mod limits;
pub mod message;
pub mod prefill;
pub mod receipt;
pub mod window;

pub use errors::{
    Error,
    Result, //
};
pub use message::size;

/// Generated from `proto/peer.proto` by `cargo run -p toucanturn-wire-codegen`.
#[expect(
    clippy::allow_attributes,
    reason = "the generator writes its own attributes"
)]
pub mod proto {
    include!("generated/toucanturn.peer.v1.rs");
}
