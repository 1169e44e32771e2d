//! Orders to engines: decides which engine is told to load which model, by which router, and when.
//!
//! The published configuration defines what an engine should hold, and the engine's own reports say
//! what it holds. If the two differ, the engine needs an order. The issuer of an engine's orders is
//! the router that polls it: the one with the highest rendezvous score among the routers heard
//! recently. Routers' views differ, so an engine may have two issuers for a while. These rules make
//! that harmless:
//!
//! - A fencing number contains the revision that its order carries out ([`FENCES_PER_REVISION`]). A
//!   router with an older revision can't make a greater number, so an engine that checks fencing
//!   numbers never returns to an older revision.
//! - An engine that ignores fencing numbers gets orders only from a router that hears the majority
//!   of the published fleet. A router that becomes its issuer first waits for [`hold_off`].
//! - After a start or a pause, a router gives no orders before it has heard something new.
//! - An engine has at most one unanswered order, and its reports show the effect of an order.
//!
//! [`pace`] bounds how many engines load at once. Each load needs a token from the weight store.

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
    LoadedReport,
    Phase, //
};
pub use message::{
    Change,
    HoldReason,
    Loaded,
    MAX_MODELS,
    Order,
    OrderNumber,
    OrderOutcome,
    TokenReply, //
};

/// Number of fencing numbers of one revision: an order under revision `r` has a number from
/// `r * FENCES_PER_REVISION` on and below `(r + 1) * FENCES_PER_REVISION`.
pub const FENCES_PER_REVISION: u64 = 1 << 20;

/// Time to wait for the answer to an order or to a token request.
pub const ORDER_TIMEOUT: Millis = Millis::from_secs(5);

/// Time that is added to [`ORDER_TIMEOUT`] for an order's transit and for differences between
/// clocks.
const ORDER_SLACK: Millis = Millis(1000);

/// Shortest silence of a router after which another one takes over its engines.
const MIN_PEER_TIMEOUT: Millis = Millis::from_secs(2);

/// Time in which an engine should report what it was ordered to load; after it, the order is
/// repeated.
pub const LOAD_TIMEOUT: Millis = Millis::from_secs(120);

/// Shortest wait after a failure, and base of the random wait that is added to it, which doubles
/// with each failure up to [`BACKOFF_MAX`].
const BACKOFF_MIN: Millis = Millis(500);

/// Greatest random wait after a failure.
const BACKOFF_MAX: Millis = Millis::from_secs(60);

/// Longest wait that is accepted from the weight store.
const STORE_WAIT_MAX: Millis = Millis::from_secs(600);

/// Time between two comparisons of engines with the configuration.
const CHECK_INTERVAL: Millis = Millis(500);

/// Time between two rounds of polls of engines whose reports an order waits for.
const POLL_ROUND_INTERVAL: Millis = Millis(1000);

/// Most polls in one round.
const MAX_POLLS_PER_ROUND: usize = 8;

/// Gets the time after its last message for which a router counts as present.
pub fn peer_timeout(policy: &Policy) -> Millis {
    let intervals = Millis(policy.summary_interval.0.saturating_mul(3));
    MIN_PEER_TIMEOUT.max(intervals + MAX_REPORT_TRANSIT)
}

/// Gets the time that a router waits after it became the issuer of an engine that ignores fencing
/// numbers. A former issuer that lost its connection to the fleet notices after [`peer_timeout`];
/// the orders that it sent until then are answered or time out after [`ORDER_TIMEOUT`].
pub fn hold_off(policy: &Policy) -> Millis {
    peer_timeout(policy) + ORDER_TIMEOUT + ORDER_SLACK + wake::MIN_PAUSE
}

/// `OrderContext` is the state of the router that decisions about orders read.
#[derive(Clone, Copy, Debug)]
pub struct OrderContext<'a> {
    /// The configuration in force.
    pub config: &'a Config,
    /// Key of this router; `None` while it is not in the published fleet.
    pub me: Option<RouterKey>,
    /// This router's view of endpoints.
    pub view: &'a View,
    /// The present time.
    pub now: Time,
}

