//! A whole fleet in one test process: platform, engines, a service's replicas and routers, with a
//! [`Link`] in front of every socket that one of them reaches another by.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use serde::de::DeserializeOwned;
use serde_json::{
    Map,
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
    request::Key,
    settings::Settings,
    units::{
        Incarnation,
        Revision, //
    },
};
use toucanturn_router::{
    clock,
    driver::Driver,
    process::{
        self,
        Process,
        Sockets, //
    },
};
use toucanturn_standin::{
    engine,
    link::Link,
    platform,
    server::{
        self,
        Handle, //
    },
    service, //
};

use crate::host::{
    Frozen,
    Host, //
};

/// Bearer key of the workspace that the load belongs to.
pub(crate) const KEY: &str = "key-of-main";
/// Longest wait for the fleet to come to rest; a bound, never a wait by itself.
pub(crate) const REST: Duration = Duration::from_secs(20);
/// Time between two looks at a condition.
pub(crate) const LOOK: Duration = Duration::from_millis(10);
/// Length of a home's lease in the tests.
pub(crate) const LEASE: Duration = Duration::from_millis(400);

const DATA_CENTER: &str = "be-north-a";

/// `Options` of a cluster.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) routers: usize,
    pub(crate) engines: usize,
    pub(crate) replicas: usize,
    pub(crate) per_token: Duration,
    pub(crate) idle_timeout: Duration,
    pub(crate) deadline: Duration,
    pub(crate) capacity: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            routers: 3,
            engines: 3,
            replicas: 2,
            per_token: Duration::from_millis(2),
            idle_timeout: Duration::from_millis(600),
            deadline: Duration::from_millis(2500),
            capacity: 64,
        }
    }
}

/// `Endpoint` is an engine or a service replica behind its link.
pub(crate) struct Endpoint {
    pub(crate) name: String,
    pub(crate) link: Link,
    pub(crate) incarnation: u64,
    /// Every process that ran at this address, the present one last.
    pub(crate) lives: Vec<Life>,
    /// Runs its link and its processes, which must not wait behind the work of others.
    host: Host,
}

/// `Life` is one process of an endpoint.
pub(crate) struct Life {
    pub(crate) handle: Handle,
    /// Just before the stand-in's own clock started.
    pub(crate) started: Instant,
}

impl Endpoint {
    pub(crate) fn control(&self) -> SocketAddr {
        self.lives.last().expect("one life at least").handle.control
    }
}

/// `Router` is one router of the fleet, in a host of its own.
pub(crate) struct Router {
    pub(crate) name: String,
    pub(crate) callers: Link,
    pub(crate) peers: Link,
    pub(crate) platform: Link,
    pub(crate) vm_list: Handle,
    life: Option<Running>,
    frozen: Option<Frozen>,
}

struct Running {
    host: Host,
    driver: Arc<Driver>,
    ended: JoinHandle<usize>,
}

impl Router {
    /// Gets the driver; the router must be alive.
    pub(crate) fn driver(&self) -> &Arc<Driver> {
        &self.life.as_ref().expect("the router is alive").driver
    }

    pub(crate) fn is_up(&self) -> bool {
        self.life.is_some() && self.frozen.is_none()
    }

    pub(crate) fn kill(&mut self) {
        self.frozen = None;
        if let Some(mut life) = self.life.take() {
            life.host.kill();
        }
    }

    pub(crate) async fn freeze(&mut self) {
        let life = self.life.as_ref().expect("the router is alive");
        self.frozen = Some(life.host.freeze().await);
    }

    pub(crate) fn wake(&mut self) {
        self.frozen = None;
    }

    pub(crate) fn revision(&self) -> Revision {
        self.driver().config().revision
    }

    pub(crate) fn drain(&self) {
        let driver = Arc::clone(self.driver());
        // Fed from the host's own runtime, where the node's actions may start tasks.
        let life = self.life.as_ref().expect("the router is alive");
        life.host
            .spawn(async move { driver.feed(toucanturn_core::event::Event::Drain) });
    }

    /// Waits until the drain is over; gives the number of calls that were cut.
    pub(crate) async fn drained(&mut self) -> usize {
        let life = self.life.as_mut().expect("the router is alive");
        let cut = tokio::time::timeout(REST, &mut life.ended).await;
        let cut = cut.expect("the drain ends").expect("no panic");
        self.kill();
        cut
    }
}

/// `Cluster` is the fleet with everything around it.
pub(crate) struct Cluster {
    pub(crate) options: Options,
    pub(crate) platform: Handle,
    pub(crate) engines: Vec<Endpoint>,
    pub(crate) replicas: Vec<Endpoint>,
    pub(crate) routers: Vec<Router>,
    pub(crate) http: reqwest::Client,
    /// Runs the platform and the routers' links.
    _surroundings: Host,
}

