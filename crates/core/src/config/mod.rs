//! The published configuration after validation.
//!
//! Operators publish keys with JSON values (docs/CONFIGURATION.md). [`store::Store`] merges them by
//! revision, validates the result and puts the newest valid revision in force. In the types of this
//! module every reference resolves and every number is in its range.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use crate::{
    arena::{
        Arena,
        EndpointKey,
        ModelKey,
        RouterKey,
        ServiceKey,
        WorkspaceKey, //
    },
    ids::{
        Id,
        Tag, //
    },
    units::{
        Millis,
        Permille,
        Revision, //
    },
};

mod build;
mod cross;
pub mod document;
mod entry;
pub mod fault;
pub mod field;
pub mod key;
pub(crate) mod object;
pub mod raw;
pub mod reference;
pub mod store;

/// `Config` is one valid revision of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Revision of the newest entry.
    pub revision: Revision,
    /// Revision at which the fleet list last changed.
    pub epoch: Revision,
    /// Rules of the whole deployment.
    pub policy: Arc<Policy>,
    /// The published fleet of routers.
    pub fleet: Arena<RouterKey, Router>,
    /// Engines and plain service replicas.
    pub endpoints: Arena<EndpointKey, Endpoint>,
    /// Plain services.
    pub services: Arena<ServiceKey, Service>,
    /// Models.
    pub models: Arena<ModelKey, Model>,
    /// Workspaces.
    pub workspaces: Arena<WorkspaceKey, Workspace>,
}

/// `Policy` holds the rules of the whole deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Greatest load of an engine, as a multiple of the mean load.
    pub load_multiple: Permille,
    /// Time that a drain may take before the remaining requests are cut off.
    pub drain_deadline: Millis,
    /// Retries as a share of first attempts, per router.
    pub retry_budget: Permille,
    /// Most attempts for one request, the first included.
    pub max_attempts: u32,
    /// Time for which the home router keeps an idempotency key, and greatest age of a key.
    pub key_ttl: Millis,
    /// Duration of a home router's lease.
    pub lease: Millis,
    /// Greatest difference between two wall clocks, those of callers included.
    pub clock_skew: Millis,
    /// Time without progress after which a connection counts as stalled.
    pub idle_timeout: Millis,
    /// Time between two load polls of one endpoint.
    pub poll_interval: Millis,
    /// Time between two summary messages to a peer.
    pub summary_interval: Millis,
    /// Routers per region that watch the configuration service.
    pub config_readers: u32,
    /// Region of each data centre.
    pub data_centers: indexmap::IndexMap<Id, Id>,
}

impl Default for Policy {
    fn default() -> Self {
        let millis = |field: &field::Field| Millis(field.number_or_least());
        let number_u32 = |field: &field::Field| u32::try_from(field.number_or_least()).unwrap_or(0);
        Self {
            load_multiple: Permille(number_u32(&reference::LOAD_MULTIPLE)),
            drain_deadline: millis(&reference::DRAIN_DEADLINE),
            retry_budget: Permille(number_u32(&reference::RETRY_BUDGET)),
            max_attempts: number_u32(&reference::MAX_ATTEMPTS),
            key_ttl: millis(&reference::KEY_TTL),
            lease: millis(&reference::LEASE),
            clock_skew: millis(&reference::CLOCK_SKEW),
            idle_timeout: millis(&reference::IDLE_TIMEOUT),
            poll_interval: millis(&reference::POLL_INTERVAL),
            summary_interval: millis(&reference::SUMMARY_INTERVAL),
            config_readers: number_u32(&reference::CONFIG_READERS),
            data_centers: indexmap::IndexMap::new(),
        }
    }
}

/// `Router` is one VM of the published fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Router {
    /// Name.
    pub id: Id,
    /// Tag of the name.
    pub tag: Tag,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Its data centre.
    pub data_center: Id,
}

/// `Kind` says what an endpoint is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A replica of a plain service.
    Service,
}

/// `Check` says whether an endpoint checks the fencing number or idempotency key of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// It refuses old fencing numbers or repeated keys.
    Checked,
    /// It ignores the number or key.
    Ignored,
}

/// `Endpoint` is one engine or one replica of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Name.
    pub id: Id,
    /// Tag of the name.
    pub tag: Tag,
    /// Engine or service.
    pub kind: Kind,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_center: Id,
    /// Models it serves; empty for services.
    pub models: Vec<ModelKey>,
    /// The service it is a replica of; `None` for engines.
    pub service: Option<ServiceKey>,
    /// Most requests that it serves at once.
    pub capacity: u32,
    /// Whether it checks fencing numbers of orders.
    pub fencing: Check,
    /// Whether it checks idempotency keys.
    pub key_check: Check,
}

/// `Rule` selects calls of a service that must not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// HTTP method in capitals.
    pub method: bytes::Bytes,
    /// Path prefix below the service's own path; empty for all.
    pub path: bytes::Bytes,
}

/// `Service` is a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub id: Id,
    /// Path prefix under which callers reach it; starts with '/'.
    pub path: bytes::Bytes,
    /// Rules that select the calls to run at most once.
    pub once: Vec<Rule>,
}

/// `Model` is a model that engines serve.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name.
    pub id: Id,
    /// Version that engines should load.
    pub version: Id,
    /// Fewest engines that should hold it.
    pub min_replicas: u32,
}

/// `Priority` orders requests under overload: 0 is shed first, 9 last.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Priority(pub u8);

/// `Limit` bounds what a workspace may use over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Requests a second.
    pub requests_per_s: u32,
    /// Requests that may come at once after a time without requests.
    pub burst: u32,
}

/// `Workspace` holds the keys, limits and permissions of one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name.
    pub id: Id,
    /// Tag of the name.
    pub tag: Tag,
    /// SHA-256 hashes of its bearer keys.
    pub keys: Vec<[u8; 32]>,
    /// Its priority.
    pub priority: Priority,
    /// Its limit over the whole fleet.
    pub limit: Limit,
    /// Models it may use.
    pub models: Vec<ModelKey>,
    /// Services it may use.
    pub services: Vec<ServiceKey>,
    /// Deadline of a request that states none.
    pub deadline: Millis,
}

impl Config {
    /// Gets the service whose path is the longest prefix of `path`.
    pub fn service_at(&self, path: &[u8]) -> Option<(ServiceKey, &Arc<Service>)> {
        let under = |s: &Service| {
            let rest = path.strip_prefix(s.path.as_ref());
            rest.is_some_and(|r| r.is_empty() || r.starts_with(b"/") || s.path.ends_with(b"/"))
        };
        let found = self.services.iter().filter(|(_, s)| under(s));
        found.max_by_key(|(_, s)| s.path.len())
    }

    /// Gets the home router of `item`: the one with the highest rendezvous score.
    pub fn home(&self, item: u64) -> Option<RouterKey> {
        let score = |tag| (crate::ids::rendezvous(item, tag), tag);
        self.fleet
            .iter()
            .max_by_key(|(_, r)| score(r.tag))
            .map(|(key, _)| key)
    }
}

impl Service {
    /// Returns whether a call must run at most once.
    pub fn is_once(&self, method: &[u8], path: &[u8]) -> bool {
        let rest = path.strip_prefix(self.path.as_ref()).unwrap_or(path);
        let hit = |r: &Rule| r.method == method && rest.starts_with(&r.path);
        self.once.iter().any(hit)
    }
}
