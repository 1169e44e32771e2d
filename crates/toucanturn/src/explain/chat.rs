//! The prefix of a chat, from its text.

use serde::Deserialize;
use serde_json::value::RawValue;
use toucanturn_core::{
    ids::Tag,
    request::Prefix, //
};

#[derive(Deserialize)]
struct Request<'a> {
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct Role<'a> {
    #[serde(borrow)]
    role: std::borrow::Cow<'a, str>,
}

/// Gets the prefix of a chat of a workspace with a model: the hash of all up to the first message
/// of the user, as the router's classification takes it. `text` is the request in JSON or that
/// message alone.
pub(super) fn prefix(workspace: Tag, model: &str, text: &str) -> Prefix {
    match serde_json::from_str::<Request<'_>>(text) {
        Ok(request) => hash(workspace, model, &request.messages),
        Err(_) => {
            let content = serde_json::Value::from(text);
            let message = format!(r#"{{"role":"user","content":{content}}}"#);
            let parsed = serde_json::from_str::<&RawValue>(&message);
            hash(
                workspace,
                model,
                &parsed.ok().into_iter().collect::<Vec<_>>(),
            )
        }
    }
}

fn hash(workspace: Tag, model: &str, messages: &[&RawValue]) -> Prefix {
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
