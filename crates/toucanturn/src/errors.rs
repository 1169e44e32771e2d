//! What can keep a command from an answer.

use std::{
    net::SocketAddr,
    path::PathBuf, //
};

use snafu::Snafu;

/// `Error` is a failure of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// The command line is wrong.
    #[snafu(display("{message}"))]
    Usage { message: String },
    /// A file could not be read.
    #[snafu(display("can't read {}", path.display()))]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    /// A file is too long.
    #[snafu(display("{} is longer than {most} bytes", path.display()))]
    TooLong { path: PathBuf, most: u64 },
    /// The configuration is invalid.
    #[snafu(display("{}: {count} faults, expected none; see check config", path.display()))]
    Config { path: PathBuf, count: usize },
    /// The view is not one.
    #[snafu(display("{}: expected the JSON of status --json", path.display()))]
    View {
        path: PathBuf,
        source: serde_json::Error,
    },
    /// The core does not come to the state that the view gives.
    #[snafu(display("endpoint {endpoint}: the core holds it for {found}, the view says {wanted}"))]
    State {
        endpoint: String,
        found: String,
        wanted: String,
    },
    /// A name is not in the configuration.
    #[snafu(display("{what} {name:?}: expected one of {known}"))]
    Unknown {
        what: &'static str,
        name: String,
        known: String,
    },
    /// A value on the command line is not of its form.
    #[snafu(display("{what}: expected {expected}, found {found:?}"))]
    Value {
        what: &'static str,
        expected: &'static str,
        found: String,
    },
    /// The HTTP client or its runtime could not be made.
    #[snafu(display("can't start the runtime"))]
    Runtime { source: std::io::Error },
    /// The HTTP client could not be made.
    #[snafu(display("can't make an HTTP client"))]
    Client { source: reqwest::Error },
    /// The router could not be reached, or broke off.
    #[snafu(display("no answer from the router at {address}"))]
    Call {
        address: SocketAddr,
        source: reqwest::Error,
    },
    /// The router answered with an error.
    #[snafu(display(
        "{address} answered with status {status}, expected 200; is this the operators' port?"
    ))]
    Status { address: SocketAddr, status: u16 },
    /// The gateway doesn't answer the question.
    #[snafu(display("{address} does not explain: {message}"))]
    Unexplained {
        address: SocketAddr,
        message: String,
    },
    /// No log names a request.
    #[snafu(display("no line of event 610 in these logs names the request {id:?}"))]
    Unrecorded { id: String },
    /// The router's answer is too long.
    #[snafu(display("the answer of {address} is longer than {most} bytes"))]
    Oversize { address: SocketAddr, most: usize },
    /// The router's answer is not what the protocol says.
    #[snafu(display("the answer of {address} is not a router's"))]
    Answer {
        address: SocketAddr,
        source: serde_json::Error,
    },
    /// The drain took longer than the operator would wait.
    #[snafu(display(
        "{address} did not end its drain within {seconds} s, {open} calls were open when it last answered"
    ))]
    Late {
        address: SocketAddr,
        seconds: u64,
        open: u64,
    },
    /// Standard output is closed to us.
    #[snafu(display("can't write to standard output"))]
    Print { source: std::io::Error },
    /// A value could not be written as JSON.
    #[snafu(display("can't write JSON"))]
    Json { source: serde_json::Error },
    /// The trace is not one.
    #[snafu(display("{}", path.display()))]
    Trace {
        path: PathBuf,
        source: toucanturn_replay::trace::Error,
    },
    /// The trace names a router that its setup lacks.
    #[snafu(display(
        "{}: line {line}: expected a router below {count}, found {found}",
        path.display()
    ))]
    Index {
        path: PathBuf,
        line: usize,
        found: usize,
        count: usize,
    },
    /// The replay ended without a report.
    #[snafu(display("the replay ended without a report, a fault of the replay or the library"))]
    Replay,
}

impl Error {
    /// Makes an error of usage.
    pub(crate) fn usage(message: impl ToString) -> Self {
        Self::Usage {
            message: message.to_string(),
        }
    }
}

/// `Result` of a command.
pub(crate) type Result<T> = std::result::Result<T, Error>;
