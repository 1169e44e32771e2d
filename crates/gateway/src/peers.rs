//! Registry updates between routers, over HTTP: one router polls, the other answers with the changes since the
//! poller's revision.

use std::{
    convert::Infallible,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt as _,
    Either,
    Full,
    Limited, //
};
use hyper::body::Incoming;
use snafu::Snafu;
use tokio::{
    net::TcpListener,
    time::timeout, //
};
use toucanturn_core::{
    gateway::mirror::Delta,
    units::{
        Millis,
        Revision,
        Time, //
    },
};
use toucanturn_wire::gossip::{
    Ask,
    MAX_DATAGRAM,
    Pack,
    decode_ask,
    decode_copy,
    encode_ask,
    open,
    seal, //
};

use crate::{
    client::{
        self,
        HttpClient,
        Timeouts, //
    },
    exchange::Body,
    handoff::{
        self,
        Session, //
    },
    server::{
        self,
        Internal, //
    },
    state::{
        CachedPack,
        RegistryState,
        Shared,
        duration,
        now, //
    },
    streams,
};

/// Path of polls for registry updates.
const PATH: &str = "/registry";
/// Longest time for which a poll waits for a change.
pub const MAX_LONG_POLL_WAIT: Millis = Millis(2000);
/// Time in which the answer must be complete after the poll's wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum by which a known state must be more recent than the poller's to end its wait where nothing has changed.
/// The poller's copy of the same read looks a little older, by the time of its transfer.
const MIN_AGE_GAIN: Millis = Millis(100);
/// The same minimum once the poll has waited for as long as it may.
const MIN_AGE_GAIN_AFTER_WAIT: Millis = Millis(1);
/// Time in which a poll's body must be complete.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes of changes that are packed for a peer: the packed form of more is too large as well.
const MAX_DELTA_BYTES: usize = 256 << 10;
/// Most bytes of a pack that is sent; the poller reads anything larger from the registry itself. Sending large
/// configurations to many pollers in quick succession would saturate a reader's link and delay the change for all of
/// them.
const MAX_PACK_BYTES: usize = 24 << 10;

/// Status of the answer to a poll of a version that is older than the peer's, whose secret the peer no longer knows. The
/// poller has to read the registry itself.
pub(crate) const POLL_TOO_OLD: StatusCode = StatusCode::GONE;

/// `Error` is why a poll failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// There was no complete answer, or one with a status other than success.
    #[snafu(display("{source}"), context(false))]
    Call {
        /// The cause.
        source: client::Error,
    },
    /// The answer can't be opened with a known configuration's secret, or can't be decoded.
    #[snafu(display("{source}"), context(false))]
    Message {
        /// The cause.
        source: toucanturn_wire::gossip::Error,
    },
    /// This router has no configuration yet, and so no secret to seal the poll with.
    #[snafu(display("expected a configuration to be in force"))]
    NoConfiguration,
    /// The answer is to another poll.
    #[snafu(display("expected the nonce of this poll in the answer"))]
    WrongNonce,
}

/// Polls a peer for the changes since this router's revision; the peer waits up to `wait` for one. Returns the changes
/// with the time at which they were the newest state.
///
/// That time is on this router's clock, so the peer's clock need not agree. The poll was sent before the peer received
/// it. When the peer made its answer, at least the stated wait had passed since the sending, and the read behind the
/// answer was as old as the answer states.
///
/// # Errors
///
/// Fails if no answer arrives, or one that can't be trusted.
pub async fn request_delta(
    state: &Shared,
    http_client: &mut HttpClient,
    wait: Millis,
) -> Result<(Time, Delta), Error> {
    let sent = now();
    let (ask, body) = {
        let mut gateway = state.gateway.borrow_mut();
        let ask = Ask {
            revision: state.mirror.borrow().revision(),
            nonce: gateway.draw(),
            wait,
            age: gateway.proof().age(sent).unwrap_or(Millis(u64::MAX)),
        };
        let catalog = gateway.catalog().ok_or(Error::NoConfiguration)?;
        let body = seal(&catalog.secret, catalog.version, encode_ask(&ask));
        (ask, body)
    };
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static(PATH);
    let timeouts = Timeouts {
        connect: ANSWER_TIMEOUT,
        head: Duration::MAX,
        body_frame: Duration::MAX,
        total: duration(wait) + ANSWER_TIMEOUT,
    };
    let body = http_client.call(request, timeouts, &|| ()).await?;
    let (_, payload) = open(&body, |epoch| state.secret(epoch))?;
    let copy = decode_copy(payload)?;
    snafu::ensure!(copy.nonce == ask.nonce, WrongNonceSnafu);
    let made_at = sent + copy.waited.min(now().since(sent));
    Ok((made_at - copy.age, copy.delta))
}

