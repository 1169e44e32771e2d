//! What can go wrong while the demonstration runs.

use snafu::Snafu;

/// `Error` of the demonstration.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
#[expect(missing_docs, reason = "the messages say what each is")]
pub enum Error {
    #[snafu(display("can't start {name}; build the workspace first"))]
    Start {
        name: String,
        source: std::io::Error,
    },
    #[snafu(display("{name} did not print its addresses"))]
    Addresses { name: String },
    #[snafu(display("can't use a file or socket"))]
    Io { source: std::io::Error },
    #[snafu(display("a request failed"))]
    Call { source: reqwest::Error },
    #[snafu(display("router {name} did not become ready"))]
    NotReady { name: String },
    #[snafu(display("expected {expected}, found {found}"))]
    Unexpected { expected: String, found: String },
}

/// `Result` of the demonstration.
pub type Result<T> = std::result::Result<T, Error>;
