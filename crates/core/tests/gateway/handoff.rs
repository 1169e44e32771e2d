//! Requests that a router hands to a peer: when, to whom, and what is counted where.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use bytes::Bytes;
use googletest::prelude::*;
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Gateway, Ticket,
        endpoint::Endpoint,
        handoff::{
            Grant,
            MAX_PEERS,
            PeerReport, //
        },
        origin::Origin,
        outcome::{
            AttemptOutcome,
            NextStep, //
        },
        refusal::Cause,
    },
    ids::Tag,
    units::{
        Millis,
        Time, //
    },
};

use crate::fixture::{
    catalog_change,
    gateway,
    request, //
};

fn peer(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, number), 7000)
}

fn admitted(gateway: &mut Gateway, at: Time, path: &str) -> Ticket {
    gateway.admit(at, &request(path)).expect("admitted")
}

/// Lets requests fail at endpoints until the service counts as not reached.
fn cut_off(gateway: &mut Gateway, at: Time) {
    while gateway.reach().outage(b"engines").is_none() {
        let mut ticket = admitted(gateway, at, "/read/x");
        let endpoint = place(gateway, at, &ticket);
        gateway.connecting(at, &mut ticket);
        gateway.unreached(at, &mut ticket, endpoint);
    }
}

fn place(gateway: &mut Gateway, at: Time, ticket: &Ticket) -> EndpointKey {
    let placed = gateway.place(at, ticket, &request("/read/x"));
    placed.expect("an endpoint").endpoint
}

/// Makes a router with peers that reaches no endpoint.
fn cut_off_gateway(endpoints: u8, peers: u8) -> Gateway {
    let mut gateway = gateway(endpoints);
    gateway.update_peers((0..peers).map(peer));
    cut_off(&mut gateway, Time(100));
    gateway
}

fn tags(gateway: &Gateway) -> Vec<Tag> {
    let all = gateway.registry().of(b"engines");
    all.map(|(_, e)| Endpoint::tag(e)).collect()
}

#[gtest]
fn verify_a_router_that_reaches_its_endpoints_hands_nothing_off() {
    let mut gateway = gateway(4);
    gateway.update_peers((0..3).map(peer));
    let ticket = admitted(&mut gateway, Time(100), "/read/x");
    expect_that!(gateway.hand_off(Time(100), &ticket), none());
}

/// Guards against hand-offs of requests that a second endpoint serves at once: one endpoint has ended and refuses
/// connections.
#[gtest]
fn verify_an_endpoint_that_refuses_is_no_reason_to_hand_off() {
    let mut gateway = gateway(9);
    gateway.update_peers((0..3).map(peer));
    let mut ticket = admitted(&mut gateway, Time(100), "/read/x");
    let endpoint = place(&mut gateway, Time(100), &ticket);
    gateway.connecting(Time(100), &mut ticket);
    gateway.unreached(Time(102), &mut ticket, endpoint);
    expect_that!(gateway.hand_off(Time(102), &ticket), none());
}

/// Guards against a quiet router that waits for one hanging connection after the other.
#[gtest]
fn verify_a_request_whose_connection_hung_is_handed_off_if_nothing_was_heard_meanwhile() {
    for heard in [true, false] {
        let mut gateway = gateway(9);
        gateway.update_peers((0..3).map(peer));
        let mut ticket = admitted(&mut gateway, Time(100), "/once/x");
        let endpoint = place(&mut gateway, Time(100), &ticket);
        gateway.connecting(Time(100), &mut ticket);
        let other = place(&mut gateway, Time(100), &ticket);
        if heard {
            gateway.heard(Time(300), other, Time(0));
        }
        let next = gateway.unreached(Time(500), &mut ticket, endpoint);
        expect_that!(next, eq(NextStep::Again));
        let handed = gateway.hand_off(Time(500), &ticket).is_some();
        expect_that!(handed, eq(!heard));
    }
}

