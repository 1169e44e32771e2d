//! HTTP/1 connections to endpoints, the registry and peers.

use std::{
    cell::RefCell,
    future::poll_fn,
    net::SocketAddrV4,
    pin::Pin,
    rc::Rc,
    task::Poll,
    time::Duration, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use http::{
    HeaderValue,
    Request,
    Response,
    StatusCode,
    header, //
};
use http_body_util::{
    BodyExt as _,
    Full,
    Limited, //
};
use hyper::{
    body::{
        Body as _,
        Incoming, //
    },
    client::conn::http1::{
        self,
        SendRequest, //
    },
};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt::set_tcp_user_timeout;
use snafu::{
    ResultExt,
    Snafu,
    ensure, //
};
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::timeout, //
};
use toucanturn_answer::{
    Fault,
    Framing,
    Head, //
};
use toucanturn_core::units::Time;

use crate::{
    client_stream::ClientStream,
    state::now, //
};

/// Longest body of the answer to a call.
const MAX_CALL_BODY_BYTES: usize = 16 << 20;
/// Most bytes that are read from a connection and not yet taken; an answer's head has to fit.
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;
/// TCP user timeout in milliseconds: a connection ends if sent bytes stay unacknowledged for this long. A peer
/// behind a network partition sends no reset; without this, connections to it would hang for minutes.
const USER_TIMEOUT_MS: u32 = 2000;

/// `Error` is why a call failed or a connection could not be opened.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection was not established in time.
    #[snafu(display("no connection to {address} within {within:?}"))]
    ConnectTimeout {
        /// The remote address.
        address: SocketAddrV4,
        /// The time limit.
        within: Duration,
    },
    /// The connection was refused, or its options could not be set.
    #[snafu(display("can't connect to {address}"))]
    ConnectFailed {
        /// The remote address.
        address: SocketAddrV4,
        /// The cause.
        source: std::io::Error,
    },
    /// The answer was not complete in time. The number of bytes distinguishes a silent peer from an answer
    /// that is too large for its link.
    #[snafu(display(
        "answer incomplete within the time limit, received {received} bytes of its body"
    ))]
    ResponseTimeout {
        /// Bytes of the body that had arrived.
        received: usize,
    },
    /// The connection broke before the answer was complete, or its body exceeded the length limit.
    #[snafu(display("the connection broke"))]
    ConnectionLost,
    /// The head of the answer is not that of an answer.
    #[snafu(display("malformed answer"))]
    Malformed {
        /// Why.
        source: Fault,
    },
    /// The status is not a success.
    #[snafu(display("answered with status {status}"))]
    Status {
        /// Its status.
        status: StatusCode,
    },
    /// The HTTP handshake failed.
    #[snafu(display("HTTP handshake with {address} failed"))]
    Handshake {
        /// The remote address.
        address: SocketAddrV4,
        /// The cause.
        source: hyper::Error,
    },
}

/// `ConnectFailure` is how a connection failed to open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ConnectFailure {
    /// Nothing came back in time.
    Timeout,
    /// The remote host refused or reset the connection.
    Refused,
    /// The network said that there is no way to the remote host.
    NoRoute,
    /// The endpoint's entry is gone.
    Unregistered,
    /// Any other error.
    Other,
}

impl Error {
    /// Returns how a connection failed to open.
    pub fn connect_failure(&self) -> ConnectFailure {
        use std::io::ErrorKind;
        match self {
            Error::ConnectTimeout { .. } => ConnectFailure::Timeout,
            Error::ConnectFailed { source, .. } => match source.kind() {
                ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => {
                    ConnectFailure::Refused
                }
                ErrorKind::TimedOut => ConnectFailure::Timeout,
                ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => {
                    ConnectFailure::NoRoute
                }
                _ => ConnectFailure::Other,
            },
            _ => ConnectFailure::Other,
        }
    }
}

/// `Timeouts` is the time limits of a call.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// To establish a new connection.
    pub connect: Duration,
    /// From sending the request to the head of the answer.
    pub head: Duration,
    /// Between frames of the answer's body.
    pub body_frame: Duration,
    /// For the whole call.
    pub total: Duration,
}

/// `HttpClient` makes calls to one address, one at a time. It reuses its connection after each complete answer.
#[derive(Debug)]
pub struct HttpClient {
    /// The address that is called.
    pub address: SocketAddrV4,
    connection: Option<Connection>,
}

