//! The fleet: what a router learns from the registry and from the other routers, and how old that is.
//!
//! The load that it answers: a registry that is slow, gone or far away, and routers that start, stop or
//! are cut off from each other or from a service.
//!
//! - [`updates`]: what is taken in, and what peers are told.
//! - [`reading`]: when a router reads the registry itself.
//! - [`mirror`]: the copy of the registry's records that routers pass on.
//! - [`proof`]: how old the state may be that a router acts on.
//! - [`mesh`]: which other routers there are.
//! - [`hot_spots`]: prompt parts that take much of a service's traffic, by the samples of all routers.
//! - [`shared_reads`]: where the first parts of prompts were read.
//! - [`variability`]: whether routers tell each other how long requests wait.
//! - [`reach`]: which services this router reaches.
//! - [`handoff`]: requests that go to a peer.

pub mod handoff;
pub mod hot_spots;
pub mod mesh;
pub mod mirror;
pub mod proof;
pub mod reach;
pub mod reading;
pub mod shared_reads;
pub mod updates;
pub mod variability;
