//! Polls of endpoints that are well, beside probes of many that are lost.

use googletest::prelude::*;
use serde_json::json;
use toucanturn_core::{
    action::Action,
    arena::EndpointKey,
    config::Endpoint,
    event::{
        Event,
        Report,
        Source,
        TICK, //
    },
    ids::Id,
    membership::State,
    node::Node,
    peer::{
        self,
        Change,
        Message,
        Summary, //
    },
    units::{
        Incarnation,
        Millis,
        Revision, //
    },
};

use crate::fixture::{
    NOW,
    entry,
    node, //
};

const NEAR: usize = 10;
const FAR: usize = 400;

/// Publishes `NEAR` endpoints of the own region, `FAR` of another, and a router in each.
fn publish(node: &mut Node) {
    let router = |n: u8, place: &str| {
        json!({"address": format!("10.0.0.{n}:80"), "peer_address": format!("10.0.0.{n}:81"),
            "data_center": place})
    };
    let places = json!({"be-north-1": "be-north", "cz-central-1": "cz-central"});
    let fleet = json!({"r1": router(1, "be-north-1"), "r2": router(2, "cz-central-1")});
    let endpoint = |kind: &str, n: usize| {
        let (high, low) = (n / 200, n % 200 + 1);
        let third = if kind == "near" { 100 } else { 110 + high };
        let place = if kind == "near" {
            "be-north-1"
        } else {
            "cz-central-1"
        };
        let about = json!({"kind": "service", "address": format!("10.1.{third}.{low}:80"),
            "data_center": place, "service": "orders"});
        entry(&format!("endpoints/{kind}-{n}"), 2, about)
    };
    let near = (0..NEAR).map(|n| endpoint("near", n));
    let rules = [
        entry("policy", 2, json!({"data_centers": places})),
        entry("fleet", 2, fleet),
    ];
    let far = (0..FAR).map(|n| endpoint("far", n));
    let entries = rules.into_iter().chain(near).chain(far).collect();
    let change = Change {
        since: Revision(1),
        revision: Revision(2),
        entries,
        floor: None,
    };
    let source = Source::Service;
    node.handle(NOW, Event::Publish { source, change }, &mut Vec::new());
}

fn is_near(node: &Node, endpoint: EndpointKey) -> bool {
    let config = node.config();
    let found = config.endpoints.get(endpoint);
    found.is_some_and(|e| e.id.as_str().starts_with("near"))
}

/// Has the other region's router tell once that its endpoints are well.
fn hear(node: &mut Node) {
    let config = node.config();
    let far = config
        .endpoints
        .iter()
        .filter(|(key, _)| !is_near(node, *key));
    let report = |(_, e): (EndpointKey, &std::sync::Arc<Endpoint>)| peer::Report {
        endpoint: e.tag,
        incarnation: Incarnation(1),
        in_flight: 0,
        queued: 0,
        age: Millis(0),
    };
    let summary = Summary {
        revision: Revision(2),
        reports: far.map(report).collect(),
        ..Summary::default()
    };
    let from = config.fleet.key(&Id::try_from("r2").unwrap()).unwrap();
    let incarnation = Incarnation(1);
    let message = Message::Summary(summary);
    let event = Event::Peer {
        from,
        incarnation,
        message,
    };
    node.handle(NOW, event, &mut Vec::new());
}

#[gtest]
fn verify_lost_endpoints_take_no_polls_from_those_that_are_well() {
    // Symptom: a region's engines get no work while another region is cut off.
    // Sequence: hundreds of endpoints are down and probed again and again; polls and probes share
    // one bound.
    // Cause: probes came first, so polls waited, and what is not polled counts as not sure to stay.
    let mut node = node("r1", 1, 7, &mut Vec::new());
    publish(&mut node);
    hear(&mut node);
    let mut now = NOW;
    while now.mono < NOW.mono + Millis::from_secs(60) {
        now = now + TICK;
        let mut out = Vec::new();
        node.handle(now, Event::Tick, &mut out);
        for action in out {
            let event = match action {
                Action::Poll { endpoint } if is_near(&node, endpoint) => Event::Polled {
                    endpoint,
                    report: Some(Report::default()),
                },
                Action::Poll { endpoint } => Event::Polled {
                    endpoint,
                    report: None,
                },
                Action::Probe { endpoint } => Event::Probed {
                    endpoint,
                    answered: is_near(&node, endpoint),
                },
                _ => continue,
            };
            node.handle(now, event, &mut Vec::new());
        }
    }
    let config = node.config();
    let state = |(key, _)| node.view().state(now.mono, key);
    let live = config
        .endpoints
        .iter()
        .map(state)
        .filter(|s| *s == State::Live);
    expect_that!(live.count(), eq(NEAR));
}
