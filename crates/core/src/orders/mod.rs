//! Orders to engines: which engine is told to load what, by whom, and when.
//!
//! What an engine should hold follows from the published configuration alone; what it holds, from
//! its own reports. A difference needs an order. The issuer is the router that polls the engine:
//! the highest rendezvous score among the routers that were heard lately. Views differ, so there
//! may be two for a while, and these rules keep them harmless:
//!
//! - A fencing number carries the revision that its order follows ([`FENCES`]). Nobody who holds an
//!   older revision can make a number above it, so on an engine that checks, nothing flips back.
//! - On an engine that ignores the number, only a router that hears the majority of the published
//!   fleet gives orders, and one that takes over waits [`hold_off`] first.
//! - A router that started or woke gives none before it has heard something new.
//! - One order is unanswered at a time, and what came of it is read back from reports.
//!
//! [`pace`] bounds how many engines load at once; each load takes a token of the weight store.

use rand::{
    Rng,
    RngExt, //
};
use slotmap::SecondaryMap;

use crate::{
    arena::{
        EndpointKey,
        RouterKey, //
    },
    config::{
        Check,
        Config,
        Endpoint,
        Kind,
        Policy, //
    },
    event::Report,
    membership::{
        MAX_CONFIRMATION_AGE,
        State,
        View,
        pollers::{
            self,
            MAX_REPORT_TRANSIT, //
        },
        wake, //
    },
    units::{
        Millis,
        Revision,
        Time, //
    },
};

mod engine;
mod message;
pub mod pace;

use engine::{
    Engine,
    News,
    Stage, //
};
pub use message::{
    Change,
    Grant,
    Hold,
    Loaded,
    MAX_MODELS,
    Number,
    Order,
    Reply, //
};

/// Fencing numbers of one revision: an order under revision `r` has one from `r * FENCES` on, and
/// below `(r + 1) * FENCES`.
pub const FENCES: u64 = 1 << 20;

/// Time after which an order or a question to the weight store is given up.
pub const ORDER_TIMEOUT: Millis = Millis::from_secs(5);

/// Time that an order is on its way beyond [`ORDER_TIMEOUT`], and what clocks differ in that.
const ORDER_SLACK: Millis = Millis(1000);

/// Shortest time since the last word of a router at which another takes its engines over.
const HEARD: Millis = Millis::from_secs(2);

/// Time in which what an engine loads should show; then the order is given again.
pub const LOAD_TIME: Millis = Millis::from_secs(120);

/// Shortest wait after a failure; doubles up to [`BACKOFF_MAX`].
const BACKOFF_MIN: Millis = Millis(500);

/// Longest wait after a failure.
const BACKOFF_MAX: Millis = Millis::from_secs(60);

/// Longest wait that the weight store can impose.
const STORE_WAIT_MAX: Millis = Millis::from_secs(600);

/// Time between two looks at what engines hold.
const TURN: Millis = Millis(500);

/// Time between two rounds of polls of engines that an order waits for.
const SURVEY: Millis = Millis(1000);

/// Most polls of a round.
const SURVEY_POLLS: usize = 8;

/// Gets the time for which a router counts as there after its last word.
pub fn heard_for(policy: &Policy) -> Millis {
    let words = Millis(policy.summary_interval.0.saturating_mul(3));
    HEARD.max(words + MAX_REPORT_TRANSIT)
}

/// Gets the time that a router waits after it became the issuer of an engine that ignores fencing
/// numbers. A former issuer that lost touch with the fleet notices after [`heard_for`]; what it sent
/// until then is answered or given up after [`ORDER_TIMEOUT`].
pub fn hold_off(policy: &Policy) -> Millis {
    heard_for(policy) + ORDER_TIMEOUT + ORDER_SLACK + wake::MIN_PAUSE
}

/// `Scene` is what the orders see of a router.
#[derive(Clone, Copy, Debug)]
pub struct Scene<'a> {
    /// The configuration in force.
    pub config: &'a Config,
    /// This router; `None` while it is not in the published fleet.
    pub me: Option<RouterKey>,
    /// Its view of endpoints.
    pub view: &'a View,
    /// The time.
    pub now: Time,
}

/// `Step` is one thing to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Poll an engine whose news an order waits for.
    Poll(EndpointKey),
    /// Ask the weight store for the token of a load.
    Ask {
        /// The engine.
        endpoint: EndpointKey,
        /// Number of the question.
        number: Number,
        /// What is to be loaded.
        change: Change,
    },
    /// Give an engine an order.
    Give {
        /// The engine.
        endpoint: EndpointKey,
        /// The order.
        order: Order,
    },
    /// Log that an engine needs an order and gets none now.
    Held {
        /// The engine.
        endpoint: EndpointKey,
        /// Why.
        hold: Hold,
    },
}

