//! Bodies of endpoints' answers, and when one whose head marks no end is whole.
//!
//! A server that has ended such a body closes its connection at once. If what was to mark the end is lost on the way, the
//! server keeps the connection open for the next request, or the mark stands at the beginning of the body.

use std::{
    pin::Pin,
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration,
};

use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::future::FutureExt as _;
use hyper::body::{
    Body,
    Frame,
    Incoming,
    SizeHint, //
};
use snafu::Snafu;
use tokio::time::{
    Instant,
    Sleep,
    sleep, //
};
use toucanturn_answer::{
    Framing,
    beginning::Beginning, //
};

/// Longest time from the last byte of a body without an end mark to the end of its connection. A server that waits for
/// another request keeps it open for a second or longer.
const MAX_CLOSE_DELAY: Duration = Duration::from_millis(100);

/// `Error` is why a body is not whole.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// Its connection broke.
    #[snafu(display("{source}"), context(false))]
    Lost {
        /// The cause.
        source: hyper::Error,
    },
    /// What was to mark its end is lost.
    #[snafu(display("expected a mark of the body's end, or the end of the connection with it"))]
    Unmarked,
}

/// `AnswerBody` is the body of an endpoint's answer.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    incoming: Incoming,
    /// For a body that ends with its connection although the head does not announce that.
    unannounced: Option<Box<Unannounced>>,
}

impl From<Incoming> for AnswerBody {
    /// Makes a body whose head says what marks its end.
    fn from(incoming: Incoming) -> Self {
        Self {
            incoming,
            unannounced: None,
        }
    }
}

impl AnswerBody {
    /// Makes a body with this framing. One whose end is not announced fails after a silence of `patience`; `None` if
    /// whoever reads it limits that.
    pub(crate) fn new(incoming: Incoming, framing: Framing, patience: Option<Duration>) -> Self {
        let is_unannounced = framing == Framing::Unannounced;
        Self {
            incoming,
            unannounced: is_unannounced.then(|| Box::new(Unannounced::new(patience))),
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let this = &mut *self;
        let Some(unannounced) = &mut this.unannounced else {
            let frame = ready!(Pin::new(&mut this.incoming).poll_frame(context));
            return Poll::Ready(frame.map(|frame| Ok(frame?)));
        };
        loop {
            return match Pin::new(&mut this.incoming).poll_frame(context) {
                Poll::Ready(Some(frame)) => {
                    let Ok(data) = frame?.into_data() else {
                        continue;
                    };
                    match unannounced.receive(data) {
                        Ok(data) if data.is_empty() => continue,
                        received => Poll::Ready(Some(received.map(Frame::data))),
                    }
                }
                Poll::Ready(None) => {
                    Poll::Ready(unannounced.end().map(|rest| rest.map(Frame::data)))
                }
                Poll::Pending => unannounced.poll_silence(context).map(Some),
            };
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// `Silence` is for how long nothing has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silence {
    /// Less than [`MAX_CLOSE_DELAY`].
    Short,
    /// Longer by the clock; what the socket has received meanwhile is still to be read.
    Unconfirmed,
    /// Longer than [`MAX_CLOSE_DELAY`].
    Long,
}

/// `Unannounced` is what has been received of a body whose end is neither marked nor announced.
#[derive(Debug)]
struct Unannounced {
    /// Its beginning, until it is decided; `None` after that.
    beginning: Option<BytesMut>,
    silence: Silence,
    timer: Pin<Box<Sleep>>,
    /// Longest silence after which the body can still end; `None` if whoever reads it decides.
    patience: Option<Duration>,
}

impl Unannounced {
    fn new(patience: Option<Duration>) -> Self {
        Self {
            beginning: Some(BytesMut::new()),
            silence: Silence::Short,
            timer: Box::pin(sleep(MAX_CLOSE_DELAY)),
            patience,
        }
    }

    /// Returns what may be forwarded of the bytes received so far.
    fn receive(&mut self, data: Bytes) -> Result<Bytes, Error> {
        self.silence = Silence::Short;
        self.timer.as_mut().reset(Instant::now() + MAX_CLOSE_DELAY);
        let Some(beginning) = &mut self.beginning else {
            return Ok(data);
        };
        beginning.extend_from_slice(&data);
        self.judge(false)
    }

    /// Returns the bytes held back, if the beginning is that of a body.
    fn judge(&mut self, ended: bool) -> Result<Bytes, Error> {
        let judged = |bytes: &BytesMut| Beginning::new(bytes, ended);
        match self.beginning.as_ref().map(judged) {
            Some(Beginning::Framing) => Err(Error::Unmarked),
            Some(Beginning::Undecided) => Ok(Bytes::new()),
            _ => Ok(self.beginning.take().unwrap_or_default().freeze()),
        }
    }

    /// Returns the rest of the body where its connection has ended; `None` if all has been returned.
    fn end(&mut self) -> Option<Result<Bytes, Error>> {
        // Nothing shows that an empty body is whole.
        let is_empty = self.beginning.as_ref().is_some_and(BytesMut::is_empty);
        if self.silence == Silence::Long || is_empty {
            return Some(Err(Error::Unmarked));
        }
        let rest = self.judge(true);
        rest.map(|rest| Some(rest).filter(|rest| !rest.is_empty()))
            .transpose()
    }

    /// Completes when the connection has been silent for too long.
    fn poll_silence<T>(&mut self, context: &mut Context<'_>) -> Poll<Result<T, Error>> {
        if self.silence == Silence::Unconfirmed {
            self.silence = Silence::Long;
            let rest = self.patience.map(|p| p.saturating_sub(MAX_CLOSE_DELAY));
            let until = Instant::now() + rest.unwrap_or_default();
            self.timer.as_mut().reset(until);
        }
        if self.silence == Silence::Long && self.patience.is_none() {
            return Poll::Pending;
        }
        ready!(self.timer.poll_unpin(context));
        if self.silence == Silence::Long {
            return Poll::Ready(Err(Error::Unmarked));
        }
        self.silence = Silence::Unconfirmed;
        context.waker().wake_by_ref();
        Poll::Pending
    }
}
