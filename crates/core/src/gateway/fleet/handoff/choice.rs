//! When a request is handed off, and to whom.

use std::net::SocketAddrV4;

use crate::{
    gateway::{
        Gateway,
        Ticket,
        handoff::HUNG_TIME,
        place::Placed,
        refusal::Refusal, //
    },
    units::Time, //
};

/// Limit of the peers that one request is sent to.
pub const MAX_PEERS: usize = 3;
/// Endpoints that can't be connected to after which a request is handed off.
const MAX_DIRECT_CONNECTIONS: usize = 2;

impl Gateway {
    /// Chooses the peer that a request is handed to; `None` where this router places it itself.
    pub fn hand_off(&mut self, now: Time, ticket: &Ticket) -> Option<SocketAddrV4> {
        let wanted = now < ticket.until && self.lacks_way(now, ticket);
        wanted.then(|| self.choose_peer(now, ticket)).flatten()
    }

    /// Chooses the peer that a request is handed to though an endpoint was chosen for it: that one has
    /// as many requests as it may have, and peers reach others that this router can't.
    pub fn hand_off_instead(
        &mut self,
        now: Time,
        ticket: &Ticket,
        placed: &Placed,
    ) -> Option<SocketAddrV4> {
        #[expect(clippy::cast_precision_loss, reason = "loads are small numbers")]
        let is_full = placed.load as f32 >= placed.limit;
        let wanted = is_full
            && self
                .registry
                .of(&ticket.service)
                .any(|(_, e)| e.reached_by_peers_only(now));
        wanted.then(|| self.choose_peer(now, ticket)).flatten()
    }

    /// Chooses the peer for a request that this router refuses only because its own share of the
    /// endpoints' connections is used up: callers' connections may be spread unevenly, and then
    /// the shares of the others are free.
    pub fn hand_off_refused(
        &mut self,
        now: Time,
        ticket: &Ticket,
        refusal: &Refusal,
    ) -> Option<SocketAddrV4> {
        let wanted = refusal.peers_have_room && now < ticket.until;
        wanted.then(|| self.choose_peer(now, ticket)).flatten()
    }

    /// Tells whether this router probably has no way to an endpoint for a request.
    fn lacks_way(&self, now: Time, ticket: &Ticket) -> bool {
        let service = &ticket.service;
        if self.reach.outage(service).is_some() {
            return true;
        }
        let mut endpoints = self.registry.of(service).peekable();
        if endpoints.peek().is_some() && endpoints.all(|(_, e)| e.unreached(now)) {
            return true;
        }
        let silent = |since: Time| {
            let contact = self.reach.last_contact(service);
            now.since(since) >= HUNG_TIME && contact.is_none_or(|at| at < since)
        };
        let connecting = ticket
            .connecting_since
            .filter(|_| !ticket.unreached.is_empty());
        let sent = Some(ticket.sent).filter(|_| !ticket.tried.is_empty());
        ticket.unreached.len() >= MAX_DIRECT_CONNECTIONS || connecting.or(sent).is_some_and(silent)
    }

    pub(in crate::gateway) fn choose_peer(
        &mut self,
        now: Time,
        ticket: &Ticket,
    ) -> Option<SocketAddrV4> {
        if ticket.from_peer || ticket.peers.len() >= MAX_PEERS {
            return None;
        }
        let draw = self.draw();
        self.peers.choose(now, &ticket.service, &ticket.peers, draw)
    }

    /// Tells whether a request of a peer must be refused because this router has no way to an
    /// endpoint either.
    pub(in crate::gateway) fn cannot_help(&self, now: Time, ticket: &Ticket) -> bool {
        ticket.from_peer && self.lacks_way(now, ticket)
    }
}
