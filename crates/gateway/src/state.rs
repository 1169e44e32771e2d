//! State that the tasks of the process share.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::VecDeque,
    fmt,
    net::SocketAddrV4,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use indexmap::IndexMap;
use tokio::{
    sync::{
        Mutex,
        Notify,
        watch, //
    },
    time::timeout, //
};
use toucanturn_core::{
    gateway::{
        Gateway,
        catalog::Limits,
        mesh::Mesh,
        mirror::Mirror,
        reading::ReadScheduler, //
    },
    units::{
        Millis,
        Revision,
        Time, //
    },
};
use toucanturn_wire::gossip::{
    Pack,
    Secret, //
};

use crate::{
    budget::{
        Budget,
        MAX_CHECKS, //
    },
    connections::Limiter,
    handoff::PeerPool,
    log::LogLimiter,
    memory::Memory,
    metrics::Metrics,
    pool::Pool,
    prefill::Queries,
    protocol::ProtocolAdapter,
    streams::VersionsProof, //
};

/// Number of configurations whose secrets open what routers tell each other. Routers apply a change at different
/// times, and several changes may come within a second.
const MAX_SECRETS: usize = 8;
/// Time for which polls that are sealed with a replaced configuration's secret are answered. A router that misses many
/// versions in an outage catches up by them.
const POLL_SECRET_TTL: Millis = Millis::from_secs(60);
/// Most replaced configurations whose secrets are kept for polls.
const MAX_POLL_SECRETS: usize = 1024;

/// Time from the start for which requests wait for the first read of the registry. Routers that start together share
/// the registry's link, so their first reads take long; without the wait, they would refuse the requests that
/// arrive meanwhile.
const FIRST_READ_TIMEOUT: Millis = Millis(700);

/// `RegistryState` is the newest known state of the registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegistryState {
    /// Its revision.
    pub revision: Revision,
    /// Time at which it was last known to be the newest state.
    pub read: Time,
}

/// `CachedPack` is the changes last packed for a peer, kept for other peers that request the same ones.
#[derive(Clone, Debug)]
pub struct CachedPack {
    /// Revision that the changes apply to.
    pub since: Revision,
    /// Revision that they result in.
    pub until: Revision,
    /// The packed changes.
    pub pack: Rc<Pack>,
}

/// `Phase` is the phase of the process, from serving to shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves requests.
    Serving,
    /// It reports not ready, and answers the next request on each open connection as the connection's last.
    Stopping,
    /// It closes idle connections.
    Closing,
}

/// `KeptSecret` is the secret of a configuration that is in force, or was.
#[derive(Clone, Copy)]
struct KeptSecret {
    version: u64,
    secret: Secret,
    /// Time from which the configuration is no longer in force.
    replaced: Option<Time>,
}

impl fmt::Debug for KeptSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeptSecret")
            .field("version", &self.version)
            .field("replaced", &self.replaced)
            .finish_non_exhaustive()
    }
}

/// `State` is the state that all tasks share; they run on one thread.
#[derive(Debug)]
pub struct State {
    /// The decisions.
    pub gateway: RefCell<Gateway>,
    /// Idle connections to endpoints.
    pub pool: Pool,
    /// Idle connections to peers.
    pub(crate) peer_pool: PeerPool,
    /// Wire format of requests and answers.
    pub protocol: ProtocolAdapter,
    /// Counters and latency histograms.
    pub metrics: Metrics,
    /// Rate limit of the decision log.
    pub log: LogLimiter,
    /// Rate limit of the log of lost answers, which other lines must not use up.
    pub loss_log: LogLimiter,
    /// Bytes that are buffered of messages.
    pub memory: Memory,
    /// Known state of the other routers.
    pub mesh: RefCell<Mesh>,
    /// Local copy of the registry.
    pub mirror: RefCell<Mirror>,
    /// Publishes the newest known state of the registry.
    pub changes: watch::Sender<RegistryState>,
    /// Address of the listener for callers.
    pub callers: SocketAddrV4,
    /// Address of the registry.
    pub registry: SocketAddrV4,
    /// Schedule of reads of the registry.
    pub reading: RefCell<ReadScheduler>,
    /// Wakes the reads when a peer has something newer that is too large to send.
    pub wake_reads: Notify,
    /// Wakes the reports of streams to peers.
    pub unsent_streams: Notify,
    /// Number of streams that peers are being asked for.
    pub(crate) stream_asks: Cell<usize>,
    /// What the router that reads for this data centre has last proved of the versions of services.
    pub(crate) version_proofs: Mutex<IndexMap<Bytes, VersionsProof>>,
    /// Queries to the keepers of prefill backlogs.
    pub(crate) prefill: Queries,
    /// The changes last packed for a peer.
    pub cached_pack: RefCell<Option<CachedPack>>,
    /// Whether the local copy was last updated by an own read rather than by a peer.
    pub reads: Cell<bool>,
    /// Time until which requests may wait for the first read of the registry.
    first_read_until: Cell<Time>,
    /// Secrets of the newest configurations, from the newest on.
    secrets: RefCell<VecDeque<KeptSecret>>,
    /// Phase of the process.
    pub phase: watch::Sender<Phase>,
    /// Whether the end of the process is near: each request without the head of an answer gets a refusal.
    pub(crate) ending: watch::Sender<bool>,
    /// Whether the process ends: requests that are still open are cut off.
    pub(crate) ended: Cell<bool>,
    /// How the memory and the descriptors of the process are divided.
    pub(crate) budget: Cell<Budget>,
    /// Connections of callers, of checks, and of peers.
    pub(crate) callers_open: Limiter,
    pub(crate) checks_open: Limiter,
    pub(crate) peers_open: Limiter,
    /// Number of requests whose answer has not ended.
    pub requests: Rc<Cell<usize>>,
    /// Number of peers' requests whose answer has not ended.
    pub accepted: Rc<Cell<usize>>,
}

