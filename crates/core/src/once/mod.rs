//! Calls that run at most once: the keys that a home remembers and the lease under which it acts.
//!
//! A caller's `Idempotency-Key` has one home: the router with the highest rendezvous score in the
//! published fleet of one epoch. Only the home forwards the call to an endpoint, and only
//!
//! - while it holds a lease of that epoch ([`lease`]) that a majority of the fleet has confirmed
//!   ([`vote`]), so that no home of another epoch acts at the same time;
//! - if the key is in its table ([`memory`]) or was created after this router became the only
//!   home of the key ([`tenure`]), so that no earlier home can have run it.
//!
//! Any other call is refused with [`Outcome::Unknown`]. [`Outcome::NotRun`] is reported only where
//! the home knows that the key never ran. docs/design/at-most-once.md gives the argument.

use crate::{
    arena::RouterKey,
    config::Config,
    peer::Message,
    request::{
        Answer,
        Call,
        Code,
        Key,
        Outcome,
        Refusal, //
    },
    units::{
        Incarnation,
        Millis,
        Now,
        Revision,
        Time, //
    },
};

mod fleet;
mod lease;
mod memory;
mod tenure;
mod vote;

use lease::{
    Continuity,
    Lease, //
};
use memory::{
    KeyTable,
    Progress, //
};
use tenure::Tenure;
use vote::{
    Candidate,
    Voter, //
};

pub use fleet::{
    Fleet,
    Member, //
};
pub use memory::{
    KeyCompletion,
    MAX_KEYS,
    MAX_STORED_ANSWER_BYTES,
    MAX_TOTAL_ANSWER_BYTES,
    MAX_WAITERS_PER_KEY, //
};
pub use vote::{
    MAX_LEASE,
    Vote,
    promise_duration, //
};

/// Time between two removals of expired keys.
const KEY_EXPIRY_INTERVAL: Millis = Millis::from_secs(10);

/// Longest time after which a caller whose key is dated in the future is told to retry. A caller
/// whose key is dated further ahead is given no time.
const MAX_FUTURE_RETRY_AFTER: Millis = Millis::from_secs(60);

/// `KeyDecision` is the home's decision on a call with a key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyDecision {
    /// Run the call; it has not run before.
    Run,
    /// Wait for the answer to the first request; [`Home::end`] returns the call among the waiters.
    Wait,
    /// Return the stored answer to the first request.
    Replay(Answer),
    /// Refuse the call.
    Refuse(Refusal),
}

/// `LeaseChange` says that the lease was gained or lost, or is held under another epoch, for the
/// decision log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseChange {
    /// Epoch of the fleet.
    pub epoch: Revision,
    /// Whether the lease is held now.
    pub held: bool,
}

/// `Home` is this router's role as a home of keys, and as a voter on the leases of other homes.
#[derive(Debug)]
pub struct Home {
    me: Option<Member>,
    incarnation: Incarnation,
    voter: Voter,
    lease: Lease,
    tenure: Tenure,
    keys: KeyTable,
    last_expiry: Time,
    last_reported: LeaseChange,
}

impl Home {
    /// Makes the state of a process that starts now. It holds no lease and remembers no key.
    pub fn new(now: Now, incarnation: Incarnation) -> Self {
        Self {
            me: None,
            incarnation,
            voter: Voter::new(now.mono),
            lease: Lease::default(),
            tenure: Tenure::default(),
            keys: KeyTable::default(),
            last_expiry: now.mono,
            last_reported: LeaseChange {
                epoch: Revision(0),
                held: false,
            },
        }
    }

    /// Applies a new configuration. `me` is this router, `None` while it is not in the fleet list.
    pub fn apply(&mut self, now: Now, config: &Config, me: Option<RouterKey>) {
        self.me = me.and_then(|key| fleet::member(config, key));
        self.lease.apply(now, config, self.me);
        self.voter.prune(now, &self.lease.fleet().members);
    }

