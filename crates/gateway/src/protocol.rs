//! The wire format of requests and answers, as functions that the binary supplies.

use std::net::SocketAddrV4;

use bytes::Bytes;
use http::{
    HeaderMap,
    Response,
    StatusCode,
    request::Parts, //
};
use toucanturn_core::{
    gateway::{
        endpoint::Load,
        incoming_request::{
            IncomingRequest,
            Part, //
        },
        refusal::Refusal, //
    },
    units::Millis,
};

/// `ProtocolAdapter` translates requests and answers. Its functions are stateless and make no decisions.
#[derive(Clone, Copy, Debug)]
pub struct ProtocolAdapter {
    /// Parses a request's head; the error says why it is invalid.
    pub parse_request: fn(&Parts) -> Result<IncomingRequest, &'static str>,
    /// Parses the parts of a prompt as a request lists them; the error says why they are invalid.
    pub parse_parts: fn(&str) -> Result<Vec<Part>, &'static str>,
    /// Builds the header fields of the request to an endpoint from those of the caller.
    pub forward: fn(&HeaderMap, &ForwardContext<'_>) -> HeaderMap,
    /// Builds the header fields of the request to a peer from those of the caller.
    pub hand_off: fn(&HeaderMap) -> HeaderMap,
    /// Parses the header fields of an endpoint's answer.
    pub reply: fn(&HeaderMap) -> ReplyHead,
    /// Builds the header fields of the caller's answer from those of the endpoint.
    pub deliver: fn(&HeaderMap) -> HeaderMap,
    /// Builds the answer to a refused request from the refusal, the request's id and the time after
    /// which the caller may retry.
    pub refuse: fn(&Refusal, &Bytes, Option<Millis>) -> Response<Bytes>,
    /// Tells whether a status promises a caller that its request has not run and never will.
    pub promises_not_run: fn(StatusCode) -> bool,
    /// Path of the readiness check.
    pub ready_path: &'static str,
}

/// `ForwardContext` is what the gateway adds to a caller's header fields for an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ForwardContext<'a> {
    /// Id of the endpoint that the request is addressed to.
    pub endpoint: &'a Bytes,
    /// Workspace of the caller.
    pub workspace: Option<&'a Bytes>,
    /// Time until the final answer is due.
    pub time_left: Millis,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Last event that the caller has received; the endpoint resumes the stream after it.
    pub resume: Option<u64>,
    /// Whether the request is a generation, that is, has a prompt.
    pub generates: bool,
    /// Address of an endpoint from which the KV cache of the prompt's shared parts can be fetched.
    pub holder: Option<SocketAddrV4>,
}

/// `Signature` is what an answer's head says of its endpoint's signature.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Signature {
    /// Nothing: it has no such field.
    #[default]
    Absent,
    /// That an endpoint was to sign it, but the field is empty.
    Empty,
    /// The signature.
    Present,
}

/// `ReplyHead` is what the gateway reads from the head of an endpoint's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplyHead {
    /// Id of the request that it answers; `None` if it names several, or has several signatures.
    pub id: Option<Bytes>,
    /// What the header field says by which an endpoint signs its answers.
    pub signature: Signature,
    /// Whether it states that the request was not run.
    pub rejected: bool,
    /// Whether the body has a content encoding, so something between endpoint and gateway changed it.
    pub encoded: bool,
    /// Load of the endpoint, if stated.
    pub load: Option<Load>,
    /// Time for which the endpoint keeps the connection open while idle, if stated.
    pub idle: Option<Millis>,
    /// Whether the endpoint closes the connection after this answer.
    pub closes: bool,
    /// Whether the endpoint says that it is leaving.
    pub leaving: bool,
    /// Requests that the endpoint may turn away within a second without harm, if it states that it is brittle.
    pub brittle: Option<u32>,
    /// Time for which the endpoint asks for no requests, if stated.
    pub retry_after: Option<Millis>,
}

impl ReplyHead {
    /// Tells whether the answer and its body are those that the endpoint has made.
    pub fn is_endpoints_own(&self) -> bool {
        self.signature == Signature::Present && !self.encoded
    }
}
