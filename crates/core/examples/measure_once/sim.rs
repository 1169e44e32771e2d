//! The simulation: routers, callers and faults on one clock, with an event queue.

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        HashMap, //
    },
    sync::Arc,
};

use bytes::Bytes;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use serde_json::{
    Value,
    json, //
};
use toucanturn_core::{
    arena::RouterKey,
    config::store::Store,
    ids::Id,
    once::{
        Home,
        Vote, //
    },
    peer::{
        Change,
        Entry,
        Message, //
    },
    request::{
        Key,
        Outcome, //
    },
    units::{
        Incarnation,
        Millis,
        Now,
        Revision,
        Time,
        Wall, //
    },
};

/// Largest fleet whose messages take time.
const SMALL: usize = 16;
mod calls;

const WALL: u64 = 1_800_000_000_000;
/// Time before the faults, in which leases are won.
pub(super) const WARM: u64 = 20_000;
/// Time that a replaced router is away.
const AWAY: u64 = 2000;
/// Repeats of one action before the caller gives up, and the time between them.
pub(super) const REPEATS: u32 = 8;
pub(super) const REPEAT_AFTER: u64 = 1000;
/// Time after which a caller repeats a request that got no answer.
const PATIENCE: u64 = 3000;
/// Answers lost between the entry router and the caller, in thousandths.
const LOST: u32 = 20;
const RUN_TIME: u64 = 20;
/// Time after which a configuration is known everywhere, and a live list at the latest.
const CONFIG_LAG: u64 = 2000;
const LIVE_LAG: u64 = 5000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Way {
    Ticket,
    Lease,
    Live,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Setting {
    pub(super) routers: usize,
    pub(super) lease: u64,
    pub(super) skew: u64,
    /// Actions a second over the fleet.
    pub(super) rate: u64,
    pub(super) span: u64,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    Down(usize),
    /// The first routers are cut off from the others, or joined again.
    Cut(usize),
    /// A fleet list without the first routers is published.
    Without(usize),
}

#[derive(Clone, Debug)]
enum Event {
    Tick(usize, u64),
    Ask {
        from: usize,
        life: u64,
        to: usize,
        epoch: Revision,
        round: u64,
        lease: Millis,
    },
    Answer {
        from: usize,
        life: u64,
        to: usize,
        to_life: u64,
        epoch: Revision,
        round: u64,
        vote: Vote,
    },
    Fault(Fault),
    Up(usize),
    Read(usize, u64),
    Seen {
        by: usize,
        of: usize,
        live: bool,
    },
    Arrive(usize),
    Send(usize),
    Ran {
        action: usize,
        at: usize,
        life: u64,
        entry: usize,
    },
}

struct Router {
    up: bool,
    life: u64,
    store: Store,
    home: Home,
    known: HashMap<Key, bool>,
    live: Vec<bool>,
}

struct Action {
    key: Key,
    tries: u32,
    ticket: Option<(usize, u64)>,
    runs: u32,
    told: Option<Outcome>,
    answered: bool,
}

#[derive(Default)]
pub(super) struct Count {
    pub(super) actions: u64,
    pub(super) doubled: u64,
    pub(super) done: u64,
    pub(super) unknown: u64,
    pub(super) not_run: u64,
    pub(super) first: u64,
}

pub(super) struct Sim {
    way: Way,
    setting: Setting,
    now: u64,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    number: u64,
    routers: Vec<Router>,
    ids: Vec<Id>,
    names: HashMap<Id, usize>,
    cut: usize,
    revisions: Vec<Change>,
    actions: Vec<Action>,
    sent: u64,
    asks: u64,
}

fn id(index: usize) -> Id {
    Id::try_from(format!("r{index}").as_str()).unwrap()
}

fn fleet(without: usize, count: usize) -> Value {
    let member = |n: usize| {
        let at = |port| format!("10.1.{}.{}:{port}", n / 250, n % 250);
        let router =
            json!({"address": at(80), "peer_address": at(7000), "data_center": "be-north-1"});
        (id(n).to_string(), router)
    };
    Value::Object((without..count).map(member).collect())
}

fn change(revision: u64, entries: &[(&str, Value)]) -> Change {
    let entry = |(key, value): &(&str, Value)| Entry {
        key: Bytes::copy_from_slice(key.as_bytes()),
        revision: Revision(revision),
        value: Some(Bytes::from(value.to_string())),
    };
    Change {
        since: Revision(revision - 1),
        revision: Revision(revision),
        floor: None,
        entries: entries.iter().map(entry).collect(),
    }
}

impl Sim {
    pub(super) fn new(way: Way, setting: Setting, faults: &[(u64, Fault)]) -> Self {
        let policy = json!({"lease_ms": setting.lease, "clock_skew_ms": setting.skew});
        let first = change(
            1,
            &[("policy", policy), ("fleet", fleet(0, setting.routers))],
        );
        let mut sim = Self {
            way,
            setting,
            now: 0,
            rng: StdRng::seed_from_u64(2026),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            number: 0,
            routers: Vec::new(),
            ids: (0..setting.routers).map(id).collect(),
            names: (0..setting.routers).map(|n| (id(n), n)).collect(),
            cut: 0,
            revisions: vec![first],
            actions: Vec::new(),
            sent: 0,
            asks: 0,
        };
        for index in 0..setting.routers {
            let router = sim.fresh(index, 1);
            sim.routers.push(router);
            sim.read(index, 1);
            let first = sim.rng.random_range(0..100);
            sim.push(first, Event::Tick(index, 1));
        }
        for (at, fault) in faults {
            sim.push(WARM + at, Event::Fault(*fault));
        }
        let gap = 1000 / setting.rate.clamp(1, 1000);
        for n in 0..setting.span / gap {
            sim.push(WARM + n * gap, Event::Arrive(n as usize));
        }
        sim
    }

    fn fresh(&self, index: usize, life: u64) -> Router {
        let mut live: Vec<bool> = self.routers.iter().map(|r| r.up).collect();
        live.resize(self.setting.routers, true);
        live[index] = true;
        Router {
            up: true,
            life,
            store: Store::default(),
            home: Home::new(self.clock(), Incarnation(life)),
            known: HashMap::new(),
            live,
        }
    }

    fn clock(&self) -> Now {
        Now {
            mono: Time(self.now),
            wall: Wall(WALL + self.now),
        }
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((self.now + delay, self.number)));
        self.events.insert(self.number, event);
    }

    pub(super) fn run(mut self) -> (Count, u64) {
        let end = WARM + self.setting.span + REPEAT_AFTER * u64::from(REPEATS) * 4;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            let event = self.events.remove(&number).unwrap();
            self.step(event);
        }
        let mut count = Count::default();
        for action in &self.actions {
            count.actions += 1;
            count.doubled += u64::from(action.runs > 1);
            count.first += u64::from(action.answered && action.tries == 1);
            match action.told {
                Some(Outcome::Done) => count.done += 1,
                Some(Outcome::NotRun) => count.not_run += 1,
                _ => count.unknown += 1,
            }
        }
        (count, self.asks / self.setting.routers as u64)
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Tick(index, life) => self.tick(index, life),
            Event::Ask {
                from,
                life,
                to,
                epoch,
                round,
                lease,
            } => {
                self.ask(from, life, to, (epoch, lease), round);
            }
            Event::Answer {
                from,
                life,
                to,
                to_life,
                epoch,
                round,
                vote,
            } => {
                let now = self.clock();
                let key = self.key(to, from);
                let router = &mut self.routers[to];
                if let Some(key) = key
                    && router.up
                    && router.life == to_life
                {
                    router
                        .home
                        .record_vote(now, key, Incarnation(life), (epoch, round), vote);
                }
            }
            Event::Fault(fault) => self.fault(fault),
            Event::Up(index) => self.up(index),
            Event::Read(index, revision) => self.read(index, revision),
            Event::Seen { by, of, live } => self.routers[by].live[of] = live,
            Event::Arrive(number) => self.arrive(number),
            Event::Send(action) => self.send(action),
            Event::Ran {
                action,
                at,
                life,
                entry,
            } => self.ran(action, at, life, entry),
        }
    }

    fn tick(&mut self, index: usize, life: u64) {
        if self.way != Way::Lease || !self.routers[index].up || self.routers[index].life != life {
            return;
        }
        let now = self.clock();
        let config = Arc::clone(self.routers[index].store.current());
        let mut out = Vec::new();
        self.routers[index].home.tick(now, &config, &mut out);
        for (to, message) in out {
            let Message::LeaseAsk {
                epoch,
                round,
                lease,
            } = message
            else {
                continue;
            };
            let Some(router) = config.fleet.get(to) else {
                continue;
            };
            let to = self.names[&router.id];
            self.asks += 1;
            if self.joined(index, to) {
                let from = index;
                self.post(Event::Ask {
                    from,
                    life,
                    to,
                    epoch,
                    round,
                    lease,
                });
            }
        }
        self.push(100, Event::Tick(index, life));
    }

    fn ask(&mut self, from: usize, life: u64, to: usize, asked: (Revision, Millis), round: u64) {
        let Some(key) = self.key(to, from).filter(|_| self.routers[to].up) else {
            return;
        };
        let now = self.clock();
        let router = &mut self.routers[to];
        let config = Arc::clone(router.store.current());
        let vote = router
            .home
            .vote(now, &config, key, Incarnation(life), asked);
        let voter = router.life;
        if self.joined(from, to) {
            self.post(Event::Answer {
                from: to,
                life: voter,
                to: from,
                to_life: life,
                epoch: config.epoch,
                round,
                vote,
            });
        }
    }

    /// Sends a message to another router. In a large fleet it arrives at once, for speed.
    fn post(&mut self, event: Event) {
        if self.setting.routers > SMALL {
            return self.step(event);
        }
        let delay = self.rng.random_range(1..4);
        self.push(delay, event);
    }

    fn key(&self, at: usize, of: usize) -> Option<RouterKey> {
        self.routers[at].store.current().fleet.key(&self.ids[of])
    }

    fn joined(&self, a: usize, b: usize) -> bool {
        (a < self.cut) == (b < self.cut)
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Down(index) => {
                self.routers[index].up = false;
                self.seen(index, false);
                self.push(AWAY, Event::Up(index));
            }
            Fault::Cut(count) => {
                let before = std::mem::replace(&mut self.cut, count);
                let other = before.max(count);
                for by in 0..self.setting.routers {
                    for of in 0..self.setting.routers {
                        if (by < other) != (of < other) {
                            let delay = self.rng.random_range(500..LIVE_LAG);
                            let live = self.joined(by, of);
                            self.push(delay, Event::Seen { by, of, live });
                        }
                    }
                }
            }
            Fault::Without(count) => {
                let revision = self.revisions.len() as u64 + 1;
                let list = fleet(count, self.setting.routers);
                self.revisions.push(change(revision, &[("fleet", list)]));
                for index in 0..self.setting.routers {
                    let delay = self.rng.random_range(10..CONFIG_LAG);
                    self.push(delay, Event::Read(index, revision));
                }
            }
        }
    }

    fn seen(&mut self, of: usize, live: bool) {
        for by in 0..self.setting.routers {
            let delay = self.rng.random_range(500..LIVE_LAG);
            self.push(delay, Event::Seen { by, of, live });
        }
    }

    fn up(&mut self, index: usize) {
        let life = self.routers[index].life + 1;
        self.routers[index] = self.fresh(index, life);
        for revision in 1..=self.revisions.len() as u64 {
            self.read(index, revision);
        }
        self.seen(index, true);
        self.push(10, Event::Tick(index, life));
    }

    fn read(&mut self, index: usize, revision: u64) {
        let now = self.clock();
        let router = &mut self.routers[index];
        if !router.up {
            return;
        }
        router
            .store
            .apply(&self.revisions[revision as usize - 1])
            .unwrap();
        let config = Arc::clone(router.store.current());
        let me = config.fleet.key(&id(index));
        router.home.apply(now, &config, me);
    }
}
