//! One core node in memory, and as much of a fleet round it as it can notice.
//!
//! The other routers are not nodes: they send what a router of the plan sends (summaries with the
//! loads and reports of their share, questions for leases and grants) and answer what they are
//! asked. Bytes are those of the wire crate, and [`EXCHANGE`] for each batch.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use toucanturn_core::{
    action::Action,
    arena::{
        RouterKey,
        WorkspaceKey, //
    },
    config::{
        Config,
        store::Store, //
    },
    event::{
        Event,
        Report,
        Source,
        TICK, //
    },
    ids::{
        Id,
        Tag, //
    },
    membership::POLL_TIMEOUT,
    node::{
        Node,
        Options, //
    },
    peer::{
        Change,
        Message,
        Summary, //
    },
    request::{
        Answer,
        Call,
        End,
        Key,
        Origin,
        Outcome,
        Prefix,
        Request,
        Work, //
    },
    units::{
        Incarnation,
        Millis,
        Now,
        Time,
        Wall, //
    },
};
use toucanturn_wire::{
    envelope::EXCHANGE,
    size, //
};

use crate::{
    around::{
        IN_FLIGHT,
        peers, //
    },
    published::{
        self,
        Size, //
    },
};

mod others;

/// Time from a dispatch to the answer's end: 242 tokens at 25 ms and a first token at 1.1 s.
const ANSWER: Millis = Millis(7100);

/// A chat in this many is a call of the plain service, every other one to run at most once.
const PLAIN_EVERY: u64 = 10;

/// `Tally` is how often something happened, its bytes and its time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) count: u64,
    pub(crate) bytes: usize,
    pub(crate) time: Duration,
}

/// `World` is the node and what is round it.
pub(crate) struct World {
    pub(crate) node: Node,
    pub(crate) config: Arc<Config>,
    pub(crate) now: Now,
    /// Events by kind, with the time that the node took.
    pub(crate) events: BTreeMap<&'static str, Tally>,
    /// Actions by kind, with the bytes of messages.
    pub(crate) actions: BTreeMap<&'static str, Tally>,
    peers: Vec<(RouterKey, Summary)>,
    store: Store,
    due: BTreeMap<(u64, u64), Event>,
    /// Time between two summaries of a peer.
    pub(crate) pace: Millis,
    /// Time from a dispatch to the answer's end; `None`: no answer comes.
    pub(crate) answer: Option<Millis>,
    /// Time from a question to a peer's answer.
    pub(crate) round_trip: Millis,
    /// Bytes of an answer's body, for calls that run once.
    pub(crate) body: usize,
    /// Data centres that the node can't reach.
    pub(crate) lost: Vec<Id>,
    /// One router and endpoint in this many of them is lost.
    pub(crate) part: u32,
    failing: BTreeSet<RouterKey>,
    /// Workspaces whose home the node is.
    own: Vec<Tag>,
    calls: u64,
    out: Vec<Action>,
}

impl Tally {
    /// Gets the mean time of one in microseconds.
    pub(crate) fn micros(self) -> f64 {
        self.time.as_secs_f64() * 1e6 / (self.count.max(1) as f64)
    }

    /// Gets the mean bytes of one.
    pub(crate) fn each(self) -> f64 {
        self.bytes as f64 / (self.count.max(1) as f64)
    }
}

impl World {
    /// Makes a fleet of a size and the node `router-0` in it, which has just started.
    pub(crate) fn new(size: Size) -> Self {
        Self::with(&published::snapshot(size))
    }

    /// Makes the same of a given snapshot.
    pub(crate) fn with(change: &Change) -> Self {
        let now = Now {
            mono: Time(100_000),
            wall: Wall(1_900_000_000_000),
        };
        let options = Options {
            id: name("router-0"),
            incarnation: Incarnation(now.wall.0),
            seed: 7,
        };
        let mut world = Self {
            node: Node::new(options, now),
            config: Arc::default(),
            now,
            events: BTreeMap::new(),
            actions: BTreeMap::new(),
            peers: Vec::new(),
            store: Store::default(),
            due: BTreeMap::new(),
            pace: Millis(200),
            answer: Some(ANSWER),
            round_trip: Millis(5),
            body: 0,
            lost: Vec::new(),
            part: 1,
            failing: BTreeSet::new(),
            own: Vec::new(),
            calls: 0,
            out: Vec::new(),
        };
        world.publish(change);
        world.config = Arc::clone(world.node.config());
        world
    }

