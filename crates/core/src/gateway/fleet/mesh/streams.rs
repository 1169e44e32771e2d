//! Which routers are told of a stream, and asked for one.

use std::net::SocketAddrV4;

use crate::{
    gateway::mesh::{
        GOSSIP_INTERVAL,
        Mesh,
        address_hash, //
    },
    load::score,
    units::Time, //
};

/// Limit of the stream reports in a message.
pub const MAX_STREAM_REPORTS: usize = 32;
/// Routers of a large fleet that are told of a stream.
const STREAM_KEEPERS: usize = 2;
/// Further routers that are asked for a stream: the fleet may have changed since it began.
const FURTHER_KEEPERS: usize = 2;
/// Limit of the other routers that are all told of each stream, so that any one of them is enough.
pub(in crate::gateway) const SMALL_FLEET: usize = 8;
/// Rounds of a sender around the one that it is expected to be in within which its reports count. Others
/// may be replays, of an earlier process among them.
const REPORT_ROUNDS: u64 = 20;

impl Mesh {
    /// Tells whether this router has heard of another one.
    pub fn knows(&self, router: SocketAddrV4) -> bool {
        self.peers.contains_key(&router)
    }

    /// Tells whether stream reports or notes that a router made in a round count.
    ///
    /// In a large fleet a router's heartbeat is heard of every few seconds only, and is on its way for as long; its
    /// rounds have gone on since.
    pub fn accepts_round(&self, now: Time, from: SocketAddrV4, beat: u64) -> bool {
        self.peers.get(&from).is_some_and(|peer| {
            let held = peer.heartbeat.beat;
            let passed = now.since(peer.last_heard) + self.heartbeat_delay();
            let passed = passed.0 / GOSSIP_INTERVAL.0;
            beat + REPORT_ROUNDS >= held && beat <= held + passed + REPORT_ROUNDS
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
}
