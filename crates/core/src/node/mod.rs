//! The decision logic of one router as a state machine: it takes events with their times and
//! returns actions.
//!
//! [`Node`] owns one component per concern (configuration, membership, load, limits, idempotency
//! keys, retries) and passes each event to those that it affects. It does no I/O: the driver
//! carries out the actions and reports their results as events.

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
    load::LoadTable,
    membership::{
        Observation,
        View, //
    },
    once::Home,
    orders::OrderScheduler,
    overload::AdmissionController,
    place::{
        PlacementContext,
        moves::RecentChats, //
    },
    request::{
        Attempt,
        Call,
        Request, //
    },
    retry::RetryBudget,
    units::{
        Incarnation,
        Millis,
        Now,
        Revision,
        Time, //
    },
};

mod calls;
mod completion;
mod config_reads;
mod endpoints;
mod once;
mod orders;
mod peers;
mod retries;

use config_reads::{
    ConfigReads,
    ReadResult, //
};

/// `Options` is the identity of a node and the seed of its random numbers.
#[derive(Clone, Debug)]
pub struct Options {
    /// The router's name in the published fleet list.
    pub id: Id,
    /// Number of this run of the process; greater than that of any earlier run.
    pub incarnation: Incarnation,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// `Peer` is the state that a node keeps about another router.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    revision: Revision,
    /// When its last message arrived.
    last_heard: Option<Time>,
}

/// `OpenCall` is the state of a call in progress.
#[derive(Clone, Debug)]
struct OpenCall {
    request: Request,
    stage: Stage,
    attempts: u32,
    tried: Vec<EndpointKey>,
    /// Whether bytes of an attempt may have reached an endpoint, which rules out the outcome "not
    /// run".
    may_have_reached: bool,
    /// When the last attempt was sent; before the first attempt, when the call arrived.
    last_sent: Time,
}

/// `Stage` is what an open call waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// A grant from the workspace's home.
    Admission,
    /// The answer from the home of the call's idempotency key.
    Forwarded,
    /// The answer to an earlier request with the same key; this router is the key's home.
    WaitingForFirst,
    /// The response of an endpoint.
    Dispatched {
        endpoint: EndpointKey,
        /// The endpoint's incarnation when the attempt was sent, as far as known.
        incarnation: Incarnation,
    },
    /// The time of the next placement: the end of a backoff, or the next tick while the view of
    /// endpoints is confirmed after a pause of the process.
    Delayed { at: Time },
}

/// `Node` is the state of one router.
#[derive(Debug)]
pub struct Node {
    options: Options,
    rng: StdRng,
    store: Store,
    me: Option<RouterKey>,
    view: View,
    loads: LoadTable,
    recent: RecentChats,
    limits: Limits,
    gate: AdmissionController,
    home: Home,
    budget: RetryBudget,
    orders: OrderScheduler,
    peers: SecondaryMap<RouterKey, Peer>,
    calls: IndexMap<Call, OpenCall>,
    /// Reports of polls since the last summary, with the times at which they arrived.
    polled_reports: SecondaryMap<EndpointKey, (Time, Report)>,
    last_vm_read: Time,
    last_summary: Time,
    /// Whether a summary is due before the regular interval ends.
    summary_due: bool,
    started: Time,
    config_reads: ConfigReads,
    /// Whether a peer has answered a pull, or this node has stopped waiting for one.
    synced: bool,
    draining_since: Option<Time>,
    exited: bool,
}

impl Node {
    /// Makes a node without a configuration.
    pub fn new(options: Options, now: Now) -> Self {
        let rng = StdRng::seed_from_u64(options.seed);
        let home = Home::new(now, options.incarnation);
        let config_reads = ConfigReads::new(options.seed);
        Self {
            options,
            rng,
            store: Store::default(),
            me: None,
            view: View::default(),
            loads: LoadTable::default(),
            recent: RecentChats::default(),
            limits: Limits::default(),
            gate: AdmissionController::default(),
            home,
            budget: RetryBudget::default(),
            orders: OrderScheduler::default(),
            peers: SecondaryMap::new(),
            calls: IndexMap::new(),
            polled_reports: SecondaryMap::new(),
            last_vm_read: Time(0),
            last_summary: now.mono,
            summary_due: false,
            started: now.mono,
            config_reads,
            synced: false,
            draining_since: None,
            exited: false,
        }
    }