    /// Puts the other routers round the node.
    pub(crate) fn surround(mut self) -> Self {
        self.peers = peers(&self.config, self.node.me());
        let me = self.node.me();
        let own = |tag: &Tag| self.config.home(u64::from(tag.0)) == me;
        let tags = self.config.workspaces.iter().map(|(_, w)| w.id.tag());
        self.own = tags.filter(own).collect();
        self
    }

    /// Gets how often an event or action was counted, by [`World::events`] and [`World::actions`].
    pub(crate) fn event(&self, kind: &str) -> Tally {
        self.events.get(kind).copied().unwrap_or_default()
    }

    /// Gets the tally of an action.
    pub(crate) fn action(&self, kind: &str) -> Tally {
        self.actions.get(kind).copied().unwrap_or_default()
    }

    /// Brings a change from the service.
    pub(crate) fn publish(&mut self, change: &Change) {
        if self.store.current().revision < change.revision {
            self.foresee(change);
        }
        let source = Source::Service;
        let change = change.clone();
        self.handle("publish", Event::Publish { source, change });
    }

    /// Lets the peers have a change before the node hears of it.
    pub(crate) fn foresee(&mut self, change: &Change) {
        if let Err(error) = self.store.apply(change) {
            println!("refused: {error}");
        }
    }

    /// Forgets what was counted so far.
    pub(crate) fn reset(&mut self) {
        self.events.clear();
        self.actions.clear();
    }

    /// Lets time pass at `rate` requests a second.
    pub(crate) fn run(&mut self, span: Millis, rate: f64) {
        let workspaces: Vec<WorkspaceKey> = self.config.workspaces.iter().map(|w| w.0).collect();
        let mut due = 0.0;
        for _ in 0..span.0 {
            self.now = self.now + Millis(1);
            self.deliver();
            self.summaries();
            self.questions();
            due += rate / 1000.0;
            while due >= 1.0 {
                due -= 1.0;
                self.request(&workspaces);
            }
            if self.now.mono.0.is_multiple_of(TICK.0) {
                self.handle("tick", Event::Tick);
            }
        }
    }

    /// Lets a call come in from a caller.
    fn request(&mut self, workspaces: &[WorkspaceKey]) {
        self.calls += 1;
        let n = self.calls;
        let pick = n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let models: Vec<_> = self.config.models.iter().map(|m| m.0).collect();
        let at = |len: usize| usize::try_from(pick).unwrap_or(0) % len.max(1);
        let workspace = workspaces[at(workspaces.len())];
        let service = self.config.services.iter().map(|s| s.0).next();
        let work = match service {
            Some(service) if n.is_multiple_of(2 * PLAIN_EVERY) => Work::Plain {
                service,
                idempotent: true,
            },
            Some(service) if n.is_multiple_of(PLAIN_EVERY) => Work::Once {
                service,
                key: self.key(n),
                content: n,
            },
            _ => Work::Chat {
                model: models[at(models.len())],
                prefix: Prefix(pick),
                token: None,
            },
        };
        let kind = match work {
            Work::Once { .. } => "request once",
            Work::Plain { .. } => "request plain",
            Work::Chat { .. } => "request chat",
        };
        self.call(kind, Origin::Caller, workspace, work);
    }

    /// Lets a peer forward a call whose key has its home here; gives whether the key has.
    pub(crate) fn forwarded(&mut self) -> bool {
        self.calls += 1;
        let key = self.key(self.calls);
        let peer = self.peers.first().map(|p| p.0);
        let (Some(from), Some((workspace, _)), Some((service, _))) = (
            peer,
            self.config.workspaces.iter().next(),
            self.config.services.iter().next(),
        ) else {
            return false;
        };
        if self.config.home(key.item()) != self.node.me() {
            return false;
        }
        let content = self.calls;
        let work = Work::Once {
            service,
            key,
            content,
        };
        self.call("forwarded once", Origin::Peer(from), workspace, work);
        true
    }

    fn key(&self, n: u64) -> Key {
        Key {
            workspace: name("workspace-0").tag(),
            uuid: u128::from(self.now.wall.0) << 80 | 7 << 76 | u128::from(n),
        }
    }

    fn call(&mut self, kind: &'static str, origin: Origin, workspace: WorkspaceKey, work: Work) {
        let request = Request {
            origin,
            workspace,
            priority: toucanturn_core::config::Priority::default(),
            work,
            deadline: self.now.mono + Millis(30_000),
        };
        let call = Call(self.calls);
        self.handle(kind, Event::Request { call, request });
    }

