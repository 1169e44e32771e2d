//! The processes of a run, the links between them, and what is published.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    fs::File,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    path::{
        Path,
        PathBuf, //
    },
    process::Stdio,
    rc::Rc,
    time::Duration,
};

use snafu::ensure;
use tokio::{
    net::TcpSocket,
    process::Command,
    sync::Mutex,
    task::spawn_local,
    time::sleep, //
};
use toucanturn_platform::names::SETTINGS_VARIABLE;
use toucanturn_platform_standin::{
    clock_ms, control,
    document::{
        self,
        ConfigSpec,
        EntrySpec, //
    },
    replica::{
        Behavior,
        ControlCommand as Told,
        RequestEvent,
        RequestEventKind, //
    },
    store,
};
use toucanturn_standin::link::{
    Link,
    hold, //
};

use crate::{
    errors::{
        OrderSnafu,
        Result, //
    },
    peer_link::PeerLinks,
    plan::{
        Size,
        Versions,
        release, //
    },
    process::{
        Child,
        beside, //
    },
    record::{
        Cold,
        Evacuation,
        Key,
        Member,
        Record,
        Span,
        Start,
        Target, //
    },
};

/// Milliseconds within which a published change is in force; the bounds are shorter than a
/// deployment's, so that a run of seconds goes past them.
pub const CONFIG_MS: u64 = 1000;
/// Milliseconds after which a key that was taken away opens nothing.
pub const REVOKE_MS: u64 = 2500;
/// Milliseconds within which a leaving endpoint gets no more requests.
pub const LEAVING_MS: u64 = 1000;
/// Milliseconds within which an evacuated data centre gets no more requests.
pub const EVACUATION_MS: u64 = 1500;
/// Percent of the rate of a cold endpoint that it may get, and requests within a second besides.
pub const WARMUP_PERCENT: u64 = 150;
/// Requests within a second above that.
pub const WARMUP_SLACK: u64 = 5;
/// Data centres, in which endpoints are by turns.
const DATA_CENTERS: [&str; 2] = ["a", "b"];
/// Routers that all others are told of at their start.
const SEEDS: usize = 3;
/// Seconds from the signal to stop until a router is killed.
pub const STOP_S: f64 = 4.0;
/// Longest time of a request by its route, in milliseconds.
pub const ROUTE_MS: u64 = 2000;
/// Retries allowed for each hundred requests.
pub const RETRY_PERCENT: usize = 20;
/// Retries of all routers besides.
pub const RETRY_EXTRA: usize = 40;
/// Seconds over which both are counted.
pub const RETRY_WINDOW_S: u64 = 10;

/// `Bounds` is the bounds on what routers know, in milliseconds.
#[derive(Clone, Copy)]
struct Bounds {
    config_ms: u64,
    revoke_ms: u64,
    leaving_ms: u64,
    evacuation_ms: u64,
}

const SHORT: Bounds = Bounds {
    config_ms: CONFIG_MS,
    revoke_ms: REVOKE_MS,
    leaving_ms: LEAVING_MS,
    evacuation_ms: EVACUATION_MS,
};
/// Those of a deployment, so that a router that is cut off serves for as long. In plans of releases, where nothing that they
/// bound is published but endpoints that leave and end soon.
const DEPLOYED: Bounds = Bounds {
    config_ms: 2000,
    revoke_ms: 5000,
    leaving_ms: 2000,
    evacuation_ms: 2000,
};

/// `Router` is a router behind its link to the store.
pub struct Router {
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Where it is asked whether it takes them.
    pub ready: SocketAddr,
    /// Its link to the store.
    pub link: Link,
    /// Its process, while there is one.
    pub child: Option<Child>,
    /// Which process it is.
    pub life: u32,
    /// Whether a fault of the process is on its way.
    pub busy: bool,
    peers: SocketAddr,
    /// Where its peers reach it, behind a link.
    advertised: Option<SocketAddr>,
    settings: PathBuf,
    /// Sockets that keep its ports and never listen.
    _holders: Vec<TcpSocket>,
}

