//! Quarantine: which requests are held back because they crash the endpoints that run them.
//!
//! The load that it answers: a request that ends each endpoint that runs it, repeated by its caller at
//! any router, or a prompt part that does so in requests that differ in all else.
//!
//! - `answers`: whether a service answers as usual, so that a missing answer says something.
//! - [`crash`]: a crash of an endpoint, and what routers report of it; how long requests are held.
//! - `suspect`: the crash record of one content or one part.
//! - `selection`: which records a digest tells.
//! - `table`: the bounded table of records that both quarantines share, with its expiry and eviction.
//! - [`contents`]: the quarantine of requests by their content.
//! - [`parts`]: the quarantine of requests by the parts of their prompts.

mod answers;
pub mod contents;
pub mod crash;
pub mod parts;
mod selection;
mod suspect;
mod table;

pub use contents::{
    MAX_SUSPECTS,
    MAX_SUSPECTS_PER_WORKSPACE,
    MIN_RETRY_AFTER,
    QUARANTINE_THRESHOLD,
    QUARANTINE_THRESHOLD_ANSWERED,
    Quarantine,
    UnprovedAnswer, //
};
pub use crash::{
    Crash,
    CrashReport,
    Policy,
    Record,
    Verdict, //
};
pub use selection::{
    MAX_DIGEST_CRASHES,
    MAX_DIGEST_RECORDS, //
};
pub use suspect::MAX_CRASHES_PER_REQUEST;
