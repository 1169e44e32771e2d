//! One router in process, with a platform, an engine and a service.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::{
    Value,
    json, //
};
use sha2::{
    Digest,
    Sha256, //
};
use tokio::{
    net::TcpListener,
    task::JoinHandle, //
};
use toucanturn_core::{
    node::Node,
    settings::Settings,
    units::Incarnation, //
};
use toucanturn_router::{
    clock,
    driver::Driver,
    process::{
        Process,
        Sockets, //
    },
};
use toucanturn_standin::{
    engine,
    platform,
    server::Handle,
    service,
    truth, //
};

use crate::answer::{
    self,
    Answer, //
};

/// Bearer key of the workspace that most requests come from.
pub(crate) const MAIN: &str = "key-of-main";
/// Bearer key of a workspace with a model and a service of its own.
pub(crate) const OTHER: &str = "key-of-other";
/// Bearer key of a workspace that may send one request a second.
pub(crate) const TIGHT: &str = "key-of-tight";
/// Priority of each workspace.
pub(crate) const PRIORITY: u8 = 5;
/// Most bytes of a body.
pub(crate) const MAX_BODY: usize = 4096;
/// Most bytes of a head.
pub(crate) const MAX_HEADER: usize = 8192;
/// Time without a byte after which a body is given up.
pub(crate) const SLOW: Duration = Duration::from_millis(300);

/// Time after which the router counts as not ready.
const REST: Duration = Duration::from_secs(20);

const DATA_CENTER: &str = "be-north-a";

/// `Rig` is the router with everything around it.
pub(crate) struct Rig {
    pub(crate) callers: SocketAddr,
    driver: Arc<Driver>,
    peers: SocketAddr,
    engine: Handle,
    service: Handle,
    platform: Handle,
    running: JoinHandle<usize>,
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.running.abort();
    }
}

impl Rig {
    pub(crate) async fn start() -> Self {
        Self::start_with(json!({})).await
    }

    /// Starts everything, with some of the settings changed, and waits until the router is ready.
    pub(crate) async fn start_with(change: Value) -> Self {
        let engine = engine::start(engine::Options {
            models: vec!["assistant".into(), "drafts".into()],
            ..engine::Options::default()
        });
        let engine = engine.await.expect("an engine starts");
        let service = service::start(service::Options::default());
        let service = service.await.expect("a service starts");
        let platform = platform::start(platform::Options::default());
        let platform = platform.await.expect("a platform starts");
        let sockets = sockets().await;
        let address = |l: &TcpListener| l.local_addr().expect("the listener is bound");
        let callers = address(&sockets.callers);
        let peers = address(&sockets.peers);
        let settings = settings(&sockets, platform.listen, change);
        let entries = document(callers, peers, &engine, &service);
        control(&platform, "/publish", &json!({ "entries": entries })).await;
        let incarnation = Incarnation(clock::now().wall.0);
        let process = Process::start(settings, incarnation, sockets).expect("a router starts");
        let driver = Arc::clone(process.driver());
        let running = tokio::spawn(process.run(std::future::pending()));
        let rig = Self {
            callers,
            driver,
            peers,
            engine,
            service,
            platform,
            running,
        };
        rig.until(Node::ready).await;
        rig
    }

    /// Waits until the router runs what runs at most once; without its lease, which takes it ten
    /// seconds, it refuses such calls whatever they are.
    pub(crate) async fn wait_for_keys(&self) {
        self.until(|node| node.takes_keys(clock::now())).await;
    }

