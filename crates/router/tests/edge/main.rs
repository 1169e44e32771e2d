//! Bad input at the callers' port of one real router, judged by the answers and by what the
//! stand-ins say that they got.

#![expect(clippy::expect_used, reason = "a test that can't set itself up fails")]

mod answer;
mod body;
#[path = "../catalogue/capture.rs"]
mod capture;
mod headers;
mod keys;
mod log;
mod metrics;
mod paths;
mod rig;
mod scanner;
mod streams;
mod tenants;
