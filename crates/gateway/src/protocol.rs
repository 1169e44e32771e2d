//! How requests and answers look on the wire, as functions that a program brings along.

use std::net::SocketAddrV4;

use bytes::Bytes;
use http::{
    HeaderMap,
    Response,
    request::Parts, //
};
use toucanturn_core::{
    gateway::{
        ask::Ask,
        endpoint::Load,
        refusal::Refusal, //
    },
    units::Millis,
};

/// `ProtocolAdapter` translates requests and answers. Its functions decide nothing and keep nothing.
#[derive(Clone, Copy, Debug)]
pub struct ProtocolAdapter {
    /// Reads a request's head; the error says what is wrong with it.
    pub ask: fn(&Parts) -> Result<Ask, &'static str>,
    /// Makes the head's fields for an endpoint.
    pub forward: fn(&HeaderMap, &ForwardContext<'_>) -> HeaderMap,
    /// Reads the head of an endpoint's answer.
    pub reply: fn(&HeaderMap) -> ReplyHead,
    /// Makes the head's fields for the caller.
    pub deliver: fn(&HeaderMap) -> HeaderMap,
    /// Makes the answer to a request that is given up; with the time after which it may come back.
    pub refuse: fn(&Refusal, &Bytes, Option<Millis>) -> Response<Bytes>,
    /// Path that tells whether callers may be sent here.
    pub ready_path: &'static str,
}

/// `ForwardContext` is what an endpoint is told besides the caller's own fields.
#[derive(Clone, Copy, Debug)]
pub struct ForwardContext<'a> {
    /// Name of the endpoint that is meant.
    pub endpoint: &'a Bytes,
    /// Workspace of the caller.
    pub workspace: Option<&'a Bytes>,
    /// How long the answer is waited for.
    pub time_left: Millis,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Last event that the caller has, where an earlier attempt got that far.
    pub resume: Option<u64>,
    /// Whether the request is a generation.
    pub generates: bool,
    /// Endpoint from which the cache of the prompt's shared parts may be fetched.
    pub holder: Option<SocketAddrV4>,
}

/// `ReplyHead` is what the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplyHead {
    /// Identity of the request that it answers.
    pub id: Option<Bytes>,
    /// Whether it bears the endpoint's signature.
    pub sealed: bool,
    /// Whether it says that the request was not run.
    pub rejected: bool,
    /// Whether the body was changed on the way.
    pub encoded: bool,
    /// Load of the endpoint.
    pub load: Option<Load>,
    /// How long the connection may stay idle.
    pub idle: Option<Millis>,
    /// Whether the connection ends with this answer.
    pub closes: bool,
}
