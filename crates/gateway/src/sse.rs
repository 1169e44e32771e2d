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
    Boundaries,
    MAX_EVENT_BYTES, //
};

/// Names of the fields of events.
const FIELD_NAMES: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];
/// U+FEFF in UTF-8, which a stream may begin with.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// `EventSplitter` splits a stream of bytes into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
    /// Bytes of `rest` in which no event ends.
    searched: usize,
    boundaries: Boundaries,
    /// Whether the first line of the first event has the form of a field; `None` until the event is complete.
    first_is_field: Option<bool>,
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
        let Some(taken) = self.boundaries.next_end(&self.rest[self.searched..]) else {
            self.searched = self.rest.len();
            return None;
        };
        let bytes = self.rest.split_to(self.searched + taken).freeze();
        self.searched = 0;
        self.first_is_field
            .get_or_insert_with(|| begins_with_field(&bytes));
        let id = id_of(&bytes);
        Some(Event { id, bytes })
    }

    /// Returns whether any bytes have been received.
    pub fn has_begun(&self) -> bool {
        self.first_is_field.is_some() || self.has_partial()
    }

    /// Returns whether the received bytes begin as a stream of events does. A stream without any bytes does.
    pub fn begins_with_field(&self) -> bool {
        self.first_is_field
            .unwrap_or_else(|| begins_with_field(&self.rest))
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
        self.searched = 0;
        self.rest.split().freeze()
    }
}

/// Returns whether the first line that is not blank has the form of a field or comment, or is the beginning of one.
fn begins_with_field(bytes: &[u8]) -> bool {
    let bytes = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
    let mut lines = bytes.split(|b| matches!(b, b'\n' | b'\r'));
    let Some(line) = lines.find(|l| !l.is_empty()) else {
        return true;
    };
    match line.iter().position(|b| *b == b':') {
        Some(end) => line[..end]
            .iter()
            .all(|b| b.is_ascii_lowercase() || *b == b'-'),
        None => FIELD_NAMES.iter().any(|name| name.starts_with(line)),
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| matches!(b, b'\n' | b'\r'));
    let value = lines.filter_map(|l| l.strip_prefix(b"id:")).next_back()?;
    let text = std::str::from_utf8(value).ok()?;
    text.trim().parse().ok()
}
