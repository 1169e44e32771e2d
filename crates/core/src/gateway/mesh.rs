//! Gossip between routers: which other routers there are, and what they report to each other.
//!
//! There is no central list of routers. Each router is configured with a few seed addresses, which
//! may be down, and sends a short digest to a few other routers several times a second, whatever
//! the size of the fleet. A digest carries the sender's heartbeat, a sample of the heartbeats that
//! it knows and the newest loads that endpoints stated. A change reaches N routers in about log(N)
//! rounds, and the bytes per second do not grow with N.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::{
    gateway::{
        quarantine::Record,
        reading::ALL_STANDBYS,
        shared_reads::ReadReport,
        warmup::Fleet, //
    },
    load::score,
    units::{
        Incarnation,
        Millis,
        Time, //
    },
};

/// Interval between gossip rounds. A load must reach all routers before many requests are placed by
/// the one before it.
pub const GOSSIP_INTERVAL: Millis = Millis(100);
/// Routers that receive a digest in each round.
pub const FANOUT: usize = 2;
/// Limit of the heartbeats in a digest besides the sender's.
pub const MAX_HEARTBEATS: usize = 7;
/// Limit of the endpoint reports in a digest. With it, the digest fills what the control traffic
/// may send and receive.
pub const MAX_REPORTS: usize = 31;
/// Limit of the reports without a load in a digest: few services state none, and the loads of the
/// others need the room.
pub const MAX_REPORTS_WITHOUT_LOAD: usize = 2;
/// Reports by which digests are shortened while they tell delays, which need their room.
pub const DELAYS_DISPLACE: usize = 5;
/// Limit of the reports of unanswered requests in a digest; the longest waits come first.
pub const MAX_WAIT_REPORTS: usize = 8;
/// Limit of the request samples in a digest: about as many as a router of a large fleet places in a
/// round. Without samples, a session that suddenly gets much of the traffic stays on too few
/// endpoints for seconds.
pub const MAX_SAMPLES: usize = 2;
/// Limit of the endpoints in a digest that have asked for no requests.
pub const MAX_BACK_OFFS: usize = 4;
/// Longest time for which one report of a back-off makes a router prefer other endpoints.
pub const MAX_PEER_BACK_OFF: Millis = Millis(3000);
/// Longest time from a request to the head of its answer for which the answer's load is also
/// reported as a confirmation. Most heads come sooner.
pub const MAX_CONFIRMED_LATENCY: Millis = Millis(300);
/// Assumed upper bound of the transit time of a digest. A link that delays bytes for longer counts
/// as broken.
const MAX_TRANSIT_TIME: Millis = Millis(500);
/// Time without a newer heartbeat after which a router of a small fleet is no longer counted. Peers
/// that send their digests here directly are heard several times within it.
const PEER_TIMEOUT: Millis = Millis(3000);
/// Extension of [`PEER_TIMEOUT`] for each router of the fleet. Digests hold a sample of the
/// heartbeats, so a router of a large fleet is seldom in them, and is sometimes missed several
/// times in a row.
const PEER_TIMEOUT_PER_ROUTER: Millis = Millis(40);
/// Divisor of the peer timeout that gives the time within which a heartbeat is forwarded. If it
/// were forwarded until the timeout, the last heartbeat of a stopped router would go from peer to
/// peer for several times as long.
const FORWARD_TIMEOUT_DIVISOR: u64 = 3;
/// Time after its last heartbeat from which a router is forgotten.
const PEER_RETENTION: Millis = Millis(30_000);
/// Limit of the routers that are kept; beyond it the one that was heard least recently is evicted.
const MAX_PEERS: usize = 2048;
/// Reports by which digests are shortened in a large fleet while more than one software version serves:
/// stream reports need their room.
pub const MIXED_DISPLACES: usize = 8;
/// Limit of the stream reports in a message.
pub const MAX_STREAM_REPORTS: usize = 32;
/// Routers of a large fleet that are told of a stream.
const STREAM_KEEPERS: usize = 2;
/// Further routers that are asked for a stream: the fleet may have changed since it began.
const FURTHER_KEEPERS: usize = 2;
/// Limit of the other routers that are all told of each stream, so that any one of them is enough.
pub(super) const SMALL_FLEET: usize = 8;
/// Rounds of a sender around the newest one that is known within which its stream reports count. Others
/// may be replays, of an earlier process among them.
const STREAM_REPORT_ROUNDS: u64 = 20;
/// One in so many routers of a data centre reads the registry in normal operation. It forwards
/// changes to all of them, over a link that may be narrow.
const ROUTERS_PER_READER: usize = 64;
/// Interval, in rounds, in which a seed is tried again; it may have come back with other routers
/// behind it.
const SEED_RETRY_ROUNDS: u64 = 20;

