//! Whether the process that has begun a stream, or is to go on with it, is of the version that its entry states.

use crate::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        Ticket,
        origin::Origin, //
    },
    units::Time,
};

impl Gateway {
    /// Tells whether a request may be sent over a connection that was opened at `opened` to the endpoint chosen for it:
    /// its stream is bound to no version, or the entry describes the process at the other end.
    pub fn is_sure_of_process(&self, ticket: &Ticket, endpoint: EndpointKey, opened: Time) -> bool {
        let listed = self.registry.get(endpoint);
        !matches!(ticket.origin, Origin::Build(_))
            || listed.is_none_or(|e| e.is_described(self.proof.read(), opened))
    }

    /// Gets the time after which the registry has to be read before a request is sent again, as an endpoint that may
    /// have restarted before has begun its stream.
    pub fn settles_after(ticket: &Ticket) -> Option<Time> {
        let bound = matches!(ticket.origin, Origin::Build(_));
        ticket
            .unconfirmed
            .filter(|_| bound)
            .map(|(_, opened)| opened)
    }

    /// Decides the origin of a stream that was begun by an endpoint that may have restarted before, where the registry
    /// has been read since; its version remains unknown otherwise.
    pub fn settle_origin(&self, ticket: &mut Ticket) {
        let Some((endpoint, opened)) = ticket.unconfirmed.take() else {
            return;
        };
        let is_listed = self.registry.get(endpoint).is_some();
        if matches!(ticket.origin, Origin::Build(_))
            && !(is_listed && self.proof.read() > Some(opened))
        {
            ticket.origin = Origin::Unknown;
        }
    }
}
