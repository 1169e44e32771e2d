//! `toucanturn explain --chat` and the router's own classification.

use googletest::prelude::*;
use toucanturn_core::{
    chat::Chat,
    ids::Tag, //
};

use crate::support::{
    Files,
    config,
    toucanturn, //
};

/// Symptom: `explain` names another engine than the one that a chat goes to. Cause: the tool and
/// the router hash different parts of the chat.
#[gtest]
fn verify_explain_takes_the_prefix_that_the_router_takes() {
    let files = Files::new();
    let config = files.write("config.json", config());
    let chats = [
        r#"{"model":"assistant","messages":[{"role":"user","content":"hello"}]}"#,
        r#"{"model":"assistant","stream":true,"messages":[
            {"role": "system", "content": "You sell vitamins."},
            {"content": "h\u00e9llo", "role": "user"},
            {"role": "assistant", "content": "Hi."},
            {"role": "user", "content": "More D."}]}"#,
        r#"{"model":"assistant","messages":[{"role":"system","content":"alone"}]}"#,
        r#"{"model":"assistant","messages":[]}"#,
    ];
    for chat in chats {
        let classified: Chat<'_> = serde_json::from_str(chat).expect("a chat");
        let prefix = classified.prefix(Tag::of(b"vitalbox-chat"));
        let run = toucanturn([
            "explain",
            "--json",
            "--config",
            &config,
            "--workspace",
            "vitalbox-chat",
            "--model",
            "assistant",
            "--chat",
            chat,
        ]);
        let expected = serde_json::json!(format!("{:016x}", prefix.0));
        expect_that!(run.json()["prefix"], eq(&expected), "{chat}");
    }
}
