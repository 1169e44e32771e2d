//! Calls that run at most once: the home's memory of keys and the lease under which it acts.

use indexmap::IndexMap;

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
        Revision, //
    },
};

/// `Begin` is what the home says to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Begin {
    /// Run it; nobody ran it before.
    Run,
    /// Give the first answer.
    Replay(Answer),
    /// Refuse it.
    Refuse(Refusal),
}

#[derive(Clone, Debug)]
enum Progress {
    Running,
    Done(Answer),
    Unknown,
}

/// `Home` is this router's memory of keys.
#[derive(Debug, Default)]
pub struct Home {
    keys: IndexMap<Key, (u64, Progress)>,
}

impl Home {
    /// Follows a new configuration. `me` is this router, `None` while it is not in the fleet list.
    pub fn apply(&mut self, _now: Now, _config: &Config, _me: Option<RouterKey>) {}

    /// Asks whether a call may run here and now.
    pub fn begin(
        &mut self,
        _now: Now,
        _config: &Config,
        _call: Call,
        key: Key,
        content: u64,
    ) -> Begin {
        match self.keys.get(&key) {
            None => {
                self.keys.insert(key, (content, Progress::Running));
                Begin::Run
            }
            Some((known, _)) if *known != content => {
                Begin::Refuse(Refusal::not_run(Code::KeyReused, None))
            }
            Some((_, Progress::Running)) => {
                let after = Some(Millis(500));
                Begin::Refuse(Refusal::unknown(Code::KeyInProgress, after))
            }
            Some((_, Progress::Done(answer))) => Begin::Replay(answer.clone()),
            Some((_, Progress::Unknown)) => {
                Begin::Refuse(Refusal::unknown(Code::EndpointFailed, None))
            }
        }
    }

    /// Tells whether a call that [`Home::begin`] let run may still be sent now. The driver may
    /// have been paused in between.
    pub fn may_send(&self, _now: Now, _config: &Config, _key: Key) -> bool {
        true
    }

    /// Notes how a call that ran ended.
    pub fn end(&mut self, _now: Now, key: Key, outcome: Outcome, answer: Option<Answer>) {
        match (outcome, answer) {
            (Outcome::NotRun, _) => {
                self.keys.swap_remove(&key);
            }
            (Outcome::Done, Some(answer)) => self.set(key, Progress::Done(answer)),
            _ => self.set(key, Progress::Unknown),
        }
    }

    /// Answers a fleet member that asks this router to confirm its lease.
    pub fn vote(
        &mut self,
        _now: Now,
        _from: RouterKey,
        _incarnation: Incarnation,
        _epoch: Revision,
    ) -> bool {
        true
    }

    /// Notes a fleet member's answer.
    pub fn voted(
        &mut self,
        _now: Now,
        _from: RouterKey,
        _epoch: Revision,
        _round: u64,
        _confirmed: bool,
    ) {
    }

    /// Lets time pass; gives the messages to send.
    pub fn tick(&mut self, _now: Now, _config: &Config, _out: &mut Vec<(RouterKey, Message)>) {}

    /// Tells whether the lease is held.
    pub fn leased(&self, _now: Now) -> bool {
        true
    }

    fn set(&mut self, key: Key, progress: Progress) {
        if let Some(entry) = self.keys.get_mut(&key) {
            entry.1 = progress;
        }
    }
}