#[gtest]
fn verify_requests_of_an_unreached_service_are_spread_over_the_peers_that_reach_it() {
    let mut gateway = cut_off_gateway(4, 10);
    for number in 0..5 {
        gateway.record_peer_unreached(Time(150), peer(number), &[0]);
    }
    let mut taken = [0_u32; 10];
    for _ in 0..200 {
        let mut ticket = admitted(&mut gateway, Time(200), "/read/x");
        let chosen = gateway.hand_off(Time(200), &ticket).expect("a peer");
        gateway.handed_off(Time(200), &mut ticket, chosen);
        taken[usize::from(chosen.ip().octets()[3])] += 1;
    }
    expect_that!(taken[..5], each(eq(&0)));
    expect_that!(taken[5..], each(all!(ge(&20), le(&60))));
}

#[gtest]
fn verify_what_a_peer_says_of_its_reach_expires_and_is_replaced() {
    let mut gateway = cut_off_gateway(4, 1);
    let ticket = admitted(&mut gateway, Time(200), "/read/x");
    gateway.record_peer_unreached(Time(150), peer(0), &[0]);
    expect_that!(gateway.hand_off(Time(200), &ticket), none());
    gateway.record_peer_unreached(Time(250), peer(0), &[1]);
    expect_that!(gateway.hand_off(Time(250), &ticket), some(eq(peer(0))));
    gateway.record_peer_unreached(Time(300), peer(0), &[0]);
    expect_that!(gateway.hand_off(Time(300), &ticket), none());
    let late = admitted(&mut gateway, Time(4500), "/read/x");
    gateway.record_registry_read(Time(5400), Time(5400));
    let late = Ticket {
        until: Time(9000),
        ..late
    };
    expect_that!(gateway.hand_off(Time(5400), &late), some(anything()));
}

/// Guards against two routers that are cut off and send a request to each other for ever.
#[gtest]
fn verify_a_request_of_a_peer_is_never_handed_on() {
    let mut gateway = cut_off_gateway(4, 3);
    let grant = Grant {
        version: 1,
        time_left: Millis(2000),
        attempts: 2,
        ..Grant::default()
    };
    let ticket = gateway.admit_from_peer(Time(200), &request("/read/x"), &grant);
    let ticket = ticket.expect("admitted");
    expect_that!(gateway.hand_off(Time(200), &ticket), none());
    let refused = gateway.place(Time(200), &ticket, &request("/read/x"));
    let refused = refused.expect_err("refused");
    expect_that!(refused.cause, eq(Cause::Unreached));
    expect_false!(refused.may_have_run);
}

#[gtest]
fn verify_a_request_is_sent_to_a_bounded_number_of_peers_each_once() {
    let mut gateway = cut_off_gateway(4, 20);
    let mut ticket = admitted(&mut gateway, Time(200), "/once/x");
    let mut used = Vec::new();
    while let Some(chosen) = gateway.hand_off(Time(200), &ticket) {
        used.push(chosen);
        gateway.handed_off(Time(200), &mut ticket, chosen);
        let report = PeerReport {
            tried: Vec::new(),
            refused: Some(Cause::Unreached),
            build: None,
        };
        let ended = gateway.hand_off_ended(
            Time(201),
            &mut ticket,
            chosen,
            AttemptOutcome::Rejected,
            Some(&report),
        );
        expect_that!(ended, eq(NextStep::Again));
    }
    expect_that!(used.len(), eq(MAX_PEERS));
    used.sort();
    used.dedup();
    expect_that!(used.len(), eq(MAX_PEERS));
    expect_false!(ticket.may_have_run);
    expect_that!(ticket.attempts(), eq(0));
}

