//! The driver of each router: what becomes of its actions.

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
    Back,
    Fault,
    Job,
    NAMES,
    World, //
};

const WATCH: u64 = 500;
const IDLE: u64 = 5000;

impl World {
    pub(super) fn work(&mut self, index: usize, job: Job) {
        match job {
            Job::Tick => {
                self.push(TICK.0, index, Job::Tick);
                self.handle(index, Event::Tick);
            }
            Job::Event(event) => self.handle(index, *event),
            Job::Peer {
                from,
                life,
                message,
            } => {
                let node = &self.processes[index].node;
                let Some(from) = node.config().fleet.key(&Id::try_from(from).unwrap()) else {
                    return;
                };
                let incarnation = Incarnation(life);
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
                trial,
                left,
            } => {
                let sender = Id::try_from(self.processes[from].name).unwrap();
                let Some(peer) = self.processes[index].node.config().fleet.key(&sender) else {
                    return;
                };
                let own = self.call(index);
                let back = Back::Entry {
                    process: from,
                    call,
                    trial,
                };
                self.backs.insert((index, own), back);
                let key = self.trials[trial].key;
                let event = self.request(index, own, key, Origin::Peer(peer), left);
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
            self.act(index, action);
        }
    }

    pub(super) fn act(&mut self, index: usize, action: Action) {
        match action {
            Action::Dispatch {
                call,
                attempt,
                not_after,
                ..
            } => {
                if not_after.is_none() {
                    self.broken.push(format!("{call:?} is sent without an end"));
                }
                let delay = self.rng.random_range(0..20);
                self.push(
                    delay,
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
                if let Some(Back::Entry { .. }) = self.backs.get(&(index, call)) {
                    self.broken.push(format!("{call:?} is passed on twice"));
                }
                let left = deadline.since(self.clock(index).mono).0;
                let failed = Event::ForwardFailed { call, sent: true };
                self.push(left, index, Job::Event(Box::new(failed)));
                let trial = self.trial(index, call);
                let job = Job::Forward {
                    from: index,
                    call,
                    trial,
                    left,
                };
                let config = self.processes[index].node.config();
                let to = config.fleet.get(router).map(|r| r.id.to_string());
                self.post(index, &to.unwrap_or_default(), job);
            }
            Action::Refuse { call, refusal } => self.answer(index, call, Some(refusal)),
            Action::Replay { call, .. } | Action::Finish { call, .. } => {
                self.answer(index, call, None);
            }
            Action::Send { router, message } => {
                let process = &self.processes[index];
                let (from, life) = (process.name, process.life);
                let to = process
                    .node
                    .config()
                    .fleet
                    .get(router)
                    .map(|r| r.id.to_string());
                let job = Job::Peer {
                    from,
                    life,
                    message,
                };
                self.post(index, &to.unwrap_or_default(), job);
            }
            Action::Watch { since } => self.watch(index, since),
            Action::Poll { endpoint } | Action::Probe { endpoint } => self.polled(index, endpoint),
            _ => {}
        }
    }

    /// The service itself is well and stays: what fails here are routers and the way to them.
    fn polled(&mut self, index: usize, endpoint: EndpointKey) {
        let delay = self.latency();
        let report = Some(Report::default());
        let event = Event::Polled { endpoint, report };
        self.push(delay, index, Job::Event(Box::new(event)));
    }

    pub(super) fn watch(&mut self, index: usize, since: Revision) {
        let serves = self.serves[self.processes[index].name].min(self.revision());
        if serves <= since.0 {
            return self.push(WATCH, index, Job::Event(Box::new(Event::ReadFailed)));
        }
        let newer = |c: &&Change| c.revision > since && c.revision.0 <= serves;
        let parts = self.history.iter().filter(newer);
        let change = Change {
            since,
            revision: Revision(serves),
            entries: parts.flat_map(|c| c.entries.clone()).collect(),
            floor: None,
        };
        let source = Source::Service;
        let delay = self.latency();
        let event = Event::Publish { source, change };
        self.push(delay, index, Job::Event(Box::new(event)));
    }

    /// Sends something to another router, if it gets there.
    pub(super) fn post(&mut self, from: usize, to: &str, job: Job) {
        let name = self.processes[from].name;
        let apart = self.groups.get(to) != self.groups.get(name);
        let lost = self.rng.random_range(0..1000) < self.loss;
        let heard = self.processes[from].reachable;
        if apart || lost || !heard || !NAMES.contains(&to) {
            return;
        }
        let delay = self.latency();
        let to = self.current(to);
        self.push(delay, to, job);
    }

    /// Writes an attempt's bytes, unless the clock says that it is too late.
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
            self.ran(index, call);
            match self.fault {
                Fault::Break | Fault::Silent => End::Broken { relayed: false },
                Fault::Error => End::Failed(Answer::default()),
                _ => End::Whole(Answer::default()),
            }
        };
        let mut delay = self.rng.random_range(1..400);
        if self.fault == Fault::Silent {
            delay += IDLE;
        }
        let ended = Event::Ended { call, attempt, end };
        self.push(delay, index, Job::Event(Box::new(ended)));
    }
}
