//! Simulates routers, engines and the weight store in steps of one tick.
#![expect(clippy::expect_used, reason = "a wrong setup is a fault of the test")]

use std::sync::Arc;

use rand::{
    SeedableRng,
    rngs::StdRng, //
};
use serde_json::json;
use toucanturn_core::{
    arena::{
        EndpointKey,
        RouterKey, //
    },
    config::Config,
    event::{
        Report,
        TICK, //
    },
    ids::Id,
    membership::{
        Observation,
        SelfReport,
        View,
        pollers, //
    },
    orders::{
        Change,
        HoldReason,
        Loaded,
        Order,
        OrderAction,
        OrderContext,
        OrderNumber,
        OrderOutcome,
        OrderScheduler,
        TokenReply, //
    },
    units::{
        Incarnation,
        Millis,
        Revision,
        Time, //
    },
};

/// Simulated time at which every test starts.
pub(crate) const START: Time = Time(100_000);

/// `Setup` holds the parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) routers: usize,
    pub(crate) engines: usize,
    /// Whether engines check fencing numbers.
    pub(crate) fenced: bool,
    pub(crate) min_replicas: u32,
    /// Delay of each message: an order, its reply or an answer of the weight store.
    pub(crate) latency_ms: u64,
    /// Time that an engine takes to load weights.
    pub(crate) load_ms: u64,
    /// Least time between two tokens of the weight store.
    pub(crate) token_interval_ms: u64,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            routers: 3,
            engines: 1,
            fenced: true,
            min_replicas: 0,
            latency_ms: 50,
            load_ms: 1000,
            token_interval_ms: 100,
        }
    }
}

/// `Engine` is a simulated engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) incarnation: u64,
    pub(crate) version: String,
    pub(crate) models: Vec<String>,
    /// Highest fencing number of an accepted order; never raised where engines ignore fencing.
    pub(crate) fence: u64,
    /// The load in progress and the time at which it finishes.
    pub(crate) loading: Option<(Change, Time)>,
    pub(crate) down: bool,
}

/// `Router` is a simulated router.
pub(crate) struct Router {
    pub(crate) orders: OrderScheduler,
    pub(crate) view: View,
    pub(crate) config: Arc<Config>,
    /// Whether its process is suspended.
    pub(crate) paused: bool,
    /// Whether it exchanges no messages with its peers.
    pub(crate) isolated: bool,
    rng: StdRng,
    /// Reasons for which it withheld orders, with the time of each.
    pub(crate) holds: Vec<(Time, HoldReason)>,
    /// Number of polls that it sent to engines.
    pub(crate) polls: usize,
}

/// `SentOrder` is an order that a router sent, and the engine's reply.
#[derive(Clone, Debug)]
pub(crate) struct SentOrder {
    pub(crate) at: Time,
    pub(crate) router: usize,
    pub(crate) engine: usize,
    pub(crate) order: Order,
    /// The engine's reply, once the router has it.
    pub(crate) reply: Option<OrderOutcome>,
    /// The revision in force at the router when it sent the order.
    pub(crate) in_force: Revision,
}

/// `Message` is a message in transit. Orders and replies refer to an index of `Simulation::sent`.
#[derive(Clone, Debug)]
enum Message {
    Order {
        index: usize,
    },
    OrderOutcome {
        index: usize,
        reply: OrderOutcome,
    },
    TokenReply {
        router: usize,
        engine: usize,
        number: OrderNumber,
        grant: TokenReply,
    },
}

/// `Simulation` holds the routers, the engines, the weight store and the messages in transit.
pub(crate) struct Simulation {
    pub(crate) setup: Setup,
    pub(crate) now: Time,
    pub(crate) routers: Vec<Router>,
    pub(crate) engines: Vec<Engine>,
    /// Key of each engine, in the order of `engines`.
    pub(crate) keys: Vec<EndpointKey>,
    /// Key of each router, in the order of `routers`.
    pub(crate) fleet: Vec<RouterKey>,
    /// All orders sent so far.
    pub(crate) sent: Vec<SentOrder>,
    /// Whether engines receive orders but their replies are lost.
    pub(crate) drop_replies: bool,
    /// Messages with the time of their arrival.
    in_flight: Vec<(Time, Message)>,
    /// When the weight store granted its last token.
    last_token_at: Time,
    /// When the weight store granted each token.
    pub(crate) tokens: Vec<Time>,
    /// Number of requests that the weight store answered with a wait.
    pub(crate) throttled: usize,
    /// Largest number of engines that were loading at once.
    pub(crate) most_loading: usize,
    /// Smallest number of engines that were serving since the start.
    pub(crate) fewest_serving: usize,
}

