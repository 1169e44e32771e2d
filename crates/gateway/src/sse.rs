//! Splits a stream of server-sent events (WHATWG HTML, section 9.2) into events.
//!
//! Only complete events are forwarded to callers. An endpoint may fail in the middle of an event; if the caller had
//! received its first part, an endpoint that resumes after the last complete event would leave a truncated event
//! in the stream.

use bytes::{
    Bytes,
    BytesMut, //
};
use toucanturn_core::event_stream::{
    MAX_EVENT_BYTES,
    event_end, //
};

/// `EventSplitter` splits a stream of bytes into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
}

/// `Event` is a complete event with its terminating blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has a numeric one.
    pub id: Option<u64>,
    /// Its bytes.
    pub bytes: Bytes,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = event_end(&self.rest, 0)?;
        let bytes = self.rest.split_to(end).freeze();
        let id = id_of(&bytes);
        Some(Event { id, bytes })
    }

    /// Returns whether bytes are left that are not a complete event.
    pub fn has_partial(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Returns the number of bytes that are not a complete event.
    pub fn partial_len(&self) -> usize {
        self.rest.len()
    }

    /// Returns whether the incomplete event already exceeds [`MAX_EVENT_BYTES`].
    pub fn is_overlong(&self) -> bool {
        self.rest.len() > MAX_EVENT_BYTES
    }

    /// Takes the remaining bytes.
    pub fn rest(&mut self) -> Bytes {
        self.rest.split().freeze()
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let value = lines.filter_map(|l| l.strip_prefix(b"id:")).next_back()?;
    let text = std::str::from_utf8(value).ok()?;
    text.trim().parse().ok()
}
