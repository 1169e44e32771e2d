//! The driver: feeds events to the node and carries out its actions.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use tokio::sync::{
    Semaphore,
    mpsc,
    oneshot,
    watch, //
};
use tokio_util::sync::CancellationToken;
use toucanturn_account::Account;
use toucanturn_core::{
    action::Action,
    arena::{
        EndpointKey,
        WorkspaceKey, //
    },
    config::Config,
    event::{
        Event,
        TICK, //
    },
    node::{
        self,
        Node, //
    },
    request::{
        Attempt,
        Call,
        End,
        Prefix, //
    },
    settings::Settings,
    units::Incarnation,
};

use crate::{
    answers::{
        Meta,
        Reply, //
    },
    clock,
    endpoints::Endpoints,
    errors::Result,
    events,
    exchange::{
        Dispatch,
        Exchange,
        Step,
        Task, //
    },
    gauges::{
        self,
        Gauges, //
    },
    imports::{
        self,
        Import, //
    },
    links,
    metrics::{
        Metrics,
        Name, //
    },
    orders,
    peers,
    platform::{
        self,
        Addresses, //
    },
    polls,
    tokens, //
};

/// Steps that wait for one request's task; the node gives one at a time, and a cancel.
const STEPS: usize = 8;

/// Time that connecting to an endpoint or to the platform may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// `Running` is a call's task as the driver knows it.
#[derive(Debug)]
struct Running {
    steps: mpsc::Sender<Step>,
    request_id: Arc<str>,
}

/// `Driver` is one router process around its node.
pub struct Driver {
    /// What it was told at the start.
    pub settings: Settings,
    pub(crate) identity: peers::Identity,
    pub(crate) endpoints: Endpoints,
    pub(crate) control: reqwest::Client,
    pub(crate) metrics: Metrics,
    /// Bytes of requests' bodies; the parts are workspaces.
    pub(crate) bodies: Account,
    pub(crate) imports: Arc<Semaphore>,
    pub(crate) config_service: Addresses,
    pub(crate) vm_list: Addresses,
    pub(crate) tokens: tokens::Key,
    pub(crate) counters: Arc<peers::Counters>,
    peers: peers::Client,
    node: Mutex<Node>,
    config: ArcSwap<Config>,
    keys: ArcSwap<IndexMap<[u8; 32], WorkspaceKey>>,
    calls: Mutex<IndexMap<Call, Running>>,
    next: AtomicU64,
    exit: watch::Sender<Option<usize>>,
}

impl Driver {
    /// Makes a driver; nothing runs until [`Driver::start`].
    ///
    /// # Errors
    ///
    /// Fails when an HTTP client or the metrics socket can't be had.
    pub fn new(settings: Settings, incarnation: Incarnation) -> Result<Arc<Self>> {
        let about = node::Options {
            id: settings.id.clone(),
            incarnation,
            seed: settings.seed.unwrap_or(incarnation.0),
        };
        let endpoints = Endpoints::new(CONNECT_TIMEOUT)?;
        let control = platform::client(CONNECT_TIMEOUT)?;
        let metrics = Metrics::new(settings.statsd)?;
        let counters = Arc::new(peers::Counters::default());
        let identity = links::identity(&settings, incarnation)?;
        let bodies = Account::default();
        bodies.set_limit(settings.limits.max_buffered_bodies);
        Ok(Arc::new_cyclic(|driver| Self {
            bodies,
            endpoints,
            control,
            metrics,
            imports: Arc::new(Semaphore::new(imports::BACKGROUND)),
            config_service: Addresses::new(settings.config_service.clone()),
            vm_list: Addresses::new(settings.vm_list.clone()),
            tokens: tokens::Key::new(settings.token_key.expose()),
            peers: links::client(identity.clone(), &counters, driver.clone()),
            counters,
            node: Mutex::new(Node::new(about, clock::now())),
            config: ArcSwap::default(),
            keys: ArcSwap::default(),
            calls: Mutex::default(),
            next: AtomicU64::new(1),
            exit: watch::channel(None).0,
            identity,
            settings,
        }))
    }