/// `Heartbeat` is a sign of life of a router, which its peers forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Address at which the router receives gossip.
    pub address: SocketAddrV4,
    /// Tag of its data centre.
    pub data_center: u32,
    /// Incarnation of the router; greater after each restart.
    pub incarnation: Incarnation,
    /// Number of its newest round.
    pub beat: u64,
    /// Whether it reads the registry and what it holds is fresh.
    pub reads: bool,
}

/// `EndpointReport` is the state of an endpoint according to one of its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointReport {
    /// Tag of the endpoint's incarnation.
    pub endpoint: u32,
    /// Requests there, running and waiting; `None` where the endpoint states no load.
    pub load: Option<u32>,
    /// Time since the answer.
    pub age: Millis,
    /// Whether the endpoint was not leaving, according to its answer to a request that the sender
    /// sent no more than [`MAX_CONFIRMED_LATENCY`] before.
    pub confirmed: bool,
    /// How long a request waited there before that answer began; `None` if that is not told.
    pub delay: Option<Millis>,
}

/// `BackOffReport` is an endpoint that has asked the sender of a digest for no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackOffReport {
    /// Tag of the endpoint's incarnation.
    pub endpoint: u32,
    /// Time until the end of its back-off, at most [`MAX_PEER_BACK_OFF`].
    pub left: Millis,
}

/// Returns by how many reports a digest must be shortened so that these crash records and back-offs
/// leave its size about the same.
pub fn displaced_reports(records: &[Record], back_offs: &[BackOffReport]) -> usize {
    let crashes: usize = records.iter().map(|r| r.crashes.len()).sum();
    2 * records.len() + crashes + back_offs.len() + usize::from(!back_offs.is_empty())
}

impl EndpointReport {
    /// Tells whether it is about a request that was still unanswered, and says nothing else.
    pub fn tells_wait(&self) -> bool {
        self.load.is_none() && !self.confirmed
    }

    /// Returns the greatest age that the confirmation may have on arrival; `None` without a
    /// confirmation. Clocks of routers are not compared, so the longest transit time is assumed.
    pub fn confirmation_age(&self) -> Option<Millis> {
        let age = self.age + MAX_CONFIRMED_LATENCY + MAX_TRANSIT_TIME;
        self.confirmed.then_some(age)
    }
}

/// `Sample` is a request that a router placed. Sent to a few others, samples show each router
/// several times the traffic that reaches it, without bias.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Index of its service in the published configuration.
    pub service: u32,
    /// Tag of the shared prompt part that decides its placement.
    pub part: u32,
    /// Amount of work of the request.
    pub work: u32,
}

/// `Digest` is one gossip message between routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// The sender's heartbeat.
    pub from: Heartbeat,
    /// Heartbeats of other routers.
    pub heartbeats: Vec<Heartbeat>,
    /// States of endpoints.
    pub reports: Vec<EndpointReport>,
    /// Requests that the sender placed since its last round.
    pub samples: Vec<Sample>,
    /// Requests that were in progress at endpoints that broke the connection.
    pub crashes: Vec<Record>,
    /// Endpoints that have asked the sender for no requests.
    pub back_offs: Vec<BackOffReport>,
    /// Services that the sender does not reach, by their indices in the configuration.
    pub unreached_services: Vec<u32>,
    /// Services that more than one software version serves, by their indices in the configuration.
    pub mixed_services: Vec<u32>,
    /// Where the first parts of prompts are read.
    pub reads: Vec<ReadReport>,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    heartbeat: Heartbeat,
    /// When its heartbeat last increased.
    last_heard: Time,
    /// End of the time in which it is not asked for the registry's state, because it failed to
    /// answer.
    avoided_until: Time,
}

/// `Mesh` is what a router knows of the other routers.
#[derive(Debug)]
pub struct Mesh {
    me: Heartbeat,
    seeds: Vec<SocketAddrV4>,
    peers: IndexMap<SocketAddrV4, Peer>,
    next_forwarded: usize,
}

