//! Simulation of complete router nodes with their drivers, callers, endpoints and the configuration
//! service, in simulated time. Messages are delayed and lost; processes pause, stop and restart.

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

/// Published bound on the skew between two routers' wall clocks.
pub(crate) const SKEW_MS: u64 = 100;

/// Published lease duration.
pub(crate) const LEASE_MS: u64 = 2000;

mod driver;

const START_WALL_MS: u64 = 1_800_000_000_000;
const DEADLINE_MS: u64 = 3000;

/// Names of all routers.
pub(crate) const NAMES: [&str; 5] = ["r1", "r2", "r3", "r4", "r5"];

/// `Fault` is the behaviour of all endpoints towards attempts that reach them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Endpoints run the call and answer.
    None,
    /// Endpoints refuse the connection.
    Refuse,
    /// Endpoints run the call, then the connection breaks.
    Break,
    /// Endpoints run the call and answer with an error.
    Error,
    /// Endpoints run the call and never answer; the driver reports a broken attempt after its idle
    /// timeout.
    Silent,
}

/// `Process` is one incarnation of a router.
struct Process {
    name: &'static str,
    incarnation: u64,
    node: Node,
    /// Whether the messages that it sends are delivered. Those of a replaced process that keeps
    /// running are not.
    can_send: bool,
    paused_until_ms: u64,
    /// Monotonic clock: its reading at simulated time 0, and its rate in thousandths of the true
    /// rate.
    mono_offset_ms: u64,
    clock_rate_permille: u64,
    /// Wall clock: its offset from true time plus `SKEW_MS / 2`, so that 0 is the slowest clock
    /// allowed.
    wall_offset_ms: u64,
    last_call: u64,
}

/// `ReplyTo` is the receiver of a call's reply.
#[derive(Clone, Copy, Debug)]
enum ReplyTo {
    Caller {
        request_index: usize,
    },
    EntryRouter {
        process: usize,
        call: Call,
        request_index: usize,
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
        incarnation: u64,
        message: Message,
    },
    Forward {
        from: usize,
        call: Call,
        request_index: usize,
        remaining_ms: u64,
    },
}

struct ScheduledJob {
    process: usize,
    job: Job,
}

/// `CallerRequest` is one request of a caller, with the outcome that the caller received.
pub(crate) struct CallerRequest {
    pub(crate) key: Key,
    pub(crate) reply: Option<(Outcome, Option<Code>)>,
}

/// `Simulation` holds the routers, the network and the records that the invariants are checked on.
pub(crate) struct Simulation {
    pub(crate) now_ms: u64,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    jobs: BTreeMap<u64, ScheduledJob>,
    last_job: u64,
    processes: Vec<Process>,
    reply_targets: BTreeMap<(usize, Call), ReplyTo>,
    history: Vec<Change>,
    /// Newest revision that the configuration service returns to each router.
    pub(crate) served_revisions: BTreeMap<&'static str, u64>,
    pub(crate) partition_groups: BTreeMap<&'static str, u8>,
    pub(crate) loss_permille: u32,
    pub(crate) max_delay_ms: u64,
    pub(crate) fault: Fault,
    pub(crate) requests: Vec<CallerRequest>,
    pub(crate) runs: BTreeMap<Key, u32>,
    pub(crate) violations: Vec<String>,
    keys_created: u64,
    endpoints_check_keys: bool,
}

fn endpoint(number: u8, checks_key: bool) -> serde_json::Value {
    json!({"kind": "service", "address": format!("10.9.0.{number}:80"),
           "data_center": "be-north-1", "service": "orders", "checks_key": checks_key})
}

impl Simulation {
    /// Starts five routers with revision 1 and runs them for 13 s, until their start-up waits are
    /// over.
    pub(crate) fn new(seed: u64) -> Self {
        let mut simulation = Self {
            now_ms: 0,
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            jobs: BTreeMap::new(),
            last_job: 0,
            processes: Vec::new(),
            reply_targets: BTreeMap::new(),
            history: Vec::new(),
            served_revisions: NAMES.iter().map(|n| (*n, u64::MAX)).collect(),
            partition_groups: NAMES.iter().map(|n| (*n, 0)).collect(),
            loss_permille: 0,
            max_delay_ms: 2,
            fault: Fault::None,
            requests: Vec::new(),
            runs: BTreeMap::new(),
            violations: Vec::new(),
            keys_created: 0,
            endpoints_check_keys: false,
        };
        simulation.publish_initial_config();
        for name in NAMES {
            simulation.start_router(name);
        }
        simulation.advance(13_000);
        simulation
    }