/// `Replica` is an endpoint behind its link.
pub struct Replica {
    /// Its name.
    pub id: String,
    /// The link that its entry names.
    pub link: Link,
    /// Its process.
    pub child: Child,
    /// Where it takes orders.
    pub control: SocketAddr,
    /// Whether a fault of the process is on its way.
    pub busy: bool,
    /// Version of its software.
    pub build: &'static str,
    life: u32,
}

/// `Fleet` is everything that runs.
pub struct Fleet {
    /// How much runs.
    pub size: Size,
    /// Routers.
    pub routers: Vec<RefCell<Router>>,
    /// Endpoints.
    pub replicas: Vec<RefCell<Replica>>,
    /// The store's process.
    pub store: RefCell<Child>,
    /// What was seen.
    pub record: Rc<RefCell<Record>>,
    /// Links between the routers, in plans of releases.
    pub peer_links: Rc<PeerLinks>,
    /// Number of the release that all endpoints but those of a later one are of, and of the last one.
    pub release: Cell<usize>,
    last_release: Cell<usize>,
    versions: Versions,
    folder: PathBuf,
    store_control: SocketAddr,
    version: Mutex<u64>,
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
    pub async fn start(size: Size, versions: Versions, folder: &Path) -> Result<Rc<Self>> {
        let program = beside("toucanturn-platform-standin")?;
        let mut child = Child::start(Command::new(&program).arg("store").stdout(Stdio::piped()))?;
        let (ports, _lines) = child.ports("the store").await?;
        let record = Rc::new(RefCell::new(Record::default()));
        let mut replicas = Vec::new();
        for n in 0..size.replicas {
            let link = Link::open(n)?;
            let build = versions.version(n, 0);
            let one = start_replica((n, 0), build, link, &record, size.work_ms).await?;
            replicas.push(RefCell::new(one));
        }
        let peer_links = PeerLinks::new();
        let mut routers = Vec::new();
        for n in 0..size.routers {
            let link = Link::open(size.replicas + n)?;
            link.point(ports.listen);
            let mut router = lay_out(n, link, folder)?;
            if versions == Versions::Releases {
                router.advertised = Some(peer_links.open(n, router.peers).await?);
            }
            routers.push(RefCell::new(router));
        }
        let fleet = Rc::new(Self {
            size,
            routers,
            replicas,
            store: RefCell::new(child),
            record,
            peer_links,
            release: Cell::new(0),
            last_release: Cell::new(0),
            versions,
            folder: folder.to_owned(),
            store_control: ports.control,
            version: Mutex::new(0),
        });
        // Endpoints without another version before them have a fleet that starts for the first time.
        fleet.write_settings(versions == Versions::Releases)?;
        fleet.publish(|_| vec![0, 1]).await?;
        for n in 0..size.replicas {
            fleet.enter(n, "ready", 0).await?;
        }
        for n in 0..size.routers {
            fleet.start_router(n)?;
        }
        Ok(fleet)
    }

    /// Writes the routers' settings; they may be of the fleet's first start.
    ///
    /// # Errors
    ///
    /// A file can't be written.
    pub fn write_settings(&self, first_start: bool) -> Result<()> {
        let address = |router: &RefCell<Router>| {
            let router = router.borrow();
            router.advertised.unwrap_or(router.peers).to_string()
        };
        let seeds: Vec<String> = self.routers.iter().take(SEEDS).map(address).collect();
        let bounds = match self.versions {
            Versions::Releases => DEPLOYED,
            _ => SHORT,
        };
        for (n, router) in self.routers.iter().enumerate() {
            let router = router.borrow();
            let text = settings(n, &router, &seeds, bounds, first_start);
            std::fs::write(&router.settings, text)?;
        }
        Ok(())
    }

    /// Gets the next release's number.
    pub fn next_release(&self) -> usize {
        self.last_release.set(self.last_release.get() + 1);
        self.last_release.get()
    }

    /// Gets what an endpoint does with a request while no fault says else.
    pub fn usual(&self) -> Behavior {
        Behavior::Serve {
            ms: self.size.work_ms,
        }
    }

