//! The platform's balancer: forwards TCP connections in turn to the addresses that are ready.

pub use crate::server::Handle;
use crate::{
    Result, http,
    server::{
        self,
        Ports, //
    },
};
use salvo::{
    Response,
    Router,
    handler,
    http::StatusCode, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
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
    task::JoinSet,
    time::{
        sleep,
        timeout, //
    },
};

/// Most connections forwarded at once; beyond it new ones wait to be accepted.
const MAX_CONNECTIONS: usize = 4096;
/// Longest wait for an address to accept a connection or to say that it's ready.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed accept, lest it spins when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// `Options` of a balancer.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses to bind; by default the system picks.
    pub ports: Ports,
    /// Addresses to forward to; by default none.
    pub to: Vec<SocketAddr>,
    /// Time between two checks of an address; by default half a second.
    pub check_interval: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ports: Ports::default(),
            to: Vec::new(),
            check_interval: Duration::from_millis(500),
        }
    }
}

/// `Target` is an address to forward to.
#[derive(Debug)]
struct Target {
    address: SocketAddr,
    ready: AtomicBool,
}

/// `Standing` is what the last check of an address found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Standing {
    /// The address.
    pub address: SocketAddr,
    /// Whether it answered 200 on `/readyz`.
    pub ready: bool,
}

/// `Balancer` is the state behind both ports.
#[derive(Debug)]
struct Balancer {
    targets: Vec<Target>,
    turn: AtomicUsize,
    client: reqwest::Client,
}

impl Balancer {
    /// Checks every address, again and again.
    async fn check(&self, interval: Duration) {
        loop {
            for target in &self.targets {
                target
                    .ready
                    .store(self.is_ready(target.address).await, Ordering::Relaxed);
            }
            sleep(interval).await;
        }
    }

    async fn is_ready(&self, address: SocketAddr) -> bool {
        let request = self
            .client
            .get(format!("http://{address}/readyz"))
            .timeout(CONNECT_TIMEOUT);
        request
            .send()
            .await
            .is_ok_and(|response| response.status().is_success())
    }

    /// Connects to the next ready address that accepts.
    async fn connect(&self) -> Option<TcpStream> {
        for _ in &self.targets {
            let turn = self.turn.fetch_add(1, Ordering::Relaxed) % self.targets.len();
            let target = &self.targets[turn];
            if !target.ready.load(Ordering::Relaxed) {
                continue;
            }
            if let Ok(Ok(stream)) =
                timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address)).await
            {
                return Some(stream);
            }
        }
        None
    }

    /// Forwards one connection, or closes it when no address is ready.
    async fn forward(&self, mut caller: TcpStream) {
        let Some(mut target) = self.connect().await else {
            return;
        };
        if let Err(error) = copy_bidirectional(&mut caller, &mut target).await {
            tracing::debug!(%error, "a forwarded connection broke");
        }
    }
}

/// Starts a balancer.
///
/// # Errors
///
/// When a port can't be bound.
pub async fn start(options: Options) -> Result<Handle> {
    let target = |address| Target {
        address,
        ready: AtomicBool::new(false),
    };
    let balancer = Arc::new(Balancer {
        targets: options.to.into_iter().map(target).collect(),
        turn: AtomicUsize::new(0),
        client: reqwest::Client::new(),
    });
    let control = Router::with_path("targets").get(Targets(balancer.clone()));
    server::start_forwarding(options.ports, control, |listener| {
        tokio::spawn(async move {
            tokio::join!(
                balancer.check(options.check_interval),
                accept(&balancer, &listener)
            );
        })
    })
    .await
}

async fn accept(balancer: &Arc<Balancer>, listener: &TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        if connections.len() == MAX_CONNECTIONS {
            connections.join_next().await;
        }
        let Ok((caller, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let balancer = balancer.clone();
        connections.spawn(async move { balancer.forward(caller).await });
    }
}

/// `Targets` tells what the last checks found.
struct Targets(Arc<Balancer>);

#[handler]
impl Targets {
    async fn handle(&self, res: &mut Response) {
        let standing = |target: &Target| Standing {
            address: target.address,
            ready: target.ready.load(Ordering::Relaxed),
        };
        let standings: Vec<_> = self.0.targets.iter().map(standing).collect();
        http::answer(res, StatusCode::OK, &standings);
    }
}
