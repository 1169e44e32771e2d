//! Simulates routers with admission control in front of engines of a fixed capacity. An engine runs
//! as many requests as its capacity allows and queues the rest by priority. Time advances in steps
//! of ten milliseconds.

#![expect(
    clippy::expect_used,
    reason = "the test harness panics when its own setup fails"
)]

use std::sync::Arc;

use bytes::Bytes;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use toucanturn_core::{
    arena::{
        EndpointKey,
        RouterKey,
        WorkspaceKey, //
    },
    config::{
        Config,
        store::Store, //
    },
    ids::Id,
    load::LoadTable,
    membership::View,
    overload::{
        AdmissionController,
        Verdict, //
    },
    peer::{
        Change,
        Entry, //
    },
    place::PlacementContext,
    request::{
        Origin,
        Prefix,
        Request,
        Work, //
    },
    units::{
        Millis,
        Revision,
        Time, //
    },
};

/// Step by which simulated time advances.
pub(crate) const STEP_MS: u64 = 10;
/// Interval at which routers send their load summaries to each other.
const SUMMARY_INTERVAL_MS: u64 = 200;

/// Published settings of a workspace.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Workspace {
    pub(crate) priority: u8,
    pub(crate) deadline: Millis,
}

/// Selects whether routers check a request before they place it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionMode {
    /// Every request is admitted.
    None,
    /// The router's admission controller decides.
    AdmissionController,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    router: usize,
    workspace: usize,
    priority: u8,
    arrived: Time,
    started: Time,
    ends: Time,
    service: Millis,
}

#[derive(Debug, Default)]
struct Engine {
    running: Vec<Job>,
    queue: Vec<Job>,
}

struct Router {
    controller: AdmissionController,
    loads: LoadTable,
    /// Workspace of each request in progress.
    in_progress: Vec<WorkspaceKey>,
}

/// The answer to one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answer {
    pub(crate) workspace: usize,
    pub(crate) arrived: Time,
    /// Time from arrival to the first token: the wait in the engine's queue.
    pub(crate) wait: Millis,
    /// Time from arrival to the whole answer.
    pub(crate) latency: Millis,
}

pub(crate) struct Pool {
    pub(crate) now: Time,
    pub(crate) answers: Vec<Answer>,
    pub(crate) shed: Vec<(usize, Time, Verdict)>,
    pub(crate) config: Arc<Config>,
    pub(crate) rng: StdRng,
    view: View,
    workspaces: Vec<(WorkspaceKey, Workspace)>,
    endpoints: Vec<EndpointKey>,
    router_keys: Vec<RouterKey>,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    pub(crate) admission: AdmissionMode,
    capacity: usize,
}

impl Pool {
    pub(crate) fn new(
        routers: usize,
        engines: usize,
        capacity: usize,
        workspaces: &[Workspace],
        admission: AdmissionMode,
    ) -> Self {
        let config = publish_config(routers, engines, capacity, workspaces);
        let mut view = View::default();
        view.apply(Time(0), &config);
        let id = |text: String| Id::try_from(text.as_str()).expect("a valid id");
        let member = |i| config.fleet.key(&id(format!("r{i}"))).expect("published");
        let router = |i| {
            let mut controller = AdmissionController::default();
            controller.apply(&config, Some(member(i)));
            let mut loads = LoadTable::default();
            loads.apply(&config, Some(member(i)));
            Router {
                controller,
                loads,
                in_progress: Vec::new(),
            }
        };
        let workspace = |(i, w): (usize, &Workspace)| {
            let key = config.workspaces.key(&id(format!("w{i}")));
            (key.expect("published"), *w)
        };
        let endpoint = |i| {
            config
                .endpoints
                .key(&id(format!("e{i}")))
                .expect("published")
        };
        let member = |i| config.fleet.key(&id(format!("r{i}"))).expect("published");
        Self {
            now: Time(0),
            answers: Vec::new(),
            shed: Vec::new(),
            rng: StdRng::seed_from_u64(1),
            view,
            workspaces: workspaces.iter().enumerate().map(workspace).collect(),
            endpoints: (0..engines).map(endpoint).collect(),
            router_keys: (0..routers).map(member).collect(),
            engines: (0..engines).map(|_| Engine::default()).collect(),
            routers: (0..routers).map(router).collect(),
            admission,
            capacity,
            config,
        }
    }

