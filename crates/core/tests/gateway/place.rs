//! Tests of placement: which endpoint gets a request.

use googletest::prelude::*;
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Change,
        Gateway,
        Ticket,
        endpoint::Load,
        incoming_request::IncomingRequest,
        outcome::AttemptOutcome, //
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::fixture::{
    entry,
    gateway,
    prompt,
    request, //
};

fn chat_request(shared: u64, own_in_flight: u64) -> IncomingRequest {
    IncomingRequest {
        prompt: Some(prompt(shared, own_in_flight)),
        ..request("/chat/x")
    }
}

fn admit_request(gateway: &mut Gateway, request: &IncomingRequest) -> Ticket {
    gateway
        .admit(Time(10), request)
        .expect("the request is admitted")
}

fn place_request(gateway: &mut Gateway, request: &IncomingRequest) -> EndpointKey {
    let ticket = admit_request(gateway, request);
    let placed = gateway.place(Time(10), &ticket, request);
    placed.expect("an endpoint is available").endpoint
}

fn endpoint_id(gateway: &Gateway, key: EndpointKey) -> bytes::Bytes {
    let endpoint = gateway.registry().get(key).expect("the endpoint is listed");
    endpoint.entry.id.clone()
}

/// The routers don't know each other and draw different random numbers.
#[gtest]
fn verify_routers_place_prompts_with_a_shared_part_at_the_same_endpoint() {
    let (mut one, mut other) = (gateway(12), gateway(12));
    other.draw();
    for shared in 0..50 {
        let first = place_request(&mut one, &chat_request(shared, 1));
        let second = place_request(&mut other, &chat_request(shared, 2));
        let same = endpoint_id(&one, first) == endpoint_id(&other, second);
        expect_true!(same, "part {shared}");
    }
}

#[gtest]
fn verify_a_leaving_endpoint_moves_only_its_own_prompts() {
    let mut full = gateway(12);
    let mut reduced = gateway(11);
    let mut moved = 0;
    for shared in 0..400 {
        let before = place_request(&mut full, &chat_request(shared, 1));
        let after = place_request(&mut reduced, &chat_request(shared, 1));
        let before = endpoint_id(&full, before);
        if before != endpoint_id(&reduced, after) {
            expect_that!(before, eq(&bytes::Bytes::from_static(b"e-11")));
            moved += 1;
        }
    }
    expect_that!(moved, all!(gt(10), lt(80)));
}

/// However often one prompt part is requested, no request goes to an endpoint whose load is over the
/// published multiple of the mean plus three.
#[gtest]
fn verify_no_endpoint_exceeds_the_multiple_under_a_hot_part() {
    let mut gateway = gateway(12);
    let mut in_progress: std::collections::HashMap<EndpointKey, u32> = Default::default();
    for n in 0..240_u16 {
        let request = chat_request(7, n.into());
        let mut ticket = admit_request(&mut gateway, &request);
        let placed = gateway
            .place(Time(10), &ticket, &request)
            .expect("an endpoint is available");
        let load = in_progress.entry(placed.endpoint).or_default();
        let mean = f64::from(n) / 12.0;
        expect_that!(f64::from(*load), le(2.0 * mean + 3.0));
        *load += 1;
        gateway.sent(Time(10), &mut ticket, placed.endpoint);
    }
}

#[gtest]
fn verify_a_high_reported_load_diverts_requests() {
    let mut gateway = gateway(12);
    let first = place_request(&mut gateway, &chat_request(7, 1));
    let load = Load {
        running: 40,
        waiting: 3,
        slots: 64,
        slowdown: None,
    };
    gateway.record_load(Time(10), first, load);
    expect_that!(
        place_request(&mut gateway, &chat_request(7, 2)),
        not(eq(first))
    );
}

#[gtest]
fn verify_paused_endpoints_are_skipped_while_others_are_available() {
    let mut gateway = gateway(2);
    let request = chat_request(7, 1);
    let first = place_request(&mut gateway, &request);
    let mut ticket = admit_request(&mut gateway, &request);
    gateway.unreached(Time(10), &mut ticket, first);
    let second = place_request(&mut gateway, &request);
    expect_that!(second, not(eq(first)));
    gateway.unreached(Time(10), &mut ticket, second);
    // All endpoints are paused, and a paused one is better than none.
    let one = place_request(&mut gateway, &request);
    expect_true!(one == first || one == second);
}

