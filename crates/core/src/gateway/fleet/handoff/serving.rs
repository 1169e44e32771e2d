//! The requests that peers hand to this router.

use crate::{
    gateway::{
        Gateway, Ticket,
        handoff::{
            Grant,
            PeerReport, //
        },
        incoming_request::IncomingRequest,
        refusal::{
            Cause,
            Refusal, //
        },
    },
    ids::Tag,
    units::Time, //
};

impl Gateway {
    /// Admits a request that a peer hands to this router, or refuses it.
    ///
    /// # Errors
    ///
    /// The refusal that the peer gets.
    pub fn admit_from_peer(
        &mut self,
        now: Time,
        incoming_request: &IncomingRequest,
        grant: &Grant,
    ) -> Result<Ticket, Refusal> {
        // An older configuration may hold a key or a route that a newer one has taken away.
        if self
            .catalog
            .as_ref()
            .is_some_and(|c| c.version < grant.version)
        {
            return Err(Refusal::temporary(Cause::Stale));
        }
        let mut ticket = self.admit(now, incoming_request)?;
        ticket.from_peer = true;
        self.set_origin(&mut ticket, grant.origin);
        ticket.until = ticket.until.min(now + grant.time_left);
        ticket.max_attempts = ticket.max_attempts.min(grant.attempts);
        let tried = grant.tried.iter().filter_map(|t| self.registry.key_of(*t));
        ticket.excluded = tried.collect();
        if grant.retry {
            self.budget(&ticket.service).forget_request();
            ticket.counted = false;
        }
        Ok(ticket)
    }

    /// Takes back that a peer's request was counted, if it was sent to no endpoint here: another
    /// router counts it.
    pub fn release_from_peer(&mut self, ticket: &Ticket) {
        if ticket.counted && ticket.tried.is_empty() {
            self.budget(&ticket.service).forget_request();
        }
    }

    /// Returns what a peer is told of the attempts that this router has made for it.
    pub fn peer_report(&self, ticket: &Ticket, refused: Option<Cause>) -> PeerReport {
        let tags = ticket.tried.iter().map(|k| self.registry.get(*k));
        // An endpoint that is gone still counts.
        let tags = tags.map(|e| e.map_or(Tag(0), |e| e.tag()));
        PeerReport {
            tried: tags.collect(),
            refused,
            build: ticket.build,
        }
    }
}
