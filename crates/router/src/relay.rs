//! Server-sent events of one answer: whole events out of bytes, and the end mark.
//!
//! Only whole events are passed on. When a stream breaks inside an event, the caller has whole events
//! up to there, and then an error event.

use bytes::{
    Bytes,
    BytesMut, //
};
use toucanturn_core::event_stream::Boundaries;
pub use toucanturn_core::event_stream::MAX_EVENT_BYTES;

/// `Scanner` cuts a byte stream into events.
#[derive(Debug, Default)]
pub struct Scanner {
    buffer: BytesMut,
    /// Bytes of `buffer` in which no event ends.
    searched: usize,
    boundaries: Boundaries,
    done: bool,
    last: Option<u64>,
}

/// `Oversize` says that an event is longer than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Oversize;

impl Scanner {
    /// Takes bytes in and gives the whole events that they complete, as one piece. What follows the
    /// end mark is no part of the answer and is dropped, except the LF of its last line end.
    ///
    /// # Errors
    ///
    /// Fails when an event is longer than [`MAX_EVENT_BYTES`], however many chunks it came in.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Bytes, Oversize> {
        if self.done {
            let lf = self.boundaries.is_after_cr() && chunk.first() == Some(&b'\n');
            if !chunk.is_empty() {
                self.boundaries = Boundaries::default();
            }
            return Ok(Bytes::from_static(if lf { b"\n" } else { b"" }));
        }
        self.buffer.extend_from_slice(chunk);
        let mut whole = 0;
        while let Some(taken) = self.boundaries.next_end(&self.buffer[self.searched..]) {
            let end = self.searched + taken;
            if end - whole > MAX_EVENT_BYTES {
                return Err(Oversize);
            }
            self.note(whole, end);
            whole = end;
            self.searched = end;
            if self.done && self.buffer.len() > end {
                self.buffer.truncate(end);
                self.boundaries = Boundaries::default();
            }
        }
        self.searched = self.buffer.len() - whole;
        if self.searched > MAX_EVENT_BYTES {
            return Err(Oversize);
        }
        Ok(self.buffer.split_to(whole).freeze())
    }

    /// Tells whether the end mark `data: [DONE]` has come.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Gets the number of the last whole event, where events are numbered.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    fn note(&mut self, from: usize, to: usize) {
        for line in self.buffer[from..to].split(|b| matches!(b, b'\n' | b'\r')) {
            if line
                .strip_prefix(b"data:")
                .is_some_and(|v| v.trim_ascii() == b"[DONE]")
            {
                self.done = true;
            }
            if let Some(number) = line.strip_prefix(b"id:") {
                let text = std::str::from_utf8(number.trim_ascii()).unwrap_or_default();
                self.last = text.parse().ok().or(self.last);
            }
        }
    }
}
