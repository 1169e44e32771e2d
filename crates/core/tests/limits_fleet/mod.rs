//! Simulates a fleet of `Limits` in one process, with message delay, message loss, partitions and
//! restarts. Time advances in steps of one millisecond; the same seed gives the same run.

#![expect(
    clippy::expect_used,
    reason = "the test harness panics when its own setup fails"
)]

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use bytes::Bytes;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use toucanturn_core::{
    arena::{
        RouterKey,
        WorkspaceKey, //
    },
    config::{
        Config,
        Priority,
        store::Store, //
    },
    event::TICK,
    ids::Id,
    limits::{
        Ask,
        GrantRequest,
        Limits,
        LimitsOutput,
        Verdict, //
    },
    peer::{
        Change,
        Entry, //
    },
    request::Call,
    units::{
        Millis,
        Revision,
        Time, //
    },
};

/// Publishes the configuration of the simulated fleet: its routers and the workspaces' limits.
pub(crate) struct Published {
    store: Store,
    pub(crate) routers: usize,
}

impl Published {
    pub(crate) fn new(routers: usize, workspaces: usize, per_s: u32, burst: u32) -> Self {
        Self::with_bursts(routers, &vec![(per_s, burst); workspaces])
    }

    /// Creates a workspace for each limit; its burst is one second of its rate.
    pub(crate) fn with_limits(routers: usize, limits: &[u32]) -> Self {
        let limits: Vec<_> = limits.iter().map(|l| (*l, *l)).collect();
        Self::with_bursts(routers, &limits)
    }

