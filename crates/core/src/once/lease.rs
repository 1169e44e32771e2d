//! The home's side of its lease: rounds of requests to the published fleet to confirm it.
//!
//! A lease is held once a majority of the epoch's fleet has confirmed one round. It runs from the
//! time the round was sent, so the time that the answers took is not added to it.
//!
//! Where a majority of an earlier fleet that this incarnation knows may share no member with a
//! majority of the new one, this router neither holds nor confirms a lease under the new epoch
//! until a majority of the earlier fleet has been seen to hold the new epoch or a later one, and
//! the longest lease that it can have confirmed before has expired.

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
        promise_duration, //
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

/// Rounds sent in the time of one lease.
const ROUNDS_PER_LEASE: u64 = 4;

/// Largest fleet of which every member is asked in each round.
const MAX_FLEET_ASKED_WHOLE: usize = 16;

/// In larger fleets, one member is asked beyond a majority for this many members.
const MEMBERS_PER_SPARE_VOTER: usize = 16;

/// Most earlier fleets remembered; when there are more, the oldest is dropped.
const MAX_EARLIER_FLEETS: usize = 8;

/// `Confirmation` is one member's vote for this router's lease.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    incarnation: Incarnation,
    previous: Revision,
}

/// `Round` is one set of requests to confirm the lease, and the confirmations so far.
#[derive(Debug)]
struct Round {
    sent_at: Time,
    lease: Millis,
    confirmations: IndexMap<Member, Confirmation>,
    /// Whether the lease has been started or extended by this round.
    counted: bool,
}

/// `Continuity` says whether another home may have acted since the lease was last held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Continuity {
    /// No other home can have acted since.
    Unbroken,
    /// Another home may have acted since.
    Broken,
}

/// `Lease` is this router's own lease as a home of keys.
#[derive(Debug, Default)]
pub(super) struct Lease {
    fleet: Fleet,
    peers: IndexMap<RouterKey, Member>,
    me: Option<Member>,
    /// Earlier fleets under which a home may still hold a lease.
    earlier: Vec<Fleet>,
    /// Members that have been seen to hold this epoch or a later one.
    moved_on: IndexSet<Member>,
    /// When `moved_on` first included a majority of each earlier fleet whose majorities may not
    /// intersect those of this fleet.
    majorities_moved_at: Option<Time>,
    round_number: u64,
    round: Option<Round>,
    expires_at: Option<Time>,
    /// The fleet under which the lease was last held.
    last_fleet: Fleet,
    /// The incarnations of the members that confirmed that lease.
    known_incarnations: IndexMap<Member, Incarnation>,
    /// Whether the last round was confirmed by a majority.
    last_round_confirmed: bool,
}

