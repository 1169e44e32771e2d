//! Errors that prevent the gateway from starting.

use std::{
    io,
    net::SocketAddr, //
};

use snafu::Snafu;

/// `Error` is why the gateway could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// Listening on an address failed.
    #[snafu(display("can't listen on {address}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// Installing a signal handler failed.
    #[snafu(display("can't install signal handlers"))]
    Signals {
        /// The cause.
        source: io::Error,
    },
}

/// `Result` is the result of an operation that can prevent the gateway from starting.
pub type Result<T, E = Error> = std::result::Result<T, E>;
