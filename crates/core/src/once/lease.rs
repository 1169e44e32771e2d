//! The home's side of its lease: rounds of questions to the published fleet.
//!
//! The lease runs from the time a round was sent, so whatever the answers took is already off it.
//! It is held while a majority of the epoch's fleet confirmed one round. Where an earlier fleet that
//! this life knows may have a majority apart from the new one's, nothing is held or confirmed under
//! the new epoch until a majority of the earlier fleet was seen to have moved on, and the longest
//! lease that it can have confirmed before is over.

use indexmap::{
    IndexMap,
    IndexSet, //
};

use super::{
    fleet::{
        self,
        Fleet,
        Member, //
    },
    vote::{
        MAX_LEASE,
        Vote,
        kept, //
    },
};
use crate::{
    arena::RouterKey,
    config::Config,
    peer::Message,
    units::{
        Incarnation,
        Millis,
        Now,
        Revision,
        Time, //
    },
};

/// Rounds in one length of the lease.
const ROUNDS: u64 = 4;

/// Largest fleet whose members are all asked in each round.
const ASK_ALL: usize = 16;

/// Members asked above a majority in larger fleets: one for this many.
const SPARE: usize = 16;

/// Earlier fleets kept in mind; of more, the oldest is dropped.
const MAX_FLEETS: usize = 8;

/// `Ballot` is one member's confirmation.
#[derive(Clone, Copy, Debug)]
struct Ballot {
    incarnation: Incarnation,
    previous: Revision,
}

#[derive(Debug)]
struct Round {
    asked: Time,
    lease: Millis,
    ballots: IndexMap<Member, Ballot>,
    /// Whether the lease counts it already.
    counted: bool,
}

/// `Start` says what a new hold of the lease means for the memory of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Start {
    /// Nobody else can have acted since the last hold.
    Linked,
    /// Somebody else may have acted since.
    Fresh,
}

/// `Lease` is this router's lease as a home.
#[derive(Debug, Default)]
pub(super) struct Lease {
    fleet: Fleet,
    peers: IndexMap<RouterKey, Member>,
    me: Option<Member>,
    /// Earlier fleets that may still be acted under.
    earlier: Vec<Fleet>,
    /// Members seen to hold this epoch or a later one.
    moved: IndexSet<Member>,
    /// When they first were a majority of every earlier fleet that needs one.
    settled: Option<Time>,
    number: u64,
    round: Option<Round>,
    until: Option<Time>,
    /// The fleet under which the lease was last held, and the lives that confirmed it then.
    last: Fleet,
    known: IndexMap<Member, Incarnation>,
    /// Whether the last round got its majorities.
    confirmed: bool,
}

impl Lease {
    /// Follows a new fleet list; the lease of the old one is over.
    pub(super) fn apply(&mut self, now: Now, config: &Config, me: Option<Member>) {
        self.me = me;
        self.peers = fleet::members(config).collect();
        if config.epoch == self.fleet.epoch {
            return;
        }
        let old = std::mem::replace(&mut self.fleet, Fleet::of(config));
        if old.epoch > Revision(0) {
            self.earlier.push(old);
        }
        if self.earlier.len() > MAX_FLEETS {
            self.earlier.remove(0);
        }
        self.round = None;
        self.until = None;
        self.confirmed = false;
        self.settled = None;
        self.moved.clear();
        if let Some(me) = me {
            self.moved(now, me);
        }
    }

    /// Tells whether no majority of an earlier fleet can be at work beside one of this fleet.
    pub(super) fn settled(&self, now: Now) -> bool {
        let since = |since: Time| now.mono >= since + kept(MAX_LEASE);
        self.apart().next().is_none() || self.settled.is_some_and(since)
    }

    fn apart(&self) -> impl Iterator<Item = &Fleet> {
        let apart = |f: &&Fleet| !f.overlaps(&self.fleet);
        self.earlier.iter().filter(apart)
    }

    fn moved(&mut self, now: Now, member: Member) {
        self.moved.insert(member);
        if self.settled.is_none() && self.apart().all(|f| f.won(self.moved.iter())) {
            self.settled = Some(now.mono);
        }
    }

    pub(super) const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Gets the end of the lease if it is held now.
    pub(super) fn held(&self, now: Now) -> Option<Time> {
        self.until.filter(|until| now.mono < *until)
    }

    /// Tells whether it is time for the next round.
    pub(super) fn due(&self, now: Now, config: &Config) -> bool {
        let lease = length(config);
        let due = |r: &Round| now.mono.since(r.asked).0 >= lease.0 / ROUNDS;
        self.me.is_some() && self.fleet.epoch > Revision(0) && self.round.as_ref().is_none_or(due)
    }

    /// Closes the last round; a hold that waited for more answers starts here.
    pub(super) fn close(&mut self, now: Now) -> Option<Start> {
        let start = self.settle(now, Start::Fresh);
        self.confirmed = self.round.as_ref().is_some_and(|r| self.won(r));
        start
    }