impl Lease {
    /// Applies a new configuration. A new epoch ends the lease held under the old one.
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
        if self.earlier.len() > MAX_EARLIER_FLEETS {
            self.earlier.remove(0);
        }
        self.round = None;
        self.expires_at = None;
        self.last_round_confirmed = false;
        self.majorities_moved_at = None;
        self.moved_on.clear();
        if let Some(me) = me {
            self.note_moved_on(now, me);
        }
    }

    /// Tells whether every lease has expired that an earlier fleet may have confirmed with a
    /// majority that shares no member with some majority of this fleet.
    pub(super) fn earlier_leases_expired(&self, now: Now) -> bool {
        let expired = |since: Time| now.mono >= since + promise_duration(MAX_LEASE);
        self.earlier_without_intersection().next().is_none()
            || self.majorities_moved_at.is_some_and(expired)
    }

    /// Lists the earlier fleets whose majorities do not all intersect the majorities of this one.
    fn earlier_without_intersection(&self) -> impl Iterator<Item = &Fleet> {
        let disjoint = |f: &&Fleet| !f.quorums_intersect(&self.fleet);
        self.earlier.iter().filter(disjoint)
    }

    /// Records that a member holds this epoch or a later one.
    fn note_moved_on(&mut self, now: Now, member: Member) {
        self.moved_on.insert(member);
        if self.majorities_moved_at.is_none()
            && self
                .earlier_without_intersection()
                .all(|f| f.has_majority(self.moved_on.iter()))
        {
            self.majorities_moved_at = Some(now.mono);
        }
    }

    pub(super) const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Gets the time at which the lease expires, or `None` if it is not held now.
    pub(super) fn held_until(&self, now: Now) -> Option<Time> {
        self.expires_at.filter(|expires_at| now.mono < *expires_at)
    }

    /// Tells whether the next round is due.
    pub(super) fn round_due(&self, now: Now, config: &Config) -> bool {
        let lease = lease_duration(config);
        let elapsed = |r: &Round| now.mono.since(r.sent_at).0 >= lease.0 / ROUNDS_PER_LEASE;
        self.me.is_some()
            && self.fleet.epoch > Revision(0)
            && self.round.as_ref().is_none_or(elapsed)
    }

    /// Closes the last round. A lease that could not start with [`Continuity::Unbroken`] while the
    /// round was open starts here.
    pub(super) fn close_round(&mut self, now: Now) -> Option<Continuity> {
        let continuity = self.evaluate_round(now, Continuity::Broken);
        self.last_round_confirmed = self.round.as_ref().is_some_and(|r| self.is_confirmed(r));
        continuity
    }

    /// Opens the next round with this router's own vote, and gives the messages to send.
    pub(super) fn open_round(
        &mut self,
        now: Now,
        config: &Config,
        own: Vote,
        incarnation: Incarnation,
    ) -> Vec<(RouterKey, Message)> {
        self.round_number += 1;
        let lease = lease_duration(config);
        let voters_to_ask = self.voters_to_ask();
        let mut round = Round {
            sent_at: now.mono,
            lease,
            confirmations: IndexMap::new(),
            counted: false,
        };
        if let Some(me) = self.me
            && own.confirmed
        {
            let previous = own.previous;
            let confirmation = Confirmation {
                incarnation,
                previous,
            };
            round.confirmations.insert(me, confirmation);
        }
        self.round = Some(round);
        let message = Message::LeaseAsk {
            epoch: self.fleet.epoch,
            round: self.round_number,
            lease,
        };
        let ask = |key| (key, message.clone());
        voters_to_ask.into_iter().map(ask).collect()
    }

    /// Records a member's answer, `answered` being the epoch that the member holds and the number
    /// of the round; gives the continuity if the lease starts anew.
    pub(super) fn record_vote(
        &mut self,
        now: Now,
        from: RouterKey,
        incarnation: Incarnation,
        answered: (Revision, u64),
        vote: Vote,
    ) -> Option<Continuity> {
        let member = *self.peers.get(&from)?;
        let (epoch, round) = answered;
        if epoch >= self.fleet.epoch && !self.moved_on.contains(&member) {
            self.note_moved_on(now, member);
        }
        let current = self.round.as_mut()?;
        if round != self.round_number || !vote.confirmed {
            return None;
        }
        let previous = vote.previous;
        let confirmation = Confirmation {
            incarnation,
            previous,
        };
        current.confirmations.insert(member, confirmation);
        if current.counted {
            // A confirmation that arrives after the lease has expired does not prove that no other
            // home acted before it.
            if self.held_until(now).is_some() {
                self.known_incarnations.insert(member, incarnation);
            }
            return None;
        }
        self.evaluate_round(now, Continuity::Unbroken)
    }

    /// Starts or extends the lease if a majority has confirmed the round; gives the continuity if
    /// the lease starts anew.
    ///
    /// `weakest_allowed` is the weakest continuity with which the lease may start. While the round
    /// is open it is [`Continuity::Unbroken`], as a later answer may still show the continuity; it
    /// is [`Continuity::Broken`] when the round is closed. A first lease starts at once either way.
    pub(super) fn evaluate_round(
        &mut self,
        now: Now,
        weakest_allowed: Continuity,
    ) -> Option<Continuity> {
        let round = self.round.as_ref()?;
        let expires_at = round.sent_at + round.lease;
        if now.mono >= expires_at || !self.is_confirmed(round) || !self.earlier_leases_expired(now)
        {
            return None;
        }
        if self.held_until(now).is_some() {
            self.expires_at = self.expires_at.max(Some(expires_at));
            self.count_round();
            return None;
        }
        let continuity = if self.is_unbroken(round) {
            Continuity::Unbroken
        } else {
            Continuity::Broken
        };
        let never_held = self.last_fleet.epoch == Revision(0);
        if continuity == Continuity::Broken
            && weakest_allowed == Continuity::Unbroken
            && !never_held
        {
            return None;
        }
        self.expires_at = Some(expires_at);
        self.last_fleet = self.fleet.clone();
        self.earlier.clear();
        self.known_incarnations.clear();
        self.count_round();
        Some(continuity)
    }

    /// Marks the round as counted and records the incarnations that confirmed it, which the
    /// confirmations of a later lease must match.
    fn count_round(&mut self) {
        let Some(round) = &mut self.round else { return };
        round.counted = true;
        let incarnations = round.confirmations.iter().map(|(m, c)| (*m, c.incarnation));
        self.known_incarnations.extend(incarnations);
    }

    fn is_confirmed(&self, round: &Round) -> bool {
        let confirmations = &round.confirmations;
        confirmations.len() >= self.fleet.quorum() && self.fleet.has_majority(confirmations.keys())
    }

    /// Tells whether the round proves that no other home acted since the lease was last held: a
    /// majority of both fleets confirmed that lease and this round in the same incarnation, and
    /// confirmed no other epoch in between.
    fn is_unbroken(&self, round: &Round) -> bool {
        let epoch_changed = self.fleet.epoch != self.last_fleet.epoch;
        let attests = |member: &Member, confirmation: &Confirmation| {
            self.known_incarnations.get(member) == Some(&confirmation.incarnation)
                && (!epoch_changed || confirmation.previous == self.last_fleet.epoch)
        };
        let witnesses = || {
            let attesting = round.confirmations.iter().filter(|(m, c)| attests(m, c));
            attesting.map(|(member, _)| member)
        };
        self.fleet.has_majority(witnesses()) && self.last_fleet.has_majority(witnesses())
    }

    /// Chooses the members to ask: all of a small fleet, or of any fleet after a round without a
    /// majority; otherwise a few more than a majority.
    ///
    /// Members that confirmed the last round come first. Among them the order starts after this
    /// router's own position in the list, so that the homes spread their requests over all members.
    fn voters_to_ask(&self) -> Vec<RouterKey> {
        let count = self.peers.len();
        let own_position = self.peers.values().position(|m| Some(*m) == self.me);
        let own_position = own_position.unwrap_or(0);
        let ring = self.peers.iter().cycle().skip(own_position + 1);
        let mut ring: Vec<_> = ring.take(count.saturating_sub(1)).collect();
        let confirmed =
            |m: &Member| matches!(&self.round, Some(r) if r.confirmations.contains_key(m));
        ring.sort_by_key(|(_, member)| !confirmed(member));
        if count > MAX_FLEET_ASKED_WHOLE && self.last_round_confirmed {
            ring.truncate(self.fleet.quorum() + count / MEMBERS_PER_SPARE_VOTER);
        }
        ring.into_iter().map(|(key, _)| *key).collect()
    }
}

/// Gets the duration of the lease to ask for.
fn lease_duration(config: &Config) -> Millis {
    config.policy.lease.min(MAX_LEASE)
}