    /// Advances time by one step: ends and starts requests at the engines and sends summaries that
    /// are due.
    pub(crate) fn step(&mut self) {
        self.now = self.now + Millis(STEP_MS);
        for index in 0..self.engines.len() {
            self.end_requests(index);
            self.start_requests(index);
        }
        if self.now.0.is_multiple_of(SUMMARY_INTERVAL_MS) {
            self.summarize();
        }
    }

    /// Sends one request to a router and returns whether it was admitted.
    pub(crate) fn request(&mut self, router: usize, workspace: usize, service: Millis) -> bool {
        let time_limit = self.workspaces[workspace].1.deadline;
        self.request_until(router, workspace, service, self.now + time_limit)
    }

    /// Sends one request with its own deadline and returns whether it was admitted.
    pub(crate) fn request_until(
        &mut self,
        router: usize,
        workspace: usize,
        service: Millis,
        deadline: Time,
    ) -> bool {
        let verdict = self.admit(router, workspace, deadline);
        if verdict != Verdict::Admit {
            self.shed.push((workspace, self.now, verdict));
            return false;
        }
        let at = self.least_loaded(router);
        let entry = &mut self.routers[router];
        entry.loads.sent(self.now, self.endpoints[at]);
        entry.in_progress.push(self.workspaces[workspace].0);
        self.engines[at].queue.push(Job {
            router,
            workspace,
            priority: self.workspaces[workspace].1.priority,
            arrived: self.now,
            started: self.now,
            ends: self.now,
            service,
        });
        self.start_requests(at);
        true
    }

    /// Gets the number of requests at all engines, queued ones included.
    pub(crate) fn in_flight(&self) -> usize {
        let at_engine = |e: &Engine| e.running.len() + e.queue.len();
        self.engines.iter().map(at_engine).sum()
    }

    /// Gets the 99th percentile of a workspace's latency, for requests that arrived from `from` on.
    pub(crate) fn p99(&self, workspace: usize, from: Time) -> Millis {
        self.percentile(workspace, from, 99, |a| a.latency)
    }

    /// Gets a percentile of the duration that `of` selects from a workspace's answers.
    pub(crate) fn percentile(
        &self,
        workspace: usize,
        from: Time,
        percent: usize,
        of: impl Fn(&Answer) -> Millis,
    ) -> Millis {
        let selected = self
            .answers
            .iter()
            .filter(|a| a.workspace == workspace && a.arrived >= from);
        let mut times: Vec<Millis> = selected.map(of).collect();
        times.sort();
        let at = times.len().saturating_sub(1) * percent / 100;
        times.get(at).copied().unwrap_or_default()
    }

    fn admit(&mut self, router: usize, workspace: usize, deadline: Time) -> Verdict {
        if self.admission == AdmissionMode::None {
            return Verdict::Admit;
        }
        let (key, settings) = self.workspaces[workspace];
        let request = Request {
            origin: Origin::Caller,
            workspace: key,
            priority: toucanturn_core::config::Priority(settings.priority),
            work: self.chat_work(),
            deadline,
        };
        let entry = &mut self.routers[router];
        let context = PlacementContext {
            config: &self.config,
            view: &self.view,
            loads: &entry.loads,
            now: self.now,
        };
        let in_progress = entry.in_progress.iter().copied();
        entry
            .controller
            .admit(context, &request, in_progress, &mut self.rng)
    }

    fn chat_work(&self) -> Work {
        let model = self.config.models.iter().next().expect("a model").0;
        Work::Chat {
            model,
            prefix: Prefix(0),
            token: None,
        }
    }

