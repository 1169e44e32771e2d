//! The prefix of a chat, from its text.

use serde::Deserialize;
use serde_json::value::RawValue;
use toucanturn_core::{
    chat,
    ids::Tag,
    request::Prefix, //
};

#[derive(Deserialize)]
struct Request<'a> {
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
}

/// Gets the prefix of a chat of a workspace with a model: the hash of all up to the first message
/// of the user, as the router's classification takes it. `text` is the request in JSON or that
/// message alone.
pub(super) fn prefix(workspace: Tag, model: &str, text: &str) -> Prefix {
    match serde_json::from_str::<Request<'_>>(text) {
        Ok(request) => chat::prefix(workspace, model, &request.messages),
        Err(_) => {
            let content = serde_json::Value::from(text);
            let message = format!(r#"{{"role":"user","content":{content}}}"#);
            let parsed = serde_json::from_str::<&RawValue>(&message);
            chat::prefix(
                workspace,
                model,
                &parsed.ok().into_iter().collect::<Vec<_>>(),
            )
        }
    }
}