#[gtest]
fn verify_requests_without_a_prompt_go_to_the_least_loaded_endpoint() {
    let mut gateway = gateway(4);
    let request = request("/read/x");
    let mut seen = Vec::new();
    for _ in 0..4 {
        let mut ticket = admit_request(&mut gateway, &request);
        let placed = gateway
            .place(Time(10), &ticket, &request)
            .expect("an endpoint is available");
        gateway.sent(Time(10), &mut ticket, placed.endpoint);
        expect_false!(seen.contains(&placed.endpoint));
        seen.push(placed.endpoint);
    }
}

#[gtest]
fn verify_an_endpoint_that_fails_often_is_avoided() {
    let mut gateway = gateway(4);
    let request = request("/read/x");
    let failing = place_request(&mut gateway, &request);
    for _ in 0..8 {
        let mut ticket = admit_request(&mut gateway, &request);
        gateway.sent(Time(10), &mut ticket, failing);
        gateway.ended(Time(10), &mut ticket, failing, AttemptOutcome::Failed);
    }
    let again = (0..100).filter(|_| place_request(&mut gateway, &request) == failing);
    expect_that!(again.count(), eq(0));
}

/// Guards against prompts that leave the engines that cache them when all engines fail a part of their
/// requests: failures counted as load in full, so each engine was over its limit, prompts were processed
/// again at other engines, and all answers became late.
#[gtest]
fn verify_prompts_stay_at_their_endpoints_when_all_fail_alike() {
    let mut gateway = gateway(9);
    let preferred =
        |gateway: &mut Gateway, shared| place_request(gateway, &chat_request(shared, 1));
    let before: Vec<_> = (0..40).map(|s| preferred(&mut gateway, s)).collect();
    let all: Vec<_> = gateway.registry().of(b"engines").map(|(k, _)| k).collect();
    for _ in 0..8 {
        for key in &all {
            let mut ticket = admit_request(&mut gateway, &chat_request(1, 1));
            gateway.sent(Time(10), &mut ticket, *key);
            gateway.ended(Time(10), &mut ticket, *key, AttemptOutcome::Failed);
        }
    }
    let during: Vec<_> = (0..40).map(|s| preferred(&mut gateway, s)).collect();
    expect_that!(during, eq(&before));
}

/// Guards against processing prompts again that another endpoint still caches: an endpoint joins and
/// becomes the preferred one for some prompt parts, or the preferred one leaves, and the previous holder
/// is not remembered.
#[gtest]
fn verify_a_moved_prompt_is_fetched_from_its_previous_endpoint() {
    let mut gateway = gateway(8);
    let place_at = |gateway: &mut Gateway, shared, at| {
        let request = chat_request(shared, 1);
        let ticket = gateway
            .admit(at, &request)
            .expect("the request is admitted");
        gateway
            .place(at, &ticket, &request)
            .expect("an endpoint is available")
    };
    let before: Vec<_> = (0..60)
        .map(|s| place_at(&mut gateway, s, Time(10)).endpoint)
        .collect();
    let joined = vec![Change::Entry(entry(50))];
    gateway.apply_changes(Time(20), joined);
    let mut moved = 0;
    for (shared, held) in (0..60).zip(&before) {
        let now = place_at(&mut gateway, shared, Time(30));
        if now.endpoint == *held {
            expect_that!(now.holder, not(eq(Some(*held))));
        } else {
            expect_that!(now.holder, some(eq(*held)));
            moved += 1;
        }
    }
    expect_that!(moved, gt(1));
    // An endpoint that has been listed for a while caches its prompts itself.
    gateway.record_registry_read(Time(20_000), Time(20_000));
    let settled = place_at(&mut gateway, 3, Time(20_000));
    expect_that!(settled.holder, not(eq(Some(settled.endpoint))));
    // Prompts can still be fetched from a leaving endpoint.
    let held = place_at(&mut gateway, 3, Time(20_000)).endpoint;
    let id = endpoint_id(&gateway, held);
    let number = String::from_utf8_lossy(&id[2..])
        .parse()
        .expect("the id ends with a number");
    let mut leaving = entry(number);
    leaving.leaving = true;
    gateway.apply_changes(Time(20_010), vec![Change::Entry(leaving)]);
    let next = place_at(&mut gateway, 3, Time(20_020));
    expect_that!(next.endpoint, not(eq(held)));
    expect_that!(next.holder, some(eq(held)));
}

