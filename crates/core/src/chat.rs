//! The parts of a chat-completions request that routing needs.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{
    ids::Tag,
    request::Prefix, //
};

/// `Chat` is a chat-completions request; fields that routing does not need are ignored.
#[derive(Debug, Deserialize)]
pub struct Chat<'a> {
    /// Requested model.
    pub model: Cow<'a, str>,
    /// Whether the answer is to be a stream of events; null counts as absent.
    #[serde(default)]
    pub stream: Option<bool>,
    /// The messages as raw JSON.
    #[serde(borrow)]
    pub messages: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct Role<'a> {
    #[serde(borrow)]
    role: Cow<'a, str>,
}

impl Chat<'_> {
    /// Gets the prefix of a chat that comes without a placement token; a token names the prefix
    /// itself.
    pub fn prefix(&self, workspace: Tag) -> Prefix {
        prefix(workspace, &self.model, &self.messages)
    }
}

/// Hashes the part of a chat that is the same in all its requests: the model and all messages up to
/// the user's first one.
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
