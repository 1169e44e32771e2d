//! A router as the entry of calls: it admits from what it was granted, and asks for more.

use super::{
    ASK_AGAIN, Ask, GRANT_TTL, Limits, MAX_ASKS, MAX_WAITING, MAX_WAITING_WORKSPACE, MIN_RETRY,
    Outgo, Role, Scene, Verdict, refuse, row,
    row::{
        Pending,
        Waiting, //
    },
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
    /// Asks to admit one request.
    pub fn admit(&mut self, now: Time, config: &Config, ask: Ask, out: &mut Vec<Outgo>) -> Verdict {
        let Some(scene) = Scene::new(now, config, ask.me, ask.workspace) else {
            return refuse(ask.me, ask.call, MIN_RETRY);
        };
        self.me = ask.me;
        let role = self.role(scene);
        let Some(row) = row(&mut self.rows, scene) else {
            return refuse(ask.me, ask.call, MIN_RETRY);
        };
        row.used = now;
        row.demand.note(now, 1);
        let home = match role {
            Role::Home => return self.admit_as_home(scene, ask.call),
            Role::Entry(home) => home,
        };
        if row.lots.take(now, 1) == 1 {
            if row.is_low(now) {
                self.send_ask(scene, home, out);
            }
            return Verdict::Admit;
        }
        if now < row.refuse_until {
            return refuse(ask.me, ask.call, row.refuse_until.since(now));
        }
        let Some(home) = home.filter(|_| !row.is_unanswered(now)) else {
            return row.static_verdict(scene, self.homes.len(), ask.call);
        };
        if self.waiting.len() >= MAX_WAITING || row.waiting.len() >= MAX_WAITING_WORKSPACE {
            return refuse(ask.me, ask.call, MIN_RETRY);
        }
        row.wait(Waiting {
            call: ask.call,
            priority: ask.priority,
            since: now,
        });
        self.waiting.insert(ask.call, ask.workspace);
        self.send_ask(scene, Some(home), out);
        Verdict::Wait
    }

    /// Notes a home's grant.
    pub fn granted(
        &mut self,
        now: Time,
        workspace: WorkspaceKey,
        granted: u32,
        retry_after: Millis,
        nonce: u64,
        out: &mut Vec<Outgo>,
    ) {
        let Some(row) = self.rows.get_mut(workspace) else {
            return;
        };
        // An answer to a question that was given up or answered before brings nothing: its grant
        // expires unused.
        let Some(pending) = row.pending.take_if(|p| p.nonce == nonce) else {
            return;
        };
        self.homes.heard(pending.home);
        self.homes.answered(pending.home, now.since(pending.sent));
        if granted == 0 && retry_after == Millis(0) {
            row.handed = true;
            return;
        }
        row.static_share = None;
        // A home counts a single request as used at once, so it must not be kept for later.
        if granted > 1 || !row.waiting.is_empty() || row.relayed > 0 {
            row.lots.add(granted, pending.at + GRANT_TTL);
        }
        row.relayed = 0;
        let me = self.me;
        row.admit_waiting(now, |call| {
            self.waiting.swap_remove(&call);
            out.push(Outgo::Decided {
                call,
                verdict: Verdict::Admit,
            });
        });
        if granted < pending.want {
            row.refuse_until = now + retry_after;
            row.refused = now;
            row.refuser = Some(pending.home);
            row.refuse_waiting(now, |call, after| {
                self.waiting.swap_remove(&call);
                let verdict = refuse(me, call, after);
                out.push(Outgo::Decided { call, verdict });
            });
        } else if !row.waiting.is_empty() {
            self.nonce += 1;
            let want = row.want(now);
            row.pending = Some(Pending::new(now, pending.home, want, self.nonce));
            out.push(Outgo::Ask {
                home: pending.home,
                workspace,
                want,
                nonce: self.nonce,
            });
        }
    }

    pub(super) fn tick_pending(&mut self, now: Time, out: &mut Vec<Outgo>) {
        for (workspace, row) in &mut self.rows {
            let Some(pending) = &mut row.pending else {
                continue;
            };
            let home = pending.home;
            if now.since(pending.sent) < self.homes.patience(home, ASK_AGAIN) {
                continue;
            }
            if pending.asks >= MAX_ASKS {
                // A home from before a change of the fleet may not know this router yet.
                if !pending.is_old {
                    self.homes.failed(now, home);
                }
                row.pending = None;
                continue;
            }
            pending.asks += 1;
            pending.sent = now;
            out.push(Outgo::Ask {
                home,
                workspace,
                want: pending.want,
                nonce: pending.nonce,
            });
        }
    }

    /// Decides what has waited too long by the static share.
    pub(super) fn tick_waiting(&mut self, scene: Scene, out: &mut Vec<Outgo>) {
        let Some(row) = self.rows.get_mut(scene.workspace) else {
            return;
        };
        while let Some(waiting) = row.overdue(scene.now) {
            let call = waiting.call;
            let verdict = row.static_verdict(scene, self.homes.len(), call);
            self.waiting.swap_remove(&call);
            out.push(Outgo::Decided { call, verdict });
        }
    }

    /// Asks for the calls that wait without a question on its way, or decides them where this
    /// router has become the home.
    pub(super) fn ask_for_waiting(&mut self, scene: Scene, out: &mut Vec<Outgo>) {
        let Some(row) = self.rows.get(scene.workspace) else {
            return;
        };
        if row.pending.is_some() || scene.now < row.refuse_until || !row.is_wanting() {
            return;
        }
        match self.role(scene) {
            Role::Entry(home) => self.send_ask(scene, home, out),
            Role::Home => {
                let Some(row) = self.rows.get_mut(scene.workspace) else {
                    return;
                };
                row.relayed = 0;
                for waiting in std::mem::take(&mut row.waiting) {
                    let call = waiting.call;
                    self.waiting.swap_remove(&call);
                    let verdict = self.admit_as_home(scene, call);
                    out.push(Outgo::Decided { call, verdict });
                }
            }
        }
    }

    pub(super) fn send_ask(&mut self, scene: Scene, home: Option<RouterKey>, out: &mut Vec<Outgo>) {
        let (Some(home), Some(row)) = (home, self.rows.get_mut(scene.workspace)) else {
            return;
        };
        if row.pending.is_some() || scene.now < row.refuse_until {
            return;
        }
        self.nonce += 1;
        let want = row.want(scene.now);
        let old = self.homes.predecessor(scene.now, scene.me, scene.tag);
        let mut pending = Pending::new(scene.now, home, want, self.nonce);
        pending.is_old = old == Some(home);
        row.pending = Some(pending);
        out.push(Outgo::Ask {
            home,
            workspace: scene.workspace,
            want,
            nonce: self.nonce,
        });
    }
}
