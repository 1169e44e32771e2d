//! Which other routers there are, and what they tell each other.
//!
//! Nobody lists the routers. Each knows a few addresses to begin with, which may be down, and sends
//! a short digest to a few others several times a second, whatever the size of the fleet. A digest
//! carries the sender's heartbeat, a sample of the heartbeats that it knows and the newest loads
//! that endpoints stated, so news reach N routers in about log(N) rounds and the bytes a second
//! don't grow with N.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::{
    gateway::{
        quarantine::Record,
        reading::ALL_STANDBYS,
        warmup::Fleet, //
    },
    load::score,
    units::{
        Incarnation,
        Millis,
        Time, //
    },
};

/// Time between rounds. A load must reach all routers before many requests are placed by the one before it.
pub const ROUND: Millis = Millis(100);
/// Routers that a digest goes to in each round.
pub const FANOUT: usize = 2;
/// Heartbeats in a digest besides the sender's.
pub const MAX_RUMORS: usize = 7;
/// Endpoints in a digest, which fills what control may send and hear.
pub const MAX_SIGHTS: usize = 31;
/// Those of them that state no load: few services do, and the loads of the others need the room.
pub const MAX_LOADLESS: usize = 2;
/// Requests in a digest: about as many as a router of a large fleet places in a round. Without them, a session that
/// suddenly gets much of the traffic stays on too few endpoints for seconds.
pub const MAX_SAMPLES: usize = 2;
/// Longest time from a request to its answer's head for which the answer's load is told as a confirmation, too. Most
/// heads come sooner.
pub const ANSWER_MAX: Millis = Millis(300);
/// Longest time that a digest is taken to be under way. A link on which bytes wait for longer counts as
/// broken.
const TRANSIT_MAX: Millis = Millis(500);
/// Time without a newer heartbeat after which a router of a small fleet isn't counted: one that is
/// told of directly is heard several times within it.
const SILENT: Millis = Millis(3000);
/// By how much longer for each router of the fleet: digests hold a sample of the heartbeats, so that one of a
/// large fleet is in them seldom, and at times is missed several times in a row.
const SILENT_PER_ROUTER: Millis = Millis(40);
/// Part of that time within which a heartbeat is handed on. Handed on to its end, the last heartbeat of a router that
/// has stopped goes from one of the others to the next for several times as long.
const TOLD_PART: u64 = 3;
/// Time after which a silent router is forgotten.
const FORGOTTEN: Millis = Millis(30_000);
/// Most routers that are kept; beyond it the one that was heard least recently goes.
const MAX_PEERS: usize = 2048;
/// Routers of one data centre for each that reads the registry in calm times. It hands on what is new to all of
/// them, over a link that may be narrow.
const ROUTERS_PER_READER: usize = 64;
/// Rounds after which a seed is tried again, as it may have come back with others behind it.
const SEED_ROUNDS: u64 = 20;

/// `Rumor` is a router's heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rumor {
    /// Where the router hears its peers.
    pub address: SocketAddrV4,
    /// Tag of its data centre.
    pub data_center: u32,
    /// This life of it; a later one is greater.
    pub incarnation: Incarnation,
    /// Number of its round.
    pub beat: u64,
    /// Whether it reads the registry and what it holds is fresh.
    pub reads: bool,
}

/// `Sight` is what an endpoint's answer said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sight {
    /// Tag of the endpoint's name.
    pub endpoint: u32,
    /// Requests there, running and waiting; `None` where it states none.
    pub load: Option<u32>,
    /// How old it is.
    pub age: Millis,
    /// Whether it was not leaving by its answer to a request that the sender sent no more than
    /// [`ANSWER_MAX`] before.
    pub confirmed: bool,
}

/// Counts the sights that a digest has fewer of with these records, so that it takes about as many bytes.
pub fn displaced(records: &[Record]) -> usize {
    let crashes: usize = records.iter().map(|r| r.crashes.len()).sum();
    2 * records.len() + crashes
}

impl Sight {
    /// Gets the greatest age that its confirmation may have on arrival; `None` without one. Clocks of
    /// routers aren't compared, so the longest time under way counts.
    pub fn confirmation(&self) -> Option<Millis> {
        let age = self.age + ANSWER_MAX + TRANSIT_MAX;
        self.confirmed.then_some(age)
    }
}

/// `Sample` is a request that a router placed. Told to a few others, it lets each see several times the traffic
/// that reaches it, and as unbiased.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Index of its service in the published configuration.
    pub service: u32,
    /// Tag of the shared part that decides its placement.
    pub part: u32,
    /// Its work.
    pub work: u32,
}

/// `Digest` is one message between routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// The sender's heartbeat.
    pub from: Rumor,
    /// Heartbeats of others.
    pub rumors: Vec<Rumor>,
    /// What is known of endpoints.
    pub sights: Vec<Sight>,
    /// Requests that the sender placed since its last round.
    pub samples: Vec<Sample>,
    /// Requests that were in progress at endpoints that broke off.
    pub crashes: Vec<Record>,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    rumor: Rumor,
    /// When its heartbeat last went up.
    heard: Time,
    /// Until when it is not asked for the registry, as it failed.
    avoided: Time,
}

