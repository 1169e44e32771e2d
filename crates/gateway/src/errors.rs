//! What can go wrong with sockets.

use std::{
    io,
    net::SocketAddr, //
};

use snafu::Snafu;

/// `Error` says why the gateway could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// Signals can't be watched.
    #[snafu(display("can't watch signals"))]
    Signals {
        /// Why.
        source: io::Error,
    },
}

/// `Result` is that of starting.
pub type Result<T, E = Error> = std::result::Result<T, E>;