impl Cluster {
    /// Starts everything and waits until every router serves chats and orders.
    pub(crate) async fn start(options: Options) -> Self {
        let surroundings = Host::new();
        let mut numbers = 0..;
        let mut engines = Vec::new();
        for n in 0..options.engines {
            engines.push(endpoint(format!("engine-{n}"), &mut numbers).await);
        }
        let mut replicas = Vec::new();
        for n in 0..options.replicas {
            replicas.push(endpoint(format!("orders-{n}"), &mut numbers).await);
        }
        let mut routers = Vec::new();
        for n in 0..options.routers {
            routers.push(Router {
                name: format!("router-{n}"),
                callers: open_link(&surroundings, &mut numbers).await,
                peers: open_link(&surroundings, &mut numbers).await,
                platform: open_link(&surroundings, &mut numbers).await,
                vm_list: start_platform(&surroundings).await,
                life: None,
                frozen: None,
            });
        }
        let http = reqwest::Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .build()
            .expect("a client can be had");
        let mut cluster = Self {
            options,
            platform: start_platform(&surroundings).await,
            engines,
            replicas,
            routers,
            http,
            _surroundings: surroundings,
        };
        for n in 0..cluster.engines.len() {
            cluster.start_engine(n).await;
        }
        for n in 0..cluster.replicas.len() {
            cluster.start_replica(n).await;
        }
        let document = cluster.document();
        cluster.publish(document).await;
        for n in 0..cluster.routers.len() {
            cluster.start_router(n).await;
        }
        cluster.wait_ready().await;
        cluster
    }

    /// Starts an engine's next life behind its link.
    pub(crate) async fn start_engine(&mut self, n: usize) {
        let (per_token, capacity) = (self.options.per_token, self.options.capacity);
        let one = &mut self.engines[n];
        one.incarnation += 1;
        let started = Instant::now();
        let options = engine::Options {
            per_token,
            capacity,
            incarnation: one.incarnation,
            ..engine::Options::default()
        };
        let handle = one.host.run(engine::start(options)).await;
        let handle = handle.expect("an engine starts");
        one.link.point(handle.listen);
        one.lives.push(Life { handle, started });
    }

    /// Starts a replica's next life behind its link.
    pub(crate) async fn start_replica(&mut self, n: usize) {
        let one = &mut self.replicas[n];
        one.incarnation += 1;
        let started = Instant::now();
        let options = service::Options {
            incarnation: one.incarnation,
            ..service::Options::default()
        };
        let handle = one.host.run(service::start(options)).await;
        let handle = handle.expect("a service starts");
        one.link.point(handle.listen);
        one.lives.push(Life { handle, started });
    }

    /// Starts a router's next life behind its links; nothing waits until it serves.
    pub(crate) async fn start_router(&mut self, n: usize) {
        let router = &mut self.routers[n];
        router.kill();
        router.platform.point(self.platform.listen);
        let settings = settings(router);
        let host = Host::new();
        let started = host.run(async move {
            let any = || process::listen(server::ANY_PORT);
            let sockets = Sockets {
                callers: any().await.expect("a port is free"),
                peers: any().await.expect("a port is free"),
                operators: any().await.expect("a port is free"),
            };
            let address = |l: &TcpListener| l.local_addr().expect("the listener is bound");
            let (callers, peers) = (address(&sockets.callers), address(&sockets.peers));
            let incarnation = Incarnation(clock::now().wall.0);
            let process = Process::start(settings, incarnation, sockets).expect("a router starts");
            let driver = Arc::clone(process.driver());
            let ended = tokio::spawn(process.run(std::future::pending()));
            (driver, ended, callers, peers)
        });
        let (driver, ended, callers, peers) = started.await;
        router.callers.point(callers);
        router.peers.point(peers);
        router.life = Some(Running {
            host,
            driver,
            ended,
        });
    }

    /// Waits until every router serves chats, and runs keys that are made now.
    pub(crate) async fn wait_ready(&self) {
        let takes = |router: &Router| {
            let ready = |node: &Node| node.ready() && node.takes_keys(clock::now());
            router.driver().with_node(ready)
        };
        self.until("every router is ready", || {
            let mut up = self.routers.iter().filter(|r| r.is_up());
            up.all(takes)
        })
        .await;
    }

    /// Polls until a condition is true; panics when it doesn't come.
    pub(crate) async fn until(&self, what: &str, condition: impl FnMut() -> bool) {
        assert!(
            reached(REST, condition).await,
            "waited in vain until {what}"
        );
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
        let answer = request.send().await.expect("the stand-in answers");
        answer.json().await.unwrap_or_default()
    }

    pub(crate) async fn truth<T: DeserializeOwned>(&self, life: &Life) -> T {
        let url = format!("http://{}/truth", life.handle.control);
        let answer = self.http.get(url).send().await.expect("the truth is told");
        answer.json().await.expect("the truth is JSON")
    }

