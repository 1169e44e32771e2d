//! Borders of server-sent events (WHATWG HTML, section 9.2), for all that forward them whole.

use bytes::Buf as _;

/// Largest single event in bytes; a longer one breaks the answer.
pub const MAX_EVENT: usize = 1 << 20;

/// Finds the end of the first event after `from`: a blank line (WHATWG HTML, section 9.2.6).
pub fn event_end(buffer: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(found) = buffer.get(at..)?.iter().position(|b| *b == b'\n') {
        let next = at + found + 1;
        let mut rest = buffer.get(next..)?;
        if rest.first() == Some(&b'\r') {
            rest.advance(1);
        }
        if rest.first() == Some(&b'\n') {
            return Some(buffer.len() - rest.len() + 1);
        }
        at = next;
    }
    None
}
