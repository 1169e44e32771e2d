//! The stages of a call in the node: admission, forwarding to the key's home, placement, dispatch
//! and refusal.

use std::sync::Arc;

use super::{
    Node,
    OpenCall,
    Stage,
    nth_attempt, //
};
use crate::{
    action::{
        Action,
        Decision, //
    },
    config::Config,
    limits::{
        Ask,
        LimitsOutput,
        Verdict, //
    },
    once::KeyDecision,
    overload,
    peer::Message,
    place::{
        self,
        PlacementContext, //
    },
    request::{
        Call,
        Code,
        Origin,
        Refusal,
        Request,
        Token,
        Work, //
    },
    units::{
        Millis,
        Now,
        Revision, //
    },
};

/// `Retry-After` of refusals whose cause is expected to pass within about a second.
pub(super) const RETRY_AFTER: Millis = Millis(1000);

impl Node {
    pub(super) fn handle_request(
        &mut self,
        now: Now,
        call: Call,
        request: Request,
        out: &mut Vec<Action>,
    ) {
        let admitted_by_peer = matches!(request.origin, Origin::Peer(_));
        let workspace = request.workspace;
        let priority = request.priority;
        let refuse = |code| Refusal::not_run(code, Some(RETRY_AFTER));
        let early_refusal = if self.config().revision == Revision(0) {
            Some(refuse(Code::NotReady))
        } else if self.draining_since.is_some() && !self.accepts_while_draining(&request) {
            Some(refuse(Code::Draining))
        } else if now.mono >= request.deadline {
            Some(Refusal::not_run(Code::Deadline, None))
        } else {
            None
        };
        let open = OpenCall {
            request,
            stage: Stage::Admission,
            attempts: 0,
            tried: Vec::new(),
            may_have_reached: false,
            last_sent: now.mono,
        };
        self.calls.insert(call, open);
        if let Some(refusal) = early_refusal {
            return self.refuse(now, call, refusal, out);
        }
        if admitted_by_peer {
            return self.handle_admitted(now, call, out);
        }
        let config = Arc::clone(self.store.current());
        let mut outputs = Vec::new();
        let ask = Ask {
            me: self.me,
            call,
            workspace,
            priority,
        };
        let verdict = self.limits.admit(now.mono, &config, ask, &mut outputs);
        self.apply_verdict(now, call, verdict, out);
        self.apply_limits_output(now, outputs, out);
    }

    pub(super) fn tick_limits(&mut self, now: Now, out: &mut Vec<Action>) {
        let config = Arc::clone(self.store.current());
        let mut outputs = Vec::new();
        self.limits.tick(now.mono, &config, self.me, &mut outputs);
        self.apply_limits_output(now, outputs, out);
    }

    pub(super) fn apply_limits_output(
        &mut self,
        now: Now,
        outputs: Vec<LimitsOutput>,
        out: &mut Vec<Action>,
    ) {
        for output in outputs {
            match output {
                LimitsOutput::Decided { call, verdict } => {
                    self.apply_verdict(now, call, verdict, out)
                }
                LimitsOutput::Ask {
                    home,
                    workspace,
                    want,
                    nonce,
                } => {
                    let Some(w) = self.config().workspaces.get(workspace) else {
                        continue;
                    };
                    let message = Message::Ask {
                        workspace: w.tag,
                        want,
                        nonce,
                    };
                    out.push(Action::Send {
                        router: home,
                        message,
                    });
                }
            }
        }
    }

    fn apply_verdict(&mut self, now: Now, call: Call, verdict: Verdict, out: &mut Vec<Action>) {
        match verdict {
            Verdict::Admit => self.handle_admitted(now, call, out),
            Verdict::Wait => {}
            Verdict::Refuse { retry_after } => {
                let refusal = Refusal::not_run(Code::OverLimit, Some(retry_after));
                self.refuse(now, call, refusal, out);
            }
        }
    }

    /// Gets the refusal of a call that the overload gate rejects.
    fn check_overload(&mut self, now: Now, call: Call) -> Option<Refusal> {
        let open = self.calls.get(&call)?;
        let scene = PlacementContext {
            config: self.store.current(),
            view: &self.view,
            loads: &self.loads,
            now: now.mono,
        };
        let is_dispatched = |o: &&OpenCall| matches!(o.stage, Stage::Dispatched { .. });
        let others = self.calls.values().filter(is_dispatched);
        let others = others.map(|o| o.request.workspace);
        match self.gate.admit(scene, &open.request, others, &mut self.rng) {
            overload::Verdict::Admit => None,
            overload::Verdict::DeadlineUnreachable => Some(Refusal::not_run(Code::Deadline, None)),
            overload::Verdict::Shed { retry_after } => {
                Some(Refusal::not_run(Code::Overloaded, Some(retry_after)))
            }
        }
    }

    fn handle_admitted(&mut self, now: Now, call: Call, out: &mut Vec<Action>) {
        if let Some(refusal) = self.check_overload(now, call) {
            return self.refuse(now, call, refusal, out);
        }
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        self.budget.first(&self.store.current().policy);
        let Work::Once { key, content, .. } = open.request.work else {
            return self.dispatch(now, call, out);
        };
        let config = Arc::clone(self.store.current());
        let home = config.home(key.item());
        let from_peer = matches!(open.request.origin, Origin::Peer(_));
        match home {
            Some(router) if Some(router) != self.me => {
                if from_peer {
                    // The routers have different fleet lists; forwarding again could loop.
                    let refusal = Refusal::unknown(Code::HomeUnavailable, Some(RETRY_AFTER));
                    return self.refuse(now, call, refusal, out);
                }
                open.stage = Stage::Forwarded;
                let deadline = open.request.deadline;
                out.push(Action::Forward {
                    call,
                    router,
                    deadline,
                });
                out.push(Action::Log(Decision::Forwarded { call, router }));
            }
            _ => match self.home.begin(now, &config, call, key, content) {
                KeyDecision::Run => self.dispatch(now, call, out),
                KeyDecision::Wait => open.stage = Stage::WaitingForFirst,
                KeyDecision::Refuse(refusal) => self.send_refusal(now, call, refusal, out),
                KeyDecision::Replay(answer) => {
                    self.calls.swap_remove(&call);
                    out.push(Action::Replay { call, answer });
                    out.push(Action::Log(Decision::Replayed { call }));
                }
            },
        }
    }

