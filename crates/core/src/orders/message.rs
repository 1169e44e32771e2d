//! Orders, what comes of them, and what engines say they hold.

use crate::{
    ids::Id,
    units::{
        Millis,
        Revision,
        Time, //
    },
};

/// Most models that a report may name; the rest is not looked at.
pub const MAX_MODELS: usize = 64;

/// `Loaded` is what an engine reports to hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Loaded {
    /// Models and adapters.
    pub models: Vec<Id>,
    /// The version; `None` where the engine states none that is a name.
    pub version: Option<Id>,
    /// The fencing number of the last order that it obeyed.
    pub fence: u64,
}

/// `Change` is what an order asks for.
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
    /// Load another version of what the engine holds.
    LoadVersion {
        /// A model of that version, for which the weight store is asked.
        model: Id,
        /// The published version.
        version: Id,
    },
}

impl Change {
    /// Gets the model and the version whose weights are loaded.
    pub const fn weights(&self) -> (&Id, &Id) {
        match self {
            Self::LoadModel { model, version } | Self::LoadVersion { model, version } => {
                (model, version)
            }
        }
    }
}

/// `Number` tells one order of a router's life from another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number(pub u64);

/// `Order` is one order as it goes to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Its number at this router.
    pub number: Number,
    /// Its fencing number.
    pub fence: u64,
    /// The configuration revision that it follows.
    pub revision: Revision,
    /// What to do.
    pub change: Change,
    /// From this time on the driver writes no byte of it, so that a process that was paused sends
    /// nothing that another router may have replaced.
    pub not_after: Time,
}

/// `Grant` is the weight store's answer to a question for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// One load may begin.
    Token,
    /// The store is over its rate.
    Wait(Millis),
    /// The store did not answer, or not so.
    Failed,
}

/// `Reply` is what came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Reply {
    /// The engine obeys.
    Obeyed,
    /// The engine holds this fencing number, which is not below the order's.
    Fenced(u64),
    /// The engine refused for another reason, and did nothing.
    Refused,
    /// No byte of it left.
    NotSent,
    /// Nobody knows: bytes of it may have left, and no answer came.
    Unknown,
}

/// `Hold` says why an engine that needs an order gets none now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Hold {
    /// This router has heard nothing new since it started or woke.
    NoNews,
    /// A peer holds a newer configuration, or the engine obeyed one.
    Behind,
    /// The engine ignores fencing, and this router hears no majority of the fleet.
    Minority,
    /// The engine ignores fencing, and a former issuer's order may be on its way.
    HoldOff,
    /// The engine is leaving, down, or has not reported what it holds lately.
    Unreported,
    /// Enough engines of a model are loading.
    Pace,
    /// Fewer than `min_replicas` engines would serve a model.
    MinReplicas,
    /// The weight store is over its rate or fails.
    WeightStore,
    /// The last order is unanswered, its load goes on, or it failed and a retry is not yet due.
    Waiting,
}
