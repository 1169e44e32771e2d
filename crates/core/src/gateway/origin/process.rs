//! Whether the process that has begun a stream, or is to go on with it, is of the version that its entry states.

use crate::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        Ticket,
        endpoint::Incarnation,
        origin::Origin, //
    },
    units::Time,
};

/// Limit of the replaced incarnations that are remembered.
const MAX_REPLACED: usize = 4096;

/// `Replaced` is how an incarnation was replaced under its name by one with other software.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct Replaced {
    /// When that was read.
    pub(super) at: Time,
    /// When the newest read was sent that still listed it. The other one has written its entry before it answers, so it has
    /// answered nothing before.
    confirmed: Option<Time>,
}

impl Gateway {
    /// Records which incarnations a read of the registry has shown to be replaced by others with other software.
    pub(in crate::gateway) fn record_replaced(&mut self, now: Time) {
        let confirmed = self.proof.read_before();
        for incarnation in self.registry.take_replaced() {
            if self.replaced.len() >= MAX_REPLACED {
                self.replaced.shift_remove_index(0);
            }
            let replaced = Replaced { at: now, confirmed };
            self.replaced.insert(incarnation, replaced);
            self.streams.doubt(now, incarnation, confirmed);
        }
    }

    /// Tells whether the process that has replaced an incarnation may have begun a stream that is taken for the latter's.
    fn may_be_of_next(&self, incarnation: Incarnation, began: Time) -> bool {
        let replaced = self.replaced.get(&incarnation);
        replaced.is_some_and(|r| Some(began) >= r.confirmed)
    }

    /// Tells whether a request may be sent over a connection that was opened at `opened` to the endpoint chosen for it:
    /// its stream is bound to no version, or the entry describes the process at the other end.
    pub fn is_sure_of_process(&self, ticket: &Ticket, endpoint: EndpointKey, opened: Time) -> bool {
        let listed = self.registry.get(endpoint);
        !matches!(ticket.origin, Origin::Build(_))
            || listed.is_none_or(|e| e.is_described(self.proof.read(), opened))
    }

    /// Gets the time after which the registry has to be read before a request is sent again, as the endpoint that has
    /// begun its stream may have restarted before. Endpoints that state their starts may do so without a sign; in an outage
    /// of the registry, they are taken not to.
    pub fn settles_after(&self, now: Time, ticket: &Ticket) -> Option<Time> {
        let bound = matches!(ticket.origin, Origin::Build(_));
        let doubted = ticket.unconfirmed.map(|(_, opened)| opened);
        let unread = |&(incarnation, began): &(Incarnation, Time)| {
            let listed = self.registry.life(incarnation.life);
            let may_restart = listed.is_some_and(|e| e.entry.born.is_some());
            may_restart
                && self.proof.read() <= Some(began)
                && self.proof.holds(now, self.bounds.pace().late())
        };
        let begun = ticket.begun.filter(unread).map(|(_, began)| began);
        doubted.max(begun).filter(|_| bound)
    }

    /// Decides the origin of a stream that was begun by an endpoint that may have restarted before, where the registry
    /// has been read since; its version remains unknown otherwise.
    pub fn settle_origin(&self, ticket: &mut Ticket) {
        let replaced = ticket
            .begun
            .take_if(|(of, began)| self.may_be_of_next(*of, *began));
        if replaced.is_some() && matches!(ticket.origin, Origin::Build(_)) {
            ticket.origin = Origin::Unknown;
        }
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
