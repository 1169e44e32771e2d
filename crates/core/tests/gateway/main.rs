//! Tests of the gateway's decision logic, which does no I/O.

#![expect(clippy::expect_used, reason = "a test fails by its panic")]

mod brittle;
mod budget;
mod catalog;
mod endpoint;
mod evacuation;
mod explain;
mod fixture;
mod flow;
mod handoff;
mod lives;
mod mesh;
mod mirror;
mod multiple;
mod old_knowledge;
mod origin;
mod outcome;
mod part_quarantine;
mod place;
mod prefill;
mod proof;
mod quarantine;
mod reach;
mod reading;
mod registry;
mod restarted;
mod shared_reads;
mod signals;
mod skew;
mod stateless;
mod staying;
mod stop;
mod succession;
mod variability;
mod waiting;
mod waits;
mod warmup;