impl HttpClient {
    /// Creates a client that is not connected yet.
    pub const fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Makes a call; returns the body of a successful answer. Invokes `on_head` when the answer's head arrives.
    ///
    /// # Errors
    ///
    /// Fails if there is no connection, no complete answer in time, or a status other than success.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        timeouts: Timeouts,
        on_head: &dyn Fn(),
    ) -> Result<Bytes, Error> {
        let mut received = 0;
        let called = self.exchange(request, timeouts, on_head, &mut received);
        let called = timeout(timeouts.total, called).await;
        called.unwrap_or(Err(Error::ResponseTimeout { received }))
    }

    async fn exchange(
        &mut self,
        mut request: Request<Full<Bytes>>,
        timeouts: Timeouts,
        on_head: &dyn Fn(),
        received: &mut usize,
    ) -> Result<Bytes, Error> {
        let address = self.address;
        let kept = self.connection.take().filter(Connection::is_ready);
        let mut open = match kept {
            Some(open) => open,
            None => Connection::open(address, timeouts.connect).await?,
        };
        let host = HeaderValue::try_from(address.to_string()).map_err(|_| Error::ConnectionLost)?;
        request.headers_mut().insert(header::HOST, host);
        let sent = timeout(timeouts.head, open.send(request)).await;
        let response = match sent {
            Ok(SendOutcome::Head(response, _)) => response,
            Ok(SendOutcome::Malformed(fault)) => return Err(fault).context(MalformedSnafu),
            Ok(SendOutcome::Unsent | SendOutcome::ConnectionLost(_)) => {
                return Err(Error::ConnectionLost);
            }
            Err(_) => return Err(Error::ResponseTimeout { received: 0 }),
        };
        on_head();
        let status = response.status();
        ensure!(status.is_success(), StatusSnafu { status });
        let mut body = Limited::new(response.into_body(), MAX_CALL_BODY_BYTES);
        let stated = usize::try_from(body.size_hint().lower()).unwrap_or(MAX_CALL_BODY_BYTES);
        let mut bytes = BytesMut::with_capacity(stated.min(MAX_CALL_BODY_BYTES));
        loop {
            let frame = match timeout(timeouts.body_frame, body.frame()).await {
                Ok(Some(frame)) => frame.map_err(|_| Error::ConnectionLost)?,
                Ok(None) => break,
                Err(_) => {
                    return Err(Error::ResponseTimeout {
                        received: *received,
                    });
                }
            };
            if let Ok(data) = frame.into_data() {
                *received += data.len();
                bytes.extend_from_slice(&data);
            }
        }
        self.connection = Some(open);
        Ok(bytes.freeze())
    }
}

type Exchanges = http1::Connection<TokioIo<ClientStream>, Full<Bytes>>;

/// `Connection` is an open connection. Dropping it closes the socket at once, even with a request in progress.
#[derive(Debug)]
pub struct Connection {
    /// When it was opened.
    pub opened: Time,
    sender: SendRequest<Full<Bytes>>,
    /// What owns the socket; `None` once the connection has ended.
    exchanges: Rc<RefCell<Option<Exchanges>>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
        // An aborted task drops what it owns at a later turn of the process, and another connection may be opened before:
        // the remote host would have one more than it accepts.
        let exchanges = self.exchanges.try_borrow_mut();
        let exchanges = exchanges.ok().and_then(|mut exchanges| exchanges.take());
        drop(exchanges);
    }
}

/// `SendOutcome` is the result of sending a request.
#[derive(Debug)]
pub enum SendOutcome {
    /// The head of the answer arrived; its body has this framing.
    Head(Response<Incoming>, Framing),
    /// No byte of the request was written.
    Unsent,
    /// The connection broke before the head of the answer; part of the request may have been written.
    ConnectionLost(hyper::Error),
    /// What arrived is not the head of an answer. The request may have run, and what follows on the connection belongs to
    /// no request.
    Malformed(Fault),
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or not established within the time limit.
    pub async fn open(address: SocketAddrV4, within: Duration) -> Result<Self, Error> {
        let connecting = TcpStream::connect(address);
        let Ok(connected) = timeout(within, connecting).await else {
            return ConnectTimeoutSnafu { address, within }.fail();
        };
        let stream = connected.context(ConnectFailedSnafu { address })?;
        stream
            .set_nodelay(true)
            .context(ConnectFailedSnafu { address })?;
        set_tcp_user_timeout(&stream, USER_TIMEOUT_MS)
            .map_err(std::io::Error::from)
            .context(ConnectFailedSnafu { address })?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(ClientStream::from(stream)))
            .await
            .context(HandshakeSnafu { address })?;
        let exchanges = Rc::new(RefCell::new(Some(connection)));
        let shared = Rc::clone(&exchanges);
        let task = tokio::task::spawn_local(async move {
            let ended = poll_fn(|context| match &mut *shared.borrow_mut() {
                Some(connection) => Pin::new(connection).poll(context),
                None => Poll::Ready(Ok(())),
            });
            let ended = ended.await;
            shared.take();
            if let Err(error) = ended {
                tracing::debug!(%address, %error, "connection ended");
            }
        });
        Ok(Self {
            opened: now(),
            sender,
            exchanges,
            task: task.abort_handle(),
        })
    }

    /// Returns whether a request can be sent now: no answer is outstanding or partly unread.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the answer, which says what marks the end of its body.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> SendOutcome {
        self.send_judged(request, |head| Framing::try_from(head))
            .await
    }

    /// Sends a request and waits for the head of the answer, which `judge` accepts or refuses.
    pub async fn send_judged(
        &mut self,
        request: Request<Full<Bytes>>,
        judge: fn(Head<'_>) -> Result<Framing, Fault>,
    ) -> SendOutcome {
        let method = request.method().clone();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                match judge(Head::new(&method, &head)) {
                    Ok(framing) => SendOutcome::Head(Response::from_parts(head, body), framing),
                    Err(fault) => SendOutcome::Malformed(fault),
                }
            }
            Err(mut error) => match error.take_message() {
                Some(_) => SendOutcome::Unsent,
                None => SendOutcome::ConnectionLost(error.into_error()),
            },
        }
    }
}
