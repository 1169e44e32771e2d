//! The other routers, as far as hand-offs go.

use std::net::SocketAddrV4;

use bytes::Bytes;
use indexmap::IndexMap;

use crate::{
    load::score,
    units::{
        Millis,
        Time, //
    },
};

/// Time for which a peer is not used after it could not be connected to or broke the connection.
const FAILED_PEER_PAUSE: Millis = Millis(2000);
/// Time for which a peer gets no requests for a service after it has refused one for a cause that
/// another peer may not have.
const REFUSING_PEER_PAUSE: Millis = Millis(1000);
/// Time for which a peer's statement that it does not reach a service counts. Peers of a large fleet
/// are heard directly each few seconds.
const STATEMENT_TTL: Millis = Millis(5000);

#[derive(Clone, Debug, Default)]
struct Peer {
    /// Requests of this router that it has in progress.
    in_progress: u32,
    avoided_until: Time,
    /// Services that it has said not to reach, and when.
    unreached: (Time, Vec<Bytes>),
    /// Services for which it has refused a request, and until when it is not asked again.
    refused: IndexMap<Bytes, Time>,
}

impl Peer {
    fn takes(&self, now: Time, service: &Bytes) -> bool {
        let (stated_at, unreached) = &self.unreached;
        let stated = now.since(*stated_at) < STATEMENT_TTL && unreached.contains(service);
        let refused = self.refused.get(service).is_some_and(|until| now < *until);
        now >= self.avoided_until && !stated && !refused
    }
}

/// `Peers` is the other routers, as far as hand-offs go.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: IndexMap<SocketAddrV4, Peer>,
}

impl Peers {
    /// Replaces the list of routers that are alive. What is known of those that stay is kept.
    pub fn update(&mut self, live: impl Iterator<Item = SocketAddrV4>) {
        let mut before = std::mem::take(&mut self.peers);
        let kept = |address| {
            let peer = before.swap_remove(&address).unwrap_or_default();
            (address, peer)
        };
        self.peers = live.map(kept).collect();
    }

    /// Records which services a peer says that it does not reach.
    pub fn record_unreached(&mut self, now: Time, peer: SocketAddrV4, services: Vec<Bytes>) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.unreached = (now, services);
        }
    }

    /// Chooses the peer for a request: of two random ones the one with fewer hand-offs in progress.
    pub fn choose(
        &self,
        now: Time,
        service: &Bytes,
        tried: &[SocketAddrV4],
        draw: u64,
    ) -> Option<SocketAddrV4> {
        let takes = |(address, peer): &(&SocketAddrV4, &Peer)| {
            !tried.contains(address) && peer.takes(now, service)
        };
        let able: Vec<(&SocketAddrV4, &Peer)> = self.peers.iter().filter(takes).collect();
        let pick = |turn| {
            let index = score(draw, turn).checked_rem(able.len() as u64)?;
            able.get(usize::try_from(index).ok()?)
        };
        let pair = [pick(1)?, pick(2)?];
        let chosen = pair.into_iter().min_by_key(|(_, peer)| peer.in_progress)?;
        Some(*chosen.0)
    }

    pub(super) fn begin(&mut self, peer: SocketAddrV4) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.in_progress += 1;
        }
    }

    pub(super) fn end(&mut self, peer: SocketAddrV4) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.in_progress = peer.in_progress.saturating_sub(1);
        }
    }

    pub(super) fn avoid(&mut self, now: Time, peer: SocketAddrV4) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.avoided_until = now + FAILED_PEER_PAUSE;
        }
    }

    pub(super) fn refused(&mut self, now: Time, peer: SocketAddrV4, service: &Bytes) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.refused.retain(|_, until| now < *until);
            peer.refused
                .insert(service.clone(), now + REFUSING_PEER_PAUSE);
        }
    }
}
