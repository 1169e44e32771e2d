//! What can keep a soak from running.

use std::{
    io,
    path::PathBuf, //
};

use snafu::Snafu;

/// `Result` of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` is why the soak itself could not go on; what the system did wrong is a
/// [`Finding`](crate::judge::Finding).
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A program can't be started.
    #[snafu(display("can't start {}: {source}; `cargo build --workspace` makes it", path.display()))]
    Start {
        /// The program.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file or socket can't be used.
    #[snafu(context(false), display("can't use a file or socket: {source}"))]
    Io {
        /// Why.
        source: io::Error,
    },
    /// A program did not say where it listens.
    #[snafu(display("expected the ports of {name}"))]
    Ports {
        /// The program.
        name: String,
    },
    /// A part of the soak itself failed.
    #[snafu(display("a part of the soak failed: {source}"))]
    Task {
        /// Why.
        source: tokio::task::JoinError,
    },
    /// A program ended before it was used.
    #[snafu(display("expected {name} to run, it has ended: {log}"))]
    Ended {
        /// The program.
        name: String,
        /// What it wrote.
        log: String,
    },
    /// A stand-in did not do as told.
    #[snafu(display("expected {name} to obey"))]
    Order {
        /// The stand-in.
        name: String,
    },
}
