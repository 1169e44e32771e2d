//! The two ports that every stand-in binds, and their life.

use crate::errors::{
    BindSnafu,
    Result, //
};
use salvo::{
    Router, Server,
    conn::tcp::TcpAcceptor,
    fuse::{
        FuseAction,
        FuseConfig,
        FuseInfo, //
    },
};
use serde::Serialize;
use snafu::ResultExt;
use std::{
    fmt,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::Arc,
};
use tokio::{
    net::{
        TcpListener,
        TcpSocket, //
    },
    task::JoinHandle,
};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// An address of this machine with a port that the system picks.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// `Ports` are the two addresses of a stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Ports {
    /// Where the protocol is served.
    pub listen: SocketAddr,
    /// Where tests give it faults and ask for the truth.
    pub control: SocketAddr,
}

impl Default for Ports {
    /// Both ports picked by the system.
    fn default() -> Self {
        Self {
            listen: ANY_PORT,
            control: ANY_PORT,
        }
    }
}

/// `Runs` counts how often a stand-in of this process has run what bears a name: a key, or a request
/// id where there is none.
#[derive(Clone)]
pub struct Runs(Arc<dyn Fn(&str) -> u64 + Send + Sync>);

impl Runs {
    pub(crate) fn new(count: impl Fn(&str) -> u64 + Send + Sync + 'static) -> Self {
        Self(Arc::new(count))
    }

    /// Gets the number of runs so far.
    pub fn of(&self, name: &str) -> u64 {
        (self.0)(name)
    }
}

impl fmt::Debug for Runs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Runs").finish_non_exhaustive()
    }
}

/// `Handle` is a running stand-in; dropping it leaves the stand-in running.
#[derive(Debug)]
pub struct Handle {
    /// Where the protocol is served.
    pub listen: SocketAddr,
    /// Where tests give it faults and ask for the truth.
    pub control: SocketAddr,
    /// What it has run; always 0 for a stand-in that runs nothing.
    pub runs: Runs,
    tasks: Vec<JoinHandle<()>>,
}

impl Handle {
    /// Gets the bound addresses.
    pub fn ports(&self) -> Ports {
        Ports {
            listen: self.listen,
            control: self.control,
        }
    }

    /// Stops at once, as a killed process would: open connections are closed.
    pub async fn stop(self) {
        for task in self.tasks {
            task.abort();
            // The error only says that the task was aborted.
            let _ = task.await;
        }
    }
}

/// Binds both ports and serves them.
///
/// `refuses` is asked at every new connection on the protocol's port; on true the connection is
/// closed before a byte of it is read.
pub(crate) async fn start(
    ports: Ports,
    listen_routes: Router,
    control_routes: Router,
    refuses: impl Fn() -> bool + Send + Sync + 'static,
    runs: Runs,
) -> Result<Handle> {
    let (listen, listen_acceptor) = bind(ports.listen).await?;
    let (control, control_acceptor) = bind(ports.control).await?;
    Ok(Handle {
        listen,
        control,
        runs,
        tasks: vec![
            serve(listen_acceptor, listen_routes, refuses),
            serve(control_acceptor, control_routes, || false),
        ],
    })
}

/// Binds both ports and serves the control calls; `forward` makes a task of the other port.
pub(crate) async fn start_forwarding(
    ports: Ports,
    control_routes: Router,
    forward: impl FnOnce(TcpListener) -> JoinHandle<()>,
) -> Result<Handle> {
    let (listen, listener) = listen_on(ports.listen).await?;
    let (control, control_acceptor) = bind(ports.control).await?;
    let tasks = vec![
        forward(listener),
        serve(control_acceptor, control_routes, || false),
    ];
    Ok(Handle {
        listen,
        control,
        runs: Runs::new(|_| 0),
        tasks,
    })
}

async fn bind(address: SocketAddr) -> Result<(SocketAddr, TcpAcceptor)> {
    let (bound, listener) = listen_on(address).await?;
    Ok((
        bound,
        TcpAcceptor::try_from(listener).context(BindSnafu { address })?,
    ))
}

async fn listen_on(address: SocketAddr) -> Result<(SocketAddr, TcpListener)> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    let listener = socket.and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    });
    let listener = listener.context(BindSnafu { address })?;
    let bound = listener.local_addr().context(BindSnafu { address })?;
    Ok((bound, listener))
}

fn serve(
    acceptor: TcpAcceptor,
    routes: Router,
    refuses: impl Fn() -> bool + Send + Sync + 'static,
) -> JoinHandle<()> {
    let server = Server::new(acceptor).fuse_policy(move |_: &FuseInfo| match refuses() {
        true => FuseAction::Reject,
        false => FuseAction::Accept(FuseConfig::disabled()),
    });
    // Connections live in the server's future, so that aborting the task closes them.
    tokio::spawn(async move {
        if let Err(error) = server.try_serve(routes).await {
            tracing::warn!(%error, "a server stopped");
        }
    })
}
