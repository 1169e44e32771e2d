//! The successor of an attempt whose endpoint keeps silent.
//!
//! The endpoint may still work, and what it has done is lost once its connection is closed. So a
//! successor is prepared on a ticket of its own while the present attempt stays open. It takes over
//! when it has begun to answer or runs for too long beside the present attempt; otherwise it is
//! withdrawn, and what it has used up counts for the request.

use crate::{
    gateway::{
        Gateway, Ticket,
        outcome::{
            AttemptOutcome,
            NextStep, //
        },
    },
    units::Time,
};

impl Gateway {
    /// Makes the ticket of a successor, and charges the retry to the budget; `None` if no other
    /// attempt may follow.
    pub fn begin_successor(&mut self, now: Time, ticket: &mut Ticket) -> Option<Ticket> {
        let next = self.decide_retry(now, ticket, AttemptOutcome::Stalled);
        (next == NextStep::Again).then(|| Ticket {
            owner: self.prefill.next_owner(),
            may_have_run: true,
            ..ticket.clone()
        })
    }

    /// Notes that a successor is withdrawn and the present attempt goes on; `in_peer` tells whether
    /// a peer had it.
    pub fn withdraw_successor(&mut self, ticket: &mut Ticket, successor: &Ticket, in_peer: bool) {
        let sent = in_peer
            || successor.attempts() > ticket.attempts()
            || successor.peers.len() > ticket.peers.len();
        ticket.tried.clone_from(&successor.tried);
        ticket.unreached.clone_from(&successor.unreached);
        ticket.peers.clone_from(&successor.peers);
        ticket.remote_attempts = successor.remote_attempts;
        ticket.retry_reserved = successor.retry_reserved;
        ticket.may_have_run |= sent && successor.may_have_run;
        if in_peer {
            // The peer may have made any number of the attempts that it was granted.
            let left = ticket.max_attempts.saturating_sub(ticket.attempts());
            ticket.remote_attempts += left;
        }
    }
}
