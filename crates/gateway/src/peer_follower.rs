//! Copies the registry's state from peers, which are polled one request at a time. A poll is answered when the
//! peer has something newer.
//!
//! While the peer that reads for the data centre has nothing newer, other peers are polled too. The long poll at
//! that peer continues: it reads again as soon as the registry serves it, whereas the others are chosen at random
//! and may have nothing newer for long.

use std::{
    cell::Cell,
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use http::StatusCode;
use tokio::time::sleep;
use toucanturn_core::units::Millis;

use crate::{
    client::{
        self,
        HttpClient, //
    },
    feed::{
        self,
        RegistryReader,
        Source, //
    },
    peers,
    state::{
        Shared,
        duration,
        now, //
    },
};

/// Time for which a peer that gave no answer is not polled.
const UNRESPONSIVE_PEER_PAUSE: Millis = Millis(4000);
/// Time for which a peer that refused a poll is not polled: it may have no configuration yet, or another one.
const REFUSING_PEER_PAUSE: Millis = Millis(500);
/// Pause after a poll that brought news, so that a peer that answers at once is not polled in a tight loop.
const POLL_PAUSE: Duration = Duration::from_millis(50);
/// Pause when there is no peer to poll, or the poll brought nothing.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(150);
/// A long poll lasts this fraction of the read interval when the proof of the known state's age is late.
const LATE_WAIT_DIVISOR: u64 = 4;

/// Follows peers until the process ends: long polls at the upstream peer, and short polls at others while it has
/// nothing newer.
pub(crate) async fn run(state: Shared, reader: Rc<RegistryReader>) {
    let last_outcome = Cell::new(PollOutcome::Updated);
    tokio::join!(
        follow_upstream(&state, &reader, &last_outcome),
        poll_others(&state, &reader, &last_outcome)
    );
}

/// Polls the router that reads for the data centre, and stores the outcome of each poll in `last_outcome`.
async fn follow_upstream(
    state: &Shared,
    reader: &RegistryReader,
    last_outcome: &Cell<PollOutcome>,
) {
    let mut upstream: Option<HttpClient> = None;
    loop {
        let Some(peer) = upstream_peer(state) else {
            sleep(IDLE_POLL_INTERVAL).await;
            continue;
        };
        let interval = state.gateway.borrow().bounds().pace().interval;
        // Shortens only the first long poll: later ones gain nothing by an early answer, as others are polled, too.
        let wait = if is_proof_late(state) && last_outcome.get() != PollOutcome::UpToDate {
            Millis(interval.0 / LATE_WAIT_DIVISOR)
        } else {
            interval
        };
        let wait = wait.min(peers::MAX_LONG_POLL_WAIT);
        let http_client = reuse_client(&mut upstream, peer);
        let outcome = poll_peer(state, http_client, wait, reader).await;
        last_outcome.set(outcome);
        match outcome {
            // This router's own read, which the outcome triggers, fetches it meanwhile.
            PollOutcome::TooLarge => sleep(duration(wait).max(IDLE_POLL_INTERVAL)).await,
            PollOutcome::Updated => sleep(POLL_PAUSE).await,
            PollOutcome::UpToDate | PollOutcome::Failed => sleep(IDLE_POLL_INTERVAL).await,
        }
    }
}

/// Polls other routers while the proof is late and there is no upstream peer or it has nothing newer. The registry may
/// refuse the routers that should read it and serve others.
///
/// These polls don't wait for news, as many of the other routers are late, too. A long poll would cost one read
/// interval, and three of them the time within which a change is promised to be in force.
async fn poll_others(state: &Shared, reader: &RegistryReader, last_outcome: &Cell<PollOutcome>) {
    let mut other: Option<HttpClient> = None;
    loop {
        let upstream_has_nothing =
            || last_outcome.get() == PollOutcome::UpToDate || upstream_peer(state).is_none();
        let wanted = is_proof_late(state) && upstream_has_nothing();
        if let Some(peer) = wanted.then(|| other_peer(state)).flatten() {
            let http_client = reuse_client(&mut other, peer);
            poll_peer(state, http_client, Millis(0), reader).await;
        }
        sleep(IDLE_POLL_INTERVAL).await;
    }
}

/// Returns the client for a peer: the existing one if it is for the same address, otherwise a new one.
fn reuse_client(http_client: &mut Option<HttpClient>, peer: SocketAddrV4) -> &mut HttpClient {
    let kept = http_client
        .take()
        .filter(|http_client| http_client.address == peer);
    http_client.insert(kept.unwrap_or_else(|| HttpClient::new(peer)))
}

fn has_configuration(state: &Shared) -> bool {
    state.gateway.borrow().catalog().is_some()
}

/// Returns the router that reads the registry for this data centre, unless it is this one or no configuration is
/// known yet.
fn upstream_peer(state: &Shared) -> Option<SocketAddrV4> {
    let upstream = state.mesh.borrow().upstream(now());
    upstream.filter(|_| has_configuration(state))
}

/// Picks another router to poll.
fn other_peer(state: &Shared) -> Option<SocketAddrV4> {
    let draw = state.gateway.borrow_mut().draw();
    let other = state.mesh.borrow().fallback_upstream(now(), draw);
    other.filter(|_| has_configuration(state))
}

/// Returns whether the proof of the known state's age is older than a working upstream peer would let it become.
fn is_proof_late(state: &Shared) -> bool {
    let gateway = state.gateway.borrow();
    let late = gateway.bounds().pace().late();
    !gateway.proof().holds(now(), late)
}

/// `PollOutcome` is the result of polling a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollOutcome {
    /// The peer sent something newer, which has been applied.
    Updated,
    /// The peer has nothing newer.
    UpToDate,
    /// The peer has something newer that is too large to send.
    TooLarge,
    /// The peer sent no usable answer.
    Failed,
}

