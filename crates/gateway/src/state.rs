//! What all tasks of the process share.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
};

use tokio::sync::watch;
use toucanturn_core::{
    gateway::Gateway,
    units::Time, //
};

use crate::{
    dialect::Dialect,
    log::Log,
    metrics::Metrics,
    pool::Pool, //
};

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
    pub dialect: Dialect,
    /// Counters and latencies.
    pub metrics: Metrics,
    /// The decision log.
    pub log: Log,
    /// Where the process is on its way to its end.
    pub phase: watch::Sender<Phase>,
    /// Open connections of callers.
    pub connections: Cell<usize>,
}

/// `Shared` is the state as tasks hold it.
pub type Shared = Rc<State>;

impl State {
    /// Makes the state of a process.
    pub fn new(gateway: Gateway, dialect: Dialect) -> Shared {
        Rc::new(Self {
            gateway: RefCell::new(gateway),
            pool: Pool::default(),
            dialect,
            metrics: Metrics::default(),
            log: Log::default(),
            phase: watch::Sender::new(Phase::Serving),
            connections: Cell::new(0),
        })
    }

    /// Gets the phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
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
