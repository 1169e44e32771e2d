//! The end of attempts and calls: success, failure with or without a retry, a caller that
//! disconnects, and the result of a call that was forwarded to its key's home.

use std::sync::Arc;

use super::{
    Node,
    Stage,
    calls::RETRY_AFTER,
    log_member,
    nth_attempt, //
};
use crate::{
    action::{
        Action,
        Decision, //
    },
    membership::Observation,
    request::{
        Answer,
        Attempt,
        Call,
        Code,
        End,
        Outcome,
        Refusal,
        Work, //
    },
    retry,
    units::Now,
};

impl Node {
    pub(super) fn handle_attempt_end(
        &mut self,
        now: Now,
        call: Call,
        attempt: Attempt,
        end: End,
        out: &mut Vec<Action>,
    ) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let Stage::Dispatched {
            endpoint,
            incarnation,
            ..
        } = open.stage
        else {
            return;
        };
        if attempt.0 != open.attempts {
            return;
        }
        self.loads.ended(now.mono, endpoint);
        let changed = match &end {
            End::Whole(_) => self.view.seen(now.mono, endpoint, Observation::Finished),
            End::NotSent { leaving: true } => self.view.leaving(now.mono, endpoint, incarnation),
            End::NotSent { leaving: false } => {
                self.view.seen(now.mono, endpoint, Observation::Refused)
            }
            End::Broken { .. } => self.view.seen(now.mono, endpoint, Observation::Silent),
            End::Failed(_) | End::Cancelled => None,
        };
        log_member(endpoint, changed, out);
        if let End::Whole(answer) = end {
            return self.finish_call(now, call, answer, out);
        }
        self.handle_attempt_failure(now, call, attempt, end, out);
    }

    fn finish_call(&mut self, now: Now, call: Call, answer: Answer, out: &mut Vec<Action>) {
        let Some(open) = self.calls.swap_remove(&call) else {
            return;
        };
        let took = now.mono.since(open.last_sent);
        self.gate.ended(&open.request.work, took);
        let outcome = Outcome::Done;
        out.push(Action::Finish { call, outcome });
        out.push(Action::Log(Decision::Done {
            call,
            outcome,
            attempts: open.attempts,
        }));
        self.finish_key(now, &open.request.work, outcome, Some(answer), out);
    }

    fn handle_attempt_failure(
        &mut self,
        now: Now,
        call: Call,
        attempt: Attempt,
        end: End,
        out: &mut Vec<Action>,
    ) {
        if let Some(open) = self.calls.get_mut(&call) {
            open.may_have_reached |= !matches!(end, End::NotSent { .. });
        }
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let Stage::Dispatched { endpoint, .. } = open.stage else {
            return;
        };
        let policy = Arc::clone(&self.store.current().policy);
        let (request, attempts) = (&open.request, open.attempts);
        let may_retry = retry::allowed(
            &policy,
            &self.work_for_retry(&request.work),
            attempts,
            &end,
            now.mono,
            request.deadline,
        );
        let backoff = retry::backoff(attempts, &mut self.rng);
        let in_time = now.mono + backoff < request.deadline;
        let retried = may_retry && in_time && self.budget.take();
        out.push(Action::Log(Decision::AttemptFailed {
            call,
            attempt,
            endpoint,
            retried,
        }));
        if retried {
            self.mark_key_reached(call, &end);
            return self.schedule_retry(now, call, backoff, out);
        }
        let work = request.work.clone();
        match end {
            End::Cancelled => {
                self.calls.swap_remove(&call);
                self.finish_key(now, &work, Outcome::Unknown, None, out);
            }
            // An error response of the endpoint is a complete answer: the caller gets it unchanged.
            End::Failed(_) => {
                let outcome = Outcome::Unknown;
                self.calls.swap_remove(&call);
                out.push(Action::Finish { call, outcome });
                out.push(Action::Log(Decision::Done {
                    call,
                    outcome,
                    attempts,
                }));
                self.finish_key(now, &work, outcome, None, out);
            }
            End::NotSent { .. } => {
                let refusal = Refusal::not_run(Code::EndpointFailed, Some(RETRY_AFTER));
                self.refuse_admitted(now, call, refusal, out);
            }
            End::Broken { .. } | End::Whole(_) => {
                let refusal = Refusal::unknown(Code::EndpointFailed, Some(RETRY_AFTER));
                self.refuse_admitted(now, call, refusal, out);
            }
        }
    }

    pub(super) fn handle_caller_disconnect(&mut self, now: Now, call: Call, out: &mut Vec<Action>) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let work = open.request.work.clone();
        match open.stage {
            // A call that runs at most once continues: a repeat with its key gets the answer.
            Stage::Dispatched { .. } if matches!(work, Work::Once { .. }) => {}
            Stage::Dispatched { endpoint, .. } => {
                let attempt = nth_attempt(open.attempts);
                self.loads.ended(now.mono, endpoint);
                self.calls.swap_remove(&call);
                out.push(Action::Cancel { call, attempt });
            }
            Stage::Admission => {
                self.limits.gone(call);
                self.calls.swap_remove(&call);
            }
            Stage::Delayed { .. } => {
                self.calls.swap_remove(&call);
                self.finish_key(now, &work, Outcome::NotRun, None, out);
            }
            Stage::Forwarded => {
                self.calls.swap_remove(&call);
            }
            Stage::WaitingForFirst => {
                self.remove_waiter(call, &work);
                self.calls.swap_remove(&call);
            }
        }
    }

    pub(super) fn handle_forward_failure(&mut self, now: Now, call: Call, out: &mut Vec<Action>) {
        // The outcome is unknown even if the forward was not sent: the home may have run an earlier
        // request with this key.
        let refusal = Refusal::unknown(Code::HomeUnavailable, Some(RETRY_AFTER));
        self.send_refusal(now, call, refusal, out);
    }

    pub(super) fn handle_forward_done(
        &mut self,
        now: Now,
        call: Call,
        (outcome, refusal): (Outcome, Option<Refusal>),
        out: &mut Vec<Action>,
    ) {
        if let Some(refusal) = refusal {
            return self.send_refusal(now, call, refusal, out);
        }
        if self.calls.swap_remove(&call).is_none() {
            return;
        }
        out.push(Action::Finish { call, outcome });
        out.push(Action::Log(Decision::Done {
            call,
            outcome,
            attempts: 1,
        }));
    }
}
