//! Messages from peers, and the summaries sent to them.

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
    limits::GrantRequest,
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

/// Time after the start for which a node waits for the configuration of a peer. It bounds the wait
/// so that the first router of a fleet can become ready.
const PEER_SYNC_TIMEOUT: Millis = Millis(1500);

/// Shortest time between two summaries. It bounds the extra summaries that a burst of requests
/// causes.
const MIN_SUMMARY_GAP: Millis = TICK;

impl Node {
    pub(super) fn handle_peer_message(
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
        peer.last_heard = Some(now.mono);
        self.view.heard(now.mono);
        self.view.peer(now.mono, from, true);
        self.limits.heard(from);
        let config = Arc::clone(self.store.current());
        match message {
            Message::Summary(summary) => self.handle_summary(now, from, &summary, out),
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
                self.apply_change(now, &change, out);
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
                let request = GrantRequest {
                    me: self.me,
                    from,
                    workspace: key,
                    want,
                };
                let mut outputs = Vec::new();
                let (granted, retry_after) =
                    self.limits.ask(now.mono, &config, request, &mut outputs);
                self.apply_limits_output(now, outputs, out);
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
                let mut outputs = Vec::new();
                self.limits
                    .granted(now.mono, key, granted, retry_after, nonce, &mut outputs);
                self.apply_limits_output(now, outputs, out);
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

    fn handle_summary(
        &mut self,
        now: Now,
        from: RouterKey,
        summary: &Summary,
        out: &mut Vec<Action>,
    ) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.revision = summary.revision;
        }
        self.orders.heard(now.mono, from, summary.revision);
        // Compares with the revision in force, not the newest one held: that one may be invalid,
        // and this node may have missed a valid one in between that the peer has in force.
        let since = self.config().revision;
        if summary.revision > since && self.config_reads.pull(now.mono) {
            let message = Message::Pull { since };
            out.push(Action::Send {
                router: from,
                message,
            });
        }
        let config = Arc::clone(self.store.current());
        let by_key = |l: &Load| Some((config.endpoints.by_tag(l.endpoint)?, l.in_flight));
        let loads: Vec<_> = summary.loads.iter().filter_map(by_key).collect();
        self.loads.peer(now.mono, from, &loads);
        for leaving in &summary.leaving {
            let Some(key) = config.endpoints.by_tag(leaving.endpoint) else {
                continue;
            };
            let changed = self.view.leaving(now.mono, key, leaving.incarnation);
            log_member(key, changed, out);
        }
        self.apply_peer_reports(now, &config, &summary.reports, out);
    }

    fn apply_peer_reports(
        &mut self,
        now: Now,
        config: &Config,
        reports: &[peer::Report],
        out: &mut Vec<Action>,
    ) {
        let interval = config.policy.summary_interval;
        for peer_report in reports {
            let Some(key) = config.endpoints.by_tag(peer_report.endpoint) else {
                continue;
            };
            let report = event::Report {
                incarnation: peer_report.incarnation,
                age: peer_report.age,
                in_flight: peer_report.in_flight,
                queued: peer_report.queued,
                leaving: false,
                loaded: None,
            };
            self.loads.report(now.mono, key, &report);
            let incarnation = peer_report.incarnation;
            let changed = self.view.reported(now.mono, key, incarnation, interval);
            log_member(key, changed, out);
        }
    }

    pub(super) fn handle_peer_failure(
        &mut self,
        now: Now,
        router: RouterKey,
        out: &mut Vec<Action>,
    ) {
        self.view.peer(now.mono, router, false);
        let mut outputs = Vec::new();
        let config = Arc::clone(self.store.current());
        self.limits
            .failed(now.mono, &config, self.me, router, &mut outputs);
        self.apply_limits_output(now, outputs, out);
    }

    pub(super) fn tick_peers(&mut self, now: Now, out: &mut Vec<Action>) {
        let config = Arc::clone(self.store.current());
        // Before the first configuration the list of peers is empty even if there are peers. A new
        // router that reads a stale service would otherwise become ready with a revision that its
        // peers have already replaced.
        let has_no_peers = self.peers.is_empty() && config.revision > Revision(0);
        if has_no_peers || now.mono.since(self.started) >= PEER_SYNC_TIMEOUT {
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
        if self.summary_due || now.mono.since(self.last_summary) >= interval {
            self.send_summaries(now, out);
        }
    }

    /// Sends every peer a summary before the regular interval ends, but at least
    /// [`MIN_SUMMARY_GAP`] after the last one.
    pub(super) fn send_summaries_soon(&mut self, now: Now, out: &mut Vec<Action>) {
        if now.mono.since(self.last_summary) >= MIN_SUMMARY_GAP {
            self.send_summaries(now, out);
        } else {
            self.summary_due = true;
        }
    }

    fn send_summaries(&mut self, now: Now, out: &mut Vec<Action>) {
        let since = self.config().revision;
        self.last_summary = now.mono;
        self.summary_due = false;
        let summary = self.build_summary(now);
        self.loads.mark_announced();
        for router in self.peers.keys() {
            let message = Message::Summary(summary.clone());
            out.push(Action::Send { router, message });
            if !self.synced {
                let message = Message::Pull { since };
                out.push(Action::Send { router, message });
            }
        }
    }

    fn build_summary(&mut self, now: Now) -> Summary {
        let polled = std::mem::take(&mut self.polled_reports);
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
        // Leaving endpoints are listed separately, and a poll from before a pause is out of date.
        let max_age = config.policy.summary_interval + MAX_REPORT_TRANSIT;
        let is_fresh = |key: &_| {
            let last_confirmed = self.view.last_confirmed(*key);
            self.view.state(now.mono, *key) != State::Leaving
                && last_confirmed.is_some_and(|t| now.mono.since(t) <= max_age)
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
        let polled = polled.into_iter().filter(|(key, _)| is_fresh(key));
        Summary {
            revision: config.revision,
            epoch: config.epoch,
            loads: self.loads.own().filter_map(load).collect(),
            leaving: self.view.all_leaving().filter_map(leaving).collect(),
            reports: polled.filter_map(report).collect(),
        }
    }
}
