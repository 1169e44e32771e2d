//! A stream as a client gets it.

use std::{net::SocketAddr, time::Duration};

use crate::http::Connection;

/// `Stream` is what a client got of a stream over its tries.
#[derive(Default)]
pub struct Stream {
    /// Versions of the events, in their order.
    pub versions: Vec<String>,
    /// The last event.
    pub last: u64,
    /// Whether the last try ended as complete.
    pub complete: bool,
    /// Status of the last try; 0 if it got none.
    pub status: u16,
}

impl Stream {
    pub fn is_joined(&self) -> bool {
        self.versions.windows(2).any(|pair| pair[0] != pair[1])
    }
}

/// Makes one try at a router; adds the events that come.
pub fn try_once(stream: &mut Stream, front: SocketAddr, request: &str, limit: Duration) {
    stream.status = 0;
    stream.complete = false;
    let Ok(mut connection) = Connection::open(front) else {
        return;
    };
    let limit = connection.stream.set_read_timeout(Some(limit));
    if limit.is_err() || connection.write(request.as_bytes()).is_err() {
        return;
    }
    let Ok(Some(answer)) = connection.read() else {
        return;
    };
    stream.status = answer.status();
    if stream.status != 200 {
        return;
    }
    stream.complete = answer.whole;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    // An event without its blank line is not whole.
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    for event in whole.split("\n\n").filter(|e| !e.is_empty()) {
        let value = |name| event.lines().find_map(|l| l.strip_prefix(name));
        let number = value("id: ").and_then(|n| n.parse().ok());
        let version = value("data: ").and_then(|d| d.split(' ').next());
        if let (Some(number), Some(version)) = (number, version) {
            stream.last = number;
            stream.versions.push(version.to_owned());
        }
    }
}
