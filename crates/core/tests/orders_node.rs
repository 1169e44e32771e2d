//! Orders that a whole node sends to its engines.
#![expect(clippy::expect_used, reason = "a wrong setup is a fault of the test")]

use std::sync::Arc;

use googletest::prelude::*;
use toucanturn_core::{
    action::{
        Action,
        Decision, //
    },
    event::{
        Event,
        Report,
        Source,
        TICK, //
    },
    ids::Id,
    node::Node,
    orders::{
        Change,
        Loaded,
        Order,
        OrderOutcome,
        TokenReply,
        hold_off, //
    },
    peer,
    units::{
        Incarnation,
        Millis,
        Now,
        Revision, //
    },
};

#[path = "membership/rig.rs"]
mod rig;
use rig::*;

fn id(name: &str) -> Id {
    Id::try_from(name).expect("a name")
}

/// `SingleNode` is a node alone in its fleet, with engines that all answer at once.
struct SingleNode {
    node: Node,
    now: Now,
    /// The version that each engine holds.
    engine_versions: Vec<(toucanturn_core::arena::EndpointKey, Id)>,
    sent_orders: Vec<Order>,
    /// What the node logged.
    decisions: Vec<Decision>,
}

impl SingleNode {
    /// Makes a node whose engines hold `v0` where `v1` is published.
    fn new() -> Self {
        let (node, _) = node(0.1, 1000);
        let endpoints = node.config().endpoints.iter();
        let engine_versions = endpoints.map(|(key, _)| (key, id("v0"))).collect();
        Self {
            node,
            now: START,
            engine_versions,
            sent_orders: Vec::new(),
            decisions: Vec::new(),
        }
    }

    /// Advances time by `span` and answers what the node asks for.
    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now.mono < end.mono {
            self.now = self.now + TICK;
            let mut out = Vec::new();
            self.node.handle(self.now, Event::Tick, &mut out);
            let mut new_actions = Vec::new();
            while let Some(action) = out.pop() {
                if let Some(event) = self.respond(action) {
                    self.node.handle(self.now, event, &mut new_actions);
                    out.append(&mut new_actions);
                }
            }
        }
    }

    /// Carries out an action; returns the event that answers it, if any.
    fn respond(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Poll { endpoint } => {
                let (_, version) = self.engine_versions.iter().find(|v| v.0 == endpoint)?;
                let loaded = Loaded {
                    models: vec![id("assistant")],
                    version: Some(version.clone()),
                    fence: 0,
                };
                let report = Some(Report {
                    incarnation: Incarnation(1),
                    loaded: Some(Arc::new(loaded)),
                    ..Report::default()
                });
                Some(Event::Polled { endpoint, report })
            }
            Action::AskWeights {
                endpoint, number, ..
            } => {
                let grant = TokenReply::Token;
                Some(Event::Weights {
                    endpoint,
                    number,
                    grant,
                })
            }
            Action::Order { endpoint, order } => {
                let number = order.number;
                let engine = self.engine_versions.iter_mut().find(|v| v.0 == endpoint)?;
                engine.1 = order.change.weights().1.clone();
                self.sent_orders.push(order);
                let reply = OrderOutcome::Obeyed;
                Some(Event::OrderEnded {
                    endpoint,
                    number,
                    reply,
                })
            }
            Action::Log(decision) => {
                self.decisions.push(decision);
                None
            }
            _ => None,
        }
    }

    /// Passes on an answer of the configuration service that the revision in force is the newest.
    fn confirm_revision(&mut self) {
        let revision = self.node.config().revision;
        let change = peer::Change {
            since: revision,
            revision,
            ..peer::Change::default()
        };
        let source = Source::Service;
        let event = Event::Publish { source, change };
        self.node.handle(self.now, event, &mut Vec::new());
    }
}

#[gtest]
fn verify_a_node_orders_the_published_version_and_logs_each_order() {
    let mut sim = SingleNode::new();
    let policy = sim.node.config().policy.clone();
    sim.run(hold_off(&policy));
    expect_that!(sim.sent_orders, is_empty());
    sim.run(Millis::from_secs(20));
    expect_that!(sim.sent_orders, len(eq(3)));
    let change = Change::LoadVersion {
        model: id("assistant"),
        version: id("v1"),
    };
    for order in &sim.sent_orders {
        expect_that!(order.change, eq(&change));
        expect_that!(order.revision, eq(Revision(1)));
    }
    let count = |matches: fn(&&Decision) -> bool| sim.decisions.iter().filter(matches).count();
    let ordered = count(|d| matches!(d, Decision::Ordered { .. }));
    expect_that!(ordered, eq(3));
    let ended = count(|d| matches!(d, Decision::OrderEnded { .. }));
    expect_that!(ended, eq(3));
}

#[gtest]
fn verify_a_resumed_node_sends_no_order_before_the_service_or_a_peer_answers() {
    // Guards against an engine that returns to a version replaced while a router was paused: the
    // router resumes with its old configuration, sees the newer version in a poll and orders the
    // version of its own configuration, which it takes for current.
    let mut sim = SingleNode::new();
    sim.run(Millis::from_secs(30));
    let sent_before = sim.sent_orders.len();
    sim.now = sim.now + Millis::from_secs(10);
    for engine in &mut sim.engine_versions {
        engine.1 = id("v2");
    }
    sim.run(Millis::from_secs(30));
    expect_that!(sim.sent_orders.len(), eq(sent_before));
    // The published version is still v1: once the node knows, it orders the engines back to it.
    sim.confirm_revision();
    sim.run(Millis::from_secs(20));
    expect_that!(sim.sent_orders.len(), eq(sent_before + 3));
}
