//! Simulated driver of each router: executes the actions of its node.

use rand::RngExt;
use toucanturn_core::{
    action::Action,
    arena::EndpointKey,
    event::{
        Event,
        Report,
        Source,
        TICK, //
    },
    ids::Id,
    peer::Change,
    request::{
        Answer,
        Attempt,
        Call,
        End,
        Origin, //
    },
    units::{
        Incarnation,
        Revision,
        Time, //
    },
};

use super::{
    Fault,
    Job,
    NAMES,
    ReplyTo,
    Simulation, //
};

const WATCH_RETRY_MS: u64 = 500;
const IDLE_TIMEOUT_MS: u64 = 5000;

impl Simulation {
    pub(super) fn run_job(&mut self, index: usize, job: Job) {
        match job {
            Job::Tick => {
                self.schedule(TICK.0, index, Job::Tick);
                self.handle(index, Event::Tick);
            }
            Job::Event(event) => self.handle(index, *event),
            Job::Peer {
                from,
                incarnation,
                message,
            } => {
                let node = &self.processes[index].node;
                let Some(from) = node.config().fleet.key(&Id::try_from(from).unwrap()) else {
                    return;
                };
                let incarnation = Incarnation(incarnation);
                let event = Event::Peer {
                    from,
                    incarnation,
                    message,
                };
                self.handle(index, event);
            }
            Job::Forward {
                from,
                call,
                request_index,
                remaining_ms,
            } => {
                let sender = Id::try_from(self.processes[from].name).unwrap();
                let Some(peer) = self.processes[index].node.config().fleet.key(&sender) else {
                    return;
                };
                let own_call = self.next_call(index);
                let reply_to = ReplyTo::EntryRouter {
                    process: from,
                    call,
                    request_index,
                };
                self.reply_targets.insert((index, own_call), reply_to);
                let key = self.requests[request_index].key;
                let event = self.request(index, own_call, key, Origin::Peer(peer), remaining_ms);
                self.handle(index, event);
            }
            Job::Write {
                call,
                attempt,
                not_after,
            } => self.write(index, call, attempt, not_after),
        }
    }

    pub(super) fn handle(&mut self, index: usize, event: Event) {
        let now = self.clock(index);
        let mut out = Vec::new();
        self.processes[index].node.handle(now, event, &mut out);
        for action in out {
            self.execute_action(index, action);
        }
    }

    pub(super) fn execute_action(&mut self, index: usize, action: Action) {
        match action {
            Action::Dispatch {
                call,
                attempt,
                not_after,
                ..
            } => {
                if not_after.is_none() {
                    self.violations
                        .push(format!("{call:?} is dispatched without a send deadline"));
                }
                let delay_ms = self.rng.random_range(0..20);
                self.schedule(
                    delay_ms,
                    index,
                    Job::Write {
                        call,
                        attempt,
                        not_after,
                    },
                );
            }
            Action::Forward {
                call,
                router,
                deadline,
            } => {
                if let Some(ReplyTo::EntryRouter { .. }) = self.reply_targets.get(&(index, call)) {
                    self.violations.push(format!("{call:?} is forwarded twice"));
                }
                let remaining_ms = deadline.since(self.clock(index).mono).0;
                let failed = Event::ForwardFailed { call, sent: true };
                self.schedule(remaining_ms, index, Job::Event(Box::new(failed)));
                let request_index = self.request_index(index, call);
                let job = Job::Forward {
                    from: index,
                    call,
                    request_index,
                    remaining_ms,
                };
                let config = self.processes[index].node.config();
                let to = config.fleet.get(router).map(|r| r.id.to_string());
                self.send_to_router(index, &to.unwrap_or_default(), job);
            }
            Action::Refuse { call, refusal } => self.deliver_reply(index, call, Some(refusal)),
            Action::Replay { call, .. } | Action::Finish { call, .. } => {
                self.deliver_reply(index, call, None);
            }
            Action::Send { router, message } => {
                let process = &self.processes[index];
                let (from, incarnation) = (process.name, process.incarnation);
                let to = process
                    .node
                    .config()
                    .fleet
                    .get(router)
                    .map(|r| r.id.to_string());
                let job = Job::Peer {
                    from,
                    incarnation,
                    message,
                };
                self.send_to_router(index, &to.unwrap_or_default(), job);
            }
            Action::Watch { since } => self.answer_watch(index, since),
            Action::Poll { endpoint } | Action::Probe { endpoint } => {
                self.answer_poll(index, endpoint)
            }
            _ => {}
        }
    }

    /// Answers a poll or probe as a healthy endpoint that stays: only routers and the network
    /// between them fail here.
    fn answer_poll(&mut self, index: usize, endpoint: EndpointKey) {
        let delay_ms = self.latency();
        let report = Some(Report::default());
        let event = Event::Polled { endpoint, report };
        self.schedule(delay_ms, index, Job::Event(Box::new(event)));
    }

    pub(super) fn answer_watch(&mut self, index: usize, since: Revision) {
        let newest = self.served_revisions[self.processes[index].name].min(self.revision());
        if newest <= since.0 {
            return self.schedule(
                WATCH_RETRY_MS,
                index,
                Job::Event(Box::new(Event::ReadFailed)),
            );
        }
        let newer = |c: &&Change| c.revision > since && c.revision.0 <= newest;
        let changes = self.history.iter().filter(newer);
        let change = Change {
            since,
            revision: Revision(newest),
            entries: changes.flat_map(|c| c.entries.clone()).collect(),
            floor: None,
        };
        let source = Source::Service;
        let delay_ms = self.latency();
        let event = Event::Publish { source, change };
        self.schedule(delay_ms, index, Job::Event(Box::new(event)));
    }

    /// Sends a job to another router, unless a partition, a loss or the replacement of the sender
    /// prevents it.
    pub(super) fn send_to_router(&mut self, from: usize, to: &str, job: Job) {
        let name = self.processes[from].name;
        let partitioned = self.partition_groups.get(to) != self.partition_groups.get(name);
        let lost = self.rng.random_range(0..1000) < self.loss_permille;
        let can_send = self.processes[from].can_send;
        if partitioned || lost || !can_send || !NAMES.contains(&to) {
            return;
        }
        let delay_ms = self.latency();
        let to = self.current_process(to);
        self.schedule(delay_ms, to, job);
    }

    /// Writes an attempt to its endpoint, unless the router's clock has reached `not_after`.
    pub(super) fn write(
        &mut self,
        index: usize,
        call: Call,
        attempt: Attempt,
        not_after: Option<Time>,
    ) {
        let late = not_after.is_some_and(|end| self.clock(index).mono >= end);
        let end = if late || self.fault == Fault::Refuse {
            End::NotSent { leaving: false }
        } else {
            self.record_run(index, call);
            match self.fault {
                Fault::Break | Fault::Silent => End::Broken { relayed: false },
                Fault::Error => End::Failed(Answer::default()),
                _ => End::Whole(Answer::default()),
            }
        };
        let mut delay_ms = self.rng.random_range(1..400);
        if self.fault == Fault::Silent {
            delay_ms += IDLE_TIMEOUT_MS;
        }
        let ended = Event::Ended { call, attempt, end };
        self.schedule(delay_ms, index, Job::Event(Box::new(ended)));
    }
}