/// Guards against waiting for three hanging connections where nobody can help.
#[gtest]
fn verify_a_request_is_given_up_after_one_hanging_connection_if_no_router_reaches_the_service() {
    let mut gateway = cut_off_gateway(4, 0);
    let mut ticket = admitted(&mut gateway, Time(200), "/once/x");
    let endpoint = place(&mut gateway, Time(200), &ticket);
    gateway.connecting(Time(200), &mut ticket);
    let next = gateway.unreached(Time(600), &mut ticket, endpoint);
    expect_that!(next, eq(NextStep::GiveUp));
    expect_false!(ticket.may_have_run);
}

/// Guards against running a call twice: the connection to the peer broke, and the peer may have sent it on.
#[gtest]
fn verify_a_call_whose_peer_broke_off_is_not_sent_again() {
    for (path, outcome) in [
        ("/once/x", AttemptOutcome::Broken),
        ("/once/x", AttemptOutcome::Stalled),
        ("/read/x", AttemptOutcome::Broken),
    ] {
        let mut gateway = cut_off_gateway(4, 5);
        let mut ticket = admitted(&mut gateway, Time(200), path);
        let chosen = gateway.hand_off(Time(200), &ticket).expect("a peer");
        gateway.handed_off(Time(200), &mut ticket, chosen);
        let next = gateway.hand_off_ended(Time(300), &mut ticket, chosen, outcome, None);
        expect_that!(next, eq(NextStep::GiveUp), "{path}");
        expect_true!(ticket.may_have_run);
        expect_that!(ticket.attempts(), eq(2), "all attempts may be used up");
    }
}

#[gtest]
fn verify_attempts_of_a_peer_count_as_those_of_the_request() {
    let mut gateway = cut_off_gateway(4, 5);
    let known = tags(&gateway);
    let mut ticket = admitted(&mut gateway, Time(200), "/read/x");
    let chosen = gateway.hand_off(Time(200), &ticket).expect("a peer");
    gateway.handed_off(Time(200), &mut ticket, chosen);
    let report = PeerReport {
        tried: vec![known[0]],
        refused: Some(Cause::EndpointFailed),
        build: None,
    };
    let next = gateway.hand_off_ended(
        Time(300),
        &mut ticket,
        chosen,
        AttemptOutcome::Broken,
        Some(&report),
    );
    expect_that!(next, eq(NextStep::Again), "one attempt of two is left");
    let grant = gateway.grant(Time(300), &ticket, None);
    expect_that!(grant.attempts, eq(1));
    expect_true!(grant.retry);
    expect_that!(grant.tried, eq(&vec![known[0]]));
    let other = gateway.hand_off(Time(300), &ticket).expect("another peer");
    gateway.handed_off(Time(300), &mut ticket, other);
    let report = PeerReport {
        tried: vec![Tag(4711)],
        ..report
    };
    let next = gateway.hand_off_ended(
        Time(400),
        &mut ticket,
        other,
        AttemptOutcome::Broken,
        Some(&report),
    );
    expect_that!(next, eq(NextStep::GiveUp));
    expect_that!(ticket.attempts(), eq(2));
}

/// Counts the retries that the budget allows without another request.
fn retries_allowed(gateway: &mut Gateway, at: Time) -> usize {
    let mut allowed = 0;
    loop {
        let mut ticket = Ticket {
            tried: Vec::new(),
            ..admitted(gateway, at, "/read/x")
        };
        ticket.until = at + Millis(3000);
        gateway.release_from_peer(&ticket);
        let endpoint = place(gateway, at, &ticket);
        gateway.sent(at, &mut ticket, endpoint);
        if gateway.ended(at, &mut ticket, endpoint, AttemptOutcome::Failed) != NextStep::Again {
            return allowed;
        }
        allowed += 1;
    }
}