/// Guards against processing prompts again at their preferred endpoint though the second one caches them:
/// the second processed them while the first was at its limit, and a holder was named only for requests
/// that went to a substitute, not for those that return to the preferred endpoint.
#[gtest]
fn verify_the_preferred_endpoint_fetches_from_its_substitute() {
    for shared in 0..20 {
        let mut gateway = gateway(8);
        let request = chat_request(shared, 1);
        let preferred = place_request(&mut gateway, &request);
        let load = |running| Load {
            running,
            waiting: 0,
            slots: 64,
            slowdown: None,
        };
        gateway.record_load(Time(10), preferred, load(60));
        let other = place_request(&mut gateway, &request);
        expect_that!(other, not(eq(preferred)));
        gateway.record_load(Time(10), preferred, load(0));
        let ticket = admit_request(&mut gateway, &request);
        let placed = gateway
            .place(Time(10), &ticket, &request)
            .expect("an endpoint is available");
        expect_that!(placed.endpoint, eq(preferred));
        expect_that!(placed.holder, some(eq(other)));
    }
}

/// Guards against connections that an endpoint resets under load, which loses non-idempotent requests:
/// its limit of 100 connections holds for all ten routers together, not for each of them.
#[gtest]
fn verify_a_router_uses_only_its_share_of_the_connection_limit() {
    let mut gateway = gateway(2);
    gateway.fleet(Time(0), 10);
    let request = request("/read/x");
    for _ in 0..20 {
        let mut ticket = admit_request(&mut gateway, &request);
        let placed = gateway
            .place(Time(10), &ticket, &request)
            .expect("an endpoint has a free connection");
        gateway.sent(Time(10), &mut ticket, placed.endpoint);
    }
    let ticket = admit_request(&mut gateway, &request);
    let refusal = gateway
        .place(Time(10), &ticket, &request)
        .expect_err("both endpoints are at the limit");
    expect_false!(refusal.may_have_run);
    // However many routers there are, each may use a few connections.
    gateway.fleet(Time(0), 1000);
    let own_in_flight = gateway.registry().usable().map(|(_, e)| e.own_in_flight);
    expect_that!(own_in_flight.max(), some(eq(10)));
}

/// Guards against overloaded endpoints after a cold start, when 3.2 % of the requests reached endpoints over
/// the multiple: 83 routers learn an endpoint's load half a second late, and each sends it a few more requests.
#[gtest]
fn verify_an_old_load_leaves_a_wider_margin() {
    let limit_after = |age: u64| {
        let mut gateway = gateway(4);
        let first = place_request(&mut gateway, &chat_request(7, 1));
        let load = |running| Load {
            running,
            waiting: 0,
            slots: 64,
            slowdown: None,
        };
        let keys: Vec<EndpointKey> = gateway.registry().usable().map(|(k, _)| k).collect();
        for key in keys {
            gateway.record_load(Time(10), key, load(6));
        }
        let request = chat_request(7, 2);
        let ticket = admit_request(&mut gateway, &request);
        let now = Time(10 + age);
        let placed = gateway.place(now, &ticket, &request);
        let placed = placed.expect("an endpoint is available");
        expect_that!(placed.endpoint, eq(first));
        let loads = gateway.registry().usable().map(|(_, e)| e.load(now));
        (placed.limit, loads.sum::<u32>() as f32 / 4.0)
    };
    let (now, half, old) = (limit_after(0), limit_after(400), limit_after(1500));
    expect_that!(now.0, all!(gt(half.0), gt(6.0 * 1.8), le(2.0 * 6.0 + 3.0)));
    expect_that!(
        half.0,
        all!(gt(old.0), ge(half.1 * 1.5), le(half.1 * 1.6 + 2.1))
    );
    expect_that!(old.0, all!(ge(old.1 * 1.3), lt(old.1 * 1.3 + 1.6)));
}

/// Guards against an endpoint that stays idle for a quarter of a minute after it has recovered, while the
/// others reject half of the requests: its failure rate sank only with its own answers, and a high failure
/// rate kept requests away from it. None of the three endpoints reports a load.
#[gtest]
fn verify_a_recovered_endpoint_soon_gets_its_share_again() {
    let mut gateway = gateway(3);
    let request = request("/once/x");
    let endpoint = place_request(&mut gateway, &request);
    for n in 0..12 {
        let mut ticket = admit_request(&mut gateway, &request);
        gateway.sent(Time(n * 100), &mut ticket, endpoint);
        gateway.ended(Time(n * 100), &mut ticket, endpoint, AttemptOutcome::Broken);
    }
    let mut chosen = 0;
    for n in 0..100 {
        let now = Time(7000 + n * 10);
        gateway.record_registry_read(now, now);
        let mut ticket = gateway
            .admit(now, &request)
            .expect("the request is admitted");
        let placed = gateway
            .place(now, &ticket, &request)
            .expect("an endpoint is available");
        gateway.sent(now, &mut ticket, placed.endpoint);
        // The others have long queues.
        let answer_ms = if placed.endpoint == endpoint { 60 } else { 290 };
        gateway.ended(
            now + Millis(answer_ms),
            &mut ticket,
            placed.endpoint,
            AttemptOutcome::Answered,
        );
        chosen += u32::from(placed.endpoint == endpoint);
    }
    expect_that!(chosen, gt(33));
}

