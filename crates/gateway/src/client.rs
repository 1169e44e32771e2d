//! Connections to endpoints and to the registry.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Request,
    Response, //
};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{
        self,
        SendRequest, //
    },
};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt::set_tcp_user_timeout;
use snafu::{
    ResultExt,
    Snafu, //
};
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::timeout, //
};

/// Milliseconds after which unacknowledged bytes end a connection. A peer behind a partition sends
/// no reset; without this its connections would hang for minutes.
const USER_TIMEOUT_MS: u32 = 2000;

/// `Error` says why a connection could not be made or used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No connection in time.
    #[snafu(display("no connection to {address} within {within:?}"))]
    Slow {
        /// Where.
        address: SocketAddrV4,
        /// The time that it had.
        within: Duration,
    },
    /// The connection was refused, or its options could not be set.
    #[snafu(display("can't connect to {address}"))]
    Refused {
        /// Where.
        address: SocketAddrV4,
        /// Why.
        source: std::io::Error,
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

/// `Sent` is how the sending of a request ended.
#[derive(Debug)]
pub enum Sent {
    /// The head of an answer came.
    Head(Response<Incoming>),
    /// No byte of the request was written.
    Unsent,
    /// Some of it may have been written, and no head came.
    Lost(hyper::Error),
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
            return SlowSnafu { address, within }.fail();
        };
        let stream = connected.context(RefusedSnafu { address })?;
        stream.set_nodelay(true).context(RefusedSnafu { address })?;
        set_tcp_user_timeout(&stream, USER_TIMEOUT_MS)
            .map_err(std::io::Error::from)
            .context(RefusedSnafu { address })?;
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
    pub fn free(&self) -> bool {
        self.sender.is_ready()
    }

    /// Tells whether it has ended.
    pub fn closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the answer's head.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Sent {
        match self.sender.try_send_request(request).await {
            Ok(response) => Sent::Head(response),
            Err(mut error) => match error.take_message() {
                Some(_) => Sent::Unsent,
                None => Sent::Lost(error.into_error()),
            },
        }
    }
}
