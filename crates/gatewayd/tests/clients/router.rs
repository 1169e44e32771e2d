//! The daemon as a process, with a store and an endpoint beside it, and what the operating system says of it.

use std::{
    fs,
    net::{
        Ipv4Addr,
        SocketAddr,
        SocketAddrV4, //
    },
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        Stdio, //
    },
    rc::Rc,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use tokio::{
    task::LocalSet,
    time::{
        sleep,
        timeout, //
    },
};
use toucanturn_platform::names::SETTINGS_VARIABLE;
use toucanturn_platform_standin::{
    caller::{
        self,
        Caller,
        ReceivedResponse,
        RequestSpec, //
    },
    document::{
        self,
        ConfigSpec,
        LimitSpec, //
    },
    replica::{
        Behavior,
        Replica, //
    },
    store::Store,
};

use crate::crowd::{
    self,
    Script, //
};

/// API keys of three workspaces, and of a fourth one whose callers behave.
pub(crate) const KEYS: [&str; 3] = ["key-a", "key-b", "key-c"];
pub(crate) const ORDINARY_KEY: &str = "key-of-ordinary";
/// Longest body and longest head of a request by the tests' configuration.
pub(crate) const MAX_BODY: usize = 4 << 20;
pub(crate) const MAX_HEAD: usize = 16 << 10;
/// Time for which callers may be silent: a crowd stays for longer than an ordinary caller waits.
const IDLE_MS: u64 = 300_000;
const MEBIBYTE: u64 = 1 << 20;
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Samples in a row that show nothing more until a crowd has settled, and the most samples.
const SETTLED_SAMPLES: u32 = 50;
const MAX_SAMPLES: u32 = 500;
/// Times that a caller comes back after a refusal.
const RETRIES: u32 = 200;
/// State of a socket that listens, in `/proc/net/tcp`.
const LISTENS: &str = "0A";
const LISTENERS: usize = 3;
const ANY_PORT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);

/// Memory of the smallest VMs, with descriptors for all of a crowd.
pub(crate) const SMALL: Bounds = Bounds {
    memory_mb: 112,
    descriptors: 4100,
};
/// Fewer descriptors than a crowd has connections.
pub(crate) const FEW_DESCRIPTORS: Bounds = Bounds {
    descriptors: 600,
    ..SMALL
};

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Bounds of a test's router.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) memory_mb: u64,
    /// File descriptors that the process may open.
    pub(crate) descriptors: usize,
}

/// `Router` is a running daemon; dropping it kills the process.
pub(crate) struct Router {
    child: Child,
    bounds: Bounds,
    settings: PathBuf,
    /// Addresses for readiness checks, callers and peers.
    pub(crate) ready: SocketAddr,
    pub(crate) callers: SocketAddr,
    pub(crate) peers: SocketAddr,
    store: Rc<Store>,
    _replica: Rc<Replica>,
    _folder: tempfile::TempDir,
    /// Most bytes that the process and its sockets have held, and most descriptors that were open.
    peak: (u64, usize),
}

/// Runs a test on one thread, with no other of these tests beside it.
pub(crate) fn run(test: impl Future<Output = ()>) {
    let _alone: MutexGuard<'_, ()> = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let local = LocalSet::new();
    runtime
        .expect("the runtime starts")
        .block_on(local.run_until(test));
}

/// Makes a configuration with four workspaces.
fn config() -> String {
    let spec = ConfigSpec {
        version: 1,
        keys: &[ORDINARY_KEY],
        timeout_ms: 20_000,
        idle_ms: IDLE_MS,
    };
    let limits = LimitSpec {
        head: MAX_HEAD,
        body: MAX_BODY,
        idle_ms: IDLE_MS,
    };
    document::limited_config(&spec, limits, &KEYS).expect("a configuration")
}

fn settings(store: &Store, bounds: Bounds) -> String {
    let any = "127.0.0.1:0";
    serde_json::json!({
        "id": "r1", "data_center": "a", "registry": store.address.to_string(), "seeds": [],
        "first_start": true,
        "listen": {"callers": any, "ready": any, "peers": any},
        "bounds": {"config_ms": 2000, "revoke_ms": 60_000, "leaving_ms": 2000, "stop_s": 6,
            "lapse_s": 2, "skew": 2, "retry_share": 0.2, "retry_extra": 54, "retry_window_s": 10,
            "memory_mb": bounds.memory_mb},
    })
    .to_string()
}