    /// Decides whether a call may run at this router now.
    pub fn begin(
        &mut self,
        now: Now,
        config: &Config,
        call: Call,
        key: Key,
        content: u64,
    ) -> KeyDecision {
        let Some(record) = self.keys.get(key) else {
            if let Err(refusal) = self.admit(now, config, key) {
                return KeyDecision::Refuse(refusal);
            }
            self.keys.start(now.mono, key, content);
            return KeyDecision::Run;
        };
        if record.content != content {
            // The request with the first content may have run, and at most one may run for a key.
            return KeyDecision::Refuse(Refusal::unknown(Code::KeyReused, None));
        }
        match &record.progress {
            Progress::Done(answer) => KeyDecision::Replay(answer.clone()),
            Progress::DoneWithoutAnswer => KeyDecision::Refuse(Refusal {
                code: Code::AnswerGone,
                outcome: Outcome::Done,
                retry_after: None,
            }),
            Progress::Unknown => KeyDecision::Refuse(Refusal::unknown(Code::EndpointFailed, None)),
            Progress::Running { .. } => self.wait(config, call, key),
        }
    }

    fn wait(&mut self, config: &Config, call: Call, key: Key) -> KeyDecision {
        if self.keys.wait(key, call) {
            return KeyDecision::Wait;
        }
        let after = Some(config.policy.lease);
        KeyDecision::Refuse(Refusal::unknown(Code::KeyInProgress, after))
    }

    /// Tells whether the key is known never to have run: this router is its home under a valid
    /// lease and tenure, and remembers no request with it.
    pub fn proves_not_run(&self, now: Now, config: &Config, key: Key) -> bool {
        let never_ran = match self.admit(now, config, key) {
            Ok(()) => true,
            Err(refusal) => refusal.outcome == Outcome::NotRun,
        };
        never_ran && self.keys.get(key).is_none()
    }

    /// Tells whether every key created now is dated after the newest change of homes.
    ///
    /// For a while after such a change, keys whose home was this router before are run and keys
    /// that had another home are refused, so whether one key is accepted says nothing about the
    /// others.
    pub fn accepts_new_keys(&self, now: Now, config: &Config) -> bool {
        let skew = config.policy.clock_skew;
        // A later reading may date the same start later by the error of its clocks.
        let settled = skew + skew + tenure::DATING_ERROR;
        let term_passed = |since| now.wall >= tenure::latest_wall_time(now, since) + settled;
        self.tenure.newest_term_start().is_some_and(term_passed)
    }

    /// Tells whether this router remembers a request with the key.
    pub fn remembers(&self, key: Key) -> bool {
        self.keys.get(key).is_some()
    }

    /// Decides whether a key that is not remembered may run.
    ///
    /// # Errors
    ///
    /// The refusal to answer with if it may not.
    fn admit(&self, now: Now, config: &Config, key: Key) -> Result<(), Refusal> {
        let policy = &config.policy;
        let (created, skew) = (key.created(), policy.clock_skew);
        if self.lease.held_until(now).is_none() {
            let after = Some(policy.lease);
            return Err(Refusal::unknown(Code::HomeUnavailable, after));
        }
        let Some(since) = self.sole_home_since(key) else {
            let after = Some(policy.lease);
            return Err(Refusal::unknown(Code::HomeUnavailable, after));
        };
        // Every home refuses keys dated more than `skew` ahead of its clock, and the clock of an
        // earlier home was at most `skew` ahead of this one's. So every key that it ran is dated
        // before the end of its tenure plus twice `skew`, whatever the callers' clocks showed.
        let foreign = created < tenure::latest_wall_time(now, since) + skew + skew;
        let old = created + policy.key_ttl < now.wall;
        if foreign || old || self.keys.may_have_forgotten(key) {
            return Err(Refusal::unknown(Code::KeyExpired, None));
        }
        if created > now.wall + skew {
            let wait = Millis(created.0 - (now.wall + skew).0);
            let after = Some(wait).filter(|w| *w <= MAX_FUTURE_RETRY_AFTER);
            return Err(Refusal::not_run(Code::KeyFuture, after));
        }
        if self.keys.is_full() {
            return Err(Refusal::not_run(Code::KeysFull, Some(KEY_EXPIRY_INTERVAL)));
        }
        Ok(())
    }

    /// Gets the end of the lease if a call that [`Home::begin`] admitted may still be sent now. It
    /// is asked for before each attempt, and the driver sends nothing from that time on.
    ///
    /// The process may have been paused since the call was admitted, and another home may have run
    /// the key in the meantime. A lease that is held again does not rule that out, so the tenure
    /// must also have started before the call.
    pub fn send_deadline(&self, now: Now, key: Key) -> Option<Time> {
        let until = self.lease.held_until(now)?;
        let record = self.keys.get(key)?;
        let running = matches!(record.progress, Progress::Running { .. });
        let since = self.sole_home_since(key)?;
        (running && since.mono <= record.started_at).then_some(until)
    }

