//! Whether the endpoints' speed varies: their machines are shared with others, so that the same work
//! takes longer at some moments than at others.
//!
//! Endpoints whose speed varies state their slowdown with their load. Only where they do, routers tell
//! each other how long requests wait at endpoints, and place by expected times. A fleet whose
//! endpoints state none decides without them.

use crate::units::{
    Millis,
    Time, //
};

/// Time without any statement after which speeds count as constant again.
const STATEMENT_TTL: Millis = Millis(30_000);

/// `Variability` is when the endpoints' speed was last stated to vary.
#[derive(Clone, Copy, Debug, Default)]
pub struct Variability {
    stated: Option<Time>,
}

impl Variability {
    /// Records that an endpoint states a slowdown, or that a peer tells of delays.
    pub fn record(&mut self, now: Time) {
        self.stated = Some(now);
    }

    /// Tells whether the endpoints' speed varies.
    pub fn is_stated(&self, now: Time) -> bool {
        self.stated.is_some_and(|at| now.since(at) < STATEMENT_TTL)
    }
}