/// `Mesh` is what a router knows of the others.
#[derive(Debug)]
pub struct Mesh {
    me: Rumor,
    seeds: Vec<SocketAddrV4>,
    peers: IndexMap<SocketAddrV4, Peer>,
    next: usize,
}

impl Mesh {
    /// Makes a mesh of this router alone.
    pub fn new(me: Rumor, seeds: Vec<SocketAddrV4>) -> Self {
        let seeds = seeds.into_iter().filter(|s| *s != me.address).collect();
        Self {
            me,
            seeds,
            peers: IndexMap::new(),
            next: 0,
        }
    }

    /// Takes new addresses to begin with.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        let me = self.me.address;
        self.seeds = seeds.into_iter().filter(|s| *s != me).collect();
    }

    /// Begins a round; gets where its digest goes.
    pub fn round(&mut self, now: Time, draw: u64) -> Vec<SocketAddrV4> {
        self.me.beat += 1;
        self.peers.retain(|_, p| now.since(p.heard) < FORGOTTEN);
        let live: Vec<SocketAddrV4> = self.live(now).map(|r| r.address).collect();
        let mut targets = Vec::with_capacity(FANOUT + 1);
        for turn in 0..FANOUT.min(live.len()) as u64 {
            let pick = score(draw, turn) % live.len() as u64;
            let target = live[usize::try_from(pick).unwrap_or_default()];
            if !targets.contains(&target) {
                targets.push(target);
            }
        }
        let lonely = live.len() < FANOUT;
        if (lonely || self.me.beat.is_multiple_of(SEED_ROUNDS)) && !self.seeds.is_empty() {
            let pick = score(draw, u64::MAX) % self.seeds.len() as u64;
            targets.push(self.seeds[usize::try_from(pick).unwrap_or_default()]);
        }
        targets
    }

    /// Makes this round's digest to `target`, without requests.
    pub fn digest(
        &mut self,
        now: Time,
        target: SocketAddrV4,
        reads: bool,
        sights: Vec<Sight>,
    ) -> Digest {
        self.me.reads = reads;
        let known = self.peers.len();
        let told = Millis(self.silent().0 / TOLD_PART);
        let mut rumors = Vec::with_capacity(MAX_RUMORS.min(known));
        rumors.extend(self.first_near(now, target, told));
        for _ in 0..known {
            if rumors.len() == MAX_RUMORS {
                break;
            }
            self.next = (self.next + 1) % known;
            let Some((_, peer)) = self.peers.get_index(self.next) else {
                break;
            };
            if now.since(peer.heard) < told && !rumors.contains(&peer.rumor) {
                rumors.push(peer.rumor);
            }
        }
        Digest {
            from: self.me,
            rumors,
            sights,
            samples: Vec::new(),
            crashes: Vec::new(),
        }
    }

    /// Gets the heartbeat of the router that comes first as a reader in the data centre of `target`.
    ///
    /// It goes to all of that data centre within a few rounds, as each tells the best that it knows. Without
    /// it, a router learns who reads for it only when it has heard of nearly all others, and until then reads
    /// the registry itself.
    fn first_near(&self, now: Time, target: SocketAddrV4, told: Millis) -> Option<Rumor> {
        let near = self.peers.get(&target)?.rumor.data_center;
        let others = self.peers.values().filter(|p| now.since(p.heard) < told);
        let others = others.map(|p| &p.rumor).chain([&self.me]);
        let others = others.filter(|r| r.data_center == near && r.address != target);
        let first = others.min_by_key(|r| score(u64::from(near), tag(r.address)));
        first.filter(|r| r.address != self.me.address).copied()
    }

    /// Takes a digest in; returns whether it is news of its sender. What is none may be replayed,
    /// and nothing in it counts.
    pub fn hear(&mut self, now: Time, digest: &Digest) -> bool {
        if digest.from.address == self.me.address || !self.note(now, digest.from) {
            return false;
        }
        for rumor in &digest.rumors {
            if rumor.address != self.me.address {
                self.note(now, *rumor);
            }
        }
        true
    }

    /// Lists the routers that are heard of, this one left out.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Rumor> {
        let silent = self.silent();
        let heard = move |p: &&Peer| now.since(p.heard) < silent;
        self.peers.values().filter(heard).map(|p| &p.rumor)
    }

    fn silent(&self) -> Millis {
        let routers = u64::try_from(self.peers.len()).unwrap_or(u64::MAX);
        SILENT + Millis(SILENT_PER_ROUTER.0.saturating_mul(routers))
    }

    /// Counts the routers, this one among them.
    pub fn size(&self, now: Time) -> u32 {
        u32::try_from(self.live(now).count() + 1).unwrap_or(u32::MAX)
    }

    /// Gets the routers that are heard of, for what is divided among them.
    pub fn fleet(&self, now: Time) -> Fleet {
        Fleet {
            me: tag(self.me.address),
            others: self.live(now).map(|r| tag(r.address)).collect(),
            expected: !self.seeds.is_empty(),
        }
    }

    /// Tells whether this router is one of those that read the registry for its data centre in calm times: the
    /// first ones by rendezvous hashing, which all agree on that know the same routers. If they don't, one reads
    /// too many, or a router follows one that follows another.
    pub fn reads(&self, now: Time) -> bool {
        let (rank, readers) = self.rank(now);
        rank < readers
    }

    /// Counts the routers of this data centre that come before this one as readers, and those that read in calm
    /// times.
    pub fn rank(&self, now: Time) -> (usize, usize) {
        let near = self.near(now);
        let before = near.iter().position(|r| r.address == self.me.address);
        (before.unwrap_or_default(), readers(&near).len())
    }

    /// Gets the router to ask for the registry's state; `None` where this one is to read itself.
    ///
    /// It is asked whether it reads or not: one that has just come, or can't reach the registry, hands on what it
    /// has from another. Asked by what others told of its reading, routers that started together read themselves
    /// for seconds, as such word is old.
    pub fn upstream(&self, now: Time) -> Option<SocketAddrV4> {
        let near = self.near(now);
        let readers = readers(&near);
        if readers.iter().any(|r| r.address == self.me.address) {
            return None;
        }
        // Each has its own order, which divides them and stays as it is, so that connections are kept.
        let me = tag(self.me.address);
        let first = readers.iter().max_by_key(|r| score(me, tag(r.address)));
        first.map(|r| r.address)
    }

    /// Gets a router to ask that may know more than the one that should read: by turns one anywhere that says that
    /// it reads the registry, and one of those of this data centre that read when that one can't; else any.
    ///
    /// Who doesn't know the newest configuration can't open digests that are sealed by it, and hears no more of who
    /// reads, or of anybody: then one of the addresses to begin with is asked.
    pub fn distant(&self, now: Time, draw: u64) -> Option<SocketAddrV4> {
        let open = || self.live(now).filter(|r| !self.avoids(now, r));
        let addresses = |routers: Vec<&Rumor>| routers.iter().map(|r| r.address).collect();
        let near = self.near(now).into_iter().take(ALL_STANDBYS);
        let near: Vec<&Rumor> = near.filter(|r| r.address != self.me.address).collect();
        let mut found: Vec<SocketAddrV4> = addresses(open().filter(|r| r.reads).collect());
        if found.is_empty() || !draw.is_multiple_of(2) {
            found = if near.is_empty() {
                found
            } else {
                addresses(near)
            };
        }
        if found.is_empty() {
            found = addresses(open().collect());
        }
        if found.is_empty() {
            found.clone_from(&self.seeds);
        }
        let pick = (draw / 2).checked_rem(found.len() as u64)?;
        found.get(usize::try_from(pick).ok()?).copied()
    }

    /// Notes that a router did not answer, or with what is too old. Until then another one of the
    /// data centre reads: all that asked the same one find out within a second.
    pub fn avoid(&mut self, now: Time, address: SocketAddrV4, pause: Millis) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.avoided = now + pause;
        }
    }

    /// Lists the routers of this data centre that are heard of and not avoided, this one among them, in
    /// the order in which they read.
    fn near(&self, now: Time) -> Vec<&Rumor> {
        let near = self.me.data_center;
        let local = self.live(now).chain([&self.me]);
        let local = local.filter(|r| r.data_center == near && !self.avoids(now, r));
        let mut local: Vec<&Rumor> = local.collect();
        local.sort_by_key(|r| score(u64::from(near), tag(r.address)));
        local
    }

    fn avoids(&self, now: Time, rumor: &Rumor) -> bool {
        let peer = self.peers.get(&rumor.address);
        peer.is_some_and(|p| now < p.avoided)
    }

    fn note(&mut self, now: Time, rumor: Rumor) -> bool {
        let fresh = Peer {
            rumor,
            heard: now,
            avoided: Time(0),
        };
        match self.peers.get_mut(&rumor.address) {
            Some(peer) => {
                let held = (peer.rumor.incarnation, peer.rumor.beat);
                let newer = (rumor.incarnation, rumor.beat) > held;
                if newer && peer.rumor.incarnation != rumor.incarnation {
                    *peer = fresh;
                } else if newer {
                    peer.rumor = rumor;
                    peer.heard = now;
                }
                newer
            }
            None => {
                if self.peers.len() >= MAX_PEERS {
                    self.forget_oldest();
                }
                self.peers.insert(rumor.address, fresh);
                true
            }
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.peers.values().enumerate().min_by_key(|(_, p)| p.heard);
        if let Some(at) = oldest.map(|(at, _)| at) {
            self.peers.swap_remove_index(at);
        }
    }
}

/// Gets those of a data centre's routers, in their order, that read the registry.
fn readers<'a, 'b>(near: &'a [&'b Rumor]) -> &'a [&'b Rumor] {
    let count = near.len().div_ceil(ROUTERS_PER_READER);
    &near[..count]
}

/// Spreads addresses over all numbers, as rendezvous wants them.
fn tag(address: SocketAddrV4) -> u64 {
    let port = address.port().to_le_bytes();
    let ip = address.ip().octets();
    xxhash_rust::xxh3::xxh3_64(&[ip.as_slice(), &port].concat())
}
