//! How attempts and calls end: whole, failed and tried again or not, left by their caller, or told
//! by their home.

use std::sync::Arc;

use super::{
    Node,
    Stage,
    attempt,
    calls::SOON,
    log_member, //
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
    pub(super) fn ended(
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
        let Stage::Sent { endpoint, life, .. } = open.stage else {
            return;
        };
        if attempt.0 != open.attempts {
            return;
        }
        self.loads.ended(now.mono, endpoint);
        let changed = match &end {
            End::Whole(_) => self.view.seen(now.mono, endpoint, Observation::Finished),
            End::NotSent { leaving: true } => self.view.leaving(now.mono, endpoint, life),
            End::NotSent { leaving: false } => {
                self.view.seen(now.mono, endpoint, Observation::Refused)
            }
            End::Broken { .. } => self.view.seen(now.mono, endpoint, Observation::Silent),
            End::Failed(_) | End::Cancelled => None,
        };
        log_member(endpoint, changed, out);
        if let End::Whole(answer) = end {
            return self.whole(now, call, answer, out);
        }
        self.failed(now, call, attempt, end, out);
    }

    fn whole(&mut self, now: Now, call: Call, answer: Answer, out: &mut Vec<Action>) {
        let Some(open) = self.calls.swap_remove(&call) else {
            return;
        };
        let took = now.mono.since(open.sent);
        self.gate.ended(&open.request.work, took);
        let outcome = Outcome::Done;
        out.push(Action::Finish { call, outcome });
        out.push(Action::Log(Decision::Done {
            call,
            outcome,
            attempts: open.attempts,
        }));
        self.end_key(now, &open.request.work, outcome, Some(answer), out);
    }

    fn failed(&mut self, now: Now, call: Call, attempt: Attempt, end: End, out: &mut Vec<Action>) {
        if let Some(open) = self.calls.get_mut(&call) {
            open.reached |= !matches!(end, End::NotSent { .. });
        }
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let Stage::Sent { endpoint, .. } = open.stage else {
            return;
        };
        let policy = Arc::clone(&self.store.current().policy);
        let (request, attempts) = (&open.request, open.attempts);
        let retried = retry::allowed(
            &policy,
            &self.repeated_as(&request.work),
            attempts,
            &end,
            now.mono,
            request.deadline,
        );
        let wait = retry::pause(attempts, &mut self.rng);
        let in_time = now.mono + wait < request.deadline;
        let retried = retried && in_time && self.budget.take();
        out.push(Action::Log(Decision::AttemptFailed {
            call,
            attempt,
            endpoint,
            retried,
        }));
        if retried {
            self.mark_may_have_run(call, &end);
            return self.again(now, call, wait, out);
        }
        let work = request.work.clone();
        match end {
            End::Cancelled => {
                self.calls.swap_remove(&call);
                self.end_key(now, &work, Outcome::Unknown, None, out);
            }
            // An endpoint's own error is an answer; the caller gets it as it is.
            End::Failed(_) => {
                let outcome = Outcome::Unknown;
                self.calls.swap_remove(&call);
                out.push(Action::Finish { call, outcome });
                out.push(Action::Log(Decision::Done {
                    call,
                    outcome,
                    attempts,
                }));
                self.end_key(now, &work, outcome, None, out);
            }
            End::NotSent { .. } => {
                let refusal = Refusal::not_run(Code::EndpointFailed, Some(SOON));
                self.end_refused(now, call, refusal, out);
            }
            End::Broken { .. } | End::Whole(_) => {
                let refusal = Refusal::unknown(Code::EndpointFailed, Some(SOON));
                self.end_refused(now, call, refusal, out);
            }
        }
    }

    pub(super) fn gone(&mut self, now: Now, call: Call, out: &mut Vec<Action>) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let work = open.request.work.clone();
        match open.stage {
            // A call that runs once goes on: its repeat wants the answer.
            Stage::Sent { .. } if matches!(work, Work::Once { .. }) => {}
            Stage::Sent { endpoint, .. } => {
                let attempt = attempt(open.attempts);
                self.loads.ended(now.mono, endpoint);
                self.calls.swap_remove(&call);
                out.push(Action::Cancel { call, attempt });
            }
            Stage::Admission => {
                self.limits.gone(call);
                self.calls.swap_remove(&call);
            }
            Stage::Later { .. } => {
                self.calls.swap_remove(&call);
                self.end_key(now, &work, Outcome::NotRun, None, out);
            }
            Stage::Forwarded => {
                self.calls.swap_remove(&call);
            }
            Stage::Waiting => {
                self.stop_waiting(call, &work);
                self.calls.swap_remove(&call);
            }
        }
    }

    pub(super) fn forward_failed(&mut self, now: Now, call: Call, out: &mut Vec<Action>) {
        // Whether it was sent makes no difference: an earlier request with this key may have run at
        // the home, so even what was not sent is only unknown to this router.
        let refusal = Refusal::unknown(Code::HomeUnavailable, Some(SOON));
        self.give(now, call, refusal, out);
    }

    pub(super) fn forward_done(
        &mut self,
        now: Now,
        call: Call,
        (outcome, refusal): (Outcome, Option<Refusal>),
        out: &mut Vec<Action>,
    ) {
        if let Some(refusal) = refusal {
            return self.give(now, call, refusal, out);
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
