//! The service stand-in counts its runs truly, whatever its callers are told.

mod common;

use common::{
    SILENCE,
    client,
    fault,
    get,
    post,
    until,
    url, //
};
use googletest::prelude::*;
use reqwest::{
    Response,
    StatusCode, //
};
use serde_json::{
    Value,
    json, //
};
use toucanturn_standin::service::{
    self,
    Handle,
    KeyCheck,
    Options,
    Receipt, //
};

async fn start() -> Result<Handle> {
    Ok(service::start(Options::default()).await?)
}

async fn call(service: &Handle, id: &str, key: Option<&str>) -> reqwest::Result<Response> {
    let request = client()
        .post(url(service.listen, "renewals/confirm"))
        .timeout(SILENCE);
    let request = request.header("x-request-id", id).body("{}");
    match key {
        Some(key) => request.header("idempotency-key", key).send().await,
        None => request.send().await,
    }
}

async fn runs(service: &Handle) -> Result<Value> {
    Ok(get(service.control, "truth").await?["runs"].clone())
}

#[gtest]
#[tokio::test]
async fn verify_every_call_is_a_run_where_keys_are_not_checked() -> Result<()> {
    let service = start().await?;
    let first: Receipt = call(&service, "r1", Some("k1")).await?.json().await?;
    let second: Receipt = call(&service, "r2", Some("k1")).await?.json().await?;
    call(&service, "r3", None).await?;
    verify_that!(
        first,
        eq(&Receipt {
            receipt: "k1".into(),
            run: 1
        })
    )?;
    verify_that!(
        second,
        eq(&Receipt {
            receipt: "k1".into(),
            run: 2
        })
    )?;
    verify_that!(runs(&service).await?, eq(&json!({"k1": 2, "r3": 1})))
}

#[gtest]
#[tokio::test]
async fn verify_a_checked_key_is_replayed_and_not_run() -> Result<()> {
    let service = service::start(Options {
        key_check: KeyCheck::On,
        ..Options::default()
    })
    .await?;
    let first = call(&service, "r1", Some("k1")).await?;
    verify_that!(first.headers().get("x-replayed"), none())?;
    let first = first.bytes().await?;
    let second = call(&service, "r2", Some("k1")).await?;
    verify_that!(second.headers()["x-replayed"].to_str()?, eq("true"))?;
    verify_that!(second.headers()["x-request-id"].to_str()?, eq("r2"))?;
    verify_that!(second.bytes().await?, eq(&first))?;
    verify_that!(runs(&service).await?, eq(&json!({"k1": 1})))
}

#[gtest]
#[tokio::test]
async fn verify_refuse_and_silent_before_never_run() -> Result<()> {
    let service = start().await?;
    fault(service.control, "refuse", 1, 0).await?;
    let refused = call(&service, "r1", None).await;
    verify_that!(refused.is_err_and(|error| !error.is_timeout()), eq(true))?;
    fault(service.control, "silent_before", 1, 0).await?;
    let silent = call(&service, "r2", None).await;
    verify_that!(silent.is_err_and(|error| error.is_timeout()), eq(true))?;
    verify_that!(runs(&service).await?, eq(&json!({})))?;
    verify_that!(
        call(&service, "r3", None).await?.status(),
        eq(StatusCode::OK)
    )
}

#[gtest]
#[tokio::test]
async fn verify_refuse_closes_open_connections_without_a_run() -> Result<()> {
    let service = start().await?;
    let pooled = reqwest::Client::new();
    let target = url(service.listen, "orders");
    pooled
        .post(&target)
        .header("x-request-id", "r1")
        .send()
        .await?
        .bytes()
        .await?;
    fault(service.control, "refuse", 0, 0).await?;
    let refused = pooled
        .post(&target)
        .header("x-request-id", "r2")
        .send()
        .await;
    verify_that!(refused.is_err(), eq(true))?;
    verify_that!(runs(&service).await?, eq(&json!({"r1": 1})))
}

#[gtest]
#[tokio::test]
async fn verify_lost_answers_are_of_calls_that_ran() -> Result<()> {
    let service = start().await?;
    fault(service.control, "silent_after", 1, 0).await?;
    let silent = call(&service, "r1", None).await;
    verify_that!(silent.is_err_and(|error| error.is_timeout()), eq(true))?;
    fault(service.control, "reset_after", 1, 0).await?;
    let reset = call(&service, "r2", None).await;
    verify_that!(reset.is_err_and(|error| !error.is_timeout()), eq(true))?;
    fault(service.control, "error_500", 1, 0).await?;
    let failed = call(&service, "r3", None).await?;
    verify_that!(failed.status(), eq(StatusCode::INTERNAL_SERVER_ERROR))?;
    fault(service.control, "late", 1, 60_000).await?;
    let late = call(&service, "r4", None).await;
    verify_that!(late.is_err_and(|error| error.is_timeout()), eq(true))?;
    verify_that!(
        runs(&service).await?,
        eq(&json!({"r1": 1, "r2": 1, "r3": 1, "r4": 1}))
    )
}

#[gtest]
#[tokio::test]
async fn verify_a_slow_call_whose_caller_leaves_is_not_run() -> Result<()> {
    let service = start().await?;
    fault(service.control, "slow", 1, 60_000).await?;
    let slow = call(&service, "r1", None).await;
    verify_that!(slow.is_err_and(|error| error.is_timeout()), eq(true))?;
    until(service.control, "truth", common::only_is("cut")).await?;
    verify_that!(runs(&service).await?, eq(&json!({})))
}

#[gtest]
#[tokio::test]
async fn verify_truncate_cuts_the_answer_of_a_call_that_ran() -> Result<()> {
    let service = start().await?;
    fault(service.control, "truncate", 1, 0).await?;
    let mut response = call(&service, "r1", None).await?;
    verify_that!(response.status(), eq(StatusCode::OK))?;
    verify_that!(
        response.chunk().await?.map(|half| half.is_empty()),
        some(eq(false))
    )?;
    verify_that!(response.chunk().await.is_err(), eq(true))?;
    verify_that!(runs(&service).await?, eq(&json!({"r1": 1})))
}

#[gtest]
#[tokio::test]
async fn verify_crossed_answers_another_request() -> Result<()> {
    let service = start().await?;
    call(&service, "r1", Some("k1")).await?;
    fault(service.control, "crossed", 1, 0).await?;
    let crossed = call(&service, "r2", Some("k2")).await?;
    verify_that!(crossed.headers()["x-request-id"].to_str()?, eq("r1"))?;
    verify_that!(crossed.json::<Receipt>().await?.receipt, eq("k1"))?;
    verify_that!(runs(&service).await?, eq(&json!({"k1": 1, "k2": 1})))
}

#[gtest]
#[tokio::test]
async fn verify_a_leaving_service_turns_calls_away_unrun() -> Result<()> {
    let service = start().await?;
    post(service.control, "leave", json!({})).await?;
    let refused = call(&service, "r1", None).await?;
    verify_that!(refused.status(), eq(StatusCode::SERVICE_UNAVAILABLE))?;
    verify_that!(refused.headers()["x-leaving"].to_str()?, eq("true"))?;
    verify_that!(runs(&service).await?, eq(&json!({})))?;
    post(service.control, "rejoin", json!({})).await?;
    let back = call(&service, "r2", None).await?;
    verify_that!(back.headers()["x-incarnation"].to_str()?, eq("2"))?;
    verify_that!(back.headers()["x-in-flight"].to_str()?, eq("1"))
}
