//! Admission and waiting: which requests are taken, which wait, and what a refused caller is told.
//!
//! The load that it answers: demand above the room of a service, callers without a valid key, and
//! requests that would outlast a router that stops.
//!
//! - `admit`: the route, the key and the service of a request.
//! - [`incoming_request`]: what is known of a request.
//! - [`fingerprint`]: its content, as the quarantine compares it.
//! - [`catalog`]: the published configuration.
//! - [`route`]: which services a request may go to, and whether it may be retried.
//! - [`waiting`]: who goes first, who waits and who is turned away.
//! - `durations`: how long answers took lately.
//! - [`stop`]: what a stopping router still accepts.
//! - [`refusal`]: why a request is refused.

mod admit;
pub mod catalog;
mod durations;
pub mod fingerprint;
pub mod incoming_request;
pub mod refusal;
pub mod route;
pub mod stop;
pub mod waiting;

pub(super) use durations::Durations;
