//! Which router keeps the prefill backlog of an endpoint.

use std::net::SocketAddrV4;

use crate::{
    gateway::mesh::{
        Mesh,
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
        let item = xxhash_rust::xxh3::xxh3_64(&endpoint.0.to_le_bytes());
        let rank = |address| score(item, address_hash(address));
        let timeout = self.peer_timeout();
        let answers = self
            .peers
            .values()
            .filter(|peer| now.since(peer.last_heard) < timeout && now >= peer.silent_until);
        let first = answers
            .map(|peer| peer.heartbeat.address)
            .max_by_key(|address| rank(*address))?;
        (rank(first) > rank(self.me.address)).then_some(first)
    }

    /// Records that a keeper did not answer in time, so that another one is asked for a while.
    pub fn record_silent_keeper(&mut self, now: Time, keeper: SocketAddrV4) {
        if let Some(peer) = self.peers.get_mut(&keeper) {
            peer.silent_until = now + SILENCE_TTL;
        }
    }
}