/// Makes a configuration in which all engines should hold `version`.
pub(crate) fn config(setup: &Setup, revision: u64, version: &str) -> Arc<Config> {
    let router = |n: usize| {
        let value = json!({
            "address": format!("10.0.0.{n}:80"), "peer_address": format!("10.0.0.{n}:81"),
            "data_center": "be-north-1"
        });
        (format!("entry-{n}"), value)
    };
    let engine = |n: usize| {
        let value = json!({
            "kind": "engine", "address": format!("10.0.1.{n}:80"), "data_center": "be-north-1",
            "models": ["assistant"], "checks_fencing": setup.fenced
        });
        (format!("eng-{n}"), value)
    };
    let routers: serde_json::Map<_, _> = (1..=setup.routers).map(router).collect();
    let engines: serde_json::Map<_, _> = (1..=setup.engines).map(engine).collect();
    let document = json!({
        "policy": {"data_centers": {"be-north-1": "be-north"}},
        "fleet": routers,
        "models": {"assistant": {"version": version, "min_replicas": setup.min_replicas}},
        "services": {}, "endpoints": engines, "workspaces": {}
    });
    let config = Config::try_from(document.to_string().as_bytes());
    let mut config = config.expect("a valid configuration");
    config.revision = Revision(revision);
    Arc::new(config)
}

fn id(name: &str) -> Id {
    Id::try_from(name).expect("a name")
}

impl Simulation {
    /// Makes a simulation in which revision 1 publishes version `v1` and all engines hold it.
    pub(crate) fn new(setup: Setup) -> Self {
        let first = config(&setup, 1, "v1");
        let keys = (1..=setup.engines).map(|n| first.endpoints.key(&id(&format!("eng-{n}"))));
        let fleet = (1..=setup.routers).map(|n| first.fleet.key(&id(&format!("entry-{n}"))));
        let engine = Engine {
            incarnation: 1,
            version: "v1".to_owned(),
            models: vec!["assistant".to_owned()],
            fence: 4,
            loading: None,
            down: false,
        };
        let mut sim = Self {
            now: START,
            keys: keys.map(|k| k.expect("an engine")).collect(),
            fleet: fleet.map(|k| k.expect("a router")).collect(),
            routers: Vec::new(),
            engines: vec![engine; setup.engines],
            sent: Vec::new(),
            drop_replies: false,
            in_flight: Vec::new(),
            last_token_at: Time(0),
            tokens: Vec::new(),
            throttled: 0,
            most_loading: 0,
            fewest_serving: usize::MAX,
            setup,
        };
        for n in 0..setup.routers {
            let router = sim.new_router(n, &first);
            sim.routers.push(router);
        }
        sim
    }

    fn new_router(&self, n: usize, config: &Arc<Config>) -> Router {
        let mut router = Router {
            orders: OrderScheduler::default(),
            view: View::default(),
            config: Arc::clone(config),
            paused: false,
            isolated: false,
            rng: StdRng::seed_from_u64(u64::try_from(n).unwrap_or(0)),
            holds: Vec::new(),
            polls: 0,
        };
        router.view.apply(self.now, config);
        router.orders.apply(config);
        router
    }

    /// Replaces a router by a new process with the same configuration in force.
    pub(crate) fn restart(&mut self, n: usize) {
        let config = Arc::clone(&self.routers[n].config);
        self.routers[n] = self.new_router(n, &config);
    }

    /// Puts a new revision in force at the routers of `to`.
    pub(crate) fn publish(&mut self, revision: u64, version: &str, to: &[usize]) {
        let next = config(&self.setup, revision, version);
        for n in to {
            let router = &mut self.routers[*n];
            router.config = Arc::clone(&next);
            router.view.apply(self.now, &next);
            router.orders.apply(&next);
        }
    }

    /// Puts a new revision in force at all routers.
    pub(crate) fn publish_all(&mut self, revision: u64, version: &str) {
        let all: Vec<_> = (0..self.setup.routers).collect();
        self.publish(revision, version, &all);
    }

