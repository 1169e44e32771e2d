//! Weighs three ways to run an action at most once, by their doubled runs and refusals.
//!
//! `cargo run --release -p toucanturn-core --example measure_once` prints a table for each fault.
//! Everything is drawn from fixed seeds. The ways:
//!
//! - `ticket`: the caller first fetches a ticket that names one life of a router; only that life
//!   runs the action.
//! - `lease`: the home of [`toucanturn_core::once`], as it is.
//! - `live`: the home by rendezvous over each router's own list of live routers, without a lease
//!   and without dates; the baseline to beat.
#![expect(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    reason = "a measurement"
)]

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
    config::{
        Config,
        store::Store, //
    },
    ids::{
        Id,
        Tag,
        rendezvous, //
    },
    once::{
        Begin,
        Home,
        Vote, //
    },
    peer::{
        Change,
        Entry,
        Message, //
    },
    request::{
        Answer,
        Call,
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
const WALL: u64 = 1_800_000_000_000;
/// Time before the faults, in which leases are won.
const WARM: u64 = 20_000;
/// Time that a replaced router is away.
const AWAY: u64 = 2000;
/// Repeats of one action before the caller gives up, and the time between them.
const REPEATS: u32 = 8;
const REPEAT_AFTER: u64 = 1000;
/// Time after which a caller repeats a request that got no answer.
const PATIENCE: u64 = 3000;
/// Answers lost between the entry router and the caller, in thousandths.
const LOST: u32 = 20;
const RUN_TIME: u64 = 20;
/// Time after which a configuration is known everywhere, and a live list at the latest.
const CONFIG_LAG: u64 = 2000;
const LIVE_LAG: u64 = 5000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Ticket,
    Lease,
    Live,
}

