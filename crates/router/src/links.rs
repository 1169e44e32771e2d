//! Ties the peer link to the driver: messages become events, forwarded calls become exchanges.

use std::sync::{
    Arc,
    Weak, //
};

use futures_util::future::BoxFuture;
use http::{
    HeaderValue,
    Method, //
};
use snafu::ResultExt;
use tokio::{
    net::TcpListener,
    sync::mpsc, //
};
use tokio_util::sync::CancellationToken;
use toucanturn_core::{
    arena::RouterKey,
    config::Router,
    event::Event,
    request::{
        Code,
        Origin,
        Refusal,
        Request,
        Work, //
    },
    settings::Settings,
    units::Incarnation,
};
use toucanturn_wire::{
    envelope::Key,
    forward, //
};

use crate::{
    answers::{
        Meta,
        Reply, //
    },
    clock,
    driver::Driver,
    errors::{
        PeerKeySnafu,
        Result, //
    },
    events,
    exchange::{
        Exchange,
        Shape, //
    },
    peers::{
        self, Client, Counters, Identity, Peer,
        server::{
            Call,
            Delivery,
            State, //
        },
    },
};

/// Batches that wait for the node; while it is full, peers are told that theirs were refused.
const INBOX: usize = 256;

/// Makes this router's identity towards its peers.
///
/// # Errors
///
/// Fails when the fleet's key is too short.
pub(crate) fn identity(settings: &Settings, incarnation: Incarnation) -> Result<Identity> {
    let key = Key::try_from(settings.peer_key.expose()).context(PeerKeySnafu)?;
    Ok(Identity {
        tag: settings.id.tag(),
        incarnation,
        key,
    })
}

/// Makes the sending side.
pub(crate) fn client(identity: Identity, counters: &Arc<Counters>, driver: Weak<Driver>) -> Client {
    let failed = Arc::new(move |router: RouterKey| {
        if let Some(driver) = driver.upgrade() {
            driver.feed(Event::PeerFailed { router });
        }
    });
    Client::new(
        identity,
        peers::Options::default(),
        Arc::clone(counters),
        failed,
    )
}

/// Gets a fleet member as the link knows it.
pub(crate) fn peer(router: RouterKey, about: &Router) -> Peer {
    Peer {
        router,
        tag: about.tag,
        address: about.peer_address,
    }
}

/// Serves peers until the token is cancelled.
pub fn serve(driver: &Arc<Driver>, listener: TcpListener, stop: CancellationToken) {
    let (deliveries, inbox) = mpsc::channel(INBOX);
    let (resolver, forwarder) = (Arc::clone(driver), Arc::clone(driver));
    let state = State {
        identity: driver.identity.clone(),
        resolve: Arc::new(move |tag| resolver.config().fleet.by_tag(tag)),
        deliveries,
        forward: Arc::new(move |call| forward(Arc::clone(&forwarder), call)),
        rejected: Arc::new(events::peer_rejected),
        counters: Arc::clone(&driver.counters),
    };
    tokio::spawn(deliver(Arc::clone(driver), inbox));
    tokio::spawn(async move {
        let serving = peers::server::serve(
            listener,
            peers::Options::default(),
            state,
            stop.cancelled_owned(),
        );
        if let Err(error) = serving.await {
            events::peer_port_closed(&error);
        }
    });
}

async fn deliver(driver: Arc<Driver>, mut inbox: mpsc::Receiver<Delivery>) {
    while let Some(Delivery {
        from,
        incarnation,
        messages,
    }) = inbox.recv().await
    {
        for message in messages {
            driver.feed(Event::Peer {
                from,
                incarnation,
                message,
            });
        }
    }
}

/// Runs a call that a peer forwarded to this router as its home.
fn forward(driver: Arc<Driver>, call: Call) -> BoxFuture<'static, forward::Reply> {
    Box::pin(async move {
        let Some(exchange) = exchange(&driver, call) else {
            // The workspace or service is not in this router's configuration: nothing was run
            // here, but an earlier request with the key may have been.
            return refusal(Refusal::unknown(Code::Forbidden, None), &Meta::default());
        };
        // The caller's connection is at the entry router; a call that runs once goes on anyway.
        let answer = driver.start(exchange, CancellationToken::new()).await;
        match answer {
            Ok(Reply::Whole {
                status,
                content_type,
                body,
                outcome,
                meta,
            }) => forward::Reply {
                outcome,
                code: None,
                retry_after: None,
                attempts: meta.attempts,
                status,
                content_type,
                body,
                replayed: meta.replayed,
            },
            Ok(Reply::Refused { refusal: why, meta }) => refusal(why, &meta),
            Ok(Reply::Stream { .. }) | Err(_) => refusal(
                Refusal::unknown(Code::EndpointFailed, None),
                &Meta::default(),
            ),
        }
    })
}

fn refusal(why: Refusal, meta: &Meta) -> forward::Reply {
    let Refusal {
        code,
        outcome,
        retry_after,
    } = why;
    forward::Reply {
        outcome,
        code: Some(code),
        retry_after,
        attempts: meta.attempts,
        status: 0,
        content_type: Default::default(),
        body: Default::default(),
        replayed: false,
    }
}

fn exchange(driver: &Driver, call: Call) -> Option<Exchange> {
    let config = driver.config();
    let forward::Request {
        key,
        priority,
        deadline,
        content,
        ..
    } = call.request;
    let workspace = config.workspaces.by_tag(key.workspace)?;
    let target = std::str::from_utf8(&call.request.path).ok()?;
    let path = target.split('?').next().unwrap_or_default();
    let (service, _) = config.service_at(path.as_bytes())?;
    if !config
        .workspaces
        .get(workspace)?
        .services
        .contains(&service)
    {
        return None;
    }
    let content_type = &call.request.content_type;
    let kind = HeaderValue::from_bytes(content_type)
        .ok()
        .filter(|_| !content_type.is_empty());
    Some(Exchange {
        id: String::from_utf8_lossy(&call.request.request_id).into_owned(),
        method: Method::from_bytes(&call.request.method).ok()?,
        path: target.to_owned(),
        content_type: kind,
        body: call.request.body,
        shape: Shape::Whole,
        workspace: key.workspace,
        request: Request {
            origin: Origin::Peer(call.from),
            workspace,
            priority,
            work: Work::Once {
                service,
                key,
                content,
            },
            deadline: clock::now().mono + deadline,
        },
    })
}
