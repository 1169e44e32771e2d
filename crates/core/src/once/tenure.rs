//! Since when this life alone answers for a key.
//!
//! A key that was made before that time may have run at an earlier home, which this one cannot
//! ask; a key made after it cannot have.

use std::collections::VecDeque;

use super::fleet::Fleet;
use crate::{
    ids::Tag,
    units::{
        Millis,
        Now,
        Wall, //
    },
};

/// Epochs in a row over which a tenure is followed back; an older start is dated later than it
/// was, which refuses more and runs nothing twice.
const MAX_TERMS: usize = 8;

/// Error of the three readings of whole milliseconds that date a tenure.
const GRAIN: Millis = Millis(3);

#[derive(Debug)]
struct Term {
    fleet: Fleet,
    since: Now,
}

/// `Tenure` is the terms, newest last, between which nobody else can have acted.
#[derive(Debug, Default)]
pub(super) struct Tenure {
    terms: VecDeque<Term>,
}

impl Tenure {
    /// Notes that the lease is held under `fleet` from now on, with no other home between this
    /// hold and the last.
    pub(super) fn link(&mut self, now: Now, fleet: &Fleet) {
        if self
            .terms
            .back()
            .is_some_and(|t| t.fleet.epoch == fleet.epoch)
        {
            return;
        }
        let fleet = fleet.clone();
        self.terms.push_back(Term { fleet, since: now });
        if self.terms.len() > MAX_TERMS {
            self.terms.pop_front();
        }
    }

    /// Notes that the lease is held from now on, with who knows what before.
    pub(super) fn restart(&mut self, now: Now, fleet: &Fleet) {
        self.terms.clear();
        self.link(now, fleet);
    }

    /// Gets the start of the newest term, before which some of the items may have been another's.
    pub(super) fn newest(&self) -> Option<Now> {
        self.terms.back().map(|term| term.since)
    }

    /// Gets the time since when `me` alone answers for `item`; `None` if it doesn't.
    pub(super) fn since(&self, me: Tag, item: u64) -> Option<Now> {
        let mine = |t: &&Term| t.fleet.home(item) == Some(me);
        let first = self.terms.iter().rev().take_while(mine).last()?;
        Some(first.since)
    }
}

/// Gets the wall-clock time of `since`. A wall clock that was stepped between then and now gives
/// two answers, and the later one is taken: it is safe as long as one of the two readings was
/// right, where a start dated too early would let a key run that an earlier home ran.
pub(super) fn dated(now: Now, since: Now) -> Wall {
    let span = now.mono.since(since.mono);
    let back = Wall(now.wall.0.saturating_sub(span.0));
    since.wall.max(back) + GRAIN
}
