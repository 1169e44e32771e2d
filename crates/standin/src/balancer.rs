//! The platform's balancer: forwards TCP connections in turn to the addresses that are ready.

pub use crate::server::Handle;
use crate::{
    Result,
    http,
    server,
    sync::lock, //
};
use futures_util::StreamExt;
use salvo::{
    Response,
    Router,
    handler,
    http::StatusCode, //
};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration,
};
use tokio::{
    io::copy_bidirectional,
    net::{
        TcpListener,
        TcpStream, //
    },
    time::{
        sleep,
        timeout, //
    },
};
use tokio_stream::wrappers::TcpListenerStream;

/// Most connections forwarded at once; beyond it new ones wait to be accepted.
///
/// Twice as many descriptors stay below the usual limit of 1024 for a process.
const MAX_CONNECTIONS: usize = 256;
/// Longest wait for an address to accept a connection or to say that it's ready.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two checks of the addresses.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// `Options` of a balancer.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Addresses to bind; by default the system picks.
    pub ports: server::Ports,
    /// Addresses to forward to; by default none.
    pub to: Vec<SocketAddr>,
}

/// `Balancer` is the state behind both ports.
#[derive(Debug)]
struct Balancer {
    options: Options,
    /// The addresses that answered 200 on `/readyz`.
    ready: Mutex<BTreeSet<SocketAddr>>,
    turn: AtomicUsize,
    client: reqwest::Client,
}

impl Balancer {
    /// Checks every address, again and again.
    async fn check(&self) {
        loop {
            for address in &self.options.to {
                let is_ready = self.is_ready(*address).await;
                let mut ready = lock(&self.ready);
                match is_ready {
                    true => ready.insert(*address),
                    false => ready.remove(address),
                };
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    async fn is_ready(&self, address: SocketAddr) -> bool {
        let request = self.client.get(format!("http://{address}/readyz"));
        let answer = request.timeout(TIMEOUT).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Gets the next ready address.
    fn next(&self) -> Option<SocketAddr> {
        let ready = lock(&self.ready);
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        ready.iter().nth(turn.checked_rem(ready.len())?).copied()
    }

    /// Forwards one connection, or closes it when the address in turn doesn't accept.
    async fn forward(&self, mut caller: TcpStream) {
        if let Some(address) = self.next()
            && let Ok(Ok(mut target)) = timeout(TIMEOUT, TcpStream::connect(address)).await
        {
            // A break of either side ends both, which is all there's to do about it.
            let _ = copy_bidirectional(&mut caller, &mut target).await;
        }
    }
}

/// Starts a balancer.
///
/// # Errors
///
/// When a port can't be bound.
pub async fn start(options: Options) -> Result<Handle> {
    let ports = options.ports;
    let balancer = Arc::new(Balancer {
        options,
        ready: Mutex::default(),
        turn: AtomicUsize::new(0),
        client: reqwest::Client::new(),
    });
    let control = Router::with_path("ready").get(Ready(balancer.clone()));
    server::start_forwarding(ports, control, |listener| {
        tokio::spawn(async move { tokio::join!(balancer.check(), accept(&balancer, listener)).1 })
    })
    .await
}

async fn accept(balancer: &Balancer, listener: TcpListener) {
    let callers = TcpListenerStream::new(listener).filter_map(async |caller| caller.ok());
    callers
        .for_each_concurrent(MAX_CONNECTIONS, |caller| balancer.forward(caller))
        .await;
}

/// `Ready` lists the addresses that the last check found ready.
struct Ready(Arc<Balancer>);

#[handler]
impl Ready {
    async fn handle(&self, res: &mut Response) {
        http::answer(res, StatusCode::OK, &*lock(&self.0.ready));
    }
}