/// `Shared` is a task's reference to the state.
pub type Shared = Rc<State>;

impl State {
    /// Creates the state of a process.
    pub fn new(
        gateway: Gateway,
        mesh: Mesh,
        protocol: ProtocolAdapter,
        callers: SocketAddrV4,
        registry: SocketAddrV4,
    ) -> Shared {
        Rc::new(Self {
            gateway: RefCell::new(gateway),
            pool: Pool::default(),
            peer_pool: PeerPool::default(),
            protocol,
            metrics: Metrics::default(),
            log: LogLimiter::default(),
            loss_log: LogLimiter::default(),
            memory: Memory::default(),
            mesh: RefCell::new(mesh),
            mirror: RefCell::default(),
            changes: watch::Sender::new(RegistryState::default()),
            callers,
            registry,
            reading: RefCell::default(),
            wake_reads: Notify::new(),
            unsent_streams: Notify::new(),
            stream_asks: Cell::new(0),
            version_proofs: Mutex::default(),
            prefill: Queries::default(),
            cached_pack: RefCell::default(),
            reads: Cell::new(false),
            first_read_until: Cell::new(now() + FIRST_READ_TIMEOUT),
            secrets: RefCell::default(),
            phase: watch::Sender::new(Phase::Serving),
            ending: watch::Sender::new(false),
            ended: Cell::new(false),
            budget: Cell::default(),
            callers_open: Limiter::default(),
            checks_open: Limiter::default(),
            peers_open: Limiter::default(),
            requests: Rc::default(),
            accepted: Rc::default(),
        })
    }

    /// Sets how the memory and the descriptors of the process are divided. Open connections beyond it are closed.
    pub(crate) fn set_budget(&self, budget: Budget) {
        self.budget.set(budget);
        self.memory.set_limit(budget.messages);
        let head = self.limits().head;
        self.callers_open.set_most(budget.most_callers(head));
        self.checks_open.set_most(MAX_CHECKS);
        self.peers_open.set_most(budget.most_peers(head));
    }

    /// Gets the limits on requests that the configuration in force publishes.
    pub(crate) fn limits(&self) -> Limits {
        let gateway = self.gateway.borrow();
        gateway.catalog().map(|c| c.limits).unwrap_or_default()
    }

    /// Returns the phase of the process.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns the secret of a configuration version, if it is one of the newest.
    pub fn secret(&self, version: u64) -> Option<Secret> {
        let secrets = self.secrets.borrow();
        let mut newest = secrets.iter().take(MAX_SECRETS);
        let found = newest.find(|kept| kept.version == version);
        found.map(|kept| kept.secret)
    }

    /// Returns the secret of a configuration version whose polls are answered.
    pub fn poll_secret(&self, version: u64) -> Option<Secret> {
        let secrets = self.secrets.borrow();
        let found = secrets.iter().find(|kept| kept.version == version);
        found.map(|kept| kept.secret)
    }

    /// Remembers a configuration's secret.
    pub fn remember(&self, version: u64, secret: Secret) {
        let now = now();
        let mut secrets = self.secrets.borrow_mut();
        if let Some(before) = secrets.front_mut() {
            before.replaced = Some(now);
        }
        secrets.push_front(KeptSecret {
            version,
            secret,
            replaced: None,
        });
        let expired = |kept: &KeptSecret| {
            let replaced = kept.replaced;
            replaced.is_some_and(|at| now.since(at) >= POLL_SECRET_TTL)
        };
        while secrets.len() > MAX_POLL_SECRETS
            || secrets.len() > MAX_SECRETS && secrets.back().is_some_and(expired)
        {
            secrets.pop_back();
        }
    }

    /// Records that a read of the registry failed. Requests then don't wait for the first read any longer, as it is
    /// unknown when a read will succeed.
    pub fn read_failed(&self) {
        self.first_read_until.set(Time(0));
    }

    /// Waits until the first read has brought a configuration, while that is expected. A request that waits is served
    /// some hundred milliseconds later. If it were refused, its caller would retry after as long, possibly at another
    /// router that has just started.
    pub async fn wait_for_first_read(&self) {
        let left = self.first_read_until.get().since(now());
        let known = || self.gateway.borrow().catalog().is_some();
        if left == Millis(0) || known() {
            return;
        }
        let mut changes = self.changes.subscribe();
        let read = changes.wait_for(|_| known());
        // The result is ignored: the caller checks whether a configuration is known.
        let _ = timeout(Duration::from_millis(left.0), read).await;
    }

    /// Waits until the end of the process is near.
    pub(crate) async fn wait_for_end(&self) {
        let mut ending = self.ending.subscribe();
        // Fails only when the sender is dropped, and this state owns it.
        let _ = ending.wait_for(|ending| *ending).await;
    }

    /// Returns whether the load balancer may send callers to this router.
    pub fn ready(&self) -> bool {
        self.phase() == Phase::Serving && self.gateway.borrow().ready(now())
    }
}

/// Returns the time of a monotonic clock that includes time in suspension.
pub fn now() -> Time {
    toucanturn_clock::now().mono
}

/// Converts a time span of `toucanturn-core` to a [`Duration`].
pub(crate) const fn duration(span: Millis) -> Duration {
    Duration::from_millis(span.0)
}

/// Converts a [`Duration`] to a time span of `toucanturn-core`.
pub(crate) fn millis(span: Duration) -> Millis {
    Millis(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}
