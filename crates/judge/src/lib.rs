//! Judges of promises that hold over a whole fleet, from what its endpoints note.
//!
//! A judge knows neither routers nor their logs, so that the soak of real processes and the laboratory apply the same rule.

#![forbid(unsafe_code)]

pub mod multiple;