    fn publish_initial_config(&mut self) {
        let policy = json!({"lease_ms": LEASE_MS, "clock_skew_ms": SKEW_MS, "key_ttl_ms": 60_000,
            "summary_interval_ms": 1000, "idle_timeout_ms": 2000, "drain_deadline_ms": 600_000});
        let workspace = json!({"key_sha256": ["0".repeat(64)], "priority": 5, "requests_per_s": 1000,
            "burst": 1000, "models": [], "services": ["orders"], "deadline_ms": DEADLINE_MS});
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

    /// Publishes that endpoints check idempotency keys, and makes them check.
    pub(crate) fn enable_key_checks(&mut self) {
        let revision = self.history.len() as u64 + 1;
        let entries = [
            ("endpoints/ord-1", endpoint(1, true)),
            ("endpoints/ord-2", endpoint(2, true)),
        ];
        self.history.push(change(revision - 1, revision, &entries));
        self.endpoints_check_keys = true;
    }

    /// Returns the newest published revision.
    pub(crate) fn revision(&self) -> u64 {
        self.history.len() as u64
    }

    /// Starts the next incarnation of a router.
    pub(crate) fn start_router(&mut self, name: &'static str) {
        let incarnation = self.processes.iter().filter(|p| p.name == name).count() as u64 + 1;
        let mono_offset_ms = self.rng.random_range(0..1_000_000);
        let options = Options {
            id: Id::try_from(name).unwrap(),
            incarnation: Incarnation(incarnation),
            seed: self.rng.random(),
        };
        let started_at = Now {
            mono: Time(mono_offset_ms),
            wall: Wall(START_WALL_MS),
        };
        let process = Process {
            name,
            incarnation,
            node: Node::new(options, started_at),
            can_send: true,
            paused_until_ms: 0,
            mono_offset_ms: mono_offset_ms.wrapping_sub(self.now_ms),
            clock_rate_permille: self.rng.random_range(996..=1004),
            wall_offset_ms: self.rng.random_range(0..=SKEW_MS),
            last_call: 0,
        };
        // The clock runs at its rate since simulated time 0, so the offset subtracts what has
        // accrued by now.
        let mut process = process;
        process.mono_offset_ms =
            mono_offset_ms.wrapping_sub(self.now_ms * process.clock_rate_permille / 1000);
        self.processes.push(process);
        let index = self.processes.len() - 1;
        let first_tick = self.rng.random_range(0..TICK.0);
        self.schedule(first_tick, index, Job::Tick);
    }

    /// Replaces a router by its next incarnation. The old process stops, or keeps running while
    /// none of its messages is delivered.
    pub(crate) fn restart(&mut self, name: &'static str, keeps_running: bool) {
        let old = self.current_process(name);
        self.processes[old].can_send = false;
        if !keeps_running {
            self.processes[old].paused_until_ms = u64::MAX;
        }
        self.start_router(name);
    }

    /// Pauses a router for `span_ms`.
    pub(crate) fn pause(&mut self, name: &str, span_ms: u64) {
        let index = self.current_process(name);
        let process = &mut self.processes[index];
        process.paused_until_ms = process.paused_until_ms.max(self.now_ms + span_ms);
    }

    /// Starts the drain of a router.
    pub(crate) fn drain(&mut self, name: &str) {
        let index = self.current_process(name);
        self.schedule(0, index, Job::Event(Box::new(Event::Drain)));
    }

    /// Sets a router's wall clock offset, limited to the published skew.
    pub(crate) fn set_clock(&mut self, name: &str, wall_offset_ms: u64) {
        let index = self.current_process(name);
        self.processes[index].wall_offset_ms = wall_offset_ms.min(SKEW_MS);
    }

    /// Sends a request with a new key that carries the time of the caller's own clock.
    pub(crate) fn send_new_key(&mut self, entry: &'static str, wall_offset_ms: u64) {
        self.keys_created += 1;
        let date = Wall(
            (START_WALL_MS + self.now_ms + wall_offset_ms.min(SKEW_MS)).saturating_sub(SKEW_MS / 2),
        );
        self.send(entry, key(date, self.keys_created));
    }

    /// Repeats the key of the request that came `requests_back` requests before the latest,
    /// modulo the number of requests.
    pub(crate) fn repeat_key(&mut self, entry: &'static str, requests_back: usize) {
        let count = self.requests.len();
        if let Some(request_index) = count.checked_sub(1 + requests_back % count.max(1)) {
            self.send(entry, self.requests[request_index].key);
        }
    }

    fn send(&mut self, entry: &'static str, key: Key) {
        let request_index = self.requests.len();
        self.requests.push(CallerRequest { key, reply: None });
        let process = self.current_process(entry);
        let call = self.next_call(process);
        self.reply_targets
            .insert((process, call), ReplyTo::Caller { request_index });
        let delay_ms = self.latency();
        let job = Job::Event(Box::new(self.request(
            process,
            call,
            key,
            Origin::Caller,
            DEADLINE_MS,
        )));
        self.schedule(delay_ms, process, job);
    }

    fn request(
        &self,
        process: usize,
        call: Call,
        key: Key,
        origin: Origin,
        remaining_ms: u64,
    ) -> Event {
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
            deadline: self.clock(process).mono + Millis(remaining_ms),
        };
        Event::Request { call, request }
    }

