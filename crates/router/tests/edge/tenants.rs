//! What one workspace can't do to another.

use googletest::prelude::*;
use serde_json::json;

use crate::{
    answer::{
        Answer,
        expect_denied,
        expect_error, //
    },
    rig::{
        MAIN,
        OTHER,
        Rig,
        TIGHT,
        chat_body, //
    },
};

/// Gets an answer without what differs from request to request.
fn plain(mut answer: Answer) -> (u16, Vec<(String, String)>, String) {
    let mut json = answer.json();
    json["error"]["request_id"] = json!(null);
    answer.headers.shift_remove("x-request-id");
    answer.headers.shift_remove("date");
    answer.headers.sort_keys();
    let headers = answer.headers.into_iter().collect();
    (answer.status, headers, json.to_string())
}

/// Symptom: somebody finds out which keys or workspaces there are by trying. Cause: answers that
/// differ by what is wrong.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_every_wrong_key_gets_the_same_answer() {
    let rig = Rig::start().await;
    let body = chat_body("assistant").to_string();
    let hash = "5e".repeat(32);
    let mut all = Vec::new();
    let wrong = [
        "Bearer nobody".to_owned(),
        format!("Bearer {MAIN}x"),
        format!("Bearer  {MAIN}"),
        format!("Bearer {hash}"),
        "Bearer".to_owned(),
        "Bearer ".to_owned(),
        String::new(),
        format!("Basic {MAIN}"),
        MAIN.to_owned(),
        "Bearer \u{fc}".to_owned(),
    ];
    for value in &wrong {
        let headers = [("authorization", value.as_str())];
        let chat = rig.call("POST", "/v1/chat/completions", &headers, &body);
        all.push(chat.await);
        all.push(rig.call("POST", "/orders", &headers, "{}").await);
        all.push(rig.call("GET", "/v1/models", &headers, "").await);
        all.push(rig.call("GET", "/nothing", &headers, "").await);
    }
    all.push(rig.call("POST", "/orders", &[], "{}").await);
    for answer in &all {
        expect_denied(
            answer,
            401,
            "unauthorized",
            &["authorization", "Bearer KEY"],
        );
    }
    let mut plain: Vec<_> = all.into_iter().map(plain).collect();
    plain.dedup();
    expect_that!(plain, len(eq(1)));
    rig.expect_untouched_and_serving().await;
}

/// Symptom: somebody reaches another workspace's model or service, or learns that there is one.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_another_workspace_s_model_or_service_is_as_one_that_is_not_there() {
    let rig = Rig::start().await;
    for model in [
        "drafts",
        "nobodys",
        "",
        "A B",
        "../assistant",
        &"x".repeat(300),
    ] {
        let answer = rig.chat(MAIN, &[], &chat_body(model)).await;
        expect_denied(
            &answer,
            404,
            "unknown_model",
            &["model", model, "workspace"],
        );
    }
    let bearer = format!("Bearer {MAIN}");
    let headers = [("authorization", bearer.as_str())];
    let theirs = rig.call("GET", "/receipts", &headers, "").await;
    let nobodys = rig.call("GET", "/nothing", &headers, "").await;
    expect_denied(&theirs, 404, "not_found", &["workspace"]);
    expect_that!(plain(theirs), eq(&plain(nobodys)));
    rig.expect_untouched_and_serving().await;
}

/// Symptom: somebody steers chats to an engine of its choice, or finds out whether another's prompt
/// is cached. Sequence: a placement token of another workspace, or a forged one, comes with a chat.
/// Cause: a token that is taken unchecked; and a chat refused for it, which needs none.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_foreign_or_forged_token_is_ignored_and_the_chat_served() {
    let rig = Rig::start().await;
    let first = rig.chat(OTHER, &[], &chat_body("drafts")).await;
    let token = first.header("x-chat").expect("a token").to_owned();
    let own = rig.chat(MAIN, &[], &chat_body("assistant")).await;
    let own_token = own.header("x-chat").expect("a token").to_owned();
    let mut flipped = own_token.clone().into_bytes();
    flipped[0] = if flipped[0] == b'A' { b'B' } else { b'A' };
    let flipped = String::from_utf8(flipped).expect("text");
    let long = "A".repeat(2000);
    let forged = [&token, &flipped, "", "=", "\u{fc}", &long, &own_token[1..]];
    let mut body = chat_body("assistant");
    body["messages"] = json!([{"role": "user", "content": "something else"}]);
    for token in forged {
        let answer = rig.chat(MAIN, &[("x-chat", token)], &body).await;
        expect_that!(answer.status, eq(200), "{token}: {answer:?}");
        expect_that!(answer.header("x-outcome"), some(eq("done")));
    }
    let kept = rig.chat(MAIN, &[("x-chat", &own_token)], &body).await;
    expect_that!(kept.status, eq(200));
    let prefixes: Vec<_> = rig.chats().await.into_iter().map(|r| r.prefix).collect();
    let (theirs, own, rest) = (&prefixes[0], &prefixes[1], &prefixes[2..]);
    let (kept, served) = rest.split_last().expect("chats");
    expect_that!(kept, eq(own), "an own token keeps its prefix");
    for prefix in served {
        expect_that!(prefix, eq(&served[0]), "by its own messages");
        expect_that!(prefix, not(eq(theirs)));
        expect_that!(prefix, not(eq(own)));
    }
}

/// Symptom: a workspace is refused for the surge of another. Sequence: one sends far more than its
/// limit, and the other one chat.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_limit_cannot_be_spent_by_another_workspace() {
    let rig = Rig::start().await;
    let body = chat_body("assistant");
    let mut refused = Vec::new();
    for _ in 0..20 {
        let answer = rig.chat(TIGHT, &[], &body).await;
        if answer.status != 200 {
            refused.push(answer);
        }
        let own = rig.chat(MAIN, &[], &body).await;
        expect_that!(own.status, eq(200), "{own:?}");
    }
    expect_that!(refused.len(), gt(0));
    for answer in &refused {
        expect_error(
            answer,
            429,
            "over_limit",
            "not_run",
            &["workspace", "limit"],
        );
    }
}