    /// Runs the node's clock until the drain is over; gives the number of calls that were cut.
    pub async fn run(self: &Arc<Self>) -> usize {
        let mut exit = self.exit.subscribe();
        let mut ticks = tokio::time::interval(Duration::from_millis(TICK.0));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut gauges = Gauges::default();
        let mut seconds = tokio::time::interval(gauges::INTERVAL);
        seconds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.feed(Event::Tick),
                _ = seconds.tick() => gauges.send(self),
                changed = exit.changed() => {
                    if changed.is_err() {
                        return 0;
                    }
                }
            }
            if let Some(cut) = *exit.borrow_and_update() {
                gauges.send(self);
                return cut;
            }
        }
    }

    /// Gets the configuration in force.
    pub fn config(&self) -> Arc<Config> {
        self.config.load_full()
    }

    /// Gets the workspace of a bearer key's SHA-256 hash.
    pub(crate) fn workspace(&self, hash: &[u8; 32]) -> Option<WorkspaceKey> {
        self.keys.load().get(hash).copied()
    }

    /// Looks at the node.
    pub fn with_node<T>(&self, look: impl FnOnce(&Node) -> T) -> T {
        look(&self.lock())
    }

    pub(crate) fn peers(&self) -> &peers::Client {
        &self.peers
    }

    /// Gets the number of calls in progress.
    pub fn open(&self) -> usize {
        self.calls().len()
    }

    /// Feeds an event to the node and carries out what it wants.
    pub fn feed(self: &Arc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.lock().handle(clock::now(), event, &mut actions);
        // A call's task may end as soon as its last action is carried out, which is before its
        // decision is logged: the line would lack the request's id.
        let ids = self.request_ids(&actions);
        for (action, id) in actions.into_iter().zip(ids) {
            self.carry_out(action, id.as_deref());
        }
    }

    /// Gets the id of the request that each action's log line is about.
    fn request_ids(&self, actions: &[Action]) -> Vec<Option<Arc<str>>> {
        let calls = self.calls();
        let id = |action: &Action| match action {
            Action::Log(decision) => {
                let running = calls.get(&events::call(decision)?)?;
                Some(Arc::clone(&running.request_id))
            }
            _ => None,
        };
        actions.iter().map(id).collect()
    }

    /// Starts a request's task and gives where its final answer will come.
    pub(crate) fn start(
        self: &Arc<Self>,
        exchange: Exchange,
        gone: CancellationToken,
    ) -> oneshot::Receiver<Reply> {
        let call = Call(self.next.fetch_add(1, Ordering::Relaxed));
        let (sender, steps) = mpsc::channel(STEPS);
        let (reply, answer) = oneshot::channel();
        let running = Running {
            steps: sender,
            request_id: exchange.id.as_str().into(),
        };
        self.calls().insert(call, running);
        let request = exchange.request.clone();
        let task = Task {
            driver: Arc::clone(self),
            call,
            exchange,
            steps,
            reply: Some(reply),
            stream: None,
            held: None,
            meta: Meta::default(),
            arrived: clock::now().mono,
            gone,
        };
        tokio::spawn(task.run());
        self.feed(Event::Request { call, request });
        answer
    }

    pub(crate) fn forget(&self, call: Call) {
        self.calls().swap_remove(&call);
    }

    fn lock(&self) -> MutexGuard<'_, Node> {
        // A panic while the node was locked is a fault of the program; going on with its state is
        // better than ending every stream of this process.
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn calls(&self) -> MutexGuard<'_, IndexMap<Call, Running>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn step(&self, call: Call, step: Step) {
        let steps = self.calls().get(&call).map(|running| running.steps.clone());
        if let Some(sender) = steps {
            let _ = sender.try_send(step);
        }
    }

    fn carry_out(self: &Arc<Self>, action: Action, request_id: Option<&str>) {
        match action {
            Action::Dispatch {
                call,
                attempt,
                endpoint,
                deadline,
                idle,
                token,
                not_after,
            } => {
                let Some(endpoint) = self.config.load().endpoints.get(endpoint).cloned() else {
                    return self.vanished(call, attempt);
                };
                let dispatch = Dispatch {
                    attempt,
                    endpoint,
                    deadline,
                    idle,
                    token,
                    not_after,
                };
                self.step(call, Step::Dispatch(dispatch));
            }
            Action::Import {
                call,
                prefix,
                from,
                to,
            } => self.import(call, prefix, (from, to)),
            Action::Forward {
                call,
                router,
                deadline,
            } => {
                self.step(call, Step::Forward { router, deadline });
            }
            Action::Refuse { call, refusal } => self.step(call, Step::Refuse(refusal)),
            Action::Replay { call, answer } => self.step(call, Step::Replay(answer)),
            Action::Finish { call, outcome } => self.step(call, Step::Finish(outcome)),
            Action::Cancel { call, .. } => self.step(call, Step::Cancel),
            Action::Send { router, message } => self.peers.send(router, message),
            Action::Poll { endpoint } => polls::poll(self, endpoint),
            Action::Probe { endpoint } => polls::probe(self, endpoint),
            Action::Watch { since } => platform::watch(self, since),
            Action::ReadVms => platform::read_vms(self),
            Action::AskWeights {
                endpoint,
                number,
                change,
            } => orders::ask(self, endpoint, number, change),
            Action::Order { endpoint, order } => orders::send(self, endpoint, order),
            Action::Apply { .. } => self.apply(),
            Action::Exit { cut } => {
                self.exit.send_replace(Some(cut));
            }
            Action::Log(decision) => events::log(&self.config.load(), request_id, &decision),
        }
    }

    /// An endpoint that went out of the configuration between decision and dispatch got nothing.
    fn vanished(self: &Arc<Self>, call: Call, attempt: Attempt) {
        let end = End::NotSent { leaving: false };
        self.feed(Event::Ended { call, attempt, end });
    }

    fn import(
        self: &Arc<Self>,
        call: Option<Call>,
        prefix: Prefix,
        way: (EndpointKey, EndpointKey),
    ) {
        let config = self.config.load();
        let ends = (config.endpoints.get(way.0), config.endpoints.get(way.1));
        let (Some(from), Some(to)) = ends else {
            return;
        };
        let (from, to) = (Arc::clone(from), Arc::clone(to));
        let import = Import { prefix, from, to };
        match call {
            Some(call) => self.step(call, Step::Import(import)),
            None => imports::start(self, import),
        }
    }

    fn apply(&self) {
        // Read again under the lock, so that of two changes applied at once the newer one stays.
        let node = self.lock();
        let config = Arc::clone(node.config());
        let key = |(key, w): (WorkspaceKey, &Arc<_>)| {
            let w: &toucanturn_core::config::Workspace = w;
            w.keys
                .iter()
                .map(move |hash| (*hash, key))
                .collect::<Vec<_>>()
        };
        let keys = config.workspaces.iter().flat_map(key).collect();
        self.keys.store(Arc::new(keys));
        self.metrics.gauge(Name::ConfigRevision, config.revision.0);
        let me = node.me();
        let others = config.fleet.iter().filter(|(key, _)| Some(*key) != me);
        self.peers
            .update(others.map(|(key, router)| links::peer(key, router)));
        self.config.store(config);
        drop(node);
    }
}

impl std::fmt::Debug for Driver {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Driver")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}
