//! Runs `toucanturn` as a process.

mod chat;
mod check;
mod drain;
mod explain;
mod explain_gateway;
mod manual;
mod replay;
mod router;
mod status;
mod support;
mod trace;
mod usage;
