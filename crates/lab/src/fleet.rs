//! The processes of the demonstration: platform, engines, a service, three routers.

use std::{
    net::TcpListener,
    time::Duration, //
};

use serde_json::{
    Value,
    json, //
};
use sha2::{
    Digest,
    Sha256, //
};
use snafu::{
    ResultExt,
    ensure, //
};
use tempfile::TempDir;

use crate::{
    errors::{
        CallSnafu,
        IoSnafu,
        NotReadySnafu,
        Result,
        UnexpectedSnafu, //
    },
    process::Process,
};

/// Bearer key of the workspace.
pub const KEY: &str = "a-key-for-the-demonstration";

/// Times that a router is asked before it counts as not ready.
const WAITS: usize = 200;

/// Time between two such questions.
const WAIT: Duration = Duration::from_millis(50);

const DATA_CENTER: &str = "be-north-a";

/// `Shape` says how many processes there are and how fast the engines answer.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Routers.
    pub routers: usize,
    /// Engines.
    pub engines: usize,
    /// Further arguments of each engine.
    pub engine_args: Vec<String>,
    /// Requests in progress that an engine takes.
    pub capacity: usize,
    /// Requests a second that the workspace may make.
    pub requests_per_s: u32,
    /// Least level that routers log.
    pub log_level: &'static str,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            routers: 3,
            engines: 3,
            engine_args: Vec::new(),
            capacity: 32,
            requests_per_s: 100,
            log_level: "info",
        }
    }
}

/// `Fleet` holds the started processes.
pub struct Fleet {
    /// The routers.
    pub routers: Vec<Process>,
    /// The engines.
    pub engines: Vec<Process>,
    /// The plain service.
    pub service: Process,
    /// A client towards all of them.
    pub client: reqwest::Client,
    platform: Process,
    _files: TempDir,
}

impl Fleet {
    /// Starts everything and waits until the routers are ready.
    pub async fn start(shape: Shape) -> Result<Self> {
        let files = TempDir::new().context(IoSnafu)?;
        let engine = |n: usize| {
            let capacity = shape.capacity.to_string();
            let base = ["engine", "--model", "assistant", "--capacity", &capacity];
            let args: Vec<&str> = base
                .into_iter()
                .chain(shape.engine_args.iter().map(String::as_str))
                .collect();
            Process::start(&format!("engine-{n}"), "toucanturn-standin", &args)
        };
        let engines = (1..=shape.engines)
            .map(engine)
            .collect::<Result<Vec<_>>>()?;
        let service = Process::start("orders-1", "toucanturn-standin", &["service"])?;
        let ports = free_ports(shape.routers * 3)?;
        let config = config(&shape, &engines, &service, &ports);
        let path = files.path().join("config.json");
        std::fs::write(&path, config.to_string()).context(IoSnafu)?;
        let published = path.to_string_lossy();
        let args = ["platform", "--publish", &published];
        let platform = Process::start("platform", "toucanturn-standin", &args)?;
        let mut routers = Vec::new();
        for n in 0..shape.routers {
            let path = files.path().join(format!("router-{n}.json"));
            let settings = settings(&shape, n, &ports, &platform.address("listen"));
            std::fs::write(&path, settings.to_string()).context(IoSnafu)?;
            let args = ["--settings", &path.to_string_lossy()];
            routers.push(Process::start(
                &format!("router-{}", n + 1),
                "toucanturnd",
                &args,
            )?);
        }
        let client = reqwest::Client::new();
        let fleet = Self {
            routers,
            engines,
            service,
            client,
            platform,
            _files: files,
        };
        for router in &fleet.routers {
            fleet.wait_ready(router).await?;
        }
        Ok(fleet)
    }

    /// Gets the number of processes.
    #[expect(clippy::len_without_is_empty, reason = "a fleet is never empty")]
    pub fn len(&self) -> usize {
        self.routers.len() + self.engines.len() + 2
    }

    /// Prints the decisions on a request from all routers' logs.
    pub fn print_decisions(&self, id: &str) {
        for router in &self.routers {
            for line in router.lines(id) {
                let Ok(Value::Object(line)) = serde_json::from_str(&line) else {
                    continue;
                };
                let fields = line.get("fields").cloned().unwrap_or_default();
                println!("    {}: {fields}", router.name);
            }
        }
    }

