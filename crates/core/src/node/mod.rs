//! One router's decisions as a whole: events and time in, actions out.
//!
//! [`Node`] owns the parts that each decide one matter (configuration, membership, load, limits,
//! keys, retries) and leads every event through them. It does no I/O: the driver carries out the
//! actions and reports what came of them as events.

use std::sync::Arc;

use indexmap::IndexMap;
use rand::{
    SeedableRng,
    rngs::StdRng, //
};
use slotmap::SecondaryMap;

use crate::{
    action::{
        Action,
        Decision, //
    },
    arena::{
        EndpointKey,
        RouterKey, //
    },
    config::{
        Config,
        store::{
            self,
            Store, //
        },
    },
    event::{
        Event,
        Report,
        Source, //
    },
    ids::Id,
    limits::Limits,
    load::Table,
    membership::{
        Observation,
        View, //
    },
    once::Home,
    orders::Orders,
    overload::Gate,
    place::{
        Scene,
        moves::Recent, //
    },
    request::{
        Attempt,
        Call,
        Request, //
    },
    retry::Budget,
    units::{
        Incarnation,
        Millis,
        Now,
        Revision,
        Time, //
    },
};

mod calls;
mod endpoints;
mod ends;
mod once;
mod orders;
mod peers;
mod reading;
mod retries;

use reading::{
    Brought,
    Reading, //
};

/// `Options` is what a node must know of itself.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name in the published fleet.
    pub id: Id,
    /// This life of it; greater than that of any earlier life.
    pub incarnation: Incarnation,
    /// Seed of its random numbers.
    pub seed: u64,
}

/// `Peer` is what a node knows of another router.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    revision: Revision,
    heard: Option<Time>,
}

/// `Open` is a call in progress.
#[derive(Clone, Debug)]
struct Open {
    request: Request,
    stage: Stage,
    attempts: u32,
    tried: Vec<EndpointKey>,
    /// Whether bytes of an attempt may have reached an endpoint, so that "not run" can't be said.
    reached: bool,
    /// When it came, or its last attempt was sent.
    sent: Time,
}

/// `Stage` says what an open call waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// A grant of the workspace's home.
    Admission,
    /// The answer of the key's home.
    Forwarded,
    /// The answer to the first request with the same key, here at the home.
    Waiting,
    /// The answer of an endpoint.
    Sent {
        endpoint: EndpointKey,
        /// The endpoint's life then, as far as known.
        life: Incarnation,
    },
    /// A time to be placed again: after a backoff, or when an endpoint is confirmed.
    Later { at: Time },
}

/// `Node` is one router.
#[derive(Debug)]
pub struct Node {
    options: Options,
    rng: StdRng,
    store: Store,
    me: Option<RouterKey>,
    view: View,
    loads: Table,
    recent: Recent,
    limits: Limits,
    gate: Gate,
    home: Home,
    budget: Budget,
    orders: Orders,
    peers: SecondaryMap<RouterKey, Peer>,
    calls: IndexMap<Call, Open>,
    reports: SecondaryMap<EndpointKey, (Time, Report)>,
    listed: Time,
    summarized: Time,
    // Whether peers are to hear of own requests before the next summary is due.
    early: bool,
    started: Time,
    reading: Reading,
    synced: bool,
    draining: Option<Time>,
    exited: bool,
}

impl Node {
    /// Makes a node that knows nothing yet.
    pub fn new(options: Options, now: Now) -> Self {
        let rng = StdRng::seed_from_u64(options.seed);
        let home = Home::new(now, options.incarnation);
        let reading = Reading::new(options.seed);
        Self {
            options,
            rng,
            store: Store::default(),
            me: None,
            view: View::default(),
            loads: Table::default(),
            recent: Recent::default(),
            limits: Limits::default(),
            gate: Gate::default(),
            home,
            budget: Budget::default(),
            orders: Orders::default(),
            peers: SecondaryMap::new(),
            calls: IndexMap::new(),
            reports: SecondaryMap::new(),
            listed: Time(0),
            summarized: now.mono,
            early: false,
            started: now.mono,
            reading,
            synced: false,
            draining: None,
            exited: false,
        }
    }

