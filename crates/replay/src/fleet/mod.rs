//! Several nodes of the decision library under one trace, in one process.

use indexmap::IndexMap;
use toucanturn_core::{
    action::Action,
    event::{
        Event,
        Source,
        TICK,
        VmState, //
    },
    ids::{
        Id,
        Tag, //
    },
    peer::Message,
    request::{
        Answer,
        Call,
        End,
        Origin,
        Reason, //
    },
    units::{
        Incarnation,
        Millis,
        Wall, //
    },
};

use crate::{
    service::Service,
    trace::{
        Happening,
        Trace, //
    },
    world::{
        Due,
        World, //
    },
};

mod acts;
mod router;

use router::{
    Open,
    Router,
    WALL,
    classify,
    now_at, //
};

/// `Input` is what can reach one router.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passes.
    Tick,
    /// An event whose keys are the router's own.
    Event(Event),
    /// A peer's message.
    Message {
        /// The sender.
        from: Tag,
        /// The sender's life.
        incarnation: Incarnation,
        /// The message.
        message: Message,
    },
    /// A caller's request, by the trace's line.
    Request(usize),
    /// A call that a peer forwards to its home.
    Forwarded {
        /// The peer's index and life.
        from: (usize, u64),
        /// The peer's call.
        call: Call,
        /// The trace's line.
        line: usize,
    },
    /// A list of VMs.
    Vms(Vec<(Id, VmState)>),
}

/// `Fleet` is the routers of one replay.
pub struct Fleet<'a> {
    trace: &'a Trace,
    size: &'a dyn Fn(&Message) -> usize,
    routers: Vec<Router>,
    service: Service,
    groups: Vec<usize>,
    calls: u64,
    /// What is outside the routers.
    pub world: World,
    /// Placements by reason.
    pub reasons: IndexMap<Reason, u64>,
    /// Bytes sent by kind of message.
    pub sent: IndexMap<&'static str, u64>,
    /// Calls cut off by a router's end.
    pub cut: u64,
}

impl<'a> Fleet<'a> {
    /// Makes the fleet at time zero. `size` gives the encoded length of a message.
    pub fn new(trace: &'a Trace, size: &'a dyn Fn(&Message) -> usize) -> Self {
        let setup = &trace.setup;
        let names = setup.routers.iter();
        let ids = names.filter_map(|n| Id::try_from(n.as_str()).ok());
        let router = |(i, id)| Router::new(id, setup.seed, i, 1, 0);
        let mut fleet = Self {
            trace,
            size,
            routers: ids.enumerate().map(router).collect(),
            service: Service::new(&setup.publish),
            groups: vec![0; setup.routers.len()],
            calls: 0,
            world: World::new(setup),
            reasons: IndexMap::new(),
            sent: IndexMap::new(),
            cut: 0,
        };
        for (i, line) in trace.lines.iter().enumerate() {
            fleet.world.plan(line.at, Due::Line(i));
        }
        let count = fleet.routers.len().max(1) as u64;
        for i in 0..fleet.routers.len() {
            fleet.input(i as u64 * TICK.0 / count, i, Input::Tick);
        }
        fleet.world.plan(0, Due::Sample);
        fleet
    }

    /// Runs to the end of the trace.
    pub fn run(&mut self) {
        while let Some(due) = self.world.pop() {
            if self.world.now > self.trace.setup.until {
                break;
            }
            match due {
                Due::Sample => self.world.sample(self.trace.setup.until),
                Due::Line(i) => self.line(i),
                Due::JobEnd(number) => {
                    if let Some(job) = self.world.finish(number) {
                        self.job_ended(job, End::Whole(Answer::default()));
                    }
                }
                Due::Router(router, life, input) => self.router(router, life, input),
            }
        }
    }

    /// Gets the revisions in force, by router.
    pub fn revisions(&self) -> Vec<u64> {
        let revision = |r: &Router| r.node.config().revision.0;
        self.routers.iter().map(revision).collect()
    }

    /// Gets the published multiple of the mean load.
    pub fn multiple(&self) -> f64 {
        let config = self.routers.first().map(|r| r.node.config());
        config.map_or(1.25, |c| f64::from(c.policy.load_multiple.0) / 1000.0)
    }

    fn input(&mut self, at: u64, router: usize, input: Input) {
        let life = self.routers[router].life;
        self.world.plan(at, Due::Router(router, life, input));
    }

