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

/// Follows peers for good: one is waited at for news, and where it has none, others are asked meanwhile.
pub(crate) async fn run(state: Shared, reader: Rc<Reader>) {
    let last = Cell::new(Answer::News);
    tokio::join!(
        follow(&state, &reader, &last),
        search(&state, &reader, &last)
    );
}

/// Waits for news at the router that reads for the data centre, one ask after the other; keeps the last answer.
async fn follow(state: &Shared, reader: &Reader, last: &Cell<Answer>) {
    let mut upstream: Option<Link> = None;
    loop {
        let Some(peer) = followed(state) else {
            sleep(LOOK).await;
            continue;
        };
        let interval = state.gateway.borrow().bounds().pace().interval;
        // The first time only: once others are asked, too, nothing is gained by an early answer.
        let wait = if late(state) && last.get() != Answer::Nothing {
            Millis(interval.0 / LATE_PART)
        } else {
            interval
        };
        let wait = wait.min(peers::MAX_WAIT);
        let link = kept(&mut upstream, peer);
        let answer = ask(state, link, wait, reader).await;
        last.set(answer);
        match answer {
            // The own read brings it meanwhile.
            Answer::Large => sleep(duration(wait).max(LOOK)).await,
            Answer::News => sleep(ASK_PAUSE).await,
            Answer::Nothing | Answer::None => sleep(LOOK).await,
        }
    }
}

/// Asks other routers what they have where this one is to read itself, or the one that it follows has nothing newer, and
/// what can be proved is late: the registry may have turned away those that should read, and serve others.
///
/// Many of them are late, too. Waited at for news, each would cost the time between two reads, and three of them
/// the time in which a change is promised to be in force; so they are only asked what they have.
async fn search(state: &Shared, reader: &Reader, last: &Cell<Answer>) {
    let mut other: Option<Link> = None;
    loop {
        let alone = || last.get() == Answer::Nothing || followed(state).is_none();
        let wanted = late(state) && alone();
        if let Some(peer) = wanted.then(|| fallback_upstream(state)).flatten() {
            let link = kept(&mut other, peer);
            ask(state, link, Millis(0), reader).await;
        }
        sleep(LOOK).await;
    }
}

/// Gets the connection to a peer: the same for as long as the same peer will do.
fn kept(link: &mut Option<Link>, peer: SocketAddrV4) -> &mut Link {
    let kept = link.take().filter(|link| link.address == peer);
    link.insert(kept.unwrap_or_else(|| Link::new(peer)))
}

fn informed(state: &Shared) -> bool {
    state.gateway.borrow().catalog().is_some()
}

/// Gets the router that reads for the data centre, unless it is this one.
fn followed(state: &Shared) -> Option<SocketAddrV4> {
    let upstream = state.mesh.borrow().upstream(now());
    upstream.filter(|_| informed(state))
}

/// Gets another router to ask.
fn fallback_upstream(state: &Shared) -> Option<SocketAddrV4> {
    let draw = state.gateway.borrow_mut().draw();
    let other = state.mesh.borrow().fallback_upstream(now(), draw);
    other.filter(|_| informed(state))
}

/// Tells whether what can be proved is older than a peer that works lets it grow.
fn late(state: &Shared) -> bool {
    let gateway = state.gateway.borrow();
    let late = gateway.bounds().pace().late();
    !gateway.proof().holds(now(), late)
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
            feed::apply(state, read, delta, Mirror::apply_from_peer, reader);
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
            reading.peer_withheld_update();
            state.peer_withheld_update.notify_one();
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
