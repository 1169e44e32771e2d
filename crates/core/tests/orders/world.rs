//! Routers, engines and the weight store, in steps of one tick.
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
        OrderAction, //
        OrderContext,
        OrderNumber,
        OrderOutcome,
        OrderScheduler,
        TokenReply,
    },
    units::{
        Incarnation,
        Millis,
        Revision,
        Time, //
    },
};

/// When the tests begin.
pub(crate) const START: Time = Time(100_000);

/// `Setup` is what a world is made of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) routers: usize,
    pub(crate) engines: usize,
    pub(crate) fenced: bool,
    pub(crate) min_replicas: u32,
    /// Time that an order or its answer takes.
    pub(crate) latency: u64,
    /// Time that a load takes.
    pub(crate) load: u64,
    /// Time in which the weight store earns a token.
    pub(crate) token: u64,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            routers: 3,
            engines: 1,
            fenced: true,
            min_replicas: 0,
            latency: 50,
            load: 1000,
            token: 100,
        }
    }
}

/// `Machine` is one engine.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub(crate) life: u64,
    pub(crate) version: String,
    pub(crate) models: Vec<String>,
    pub(crate) fence: u64,
    /// The load that goes on, and when it is done.
    pub(crate) loading: Option<(Change, Time)>,
    pub(crate) down: bool,
}

/// `Router` is one router.
pub(crate) struct Router {
    pub(crate) orders: OrderScheduler,
    pub(crate) view: View,
    pub(crate) config: Arc<Config>,
    pub(crate) asleep: bool,
    /// Whether it hears peers and they it.
    pub(crate) cut: bool,
    rng: StdRng,
    pub(crate) holds: Vec<(Time, HoldReason)>,
    pub(crate) polls: usize,
}

/// `Given` is an order that a router sent.
#[derive(Clone, Debug)]
pub(crate) struct Given {
    pub(crate) at: Time,
    pub(crate) router: usize,
    pub(crate) engine: usize,
    pub(crate) order: Order,
    /// The engine's answer.
    pub(crate) reply: Option<OrderOutcome>,
    /// The revision that the router had in force when it sent it.
    pub(crate) in_force: Revision,
}

#[derive(Clone, Debug)]
enum Flight {
    Order {
        given: usize,
    },
    OrderOutcome {
        given: usize,
        reply: OrderOutcome,
    },
    TokenReply {
        router: usize,
        engine: usize,
        number: OrderNumber,
        grant: TokenReply,
    },
}

/// `World` is all of them.
pub(crate) struct World {
    pub(crate) setup: Setup,
    pub(crate) now: Time,
    pub(crate) routers: Vec<Router>,
    pub(crate) engines: Vec<Machine>,
    pub(crate) keys: Vec<EndpointKey>,
    pub(crate) fleet: Vec<RouterKey>,
    pub(crate) given: Vec<Given>,
    /// Whether orders arrive but answers don't.
    pub(crate) mute: bool,
    flights: Vec<(Time, Flight)>,
    stored: Time,
    pub(crate) tokens: Vec<Time>,
    pub(crate) over_rate: usize,
    /// Most engines that loaded at once.
    pub(crate) most_loading: usize,
    /// Fewest engines that served since the start.
    pub(crate) fewest_serving: usize,
}

/// Makes the configuration of a revision.
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

impl World {
    /// Makes a world in which revision 1 wants version `v1`, which all engines hold.
    pub(crate) fn new(setup: Setup) -> Self {
        let first = config(&setup, 1, "v1");
        let keys = (1..=setup.engines).map(|n| first.endpoints.key(&id(&format!("eng-{n}"))));
        let fleet = (1..=setup.routers).map(|n| first.fleet.key(&id(&format!("entry-{n}"))));
        let machine = Machine {
            life: 1,
            version: "v1".to_owned(),
            models: vec!["assistant".to_owned()],
            fence: 4,
            loading: None,
            down: false,
        };
        let mut world = Self {
            now: START,
            keys: keys.map(|k| k.expect("an engine")).collect(),
            fleet: fleet.map(|k| k.expect("a router")).collect(),
            routers: Vec::new(),
            engines: vec![machine; setup.engines],
            given: Vec::new(),
            mute: false,
            flights: Vec::new(),
            stored: Time(0),
            tokens: Vec::new(),
            over_rate: 0,
            most_loading: 0,
            fewest_serving: usize::MAX,
            setup,
        };
        for n in 0..setup.routers {
            let router = world.router(n, &first);
            world.routers.push(router);
        }
        world
    }