/// `OrderAction` is one action that the caller must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Poll an engine whose report an order waits for.
    Poll(EndpointKey),
    /// Ask the weight store for a token for a load.
    RequestToken {
        /// The engine.
        endpoint: EndpointKey,
        /// Identifies the request.
        number: OrderNumber,
        /// What the engine is to load.
        change: Change,
    },
    /// Send an order to an engine.
    SendOrder {
        /// The engine.
        endpoint: EndpointKey,
        /// The order.
        order: Order,
    },
    /// Log that an engine needs an order that is held back.
    LogHold {
        /// The engine.
        endpoint: EndpointKey,
        /// Why it is held back.
        hold: HoldReason,
    },
}

/// `PeerState` is what the last message of a router said.
#[derive(Clone, Copy, Debug)]
struct PeerState {
    at: Time,
    revision: Revision,
}

/// `OrderScheduler` decides about the orders of one router. It holds one entry for each configured
/// engine and each router of the fleet, so the configuration bounds its size.
#[derive(Debug, Default)]
pub struct OrderScheduler {
    engines: SecondaryMap<EndpointKey, Engine>,
    peers: SecondaryMap<RouterKey, PeerState>,
    /// Whether something new was heard since the start or the last pause.
    heard_since_wake: bool,
    /// End of the last pause of this process.
    woke_at: Option<Time>,
    /// The engine for which a token request is pending.
    requesting: Option<EndpointKey>,
    /// Time from which the weight store may be asked again.
    store_retry_at: Time,
    store_failures: u32,
    last_poll_round: Time,
    last_check: Time,
    last_number: OrderNumber,
}

impl OrderScheduler {
    /// Takes over a new configuration: adds and removes engines and peers.
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

    /// Records the end of a pause of this process: it missed what happened meanwhile, and another
    /// router may have taken over its engines.
    pub fn woke(&mut self, now: Time) {
        self.heard_since_wake = false;
        self.woke_at = Some(now);
        self.peers.clear();
        for (_, engine) in &mut self.engines {
            engine.last_report = None;
            engine.issuer_since = None;
        }
    }

    /// Records a message of a peer and the revision that the peer has in force.
    pub fn heard(&mut self, now: Time, router: RouterKey, revision: Revision) {
        if self.is_settling(now) {
            return;
        }
        let peer = PeerState { at: now, revision };
        self.peers.insert(router, peer);
        self.heard_since_wake = true;
    }

    /// Records that the configuration service answered.
    pub fn read(&mut self, now: Time) {
        self.heard_since_wake |= !self.is_settling(now);
    }

