//! The gateway's decisions, without I/O.

mod budget;
mod catalog;
mod endpoint;
mod fate;
mod fixture;
mod flow;
mod mesh;
mod mirror;
mod place;
mod proof;
mod registry;