    async fn until(&self, condition: impl Fn(&Node) -> bool) {
        let end = Instant::now() + REST;
        while !self.driver.with_node(&condition) {
            assert!(Instant::now() < end, "the router does not get ready");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sends a request to the router.
    pub(crate) async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl AsRef<[u8]>,
    ) -> Answer {
        let raw = answer::request(method, path, headers, body.as_ref());
        answer::exchange(self.callers, &raw).await
    }

    /// Sends a chat with the bearer key of a workspace.
    pub(crate) async fn chat(&self, key: &str, headers: &[(&str, &str)], body: &Value) -> Answer {
        let bearer = format!("Bearer {key}");
        let mut all = vec![("authorization", bearer.as_str())];
        all.extend_from_slice(headers);
        let body = body.to_string();
        self.call("POST", "/v1/chat/completions", &all, body).await
    }

    /// Sends an order, which runs at most once, with the bearer key of a workspace.
    pub(crate) async fn order(&self, bearer: &str, key: &str, body: &str) -> Answer {
        let bearer = format!("Bearer {bearer}");
        let headers = [("authorization", bearer.as_str()), ("idempotency-key", key)];
        self.call("POST", "/orders", &headers, body).await
    }

    /// Gets the requests that the engine took up.
    pub(crate) async fn chats(&self) -> Vec<truth::Request> {
        let truth = truth(&self.engine).await;
        let truth: engine::Truth = serde_json::from_slice(&truth.body).expect("the truth");
        truth.requests
    }

    /// Gets the requests that the service took up.
    pub(crate) async fn calls(&self) -> Vec<truth::Request> {
        let truth = truth(&self.service).await;
        let truth: service::Truth = serde_json::from_slice(&truth.body).expect("the truth");
        truth.requests
    }

    /// Expects that nothing reached the stand-ins, and that the router still serves chats and
    /// plain calls.
    pub(crate) async fn expect_untouched_and_serving(&self) {
        use googletest::prelude::*;
        let reached = (self.chats().await, self.calls().await);
        expect_that!(reached.0, is_empty());
        expect_that!(reached.1, is_empty());
        self.expect_serving().await;
    }

    /// Expects that the router still serves chats and plain calls.
    pub(crate) async fn expect_serving(&self) {
        use googletest::prelude::*;
        let chat = self.chat(MAIN, &[], &chat_body("assistant")).await;
        expect_that!(chat.status, eq(200), "{chat:?}");
        expect_that!(chat.header("x-outcome"), some(eq("done")));
        let bearer = format!("Bearer {MAIN}");
        let headers = [("authorization", bearer.as_str())];
        let plain = self.call("GET", "/orders/1", &headers, "").await;
        expect_that!(plain.status, eq(200), "{plain:?}");
        expect_that!(plain.header("x-outcome"), some(eq("done")));
    }

    /// Makes the platform answer as a fault says.
    pub(crate) async fn platform_fault(&self, mode: &str) {
        control(&self.platform, "/fault", &json!({ "mode": mode })).await;
    }

    /// Makes the service answer as a fault says.
    pub(crate) async fn service_fault(&self, fault: Value) {
        control(&self.service, "/fault", &fault).await;
    }

    /// Makes the engine answer as a fault says.
    pub(crate) async fn engine_fault(&self, fault: Value) {
        control(&self.engine, "/fault", &fault).await;
    }

    /// Adds an engine without work to the pool.
    pub(crate) async fn add_engine(&self) {
        let engine = engine::start(engine::Options::default()).await;
        let engine = engine.expect("an engine starts");
        let about = json!({"kind": "engine", "address": engine.listen.to_string(),
            "data_center": DATA_CENTER, "models": ["assistant"], "capacity": 64});
        let entries = json!({ "endpoints/engine-1": about });
        control(&self.platform, "/publish", &json!({ "entries": entries })).await;
    }

    /// Adds a router to the fleet; it runs as long as its task is kept.
    pub(crate) async fn add_router(&self) -> JoinHandle<usize> {
        let sockets = sockets().await;
        let listens = |l: &TcpListener| l.local_addr().expect("the listener is bound");
        let about = |callers: SocketAddr, peers: SocketAddr| {
            json!({"address": callers.to_string(), "peer_address": peers.to_string(),
                "data_center": DATA_CENTER})
        };
        let entries = json!({"fleet": {
            "router-0": about(self.callers, self.peers),
            "router-1": about(listens(&sockets.callers), listens(&sockets.peers)),
        }});
        control(&self.platform, "/publish", &json!({ "entries": entries })).await;
        let change = json!({"id": "router-1"});
        let settings = settings(&sockets, self.platform.listen, change);
        let incarnation = Incarnation(clock::now().wall.0);
        let process = Process::start(settings, incarnation, sockets).expect("a router starts");
        tokio::spawn(process.run(std::future::pending()))
    }
}

/// Makes a control call at a stand-in.
async fn control(of: &Handle, path: &str, body: &Value) {
    let raw = answer::request("POST", path, &[], body.to_string().as_bytes());
    let done = answer::exchange(of.control, &raw).await;
    assert_eq!(done.status, 200, "{done:?}");
}

async fn sockets() -> Sockets {
    let any = || TcpListener::bind("127.0.0.1:0");
    Sockets {
        callers: any().await.expect("a port is free"),
        peers: any().await.expect("a port is free"),
        operators: any().await.expect("a port is free"),
    }
}

async fn truth(of: &Handle) -> Answer {
    answer::exchange(of.control, &answer::request("GET", "/truth", &[], b"")).await
}

/// Gets the body of a chat.
pub(crate) fn chat_body(model: &str) -> Value {
    json!({"model": model, "messages": [{"role": "user", "content": "vitamin D"}]})
}

/// Makes a new idempotency key.
pub(crate) fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

fn settings(sockets: &Sockets, platform: SocketAddr, change: Value) -> Settings {
    let address = |l: &TcpListener| l.local_addr().expect("the listener is bound").to_string();
    let mut settings = json!({
        "id": "router-0",
        "listen": address(&sockets.callers),
        "peer_listen": address(&sockets.peers),
        "admin_listen": address(&sockets.operators),
        "data_center": DATA_CENTER,
        "config_service": [platform.to_string()],
        "peer_key": "11".repeat(32),
        "token_key": "22".repeat(32),
        "seed": 1,
        "limits": {
            "max_body_bytes": MAX_BODY, "max_header_bytes": MAX_HEADER,
            "slow_sender_timeout_ms": u64::try_from(SLOW.as_millis()).unwrap_or_default(),
        },
    });
    for (name, value) in change.as_object().into_iter().flatten() {
        settings[name] = value.clone();
    }
    Settings::try_from(settings.to_string().as_bytes()).expect("the settings are valid")
}

/// Time for which a router's lease holds, in milliseconds. A test process that stands still for longer
/// between the making of a key and its use has it refused, rightly, as one that may have run: with
/// 400 ms, 1 of 60 processes that were stopped for 500 ms just then, and one run of CI.
const LEASE_MS: u32 = 5000;

fn document(callers: SocketAddr, peers: SocketAddr, engine: &Handle, service: &Handle) -> Value {
    json!({
        "policy": {"data_centers": {DATA_CENTER: "be-north"}, "lease_ms": LEASE_MS,
            "clock_skew_ms": 10, "poll_interval_ms": 50},
        "fleet": {"router-0": {"address": callers.to_string(),
            "peer_address": peers.to_string(), "data_center": DATA_CENTER}},
        "models/assistant": {"version": "v1"},
        "models/drafts": {"version": "v1"},
        "services/orders": {"path": "/orders", "once": [{"method": "POST"}]},
        "services/receipts": {"path": "/receipts"},
        "endpoints/engine-0": {"kind": "engine", "address": engine.listen.to_string(),
            "data_center": DATA_CENTER, "models": ["assistant", "drafts"], "capacity": 64},
        "endpoints/orders-0": {"kind": "service", "address": service.listen.to_string(),
            "data_center": DATA_CENTER, "service": "orders"},
        "workspaces/main": workspace(MAIN, "assistant", &["orders"], 10_000),
        "workspaces/other": workspace(OTHER, "drafts", &["orders", "receipts"], 10_000),
        "workspaces/tight": workspace(TIGHT, "assistant", &["orders"], 1),
    })
}

fn workspace(key: &str, model: &str, services: &[&str], rate: u32) -> Value {
    let hash: String = Sha256::digest(key)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    json!({"key_sha256": [hash], "priority": PRIORITY, "requests_per_s": rate,
        "models": [model], "services": services, "deadline_ms": 2000})
}
