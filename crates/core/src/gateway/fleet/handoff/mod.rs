//! Hand-offs: requests that a router sends to a peer, as it does not reach their service itself.
//!
//! The peer admits and places a request as if its caller had sent it there, but never hands it off
//! again. A hand-off is no attempt at an endpoint: the peer reports which endpoints it has sent the
//! request to, and these count.
//!
//! The load that it answers: the requests of a router that has lost its way to a service, or that gets
//! most of the callers' connections.
//!
//! - this file: the course of a hand-off, and what it counts.
//! - `choice`: when a request is handed off, and to whom.
//! - `peers`: the other routers, as far as hand-offs go.
//! - `serving`: the requests of peers.

use std::net::SocketAddrV4;

use bytes::Bytes;

use crate::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        Ticket,
        origin::{
            Build,
            Origin, //
        },
        outcome::{
            AttemptOutcome,
            NextStep, //
        },
        refusal::Cause, //
    },
    ids::Tag,
    load::score,
    units::{
        Millis,
        Time, //
    },
};

mod choice;
mod peers;
mod serving;

pub use choice::MAX_PEERS;
pub use peers::Peers;

/// Limit of the unreached services that a digest names.
pub const MAX_UNREACHED_SERVICES: usize = 8;
/// Time in which nothing came back that shows that the way is lost rather than an endpoint.
pub(in crate::gateway) const HUNG_TIME: Millis = Millis(300);

/// `Grant` is what a router allows the peer that it hands a request to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// Version of the configuration that has admitted the request; the peer must not use an older
    /// one.
    pub version: u64,
    /// Time until the final answer is due.
    pub time_left: Millis,
    /// Most endpoints that the peer may send the request to.
    pub attempts: u32,
    /// Whether the request has been sent to an endpoint before, and the retry is charged to the
    /// budget.
    pub retry: bool,
    /// Last event of the stream that the caller has received.
    pub resume: Option<u64>,
    /// Software version at which the request may run, if its caller has events of its stream.
    pub origin: Origin,
    /// Tags of endpoints that the peer must not use.
    pub tried: Vec<Tag>,
}

/// `PeerReport` is what a peer reports of the attempts that it has made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerReport {
    /// Tags of the endpoints that it has sent the request to.
    pub tried: Vec<Tag>,
    /// Why it has refused the request; `None` if it has passed on an endpoint's answer.
    pub refused: Option<Cause>,
    /// Software version of the endpoint that it has last sent the request to.
    pub build: Option<Build>,
}

/// `Probe` is a call that shows whether a service is reached again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Its address.
    pub address: SocketAddrV4,
    /// Path of its health check.
    pub health: Bytes,
}

/// Tells whether another router may serve what a peer refuses for a cause.
const fn is_of_peer(cause: Cause) -> bool {
    matches!(
        cause,
        Cause::Unreached
            | Cause::NotReady
            | Cause::Stale
            | Cause::Unconfirmed
            | Cause::Stopping
            | Cause::Overloaded
            | Cause::UnusableConfiguration
    )
}

impl Gateway {
    /// Replaces the list of the routers that requests may be handed to.
    pub fn update_peers(&mut self, live: impl Iterator<Item = SocketAddrV4>) {
        self.peers.update(live);
    }

    /// Lists the services that this router does not reach, by their indices in the configuration.
    pub fn unreached_services(&self) -> Vec<u32> {
        let Some(catalog) = &self.catalog else {
            return Vec::new();
        };
        let indices = self.reach.unreached().filter_map(|s| catalog.index_of(s));
        indices.take(MAX_UNREACHED_SERVICES).collect()
    }

    /// Takes in which services a peer does not reach; peer and router have the same configuration
    /// in force.
    pub fn record_peer_unreached(&mut self, now: Time, peer: SocketAddrV4, services: &[u32]) {
        let names = self.catalog.iter().flat_map(|c| c.names_at(services));
        let names = names.collect();
        self.peers.record_unreached(now, peer, names);
    }

