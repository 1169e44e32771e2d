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
    peers,
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
/// Part of the time between reads for which news are waited for where what can be proved is late.
const LATE_PART: u64 = 4;

/// Follows peers for good.
pub(crate) async fn run(state: Shared, reader: Rc<Reader>) {
    let mut upstream: Option<Link> = None;
    let mut answer = Answer::News;
    loop {
        let informed = state.gateway.borrow().catalog().is_some();
        let Some(source) = source(&state, answer).filter(|_| informed) else {
            sleep(LOOK).await;
            continue;
        };
        // The same peer for as long as it will do: its connection is kept.
        let kept = upstream.take().filter(|link| link.address == source.peer);
        let link = upstream.insert(kept.unwrap_or_else(|| Link::new(source.peer)));
        answer = ask(&state, link, source.wait, &reader).await;
        match answer {
            // The own read brings it meanwhile.
            Answer::Large => sleep(duration(source.wait).max(LOOK)).await,
            Answer::News => sleep(ASK_PAUSE).await,
            Answer::Nothing | Answer::None => sleep(LOOK).await,
        }
    }
}

/// `Source` is a peer to ask.
#[derive(Clone, Copy, Debug)]
struct Source {
    peer: SocketAddrV4,
    /// How long it may wait for news.
    wait: Millis,
}

/// Gets the peer to ask: one that reads for the data centre, which is waited at for news.
///
/// Where this router is to read itself, or that one has nothing newer, and what can be proved is late, it is another:
/// the registry may have turned away those that should read, and serve others. Many of them are late, too. Waited at
/// for news, each would cost the time between two reads, and three of them the time in which a change is
/// promised to be in force; so they are only asked what they have.
fn source(state: &Shared, answer: Answer) -> Option<Source> {
    let now = now();
    let mesh = state.mesh.borrow();
    let upstream = mesh.upstream(now);
    let mut gateway = state.gateway.borrow_mut();
    let pace = gateway.bounds().pace();
    let every = pace.every;
    let late = !gateway.proof().holds(now, pace.late());
    let wait = if late {
        Millis(every.0 / LATE_PART)
    } else {
        every
    };
    let wait = wait.min(peers::MAX_WAIT);
    let followed = upstream.map(|peer| Source { peer, wait });
    if !late || (followed.is_some() && answer != Answer::Nothing) {
        return followed;
    }
    let wait = Millis(0);
    let other = mesh.distant(now, gateway.draw());
    other.map(|peer| Source { peer, wait }).or(followed)
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

/// Asks a peer, and takes in what it has.
async fn ask(state: &Shared, link: &mut Link, wait: Millis, reader: &Reader) -> Answer {
    let peer = link.address;
    let error = match peers::ask(state, link, wait).await {
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
