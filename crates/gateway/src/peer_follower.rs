//! Follows a peer that reads the registry: one ask after the other, each answered when there is news.
//!
//! While that peer has none, others are asked what they have. The peer is waited at all the same: it reads again as
//! soon as the registry serves it, and others, asked by lot, may have nothing for long.

use std::{
    cell::Cell,
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use http::StatusCode;
use tokio::time::sleep;
use toucanturn_core::{
    gateway::mirror::Mirror,
    units::Millis, //
};

use crate::{
    client::{
        self,
        HttpClient, //
    },
    feed::{
        self,
        RegistryReader, //
    },
    peers,
    state::{
        Shared,
        duration,
        now, //
    },
};

/// Time for which a peer is not asked that gave no answer.
const UNRESPONSIVE_PEER_PAUSE: Millis = Millis(4000);
/// Time for which a peer is not asked that refused to answer: it may know no configuration yet, or another one.
const REFUSING_PEER_PAUSE: Millis = Millis(500);
/// Pause between asks, so that a peer that answers at once is not asked without end.
const POLL_PAUSE: Duration = Duration::from_millis(50);
/// Pause where nobody is to be asked, or who was gave no answer.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Part of the time between reads for which news are waited for where what can be proved is late.
const LATE_WAIT_DIVISOR: u64 = 4;

/// Follows peers for good: one is waited at for news, and where it has none, others are asked meanwhile.
pub(crate) async fn run(state: Shared, reader: Rc<RegistryReader>) {
    let last_outcome = Cell::new(PollOutcome::Updated);
    tokio::join!(
        follow_upstream(&state, &reader, &last_outcome),
        poll_others(&state, &reader, &last_outcome)
    );
}

/// Waits for news at the router that reads for the data centre, one ask after the other; keeps the last answer.
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
        // The first time only: once others are asked, too, nothing is gained by an early answer.
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
            // The own read brings it meanwhile.
            PollOutcome::TooLarge => sleep(duration(wait).max(IDLE_POLL_INTERVAL)).await,
            PollOutcome::Updated => sleep(POLL_PAUSE).await,
            PollOutcome::UpToDate | PollOutcome::Failed => sleep(IDLE_POLL_INTERVAL).await,
        }
    }
}

/// Asks other routers what they have where this one is to read itself, or the one that it follows has nothing newer, and
/// what can be proved is late: the registry may have turned away those that should read, and serve others.
///
/// Many of them are late, too. Waited at for news, each would cost the time between two reads, and three of them
/// the time in which a change is promised to be in force; so they are only asked what they have.
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

/// Gets the connection to a peer: the same for as long as the same peer will do.
fn reuse_client(http_client: &mut Option<HttpClient>, peer: SocketAddrV4) -> &mut HttpClient {
    let kept = http_client
        .take()
        .filter(|http_client| http_client.address == peer);
    http_client.insert(kept.unwrap_or_else(|| HttpClient::new(peer)))
}

fn has_configuration(state: &Shared) -> bool {
    state.gateway.borrow().catalog().is_some()
}

/// Gets the router that reads for the data centre, unless it is this one.
fn upstream_peer(state: &Shared) -> Option<SocketAddrV4> {
    let upstream = state.mesh.borrow().upstream(now());
    upstream.filter(|_| has_configuration(state))
}

/// Gets another router to ask.
fn other_peer(state: &Shared) -> Option<SocketAddrV4> {
    let draw = state.gateway.borrow_mut().draw();
    let other = state.mesh.borrow().fallback_upstream(now(), draw);
    other.filter(|_| has_configuration(state))
}

/// Tells whether what can be proved is older than a peer that works lets it grow.
fn is_proof_late(state: &Shared) -> bool {
    let gateway = state.gateway.borrow();
    let late = gateway.bounds().pace().late();
    !gateway.proof().holds(now(), late)
}

/// `PollOutcome` is what came of an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollOutcome {
    /// Something newer.
    Updated,
    /// The peer has nothing newer.
    UpToDate,
    /// It has something newer that is too large to be handed on.
    TooLarge,
    /// None that can be used.
    Failed,
}

/// Asks a peer, and takes in what it has.
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
            state.reading.borrow_mut().peer_answered();
            feed::apply(state, read, delta, Mirror::apply_from_peer, reader);
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
            state.peer_withheld_update.notify_one();
            return PollOutcome::TooLarge;
        }
        Some(StatusCode::SERVICE_UNAVAILABLE) => {
            state.metrics.count("registry", "nothing to copy");
            state.reading.borrow_mut().peer_answered();
            return PollOutcome::UpToDate;
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
