//! Connections that peers make to this router, up to a bound.
//!
//! A connection is accepted before its other end is known. Without the bound, whoever reaches the
//! port could use up the process's file descriptors, which callers and endpoints need too.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use futures_util::stream::{
    Stream,
    unfold, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        OwnedSemaphorePermit,
        Semaphore, //
    },
};
use tonic::transport::server::{
    Connected,
    TcpConnectInfo, //
};

use super::counters::{
    Counters,
    add, //
};

/// Time to wait after a failed accept. It fails while file descriptors are short; the loop must
/// neither spin nor end then.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// `Connection` is one accepted connection.
pub(super) struct Connection {
    io: TcpStream,
    /// Held until the connection ends.
    _permit: OwnedSemaphorePermit,
}

/// Accepts connections, at most `bound` at a time; further ones wait to be accepted.
pub(super) fn accept(
    listener: TcpListener,
    bound: usize,
    counters: Arc<Counters>,
) -> impl Stream<Item = io::Result<Connection>> {
    let permits = Arc::new(Semaphore::new(bound));
    unfold(
        (listener, permits, counters),
        |(listener, permits, counters)| async {
            let permit = Arc::clone(&permits).acquire_owned().await.ok()?;
            let io = accept_one(&listener, &counters).await;
            let connection = Connection {
                io,
                _permit: permit,
            };
            Some((Ok(connection), (listener, permits, counters)))
        },
    )
}

async fn accept_one(listener: &TcpListener, counters: &Counters) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((io, _)) => {
                // Only costs latency where it fails.
                let _ = io.set_nodelay(true);
                return io;
            }
            Err(_) => {
                add(&counters.accept_errors, 1);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

impl Connected for Connection {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.io.connect_info()
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
