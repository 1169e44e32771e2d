//! The platform: configuration service, VM list and weight store.

mod control;
mod document;
mod read;
mod store;
mod weights;

pub use crate::server::Handle;
use crate::{
    Result,
    lagged::Lagged,
    platform::{
        store::Store,
        weights::Weights, //
    },
    server::{
        self,
        Ports,
        Runs, //
    },
    sync::lock,
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    path::PathBuf,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};
use tokio::sync::watch;

/// `Options` of a platform.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses to bind; by default the system picks.
    pub ports: Ports,
    /// A whole configuration document to publish at the start; by default none.
    pub publish: Option<PathBuf>,
    /// Tokens a second of the weight store; by default 10.
    pub weight_tokens_per_s: u32,
    /// Tokens the weight store can save up; by default 10.
    pub weight_burst: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ports: Ports::default(),
            publish: None,
            weight_tokens_per_s: 10,
            weight_burst: 10,
        }
    }
}

/// `Vm` is one entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Vm {
    /// Its id.
    pub id: String,
    /// Its state as the platform sees it, `live` or `leaving`.
    pub state: String,
}

/// `Mode` is how the platform goes wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Nothing goes wrong.
    #[default]
    Ok,
    /// Connections are closed without an answer.
    Down,
    /// The configuration stays as it was when the fault was set.
    Stale,
    /// Answers aren't what the protocol says.
    Rubbish,
    /// Every read answers a whole earlier snapshot, whatever revision it asks for.
    Older,
    /// Calls are read and never answered.
    Hang,
}

/// `Calls` counts the calls; a waiting watch is one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Calls {
    /// Reads of the configuration, watches included.
    pub config: u64,
    /// Reads of the configuration that asked to wait.
    pub watches: u64,
    /// Reads of the VM list.
    pub vms: u64,
    /// Calls of the weight store.
    pub weights: u64,
}

/// `VmList` is the list with the lag it is read at.
#[derive(Debug)]
struct VmList {
    list: Lagged<Vec<Vm>>,
    lag: Duration,
}

/// `Platform` is the state behind both ports.
#[derive(Debug)]
struct Platform {
    store: Mutex<Store>,
    vms: Mutex<VmList>,
    weights: Mutex<Weights>,
    calls: Mutex<Calls>,
    /// Wakes the waiting reads after a publish or a change of fault.
    changes: watch::Sender<()>,
}

impl Platform {
    /// Runs `change` on the store and wakes the waiting reads.
    fn change<T>(&self, change: impl FnOnce(&mut Store) -> T) -> T {
        let result = change(&mut lock(&self.store));
        self.changes.send_replace(());
        result
    }
}

/// Starts a platform.
///
/// # Errors
///
/// When a port can't be bound or the document can't be published.
pub async fn start(options: Options) -> Result<Handle> {
    let mut store = Store::default();
    if let Some(path) = &options.publish {
        store.publish(document::read(path)?)?;
    }
    let platform = Arc::new(Platform {
        store: Mutex::new(store),
        vms: Mutex::new(VmList {
            list: Lagged::new(Vec::new()),
            lag: Duration::ZERO,
        }),
        weights: Mutex::new(Weights::new(
            options.weight_tokens_per_s,
            options.weight_burst,
        )),
        calls: Mutex::default(),
        changes: watch::Sender::new(()),
    });
    let gate = platform.clone();
    server::start(
        options.ports,
        read::routes(&platform),
        control::routes(&platform),
        move || lock(&gate.store).mode() == Mode::Down,
        Runs::new(|_| 0),
    )
    .await
}
