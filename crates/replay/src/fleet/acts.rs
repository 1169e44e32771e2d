//! What a router wants done, done to the replay's world.

use toucanturn_core::{
    action::{
        Action,
        Decision, //
    },
    arena::{
        EndpointKey,
        RouterKey, //
    },
    event::{
        Event,
        Report, //
    },
    peer::Message,
    request::{
        Attempt,
        Call,
        End,
        Outcome,
        Refusal,
        Token, //
    },
    units::{
        Incarnation,
        Millis, //
    },
};

use super::{
    Fleet,
    Input, //
};
use crate::{
    size,
    trace::{
        EngineState,
        Happening, //
    },
    world::{
        Due,
        Job, //
    },
};

/// Bytes of a poll's request and answer over HTTP/1.1, as the stand-in engine sends them.
const POLL_BYTES: u64 = 420;

impl Fleet<'_> {
    pub(super) fn act(&mut self, index: usize, action: Action) {
        let now = self.world.now;
        let latency = self.trace.setup.latency;
        match action {
            Action::Dispatch {
                call,
                attempt,
                endpoint,
                token,
                ..
            } => self.dispatch(index, call, attempt, endpoint, token),
            Action::Import {
                call: Some(call),
                from,
                ..
            } => {
                let from = self.engine(index, from);
                if let Some(open) = self.routers[index].calls.get_mut(&call) {
                    open.import_from = from;
                }
            }
            Action::Import {
                call: None,
                prefix,
                from,
                to,
            } => {
                if let (Some(from), Some(to)) = (self.engine(index, from), self.engine(index, to)) {
                    self.world.import(prefix.0, from, to);
                }
            }
            Action::Forward { call, router, .. } => self.forward(index, call, router),
            Action::Finish { call, outcome } => {
                let Some(open) = self.routers[index].calls.swap_remove(&call) else {
                    return;
                };
                if let Some((from, call)) = open.from {
                    return self.forwarded(from, call, None);
                }
                if outcome == Outcome::Done
                    && let Happening::Request(asked) = &self.trace.lines[open.line].what
                {
                    self.world.answered(asked, open.token);
                }
            }
            Action::Replay { call, .. } => {
                self.routers[index].calls.swap_remove(&call);
                self.world.account.done += 1;
            }
            Action::Refuse { call, refusal } => {
                let open = self.routers[index].calls.swap_remove(&call);
                match open.and_then(|o| o.from) {
                    Some((from, call)) => self.forwarded(from, call, Some(refusal)),
                    None => self.world.account.refused += 1,
                }
            }
            Action::Send { router, message } => self.send(index, router, message),
            Action::Poll { endpoint } => {
                self.world.account.poll_bytes += POLL_BYTES;
                let report = self.report(index, endpoint);
                let event = Event::Polled { endpoint, report };
                self.input(now + 2 * latency, index, Input::Event(event));
            }
            Action::Probe { endpoint } => {
                self.world.account.poll_bytes += POLL_BYTES;
                let engine = self.engine(index, endpoint);
                let answered =
                    engine.is_some_and(|e| self.world.engines[e].state != EngineState::Down);
                let event = Event::Probed { endpoint, answered };
                self.input(now + 2 * latency, index, Input::Event(event));
            }
            Action::Watch { since } if self.service.up => {
                self.service.watches.push((index, since));
                self.answer_watches();
            }
            Action::Watch { .. } => {
                self.input(now + 1000, index, Input::Event(Event::ReadFailed));
            }
            Action::Log(Decision::Placed { placed, .. }) => {
                *self.reasons.entry(placed.reason).or_default() += 1;
            }
            _ => {}
        }
    }

    fn engine(&self, index: usize, endpoint: EndpointKey) -> Option<usize> {
        let config = self.routers[index].node.config();
        let tag = config.endpoints.get(endpoint)?.tag;
        self.world.by_tag.get(&tag).copied()
    }

    fn report(&self, index: usize, endpoint: EndpointKey) -> Option<Report> {
        let engine = &self.world.engines[self.engine(index, endpoint)?];
        let lag = self.trace.setup.report_lag;
        (engine.state != EngineState::Down).then(|| Report {
            incarnation: Incarnation(engine.life),
            age: Millis(lag),
            in_flight: engine.lagged(self.world.now, lag),
            queued: 0,
            leaving: engine.state == EngineState::Leaving,
        })
    }

    fn dispatch(
        &mut self,
        index: usize,
        call: Call,
        attempt: Attempt,
        endpoint: EndpointKey,
        token: Option<Token>,
    ) {
        let back = self.world.now + 2 * self.trace.setup.latency;
        let engine = self.engine(index, endpoint);
        let router = &mut self.routers[index];
        let Some(open) = router.calls.get_mut(&call) else {
            return;
        };
        open.token = token;
        let import_from = open.import_from.take();
        let Happening::Request(asked) = &self.trace.lines[open.line].what else {
            return;
        };
        let Some(engine) = engine else { return };
        let job = Job {
            engine,
            router: (index, router.life),
            call,
            attempt,
            line: open.line,
        };
        let event = match self.world.start(job, asked, import_from) {
            Err(state) => {
                let leaving = state == EngineState::Leaving;
                let end = End::NotSent { leaving };
                Event::Ended { call, attempt, end }
            }
            Ok(()) => Event::Head {
                call,
                attempt,
                in_flight: Some(self.world.engines[engine].in_flight),
                leaving: false,
                incarnation: Some(Incarnation(self.world.engines[engine].life)),
            },
        };
        self.input(back, index, Input::Event(event));
    }

    pub(super) fn job_ended(&mut self, job: Job, end: End) {
        let (call, attempt) = (job.call, job.attempt);
        let event = Event::Ended { call, attempt, end };
        let at = self.world.now + self.trace.setup.latency;
        let (router, life) = job.router;
        let due = Due::Router(router, life, Input::Event(event));
        self.world.plan(at, due);
    }

    /// Gets the peer's index, unless a partition lies between.
    fn reach(&self, index: usize, peer: RouterKey) -> Option<usize> {
        let config = self.routers[index].node.config();
        let id = &config.fleet.get(peer)?.id;
        let to = self.routers.iter().position(|r| r.id == *id)?;
        (self.groups[to] == self.groups[index]).then_some(to)
    }

    fn send(&mut self, index: usize, peer: RouterKey, message: Message) {
        // Sent by one router and received by another.
        let bytes = (self.size)(&message) as u64;
        self.world.account.peer_bytes += 2 * bytes;
        *self.sent.entry(size::kind(&message)).or_default() += bytes;
        let at = self.world.now + self.trace.setup.latency;
        let Some(to) = self.reach(index, peer) else {
            let event = Event::PeerFailed { router: peer };
            return self.input(at, index, Input::Event(event));
        };
        let sender = &self.routers[index];
        let input = Input::Message {
            from: sender.id.tag(),
            incarnation: Incarnation(sender.life),
            message,
        };
        self.input(at, to, input);
    }

    fn forward(&mut self, index: usize, call: Call, home: RouterKey) {
        let at = self.world.now + self.trace.setup.latency;
        let Some(to) = self.reach(index, home) else {
            let event = Event::ForwardFailed { call, sent: false };
            return self.input(at, index, Input::Event(event));
        };
        let from = (index, self.routers[index].life);
        if let Some(open) = self.routers[index].calls.get(&call) {
            let line = open.line;
            self.input(at, to, Input::Forwarded { from, call, line });
        }
    }

    fn forwarded(&mut self, from: (usize, u64), call: Call, refusal: Option<Refusal>) {
        let event = Event::ForwardDone {
            call,
            outcome: Outcome::Done,
            refusal,
        };
        let at = self.world.now + self.trace.setup.latency;
        self.world
            .plan(at, Due::Router(from.0, from.1, Input::Event(event)));
    }
}
