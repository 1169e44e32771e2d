//! A fault soak of the real programs on one machine.
//!
//! A seed makes a [`plan`]: when which process is stopped, paused, killed or told to misbehave, and when
//! which link delays, loses or resets. [`run`] starts a store, endpoints and routers as processes, lets
//! callers use them all the while, and hands what callers and endpoints saw to [`judge`]. The same seed
//! gives the same plan; how it interleaves with the load is the machine's.
//!
//! It is no benchmark, and ends only processes that it started.

#![forbid(unsafe_code)]

pub mod caller;
pub mod errors;
pub mod fleet;
pub mod guard;
pub mod judge;
pub mod load;
pub mod peer_link;
pub mod plan;
pub mod process;
pub mod record;
pub mod run;

pub use errors::{
    Error,
    Result, //
};