/// Polls a peer and applies what it sends.
async fn poll_peer(
    state: &Shared,
    http_client: &mut HttpClient,
    wait: Millis,
    reader: &RegistryReader,
) -> PollOutcome {
    let peer = http_client.address;
    let error = match peers::request_delta(state, http_client, wait).await {
        Ok((read, delta)) => {
            state.metrics.count("registry", "copied");
            state.reads.set(false);
            state.reading.borrow_mut().peer_updated();
            feed::apply(state, read, delta, Source::Peer, reader);
            return PollOutcome::Updated;
        }
        Err(error) => error,
    };
    let status = match &error {
        peers::Error::Call {
            source: client::Error::Status { status },
        } => Some(*status),
        _ => None,
    };
    let avoid = match status {
        Some(StatusCode::PAYLOAD_TOO_LARGE) => {
            state.metrics.count("registry", "too large to copy");
            let mut reading = state.reading.borrow_mut();
            reading.peer_answered();
            reading.peer_withheld_update();
            state.wake_reads.notify_one();
            return PollOutcome::TooLarge;
        }
        Some(StatusCode::SERVICE_UNAVAILABLE) => {
            state.metrics.count("registry", "nothing to copy");
            state.reading.borrow_mut().peer_answered();
            return PollOutcome::UpToDate;
        }
        Some(peers::POLL_TOO_OLD) => {
            let draw = state.gateway.borrow_mut().draw();
            state.reading.borrow_mut().peer_refused_as_old(now(), draw);
            state.wake_reads.notify_one();
            REFUSING_PEER_PAUSE
        }
        Some(_) => REFUSING_PEER_PAUSE,
        None => UNRESPONSIVE_PEER_PAUSE,
    };
    state.metrics.count("registry", "copy failed");
    state.reading.borrow_mut().peer_silent();
    if state.log.try_admit() {
        tracing::warn!(event = 656, %peer, %error, "peer's copy of the registry won't do");
    }
    state.mesh.borrow_mut().avoid(now(), peer, avoid);
    PollOutcome::Failed
}
