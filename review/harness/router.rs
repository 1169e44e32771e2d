//! Routers: the program of the deploy file as separate processes.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{http, Record};

/// The command of the deploy file's role.
const PROGRAM: &str = "target/lean/toucanturn-gatewayd";

/// `Folder` is a temporary folder; it is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(case: &str) -> std::io::Result<Self> {
        let name = format!("toucanturn-review-{case}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// `Router` is a process; it is killed when this is dropped.
pub struct Router {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Arc<Record>,
}

fn free_address() -> std::io::Result<SocketAddr> {
    let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    TcpListener::bind(any)?.local_addr()
}

impl Router {
    /// Picks addresses for routers; none is started yet.
    pub fn plan(count: usize, folder: &Path, record: &Arc<Record>) -> std::io::Result<Vec<Self>> {
        let one = |n: usize| {
            let name = format!("front-hall-a-{}", n + 1);
            Ok(Self {
                front: free_address()?,
                ready: free_address()?,
                control: free_address()?,
                settings: folder.join(format!("{name}.json")),
                log: folder.join(format!("{name}.log")),
                child: None,
                record: Arc::clone(record),
                name,
            })
        };
        (0..count).map(one).collect()
    }

    /// Writes the settings as the deploy file's template is filled in for a small deployment.
    /// `first` says whether the whole system starts for the first time.
    pub fn configure(&self, store: SocketAddr, seeds: &[SocketAddr], first: bool) -> std::io::Result<()> {
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let text = format!(
            "{{\"id\":\"{}\",\"data_center\":\"hall-a\",\"listen\":{{\"callers\":\"{}\",\"ready\":\"{}\",\
             \"peers\":\"{}\"}},\"registry\":\"{store}\",\"seeds\":[{}],\"first_start\":{first},\
             \"bounds\":{{\"config_ms\":2000,\"revoke_ms\":5000,\"leaving_ms\":2000,\"stop_s\":8,\
             \"lapse_s\":2,\"skew\":2,\"retry_share\":0.2,\"retry_extra\":54,\"retry_window_s\":10}}}}",
            self.name, self.front, self.ready, self.control, seeds.join(",")
        );
        std::fs::write(&self.settings, text)
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = std::fs::File::create(&self.log)?;
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("TOUCANTURN_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()?;
        self.record.note(format!("router {} starts, process {}", self.name, child.id()));
        self.child = Some(child);
        Ok(())
    }

    /// Kills its process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.record.note(format!("router {} is killed", self.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /v1/readiness HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n";
        let answer = http::call(self.ready, request, Duration::from_millis(500));
        answer.is_ok_and(|a| a.status() == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Lines of its log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|l| l.contains(text));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
