//! Admission at the router that a call arrives at: it admits from its grants, and requests more.

use super::{
    Ask, GRANT_TTL, Limits, LimitsOutput, MAX_SENDS, MAX_WAITING, MAX_WAITING_PER_WORKSPACE,
    MIN_RESEND_TIMEOUT, MIN_RETRY_AFTER, Role, Scene, Verdict, refuse,
    state::{
        Pending,
        Waiting, //
    },
    state_mut,
};
use crate::{
    arena::{
        RouterKey,
        WorkspaceKey, //
    },
    config::Config,
    units::{
        Millis,
        Time, //
    },
};

impl Limits {
    /// Decides whether to admit one request.
    pub fn admit(
        &mut self,
        now: Time,
        config: &Config,
        ask: Ask,
        out: &mut Vec<LimitsOutput>,
    ) -> Verdict {
        let Some(scene) = Scene::new(now, config, ask.me, ask.workspace) else {
            return refuse(ask.me, ask.call, MIN_RETRY_AFTER);
        };
        self.me = ask.me;
        let role = self.role(scene);
        let Some(state) = state_mut(&mut self.states, scene) else {
            return refuse(ask.me, ask.call, MIN_RETRY_AFTER);
        };
        state.last_request = now;
        state.demand.note(now, 1);
        let home = match role {
            Role::Home => return self.admit_as_home(scene, ask.call),
            Role::Entry(home) => home,
        };
        if state.grants.take(now, 1) == 1 {
            if state.needs_refill(now) {
                self.send_grant_request(scene, home, out);
            }
            return Verdict::Admit;
        }
        if now < state.refuse_until {
            return refuse(ask.me, ask.call, state.refuse_until.since(now));
        }
        let Some(home) = home.filter(|_| !state.is_unanswered(now)) else {
            return state.static_verdict(scene, self.homes.len(), ask.call);
        };
        if self.waiting.len() >= MAX_WAITING || state.waiting.len() >= MAX_WAITING_PER_WORKSPACE {
            return refuse(ask.me, ask.call, MIN_RETRY_AFTER);
        }
        state.enqueue(Waiting {
            call: ask.call,
            priority: ask.priority,
            since: now,
        });
        self.waiting.insert(ask.call, ask.workspace);
        self.send_grant_request(scene, Some(home), out);
        Verdict::Wait
    }

    /// Handles the answer of a home to a grant request.
    pub fn granted(
        &mut self,
        now: Time,
        workspace: WorkspaceKey,
        granted: u32,
        retry_after: Millis,
        nonce: u64,
        out: &mut Vec<LimitsOutput>,
    ) {
        let Some(state) = self.states.get_mut(workspace) else {
            return;
        };
        // Ignores an answer to a request that was dropped or has been answered before: its grant
        // expires unused.
        let Some(pending) = state.pending.take_if(|p| p.nonce == nonce) else {
            return;
        };
        self.homes.mark_reachable(pending.home);
        self.homes
            .record_round_trip(pending.home, now.since(pending.last_sent));
        if granted == 0 && retry_after == Millis(0) {
            state.home_confirmed = true;
            return;
        }
        state.static_share = None;
        // The home counts a grant of a single request as used at once, so it must not be held.
        if granted > 1 || !state.waiting.is_empty() || state.relayed > 0 {
            state.grants.add(granted, pending.first_sent + GRANT_TTL);
        }
        state.relayed = 0;
        let me = self.me;
        state.admit_waiting(now, |call| {
            self.waiting.swap_remove(&call);
            out.push(LimitsOutput::Decided {
                call,
                verdict: Verdict::Admit,
            });
        });
        if granted < pending.want {
            state.refuse_until = now + retry_after;
            state.refused_at = now;
            state.refused_by = Some(pending.home);
            state.refuse_waiting(now, |call, after| {
                self.waiting.swap_remove(&call);
                let verdict = refuse(me, call, after);
                out.push(LimitsOutput::Decided { call, verdict });
            });
        } else if !state.waiting.is_empty() {
            self.nonce += 1;
            let want = state.want(now);
            state.pending = Some(Pending::new(now, pending.home, want, self.nonce));
            out.push(LimitsOutput::Ask {
                home: pending.home,
                workspace,
                want,
                nonce: self.nonce,
            });
        }
    }

    /// Sends unanswered grant requests again, and drops them after [`MAX_SENDS`].
    pub(super) fn resend_pending(&mut self, now: Time, out: &mut Vec<LimitsOutput>) {
        for (workspace, state) in &mut self.states {
            let Some(pending) = &mut state.pending else {
                continue;
            };
            let home = pending.home;
            if now.since(pending.last_sent) < self.homes.resend_timeout(home, MIN_RESEND_TIMEOUT) {
                continue;
            }
            if pending.sends >= MAX_SENDS {
                // The home under the previous fleet list may not know this router yet.
                if !pending.to_predecessor {
                    self.homes.mark_unreachable(now, home);
                }
                state.pending = None;
                continue;
            }
            pending.sends += 1;
            pending.last_sent = now;
            out.push(LimitsOutput::Ask {
                home,
                workspace,
                want: pending.want,
                nonce: pending.nonce,
            });
        }
    }

    /// Decides the calls that have waited too long, by the static share.
    pub(super) fn decide_overdue(&mut self, scene: Scene, out: &mut Vec<LimitsOutput>) {
        let Some(state) = self.states.get_mut(scene.workspace) else {
            return;
        };
        while let Some(waiting) = state.overdue(scene.now) {
            let call = waiting.call;
            let verdict = state.static_verdict(scene, self.homes.len(), call);
            self.waiting.swap_remove(&call);
            out.push(LimitsOutput::Decided { call, verdict });
        }
    }

    /// Sends a grant request for waiting calls if none is pending, or decides the calls if this
    /// router has become the home.
    pub(super) fn request_for_waiting(&mut self, scene: Scene, out: &mut Vec<LimitsOutput>) {
        let Some(state) = self.states.get(scene.workspace) else {
            return;
        };
        if state.pending.is_some() || scene.now < state.refuse_until || !state.has_unmet_demand() {
            return;
        }
        match self.role(scene) {
            Role::Entry(home) => self.send_grant_request(scene, home, out),
            Role::Home => {
                let Some(state) = self.states.get_mut(scene.workspace) else {
                    return;
                };
                state.relayed = 0;
                for waiting in std::mem::take(&mut state.waiting) {
                    let call = waiting.call;
                    self.waiting.swap_remove(&call);
                    let verdict = self.admit_as_home(scene, call);
                    out.push(LimitsOutput::Decided { call, verdict });
                }
            }
        }
    }

    pub(super) fn send_grant_request(
        &mut self,
        scene: Scene,
        home: Option<RouterKey>,
        out: &mut Vec<LimitsOutput>,
    ) {
        let (Some(home), Some(state)) = (home, self.states.get_mut(scene.workspace)) else {
            return;
        };
        if state.pending.is_some() || scene.now < state.refuse_until {
            return;
        }
        self.nonce += 1;
        let want = state.want(scene.now);
        let predecessor = self.homes.predecessor(scene.now, scene.me, scene.tag);
        let mut pending = Pending::new(scene.now, home, want, self.nonce);
        pending.to_predecessor = predecessor == Some(home);
        state.pending = Some(pending);
        out.push(LimitsOutput::Ask {
            home,
            workspace: scene.workspace,
            want,
            nonce: self.nonce,
        });
    }
}
