//! Limits that the routers of a fleet keep together.
//!
//! The load that it answers: retries while many requests fail, and crowds at endpoints that have just
//! started or that crash when they must turn away too many requests.
//!
//! - [`budget`]: retries, as a share of a service's requests.
//! - [`warmup`]: requests to an endpoint that is cold.
//! - [`brittle`]: requests that an endpoint has to turn away.
//! - [`multiple`]: requests to an endpoint that is over the multiple of the mean load. It alone asks other routers.
//! - `connections`: this router's part of the connections that an endpoint accepts.

pub mod brittle;
pub mod budget;
mod connections;
pub mod multiple;
pub mod warmup;
