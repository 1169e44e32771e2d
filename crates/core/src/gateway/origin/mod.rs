//! Which software version began a stream.
//!
//! What endpoints of two software versions write does not fit together, and endpoints do not check
//! it, so a stream goes on only at the version that began it. A caller whose connection breaks may
//! take its stream up at any router, and names the request that brought the first event. While more
//! than one version serves, the router that delivers a first event therefore reports the version to
//! a few peers, which rendezvous hashing chooses by the request's ID, so that any router can find
//! them. While one version serves, nothing is sent. A stream of unknown origin then goes on where a registry read
//! that was sent after its caller came back proves that one version alone has served: what was known before says
//! nothing of a version that has joined since.
//!
//! The load that it answers: callers that take their streams up at any router while the software of a
//! service is being replaced.
//!
//! - `builds`: the versions that each service's endpoints have.
//! - `history`: whether this router has read of each version.
//! - `process`: whether an endpoint's process is of the version that its entry states.
//! - `streams`: the bounded table of the versions of recent streams.
//! - `lookup`: what a router knows of the origin of a stream that is taken up.
//! - `reports`: what routers tell each other of streams and versions.
//! - `routes`: routes whose streams several services may have begun.

use bytes::Bytes;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    gateway::{
        Gateway, Ticket, fingerprint,
        refusal::{
            Cause,
            Refusal, //
        },
    },
    units::{
        Millis,
        Time, //
    },
};

mod builds;
mod history;
mod lookup;
pub(super) mod process;
mod reports;
mod routes;
mod streams;

pub use builds::{
    Build,
    BuildHistory, //
};
pub use history::Changes;
pub use lookup::{
    Lookup,
    PeerKnowledge,
    Versions, //
};
pub use reports::MAX_MIXED_SERVICES;
pub use streams::{
    MAX_STREAMS,
    StreamKey,
    StreamRecord,
    StreamReport,
    Streams, //
};

/// Time for which a peer's statement that several versions serve counts. Peers of a large fleet are
/// heard directly each few seconds.
const STATEMENT_TTL: Millis = Millis(5000);

/// `Origin` says at which software version a stream may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Origin {
    /// At any: its caller has received no event.
    #[default]
    New,
    /// At the version that began it.
    Build(Build),
    /// At none: it is not known which version began it.
    Unknown,
}

impl From<Build> for Origin {
    /// Gets the origin of a stream from the version in its record.
    fn from(build: Build) -> Self {
        match build {
            Build::UNKNOWN => Origin::Unknown,
            build => Origin::Build(build),
        }
    }
}

impl Origin {
    /// Tells whether an endpoint of a version may run the stream.
    pub fn allows(self, build: Build) -> bool {
        match self {
            Origin::New => true,
            Origin::Build(origin) => origin == build,
            Origin::Unknown => false,
        }
    }
}

fn hash(parts: &[&[u8]]) -> u64 {
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}

impl Gateway {
    /// Gets the key of the stream that a request has begun.
    pub fn stream_key(ticket: &Ticket, request_id: &[u8]) -> StreamKey {
        let workspace = ticket.workspace.as_ref().map(|w| &w.name);
        StreamKey {
            workspace: fingerprint::workspace(workspace),
            stream: hash(&[&ticket.route.name, request_id]),
        }
    }

    /// Gets the versions of recent streams.
    pub fn streams(&self) -> &Streams {
        &self.streams
    }

    /// Tells whether streams of more than one version of a service may exist, by this router's own
    /// registry or by the statements of peers.
    pub fn is_mixed(&self, now: Time, service: &[u8]) -> bool {
        let stated = self.peers_mixed.get(service);
        let inherited = self.inherited_mixed.get(service);
        self.registry.builds().is_mixed(service)
            || inherited.is_some_and(|until| now < *until)
            || stated.is_some_and(|at| now.since(*at) < STATEMENT_TTL)
    }

    /// Sets the origin of a request's stream. Where the route has several services, the request then
    /// goes to the one whose version has begun the stream.
    pub fn set_origin(&mut self, ticket: &mut Ticket, origin: Origin) {
        ticket.origin = origin;
        let Origin::Build(build) = origin else {
            return;
        };
        let lists = |service: &Bytes| {
            let builds = &mut self.registry.builds().builds(service);
            builds.any(|(listed, _, _)| listed == build)
        };
        if lists(&ticket.service) {
            return;
        }
        let shares = &ticket.route.shares;
        let other = shares.iter().map(|s| &s.service).find(|s| lists(s));
        if let Some(service) = other.cloned() {
            if ticket.counted {
                self.budget(&ticket.service).forget_request();
                ticket.counted = false;
            }
            ticket.service = service;
        }
    }

    /// Checks that a stream can go on.
    ///
    /// # Errors
    ///
    /// Its version is not known, or no endpoint of it is left.
    pub fn check_origin(&self, ticket: &Ticket) -> Result<(), Refusal> {
        let may_have_run = ticket.may_have_run;
        match ticket.origin {
            Origin::New => Ok(()),
            Origin::Unknown => Err(Refusal::given_up(Cause::VersionUnknown, may_have_run)),
            Origin::Build(build) => {
                let mut known = self.registry.known(&ticket.service);
                if known.any(|(_, e)| e.build == build && e.stays_listed()) {
                    return Ok(());
                }
                // A version that is not listed yet has just been seen by another router.
                let mut listed = self.registry.builds().builds(&ticket.service);
                let is_new = !listed.any(|(listed, _, _)| listed == build);
                Err(Refusal {
                    retryable: is_new && !may_have_run,
                    ..Refusal::given_up(Cause::VersionGone, may_have_run)
                })
            }
        }
    }

    /// Tells whether an endpoint is left that a request has not been sent to and where its stream may
    /// go on.
    pub(super) fn has_endpoint_of_origin(&self, ticket: &Ticket) -> bool {
        let Origin::Build(_) = ticket.origin else {
            return ticket.origin != Origin::Unknown;
        };
        self.registry.of(&ticket.service).any(|(key, e)| {
            ticket.origin.allows(e.build)
                && !ticket.tried.contains(&key)
                && !ticket.excluded.contains(&key)
        })
    }
}
