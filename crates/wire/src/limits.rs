//! Bounds of what one router takes from another. A message over a bound is refused whole.

/// Version of the protocol.
pub const VERSION: u32 = 1;

/// Bytes of one payload. A snapshot of the configuration goes in one message, and the
/// configuration service holds values of up to [`MAX_VALUE`].
pub const MAX_PAYLOAD: usize = 8 << 20;

/// Bytes of one envelope as it is received: the payload and room for the rest.
pub const MAX_ENVELOPE: usize = MAX_PAYLOAD + 256;

/// Messages of one batch.
pub const MAX_MESSAGES: usize = 64;

/// Endpoints of each list of one summary.
pub const MAX_ROWS: usize = 16_384;

/// Entries of one configuration change.
pub const MAX_ENTRIES: usize = 65_536;

/// Bytes of one configuration key.
pub const MAX_KEY: usize = 512;

/// Bytes of one configuration value.
pub const MAX_VALUE: usize = 1 << 20;

/// Bytes of a forwarded body, in either direction.
pub const MAX_BODY: usize = 4 << 20;

/// Bytes of a forwarded path with its query.
pub const MAX_PATH: usize = 8 << 10;

/// Bytes of a forwarded request id, method or content type.
pub const MAX_FIELD: usize = 256;

/// Highest priority.
pub const MAX_PRIORITY: u32 = 9;

/// Senders whose sequence numbers a receiver remembers.
pub const MAX_SENDERS: usize = 4096;
