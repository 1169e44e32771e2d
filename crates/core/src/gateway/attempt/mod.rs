//! The attempts of one request: placement, sending, and what follows their end.
//!
//! The load that it answers: requests whose endpoint is full, hangs, leaves or breaks off, each of which
//! is to be answered in time by another one, with few extra attempts.
//!
//! - `ticket`: an admitted request and the state of its attempts.
//! - `placement`: the endpoint of an attempt, or why there is none.
//! - `screening`: whether the quarantine holds it back.
//! - `sending`: whether an endpoint may still get it, and what the answer says of the endpoint.
//! - [`outcome`]: how an attempt ended.
//! - `end`: what that shows.
//! - `retry`: whether another attempt follows.
//! - `succession`: another attempt beside one whose endpoint keeps silent.

mod end;
pub mod outcome;
mod placement;
mod retry;
mod screening;
mod sending;
mod succession;
mod ticket;

pub use ticket::Ticket;

pub(super) use placement::{
    FULL_RETRY_DELAY,
    refuse_given_up,
    refuse_unplaced, //
};
pub(super) use sending::silence_limit;
pub(super) use ticket::due;
