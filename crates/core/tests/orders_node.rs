//! A whole node that gives an order.
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

/// `World` is one node, alone in its fleet, and engines that all answer at once.
struct World {
    node: Node,
    now: Now,
    versions: Vec<(toucanturn_core::arena::EndpointKey, Id)>,
    given: Vec<Order>,
    lines: Vec<Decision>,
}

impl World {
    /// Makes a node whose engines hold `v0` where `v1` is published.
    fn new() -> Self {
        let (node, _) = node(0.1, 1000);
        let versions = node.config().endpoints.iter();
        let versions = versions.map(|(key, _)| (key, id("v0"))).collect();
        Self {
            node,
            now: START,
            versions,
            given: Vec::new(),
            lines: Vec::new(),
        }
    }

    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now.mono < end.mono {
            self.now = self.now + TICK;
            let mut out = Vec::new();
            self.node.handle(self.now, Event::Tick, &mut out);
            let mut more = Vec::new();
            while let Some(action) = out.pop() {
                if let Some(event) = self.answer(action) {
                    self.node.handle(self.now, event, &mut more);
                    out.append(&mut more);
                }
            }
        }
    }

    fn answer(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Poll { endpoint } => {
                let (_, version) = self.versions.iter().find(|v| v.0 == endpoint)?;
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
                let held = self.versions.iter_mut().find(|v| v.0 == endpoint)?;
                held.1 = order.change.weights().1.clone();
                self.given.push(order);
                let reply = OrderOutcome::Obeyed;
                Some(Event::OrderEnded {
                    endpoint,
                    number,
                    reply,
                })
            }
            Action::Log(line) => {
                self.lines.push(line);
                None
            }
            _ => None,
        }
    }

    /// Lets the configuration service answer that there is nothing new.
    fn read(&mut self) {
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
fn verify_a_node_leads_its_engines_to_what_is_published_and_logs_it() {
    let mut world = World::new();
    let policy = world.node.config().policy.clone();
    world.run(hold_off(&policy));
    expect_that!(world.given, is_empty());
    world.run(Millis::from_secs(20));
    expect_that!(world.given, len(eq(3)));
    let change = Change::LoadVersion {
        model: id("assistant"),
        version: id("v1"),
    };
    for order in &world.given {
        expect_that!(order.change, eq(&change));
        expect_that!(order.revision, eq(Revision(1)));
    }
    let count = |is: fn(&&Decision) -> bool| world.lines.iter().filter(is).count();
    let ordered = count(|line| matches!(line, Decision::Ordered { .. }));
    expect_that!(ordered, eq(3));
    let ended = count(|line| matches!(line, Decision::OrderEnded { .. }));
    expect_that!(ended, eq(3));
}

#[gtest]
fn verify_a_woken_node_gives_no_order_before_the_platform_or_a_peer_spoke() {
    // Symptom: an engine goes back to a version that was replaced while a router slept. Sequence:
    // it wakes with its old configuration, polls the engine and sees the newer version. Cause: its
    // own configuration was not doubted.
    let mut world = World::new();
    world.run(Millis::from_secs(30));
    let before = world.given.len();
    world.now = world.now + Millis::from_secs(10);
    for held in &mut world.versions {
        held.1 = id("v2");
    }
    world.run(Millis::from_secs(30));
    expect_that!(world.given.len(), eq(before));
    // What is published is v1 still: once that is known, the engines are led back to it.
    world.read();
    world.run(Millis::from_secs(20));
    expect_that!(world.given.len(), eq(before + 3));
}
