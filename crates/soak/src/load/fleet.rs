//! The processes of a load run, and what is noted of them.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    fs::File,
    hash::{
        DefaultHasher,
        Hash as _,
        Hasher as _, //
    },
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    ops::Range,
    path::{
        Path,
        PathBuf, //
    },
    process::Stdio,
    rc::Rc,
    time::Duration,
};

use indexmap::IndexMap;
use rustix::process::Signal;
use serde::Serialize;
use snafu::ensure;
use tokio::{
    net::TcpSocket,
    process::Command,
    task::spawn_local,
    time::{
        sleep,
        timeout, //
    },
};
use toucanturn_judge::multiple::{
    self,
    Change,
    Note,
    Window, //
};
use toucanturn_platform::names::SETTINGS_VARIABLE;
use toucanturn_platform_standin::{
    caller::ready,
    clock_ms, control,
    document::{
        self,
        BUILD,
        ENGINES,
        EntrySpec,
        LoadRoute,
        POOLS, //
    },
    replica::{
        self,
        POOL_SLOTS,
        RequestEvent,
        RequestEventKind, //
    },
    store,
};
use toucanturn_standin::link::hold;

use crate::{
    errors::{
        EndedSnafu,
        OrderSnafu,
        Result, //
    },
    load::sheet::Sheet,
    process::{
        Child,
        beside, //
    },
};

/// Gets the key of a workspace.
pub fn key(workspace: usize) -> String {
    format!("key-{workspace}")
}

/// Data centres, in which routers and endpoints are by turns.
const DATA_CENTERS: [&str; 4] = ["a", "b", "c", "d"];
/// Requests that an engine runs at once.
const ENGINE_SLOTS: u32 = 64;
/// Time after which an endpoint that leaves ends: a bound for routers and a little more.
const LEAVES: Duration = Duration::from_millis(4500);
/// Bounds of the deployment, in milliseconds.
const CONFIG_MS: u64 = 3000;
const REVOKE_MS: u64 = 5000;
const LEAVING_MS: u64 = 3000;
const EVACUATION_MS: u64 = 5000;
/// Seconds from the signal to stop until a router is killed.
const STOP_S: f64 = 8.0;
/// Time between two looks whether routers are ready, and the longest wait for an answer.
const LOOK: Duration = Duration::from_millis(100);

/// `Router` is a router's process and its addresses.
pub struct Router {
    callers: SocketAddr,
    ready: SocketAddr,
    child: RefCell<Option<Child>>,
    in_rotation: Cell<bool>,
    settings: PathBuf,
    life: Cell<u32>,
    _holders: Vec<TcpSocket>,
}

/// `Endpoint` is an endpoint's process.
struct Endpoint {
    id: String,
    service: &'static str,
    address: SocketAddr,
    control: SocketAddr,
    data_center: &'static str,
    leaving: bool,
    _child: Child,
}

/// `Call` is a request as its caller saw it.
#[derive(Clone, Debug, Serialize)]
pub struct Call {
    /// Its route.
    pub route: &'static str,
    /// Its id.
    pub id: String,
    /// Number of the request that it was an attempt of.
    pub request: u64,
    /// Workspace that sent it.
    pub workspace: usize,
    /// Router that it was sent to.
    pub router: usize,
    /// Its status; 0 where none came.
    pub status: u16,
    /// When it was sent, and when it ended, in milliseconds.
    pub times: (u64, u64),
}

/// `Member` is an endpoint that was there for a time.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// Its service.
    pub service: &'static str,
    /// When it was up, in milliseconds.
    pub up: Range<u64>,
}

/// `Seen` is all that was noted in a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Seen {
    /// Requests, in the order of their ends.
    pub calls: Vec<Call>,
    /// What endpoints noted.
    pub notes: Vec<RequestEvent>,
    /// Endpoints by name.
    pub members: IndexMap<String, Member>,
}

impl Seen {
    /// Lists the services.
    pub fn services(&self) -> [&'static str; 2] {
        [ENGINES, POOLS]
    }

