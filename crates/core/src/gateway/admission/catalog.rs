//! The published configuration of a gateway, validated.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::{
    IndexMap,
    map::Entry, //
};
use snafu::Snafu;

use crate::{
    gateway::{
        route::Route,
        warmup, //
    },
    units::Millis, //
};

/// Most attempts that a route may allow.
const MAX_ATTEMPTS: u32 = 16;

/// `RawCatalog` is a configuration as it was published: decoded, but not validated.
#[derive(Clone, Debug, Default)]
pub struct RawCatalog {
    /// Version; newer configurations have greater ones.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Workspaces with their API keys; if there are none, requests need no key.
    pub workspaces: Vec<(Workspace, Vec<Bytes>)>,
    /// Limits of what callers may send.
    pub limits: Limits,
    /// Hash of the whole document, which holds every API key and is known only to operators and
    /// routers. Routers authenticate each other with it.
    pub secret: [u8; 32],
}

/// `Service` is one published service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: Bytes,
    /// Path of the health check of its endpoints.
    pub health: Bytes,
    /// Connections that each endpoint accepts from all routers together.
    pub connections: u32,
    /// Its inference engines, if it is served by such.
    pub engine: Option<Engine>,
    /// Request rate that a cold endpoint tolerates, if that is limited.
    pub warmup: Option<warmup::ColdStart>,
}

/// `Engine` describes the inference engines of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Engine {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Tokens that the cache of one engine holds.
    pub memory: u64,
    /// Whether engines can copy cached prompt parts from each other.
    pub shares: bool,
}

/// `Workspace` is one published workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name.
    pub name: Bytes,
    /// Priority of its requests, overriding that of the route.
    pub priority: Option<u8>,
}

/// `Limits` bounds what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub head: usize,
    /// Most bytes of a request's body.
    pub body: usize,
    /// Longest time until a request's head is complete.
    pub head_time: Millis,
    /// Longest time that a connection may stay idle.
    pub idle: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 4 << 20,
            head_time: Millis::from_secs(3),
            idle: Millis::from_secs(15),
        }
    }
}

/// `Error` says why a piece of a configuration is left out or replaced.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Two items have the same name.
    #[snafu(display("expected one {what} named {name:?}, found more"))]
    Duplicate {
        /// Kind of the item.
        what: &'static str,
        /// Name of the item.
        name: Bytes,
    },
    /// The path prefix of a route does not begin and end with a slash.
    #[snafu(display("expected route {name:?} to have a path prefix between slashes"))]
    Prefix {
        /// Name of the route.
        name: Bytes,
    },
    /// No service of a route has a weight above 0.
    #[snafu(display("expected route {name:?} to go to a service with a weight above 0"))]
    NoTarget {
        /// Name of the route.
        name: Bytes,
    },
    /// A route names a service that is not published.
    #[snafu(display("expected service {service:?} of route {name:?} to be published"))]
    Service {
        /// Name of the route.
        name: Bytes,
        /// Name of the service.
        service: Bytes,
    },
    /// A number is out of range.
    #[snafu(display("expected {what} of {name:?} to be above 0 and in bounds"))]
    Number {
        /// Which number.
        what: &'static str,
        /// Name of the item that it belongs to.
        name: Bytes,
    },
}

/// `Catalog` is a validated configuration.
///
/// # Invariants
///
/// Each route goes to published services, allows at least one attempt, has a time limit above 0,
/// and is the only one with its host and prefix. Each key belongs to one workspace.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version.
    pub version: u64,
    /// Limits of what callers may send.
    pub limits: Limits,
    /// Secret shared by the routers that hold this configuration.
    pub secret: [u8; 32],
    /// Routes by host and prefix; `None` for one that is published but can't be used.
    hosts: IndexMap<Bytes, IndexMap<Bytes, Option<Arc<Route>>>>,
    services: IndexMap<Bytes, Service>,
    keys: IndexMap<Bytes, Arc<Workspace>>,
    workspaces: IndexMap<Bytes, Arc<Workspace>>,
    has_workspaces: bool,
}