    /// Starts a router's next process.
    ///
    /// # Errors
    ///
    /// It can't be started.
    pub fn start_router(&self, n: usize) -> Result<()> {
        let mut router = self.routers[n].borrow_mut();
        router.life += 1;
        let log = File::create(self.folder.join(format!("router-{n}-{}.log", router.life)))?;
        let errors = log.try_clone()?;
        let program = beside("toucanturn-gatewayd")?;
        let started = Child::start(
            Command::new(program)
                .env(SETTINGS_VARIABLE, &router.settings)
                .stdout(log)
                .stderr(errors),
        );
        let child = started?;
        if let Some(process) = child.id() {
            self.peer_links.started(n, process);
        }
        router.child = Some(child);
        let start = Start {
            router: n,
            at: clock_ms(),
        };
        self.record.borrow_mut().starts.push(start);
        Ok(())
    }

    /// Starts an endpoint's next process, under a new name at the same address, and enters it.
    ///
    /// # Errors
    ///
    /// It can't be started.
    pub async fn replace(self: &Rc<Self>, n: usize) -> Result<()> {
        let life = self.replicas[n].borrow().life + 1;
        let build = match self.versions {
            Versions::Releases => release(self.release.get()),
            versions => versions.version(n, life),
        };
        self.start_next(n, build).await?;
        self.enter_cold(n).await
    }

    /// Replaces an endpoint by one of a release, and enters it as warm.
    ///
    /// # Errors
    ///
    /// It can't be started.
    pub async fn replace_by(&self, n: usize, number: usize) -> Result<()> {
        self.start_next(n, release(number)).await?;
        self.enter(n, "ready", 0).await
    }

    /// Takes an endpoint's entry out, and starts its next process.
    async fn start_next(&self, n: usize, build: &'static str) -> Result<()> {
        let (old, link, life) = {
            let replica = self.replicas[n].borrow();
            (replica.id.clone(), replica.link.clone(), replica.life + 1)
        };
        let key = document::entry_key(&old);
        self.tell_store(&store::ControlCommand::Remove { key })
            .await?;
        let work_ms = self.size.work_ms;
        let next = start_replica((n, life), build, link, &self.record, work_ms).await?;
        *self.replicas[n].borrow_mut() = next;
        Ok(())
    }

    /// Publishes the entry of an endpoint that is cold for `cold_ms`.
    ///
    /// # Errors
    ///
    /// The store does not obey.
    pub async fn enter(&self, n: usize, state: &str, cold_ms: u64) -> Result<()> {
        let (key, value) = {
            let replica = self.replicas[n].borrow();
            let entry = EntrySpec {
                service: document::SERVICE,
                slots: document::SLOTS,
                address: v4(replica.link.address),
                state,
                data_center: data_center(n),
                cold_ms,
                build: replica.build,
            };
            (document::entry_key(&replica.id), entry.text())
        };
        self.tell_store(&store::ControlCommand::Put { key, value })
            .await
    }

    /// Publishes that an endpoint has become cold.
    ///
    /// # Errors
    ///
    /// The store does not obey.
    pub async fn enter_cold(self: &Rc<Self>, n: usize) -> Result<()> {
        let from = clock_ms();
        let id = self.replicas[n].borrow().id.clone();
        let cold = Cold {
            replica: id.clone(),
            from,
            to: from + document::COLD_MS,
        };
        self.record.borrow_mut().cold.push(cold);
        let fleet = Rc::clone(self);
        spawn_local(async move {
            sleep(Duration::from_millis(document::COLD_MS)).await;
            // The entry of one that was replaced, is about to leave, or became cold again is another's.
            let same = {
                let replica = fleet.replicas[n].borrow();
                let later = |c: &Cold| c.replica == id && c.from > from;
                let again = fleet.record.borrow().cold.iter().any(later);
                replica.id == id && !replica.busy && !again
            };
            if same && let Err(error) = fleet.enter(n, "ready", 0).await {
                let told = format!("{id} was not entered as warm: {error}");
                fleet.record.borrow_mut().processes.push(told);
            }
        });
        self.enter(n, "ready", document::COLD_MS).await
    }

