//! What the process buffers of messages: the accounts of their bytes, and bodies that are collected.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{
    Body,
    Incoming, //
};
use snafu::Snafu;
use toucanturn_account::{
    Account,
    Reservation,
    UNCOUNTED_BYTES, //
};

use crate::answer_body;

/// Blocks in which a body is buffered that comes in several frames, in bytes. A buffer that grows with the body leaves
/// holes between those of other bodies, which hold memory that is in no account.
const BLOCK_BYTES: usize = UNCOUNTED_BYTES;

/// `Memory` is the accounts of the process.
#[derive(Debug, Default)]
pub struct Memory {
    /// Answers of endpoints and events that are incomplete; the parts are services.
    pub answers: Account,
    /// Bodies of requests; the parts are workspaces.
    pub requests: Account,
}

impl Memory {
    /// Sets how many bytes answers may hold, and how many requests may hold.
    pub(crate) fn set_limit(&self, limit: usize) {
        self.answers.set_limit(limit);
        self.requests.set_limit(limit);
    }
}

/// `CollectError` is why a body could not be buffered.
#[derive(Debug, Snafu)]
pub(crate) enum CollectError {
    /// It is longer than the limit of one body.
    #[snafu(display("the body is too long"))]
    Overlong,
    /// All buffered messages together, or those of its part, hold too much.
    #[snafu(display("no memory is left for the body"))]
    NoRoom,
    /// It broke off.
    #[snafu(display("{source}"), context(false))]
    Lost {
        /// The cause.
        source: answer_body::Error,
    },
}

impl From<hyper::Error> for CollectError {
    fn from(source: hyper::Error) -> Self {
        answer_body::Error::from(source).into()
    }
}

/// `Collected` is a body of which a part has arrived.
#[derive(Debug, Default)]
struct Collected {
    /// The first frame while it is the only one. A body usually comes in one frame, which is not copied.
    first: Bytes,
    blocks: Vec<Vec<u8>>,
    len: usize,
}

impl Collected {
    /// Gets the bytes of memory that are held once a frame is added.
    fn held_with(&self, data: &Bytes) -> usize {
        match self.len {
            0 => data.len(),
            len => (len + data.len()).div_ceil(BLOCK_BYTES) * BLOCK_BYTES,
        }
    }

    fn push(&mut self, data: Bytes) {
        if self.len == 0 {
            self.len = data.len();
            self.first = data;
            return;
        }
        self.len += data.len();
        let first = std::mem::take(&mut self.first);
        self.copy(&first);
        self.copy(&data);
    }

    fn copy(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            let free = self.blocks.last().map_or(0, |b| BLOCK_BYTES - b.len());
            if free == 0 {
                self.blocks.push(Vec::with_capacity(BLOCK_BYTES));
                continue;
            }
            let (now, later) = data.split_at(data.len().min(free));
            if let Some(block) = self.blocks.last_mut() {
                block.extend_from_slice(now);
            }
            data = later;
        }
    }

    fn into_bytes(self) -> Bytes {
        match <[Vec<u8>; 1]>::try_from(self.blocks) {
            Ok([block]) => Bytes::from(block),
            Err(blocks) if blocks.is_empty() => self.first,
            Err(blocks) => Bytes::from(blocks.concat()),
        }
    }
}

/// Returns whether a body may be long enough to be counted.
pub(crate) fn may_count(body: &Incoming) -> bool {
    let uncounted = u64::try_from(UNCOUNTED_BYTES).unwrap_or(u64::MAX);
    body.size_hint().upper().is_none_or(|most| most > uncounted)
}

/// Reads a body to its end, or up to a length, and drops it.
pub(crate) async fn discard(body: &mut Incoming, max: usize) {
    let mut length = 0;
    while let Some(Ok(frame)) = body.frame().await {
        length += frame.data_ref().map_or(0, Bytes::len);
        if length > max {
            return;
        }
    }
}

/// Buffers a body until it is complete. The bytes are counted until they are dropped.
pub(crate) async fn collect<B>(
    body: &mut B,
    max: usize,
    mut reservation: Reservation,
) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes, Error: Into<CollectError>> + Unpin,
{
    if body.size_hint().lower() > u64::try_from(max).unwrap_or(u64::MAX) {
        return Err(CollectError::Overlong);
    }
    let mut collected = Collected::default();
    loop {
        let frame = tokio::select! {
            biased;
            () = reservation.ended() => return Err(CollectError::NoRoom),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { break };
        let Ok(data) = frame.map_err(Into::into)?.into_data() else {
            continue;
        };
        if collected.len + data.len() > max {
            return Err(CollectError::Overlong);
        }
        if !reservation.try_set(collected.held_with(&data)) {
            return Err(CollectError::NoRoom);
        }
        collected.push(data);
    }
    let whole = collected.into_bytes();
    reservation
        .complete(whole)
        .map_err(|_| CollectError::NoRoom)
}
