//! A router's peer link on loopback, for the tests of it.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use tokio::{
    net::TcpListener,
    sync::{
        mpsc,
        oneshot, //
    },
};
use toucanturn_core::{
    arena::RouterKey,
    config::Priority,
    ids::Tag,
    request::{
        Key as IdempotencyKey,
        Outcome, //
    },
    units::{
        Incarnation,
        Millis, //
    },
};
use toucanturn_router::peers::{
    Client, Counters, Identity, Options, Peer,
    server::{
        self,
        Call,
        Delivery, //
    },
};
use toucanturn_wire::{
    envelope::Key,
    forward, //
};

/// The longest that a test waits for something that must happen.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

pub(crate) const KEY: &[u8] = b"a key of the fleet, thirty-two bytes";

pub(crate) const ENTRY: Tag = Tag(1);
pub(crate) const HOME: Tag = Tag(2);

pub(crate) type Answerer = Arc<dyn Fn(Call) -> BoxFuture<'static, forward::Reply> + Send + Sync>;

/// Makes the keys of routers as a configuration's arena would.
pub(crate) fn router_key(tag: Tag) -> RouterKey {
    use slotmap::KeyData;
    RouterKey::from(KeyData::from_ffi(u64::from(tag.0) | 1 << 32))
}

pub(crate) fn identity(tag: Tag, incarnation: u64) -> Identity {
    Identity {
        tag,
        incarnation: Incarnation(incarnation),
        key: Key::try_from(KEY).expect("the key is long enough"),
    }
}

/// Long times, so that nothing is given up on a busy machine; a test that waits for a time to pass
/// shortens that one.
pub(crate) fn options() -> Options {
    Options {
        connect_timeout: PATIENCE,
        deliver_timeout: PATIENCE,
        backoff: Duration::from_millis(20),
        ping_interval: PATIENCE,
        ping_timeout: PATIENCE,
        ..Options::default()
    }
}

pub(crate) fn call(body: &'static [u8]) -> forward::Request {
    forward::Request {
        request_id: Bytes::from_static(b"request-1"),
        key: IdempotencyKey {
            workspace: Tag(77),
            uuid: 0x0190_0000_0000_7000_8000_0000_0000_0001,
        },
        priority: Priority(9),
        deadline: Millis(30_000),
        method: Bytes::from_static(b"POST"),
        path: Bytes::from_static(b"/orders?box=d3"),
        content_type: Bytes::from_static(b"application/json"),
        body: Bytes::from_static(body),
        content: 42,
    }
}

pub(crate) fn reply(body: Bytes) -> forward::Reply {
    forward::Reply {
        outcome: Outcome::Done,
        code: None,
        retry_after: None,
        attempts: 1,
        status: 201,
        content_type: Bytes::from_static(b"application/json"),
        body,
        replayed: false,
    }
}

/// Answers each call with its own body.
pub(crate) fn echo() -> Answerer {
    Arc::new(|call| Box::pin(async move { reply(call.request.body) }))
}

/// `Running` is a served peer link. It stops when dropped.
pub(crate) struct Running {
    pub(crate) address: SocketAddr,
    pub(crate) deliveries: mpsc::Receiver<Delivery>,
    pub(crate) rejected: mpsc::UnboundedReceiver<(Tag, &'static str)>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) stop: Option<oneshot::Sender<()>>,
}

pub(crate) struct Setup {
    pub(crate) identity: Identity,
    pub(crate) options: Options,
    pub(crate) answer: Answerer,
    pub(crate) known: Vec<Tag>,
    pub(crate) inbox: usize,
    pub(crate) address: Option<SocketAddr>,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            identity: identity(HOME, 200),
            options: options(),
            answer: echo(),
            known: vec![ENTRY],
            inbox: 64,
            address: None,
        }
    }
}

impl Setup {
    pub(crate) async fn run(self) -> Running {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(self.address.unwrap_or(any))
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let (deliveries, inbox) = mpsc::channel(self.inbox);
        let (refusals, rejected) = mpsc::unbounded_channel();
        let (stop, stopped) = oneshot::channel();
        let counters = Arc::new(Counters::default());
        let known = self.known;
        let state = server::State {
            identity: self.identity,
            resolve: Arc::new(move |tag| known.contains(&tag).then(|| router_key(tag))),
            deliveries,
            forward: self.answer,
            rejected: Arc::new(move |tag, error| {
                let _ = refusals.send((tag, error.into()));
            }),
            counters: Arc::clone(&counters),
        };
        let shutdown = async {
            let _ = stopped.await;
        };
        tokio::spawn(server::serve(listener, self.options, state, shutdown));
        Running {
            address,
            deliveries: inbox,
            rejected,
            counters,
            stop: Some(stop),
        }
    }
}

/// `Sender` is a client and what it reports.
pub(crate) struct Sender {
    pub(crate) client: Arc<Client>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) failures: mpsc::UnboundedReceiver<RouterKey>,
}

pub(crate) fn sender(identity: Identity, options: Options, address: SocketAddr) -> Sender {
    let counters = Arc::new(Counters::default());
    let (failed, failures) = mpsc::unbounded_channel();
    let failed = Arc::new(move |router| {
        let _ = failed.send(router);
    });
    let client = Client::new(identity, options, Arc::clone(&counters), failed);
    client.update([home_at(address)]);
    Sender {
        client: Arc::new(client),
        counters,
        failures,
    }
}

pub(crate) fn home_at(address: SocketAddr) -> Peer {
    Peer {
        router: router_key(HOME),
        tag: HOME,
        address,
    }
}

/// Waits for what a channel must bring.
pub(crate) async fn next<T>(receiver: &mut mpsc::UnboundedReceiver<T>) -> T {
    let got = tokio::time::timeout(PATIENCE, receiver.recv()).await;
    got.expect("it comes in time")
        .expect("the other end is there")
}

pub(crate) async fn delivery(running: &mut Running) -> Delivery {
    let got = tokio::time::timeout(PATIENCE, running.deliveries.recv()).await;
    got.expect("it comes in time").expect("the server is there")
}

/// Waits until a condition holds that other tasks bring about.
pub(crate) async fn until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(PATIENCE, wait)
        .await
        .expect("the condition comes to hold");
}

/// Tells a server to shut down, and waits until it has closed its listener.
pub(crate) async fn stop(running: &mut Running) {
    drop(running.stop.take());
    let address = running.address;
    until(|| std::net::TcpListener::bind(address).is_ok()).await;
}

/// Ends a server and starts another life of the router at its address.
pub(crate) async fn restart(running: &mut Running, identity: Identity) {
    stop(running).await;
    let setup = Setup {
        identity,
        address: Some(running.address),
        ..Setup::default()
    };
    *running = setup.run().await;
}