    /// Evacuates a data centre; false while it is evacuated already.
    ///
    /// # Errors
    ///
    /// The store does not obey.
    pub async fn evacuate(&self, data_center: &str) -> Result<bool> {
        let open = |e: &Evacuation| e.data_center == data_center && e.to.is_none();
        if self.record.borrow().evacuations.iter().any(open) {
            return Ok(false);
        }
        let begun = Evacuation {
            data_center: data_center.to_owned(),
            from: u64::MAX,
            to: None,
        };
        let place = {
            let mut record = self.record.borrow_mut();
            record.evacuations.push(begun);
            record.evacuations.len() - 1
        };
        let key = document::evacuation_key(data_center);
        let value = "{}".to_owned();
        self.tell_store(&store::ControlCommand::Put { key, value })
            .await?;
        self.record.borrow_mut().evacuations[place].from = clock_ms();
        Ok(true)
    }

    /// Restores an evacuated data centre.
    ///
    /// # Errors
    ///
    /// The store does not obey.
    pub async fn restore(&self, data_center: &str) -> Result<()> {
        let now = clock_ms();
        for evacuation in &mut self.record.borrow_mut().evacuations {
            if evacuation.data_center == data_center && evacuation.to.is_none() {
                evacuation.to = Some(now);
            }
        }
        let key = document::evacuation_key(data_center);
        self.tell_store(&store::ControlCommand::Remove { key })
            .await
    }

    /// Publishes a configuration, whose good keys `choose` picks by number from those that are good;
    /// new ones are made. One goes out after the other: a slow store would else take an older choice
    /// for the newer.
    ///
    /// # Errors
    ///
    /// The store does not obey.
    pub async fn publish(&self, choose: impl FnOnce(Vec<usize>) -> Vec<usize>) -> Result<()> {
        let mut version = self.version.lock().await;
        *version += 1;
        let good = choose(self.good_keys());
        let names: Vec<String> = good.iter().map(|n| key_name(*n)).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let shape = ConfigSpec {
            version: *version,
            keys: &names,
            timeout_ms: ROUTE_MS,
            idle_ms: 5000,
        };
        let value = document::config(&shape);
        let key = document::CONFIG_KEY.to_owned();
        let before = clock_ms();
        self.tell_store(&store::ControlCommand::Put { key, value })
            .await?;
        self.note_keys(&good, before);
        Ok(())
    }

    /// Notes which keys are good from now on; new ones may be since `before`.
    fn note_keys(&self, good: &[usize], before: u64) {
        let now = clock_ms();
        let mut record = self.record.borrow_mut();
        for (n, key) in record.keys.iter_mut().enumerate() {
            if !good.contains(&n) && key.revoked.is_none() {
                key.revoked = Some(now);
            }
        }
        while record.keys.len() <= good.iter().copied().max().unwrap_or(0) {
            record.keys.push(Key {
                since: before,
                revoked: None,
            });
        }
    }

    /// Takes the oldest good key away and gives a new one.
    ///
    /// # Errors
    ///
    /// The store does not obey.
    pub async fn revoke(&self) -> Result<()> {
        let next = || self.record.borrow().keys.len();
        let choose = |mut good: Vec<usize>| {
            good.remove(0);
            good.push(next());
            good
        };
        self.publish(choose).await
    }

    /// Lists the keys that are good now, by number.
    pub fn good_keys(&self) -> Vec<usize> {
        let record = self.record.borrow();
        let good = record.keys.iter().enumerate();
        let good = good.filter(|(_, key)| key.revoked.is_none());
        good.map(|(n, _)| n).collect()
    }

    /// Tells the store an order.
    ///
    /// # Errors
    ///
    /// It does not obey.
    pub async fn tell_store(&self, order: &store::ControlCommand) -> Result<()> {
        let name = "the store";
        ensure!(
            control::order(self.store_control, order).await,
            OrderSnafu { name }
        );
        Ok(())
    }

