//! A fleet of `Limits` in one process, with message delay, loss, cuts and restarts. Time moves in
//! steps of one millisecond; the same seed gives the same run.

#![expect(
    clippy::expect_used,
    reason = "a harness of tests stops at what it can't do"
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

/// A published fleet of `routers` (without those in `gone`) and `workspaces` of one limit.
pub(crate) struct Published {
    store: Store,
    pub(crate) routers: usize,
}

impl Published {
    pub(crate) fn new(routers: usize, workspaces: usize, per_s: u32, burst: u32) -> Self {
        Self::make(routers, &vec![(per_s, burst); workspaces])
    }

    /// A workspace for each limit; the burst is a second's worth.
    pub(crate) fn with_limits(routers: usize, limits: &[u32]) -> Self {
        let limits: Vec<_> = limits.iter().map(|l| (*l, *l)).collect();
        Self::make(routers, &limits)
    }

    fn make(routers: usize, limits: &[(u32, u32)]) -> Self {
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
        entries.push(("fleet".to_owned(), fleet(routers, &[])));
        published.publish(entries);
        published
    }

    /// Publishes the fleet without some routers.
    pub(crate) fn without(&mut self, gone: &[usize]) -> Arc<Config> {
        let entry = ("fleet".to_owned(), fleet(self.routers, gone));
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

fn fleet(routers: usize, gone: &[usize]) -> String {
    let member = |i: &usize| {
        let (high, low) = (i / 250, i % 250 + 1);
        let address = format!(r#""address":"10.0.{high}.{low}:80""#);
        let peer = format!(r#""peer_address":"10.0.{high}.{low}:81""#);
        format!(r#""r{i}":{{{address},{peer},"data_center":"dc1"}}"#)
    };
    let members: Vec<String> = (0..routers)
        .filter(|i| !gone.contains(i))
        .map(|i| member(&i))
        .collect();
    format!("{{{}}}", members.join(","))
}

#[derive(Clone, Copy, Debug)]
enum Message {
    Ask {
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
    /// Not sent: the receiver's driver says that the sender cannot be reached.
    Failed,
    Summary,
}

#[derive(Clone, Copy, Debug)]
struct Letter {
    from: usize,
    to: usize,
    message: Message,
}

/// What the network does.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Network {
    /// Least and greatest delay one way.
    pub(crate) delay: (u64, u64),
    /// Messages lost of a thousand.
    pub(crate) loss: u32,
    /// Peers that each router tells its summary every 200 ms.
    pub(crate) summaries: usize,
}

pub(crate) struct Router {
    pub(crate) limits: Limits,
    pub(crate) config: Arc<Config>,
    pub(crate) up: bool,
    /// The process stands still until then; what it gets meanwhile it reads when it wakes.
    pub(crate) paused: Time,
    /// Side of a partition; two routers talk when they are on one side.
    pub(crate) side: u8,
    pub(crate) sent: u64,
    pub(crate) received: u64,
}

impl Router {
    fn me(&self, id: &Id) -> Option<RouterKey> {
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
    pub(crate) refused: Vec<(Time, Millis)>,
    pub(crate) waits: Vec<u64>,
    /// Two routers that cannot reach each other, though all others reach both.
    pub(crate) severed: Option<(usize, usize)>,
    ids: Vec<Id>,
    queue: BTreeMap<(Time, u64), Letter>,
    asked: BTreeMap<u64, (Time, usize, WorkspaceKey)>,
    rng: StdRng,
    number: u64,
    debt: Vec<f64>,
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
                paused: Time(0),
                side: 0,
                sent: 0,
                received: 0,
            }
        };
        let id = |i| Id::try_from(format!("r{i}").as_str()).expect("a good name");
        let mut rng = StdRng::seed_from_u64(seed);
        // Callers don't act in step: each router's first call comes at its own time.
        let debt = (0..published.routers).map(|_| rng.random_range(0.0..1.0));
        let debt = debt.collect();
        Self {
            now: Time(0),
            routers: (0..published.routers).map(router).collect(),
            network,
            admitted: Vec::new(),
            refused: Vec::new(),
            waits: Vec::new(),
            severed: None,
            ids: (0..published.routers).map(id).collect(),
            queue: BTreeMap::new(),
            asked: BTreeMap::new(),
            rng,
            number: 0,
            debt,
        }
    }

    pub(crate) fn workspace(&self, index: usize) -> WorkspaceKey {
        let id = Id::try_from(format!("w{index}").as_str()).expect("a good name");
        let config = &self.routers[0].config;
        config.workspaces.key(&id).expect("a published workspace")
    }

    /// Index of a workspace's home in the published order.
    pub(crate) fn home(&self, workspace: WorkspaceKey) -> usize {
        self.home_in(&self.routers[0].config, workspace)
    }

    /// The same under a certain configuration.
    pub(crate) fn home_in(&self, config: &Config, workspace: WorkspaceKey) -> usize {
        let tag = config.workspaces.get(workspace).expect("published").tag;
        let home = config.home(u64::from(tag.0)).expect("a fleet");
        let is_home = |i: &usize| config.fleet.key(&self.ids[*i]) == Some(home);
        (0..self.ids.len()).find(is_home).expect("in the fleet")
    }

    /// Replaces a router by one that knows nothing.
    pub(crate) fn restart(&mut self, index: usize) {
        let router = &mut self.routers[index];
        router.limits = Limits::default();
        router.limits.apply(self.now, &router.config);
        router.up = true;
    }

    /// Cuts the fleet in two: the routers in `far` and the others. Each driver notices within
    /// 1.5 s that the peers of the other side cannot be reached.
    pub(crate) fn cut(&mut self, far: &[usize]) {
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
                let message = Message::Failed;
                let delay = self.rng.random_range(500..1500);
                self.post(delay, Letter { from, to, message });
            }
        }
    }

    /// Joins the two sides; peers hear from each other again within 300 ms.
    pub(crate) fn heal(&mut self) {
        let all = self.routers.len();
        for (a, b) in (0..all).flat_map(|a| (0..all).map(move |b| (a, b))) {
            if self.routers[a].side != self.routers[b].side {
                let (from, to, message) = (a, b, Message::Summary);
                let delay = self.rng.random_range(1..300);
                self.post(delay, Letter { from, to, message });
            }
        }
        for router in &mut self.routers {
            router.side = 0;
        }
    }

    /// Puts a configuration in force at one router.
    pub(crate) fn apply(&mut self, index: usize, config: &Arc<Config>) {
        let router = &mut self.routers[index];
        router.config = Arc::clone(config);
        router.limits.apply(self.now, config);
    }

    /// Runs for a time; `rates` gives each router's requests a second for each workspace.
    pub(crate) fn run(&mut self, span: Millis, workspace: WorkspaceKey, rates: &[f64]) {
        let end = self.now + span;
        while self.now < end {
            self.step();
            for (index, rate) in rates.iter().enumerate() {
                self.debt[index] += rate / 1000.0;
                while self.debt[index] >= 1.0 {
                    self.debt[index] -= 1.0;
                    self.call(index, workspace);
                }
            }
        }
    }

    /// One call at a router.
    pub(crate) fn call(&mut self, index: usize, workspace: WorkspaceKey) {
        if !self.routers[index].up || self.now < self.routers[index].paused {
            return;
        }
        self.number += 1;
        let call = Call(self.number);
        self.asked.insert(call.0, (self.now, index, workspace));
        let me = self.routers[index].me(&self.ids[index]);
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
        self.decided(call, verdict);
        self.carry_out(index, out);
    }

    /// Lets one millisecond pass.
    pub(crate) fn step(&mut self) {
        self.now = self.now + Millis(1);
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let letter = entry.remove();
            let paused = self.routers[letter.to].paused;
            if self.now < paused {
                self.post(paused.since(self.now).0, letter);
            } else {
                self.deliver(letter);
            }
        }
        for index in 0..self.routers.len() {
            let phase = index as u64 * 7;
            if !self.routers[index].up || self.now < self.routers[index].paused {
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
        let me = router.me(&self.ids[index]);
        let mut out = Vec::new();
        router.limits.tick(self.now, &config, me, &mut out);
        self.carry_out(index, out);
    }

    fn summarize(&mut self, index: usize) {
        let all = self.routers.len();
        for n in 1..=self.network.summaries.min(all - 1) {
            let step = if all <= 16 {
                n
            } else {
                self.rng.random_range(1..all)
            };
            self.send(index, (index + step) % all, Message::Summary);
        }
    }

    fn deliver(&mut self, letter: Letter) {
        let Letter { from, to, message } = letter;
        let sender = self.ids[from].clone();
        let router = &mut self.routers[to];
        if !router.up {
            return;
        }
        let config = Arc::clone(&router.config);
        let me = router.me(&self.ids[to]);
        let Some(from_key) = config.fleet.key(&sender) else {
            return;
        };
        let mut out = Vec::new();
        if !matches!(message, Message::Failed | Message::Summary) {
            router.received += 1;
        }
        if !matches!(message, Message::Failed) {
            router.limits.heard(from_key);
        }
        match message {
            Message::Summary => {}
            Message::Failed => {
                router
                    .limits
                    .failed(self.now, &config, me, from_key, &mut out);
            }
            Message::Ask {
                workspace,
                want,
                nonce,
            } => {
                let question = GrantRequest {
                    me,
                    from: from_key,
                    workspace,
                    want,
                };
                let (granted, retry_after) =
                    router.limits.ask(self.now, &config, question, &mut out);
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
        self.carry_out(to, out);
    }

    fn carry_out(&mut self, index: usize, out: Vec<LimitsOutput>) {
        for one in out {
            match one {
                LimitsOutput::Decided { call, verdict } => self.decided(call, verdict),
                LimitsOutput::Ask {
                    home,
                    workspace,
                    want,
                    nonce,
                } => {
                    let config = &self.routers[index].config;
                    let is_home = |i: &usize| config.fleet.key(&self.ids[*i]) == Some(home);
                    let to = (0..self.ids.len()).find(is_home).expect("in the fleet");
                    let ask = Message::Ask {
                        workspace,
                        want,
                        nonce,
                    };
                    self.send(index, to, ask);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let counted = !matches!(message, Message::Summary);
        if counted {
            self.routers[from].sent += 1;
        }
        let (least, most) = self.network.delay;
        let delay = self.rng.random_range(least..=most);
        // A process that is gone is noticed by the connection; a cut is not.
        if !self.routers[to].up {
            let letter = Letter {
                from: to,
                to: from,
                message: Message::Failed,
            };
            return self.post(delay, letter);
        }
        let severed = self.severed == Some((from, to)) || self.severed == Some((to, from));
        let cut = severed || self.routers[from].side != self.routers[to].side;
        if cut || self.rng.random_range(0..1000) < self.network.loss {
            return;
        }
        self.post(delay, Letter { from, to, message });
    }

    fn post(&mut self, delay: u64, letter: Letter) {
        self.number += 1;
        let at = self.now + Millis(delay);
        self.queue.insert((at, self.number), letter);
    }

    fn decided(&mut self, call: Call, verdict: Verdict) {
        let Some(&(since, router, workspace)) = self.asked.get(&call.0) else {
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
        self.asked.remove(&call.0);
    }

    /// Calls not yet decided.
    pub(crate) fn undecided(&self) -> usize {
        self.asked.len()
    }

    /// Most calls admitted in any window of this length from `from` on.
    pub(crate) fn most(&self, from: Time, window: Millis) -> usize {
        let times: Vec<Time> = self.times(from);
        let mut first = 0;
        let mut most = 0;
        for (last, at) in times.iter().enumerate() {
            while times[first] + window <= *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    /// Fewest calls admitted in any window of this length that lies between `from` and now.
    pub(crate) fn fewest(&self, from: Time, window: Millis) -> usize {
        let times = self.times(from);
        let mut fewest = usize::MAX;
        let mut start = from;
        while start + window <= self.now {
            let low = times.partition_point(|t| *t < start);
            let high = times.partition_point(|t| *t < start + window);
            fewest = fewest.min(high - low);
            start = start + Millis(50);
        }
        fewest
    }

    fn times(&self, from: Time) -> Vec<Time> {
        let after = self.admitted.iter().filter(|a| a.at >= from);
        after.map(|a| a.at).collect()
    }
}
