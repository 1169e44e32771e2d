//! `toucanturn` against the operators' port of a real router.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use googletest::prelude::*;
use serde_json::json;
use tokio::net::TcpListener;
use toucanturn_core::{
    config::document,
    event::{
        Event,
        Source, //
    },
    peer::{
        Change,
        Entry, //
    },
    settings::Settings,
    units::{
        Incarnation,
        Revision, //
    },
};
use toucanturn_router::{
    driver::Driver,
    server::{
        self,
        Serving, //
    },
};

use crate::support::{
    Files,
    Run,
    config,
    settings,
    toucanturn, //
};

/// `Router` is a router with its operators' port open and a configuration in force.
struct Router {
    driver: Arc<Driver>,
    serving: Serving,
    address: SocketAddr,
}

impl Router {
    #[expect(clippy::expect_used, reason = "a test without a router fails")]
    async fn start() -> Self {
        let settings = settings().to_string();
        let settings = Settings::try_from(settings.as_bytes()).expect("valid settings");
        let driver = Driver::new(settings, Incarnation(7)).expect("a driver");
        let source = Source::Service;
        let change = published();
        driver.feed(Event::Publish { source, change });
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let serving = server::operators(&driver, listener).expect("a server");
        Self {
            driver,
            serving,
            address,
        }
    }

    /// Runs the program beside the router.
    #[expect(clippy::expect_used, reason = "a test without the program fails")]
    async fn ask(&self, args: &[&str]) -> Run {
        let mut all: Vec<String> = args.iter().map(|a| (*a).to_owned()).collect();
        all.push(self.address.to_string());
        let run = tokio::task::spawn_blocking(|| toucanturn(all));
        run.await.expect("a run")
    }
}

#[expect(clippy::expect_used, reason = "a test without a configuration fails")]
fn published() -> Change {
    let revision = Revision(1);
    let parts = document::split(config().to_string().as_bytes()).expect("a document");
    let entry = |(key, value)| Entry {
        key,
        revision,
        value: Some(value),
    };
    Change {
        revision,
        entries: parts.into_iter().map(entry).collect(),
        ..Change::default()
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_router_s_status_is_read_and_explained() {
    let router = Router::start().await;
    let run = router.ask(&["status"]).await;
    expect_that!(run.code, some(eq(0)), "{run:?}");
    for part in [
        "router       entry-1",
        "incarnation  7",
        "revision     1",
        "bill-2",
    ] {
        expect_that!(run.out, contains_substring(part));
    }
    let run = router.ask(&["status", "--json"]).await;
    let files = Files::new();
    let view = files.write("view.json", run.json());
    let config = files.write("config.json", config());
    let run = toucanturn([
        "explain",
        "--json",
        "--config",
        &config,
        "--view",
        &view,
        "--workspace",
        "vitalbox-chat",
        "--model",
        "assistant",
        "--prefix",
        "1",
    ]);
    expect_that!(run.code, some(eq(0)), "{run:?}");
    expect_that!(run.json()["candidates"].as_array(), some(len(eq(3))));
    router.serving.stop(Duration::from_secs(1)).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_router_s_drain_is_followed_to_its_end() {
    let router = Router::start().await;
    let driver = Arc::clone(&router.driver);
    let running = tokio::spawn(async move { driver.run().await });
    let run = router
        .ask(&["drain", "--wait", "--json", "--limit", "30"])
        .await;
    expect_that!(run.code, some(eq(0)), "{run:?}");
    expect_that!(run.json(), eq(&json!({"phase": "over", "open": 0})));
    expect_that!(running.await.ok(), some(eq(0)));
    router.serving.stop(Duration::from_secs(1)).await;
}
