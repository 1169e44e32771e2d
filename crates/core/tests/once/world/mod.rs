//! Whole routers with their drivers, callers, endpoints and the configuration service, on one
//! true time. Messages are delayed and lost, processes pause, die and come back.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap, //
    },
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use serde_json::json;
use toucanturn_core::{
    config::Priority,
    event::{
        Event,
        TICK, //
    },
    ids::Id,
    node::{
        Node,
        Options, //
    },
    peer::{
        Change,
        Message, //
    },
    request::{
        Attempt,
        Call,
        Code,
        Key,
        Origin,
        Outcome,
        Refusal,
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

use crate::rig::{
    change,
    fleet,
    key, //
};

/// Largest distance of two routers' wall clocks.
pub(crate) const SKEW: u64 = 100;

/// Length of the lease.
pub(crate) const LEASE: u64 = 2000;

mod driver;

const WALL: u64 = 1_800_000_000_000;
const DEADLINE: u64 = 3000;

/// The names of all routers.
pub(crate) const NAMES: [&str; 5] = ["r1", "r2", "r3", "r4", "r5"];

/// `Fault` is what endpoints do to the attempts that reach them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// They run it and answer.
    None,
    /// They refuse the connection.
    Refuse,
    /// They run it and the connection breaks.
    Break,
    /// They run it and answer with an error.
    Error,
    /// They run it and never answer; the driver gives up at the idle timeout.
    Silent,
}

/// `Process` is one life of a router.
struct Process {
    name: &'static str,
    life: u64,
    node: Node,
    /// Whether messages and callers reach it; a replaced one goes on unheard.
    reachable: bool,
    paused: u64,
    /// Monotonic clock: its zero, and its rate in thousandths of the true one.
    zero: u64,
    rate: u64,
    /// Wall clock: how far it is ahead of half the allowed distance behind the truth.
    ahead: u64,
    calls: u64,
}

/// `Back` is where a call's answer goes.
#[derive(Clone, Copy, Debug)]
enum Back {
    Caller {
        trial: usize,
    },
    Entry {
        process: usize,
        call: Call,
        trial: usize,
    },
}

#[derive(Debug)]
enum Job {
    Event(Box<Event>),
    Tick,
    Write {
        call: Call,
        attempt: Attempt,
        not_after: Option<Time>,
    },
    Peer {
        from: &'static str,
        life: u64,
        message: Message,
    },
    Forward {
        from: usize,
        call: Call,
        trial: usize,
        left: u64,
    },
}

struct Item {
    process: usize,
    job: Job,
}

/// `Trial` is one request of a caller.
pub(crate) struct Trial {
    pub(crate) key: Key,
    pub(crate) told: Option<(Outcome, Option<Code>)>,
}

/// `World` is all of it.
pub(crate) struct World {
    pub(crate) now: u64,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    items: BTreeMap<u64, Item>,
    number: u64,
    processes: Vec<Process>,
    backs: BTreeMap<(usize, Call), Back>,
    history: Vec<Change>,
    /// Revision up to which the service answers each name, and none where it is down.
    pub(crate) serves: BTreeMap<&'static str, u64>,
    pub(crate) groups: BTreeMap<&'static str, u8>,
    pub(crate) loss: u32,
    pub(crate) delay: u64,
    pub(crate) fault: Fault,
    pub(crate) trials: Vec<Trial>,
    pub(crate) runs: BTreeMap<Key, u32>,
    pub(crate) broken: Vec<String>,
    keys: u64,
    checked: bool,
}

fn endpoint(number: u8, checks_key: bool) -> serde_json::Value {
    json!({"kind": "service", "address": format!("10.9.0.{number}:80"),
           "data_center": "be-north-1", "service": "orders", "checks_key": checks_key})
}

impl World {
    /// Makes five routers that are long up and hold revision 1.
    pub(crate) fn new(seed: u64) -> Self {
        let mut world = Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            items: BTreeMap::new(),
            number: 0,
            processes: Vec::new(),
            backs: BTreeMap::new(),
            history: Vec::new(),
            serves: NAMES.iter().map(|n| (*n, u64::MAX)).collect(),
            groups: NAMES.iter().map(|n| (*n, 0)).collect(),
            loss: 0,
            delay: 2,
            fault: Fault::None,
            trials: Vec::new(),
            runs: BTreeMap::new(),
            broken: Vec::new(),
            keys: 0,
            checked: false,
        };
        world.first();
        for name in NAMES {
            world.start(name);
        }
        world.run(13_000);
        world
    }

    fn first(&mut self) {
        let policy = json!({"lease_ms": LEASE, "clock_skew_ms": SKEW, "key_ttl_ms": 60_000,
            "summary_interval_ms": 1000, "idle_timeout_ms": 2000, "drain_deadline_ms": 600_000});
        let workspace = json!({"key_sha256": ["0".repeat(64)], "priority": 5, "requests_per_s": 1000,
            "burst": 1000, "models": [], "services": ["orders"], "deadline_ms": DEADLINE});
        let once = json!([{"method": "POST", "path": ""}]);
        let entries = [
            ("policy", policy),
            ("fleet", fleet(&NAMES)),
            ("services/orders", json!({"path": "/orders", "once": once})),
            ("endpoints/ord-1", endpoint(1, false)),
            ("endpoints/ord-2", endpoint(2, false)),
            ("workspaces/vitalbox", workspace),
        ];
        self.history.push(change(0, 1, &entries));
    }

    /// Publishes the next fleet list.
    pub(crate) fn publish(&mut self, members: &[&str]) {
        let revision = self.history.len() as u64 + 1;
        let entries = [("fleet", fleet(members))];
        self.history.push(change(revision - 1, revision, &entries));
    }

    /// Publishes that endpoints check keys, and lets them do so.
    pub(crate) fn check_keys(&mut self) {
        let revision = self.history.len() as u64 + 1;
        let entries = [
            ("endpoints/ord-1", endpoint(1, true)),
            ("endpoints/ord-2", endpoint(2, true)),
        ];
        self.history.push(change(revision - 1, revision, &entries));
        self.checked = true;
    }

    /// Gets the newest published revision.
    pub(crate) fn revision(&self) -> u64 {
        self.history.len() as u64
    }

    /// Starts the next life of a router.
    pub(crate) fn start(&mut self, name: &'static str) {
        let life = self.processes.iter().filter(|p| p.name == name).count() as u64 + 1;
        let zero = self.rng.random_range(0..1_000_000);
        let options = Options {
            id: Id::try_from(name).unwrap(),
            incarnation: Incarnation(life),
            seed: self.rng.random(),
        };
        let born = Now {
            mono: Time(zero),
            wall: Wall(WALL),
        };
        let process = Process {
            name,
            life,
            node: Node::new(options, born),
            reachable: true,
            paused: 0,
            zero: zero.wrapping_sub(self.now),
            rate: self.rng.random_range(996..=1004),
            ahead: self.rng.random_range(0..=SKEW),
            calls: 0,
        };
        // The rate counts from the start of the world, so the clock is set to fit.
        let mut process = process;
        process.zero = zero.wrapping_sub(self.now * process.rate / 1000);
        self.processes.push(process);
        let index = self.processes.len() - 1;
        let first = self.rng.random_range(0..TICK.0);
        self.push(first, index, Job::Tick);
    }

    /// Replaces a router by a fresh life. The old one is gone, or goes on where nobody hears it.
    pub(crate) fn restart(&mut self, name: &'static str, lingers: bool) {
        let old = self.current(name);
        self.processes[old].reachable = false;
        if !lingers {
            self.processes[old].paused = u64::MAX;
        }
        self.start(name);
    }

    /// Lets a router sleep.
    pub(crate) fn pause(&mut self, name: &str, span: u64) {
        let index = self.current(name);
        let process = &mut self.processes[index];
        process.paused = process.paused.max(self.now + span);
    }

    /// Lets a router drain.
    pub(crate) fn drain(&mut self, name: &str) {
        let index = self.current(name);
        self.push(0, index, Job::Event(Box::new(Event::Drain)));
    }

    /// Sets a router's wall clock within what is allowed.
    pub(crate) fn set_clock(&mut self, name: &str, ahead: u64) {
        let index = self.current(name);
        self.processes[index].ahead = ahead.min(SKEW);
    }

    /// Lets a caller make a key, dated by its own clock, and send it.
    pub(crate) fn fresh(&mut self, entry: &'static str, ahead: u64) {
        self.keys += 1;
        let date = Wall((WALL + self.now + ahead.min(SKEW)).saturating_sub(SKEW / 2));
        self.send(entry, key(date, self.keys));
    }

    /// Lets a caller repeat one of its last keys.
    pub(crate) fn repeat(&mut self, entry: &'static str, back: usize) {
        let count = self.trials.len();
        if let Some(trial) = count.checked_sub(1 + back % count.max(1)) {
            self.send(entry, self.trials[trial].key);
        }
    }

    fn send(&mut self, entry: &'static str, key: Key) {
        let trial = self.trials.len();
        self.trials.push(Trial { key, told: None });
        let process = self.current(entry);
        let call = self.call(process);
        self.backs.insert((process, call), Back::Caller { trial });
        let delay = self.latency();
        let job = Job::Event(Box::new(self.request(
            process,
            call,
            key,
            Origin::Caller,
            DEADLINE,
        )));
        self.push(delay, process, job);
    }

    fn request(&self, process: usize, call: Call, key: Key, origin: Origin, left: u64) -> Event {
        let config = self.processes[process].node.config();
        let service = config.services.key(&Id::try_from("orders").unwrap());
        let workspace = config.workspaces.key(&Id::try_from("vitalbox").unwrap());
        let work = Work::Once {
            service: service.unwrap_or_default(),
            key,
            content: 1,
        };
        let request = Request {
            origin,
            workspace: workspace.unwrap_or_default(),
            priority: Priority(5),
            work,
            deadline: self.clock(process).mono + Millis(left),
        };
        Event::Request { call, request }
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            let Some(item) = self.items.remove(&number) else {
                continue;
            };
            let paused = self.processes[item.process].paused;
            if paused == u64::MAX {
                continue;
            }
            if paused > self.now {
                self.queue.push(Reverse((paused, number)));
                self.items.insert(number, item);
                continue;
            }
            self.work(item.process, item.job);
        }
        self.now = end;
    }

    fn ran(&mut self, index: usize, call: Call) {
        let trial = self.trial(index, call);
        let key = self.trials[trial].key;
        let runs = self.runs.entry(key).or_default();
        *runs = if self.checked { 1 } else { *runs + 1 };
        if *runs > 1 {
            let at = self.now;
            self.broken
                .push(format!("{at}: a second run of trial {trial}"));
        }
        if let Some((Outcome::NotRun, _)) = self.trials[trial].told {
            self.broken
                .push(format!("trial {trial} ran after it was told not_run"));
        }
    }

    fn answer(&mut self, index: usize, call: Call, refusal: Option<Refusal>) {
        match self.backs.get(&(index, call)).copied() {
            Some(Back::Caller { trial }) => self.tell(trial, refusal),
            Some(Back::Entry { process, call, .. }) => {
                let event = Event::ForwardDone {
                    call,
                    outcome: Outcome::Done,
                    refusal,
                };
                let to = self.processes[process].name;
                if self.current(to) == process {
                    self.post(index, to, Job::Event(Box::new(event)));
                }
            }
            None => {}
        }
    }

    fn tell(&mut self, trial: usize, refusal: Option<Refusal>) {
        let outcome = refusal.map_or(Outcome::Done, |r| r.outcome);
        let runs = self.runs.get(&self.trials[trial].key).copied().unwrap_or(0);
        if outcome == Outcome::NotRun && runs > 0 {
            let code = refusal.map(|r| r.code);
            self.broken.push(format!(
                "trial {trial} was told not_run ({code:?}) after a run"
            ));
        }
        if outcome == Outcome::Done && runs == 0 {
            self.broken
                .push(format!("trial {trial} was told done without a run"));
        }
        self.trials[trial].told = Some((outcome, refusal.map(|r| r.code)));
    }

    fn trial(&self, index: usize, call: Call) -> usize {
        match self.backs[&(index, call)] {
            Back::Caller { trial } | Back::Entry { trial, .. } => trial,
        }
    }

    fn current(&self, name: &str) -> usize {
        let found = self.processes.iter().rposition(|p| p.name == name);
        found.unwrap()
    }

    fn call(&mut self, index: usize) -> Call {
        let process = &mut self.processes[index];
        process.calls += 1;
        Call(process.calls)
    }

    fn clock(&self, index: usize) -> Now {
        let process = &self.processes[index];
        Now {
            mono: Time(process.zero.wrapping_add(self.now * process.rate / 1000)),
            wall: Wall(WALL + self.now + process.ahead - SKEW / 2),
        }
    }

    fn latency(&mut self) -> u64 {
        self.rng.random_range(1..=self.delay.max(1))
    }

    fn push(&mut self, delay: u64, process: usize, job: Job) {
        self.number += 1;
        let at = self.now + delay;
        self.queue.push(Reverse((at, self.number)));
        self.items.insert(self.number, Item { process, job });
    }
}
