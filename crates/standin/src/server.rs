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
use std::net::{
    Ipv4Addr,
    SocketAddr, //
};
use tokio::{
    net::TcpListener,
    task::JoinHandle, //
};

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

/// `Handle` is a running stand-in; dropping it leaves the stand-in running.
#[derive(Debug)]
pub struct Handle {
    /// Where the protocol is served.
    pub listen: SocketAddr,
    /// Where tests give it faults and ask for the truth.
    pub control: SocketAddr,
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
) -> Result<Handle> {
    let (listen, listen_acceptor) = bind(ports.listen).await?;
    let (control, control_acceptor) = bind(ports.control).await?;
    Ok(Handle {
        listen,
        control,
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
    let listener = TcpListener::bind(address)
        .await
        .context(BindSnafu { address })?;
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
