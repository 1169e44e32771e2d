//! What a router never passes on: another's answer, a part for the whole, another spelling of an
//! order, another workspace's token.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::{
    Value,
    json, //
};
use tokio::sync::mpsc;
use uuid::Uuid;

use crate::{
    callers::{
        Chat,
        chat, //
    },
    fleet::{
        Fleet,
        KEY,
        REST,
        until,
        workspace, //
    },
};

/// Bearer key of the other workspace, and its SHA-256.
const OTHER_KEY: &str = "key-of-other";
const OTHER_KEY_SHA256: &str = "98959918e0eef2166c748d4e57c19e3e531c080ba4212fd6d8f7bbec3e9a4224";

/// Sets a fault at every engine.
async fn fault(fleet: &Fleet, mode: &str) {
    for (engine, _) in &fleet.engines {
        let fault = json!({"mode": mode});
        fleet.control(engine.control, "fault", fault).await;
    }
}

async fn one_chat(fleet: &Fleet, id: &str) -> Chat {
    let (tell, _) = mpsc::channel(1);
    let router = fleet.routers[0].callers;
    chat(fleet.http.clone(), router, id.into(), 8, tell).await
}

/// Symptom: a customer reads the answer to another's question. Sequence: an engine mixes up its
/// answers. Cause: the router doesn't compare the answer's request id with its own.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_crossed_answer_reaches_nobody() -> Result<()> {
    let fleet = Fleet::start(Duration::ZERO).await;
    verify_that!(one_chat(&fleet, "before").await, eq(&Chat::Whole))?;
    fault(&fleet, "crossed").await;
    let told = one_chat(&fleet, "crossed").await;
    // The engines did run it.
    verify_that!(
        told,
        matches_pattern!(Chat::Refused {
            outcome: eq("unknown"),
            ..
        })
    )
}

/// Symptom: a cut leaflet passes for the whole. Sequence: an engine ends its stream in good order,
/// but without the end mark. Cause: the router takes the end of the body for the end of the
/// answer, and tells the caller of no break.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_stream_without_its_end_mark_is_told_as_broken() -> Result<()> {
    let fleet = Fleet::start(Duration::ZERO).await;
    fault(&fleet, "no_done").await;
    let told = one_chat(&fleet, "no-done").await;
    let Chat::Cut(text) = &told else {
        return fail!("{told:?}");
    };
    verify_that!(text, contains_substring("event: error\ndata: "))?;
    verify_that!(text, contains_substring("\"truncated\""))?;
    verify_that!(text, not(contains_substring("[DONE]")))
}

/// Symptom: an order runs again under a path that is spelled otherwise. Sequence: a caller, or a
/// proxy before the fleet, writes the path with an escape or a parameter. Cause: the rules for
/// calls that run once compare bytes, the service decodes them.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_an_order_has_one_spelling() -> Result<()> {
    let fleet = Fleet::start(Duration::ZERO).await;
    fleet.wait_keys(&[0, 1, 2], 0).await;
    let post = async |path: &str| {
        let url = format!("http://{}{path}", fleet.routers[0].callers);
        let call = fleet.http.post(url).bearer_auth(KEY);
        let call = call.header("idempotency-key", Uuid::now_v7().to_string());
        let answer = call.body("{}").send().await;
        answer.expect("the router answers").status().as_u16()
    };
    for path in ["/orders/%6Eew", "/orders/new;x=1", "/orders//new"] {
        verify_that!(post(path).await, eq(400)).with_failure_message(|| path.into())?;
    }
    verify_that!(fleet.truth().await.runs.len(), eq(0))?;
    verify_that!(post("/orders/new").await, eq(200))?;
    verify_that!(fleet.truth().await.runs.len(), eq(1))
}

/// Sends a chat with a placement token; gives the new token.
async fn tokened(fleet: &Fleet, bearer: &str, id: &str, token: Option<&str>) -> String {
    let url = format!("http://{}/v1/chat/completions", fleet.routers[0].callers);
    let body = json!({"model": "assistant", "max_tokens": 1,
        "messages": [{"role": "user", "content": "more vitamin D"}]});
    let mut call = fleet.http.post(url).bearer_auth(bearer).json(&body);
    if let Some(token) = token {
        call = call.header("x-chat", token);
    }
    let answer = call.header("x-request-id", id).send().await;
    let answer = answer.expect("the router answers");
    let token = answer.headers().get("x-chat").expect("a token").clone();
    token.to_str().expect("a token is text").to_owned()
}

/// Waits until the router counts no load at any engine: a token's engine is passed over while the
/// chat before still counts there.
async fn at_rest(fleet: &Fleet) {
    let idle = async || {
        let status = fleet.status(0).await;
        let endpoints = status["endpoints"].as_array().cloned();
        endpoints.is_some_and(|all| all.iter().all(|e| e["load"].as_f64() == Some(0.0)))
    };
    until(REST, "no engine has load", idle).await;
}

/// Gets why a chat was placed where it was, from the decision log.
async fn reason(fleet: &Fleet, id: &str) -> String {
    let daemon = fleet.routers[0].daemon();
    let placed = || -> Option<Value> {
        let placed = daemon.events(101);
        placed.into_iter().find(|p| p["request_id"] == id)
    };
    until(REST, "the placement is logged", async || placed().is_some()).await;
    let reason = placed().unwrap_or_default()["reason"].clone();
    reason.as_str().unwrap_or_default().to_owned()
}

/// Symptom: a workspace finds out by timing what another one asked. Sequence: it sends the other's
/// placement token with its own chat. Cause: the token's MAC doesn't cover the workspace, so the
/// chat goes to the engine and under the prefix that the token names.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_token_serves_its_own_workspace_only() -> Result<()> {
    let fleet = Fleet::start(Duration::ZERO).await;
    let mut other = workspace(10_000);
    other["key_sha256"] = json!([OTHER_KEY_SHA256]);
    let revision = fleet.publish(json!({"workspaces/other": other})).await;
    let knows = async || fleet.status(0).await["revision"] == revision;
    until(REST, "the other workspace is in force", knows).await;
    let token = tokened(&fleet, KEY, "first", None).await;
    at_rest(&fleet).await;
    tokened(&fleet, KEY, "own", Some(&token)).await;
    at_rest(&fleet).await;
    tokened(&fleet, OTHER_KEY, "others", Some(&token)).await;
    verify_that!(reason(&fleet, "own").await, eq("token"))?;
    verify_that!(reason(&fleet, "others").await, not(eq("token")))
}
