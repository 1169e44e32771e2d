//! Which software version began a stream.
//!
//! What endpoints of two software versions write does not fit together, and endpoints do not check
//! it, so a stream goes on only at the version that began it. A caller whose connection breaks may
//! take its stream up at any router, and names the request that brought the first event. While more
//! than one version serves, the router that delivers a first event therefore reports the version to
//! a few peers, which rendezvous hashing chooses by the request's ID, so that any router can find
//! them. While one version serves, nothing is sent: a stream of unknown origin may go on then.

use bytes::Bytes;
use indexmap::IndexMap;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    gateway::{
        Gateway, Ticket, fingerprint,
        incoming_request::IncomingRequest,
        refusal::{
            Cause,
            Refusal, //
        },
    },
    ids::Tag,
    units::{
        Millis,
        Time, //
    },
};

/// Limit of the streams that are remembered.
pub const MAX_STREAMS: usize = 16_384;
/// Limit of the services in a digest that more than one version serves.
pub const MAX_MIXED_SERVICES: usize = 8;
/// Shortest time for which the version of a stream is remembered, and for which a version that has
/// left still counts, however short the time limits of routes are.
const MIN_STREAM_LIFE: Millis = Millis(60_000);
/// Multiple of the longest time limit of a route that a stream may last, with its caller's tries.
const STREAM_LIFE_FACTOR: u64 = 2;
/// Time after a stream's deadline for which its version is remembered.
const DEADLINE_MARGIN: Millis = Millis(1000);
/// Time for which a peer's statement that several versions serve counts. Peers of a large fleet are
/// heard directly each few seconds.
const STATEMENT_TTL: Millis = Millis(5000);
/// Time after a restart in which callers come back whose streams the earlier process had begun, at a
/// version that may have left meanwhile.
const RESTART_DOUBT: Millis = Millis(3000);
/// Age of the last registry read up to which this router knows what versions serve without its peers.
const MAX_LONE_PROOF_AGE: Millis = Millis(1500);
/// Time since the last digest of a peer within which peers would have stated a second version. Each
/// router is sent about two in a round.
const MAX_PEER_SILENCE: Millis = Millis(1000);
/// Interval at which outdated records are removed.
const EXPIRY_INTERVAL: Millis = Millis(1000);

/// `Build` identifies a software version of the endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Build(pub u32);

impl Build {
    /// Identifies a version by its service and its text.
    pub fn of(service: &[u8], version: &[u8]) -> Self {
        Self(Tag::of(&[service, b"\0", version].concat()).0)
    }
}

/// `Origin` says at which software version a stream may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Origin {
    /// At any: its caller has received no event.
    #[default]
    New,
    /// At the version that began it.
    Build(Build),
    /// At any as long as one version serves, as that one must have begun it.
    OnlyBuild,
    /// At none: several versions may have begun it.
    Unknown,
}

impl Origin {
    /// Tells whether an endpoint of a version may run the stream.
    pub fn allows(self, build: Build) -> bool {
        match self {
            Origin::New | Origin::OnlyBuild => true,
            Origin::Build(origin) => origin == build,
            Origin::Unknown => false,
        }
    }
}

/// `StreamKey` identifies a stream.
///
/// Callers choose their requests' IDs, so the workspace is a separate field: no workspace can name
/// another one's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StreamKey {
    /// Tag of the workspace; 0 if there is none.
    pub workspace: u32,
    /// Hash of the route and of the ID of the request that brought the first event.
    pub stream: u64,
}

/// `StreamReport` is the version of a stream as one router tells another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamReport {
    /// The stream.
    pub key: StreamKey,
    /// Version that began it.
    pub build: Build,
    /// Time since its first event.
    pub age: Millis,
    /// Time for which it is to be remembered.
    pub left: Millis,
}

/// `StreamRecord` is the version of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamRecord {
    /// Version that began it.
    pub build: Build,
    /// When its caller was sent the first event.
    pub began: Time,
    /// Until when it is remembered.
    pub until: Time,
    /// Its service if this router has begun it and may have to tell peers; `None` otherwise.
    pub service: Option<Bytes>,
}

/// `Streams` holds the versions of recent streams.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    records: IndexMap<StreamKey, StreamRecord>,
    /// Number of records of each workspace.
    workspaces: IndexMap<u32, usize>,
    /// Streams that peers are still to be told of.
    unsent: Vec<StreamKey>,
    expired_at: Time,
}