    pub(super) fn dispatch(&mut self, now: Now, call: Call, out: &mut Vec<Action>) {
        let config = Arc::clone(self.store.current());
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        let mut not_after = None;
        if let Work::Once { key, .. } = open.request.work {
            not_after = self.home.send_deadline(now, key);
            if not_after.is_none() {
                let refusal = Refusal::not_run(Code::HomeUnavailable, Some(RETRY_AFTER));
                return self.refuse_admitted(now, call, refusal, out);
            }
        }
        let scene = PlacementContext {
            config: &config,
            view: &self.view,
            loads: &self.loads,
            now: now.mono,
        };
        let work =
            self.recent
                .with_presumed_token(scene, open.request.workspace, &open.request.work);
        let Some(placed) = place::choose(scene, &work, &open.tried, &mut self.rng) else {
            if self.view.recently_paused(now.mono) {
                // The view predates a pause of the process; the next polls may confirm an endpoint.
                open.stage = Stage::Delayed { at: now.mono };
                return;
            }
            return self.no_endpoint(now, call, out);
        };
        let endpoint = placed.endpoint;
        open.attempts += 1;
        open.stage = Stage::Dispatched {
            endpoint,
            incarnation: self.view.incarnation(endpoint),
        };
        open.tried.push(endpoint);
        open.last_sent = now.mono;
        let load = self.loads.estimate(now.mono, endpoint);
        self.loads.sent(now.mono, endpoint);
        let needs_summary = self.loads.must_announce(endpoint, placed.limit);
        let token = match (&open.request.work, config.endpoints.get(endpoint)) {
            (Work::Chat { token, .. }, Some(e)) => Some(Token {
                last: e.tag,
                incarnation: self.view.incarnation(endpoint),
                before: token.map(|t| t.last).filter(|t| *t != e.tag),
            }),
            _ => None,
        };
        let attempt = nth_attempt(open.attempts);
        let workspace = open.request.workspace;
        let deadline = open.request.deadline;
        let idle = config.policy.idle_timeout;
        if let Work::Chat { model, prefix, .. } = open.request.work {
            if let Some(from) = placed.import_from {
                out.push(Action::Import {
                    call: Some(call),
                    prefix,
                    from,
                    to: endpoint,
                });
            }
            let incarnation = self.view.incarnation(endpoint);
            self.recent.note(prefix, model, (endpoint, incarnation));
        }
        out.push(Action::Dispatch {
            call,
            attempt,
            endpoint,
            deadline,
            idle,
            token,
            not_after,
        });
        let view_age = self.view_age(now);
        let decision = Decision::Placed {
            call,
            attempt,
            workspace,
            placed,
            load,
            view_age,
        };
        out.push(Action::Log(decision));
        if needs_summary {
            self.send_summaries_soon(now, out);
        }
    }

    fn no_endpoint(&mut self, now: Now, call: Call, out: &mut Vec<Action>) {
        let refusal = Refusal::not_run(Code::NoEndpoint, Some(RETRY_AFTER));
        self.refuse_admitted(now, call, refusal, out);
    }

    /// Refuses a call. For a call that runs at most once, "not run" becomes "unknown" unless this
    /// router can rule out an earlier run of its key.
    pub(super) fn refuse(&mut self, now: Now, call: Call, refusal: Refusal, out: &mut Vec<Action>) {
        let refusal = match self.calls.get(&call) {
            Some(open) => self.correct_unverified_outcome(now, &open.request.work, refusal),
            None => return,
        };
        self.send_refusal(now, call, refusal, out);
    }

    /// Refuses the calls that wait for a grant of a removed workspace. Their queue was removed with
    /// the workspace, so nothing else would answer the callers.
    pub(super) fn refuse_removed(&mut self, now: Now, config: &Config, out: &mut Vec<Action>) {
        let is_removed = |open: &OpenCall| {
            open.stage == Stage::Admission
                && config.workspaces.get(open.request.workspace).is_none()
        };
        let removed = self.calls.iter().filter(|(_, open)| is_removed(open));
        let removed: Vec<Call> = removed.map(|(call, _)| *call).collect();
        for call in removed {
            self.limits.gone(call);
            self.refuse(now, call, Refusal::not_run(Code::Forbidden, None), out);
        }
    }

    /// Ends a call with a refusal. Its outcome covers all attempts, not only the last one.
    pub(super) fn send_refusal(
        &mut self,
        now: Now,
        call: Call,
        refusal: Refusal,
        out: &mut Vec<Action>,
    ) {
        let Some(open) = self.calls.swap_remove(&call) else {
            return;
        };
        let workspace = open.request.workspace;
        let refusal = self.correct_refusal(&open, refusal);
        let view_age = self.view_age(now);
        out.push(Action::Refuse { call, refusal });
        out.push(Action::Log(Decision::Refused {
            call,
            workspace,
            refusal,
            view_age,
        }));
    }
}