    fn least_loaded(&mut self, router: usize) -> usize {
        let count = self.engines.len();
        let first = self.rng.random_range(0..count);
        let loads = &self.routers[router].loads;
        let load = |i: &usize| loads.estimate(self.now, self.endpoints[*i]);
        let order = (0..count).map(|n| (first + n) % count);
        order.min_by_key(load).expect("an engine")
    }

    fn end_requests(&mut self, index: usize) {
        let now = self.now;
        let (done, running): (Vec<Job>, Vec<Job>) = self.engines[index]
            .running
            .iter()
            .partition(|job| job.ends <= now);
        self.engines[index].running = running;
        let work = self.chat_work();
        for job in done {
            let latency = now.since(job.arrived);
            let entry = &mut self.routers[job.router];
            entry.loads.ended(now, self.endpoints[index]);
            entry.controller.ended(&work, latency);
            let key = self.workspaces[job.workspace].0;
            let at = entry.in_progress.iter().position(|w| *w == key);
            entry
                .in_progress
                .swap_remove(at.expect("a request in progress"));
            self.answers.push(Answer {
                workspace: job.workspace,
                arrived: job.arrived,
                wait: job.started.since(job.arrived),
                latency,
            });
        }
    }

    fn start_requests(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        engine
            .queue
            .sort_by_key(|j| (std::cmp::Reverse(j.priority), j.arrived));
        while engine.running.len() < self.capacity && !engine.queue.is_empty() {
            let mut job = engine.queue.remove(0);
            job.started = self.now;
            job.ends = self.now + job.service;
            engine.running.push(job);
        }
    }

    fn summarize(&mut self) {
        for from in 0..self.routers.len() {
            let own: Vec<_> = self.routers[from].loads.own().collect();
            for to in (0..self.routers.len()).filter(|to| *to != from) {
                let loads = &mut self.routers[to].loads;
                loads.peer(self.now, self.router_keys[from], &own);
            }
        }
    }
}

fn publish_config(
    routers: usize,
    engines: usize,
    capacity: usize,
    workspaces: &[Workspace],
) -> Arc<Config> {
    let mut store = Store::default();
    let mut entries = vec![
        ("models/m".to_owned(), r#"{"version":"v1"}"#.to_owned()),
        ("fleet".to_owned(), fleet_json(routers)),
    ];
    for i in 0..engines {
        let (high, low) = (i / 250, i % 250 + 1);
        let address = format!(r#""address":"10.1.{high}.{low}:80""#);
        let rest = format!(r#""data_center":"dc1","models":["m"],"capacity":{capacity}"#);
        let value = format!(r#"{{"kind":"engine",{address},{rest}}}"#);
        entries.push((format!("endpoints/e{i}"), value));
    }
    for (i, w) in workspaces.iter().enumerate() {
        let limit = r#""requests_per_s":100000"#;
        let rest = format!(
            r#""priority":{},"deadline_ms":{}"#,
            w.priority, w.deadline.0
        );
        let value = format!(r#"{{"key_sha256":["{i:064x}"],{limit},{rest},"models":["m"]}}"#);
        entries.push((format!("workspaces/w{i}"), value));
    }
    let entry = |(key, value): (String, String)| Entry {
        key: Bytes::from(key),
        revision: Revision(1),
        value: Some(Bytes::from(value)),
    };
    let change = Change {
        since: Revision(0),
        revision: Revision(1),
        entries: entries.into_iter().map(entry).collect(),
        floor: None,
    };
    store.apply(&change).expect("a valid configuration");
    Arc::clone(store.current())
}

fn fleet_json(routers: usize) -> String {
    let member = |i| {
        let address = format!(r#""address":"10.0.0.{}:80""#, i + 1);
        let peer = format!(r#""peer_address":"10.0.0.{}:81""#, i + 1);
        format!(r#""r{i}":{{{address},{peer},"data_center":"dc1"}}"#)
    };
    let members: Vec<String> = (0..routers).map(member).collect();
    format!("{{{}}}", members.join(","))
}
