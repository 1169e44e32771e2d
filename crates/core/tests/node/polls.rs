//! Tests of polls of reachable endpoints while many unreachable ones are probed.

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

const NEAR_ENDPOINTS: usize = 10;
const FAR_ENDPOINTS: usize = 400;

/// Publishes `NEAR_ENDPOINTS` endpoints in the node's region, `FAR_ENDPOINTS` in another, and a
/// router in each.
fn publish(node: &mut Node) {
    let router = |n: u8, data_center: &str| {
        json!({"address": format!("10.0.0.{n}:80"), "peer_address": format!("10.0.0.{n}:81"),
            "data_center": data_center})
    };
    let data_centers = json!({"be-north-1": "be-north", "cz-central-1": "cz-central"});
    let fleet = json!({"r1": router(1, "be-north-1"), "r2": router(2, "cz-central-1")});
    let endpoint = |kind: &str, n: usize| {
        let (high, low) = (n / 200, n % 200 + 1);
        let third = if kind == "near" { 100 } else { 110 + high };
        let data_center = if kind == "near" {
            "be-north-1"
        } else {
            "cz-central-1"
        };
        let published = json!({"kind": "service", "address": format!("10.1.{third}.{low}:80"),
            "data_center": data_center, "service": "orders"});
        entry(&format!("endpoints/{kind}-{n}"), 2, published)
    };
    let near = (0..NEAR_ENDPOINTS).map(|n| endpoint("near", n));
    let settings = [
        entry("policy", 2, json!({"data_centers": data_centers})),
        entry("fleet", 2, fleet),
    ];
    let far = (0..FAR_ENDPOINTS).map(|n| endpoint("far", n));
    let entries = settings.into_iter().chain(near).chain(far).collect();
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

/// Delivers one summary in which the other region's router reports all of its endpoints as reached.
fn deliver_far_summary(node: &mut Node) {
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
    // Guards against a region's engines that get no work while another region is cut off: hundreds
    // of endpoints are down and probed again and again, polls and probes share one limit, probes
    // come first, and an endpoint that is not polled no longer counts as confirmed.
    let mut node = node("r1", 1, 7, &mut Vec::new());
    publish(&mut node);
    deliver_far_summary(&mut node);
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
    expect_that!(live.count(), eq(NEAR_ENDPOINTS));
}
