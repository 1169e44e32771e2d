//! A whole router from its settings to the end of its drain.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use snafu::ResultExt;
use tokio::net::{
    TcpListener,
    TcpSocket, //
};
use tokio_util::sync::CancellationToken;
use toucanturn_core::{
    settings::Settings,
    units::Incarnation, //
};

use crate::{
    driver::Driver,
    errors::{
        ListenSnafu,
        Result, //
    },
    links,
    server::{
        self,
        Serving, //
    },
};

/// Connections that may wait to be accepted. Beyond it the kernel drops the opening packet, which the
/// other side sends again after a second.
const LISTEN_BACKLOG: u32 = 1024;

/// Time that the last answers get to leave the sockets once every call is done.
const LAST_ANSWERS: Duration = Duration::from_secs(10);

/// `Sockets` are a router's three listening sockets.
#[derive(Debug)]
pub struct Sockets {
    /// For callers.
    pub callers: TcpListener,
    /// For peers.
    pub peers: TcpListener,
    /// For operators.
    pub operators: TcpListener,
}

impl Sockets {
    /// Binds the sockets that the settings name.
    ///
    /// # Errors
    ///
    /// Fails with the first address that can't be had.
    pub async fn bind(settings: &Settings) -> Result<Self> {
        Ok(Self {
            callers: listen(settings.listen).await?,
            peers: listen(settings.peer_listen).await?,
            operators: listen(settings.admin_listen).await?,
        })
    }
}

/// Listens on an address.
///
/// # Errors
///
/// Fails when the address can't be had.
pub async fn listen(address: SocketAddr) -> Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    let bound = socket.and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    });
    bound.context(ListenSnafu { address })
}

/// `Process` is a router that serves.
pub struct Process {
    driver: Arc<Driver>,
    callers: Serving,
    operators: Serving,
    peers: CancellationToken,
}

impl Process {
    /// Starts a router on its sockets.
    ///
    /// # Errors
    ///
    /// Fails when a part of it can't be set up.
    pub fn start(settings: Settings, incarnation: Incarnation, sockets: Sockets) -> Result<Self> {
        let driver = Driver::new(settings, incarnation)?;
        let peers = CancellationToken::new();
        links::serve(&driver, sockets.peers, peers.clone());
        Ok(Self {
            callers: server::callers(&driver, sockets.callers)?,
            operators: server::operators(&driver, sockets.operators)?,
            driver,
            peers,
        })
    }

    /// Gets the driver.
    pub fn driver(&self) -> &Arc<Driver> {
        &self.driver
    }

    /// Runs until a drain is over, or until `hurry` completes, and ends the servers. Gives the
    /// number of calls that were cut.
    pub async fn run(self, hurry: impl Future<Output = ()>) -> usize {
        let cut = tokio::select! {
            cut = self.driver.run() => cut,
            () = hurry => self.driver.open(),
        };
        let limit = if cut == 0 {
            LAST_ANSWERS
        } else {
            Duration::ZERO
        };
        tokio::join!(self.callers.stop(limit), self.operators.stop(limit));
        self.peers.cancel();
        cut
    }
}
