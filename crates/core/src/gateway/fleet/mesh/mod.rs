//! Gossip between routers: which other routers there are, and what they report to each other.
//!
//! There is no central list of routers. Each router is configured with a few seed addresses, which
//! may be down, and sends a short digest to a few other routers several times a second, whatever
//! the size of the fleet. A digest carries the sender's heartbeat, a sample of the heartbeats that
//! it knows and the newest loads that endpoints stated. A change reaches N routers in about log(N)
//! rounds, and the bytes per second do not grow with N.
//!
//! The load that it answers: hundreds of routers that start, stop and are cut off from each other, over
//! links that may be narrow.
//!
//! - this file: the routers that are alive, and the rounds.
//! - `digest`: what a digest carries, with the limits of each part.
//! - `readers`: which routers read the registry, and whom the others ask.
//! - `streams`: which routers are told of a stream.
//! - `keepers`: which router keeps the prefill backlog of an endpoint.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::{
    gateway::warmup::Fleet,
    load::score,
    units::{
        Millis,
        Time, //
    },
};

mod digest;
mod keepers;
mod readers;
mod streams;

pub use digest::{
    BackOffReport,
    DELAYS_DISPLACE,
    Digest,
    EndpointReport,
    Heartbeat,
    MAX_BACK_OFFS,
    MAX_CONFIRMED_LATENCY,
    MAX_HEARTBEATS,
    MAX_PEER_BACK_OFF,
    MAX_REPORTS,
    MAX_REPORTS_WITHOUT_LOAD,
    MAX_SAMPLES,
    MAX_WAIT_REPORTS,
    MIXED_DISPLACES,
    Sample,
    displaced_reports, //
};
pub use streams::MAX_STREAM_REPORTS;

pub(in crate::gateway) use streams::SMALL_FLEET;

/// Interval between gossip rounds. A load must reach all routers before many requests are placed by
/// the one before it.
pub const GOSSIP_INTERVAL: Millis = Millis(100);
/// Routers that receive a digest in each round.
pub const FANOUT: usize = 2;
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
/// Interval, in rounds, in which a seed is tried again; it may have come back with other routers
/// behind it.
const SEED_RETRY_ROUNDS: u64 = 20;

#[derive(Clone, Copy, Debug)]
struct Peer {
    heartbeat: Heartbeat,
    /// When its heartbeat last increased.
    last_heard: Time,
    /// End of the time in which it is not asked for the registry's state, because it failed to
    /// answer.
    avoided_until: Time,
    /// End of the time in which it is not asked for backlogs, because it failed to answer.
    silent_until: Time,
}

/// `Mesh` is what a router knows of the other routers.
#[derive(Debug)]
pub struct Mesh {
    me: Heartbeat,
    seeds: Vec<SocketAddrV4>,
    peers: IndexMap<SocketAddrV4, Peer>,
    /// Whether another router was ever heard of.
    has_had_peers: bool,
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
            has_had_peers: false,
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
            versions_until: None,
            reads: Vec::new(),
        }
    }

    /// Gets this router's newest heartbeat.
    pub fn own_heartbeat(&self) -> Heartbeat {
        self.me
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
        PEER_TIMEOUT + self.heartbeat_delay()
    }

    /// Gets how long a heartbeat may be on its way from peer to peer.
    fn heartbeat_delay(&self) -> Millis {
        let routers = u64::try_from(self.peers.len()).unwrap_or(u64::MAX);
        Millis(PEER_TIMEOUT_PER_ROUTER.0.saturating_mul(routers))
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
            // Others may be there though the settings name none: they have this one as their seed.
            expected: self.has_had_peers || !self.seeds.is_empty(),
        }
    }

    fn record_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) -> bool {
        self.has_had_peers = true;
        let fresh = Peer {
            heartbeat,
            last_heard: now,
            avoided_until: Time(0),
            silent_until: Time(0),
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

/// Hashes an address evenly over all numbers, as rendezvous hashing requires.
fn address_hash(address: SocketAddrV4) -> u64 {
    let port = address.port().to_le_bytes();
    let ip = address.ip().octets();
    xxhash_rust::xxh3::xxh3_64(&[ip.as_slice(), &port].concat())
}