/// Waits until a value is there.
pub(crate) async fn wait_for<T>(what: &str, value: impl AsyncFn() -> Option<T>) -> T {
    let waiting = async {
        loop {
            if let Some(found) = value().await {
                return found;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    let found = timeout(WAIT_TIMEOUT, waiting).await;
    found.unwrap_or_else(|_| panic!("{what}: not in time"))
}

/// Lists the numbers of a process's descriptors, with the inodes of those that are sockets.
fn descriptors(pid: u32) -> Vec<(u32, Option<String>)> {
    let entries = fs::read_dir(format!("/proc/{pid}/fd")).expect("the process lives");
    let mut found = Vec::new();
    for entry in entries.flatten() {
        let number = entry.file_name().to_string_lossy().parse();
        let link = fs::read_link(entry.path()).unwrap_or_default();
        let link = link.to_string_lossy();
        let inode = link
            .strip_prefix("socket:[")
            .map(|l| l.trim_end_matches(']').to_owned());
        found.extend(number.map(|number| (number, inode)));
    }
    found.sort();
    found
}

/// `Socket` is a row of `/proc/net/tcp`.
struct Socket {
    port: u16,
    listens: bool,
    unsent: u64,
    unread: u64,
    inode: String,
}

fn sockets() -> Vec<Socket> {
    let text = fs::read_to_string("/proc/net/tcp").expect("the table can be read");
    let rows = text.lines().skip(1);
    let parsed = rows.filter_map(|row| {
        let columns: Vec<&str> = row.split_whitespace().collect();
        let [_, local, _, state, queues, _, _, _, _, inode, ..] = columns.as_slice() else {
            return None;
        };
        let (unsent, unread) = queues.split_once(':')?;
        let port = local.rsplit(':').next()?;
        Some(Socket {
            port: u16::from_str_radix(port, 16).ok()?,
            listens: *state == LISTENS,
            unsent: u64::from_str_radix(unsent, 16).ok()?,
            unread: u64::from_str_radix(unread, 16).ok()?,
            inode: (*inode).to_owned(),
        })
    });
    parsed.collect()
}

/// Gets the ports on which a process listens, in the order of their descriptors; `None` until all do.
fn listening(pid: u32) -> Option<[u16; LISTENERS]> {
    let sockets = sockets();
    let own = descriptors(pid).into_iter().filter_map(|(_, inode)| inode);
    let ports = own.filter_map(|inode| {
        let socket = sockets.iter().find(|s| s.listens && s.inode == inode);
        socket.map(|s| s.port)
    });
    ports.collect::<Vec<_>>().try_into().ok()
}

impl Router {
    /// Starts a router with a store and an endpoint, and waits until it is ready.
    pub(crate) async fn start(bounds: Bounds) -> Self {
        let router = Self::start_unready(bounds).await;
        router.publish().await;
        router
    }

    /// Publishes the configuration, and waits until the router is ready.
    pub(crate) async fn publish(&self) {
        self.store.put(document::CONFIG_KEY, &config());
        wait_for("the router is ready", async || {
            caller::ready(self.ready).await.then_some(())
        })
        .await;
    }

    /// Starts a router that knows no configuration.
    pub(crate) async fn start_unready(bounds: Bounds) -> Self {
        let store = Store::listen(ANY_PORT).await.expect("a free port");
        let replica = Replica::listen(ANY_PORT, "i-0", Behavior::Answer, Box::new(|_| ()));
        let replica = replica.await.expect("a free port");
        store.put(
            &document::entry_key("i-0"),
            &document::entry(replica.address, "ready"),
        );
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let path = folder.path().join("settings.json");
        fs::write(&path, settings(&store, bounds)).expect("the file can be written");
        let child = spawn(&path, bounds.descriptors);
        let pid = child.id();
        let ports = wait_for("the listeners", async || listening(pid)).await;
        let [ready, callers, peers] = ports.map(|p| SocketAddr::from((Ipv4Addr::LOCALHOST, p)));
        Self {
            child,
            bounds,
            settings: path,
            ready,
            callers,
            peers,
            store,
            _replica: replica,
            _folder: folder,
            peak: (0, 0),
        }
    }

    /// Gets the bytes that are resident, or received and unread, or sent and not taken; and the number of descriptors.
    fn usage(&self) -> (u64, usize) {
        let pid = self.child.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|r| r.trim().trim_end_matches(" kB").parse().ok());
        let resident: u64 = resident.expect("the process lives");
        let own = [self.ready, self.callers, self.peers].map(|a| a.port());
        let sockets = sockets().into_iter();
        let held = sockets.filter(|s| !s.listens && own.contains(&s.port));
        let queued: u64 = held.map(|s| s.unread + s.unsent).sum();
        (resident * 1024 + queued, descriptors(pid).len())
    }

    /// Notes what the process holds now.
    pub(crate) fn sample(&mut self) {
        let (bytes, descriptors) = self.usage();
        self.peak = (self.peak.0.max(bytes), self.peak.1.max(descriptors));
    }

    /// Drives a crowd and notes meanwhile what the process holds.
    pub(crate) async fn sample_during<T>(&mut self, crowd: impl Future<Output = T>) -> T {
        tokio::pin!(crowd);
        loop {
            tokio::select! {
                result = crowd.as_mut() => return result,
                () = sleep(POLL_INTERVAL) => self.sample(),
            }
        }
    }

    /// Waits until the process holds no more than before for some time.
    async fn settle(&mut self) {
        let mut same = 0;
        for _ in 0..MAX_SAMPLES {
            let before = self.peak;
            self.sample();
            same = if self.peak == before { same + 1 } else { 0 };
            if same == SETTLED_SAMPLES {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends an ordinary request, and again while it is refused as not run.
    async fn call_until_served(&self) -> ReceivedResponse {
        let mut answer = ReceivedResponse::default();
        for number in 0..RETRIES {
            answer = self.call(&format!("ordinary-{number}")).await;
            if !matches!(answer.status, 429 | 503) {
                break;
            }
            sleep(RETRY_INTERVAL).await;
        }
        answer
    }

    /// Sends a short request on a connection of its own.
    async fn call(&self, id: &str) -> ReceivedResponse {
        let spec = RequestSpec {
            kind: "read",
            id,
            key: ORDINARY_KEY,
            deadline_ms: 30_000,
            item: "x",
        };
        self.send(&spec.text("")).await
    }

    /// Sends a request on a connection of its own.
    pub(crate) async fn send(&self, text: &str) -> ReceivedResponse {
        let calling = async {
            let mut caller = Caller::connect(self.callers).await.ok()?;
            caller.write(text).await.ok()?;
            Some(caller.response().await)
        };
        let answered = timeout(WAIT_TIMEOUT, calling).await;
        answered.ok().flatten().unwrap_or_default()
    }

    /// Lets a crowd send to one of the listeners, and checks the router while the crowd's connections stay open.
    pub(crate) async fn withstand(
        &mut self,
        name: &str,
        address: SocketAddr,
        count: usize,
        script: impl Fn(usize) -> Script,
    ) {
        let crowd = crowd::send(address, count, script);
        let open = self.sample_during(crowd).await;
        self.check(name).await;
        drop(open);
    }

    /// Checks that the process lives, that it has kept its bounds, and that an ordinary request is answered.
    pub(crate) async fn check(&mut self, crowd: &str) {
        self.settle().await;
        let answer = self.call_until_served().await;
        self.sample();
        let (bytes, descriptors) = self.peak;
        let exit = self.child.try_wait().expect("the child can be asked for");
        println!(
            "{crowd}: {} of {} MiB, {descriptors} of {} descriptors, status {}, exit {exit:?}",
            bytes / MEBIBYTE,
            self.bounds.memory_mb,
            self.bounds.descriptors,
            answer.status
        );
        assert!(exit.is_none(), "{crowd}: the process ended: {exit:?}");
        assert!(
            bytes <= self.bounds.memory_mb * MEBIBYTE,
            "{crowd}: {} MiB held, {} allowed",
            bytes / MEBIBYTE,
            self.bounds.memory_mb
        );
        assert!(
            descriptors < self.bounds.descriptors,
            "{crowd}: {descriptors} descriptors open, less than {} expected",
            self.bounds.descriptors
        );
        assert_eq!(answer.status, 200, "{crowd}: an ordinary request");
    }

    /// Sends the process a signal.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(sent.expect("kill can be run").success(), "{name} was sent");
    }

    /// Waits until the process has ended.
    pub(crate) async fn wait_for_exit(&mut self) {
        let waiting = async {
            while self
                .child
                .try_wait()
                .expect("the child can be asked for")
                .is_none()
            {
                sleep(POLL_INTERVAL).await;
            }
        };
        let ended = timeout(WAIT_TIMEOUT, waiting).await;
        assert!(ended.is_ok(), "the process hangs after SIGTERM");
    }

    /// Replaces the memory that the settings allow, which the process reads anew.
    pub(crate) fn set_memory(&mut self, memory_mb: u64) {
        let text = fs::read_to_string(&self.settings).expect("the file can be read");
        let before = format!("\"memory_mb\":{}", self.bounds.memory_mb);
        let text = text.replace(&before, &format!("\"memory_mb\":{memory_mb}"));
        let new = self.settings.with_extension("new");
        fs::write(&new, text).expect("the file can be written");
        fs::rename(&new, &self.settings).expect("the file can be replaced");
        self.bounds.memory_mb = memory_mb;
        self.peak = (0, 0);
        self.signal("HUP");
    }
}

fn spawn(settings: &Path, descriptors: usize) -> Child {
    let limited = format!("ulimit -n {descriptors} && exec \"$0\"");
    let child = Command::new("sh")
        .args(["-c", &limited, env!("CARGO_BIN_EXE_toucanturn-gatewayd")])
        .env(SETTINGS_VARIABLE, settings)
        .stdout(Stdio::null())
        .spawn();
    child.expect("the daemon starts")
}

impl Drop for Router {
    fn drop(&mut self) {
        // Fails if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
