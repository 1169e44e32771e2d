//! Runs `toucanturn` as a process.

mod chat;
mod check;
mod drain;
mod explain;
mod manual;
mod router;
mod status;
mod support;
mod usage;
