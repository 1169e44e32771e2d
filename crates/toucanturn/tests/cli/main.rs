//! Runs `toucanturn` as a process.

mod check;
mod drain;
mod explain;
mod status;
mod support;
mod usage;
