//! Calls that run at most once: the home's memory of keys and the lease under which it acts.
//!
//! A caller's `Idempotency-Key` has one home: the router with the highest rendezvous score over
//! the published fleet of one epoch. Only the home sends the call on, and only
//!
//! - while it holds a lease of that epoch ([`lease`]), which a majority of the fleet confirmed
//!   ([`vote`]), so that no home of another epoch acts at the same time;
//! - if the key is in its [`memory`] or is dated after the time since when it alone answers for
//!   the key ([`tenure`]), so that no earlier home can have run it.
//!
//! Whatever else comes is answered with [`Outcome::Unknown`]; [`Outcome::NotRun`] is said only
//! where the home knows that the key never ran. docs/design/at-most-once.md gives the argument.

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
    Lease,
    Start, //
};
use memory::{
    Memory,
    Progress, //
};
use tenure::Tenure;
use vote::{
    Asker,
    Voter, //
};

pub use fleet::{
    Fleet,
    Member, //
};
pub use memory::{
    Ended,
    MAX_BODY,
    MAX_BYTES,
    MAX_KEYS,
    MAX_WAITERS, //
};
pub use vote::{
    MAX_LEASE,
    Vote,
    kept, //
};

/// Time between two searches for keys that are too old to be remembered.
const EXPIRE_EVERY: Millis = Millis::from_secs(10);

/// Furthest that a key may be dated ahead for its caller to be asked to come back.
const MAX_AHEAD: Millis = Millis::from_secs(60);

/// `Begin` is what the home says to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Begin {
    /// Run it; nobody ran it before.
    Run,
    /// Wait for the first answer; [`Home::end`] names the call.
    Wait,
    /// Give the first answer.
    Replay(Answer),
    /// Refuse it.
    Refuse(Refusal),
}

/// `Held` is a change of the lease, for the decision log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// Fleet epoch.
    pub epoch: Revision,
    /// Whether the lease is held now.
    pub held: bool,
}

/// `Home` is this router as a home of keys and as a voter for the leases of others.
#[derive(Debug)]
pub struct Home {
    me: Option<Member>,
    incarnation: Incarnation,
    voter: Voter,
    lease: Lease,
    tenure: Tenure,
    keys: Memory,
    expired: Time,
    told: Held,
}

impl Home {
    /// Makes the home of a process that starts now.
    pub fn new(now: Now, incarnation: Incarnation) -> Self {
        Self {
            me: None,
            incarnation,
            voter: Voter::new(now.mono),
            lease: Lease::default(),
            tenure: Tenure::default(),
            keys: Memory::default(),
            expired: now.mono,
            told: Held {
                epoch: Revision(0),
                held: false,
            },
        }
    }

    /// Follows a new configuration. `me` is this router, `None` while it is not in the fleet list.
    pub fn apply(&mut self, now: Now, config: &Config, me: Option<RouterKey>) {
        self.me = me.and_then(|key| fleet::member(config, key));
        self.lease.apply(now, config, self.me);
        self.voter.prune(now, &self.lease.fleet().members);
    }

    /// Asks whether a call may run here and now.
    pub fn begin(
        &mut self,
        now: Now,
        config: &Config,
        call: Call,
        key: Key,
        content: u64,
    ) -> Begin {
        let Some(record) = self.keys.get(key) else {
            if let Err(refusal) = self.admit(now, config, key) {
                return Begin::Refuse(refusal);
            }
            self.keys.start(now.mono, key, content);
            return Begin::Run;
        };
        if record.content != content {
            // The key's first content may have run, and the promise is about the key.
            return Begin::Refuse(Refusal::unknown(Code::KeyReused, None));
        }
        match &record.progress {
            Progress::Done(answer) => Begin::Replay(answer.clone()),
            Progress::Gone => Begin::Refuse(Refusal {
                code: Code::AnswerGone,
                outcome: Outcome::Done,
                retry_after: None,
            }),
            Progress::Unknown => Begin::Refuse(Refusal::unknown(Code::EndpointFailed, None)),
            Progress::Running { .. } => self.wait(config, call, key),
        }
    }

    fn wait(&mut self, config: &Config, call: Call, key: Key) -> Begin {
        if self.keys.wait(key, call) {
            return Begin::Wait;
        }
        let after = Some(config.policy.lease);
        Begin::Refuse(Refusal::unknown(Code::KeyInProgress, after))
    }

    /// Tells whether the key has never run: this router is its home under a valid lease and
    /// tenure, and remembers no request with it.
    pub fn vouches(&self, now: Now, config: &Config, key: Key) -> bool {
        let never = match self.admit(now, config, key) {
            Ok(()) => true,
            Err(refusal) => refusal.outcome == Outcome::NotRun,
        };
        never && self.keys.get(key).is_none()
    }

    /// Tells whether every key made now is dated after the newest change of homes.
    ///
    /// For a while after such a change the keys that stayed here run and those that came from
    /// another home are refused; one key says nothing of the rest.
    pub fn settled(&self, now: Now, config: &Config) -> bool {
        let skew = config.policy.clock_skew;
        let begun = |since| now.wall >= tenure::dated(now, since) + skew + skew;
        self.tenure.newest().is_some_and(begun)
    }

