//! What accompanies a request that a router hands to a peer, as text of a header field.
//!
//! The request itself is an HTTP request as its caller sent it. The field holds a sealed message with
//! the hash of that request, so that only a router of the fleet can make one. The peer numbers its
//! connections and the requests on each, so a copied one is of no use on another connection or a
//! second time.

use base64::{
    Engine as _,
    engine::general_purpose::URL_SAFE_NO_PAD as TEXT, //
};
use bytes::Bytes;
use prost::Message as _;
use sha2::{
    Digest as _,
    Sha256, //
};
use snafu::{
    OptionExt as _,
    ResultExt as _,
    ensure, //
};
use toucanturn_core::{
    gateway::{
        handoff::{
            Grant,
            PeerReport, //
        },
        origin::{
            Build,
            Origin, //
        },
        refusal::Cause,
    },
    ids::Tag,
    units::Millis,
};

use crate::gossip::{
    self,
    CodecSnafu,
    PartSnafu,
    Result,
    Secret,
    proto, //
};

/// Longest text of a field; a longer one is refused unread.
pub const MAX_FIELD_BYTES: usize = 1024;
/// Limit of the endpoints that a message names.
pub const MAX_TRIED: usize = 32;

/// SHA-256 of a request.
pub type ContentHash = [u8; 32];

/// `Position` is the place of a request in its connection between two routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Number that the receiver has given the connection.
    pub session: u64,
    /// Number of the request on it.
    pub number: u64,
}

/// `Handoff` is what accompanies a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handoff {
    /// Its place.
    pub position: Position,
    /// Its hash.
    pub content: ContentHash,
    /// What the receiver may do.
    pub grant: Grant,
}

/// Hashes the parts of a request, each with its length.
pub fn content_hash(parts: &[&[u8]]) -> ContentHash {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update(u64::try_from(part.len()).unwrap_or(u64::MAX).to_le_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

/// Encodes and seals what accompanies a request.
pub fn encode(handoff: &Handoff, secret: &Secret, epoch: u64) -> String {
    let grant = &handoff.grant;
    let (origin, build) = match grant.origin {
        Origin::New => (proto::Origin::New, 0),
        Origin::Build(Build(build)) => (proto::Origin::Build, build),
        Origin::Unknown => (proto::Origin::Unknown, 0),
    };
    let message = proto::Handoff {
        session: handoff.position.session,
        number: handoff.position.number,
        content: Bytes::copy_from_slice(&handoff.content),
        version: grant.version,
        time_left_ms: grant.time_left.0,
        attempts: grant.attempts,
        retry: grant.retry,
        resume: grant.resume,
        tried: grant.tried.iter().take(MAX_TRIED).map(|t| t.0).collect(),
        origin: origin.into(),
        build,
    };
    TEXT.encode(gossip::seal(secret, epoch, message.encode_to_vec()))
}

/// Opens and decodes what accompanies a request; `secret` finds that of an epoch.
///
/// # Errors
///
/// Not of this protocol, of an unknown epoch, not made with its secret, or out of bounds.
pub fn decode(text: &[u8], secret: impl Fn(u64) -> Option<Secret>) -> Result<Handoff> {
    let sealed = bytes_of(text)?;
    let (_, payload) = gossip::open(&sealed, secret)?;
    let raw = proto::Handoff::decode(payload).context(CodecSnafu)?;
    let content = raw.content.as_ref().try_into().ok();
    let content = content.context(PartSnafu { what: "a hash" })?;
    // A kind of origin that this version does not know restricts more than those that it knows.
    let origin = match proto::Origin::try_from(raw.origin) {
        Ok(proto::Origin::New | proto::Origin::OnlyBuild) => Origin::New,
        Ok(proto::Origin::Build) => Origin::Build(Build(raw.build)),
        Ok(proto::Origin::Unknown) | Err(_) => Origin::Unknown,
    };
    Ok(Handoff {
        position: Position {
            session: raw.session,
            number: raw.number,
        },
        content,
        grant: Grant {
            version: raw.version,
            time_left: Millis(raw.time_left_ms),
            attempts: raw.attempts,
            retry: raw.retry,
            resume: raw.resume,
            origin,
            tried: tags(&raw.tried)?,
        },
    })
}

/// Encodes a report.
pub fn encode_report(report: &PeerReport) -> String {
    let message = proto::Report {
        tried: report.tried.iter().take(MAX_TRIED).map(|t| t.0).collect(),
        refused: report.refused.map(|c| c.to_string()).unwrap_or_default(),
        build: report.build.map(|b| b.0),
    };
    TEXT.encode(message.encode_to_vec())
}

/// Decodes a report.
///
/// # Errors
///
/// Not a report, or out of bounds.
pub fn decode_report(text: &[u8]) -> Result<PeerReport> {
    let bytes = bytes_of(text)?;
    let raw = proto::Report::decode(bytes.as_slice()).context(CodecSnafu)?;
    let refused = match raw.refused.as_str() {
        "" => None,
        // A cause of another version: the rest of the report counts all the same.
        cause => Some(cause.parse().unwrap_or(Cause::NoEndpoint)),
    };
    Ok(PeerReport {
        tried: tags(&raw.tried)?,
        refused,
        build: raw.build.map(Build),
    })
}

fn bytes_of(text: &[u8]) -> Result<Vec<u8>> {
    let what = "a short field of base64url";
    ensure!(text.len() <= MAX_FIELD_BYTES, PartSnafu { what });
    TEXT.decode(text).ok().context(PartSnafu { what })
}

fn tags(raw: &[u32]) -> Result<Vec<Tag>> {
    let what = "a bounded number of endpoints";
    ensure!(raw.len() <= MAX_TRIED, PartSnafu { what });
    Ok(raw.iter().map(|t| Tag(*t)).collect())
}
