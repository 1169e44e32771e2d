//! Which router keeps the prefill backlog of an endpoint.

use std::net::SocketAddrV4;

use crate::{
    gateway::mesh::{
        Mesh,
        Peer,
        address_hash, //
    },
    ids::Tag,
    load::score,
    units::{
        Millis,
        Time, //
    },
};

/// Time for which a keeper that did not answer is passed over. Its prompts are placed without an estimate
/// whenever it is tried again in vain.
const SILENCE_TTL: Millis = Millis(2000);

impl Mesh {
    /// Gets the router that keeps the backlog of an endpoint; `None` where it is this one.
    ///
    /// It is the first by rendezvous hashing of those that are alive, so routers that hear the same fleet name
    /// the same one. A router that hears of no other keeps all backlogs of what it sends itself.
    pub fn backlog_keeper(&self, now: Time, endpoint: Tag) -> Option<SocketAddrV4> {
        let answers = |peer: &&Peer| now >= peer.silent_until;
        let first = self.first_of(now, endpoint, answers)?;
        let me = self.me.address;
        (rank(endpoint, first) > rank(endpoint, me)).then_some(first)
    }

    /// Tells whether this router, which keeps the backlog of an endpoint, knows probably only its own prompts
    /// there: it stands in for a keeper that is silent, or it has heard of others and half of them are silent.
    ///
    /// What it estimated would count instead of what digests tell of all others, so it doesn't ask itself then.
    pub fn keeps_own_prompts_only(&self, now: Time, endpoint: Tag) -> bool {
        if self.backlog_keeper(now, endpoint).is_some() {
            return false;
        }
        let is_silent = |peer: &&Peer| now < peer.silent_until;
        let first = self.first_of(now, endpoint, is_silent);
        let me = rank(endpoint, self.me.address);
        let stands_in = first.is_some_and(|first| rank(endpoint, first) > me);
        let silent = self.peers_alive(now).filter(is_silent).count();
        let has_lost_touch = 2 * silent >= self.peers_alive(now).count();
        stands_in || !self.peers.is_empty() && has_lost_touch
    }

    fn peers_alive(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let timeout = self.peer_timeout();
        let all = self.peers.values();
        all.filter(move |peer| now.since(peer.last_heard) < timeout)
    }

    /// Gets the first router in an endpoint's order among the others that are alive and counted.
    fn first_of(
        &self,
        now: Time,
        endpoint: Tag,
        counts: impl Fn(&&Peer) -> bool,
    ) -> Option<SocketAddrV4> {
        let counted = self.peers_alive(now).filter(counts);
        let addresses = counted.map(|peer| peer.heartbeat.address);
        addresses.max_by_key(|address| rank(endpoint, *address))
    }

    /// Records that a keeper did not answer in time, so that another one is asked for a while.
    pub fn record_silent_keeper(&mut self, now: Time, keeper: SocketAddrV4) {
        if let Some(peer) = self.peers.get_mut(&keeper) {
            peer.silent_until = now + SILENCE_TTL;
        }
    }
}

/// Gets a router's rank in the order of an endpoint; the greatest is the first.
fn rank(endpoint: Tag, router: SocketAddrV4) -> u64 {
    let item = xxhash_rust::xxh3::xxh3_64(&endpoint.0.to_le_bytes());
    score(item, address_hash(router))
}