    fn with_bursts(routers: usize, limits: &[(u32, u32)]) -> Self {
        let mut published = Self {
            store: Store::default(),
            routers,
        };
        let workspace = |(i, (per_s, burst)): (usize, &(u32, u32))| {
            let limit = format!(r#""requests_per_s":{per_s},"burst":{burst}"#);
            let rest = r#""priority":5,"deadline_ms":5000"#;
            let value = format!(r#"{{"key_sha256":["{i:064x}"],{limit},{rest}}}"#);
            (format!("workspaces/w{i}"), value)
        };
        let mut entries: Vec<_> = limits.iter().enumerate().map(workspace).collect();
        entries.push(("fleet".to_owned(), fleet_json(routers, &[])));
        published.publish(entries);
        published
    }

    /// Publishes the fleet without the routers in `removed`.
    pub(crate) fn without(&mut self, removed: &[usize]) -> Arc<Config> {
        let entry = ("fleet".to_owned(), fleet_json(self.routers, removed));
        self.publish(vec![entry])
    }

    pub(crate) fn config(&self) -> Arc<Config> {
        Arc::clone(self.store.current())
    }

    fn publish(&mut self, entries: Vec<(String, String)>) -> Arc<Config> {
        let since = self.store.held();
        let revision = Revision(since.0 + 1);
        let entry = |(key, value): (String, String)| Entry {
            key: Bytes::from(key),
            revision,
            value: Some(Bytes::from(value)),
        };
        let change = Change {
            since,
            revision,
            entries: entries.into_iter().map(entry).collect(),
            floor: None,
        };
        self.store.apply(&change).expect("the fleet is valid");
        self.config()
    }
}

fn fleet_json(routers: usize, removed: &[usize]) -> String {
    let member = |i: &usize| {
        let (high, low) = (i / 250, i % 250 + 1);
        let address = format!(r#""address":"10.0.{high}.{low}:80""#);
        let peer = format!(r#""peer_address":"10.0.{high}.{low}:81""#);
        format!(r#""r{i}":{{{address},{peer},"data_center":"dc1"}}"#)
    };
    let members: Vec<String> = (0..routers)
        .filter(|i| !removed.contains(i))
        .map(|i| member(&i))
        .collect();
    format!("{{{}}}", members.join(","))
}

#[derive(Clone, Copy, Debug)]
enum Message {
    GrantRequest {
        workspace: WorkspaceKey,
        want: u32,
        nonce: u64,
    },
    Grant {
        workspace: WorkspaceKey,
        granted: u32,
        retry_after: Millis,
        nonce: u64,
    },
    /// Never crosses the network: the driver of the receiver reports that `from` is unreachable.
    PeerUnreachable,
    Summary,
}

#[derive(Clone, Copy, Debug)]
struct Envelope {
    from: usize,
    to: usize,
    message: Message,
}

/// Properties of the simulated network.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Network {
    /// Least and greatest one-way delay, in milliseconds.
    pub(crate) delay: (u64, u64),
    /// Lost messages per thousand.
    pub(crate) loss: u32,
    /// Number of peers to which each router sends its summary every 200 ms.
    pub(crate) summaries: usize,
}

pub(crate) struct Router {
    pub(crate) limits: Limits,
    pub(crate) config: Arc<Config>,
    pub(crate) up: bool,
    /// The process does nothing until this time; it handles the messages of the pause afterwards.
    pub(crate) paused_until: Time,
    /// Side of a partition; only routers on the same side reach each other.
    pub(crate) side: u8,
    /// Messages sent and received, summaries left out.
    pub(crate) sent: u64,
    pub(crate) received: u64,
}

impl Router {
    fn own_key(&self, id: &Id) -> Option<RouterKey> {
        self.config.fleet.key(id)
    }
}

/// One admitted call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admitted {
    pub(crate) at: Time,
    pub(crate) router: usize,
    pub(crate) workspace: WorkspaceKey,
}

pub(crate) struct Fleet {
    pub(crate) now: Time,
    pub(crate) routers: Vec<Router>,
    pub(crate) network: Network,
    pub(crate) admitted: Vec<Admitted>,
    /// Time and `retry_after` of each refusal.
    pub(crate) refused: Vec<(Time, Millis)>,
    /// Time from arrival to decision of each decided call, in milliseconds.
    pub(crate) waits: Vec<u64>,
    /// Two routers that cannot reach each other; all others reach both.
    pub(crate) broken_link: Option<(usize, usize)>,
    ids: Vec<Id>,
    /// Messages in transit, by time of arrival and number.
    queue: BTreeMap<(Time, u64), Envelope>,
    /// Time of arrival, router and workspace of each call that is not yet decided.
    undecided_calls: BTreeMap<u64, (Time, usize, WorkspaceKey)>,
    rng: StdRng,
    /// Last number given to a call or message.
    last_number: u64,
    /// Fraction of the next call that is due at each router.
    due_calls: Vec<f64>,
}

impl Fleet {
    pub(crate) fn new(published: &Published, network: Network, seed: u64) -> Self {
        let config = published.config();
        let router = |_| {
            let mut limits = Limits::default();
            limits.apply(Time(0), &config);
            Router {
                limits,
                config: Arc::clone(&config),
                up: true,
                paused_until: Time(0),
                side: 0,
                sent: 0,
                received: 0,
            }
        };
        let id = |i| Id::try_from(format!("r{i}").as_str()).expect("a valid id");
        let mut rng = StdRng::seed_from_u64(seed);
        // Different start values keep the routers' first calls from arriving at the same time.
        let due_calls = (0..published.routers).map(|_| rng.random_range(0.0..1.0));
        let due_calls = due_calls.collect();
        Self {
            now: Time(0),
            routers: (0..published.routers).map(router).collect(),
            network,
            admitted: Vec::new(),
            refused: Vec::new(),
            waits: Vec::new(),
            broken_link: None,
            ids: (0..published.routers).map(id).collect(),
            queue: BTreeMap::new(),
            undecided_calls: BTreeMap::new(),
            rng,
            last_number: 0,
            due_calls,
        }
    }

    pub(crate) fn workspace(&self, index: usize) -> WorkspaceKey {
        let id = Id::try_from(format!("w{index}").as_str()).expect("a valid id");
        let config = &self.routers[0].config;
        config.workspaces.key(&id).expect("a published workspace")
    }

    /// Gets the index of a workspace's home in the published order.
    pub(crate) fn home(&self, workspace: WorkspaceKey) -> usize {
        self.home_under(&self.routers[0].config, workspace)
    }

    /// Gets the index of a workspace's home under the given configuration.
    pub(crate) fn home_under(&self, config: &Config, workspace: WorkspaceKey) -> usize {
        let tag = config.workspaces.get(workspace).expect("published").tag;
        let home = config.home(u64::from(tag.0)).expect("a fleet");
        let is_home = |i: &usize| config.fleet.key(&self.ids[*i]) == Some(home);
        (0..self.ids.len()).find(is_home).expect("in the fleet")
    }

    /// Restarts a router with empty state.
    pub(crate) fn restart(&mut self, index: usize) {
        let router = &mut self.routers[index];
        router.limits = Limits::default();
        router.limits.apply(self.now, &router.config);
        router.up = true;
    }

    /// Partitions the fleet into the routers in `far` and the others. Each driver reports within
    /// 0.5 s to 1.5 s that the peers of the other side are unreachable.
    pub(crate) fn partition(&mut self, far: &[usize]) {
        for index in far {
            self.routers[*index].side = 1;
        }
        let others: Vec<usize> = (0..self.routers.len())
            .filter(|i| !far.contains(i))
            .collect();
        for (a, b) in far
            .iter()
            .flat_map(|a| others.iter().map(move |b| (*a, *b)))
        {
            for (from, to) in [(a, b), (b, a)] {
                let message = Message::PeerUnreachable;
                let delay = self.rng.random_range(500..1500);
                self.enqueue(delay, Envelope { from, to, message });
            }
        }
    }

    /// Ends the partition; each peer receives a summary from the other side within 300 ms.
    pub(crate) fn heal_partition(&mut self) {
        let count = self.routers.len();
        for (a, b) in (0..count).flat_map(|a| (0..count).map(move |b| (a, b))) {
            if self.routers[a].side != self.routers[b].side {
                let (from, to, message) = (a, b, Message::Summary);
                let delay = self.rng.random_range(1..300);
                self.enqueue(delay, Envelope { from, to, message });
            }
        }
        for router in &mut self.routers {
            router.side = 0;
        }
    }

    /// Applies a configuration at one router.
    pub(crate) fn apply(&mut self, index: usize, config: &Arc<Config>) {
        let router = &mut self.routers[index];
        router.config = Arc::clone(config);
        router.limits.apply(self.now, config);
    }

    /// Runs for `span`; `rates` holds the workspace's calls per second at each router.
    pub(crate) fn run(&mut self, span: Millis, workspace: WorkspaceKey, rates: &[f64]) {
        let end = self.now + span;
        while self.now < end {
            self.step();
            for (index, rate) in rates.iter().enumerate() {
                self.due_calls[index] += rate / 1000.0;
                while self.due_calls[index] >= 1.0 {
                    self.due_calls[index] -= 1.0;
                    self.call(index, workspace);
                }
            }
        }
    }

    /// Sends one call to a router; one that is down or paused gets none.
    pub(crate) fn call(&mut self, index: usize, workspace: WorkspaceKey) {
        if !self.routers[index].up || self.now < self.routers[index].paused_until {
            return;
        }
        self.last_number += 1;
        let call = Call(self.last_number);
        self.undecided_calls
            .insert(call.0, (self.now, index, workspace));
        let me = self.routers[index].own_key(&self.ids[index]);
        let ask = Ask {
            me,
            call,
            workspace,
            priority: Priority(5),
        };
        let mut out = Vec::new();
        let router = &mut self.routers[index];
        let config = Arc::clone(&router.config);
        let verdict = router.limits.admit(self.now, &config, ask, &mut out);
        self.record_verdict(call, verdict);
        self.process_outputs(index, out);
    }

    /// Advances time by one millisecond.
    pub(crate) fn step(&mut self) {
        self.now = self.now + Millis(1);
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let envelope = entry.remove();
            let wakes_at = self.routers[envelope.to].paused_until;
            if self.now < wakes_at {
                self.enqueue(wakes_at.since(self.now).0, envelope);
            } else {
                self.deliver(envelope);
            }
        }
        for index in 0..self.routers.len() {
            let phase = index as u64 * 7;
            if !self.routers[index].up || self.now < self.routers[index].paused_until {
                continue;
            }
            if (self.now.0 + phase).is_multiple_of(TICK.0) {
                self.tick(index);
            }
            if (self.now.0 + phase).is_multiple_of(200) {
                self.summarize(index);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let router = &mut self.routers[index];
        let config = Arc::clone(&router.config);
        let me = router.own_key(&self.ids[index]);
        let mut out = Vec::new();
        router.limits.tick(self.now, &config, me, &mut out);
        self.process_outputs(index, out);
    }

    fn summarize(&mut self, index: usize) {
        let count = self.routers.len();
        for n in 1..=self.network.summaries.min(count - 1) {
            let step = if count <= 16 {
                n
            } else {
                self.rng.random_range(1..count)
            };
            self.send(index, (index + step) % count, Message::Summary);
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let Envelope { from, to, message } = envelope;
        let sender = self.ids[from].clone();
        let router = &mut self.routers[to];
        if !router.up {
            return;
        }
        let config = Arc::clone(&router.config);
        let me = router.own_key(&self.ids[to]);
        let Some(from_key) = config.fleet.key(&sender) else {
            return;
        };
        let mut out = Vec::new();
        if !matches!(message, Message::PeerUnreachable | Message::Summary) {
            router.received += 1;
        }
        if !matches!(message, Message::PeerUnreachable) {
            router.limits.heard(from_key);
        }
        match message {
            Message::Summary => {}
            Message::PeerUnreachable => {
                router
                    .limits
                    .failed(self.now, &config, me, from_key, &mut out);
            }
            Message::GrantRequest {
                workspace,
                want,
                nonce,
            } => {
                let request = GrantRequest {
                    me,
                    from: from_key,
                    workspace,
                    want,
                };
                let (granted, retry_after) =
                    router.limits.ask(self.now, &config, request, &mut out);
                let grant = Message::Grant {
                    workspace,
                    granted,
                    retry_after,
                    nonce,
                };
                self.send(to, from, grant);
            }
            Message::Grant {
                workspace,
                granted,
                retry_after,
                nonce,
            } => {
                let limits = &mut router.limits;
                limits.granted(self.now, workspace, granted, retry_after, nonce, &mut out);
            }
        }
        self.process_outputs(to, out);
    }

    fn process_outputs(&mut self, index: usize, out: Vec<LimitsOutput>) {
        for output in out {
            match output {
                LimitsOutput::Decided { call, verdict } => self.record_verdict(call, verdict),
                LimitsOutput::Ask {
                    home,
                    workspace,
                    want,
                    nonce,
                } => {
                    let config = &self.routers[index].config;
                    let is_home = |i: &usize| config.fleet.key(&self.ids[*i]) == Some(home);
                    let to = (0..self.ids.len()).find(is_home).expect("in the fleet");
                    let request = Message::GrantRequest {
                        workspace,
                        want,
                        nonce,
                    };
                    self.send(index, to, request);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let counted = !matches!(message, Message::Summary);
        if counted {
            self.routers[from].sent += 1;
        }
        let (min_delay, max_delay) = self.network.delay;
        let delay = self.rng.random_range(min_delay..=max_delay);
        // The broken connection reveals a process that ended; a partition stays unnoticed.
        if !self.routers[to].up {
            let envelope = Envelope {
                from: to,
                to: from,
                message: Message::PeerUnreachable,
            };
            return self.enqueue(delay, envelope);
        }
        let link_is_broken =
            self.broken_link == Some((from, to)) || self.broken_link == Some((to, from));
        let unreachable = link_is_broken || self.routers[from].side != self.routers[to].side;
        if unreachable || self.rng.random_range(0..1000) < self.network.loss {
            return;
        }
        self.enqueue(delay, Envelope { from, to, message });
    }

    fn enqueue(&mut self, delay: u64, envelope: Envelope) {
        self.last_number += 1;
        let at = self.now + Millis(delay);
        self.queue.insert((at, self.last_number), envelope);
    }

    fn record_verdict(&mut self, call: Call, verdict: Verdict) {
        let Some(&(since, router, workspace)) = self.undecided_calls.get(&call.0) else {
            panic!("{call:?} was decided twice");
        };
        match verdict {
            Verdict::Wait => return,
            Verdict::Admit => {
                self.waits.push(self.now.since(since).0);
                self.admitted.push(Admitted {
                    at: self.now,
                    router,
                    workspace,
                });
            }
            Verdict::Refuse { retry_after } => {
                self.waits.push(self.now.since(since).0);
                self.refused.push((self.now, retry_after));
            }
        }
        self.undecided_calls.remove(&call.0);
    }

    /// Gets the number of calls that are not yet decided.
    pub(crate) fn undecided(&self) -> usize {
        self.undecided_calls.len()
    }

    /// Gets the most calls admitted in any window of this length from `from` on.
    pub(crate) fn max_admitted(&self, from: Time, window: Millis) -> usize {
        let times: Vec<Time> = self.admission_times(from);
        let mut first = 0;
        let mut max = 0;
        for (last, at) in times.iter().enumerate() {
            while times[first] + window <= *at {
                first += 1;
            }
            max = max.max(last + 1 - first);
        }
        max
    }

    /// Gets the fewest calls admitted in any window of this length between `from` and now.
    pub(crate) fn min_admitted(&self, from: Time, window: Millis) -> usize {
        let times = self.admission_times(from);
        let mut min = usize::MAX;
        let mut start = from;
        while start + window <= self.now {
            let low = times.partition_point(|t| *t < start);
            let high = times.partition_point(|t| *t < start + window);
            min = min.min(high - low);
            start = start + Millis(50);
        }
        min
    }

    fn admission_times(&self, from: Time) -> Vec<Time> {
        let after = self.admitted.iter().filter(|a| a.at >= from);
        after.map(|a| a.at).collect()
    }
}
