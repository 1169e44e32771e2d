//! Processes for people who look at the project: the demonstration and the benchmarks.
//!
//! Nothing of the system uses this crate. It starts the stand-ins and the daemon as separate
//! processes; the system itself starts none.

#![forbid(unsafe_code)]

pub mod errors;
pub mod fleet;
pub mod process;
