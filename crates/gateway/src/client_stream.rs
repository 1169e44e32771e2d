//! Connections to servers, whose end is reported only when the request is written.
//!
//! A body without length and chunks ends with its connection. A server that has ended in the middle of one, while a
//! request is being sent to it, closes its connection, and resets it at the next bytes of the request: the close alone
//! looks like the end of a whole answer. A server that has sent a whole answer reads on meanwhile (RFC 9112, section 9.6).

use std::{
    io,
    pin::Pin,
    task::{
        Context,
        Poll,
        Waker,
        ready, //
    },
};

use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
};

/// `ClientStream` is a connection to a server.
#[derive(Debug)]
pub(crate) struct ClientStream {
    stream: TcpStream,
    /// Whether the last write has left bytes of a request.
    unwritten: bool,
    /// Who waits for the end of the connection.
    reader: Option<Waker>,
}

impl From<TcpStream> for ClientStream {
    fn from(stream: TcpStream) -> Self {
        Self {
            stream,
            unwritten: false,
            reader: None,
        }
    }
}

impl ClientStream {
    /// Records how many of the bytes of a write were written.
    fn note_written(
        &mut self,
        written: Poll<io::Result<usize>>,
        length: usize,
    ) -> Poll<io::Result<usize>> {
        self.unwritten = !matches!(written, Poll::Ready(Ok(count)) if count == length);
        if !self.unwritten
            && let Some(reader) = self.reader.take()
        {
            reader.wake();
        }
        written
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (before, room) = (buffer.filled().len(), buffer.remaining());
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let ended = room > 0 && buffer.filled().len() == before;
        if ended && self.unwritten {
            self.reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_written(written, bytes.len())
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note_written(written, slices.iter().map(|s| s.len()).sum())
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
