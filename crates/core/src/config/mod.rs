//! The published configuration in its checked form.
//!
//! Operators publish keys with JSON values (docs/CONFIGURATION.md); [`store::Store`] merges them
//! by revision, checks the whole and puts the newest valid revision in force. The types here are
//! what the decisions read: every cross-reference holds, every number is in its range.

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

/// `Config` is one revision of the configuration, checked as a whole.
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
    /// No engine carries more than this multiple of the mean load.
    pub load_multiple: Permille,
    /// Time that a drain may take before what is left is cut.
    pub drain_deadline: Millis,
    /// Retries as a share of first attempts, per router.
    pub retry_budget: Permille,
    /// Most attempts for one request, the first included.
    pub max_attempts: u32,
    /// How long the home remembers an idempotency key, and how old a key may be.
    pub key_ttl: Millis,
    /// Length of a home's lease.
    pub lease: Millis,
    /// Largest distance between two wall clocks, callers' included.
    pub clock_skew: Millis,
    /// Time without progress after which a connection counts as silent.
    pub idle_timeout: Millis,
    /// Time between two load polls of one endpoint.
    pub poll_interval: Millis,
    /// Time between two summaries to a peer.
    pub summary_interval: Millis,
    /// Routers per region that watch the configuration service.
    pub config_readers: u32,
    /// Region of each data centre.
    pub data_centers: indexmap::IndexMap<Id, Id>,
}

impl Default for Policy {
    fn default() -> Self {
        let millis = |field: &field::Field| Millis(field.number_or_least());
        let small = |field: &field::Field| u32::try_from(field.number_or_least()).unwrap_or(0);
        Self {
            load_multiple: Permille(small(&reference::LOAD_MULTIPLE)),
            drain_deadline: millis(&reference::DRAIN_DEADLINE),
            retry_budget: Permille(small(&reference::RETRY_BUDGET)),
            max_attempts: small(&reference::MAX_ATTEMPTS),
            key_ttl: millis(&reference::KEY_TTL),
            lease: millis(&reference::LEASE),
            clock_skew: millis(&reference::CLOCK_SKEW),
            idle_timeout: millis(&reference::IDLE_TIMEOUT),
            poll_interval: millis(&reference::POLL_INTERVAL),
            summary_interval: millis(&reference::SUMMARY_INTERVAL),
            config_readers: small(&reference::CONFIG_READERS),
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
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Where peers reach it.
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

/// `Check` says whether an endpoint checks a number or key that comes with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// It refuses what is old or repeated.
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
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_center: Id,
    /// Models it serves; empty for services.
    pub models: Vec<ModelKey>,
    /// The service it is a replica of; `None` for engines.
    pub service: Option<ServiceKey>,
    /// Requests in progress that it takes at once.
    pub capacity: u32,
    /// Whether it checks fencing numbers of orders.
    pub fencing: Check,
    /// Whether it checks idempotency keys.
    pub key_check: Check,
}

/// `Rule` names calls of a service that may not be repeated.
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
    /// Calls that run at most once.
    pub once: Vec<Rule>,
}

/// `Model` is a model that engines serve.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name.
    pub id: Id,
    /// Version that engines shall hold.
    pub version: Id,
    /// Fewest engines that shall hold it.
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
    /// Requests that may come at once after a quiet time.
    pub burst: u32,
}

/// `Workspace` is one customer's share of the deployment.
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
    /// Deadline of a request that brings none.
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

    /// Gets the router of the fleet that is home to `item` (highest rendezvous score).
    pub fn home(&self, item: u64) -> Option<RouterKey> {
        let score = |tag| (crate::ids::rendezvous(item, tag), tag);
        self.fleet
            .iter()
            .max_by_key(|(_, r)| score(r.tag))
            .map(|(key, _)| key)
    }
}

impl Service {
    /// Tells whether a call may run at most once.
    pub fn is_once(&self, method: &[u8], path: &[u8]) -> bool {
        let rest = path.strip_prefix(self.path.as_ref()).unwrap_or(path);
        let hit = |r: &Rule| r.method == method && rest.starts_with(&r.path);
        self.once.iter().any(hit)
    }
}