impl Streams {
    /// Gets the record of a stream.
    pub fn get(&self, now: Time, key: StreamKey) -> Option<&StreamRecord> {
        self.records.get(&key).filter(|r| now < r.until)
    }

    /// Counts the records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Adds a record. Of two streams with the same key, the one that began later counts. When all
    /// room is taken, the workspace with the most records loses its oldest one.
    pub fn insert(&mut self, key: StreamKey, record: StreamRecord) {
        if let Some(held) = self.records.get_mut(&key) {
            if held.began <= record.began {
                *held = record;
            }
            return;
        }
        if self.records.len() >= MAX_STREAMS {
            self.evict();
        }
        self.records.insert(key, record);
        *self.workspaces.entry(key.workspace).or_default() += 1;
    }

    fn evict(&mut self) {
        let largest = self.workspaces.iter().max_by_key(|(_, count)| **count);
        let Some((&workspace, _)) = largest else {
            return;
        };
        let of_largest = self
            .records
            .iter()
            .filter(|(k, _)| k.workspace == workspace);
        let oldest = of_largest.min_by_key(|(_, r)| r.began).map(|(k, _)| *k);
        if let Some(key) = oldest {
            self.records.swap_remove(&key);
            self.uncount(key.workspace);
        }
    }

    fn uncount(&mut self, workspace: u32) {
        if let Some(count) = self.workspaces.get_mut(&workspace) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.workspaces.swap_remove(&workspace);
            }
        }
    }

    fn expire(&mut self, now: Time) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        self.records.retain(|_, r| now < r.until);
        self.workspaces.clear();
        for key in self.records.keys() {
            *self.workspaces.entry(key.workspace).or_default() += 1;
        }
    }

    /// Queues the streams of a service that this router has begun, as peers have not been told of
    /// them.
    fn queue_all(&mut self, service: &Bytes) {
        let own = |r: &StreamRecord| r.service.as_ref() == Some(service);
        let own = self.records.iter().filter(|(_, r)| own(r));
        self.unsent.extend(own.map(|(key, _)| *key));
    }

    fn take_unsent(&mut self, now: Time) -> Vec<StreamReport> {
        let unsent = std::mem::take(&mut self.unsent);
        let report = |key: StreamKey| {
            let record = self.get(now, key)?;
            Some(StreamReport {
                key,
                build: record.build,
                age: now.since(record.began),
                left: record.until.since(now),
            })
        };
        unsent.into_iter().filter_map(report).collect()
    }
}

/// `Listing` is a version that a service's endpoints have or had.
#[derive(Clone, Debug)]
struct Listing {
    /// Its text.
    name: Bytes,
    /// Listed endpoints.
    endpoints: u32,
    /// When the last one was seen to be gone.
    left: Option<Time>,
}

/// `BuildHistory` is the versions that each service's endpoints have, or had until recently.
#[derive(Clone, Debug, Default)]
pub struct BuildHistory {
    services: IndexMap<Bytes, IndexMap<Build, Listing>>,
}

impl BuildHistory {
    /// Adds an endpoint.
    pub fn add(&mut self, service: &Bytes, build: Build, name: &Bytes) {
        let builds = self.services.entry(service.clone()).or_default();
        let listing = builds.entry(build).or_insert_with(|| Listing {
            name: name.clone(),
            endpoints: 0,
            left: None,
        });
        listing.endpoints += 1;
        listing.left = None;
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, service: &Bytes, build: Build) {
        let builds = self.services.get_mut(service);
        if let Some(listing) = builds.and_then(|b| b.get_mut(&build)) {
            listing.endpoints = listing.endpoints.saturating_sub(1);
        }
    }

    /// Forgets versions of which no stream can be left after `retention`.
    pub fn expire(&mut self, now: Time, retention: Millis) {
        for builds in self.services.values_mut() {
            builds.retain(|_, listing| {
                if listing.endpoints > 0 {
                    return true;
                }
                let left = *listing.left.get_or_insert(now);
                now.since(left) < retention
            });
        }
        self.services.retain(|_, builds| !builds.is_empty());
    }

    /// Tells whether streams of more than one version of a service may exist.
    pub fn is_mixed(&self, service: &[u8]) -> bool {
        self.services.get(service).is_some_and(|b| b.len() > 1)
    }

