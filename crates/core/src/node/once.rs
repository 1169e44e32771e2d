//! Calls that run at most once, on their way through the node: what their home vouches for, those
//! that wait for a first answer, and when a broken attempt may be repeated.

use std::sync::Arc;

use super::{
    Node,
    Open,
    Stage, //
};
use crate::{
    action::{
        Action,
        Decision, //
    },
    config::{
        Check,
        Endpoint, //
    },
    ids::Tag,
    once::KeyCompletion,
    request::{
        Answer,
        Call,
        Code,
        End,
        Key,
        Origin,
        Outcome,
        Refusal,
        Request,
        Work, //
    },
    units::{
        Millis,
        Now, //
    },
};

/// When a repeat that waited in vain should come back.
const COME_BACK: Millis = Millis(1000);

/// Keys tried to find one that this router is home to.
const TRIES: u128 = 4096;

impl Node {
    /// Tells whether any key that a caller makes now and that has its home here would be run: this
    /// router holds its lease and has been home for long enough. A fresh fleet, a fresh router and
    /// every router after a change of the fleet list need a while.
    pub fn takes_keys(&self, now: Now) -> bool {
        let config = self.store.current();
        let dated = |n: u128| Key {
            workspace: Tag::default(),
            uuid: u128::from(now.wall.0) << 80 | n,
        };
        let own = |key: &Key| self.me.is_some() && config.home(key.item()) == self.me;
        let key = (0..TRIES).map(dated).find(own);
        self.home.accepts_new_keys(now, config)
            && key.is_some_and(|key| self.home.proves_not_run(now, config, key))
    }

    /// Tells whether this router, as the home, remembers a request with the key of `work`.
    fn remembers(&self, work: &Work) -> bool {
        matches!(work, Work::Once { key, .. } if self.home.remembers(*key))
    }

    /// Tells whether a draining router still takes a call as its home: a key that it remembers, or
    /// any that a peer brings while calls of its own callers keep it up anyway. Nobody else may run
    /// these keys before it is gone, so refusing them early would only make the gap longer.
    pub(super) fn goes_on(&self, request: &Request) -> bool {
        let Work::Once { .. } = request.work else {
            return false;
        };
        let end = self.draining.unwrap_or_default() + self.config().policy.drain_deadline;
        let own = |open: &Open| open.request.origin == Origin::Caller;
        let forwarded = request.origin != Origin::Caller
            && request.deadline <= end
            && self.calls.values().any(own);
        forwarded || self.remembers(&request.work)
    }

    /// Turns "not run" into "unknown" for a key that this router doesn't answer for: an earlier
    /// request with it may have run by way of another router, and the caller would run it anew
    /// under another key.
    pub(super) fn vouched(&self, now: Now, work: &Work, refusal: Refusal) -> Refusal {
        let Work::Once { key, .. } = work else {
            return refusal;
        };
        let config = self.store.current();
        if refusal.outcome != Outcome::NotRun || self.home.proves_not_run(now, config, *key) {
            return refusal;
        }
        let outcome = Outcome::Unknown;
        Refusal { outcome, ..refusal }
    }

    /// Ends a call that got to its home with a refusal, and those that wait for its answer.
    pub(super) fn end_refused(
        &mut self,
        now: Now,
        call: Call,
        refusal: Refusal,
        out: &mut Vec<Action>,
    ) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let Work::Once { key, .. } = open.request.work else {
            return self.give(now, call, refusal, out);
        };
        let ended = self.home.end(key, refusal.outcome, None);
        let outcome = ended.outcome;
        self.give(now, call, Refusal { outcome, ..refusal }, out);
        self.release(now, ended, refusal.code, out);
    }

    /// Notes the end of a call with an answer, and gives it to those that wait for it.
    pub(super) fn end_key(
        &mut self,
        now: Now,
        work: &Work,
        outcome: Outcome,
        answer: Option<Answer>,
        out: &mut Vec<Action>,
    ) {
        if let Work::Once { key, .. } = work {
            let ended = self.home.end(*key, outcome, answer);
            self.release(now, ended, Code::EndpointFailed, out);
        }
    }

    fn release(&mut self, now: Now, ended: KeyCompletion, code: Code, out: &mut Vec<Action>) {
        for call in ended.waiters {
            let Some(answer) = ended.answer.clone() else {
                let refusal = Refusal {
                    code,
                    outcome: ended.outcome,
                    retry_after: Some(COME_BACK),
                };
                self.give(now, call, refusal, out);
                continue;
            };
            if self.calls.swap_remove(&call).is_some() {
                out.push(Action::Replay { call, answer });
                out.push(Action::Log(Decision::Replayed { call }));
            }
        }
    }

    pub(super) fn stop_waiting(&mut self, call: Call, work: &Work) {
        if let Work::Once { key, .. } = work {
            self.home.stop_waiting(*key, call);
        }
    }

    /// Refuses the repeats whose deadline came before the first answer.
    pub(super) fn tick_waiting(&mut self, now: Now, out: &mut Vec<Action>) {
        let late = |open: &Open| open.stage == Stage::Waiting && now.mono >= open.request.deadline;
        let late = self.calls.iter().filter(|(_, open)| late(open));
        let late: Vec<(Call, Work)> = late
            .map(|(call, open)| (*call, open.request.work.clone()))
            .collect();
        for (call, work) in late {
            self.stop_waiting(call, &work);
            let refusal = Refusal::unknown(Code::KeyInProgress, Some(COME_BACK));
            self.give(now, call, refusal, out);
        }
    }

    /// Gets what a call counts as when an attempt of it is to be repeated: where every replica of
    /// the service checks keys, the service itself runs it at most once.
    pub(super) fn repeated_as(&self, work: &Work) -> Work {
        let Work::Once { service, .. } = *work else {
            return work.clone();
        };
        let config = self.store.current();
        let replica = |e: &&Arc<Endpoint>| e.service == Some(service);
        let mut replicas = config.endpoints.iter().map(|(_, e)| e).filter(replica);
        if replicas.all(|e| e.key_check == Check::Checked) {
            let idempotent = true;
            return Work::Plain {
                service,
                idempotent,
            };
        }
        work.clone()
    }

    /// Notes that an attempt which is now repeated may have reached an endpoint.
    pub(super) fn mark_may_have_run(&mut self, call: Call, end: &End) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        if matches!(end, End::NotSent { .. }) {
            return;
        }
        if let Work::Once { key, .. } = open.request.work {
            self.home.mark_may_have_run(key);
        }
    }
}
