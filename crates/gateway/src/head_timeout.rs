//! The clock of a request's head, apart from the one of an idle connection.
//!
//! A caller that sends a head byte by byte holds a connection and its buffers without a request.
//! Seen as connections that are neither idle nor in the counts of requests. The library has one clock
//! for an idle connection and a head together, so such a head could last for the idle time, which is
//! minutes where callers keep connections: this one runs from a head's first byte.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration,
};

use hyper::body::{
    Body,
    Frame,
    SizeHint, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
    time::{
        Instant,
        Sleep,
        sleep_until, //
    },
};

/// `ConnectionProgress` is how far a connection's requests are.
#[derive(Debug)]
pub(crate) struct ConnectionProgress {
    /// Heads that came whole.
    heads: Cell<u64>,
    /// Requests whose answer has not ended.
    open: Cell<u32>,
    /// The same of all connections.
    open_requests: Rc<Cell<usize>>,
    /// When the last answer ended; `None` before the first request and while one is open.
    idle: Cell<Option<Instant>>,
}

impl ConnectionProgress {
    /// Makes that of a new connection; `open_requests` counts the open requests of all.
    pub(crate) fn new(open_requests: &Rc<Cell<usize>>) -> Self {
        Self {
            heads: Cell::new(0),
            open: Cell::new(0),
            open_requests: Rc::clone(open_requests),
            idle: Cell::new(None),
        }
    }

    /// Waits until the connection has been idle for `limit` after an answer.
    pub(crate) async fn idle_for(&self, limit: Duration) {
        loop {
            let now = Instant::now();
            match self.idle.get().map(|since| since + limit) {
                Some(end) if end <= now => return,
                Some(end) => sleep_until(end).await,
                None => sleep_until(now + limit).await,
            }
        }
    }
}

/// `OpenRequest` is a request from its whole head until its answer's end.
#[derive(Debug)]
pub(crate) struct OpenRequest(Rc<ConnectionProgress>);

impl OpenRequest {
    /// Notes that a request's head came whole.
    pub(crate) fn new(progress: &Rc<ConnectionProgress>) -> Self {
        progress.heads.set(progress.heads.get().wrapping_add(1));
        progress.open.set(progress.open.get() + 1);
        progress.open_requests.set(progress.open_requests.get() + 1);
        progress.idle.set(None);
        Self(Rc::clone(progress))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.open_requests.set(self.0.open_requests.get() - 1);
        if self.0.open.get() == 0 {
            self.0.idle.set(Some(Instant::now()));
        }
    }
}

/// `TrackedBody` is an answer's body; its request is open until it is dropped.
#[derive(Debug)]
pub(crate) struct TrackedBody<B> {
    pub(crate) body: B,
    pub(crate) _open: OpenRequest,
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// `HeadTimeoutStream` is a caller's connection that breaks when a head takes too long.
#[derive(Debug)]
pub(crate) struct HeadTimeoutStream {
    stream: TcpStream,
    progress: Rc<ConnectionProgress>,
    limit: Duration,
    /// Number of the head that is being read, and when it must be whole.
    head: Option<(u64, Instant)>,
    /// Made only for a head that doesn't come at once: nearly all do.
    timer: Option<Pin<Box<Sleep>>>,
}

impl HeadTimeoutStream {
    /// Makes a connection whose heads may take `limit`.
    pub(crate) fn new(
        stream: TcpStream,
        progress: &Rc<ConnectionProgress>,
        limit: Duration,
    ) -> Self {
        Self {
            stream,
            progress: Rc::clone(progress),
            limit,
            head: None,
            timer: None,
        }
    }

    /// Notes that bytes came.
    fn note_bytes_received(&mut self) {
        let number = self.progress.heads.get();
        if self.progress.open.get() > 0 {
            self.head = None;
        } else if self.head.is_none_or(|(n, _)| n != number) {
            self.head = Some((number, Instant::now() + self.limit));
        }
    }

    /// Waits for the end of the time that the head has.
    fn poll_head_timeout(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        let number = self.progress.heads.get();
        let awaited = self.head.filter(|(n, _)| *n == number);
        let Some((_, end)) = awaited else {
            self.timer = None;
            return Poll::Pending;
        };
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(end)));
        if timer.deadline() != end {
            timer.as_mut().reset(end);
        }
        ready!(timer.as_mut().poll(context));
        Poll::Ready(io::Error::new(
            io::ErrorKind::TimedOut,
            "request head took too long",
        ))
    }
}

impl AsyncRead for HeadTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(read) => {
                if buffer.filled().len() > before {
                    self.note_bytes_received();
                }
                Poll::Ready(read)
            }
            Poll::Pending => self.poll_head_timeout(context).map(Err),
        }
    }
}

impl AsyncWrite for HeadTimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