    fn router(&self, n: usize, config: &Arc<Config>) -> Router {
        let mut router = Router {
            orders: OrderScheduler::default(),
            view: View::default(),
            config: Arc::clone(config),
            asleep: false,
            cut: false,
            rng: StdRng::seed_from_u64(u64::try_from(n).unwrap_or(0)),
            holds: Vec::new(),
            polls: 0,
        };
        router.view.apply(self.now, config);
        router.orders.apply(config);
        router
    }

    /// Starts a router afresh, with what it had in force.
    pub(crate) fn restart(&mut self, n: usize) {
        let config = Arc::clone(&self.routers[n].config);
        self.routers[n] = self.router(n, &config);
    }

    /// Puts a version in force at some routers.
    pub(crate) fn publish(&mut self, revision: u64, version: &str, to: &[usize]) {
        let next = config(&self.setup, revision, version);
        for n in to {
            let router = &mut self.routers[*n];
            router.config = Arc::clone(&next);
            router.view.apply(self.now, &next);
            router.orders.apply(&next);
        }
    }

    /// Puts a version in force everywhere.
    pub(crate) fn publish_all(&mut self, revision: u64, version: &str) {
        let all: Vec<_> = (0..self.setup.routers).collect();
        self.publish(revision, version, &all);
    }

