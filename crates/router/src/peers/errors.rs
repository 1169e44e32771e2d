//! Why a message or a forwarded call did not get through.

use snafu::Snafu;
use toucanturn_wire::receipt::Refusal;

/// `Failure` is what went wrong between this router and a peer. Its name as text
/// (`<&str>::from(&failure)`) is stable and labels the counter of failures.
#[derive(Debug, Snafu, strum::IntoStaticStr)]
#[snafu(visibility(pub(super)))]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// The configuration in force has no such router.
    #[snafu(display("expected a router of the fleet"))]
    UnknownPeer,
    /// The last attempt failed a moment ago.
    #[snafu(display("the last connection failed a moment ago"))]
    Backoff,
    /// No connection could be made.
    #[snafu(display("could not connect: {source}"))]
    Connect {
        /// The cause.
        source: tonic::transport::Error,
    },
    /// The call failed.
    #[snafu(display("the call failed: {source}"))]
    Call {
        /// The status; made by the peer or by the library, and not authenticated.
        #[snafu(source(from(tonic::Status, Box::new)))]
        source: Box<tonic::Status>,
    },
    /// No reply came in time.
    #[snafu(display("no reply came in time"))]
    Timeout,
    /// The message or its reply is malformed, over a bound or not authentic.
    #[snafu(display("{source}"))]
    Wire {
        /// The cause.
        source: toucanturn_wire::Error,
    },
    /// The peer says that it did not process the message.
    #[snafu(display("the peer refused: {refusal}"))]
    Refused {
        /// Why.
        refusal: Refusal,
    },
    /// An authentic reply belongs to another request or is of another kind.
    #[snafu(display("expected the reply to this request, found another"))]
    WrongReply,
}

/// `ForwardError` says why a forwarded call got no answer.
#[derive(Debug, Snafu)]
#[snafu(display("{failure}"))]
pub struct ForwardError {
    /// Whether the home may have begun to process the call. `false` is certain: none of the call
    /// left, or the home refused it before processing.
    pub sent: bool,
    /// The cause.
    pub failure: Failure,
}
