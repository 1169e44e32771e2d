//! The parts of a chat-completions request that routing needs.

use serde::Deserialize;
use serde_json::value::RawValue;
use toucanturn_core::{
    ids::Tag,
    request::Prefix, //
};

/// `Chat` is a chat-completions request; fields that routing does not need are left alone.
#[derive(Debug, Deserialize)]
pub(super) struct Chat<'a> {
    /// Model asked for.
    pub(super) model: std::borrow::Cow<'a, str>,
    /// Whether the answer shall come as events; null is as absent.
    #[serde(default)]
    pub(super) stream: Option<bool>,
    /// The messages as they were written.
    #[serde(borrow)]
    pub(super) messages: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct Role<'a> {
    #[serde(borrow)]
    role: std::borrow::Cow<'a, str>,
}

impl Chat<'_> {
    /// Gets the hash of the part that stays when the chat returns: everything up to the first
    /// message of the user. A chat that returns with a placement token keeps the token's.
    pub(super) fn prefix(&self, workspace: Tag) -> Prefix {
        let mut hash = xxhash_rust::xxh3::Xxh3::with_seed(u64::from(workspace.0));
        hash.update(self.model.as_bytes());
        for message in &self.messages {
            hash.update(message.get().as_bytes());
            let role = serde_json::from_str::<Role<'_>>(message.get());
            if role.is_ok_and(|r| r.role == "user") {
                break;
            }
        }
        Prefix(hash.digest())
    }
}
