//! Counts of the peer link, for the metrics.

use std::sync::{
    Mutex, PoisonError,
    atomic::{
        AtomicU64,
        Ordering, //
    },
};

use indexmap::IndexMap;
use strum::IntoEnumIterator;
use toucanturn_core::peer::Message;

use super::errors::Failure;

/// `Kind` is a kind of message as it is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter, strum::EnumCount)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Load, membership and revision summary.
    Summary,
    /// Question for configuration.
    Pull,
    /// Configuration.
    Push,
    /// Question for requests to admit.
    Ask,
    /// Its answer.
    Grant,
    /// Question for a lease.
    LeaseAsk,
    /// Its answer.
    LeaseAnswer,
    /// Call on its way to its home.
    Forward,
    /// Its answer.
    ForwardReply,
    /// Acknowledgement or refusal of a batch.
    Receipt,
    /// What envelopes add to all of these.
    Envelope,
}

impl From<&Message> for Kind {
    fn from(message: &Message) -> Self {
        match message {
            Message::Summary(_) => Self::Summary,
            Message::Pull { .. } => Self::Pull,
            Message::Push(_) => Self::Push,
            Message::Ask { .. } => Self::Ask,
            Message::Grant { .. } => Self::Grant,
            Message::LeaseAsk { .. } => Self::LeaseAsk,
            Message::LeaseAnswer { .. } => Self::LeaseAnswer,
        }
    }
}

/// `Count` is a number of messages and their bytes.
#[derive(Debug, Default)]
pub struct Count {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl Count {
    /// Counts one message.
    pub(super) fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Gets the messages counted.
    pub fn messages(&self) -> u64 {
        self.messages.load(Ordering::Relaxed)
    }

    /// Gets their bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// `Traffic` is the count of each kind.
#[derive(Debug, Default)]
pub struct Traffic([Count; <Kind as strum::EnumCount>::COUNT]);

impl Traffic {
    /// Gets the count of a kind.
    pub fn of(&self, kind: Kind) -> &Count {
        &self.0[kind as usize]
    }

    /// Gets the bytes of all kinds.
    pub fn bytes(&self) -> u64 {
        Kind::iter().map(|kind| self.of(kind).bytes()).sum()
    }
}

/// `Tally` counts by reason. Reasons are names of enum variants, so there are few.
#[derive(Debug, Default)]
struct Tally(Mutex<IndexMap<&'static str, u64>>);

impl Tally {
    fn add(&self, reason: &'static str) {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(reason).or_default() += 1;
    }

    fn all(&self) -> Vec<(&'static str, u64)> {
        let counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        counts.iter().map(|(k, v)| (*k, *v)).collect()
    }
}

/// `Counters` are the counts of one router's peer link. The client and the server share them.
///
/// Bytes are those of the envelopes. HTTP/2, TCP and IP add to them; docs/design/peer-link.md says
/// how much.
#[derive(Debug, Default)]
pub struct Counters {
    /// Messages sent.
    pub sent: Traffic,
    /// Messages received.
    pub received: Traffic,
    /// Messages dropped because a peer's queue was full.
    pub dropped: AtomicU64,
    /// Summaries replaced by newer ones before they left.
    pub replaced: AtomicU64,
    /// Messages dropped because they were over the bound of a payload.
    pub oversized: AtomicU64,
    /// Messages lost with a failed connection; some may have arrived.
    pub lost: AtomicU64,
    /// Connections made.
    pub connects: AtomicU64,
    /// Connections that could not be accepted.
    pub accept_errors: AtomicU64,
    failures: Tally,
    rejected: Tally,
}

impl Counters {
    /// Counts a failure that is reported to the driver.
    pub(super) fn fail(&self, failure: &Failure) {
        self.failures.add(failure.into());
    }

    /// Counts a message that was refused on arrival.
    pub(super) fn reject(&self, error: &toucanturn_wire::Error) {
        self.rejected.add(error.into());
    }

    /// Gets the failures reported to the driver, by reason.
    pub fn failures(&self) -> Vec<(&'static str, u64)> {
        self.failures.all()
    }

    /// Gets the messages refused on arrival, by reason.
    pub fn rejected(&self) -> Vec<(&'static str, u64)> {
        self.rejected.all()
    }
}

/// Adds to a plain counter.
pub(super) fn add(counter: &AtomicU64, by: usize) {
    counter.fetch_add(by as u64, Ordering::Relaxed);
}