#[derive(Clone, Copy, Debug)]
struct Setting {
    routers: usize,
    lease: u64,
    skew: u64,
    /// Actions a second over the fleet.
    rate: u64,
    span: u64,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
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
struct Count {
    actions: u64,
    doubled: u64,
    done: u64,
    unknown: u64,
    not_run: u64,
    first: u64,
}

struct Sim {
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
        let address = format!("10.1.{}.{}:7000", n / 250, n % 250);
        let router =
            json!({"address": address, "peer_address": address, "data_center": "be-north-1"});
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
    fn new(way: Way, setting: Setting, faults: &[(u64, Fault)]) -> Self {
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

    fn run(mut self) -> (Count, u64) {
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
                        .voted(now, key, Incarnation(life), (epoch, round), vote);
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
        if !router.up
            || router
                .store
                .apply(&self.revisions[revision as usize - 1])
                .is_err()
        {
            return;
        }
        let config = Arc::clone(router.store.current());
        let me = config.fleet.key(&id(index));
        router.home.apply(now, &config, me);
    }

    fn arrive(&mut self, number: usize) {
        let uuid = (u128::from(WALL + self.now) << 80) | (7 << 76) | number as u128;
        let key = Key {
            workspace: Tag(1),
            uuid,
        };
        self.actions.push(Action {
            key,
            tries: 0,
            ticket: None,
            runs: 0,
            told: None,
            answered: false,
        });
        self.send(self.actions.len() - 1);
    }

    /// Sends an action, or its repeat, to a router that is up; the balancer finds one.
    fn send(&mut self, index: usize) {
        if self.actions[index].answered || self.actions[index].tries > REPEATS {
            return;
        }
        self.actions[index].tries += 1;
        self.sent += 1;
        let entry = loop {
            let entry = self.rng.random_range(0..self.setting.routers);
            if self.routers[entry].up {
                break entry;
            }
        };
        let key = self.actions[index].key;
        let life = self.routers[entry].life;
        let ticket = *self.actions[index].ticket.get_or_insert((entry, life));
        let home = match self.way {
            Way::Ticket => Some(ticket.0),
            Way::Lease => {
                let config: &Config = self.routers[entry].store.current();
                let home = config
                    .home(key.item())
                    .and_then(|k| config.fleet.get(k).cloned());
                home.map(|r| self.names[&r.id])
            }
            Way::Live => {
                let live = |n: &usize| self.routers[entry].live[*n] || *n == entry;
                let score = |n: &usize| rendezvous(key.item(), self.ids[*n].tag());
                (0..self.setting.routers).filter(live).max_by_key(score)
            }
        };
        let reached = |h: &usize| self.routers[*h].up && self.joined(entry, *h);
        match home.filter(reached) {
            Some(home) => self.at_home(index, entry, home, ticket),
            None => self.tell(index, Outcome::Unknown, true),
        }
    }

    fn at_home(&mut self, index: usize, entry: usize, home: usize, ticket: (usize, u64)) {
        let now = self.clock();
        let key = self.actions[index].key;
        let life = self.routers[home].life;
        let begin = match self.way {
            Way::Lease => {
                let config = Arc::clone(self.routers[home].store.current());
                let mine = config
                    .home(key.item())
                    .is_some_and(|k| Some(k) == self.key(home, home));
                if !mine {
                    return self.tell(index, Outcome::Unknown, true);
                }
                self.routers[home]
                    .home
                    .begin(now, &config, Call(index as u64), key, 1)
            }
            Way::Ticket if ticket.1 != life => return self.tell(index, Outcome::Unknown, false),
            Way::Ticket | Way::Live => match self.routers[home].known.insert(key, true) {
                None => Begin::Run,
                Some(_) => Begin::Replay(Answer::default()),
            },
        };
        match begin {
            Begin::Run => {
                self.actions[index].runs += 1;
                self.push(
                    RUN_TIME,
                    Event::Ran {
                        action: index,
                        at: home,
                        life,
                        entry,
                    },
                );
            }
            Begin::Replay(_) => self.tell(index, Outcome::Done, false),
            Begin::Wait => self.push(REPEAT_AFTER, Event::Send(index)),
            Begin::Refuse(refusal) => {
                self.tell(index, refusal.outcome, refusal.retry_after.is_some());
            }
        }
    }

    fn ran(&mut self, action: usize, at: usize, life: u64, entry: usize) {
        let key = self.actions[action].key;
        let router = &mut self.routers[at];
        let alive = router.up && router.life == life;
        if alive {
            router.home.end(key, Outcome::Done, Some(Answer::default()));
        }
        if alive && self.routers[entry].up && self.joined(entry, at) {
            return self.tell(action, Outcome::Done, false);
        }
        self.push(PATIENCE, Event::Send(action));
    }

    /// Brings an answer to the caller, which repeats what it got no answer to or was told to.
    fn tell(&mut self, index: usize, outcome: Outcome, again: bool) {
        if self.rng.random_range(0..1000) < LOST {
            return self.push(PATIENCE, Event::Send(index));
        }
        let action = &mut self.actions[index];
        action.told = Some(outcome);
        if outcome == Outcome::Unknown && again && action.tries <= REPEATS {
            return self.push(REPEAT_AFTER, Event::Send(index));
        }
        action.answered = true;
    }
}

/// Gets the bytes of a number as protobuf writes it.
const fn varint(n: u64) -> u64 {
    (64 - (n | 1).leading_zeros() as u64).div_ceil(7)
}

/// Gets the bytes of one question and its answer: the fields, and with them the frames of gRPC
/// (5 bytes) and HTTP/2 (9 bytes) around each.
fn message_bytes(epoch: u64, round: u64, lease: u64) -> (u64, u64) {
    let ask = (1 + varint(epoch)) + (1 + varint(round)) + (1 + varint(lease)) + 2;
    let answer = 2 * (1 + varint(epoch)) + (1 + varint(round)) + 2 + 2;
    (ask + answer, ask + answer + 2 * 14)
}

fn print(name: &str, setting: Setting, faults: &[(u64, Fault)], ways: &[Way]) {
    println!("\n{name}: {setting:?}");
    println!("  way     actions  doubled  unknown  not_run  (per 10,000)  told at first try");
    for way in ways {
        let (count, asks) = Sim::new(*way, setting, faults).run();
        let per = |n: u64| n as f64 * 10_000.0 / count.actions as f64;
        println!(
            "  {:<7} {:>7}  {:>7.1}  {:>7.1}  {:>7.1}  {:>31.1}",
            format!("{way:?}").to_lowercase(),
            count.actions,
            per(count.doubled),
            per(count.unknown),
            per(count.not_run),
            per(count.first),
        );
        if *way == Way::Lease {
            let span = setting.span + WARM + REPEAT_AFTER * u64::from(REPEATS) * 4;
            let (bare, framed) = message_bytes(21_000, 1_000_000, setting.lease);
            let rate = |bytes: u64| asks as f64 * bytes as f64 * 1000.0 / span as f64;
            println!(
                "          lease traffic sent by each router: {:.0} B/s, framed {:.0} B/s",
                rate(bare),
                rate(framed)
            );
        }
    }
}

fn main() {
    use Way::{
        Lease,
        Live,
        Ticket, //
    };
    let all = [Ticket, Lease, Live];
    let seven = |lease, skew| Setting {
        routers: 7,
        lease,
        skew,
        rate: 50,
        span: 300_000,
    };
    let rolling: Vec<_> = (0..7)
        .map(|n| (30_000 * (n + 1), Fault::Down(n as usize)))
        .collect();
    for (lease, skew) in [
        (2000, 1000),
        (1000, 1000),
        (4000, 1000),
        (8000, 1000),
        (2000, 250),
    ] {
        let ways: &[Way] = if (lease, skew) == (2000, 1000) {
            &all
        } else {
            &[Lease]
        };
        let setting = seven(lease, skew);
        print(
            "rolling restart of 7 routers in 5 minutes",
            setting,
            &rolling,
            ways,
        );
        let one = [(30_000, Fault::Without(1))];
        print(
            "one router taken out of the list, 5 minutes",
            setting,
            &one,
            ways,
        );
    }
    let hour = Setting {
        span: 3_900_000,
        rate: 10,
        ..seven(2000, 1000)
    };
    let cut = [(120_000, Fault::Cut(2)), (3_720_000, Fault::Cut(0))];
    print("2 of 7 routers cut off for an hour", hour, &cut, &all);
    let mut answered = cut.to_vec();
    answered.insert(1, (420_000, Fault::Without(1)));
    answered.insert(2, (450_000, Fault::Without(2)));
    print(
        "the same, both taken out of the list after 5 minutes",
        hour,
        &answered,
        &[Lease],
    );
    for lease in [2000, 4000, 8000] {
        let large = Setting {
            routers: 330,
            lease,
            skew: 1000,
            rate: 200,
            span: 200_000,
        };
        let step = 86_400_000 / 920;
        let restarts = 200_000 / step;
        let restarts: Vec<_> = (0..restarts)
            .map(|n| (10_000 + n * step, Fault::Down(40 + n as usize * 37)))
            .collect();
        let ways: &[Way] = if lease == 2000 { &all } else { &[Lease] };
        print(
            "920 restarts a day at 330 routers, 200 seconds",
            large,
            &restarts,
            ways,
        );
    }
}
