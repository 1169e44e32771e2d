//! Calls that run at most once: which outcome a key's home may state, repeats that wait for the
//! answer to the first request, and whether a broken attempt may be retried.

use std::sync::Arc;

use super::{
    Node,
    OpenCall,
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

/// `Retry-After` of repeats that waited for an answer and got none.
const WAITER_RETRY_AFTER: Millis = Millis(1000);

/// Generated keys that are tried to find one whose home is this router.
const MAX_KEY_CANDIDATES: u128 = 4096;

impl Node {
    /// Tells whether this router would run any key that is created now and has its home here: it
    /// holds its lease and has been home long enough. This takes a while in a new fleet, on a new
    /// router, and on every router after a change of the fleet list.
    pub fn takes_keys(&self, now: Now) -> bool {
        let config = self.store.current();
        let key_created_now = |n: u128| Key {
            workspace: Tag::default(),
            uuid: u128::from(now.wall.0) << 80 | n,
        };
        let is_home = |key: &Key| self.me.is_some() && config.home(key.item()) == self.me;
        let key = (0..MAX_KEY_CANDIDATES).map(key_created_now).find(is_home);
        self.home.accepts_new_keys(now, config)
            && key.is_some_and(|key| self.home.proves_not_run(now, config, key))
    }

    /// Tells whether this router, as the home, has a record of a request with the key of `work`.
    fn remembers_key(&self, work: &Work) -> bool {
        matches!(work, Work::Once { key, .. } if self.home.remembers(*key))
    }

    /// Tells whether a draining router still accepts a call as the home of its key. It accepts keys
    /// that it remembers, and any key that a peer forwards while calls of its own callers keep it
    /// running anyway. No other router may run these keys before this one exits, so refusing them
    /// sooner would only make the time without a home longer.
    pub(super) fn accepts_while_draining(&self, request: &Request) -> bool {
        let Work::Once { .. } = request.work else {
            return false;
        };
        let drain_end =
            self.draining_since.unwrap_or_default() + self.config().policy.drain_deadline;
        let from_own_caller = |open: &OpenCall| open.request.origin == Origin::Caller;
        let forwarded = request.origin != Origin::Caller
            && request.deadline <= drain_end
            && self.calls.values().any(from_own_caller);
        forwarded || self.remembers_key(&request.work)
    }

    /// Turns "not run" into "unknown" for a key that this router can't vouch for: an earlier
    /// request with the key may have run through another router. Told "not run", the caller would
    /// run the action again under another key.
    pub(super) fn correct_unverified_outcome(
        &self,
        now: Now,
        work: &Work,
        refusal: Refusal,
    ) -> Refusal {
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

    /// Refuses a call after its admission. If it has a key, also ends the key and answers the
    /// repeats that wait for it.
    pub(super) fn refuse_admitted(
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
            return self.send_refusal(now, call, refusal, out);
        };
        let ended = self.home.end(key, refusal.outcome, None);
        let outcome = ended.outcome;
        self.send_refusal(now, call, Refusal { outcome, ..refusal }, out);
        self.answer_waiters(now, ended, refusal.code, out);
    }

    /// Records the end of a call and its answer, if any, under its key, and answers the repeats
    /// that wait for it.
    pub(super) fn finish_key(
        &mut self,
        now: Now,
        work: &Work,
        outcome: Outcome,
        answer: Option<Answer>,
        out: &mut Vec<Action>,
    ) {
        if let Work::Once { key, .. } = work {
            let ended = self.home.end(*key, outcome, answer);
            self.answer_waiters(now, ended, Code::EndpointFailed, out);
        }
    }

    fn answer_waiters(
        &mut self,
        now: Now,
        ended: KeyCompletion,
        code: Code,
        out: &mut Vec<Action>,
    ) {
        for call in ended.waiters {
            let Some(answer) = ended.answer.clone() else {
                let refusal = Refusal {
                    code,
                    outcome: ended.outcome,
                    retry_after: Some(WAITER_RETRY_AFTER),
                };
                self.send_refusal(now, call, refusal, out);
                continue;
            };
            if self.calls.swap_remove(&call).is_some() {
                out.push(Action::Replay { call, answer });
                out.push(Action::Log(Decision::Replayed { call }));
            }
        }
    }

    pub(super) fn remove_waiter(&mut self, call: Call, work: &Work) {
        if let Work::Once { key, .. } = work {
            self.home.stop_waiting(*key, call);
        }
    }

    /// Refuses the waiting repeats whose deadline has passed without an answer.
    pub(super) fn expire_waiting(&mut self, now: Now, out: &mut Vec<Action>) {
        let is_late = |open: &OpenCall| {
            open.stage == Stage::WaitingForFirst && now.mono >= open.request.deadline
        };
        let late = self.calls.iter().filter(|(_, open)| is_late(open));
        let late: Vec<(Call, Work)> = late
            .map(|(call, open)| (*call, open.request.work.clone()))
            .collect();
        for (call, work) in late {
            self.remove_waiter(call, &work);
            let refusal = Refusal::unknown(Code::KeyInProgress, Some(WAITER_RETRY_AFTER));
            self.send_refusal(now, call, refusal, out);
        }
    }

    /// Gets the work by which a retry of a call is decided. Where every replica of the service
    /// checks keys, the service itself runs the call at most once, so the call counts as
    /// idempotent.
    pub(super) fn work_for_retry(&self, work: &Work) -> Work {
        let Work::Once { service, .. } = *work else {
            return work.clone();
        };
        let config = self.store.current();
        let is_replica = |e: &&Arc<Endpoint>| e.service == Some(service);
        let mut replicas = config.endpoints.iter().map(|(_, e)| e).filter(is_replica);
        if replicas.all(|e| e.key_check == Check::Checked) {
            let idempotent = true;
            return Work::Plain {
                service,
                idempotent,
            };
        }
        work.clone()
    }

    /// Records with the key that an attempt which is now retried may have reached an endpoint.
    pub(super) fn mark_key_reached(&mut self, call: Call, end: &End) {
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