    /// Gets the arrivals at a service's endpoints.
    pub fn arrivals(&self, service: &str) -> Vec<multiple::Arrival> {
        let own = |name: &str| {
            let member = self.members.get(name)?;
            (member.service == service).then(|| self.members.get_index_of(name))?
        };
        let notes = self.notes.iter().filter_map(|note| {
            Some(Note {
                at: note.at_ms,
                endpoint: own(&note.replica)?,
                change: change(note.what),
                counts: true,
            })
        });
        let notes: Vec<Note> = notes.collect();
        let up = self.members.values().enumerate();
        let up = up.filter(|(_, member)| member.service == service);
        let up: BTreeMap<usize, Range<u64>> = up.map(|(n, m)| (n, m.up.clone())).collect();
        multiple::arrivals(&notes, &up)
    }

    /// Judges the load multiple of a service in all windows.
    pub fn windows(&self, service: &str) -> Vec<Window> {
        multiple::calm_windows(&self.arrivals(service), &[])
    }

    /// Counts the calls that were answered well, and all.
    pub fn served(&self) -> (usize, usize) {
        let served = self.calls.iter().filter(|call| call.status == 200);
        (served.count(), self.calls.len())
    }
}

/// Tells what a note says of the load of its endpoint.
pub const fn change(what: RequestEventKind) -> Change {
    match what {
        RequestEventKind::Began => Change::Accepted,
        RequestEventKind::Rejected => Change::Rejected,
        RequestEventKind::Ended | RequestEventKind::Broke | RequestEventKind::Crashed => {
            Change::Ended
        }
    }
}

/// `Fleet` is everything that runs.
pub struct Fleet {
    /// Routers.
    pub routers: Vec<Router>,
    endpoints: RefCell<Vec<Endpoint>>,
    seen: Rc<RefCell<Seen>>,
    sheet: Sheet,
    folder: PathBuf,
    store_control: SocketAddr,
    _store: Child,
}

fn v4(address: SocketAddr) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), address.port())
}

impl Fleet {
    /// Starts everything; logs go to `folder`.
    ///
    /// # Errors
    ///
    /// A program can't be started or a file not written.
    pub async fn start(sheet: &Sheet, folder: &Path) -> Result<Rc<Self>> {
        let program = beside("toucanturn-platform-standin")?;
        let mut store = Child::start(Command::new(&program).arg("store").stdout(Stdio::piped()))?;
        let (ports, _lines) = store.ports("the store").await?;
        let mut routers = Vec::new();
        let mut seeds = Vec::new();
        for n in 0..sheet.routers {
            let (router, peers) = lay_out(n, folder)?;
            seeds.push(peers.to_string());
            routers.push((router, peers));
        }
        seeds.truncate(3);
        for (n, (router, peers)) in routers.iter().enumerate() {
            let text = settings(n, router, *peers, (&seeds, ports.listen));
            std::fs::write(&router.settings, text)?;
        }
        let fleet = Rc::new(Self {
            routers: routers.into_iter().map(|(router, _)| router).collect(),
            endpoints: RefCell::default(),
            seen: Rc::default(),
            sheet: sheet.clone(),
            folder: folder.to_owned(),
            store_control: ports.control,
            _store: store,
        });
        let routes: Vec<LoadRoute<'_>> = sheet.kinds.iter().map(|kind| kind.route).collect();
        let keys: Vec<String> = (0..sheet.workspaces.max(1)).map(key).collect();
        let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
        let value = document::load_config(&keys, &routes, sheet.cold);
        let key = document::CONFIG_KEY.to_owned();
        fleet
            .tell_store(&store::ControlCommand::Put { key, value })
            .await?;
        for _ in 0..sheet.engines {
            fleet.add_endpoint(ENGINES, 0).await?;
        }
        for _ in 0..sheet.pools {
            fleet.add_endpoint(POOLS, 0).await?;
        }
        for n in 0..sheet.routers {
            fleet.start_router(n)?;
        }
        spawn_local(rotate(Rc::clone(&fleet)));
        Ok(fleet)
    }