    /// Gets the issuer of an engine while all routers reach each other, and the router that
    /// replaces it when it is lost.
    pub(crate) fn issuers(&self, engine: usize) -> (usize, usize) {
        let config = &self.routers[0].config;
        let endpoint = config.endpoints.get(self.keys[engine]).expect("an engine");
        let rank = |n: usize| pollers::rank(config, self.fleet[n], endpoint);
        let at = |place| (0..self.setup.routers).find(|n| rank(*n) == Some(place));
        (at(0).expect("a first"), at(1).unwrap_or(0))
    }

    /// Advances the simulation by `span`.
    pub(crate) fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the simulation by one tick.
    pub(crate) fn step(&mut self) {
        self.now = self.now + TICK;
        self.deliver();
        self.finish_loads();
        if self.now.0.is_multiple_of(200) {
            self.exchange_heartbeats();
        }
        for n in 0..self.routers.len() {
            if !self.routers[n].paused {
                self.tick_router(n);
            }
        }
        self.count_engines();
    }

    /// Updates the extremes of loading and serving engines.
    fn count_engines(&mut self) {
        let loading = self.engines.iter().filter(|e| e.loading.is_some()).count();
        self.most_loading = self.most_loading.max(loading);
        let serves = |e: &&Engine| !e.down && e.loading.is_none() && !e.models.is_empty();
        let serving = self.engines.iter().filter(serves).count();
        self.fewest_serving = self.fewest_serving.min(serving);
    }

    fn finish_loads(&mut self) {
        let now = self.now;
        for engine in &mut self.engines {
            let Some((change, _)) = engine.loading.take_if(|(_, until)| *until <= now) else {
                continue;
            };
            let (model, version) = change.weights();
            engine.version = version.as_str().to_owned();
            if !engine.models.iter().any(|m| m == model.as_str()) {
                engine.models.push(model.as_str().to_owned());
            }
        }
    }

    fn exchange_heartbeats(&mut self) {
        for from in 0..self.routers.len() {
            let (isolated, paused) = (self.routers[from].isolated, self.routers[from].paused);
            if isolated || paused {
                continue;
            }
            let revision = self.routers[from].config.revision;
            let key = self.fleet[from];
            for (n, router) in self.routers.iter_mut().enumerate() {
                if n != from && !router.isolated && !router.paused {
                    router.orders.heard(self.now, key, revision);
                }
            }
        }
    }

    fn tick_router(&mut self, n: usize) {
        let (now, me) = (self.now, self.fleet[n]);
        let router = &mut self.routers[n];
        if router.view.advance(now).is_some() {
            router.orders.woke(now);
        }
        if now.0.is_multiple_of(500) {
            for engine in 0..self.engines.len() {
                self.learn_incarnation(n, engine);
                let router = &self.routers[n];
                let endpoint = router.config.endpoints.get(self.keys[engine]);
                let is_issuer =
                    endpoint.and_then(|e| pollers::rank(&router.config, me, e)) == Some(0);
                let (_, next) = self.issuers(engine);
                if is_issuer || next == n {
                    self.poll(n, engine);
                }
            }
        }
        let mut out = Vec::new();
        self.with_orders(n, |router, scene| router.0.tick(scene, &mut out));
        self.execute(n, out);
    }

