//! The messages that wait for one peer.

use std::collections::VecDeque;

use toucanturn_core::peer::Message;
use toucanturn_wire::limits::{
    MAX_MESSAGES,
    MAX_PAYLOAD, //
};

use super::counters::{
    Counters,
    add, //
};

/// `Waiting` is one message and its encoded size.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) message: Message,
    pub(super) size: usize,
}

/// `Queue` holds the messages that wait for one peer, up to a bound.
#[derive(Debug, Default)]
pub(super) struct Queue(VecDeque<Waiting>);

impl Queue {
    /// Puts a message in. A summary takes the place of an older one, which says nothing that the
    /// new one does not; at the bound the oldest message goes, as the one least worth sending.
    pub(super) fn push(&mut self, message: Message, bound: usize, counters: &Counters) {
        let size = toucanturn_wire::size(&message);
        if size > MAX_PAYLOAD {
            add(&counters.oversized, 1);
            return;
        }
        if matches!(message, Message::Summary(_)) {
            let before = self.0.len();
            self.0.retain(|w| !matches!(w.message, Message::Summary(_)));
            add(&counters.replaced, before - self.0.len());
        }
        if self.0.len() >= bound.max(1) {
            self.0.pop_front();
            add(&counters.dropped, 1);
        }
        self.0.push_back(Waiting { message, size });
    }

    /// Takes out as many messages as fit in one envelope, oldest first.
    pub(super) fn take(&mut self) -> Vec<Waiting> {
        let mut room = MAX_PAYLOAD;
        let mut fits = 0;
        for waiting in self.0.iter().take(MAX_MESSAGES) {
            let Some(left) = room.checked_sub(waiting.size) else {
                break;
            };
            room = left;
            fits += 1;
        }
        self.0.drain(..fits).collect()
    }

    /// Drops all that waits and gets its number.
    pub(super) fn clear(&mut self) -> usize {
        let lost = self.0.len();
        self.0.clear();
        lost
    }
}
