//! The reply to a batch or a forwarded call.

use bytes::Bytes;
use prost::Message as _;

use crate::{
    errors::{
        Error,
        Result,
        UnknownVariantSnafu,
        decode, //
    },
    forward::Reply,
    proto::{
        self,
        receipt::Kind, //
    },
};

/// `Refusal` says why a request was not processed. It is a promise: the receiver has used up the
/// request's sequence number or never processes a request that names no incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// It named another incarnation of the receiver, or none.
    WrongIncarnation,
    /// The receiver's configuration does not list the sender.
    UnknownSender,
    /// The receiver is at its limit.
    Busy,
    /// The payload is malformed or over a bound.
    Malformed,
}

/// `Receipt` is the payload of every reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The batch was taken in.
    Accepted,
    /// The request was not processed.
    Refused(Refusal),
    /// The forwarded call was answered.
    Reply(Reply),
}

impl Receipt {
    /// Encodes the receipt as a payload.
    pub fn encode(&self) -> Bytes {
        let kind = match self {
            Self::Accepted => Kind::Accepted(proto::Accepted {}),
            Self::Refused(refusal) => Kind::Refused(proto::Refused {
                reason: proto::Refusal::from(*refusal).into(),
            }),
            Self::Reply(reply) => Kind::Reply(reply.into()),
        };
        Bytes::from(proto::Receipt { kind: Some(kind) }.encode_to_vec())
    }

    /// Decodes a payload.
    ///
    /// # Errors
    ///
    /// Refuses malformed bytes, unknown variants and fields over their bounds.
    pub fn decode(payload: Bytes) -> Result<Self> {
        let raw: proto::Receipt = decode("receipt", payload)?;
        match raw.kind {
            Some(Kind::Accepted(_)) => Ok(Self::Accepted),
            Some(Kind::Refused(refused)) => refused.reason().try_into().map(Self::Refused),
            Some(Kind::Reply(reply)) => reply.try_into().map(Self::Reply),
            None => UnknownVariantSnafu {
                field: "receipt.kind",
            }
            .fail(),
        }
    }
}

impl From<Refusal> for proto::Refusal {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::WrongIncarnation => Self::WrongIncarnation,
            Refusal::UnknownSender => Self::UnknownSender,
            Refusal::Busy => Self::Busy,
            Refusal::Malformed => Self::Malformed,
        }
    }
}

impl TryFrom<proto::Refusal> for Refusal {
    type Error = Error;

    fn try_from(raw: proto::Refusal) -> Result<Self> {
        match raw {
            proto::Refusal::WrongIncarnation => Ok(Self::WrongIncarnation),
            proto::Refusal::UnknownSender => Ok(Self::UnknownSender),
            proto::Refusal::Busy => Ok(Self::Busy),
            proto::Refusal::Malformed => Ok(Self::Malformed),
            proto::Refusal::Unspecified => UnknownVariantSnafu {
                field: "refused.reason",
            }
            .fail(),
        }
    }
}
