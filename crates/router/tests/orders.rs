//! A real router that orders stand-in engines.
#![expect(clippy::expect_used, reason = "a wrong setup is a fault of the test")]

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use googletest::prelude::*;
use serde_json::{
    Value,
    json, //
};
use toucanturn_core::{
    orders::FENCES_PER_REVISION,
    settings::Settings,
    units::Incarnation, //
};
use toucanturn_router::driver::Driver;
use toucanturn_standin::{
    engine::{
        self,
        Fencing, //
    },
    platform,
    server::Handle, //
};

/// Longest wait for the engines.
const LIMIT: Duration = Duration::from_secs(15);

fn settings(platform: SocketAddr) -> Settings {
    let file = json!({
        "id": "entry-1", "data_center": "be-north-1", "listen": "10.0.0.1:80",
        "peer_listen": "10.0.0.1:81", "admin_listen": "10.0.0.1:82",
        "config_service": [platform], "vm_list": [platform],
        "peer_key": "11".repeat(32), "token_key": "22".repeat(32)
    });
    Settings::try_from(file.to_string().as_bytes()).expect("valid settings")
}

fn entries(engines: &[Handle], version: &str, fenced: bool) -> Value {
    let mut entries = json!({
        "policy": {"data_centers": {"be-north-1": "be-north"}},
        "fleet": {"entry-1": {
            "address": "10.0.0.1:80", "peer_address": "10.0.0.1:81", "data_center": "be-north-1"
        }},
        "models/assistant": {"version": version},
        "models/labels": {"version": version},
    });
    for (n, engine) in engines.iter().enumerate() {
        entries[format!("endpoints/eng-{n}")] = json!({
            "kind": "engine", "address": engine.listen, "data_center": "be-north-1",
            "models": ["assistant", "labels"], "checks_fencing": fenced
        });
    }
    json!({"entries": entries})
}

async fn get(address: SocketAddr, path: &str) -> Value {
    let answer = reqwest::get(format!("http://{address}{path}")).await;
    let answer = answer.expect("an answer").text().await.expect("a body");
    serde_json::from_str(&answer).expect("JSON")
}

async fn publish(platform: &Handle, entries: &Value) {
    let url = format!("http://{}/publish", platform.control);
    let sent = reqwest::Client::new().post(url).json(entries).send().await;
    expect_that!(sent.expect("an answer").status().as_u16(), eq(200));
}

/// Waits until all engines report both models and the version.
async fn wait(engines: &[Handle], version: &str) -> bool {
    let start = Instant::now();
    while start.elapsed() < LIMIT {
        let mut right = 0;
        for engine in engines {
            let load = get(engine.listen, "/v1/load").await;
            let models = load["models"].as_array().map_or(0, Vec::len);
            right += usize::from(load["version"] == version && models == 2);
        }
        if right == engines.len() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

async fn orders(engine: &Handle) -> Vec<Value> {
    let truth = get(engine.control, "/truth").await;
    truth["orders"].as_array().cloned().unwrap_or_default()
}

async fn run(fencing: Fencing) {
    let fenced = fencing == Fencing::On;
    let options = platform::Options {
        weight_tokens_per_s: 1,
        weight_burst: 1,
        ..platform::Options::default()
    };
    let platform = platform::start(options).await.expect("a platform");
    let mut engines = Vec::new();
    for _ in 0..2 {
        let options = engine::Options {
            fencing,
            ..engine::Options::default()
        };
        engines.push(engine::start(options).await.expect("an engine"));
    }
    publish(&platform, &entries(&engines, "v1", fenced)).await;
    let driver = Driver::new(settings(platform.listen), Incarnation(1)).expect("a driver");
    let running = tokio::spawn(async move { driver.run().await });
    expect_that!(wait(&engines, "v1").await, eq(true));
    publish(&platform, &entries(&engines, "v2", fenced)).await;
    expect_that!(wait(&engines, "v2").await, eq(true));
    running.abort();
    for engine in &engines {
        let given = orders(engine).await;
        let kinds: Vec<_> = given.iter().map(|o| o["kind"].as_str()).collect();
        expect_that!(
            kinds,
            eq(&vec![Some("load_model"), Some("load_version")]),
            "{given:?}"
        );
        let fences: Vec<_> = given.iter().filter_map(|o| o["fence"].as_u64()).collect();
        expect_that!(
            fences,
            eq(&vec![FENCES_PER_REVISION, 2 * FENCES_PER_REVISION])
        );
    }
    let calls = get(platform.control, "/calls").await;
    println!("{calls}");
    // Four loads, of which the store refuses some at first.
    expect_that!(calls["weights"].as_u64(), some(ge(4)));
    expect_that!(calls["weights"].as_u64(), some(le(12)));
}

#[gtest]
#[tokio::test]
async fn verify_engines_that_check_fencing_follow_what_is_published() {
    run(Fencing::On).await;
}

#[gtest]
#[tokio::test]
async fn verify_engines_that_ignore_fencing_follow_what_is_published() {
    run(Fencing::Off).await;
}
