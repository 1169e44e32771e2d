//! What an explanation says.

use serde::Serialize;

use crate::{
    gateway::{
        explain::held::Held,
        place::{
            Decision,
            Reason, //
        },
    },
    units::Millis,
};

/// `Choice` is the endpoint that the request would go to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Choice {
    /// Its name.
    pub endpoint: String,
    /// What it follows from.
    pub decision: Decision,
    /// Number of endpoints among which a random draw chooses at most; 1 where chance has no part.
    pub among: usize,
    /// Number of endpoints before it in the order of preference.
    pub rank: u32,
    /// Its estimated load, and the age of the report that this follows from.
    pub load: u32,
    /// See `load`; `None` if only this router's own requests are known.
    pub load_age_ms: Option<Millis>,
    /// Load from which it would have been passed over.
    pub limit: f32,
    /// Mean of the estimated loads of all endpoints of the service.
    pub mean: f32,
    /// Whether it is cold, so that the request would use up this router's quota for it.
    pub cold: bool,
    /// Whether it may turn the request away.
    pub at_risk: bool,
    /// Whether the request would be a trial of the quarantine.
    pub trial: bool,
    /// Where the cached parts of the prompt could be copied from.
    pub holder: Option<String>,
    /// Where it would go if the chosen endpoint could not be reached.
    pub runner_up: Option<String>,
}

/// `Wait` is what a sent request would wait for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Wait {
    /// The endpoint whose answer it would wait for.
    pub endpoint: String,
    /// How long the request waited whose answer began last there, and how long ago that was.
    pub last_ms: Option<Millis>,
    /// See `last_ms`.
    pub last_age_ms: Option<Millis>,
    /// Time without any answer after which the next endpoint may be tried; `None` if none may.
    pub silence_ms: Option<Millis>,
    /// Longest time until the final answer.
    pub at_most_ms: Millis,
}

/// `Denial` is what the caller would be told instead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Denial {
    /// Reason.
    pub cause: String,
    /// When the caller may come back, as this router would spread it by chance; `None` if a retry can't
    /// succeed.
    pub retry_after_ms: Option<Millis>,
}

/// `Other` is an endpoint that the request would not go to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Other {
    /// Its name.
    pub endpoint: String,
    /// Why not.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<Reason>,
    /// Time until that ends at the latest, where that is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub left_ms: Option<Millis>,
    /// Number of endpoints before it in the order for the prompt's part.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rank: Option<u32>,
    /// Its estimated load.
    pub load: u32,
    /// Age of the report that this follows from; `None` if only own requests are known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load_age_ms: Option<Millis>,
    /// Load from which it is passed over; `None` if it can't be chosen at all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<f32>,
    /// Latency of its newest answers in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub latency_ms: Option<f32>,
}

/// `Group` is further endpoints that the request would not go to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Group {
    /// Why not.
    pub reason: Option<Reason>,
    /// Their names.
    pub endpoints: Vec<String>,
}

/// `Explanation` is what a request would meet.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Explanation {
    /// Route, service and workspace.
    pub route: String,
    /// The service that the route goes to.
    pub service: String,
    /// Number of the route's services among which a draw by their weights chose; 1 if it was named or is the
    /// only one.
    pub services: usize,
    /// The workspace.
    pub workspace: Option<String>,
    /// Priority under overload.
    pub priority: u8,
    /// Version of the configuration.
    pub version: u64,
    /// Age of the registry's state that this router acts on; `None` before the first read.
    pub registry_age_ms: Option<Millis>,
    /// Number of routers that this one counts.
    pub routers: u32,
    /// How long this router has not reached the service; `None` if it does.
    pub unreached_ms: Option<Millis>,
    /// Part of its workspace's requests that is sent now, from 0 to 1; below 1 the service is short of room,
    /// and chance decides which of them wait or are turned away.
    pub admitted: f32,
    /// Where it would go; `None` if it would be refused.
    pub choice: Option<Choice>,
    /// What it would wait for there.
    pub wait: Option<Wait>,
    /// The refusal; `None` if it would be sent.
    pub refusal: Option<Denial>,
    /// What the quarantine holds it back for, or lets it through for as a trial.
    pub held: Vec<Held>,
    /// The other endpoints of the service, those that may be chosen first.
    pub others: Vec<Other>,
    /// Those beyond [`super::MAX_DESCRIBED`].
    pub more: Vec<Group>,
}
