//! Connections of callers: a time limit for receiving a request's head, separate from the idle timeout of the
//! connection, and a reset instead of a close while an answer without an end mark is incomplete.
//!
//! A caller that sends a head byte by byte holds a connection and its buffers without a request. Such connections
//! show as neither idle nor in the counts of requests. The HTTP library has one timeout for the idle time and the
//! head together, so such a head could last for the idle time, which is minutes where callers keep connections
//! open. The limit here runs from the first byte of a head.

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

use http::Version;
use hyper::body::{
    Body,
    Frame,
    SizeHint, //
};
use rustix::net::sockopt::set_socket_linger;
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

use crate::connections::Slot;

/// `ConnectionProgress` tracks the requests of a connection.
#[derive(Debug)]
pub(crate) struct ConnectionProgress {
    /// Complete heads received.
    heads_completed: Cell<u64>,
    /// Requests of this connection whose answer has not ended.
    open_requests: Cell<u32>,
    /// Requests of all connections whose answer has not ended.
    all_open_requests: Rc<Cell<usize>>,
    /// When the last answer ended; `None` before the first request and while a request is open.
    idle_since: Cell<Option<Instant>>,
    /// Whether an answer is incomplete whose end the caller takes from the end of the connection.
    unmarked_answer: Cell<bool>,
    /// Whether the caller takes no more of an answer for now.
    blocked: Cell<bool>,
    slot: Slot,
}

impl ConnectionProgress {
    /// Creates the state of a new connection; `all_open_requests` counts the open requests of all connections.
    pub(crate) fn new(all_open_requests: &Rc<Cell<usize>>, slot: Slot) -> Self {
        Self {
            heads_completed: Cell::new(0),
            open_requests: Cell::new(0),
            all_open_requests: Rc::clone(all_open_requests),
            idle_since: Cell::new(None),
            unmarked_answer: Cell::new(false),
            blocked: Cell::new(false),
            slot,
        }
    }

    /// Records that a request's body is complete, or that no more of it is awaited.
    pub(crate) fn end_request(&self) {
        self.slot.work();
    }

    /// Waits until the connection has to close, as others need its place.
    pub(crate) async fn closed(&self) {
        self.slot.closed().await;
    }

    /// Records whether the caller takes the answer.
    fn set_blocked(&self, blocked: bool) {
        if self.blocked.replace(blocked) == blocked {
            return;
        }
        match blocked {
            true => self.slot.wait(),
            false if self.open_requests.get() > 0 => self.slot.work(),
            false => {}
        }
    }

    /// Waits until the connection has been idle for `limit` since its last answer.
    pub(crate) async fn idle_for(&self, limit: Duration) {
        loop {
            let now = Instant::now();
            match self.idle_since.get().map(|since| since + limit) {
                Some(end) if end <= now => return,
                Some(end) => sleep_until(end).await,
                None => sleep_until(now + limit).await,
            }
        }
    }
}

/// `OpenRequest` counts a request as open, from its complete head until it is dropped at the end of the answer.
#[derive(Debug)]
pub(crate) struct OpenRequest(Rc<ConnectionProgress>);

impl OpenRequest {
    /// Records that the head of a request is complete.
    pub(crate) fn new(progress: &Rc<ConnectionProgress>) -> Self {
        progress
            .heads_completed
            .set(progress.heads_completed.get().wrapping_add(1));
        progress.open_requests.set(progress.open_requests.get() + 1);
        progress
            .all_open_requests
            .set(progress.all_open_requests.get() + 1);
        progress.idle_since.set(None);
        Self(Rc::clone(progress))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
        self.0
            .all_open_requests
            .set(self.0.all_open_requests.get() - 1);
        if self.0.open_requests.get() == 0 {
            self.0.idle_since.set(Some(Instant::now()));
            self.0.slot.wait();
        }
    }
}

/// `TrackedBody` is the body of an answer; its request counts as open until it is dropped.
#[derive(Debug)]
pub(crate) struct TrackedBody<B> {
    body: B,
    open: OpenRequest,
}

impl<B: Body> TrackedBody<B> {
    /// Creates the body of an answer to a caller that speaks this version of HTTP.
    pub(crate) fn new(body: B, open: OpenRequest, version: Version) -> Self {
        let unmarked = version < Version::HTTP_11 && body.size_hint().exact().is_none();
        open.0.unmarked_answer.set(unmarked);
        Self { body, open }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(None) = polled {
            self.open.0.unmarked_answer.set(false);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// `HeadTimeoutStream` is a caller's connection whose reads fail when a request's head takes too long.
#[derive(Debug)]
pub(crate) struct HeadTimeoutStream {
    stream: TcpStream,
    progress: Rc<ConnectionProgress>,
    limit: Duration,
    /// Number of the head that is being received, and when it must be complete.
    head: Option<(u64, Instant)>,
    /// Created only for a head that doesn't arrive in one read; nearly all do.
    timer: Option<Pin<Box<Sleep>>>,
    /// Whether closing the connection resets it.
    resets: bool,
}

impl HeadTimeoutStream {
    /// Wraps a connection whose request heads may take `limit`.
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
            resets: false,
        }
    }

    /// Sets whether closing the connection resets it. The operating system closes it if this process is killed, so a
    /// reset is set before an answer without an end mark begins, until all of it has been written.
    fn set_resets(&mut self, resets: bool) -> io::Result<()> {
        if resets != self.resets {
            set_socket_linger(&self.stream, resets.then_some(Duration::ZERO))?;
            self.resets = resets;
        }
        Ok(())
    }

    fn prepare_write(&mut self) -> io::Result<()> {
        match self.progress.unmarked_answer.get() {
            true => self.set_resets(true),
            false => Ok(()),
        }
    }

    /// Records that bytes arrived; starts the time limit at the first byte of a head.
    fn note_bytes_received(&mut self) {
        let number = self.progress.heads_completed.get();
        if self.progress.open_requests.get() > 0 {
            self.head = None;
        } else if self.head.is_none_or(|(n, _)| n != number) {
            self.head = Some((number, Instant::now() + self.limit));
        }
    }

    /// Polls for the deadline of the head that is being received.
    fn poll_head_timeout(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        let number = self.progress.heads_completed.get();
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
            "request head not complete within the time limit",
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
                let received = buffer.filled().len() - before;
                if received > 0 {
                    self.progress.slot.progress(received);
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
        self.prepare_write()?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.progress.set_blocked(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.progress.set_blocked(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let incomplete = self.progress.unmarked_answer.get();
        self.set_resets(incomplete)?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
