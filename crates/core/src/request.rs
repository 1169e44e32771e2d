//! One request as the decisions see it, and the answers that a caller can get.

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    arena::{
        EndpointKey,
        ModelKey,
        RouterKey,
        ServiceKey,
        WorkspaceKey, //
    },
    config::Priority,
    ids::Tag,
    units::{
        Incarnation,
        Millis,
        Time,
        Wall, //
    },
};

/// `Call` numbers a request at one router; the driver hands the numbers out, never twice.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Call(pub u64);

/// `Attempt` numbers the attempts of one call, from 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Attempt(pub u32);

/// `Key` is a caller's idempotency key, a UUIDv7 (RFC 9562), with its workspace: keys of two
/// workspaces never meet.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Key {
    /// Workspace that sent it.
    pub workspace: Tag,
    /// The 128 bits of the UUID.
    pub uuid: u128,
}

impl Key {
    /// Gets the creation time that the key carries (RFC 9562, section 5.7).
    pub const fn created(self) -> Wall {
        Wall((self.uuid >> 80) as u64)
    }

    /// Gets the number that picks the key's home.
    pub fn item(self) -> u64 {
        let mut raw = [0; 20];
        raw[..4].copy_from_slice(&self.workspace.0.to_le_bytes());
        raw[4..].copy_from_slice(&self.uuid.to_le_bytes());
        xxhash_rust::xxh3::xxh3_64(&raw)
    }
}

/// `Prefix` is a hash of the part of a chat that stays the same when it returns.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Prefix(pub u64);

/// `Token` is what a placement token says: the engines that hold the chat's prefix, newest first.
/// It is advice only: a wrong one costs a cache miss.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// Engine that answered last.
    pub last: Tag,
    /// That engine's incarnation.
    pub incarnation: Incarnation,
    /// Engine that answered before it.
    pub before: Option<Tag>,
}

/// `Work` is what a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// A chat with a model.
    Chat {
        /// The model.
        model: ModelKey,
        /// Hash of the chat.
        prefix: Prefix,
        /// Placement token, if the caller brought one.
        token: Option<Token>,
    },
    /// A call of a plain service that may be repeated.
    Plain {
        /// The service.
        service: ServiceKey,
        /// Whether its method is idempotent, so that it may be sent again after bytes have left.
        idempotent: bool,
    },
    /// A call of a plain service that runs at most once.
    Once {
        /// The service.
        service: ServiceKey,
        /// The caller's key.
        key: Key,
        /// Hash of the workspace, method, path and body: a key that comes with another body is
        /// refused.
        content: u64,
    },
}

/// `Origin` says who sent the request to this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// A peer that admitted it and found this router to be the key's home.
    Peer(RouterKey),
}

/// `Request` is one request after authentication and classification.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Who sent it.
    pub origin: Origin,
    /// The workspace it is charged to.
    pub workspace: WorkspaceKey,
    /// Priority under overload.
    pub priority: Priority,
    /// What it asks for.
    pub work: Work,
    /// When its answer must be whole.
    pub deadline: Time,
}

/// `Outcome` is what a caller is told about its action.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran, and the answer is the whole answer.
    Done,
    /// It was not run and won't be. This is a promise.
    NotRun,
    /// It may have run. Repeating it with the same idempotency key is safe.
    Unknown,
}

/// `Code` is the stable code of a refusal or failure.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The router is draining.
    Draining,
    /// No configuration is in force yet.
    NotReady,
    /// The workspace is over its limit.
    OverLimit,
    /// The router sheds load of this priority.
    Overloaded,
    /// The request's deadline has passed or cannot be met.
    Deadline,
    /// No endpoint can take the request.
    NoEndpoint,
    /// Every attempt failed.
    EndpointFailed,
    /// The answer broke off.
    Truncated,
    /// The key's home router cannot be reached or holds no lease.
    HomeUnavailable,
    /// The key is too old, or older than its home's memory.
    KeyExpired,
    /// The key's date is in the future.
    KeyFuture,
    /// The key came before with other content.
    KeyReused,
    /// The key's first request is still in progress.
    KeyInProgress,
    /// The home's memory of keys is full.
    KeysFull,
    /// The answer was done but is no longer kept.
    AnswerGone,
    /// The workspace or its rights changed while the request waited.
    Forbidden,
}

/// `Refusal` is the final answer to a request that the router gives up on; it goes out at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// What became of the action.
    pub outcome: Outcome,
    /// When to come back; `None` where coming back would not help.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Refuses what was not run.
    pub const fn not_run(code: Code, retry_after: Option<Millis>) -> Self {
        Self {
            code,
            outcome: Outcome::NotRun,
            retry_after,
        }
    }

    /// Refuses what may have run.
    pub const fn unknown(code: Code, retry_after: Option<Millis>) -> Self {
        Self {
            code,
            outcome: Outcome::Unknown,
            retry_after,
        }
    }
}

/// `End` says how an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer came, with its end mark and the request's own id.
    Whole(Answer),
    /// No byte of the request left this router, or the endpoint said that it did not run it.
    NotSent {
        /// Whether the endpoint said that it is leaving.
        leaving: bool,
    },
    /// The endpoint answered with an error status (5xx) of its own.
    Failed(Answer),
    /// The connection broke, went silent, or the answer was another's, after bytes may have left.
    Broken {
        /// Whether bytes of the answer have gone to the caller.
        relayed: bool,
    },
    /// The caller went away.
    Cancelled,
}

/// `Answer` is the part of an endpoint's answer that decisions need.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type; kept with the body for repeats.
    pub content_type: Bytes,
    /// The whole body for calls that run once; empty for others.
    pub body: Bytes,
    /// Prompt tokens found in the engine's cache.
    pub cached_tokens: Option<u32>,
}

/// `Placed` is an endpoint chosen for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placed {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Second best, for the decision log.
    pub runner_up: Option<EndpointKey>,
    /// Engine to import the chat's KV cache from first.
    pub import_from: Option<EndpointKey>,
    /// Load at which the endpoint gets no more.
    pub limit: u32,
    /// Why this one.
    pub reason: Reason,
}

/// `Reason` says why an endpoint was chosen.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The placement token named it.
    Token,
    /// The token's older engine.
    TokenBefore,
    /// A cache event said that it holds the prefix.
    CacheEvent,
    /// First by rendezvous hash.
    Home,
    /// The better ones are at the load multiple.
    Overflow,
    /// Least loaded of two drawn.
    LeastLoaded,
}
