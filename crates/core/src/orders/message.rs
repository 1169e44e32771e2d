//! Types of orders to engines, their outcomes, and what engines report.

use crate::{
    ids::Id,
    units::{
        Millis,
        Revision,
        Time, //
    },
};

/// Most models that are read from one report; the others are ignored.
pub const MAX_MODELS: usize = 64;

/// `Loaded` is what an engine reports to have loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Loaded {
    /// Names of its models and adapters.
    pub models: Vec<Id>,
    /// Version of its models; `None` where the engine reports none or one that is not a valid name.
    pub version: Option<Id>,
    /// Fencing number of the last order that it accepted.
    pub fence: u64,
}

/// `Change` is what an order tells an engine to load.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    /// Load a model that the engine lacks.
    LoadModel {
        /// The model.
        model: Id,
        /// Its published version.
        version: Id,
    },
    /// Load another version of the models that the engine holds.
    LoadVersion {
        /// Model whose weights the token of the weight store is for.
        model: Id,
        /// The published version.
        version: Id,
    },
}

impl Change {
    /// Gets the model and version whose weights the engine will load.
    pub const fn weights(&self) -> (&Id, &Id) {
        match self {
            Self::LoadModel { model, version } | Self::LoadVersion { model, version } => {
                (model, version)
            }
        }
    }
}

/// `OrderNumber` identifies one order or token request among those that a router process makes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderNumber(pub u64);

/// `Order` is an order that is sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Identifies it at this router.
    pub number: OrderNumber,
    /// Its fencing number.
    pub fence: u64,
    /// The configuration revision that it carries out.
    pub revision: Revision,
    /// What to do.
    pub change: Change,
    /// The driver sends no byte of the order from this time on: after a pause of this process,
    /// another router may have sent a newer order.
    pub not_after: Time,
}

/// `TokenReply` is the weight store's answer to a token request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenReply {
    /// One engine may start to load.
    Token,
    /// The store is over its rate limit; ask again after this time.
    Wait(Millis),
    /// The store did not answer, or its answer was neither of the others.
    Failed,
}

/// `OrderOutcome` is the result of sending an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Obeyed,
    /// The engine refused the order: it holds this fencing number, which is not below the order's.
    Fenced(u64),
    /// The engine refused the order for another reason and did nothing.
    Refused,
    /// No byte of the order was sent.
    NotSent,
    /// Bytes of the order may have been sent, and no usable answer came.
    Unknown,
}

/// `HoldReason` is the reason why an engine that needs an order gets none now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum HoldReason {
    /// This router has heard nothing new since it started or resumed after a pause.
    NoNews,
    /// A peer has a newer configuration in force, or the engine accepted an order of a newer one.
    Behind,
    /// The engine ignores fencing numbers, and this router hears no majority of the fleet.
    Minority,
    /// The engine ignores fencing numbers, and an order of the former issuer may still arrive.
    HoldOff,
    /// The engine is leaving or down, or has not reported its models recently.
    Unreported,
    /// As many engines as allowed are loading one of its models.
    Pace,
    /// Fewer than `min_replicas` other engines are certain to serve one of its models meanwhile.
    MinReplicas,
    /// The weight store is over its rate limit or failed, or its token for another engine is
    /// pending.
    WeightStore,
    /// The last order's outcome is unknown, its load is in progress, or it failed and a retry is
    /// not yet due.
    Waiting,
}