    /// Gets the configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        self.store.current()
    }

    /// Gets this router's key in the fleet; `None` while it is not in the published list.
    pub fn me(&self) -> Option<RouterKey> {
        self.me
    }

    /// Gets this life's number.
    pub fn incarnation(&self) -> Incarnation {
        self.options.incarnation
    }

    /// Gets the view of endpoints.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Gets the loads of endpoints.
    pub fn loads(&self) -> &Table {
        &self.loads
    }

    /// Gets the number of calls in progress.
    pub fn open(&self) -> usize {
        self.calls.len()
    }

    /// Tells whether callers may be sent here: a configuration is in force, peers were asked for a
    /// newer one, and no drain is on.
    pub fn ready(&self) -> bool {
        self.synced && self.draining.is_none() && self.store.current().revision > Revision(0)
    }

    /// Handles one event and appends what is to be done.
    pub fn handle(&mut self, now: Now, event: Event, out: &mut Vec<Action>) {
        if self.view.advance(now.mono).is_some() {
            self.orders.woke(now.mono);
        }
        match event {
            Event::Request { call, request } => self.request(now, call, request, out),
            Event::Head {
                call,
                attempt,
                in_flight,
                leaving,
                incarnation,
            } => {
                let _ = attempt;
                self.head_load(now, call, in_flight);
                self.head(now, call, leaving, incarnation, out);
            }
            Event::Ended { call, attempt, end } => self.ended(now, call, attempt, end, out),
            Event::ForwardFailed { call, sent: _ } => self.forward_failed(now, call, out),
            Event::ForwardDone {
                call,
                outcome,
                refusal,
            } => self.forward_done(now, call, (outcome, refusal), out),
            Event::Gone { call } => self.gone(now, call, out),
            Event::Polled { endpoint, report } => self.polled(now, endpoint, report, out),
            Event::Probed { endpoint, answered } => {
                let seen = if answered {
                    Observation::Reached
                } else {
                    Observation::Unreached
                };
                let changed = self.view.seen(now.mono, endpoint, seen);
                log_member(endpoint, changed, out);
            }
            Event::Peer {
                from,
                incarnation,
                message,
            } => {
                self.peer(now, from, incarnation, message, out);
            }
            Event::PeerFailed { router } => self.peer_failed(now, router, out),
            Event::Publish { source, change } => {
                let held = self.store.held();
                self.publish(now, &change, out);
                if source == Source::Service {
                    let news = self.store.held() > held;
                    let brought = if news {
                        Brought::News
                    } else {
                        Brought::Nothing
                    };
                    self.reading.end(now.mono, brought);
                    self.orders.read(now.mono);
                }
            }
            Event::ReadFailed => {
                self.reading.end(now.mono, Brought::Nothing);
            }
            Event::Vms { age, vms } => self.vms(now, age, &vms, out),
            Event::Weights {
                endpoint,
                number,
                grant,
            } => self.weights(now, (endpoint, number), grant, out),
            Event::OrderEnded {
                endpoint,
                number,
                reply,
            } => self.order_ended(now, (endpoint, number), reply, out),
            Event::Cache { .. } => self.view.heard(now.mono),
            Event::Tick => self.tick(now, out),
            Event::Drain => self.drain(now, out),
        }
    }

    fn publish(&mut self, now: Now, change: &crate::peer::Change, out: &mut Vec<Action>) {
        match self.store.apply(change) {
            Ok(()) => self.applied(now, out),
            Err(store::Error::Invalid { faults }) => {
                let lines: Vec<_> = faults.iter().map(store::Fault::to_string).collect();
                let errors = lines.join("\n");
                let revision = change.revision;
                out.push(Action::Log(Decision::Rejected { revision, errors }));
            }
            // An older, overlapping or broken change is what a lagging or faulty service or peer
            // sends; what is in force stays.
            Err(
                store::Error::Old { .. }
                | store::Error::Gap { .. }
                | store::Error::Malformed { .. },
            ) => {}
        }
    }

    fn applied(&mut self, now: Now, out: &mut Vec<Action>) {
        let config = Arc::clone(self.store.current());
        self.me = config.fleet.key(&self.options.id);
        self.reading.apply(&config, self.me);
        self.view.apply(now.mono, &config);
        self.view.assign(&config, self.me);
        self.loads.apply(&config, self.me);
        self.recent.apply(&config);
        self.limits.apply(now.mono, &config);
        self.gate.apply(&config, self.me);
        self.home.apply(now, &config, self.me);
        self.orders.apply(&config);
        self.peers.retain(|key, _| config.fleet.get(key).is_some());
        for (key, _) in config.fleet.iter() {
            if Some(key) != self.me && !self.peers.contains_key(key) {
                self.peers.insert(key, Peer::default());
            }
        }
        let revision = config.revision;
        out.push(Action::Apply { revision });
        out.push(Action::Log(Decision::Applied { revision }));
        self.refuse_removed(now, &config, out);
    }

    fn tick(&mut self, now: Now, out: &mut Vec<Action>) {
        let heard = self.peers.values().filter_map(|p| p.heard).max();
        if self.reading.begin(now.mono, heard) {
            let since = self.store.next_read();
            out.push(Action::Watch { since });
        }
        self.loads.refresh(now.mono, &self.view);
        self.tick_moves(now, out);
        self.tick_endpoints(now, out);
        self.tick_peers(now, out);
        self.tick_limits(now, out);
        self.tick_waiting(now, out);
        self.tick_later(now, out);
        self.tick_orders(now, out);
        self.tick_drain(now, out);
    }

    fn tick_moves(&mut self, now: Now, out: &mut Vec<Action>) {
        let config = Arc::clone(self.store.current());
        let scene = Scene {
            config: &config,
            view: &self.view,
            loads: &self.loads,
            now: now.mono,
        };
        for moved in self.recent.moves(scene) {
            out.push(Action::Import {
                call: None,
                prefix: moved.prefix,
                from: moved.from,
                to: moved.to,
            });
        }
    }

    fn drain(&mut self, now: Now, out: &mut Vec<Action>) {
        if self.draining.is_none() {
            self.draining = Some(now.mono);
            out.push(Action::Log(Decision::Draining {
                open: self.calls.len(),
            }));
        }
        self.tick_drain(now, out);
    }

    fn tick_drain(&mut self, now: Now, out: &mut Vec<Action>) {
        let Some(since) = self.draining else { return };
        let late = now.mono.since(since) >= self.config().policy.drain_deadline;
        if !self.exited && (self.calls.is_empty() || late) {
            self.exited = true;
            out.push(Action::Exit {
                cut: self.calls.len(),
            });
        }
    }

    fn view_age(&self, now: Now) -> Millis {
        self.view.age(now.mono)
    }
}

fn log_member(
    endpoint: EndpointKey,
    changed: Option<crate::membership::State>,
    out: &mut Vec<Action>,
) {
    if let Some(state) = changed {
        out.push(Action::Log(Decision::Member { endpoint, state }));
    }
}

/// Makes the attempt number of the n-th attempt.
const fn attempt(n: u32) -> Attempt {
    Attempt(n)
}
