//! The two ports that every stand-in binds, and their life.

use crate::errors::{BindSnafu, Result};
use salvo::{
    Router, Server,
    conn::tcp::TcpAcceptor,
    fuse::{FuseAction, FuseConfig, FuseInfo},
    server::ServerHandle,
};
use serde::Serialize;
use snafu::ResultExt;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::{net::TcpListener, task::JoinHandle};

/// An address of this machine with a port that the system picks.
pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

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
        Self { listen: ANY_PORT, control: ANY_PORT }
    }
}

/// `Handle` is a running stand-in; dropping it leaves the stand-in running.
#[derive(Debug)]
pub struct Handle {
    /// Where the protocol is served.
    pub listen: SocketAddr,
    /// Where tests give it faults and ask for the truth.
    pub control: SocketAddr,
    servers: [Running; 2],
}

impl Handle {
    /// Gets the bound addresses.
    pub fn ports(&self) -> Ports {
        Ports { listen: self.listen, control: self.control }
    }

    /// Stops at once, as a killed process would: open connections are closed.
    pub async fn stop(self) {
        for server in self.servers {
            server.stop().await;
        }
    }
}

/// `Running` is one served port.
#[derive(Debug)]
struct Running {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl Running {
    async fn stop(self) {
        self.handle.stop_forceful();
        if let Err(error) = self.task.await {
            tracing::warn!(%error, "a server ended badly");
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
) -> Result<Handle> {
    let (listen, listen_acceptor) = bind(ports.listen).await?;
    let (control, control_acceptor) = bind(ports.control).await?;
    Ok(Handle {
        listen,
        control,
        servers: [
            serve(listen_acceptor, listen_routes, refuses),
            serve(control_acceptor, control_routes, || false),
        ],
    })
}

async fn bind(address: SocketAddr) -> Result<(SocketAddr, TcpAcceptor)> {
    let listener = TcpListener::bind(address).await.context(BindSnafu { address })?;
    let bound = listener.local_addr().context(BindSnafu { address })?;
    let acceptor = TcpAcceptor::try_from(listener).context(BindSnafu { address })?;
    Ok((bound, acceptor))
}

fn serve(
    acceptor: TcpAcceptor,
    routes: Router,
    refuses: impl Fn() -> bool + Send + Sync + 'static,
) -> Running {
    let server = Server::new(acceptor).fuse_policy(move |_: &FuseInfo| match refuses() {
        true => FuseAction::Reject,
        false => FuseAction::Accept(FuseConfig::disabled()),
    });
    let handle = server.handle();
    let task = tokio::spawn(async move {
        if let Err(error) = server.try_serve(routes).await {
            tracing::warn!(%error, "a server stopped");
        }
    });
    Running { handle, task }
}
