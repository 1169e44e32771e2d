//! The hand-off of a request to a peer, and the peer's answer.

use std::net::SocketAddrV4;

use http::StatusCode;
use tokio::time::timeout;
use toucanturn_core::gateway::{
    handoff::PeerReport,
    origin::Origin,
    outcome::{
        AttemptOutcome,
        NextStep, //
    },
    refusal::Refusal, //
};
use toucanturn_wire::handoff::Position;

use crate::{
    client::SendOutcome,
    framing::Received,
    handoff::{
        self,
        PeerConnection, //
    },
    log::text,
    protocol::{
        ReplyHead,
        Signature, //
    },
    proxied::{
        Attempt,
        AttemptGuard,
        ProxiedRequest,
        Target,
        endpoint::origin_form,
        probe::probe, //
    },
    state::now,
};

/// How a hand-off ended without an endpoint's answer: its outcome, and the head of the peer's answer.
type HandoffEnd = (
    AttemptGuard,
    AttemptOutcome,
    Option<ReplyHead>,
    Option<StatusCode>,
);

impl ProxiedRequest {
    /// Hands the request to a peer; returns the peer's answer from an endpoint, a refusal, or nothing if another way
    /// is tried.
    pub(super) async fn hand_off(
        &mut self,
        peer: SocketAddrV4,
        resume: Option<u64>,
    ) -> Result<Attempt, Option<Refusal>> {
        probe(&self.state, &self.ticket.service);
        let open = match self.state.peer_pool.connect(peer).await {
            Ok(open) => open,
            Err(error) => {
                self.state.metrics.count("handoffs", "unreached");
                tracing::debug!(%peer, %error, "peer not reached");
                let mut gateway = self.state.gateway.borrow_mut();
                gateway.peer_unreached(now(), &mut self.ticket, peer);
                return Err(None);
            }
        };
        if !open.heeds_origins && matches!(self.ticket.origin, Origin::Build(_)) {
            self.ticket.peers.push(peer);
            return Err(None);
        }
        let (guard, outcome, reply, status) = match self.send_to_peer(peer, open, resume).await {
            Ok(attempt) => return Ok(attempt),
            Err(ended) => ended,
        };
        let refused = match &guard.target {
            Target::Peer { report, .. } => report.as_ref().and_then(|r| r.refused),
            Target::Endpoint(_) => None,
        };
        if self.end(guard, outcome, status) == NextStep::Again {
            return Err(None);
        }
        let cause = refused.unwrap_or(outcome.cause());
        let retryable = status.is_none_or(|s| s.is_server_error() || s.as_u16() == 429);
        Err(Some(Refusal {
            retryable: retryable && !self.ticket.may_have_run,
            retry_after: reply.and_then(|r| r.retry_after),
            ..self.given_up(cause)
        }))
    }

    async fn send_to_peer(
        &mut self,
        peer: SocketAddrV4,
        open: PeerConnection,
        resume: Option<u64>,
    ) -> Result<Attempt, HandoffEnd> {
        let PeerConnection {
            mut connection,
            next: position,
            heeds_origins,
        } = open;
        let grant = {
            let gateway = self.state.gateway.borrow();
            gateway.grant(now(), &self.ticket, resume)
        };
        let headers = (self.state.protocol.hand_off)(&self.headers);
        let head = (&self.method, origin_form(&self.uri), headers);
        let request = handoff::request(&self.state, head, &self.body, position, grant);
        let next = Position {
            number: position.number.saturating_add(1),
            ..position
        };
        let target = Target::Peer {
            address: peer,
            next,
            heeds_origins,
            report: None,
        };
        self.received = None;
        let mut guard = AttemptGuard::start(self, target);
        let Some(request) = request else {
            return Err((guard, AttemptOutcome::NotSent, None, None));
        };
        self.log_handed_off(peer);
        let sent = timeout(self.time_left(), connection.send(request)).await;
        let (response, framing) = match sent {
            Ok(SendOutcome::Head(response, framing)) => (response, framing),
            Ok(SendOutcome::Unsent) => return Err((guard, AttemptOutcome::NotSent, None, None)),
            Ok(SendOutcome::ConnectionLost(_)) => {
                return Err((guard, AttemptOutcome::Broken, None, None));
            }
            Ok(SendOutcome::Malformed(fault)) => {
                self.record_malformed(fault);
                return Err((guard, AttemptOutcome::Broken, None, None));
            }
            Err(_) => return Err((guard, AttemptOutcome::Stalled, None, None)),
        };
        let (head, body) = response.into_parts();
        self.received = Some(Received::new(framing));
        guard.record_report(&head.headers);
        let reply = (self.state.protocol.reply)(&head.headers);
        let status = Some(head.status);
        let is_own = reply.id.as_ref() == Some(&self.incoming_request.id);
        if is_own && reply.is_endpoints_own() {
            return Ok(Attempt::new((head, reply, body.into()), connection, guard));
        }
        self.drain_rejection(&guard, connection, body, &reply).await;
        // These statuses promise that nothing has run; a peer that doesn't open the message answers 403.
        let not_run = match head.status {
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => false,
            _ if reply.signature != Signature::Absent => false,
            StatusCode::FORBIDDEN | StatusCode::NOT_FOUND => true,
            _ => is_own,
        };
        let outcome = if not_run {
            AttemptOutcome::Rejected
        } else {
            AttemptOutcome::Broken
        };
        Err((guard, outcome, Some(reply), status))
    }

    fn log_handed_off(&self, peer: SocketAddrV4) {
        if !self.state.log.try_admit() {
            return;
        }
        let gateway = self.state.gateway.borrow();
        let outage = gateway.reach().outage(&self.ticket.service);
        let unreached = outage.map_or(-1, |o| {
            i64::try_from(now().since(o.since).0).unwrap_or(i64::MAX)
        });
        tracing::info!(
            event = 667,
            id = %text(&self.incoming_request.id),
            service = %text(&self.ticket.service),
            %peer,
            unreached,
            left = self.ticket.until.since(now()).0,
            "handed to a peer"
        );
    }

    pub(super) fn log_handoff_ended(
        &self,
        peer: SocketAddrV4,
        report: Option<PeerReport>,
        outcome: AttemptOutcome,
        next: NextStep,
    ) {
        self.state.metrics.count("handoffs", &outcome.to_string());
        if !self.state.log.try_admit() {
            return;
        }
        let attempts = report.as_ref().map_or(0, |r| r.tried.len());
        let refused = report.and_then(|r| r.refused).map(|c| c.to_string());
        tracing::info!(
            event = 669,
            id = %text(&self.incoming_request.id),
            %peer,
            fate = %outcome,
            attempts,
            refused,
            end = self.received.and_then(|r| r.end).map(|e| e.to_string()),
            took = now().since(self.began).0,
            %next,
            "hand-off ended"
        );
    }
}
