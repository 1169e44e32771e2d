//! Replay protection: which sequence numbers of which senders came before.
//!
//! Each sender numbers its messages. The receiver keeps, per sender, the highest number and a
//! bitmap of those just below it (RFC 4303, section 3.4.3, in the form of RFC 6479, which never
//! shifts). A number that came before or lies below the bitmap is refused, and so is a former
//! incarnation of the sender. What was recorded before the receiver itself started is refused by
//! the incarnation that the envelope names, for which no memory is needed.

use indexmap::{
    IndexMap,
    map::Entry, //
};
use toucanturn_core::{
    ids::Tag,
    units::Incarnation, //
};

use crate::{
    envelope::Header,
    errors::{
        FormerLifeSnafu,
        ReplayedSnafu,
        Result,
        TooManySendersSnafu,
        TooOldSnafu, //
    },
    limits::MAX_SENDERS, //
};

/// Numbers that a block of the bitmap holds.
const BLOCK: u64 = u64::BITS as u64;

/// Blocks of the bitmap; one is partly above the highest number.
const BLOCKS: usize = 17;

/// Numbers below the highest that are still told apart. It is wider than the calls and batches
/// that one link has under way at once, so that a slow one is not refused as too old.
pub const WIDTH: u64 = BLOCK * (BLOCKS as u64 - 1);

/// `Order` says which numbers a kind of message may come with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Any that did not come before.
    Any,
    /// Greater than any other of this order.
    Ascending,
}

/// `Window` is the memory of one incarnation of one sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    incarnation: Incarnation,
    highest: u64,
    highest_ascending: u64,
    seen: [u64; BLOCKS],
}

impl Window {
    /// Makes the window of an incarnation that was not heard before.
    pub const fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            highest: 0,
            highest_ascending: 0,
            seen: [0; BLOCKS],
        }
    }

    /// Takes a number in.
    ///
    /// # Errors
    ///
    /// Refuses a number that came before, breaks the order or is below the window; zero always is.
    pub fn accept(&mut self, sequence: u64, order: Order) -> Result<()> {
        let below = match order {
            Order::Any => self.highest.saturating_sub(WIDTH),
            Order::Ascending => self
                .highest
                .saturating_sub(WIDTH)
                .max(self.highest_ascending),
        };
        if sequence <= below {
            return TooOldSnafu { sequence, below }.fail();
        }
        self.advance(sequence);
        let bit = 1 << (sequence % BLOCK);
        let block = &mut self.seen[slot(sequence / BLOCK)];
        if *block & bit != 0 {
            return ReplayedSnafu { sequence }.fail();
        }
        *block |= bit;
        if order == Order::Ascending {
            self.highest_ascending = sequence;
        }
        Ok(())
    }

    /// Moves the top of the window up to `sequence`, and clears the blocks that it comes over.
    fn advance(&mut self, sequence: u64) {
        if sequence <= self.highest {
            return;
        }
        let old = self.highest / BLOCK;
        let new = sequence / BLOCK;
        let fresh = (new - old).min(BLOCKS as u64);
        for block in (0..fresh).map(|back| new - back) {
            self.seen[slot(block)] = 0;
        }
        self.highest = sequence;
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "the remainder is below BLOCKS"
)]
const fn slot(block: u64) -> usize {
    (block % BLOCKS as u64) as usize
}

/// `Senders` is the memory of all senders.
#[derive(Debug, Default)]
pub struct Senders(IndexMap<Tag, Window>);

impl Senders {
    /// Takes an authentic header in. `known` tells whether a tag is of the fleet; it is asked only
    /// when the memory is full, to forget the senders that left the fleet.
    ///
    /// # Errors
    ///
    /// Refuses a replay, a former incarnation, and a new sender over [`MAX_SENDERS`].
    pub fn accept(
        &mut self,
        header: &Header,
        order: Order,
        known: impl Fn(Tag) -> bool,
    ) -> Result<()> {
        if self.0.len() >= MAX_SENDERS && !self.0.contains_key(&header.from) {
            self.0.retain(|tag, _| known(*tag));
            if self.0.len() >= MAX_SENDERS {
                return TooManySendersSnafu.fail();
            }
        }
        let fresh = Window::new(header.incarnation);
        let window = match self.0.entry(header.from) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => entry.insert(fresh),
        };
        if header.incarnation < window.incarnation {
            return FormerLifeSnafu {
                found: header.incarnation,
                expected: window.incarnation,
            }
            .fail();
        }
        if header.incarnation > window.incarnation {
            *window = fresh;
        }
        window.accept(header.sequence, order)
    }

    /// Gets the number of senders remembered.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Tells whether no sender was heard.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