impl Mesh {
    /// Makes a mesh that knows no other router.
    pub fn new(me: Heartbeat, seeds: Vec<SocketAddrV4>) -> Self {
        let seeds = seeds.into_iter().filter(|s| *s != me.address).collect();
        Self {
            me,
            seeds,
            peers: IndexMap::new(),
            next_forwarded: 0,
        }
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        let me = self.me.address;
        self.seeds = seeds.into_iter().filter(|s| *s != me).collect();
    }

    /// Begins a gossip round; returns the addresses that its digest goes to.
    pub fn round(&mut self, now: Time, draw: u64) -> Vec<SocketAddrV4> {
        self.me.beat += 1;
        self.peers
            .retain(|_, p| now.since(p.last_heard) < PEER_RETENTION);
        let live: Vec<SocketAddrV4> = self.live(now).map(|r| r.address).collect();
        let mut targets = Vec::with_capacity(FANOUT + 1);
        for turn in 0..FANOUT.min(live.len()) as u64 {
            let pick = score(draw, turn) % live.len() as u64;
            let target = live[usize::try_from(pick).unwrap_or_default()];
            if !targets.contains(&target) {
                targets.push(target);
            }
        }
        let few_peers = live.len() < FANOUT;
        if (few_peers || self.me.beat.is_multiple_of(SEED_RETRY_ROUNDS)) && !self.seeds.is_empty() {
            let pick = score(draw, u64::MAX) % self.seeds.len() as u64;
            targets.push(self.seeds[usize::try_from(pick).unwrap_or_default()]);
        }
        targets
    }

    /// Makes this round's digest for `target`, without samples and crash records.
    pub fn digest(
        &mut self,
        now: Time,
        target: SocketAddrV4,
        reads: bool,
        reports: Vec<EndpointReport>,
    ) -> Digest {
        self.me.reads = reads;
        let known = self.peers.len();
        let forward_timeout = Millis(self.peer_timeout().0 / FORWARD_TIMEOUT_DIVISOR);
        let mut heartbeats = Vec::with_capacity(MAX_HEARTBEATS.min(known));
        heartbeats.extend(self.first_reader(now, target, forward_timeout));
        for _ in 0..known {
            if heartbeats.len() == MAX_HEARTBEATS {
                break;
            }
            self.next_forwarded = (self.next_forwarded + 1) % known;
            let Some((_, peer)) = self.peers.get_index(self.next_forwarded) else {
                break;
            };
            if now.since(peer.last_heard) < forward_timeout && !heartbeats.contains(&peer.heartbeat)
            {
                heartbeats.push(peer.heartbeat);
            }
        }
        Digest {
            from: self.me,
            heartbeats,
            reports,
            samples: Vec::new(),
            crashes: Vec::new(),
            back_offs: Vec::new(),
            unreached_services: Vec::new(),
            mixed_services: Vec::new(),
            reads: Vec::new(),
        }
    }

    /// Gets this router's newest heartbeat.
    pub fn own_heartbeat(&self) -> Heartbeat {
        self.me
    }

    /// Tells whether stream reports that a router made in a round count.
    pub fn accepts_stream_reports(&self, from: SocketAddrV4, beat: u64) -> bool {
        let held = self.peers.get(&from).map(|p| p.heartbeat.beat);
        held.is_some_and(|held| {
            beat + STREAM_REPORT_ROUNDS >= held && beat <= held + STREAM_REPORT_ROUNDS
        })
    }

    /// Lists the routers that are told of a stream.
    pub fn stream_keepers(&self, now: Time, stream: u64) -> Vec<SocketAddrV4> {
        self.ranked_for_stream(now, stream, STREAM_KEEPERS)
    }

    /// Lists the routers that may know of a stream: the seeds where no other is known, as this router
    /// has just started.
    pub fn possible_stream_keepers(&self, now: Time, stream: u64) -> Vec<SocketAddrV4> {
        let keepers = self.ranked_for_stream(now, stream, STREAM_KEEPERS + FURTHER_KEEPERS);
        if keepers.is_empty() {
            return self.seeds.clone();
        }
        keepers
    }