/// Guards against an endpoint that fails each request within milliseconds and gets three times its share
/// of them, because a fast failure counts as a fast answer.
#[gtest]
fn verify_fast_failures_do_not_count_as_fast_answers() {
    let mut gateway = gateway(4);
    let request = request("/once/x");
    let mut chosen = 0;
    let mut failing = None;
    for n in 0..400 {
        let now = Time(10 + n * 20);
        gateway.record_registry_read(now, now);
        let mut ticket = gateway
            .admit(now, &request)
            .expect("the request is admitted");
        let placed = gateway
            .place(now, &ticket, &request)
            .expect("an endpoint is available");
        let failing = *failing.get_or_insert(placed.endpoint);
        gateway.sent(now, &mut ticket, placed.endpoint);
        let (answer_ms, outcome) = if placed.endpoint == failing {
            (7, AttemptOutcome::Failed)
        } else {
            (80, AttemptOutcome::Answered)
        };
        gateway.ended(
            now + Millis(answer_ms),
            &mut ticket,
            placed.endpoint,
            outcome,
        );
        chosen += u32::from(placed.endpoint == failing);
    }
    expect_that!(chosen, lt(40));
}

/// Guards against spreading a hot prompt part only once its engine is known to be full. With one session
/// at 30 % of the traffic of 66 routers, each router saw its engine below the limit and sent requests before
/// it learned of the others', and 22 % of the requests reached engines over the multiple.
#[gtest]
fn verify_a_hot_part_is_spread_before_its_endpoint_is_full() {
    let mut gateway = gateway(60);
    let mut chosen = std::collections::HashSet::new();
    for n in 0..200 {
        // No request is in progress for long, so loads don't affect the placement.
        let hot = n % 3 == 0;
        let request = chat_request(if hot { 7 } else { 1000 + n }, n);
        let endpoint = place_request(&mut gateway, &request);
        if hot && n >= 100 {
            chosen.insert(endpoint);
        }
    }
    // A third of the traffic is 20 times the mean of 60 endpoints, each of which may carry twice the mean.
    expect_that!(chosen.len(), all!(ge(10), le(24)));
}

/// A router of a large fleet gets a request of a session that has just become hot only once in some seconds.
/// When it knew the session only by the loads of its engines, up to 4.2 % of a fleet's requests reached engines
/// over the multiple. Samples of what other routers placed since their last digest show it earlier.
#[gtest]
fn verify_a_part_that_is_hot_at_other_routers_is_spread_from_its_first_request() {
    let chosen = |gateway: &mut Gateway, shared| {
        let request = chat_request(shared, 1);
        let ticket = admit_request(gateway, &request);
        let placed = gateway.place(Time(10), &ticket, &request);
        placed.expect("an endpoint is available").endpoint
    };
    let hot = |n: u64| if n.is_multiple_of(2) { 7 } else { 1000 + n };
    let mut others = gateway(20);
    let mut one = gateway(20);
    for n in 0..40 {
        chosen(&mut others, hot(n));
        let samples = others.samples();
        expect_that!(samples.len(), eq(1));
        one.record_peer_samples(Time(10), &samples);
    }
    expect_that!(others.samples(), is_empty());
    let spread: std::collections::HashSet<_> = (0..20).map(|_| chosen(&mut one, 7)).collect();
    expect_that!(spread.len(), ge(4));
    let alone: std::collections::HashSet<_> =
        (0..20).map(|_| chosen(&mut gateway(20), 7)).collect();
    expect_that!(alone.len(), eq(1));
}

/// Prompt parts that are requested slightly more often by chance stay at one endpoint; if spread, they would
/// be processed at several.
#[gtest]
fn verify_parts_that_recur_occasionally_are_not_spread() {
    let mut gateway = gateway(60);
    let mut first: std::collections::HashMap<u64, EndpointKey> = Default::default();
    for n in 0..600_u64 {
        let part = n * 7919 % 127;
        let endpoint = place_request(&mut gateway, &chat_request(part, n));
        let held = *first.entry(part).or_insert(endpoint);
        expect_that!(endpoint, eq(held), "part {part}");
    }
}