    /// Gets the issuer of an engine where all routers hear each other, and the next one.
    pub(crate) fn issuers(&self, engine: usize) -> (usize, usize) {
        let config = &self.routers[0].config;
        let endpoint = config.endpoints.get(self.keys[engine]).expect("an engine");
        let rank = |n: usize| pollers::rank(config, self.fleet[n], endpoint);
        let at = |place| (0..self.setup.routers).find(|n| rank(*n) == Some(place));
        (at(0).expect("a first"), at(1).unwrap_or(0))
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Lets one tick pass.
    pub(crate) fn step(&mut self) {
        self.now = self.now + TICK;
        self.land();
        self.load();
        if self.now.0.is_multiple_of(200) {
            self.talk();
        }
        for n in 0..self.routers.len() {
            if !self.routers[n].asleep {
                self.turn(n);
            }
        }
        self.measure();
    }

    fn measure(&mut self) {
        let loading = self.engines.iter().filter(|e| e.loading.is_some()).count();
        self.most_loading = self.most_loading.max(loading);
        let serves = |e: &&Machine| !e.down && e.loading.is_none() && !e.models.is_empty();
        let serving = self.engines.iter().filter(serves).count();
        self.fewest_serving = self.fewest_serving.min(serving);
    }

    fn load(&mut self) {
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

    fn talk(&mut self) {
        for from in 0..self.routers.len() {
            let (cut, asleep) = (self.routers[from].cut, self.routers[from].asleep);
            if cut || asleep {
                continue;
            }
            let revision = self.routers[from].config.revision;
            let key = self.fleet[from];
            for (n, router) in self.routers.iter_mut().enumerate() {
                if n != from && !router.cut && !router.asleep {
                    router.orders.heard(self.now, key, revision);
                }
            }
        }
    }

    fn turn(&mut self, n: usize) {
        let (now, me) = (self.now, self.fleet[n]);
        let router = &mut self.routers[n];
        if router.view.advance(now).is_some() {
            router.orders.woke(now);
        }
        if now.0.is_multiple_of(500) {
            for engine in 0..self.engines.len() {
                self.see(n, engine);
                let router = &self.routers[n];
                let endpoint = router.config.endpoints.get(self.keys[engine]);
                let mine = endpoint.and_then(|e| pollers::rank(&router.config, me, e)) == Some(0);
                let (_, next) = self.issuers(engine);
                if mine || next == n {
                    self.poll(n, engine);
                }
            }
        }
        let mut out = Vec::new();
        self.with(n, |router, scene| router.0.tick(scene, &mut out));
        self.carry_out(n, out);
    }

    /// Calls a router's orders with what it sees.
    fn with<T>(
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

    /// Lets a router's view know of an engine, as a peer's report would.
    fn see(&mut self, n: usize, engine: usize) {
        let machine = &self.engines[engine];
        if machine.down {
            return;
        }
        let self_report = SelfReport {
            life: Some(Incarnation(machine.life)),
            leaving: false,
            seen: Observation::Reached,
            since: Some(self.now),
        };
        let router = &mut self.routers[n];
        router
            .view
            .self_report(self.now, self.keys[engine], self_report);
    }

    /// Lets a router poll an engine itself.
    fn poll(&mut self, n: usize, engine: usize) {
        let machine = &self.engines[engine];
        if machine.down {
            return;
        }
        let loaded = Loaded {
            models: machine.models.iter().map(|m| id(m)).collect(),
            version: Some(id(&machine.version)),
            fence: machine.fence,
        };
        let report = Report {
            incarnation: Incarnation(machine.life),
            loaded: Some(Arc::new(loaded)),
            ..Report::default()
        };
        let router = &mut self.routers[n];
        router.polls += 1;
        router.orders.report(self.now, self.keys[engine], &report);
    }

    fn engine(&self, key: EndpointKey) -> usize {
        let at = self.keys.iter().position(|k| *k == key);
        at.expect("an engine")
    }

    fn carry_out(&mut self, n: usize, steps: Vec<OrderAction>) {
        for step in steps {
            match step {
                OrderAction::Poll(key) => self.poll(n, self.engine(key)),
                OrderAction::LogHold { hold, .. } => self.routers[n].holds.push((self.now, hold)),
                OrderAction::RequestToken {
                    endpoint, number, ..
                } => {
                    let grant = self.token();
                    let engine = self.engine(endpoint);
                    let flight = Flight::TokenReply {
                        router: n,
                        engine,
                        number,
                        grant,
                    };
                    self.fly(flight);
                }
                OrderAction::SendOrder { endpoint, order } => {
                    self.given.push(Given {
                        at: self.now,
                        router: n,
                        engine: self.engine(endpoint),
                        in_force: self.routers[n].config.revision,
                        order,
                        reply: None,
                    });
                    let given = self.given.len() - 1;
                    self.fly(Flight::Order { given });
                }
            }
        }
    }

    fn fly(&mut self, flight: Flight) {
        let at = self.now + Millis(self.setup.latency);
        self.flights.push((at, flight));
    }

    fn token(&mut self) -> TokenReply {
        let next = self.stored + Millis(self.setup.token);
        if self.now < next {
            self.over_rate += 1;
            return TokenReply::Wait(next.since(self.now));
        }
        self.stored = self.now;
        self.tokens.push(self.now);
        TokenReply::Token
    }

    fn land(&mut self) {
        let now = self.now;
        let due = self.flights.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<_> = due.map(|(_, flight)| flight).collect();
        for flight in due {
            match flight {
                Flight::Order { given } => self.obey(given),
                Flight::OrderOutcome { given, reply } => {
                    let Given { router, engine, .. } = self.given[given];
                    let number = self.given[given].order.number;
                    let key = self.keys[engine];
                    self.given[given].reply = Some(reply);
                    self.with(router, |(orders, rng), scene| {
                        orders.on_order_outcome(scene, (key, number), reply, rng)
                    });
                }
                Flight::TokenReply {
                    router,
                    engine,
                    number,
                    grant,
                } => {
                    let key = self.keys[engine];
                    let mut out = Vec::new();
                    self.with(router, |(orders, rng), scene| {
                        orders.on_token_reply(scene, (key, number), grant, rng, &mut out);
                    });
                    self.carry_out(router, out);
                }
            }
        }
    }

    fn obey(&mut self, given: usize) {
        let one = self.given[given].clone();
        let fenced = self.setup.fenced;
        let until = self.now + Millis(self.setup.load);
        let engine = &mut self.engines[one.engine];
        let reply = if engine.down {
            OrderOutcome::NotSent
        } else if fenced && one.order.fence <= engine.fence {
            OrderOutcome::Fenced(engine.fence)
        } else {
            // One that ignores the number doesn't keep it either: nothing may rest on its report.
            if fenced {
                engine.fence = one.order.fence;
            }
            engine.loading = Some((one.order.change, until));
            OrderOutcome::Obeyed
        };
        if !self.mute {
            self.fly(Flight::OrderOutcome { given, reply });
        }
    }

    /// Gets the versions that the engines hold.
    pub(crate) fn versions(&self) -> Vec<&str> {
        self.engines.iter().map(|e| e.version.as_str()).collect()
    }
}
