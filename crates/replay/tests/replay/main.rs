//! The replay and its traces.

#[cfg(test)]
mod engine;
#[cfg(test)]
mod traces;
