//! The platform stand-in keeps what PROTOCOLS.md says, and breaks it as its faults say.

mod common;

use common::{
    SILENCE,
    client,
    get,
    post,
    until,
    url, //
};
use googletest::prelude::*;
use reqwest::{
    StatusCode,
    header::RETRY_AFTER, //
};
use serde_json::{
    Value,
    json, //
};
use std::{
    fs,
    time::Duration, //
};
use toucanturn_standin::platform::{
    self,
    Calls,
    Handle,
    Options, //
};

async fn publish(platform: &Handle, entries: Value) -> Result<Value> {
    post(platform.control, "publish", json!({"entries": entries})).await
}

async fn start_with_two_revisions() -> Result<Handle> {
    let platform = platform::start(Options::default()).await?;
    publish(&platform, json!({"policy": 1, "endpoints/eng-1": 1})).await?;
    publish(&platform, json!({"policy": 2, "endpoints/eng-2": 2})).await?;
    Ok(platform)
}

async fn set_fault(platform: &Handle, mode: &str) -> Result<()> {
    post(platform.control, "fault", json!({"mode": mode})).await?;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn verify_a_read_has_the_newest_of_each_key_in_ascending_revision() -> Result<()> {
    let platform = start_with_two_revisions().await?;
    let all = get(platform.listen, "v1/config?since=0").await?;
    verify_that!(
        all,
        eq(&json!({"revision": 2, "entries": [
            {"key": "endpoints/eng-1", "revision": 1, "value": 1},
            {"key": "endpoints/eng-2", "revision": 2, "value": 2},
            {"key": "policy", "revision": 2, "value": 2},
        ]}))
    )?;
    let newer = get(platform.listen, "v1/config?since=1").await?;
    verify_that!(newer["entries"].as_array().map(Vec::len), some(eq(2)))
}

#[gtest]
#[tokio::test]
async fn verify_a_deletion_is_read_as_null() -> Result<()> {
    let platform = start_with_two_revisions().await?;
    publish(&platform, json!({"endpoints/eng-1": null})).await?;
    let deletion = get(platform.listen, "v1/config?since=2").await?;
    let entry = json!({"key": "endpoints/eng-1", "revision": 3, "value": null});
    verify_that!(deletion, eq(&json!({"revision": 3, "entries": [entry]})))
}

#[gtest]
#[tokio::test]
async fn verify_a_watch_waits_for_the_next_transaction() -> Result<()> {
    let platform = start_with_two_revisions().await?;
    let listen = platform.listen;
    let watch = tokio::spawn(async move {
        get(listen, "v1/config?since=2&wait_ms=30000")
            .await
            .map_err(|error| error.to_string())
    });
    until(platform.control, "calls", |calls| calls["watches"] == 1).await?;
    verify_that!(watch.is_finished(), eq(false))?;
    publish(&platform, json!({"policy": 3})).await?;
    let changes = watch.await?.or_fail()?;
    verify_that!(changes["entries"][0]["revision"], eq(&json!(3)))?;
    let calls: Calls = serde_json::from_value(get(platform.control, "calls").await?)?;
    verify_that!(
        calls,
        eq(Calls {
            config: 1,
            watches: 1,
            vms: 0,
            weights: 0
        })
    )
}

#[gtest]
#[tokio::test]
async fn verify_a_watch_without_news_answers_no_entries() -> Result<()> {
    let platform = start_with_two_revisions().await?;
    let nothing = get(platform.listen, "v1/config?since=2&wait_ms=20").await?;
    verify_that!(nothing, eq(&json!({"revision": 2, "entries": []})))
}

#[gtest]
#[tokio::test]
async fn verify_a_publish_beyond_the_bounds_changes_nothing() -> Result<()> {
    let platform = start_with_two_revisions().await?;
    let large = "x".repeat(1 << 20);
    for entries in [json!({}), json!({"policy": large})] {
        let body = json!({"entries": entries});
        let refused = client()
            .post(url(platform.control, "publish"))
            .json(&body)
            .send()
            .await?;
        verify_that!(refused.status(), eq(StatusCode::BAD_REQUEST))?;
    }
    let all = get(platform.listen, "v1/config").await?;
    verify_that!(all["revision"], eq(&json!(2)))
}

#[gtest]
#[tokio::test]
async fn verify_a_document_is_published_as_one_transaction() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("config.json");
    let document = json!({"policy": {"a": 1}, "fleet": {"b": 2}, "services": {"billing": 3},
        "endpoints": {"eng-1": 4, "eng-2": 5}, "models": {}, "workspaces": {"chat": 6}});
    fs::write(&path, document.to_string())?;
    let options = Options {
        publish: Some(path.clone()),
        ..Options::default()
    };
    let platform = platform::start(options.clone()).await?;
    let all = get(platform.listen, "v1/config").await?;
    let entries = all["entries"].as_array().cloned().unwrap_or_default();
    let keys: Vec<_> = entries
        .iter()
        .filter_map(|entry| entry["key"].as_str())
        .collect();
    let expected = [
        "endpoints/eng-1",
        "endpoints/eng-2",
        "fleet",
        "policy",
        "services/billing",
        "workspaces/chat",
    ];
    verify_that!(keys.len(), eq(expected.len()))?;
    for key in expected {
        verify_that!(keys.contains(&key), eq(true))?;
    }
    verify_that!(entries.iter().all(|entry| entry["revision"] == 1), eq(true))?;

    fs::write(&path, r#"{"polices": {}}"#)?;
    verify_that!(platform::start(options).await, err(anything()))
}

#[gtest]
#[tokio::test]
async fn verify_stale_hides_later_transactions_until_the_fault_ends() -> Result<()> {
    let platform = start_with_two_revisions().await?;
    set_fault(&platform, "stale").await?;
    publish(&platform, json!({"policy": 3})).await?;
    let frozen = get(platform.listen, "v1/config?since=2&wait_ms=20").await?;
    verify_that!(frozen, eq(&json!({"revision": 2, "entries": []})))?;
    set_fault(&platform, "ok").await?;
    let thawed = get(platform.listen, "v1/config?since=2").await?;
    verify_that!(thawed["revision"], eq(&json!(3)))
}

#[gtest]
#[tokio::test]
async fn verify_older_answers_a_whole_earlier_snapshot() -> Result<()> {
    let platform = start_with_two_revisions().await?;
    set_fault(&platform, "older").await?;
    let earlier = get(platform.listen, "v1/config?since=2").await?;
    verify_that!(earlier["revision"], eq(&json!(1)))?;
    verify_that!(earlier["entries"].as_array().map(Vec::len), some(eq(2)))?;
    post(
        platform.control,
        "fault",
        json!({"mode": "older", "revision": 0}),
    )
    .await?;
    let empty = get(platform.listen, "v1/config?since=2").await?;
    verify_that!(empty, eq(&json!({"revision": 0, "entries": []})))
}

#[gtest]
#[tokio::test]
async fn verify_rubbish_is_never_a_valid_answer() -> Result<()> {
    let platform = start_with_two_revisions().await?;
    set_fault(&platform, "rubbish").await?;
    for _ in 0..3 {
        let answer = client()
            .get(url(platform.listen, "v1/config"))
            .send()
            .await?
            .text()
            .await?;
        let value: Value = serde_json::from_str(&answer).unwrap_or_default();
        verify_that!(value["revision"].as_u64(), none())?;
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn verify_a_waiting_watch_gets_rubbish_too() -> Result<()> {
    let platform = start_with_two_revisions().await?;
    let target = url(platform.listen, "v1/config?since=2&wait_ms=30000");
    let watch = tokio::spawn(client().get(target).send());
    until(platform.control, "calls", |calls| calls["watches"] == 1).await?;
    set_fault(&platform, "rubbish").await?;
    let answer = watch.await??.text().await?;
    let value: Value = serde_json::from_str(&answer).unwrap_or_default();
    verify_that!(value["revision"].as_u64(), none())
}

#[gtest]
#[tokio::test]
async fn verify_hang_reads_and_never_answers() -> Result<()> {
    let platform = start_with_two_revisions().await?;
    set_fault(&platform, "hang").await?;
    let call = client()
        .get(url(platform.listen, "v1/config"))
        .timeout(SILENCE)
        .send()
        .await;
    verify_that!(call.is_err_and(|error| error.is_timeout()), eq(true))?;
    verify_that!(
        get(platform.control, "calls").await?["config"],
        eq(&json!(1))
    )
}

#[gtest]
#[tokio::test]
async fn verify_down_closes_connections_and_waiting_watches() -> Result<()> {
    let platform = start_with_two_revisions().await?;
    let listen = platform.listen;
    let watch = tokio::spawn(async move {
        client()
            .get(url(listen, "v1/config?since=2&wait_ms=30000"))
            .send()
            .await
    });
    until(platform.control, "calls", |calls| calls["watches"] == 1).await?;
    set_fault(&platform, "down").await?;
    verify_that!(
        watch.await?.is_err_and(|error| !error.is_timeout()),
        eq(true)
    )?;
    let refused = client().get(url(listen, "v1/config")).send().await;
    verify_that!(refused.is_err_and(|error| !error.is_timeout()), eq(true))?;
    set_fault(&platform, "ok").await?;
    verify_that!(get(listen, "v1/config").await?["revision"], eq(&json!(2)))
}

#[gtest]
#[tokio::test]
async fn verify_the_vm_list_is_seen_late() -> Result<()> {
    let platform = platform::start(Options::default()).await?;
    let vms = json!([{"id": "eng-3", "state": "live"}]);
    post(
        platform.control,
        "vms",
        json!({"vms": vms, "lag_ms": 3_600_000}),
    )
    .await?;
    verify_that!(get(platform.listen, "v1/vms").await?["vms"], eq(&json!([])))?;
    post(platform.control, "vms", json!({"vms": vms, "lag_ms": 1})).await?;
    let seen = until(platform.listen, "v1/vms", |seen| seen["vms"] == vms).await?;
    verify_that!(seen["age_ms"], eq(&json!(1)))
}

#[gtest]
#[tokio::test]
async fn verify_the_weight_store_keeps_its_rate() -> Result<()> {
    let options = Options {
        weight_tokens_per_s: 1,
        weight_burst: 1,
        ..Options::default()
    };
    let platform = platform::start(options).await?;
    let path = "v1/weights/assistant/v4";
    verify_that!(
        get(platform.listen, path).await?["version"],
        eq(&json!("v4"))
    )?;
    let refused = client().get(url(platform.listen, path)).send().await?;
    verify_that!(refused.status(), eq(StatusCode::TOO_MANY_REQUESTS))?;
    let wait: u64 = refused.headers()[RETRY_AFTER].to_str()?.parse()?;
    tokio::time::sleep(Duration::from_secs(wait)).await;
    verify_that!(
        client()
            .get(url(platform.listen, path))
            .send()
            .await?
            .status(),
        eq(200)
    )
}

#[gtest]
#[tokio::test]
async fn verify_a_stopped_platform_closes_its_connections() -> Result<()> {
    let platform = start_with_two_revisions().await?;
    let (listen, control) = (platform.listen, platform.control);
    let watch = tokio::spawn(async move {
        client()
            .get(url(listen, "v1/config?since=2&wait_ms=30000"))
            .send()
            .await
    });
    until(control, "calls", |calls| calls["watches"] == 1).await?;
    platform.stop().await;
    verify_that!(watch.await?.is_err(), eq(true))?;
    verify_that!(
        client().get(url(listen, "v1/config")).send().await.is_err(),
        eq(true)
    )
}
