//! Hand-offs: requests that a router sends to a peer, as it does not reach their service itself.
//!
//! The peer admits and places a request as if its caller had sent it there, but never hands it off
//! again. A hand-off is no attempt at an endpoint: the peer reports which endpoints it has sent the
//! request to, and these count.

use std::net::SocketAddrV4;

use bytes::Bytes;
use indexmap::IndexMap;

use crate::{
    arena::EndpointKey,
    gateway::{
        Gateway, Ticket,
        incoming_request::IncomingRequest,
        origin::{
            Build,
            Origin, //
        },
        outcome::{
            AttemptOutcome,
            NextStep, //
        },
        place::Placed,
        refusal::{
            Cause,
            Refusal, //
        },
    },
    ids::Tag,
    load::score,
    units::{
        Millis,
        Time, //
    },
};

/// Limit of the peers that one request is sent to.
pub const MAX_PEERS: usize = 3;
/// Limit of the unreached services that a digest names.
pub const MAX_UNREACHED_SERVICES: usize = 8;
/// Endpoints that can't be connected to after which a request is handed off.
const MAX_DIRECT_CONNECTIONS: usize = 2;
/// Time in which nothing came back that shows that the way is lost rather than an endpoint.
pub(super) const HUNG_TIME: Millis = Millis(300);
/// Time for which a peer is not used after it could not be connected to or broke the connection.
const FAILED_PEER_PAUSE: Millis = Millis(2000);
/// Time for which a peer gets no requests for a service after it has refused one for a cause that
/// another peer may not have.
const REFUSING_PEER_PAUSE: Millis = Millis(1000);
/// Time for which a peer's statement that it does not reach a service counts. Peers of a large fleet
/// are heard directly each few seconds.
const STATEMENT_TTL: Millis = Millis(5000);

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

    fn begin(&mut self, peer: SocketAddrV4) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.in_progress += 1;
        }
    }

    fn end(&mut self, peer: SocketAddrV4) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.in_progress = peer.in_progress.saturating_sub(1);
        }
    }

    fn avoid(&mut self, now: Time, peer: SocketAddrV4) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.avoided_until = now + FAILED_PEER_PAUSE;
        }
    }

    fn refused(&mut self, now: Time, peer: SocketAddrV4, service: &Bytes) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.refused.retain(|_, until| now < *until);
            peer.refused
                .insert(service.clone(), now + REFUSING_PEER_PAUSE);
        }
    }
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
        let catalog = self.catalog.as_ref();
        let names = services
            .iter()
            .filter_map(|s| catalog?.name_at(*s).cloned());
        let names = names.collect();
        self.peers.record_unreached(now, peer, names);
    }

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

    pub(super) fn choose_peer(&mut self, now: Time, ticket: &Ticket) -> Option<SocketAddrV4> {
        if ticket.from_peer || ticket.peers.len() >= MAX_PEERS {
            return None;
        }
        let draw = self.draw();
        self.peers.choose(now, &ticket.service, &ticket.peers, draw)
    }

    /// Tells whether a request of a peer must be refused because this router has no way to an
    /// endpoint either.
    pub(super) fn cannot_help(&self, now: Time, ticket: &Ticket) -> bool {
        ticket.from_peer && self.lacks_way(now, ticket)
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
        ticket.retry_reserved = false;
        ticket.sent = now;
        ticket.life = None;
        ticket.build = None;
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
