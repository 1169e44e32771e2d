//! Whole nodes, each alone with events made by hand.

mod fixture;
mod forward;
mod reading;
