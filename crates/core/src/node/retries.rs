//! Calls that are placed again after a delay, and the outcome and retry time of refusals.

use super::{
    Node,
    OpenCall,
    Stage, //
};
use crate::{
    action::Action,
    request::{
        Call,
        Code,
        Origin,
        Outcome,
        Refusal, //
    },
    retry,
    units::{
        Millis,
        Now, //
    },
};

impl Node {
    /// Places a call again after `backoff`.
    pub(super) fn schedule_retry(
        &mut self,
        now: Now,
        call: Call,
        backoff: Millis,
        out: &mut Vec<Action>,
    ) {
        if backoff == Millis(0) {
            return self.dispatch(now, call, out);
        }
        if let Some(open) = self.calls.get_mut(&call) {
            open.stage = Stage::Delayed {
                at: now.mono + backoff,
            };
        }
    }

    /// Places the delayed calls that are due, and refuses those whose deadline has passed.
    pub(super) fn dispatch_delayed(&mut self, now: Now, out: &mut Vec<Action>) {
        let is_due =
            |open: &OpenCall| matches!(open.stage, Stage::Delayed { at } if now.mono >= at);
        let calls = self.calls.iter().filter(|(_, open)| is_due(open));
        let calls: Vec<(Call, bool)> = calls
            .map(|(call, open)| (*call, now.mono >= open.request.deadline))
            .collect();
        for (call, late) in calls {
            if late {
                let refusal = Refusal::not_run(Code::Deadline, None);
                self.refuse_admitted(now, call, refusal, out);
            } else {
                self.dispatch(now, call, out);
            }
        }
    }

    /// Gets the refusal as the caller gets it. Its outcome is "not run" only if no attempt may have
    /// reached an endpoint, and its retry time has jitter. For a forwarded call the peer adds the
    /// jitter.
    pub(super) fn correct_refusal(&mut self, open: &OpenCall, refusal: Refusal) -> Refusal {
        let Refusal {
            code,
            outcome,
            retry_after,
        } = refusal;
        let outcome = match outcome {
            Outcome::NotRun if open.may_have_reached => Outcome::Unknown,
            other => other,
        };
        let cause = |min_wait| retry::RefusalCause { code, min_wait };
        let retry_after = match open.request.origin {
            Origin::Caller => {
                retry_after.map(|min_wait| retry::retry_after(cause(min_wait), &mut self.rng))
            }
            Origin::Peer(_) => retry_after,
        };
        Refusal {
            code,
            outcome,
            retry_after,
        }
    }
}
