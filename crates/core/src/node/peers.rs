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
    config::Config,
    event::{
        self,
        TICK, //
    },
    limits::Question,
    membership::{
        State,
        pollers::MAX_REPORT_TRANSIT, //
    },
    once::{
        self,
        Vote, //
    },
    peer::{
        self,
        Leaving,
        Load,
        Message,
        Summary, //
    },
    units::{
        Incarnation,
        Millis,
        Now,
        Revision, //
    },
};

/// Time after which a node that no peer answers counts as alone, so that the first router of a
/// fleet can start.
const ALONE_AFTER: Millis = Millis(1500);

/// Shortest time between two summaries, which bounds what a burst of requests adds to them.
const EARLY_GAP: Millis = TICK;

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
        self.view.peer(now.mono, from, true);
        self.limits.heard(from);
        let config = Arc::clone(self.store.current());
        match message {
            Message::Summary(summary) => self.summary(now, from, &summary, out),
            Message::Pull { since } => {
                for change in self.store.after(since) {
                    let message = Message::Push(change);
                    out.push(Action::Send {
                        router: from,
                        message,
                    });
                }
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
                let question = Question {
                    me: self.me,
                    from,
                    workspace: key,
                    want,
                };
                let mut outgo = Vec::new();
                let (granted, retry_after) =
                    self.limits.ask(now.mono, &config, question, &mut outgo);
                self.limits_out(now, outgo, out);
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
                    .record_vote(now, from, incarnation, (epoch, round), vote);
            }
        }
    }

    fn summary(&mut self, now: Now, from: RouterKey, summary: &Summary, out: &mut Vec<Action>) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.revision = summary.revision;
        }
        self.orders.heard(now.mono, from, summary.revision);
        // What counts is the revision in force: this node may hold a newer one that is invalid,
        // and have missed the valid one in between that the peer has in force.
        let since = self.config().revision;
        if summary.revision > since && self.reading.pull(now.mono) {
            let message = Message::Pull { since };
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
        self.reports(now, &config, &summary.reports, out);
    }

    fn reports(
        &mut self,
        now: Now,
        config: &Config,
        reports: &[peer::Report],
        out: &mut Vec<Action>,
    ) {
        let interval = config.policy.summary_interval;
        for one in reports {
            let Some(key) = config.endpoints.by_tag(one.endpoint) else {
                continue;
            };
            let report = event::Report {
                incarnation: one.incarnation,
                age: one.age,
                in_flight: one.in_flight,
                queued: one.queued,
                leaving: false,
                loaded: None,
            };
            self.loads.report(now.mono, key, &report);
            let life = one.incarnation;
            let changed = self.view.reported(now.mono, key, life, interval);
            log_member(key, changed, out);
        }
    }

    pub(super) fn peer_failed(&mut self, now: Now, router: RouterKey, out: &mut Vec<Action>) {
        self.view.peer(now.mono, router, false);
        let mut outgo = Vec::new();
        let config = Arc::clone(self.store.current());
        self.limits
            .failed(now.mono, &config, self.me, router, &mut outgo);
        self.limits_out(now, outgo, out);
    }

    pub(super) fn tick_peers(&mut self, now: Now, out: &mut Vec<Action>) {
        let config = Arc::clone(self.store.current());
        // Before the first configuration no peer is known, which doesn't mean that there is none: a
        // fresh router on a stale service would be ready with what its peers have left behind.
        let alone = self.peers.is_empty() && config.revision > Revision(0);
        if alone || now.mono.since(self.started) >= ALONE_AFTER {
            self.synced = true;
        }
        let mut lease = Vec::new();
        self.home.tick(now, &config, &mut lease);
        let send = |(router, message)| Action::Send { router, message };
        out.extend(lease.into_iter().map(send));
        if let Some(once::LeaseChange { epoch, held }) = self.home.changed(now) {
            out.push(Action::Log(Decision::Lease { epoch, held }));
        }
        let interval = config.policy.summary_interval;
        if self.early || now.mono.since(self.summarized) >= interval {
            self.tell_peers(now, out);
        }
    }

    /// Sends every peer a summary before its time, but no sooner than [`EARLY_GAP`] after the last.
    pub(super) fn tell_soon(&mut self, now: Now, out: &mut Vec<Action>) {
        if now.mono.since(self.summarized) >= EARLY_GAP {
            self.tell_peers(now, out);
        } else {
            self.early = true;
        }
    }

    /// Sends every peer a summary now.
    fn tell_peers(&mut self, now: Now, out: &mut Vec<Action>) {
        let since = self.config().revision;
        self.summarized = now.mono;
        self.early = false;
        let summary = self.make_summary(now);
        self.loads.shared();
        for router in self.peers.keys() {
            let message = Message::Summary(summary.clone());
            out.push(Action::Send { router, message });
            if !self.synced {
                let message = Message::Pull { since };
                out.push(Action::Send { router, message });
            }
        }
    }

    fn make_summary(&mut self, now: Now) -> Summary {
        let polled = std::mem::take(&mut self.reports);
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
        // Those that leave are told as leaving; a poll from before a pause is no news.
        let known = config.policy.summary_interval + MAX_REPORT_TRANSIT;
        let fresh = |key: &_| {
            let last_confirmed = self.view.last_confirmed(*key);
            self.view.state(now.mono, *key) != State::Leaving
                && last_confirmed.is_some_and(|t| now.mono.since(t) <= known)
        };
        let report = |(key, (at, report)): (_, (_, event::Report))| {
            Some(peer::Report {
                endpoint: tag(key)?,
                incarnation: self.view.incarnation(key),
                in_flight: report.in_flight,
                queued: report.queued,
                age: report.age + now.mono.since(at),
            })
        };
        let polled = polled.into_iter().filter(|(key, _)| fresh(key));
        Summary {
            revision: config.revision,
            epoch: config.epoch,
            loads: self.loads.own().filter_map(load).collect(),
            leaving: self.view.all_leaving().filter_map(leaving).collect(),
            reports: polled.filter_map(report).collect(),
        }
    }
}