    /// Makes a new idempotency key whose home is the given router.
    pub(crate) fn key_at(&self, router: usize) -> uuid::Uuid {
        self.keys_at(router)()
    }

    /// Gets a source of new idempotency keys whose home is the given router, by the present configuration.
    pub(crate) fn keys_at(&self, router: usize) -> impl Fn() -> uuid::Uuid + Send + Sync + 'static {
        let up = self.routers.iter().find(|r| r.is_up());
        let config = up.expect("a router is up").driver().config();
        let home = self.routers[router].name.clone();
        let main = config.workspaces.iter();
        let main = main.map(|(_, w)| w).find(|w| w.id.as_str() == "main");
        let workspace = main.expect("the workspace is published").tag;
        move || loop {
            let uuid = uuid::Uuid::now_v7();
            let key = Key {
                workspace,
                uuid: uuid.as_u128(),
            };
            let found = config.home(key.item()).and_then(|k| config.fleet.get(k));
            if found.is_some_and(|r| r.id.as_str() == home) {
                return uuid;
            }
        }
    }

    /// Gets the whole configuration as one transaction.
    pub(crate) fn document(&self) -> Value {
        let mut entries = Map::new();
        entries.insert("policy".into(), self.policy());
        let mut fleet = Map::new();
        for router in &self.routers {
            let about = json!({"address": router.callers.address.to_string(),
                "peer_address": router.peers.address.to_string(), "data_center": DATA_CENTER});
            fleet.insert(router.name.clone(), about);
        }
        entries.insert("fleet".into(), fleet.into());
        for one in self.engines.iter().chain(&self.replicas) {
            entries.insert(format!("endpoints/{}", one.name), about(one));
        }
        let orders = json!({"path": "/orders", "once": [{"method": "POST"}]});
        entries.insert("services/orders".into(), orders);
        entries.insert("models/assistant".into(), json!({"version": "v1"}));
        entries.insert("workspaces/main".into(), self.workspace(KEY, 100_000));
        entries.into()
    }

    /// Gets the value of a workspace with this bearer key.
    pub(crate) fn workspace(&self, key: &str, rate: u32) -> Value {
        let hash: String = Sha256::digest(key)
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        json!({"key_sha256": [hash], "priority": 5, "requests_per_s": rate,
            "models": ["assistant"], "services": ["orders"],
            "deadline_ms": millis(self.options.deadline)})
    }

    fn policy(&self) -> Value {
        json!({"data_centers": {DATA_CENTER: "be-north"}, "lease_ms": millis(LEASE),
            "clock_skew_ms": 10, "idle_timeout_ms": millis(self.options.idle_timeout),
            "poll_interval_ms": 100, "summary_interval_ms": 100, "retry_budget": 1.0,
            "drain_deadline_ms": 60_000})
    }
}

/// Polls until a condition is true, at most for `limit`; tells whether it came.
pub(crate) async fn reached(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= end {
            return false;
        }
        tokio::time::sleep(LOOK).await;
    }
    true
}

/// Gets the published value of an endpoint.
pub(crate) fn about(one: &Endpoint) -> Value {
    let address = one.link.address.to_string();
    if one.name.starts_with("engine") {
        json!({"kind": "engine", "address": address, "data_center": DATA_CENTER,
            "models": ["assistant"], "capacity": 64})
    } else {
        json!({"kind": "service", "address": address, "data_center": DATA_CENTER,
            "service": "orders"})
    }
}

async fn endpoint(name: String, numbers: &mut impl Iterator<Item = usize>) -> Endpoint {
    let host = Host::new();
    Endpoint {
        name,
        link: open_link(&host, numbers).await,
        incarnation: 0,
        lives: Vec::new(),
        host,
    }
}

async fn open_link(host: &Host, numbers: &mut impl Iterator<Item = usize>) -> Link {
    let number = numbers.next().expect("the numbers do not end");
    let link = host.run(async move { Link::open(number) }).await;
    link.expect("a port is free")
}

async fn start_platform(surroundings: &Host) -> Handle {
    let platform = platform::start(platform::Options::default());
    let platform = surroundings.run(platform).await;
    platform.expect("a platform starts")
}

fn settings(router: &Router) -> Settings {
    let settings = json!({
        "id": router.name,
        "listen": router.callers.address.to_string(),
        "peer_listen": router.peers.address.to_string(),
        // The test binds the sockets itself; this one only has to differ.
        "admin_listen": router.platform.address.to_string(),
        "data_center": DATA_CENTER,
        "config_service": [router.platform.address.to_string()],
        "vm_list": [router.vm_list.listen.to_string()],
        "peer_key": "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff",
        "token_key": "ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100",
        "seed": 1,
    });
    let text = settings.to_string();
    Settings::try_from(text.as_bytes()).expect("the settings are valid")
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