    /// Makes the grant for a request that is handed off; `resume` is the last event that the caller
    /// has received.
    pub fn grant(&self, now: Time, ticket: &Ticket, resume: Option<u64>) -> Grant {
        let tags = ticket.tried.iter().filter_map(|k| self.registry.get(*k));
        Grant {
            version: ticket.version,
            time_left: ticket.until.since(now),
            attempts: ticket.max_attempts.saturating_sub(ticket.attempts()),
            retry: ticket.attempts() > 0,
            resume,
            origin: ticket.origin,
            tried: tags.map(|e| e.tag()).collect(),
        }
    }

    /// Notes that a request is handed to a peer.
    pub fn handed_off(&mut self, now: Time, ticket: &mut Ticket, peer: SocketAddrV4) {
        self.release_prefill(ticket.owner);
        ticket.retry_reserved = false;
        ticket.sent = now;
        ticket.life = None;
        ticket.build = None;
        ticket.unconfirmed = None;
        ticket.peers.push(peer);
        // The peer counts the request, and may retry it accordingly.
        if ticket.counted && ticket.attempts() == 0 {
            ticket.counted = false;
            self.budget(&ticket.service).forget_request();
        }
        self.peers.begin(peer);
    }

    /// Notes that no connection to a peer could be made; another way is tried.
    pub fn peer_unreached(&mut self, now: Time, ticket: &mut Ticket, peer: SocketAddrV4) {
        ticket.peers.push(peer);
        self.peers.avoid(now, peer);
    }

    /// Notes that the caller left while a peer had its request.
    pub fn caller_left_peer(&mut self, peer: SocketAddrV4) {
        self.peers.end(peer);
    }

    /// Notes how a hand-off ended, and decides what follows.
    pub fn hand_off_ended(
        &mut self,
        now: Time,
        ticket: &mut Ticket,
        peer: SocketAddrV4,
        outcome: AttemptOutcome,
        report: Option<&PeerReport>,
    ) -> NextStep {
        self.peers.end(peer);
        if outcome == AttemptOutcome::Answered && ticket.succeeded {
            self.record_duration(now, ticket);
        }
        let refused = report.and_then(|r| r.refused);
        for tag in report.into_iter().flat_map(|r| &r.tried) {
            match self.registry.key_of(*tag) {
                Some(key) if ticket.tried.contains(&key) => {}
                Some(key) => ticket.tried.push(key),
                None => ticket.remote_attempts += 1,
            }
        }
        let lost = matches!(outcome, AttemptOutcome::Broken | AttemptOutcome::Stalled);
        if lost && refused.is_none() {
            // The peer may have made any number of the attempts that it was granted.
            let left = ticket.max_attempts.saturating_sub(ticket.attempts());
            ticket.remote_attempts += left;
        }
        // After the head of an answer, an endpoint's break ends the peer's answer in the same way as the peer's own end
        // does. A peer that has ended refuses the next connection.
        let answered = outcome == AttemptOutcome::Broken && report.is_some();
        if outcome == AttemptOutcome::NotSent || (lost && refused.is_none() && !answered) {
            self.peers.avoid(now, peer);
        }
        ticket.may_have_run |= outcome.may_have_run();
        match (outcome, refused) {
            (AttemptOutcome::Answered | AttemptOutcome::Left, _) => NextStep::Deliver,
            (AttemptOutcome::NotSent, _) if now < ticket.until => NextStep::Again,
            (AttemptOutcome::Rejected, Some(cause)) if is_of_peer(cause) && now < ticket.until => {
                self.peers.refused(now, peer, &ticket.service);
                NextStep::Again
            }
            (AttemptOutcome::NotSent | AttemptOutcome::Rejected, _) => NextStep::GiveUp,
            _ => self.decide_retry(now, ticket, outcome),
        }
    }

    /// Returns an endpoint of an unreached service that should be probed now.
    pub fn probe(&mut self, now: Time, service: &Bytes) -> Option<Probe> {
        if !self.reach.begin_probe(now, service) {
            return None;
        }
        let draw = self.draw();
        let health = self.catalog.as_ref()?.service(service)?.health.clone();
        let all = self.registry.of(service);
        let (endpoint, picked) = all.max_by_key(|(_, e)| score(draw, e.seed))?;
        Some(Probe {
            endpoint,
            address: picked.entry.address,
            health,
        })
    }
}