    /// Drains the routers one after the other, then ends the stand-ins.
    pub async fn stop(&mut self) -> Result<()> {
        for router in self.routers.drain(..) {
            let name = router.name.clone();
            let code = router.stop()?;
            println!("{name} drained and ended with exit code {code}");
            ensure!(
                code == 0,
                UnexpectedSnafu {
                    expected: "0",
                    found: code.to_string()
                }
            );
        }
        println!(
            "stopping {}, the engines and the service",
            self.platform.name
        );
        Ok(())
    }

    /// Waits until every router would run a new order: the homes of keys need their leases.
    pub async fn wait_for_leases(&self) -> Result<()> {
        for router in &self.routers {
            let url = format!("http://{}/status", router.address("admin"));
            let mut takes_keys = false;
            for _ in 0..WAITS {
                let answer = self.client.get(&url).send().await.context(CallSnafu)?;
                let status: Value = answer.json().await.context(CallSnafu)?;
                takes_keys = status["takes_keys"] == true;
                if takes_keys {
                    break;
                }
                tokio::time::sleep(WAIT).await;
            }
            ensure!(takes_keys, NotReadySnafu { name: &router.name });
        }
        Ok(())
    }

    async fn wait_ready(&self, router: &Process) -> Result<()> {
        let url = format!("http://{}/readyz", router.address("admin"));
        for _ in 0..WAITS {
            let answer = self.client.get(&url).send().await;
            if answer.is_ok_and(|a| a.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(WAIT).await;
        }
        NotReadySnafu { name: &router.name }.fail()
    }
}

fn free_ports(count: usize) -> Result<Vec<u16>> {
    let bind = |_| TcpListener::bind("127.0.0.1:0").context(IoSnafu);
    let held = (0..count).map(bind).collect::<Result<Vec<_>>>()?;
    held.iter()
        .map(|l| Ok(l.local_addr().context(IoSnafu)?.port()))
        .collect()
}

fn address(port: u16) -> String {
    format!("127.0.0.1:{port}")
}

fn config(shape: &Shape, engines: &[Process], service: &Process, ports: &[u16]) -> Value {
    let hash: String = Sha256::digest(KEY)
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect();
    let mut endpoints = serde_json::Map::new();
    for engine in engines {
        let about = json!({"kind": "engine", "address": engine.address("listen"),
            "data_center": DATA_CENTER, "models": ["assistant"], "capacity": shape.capacity});
        endpoints.insert(engine.name.clone(), about);
    }
    let about = json!({"kind": "service", "address": service.address("listen"),
        "data_center": DATA_CENTER, "service": "orders"});
    endpoints.insert(service.name.clone(), about);
    let mut fleet = serde_json::Map::new();
    for (n, three) in ports.chunks(3).enumerate() {
        let about = json!({"address": address(three[0]), "peer_address": address(three[1]),
            "data_center": DATA_CENTER});
        fleet.insert(format!("router-{}", n + 1), about);
    }
    json!({
        "policy": {"data_centers": {DATA_CENTER: "be-north"}},
        "fleet": fleet,
        "endpoints": endpoints,
        "services": {"orders": {"path": "/orders", "once": [{"method": "POST"}]}},
        "models": {"assistant": {"version": "v1"}},
        "workspaces": {"vitalbox-chat": {"key_sha256": [hash], "priority": 5,
            "requests_per_s": shape.requests_per_s, "models": ["assistant"], "services": ["orders"],
            "deadline_ms": 60000}}
    })
}

fn settings(shape: &Shape, n: usize, ports: &[u16], platform: &str) -> Value {
    let three = &ports[n * 3..n * 3 + 3];
    json!({
        "id": format!("router-{}", n + 1),
        "listen": address(three[0]),
        "peer_listen": address(three[1]),
        "admin_listen": address(three[2]),
        "data_center": DATA_CENTER,
        "config_service": [platform],
        "log": {"level": shape.log_level},
        "peer_key": "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff",
        "token_key": "ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100",
    })
}
