//! Tests of a complete node after its process was paused.

use googletest::prelude::*;
use toucanturn_core::{
    action::Action,
    arena::EndpointKey,
    event::{
        Event,
        Report,
        TICK, //
    },
    membership::wake,
    node::Node,
    request::{
        Call,
        Code,
        Outcome,
        Prefix,
        Request,
        Work, //
    },
    units::{
        Incarnation,
        Millis,
        Now, //
    },
};

#[path = "membership/rig.rs"]
mod rig;
use rig::*;

fn polled(endpoint: EndpointKey, leaving: bool) -> Event {
    let report = Some(Report {
        incarnation: Incarnation(1),
        leaving,
        ..Report::default()
    });
    Event::Polled { endpoint, report }
}

/// Ticks the node and answers the polls that it sends. `leaves` returns whether an endpoint reports
/// that it is leaving, or `None` for no answer.
fn tick(node: &mut Node, now: Now, leaves: impl Fn(EndpointKey) -> Option<bool>) -> Vec<Action> {
    let mut out = Vec::new();
    node.handle(now, Event::Tick, &mut out);
    let mut actions = Vec::new();
    for action in out {
        if let Action::Poll { endpoint } = action
            && let Some(leaving) = leaves(endpoint)
        {
            node.handle(now, polled(endpoint, leaving), &mut actions);
        }
        actions.push(action);
    }
    actions
}

fn send_chats(node: &mut Node, now: Now, request: &Request, out: &mut Vec<Action>) {
    for n in 0..100 {
        let mut request = request.clone();
        request.deadline = now.mono + Millis(5000);
        if let Work::Chat { prefix, .. } = &mut request.work {
            *prefix = Prefix(n);
        }
        let call = Call(n);
        node.handle(now, Event::Request { call, request }, out);
    }
}

fn dispatch_targets(actions: &[Action]) -> Vec<EndpointKey> {
    let target = |action: &Action| match action {
        Action::Dispatch { endpoint, .. } => Some(*endpoint),
        _ => None,
    };
    actions.iter().filter_map(target).collect()
}

/// Creates a node that ran for a second and was then paused for ten. The returned endpoint is the
/// one that is to leave.
fn node_after_a_pause() -> (Node, Request, Now, EndpointKey) {
    let (mut node, request) = node(0.1, 1000);
    let mut now = START;
    for _ in 0..20 {
        now = now + TICK;
        tick(&mut node, now, |_| Some(false));
    }
    let leaving_endpoint = node.config().endpoints.iter().next();
    let leaving_endpoint = leaving_endpoint.map(|(key, _)| key).unwrap_or_default();
    (node, request, now + Millis(10_000), leaving_endpoint)
}

#[googletest::test]
fn verify_node_polls_before_it_dispatches_and_queues_calls_after_a_pause() {
    // Guards against chats at an engine that began to leave while the router was paused: the router
    // resumes, reads requests and a poll answer that were waiting, and places the chats by a view
    // whose age is not compared with the clock.
    let (mut node, request, mut now, leaving_endpoint) = node_after_a_pause();
    let mut out = Vec::new();
    send_chats(&mut node, now, &request, &mut out);
    node.handle(now, polled(leaving_endpoint, false), &mut out);
    out.extend(tick(&mut node, now, |_| Some(false)));
    expect_that!(dispatch_targets(&out), is_empty());
    let resumed = now;
    while dispatch_targets(&out).is_empty() && now.mono.since(resumed.mono) < Millis(1000) {
        now = now + TICK;
        out.extend(tick(&mut node, now, |key| Some(key == leaving_endpoint)));
    }
    println!(
        "{} ms from resuming to the first dispatch",
        now.mono.since(resumed.mono).0
    );
    expect_that!(now.mono.since(resumed.mono), le(wake::SETTLE_TIME + TICK));
    expect_that!(dispatch_targets(&out), len(eq(100)));
    expect_that!(dispatch_targets(&out), not(contains(eq(&leaving_endpoint))));
}

#[googletest::test]
fn verify_node_that_reaches_no_endpoint_after_a_pause_refuses_calls_as_not_run() {
    let (mut node, request, mut now, _) = node_after_a_pause();
    let mut out = Vec::new();
    send_chats(&mut node, now, &request, &mut out);
    for _ in 0..20 {
        now = now + TICK;
        out.extend(tick(&mut node, now, |_| None));
    }
    expect_that!(dispatch_targets(&out), is_empty());
    let refused = |action: &&Action| {
        matches!(action, Action::Refuse { refusal, .. }
            if refusal.code == Code::NoEndpoint && refusal.outcome == Outcome::NotRun)
    };
    expect_that!(out.iter().filter(refused).count(), eq(100));
}
