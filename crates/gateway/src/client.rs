//! Connections to endpoints and to the registry.

use std::{
    net::SocketAddrV4,
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

/// Most bytes of the answer to a call.
const MAX_CALL_BODY_BYTES: usize = 16 << 20;
/// Milliseconds after which unacknowledged bytes end a connection. A peer behind a partition sends
/// no reset; without this its connections would hang for minutes.
const USER_TIMEOUT_MS: u32 = 2000;

/// `Error` says why a connection could not be made or used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No connection in time.
    #[snafu(display("no connection to {address} within {within:?}"))]
    ConnectTimeout {
        /// Where.
        address: SocketAddrV4,
        /// The time that it had.
        within: Duration,
    },
    /// The connection was refused, or its options could not be set.
    #[snafu(display("can't connect to {address}"))]
    ConnectFailed {
        /// Where.
        address: SocketAddrV4,
        /// Why.
        source: std::io::Error,
    },
    /// No whole answer in time. The bytes tell a peer that says nothing from an answer that is large
    /// for its link.
    #[snafu(display("no whole answer in time, {received} bytes of its body came"))]
    ResponseTimeout {
        /// Bytes of its body that had come.
        received: usize,
    },
    /// The connection broke before the answer was whole.
    #[snafu(display("the connection broke"))]
    ConnectionLost,
    /// The answer is no success.
    #[snafu(display("status {status}"))]
    Status {
        /// Its status.
        status: StatusCode,
    },
    /// The first step of the protocol failed.
    #[snafu(display("can't start HTTP with {address}"))]
    Handshake {
        /// Where.
        address: SocketAddrV4,
        /// Why.
        source: hyper::Error,
    },
}

/// `Timeouts` bounds a call.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// For a new connection.
    pub connect: Duration,
    /// For the head of the answer.
    pub head: Duration,
    /// For the next piece of its body.
    pub body_frame: Duration,
    /// For all of it.
    pub total: Duration,
}

/// `HttpClient` makes calls to one address, one after the other, over a connection that is kept while each
/// answer is whole.
#[derive(Debug)]
pub struct HttpClient {
    /// Where it goes.
    pub address: SocketAddrV4,
    connection: Option<Connection>,
}

impl HttpClient {
    /// Makes a link that is not connected yet.
    pub const fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Makes a call; gets the body of an answer with a success. `on_head` is called when its head has come.
    ///
    /// # Errors
    ///
    /// No connection, no whole answer in time, or one without success.
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
            Ok(SendOutcome::Head(response)) => response,
            Ok(_) => return Err(Error::ConnectionLost),
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

/// `Connection` is an open connection; dropping it closes the socket, whatever goes on there.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// `SendOutcome` is how the sending of a request ended.
#[derive(Debug)]
pub enum SendOutcome {
    /// The head of an answer came.
    Head(Response<Incoming>),
    /// No byte of the request was written.
    Unsent,
    /// Some of it may have been written, and no head came.
    ConnectionLost(hyper::Error),
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// No connection within the time, or refused.
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
            .handshake(TokioIo::new(stream))
            .await
            .context(HandshakeSnafu { address })?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "connection ended");
            }
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
        })
    }

    /// Tells whether a request can be sent on it now: nothing is outstanding and nothing unread.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Tells whether it has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the answer's head.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> SendOutcome {
        match self.sender.try_send_request(request).await {
            Ok(response) => SendOutcome::Head(response),
            Err(mut error) => match error.take_message() {
                Some(_) => SendOutcome::Unsent,
                None => SendOutcome::ConnectionLost(error.into_error()),
            },
        }
    }
}