    /// Waits until all routers take callers.
    ///
    /// # Errors
    ///
    /// A router has ended.
    pub async fn wait_until_ready(&self) -> Result<()> {
        while !self.routers.iter().all(|router| router.in_rotation.get()) {
            for (n, router) in self.routers.iter().enumerate() {
                let mut child = router.child.borrow_mut();
                if child.as_mut().and_then(Child::ended).is_some() {
                    let name = format!("router {n}");
                    let log = std::fs::read_to_string(self.log_path(n))?;
                    return EndedSnafu { name, log }.fail();
                }
            }
            sleep(LOOK).await;
        }
        Ok(())
    }

    /// Gets all that was noted so far.
    pub fn seen(&self) -> Seen {
        self.seen.borrow().clone()
    }

    /// Notes a request that has ended.
    pub fn note_call(&self, call: Call) {
        self.seen.borrow_mut().calls.push(call);
    }

    /// Chooses the router of a client, by a hash of both.
    pub fn router_for(&self, client: u64) -> Option<(usize, SocketAddr)> {
        let weight = |n: usize| {
            let mut hasher = DefaultHasher::new();
            (client, n).hash(&mut hasher);
            hasher.finish()
        };
        let ready = self.routers.iter().enumerate();
        let ready = ready.filter(|(_, router)| router.in_rotation.get());
        let first = ready.max_by_key(|(n, _)| weight(*n))?;
        Some((first.0, first.1.callers))
    }

    /// Suspends a router for a time.
    pub async fn hold_router(&self, n: usize, time: Duration) {
        let signal = |signal| {
            if let Some(child) = &*self.routers[n].child.borrow() {
                child.signal(signal);
            }
        };
        signal(Signal::STOP);
        sleep(time).await;
        signal(Signal::CONT);
    }

    /// Stops a share of the routers one after the other within `time`, and starts each again.
    ///
    /// # Errors
    ///
    /// One can't be started.
    pub async fn restart_routers(self: &Rc<Self>, share: f64, time: Duration) -> Result<()> {
        let count = part(self.routers.len(), share);
        for n in 0..count {
            let router = &self.routers[n];
            router.in_rotation.set(false);
            let child = router.child.borrow_mut().take();
            if let Some(mut child) = child {
                child.signal(Signal::TERM);
                let fleet = Rc::clone(self);
                spawn_local(async move {
                    child.wait(Duration::from_secs_f64(STOP_S)).await;
                    drop(child);
                    if let Err(error) = fleet.start_router(n) {
                        eprintln!("router {n} was not started again: {error}");
                    }
                });
            }
            sleep(time / u32::try_from(count).unwrap_or(u32::MAX).max(1)).await;
        }
        Ok(())
    }

    /// Lets a share of the engines leave.
    ///
    /// # Errors
    ///
    /// The store does not obey.
    pub async fn scale_in(self: &Rc<Self>, share: f64) -> Result<()> {
        for id in self.some_engines(share) {
            self.leave(&id).await?;
        }
        Ok(())
    }

    /// Adds empty engines over a time.
    ///
    /// # Errors
    ///
    /// One can't be started.
    pub async fn scale_out(self: &Rc<Self>, share: f64, time: Duration) -> Result<()> {
        let count = part(self.sheet.engines, share);
        for _ in 0..count {
            self.add_endpoint(ENGINES, self.sheet.cold.0 * 1000).await?;
            sleep(time / u32::try_from(count).unwrap_or(u32::MAX).max(1)).await;
        }
        Ok(())
    }

    /// Replaces a share of the engines one after the other: the new one starts first.
    ///
    /// # Errors
    ///
    /// One can't be started.
    pub async fn release(self: &Rc<Self>, share: f64, time: Duration) -> Result<()> {
        let engines = self.some_engines(share);
        for id in &engines {
            self.add_endpoint(ENGINES, self.sheet.cold.0 * 1000).await?;
            self.leave(id).await?;
            let count = u32::try_from(engines.len()).unwrap_or(u32::MAX);
            sleep(time / count.max(1)).await;
        }
        Ok(())
    }

