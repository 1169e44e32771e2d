//! The voter's side of a lease: the promises that this router has made to homes.
//!
//! A voter that confirms a lease under an epoch promises to confirm no other epoch to any router,
//! and no other incarnation of that home, for the length of the lease plus an allowance for clock
//! drift. Two homes that act under two epochs at the same time would need a voter in both quorums
//! that broke this promise.

use indexmap::{
    IndexMap,
    IndexSet, //
};

use super::Member;
use crate::units::{
    Incarnation,
    Millis,
    Now,
    Revision,
    Time, //
};

/// Longest lease that a voter confirms. A restarted voter has lost its promises, so it confirms
/// nothing until a promise for a lease of this length would have expired.
pub const MAX_LEASE: Millis = Millis::from_secs(10);

/// Largest difference in rate between two monotonic clocks, in thousandths.
const CLOCK_DRIFT_PER_MILLE: u64 = 10;

/// Error allowed for clocks that are read in whole milliseconds.
const CLOCK_READING_ERROR: Millis = Millis(2);

/// `Candidate` is a home that asks voters to confirm its lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) member: Member,
    pub(super) incarnation: Incarnation,
}

/// `Vote` is a voter's answer to a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vote {
    /// Whether the voter confirms the lease.
    pub confirmed: bool,
    /// Epoch that the voter's current incarnation confirmed to any router before its present one;
    /// zero for none.
    pub previous: Revision,
}

/// `Promise` is the epoch that this voter confirms to all candidates until a given time.
#[derive(Clone, Copy, Debug)]
struct Promise {
    epoch: Revision,
    until: Time,
}

/// `CandidateState` is the latest known incarnation of a candidate and what was promised to it.
#[derive(Clone, Copy, Debug)]
struct CandidateState {
    incarnation: Incarnation,
    /// End of the promises to earlier incarnations.
    previous_promise_until: Time,
    /// End of the promise to this incarnation.
    until: Time,
}

/// `Voter` holds the promises made by this router's current incarnation.
#[derive(Debug)]
pub(super) struct Voter {
    started_at: Time,
    promise: Option<Promise>,
    /// Epoch that was promised before the present one; zero for none.
    previous_epoch: Revision,
    candidates: IndexMap<Member, CandidateState>,
}

/// Gets the time for which a voter keeps its promise after it confirmed a lease of this length:
/// longer than the lease by the clock drift and the error of clock readings.
pub fn promise_duration(lease: Millis) -> Millis {
    Millis(lease.0 + (lease.0 * CLOCK_DRIFT_PER_MILLE).div_ceil(1000) + CLOCK_READING_ERROR.0)
}

impl Voter {
    pub(super) fn new(started_at: Time) -> Self {
        Self {
            started_at,
            promise: None,
            previous_epoch: Revision(0),
            candidates: IndexMap::new(),
        }
    }

    /// Removes homes that left the fleet and whose promises have expired.
    pub(super) fn prune(&mut self, now: Now, members: &IndexSet<Member>) {
        let in_force = |state: &CandidateState| {
            now.mono < state.until || now.mono < state.previous_promise_until
        };
        self.candidates
            .retain(|member, state| members.contains(member) || in_force(state));
    }

    /// Votes on the lease of another router whose epoch equals this router's own.
    pub(super) fn confirm(
        &mut self,
        now: Now,
        candidate: Candidate,
        epoch: Revision,
        lease: Millis,
    ) -> Vote {
        let confirmed =
            self.accepts_incarnation(now, candidate) && self.promise_epoch(now, epoch, lease);
        if confirmed && let Some(state) = self.candidates.get_mut(&candidate.member) {
            state.until = state.until.max(now.mono + promise_duration(lease));
        }
        self.vote(confirmed)
    }

    /// Votes on this router's own lease.
    pub(super) fn confirm_self(&mut self, now: Now, epoch: Revision, lease: Millis) -> Vote {
        let confirmed = self.promise_epoch(now, epoch, lease);
        self.vote(confirmed)
    }

    const fn vote(&self, confirmed: bool) -> Vote {
        Vote {
            confirmed,
            previous: self.previous_epoch,
        }
    }

    /// Records the candidate's incarnation if it is the latest so far, and tells whether its lease
    /// may be confirmed: it is the latest, and the promises to earlier ones have expired. From the
    /// first question of a later incarnation on, earlier ones are never confirmed again; otherwise
    /// a paused process could resume beside its successor.
    fn accepts_incarnation(&mut self, now: Now, candidate: Candidate) -> bool {
        let new_state = CandidateState {
            incarnation: candidate.incarnation,
            previous_promise_until: Time(0),
            until: Time(0),
        };
        let state = self.candidates.entry(candidate.member).or_insert(new_state);
        if candidate.incarnation > state.incarnation {
            *state = CandidateState {
                previous_promise_until: state.until.max(state.previous_promise_until),
                ..new_state
            };
        }
        candidate.incarnation == state.incarnation && now.mono >= state.previous_promise_until
    }

    /// Promises to confirm only this epoch while a lease of this length may run; `false` if another
    /// epoch is still promised or this process has not run long enough since its start.
    fn promise_epoch(&mut self, now: Now, epoch: Revision, lease: Millis) -> bool {
        let just_started = now.mono < self.started_at + promise_duration(MAX_LEASE);
        if just_started || epoch == Revision(0) || lease > MAX_LEASE {
            return false;
        }
        let until = now.mono + promise_duration(lease);
        match &mut self.promise {
            Some(promise) if promise.epoch == epoch => promise.until = promise.until.max(until),
            Some(promise) if now.mono < promise.until => return false,
            promise => {
                self.previous_epoch = promise.map_or(Revision(0), |p| p.epoch);
                *promise = Some(Promise { epoch, until });
            }
        }
        true
    }
}
