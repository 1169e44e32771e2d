//! The published configuration of a gateway, validated.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::{
    IndexMap,
    IndexSet,
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
    /// Workspaces with their API keys; `None` if requests need no key. With an empty list no key
    /// opens anything.
    pub workspaces: Option<Vec<(Workspace, Vec<Bytes>)>>,
    /// Limits of what callers may send.
    pub limits: Limits,
    /// Hash of the whole document, which holds every API key and is known only to operators and
    /// routers. Routers authenticate each other with it.
    pub secret: [u8; 32],
}

/// `Undecoded` is what was published but could not be decoded: it must not count as absent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Undecoded {
    /// Hosts and path prefixes of routes.
    pub routes: Vec<(Bytes, Bytes)>,
    /// Hosts of routes whose path prefix is unknown.
    pub hosts: Vec<Bytes>,
    /// Whether there are routes whose host is unknown.
    pub any_host: bool,
    /// Positions of services in the published list, in ascending order.
    pub services: Vec<usize>,
    /// Keys of workspaces that are unknown.
    pub keys: Vec<Bytes>,
    /// Whether there are unknown keys.
    pub any_key: bool,
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

/// `Found` is what a configuration holds for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found<T> {
    /// A piece that can be used.
    Usable(T),
    /// One that is published, or may be, but can't be used.
    Unusable,
    /// Nothing.
    Nothing,
}

impl<T> Found<T> {
    /// Gets the piece if it can be used.
    pub fn usable(self) -> Option<T> {
        match self {
            Self::Usable(piece) => Some(piece),
            Self::Unusable | Self::Nothing => None,
        }
    }
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
    /// Hosts that have routes whose path prefix is unknown.
    unplaced_hosts: IndexSet<Bytes>,
    /// Whether there are routes whose host is unknown.
    has_unplaced_routes: bool,
    /// Services with their positions in the published list.
    services: IndexMap<Bytes, (u32, Service)>,
    /// Names by position in the published list; `None` for a service that is left out.
    positions: Vec<Option<Bytes>>,
    /// Workspaces by key; `None` for a key that is published but can't be used.
    keys: IndexMap<Bytes, Option<Arc<Workspace>>>,
    has_unknown_keys: bool,
    workspaces: IndexMap<Bytes, Arc<Workspace>>,
    has_workspaces: bool,
}

impl Catalog {
    /// Finds the route for a host and path: the one with the longest matching prefix.
    ///
    /// A request of a route that can't be used goes by no route with a shorter prefix: that one may
    /// lead elsewhere. A request without a route may be one of a route whose place is unknown.
    pub fn find_route(&self, host: &[u8], path: &[u8]) -> Found<&Arc<Route>> {
        let prefixes = self.hosts.get(host);
        let slashes = path.iter().enumerate().rev().filter(|(_, b)| **b == b'/');
        let found = slashes
            .map(|(at, _)| &path[..=at])
            .find_map(|prefix| prefixes?.get(prefix));
        match found {
            Some(Some(route)) => Found::Usable(route),
            Some(None) => Found::Unusable,
            None if self.has_unplaced_routes || self.unplaced_hosts.contains(host) => {
                Found::Unusable
            }
            None => Found::Nothing,
        }
    }

    /// Finds the route for a host and path, if there is one that can be used.
    pub fn route(&self, host: &[u8], path: &[u8]) -> Option<&Arc<Route>> {
        self.find_route(host, path).usable()
    }

    /// Lists the routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(IndexMap::values).flatten()
    }

    /// Finds the workspace that an API key belongs to. A key that is not known may be one of those
    /// that could not be decoded.
    pub fn find_holder(&self, key: &[u8]) -> Found<&Arc<Workspace>> {
        match self.keys.get(key) {
            Some(Some(workspace)) => Found::Usable(workspace),
            Some(None) => Found::Unusable,
            None if self.has_unknown_keys => Found::Unusable,
            None => Found::Nothing,
        }
    }

    /// Finds the workspace that an API key belongs to, if the key can be used.
    pub fn holder(&self, key: &[u8]) -> Option<Arc<Workspace>> {
        self.find_holder(key).usable().cloned()
    }

    /// Finds a workspace by its name; where several have it, the first one.
    pub fn workspace(&self, name: &[u8]) -> Option<&Arc<Workspace>> {
        self.workspaces.get(name)
    }

    /// Tells whether a list of workspaces is published, so that requests need keys.
    pub fn has_workspaces(&self) -> bool {
        self.has_workspaces
    }

    /// Gets the position of a service in the published list, which identifies it among routers with
    /// the same configuration, also where they can't use the same pieces of it.
    pub fn index_of(&self, service: &[u8]) -> Option<u32> {
        self.services.get(service).map(|(index, _)| *index)
    }

    /// Gets the name of the service at this position.
    pub fn name_at(&self, index: u32) -> Option<&Bytes> {
        let index = usize::try_from(index).ok()?;
        self.positions.get(index)?.as_ref()
    }

    /// Gets the names of the services with these indices; indices of no service are left out.
    pub fn names_at(&self, indices: &[u32]) -> impl Iterator<Item = Bytes> {
        indices.iter().filter_map(|i| self.name_at(*i).cloned())
    }

    /// Finds a service by its name.
    pub fn service(&self, name: &[u8]) -> Option<&Service> {
        self.services.get(name).map(|(_, service)| service)
    }

    /// Tells whether the engines of a service can copy cached prompt parts from each other.
    pub fn engines_share_cache(&self, service: &[u8]) -> bool {
        let engine = self.service(service).and_then(|s| s.engine);
        engine.is_some_and(|e| e.shares)
    }
}