    /// Gets the configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        self.store.current()
    }

    /// Gets this router's key in the fleet; `None` while the published fleet list lacks it.
    pub fn me(&self) -> Option<RouterKey> {
        self.me
    }

    /// Gets the incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.options.incarnation
    }

    /// Gets the membership view of the endpoints.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Gets the load estimates of the endpoints.
    pub fn loads(&self) -> &LoadTable {
        &self.loads
    }

    /// Gets the number of calls in progress.
    pub fn open(&self) -> usize {
        self.calls.len()
    }

    /// Tells whether this router is ready for callers: a configuration is in force, peers have been
    /// asked for a newer one, and the router is not draining.
    pub fn ready(&self) -> bool {
        self.synced && self.draining_since.is_none() && self.store.current().revision > Revision(0)
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Now, event: Event, out: &mut Vec<Action>) {
        if self.view.advance(now.mono).is_some() {
            self.orders.woke(now.mono);
        }
        match event {
            Event::Request { call, request } => self.handle_request(now, call, request, out),
            Event::Head {
                call,
                attempt,
                in_flight,
                leaving,
                incarnation,
            } => {
                let _ = attempt;
                self.update_load_from_head(now, call, in_flight);
                self.handle_response_head(now, call, leaving, incarnation, out);
            }
            Event::Ended { call, attempt, end } => {
                self.handle_attempt_end(now, call, attempt, end, out)
            }
            Event::ForwardFailed { call, sent: _ } => self.handle_forward_failure(now, call, out),
            Event::ForwardDone {
                call,
                outcome,
                refusal,
            } => self.handle_forward_done(now, call, (outcome, refusal), out),
            Event::Gone { call } => self.handle_caller_disconnect(now, call, out),
            Event::Polled { endpoint, report } => {
                self.handle_poll_result(now, endpoint, report, out)
            }
            Event::Probed { endpoint, answered } => {
                let contact = if answered {
                    Observation::Reached
                } else {
                    Observation::Unreached
                };
                let changed = self.view.seen(now.mono, endpoint, contact);
                log_member(endpoint, changed, out);
            }
            Event::Peer {
                from,
                incarnation,
                message,
            } => {
                self.handle_peer_message(now, from, incarnation, message, out);
            }
            Event::PeerFailed { router } => self.handle_peer_failure(now, router, out),
            Event::Publish { source, change } => {
                let held_before = self.store.held();
                self.apply_change(now, &change, out);
                if source == Source::Service {
                    let is_newer = self.store.held() > held_before;
                    let result = if is_newer {
                        ReadResult::NewRevision
                    } else {
                        ReadResult::NoChange
                    };
                    self.config_reads.end(now.mono, result);
                    self.orders.read(now.mono);
                }
            }
            Event::ReadFailed => {
                self.config_reads.end(now.mono, ReadResult::NoChange);
            }
            Event::Vms { age, vms } => self.handle_vm_list(now, age, &vms, out),
            Event::Weights {
                endpoint,
                number,
                grant,
            } => self.handle_weight_grant(now, (endpoint, number), grant, out),
            Event::OrderEnded {
                endpoint,
                number,
                reply,
            } => self.handle_order_end(now, (endpoint, number), reply, out),
            Event::Cache { .. } => self.view.heard(now.mono),
            Event::Tick => self.tick(now, out),
            Event::Drain => self.start_drain(now, out),
        }
    }

    fn apply_change(&mut self, now: Now, change: &crate::peer::Change, out: &mut Vec<Action>) {
        match self.store.apply(change) {
            Ok(()) => self.config_applied(now, out),
            Err(store::Error::Invalid { faults }) => {
                let lines: Vec<_> = faults.iter().map(store::Fault::to_string).collect();
                let errors = lines.join("\n");
                let revision = change.revision;
                out.push(Action::Log(Decision::Rejected { revision, errors }));
            }
            // A lagging or faulty service or peer sends old, overlapping or malformed changes; the
            // configuration in force stays.
            Err(
                store::Error::Old { .. }
                | store::Error::Gap { .. }
                | store::Error::Malformed { .. },
            ) => {}
        }
    }

    fn config_applied(&mut self, now: Now, out: &mut Vec<Action>) {
        let config = Arc::clone(self.store.current());
        self.me = config.fleet.key(&self.options.id);
        self.config_reads.apply(&config, self.me);
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
        let last_heard = self.peers.values().filter_map(|p| p.last_heard).max();
        if self.config_reads.begin(now.mono, last_heard) {
            let since = self.store.next_read();
            out.push(Action::Watch { since });
        }
        self.loads.refresh(now.mono, &self.view);
        self.tick_moves(now, out);
        self.tick_endpoints(now, out);
        self.tick_peers(now, out);
        self.tick_limits(now, out);
        self.expire_waiting(now, out);
        self.dispatch_delayed(now, out);
        self.tick_orders(now, out);
        self.tick_drain(now, out);
    }

    fn tick_moves(&mut self, now: Now, out: &mut Vec<Action>) {
        let config = Arc::clone(self.store.current());
        let scene = PlacementContext {
            config: &config,
            view: &self.view,
            loads: &self.loads,
            now: now.mono,
        };
        for prefix_move in self.recent.moves(scene) {
            out.push(Action::Import {
                call: None,
                prefix: prefix_move.prefix,
                from: prefix_move.from,
                to: prefix_move.to,
            });
        }
    }

    fn start_drain(&mut self, now: Now, out: &mut Vec<Action>) {
        if self.draining_since.is_none() {
            self.draining_since = Some(now.mono);
            out.push(Action::Log(Decision::Draining {
                open: self.calls.len(),
            }));
        }
        self.tick_drain(now, out);
    }

    fn tick_drain(&mut self, now: Now, out: &mut Vec<Action>) {
        let Some(t) = self.draining_since else { return };
        let expired = now.mono.since(t) >= self.config().policy.drain_deadline;
        if !self.exited && (self.calls.is_empty() || expired) {
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

const fn nth_attempt(n: u32) -> Attempt {
    Attempt(n)
}
