//! What can keep a router from starting or running.

use std::net::SocketAddr;

use snafu::Snafu;

/// `Error` is a failure of the router as a process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A listening socket could not be had.
    #[snafu(display("can't listen on {address}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The HTTP client could not be made.
    #[snafu(display("can't make an HTTP client"))]
    Client {
        /// The cause.
        source: reqwest::Error,
    },
    /// The fleet's key can't be used.
    #[snafu(display("can't use the peers' key"))]
    PeerKey {
        /// The cause.
        source: toucanturn_wire::Error,
    },
    /// The metrics socket could not be had.
    #[snafu(display("can't send metrics to {address}"))]
    Metrics {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

/// `Result` of starting and running a router.
pub type Result<T> = std::result::Result<T, Error>;
