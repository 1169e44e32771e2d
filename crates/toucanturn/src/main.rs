//! Placeholder.

fn main() {}
