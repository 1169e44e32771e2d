//! Names of configured objects, and the short tags that stand for them in messages between routers.

use bytes::Bytes;
use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer,
    de::Error as _, //
};
use snafu::Snafu;

/// Greatest length of a name in bytes.
pub const MAX_ID_BYTES: usize = 63;

/// `Error` tells why a text is not a valid [`Id`].
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum Error {
    /// The text is empty or too long.
    #[snafu(display("expected 1 to {MAX_ID_BYTES} bytes, found {found}"))]
    Length {
        /// Bytes found.
        found: usize,
    },
    /// The text has a byte that is not allowed in a name.
    #[snafu(display(
        "expected a to z, 0 to 9, '.', '_' or '-' at byte {at}, first a letter or digit"
    ))]
    Byte {
        /// Offset of the byte.
        at: usize,
    },
}

/// `Id` is a validated name: `[a-z0-9][a-z0-9._-]{0,62}`.
///
/// # Invariants
///
/// The bytes are ASCII of that form.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(Bytes);

impl Id {
    /// Gets the name as text.
    pub fn as_str(&self) -> &str {
        // INVARIANT: the bytes are ASCII, so the fallback is never taken.
        std::str::from_utf8(&self.0).unwrap_or_default()
    }

    /// Gets the name's tag.
    pub fn tag(&self) -> Tag {
        Tag::of(&self.0)
    }
}

impl TryFrom<Bytes> for Id {
    type Error = Error;

    fn try_from(raw: Bytes) -> Result<Self, Error> {
        if raw.is_empty() || raw.len() > MAX_ID_BYTES {
            return LengthSnafu { found: raw.len() }.fail();
        }
        let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit();
        let bad = |(at, b): (usize, &u8)| !(plain(*b) || (at > 0 && b"._-".contains(b)));
        match raw.iter().enumerate().position(|(at, b)| bad((at, b))) {
            Some(at) => ByteSnafu { at }.fail(),
            None => Ok(Self(raw)),
        }
    }
}

impl TryFrom<&str> for Id {
    type Error = Error;

    fn try_from(raw: &str) -> Result<Self, Error> {
        Self::try_from(Bytes::copy_from_slice(raw.as_bytes()))
    }
}

impl std::fmt::Debug for Id {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::fmt::Display for Id {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Serialize for Id {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}

impl<'de> Deserialize<'de> for Id {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let raw = String::deserialize(deserializer)?;
        Self::try_from(raw.as_str()).map_err(D::Error::custom)
    }
}

/// `Tag` is a 32-bit hash of a name (XXH3). It stands for the name in messages between routers. A
/// configuration in which two names of the same kind have the same tag is refused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Tag(pub u32);

impl Tag {
    /// Gets the tag of a name's bytes.
    pub fn of(name: &[u8]) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(name);
        Self(u32::try_from(hash & u64::from(u32::MAX)).unwrap_or_default())
    }
}

/// Gets the rendezvous score of `node` for `item`; the node with the greatest score is the
/// item's home (Thaler and Ravishankar, 1998).
pub fn rendezvous(item: u64, node: Tag) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&node.0.to_le_bytes(), item)
}