    fn line(&mut self, index: usize) {
        let now = self.world.now;
        match &self.trace.lines[index].what {
            Happening::Request(request) => {
                self.world.account.requests += 1;
                let count = self.routers.len();
                let mut order = (0..count).map(|i| (request.router + i) % count);
                let ready = |i: &usize| self.routers[*i].node.ready();
                let router = order.find(ready).unwrap_or(request.router);
                self.input(now, router, Input::Request(index));
            }
            Happening::Engine { id, state } => {
                let tag = Tag::of(id.as_bytes());
                let Some(&engine) = self.world.by_tag.get(&tag) else {
                    return;
                };
                for job in self.world.change(engine, *state) {
                    self.job_ended(job, End::Broken { relayed: false });
                }
            }
            Happening::Vms { routers, vms } => {
                let state = |s: &str| s.parse().unwrap_or(VmState::Live);
                let one =
                    |(id, s): (&String, &String)| Some((Id::try_from(id.as_str()).ok()?, state(s)));
                let list: Vec<_> = vms.iter().filter_map(one).collect();
                for &router in routers {
                    self.input(now, router, Input::Vms(list.clone()));
                }
            }
            Happening::Publish { entries } => {
                self.service.publish(entries);
                self.answer_watches();
            }
            Happening::ConfigService { up } => {
                self.service.up = *up;
                if *up {
                    return self.answer_watches();
                }
                for (router, _) in std::mem::take(&mut self.service.watches) {
                    self.input(now, router, Input::Event(Event::ReadFailed));
                }
            }
            Happening::Pause { router, ms } => self.routers[*router].paused_until = now + ms,
            Happening::Restart { router } => self.restart(*router),
            Happening::Partition { groups } => {
                let group = |r| groups.iter().position(|g| g.contains(&r)).unwrap_or(0);
                self.groups = (0..self.routers.len()).map(group).collect();
            }
        }
    }

    fn restart(&mut self, index: usize) {
        let old = &self.routers[index];
        self.cut += old.calls.len() as u64;
        let (id, life) = (old.id.clone(), old.life + 1);
        self.service.watches.retain(|(r, _)| *r != index);
        self.routers[index] = Router::new(id, self.trace.setup.seed, index, life, self.world.now);
        self.input(self.world.now, index, Input::Tick);
    }

    fn answer_watches(&mut self) {
        let ready = self.service.take_ready();
        for (router, since) in ready {
            let change = self.service.after(since);
            let source = Source::Service;
            let event = Event::Publish { source, change };
            let at = self.world.now + self.trace.setup.latency;
            self.input(at, router, Input::Event(event));
        }
    }

    fn router(&mut self, index: usize, life: u64, input: Input) {
        let router = &mut self.routers[index];
        if life != router.life {
            return;
        }
        if self.world.now < router.paused_until {
            let at = router.paused_until;
            return self.world.plan(at, Due::Router(index, life, input));
        }
        let now = now_at(self.world.now);
        let mut out = Vec::new();
        match input {
            Input::Tick => {
                router.node.handle(now, Event::Tick, &mut out);
                self.input(self.world.now + TICK.0, index, Input::Tick);
            }
            Input::Event(event) => router.node.handle(now, event, &mut out),
            Input::Message {
                from,
                incarnation,
                message,
            } => {
                let Some(from) = router.node.config().fleet.by_tag(from) else {
                    return;
                };
                let event = Event::Peer {
                    from,
                    incarnation,
                    message,
                };
                router.node.handle(now, event, &mut out);
            }
            Input::Vms(vms) => {
                let age = Millis(0);
                router.node.handle(now, Event::Vms { age, vms }, &mut out);
            }
            Input::Request(line) => self.request(index, line, None, &mut out),
            Input::Forwarded { from, call, line } => {
                self.request(index, line, Some((from, call)), &mut out);
            }
        }
        for action in out {
            self.act(index, action);
        }
    }

    fn request(
        &mut self,
        index: usize,
        line: usize,
        from: Option<((usize, u64), Call)>,
        out: &mut Vec<Action>,
    ) {
        let Happening::Request(asked) = &self.trace.lines[line].what else {
            return;
        };
        let sent = Wall(WALL + self.trace.lines[line].at);
        self.calls += 1;
        let call = Call(self.calls);
        let now = now_at(self.world.now);
        let router = &mut self.routers[index];
        let chat = self.world.chats.get(&asked.chat);
        let token = chat.and_then(|c| c.token).filter(|_| !asked.tokenless);
        let peer = from.and_then(|((i, _), _)| {
            let tag = Tag::of(self.trace.setup.routers[i].as_bytes());
            router.node.config().fleet.by_tag(tag)
        });
        let origin = peer.map_or(Origin::Caller, Origin::Peer);
        let Some(request) = classify(&router.node, asked, token, origin, (now, sent)) else {
            self.world.account.refused += 1;
            return;
        };
        let open = Open {
            line,
            token: None,
            import_from: None,
            from,
        };
        router.calls.insert(call, open);
        let event = Event::Request { call, request };
        router.node.handle(now, event, out);
    }
}