    /// Lists the control ports of a share of the engines.
    pub fn engines(&self, share: f64) -> Vec<SocketAddr> {
        let some = self.some_engines(share);
        let endpoints = self.endpoints.borrow();
        let some = endpoints.iter().filter(|e| some.contains(&e.id));
        some.map(|e| e.control).collect()
    }

    /// Evacuates a data centre, or restores it.
    ///
    /// # Errors
    ///
    /// The store does not obey.
    pub async fn evacuate(&self, data_center: usize, evacuated: bool) -> Result<()> {
        let key = document::evacuation_key(DATA_CENTERS[data_center % DATA_CENTERS.len()]);
        let order = if evacuated {
            let value = "{}".to_owned();
            store::ControlCommand::Put { key, value }
        } else {
            store::ControlCommand::Remove { key }
        };
        self.tell_store(&order).await
    }

    fn some_engines(&self, share: f64) -> Vec<String> {
        let endpoints = self.endpoints.borrow();
        let engines = endpoints
            .iter()
            .filter(|e| e.service == ENGINES && !e.leaving);
        let engines: Vec<String> = engines.map(|e| e.id.clone()).collect();
        let count = part(engines.len(), share);
        engines.into_iter().take(count).collect()
    }

    /// Lets an endpoint leave: it says so, and ends after the bound.
    async fn leave(self: &Rc<Self>, id: &str) -> Result<()> {
        let found = {
            let mut endpoints = self.endpoints.borrow_mut();
            let found = endpoints.iter_mut().find(|e| e.id == id && !e.leaving);
            found.map(|endpoint| {
                endpoint.leaving = true;
                (endpoint.control, entry(endpoint, 0))
            })
        };
        let Some((control, value)) = found else {
            return Ok(());
        };
        let key = document::entry_key(id);
        self.tell_store(&store::ControlCommand::Put { key, value })
            .await?;
        control::order(control, &replica::ControlCommand::Leave).await;
        let (fleet, id) = (Rc::clone(self), id.to_owned());
        spawn_local(async move {
            sleep(LEAVES).await;
            let key = document::entry_key(&id);
            if let Err(error) = fleet
                .tell_store(&store::ControlCommand::Remove { key })
                .await
            {
                eprintln!("entry of {id} was not removed: {error}");
            }
            fleet.endpoints.borrow_mut().retain(|e| e.id != id);
            if let Some(member) = fleet.seen.borrow_mut().members.get_mut(&id) {
                member.up.end = clock_ms();
            }
        });
        Ok(())
    }