    fn ranked_for_stream(&self, now: Time, stream: u64, count: usize) -> Vec<SocketAddrV4> {
        let mut live: Vec<SocketAddrV4> = self.live(now).map(|r| r.address).collect();
        if live.len() > SMALL_FLEET {
            live.sort_by_cached_key(|address| {
                std::cmp::Reverse(score(stream, address_hash(*address)))
            });
            live.truncate(count);
        }
        live
    }

    /// Returns the heartbeat of the first-ranked reader in the data centre of `target`.
    ///
    /// It reaches all routers of that data centre within a few rounds, because each forwards the
    /// best that it knows. Without it, a router would learn who reads for it only after it has
    /// heard of nearly all others, and would read the registry itself until then.
    fn first_reader(
        &self,
        now: Time,
        target: SocketAddrV4,
        forward_timeout: Millis,
    ) -> Option<Heartbeat> {
        let data_center = self.peers.get(&target)?.heartbeat.data_center;
        let others = self
            .peers
            .values()
            .filter(|p| now.since(p.last_heard) < forward_timeout);
        let others = others.map(|p| &p.heartbeat).chain([&self.me]);
        let others = others.filter(|r| r.data_center == data_center && r.address != target);
        let first = others.min_by_key(|r| score(u64::from(data_center), address_hash(r.address)));
        first.filter(|r| r.address != self.me.address).copied()
    }

    /// Takes a digest in; returns whether its sender's heartbeat is new. A digest whose heartbeat
    /// is not new may be a replay, and is ignored.
    pub fn receive(&mut self, now: Time, digest: &Digest) -> bool {
        if digest.from.address == self.me.address || !self.record_heartbeat(now, digest.from) {
            return false;
        }
        for heartbeat in &digest.heartbeats {
            if heartbeat.address != self.me.address {
                self.record_heartbeat(now, *heartbeat);
            }
        }
        true
    }

