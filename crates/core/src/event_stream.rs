//! Finds the boundaries of server-sent events (WHATWG HTML, section 9.2), so that streams are
//! forwarded in whole events.

use bytes::Buf as _;

/// Greatest size of an event in bytes; a larger one makes the answer count as broken.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Finds the end of the first event after `from`, which is a blank line (WHATWG HTML, section
/// 9.2.6).
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
