//! A whole node that wakes up late.

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

/// Lets one tick pass and answers the polls it sends, as `leaves` says; `None`: no answer.
fn tick(node: &mut Node, now: Now, leaves: impl Fn(EndpointKey) -> Option<bool>) -> Vec<Action> {
    let mut out = Vec::new();
    node.handle(now, Event::Tick, &mut out);
    let mut done = Vec::new();
    for action in out {
        if let Action::Poll { endpoint } = action
            && let Some(leaving) = leaves(endpoint)
        {
            node.handle(now, polled(endpoint, leaving), &mut done);
        }
        done.push(action);
    }
    done
}

fn chats(node: &mut Node, now: Now, request: &Request, out: &mut Vec<Action>) {
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

fn targets(actions: &[Action]) -> Vec<EndpointKey> {
    let target = |action: &Action| match action {
        Action::Dispatch { endpoint, .. } => Some(*endpoint),
        _ => None,
    };
    actions.iter().filter_map(target).collect()
}

/// Makes a node that ran for a second and then slept for ten.
fn woken() -> (Node, Request, Now, EndpointKey) {
    let (mut node, request) = node(0.1, 1000);
    let mut now = START;
    for _ in 0..20 {
        now = now + TICK;
        tick(&mut node, now, |_| Some(false));
    }
    let gone = node.config().endpoints.iter().next();
    let gone = gone.map(|(key, _)| key).unwrap_or_default();
    (node, request, now + Millis(10_000), gone)
}

#[googletest::test]
fn verify_woken_node_asks_before_it_sends_and_keeps_calls_waiting() {
    // Symptom: chats went to an engine that had begun to leave while the router slept. Sequence:
    // it wakes, reads requests and a poll's answer that waited, and places them by its old view.
    // Cause: nothing compared the age of the view with the clock.
    let (mut node, request, mut now, gone) = woken();
    let mut out = Vec::new();
    chats(&mut node, now, &request, &mut out);
    node.handle(now, polled(gone, false), &mut out);
    out.extend(tick(&mut node, now, |_| Some(false)));
    expect_that!(targets(&out), is_empty());
    let woke = now;
    while targets(&out).is_empty() && now.mono.since(woke.mono) < Millis(1000) {
        now = now + TICK;
        out.extend(tick(&mut node, now, |key| Some(key == gone)));
    }
    println!("{} ms until work goes on", now.mono.since(woke.mono).0);
    expect_that!(now.mono.since(woke.mono), le(wake::SETTLE_TIME + TICK));
    expect_that!(targets(&out), len(eq(100)));
    expect_that!(targets(&out), not(contains(eq(&gone))));
}

#[googletest::test]
fn verify_woken_node_that_reaches_nobody_refuses_soon_and_truly() {
    let (mut node, request, mut now, _) = woken();
    let mut out = Vec::new();
    chats(&mut node, now, &request, &mut out);
    for _ in 0..20 {
        now = now + TICK;
        out.extend(tick(&mut node, now, |_| None));
    }
    expect_that!(targets(&out), is_empty());
    let refused = |action: &&Action| {
        matches!(action, Action::Refuse { refusal, .. }
            if refusal.code == Code::NoEndpoint && refusal.outcome == Outcome::NotRun)
    };
    expect_that!(out.iter().filter(refused).count(), eq(100));
}