    /// Records that an attempt may have reached an endpoint that checks keys, and that another
    /// attempt follows.
    pub fn mark_may_have_run(&mut self, key: Key) {
        self.keys.mark_may_have_run(key);
    }

    /// Records the end of a call that was run; gives the outcome to report and the calls that
    /// waited for it.
    pub fn end(&mut self, key: Key, outcome: Outcome, answer: Option<Answer>) -> KeyCompletion {
        self.keys.end(key, outcome, answer)
    }

    /// Removes a repeated request from those that wait for the first answer.
    pub fn stop_waiting(&mut self, key: Key, call: Call) {
        self.keys.stop_waiting(key, call);
    }

    /// Answers a fleet member that asks this router to confirm a lease. `asked` is the member's
    /// epoch and the duration of the lease.
    pub fn vote(
        &mut self,
        now: Now,
        config: &Config,
        from: RouterKey,
        incarnation: Incarnation,
        asked: (Revision, Millis),
    ) -> Vote {
        let (epoch, lease) = asked;
        match fleet::member(config, from) {
            Some(member) if epoch == config.epoch && self.lease.earlier_leases_expired(now) => {
                let candidate = Candidate {
                    member,
                    incarnation,
                };
                self.voter.confirm(now, candidate, epoch, lease)
            }
            _ => Vote {
                confirmed: false,
                previous: Revision(0),
            },
        }
    }

    /// Records a fleet member's vote on this router's lease. `round` is the epoch that the member
    /// holds and the number of the round.
    pub fn record_vote(
        &mut self,
        now: Now,
        from: RouterKey,
        incarnation: Incarnation,
        round: (Revision, u64),
        vote: Vote,
    ) {
        let continuity = self.lease.record_vote(now, from, incarnation, round, vote);
        self.update_tenure(now, continuity);
    }

    /// Does what is due at this time, and adds the messages to send to `out`.
    pub fn tick(&mut self, now: Now, config: &Config, out: &mut Vec<(RouterKey, Message)>) {
        if now.mono.since(self.last_expiry) >= KEY_EXPIRY_INTERVAL {
            self.last_expiry = now.mono;
            self.keys.expire(now.wall, config.policy.key_ttl);
        }
        if !self.lease.round_due(now, config) {
            return;
        }
        let continuity = self.lease.close_round(now);
        self.update_tenure(now, continuity);
        let lease = config.policy.lease.min(MAX_LEASE);
        let own = self.voter.confirm_self(now, config.epoch, lease);
        out.extend(self.lease.open_round(now, config, own, self.incarnation));
        let continuity = self.lease.evaluate_round(now, Continuity::Unbroken);
        self.update_tenure(now, continuity);
    }

    /// Tells whether the lease is held.
    pub fn holds_lease(&self, now: Now) -> bool {
        self.lease.held_until(now).is_some()
    }

    /// Gets the change of the lease since the last call of this function, if it changed.
    pub fn changed(&mut self, now: Now) -> Option<LeaseChange> {
        let held = LeaseChange {
            epoch: self.lease.fleet().epoch,
            held: self.holds_lease(now),
        };
        let changed =
            held.held != self.last_reported.held || (held.held && held != self.last_reported);
        if changed {
            self.last_reported = held;
        }
        changed.then_some(held)
    }

    /// Gets the number of keys remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Tells whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.len() == 0
    }

    /// Gets the time since which this router has been the only home of the key.
    fn sole_home_since(&self, key: Key) -> Option<Now> {
        self.tenure.sole_home_since(self.me?.tag, key.item())
    }

    /// Updates the tenure after the lease started anew with this continuity; `None` if it did not.
    fn update_tenure(&mut self, now: Now, continuity: Option<Continuity>) {
        match continuity {
            Some(Continuity::Unbroken) => self.tenure.extend(now, self.lease.fleet()),
            Some(Continuity::Broken) => self.tenure.restart(now, self.lease.fleet()),
            None => {}
        }
    }
}
