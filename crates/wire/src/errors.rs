//! Why a message from another router was refused.

use snafu::Snafu;
use toucanturn_core::{
    ids::Tag,
    units::Incarnation, //
};

/// `Result` is the outcome of reading a message.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` says which field of a message was refused and why. Its name as text
/// (`<&str>::from(&error)`) is stable and labels the counter of refusals.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, strum::IntoStaticStr)]
#[snafu(visibility(pub(crate)))]
#[strum(serialize_all = "snake_case")]
pub enum Error {
    /// The sender speaks another version of the protocol.
    #[snafu(display("version: expected {}, found {found}", crate::limits::VERSION))]
    Version {
        /// Version found.
        found: u32,
    },
    /// The bytes are truncated or no such message.
    #[snafu(display("{field}: {reason}"))]
    Malformed {
        /// Message that was read.
        field: &'static str,
        /// The decoder's reason.
        reason: String,
    },
    /// A field or list is over its bound.
    #[snafu(display("{field}: expected at most {max}, found {found}"))]
    TooLarge {
        /// The field.
        field: &'static str,
        /// Bytes or items found.
        found: usize,
        /// Its bound.
        max: usize,
    },
    /// The variant is missing or of a later version.
    #[snafu(display("{field}: unknown variant"))]
    UnknownVariant {
        /// The field.
        field: &'static str,
    },
    /// Two columns of a table differ in length.
    #[snafu(display("{field}: expected {expected} values, found {found}"))]
    Columns {
        /// The column.
        field: &'static str,
        /// Length of the first column.
        expected: usize,
        /// Length found.
        found: usize,
    },
    /// A value has no meaning.
    #[snafu(display("{field}: expected {expected}"))]
    Value {
        /// The field.
        field: &'static str,
        /// What would do.
        expected: &'static str,
    },
    /// The message is for another router.
    #[snafu(display("to: expected this router's tag, found {:08x}", found.0))]
    WrongReceiver {
        /// Receiver that it names.
        found: Tag,
    },
    /// The MAC does not match: forged, altered, or sealed with another key.
    #[snafu(display("mac: expected the fleet's, found another"))]
    BadMac,
    /// The fleet's key is too short.
    #[snafu(display("key: expected at least {min} bytes, found {found}"))]
    ShortKey {
        /// Bytes found.
        found: usize,
        /// Fewest bytes.
        min: usize,
    },
    /// No router of the configuration has the sender's tag.
    #[snafu(display("from: expected a router of the fleet, found {:08x}", tag.0))]
    UnknownSender {
        /// The sender's tag.
        tag: Tag,
    },
    /// The message names another incarnation of the receiver.
    #[snafu(display("to_incarnation: expected {}, found {}", expected.0, found.0))]
    WrongIncarnation {
        /// Incarnation that it names; zero for none.
        found: Incarnation,
        /// The receiver's.
        expected: Incarnation,
    },
    /// A later incarnation of the sender was heard before.
    #[snafu(display("incarnation: expected at least {}, found {}", expected.0, found.0))]
    FormerLife {
        /// Incarnation found.
        found: Incarnation,
        /// The latest one heard.
        expected: Incarnation,
    },
    /// The sequence number came before.
    #[snafu(display("sequence: {sequence} came before"))]
    Replayed {
        /// Sequence number.
        sequence: u64,
    },
    /// The sequence number is below the window, so that a replay can't be told, or below that of
    /// a later batch.
    #[snafu(display("sequence: expected more than {below}, found {sequence}"))]
    TooOld {
        /// Sequence number.
        sequence: u64,
        /// Highest number refused.
        below: u64,
    },
    /// An authentic reply is to another request than the one that it was given for.
    #[snafu(display("sequence: expected the reply to {expected}, found the one to {found}"))]
    WrongReply {
        /// Sequence number of the request.
        expected: u64,
        /// Sequence number that the reply carries.
        found: u64,
    },
    /// The receiver remembers as many senders as it can.
    #[snafu(display("from: expected at most {} senders", crate::limits::MAX_SENDERS))]
    TooManySenders,
}

/// Checks a length against its bound.
pub(crate) fn bounded(field: &'static str, found: usize, max: usize) -> Result<()> {
    if found > max {
        return TooLargeSnafu { field, found, max }.fail();
    }
    Ok(())
}

/// Decodes a message of Protocol Buffers.
pub(crate) fn decode<M: prost::Message + Default>(
    field: &'static str,
    raw: bytes::Bytes,
) -> Result<M> {
    M::decode(raw).map_err(|e| Error::Malformed {
        field,
        reason: e.to_string(),
    })
}