/// Answers polls of peers, and serves the requests that they hand to this router, until the process ends.
pub async fn serve(state: Shared, listener: TcpListener) {
    server::serve(state, (listener, Internal::Peers), answer).await;
}

async fn answer(
    state: Shared,
    session: Rc<Session>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    if handoff::is_handoff(&request) {
        return Ok(Box::pin(handoff::serve(state, &session, request)).await);
    }
    if handoff::is_session_call(&request) {
        return Ok(handoff::open_session(&state, &session));
    }
    let answered = answer_call(state, request).await?;
    Ok(answered.map(Either::Left))
}

async fn answer_call(
    state: Shared,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let is_stream_ask = request.uri().path() == streams::PATH;
    if !is_stream_ask && request.uri().path() != PATH {
        return Ok(status(StatusCode::NOT_FOUND));
    }
    let body = Limited::new(request.into_body(), MAX_DATAGRAM).collect();
    let Ok(Ok(body)) = timeout(BODY_TIMEOUT, body).await else {
        return Ok(status(StatusCode::BAD_REQUEST));
    };
    let body = body.to_bytes();
    if is_stream_ask {
        return Ok(streams::answer(&state, &body).await);
    }
    let opened = open(&body, |epoch| state.poll_secret(epoch));
    let asked = opened.and_then(|(epoch, payload)| Ok((epoch, decode_ask(&payload)?)));
    Ok(match asked {
        Ok((epoch, ask)) => answer_poll(&state, epoch, ask).await,
        Err(error) => {
            tracing::debug!(%error, "poll of a peer refused");
            let newest = state.gateway.borrow().catalog().map(|c| c.version);
            let too_old = matches!(
                error,
                toucanturn_wire::gossip::Error::Epoch { epoch } if newest.is_some_and(|n| epoch < n)
            );
            status(if too_old {
                POLL_TOO_OLD
            } else {
                StatusCode::FORBIDDEN
            })
        }
    })
}

/// Answers a poll as soon as there is news: something has changed, or the poller's state is proved current at a later
/// time than the poller knows. A router that can't reach the registry gets its state from others; the ages along such
/// a chain add up, and the answer states the sum.
async fn answer_poll(state: &Shared, epoch: u64, ask: Ask) -> Response<Full<Bytes>> {
    let received_at = now();
    let poller_proof = received_at - ask.age;
    let newer = |known: &RegistryState, by: Millis| {
        let read = known.revision == ask.revision && known.read.since(poller_proof) >= by;
        known.revision > ask.revision || read
    };
    let mut changes = state.changes.subscribe();
    let news = changes.wait_for(|known| newer(known, MIN_AGE_GAIN));
    let _ = timeout(duration(ask.wait.min(MAX_LONG_POLL_WAIT)), news).await;
    let known = *state.changes.borrow();
    let newer = newer(&known, MIN_AGE_GAIN_AFTER_WAIT);
    let (Some(secret), true) = (state.poll_secret(epoch), newer) else {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    };
    let payload = match pack_since(state, ask.revision) {
        Some(pack) if pack.bytes() <= MAX_PACK_BYTES => {
            let now = now();
            pack.encode(ask.nonce, now.since(known.read), now.since(received_at))
        }
        _ => return status(StatusCode::PAYLOAD_TOO_LARGE),
    };
    Response::new(Full::new(seal(&secret, epoch, payload)))
}

/// Packs the changes since a revision; `None` if they are too large or can't be packed. The last pack is cached, as
/// after a change all pollers request the same one.
fn pack_since(state: &Shared, since: Revision) -> Option<Rc<Pack>> {
    let until = state.mirror.borrow().revision();
    if let Some(kept) = &*state.cached_pack.borrow()
        && kept.since == since
        && kept.until == until
    {
        return Some(Rc::clone(&kept.pack));
    }
    let delta = state.mirror.borrow().since(since);
    if delta.bytes() > MAX_DELTA_BYTES {
        return None;
    }
    let pack = Pack::new(delta).inspect_err(|error| {
        tracing::error!(event = 658, %error, "changes can't be packed");
    });
    let pack = Rc::new(pack.ok()?);
    state.cached_pack.replace(Some(CachedPack {
        since,
        until,
        pack: Rc::clone(&pack),
    }));
    Some(pack)
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
