//! Records since when this incarnation has been the only home of a key.
//!
//! A key created before that time may have run at an earlier home, which this router cannot ask;
//! a key created after it cannot have run elsewhere.

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

/// Most consecutive terms kept. When older ones are dropped, the start of a tenure is taken to be
/// later than it was: more keys are refused, but none runs twice.
const MAX_TERMS: usize = 8;

/// Error of the wall-clock start of a tenure, which rests on three clock readings in whole
/// milliseconds.
pub(super) const DATING_ERROR: Millis = Millis(3);

/// `Term` is one epoch under which the lease was held, and the start of that hold.
#[derive(Debug)]
struct Term {
    fleet: Fleet,
    since: Now,
}

/// `Tenure` is the sequence of terms, newest last, between which no other home can have acted.
#[derive(Debug, Default)]
pub(super) struct Tenure {
    terms: VecDeque<Term>,
}

impl Tenure {
    /// Records that the lease is held under `fleet` from now on, and that no other home can have
    /// acted since the previous term.
    pub(super) fn extend(&mut self, now: Now, fleet: &Fleet) {
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

    /// Records that the lease is held under `fleet` from now on, and that another home may have
    /// acted before.
    pub(super) fn restart(&mut self, now: Now, fleet: &Fleet) {
        self.terms.clear();
        self.extend(now, fleet);
    }

    /// Gets the start of the newest term. Before it, another router may have been the home of some
    /// items.
    pub(super) fn newest_term_start(&self) -> Option<Now> {
        self.terms.back().map(|term| term.since)
    }

    /// Gets the time since which `me` has been the only home of `item`; `None` if it is not its
    /// home.
    pub(super) fn sole_home_since(&self, me: Tag, item: u64) -> Option<Now> {
        let mine = |t: &&Term| t.fleet.home(item) == Some(me);
        let first = self.terms.iter().rev().take_while(mine).last()?;
        Some(first.since)
    }
}

/// Gets the wall-clock time of `since`: the later of the reading taken then and the present reading
/// less the monotonic time passed. The two differ if the wall clock was stepped in between; the
/// later is safe as long as one of the readings was right, whereas a start that is dated too early
/// would let a key run again that an earlier home ran.
pub(super) fn latest_wall_time(now: Now, since: Now) -> Wall {
    let span = now.mono.since(since.mono);
    let back = Wall(now.wall.0.saturating_sub(span.0));
    since.wall.max(back) + DATING_ERROR
}
