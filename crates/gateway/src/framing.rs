//! How the body of an answer ended.

use toucanturn_answer::Framing;

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

impl From<Framing> for BodyEnd {
    /// Returns how a body with this framing has ended if the connection reports its end.
    fn from(framing: Framing) -> Self {
        match framing {
            Framing::Length | Framing::Chunked => BodyEnd::Marked,
            Framing::Close | Framing::Unannounced => BodyEnd::Closed,
        }
    }
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
