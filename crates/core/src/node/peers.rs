//! What a node hears from its peers and tells them.

use std::sync::Arc;

use super::{
    Node,
    log_member, //
};
use crate::{
    action::{
        Action,
        Decision, //
    },
    arena::RouterKey,
    once::{
        self,
        Vote, //
    },
    peer::{
        Leaving,
        Load,
        Message,
        Summary, //
    },
    units::{
        Incarnation,
        Millis,
        Now, //
    },
};

/// Time after which a node that no peer answers counts as alone, so that the first router of a
/// fleet can start.
const ALONE_AFTER: Millis = Millis(1500);

impl Node {
    pub(super) fn peer(
        &mut self,
        now: Now,
        from: RouterKey,
        incarnation: Incarnation,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        peer.heard = Some(now.mono);
        self.view.heard(now.mono);
        let config = Arc::clone(self.store.current());
        match message {
            Message::Summary(summary) => self.summary(now, from, &summary, out),
            Message::Pull { since } => {
                let message = Message::Push(self.store.after(since));
                out.push(Action::Send {
                    router: from,
                    message,
                });
            }
            Message::Push(change) => {
                self.publish(now, &change, out);
                self.synced = true;
            }
            Message::Ask {
                workspace,
                want,
                nonce,
            } => {
                let Some(key) = config.workspaces.by_tag(workspace) else {
                    return;
                };
                let (granted, retry_after) = self.limits.ask(now.mono, &config, from, key, want);
                let message = Message::Grant {
                    workspace,
                    granted,
                    retry_after,
                    nonce,
                };
                out.push(Action::Send {
                    router: from,
                    message,
                });
            }
            Message::Grant {
                workspace,
                granted,
                retry_after,
                nonce,
            } => {
                let Some(key) = config.workspaces.by_tag(workspace) else {
                    return;
                };
                let mut outgo = Vec::new();
                self.limits
                    .granted(now.mono, key, granted, retry_after, nonce, &mut outgo);
                self.limits_out(now, outgo, out);
            }
            Message::LeaseAsk {
                epoch,
                round,
                lease,
            } => {
                let vote = self
                    .home
                    .vote(now, &config, from, incarnation, (epoch, lease));
                let message = Message::LeaseAnswer {
                    epoch: config.epoch,
                    round,
                    confirmed: vote.confirmed,
                    previous: vote.previous,
                };
                out.push(Action::Send {
                    router: from,
                    message,
                });
            }
            Message::LeaseAnswer {
                epoch,
                round,
                confirmed,
                previous,
            } => {
                let vote = Vote {
                    confirmed,
                    previous,
                };
                self.home
                    .voted(now, from, incarnation, (epoch, round), vote);
            }
        }
    }

    fn summary(&mut self, now: Now, from: RouterKey, summary: &Summary, out: &mut Vec<Action>) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.revision = summary.revision;
        }
        if summary.revision > self.store.held() {
            let message = Message::Pull {
                since: self.store.held(),
            };
            out.push(Action::Send {
                router: from,
                message,
            });
        }
        let config = Arc::clone(self.store.current());
        let key = |l: &Load| Some((config.endpoints.by_tag(l.endpoint)?, l.in_flight));
        let loads: Vec<_> = summary.loads.iter().filter_map(key).collect();
        self.loads.peer(now.mono, from, &loads);
        for one in &summary.leaving {
            let Some(key) = config.endpoints.by_tag(one.endpoint) else {
                continue;
            };
            let changed = self.view.leaving(now.mono, key, one.incarnation);
            log_member(key, changed, out);
        }
    }

    pub(super) fn peer_failed(&mut self, now: Now, router: RouterKey, out: &mut Vec<Action>) {
        let mut outgo = Vec::new();
        self.limits.failed(now.mono, router, &mut outgo);
        self.limits_out(now, outgo, out);
    }

    pub(super) fn tick_peers(&mut self, now: Now, out: &mut Vec<Action>) {
        let config = Arc::clone(self.store.current());
        if self.peers.is_empty() || now.mono.since(self.started) >= ALONE_AFTER {
            self.synced = true;
        }
        let mut lease = Vec::new();
        self.home.tick(now, &config, &mut lease);
        let send = |(router, message)| Action::Send { router, message };
        out.extend(lease.into_iter().map(send));
        if let Some(once::Held { epoch, held }) = self.home.changed(now) {
            out.push(Action::Log(Decision::Lease { epoch, held }));
        }
        if now.mono.since(self.summarized) < config.policy.summary_interval {
            return;
        }
        self.summarized = now.mono;
        let summary = self.make_summary();
        for router in self.peers.keys() {
            let message = Message::Summary(summary.clone());
            out.push(Action::Send { router, message });
            if !self.synced {
                let message = Message::Pull {
                    since: self.store.held(),
                };
                out.push(Action::Send { router, message });
            }
        }
    }

    fn make_summary(&self) -> Summary {
        let config = self.store.current();
        let tag = |key| config.endpoints.get(key).map(|e| e.tag);
        let load = |(key, in_flight)| {
            Some(Load {
                endpoint: tag(key)?,
                in_flight,
            })
        };
        let leaving = |(key, incarnation)| {
            Some(Leaving {
                endpoint: tag(key)?,
                incarnation,
            })
        };
        Summary {
            revision: config.revision,
            epoch: config.epoch,
            loads: self.loads.own().filter_map(load).collect(),
            leaving: self.view.all_leaving().filter_map(leaving).collect(),
            reports: Vec::new(),
        }
    }
}
