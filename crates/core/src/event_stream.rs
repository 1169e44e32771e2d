//! Finds the boundaries of server-sent events (WHATWG HTML, section 9.2), so that streams are
//! forwarded in whole events.

use memchr::memchr2;

/// Greatest size of an event in bytes; a larger one makes the answer count as broken.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// `Boundaries` finds the ends of events in a stream of bytes, however the stream is cut.
///
/// A line ends with CR LF, LF or CR, and an event with a blank line (section 9.2.6).
#[derive(Clone, Copy, Debug, Default)]
pub struct Boundaries {
    /// Whether the current line has any bytes.
    in_line: bool,
    /// Whether the current event has any bytes.
    in_event: bool,
    /// Whether the last byte was a CR. An LF that follows belongs to the same line end.
    after_cr: bool,
}

impl Boundaries {
    /// Takes the next bytes of the stream up to the first end of an event, and returns how many bytes those are;
    /// `None` if no event ends there and all bytes were taken.
    ///
    /// An event whose blank line is a CR ends there. If its LF comes only with the next bytes, that is returned as an
    /// event of its own, which has no fields.
    pub fn next_end(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut at = 0;
        while let Some(rest) = bytes.get(at..).filter(|rest| !rest.is_empty()) {
            let text = memchr2(b'\n', b'\r', rest).unwrap_or(rest.len());
            if text > 0 {
                self.in_line = true;
                self.in_event = true;
                self.after_cr = false;
                at += text;
                continue;
            }
            let cr = rest[0] == b'\r';
            let lf_of_cr = std::mem::replace(&mut self.after_cr, cr) && !cr;
            let ends_event = match lf_of_cr {
                true => !self.in_event,
                false => !std::mem::take(&mut self.in_line),
            };
            self.in_event = !ends_event;
            at += 1;
            if ends_event {
                let lf_follows = cr && bytes.get(at) == Some(&b'\n');
                self.after_cr &= !lf_follows;
                return Some(at + usize::from(lf_follows));
            }
        }
        None
    }

    /// Returns whether the last byte was a CR, whose LF may follow.
    pub const fn is_after_cr(&self) -> bool {
        self.after_cr
    }
}
