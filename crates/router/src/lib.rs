//! Placeholder.

pub mod peers;