/// Guards against a retry budget that grows with each hop: a request counts at one router of the fleet.
#[gtest]
fn verify_a_handed_request_counts_at_one_router_only() {
    let mut plain = gateway(4);
    let base = retries_allowed(&mut plain, Time(200));
    let mut sender = gateway(4);
    sender.update_peers((0..3).map(peer));
    for _ in 0..100 {
        let mut ticket = admitted(&mut sender, Time(200), "/read/x");
        sender.handed_off(Time(200), &mut ticket, peer(0));
    }
    expect_that!(retries_allowed(&mut sender, Time(200)), eq(base));
    let grant = Grant {
        version: 1,
        time_left: Millis(2000),
        attempts: 2,
        ..Grant::default()
    };
    let mut helper = gateway(4);
    for number in 0..100 {
        let ticket = helper.admit_from_peer(Time(200), &request("/read/x"), &grant);
        if number >= 50 {
            helper.release_from_peer(&ticket.expect("admitted"));
        }
    }
    expect_that!(retries_allowed(&mut helper, Time(200)), eq(base + 10));
}

#[gtest]
fn verify_a_peer_with_an_older_configuration_admits_nothing() {
    let mut gateway = gateway(4);
    let grant = Grant {
        version: 2,
        time_left: Millis(2000),
        attempts: 2,
        ..Grant::default()
    };
    let refused = gateway.admit_from_peer(Time(200), &request("/read/x"), &grant);
    expect_that!(refused.expect_err("refused").cause, eq(Cause::Stale));
    gateway.apply_changes(Time(300), vec![catalog_change(3)]);
    let admitted = gateway.admit_from_peer(Time(300), &request("/read/x"), &grant);
    expect_that!(admitted, ok(anything()));
}

#[gtest]
fn verify_a_peer_keeps_to_the_time_the_attempts_and_the_endpoints_that_it_is_granted() {
    let mut gateway = gateway(4);
    let tags = tags(&gateway);
    let grant = Grant {
        version: 1,
        time_left: Millis(700),
        attempts: 1,
        retry: true,
        origin: Origin::New,
        resume: None,
        tried: tags[..3].to_vec(),
    };
    for _ in 0..20 {
        let ticket = gateway.admit_from_peer(Time(200), &request("/read/x"), &grant);
        let mut ticket = ticket.expect("admitted");
        expect_that!(ticket.until, eq(Time(900)));
        let endpoint = place(&mut gateway, Time(200), &ticket);
        let found = gateway.registry().get(endpoint).map(Endpoint::tag);
        expect_that!(found, some(eq(tags[3])));
        gateway.sent(Time(200), &mut ticket, endpoint);
        let next = gateway.ended(Time(210), &mut ticket, endpoint, AttemptOutcome::Rejected);
        expect_that!(next, eq(NextStep::GiveUp));
    }
}

#[gtest]
fn verify_an_unreached_service_is_probed_where_requests_for_it_come() {
    let mut gateway = cut_off_gateway(4, 1);
    let service = Bytes::from_static(b"engines");
    expect_that!(gateway.probe(Time(150), &service), none());
    let probe = gateway.probe(Time(210), &service).expect("a probe");
    expect_that!(probe.health, eq(&Bytes::from_static(b"/health")));
    expect_that!(gateway.probe(Time(211), &service), none());
    gateway.heard(Time(230), probe.endpoint, Time(220));
    let ticket = admitted(&mut gateway, Time(240), "/read/x");
    expect_that!(gateway.hand_off(Time(240), &ticket), none());
}

/// Uses up the share of the endpoints' connections of one router of 50: two at each endpoint.
fn use_up_share(gateway: &mut Gateway, at: Time) {
    gateway.fleet(at, 50);
    for _ in 0..8 {
        let mut ticket = admitted(gateway, at, "/once/x");
        let endpoint = place(gateway, at, &ticket);
        gateway.sent(at, &mut ticket, endpoint);
    }
}

