//! Placement tokens: they travel with the caller and say which engines hold its chat's prefix, so
//! that no router has to remember millions of chats.
//!
//! A token is 44 bytes in base64 (RFC 4648, section 5): prefix, last engine, its incarnation, the
//! engine before, and the first 16 bytes of an HMAC-SHA256 over these and the workspace, so that
//! no workspace can use another's.

use base64::{
    Engine as _,
    engine::general_purpose::URL_SAFE_NO_PAD, //
};
use hmac::{
    Hmac,
    Mac, //
};
use sha2::Sha256;
use toucanturn_core::{
    ids::Tag,
    request::{
        Prefix,
        Token, //
    },
    units::Incarnation,
};

const FIELDS: usize = 24;
const MAC: usize = 16;

/// `Key` signs and checks placement tokens.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

impl Key {
    /// Makes a key from secret bytes.
    pub fn new(secret: &[u8]) -> Self {
        // HMAC takes keys of any length (RFC 2104, section 3).
        let mac = Hmac::new_from_slice(secret);
        Self(mac.unwrap_or_else(|_| Hmac::<Sha256>::new(&Default::default())))
    }

    /// Writes a token for a chat of a workspace.
    pub fn sign(&self, workspace: Tag, prefix: Prefix, token: Token) -> String {
        let mut raw = Vec::with_capacity(FIELDS + MAC);
        raw.extend_from_slice(&prefix.0.to_le_bytes());
        raw.extend_from_slice(&token.last.0.to_le_bytes());
        raw.extend_from_slice(&token.incarnation.0.to_le_bytes());
        raw.extend_from_slice(&token.before.unwrap_or_default().0.to_le_bytes());
        let tag = self.mac(workspace, &raw).finalize().into_bytes();
        raw.extend_from_slice(&tag[..MAC]);
        URL_SAFE_NO_PAD.encode(raw)
    }

    /// Reads a token; `None` when it is not one of this fleet's for this workspace.
    pub fn check(&self, workspace: Tag, text: &[u8]) -> Option<(Prefix, Token)> {
        let raw = URL_SAFE_NO_PAD.decode(text).ok()?;
        let (fields, tag) = raw.split_at_checked(FIELDS)?;
        if tag.len() != MAC {
            return None;
        }
        self.mac(workspace, fields)
            .verify_truncated_left(tag)
            .ok()?;
        let word = |at: usize| Some(u32::from_le_bytes(fields.get(at..at + 4)?.try_into().ok()?));
        let long = |at: usize| Some(u64::from_le_bytes(fields.get(at..at + 8)?.try_into().ok()?));
        let before = Some(Tag(word(20)?)).filter(|t| *t != Tag::default());
        let token = Token {
            last: Tag(word(8)?),
            incarnation: Incarnation(long(12)?),
            before,
        };
        Some((Prefix(long(0)?), token))
    }

    fn mac(&self, workspace: Tag, fields: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(&workspace.0.to_le_bytes());
        mac.update(fields);
        mac
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}
