//! The envelope: who sent a message to whom, its number, and a MAC over all of it.
//!
//! The MAC is HMAC-SHA-256 with the fleet's shared key, cut to 128 bits (RFC 4868, section 2.3).
//! It covers the version, the direction, both routers and both incarnations, the sequence number
//! and the payload, each in a fixed width or with its length, so that no two different envelopes
//! give the same input. docs/design/peer-link.md weighs it against TLS.

use bytes::Bytes;
use hmac::{
    Hmac,
    Mac, //
};
use sha2::Sha256;
use toucanturn_core::{
    ids::Tag,
    units::Incarnation, //
};

use crate::{
    errors::{
        BadMacSnafu,
        Error,
        Result,
        ShortKeySnafu,
        VersionSnafu,
        WrongReceiverSnafu,
        WrongReplySnafu,
        bounded, //
    },
    limits::{
        MAX_PAYLOAD,
        VERSION, //
    },
    proto, //
};

/// Fewest bytes of the fleet's key: as many as the hash gives (RFC 2104, section 3).
pub const MIN_KEY: usize = 32;

/// Bytes of the MAC.
pub const MAC_LEN: usize = 16;

/// Most bytes that an envelope adds to its payload: the fields' keys, two tags, four numbers of
/// ten bytes, the payload's length and the MAC.
pub const OVERHEAD: usize = 2 + 5 + 5 + 3 * 11 + 6 + 2 + MAC_LEN;

/// Bytes that one batch costs over TCP besides its messages: its envelope, the receipt's envelope,
/// and the HTTP/2 frames of both. TCP and IP headers are not in it.
pub const EXCHANGE: usize = 200;

/// Separates this use of the key from any other.
const DOMAIN: &[u8] = b"toucanturn.peer.v1";

/// `Key` is the fleet's shared key.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

impl TryFrom<&[u8]> for Key {
    type Error = Error;

    fn try_from(raw: &[u8]) -> Result<Self> {
        let short = ShortKeySnafu {
            found: raw.len(),
            min: MIN_KEY,
        };
        if raw.len() < MIN_KEY {
            return short.fail();
        }
        Hmac::new_from_slice(raw)
            .map(Self)
            .map_err(|_| short.build())
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

/// `Label` is the direction of a message. A message of one direction never passes for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
#[repr(u8)]
pub enum Label {
    /// A batch of control messages.
    Deliver = 1,
    /// The reply to a batch.
    DeliverReply = 2,
    /// A forwarded call.
    Forward = 3,
    /// The reply to a forwarded call.
    ForwardReply = 4,
}

/// `Header` is what an envelope says besides its payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Sender.
    pub from: Tag,
    /// Receiver.
    pub to: Tag,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The receiver's incarnation; zero while the sender has yet to learn it.
    pub to_incarnation: Incarnation,
    /// Sequence number.
    pub sequence: u64,
}

impl Header {
    /// Makes the header of the reply, sent by the receiver's present `incarnation`.
    pub const fn reply(self, incarnation: Incarnation) -> Self {
        Self {
            from: self.to,
            to: self.from,
            incarnation,
            to_incarnation: self.incarnation,
            sequence: self.sequence,
        }
    }
}

/// Seals a payload into an envelope.
pub fn seal(key: &Key, label: Label, header: Header, payload: Bytes) -> proto::Envelope {
    let tag = mac(key, label, VERSION, header, &payload)
        .finalize()
        .into_bytes();
    proto::Envelope {
        version: VERSION,
        from: header.from.0,
        to: header.to.0,
        incarnation: header.incarnation.0,
        to_incarnation: header.to_incarnation.0,
        sequence: header.sequence,
        payload,
        mac: Bytes::copy_from_slice(&tag[..MAC_LEN]),
    }
}

/// Checks an envelope that reached the router `me`, and gets its header and payload.
///
/// The payload is authentic but may still be a replay ([`crate::window`]) and is not yet decoded.
///
/// # Errors
///
/// Refuses another version, a payload over [`MAX_PAYLOAD`], another receiver and a wrong MAC.
pub fn open(
    key: &Key,
    label: Label,
    me: Tag,
    envelope: proto::Envelope,
) -> Result<(Header, Bytes)> {
    let found = envelope.version;
    if found != VERSION {
        return VersionSnafu { found }.fail();
    }
    bounded("payload", envelope.payload.len(), MAX_PAYLOAD)?;
    let header = Header {
        from: Tag(envelope.from),
        to: Tag(envelope.to),
        incarnation: Incarnation(envelope.incarnation),
        to_incarnation: Incarnation(envelope.to_incarnation),
        sequence: envelope.sequence,
    };
    if header.to != me {
        return WrongReceiverSnafu { found: header.to }.fail();
    }
    let whole = envelope.mac.len() == MAC_LEN;
    // The comparison takes the same time wherever the bytes differ; else a forger could find the
    // MAC byte by byte from the time that a refusal takes.
    let checked =
        mac(key, label, found, header, &envelope.payload).verify_truncated_left(&envelope.mac);
    if !whole || checked.is_err() {
        return BadMacSnafu.fail();
    }
    Ok((header, envelope.payload))
}

/// Checks an envelope that came as the reply to the request `sent`, and gets its header and payload.
///
/// # Errors
///
/// Refuses what [`open`] refuses, and the reply to another request: an old "not processed" must
/// not pass for the answer to a call that was.
pub fn open_reply(
    key: &Key,
    label: Label,
    sent: Header,
    envelope: proto::Envelope,
) -> Result<(Header, Bytes)> {
    let (header, payload) = open(key, label, sent.from, envelope)?;
    if header != sent.reply(header.incarnation) {
        return WrongReplySnafu {
            expected: sent.sequence,
            found: header.sequence,
        }
        .fail();
    }
    Ok((header, payload))
}

fn mac(key: &Key, label: Label, version: u32, header: Header, payload: &[u8]) -> Hmac<Sha256> {
    let mut mac = key.0.clone();
    mac.update(DOMAIN);
    mac.update(&[label as u8]);
    mac.update(&version.to_le_bytes());
    mac.update(&header.from.0.to_le_bytes());
    mac.update(&header.to.0.to_le_bytes());
    mac.update(&header.incarnation.0.to_le_bytes());
    mac.update(&header.to_incarnation.0.to_le_bytes());
    mac.update(&header.sequence.to_le_bytes());
    mac.update(&(payload.len() as u64).to_le_bytes());
    mac.update(payload);
    mac
}
