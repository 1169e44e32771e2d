//! Errors of starting and running a stand-in.

use snafu::Snafu;
use std::{
    io,
    net::SocketAddr,
    path::PathBuf, //
};

/// `Error` is why a stand-in can't start or go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// The port is taken or not ours to bind.
    #[snafu(display("can't bind {address}"))]
    Bind {
        /// The address asked for.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The configuration document can't be read.
    #[snafu(display("can't read {}", path.display()))]
    ReadDocument {
        /// The file asked for.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The configuration document isn't JSON.
    #[snafu(display("expected a JSON document"))]
    ParseDocument {
        /// Where the parser stopped.
        source: serde_json::Error,
    },
    /// The configuration document has a key that the platform doesn't know, or of a wrong shape.
    #[snafu(display("expected a configuration document, found {found}"))]
    Document {
        /// What stands there instead.
        found: String,
    },
    /// A publish breaks a bound of the configuration service.
    #[snafu(display("publish refused: {reason}"))]
    Publish {
        /// The bound it breaks.
        reason: &'static str,
    },
}

/// `Result` of starting and running a stand-in.
pub type Result<T, E = Error> = std::result::Result<T, E>;
