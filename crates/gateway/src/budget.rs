//! How the memory and the descriptors of the process are divided.
//!
//! Messages have accounts ([`Memory`](crate::memory::Memory)); what each connection takes beside them is bounded by the
//! number of connections. The parts together are at most the memory of the process.

use crate::settings::PublishedBounds;

const MEBIBYTE: u64 = 1 << 20;
const KIBIBYTE: u64 = 1 << 10;

/// `Side` is how the connections of a listener are bounded whatever their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Side {
    /// Bytes that the kernel holds of what a connection has received. It doubles the value for its own records.
    pub(crate) receive_bytes: u32,
    /// Bytes that the kernel holds of what a connection has still to send.
    pub(crate) send_bytes: u32,
    /// Connections that may wait to be accepted. Beyond it the kernel drops the opening packet, which the other side
    /// sends again after a second.
    pub(crate) backlog: u32,
}

/// Connections of callers.
pub const CALLERS: Side = Side {
    receive_bytes: 24 << 10,
    send_bytes: 16 << 10,
    backlog: 512,
};
/// Connections of peers, and of checks.
pub const INTERNAL: Side = Side {
    receive_bytes: 16 << 10,
    send_bytes: 16 << 10,
    backlog: 64,
};

/// Smallest read buffer that the HTTP library accepts, in bytes.
pub(crate) const MIN_READ_BUFFER_BYTES: usize = 8192;
/// Head of a request of a peer beyond that of the caller's request that it hands on, in bytes.
pub(crate) const HAND_OFF_HEAD_BYTES: usize = 8192;

/// Fraction of the memory that answers may hold, and that requests may hold: a quarter each.
const MESSAGE_DIVISOR: u64 = 4;
/// Memory of the process beside messages and connections, in mebibytes.
const PROCESS_MB: u64 = 16;
/// Connections may hold at least this fraction of the memory, an eighth.
const CONNECTION_DIVISOR: u64 = 8;
/// Part of the connections' memory that is for peers and checks, a third.
const INTERNAL_MEMORY_DIVISOR: u64 = 3;
/// Part of the descriptors that is for peers and checks, an eighth.
const INTERNAL_DESCRIPTOR_DIVISOR: u64 = 8;
/// Bytes of a connection's task, the HTTP library's state included, and of its socket.
const TASK_BYTES: u64 = 8 * KIBIBYTE;
/// Read buffers of a connection: one that is being filled, and one that holds a body that is in no account.
const READ_BUFFERS: u64 = 2;
/// Descriptors for files, listeners, the registry and the platform.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Part of the other descriptors that is for callers, one half; the rest is for endpoints and for peers that requests
/// are handed to.
const CALLER_DIVISOR: u64 = 2;
/// Connections for checks.
pub(crate) const MAX_CHECKS: usize = 16;
/// Fewest connections that callers may open, and that peers may.
const MIN_CONNECTIONS: u64 = 16;

/// `Budget` is how much of the process's memory and descriptors each part may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Budget {
    /// Bytes of answers, and of requests' bodies.
    pub(crate) messages: usize,
    /// Bytes of callers' connections, and of those of peers and checks.
    callers: u64,
    internal: u64,
    /// Descriptors of callers' connections, and of those of peers and checks.
    caller_descriptors: u64,
    internal_descriptors: u64,
}

impl Budget {
    /// Divides what the process may use: the descriptors that the operating system allows, and what the settings say.
    pub fn new(bounds: &PublishedBounds, allowed_descriptors: u64) -> Self {
        let memory = bounds.memory_mb.saturating_mul(MEBIBYTE);
        let messages = memory / MESSAGE_DIVISOR;
        let fixed = PROCESS_MB * MEBIBYTE + backlog_bytes();
        let connections = (memory - 2 * messages)
            .saturating_sub(fixed)
            .max(memory / CONNECTION_DIVISOR);
        let descriptors = bounds
            .max_descriptors
            .map_or(allowed_descriptors, |most| most.min(allowed_descriptors));
        let descriptors = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        Self {
            messages: usize::try_from(messages).unwrap_or(usize::MAX),
            callers: connections - connections / INTERNAL_MEMORY_DIVISOR,
            internal: connections / INTERNAL_MEMORY_DIVISOR,
            caller_descriptors: (descriptors - descriptors / INTERNAL_DESCRIPTOR_DIVISOR)
                / CALLER_DIVISOR,
            internal_descriptors: descriptors / INTERNAL_DESCRIPTOR_DIVISOR,
        }
    }

    /// Gets how many connections callers may open whose heads have at most so many bytes.
    pub fn most_callers(&self, head: usize) -> usize {
        most((self.callers, self.caller_descriptors), CALLERS, head)
    }

    /// Gets how many connections peers may open if the heads of callers have at most so many bytes.
    pub fn most_peers(&self, head: usize) -> usize {
        let head = peer_head(head);
        most((self.internal, self.internal_descriptors), INTERNAL, head)
            .saturating_sub(MAX_CHECKS)
            .max(MAX_CHECKS)
    }

    /// Gets the most bytes that the process takes if the heads of callers have at most so many bytes.
    pub fn bytes(&self, head: usize) -> u64 {
        let count = |most: usize| u64::try_from(most).unwrap_or(u64::MAX);
        let callers = count(self.most_callers(head)) * connection_bytes(CALLERS, head);
        let internal = count(self.most_peers(head) + MAX_CHECKS);
        let internal = internal * connection_bytes(INTERNAL, peer_head(head));
        let messages = 2 * count(self.messages);
        PROCESS_MB * MEBIBYTE + backlog_bytes() + messages + callers + internal
    }
}

/// Gets how many connections fit into memory and descriptors.
fn most((bytes, descriptors): (u64, u64), side: Side, head: usize) -> usize {
    let fitting = (bytes / connection_bytes(side, head)).min(descriptors);
    usize::try_from(fitting.max(MIN_CONNECTIONS)).unwrap_or(usize::MAX)
}

/// Gets the most bytes that a connection takes, those in the kernel included.
fn connection_bytes(side: Side, head: usize) -> u64 {
    let buffer = u64::try_from(read_buffer(head)).unwrap_or(u64::MAX);
    buffer
        .saturating_mul(READ_BUFFERS)
        .saturating_add(TASK_BYTES + u64::from(side.receive_bytes) + u64::from(side.send_bytes))
}

/// Gets the most bytes that connections take while they wait to be accepted, of all listeners.
fn backlog_bytes() -> u64 {
    let bytes = |side: Side| u64::from(side.backlog) * u64::from(side.receive_bytes);
    bytes(CALLERS) + 2 * bytes(INTERNAL)
}

/// Gets the longest head of a peer's request if the heads of callers have at most so many bytes.
pub(crate) fn peer_head(head: usize) -> usize {
    head.saturating_add(HAND_OFF_HEAD_BYTES)
}

/// Gets the size of a connection's read buffer that holds a head of so many bytes.
pub(crate) fn read_buffer(head: usize) -> usize {
    head.max(MIN_READ_BUFFER_BYTES)
}

/// Gets how many descriptors the operating system lets the process open.
pub(crate) fn allowed_descriptors() -> u64 {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current.unwrap_or(u64::MAX)
}