    /// Records an engine's own report.
    pub fn report(&mut self, now: Time, endpoint: EndpointKey, report: &Report) {
        let Some(loaded) = report.loaded.clone() else {
            return;
        };
        if self.is_settling(now) {
            return;
        }
        let loaded_report = LoadedReport {
            at: now,
            incarnation: report.incarnation,
            loaded,
        };
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.record_report(loaded_report);
        }
    }

    /// Adds the actions that are due to `out`. The caller must call this periodically.
    pub fn tick(&mut self, context: OrderContext<'_>, out: &mut Vec<OrderAction>) {
        if context.now.since(self.last_check) < CHECK_INTERVAL {
            return;
        }
        self.last_check = context.now;
        self.expire(context);
        let mut to_poll = Vec::new();
        for key in self.recently_reported(context.now) {
            self.check_engine(context, key, &mut to_poll, out);
        }
        if context.now.since(self.last_poll_round) >= POLL_ROUND_INTERVAL && !to_poll.is_empty() {
            self.last_poll_round = context.now;
            to_poll.truncate(MAX_POLLS_PER_ROUND);
            out.extend(to_poll.into_iter().map(OrderAction::Poll));
        }
    }

    /// Lists the engines whose reports this router received itself recently, and ends its role as
    /// issuer of the others. It can only be the issuer of engines that it polls, so the cost of a
    /// check grows with those and not with all engines.
    fn recently_reported(&mut self, now: Time) -> Vec<EndpointKey> {
        let mut keys = Vec::new();
        for (key, engine) in &mut self.engines {
            let fresh = |report: &LoadedReport| now.since(report.at) <= MAX_CONFIRMATION_AGE;
            if engine.last_report.as_ref().is_some_and(fresh) {
                keys.push(key);
            } else {
                engine.issuer_since = None;
            }
        }
        keys
    }

    /// Handles the weight store's answer. With a token, sends the order if the engine still needs
    /// it.
    pub fn on_token_reply(
        &mut self,
        context: OrderContext<'_>,
        (endpoint, number): (EndpointKey, OrderNumber),
        grant: TokenReply,
        rng: &mut impl Rng,
        out: &mut Vec<OrderAction>,
    ) {
        let engine = self.engines.get_mut(endpoint);
        let Some(engine) = engine.filter(|e| {
            matches!(e.phase,
                Phase::RequestingToken { number: asked, .. } if asked == number)
        }) else {
            return;
        };
        engine.phase = Phase::Idle;
        self.requesting = None;
        match grant {
            TokenReply::Token => {
                self.store_failures = 0;
                self.send_order(context, endpoint, out);
            }
            TokenReply::Wait(wait) => {
                let wait = wait.min(STORE_WAIT_MAX);
                let spread = backoff(self.store_failures, rng);
                self.store_retry_at = context.now + wait + spread;
                self.store_failures = self.store_failures.saturating_add(1);
            }
            TokenReply::Failed => {
                self.store_retry_at = context.now + BACKOFF_MIN + backoff(self.store_failures, rng);
                self.store_failures = self.store_failures.saturating_add(1);
            }
        }
    }

    /// Handles the outcome of an order; returns whether the order was the unanswered one.
    pub fn on_order_outcome(
        &mut self,
        context: OrderContext<'_>,
        (endpoint, number): (EndpointKey, OrderNumber),
        reply: OrderOutcome,
        rng: &mut impl Rng,
    ) -> bool {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return false;
        };
        let Phase::Sent { order, .. } = &engine.phase else {
            return false;
        };
        if order.number != number {
            return false;
        }
        let order = order.clone();
        engine.tries = engine.tries.saturating_add(1);
        let wait = BACKOFF_MIN + backoff(engine.tries, rng);
        engine.phase = match reply {
            OrderOutcome::Obeyed => Phase::Loading {
                order,
                until: context.now + LOAD_TIMEOUT,
            },
            OrderOutcome::Fenced(fence) => {
                // Another router gave an order meanwhile. Its effect must be read before the next
                // order, or the two routers would go on exceeding each other's numbers.
                engine.refused_fence = engine.refused_fence.max(fence);
                engine.last_report = None;
                let until = context.now + wait;
                Phase::BackingOff { until }
            }
            OrderOutcome::Refused | OrderOutcome::NotSent => Phase::BackingOff {
                until: context.now + wait,
            },
            // The order may still be in transit, and a second one could overtake it.
            OrderOutcome::Unknown => Phase::BackingOff {
                until: context.now + hold_off(&context.config.policy).max(wait),
            },
        };
        true
    }

    fn is_settling(&self, now: Time) -> bool {
        self.woke_at
            .is_some_and(|t| now.since(t) < wake::SETTLE_TIME)
    }

    /// Ends orders and token requests without a timely answer. The driver reports its own time-outs
    /// sooner, so here its event was lost.
    fn expire(&mut self, context: OrderContext<'_>) {
        let late = |at: Time| context.now.since(at) >= ORDER_TIMEOUT + ORDER_SLACK;
        for (key, engine) in &mut self.engines {
            engine.phase = match std::mem::take(&mut engine.phase) {
                Phase::RequestingToken { at, .. } if late(at) => Phase::Idle,
                Phase::Sent { at, .. } if late(at) => Phase::BackingOff {
                    until: context.now + hold_off(&context.config.policy),
                },
                Phase::Loading { until, .. } | Phase::BackingOff { until }
                    if context.now >= until =>
                {
                    Phase::Idle
                }
                phase => phase,
            };
            let asks = matches!(engine.phase, Phase::RequestingToken { .. });
            if self.requesting == Some(key) && !asks {
                self.requesting = None;
            }
        }
        // The pending request of an engine that was removed from the configuration ends too.
        self.requesting = self
            .requesting
            .filter(|key| self.engines.contains_key(*key));
    }

    /// Checks one engine: requests a token if it needs an order, or logs why the order is held
    /// back.
    fn check_engine(
        &mut self,
        context: OrderContext<'_>,
        key: EndpointKey,
        to_poll: &mut Vec<EndpointKey>,
        out: &mut Vec<OrderAction>,
    ) {
        let issuer = self.is_issuer(context, key);
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        if !issuer {
            engine.issuer_since = None;
            engine.logged_hold = None;
            return;
        }
        engine.issuer_since = engine.issuer_since.or(Some(context.now));
        if matches!(
            engine.phase,
            Phase::RequestingToken { .. } | Phase::Sent { .. }
        ) {
            return;
        }
        let hold = match self.due_change(context, key) {
            Ok(None) => {
                self.on_up_to_date(key);
                return;
            }
            Ok(Some(_)) if self.requesting.is_some() || context.now < self.store_retry_at => {
                HoldReason::WeightStore
            }
            Ok(Some(change)) => {
                self.request_token(context, key, change, out);
                return;
            }
            Err(hold) => hold,
        };
        let needs_reports = matches!(
            hold,
            HoldReason::Pace | HoldReason::MinReplicas | HoldReason::Unreported
        );
        if needs_reports && to_poll.is_empty() && !self.is_settling(context.now) {
            let since = context.now - MAX_CONFIRMATION_AGE;
            to_poll.extend(pace::stale_engines(&context, &self.engines, key, since));
        }
        self.log_hold(key, hold, out);
    }

    fn is_issuer(&self, context: OrderContext<'_>, key: EndpointKey) -> bool {
        let (Some(me), Some(endpoint)) = (context.me, context.config.endpoints.get(key)) else {
            return false;
        };
        let span = peer_timeout(&context.config.policy);
        let there = |key| {
            let peer = self.peers.get(key);
            peer.is_some_and(|p| context.now.since(p.at) <= span)
        };
        pollers::rank_among(context.config, me, endpoint, there) == Some(0)
    }

    /// Gets the change to order from an engine now, `None` if it needs none, or why it must wait.
    fn due_change(
        &self,
        context: OrderContext<'_>,
        key: EndpointKey,
    ) -> Result<Option<Change>, HoldReason> {
        let (Some(engine), Some(endpoint)) =
            (self.engines.get(key), context.config.endpoints.get(key))
        else {
            return Ok(None);
        };
        let incarnation = context.view.incarnation(key);
        let state = context.view.state(context.now, key);
        let report = engine.report_of(incarnation);
        let report = report.filter(|report| context.now.since(report.at) <= MAX_CONFIRMATION_AGE);
        let report = report.filter(|_| matches!(state, State::Live | State::Suspect));
        let report = report.ok_or(HoldReason::Unreported)?;
        let Some(due) = engine::next_change(context.config, endpoint, &report.loaded) else {
            return Ok(None);
        };
        self.check_may_issue(context, engine, endpoint)?;
        match &engine.phase {
            Phase::Loading { order, .. } if order.change == due => return Err(HoldReason::Waiting),
            Phase::BackingOff { .. } => return Err(HoldReason::Waiting),
            _ => {}
        }
        pace::check(&context, &self.engines, key)?;
        Ok(Some(due))
    }

    /// Checks that this router knows enough to give orders to an engine.
    fn check_may_issue(
        &self,
        context: OrderContext<'_>,
        engine: &Engine,
        endpoint: &Endpoint,
    ) -> Result<(), HoldReason> {
        if !self.heard_since_wake {
            return Err(HoldReason::NoNews);
        }
        let revision = context.config.revision;
        let behind = self.peers.values().any(|p| p.revision > revision);
        if behind || next_fence(revision, engine.known_fence()).is_none() {
            return Err(HoldReason::Behind);
        }
        if endpoint.fencing == Check::Checked {
            return Ok(());
        }
        if !self.hears_majority(context) {
            return Err(HoldReason::Minority);
        }
        let since = engine
            .issuer_since
            .map_or(Millis(0), |t| context.now.since(t));
        if since < hold_off(&context.config.policy) {
            return Err(HoldReason::HoldOff);
        }
        Ok(())
    }

    fn hears_majority(&self, context: OrderContext<'_>) -> bool {
        let span = peer_timeout(&context.config.policy);
        let others = self.peers.values();
        let there = others.filter(|p| context.now.since(p.at) <= span).count();
        2 * (there + 1) > context.config.fleet.len()
    }

    fn on_up_to_date(&mut self, key: EndpointKey) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.tries = 0;
            engine.logged_hold = None;
            // An engine in back-off may still get an order that is in transit, whatever it reports.
            if matches!(engine.phase, Phase::Loading { .. }) {
                engine.phase = Phase::Idle;
            }
        }
    }

    fn log_hold(&mut self, endpoint: EndpointKey, hold: HoldReason, out: &mut Vec<OrderAction>) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        // An engine without reports is logged by its membership state, and may need no order.
        if engine.logged_hold != Some(hold) && hold != HoldReason::Unreported {
            engine.logged_hold = Some(hold);
            out.push(OrderAction::LogHold { endpoint, hold });
        }
    }

    fn next_number(&mut self) -> OrderNumber {
        self.last_number = OrderNumber(self.last_number.0 + 1);
        self.last_number
    }

    fn request_token(
        &mut self,
        context: OrderContext<'_>,
        endpoint: EndpointKey,
        change: Change,
        out: &mut Vec<OrderAction>,
    ) {
        let number = self.next_number();
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        engine.phase = Phase::RequestingToken {
            number,
            at: context.now,
        };
        self.requesting = Some(endpoint);
        out.push(OrderAction::RequestToken {
            endpoint,
            number,
            change,
        });
    }

    /// Sends the order for which a token was granted. If the engine needs no order any more or must
    /// wait, the token is lost, which only costs time.
    fn send_order(
        &mut self,
        context: OrderContext<'_>,
        endpoint: EndpointKey,
        out: &mut Vec<OrderAction>,
    ) {
        if !self.is_issuer(context, endpoint) {
            return;
        }
        let change = match self.due_change(context, endpoint) {
            Ok(Some(change)) => change,
            Ok(None) => return,
            Err(hold) => return self.log_hold(endpoint, hold, out),
        };
        let number = self.next_number();
        let revision = context.config.revision;
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        let Some(fence) = next_fence(revision, engine.known_fence()) else {
            return;
        };
        let order = Order {
            number,
            fence,
            revision,
            change,
            not_after: context.now + wake::MIN_PAUSE,
        };
        engine.logged_hold = None;
        engine.phase = Phase::Sent {
            order: order.clone(),
            at: context.now,
        };
        out.push(OrderAction::SendOrder { endpoint, order });
    }
}

fn is_engine(endpoint: &Endpoint) -> bool {
    endpoint.kind == Kind::Engine
}

/// Makes the fencing number of an order under `revision` to an engine that holds the number `held`.
/// Returns `None` if `held` belongs to a later revision or the revision's numbers are used up.
fn next_fence(revision: Revision, held: u64) -> Option<u64> {
    let first = revision.0.checked_mul(FENCES_PER_REVISION)?;
    let next = held.checked_add(1)?.max(first);
    (next - first < FENCES_PER_REVISION).then_some(next)
}

/// Draws a random wait after `failures` failures (exponential back-off with full jitter).
fn backoff(failures: u32, rng: &mut impl Rng) -> Millis {
    let longest = BACKOFF_MIN.0.saturating_mul(1 << failures.min(16));
    Millis(rng.random_range(0..=longest.min(BACKOFF_MAX.0)))
}
