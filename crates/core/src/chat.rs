//! The parts of a chat-completions request that routing needs.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{
    ids::Tag,
    request::Prefix, //
};

/// `Chat` is a chat-completions request; fields that routing does not need are left alone.
#[derive(Debug, Deserialize)]
pub struct Chat<'a> {
    /// Model asked for.
    pub model: Cow<'a, str>,
    /// Whether the answer shall come as events; null is as absent.
    #[serde(default)]
    pub stream: Option<bool>,
    /// The messages as they were written.
    #[serde(borrow)]
    pub messages: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct Role<'a> {
    #[serde(borrow)]
    role: Cow<'a, str>,
}

impl Chat<'_> {
    /// Gets the chat's prefix. A chat that returns with a placement token keeps the token's.
    pub fn prefix(&self, workspace: Tag) -> Prefix {
        prefix(workspace, &self.model, &self.messages)
    }
}

/// Hashes the part of a chat that stays when it returns: the model and all messages up to the first
/// one of the user.
pub fn prefix(workspace: Tag, model: &str, messages: &[&RawValue]) -> Prefix {
    let mut hash = xxhash_rust::xxh3::Xxh3::with_seed(u64::from(workspace.0));
    hash.update(model.as_bytes());
    for message in messages {
        hash.update(message.get().as_bytes());
        let role = serde_json::from_str::<Role<'_>>(message.get());
        if role.is_ok_and(|r| r.role == "user") {
            break;
        }
    }
    Prefix(hash.digest())
}