    /// Opens the next round with this router's own vote.
    pub(super) fn open(
        &mut self,
        now: Now,
        config: &Config,
        own: Vote,
        incarnation: Incarnation,
    ) -> Vec<(RouterKey, Message)> {
        self.number += 1;
        let lease = length(config);
        let targets = self.targets();
        let mut round = Round {
            asked: now.mono,
            lease,
            ballots: IndexMap::new(),
            counted: false,
        };
        if let Some(me) = self.me
            && own.confirmed
        {
            let previous = own.previous;
            let ballot = Ballot {
                incarnation,
                previous,
            };
            round.ballots.insert(me, ballot);
        }
        self.round = Some(round);
        let message = Message::LeaseAsk {
            epoch: self.fleet.epoch,
            round: self.number,
            lease,
        };
        let ask = |key| (key, message.clone());
        targets.into_iter().map(ask).collect()
    }

    /// Takes a member's answer; gives how a new hold starts, if one does.
    pub(super) fn voted(
        &mut self,
        now: Now,
        from: RouterKey,
        incarnation: Incarnation,
        number: (Revision, u64),
        vote: Vote,
    ) -> Option<Start> {
        let member = *self.peers.get(&from)?;
        let (epoch, round) = number;
        if epoch >= self.fleet.epoch && !self.moved.contains(&member) {
            self.moved(now, member);
        }
        let open = self.round.as_mut()?;
        if round != self.number || !vote.confirmed {
            return None;
        }
        let previous = vote.previous;
        let ballot = Ballot {
            incarnation,
            previous,
        };
        open.ballots.insert(member, ballot);
        if open.counted {
            // An answer that comes after the lease proves nothing of the time before.
            if self.held(now).is_some() {
                self.known.insert(member, incarnation);
            }
            return None;
        }
        self.settle(now, Start::Linked)
    }

    /// Takes note of a round that has its majorities. A hold that would have to start afresh waits
    /// for the round's end (`at_most` is then [`Start::Fresh`]): a later answer may still link it.
    pub(super) fn settle(&mut self, now: Now, at_most: Start) -> Option<Start> {
        let round = self.round.as_ref()?;
        let until = round.asked + round.lease;
        if now.mono >= until || !self.won(round) || !self.settled(now) {
            return None;
        }
        if self.held(now).is_some() {
            self.until = self.until.max(Some(until));
            self.count();
            return None;
        }
        let start = if self.linked(round) {
            Start::Linked
        } else {
            Start::Fresh
        };
        let never = self.last.epoch == Revision(0);
        if start == Start::Fresh && at_most == Start::Linked && !never {
            return None;
        }
        self.until = Some(until);
        self.last = self.fleet.clone();
        self.earlier.clear();
        self.known.clear();
        self.count();
        Some(start)
    }

    /// Counts the round, and the lives that confirmed it among those that later ones must match.
    fn count(&mut self) {
        let Some(round) = &mut self.round else { return };
        round.counted = true;
        let lives = round.ballots.iter().map(|(m, b)| (*m, b.incarnation));
        self.known.extend(lives);
    }

    fn won(&self, round: &Round) -> bool {
        let ballots = &round.ballots;
        ballots.len() >= self.fleet.quorum() && self.fleet.won(ballots.keys())
    }

    /// Tells whether the voters show that nobody else acted since the last hold: a majority of
    /// them confirmed that hold and this one in one life, and no other epoch in between.
    fn linked(&self, round: &Round) -> bool {
        let moved = self.fleet.epoch != self.last.epoch;
        let stayed = |member: &Member, ballot: &Ballot| {
            self.known.get(member) == Some(&ballot.incarnation)
                && (!moved || ballot.previous == self.last.epoch)
        };
        let witnesses = || {
            let hit = round.ballots.iter().filter(|(m, b)| stayed(m, b));
            hit.map(|(member, _)| member)
        };
        self.fleet.won(witnesses()) && self.last.won(witnesses())
    }

    /// Chooses whom to ask: all of a small fleet, of a large one a few more than a majority, those
    /// that answered last time first, from this router's place in the list on so that every member
    /// is asked by as many homes. After a round without a majority: all.
    fn targets(&self) -> Vec<RouterKey> {
        let count = self.peers.len();
        let place = self.peers.values().position(|m| Some(*m) == self.me);
        let place = place.unwrap_or(0);
        let ring = self.peers.iter().cycle().skip(place + 1);
        let mut ring: Vec<_> = ring.take(count.saturating_sub(1)).collect();
        let answered = |m: &Member| matches!(&self.round, Some(r) if r.ballots.contains_key(m));
        ring.sort_by_key(|(_, member)| !answered(member));
        if count > ASK_ALL && self.confirmed {
            ring.truncate(self.fleet.quorum() + count / SPARE);
        }
        ring.into_iter().map(|(key, _)| *key).collect()
    }
}

fn length(config: &Config) -> Millis {
    config.policy.lease.min(MAX_LEASE)
}
