//! A request after classification, the endpoint chosen for it, and the answers that a caller can
//! get.

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

/// `Call` identifies a request at one router. The driver assigns each number only once.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Call(pub u64);

/// `Attempt` numbers the attempts of one call, from 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Attempt(pub u32);

/// `Key` is a caller's idempotency key, a UUIDv7 (RFC 9562), together with its workspace, so that
/// keys of different workspaces never collide.
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

    /// Gets the key's hash, the rendezvous item that determines its home.
    pub fn item(self) -> u64 {
        let mut raw = [0; 20];
        raw[..4].copy_from_slice(&self.workspace.0.to_le_bytes());
        raw[4..].copy_from_slice(&self.uuid.to_le_bytes());
        xxhash_rust::xxh3::xxh3_64(&raw)
    }
}

/// `Prefix` is a hash of the part of a chat that is the same in all its requests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Prefix(pub u64);

/// `Token` is the content of a placement token: the engines that hold the chat's prefix, newest
/// first. It is a hint only; a wrong one costs a cache miss.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// Engine that answered the chat's last request.
    pub last: Tag,
    /// Incarnation of that engine.
    pub incarnation: Incarnation,
    /// Engine that answered the chat before that engine did.
    pub before: Option<Tag>,
}

/// `Work` describes what a request asks for, and how often it may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// A chat with a model.
    Chat {
        /// The model.
        model: ModelKey,
        /// Prefix of the chat.
        prefix: Prefix,
        /// Placement token, if the caller brought one.
        token: Option<Token>,
    },
    /// A call of a plain service that may be repeated.
    Plain {
        /// The service.
        service: ServiceKey,
        /// Whether its method is idempotent, so that the call may be sent again after bytes of it
        /// have left.
        idempotent: bool,
    },
    /// A call of a plain service that runs at most once.
    Once {
        /// The service.
        service: ServiceKey,
        /// The caller's key.
        key: Key,
        /// Hash of the workspace, method, path and body. A key that is reused with other content is
        /// refused.
        content: u64,
    },
}

/// `Origin` tells who sent the request to this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// A peer that admitted the request and forwarded it to this router, the key's home.
    Peer(RouterKey),
}

/// `Request` is one request after authentication and classification.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Who sent the request.
    pub origin: Origin,
    /// The workspace whose limits it counts towards.
    pub workspace: WorkspaceKey,
    /// Priority under overload.
    pub priority: Priority,
    /// The work that it asks for.
    pub work: Work,
    /// Time by which the answer must be complete.
    pub deadline: Time,
}

/// `Outcome` tells a caller whether its action ran.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The action ran, and the answer is complete.
    Done,
    /// The action has not run and is guaranteed not to run.
    NotRun,
    /// The action may have run. Repeating it with the same idempotency key is safe.
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
    /// The answer ended before it was complete.
    Truncated,
    /// The key's home router cannot be reached or holds no lease.
    HomeUnavailable,
    /// The key is too old, or created before the keys that its home remembers.
    KeyExpired,
    /// The key's creation time is in the future.
    KeyFuture,
    /// The key was used before with other content.
    KeyReused,
    /// The key's first request is still in progress.
    KeyInProgress,
    /// The home's memory for keys is full.
    KeysFull,
    /// The action is done, but its answer is no longer stored.
    AnswerGone,
    /// The workspace or its rights changed while the request waited.
    Forbidden,
}

/// `Refusal` is the final answer to a request that the router rejects or gives up on. It is sent at
/// once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub code: Code,
    /// Whether the action ran.
    pub outcome: Outcome,
    /// Time after which to retry; `None` where a retry would not help.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Makes the refusal of a request that was not run.
    pub const fn not_run(code: Code, retry_after: Option<Millis>) -> Self {
        Self {
            code,
            outcome: Outcome::NotRun,
            retry_after,
        }
    }

    /// Makes the refusal of a request that may have run.
    pub const fn unknown(code: Code, retry_after: Option<Millis>) -> Self {
        Self {
            code,
            outcome: Outcome::Unknown,
            retry_after,
        }
    }
}

/// `End` tells how an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The complete answer arrived, with its end mark and the id of this request.
    Whole(Answer),
    /// No byte of the request left this router, or the endpoint stated that it did not run it.
    NotSent {
        /// Whether the endpoint stated that it is leaving.
        leaving: bool,
    },
    /// The endpoint answered with an error status (5xx) of its own.
    Failed(Answer),
    /// After bytes may have left, the connection broke, the answer timed out, or an answer to
    /// another request arrived.
    Broken {
        /// Whether bytes of the answer were relayed to the caller.
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
    /// Content type; stored with the body to replay the answer.
    pub content_type: Bytes,
    /// The complete body for calls that run at most once; empty for others.
    pub body: Bytes,
    /// Prompt tokens found in the engine's cache.
    pub cached_tokens: Option<u32>,
}

/// `Placed` is an endpoint chosen for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placed {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Second-best endpoint, for the decision log.
    pub runner_up: Option<EndpointKey>,
    /// Engine from which to import the chat's KV cache before the attempt.
    pub import_from: Option<EndpointKey>,
    /// Load at which the endpoint gets no more requests.
    pub limit: u32,
    /// Why the endpoint was chosen.
    pub reason: Reason,
}

/// `Reason` tells why an endpoint was chosen.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The placement token names it as the last engine.
    Token,
    /// The placement token names it as the engine before the last.
    TokenBefore,
    /// A cache event reported that it holds the prefix.
    CacheEvent,
    /// It is the first by rendezvous hash.
    Home,
    /// It has room, and is not the first by rendezvous hash.
    Overflow,
    /// It is the less loaded of two drawn at random, or the least loaded where none is below the
    /// limit.
    LeastLoaded,
}