    /// Starts an endpoint that is cold for a time, and enters it.
    async fn add_endpoint(&self, service: &'static str, cold_ms: u64) -> Result<()> {
        let n = self.seen.borrow().members.len();
        let kind = if service == ENGINES { "engine" } else { "pool" };
        let id = format!("{kind}-{n}");
        let work = self.sheet.pool_ms.to_string();
        let (slots, queue) = self.sheet.room;
        let mut child = Child::start(
            Command::new(beside("toucanturn-platform-standin")?)
                .args(["replica", "--id", &id, "--work-ms", &work, "--kind", kind])
                .args(["--slots", &slots.to_string(), "--queue", &queue.to_string()])
                .stdout(Stdio::piped()),
        )?;
        let (ports, mut lines) = child.ports(&id).await?;
        let seen = Rc::clone(&self.seen);
        spawn_local(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                if let Ok(note) = serde_json::from_str::<RequestEvent>(&line) {
                    seen.borrow_mut().notes.push(note);
                }
            }
        });
        let endpoint = Endpoint {
            id: id.clone(),
            service,
            address: ports.listen,
            control: ports.control,
            data_center: DATA_CENTERS[n % DATA_CENTERS.len()],
            leaving: false,
            _child: child,
        };
        let (key, value) = (document::entry_key(&id), entry(&endpoint, cold_ms));
        let up = clock_ms()..u64::MAX;
        self.seen
            .borrow_mut()
            .members
            .insert(id, Member { service, up });
        self.endpoints.borrow_mut().push(endpoint);
        self.tell_store(&store::ControlCommand::Put { key, value })
            .await
    }

    /// Gets the path of the log of a router's present life.
    fn log_path(&self, n: usize) -> PathBuf {
        let life = self.routers[n].life.get();
        self.folder.join(format!("router-{n}-{life}.log"))
    }

    fn start_router(&self, n: usize) -> Result<()> {
        let router = &self.routers[n];
        router.life.set(router.life.get() + 1);
        let log = File::create(self.log_path(n))?;
        let errors = log.try_clone()?;
        let started = Child::start(
            Command::new(beside("toucanturn-gatewayd")?)
                .env(SETTINGS_VARIABLE, &router.settings)
                .stdout(log)
                .stderr(errors),
        );
        *router.child.borrow_mut() = Some(started?);
        Ok(())
    }

    async fn tell_store(&self, order: &store::ControlCommand) -> Result<()> {
        let name = "the store";
        ensure!(
            control::order(self.store_control, order).await,
            OrderSnafu { name }
        );
        Ok(())
    }
}

/// Asks all routers whether they take callers, for as long as the run lasts.
async fn rotate(fleet: Rc<Fleet>) {
    loop {
        sleep(LOOK).await;
        for router in &fleet.routers {
            let asked = timeout(LOOK, ready(router.ready));
            // A router that is held up stays in rotation, as it does with a balancer that allows a miss.
            match asked.await {
                Ok(taken) if router.child.borrow().is_some() => router.in_rotation.set(taken),
                _ => {}
            }
        }
    }
}

/// Gets how many of a number a share is, one at least.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share of a small number"
)]
fn part(of: usize, share: f64) -> usize {
    ((of as f64 * share).round() as usize).max(1)
}

fn entry(endpoint: &Endpoint, cold_ms: u64) -> String {
    let slots = if endpoint.service == ENGINES {
        ENGINE_SLOTS
    } else {
        u32::try_from(POOL_SLOTS).unwrap_or(u32::MAX)
    };
    let entry = EntrySpec {
        service: endpoint.service,
        slots,
        address: v4(endpoint.address),
        state: if endpoint.leaving {
            "draining"
        } else {
            "ready"
        },
        data_center: endpoint.data_center,
        cold_ms,
        build: BUILD,
    };
    entry.text()
}

fn lay_out(n: usize, folder: &Path) -> Result<(Router, SocketAddr)> {
    let (callers, one) = hold()?;
    let (ready, two) = hold()?;
    let (peers, three) = hold()?;
    let router = Router {
        callers,
        ready,
        child: RefCell::new(None),
        in_rotation: Cell::new(false),
        settings: folder.join(format!("router-{n}.json")),
        life: Cell::new(0),
        _holders: vec![one, two, three],
    };
    Ok((router, peers))
}

fn settings(
    n: usize,
    router: &Router,
    peers: SocketAddr,
    (seeds, registry): (&[String], SocketAddr),
) -> String {
    serde_json::json!({
        "id": format!("router-{n}"), "data_center": DATA_CENTERS[n % DATA_CENTERS.len()],
        "registry": registry.to_string(), "seeds": seeds,
        "listen": {"callers": router.callers.to_string(), "ready": router.ready.to_string(),
            "peers": peers.to_string()},
        "bounds": {"config_ms": CONFIG_MS, "revoke_ms": REVOKE_MS, "leaving_ms": LEAVING_MS,
            "evacuation_ms": EVACUATION_MS, "warmup_over": 1.5, "warmup_slack": 5, "stop_s": STOP_S,
            "lapse_s": 2, "skew": 2, "retry_share": 0.2, "retry_extra": 212, "retry_window_s": 10},
    })
    .to_string()
}