    /// Tells whether this router remembers a request with the key.
    pub fn remembers(&self, key: Key) -> bool {
        self.keys.get(key).is_some()
    }

    /// Tells whether a key that is not remembered may run, and why not.
    fn admit(&self, now: Now, config: &Config, key: Key) -> Result<(), Refusal> {
        let policy = &config.policy;
        let (created, skew) = (key.created(), policy.clock_skew);
        if self.lease.held(now).is_none() {
            let after = Some(policy.lease);
            return Err(Refusal::unknown(Code::HomeUnavailable, after));
        }
        let Some(since) = self.since(key) else {
            let after = Some(policy.lease);
            return Err(Refusal::unknown(Code::HomeUnavailable, after));
        };
        // Any home refuses what is dated `skew` ahead of its clock, and an earlier home's clock was
        // at most `skew` ahead of this one's: what it ran is dated before its end and two of them.
        // Callers' clocks don't matter to the promise.
        let foreign = created < tenure::dated(now, since) + skew + skew;
        let old = created + policy.key_ttl < now.wall;
        if foreign || old || self.keys.may_forget(key) {
            return Err(Refusal::unknown(Code::KeyExpired, None));
        }
        if created > now.wall + skew {
            let wait = Millis(created.0 - (now.wall + skew).0);
            let after = Some(wait).filter(|w| *w <= MAX_AHEAD);
            return Err(Refusal::not_run(Code::KeyFuture, after));
        }
        if self.keys.is_full() {
            return Err(Refusal::not_run(Code::KeysFull, Some(EXPIRE_EVERY)));
        }
        Ok(())
    }

    /// Gets the end of the lease if a call that [`Home::begin`] let run may still be sent now: it
    /// is asked before each attempt, and the driver writes no byte from that time on.
    ///
    /// The process may have been paused since, and another home may have answered for the key in
    /// the meantime; the lease alone, if it is held again, does not tell.
    pub fn may_send(&self, now: Now, key: Key) -> Option<Time> {
        let until = self.lease.held(now)?;
        let record = self.keys.get(key)?;
        let running = matches!(record.progress, Progress::Running { .. });
        let since = self.since(key)?;
        (running && since.mono <= record.begun).then_some(until)
    }

    /// Notes that an attempt may have reached an endpoint that checks keys, and another follows.
    pub fn touch(&mut self, key: Key) {
        self.keys.touch(key);
    }

    /// Notes how a call that ran ended; gives what may be told of it, and to whom besides.
    pub fn end(&mut self, key: Key, outcome: Outcome, answer: Option<Answer>) -> Ended {
        self.keys.end(key, outcome, answer)
    }

    /// Forgets a repeat that waited for the first answer.
    pub fn leave(&mut self, key: Key, call: Call) {
        self.keys.leave(key, call);
    }

    /// Answers a fleet member that asks this router to confirm its lease.
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
            Some(member) if epoch == config.epoch && self.lease.settled(now) => {
                let asker = Asker {
                    member,
                    incarnation,
                };
                self.voter.confirm(now, asker, epoch, lease)
            }
            _ => Vote {
                confirmed: false,
                previous: Revision(0),
            },
        }
    }

    /// Notes a fleet member's answer: the epoch that it holds, the round, and its vote.
    pub fn voted(
        &mut self,
        now: Now,
        from: RouterKey,
        incarnation: Incarnation,
        round: (Revision, u64),
        vote: Vote,
    ) {
        let start = self.lease.voted(now, from, incarnation, round, vote);
        self.start(now, start);
    }

    /// Lets time pass; gives the messages to send.
    pub fn tick(&mut self, now: Now, config: &Config, out: &mut Vec<(RouterKey, Message)>) {
        if now.mono.since(self.expired) >= EXPIRE_EVERY {
            self.expired = now.mono;
            self.keys.expire(now.wall, config.policy.key_ttl);
        }
        if !self.lease.due(now, config) {
            return;
        }
        let start = self.lease.close(now);
        self.start(now, start);
        let lease = config.policy.lease.min(MAX_LEASE);
        let own = self.voter.confirm_self(now, config.epoch, lease);
        out.extend(self.lease.open(now, config, own, self.incarnation));
        let start = self.lease.settle(now, Start::Linked);
        self.start(now, start);
    }

    /// Tells whether the lease is held.
    pub fn leased(&self, now: Now) -> bool {
        self.lease.held(now).is_some()
    }

    /// Gets the change of the lease since this was last asked.
    pub fn changed(&mut self, now: Now) -> Option<Held> {
        let held = Held {
            epoch: self.lease.fleet().epoch,
            held: self.leased(now),
        };
        let changed = held.held != self.told.held || (held.held && held != self.told);
        if changed {
            self.told = held;
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

    fn since(&self, key: Key) -> Option<Now> {
        self.tenure.since(self.me?.tag, key.item())
    }

    fn start(&mut self, now: Now, start: Option<Start>) {
        match start {
            Some(Start::Linked) => self.tenure.link(now, self.lease.fleet()),
            Some(Start::Fresh) => self.tenure.restart(now, self.lease.fleet()),
            None => {}
        }
    }
}
