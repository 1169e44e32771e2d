//! Which requests have the same content, whatever their ids.
//!
//! A caller's repeat has a new id. What makes it the same request is its workspace, method, host, path with
//! query, and body.

use std::fmt;

use bytes::Bytes;
use sha2::{
    Digest as _,
    Sha256, //
};
use xxhash_rust::xxh3::Xxh3;

use crate::ids::Tag;

/// `Content` is what a request's fingerprint is made of.
#[derive(Clone, Copy, Debug)]
pub struct Content<'a> {
    /// Workspace that sent it; `None` on routes open to everybody.
    pub workspace: Option<&'a Bytes>,
    /// Method, host, path with query, and body.
    pub parts: [&'a [u8]; 4],
}

/// `Fingerprint` names a request's content.
///
/// The workspace's tag is a part of its own: no content that one workspace chooses has the fingerprint of
/// another one's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint {
    /// Tag of the workspace; 0 on routes open to everybody.
    pub workspace: u32,
    /// The first 64 bits of the content's SHA-256.
    pub content: u64,
}

impl Fingerprint {
    /// Gets the fingerprint of a content.
    pub fn of(content: &Content<'_>) -> Self {
        let mut hash = Sha256::new();
        for part in content.parts {
            // Without the lengths, bytes could move from one part to the next unseen.
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

/// Gets the part of fingerprints that tells the workspace.
pub fn workspace(name: Option<&Bytes>) -> u32 {
    name.map_or(0, |name| Tag::of(name).0)
}

/// Gets a quick hash of a content for this process alone, which has a `seed` that nobody else knows.
pub fn quick(seed: u64, content: &Content<'_>) -> u64 {
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