    /// Calls `call` with a router's `OrderScheduler` and its current `OrderContext`.
    fn with_orders<T>(
        &mut self,
        n: usize,
        call: impl FnOnce((&mut OrderScheduler, &mut StdRng), OrderContext<'_>) -> T,
    ) -> T {
        let (now, me) = (self.now, self.fleet[n]);
        let router = &mut self.routers[n];
        let scene = OrderContext {
            config: &router.config,
            me: Some(me),
            view: &router.view,
            now,
        };
        call((&mut router.orders, &mut router.rng), scene)
    }

    /// Records in a router's view that an engine is up, with its incarnation, as a peer's report does.
    fn learn_incarnation(&mut self, n: usize, engine: usize) {
        let state = &self.engines[engine];
        if state.down {
            return;
        }
        let self_report = SelfReport {
            life: Some(Incarnation(state.incarnation)),
            leaving: false,
            seen: Observation::Reached,
            since: Some(self.now),
        };
        let router = &mut self.routers[n];
        router
            .view
            .self_report(self.now, self.keys[engine], self_report);
    }

    /// Polls an engine and passes its report to the orders of a router.
    fn poll(&mut self, n: usize, engine: usize) {
        let state = &self.engines[engine];
        if state.down {
            return;
        }
        let loaded = Loaded {
            models: state.models.iter().map(|m| id(m)).collect(),
            version: Some(id(&state.version)),
            fence: state.fence,
        };
        let report = Report {
            incarnation: Incarnation(state.incarnation),
            loaded: Some(Arc::new(loaded)),
            ..Report::default()
        };
        let router = &mut self.routers[n];
        router.polls += 1;
        router.orders.report(self.now, self.keys[engine], &report);
    }

    fn engine_index(&self, key: EndpointKey) -> usize {
        let at = self.keys.iter().position(|k| *k == key);
        at.expect("an engine")
    }

    fn execute(&mut self, n: usize, steps: Vec<OrderAction>) {
        for step in steps {
            match step {
                OrderAction::Poll(key) => self.poll(n, self.engine_index(key)),
                OrderAction::LogHold { hold, .. } => self.routers[n].holds.push((self.now, hold)),
                OrderAction::RequestToken {
                    endpoint, number, ..
                } => {
                    let grant = self.request_token();
                    let engine = self.engine_index(endpoint);
                    let message = Message::TokenReply {
                        router: n,
                        engine,
                        number,
                        grant,
                    };
                    self.send(message);
                }
                OrderAction::SendOrder { endpoint, order } => {
                    self.sent.push(SentOrder {
                        at: self.now,
                        router: n,
                        engine: self.engine_index(endpoint),
                        in_force: self.routers[n].config.revision,
                        order,
                        reply: None,
                    });
                    let index = self.sent.len() - 1;
                    self.send(Message::Order { index });
                }
            }
        }
    }

    /// Puts a message in transit.
    fn send(&mut self, message: Message) {
        let at = self.now + Millis(self.setup.latency_ms);
        self.in_flight.push((at, message));
    }

    /// Answers a router's request for a token as the weight store does.
    fn request_token(&mut self) -> TokenReply {
        let next = self.last_token_at + Millis(self.setup.token_interval_ms);
        if self.now < next {
            self.throttled += 1;
            return TokenReply::Wait(next.since(self.now));
        }
        self.last_token_at = self.now;
        self.tokens.push(self.now);
        TokenReply::Token
    }

    /// Delivers the messages that arrive by now.
    fn deliver(&mut self) {
        let now = self.now;
        let due = self.in_flight.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<_> = due.map(|(_, message)| message).collect();
        for message in due {
            match message {
                Message::Order { index } => self.handle_order(index),
                Message::OrderOutcome { index, reply } => {
                    let SentOrder { router, engine, .. } = self.sent[index];
                    let number = self.sent[index].order.number;
                    let key = self.keys[engine];
                    self.sent[index].reply = Some(reply);
                    self.with_orders(router, |(orders, rng), scene| {
                        orders.on_order_outcome(scene, (key, number), reply, rng)
                    });
                }
                Message::TokenReply {
                    router,
                    engine,
                    number,
                    grant,
                } => {
                    let key = self.keys[engine];
                    let mut out = Vec::new();
                    self.with_orders(router, |(orders, rng), scene| {
                        orders.on_token_reply(scene, (key, number), grant, rng, &mut out);
                    });
                    self.execute(router, out);
                }
            }
        }
    }

    /// Lets an engine accept or refuse an order, and sends its reply.
    fn handle_order(&mut self, index: usize) {
        let sent = self.sent[index].clone();
        let fenced = self.setup.fenced;
        let until = self.now + Millis(self.setup.load_ms);
        let engine = &mut self.engines[sent.engine];
        let reply = if engine.down {
            OrderOutcome::NotSent
        } else if fenced && sent.order.fence <= engine.fence {
            OrderOutcome::Fenced(engine.fence)
        } else {
            // An engine that ignores fencing numbers doesn't store them either: routers must not
            // rely on the number that it reports.
            if fenced {
                engine.fence = sent.order.fence;
            }
            engine.loading = Some((sent.order.change, until));
            OrderOutcome::Obeyed
        };
        if !self.drop_replies {
            self.send(Message::OrderOutcome { index, reply });
        }
    }

    /// Gets the versions that the engines hold.
    pub(crate) fn versions(&self) -> Vec<&str> {
        self.engines.iter().map(|e| e.version.as_str()).collect()
    }
}