    fn deliver(&mut self) {
        let now = self.now.mono.0;
        while let Some(first) = self.due.first_entry()
            && first.key().0 <= now
        {
            let event = first.remove();
            if let Event::PeerFailed { router } = &event {
                self.failing.remove(router);
            }
            let kind = match &event {
                Event::PeerFailed { .. } => "peer failed",
                Event::Head { .. } => "head",
                Event::Ended { .. } => "ended",
                Event::Polled { .. } => "polled",
                Event::Peer { message, .. } => of(message),
                _ => "other",
            };
            self.handle(kind, event);
        }
    }

    fn later(&mut self, after: Millis, event: Event) {
        let number = u64::try_from(self.due.len()).unwrap_or(0) << 40 | self.calls << 8;
        let mut key = ((self.now.mono + after).0, number);
        while self.due.contains_key(&key) {
            key.1 += 1;
        }
        self.due.insert(key, event);
    }

    fn handle(&mut self, kind: &'static str, event: Event) {
        let mut out = std::mem::take(&mut self.out);
        let start = Instant::now();
        self.node.handle(self.now, event, &mut out);
        let time = start.elapsed();
        let tally = self.events.entry(kind).or_default();
        tally.count += 1;
        tally.time += time;
        let mut batch: Vec<RouterKey> = Vec::new();
        for action in out.drain(..) {
            if let Action::Send { router, .. } = &action {
                batch.push(*router);
            }
            self.carry_out(action);
        }
        batch.sort_unstable();
        batch.dedup();
        let exchanges = self.actions.entry("exchange").or_default();
        exchanges.count += u64::try_from(batch.len()).unwrap_or(0);
        exchanges.bytes += batch.len() * EXCHANGE;
        self.out = out;
    }

    fn carry_out(&mut self, action: Action) {
        let (kind, bytes) = match &action {
            Action::Send { message, .. } => (of(message), size(message)),
            Action::Dispatch { .. } => ("dispatch", 0),
            Action::Import { .. } => ("import", 0),
            Action::Forward { .. } => ("forward", 0),
            Action::Refuse { .. } => ("refuse", 0),
            Action::Poll { .. } => ("poll", 0),
            Action::Probe { .. } => ("probe", 0),
            Action::Watch { .. } => ("watch", 0),
            Action::ReadVms => ("read VMs", 0),
            Action::Log(_) => ("log line", 0),
            _ => ("answer to caller", 0),
        };
        let tally = self.actions.entry(kind).or_default();
        tally.count += 1;
        tally.bytes += bytes;
        match action {
            Action::Send { router, message } => self.reply(router, message),
            Action::Dispatch { call, attempt, .. } => {
                let head = Event::Head {
                    call,
                    attempt,
                    in_flight: None,
                    leaving: false,
                    incarnation: Some(Incarnation(1)),
                };
                let end = End::Whole(Answer {
                    status: 200,
                    body: vec![b'x'; self.body].into(),
                    ..Answer::default()
                });
                if let Some(answer) = self.answer {
                    self.later(answer.min(Millis(1100)), head);
                    self.later(answer, Event::Ended { call, attempt, end });
                }
            }
            Action::Forward { call, .. } => {
                let refusal = None;
                self.later(
                    self.round_trip,
                    Event::ForwardDone {
                        call,
                        outcome: Outcome::Done,
                        refusal,
                    },
                );
            }
            Action::Poll { endpoint } => {
                let in_flight = u32::try_from(IN_FLIGHT).unwrap_or(0);
                let answer = Report {
                    incarnation: Incarnation(1),
                    in_flight,
                    ..Report::default()
                };
                let (after, report) = if self.gone(endpoint) {
                    (POLL_TIMEOUT, None)
                } else {
                    (self.round_trip, Some(answer))
                };
                self.later(after, Event::Polled { endpoint, report });
            }
            Action::Probe { endpoint } => {
                let answered = !self.gone(endpoint);
                self.later(POLL_TIMEOUT, Event::Probed { endpoint, answered });
            }
            _ => {}
        }
    }

    /// Tells whether a router can't be reached.
    fn cut(&self, router: RouterKey) -> bool {
        let router = self.config.fleet.get(router);
        let part = |tag: Tag| tag.0.is_multiple_of(self.part);
        router.is_some_and(|r| self.lost.contains(&r.data_center) && part(r.tag))
    }
}

/// Gets the name of a message's kind.
const fn of(message: &Message) -> &'static str {
    match message {
        Message::Summary(_) => "summary",
        Message::Pull { .. } => "pull",
        Message::Push(_) => "push",
        Message::Ask { .. } => "ask",
        Message::Grant { .. } => "grant",
        Message::LeaseAsk { .. } => "lease ask",
        Message::LeaseAnswer { .. } => "lease answer",
    }
}

pub(crate) fn name(text: &str) -> Id {
    Id::try_from(text).unwrap_or_else(|error| panic!("{text}: {error}"))
}
