//! The published configuration of a gateway, checked.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;
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

/// `Raw` is a configuration as it was published, its words decoded.
#[derive(Clone, Debug, Default)]
pub struct Raw {
    /// Its version; later ones are greater.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Workspaces; none means that no key is asked for.
    pub workspaces: Vec<(Workspace, Vec<Bytes>)>,
    /// What callers may send.
    pub limits: Limits,
    /// Hash of the whole document, which holds every key and is known to operators and routers
    /// alone. Routers authenticate each other with it.
    pub secret: [u8; 32],
}

/// `Service` is one published service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: Bytes,
    /// Path that answers whether an endpoint is healthy.
    pub health: Bytes,
    /// Connections that each endpoint takes from all routers together.
    pub connections: u32,
    /// What its engines are, where it is served by engines.
    pub engine: Option<Engine>,
    /// What its endpoints tolerate after their start, where that is bounded.
    pub warmup: Option<warmup::ColdStart>,
}

/// `Engine` describes the engines of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Engine {
    /// Requests that one runs at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory: u64,
    /// Whether engines hand what they have read on to each other.
    pub shares: bool,
}

/// `Workspace` is one published workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: Bytes,
    /// Rank of its requests, if it has one of its own.
    pub priority: Option<u8>,
}

/// `Limits` is what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub head: usize,
    /// Most bytes of a request's body.
    pub body: usize,
    /// Longest time for a request's head.
    pub head_time: Millis,
    /// Longest time that a connection stays idle.
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

/// `Error` says why a configuration is refused whole.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Two things have one name.
    #[snafu(display("expected one {what} named {name:?}, found more"))]
    Twice {
        /// What is there twice.
        what: &'static str,
        /// Its name.
        name: Bytes,
    },
    /// A prefix is not between slashes.
    #[snafu(display("expected route {name:?} to have a path prefix between slashes"))]
    Prefix {
        /// The route.
        name: Bytes,
    },
    /// A route goes nowhere.
    #[snafu(display("expected route {name:?} to go to a service with a weight above 0"))]
    Nowhere {
        /// The route.
        name: Bytes,
    },
    /// A route names a service that is not published.
    #[snafu(display("expected service {service:?} of route {name:?} to be published"))]
    Service {
        /// The route.
        name: Bytes,
        /// The service.
        service: Bytes,
    },
    /// A number is out of bounds.
    #[snafu(display("expected {what} of {name:?} to be above 0 and in bounds"))]
    Number {
        /// What.
        what: &'static str,
        /// Whose.
        name: Bytes,
    },
}

/// `Catalog` is a checked configuration.
///
/// # Invariants
///
/// Each route goes to published services, has at least one attempt and a time limit, and shares its
/// host and prefix with no other.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Its version.
    pub version: u64,
    /// What callers may send.
    pub limits: Limits,
    /// Secret that routers which hold this configuration share.
    pub secret: [u8; 32],
    hosts: IndexMap<Bytes, IndexMap<Bytes, Arc<Route>>>,
    services: IndexMap<Bytes, Service>,
    keys: IndexMap<Bytes, Arc<Workspace>>,
    has_workspaces: bool,
}

impl Catalog {
    /// Finds the route of a host's path: the one with the longest prefix.
    pub fn route(&self, host: &[u8], path: &[u8]) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(host)?;
        let slashes = path.iter().enumerate().rev().filter(|(_, b)| **b == b'/');
        slashes
            .map(|(at, _)| &path[..=at])
            .find_map(|prefix| prefixes.get(prefix))
    }

    /// Finds the workspace that holds a key.
    pub fn holder(&self, key: &[u8]) -> Option<Arc<Workspace>> {
        self.keys.get(key).cloned()
    }

    /// Tells whether there are workspaces, so that requests need keys.
    pub fn has_workspaces(&self) -> bool {
        self.has_workspaces
    }

    /// Gets the index of a service, by which routers with this configuration name it to each other.
    pub fn index_of(&self, service: &[u8]) -> Option<u32> {
        let index = self.services.get_index_of(service)?;
        u32::try_from(index).ok()
    }

    /// Gets the name of the service with an index.
    pub fn name_at(&self, index: u32) -> Option<&Bytes> {
        let index = usize::try_from(index).ok()?;
        self.services.get_index(index).map(|(name, _)| name)
    }

    /// Gets a service.
    pub fn service(&self, name: &[u8]) -> Option<&Service> {
        self.services.get(name)
    }

    /// Tells whether a service's engines hand what they have read on to each other.
    pub fn shares(&self, service: &[u8]) -> bool {
        let engine = self.services.get(service).and_then(|s| s.engine);
        engine.is_some_and(|e| e.shares)
    }
}

impl TryFrom<Raw> for Catalog {
    type Error = Error;

    fn try_from(raw: Raw) -> Result<Self, Error> {
        let mut catalog = Self {
            version: raw.version,
            limits: raw.limits,
            secret: raw.secret,
            has_workspaces: !raw.workspaces.is_empty(),
            ..Self::default()
        };
        for service in raw.services {
            let name = service.name.clone();
            if service.connections == 0 {
                let what = "connections";
                return NumberSnafu { what, name }.fail();
            }
            if catalog.services.insert(name.clone(), service).is_some() {
                let what = "service";
                return TwiceSnafu { what, name }.fail();
            }
        }
        for route in raw.routes {
            catalog.add(route)?;
        }
        for (workspace, keys) in raw.workspaces {
            let workspace = Arc::new(workspace);
            for key in keys {
                let before = catalog.keys.insert(key, Arc::clone(&workspace));
                if before.is_some_and(|b| b.name != workspace.name) {
                    let what = "workspace with a key of";
                    let name = workspace.name.clone();
                    return TwiceSnafu { what, name }.fail();
                }
            }
        }
        Ok(catalog)
    }
}

impl Catalog {
    fn add(&mut self, route: Route) -> Result<(), Error> {
        let name = route.name.clone();
        let bounded = route.prefix.starts_with(b"/") && route.prefix.ends_with(b"/");
        snafu::ensure!(bounded, PrefixSnafu { name });
        let weight: u64 = route.shares.iter().map(|s| u64::from(s.weight)).sum();
        snafu::ensure!(weight > 0, NowhereSnafu { name });
        let what = "attempts";
        let attempts = (1..=MAX_ATTEMPTS).contains(&route.attempts);
        snafu::ensure!(attempts, NumberSnafu { what, name });
        let what = "time limit";
        snafu::ensure!(route.limit > Millis(0), NumberSnafu { what, name });
        for share in &route.shares {
            let service = share.service.clone();
            let known = self.services.contains_key(&service);
            snafu::ensure!(known, ServiceSnafu { name, service });
        }
        let prefixes = self.hosts.entry(route.host.clone()).or_default();
        let before = prefixes.insert(route.prefix.clone(), Arc::new(route));
        let what = "route";
        snafu::ensure!(before.is_none(), TwiceSnafu { what, name });
        Ok(())
    }
}