/// `Peer` is the last word of a router.
#[derive(Clone, Copy, Debug)]
struct Peer {
    at: Time,
    revision: Revision,
}

/// `Orders` is one router's orders. It holds one entry for each configured engine and each router
/// of the fleet, so the configuration bounds it.
#[derive(Debug, Default)]
pub struct Orders {
    engines: SecondaryMap<EndpointKey, Engine>,
    peers: SecondaryMap<RouterKey, Peer>,
    /// Whether something new was heard since the start or the last wake-up.
    fresh: bool,
    /// When this process last woke.
    woke: Option<Time>,
    /// The question that is at the weight store.
    asking: Option<EndpointKey>,
    /// When the weight store may be asked again.
    store: Time,
    store_failures: u32,
    surveyed: Time,
    turned: Time,
    next: Number,
}

impl Orders {
    /// Follows a new configuration.
    pub fn apply(&mut self, config: &Config) {
        let engine = |key| config.endpoints.get(key).is_some_and(|e| is_engine(e));
        self.engines.retain(|key, _| engine(key));
        self.peers.retain(|key, _| config.fleet.get(key).is_some());
        for (key, _) in config.endpoints.iter().filter(|(_, e)| is_engine(e)) {
            if !self.engines.contains_key(key) {
                self.engines.insert(key, Engine::default());
            }
        }
    }

    /// Notes that this process was paused: it has heard nothing of what happened meanwhile, and
    /// another router may have taken its engines over.
    pub fn woke(&mut self, now: Time) {
        self.fresh = false;
        self.woke = Some(now);
        self.peers.clear();
        for (_, engine) in &mut self.engines {
            engine.news = None;
            engine.issuer = None;
        }
    }

    /// Notes a peer's word and the revision that it has in force.
    pub fn heard(&mut self, now: Time, router: RouterKey, revision: Revision) {
        if self.settling(now) {
            return;
        }
        let peer = Peer { at: now, revision };
        self.peers.insert(router, peer);
        self.fresh = true;
    }

    /// Notes an answer of the configuration service.
    pub fn read(&mut self, now: Time) {
        self.fresh |= !self.settling(now);
    }

