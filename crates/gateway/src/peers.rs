//! Copies of the registry between routers: one asks, the other answers with what has changed.

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
    server,
    state::{
        CachedPack,
        RegistryState,
        Shared,
        duration,
        now, //
    },
};

/// Path of the copies.
const PATH: &str = "/registry";
/// Longest wait of a copy for news.
pub const MAX_LONG_POLL_WAIT: Millis = Millis(2000);
/// Time after that in which the answer must be there.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// By how much newer a read must be to be news, where nothing has changed: what the asker has of the same read
/// looks a little older, by the time under way.
const MIN_AGE_GAIN: Millis = Millis(100);
/// The same once the ask has waited for as long as it may.
const MIN_AGE_GAIN_AFTER_WAIT: Millis = Millis(1);
/// Most bytes of changes that are packed to be handed on: of more, not even the packed form is small.
const MAX_DELTA_BYTES: usize = 256 << 10;
/// Most packed bytes of changes that are handed on; the asker reads what is more by itself. Copies of large
/// configurations in quick succession would fill a reader's link, and a change would be in force late at all that ask it.
const MAX_PACK_BYTES: usize = 24 << 10;

/// `Error` says why no copy came.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No whole answer came, or one without success.
    #[snafu(display("{source}"), context(false))]
    Call {
        /// Why.
        source: client::Error,
    },
    /// The answer is not from a router with the same configuration, or not to this ask.
    #[snafu(display("{source}"), context(false))]
    Message {
        /// Why.
        source: toucanturn_wire::gossip::Error,
    },
    /// No configuration is known here, with whose secret an ask could be made.
    #[snafu(display("expected a configuration to be in force"))]
    NoConfiguration,
    /// The answer is to another ask.
    #[snafu(display("expected the answer to this ask"))]
    WrongNonce,
}

/// Asks a peer for what has changed, and to wait for a change if there is none; gets it with the time at
/// which it was the newest state.
///
/// That time is this router's own: the ask went out before the peer had it, so when the copy was made at least
/// the time for which the ask waited there had passed, and the read behind it was as old as the copy says then,
/// whatever the clocks say.
///
/// # Errors
///
/// No copy came, or one that can't be trusted.
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
    let made = sent + copy.waited.min(now().since(sent));
    Ok((made - copy.age, copy.delta))
}

/// Answers peers for good.
pub async fn serve(state: Shared, listener: TcpListener) {
    server::serve(state, listener, answer).await;
}

async fn answer(
    state: Shared,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if request.uri().path() != PATH {
        return Ok(status(StatusCode::NOT_FOUND));
    }
    let body = Limited::new(request.into_body(), MAX_DATAGRAM)
        .collect()
        .await;
    let Ok(body) = body else {
        return Ok(status(StatusCode::BAD_REQUEST));
    };
    let opened = open(&body.to_bytes(), |epoch| state.secret(epoch));
    let asked = opened.and_then(|(epoch, payload)| Ok((epoch, decode_ask(&payload)?)));
    Ok(match asked {
        Ok((epoch, ask)) => copy(&state, epoch, ask).await,
        Err(error) => {
            tracing::debug!(%error, "ask passed over");
            status(StatusCode::FORBIDDEN)
        }
    })
}

/// Answers an ask as soon as there is news: something has changed, or what the asker has was the newest state
/// later than it knows. A router that can't reach the registry has what others hand on to it, so ages add up along
/// a chain, and are stated so.
async fn copy(state: &Shared, epoch: u64, ask: Ask) -> Response<Full<Bytes>> {
    let came = now();
    let theirs = came - ask.age;
    let newer = |known: &RegistryState, by: Millis| {
        let read = known.revision == ask.revision && known.read.since(theirs) >= by;
        known.revision > ask.revision || read
    };
    let mut changes = state.changes.subscribe();
    let news = changes.wait_for(|known| newer(known, MIN_AGE_GAIN));
    let _ = timeout(duration(ask.wait.min(MAX_LONG_POLL_WAIT)), news).await;
    let known = *state.changes.borrow();
    let newer = newer(&known, MIN_AGE_GAIN_AFTER_WAIT);
    let (Some(secret), true) = (state.secret(epoch), newer) else {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    };
    let payload = match pack_since(state, ask.revision) {
        Some(pack) if pack.bytes() <= MAX_PACK_BYTES => {
            let now = now();
            pack.encode(ask.nonce, now.since(known.read), now.since(came))
        }
        _ => return status(StatusCode::PAYLOAD_TOO_LARGE),
    };
    Response::new(Full::new(seal(&secret, epoch, payload)))
}

/// Packs what has changed since a revision; `None` where it is too much. The last pack is kept: after a
/// change, all that follow it ask for the same.
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
