//! Three routers as processes, and everything around them as stand-ins in the test process.

use std::{
    net::{
        SocketAddr,
        TcpListener, //
    },
    path::PathBuf,
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::{
    Value,
    json, //
};
use tempfile::TempDir;
use toucanturn_standin::{
    engine,
    platform,
    server::Handle,
    service, //
};

use crate::{
    daemon::Daemon,
    front::Front, //
};

/// Bearer key of the workspace, and its SHA-256.
pub(crate) const KEY: &str = "key-of-main";
const KEY_SHA256: &str = "a69fe4280540081ca5ff7568580b713caeb442203fa2a93f63dee0f51a715fd7";

/// Routers of a fleet.
pub(crate) const ROUTERS: usize = 3;

/// Longest wait for the fleet to come to rest; a bound, never a wait by itself. A fresh voter
/// confirms no lease for ten seconds.
pub(crate) const REST: Duration = Duration::from_secs(40);

/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);

/// Longest wait for an answer of an operators' port or of a stand-in.
const ASK: Duration = Duration::from_secs(5);

/// Starts before a fleet counts as one that can't be started: another process may take a port
/// between its release here and its use there.
const STARTS: usize = 5;

const DATA_CENTER: &str = "be-north-a";

/// `Router` is one router's place in the fleet, and its process while it has one.
pub(crate) struct Router {
    pub(crate) name: String,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    peers: SocketAddr,
    settings: PathBuf,
    daemon: Option<Daemon>,
}

impl Router {
    /// Gets the process; the router must have one.
    pub(crate) fn daemon(&self) -> &Daemon {
        self.daemon.as_ref().expect("the router runs")
    }

    /// Waits until the process ended; gives its exit code, and the process for its log.
    pub(crate) async fn ended(&mut self) -> (Option<i32>, Daemon) {
        let mut daemon = self.daemon.take().expect("the router runs");
        (daemon.ended().await, daemon)
    }
}

/// `Fleet` is all of it.
pub(crate) struct Fleet {
    pub(crate) http: reqwest::Client,
    pub(crate) platform: Handle,
    pub(crate) engines: Vec<(Handle, Front)>,
    pub(crate) service: Handle,
    pub(crate) routers: Vec<Router>,
    _files: TempDir,
}

impl Fleet {
    /// Starts everything and waits until the routers are ready for chats; engines take `per_token`
    /// for each token of an answer.
    pub(crate) async fn start(per_token: Duration) -> Self {
        for _ in 0..STARTS {
            if let Some(fleet) = Self::try_start(per_token).await {
                fleet.wait_ready().await;
                return fleet;
            }
        }
        panic!("no fleet could be started: its ports were taken each time");
    }

    async fn try_start(per_token: Duration) -> Option<Self> {
        let mut engines = Vec::new();
        for _ in 0..2 {
            let options = engine::Options {
                per_token,
                capacity: 64,
                ..engine::Options::default()
            };
            let engine = engine::start(options).await.expect("an engine starts");
            let front = Front::open(engine.listen).await;
            engines.push((engine, front));
        }
        let service = service::start(service::Options::default()).await;
        let platform = platform::start(platform::Options::default()).await;
        let files = TempDir::new().expect("a folder can be made");
        let mut fleet = Self {
            http: client(),
            platform: platform.expect("the platform starts"),
            engines,
            service: service.expect("the service starts"),
            routers: Vec::new(),
            _files: files,
        };
        let ports = Ports::take();
        fleet.place(&ports);
        fleet.publish(fleet.document()).await;
        drop(ports);
        for n in 0..ROUTERS {
            fleet.routers[n].daemon = Some(Daemon::start(&fleet.routers[n].settings)?);
        }
        Some(fleet)
    }

    /// Gives each router its addresses and writes its settings.
    fn place(&mut self, ports: &Ports) {
        for (n, three) in ports.addresses().chunks(3).enumerate() {
            let name = format!("router-{n}");
            let settings = self._files.path().join(format!("{name}.json"));
            let text = settings_of(&name, three, self.platform.listen);
            std::fs::write(&settings, text.to_string()).expect("a file can be written");
            self.routers.push(Router {
                name,
                callers: three[0],
                peers: three[1],
                operators: three[2],
                settings,
                daemon: None,
            });
        }
    }

    /// Starts a router's next process at the addresses of its last one.
    pub(crate) async fn restart(&mut self, n: usize) {
        let router = &mut self.routers[n];
        router.daemon = None;
        until(REST, "the router's ports are free again", async || {
            router.daemon = Daemon::start(&router.settings);
            router.daemon.is_some()
        })
        .await;
    }

    /// Kills a router's process at once.
    pub(crate) async fn kill(&mut self, n: usize) {
        self.routers[n].daemon().signal("KILL");
        self.routers[n].ended().await;
    }

