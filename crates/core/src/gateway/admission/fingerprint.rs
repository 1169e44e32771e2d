//! Fingerprints of request contents, to recognise requests that are sent again.
//!
//! A caller that retries uses a new request id. Two requests count as the same if their workspace,
//! method, host, path with query, and body are equal.

use std::fmt;

use bytes::Bytes;
use sha2::{
    Digest as _,
    Sha256, //
};
use xxhash_rust::xxh3::Xxh3;

use crate::ids::Tag;

/// `Content` is the input of a request's fingerprint.
#[derive(Clone, Copy, Debug)]
pub struct Content<'a> {
    /// Workspace that sent it; `None` if it came without a known key on a route that needs none.
    pub workspace: Option<&'a Bytes>,
    /// Method, host, path with query, and body.
    pub parts: [&'a [u8]; 4],
}

/// `Fingerprint` identifies a request's content.
///
/// The workspace's tag is a separate field, so that no workspace can construct a content with the
/// fingerprint of another workspace's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint {
    /// Tag of the workspace; 0 if there is none.
    pub workspace: u32,
    /// First 64 bits of the SHA-256 hash of the content.
    pub content: u64,
}

impl Fingerprint {
    /// Computes the fingerprint of a content.
    pub fn of(content: &Content<'_>) -> Self {
        let mut hash = Sha256::new();
        for part in content.parts {
            // Without the lengths, contents that divide the same bytes differently would have equal
            // fingerprints.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let [a, b, c, d, e, f, g, h, ..] = <[u8; 32]>::from(hash.finalize());
        Self {
            workspace: workspace(content.workspace),
            content: u64::from_le_bytes([a, b, c, d, e, f, g, h]),
        }
    }
}

/// Gets the workspace tag of fingerprints.
pub fn workspace(name: Option<&Bytes>) -> u32 {
    name.map_or(0, |name| Tag::of(name).0)
}

/// Computes a fast hash of a content for use in this process only; `seed` is random and known to no
/// other process.
pub fn keyed_hash(seed: u64, content: &Content<'_>) -> u64 {
    let mut hash = Xxh3::with_seed(seed);
    hash.update(&workspace(content.workspace).to_le_bytes());
    for part in content.parts {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}{:016x}", self.workspace, self.content)
    }
}