    /// Lists the services of which streams of more than one version may exist.
    pub fn mixed(&self) -> impl Iterator<Item = &Bytes> {
        let mixed = self.services.iter().filter(|(_, builds)| builds.len() > 1);
        mixed.map(|(service, _)| service)
    }

    /// Lists the versions of a service with their numbers of listed endpoints.
    pub fn builds(&self, service: &[u8]) -> impl Iterator<Item = (Build, &Bytes, u32)> {
        let builds = self.services.get(service).into_iter().flatten();
        builds.map(|(build, listing)| (*build, &listing.name, listing.endpoints))
    }
}

/// `Lookup` is what a router knows of the origin of a request's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The origin is known, or can't be found out.
    Found(Origin),
    /// Peers may know it.
    Ask(StreamKey),
}

/// `PeerKnowledge` is what a router answers a peer that asks for a stream's origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerKnowledge {
    /// Version that began the stream, if the router knows it.
    pub build: Option<Build>,
    /// Whether the router knows that one version alone has served since before the stream began.
    pub only_build: bool,
}

/// Combines what peers have answered, of which none knows the stream itself.
pub fn without_record(answers: &[PeerKnowledge]) -> Origin {
    let agreed = !answers.is_empty() && answers.iter().all(|a| a.only_build);
    if agreed {
        Origin::OnlyBuild
    } else {
        Origin::Unknown
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
        self.registry.builds().is_mixed(service)
            || stated.is_some_and(|at| now.since(*at) < STATEMENT_TTL)
    }

    /// Tells whether this router would know of a second version.
    ///
    /// One that is cut off from the registry and from its peers still reaches endpoints for a while.
    /// After a restart, another version may have left just before. Its endpoints are replaced as they
    /// leave, so those that are listed then are cold.
    fn knows_builds(&self, now: Time, service: &[u8]) -> bool {
        let alone = !self.expects_peers;
        let told = now.since(self.heard_peer_at) < MAX_PEER_SILENCE;
        let read = self.proof.holds(now, MAX_LONE_PROOF_AGE);
        let replaced = || {
            let mut known = self.registry.known(service);
            known.any(|(_, e)| e.cold(now) > Millis(0))
        };
        let settled = now >= self.doubtful_until || !replaced();
        settled && (alone || told || read)
    }

    /// Notes that a digest of a peer with the same configuration in force has arrived.
    pub fn heard_peer(&mut self, now: Time) {
        self.heard_peer_at = now;
    }

    /// Looks for the origin of the stream that a request takes up.
    pub fn look_up_origin(
        &self,
        now: Time,
        ticket: &Ticket,
        incoming_request: &IncomingRequest,
    ) -> Lookup {
        if !ticket.route.kind.streams() || !incoming_request.takes_up_stream() {
            return Lookup::Found(Origin::New);
        }
        let key = incoming_request.resumes.as_ref();
        let key = key.map(|id| Self::stream_key(ticket, id));
        if let Some(record) = key.and_then(|key| self.streams.get(now, key)) {
            return Lookup::Found(Origin::Build(record.build));
        }
        let mixed = self.is_mixed(now, &ticket.service);
        match key {
            _ if !mixed && self.knows_builds(now, &ticket.service) => {
                Lookup::Found(Origin::OnlyBuild)
            }
            Some(key) => Lookup::Ask(key),
            None if mixed => Lookup::Found(Origin::Unknown),
            // Peers may know that one version alone has served.
            None => Lookup::Ask(Self::stream_key(ticket, b"")),
        }
    }

    /// Answers a peer that asks for a stream's origin.
    pub fn knowledge_of(&self, now: Time, key: StreamKey, service: &[u8]) -> PeerKnowledge {
        PeerKnowledge {
            build: self.streams.get(now, key).map(|r| r.build),
            only_build: self.knows_builds(now, service) && !self.is_mixed(now, service),
        }
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

    /// Notes that the first event of a request's answer is delivered, which an endpoint of version
    /// `build` has sent, if that is known. Returns whether peers are to be told.
    pub fn begin_stream(
        &mut self,
        now: Time,
        ticket: &mut Ticket,
        request_id: &[u8],
        build: Option<Build>,
    ) -> bool {
        // A stream that can't be resumed is not taken up either.
        if !ticket.route.kind.repeatable() {
            return false;
        }
        let mixed = self.is_mixed(now, &ticket.service);
        if !matches!(ticket.origin, Origin::Build(_)) {
            ticket.origin = match build {
                Some(build) => Origin::Build(build),
                None if mixed => Origin::Unknown,
                None => Origin::OnlyBuild,
            };
        }
        let Origin::Build(build) = ticket.origin else {
            return false;
        };
        let key = Self::stream_key(ticket, request_id);
        let longest = now + self.stream_life;
        let record = StreamRecord {
            build,
            began: now,
            until: ticket.deadline.min(longest) + DEADLINE_MARGIN,
            // The router that has handed the request over tells the peers.
            service: Some(ticket.service.clone()).filter(|_| !ticket.from_peer),
        };
        self.streams.insert(key, record);
        let report = mixed && !ticket.from_peer;
        if report {
            self.streams.unsent.push(key);
        }
        report
    }

    /// Takes the reports of streams that peers are still to be told of.
    pub fn take_unsent_streams(&mut self, now: Time) -> Vec<StreamReport> {
        self.streams.take_unsent(now)
    }

    /// Tells whether peers are still to be told of streams.
    pub fn has_unsent_streams(&self) -> bool {
        !self.streams.unsent.is_empty()
    }

    /// Takes in a peer's reports of streams.
    pub fn record_peer_streams(&mut self, now: Time, reports: &[StreamReport]) {
        for report in reports {
            let record = StreamRecord {
                build: report.build,
                began: now - report.age,
                until: now + Millis(report.left.0.min(self.stream_life.0)),
                service: None,
            };
            self.streams.insert(report.key, record);
        }
    }

    /// Lists services of which this router's registry lists more than one version, or did recently,
    /// by their indices in the configuration; `draw` picks some if there are many.
    pub fn mixed_services(&self, draw: u64) -> Vec<u32> {
        let Some(catalog) = &self.catalog else {
            return Vec::new();
        };
        let mixed = self.registry.builds().mixed();
        let mut indices: Vec<u32> = mixed.filter_map(|s| catalog.index_of(s)).collect();
        if indices.len() > MAX_MIXED_SERVICES {
            let shift = draw % indices.len() as u64;
            indices.rotate_left(usize::try_from(shift).unwrap_or_default());
            indices.truncate(MAX_MIXED_SERVICES);
        }
        indices
    }

    /// Takes in of which services a peer's registry lists more than one version; peer and router have
    /// the same configuration in force.
    pub fn record_peer_mixed(&mut self, now: Time, services: &[u32]) {
        for service in services {
            let name = self.catalog.as_ref().and_then(|c| c.name_at(*service));
            if let Some(name) = name.cloned() {
                self.peers_mixed.insert(name, now);
            }
        }
    }

    /// Expires what has timed out, and queues the streams of services that now have more than one
    /// version.
    pub(super) fn tick_streams(&mut self, now: Time) {
        self.registry.expire_builds(now, self.stream_life);
        self.streams.expire(now);
        self.peers_mixed
            .retain(|_, at| now.since(*at) < STATEMENT_TTL);
        let own = self.registry.builds().mixed();
        let stated = self.peers_mixed.keys();
        let mixed: Vec<Bytes> = own.chain(stated).cloned().collect();
        for service in mixed.iter().filter(|s| !self.reported.contains(*s)) {
            self.streams.queue_all(service);
        }
        self.reported = mixed;
    }

    /// Sets for how long streams last, by the time limits of the routes.
    pub(super) fn update_stream_life(&mut self) {
        let routes = self.catalog.iter().flat_map(|c| c.routes());
        let longest = routes.filter(|r| r.kind.streams()).map(|r| r.limit.0).max();
        let life = longest.unwrap_or(0).saturating_mul(STREAM_LIFE_FACTOR);
        self.stream_life = Millis(life).max(MIN_STREAM_LIFE);
    }

    /// Notes that this router may have begun streams before a restart.
    pub(super) fn doubt_origins(&mut self, now: Time) {
        self.doubtful_until = now + RESTART_DOUBT;
    }

    /// Checks that a stream can go on.
    ///
    /// # Errors
    ///
    /// Its version is not known, or no endpoint of it is left.
    pub fn check_origin(&self, now: Time, ticket: &Ticket) -> Result<(), Refusal> {
        let may_have_run = ticket.may_have_run;
        match ticket.origin {
            Origin::New => Ok(()),
            Origin::OnlyBuild if !self.is_mixed(now, &ticket.service) => Ok(()),
            Origin::OnlyBuild | Origin::Unknown => {
                Err(Refusal::given_up(Cause::VersionUnknown, may_have_run))
            }
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
