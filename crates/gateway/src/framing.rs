//! How the end of an answer's body is marked (RFC 9112, section 6.3), and how the body ended.

use http::{
    header,
    response::Parts, //
};
use hyper::body::{
    Body as _,
    Incoming, //
};

/// `Framing` is how the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Framing {
    /// By a length in the head.
    Length,
    /// By a last chunk.
    Chunked,
    /// By the end of the connection, which a broken-off body has as well.
    Close,
}

impl Framing {
    /// Returns the framing of an answer whose body has not been read.
    pub(crate) fn of(head: &Parts, body: &Incoming) -> Self {
        let codings = head.headers.get_all(header::TRANSFER_ENCODING);
        let last = codings.iter().next_back().and_then(|v| v.to_str().ok());
        let last = last.and_then(|v| v.rsplit(',').next());
        if body.size_hint().exact().is_some() {
            Framing::Length
        } else if last.is_some_and(|c| c.trim().eq_ignore_ascii_case("chunked")) {
            Framing::Chunked
        } else {
            Framing::Close
        }
    }

    /// Returns how a body with this framing has ended if the connection reports its end.
    pub(crate) fn end(self) -> BodyEnd {
        match self {
            Framing::Length | Framing::Chunked => BodyEnd::Marked,
            Framing::Close => BodyEnd::Closed,
        }
    }
}

/// `BodyEnd` is how a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum BodyEnd {
    /// With the end mark of its framing.
    Marked,
    /// With its connection, closed without a reset.
    Closed,
    /// Its connection was reset, or closed before the end mark.
    Lost,
    /// Nothing came for too long.
    Silent,
    /// It, or one of its events, is longer than the limit.
    Overlong,
}

/// `Received` is what has been received of an attempt's answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Received {
    pub(crate) framing: Framing,
    /// How the body ended, if it has.
    pub(crate) end: Option<BodyEnd>,
    /// Whole events.
    pub(crate) events: u64,
    /// Bytes after the last whole event.
    pub(crate) partial: usize,
}

impl Received {
    /// Creates the state of an answer whose head has been received.
    pub(crate) fn new(framing: Framing) -> Self {
        Self {
            framing,
            end: None,
            events: 0,
            partial: 0,
        }
    }
}
