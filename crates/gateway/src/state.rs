//! What all tasks of the process share.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::VecDeque,
    net::SocketAddrV4,
    rc::Rc,
    time::Duration,
};

use tokio::{
    sync::{
        Notify,
        watch, //
    },
    time::timeout, //
};
use toucanturn_core::{
    gateway::{
        Gateway,
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
    log::LogLimiter,
    metrics::Metrics,
    pool::Pool,
    protocol::ProtocolAdapter, //
};

/// Configurations whose secrets are remembered: routers follow a change at different moments, and
/// several changes may come within a second.
const MAX_SECRETS: usize = 8;

/// Time from the start within which the first read of the registry is expected. Routers that start together share
/// the registry's link; without the wait, they would refuse what comes meanwhile.
const FIRST_READ_TIMEOUT: Millis = Millis(700);

/// `RegistryState` is the state of the registry that is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegistryState {
    /// Its revision.
    pub revision: Revision,
    /// When it was last the newest state.
    pub read: Time,
}

/// `CachedPack` is changes of the registry that were packed for a peer, kept for the next that asks for the same.
#[derive(Clone, Debug)]
pub struct CachedPack {
    /// Revision from which they lead.
    pub since: Revision,
    /// Revision to which they lead.
    pub until: Revision,
    /// The changes.
    pub pack: Rc<Pack>,
}

/// `Phase` is where the process is on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It is not ready any more and serves what comes on open connections, the last one on each.
    Stopping,
    /// It closes idle connections.
    Closing,
}

/// `State` is shared by all tasks; there is one thread.
#[derive(Debug)]
pub struct State {
    /// The decisions.
    pub gateway: RefCell<Gateway>,
    /// Idle connections to endpoints.
    pub pool: Pool,
    /// How requests and answers look on the wire.
    pub protocol: ProtocolAdapter,
    /// Counters and latencies.
    pub metrics: Metrics,
    /// The decision log.
    pub log: LogLimiter,
    /// What is known of the other routers.
    pub mesh: RefCell<Mesh>,
    /// The copy of the registry.
    pub mirror: RefCell<Mirror>,
    /// Tells what is known whenever that changes.
    pub changes: watch::Sender<RegistryState>,
    /// Where the registry is.
    pub registry: SocketAddrV4,
    /// When to read it.
    pub reading: RefCell<ReadScheduler>,
    /// Tells when a peer holds something newer that it doesn't hand on.
    pub peer_withheld_update: Notify,
    /// The changes that were last packed for peers.
    pub cached_pack: RefCell<Option<CachedPack>>,
    /// Whether the copy comes from own reads.
    pub reads: Cell<bool>,
    /// Until when the first read of the registry may be waited for.
    first_read_until: Cell<Time>,
    /// Secrets of the newest configurations, by version.
    secrets: RefCell<VecDeque<(u64, Secret)>>,
    /// Where the process is on its way to its end.
    pub phase: watch::Sender<Phase>,
    /// Open connections of callers.
    pub connections: Cell<usize>,
    /// Requests whose answer has not ended.
    pub requests: Rc<Cell<usize>>,
}

/// `Shared` is the state as tasks hold it.
pub type Shared = Rc<State>;

impl State {
    /// Makes the state of a process.
    pub fn new(
        gateway: Gateway,
        mesh: Mesh,
        protocol: ProtocolAdapter,
        registry: SocketAddrV4,
    ) -> Shared {
        Rc::new(Self {
            gateway: RefCell::new(gateway),
            pool: Pool::default(),
            protocol,
            metrics: Metrics::default(),
            log: LogLimiter::default(),
            mesh: RefCell::new(mesh),
            mirror: RefCell::default(),
            changes: watch::Sender::new(RegistryState::default()),
            registry,
            reading: RefCell::default(),
            peer_withheld_update: Notify::new(),
            cached_pack: RefCell::default(),
            reads: Cell::new(false),
            first_read_until: Cell::new(now() + FIRST_READ_TIMEOUT),
            secrets: RefCell::default(),
            phase: watch::Sender::new(Phase::Serving),
            connections: Cell::new(0),
            requests: Rc::default(),
        })
    }

    /// Gets the phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Gets the secret of a configuration's version, if it is one of the newest.
    pub fn secret(&self, version: u64) -> Option<Secret> {
        let secrets = self.secrets.borrow();
        let found = secrets.iter().find(|(held, _)| *held == version);
        found.map(|(_, secret)| *secret)
    }

    /// Remembers a configuration's secret.
    pub fn remember(&self, version: u64, secret: Secret) {
        let mut secrets = self.secrets.borrow_mut();
        secrets.push_back((version, secret));
        if secrets.len() > MAX_SECRETS {
            secrets.pop_front();
        }
    }

    /// Notes that a read of the registry failed: nobody can say when the next one will do.
    pub fn read_failed(&self) {
        self.first_read_until.set(Time(0));
    }

    /// Waits for the first read while it is under way and nothing says that it will fail. A request that
    /// comes then is served some hundred milliseconds later; refused, its caller would come back after as
    /// long, and to a router that may have started just now.
    pub async fn wait_for_first_read(&self) {
        let left = self.first_read_until.get().since(now());
        let known = || self.gateway.borrow().catalog().is_some();
        if left == Millis(0) || known() {
            return;
        }
        let mut changes = self.changes.subscribe();
        let read = changes.wait_for(|_| known());
        // Whether it came in time is seen by the caller.
        let _ = timeout(Duration::from_millis(left.0), read).await;
    }

    /// Tells whether callers may be sent here.
    pub fn ready(&self) -> bool {
        self.phase() == Phase::Serving && self.gateway.borrow().ready(now())
    }
}

/// Gets the time on a clock that counts suspension.
pub fn now() -> Time {
    toucanturn_clock::now().mono
}

/// Gets a span of the decisions as the library takes it.
pub(crate) const fn duration(span: Millis) -> Duration {
    Duration::from_millis(span.0)
}

/// Gets a span in the decisions' unit.
pub(crate) fn millis(span: Duration) -> Millis {
    Millis(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}
