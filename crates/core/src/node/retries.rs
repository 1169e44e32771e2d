//! Calls that are placed again later, and what refused callers are told.

use super::{
    Node,
    Open,
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
    /// Places a call again after `wait`.
    pub(super) fn again(&mut self, now: Now, call: Call, wait: Millis, out: &mut Vec<Action>) {
        if wait == Millis(0) {
            return self.dispatch(now, call, out);
        }
        if let Some(open) = self.calls.get_mut(&call) {
            open.stage = Stage::Later {
                at: now.mono + wait,
            };
        }
    }

    /// Places the calls whose time has come.
    pub(super) fn tick_later(&mut self, now: Now, out: &mut Vec<Action>) {
        let due = |open: &Open| matches!(open.stage, Stage::Later { at } if now.mono >= at);
        let calls = self.calls.iter().filter(|(_, open)| due(open));
        let calls: Vec<(Call, bool)> = calls
            .map(|(call, open)| (*call, now.mono >= open.request.deadline))
            .collect();
        for (call, late) in calls {
            if late {
                let refusal = Refusal::not_run(Code::Deadline, None);
                self.end_refused(now, call, refusal, out);
            } else {
                self.dispatch(now, call, out);
            }
        }
    }

    /// Gets what a caller is told: "not run" only where no attempt may have reached an endpoint,
    /// and a time to return that differs from others'. What a peer's caller is told, the peer
    /// spreads.
    pub(super) fn told(&mut self, open: &Open, refusal: Refusal) -> Refusal {
        let Refusal {
            code,
            outcome,
            retry_after,
        } = refusal;
        let outcome = match outcome {
            Outcome::NotRun if open.reached => Outcome::Unknown,
            other => other,
        };
        let cause = |least| retry::Cause { code, least };
        let retry_after = match open.request.origin {
            Origin::Caller => retry_after.map(|least| retry::after(cause(least), &mut self.rng)),
            Origin::Peer(_) => retry_after,
        };
        Refusal {
            code,
            outcome,
            retry_after,
        }
    }
}
