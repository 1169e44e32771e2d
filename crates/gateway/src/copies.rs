//! Follows a peer that reads the registry: one ask after the other, each answered when there is news.

use std::{
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
        Link, //
    },
    feed::{
        self,
        Reader, //
    },
    peers, reads,
    state::{
        Shared,
        duration,
        now, //
    },
};

/// Time for which a peer is not asked that gave no answer.
const AVOID: Millis = Millis(4000);
/// Time for which a peer is not asked that refused to answer: it may know no configuration yet, or another one.
const AVOID_REFUSING: Millis = Millis(500);
/// Pause between asks, so that a peer that answers at once is not asked without end.
const ASK_PAUSE: Duration = Duration::from_millis(50);
/// Pause where nobody is to be asked, or who was gave no answer.
const LOOK: Duration = Duration::from_millis(150);
/// Halves of the time between reads after which a router that should read, and can't prove more, asks others.
const LATE_HALVES: u64 = 3;

/// Follows peers for good.
pub(crate) async fn run(state: Shared, reader: Rc<Reader>) {
    let mut upstream: Option<Link> = None;
    let mut answer = Answer::News;
    loop {
        let informed = state.gateway.borrow().catalog().is_some();
        let Some(peer) = peer(&state, answer).filter(|_| informed) else {
            sleep(LOOK).await;
            continue;
        };
        // The same peer for as long as it will do: its connection is kept.
        let kept = upstream.take().filter(|link| link.address == peer);
        let link = upstream.insert(kept.unwrap_or_else(|| Link::new(peer)));
        answer = ask(&state, link, &reader).await;
        match answer {
            // The own read brings it meanwhile.
            Answer::Large => sleep(duration(wait(&state))).await,
            Answer::News | Answer::Nothing => sleep(ASK_PAUSE).await,
            Answer::None => sleep(LOOK).await,
        }
    }
}

/// `Answer` is what came of an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    /// Something newer.
    News,
    /// The peer has nothing newer.
    Nothing,
    /// It has something newer that is too large to be handed on.
    Large,
    /// None that can be used.
    None,
}

/// Gets the peer to ask: one that reads for the data centre. Where that one has nothing newer, or this router is to
/// read itself, and what can be proved grows old, another: the registry may have turned away those
/// that should read, and serve others.
fn peer(state: &Shared, answer: Answer) -> Option<SocketAddrV4> {
    let now = now();
    let mesh = state.mesh.borrow();
    let upstream = mesh.upstream(now);
    if upstream.is_some() && answer != Answer::Nothing {
        return upstream;
    }
    let mut gateway = state.gateway.borrow_mut();
    let late = Millis(gateway.bounds().pace().every.0 * LATE_HALVES / 2);
    if gateway.proof().holds(now, late) {
        return upstream;
    }
    mesh.distant(now, gateway.draw()).or(upstream)
}

/// Gets how long a peer may wait for news.
fn wait(state: &Shared) -> Millis {
    reads::pace(state).every.min(peers::MAX_WAIT)
}

/// Asks a peer, and takes in what it has.
async fn ask(state: &Shared, link: &mut Link, reader: &Reader) -> Answer {
    let peer = link.address;
    let error = match peers::ask(state, link, wait(state)).await {
        Ok((read, delta)) => {
            state.metrics.count("registry", "copied");
            state.reads.set(false);
            state.reading.borrow_mut().peer_answered();
            feed::apply(state, read, delta, Mirror::copy, reader);
            return Answer::News;
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
            reading.owed();
            state.owed.notify_one();
            return Answer::Large;
        }
        Some(StatusCode::SERVICE_UNAVAILABLE) => {
            state.metrics.count("registry", "nothing to copy");
            state.reading.borrow_mut().peer_answered();
            return Answer::Nothing;
        }
        Some(_) => AVOID_REFUSING,
        None => AVOID,
    };
    state.metrics.count("registry", "copy failed");
    state.reading.borrow_mut().peer_silent();
    if state.log.admits() {
        tracing::warn!(event = 656, %peer, %error, "peer's copy of the registry won't do");
    }
    state.mesh.borrow_mut().avoid(now(), peer, avoid);
    Answer::None
}