    /// Notes an engine's own report.
    pub fn report(&mut self, now: Time, endpoint: EndpointKey, report: &Report) {
        let Some(loaded) = report.loaded.clone() else {
            return;
        };
        if self.settling(now) {
            return;
        }
        let news = News {
            at: now,
            life: report.incarnation,
            loaded,
        };
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.report(news);
        }
    }

    /// Does what is due. Call it again and again.
    pub fn tick(&mut self, scene: Scene<'_>, out: &mut Vec<Step>) {
        if scene.now.since(self.turned) < TURN {
            return;
        }
        self.turned = scene.now;
        self.expire(scene);
        let mut survey = Vec::new();
        for key in self.reporting(scene.now) {
            self.turn(scene, key, &mut survey, out);
        }
        if scene.now.since(self.surveyed) >= SURVEY && !survey.is_empty() {
            self.surveyed = scene.now;
            survey.truncate(SURVEY_POLLS);
            out.extend(survey.into_iter().map(Step::Poll));
        }
    }

    /// Lists the engines that this router heard itself lately. Only those can be its own, so that
    /// the work of a turn grows with the engines that it polls, not with all.
    fn reporting(&mut self, now: Time) -> Vec<EndpointKey> {
        let mut keys = Vec::new();
        for (key, engine) in &mut self.engines {
            let fresh = |news: &News| now.since(news.at) <= MAX_CONFIRMATION_AGE;
            if engine.news.as_ref().is_some_and(fresh) {
                keys.push(key);
            } else {
                engine.issuer = None;
            }
        }
        keys
    }

    /// Notes the weight store's answer and gives the order, if all still stands as it did.
    pub fn granted(
        &mut self,
        scene: Scene<'_>,
        (endpoint, number): (EndpointKey, Number),
        grant: Grant,
        rng: &mut impl Rng,
        out: &mut Vec<Step>,
    ) {
        let engine = self.engines.get_mut(endpoint);
        let Some(engine) = engine
            .filter(|e| matches!(e.stage, Stage::Asking { number: asked, .. } if asked == number))
        else {
            return;
        };
        engine.stage = Stage::Idle;
        self.asking = None;
        match grant {
            Grant::Token => {
                self.store_failures = 0;
                self.give(scene, endpoint, out);
            }
            Grant::Wait(wait) => {
                let wait = wait.min(STORE_WAIT_MAX);
                let spread = backoff(self.store_failures, rng);
                self.store = scene.now + wait + spread;
                self.store_failures = self.store_failures.saturating_add(1);
            }
            Grant::Failed => {
                self.store = scene.now + BACKOFF_MIN + backoff(self.store_failures, rng);
                self.store_failures = self.store_failures.saturating_add(1);
            }
        }
    }

    /// Notes what came of an order; tells whether it was the one that is unanswered.
    pub fn ended(
        &mut self,
        scene: Scene<'_>,
        (endpoint, number): (EndpointKey, Number),
        reply: Reply,
        rng: &mut impl Rng,
    ) -> bool {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return false;
        };
        let Stage::Sent { order, .. } = &engine.stage else {
            return false;
        };
        if order.number != number {
            return false;
        }
        let order = order.clone();
        engine.tries = engine.tries.saturating_add(1);
        let wait = BACKOFF_MIN + backoff(engine.tries, rng);
        engine.stage = match reply {
            Reply::Obeyed => Stage::Loading {
                order,
                until: scene.now + LOAD_TIME,
            },
            Reply::Fenced(fence) => {
                // Another router gave an order meanwhile. What it led to is read before anything
                // else is said, or the two would go on outbidding each other.
                engine.fenced = engine.fenced.max(fence);
                engine.news = None;
                let until = scene.now + wait;
                Stage::Resting { until }
            }
            Reply::Refused | Reply::NotSent => Stage::Resting {
                until: scene.now + wait,
            },
            // It may be on its way still, and a second one could overtake it.
            Reply::Unknown => Stage::Resting {
                until: scene.now + hold_off(&scene.config.policy).max(wait),
            },
        };
        true
    }

    fn settling(&self, now: Time) -> bool {
        self.woke.is_some_and(|t| now.since(t) < wake::SETTLE_TIME)
    }

    /// Ends what was not answered in time; the driver gives up sooner, so its word was lost.
    fn expire(&mut self, scene: Scene<'_>) {
        let late = |at: Time| scene.now.since(at) >= ORDER_TIMEOUT + ORDER_SLACK;
        for (key, engine) in &mut self.engines {
            engine.stage = match std::mem::take(&mut engine.stage) {
                Stage::Asking { at, .. } if late(at) => Stage::Idle,
                Stage::Sent { at, .. } if late(at) => Stage::Resting {
                    until: scene.now + hold_off(&scene.config.policy),
                },
                Stage::Loading { until, .. } | Stage::Resting { until } if scene.now >= until => {
                    Stage::Idle
                }
                stage => stage,
            };
            let asks = matches!(engine.stage, Stage::Asking { .. });
            if self.asking == Some(key) && !asks {
                self.asking = None;
            }
        }
        // An engine that went out of the configuration took its question along.
        self.asking = self.asking.filter(|key| self.engines.contains_key(*key));
    }

    /// Looks after one engine.
    fn turn(
        &mut self,
        scene: Scene<'_>,
        key: EndpointKey,
        survey: &mut Vec<EndpointKey>,
        out: &mut Vec<Step>,
    ) {
        let issuer = self.is_issuer(scene, key);
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        if !issuer {
            engine.issuer = None;
            engine.held = None;
            return;
        }
        engine.issuer = engine.issuer.or(Some(scene.now));
        if matches!(engine.stage, Stage::Asking { .. } | Stage::Sent { .. }) {
            return;
        }
        let hold = match self.check(scene, key) {
            Ok(None) => {
                self.settled(key);
                return;
            }
            Ok(Some(_)) if self.asking.is_some() || scene.now < self.store => Hold::WeightStore,
            Ok(Some(change)) => {
                self.ask(scene, key, change, out);
                return;
            }
            Err(hold) => hold,
        };
        let waits = matches!(hold, Hold::Pace | Hold::MinReplicas | Hold::Unreported);
        if waits && survey.is_empty() && !self.settling(scene.now) {
            let since = scene.now - MAX_CONFIRMATION_AGE;
            survey.extend(pace::unknown(&scene, &self.engines, key, since));
        }
        self.hold(key, hold, out);
    }

    fn is_issuer(&self, scene: Scene<'_>, key: EndpointKey) -> bool {
        let (Some(me), Some(endpoint)) = (scene.me, scene.config.endpoints.get(key)) else {
            return false;
        };
        let span = heard_for(&scene.config.policy);
        let there = |key| {
            let peer = self.peers.get(key);
            peer.is_some_and(|p| scene.now.since(p.at) <= span)
        };
        pollers::rank_among(scene.config, me, endpoint, there) == Some(0)
    }

    /// Tells what an engine is to be ordered now, `None` for nothing, or why it must wait.
    fn check(&self, scene: Scene<'_>, key: EndpointKey) -> Result<Option<Change>, Hold> {
        let (Some(engine), Some(endpoint)) =
            (self.engines.get(key), scene.config.endpoints.get(key))
        else {
            return Ok(None);
        };
        let life = scene.view.incarnation(key);
        let state = scene.view.state(scene.now, key);
        let news = engine.news(life);
        let news = news.filter(|news| scene.now.since(news.at) <= MAX_CONFIRMATION_AGE);
        let news = news.filter(|_| matches!(state, State::Live | State::Suspect));
        let news = news.ok_or(Hold::Unreported)?;
        let Some(change) = engine::wanted(scene.config, endpoint, &news.loaded) else {
            return Ok(None);
        };
        self.check_self(scene, engine, endpoint)?;
        match &engine.stage {
            Stage::Loading { order, .. } if order.change == change => return Err(Hold::Waiting),
            Stage::Resting { .. } => return Err(Hold::Waiting),
            _ => {}
        }
        pace::check(&scene, &self.engines, key)?;
        Ok(Some(change))
    }

    /// Tells whether this router knows enough to give orders to an engine.
    fn check_self(
        &self,
        scene: Scene<'_>,
        engine: &Engine,
        endpoint: &Endpoint,
    ) -> Result<(), Hold> {
        if !self.fresh {
            return Err(Hold::NoNews);
        }
        let revision = scene.config.revision;
        let behind = self.peers.values().any(|p| p.revision > revision);
        if behind || fence(revision, engine.fence()).is_none() {
            return Err(Hold::Behind);
        }
        if endpoint.fencing == Check::Checked {
            return Ok(());
        }
        if !self.majority(scene) {
            return Err(Hold::Minority);
        }
        let since = engine.issuer.map_or(Millis(0), |t| scene.now.since(t));
        if since < hold_off(&scene.config.policy) {
            return Err(Hold::HoldOff);
        }
        Ok(())
    }

    fn majority(&self, scene: Scene<'_>) -> bool {
        let span = heard_for(&scene.config.policy);
        let others = self.peers.values();
        let there = others.filter(|p| scene.now.since(p.at) <= span).count();
        2 * (there + 1) > scene.config.fleet.len()
    }

    fn settled(&mut self, key: EndpointKey) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.tries = 0;
            engine.held = None;
            // A resting engine may have an order on its way still, whatever it shows.
            if matches!(engine.stage, Stage::Loading { .. }) {
                engine.stage = Stage::Idle;
            }
        }
    }

    fn hold(&mut self, endpoint: EndpointKey, hold: Hold, out: &mut Vec<Step>) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        // An engine that can't be heard has its own lines, and may need no order at all.
        if engine.held != Some(hold) && hold != Hold::Unreported {
            engine.held = Some(hold);
            out.push(Step::Held { endpoint, hold });
        }
    }

    fn number(&mut self) -> Number {
        self.next = Number(self.next.0 + 1);
        self.next
    }

    fn ask(
        &mut self,
        scene: Scene<'_>,
        endpoint: EndpointKey,
        change: Change,
        out: &mut Vec<Step>,
    ) {
        let number = self.number();
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        engine.stage = Stage::Asking {
            number,
            at: scene.now,
        };
        self.asking = Some(endpoint);
        out.push(Step::Ask {
            endpoint,
            number,
            change,
        });
    }

    /// Gives the order for which a token was had. The world may have changed while it was asked
    /// for; then the token is lost, which costs time and nothing else.
    fn give(&mut self, scene: Scene<'_>, endpoint: EndpointKey, out: &mut Vec<Step>) {
        if !self.is_issuer(scene, endpoint) {
            return;
        }
        let change = match self.check(scene, endpoint) {
            Ok(Some(change)) => change,
            Ok(None) => return,
            Err(hold) => return self.hold(endpoint, hold, out),
        };
        let number = self.number();
        let revision = scene.config.revision;
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        let Some(fence) = fence(revision, engine.fence()) else {
            return;
        };
        let order = Order {
            number,
            fence,
            revision,
            change,
            not_after: scene.now + wake::MIN_PAUSE,
        };
        engine.held = None;
        engine.stage = Stage::Sent {
            order: order.clone(),
            at: scene.now,
        };
        out.push(Step::Give { endpoint, order });
    }
}

fn is_engine(endpoint: &Endpoint) -> bool {
    endpoint.kind == Kind::Engine
}

/// Makes the fencing number of an order under `revision` to an engine that holds `held`; `None`
/// when that comes from a later revision.
fn fence(revision: Revision, held: u64) -> Option<u64> {
    let first = revision.0.checked_mul(FENCES)?;
    let next = held.checked_add(1)?.max(first);
    (next - first < FENCES).then_some(next)
}

/// Draws a wait after the n-th failure ("full jitter").
fn backoff(failures: u32, rng: &mut impl Rng) -> Millis {
    let longest = BACKOFF_MIN.0.saturating_mul(1 << failures.min(16));
    Millis(rng.random_range(0..=longest.min(BACKOFF_MAX.0)))
}
