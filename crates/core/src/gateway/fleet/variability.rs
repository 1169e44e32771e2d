//! Whether the endpoints' speed varies: their machines are shared with others, so that the same work
//! takes longer at some moments than at others.
//!
//! Endpoints whose speed varies state their slowdown with their load, or the operators say so in the
//! settings. Only then do routers tell each other how long requests wait at endpoints, and decide by
//! it. Other fleets decide without.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::units::{
    Millis,
    Time, //
};

/// Time without any statement after which speeds count as constant again.
const STATEMENT_TTL: Millis = Millis(30_000);

/// `Speeds` is what the settings say of the endpoints' speed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Speeds {
    /// It varies where endpoints state a slowdown.
    #[default]
    Stated,
    /// It varies, also where endpoints state no slowdown.
    Varying,
}

/// `Variability` is whether the endpoints' speed varies.
#[derive(Clone, Copy, Debug, Default)]
pub struct Variability {
    speeds: Speeds,
    /// When an endpoint last stated a slowdown to this router.
    stated: Option<Time>,
    /// When a peer last told of delays.
    heard: Option<Time>,
}

impl Variability {
    /// Takes over what the settings say.
    pub fn set(&mut self, speeds: Speeds) {
        self.speeds = speeds;
    }

    /// Records that an endpoint states a slowdown to this router.
    pub fn record(&mut self, now: Time) {
        self.stated = Some(now);
    }

    /// Records that a peer tells of delays.
    pub fn record_peer(&mut self, now: Time) {
        self.heard = Some(now);
    }

    /// Tells whether this router tells peers of delays. What peers tell is no reason to: routers would
    /// keep each other telling for ever.
    pub fn tells_delays(&self, now: Time) -> bool {
        self.speeds == Speeds::Varying || is_recent(now, self.stated)
    }

    /// Tells whether the endpoints' speed varies, so that delays decide.
    pub fn is_stated(&self, now: Time) -> bool {
        self.tells_delays(now) || is_recent(now, self.heard)
    }
}

fn is_recent(now: Time, at: Option<Time>) -> bool {
    at.is_some_and(|at| now.since(at) < STATEMENT_TTL)
}