impl TryFrom<RawCatalog> for Catalog {
    type Error = Error;

    fn try_from(raw: RawCatalog) -> Result<Self, Error> {
        let (catalog, faults) = Self::from_usable(raw, Undecoded::default());
        faults.into_iter().next().map_or(Ok(catalog), Err)
    }
}

impl Catalog {
    /// Makes a catalog of what can be used, and tells what is left out or replaced.
    ///
    /// Each piece is judged by itself: a key that was taken away must not stay because a route can't
    /// be used. Of two services with one name, or two routes of one host and prefix, the first
    /// counts; a key of two workspaces opens neither.
    pub fn from_usable(raw: RawCatalog, mut undecoded: Undecoded) -> (Self, Vec<Error>) {
        let mut faults = Vec::new();
        let mut catalog = Self {
            version: raw.version,
            limits: raw.limits,
            secret: raw.secret,
            has_workspaces: raw.workspaces.is_some(),
            has_unplaced_routes: undecoded.any_host,
            has_unknown_keys: undecoded.any_key,
            ..Self::default()
        };
        catalog.add_services(raw.services, &undecoded.services, &mut faults);
        for route in raw.routes {
            let place = (route.host.clone(), route.prefix.clone());
            if let Err(fault) = catalog.add_route(route, &mut faults) {
                faults.push(fault);
                undecoded.routes.push(place);
            }
        }
        for (host, prefix) in undecoded.routes {
            let prefixes = catalog.hosts.entry(host).or_default();
            prefixes.entry(between_slashes(prefix)).or_insert(None);
        }
        catalog.unplaced_hosts = undecoded.hosts.into_iter().collect();
        for (workspace, keys) in raw.workspaces.into_iter().flatten() {
            catalog.add_workspace(workspace, keys, &mut faults);
        }
        let unusable = undecoded.keys.into_iter().map(|key| (key, None));
        catalog.keys.extend(unusable);
        (catalog, faults)
    }

    fn add_services(
        &mut self,
        services: Vec<Service>,
        undecoded: &[usize],
        faults: &mut Vec<Error>,
    ) {
        for mut service in services {
            while undecoded.binary_search(&self.positions.len()).is_ok() {
                self.positions.push(None);
            }
            let name = service.name.clone();
            if service.connections == 0 {
                let what = "connections";
                let name = name.clone();
                faults.push(Error::Number { what, name });
                service.connections = 1;
            }
            let index = u32::try_from(self.positions.len()).unwrap_or(u32::MAX);
            let position = match self.services.entry(name.clone()) {
                Entry::Vacant(vacant) => {
                    vacant.insert((index, service));
                    Some(name)
                }
                Entry::Occupied(_) => {
                    let what = "service";
                    faults.push(Error::Duplicate { what, name });
                    None
                }
            };
            self.positions.push(position);
        }
    }

    fn add_workspace(&mut self, workspace: Workspace, keys: Vec<Bytes>, faults: &mut Vec<Error>) {
        let workspace = Arc::new(workspace);
        let name = workspace.name.clone();
        let named = self.workspaces.entry(name.clone());
        named.or_insert_with(|| Arc::clone(&workspace));
        for key in keys {
            match self.keys.entry(key) {
                Entry::Vacant(vacant) => drop(vacant.insert(Some(Arc::clone(&workspace)))),
                Entry::Occupied(mut held) => {
                    let holder = held.get_mut();
                    if holder.as_ref().is_none_or(|h| h.name != name) {
                        let what = "workspace with a key of";
                        let name = name.clone();
                        faults.push(Error::Duplicate { what, name });
                        *holder = None;
                    }
                }
            }
        }
    }

    fn add_route(&mut self, mut route: Route, faults: &mut Vec<Error>) -> Result<(), Error> {
        let name = route.name.clone();
        let bounded = route.prefix.starts_with(b"/") && route.prefix.ends_with(b"/");
        snafu::ensure!(bounded, PrefixSnafu { name });
        route.shares.retain(|share| {
            let is_published = self.services.contains_key(&share.service);
            if !is_published {
                let service = share.service.clone();
                let name = name.clone();
                faults.push(Error::Service { name, service });
            }
            is_published
        });
        let weight: u64 = route.shares.iter().map(|s| u64::from(s.weight)).sum();
        snafu::ensure!(weight > 0, NoTargetSnafu { name });
        let what = "time limit";
        snafu::ensure!(route.limit > Millis(0), NumberSnafu { what, name });
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

/// Adds the slashes that a path prefix lacks: requests below it are those of its route.
fn between_slashes(prefix: Bytes) -> Bytes {
    if prefix.starts_with(b"/") && prefix.ends_with(b"/") {
        return prefix;
    }
    let mut bounded = Vec::with_capacity(prefix.len() + 2);
    if !prefix.starts_with(b"/") {
        bounded.push(b'/');
    }
    bounded.extend_from_slice(&prefix);
    if !bounded.ends_with(b"/") {
        bounded.push(b'/');
    }
    bounded.into()
}