    /// Lists the other routers that are alive.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Heartbeat> {
        let peer_timeout = self.peer_timeout();
        let alive = move |p: &&Peer| now.since(p.last_heard) < peer_timeout;
        self.peers.values().filter(alive).map(|p| &p.heartbeat)
    }

    fn peer_timeout(&self) -> Millis {
        let routers = u64::try_from(self.peers.len()).unwrap_or(u64::MAX);
        PEER_TIMEOUT + Millis(PEER_TIMEOUT_PER_ROUTER.0.saturating_mul(routers))
    }

    /// Counts the routers that are alive, including this one.
    pub fn size(&self, now: Time) -> u32 {
        u32::try_from(self.live(now).count() + 1).unwrap_or(u32::MAX)
    }

    /// Returns the routers that are alive, for what is divided among them.
    pub fn fleet(&self, now: Time) -> Fleet {
        Fleet {
            me: address_hash(self.me.address),
            others: self.live(now).map(|r| address_hash(r.address)).collect(),
            expected: !self.seeds.is_empty(),
        }
    }

    /// Tells whether this router is one of those that read the registry for its data centre in
    /// normal operation: the first ones by rendezvous hashing. All routers that know the same fleet
    /// agree on them. If they disagree, there is one reader too many, or a router follows one that
    /// is itself a follower.
    pub fn reads(&self, now: Time) -> bool {
        let (rank, readers) = self.rank(now);
        rank < readers
    }

    /// Returns the number of routers of this data centre that come before this one as readers, and
    /// the number of those that read in normal operation.
    pub fn rank(&self, now: Time) -> (usize, usize) {
        let reader_candidates = self.reader_candidates(now);
        let before = reader_candidates
            .iter()
            .position(|r| r.address == self.me.address);
        (
            before.unwrap_or_default(),
            readers(&reader_candidates).len(),
        )
    }

    /// Returns the router to ask for the registry's state; `None` where this one must read it
    /// itself.
    ///
    /// The first-ranked readers are asked whether they read at the moment or not: one that has just
    /// started, or cannot reach the registry, forwards what it has from another. If routers asked
    /// only those that announce reading, routers that start together would all read for seconds,
    /// because these announcements are old.
    pub fn upstream(&self, now: Time) -> Option<SocketAddrV4> {
        let reader_candidates = self.reader_candidates(now);
        let readers = readers(&reader_candidates);
        if readers.iter().any(|r| r.address == self.me.address) {
            return None;
        }
        // Each router ranks the readers in its own stable order, which divides the followers among
        // the readers and keeps their connections.
        let me = address_hash(self.me.address);
        let first = readers
            .iter()
            .max_by_key(|r| score(me, address_hash(r.address)));
        first.map(|r| r.address)
    }

    /// Returns a router that may know more than the assigned reader: in turn one of those anywhere
    /// that announce that they read the registry, and one of this data centre's standbys; else any.
    ///
    /// A router without the newest configuration cannot open digests that are sealed with it, so it
    /// hears no more of readers or of anybody; then it asks a seed.
    pub fn fallback_upstream(&self, now: Time, draw: u64) -> Option<SocketAddrV4> {
        let usable = || self.live(now).filter(|r| !self.is_avoided(now, r));
        let addresses = |routers: Vec<&Heartbeat>| routers.iter().map(|r| r.address).collect();
        let standbys = self.reader_candidates(now).into_iter().take(ALL_STANDBYS);
        let standbys: Vec<&Heartbeat> = standbys.filter(|r| r.address != self.me.address).collect();
        let mut found: Vec<SocketAddrV4> = addresses(usable().filter(|r| r.reads).collect());
        if found.is_empty() || !draw.is_multiple_of(2) {
            found = if standbys.is_empty() {
                found
            } else {
                addresses(standbys)
            };
        }
        if found.is_empty() {
            found = addresses(usable().collect());
        }
        if found.is_empty() {
            found.clone_from(&self.seeds);
        }
        let pick = (draw / 2).checked_rem(found.len() as u64)?;
        found.get(usize::try_from(pick).ok()?).copied()
    }

    /// Excludes a router as a reader for `pause`, because it did not answer or its answer was too
    /// old. Meanwhile another router of the data centre reads: all that asked the same one find out
    /// within a second.
    pub fn avoid(&mut self, now: Time, address: SocketAddrV4, pause: Millis) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.avoided_until = now + pause;
        }
    }

    /// Lists the routers of this data centre that are alive and not avoided, including this one, in
    /// their order as readers.
    fn reader_candidates(&self, now: Time) -> Vec<&Heartbeat> {
        let data_center = self.me.data_center;
        let local = self.live(now).chain([&self.me]);
        let local = local.filter(|r| r.data_center == data_center && !self.is_avoided(now, r));
        let mut local: Vec<&Heartbeat> = local.collect();
        local.sort_by_key(|r| score(u64::from(data_center), address_hash(r.address)));
        local
    }

    fn is_avoided(&self, now: Time, heartbeat: &Heartbeat) -> bool {
        let peer = self.peers.get(&heartbeat.address);
        peer.is_some_and(|p| now < p.avoided_until)
    }

    fn record_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) -> bool {
        let fresh = Peer {
            heartbeat,
            last_heard: now,
            avoided_until: Time(0),
        };
        match self.peers.get_mut(&heartbeat.address) {
            Some(peer) => {
                let held = (peer.heartbeat.incarnation, peer.heartbeat.beat);
                let newer = (heartbeat.incarnation, heartbeat.beat) > held;
                if newer && peer.heartbeat.incarnation != heartbeat.incarnation {
                    *peer = fresh;
                } else if newer {
                    peer.heartbeat = heartbeat;
                    peer.last_heard = now;
                }
                newer
            }
            None => {
                if self.peers.len() >= MAX_PEERS {
                    self.evict_oldest();
                }
                self.peers.insert(heartbeat.address, fresh);
                true
            }
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .peers
            .values()
            .enumerate()
            .min_by_key(|(_, p)| p.last_heard);
        if let Some(at) = oldest.map(|(at, _)| at) {
            self.peers.swap_remove_index(at);
        }
    }
}

/// Returns the routers of a data centre that read the registry, from all of them in their order.
fn readers<'a, 'b>(reader_candidates: &'a [&'b Heartbeat]) -> &'a [&'b Heartbeat] {
    let count = reader_candidates.len().div_ceil(ROUTERS_PER_READER);
    &reader_candidates[..count]
}

/// Hashes an address evenly over all numbers, as rendezvous hashing requires.
fn address_hash(address: SocketAddrV4) -> u64 {
    let port = address.port().to_le_bytes();
    let ip = address.ip().octets();
    xxhash_rust::xxh3::xxh3_64(&[ip.as_slice(), &port].concat())
}
