//! Server-sent events (WHATWG HTML, section 9.2), cut at their borders.
//!
//! Only whole events go on to callers: an endpoint may stop in the middle of one, and another that
//! goes on after the last whole event would else leave a torn one in between.

use bytes::{
    Bytes,
    BytesMut, //
};
use toucanturn_core::event_stream::{
    MAX_EVENT,
    event_end, //
};

/// `EventSplitter` cuts a stream of bytes into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
}

/// `Event` is one whole event with its blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its number, if it has one.
    pub id: Option<u64>,
    /// Its bytes.
    pub bytes: Bytes,
}

impl EventSplitter {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
    }

    /// Gets the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = event_end(&self.rest, 0)?;
        let bytes = self.rest.split_to(end).freeze();
        let id = id_of(&bytes);
        Some(Event { id, bytes })
    }

    /// Tells whether bytes of an event that is not whole are left.
    pub fn has_partial(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Tells whether the event that is coming is longer than any may be.
    pub fn is_overlong(&self) -> bool {
        self.rest.len() > MAX_EVENT
    }

    /// Takes what is left.
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
