//! A call that runs once, on its way from the entry router to its home, and the home's answer.

use bytes::Bytes;
use prost::Message as _;
use toucanturn_core::{
    config::Priority,
    ids::Tag,
    request::{
        Code,
        Key,
        Outcome, //
    },
    units::Millis,
};

use crate::{
    errors::{
        Error,
        Result,
        TooLargeSnafu,
        UnknownVariantSnafu,
        ValueSnafu,
        bounded,
        decode, //
    },
    limits::{
        MAX_BODY,
        MAX_FIELD,
        MAX_PATH,
        MAX_PRIORITY, //
    },
    proto, //
};

/// `Request` is a forwarded call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Request id of the entry router, for the logs.
    pub request_id: Bytes,
    /// The caller's idempotency key, with the workspace that the call is charged to.
    pub key: Key,
    /// Priority under overload.
    pub priority: Priority,
    /// Time left until the answer must be whole.
    pub deadline: Millis,
    /// HTTP method.
    pub method: Bytes,
    /// Path and query.
    pub path: Bytes,
    /// Content type of the body.
    pub content_type: Bytes,
    /// Body.
    pub body: Bytes,
    /// Hash of the content, by which a key that comes again with another body is told.
    pub content: u64,
}

impl Request {
    /// Encodes the call as a payload.
    pub fn encode(&self) -> Bytes {
        let raw = proto::ForwardRequest {
            request_id: self.request_id.clone(),
            workspace: self.key.workspace.0,
            priority: u32::from(self.priority.0),
            deadline_ms: self.deadline.0,
            method: self.method.clone(),
            path: self.path.clone(),
            content_type: self.content_type.clone(),
            body: self.body.clone(),
            key: Bytes::copy_from_slice(&self.key.uuid.to_be_bytes()),
            content: self.content,
        };
        Bytes::from(raw.encode_to_vec())
    }

    /// Decodes a payload.
    ///
    /// # Errors
    ///
    /// Refuses malformed bytes and fields over their bounds.
    pub fn decode(payload: Bytes) -> Result<Self> {
        decode::<proto::ForwardRequest>("forward", payload)?.try_into()
    }

    /// Checks the bounds, so that the sender knows before a byte leaves.
    ///
    /// # Errors
    ///
    /// Refuses a field over its bound.
    pub fn check(&self) -> Result<()> {
        bounded("forward.request_id", self.request_id.len(), MAX_FIELD)?;
        bounded("forward.method", self.method.len(), MAX_FIELD)?;
        bounded("forward.path", self.path.len(), MAX_PATH)?;
        bounded("forward.content_type", self.content_type.len(), MAX_FIELD)?;
        bounded("forward.body", self.body.len(), MAX_BODY)
    }
}

impl TryFrom<proto::ForwardRequest> for Request {
    type Error = Error;

    fn try_from(raw: proto::ForwardRequest) -> Result<Self> {
        let key = <[u8; 16]>::try_from(raw.key.as_ref()).map_err(|_| Error::Value {
            field: "forward.key",
            expected: "16 bytes",
        })?;
        let request = Self {
            request_id: raw.request_id,
            key: Key {
                workspace: Tag(raw.workspace),
                uuid: u128::from_be_bytes(key),
            },
            priority: priority(raw.priority)?,
            deadline: Millis(raw.deadline_ms),
            method: raw.method,
            path: raw.path,
            content_type: raw.content_type,
            body: raw.body,
            content: raw.content,
        };
        request.check()?;
        Ok(request)
    }
}

fn priority(raw: u32) -> Result<Priority> {
    match u8::try_from(raw) {
        Ok(priority) if raw <= MAX_PRIORITY => Ok(Priority(priority)),
        _ => TooLargeSnafu {
            field: "forward.priority",
            found: usize::try_from(raw).unwrap_or(usize::MAX),
            max: MAX_PRIORITY as usize,
        }
        .fail(),
    }
}

/// `Reply` is the home's answer to a forwarded call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// What became of the action.
    pub outcome: Outcome,
    /// Code of the refusal; `None` for an answer of the endpoint.
    pub code: Option<Code>,
    /// When to come back.
    pub retry_after: Option<Millis>,
    /// Attempts made.
    pub attempts: u32,
    /// HTTP status of the answer; zero for a refusal.
    pub status: u16,
    /// Content type of the answer.
    pub content_type: Bytes,
    /// Body of the answer.
    pub body: Bytes,
    /// Whether it is an earlier answer to the same key.
    pub replayed: bool,
}

impl Reply {
    /// Checks the bounds.
    ///
    /// # Errors
    ///
    /// Refuses a field over its bound.
    pub fn check(&self) -> Result<()> {
        bounded("reply.content_type", self.content_type.len(), MAX_FIELD)?;
        bounded("reply.body", self.body.len(), MAX_BODY)
    }
}

impl From<&Reply> for proto::ForwardReply {
    fn from(reply: &Reply) -> Self {
        let outcome = match reply.outcome {
            Outcome::Done => proto::Outcome::Done,
            Outcome::NotRun => proto::Outcome::NotRun,
            Outcome::Unknown => proto::Outcome::Unknown,
        };
        Self {
            outcome: outcome.into(),
            code: reply.code.map_or_else(String::new, |c| c.to_string()),
            retry_after_ms: reply.retry_after.map(|r| r.0),
            attempts: reply.attempts,
            status: u32::from(reply.status),
            content_type: reply.content_type.clone(),
            body: reply.body.clone(),
            replayed: reply.replayed,
        }
    }
}

impl TryFrom<proto::ForwardReply> for Reply {
    type Error = Error;

    fn try_from(raw: proto::ForwardReply) -> Result<Self> {
        let reply = Self {
            outcome: outcome(raw.outcome())?,
            code: code(&raw.code)?,
            retry_after: raw.retry_after_ms.map(Millis),
            attempts: raw.attempts,
            status: status(raw.status)?,
            content_type: raw.content_type,
            body: raw.body,
            replayed: raw.replayed,
        };
        reply.check()?;
        Ok(reply)
    }
}

fn outcome(raw: proto::Outcome) -> Result<Outcome> {
    match raw {
        proto::Outcome::Done => Ok(Outcome::Done),
        proto::Outcome::NotRun => Ok(Outcome::NotRun),
        proto::Outcome::Unknown => Ok(Outcome::Unknown),
        proto::Outcome::Unspecified => UnknownVariantSnafu {
            field: "reply.outcome",
        }
        .fail(),
    }
}

fn code(raw: &str) -> Result<Option<Code>> {
    if raw.is_empty() {
        return Ok(None);
    }
    let unknown = |_| {
        UnknownVariantSnafu {
            field: "reply.code",
        }
        .build()
    };
    raw.parse().map(Some).map_err(unknown)
}

fn status(raw: u32) -> Result<u16> {
    match u16::try_from(raw) {
        Ok(status) if status == 0 || (100..1000).contains(&status) => Ok(status),
        _ => ValueSnafu {
            field: "reply.status",
            expected: "an HTTP status",
        }
        .fail(),
    }
}