    /// Tells an endpoint an order. One that was just killed can't hear it, which changes nothing.
    pub async fn tell_replica(&self, n: usize, order: &Told) {
        let control = self.replicas[n].borrow().control;
        control::order(control, order).await;
    }

    /// Notes a fault that has been there since `from`, and whose effects last a while longer.
    pub fn note_span(&self, target: Target, from: u64, after: u64) {
        let to = clock_ms() + after;
        self.record
            .borrow_mut()
            .spans
            .push(Span { target, from, to });
    }
}

/// Gets the data centre of an endpoint by its number.
pub fn data_center(n: usize) -> &'static str {
    DATA_CENTERS[n % DATA_CENTERS.len()]
}

/// Gets the text of a key by its number.
pub fn key_name(number: usize) -> String {
    format!("key-{number}")
}

async fn start_replica(
    (n, life): (usize, u32),
    build: &'static str,
    link: Link,
    record: &Rc<RefCell<Record>>,
    work_ms: u64,
) -> Result<Replica> {
    let id = format!("i-{n}-{life}");
    let work = work_ms.to_string();
    let mut child = Child::start(
        Command::new(beside("toucanturn-platform-standin")?)
            .args(["replica", "--id", &id, "--work-ms", &work])
            .args(["--build", build])
            .stdout(Stdio::piped()),
    )?;
    let (ports, mut lines) = child.ports(&id).await?;
    link.point(ports.listen);
    let (record, own_link) = (Rc::clone(record), link.clone());
    let member = Member {
        replica: id.clone(),
        from: clock_ms(),
        to: None,
        build: build.to_owned(),
    };
    let place = record.borrow().members.len();
    record.borrow_mut().members.push(member);
    spawn_local(async move {
        while let Ok(Some(line)) = lines.next_line().await {
            // A line that was cut by a kill is no word.
            if let Ok(note) = serde_json::from_str::<RequestEvent>(&line) {
                let mut record = record.borrow_mut();
                if note.what == RequestEventKind::Crashed {
                    let (from, to) = (note.at_ms, note.at_ms + ROUTE_MS);
                    let target = Target::Replica(n);
                    record.spans.push(Span { target, from, to });
                }
                record.notes.push(note);
            }
        }
        // Its output ends with its process.
        own_link.retire(ports.listen);
        record.borrow_mut().members[place].to = Some(clock_ms());
    });
    Ok(Replica {
        id,
        link,
        child,
        control: ports.control,
        busy: false,
        build,
        life,
    })
}

fn lay_out(n: usize, link: Link, folder: &Path) -> Result<Router> {
    let (callers, one) = hold()?;
    let (ready, two) = hold()?;
    let (peers, three) = hold()?;
    Ok(Router {
        callers,
        ready,
        peers,
        advertised: None,
        link,
        child: None,
        life: 0,
        busy: false,
        settings: folder.join(format!("router-{n}.json")),
        _holders: vec![one, two, three],
    })
}

fn settings(
    n: usize,
    router: &Router,
    seeds: &[String],
    bounds: Bounds,
    first_start: bool,
) -> String {
    serde_json::json!({
        "id": format!("router-{n}"), "data_center": "a",
        "registry": router.link.address.to_string(), "seeds": seeds, "first_start": first_start,
        "listen": {"callers": router.callers.to_string(), "ready": router.ready.to_string(),
            "peers": router.peers.to_string(), "advertised": router.advertised},
        "bounds": {"config_ms": bounds.config_ms, "revoke_ms": bounds.revoke_ms,
            "leaving_ms": bounds.leaving_ms, "evacuation_ms": bounds.evacuation_ms,
            "warmup_over": WARMUP_PERCENT as f64 / 100.0,
            "warmup_slack": WARMUP_SLACK,
            "stop_s": STOP_S, "lapse_s": 1.5, "skew": 2, "retry_share": RETRY_PERCENT as f64 / 100.0,
            "retry_extra": RETRY_EXTRA, "retry_window_s": RETRY_WINDOW_S},
    })
    .to_string()
}