/// Guards against refusals of a router that gets most of the callers' connections, while the others' shares are free.
#[gtest]
fn verify_a_router_that_has_used_up_its_share_hands_requests_off() {
    let at = Time(100);
    let mut gateway = gateway(4);
    gateway.update_peers((0..6).map(peer));
    use_up_share(&mut gateway, at);
    let mut ticket = admitted(&mut gateway, at, "/once/x");
    let mut asked = Vec::new();
    for _ in 0..MAX_PEERS {
        let refusal = gateway.place(at, &ticket, &request("/once/x"));
        let refusal = refusal.expect_err("its share is used up");
        let chosen = gateway.hand_off_refused(at, &ticket, &refusal);
        let chosen = chosen.expect("a peer");
        expect_that!(asked, not(contains(eq(&chosen))));
        asked.push(chosen);
        gateway.handed_off(at, &mut ticket, chosen);
        let report = PeerReport {
            refused: Some(Cause::Overloaded),
            ..PeerReport::default()
        };
        let outcome = AttemptOutcome::Rejected;
        let next = gateway.hand_off_ended(at, &mut ticket, chosen, outcome, Some(&report));
        expect_that!(next, eq(NextStep::Again), "another one may have room");
    }
    let refusal = gateway.place(at, &ticket, &request("/once/x"));
    let refusal = refusal.expect_err("its share is used up");
    expect_that!(gateway.hand_off_refused(at, &ticket, &refusal), none());
    expect_that!(refusal.cause, eq(Cause::Overloaded));
    expect_false!(refusal.may_have_run);
    expect_that!(refusal.retry_after, some(gt(Millis(0))));
}

/// Guards against a new connection for each request of a burst, all placed before the first connection is open.
#[gtest]
fn verify_connections_that_are_being_opened_use_up_a_share() {
    let at = Time(100);
    let mut gateway = gateway(4);
    gateway.fleet(at, 50);
    let mut opening = Vec::new();
    for _ in 0..8 {
        let ticket = admitted(&mut gateway, at, "/once/x");
        let endpoint = place(&mut gateway, at, &ticket);
        gateway.connection_begun(endpoint);
        opening.push((ticket, endpoint));
    }
    let ticket = admitted(&mut gateway, at, "/once/x");
    let refusal = gateway.place(at, &ticket, &request("/once/x"));
    let refusal = refusal.expect_err("its share is used up");
    expect_that!(refusal.cause, eq(Cause::Overloaded));
    // One that fails to open is free again, one that is open carries its request.
    let (mut first, endpoint) = opening.remove(0);
    gateway.connection_opened(endpoint);
    expect_that!(place(&mut gateway, at, &ticket), eq(endpoint));
    gateway.sent(at, &mut first, endpoint);
    expect_true!(gateway.place(at, &ticket, &request("/once/x")).is_err());
}

/// Guards against a request that goes from router to router.
#[gtest]
fn verify_a_peer_that_has_used_up_its_share_refuses_what_it_is_handed() {
    let at = Time(100);
    let mut gateway = gateway(4);
    gateway.update_peers((0..6).map(peer));
    use_up_share(&mut gateway, at);
    let grant = Grant {
        version: 1,
        time_left: Millis(1000),
        attempts: 1,
        ..Grant::default()
    };
    let ticket = gateway.admit_from_peer(at, &request("/once/x"), &grant);
    let ticket = ticket.expect("it is admitted");
    let refusal = gateway.place(at, &ticket, &request("/once/x"));
    let refusal = refusal.expect_err("its share is used up");
    expect_that!(gateway.hand_off_refused(at, &ticket, &refusal), none());
}

#[gtest]
fn verify_other_refusals_are_not_handed_off() {
    let at = Time(100);
    let mut gateway = gateway(0);
    gateway.update_peers((0..6).map(peer));
    let ticket = admitted(&mut gateway, at, "/once/x");
    let refusal = gateway.place(at, &ticket, &request("/once/x"));
    let refusal = refusal.expect_err("there is no endpoint");
    expect_that!(gateway.hand_off_refused(at, &ticket, &refusal), none());
}