impl Catalog {
    /// Finds the route for a host and path: the one with the longest matching prefix. A request of a
    /// route that can't be used has none: one with a shorter prefix may go elsewhere.
    pub fn route(&self, host: &[u8], path: &[u8]) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(host)?;
        let slashes = path.iter().enumerate().rev().filter(|(_, b)| **b == b'/');
        slashes
            .map(|(at, _)| &path[..=at])
            .find_map(|prefix| prefixes.get(prefix))?
            .as_ref()
    }

    /// Lists the routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(IndexMap::values).flatten()
    }

    /// Finds the workspace that an API key belongs to.
    pub fn holder(&self, key: &[u8]) -> Option<Arc<Workspace>> {
        self.keys.get(key).cloned()
    }

    /// Finds a workspace by its name; where several have it, the first one.
    pub fn workspace(&self, name: &[u8]) -> Option<&Arc<Workspace>> {
        self.workspaces.get(name)
    }

    /// Tells whether any workspaces are published, so that requests need keys.
    pub fn has_workspaces(&self) -> bool {
        self.has_workspaces
    }

    /// Gets the index of a service, which identifies it among routers with the same configuration.
    pub fn index_of(&self, service: &[u8]) -> Option<u32> {
        let index = self.services.get_index_of(service)?;
        u32::try_from(index).ok()
    }

    /// Gets the name of the service with this index.
    pub fn name_at(&self, index: u32) -> Option<&Bytes> {
        let index = usize::try_from(index).ok()?;
        self.services.get_index(index).map(|(name, _)| name)
    }

    /// Gets the names of the services with these indices; indices of no service are left out.
    pub fn names_at(&self, indices: &[u32]) -> impl Iterator<Item = Bytes> {
        indices.iter().filter_map(|i| self.name_at(*i).cloned())
    }

    /// Finds a service by its name.
    pub fn service(&self, name: &[u8]) -> Option<&Service> {
        self.services.get(name)
    }

    /// Tells whether the engines of a service can copy cached prompt parts from each other.
    pub fn engines_share_cache(&self, service: &[u8]) -> bool {
        let engine = self.services.get(service).and_then(|s| s.engine);
        engine.is_some_and(|e| e.shares)
    }
}

impl TryFrom<RawCatalog> for Catalog {
    type Error = Error;

    fn try_from(raw: RawCatalog) -> Result<Self, Error> {
        let (catalog, faults) = Self::from_usable(raw, Vec::new());
        faults.into_iter().next().map_or(Ok(catalog), Err)
    }
}

impl Catalog {
    /// Makes a catalog of what can be used, and tells what is left out or replaced.
    ///
    /// Each piece is judged by itself: a key that was taken away must not stay because a route can't
    /// be used. Of two services with one name, or two routes of one host and prefix, the first
    /// counts; a key of two workspaces opens neither. `unusable` has the hosts and prefixes of the
    /// routes that could not be decoded.
    pub fn from_usable(raw: RawCatalog, mut unusable: Vec<(Bytes, Bytes)>) -> (Self, Vec<Error>) {
        let mut faults = Vec::new();
        let mut catalog = Self {
            version: raw.version,
            limits: raw.limits,
            secret: raw.secret,
            has_workspaces: !raw.workspaces.is_empty(),
            ..Self::default()
        };
        for mut service in raw.services {
            let name = service.name.clone();
            if service.connections == 0 {
                let what = "connections";
                let name = name.clone();
                faults.push(Error::Number { what, name });
                service.connections = 1;
            }
            match catalog.services.entry(name.clone()) {
                Entry::Vacant(vacant) => drop(vacant.insert(service)),
                Entry::Occupied(_) => {
                    let what = "service";
                    faults.push(Error::Duplicate { what, name });
                }
            }
        }
        for route in raw.routes {
            let place = (route.host.clone(), route.prefix.clone());
            if let Err(fault) = catalog.add(route, &mut faults) {
                faults.push(fault);
                unusable.push(place);
            }
        }
        for (host, prefix) in unusable {
            let prefixes = catalog.hosts.entry(host).or_default();
            prefixes.entry(prefix).or_insert(None);
        }
        let mut shared_keys = Vec::new();
        for (workspace, keys) in raw.workspaces {
            let workspace = Arc::new(workspace);
            let name = workspace.name.clone();
            let named = catalog.workspaces.entry(name.clone());
            named.or_insert_with(|| Arc::clone(&workspace));
            for key in keys {
                let before = catalog.keys.insert(key.clone(), Arc::clone(&workspace));
                if before.is_some_and(|b| b.name != workspace.name) {
                    let what = "workspace with a key of";
                    let name = name.clone();
                    faults.push(Error::Duplicate { what, name });
                    shared_keys.push(key);
                }
            }
        }
        for key in shared_keys {
            catalog.keys.swap_remove(&key);
        }
        (catalog, faults)
    }

    fn add(&mut self, mut route: Route, faults: &mut Vec<Error>) -> Result<(), Error> {
        let name = route.name.clone();
        let bounded = route.prefix.starts_with(b"/") && route.prefix.ends_with(b"/");
        snafu::ensure!(bounded, PrefixSnafu { name });
        let weight: u64 = route.shares.iter().map(|s| u64::from(s.weight)).sum();
        snafu::ensure!(weight > 0, NoTargetSnafu { name });
        let what = "time limit";
        snafu::ensure!(route.limit > Millis(0), NumberSnafu { what, name });
        for share in &route.shares {
            let service = share.service.clone();
            let known = self.services.contains_key(&service);
            snafu::ensure!(known, ServiceSnafu { name, service });
        }
        let attempts = route.attempts.clamp(1, MAX_ATTEMPTS);
        if route.attempts == 0 {
            let what = "attempts";
            let name = name.clone();
            faults.push(Error::Number { what, name });
        }
        route.attempts = attempts;
        let prefixes = self.hosts.entry(route.host.clone()).or_default();
        match prefixes.entry(route.prefix.clone()) {
            Entry::Vacant(vacant) => drop(vacant.insert(Some(Arc::new(route)))),
            Entry::Occupied(_) => {
                let what = "route";
                return DuplicateSnafu { what, name }.fail();
            }
        }
        Ok(())
    }
}