    /// Gets the whole configuration as one transaction.
    fn document(&self) -> Value {
        let all: Vec<usize> = (0..ROUTERS).collect();
        let mut entries = json!({
            "policy": {"data_centers": {DATA_CENTER: "be-north"}, "lease_ms": 800,
                "clock_skew_ms": 250, "idle_timeout_ms": 3000, "poll_interval_ms": 100,
                "summary_interval_ms": 100, "retry_budget": 1.0, "drain_deadline_ms": 120_000},
            "fleet": self.members(&all),
            "endpoints/orders-0": {"kind": "service", "address": self.service.listen.to_string(),
                "data_center": DATA_CENTER, "service": "orders"},
            "services/orders": {"path": "/orders", "once": [{"method": "POST"}]},
            "models/assistant": {"version": "v1"},
            "workspaces/main": workspace(10_000),
        });
        for (n, (_, front)) in self.engines.iter().enumerate() {
            entries[format!("endpoints/engine-{n}")] = json!({"kind": "engine",
                "address": front.address.to_string(), "data_center": DATA_CENTER,
                "models": ["assistant"], "capacity": 64, });
        }
        entries
    }

    /// Gets the fleet list of some routers.
    pub(crate) fn members(&self, routers: &[usize]) -> Value {
        let mut members = serde_json::Map::new();
        for router in routers.iter().map(|n| &self.routers[*n]) {
            let about = json!({"address": router.callers.to_string(),
                "peer_address": router.peers.to_string(), "data_center": DATA_CENTER});
            members.insert(router.name.clone(), about);
        }
        members.into()
    }

    /// Publishes a transaction; gives its revision.
    pub(crate) async fn publish(&self, entries: Value) -> u64 {
        let body = json!({ "entries": entries });
        let answer = self.control(self.platform.control, "publish", body).await;
        answer["revision"].as_u64().expect("a revision")
    }

    /// Makes a control call at a stand-in.
    pub(crate) async fn control(&self, at: SocketAddr, call: &str, body: Value) -> Value {
        let request = self.http.post(format!("http://{at}/{call}")).json(&body);
        let answer = request.timeout(ASK).send().await;
        let answer = answer.expect("the stand-in answers");
        answer.json().await.unwrap_or_default()
    }

    /// Gets what the service really did.
    pub(crate) async fn truth(&self) -> service::Truth {
        let url = format!("http://{}/truth", self.service.control);
        let answer = self.http.get(url).send().await.expect("the truth is told");
        answer.json().await.expect("the truth is JSON")
    }

    /// Gets a router's view of itself; null while it gives none.
    pub(crate) async fn status(&self, n: usize) -> Value {
        let url = format!("http://{}/status", self.routers[n].operators);
        let Ok(answer) = self.http.get(url).timeout(ASK).send().await else {
            return Value::Null;
        };
        answer.json().await.unwrap_or_default()
    }

    /// Gets the status of `/readyz` on a router's callers' port; `None` while it gives none.
    pub(crate) async fn readyz(&self, n: usize) -> Option<u16> {
        let url = format!("http://{}/readyz", self.routers[n].callers);
        let answer = self.http.get(url).timeout(ASK).send().await.ok()?;
        Some(answer.status().as_u16())
    }

    /// Waits until every router is ready for chats.
    pub(crate) async fn wait_ready(&self) {
        for n in 0..ROUTERS {
            let ready = async || self.readyz(n).await == Some(200);
            until(REST, "the router is ready", ready).await;
        }
    }

    /// Waits until some routers run keys that are made now, under the fleet list of `revision` or
    /// a later one.
    pub(crate) async fn wait_keys(&self, routers: &[usize], revision: u64) {
        for n in routers {
            let takes = async || {
                let status = self.status(*n).await;
                status["takes_keys"] == true && status["epoch"].as_u64() >= Some(revision)
            };
            until(REST, "the router takes keys", takes).await;
        }
    }
}

/// Gets the value of the workspace.
pub(crate) fn workspace(rate: u32) -> Value {
    json!({"key_sha256": [KEY_SHA256], "priority": 5, "requests_per_s": rate,
        "models": ["assistant"], "services": ["orders"], "deadline_ms": 20_000})
}

/// Gets the settings of a router at its addresses for callers, peers and operators.
pub(crate) fn settings_of(name: &str, three: &[SocketAddr], platform: SocketAddr) -> Value {
    json!({
        "id": name,
        "listen": three[0].to_string(),
        "peer_listen": three[1].to_string(),
        "admin_listen": three[2].to_string(),
        "data_center": DATA_CENTER,
        "config_service": [platform.to_string()],
        "peer_key": "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff",
        "token_key": "ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100",
    })
}

/// `Ports` are ports that nobody else has while this lives.
struct Ports(Vec<TcpListener>);

impl Ports {
    fn take() -> Self {
        let bind = |_| TcpListener::bind("127.0.0.1:0").expect("a port is free");
        Self((0..ROUTERS * 3).map(bind).collect())
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let address = |l: &TcpListener| l.local_addr().expect("the listener is bound");
        self.0.iter().map(address).collect()
    }
}

/// Makes a client that reuses no connection, so that each request meets the process of that time.
fn client() -> reqwest::Client {
    let client = reqwest::Client::builder().no_proxy();
    let client = client.pool_max_idle_per_host(0).build();
    client.expect("a client can be had")
}

/// Polls until a condition is true; panics when it doesn't come within `limit`.
pub(crate) async fn until(limit: Duration, what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + limit;
    while !condition().await {
        assert!(Instant::now() < end, "waited in vain until {what}");
        tokio::time::sleep(LOOK).await;
    }
}
