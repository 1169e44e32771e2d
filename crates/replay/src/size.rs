//! Bytes of messages between routers.

use bytes::Bytes;
use toucanturn_core::peer::{
    Change,
    Entry,
    Message, //
};

/// Estimates the encoded length of a message with its frame; the wire crate has the exact one.
pub fn estimated(message: &Message) -> usize {
    const FRAME: usize = 40;
    let change = |c: &Change| -> usize {
        let value = |v: &Option<Bytes>| v.as_ref().map_or(0, Bytes::len);
        let entry = |e: &Entry| 8 + e.key.len() + value(&e.value);
        c.entries.iter().map(entry).sum()
    };
    let body = match message {
        Message::Summary(s) => 8 + s.loads.len() * 9 + s.leaving.len() * 16 + s.reports.len() * 22,
        Message::Push(c) => 8 + change(c),
        _ => 16,
    };
    FRAME + body
}

/// Gets the name of a message's kind.
pub(crate) fn kind(message: &Message) -> &'static str {
    match message {
        Message::Summary(_) => "summary",
        Message::Pull { .. } | Message::Push(_) => "configuration",
        Message::Ask { .. } | Message::Grant { .. } => "limits",
        _ => "lease",
    }
}