    /// Advances simulated time by `span_ms` and runs the jobs that become due.
    pub(crate) fn advance(&mut self, span_ms: u64) {
        let end = self.now_ms + span_ms;
        while let Some(Reverse((at, job_number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now_ms = self.now_ms.max(at);
            let Some(scheduled) = self.jobs.remove(&job_number) else {
                continue;
            };
            let paused_until_ms = self.processes[scheduled.process].paused_until_ms;
            if paused_until_ms == u64::MAX {
                continue;
            }
            if paused_until_ms > self.now_ms {
                self.queue.push(Reverse((paused_until_ms, job_number)));
                self.jobs.insert(job_number, scheduled);
                continue;
            }
            self.run_job(scheduled.process, scheduled.job);
        }
        self.now_ms = end;
    }

    fn record_run(&mut self, index: usize, call: Call) {
        let request_index = self.request_index(index, call);
        let key = self.requests[request_index].key;
        let runs = self.runs.entry(key).or_default();
        *runs = if self.endpoints_check_keys {
            1
        } else {
            *runs + 1
        };
        if *runs > 1 {
            let at = self.now_ms;
            self.violations
                .push(format!("{at}: a second run of request {request_index}"));
        }
        if let Some((Outcome::NotRun, _)) = self.requests[request_index].reply {
            self.violations.push(format!(
                "request {request_index} ran after it was told not_run"
            ));
        }
    }

    fn deliver_reply(&mut self, index: usize, call: Call, refusal: Option<Refusal>) {
        match self.reply_targets.get(&(index, call)).copied() {
            Some(ReplyTo::Caller { request_index }) => self.record_reply(request_index, refusal),
            Some(ReplyTo::EntryRouter { process, call, .. }) => {
                let event = Event::ForwardDone {
                    call,
                    outcome: Outcome::Done,
                    refusal,
                };
                let to = self.processes[process].name;
                if self.current_process(to) == process {
                    self.send_to_router(index, to, Job::Event(Box::new(event)));
                }
            }
            None => {}
        }
    }

    fn record_reply(&mut self, request_index: usize, refusal: Option<Refusal>) {
        let outcome = refusal.map_or(Outcome::Done, |r| r.outcome);
        let runs = self
            .runs
            .get(&self.requests[request_index].key)
            .copied()
            .unwrap_or(0);
        if outcome == Outcome::NotRun && runs > 0 {
            let code = refusal.map(|r| r.code);
            self.violations.push(format!(
                "request {request_index} was told not_run ({code:?}) after a run"
            ));
        }
        if outcome == Outcome::Done && runs == 0 {
            self.violations.push(format!(
                "request {request_index} was told done without a run"
            ));
        }
        self.requests[request_index].reply = Some((outcome, refusal.map(|r| r.code)));
    }

    fn request_index(&self, index: usize, call: Call) -> usize {
        match self.reply_targets[&(index, call)] {
            ReplyTo::Caller { request_index } | ReplyTo::EntryRouter { request_index, .. } => {
                request_index
            }
        }
    }

    fn current_process(&self, name: &str) -> usize {
        let found = self.processes.iter().rposition(|p| p.name == name);
        found.unwrap()
    }

    fn next_call(&mut self, index: usize) -> Call {
        let process = &mut self.processes[index];
        process.last_call += 1;
        Call(process.last_call)
    }

    fn clock(&self, index: usize) -> Now {
        let process = &self.processes[index];
        Now {
            mono: Time(
                process
                    .mono_offset_ms
                    .wrapping_add(self.now_ms * process.clock_rate_permille / 1000),
            ),
            wall: Wall(START_WALL_MS + self.now_ms + process.wall_offset_ms - SKEW_MS / 2),
        }
    }

    fn latency(&mut self) -> u64 {
        self.rng.random_range(1..=self.max_delay_ms.max(1))
    }

    fn schedule(&mut self, delay_ms: u64, process: usize, job: Job) {
        self.last_job += 1;
        let at = self.now_ms + delay_ms;
        self.queue.push(Reverse((at, self.last_job)));
        self.jobs
            .insert(self.last_job, ScheduledJob { process, job });
    }
}
