//! Which endpoint gets a request.

use googletest::prelude::*;
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Change,
        Gateway,
        Ticket,
        ask::Ask,
        endpoint::Load,
        fate::Fate, //
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::fixture::{
    ask,
    entry,
    gateway,
    prompt, //
};

fn chat(shared: u64, own: u64) -> Ask {
    Ask {
        prompt: Some(prompt(shared, own)),
        ..ask("/chat/x")
    }
}

fn admit(gateway: &mut Gateway, ask: &Ask) -> Ticket {
    gateway.admit(Time(10), ask).expect("it is admitted")
}

fn place(gateway: &mut Gateway, ask: &Ask) -> EndpointKey {
    let ticket = admit(gateway, ask);
    let placed = gateway.place(Time(10), &ticket, ask);
    placed.expect("there is one").endpoint
}

fn name(gateway: &Gateway, key: EndpointKey) -> bytes::Bytes {
    let endpoint = gateway.registry().get(key).expect("it is listed");
    endpoint.entry.id.clone()
}

/// Routers that have never heard of each other, with other random numbers, agree.
#[gtest]
fn verify_prompts_with_a_shared_part_meet_whichever_router_they_come_by() {
    let (mut one, mut other) = (gateway(12), gateway(12));
    other.draw();
    for shared in 0..50 {
        let first = place(&mut one, &chat(shared, 1));
        let second = place(&mut other, &chat(shared, 2));
        let same = name(&one, first) == name(&other, second);
        expect_true!(same, "part {shared}");
    }
}

#[gtest]
fn verify_a_leaving_endpoint_moves_only_its_own_prompts() {
    let mut full = gateway(12);
    let mut less = gateway(11);
    let mut moved = 0;
    for shared in 0..400 {
        let before = place(&mut full, &chat(shared, 1));
        let after = place(&mut less, &chat(shared, 1));
        let before = name(&full, before);
        if before != name(&less, after) {
            expect_that!(before, eq(&bytes::Bytes::from_static(b"e-11")));
            moved += 1;
        }
    }
    expect_that!(moved, all!(gt(10), lt(80)));
}

/// However hot one part is, no request goes to an endpoint that already has over the published
/// multiple of the mean and three more.
#[gtest]
fn verify_a_hot_part_spreads_before_its_endpoint_is_over_the_multiple() {
    let mut gateway = gateway(12);
    let mut own: std::collections::HashMap<EndpointKey, u32> = Default::default();
    for n in 0..240_u16 {
        let ask = chat(7, n.into());
        let mut ticket = admit(&mut gateway, &ask);
        let placed = gateway
            .place(Time(10), &ticket, &ask)
            .expect("there is one");
        let held = own.entry(placed.endpoint).or_default();
        let mean = f64::from(n) / 12.0;
        expect_that!(f64::from(*held), le(2.0 * mean + 3.0));
        *held += 1;
        gateway.sent(Time(10), &mut ticket, placed.endpoint);
    }
}

#[gtest]
fn verify_a_stated_load_keeps_work_away() {
    let mut gateway = gateway(12);
    let first = place(&mut gateway, &chat(7, 1));
    let load = Load {
        running: 40,
        waiting: 3,
        slots: 64,
    };
    gateway.stated(Time(10), first, load);
    expect_that!(place(&mut gateway, &chat(7, 2)), not(eq(first)));
}

#[gtest]
fn verify_paused_endpoints_are_passed_over_while_others_are_there() {
    let mut gateway = gateway(2);
    let ask = chat(7, 1);
    let first = place(&mut gateway, &ask);
    let mut ticket = admit(&mut gateway, &ask);
    gateway.unreached(Time(10), &mut ticket, first);
    let second = place(&mut gateway, &ask);
    expect_that!(second, not(eq(first)));
    gateway.unreached(Time(10), &mut ticket, second);
    // Nobody else is left: a paused one is better than none.
    let one = place(&mut gateway, &ask);
    expect_true!(one == first || one == second);
}

#[gtest]
fn verify_requests_without_a_prompt_go_where_the_least_is_in_progress() {
    let mut gateway = gateway(4);
    let ask = ask("/read/x");
    let mut seen = Vec::new();
    for _ in 0..4 {
        let mut ticket = admit(&mut gateway, &ask);
        let placed = gateway
            .place(Time(10), &ticket, &ask)
            .expect("there is one");
        gateway.sent(Time(10), &mut ticket, placed.endpoint);
        expect_false!(seen.contains(&placed.endpoint));
        seen.push(placed.endpoint);
    }
}

#[gtest]
fn verify_an_endpoint_that_fails_often_gets_less() {
    let mut gateway = gateway(4);
    let ask = ask("/read/x");
    let bad = place(&mut gateway, &ask);
    for _ in 0..8 {
        let mut ticket = admit(&mut gateway, &ask);
        gateway.sent(Time(10), &mut ticket, bad);
        gateway.ended(Time(10), &mut ticket, bad, Fate::Failed);
    }
    let again = (0..100).filter(|_| place(&mut gateway, &ask) == bad);
    expect_that!(again.count(), eq(0));
}

/// Symptom: while all engines failed a part of their requests, prompts were read again all over the service,
/// and all became late. Sequence: each engine's share of failures rises alike. Cause: failures counted as
/// load in full, so each engine was over its limit, and prompts left the ones that held them.
#[gtest]
fn verify_prompts_stay_where_all_endpoints_fail_alike() {
    let mut gateway = gateway(9);
    let home = |gateway: &mut Gateway, shared| place(gateway, &chat(shared, 1));
    let before: Vec<_> = (0..40).map(|s| home(&mut gateway, s)).collect();
    let all: Vec<_> = gateway.registry().of(b"engines").map(|(k, _)| k).collect();
    for _ in 0..8 {
        for key in &all {
            let mut ticket = admit(&mut gateway, &chat(1, 1));
            gateway.sent(Time(10), &mut ticket, *key);
            gateway.ended(Time(10), &mut ticket, *key, Fate::Failed);
        }
    }
    let during: Vec<_> = (0..40).map(|s| home(&mut gateway, s)).collect();
    expect_that!(during, eq(&before));
}

/// Symptom: after a release or a new endpoint, prompts were read again that others still held.
/// Sequence: an endpoint joins and becomes the first for some parts; or the first one leaves.
/// Cause: who held a part until then was forgotten.
#[gtest]
fn verify_a_prompt_that_moves_fetches_from_who_held_it() {
    let mut gateway = gateway(8);
    let placed = |gateway: &mut Gateway, shared, at| {
        let ask = chat(shared, 1);
        let ticket = gateway.admit(at, &ask).expect("it is admitted");
        gateway.place(at, &ticket, &ask).expect("there is one")
    };
    let before: Vec<_> = (0..60)
        .map(|s| placed(&mut gateway, s, Time(10)).endpoint)
        .collect();
    let joined = vec![Change::Entry(entry(50))];
    gateway.follow(Time(20), joined);
    let mut moved = 0;
    for (shared, held) in (0..60).zip(&before) {
        let now = placed(&mut gateway, shared, Time(30));
        if now.endpoint == *held {
            expect_that!(now.holder, not(eq(Some(*held))));
        } else {
            expect_that!(now.holder, some(eq(*held)));
            moved += 1;
        }
    }
    expect_that!(moved, gt(1));
    // Once it has been there for a while it holds what it gets.
    gateway.proved(Time(20_000), Time(20_000));
    let settled = placed(&mut gateway, 3, Time(20_000));
    expect_that!(settled.holder, not(eq(Some(settled.endpoint))));
    // One that leaves can still be fetched from.
    let held = placed(&mut gateway, 3, Time(20_000)).endpoint;
    let id = name(&gateway, held);
    let number = String::from_utf8_lossy(&id[2..]).parse().expect("a number");
    let mut leaving = entry(number);
    leaving.leaving = true;
    gateway.follow(Time(20_010), vec![Change::Entry(leaving)]);
    let next = placed(&mut gateway, 3, Time(20_020));
    expect_that!(next.endpoint, not(eq(held)));
    expect_that!(next.holder, some(eq(held)));
}

/// Symptom: prompts were read again at their first endpoint, though the second one held them. Sequence: the
/// first is at its limit when a part is asked for, so the second reads it; then the first has room again.
/// Cause: only an endpoint that stood in for the first one was told from whom to fetch.
#[gtest]
fn verify_the_first_endpoint_fetches_from_who_stood_in_for_it() {
    for shared in 0..20 {
        let mut gateway = gateway(8);
        let ask = chat(shared, 1);
        let home = place(&mut gateway, &ask);
        let load = |running| Load {
            running,
            waiting: 0,
            slots: 64,
        };
        gateway.stated(Time(10), home, load(60));
        let other = place(&mut gateway, &ask);
        expect_that!(other, not(eq(home)));
        gateway.stated(Time(10), home, load(0));
        let ticket = admit(&mut gateway, &ask);
        let placed = gateway
            .place(Time(10), &ticket, &ask)
            .expect("there is one");
        expect_that!(placed.endpoint, eq(home));
        expect_that!(placed.holder, some(eq(other)));
    }
}

/// Symptom: connections were reset under load, and calls that may run once were lost with them.
/// Sequence: an endpoint takes 100 connections from all; each of ten routers opens as many as it
/// needs.
/// Cause: the bound was taken for each router's own.
#[gtest]
fn verify_a_router_keeps_to_its_part_of_the_connections() {
    let mut gateway = gateway(2);
    gateway.fleet(Time(0), 10);
    let ask = ask("/read/x");
    for _ in 0..20 {
        let mut ticket = admit(&mut gateway, &ask);
        let placed = gateway
            .place(Time(10), &ticket, &ask)
            .expect("there is room");
        gateway.sent(Time(10), &mut ticket, placed.endpoint);
    }
    let ticket = admit(&mut gateway, &ask);
    let refusal = gateway
        .place(Time(10), &ticket, &ask)
        .expect_err("both are full");
    expect_false!(refusal.may_have_run);
    // However many routers there are, each gets a little through.
    gateway.fleet(Time(0), 1000);
    let own = gateway.registry().usable().map(|(_, e)| e.own);
    expect_that!(own.max(), some(eq(10)));
}

/// Symptom: seconds after a cold start 3.2 % of the requests reached endpoints over the multiple.
/// Sequence: 83 routers hear of an endpoint's load half a second late; each sends it a few more.
/// Cause: a load of then was taken for one of now.
#[gtest]
fn verify_an_old_load_leaves_a_wider_margin() {
    let limit_after = |age: u64| {
        let mut gateway = gateway(4);
        let first = place(&mut gateway, &chat(7, 1));
        let load = |running| Load {
            running,
            waiting: 0,
            slots: 64,
        };
        let keys: Vec<EndpointKey> = gateway.registry().usable().map(|(k, _)| k).collect();
        for key in keys {
            gateway.stated(Time(10), key, load(6));
        }
        let ask = chat(7, 2);
        let ticket = admit(&mut gateway, &ask);
        let now = Time(10 + age);
        let placed = gateway.place(now, &ticket, &ask);
        let placed = placed.expect("there is one");
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

/// Symptom: an endpoint idles for a quarter of a minute after it failed for a while, and the others
/// reject half of what comes.
/// Sequence: one of three endpoints that state no load breaks off for seconds, then is sound again.
/// Cause: its share of failures shrank by its answers alone, and as long as it was held against it, it
/// had hardly any to give.
#[gtest]
fn verify_an_endpoint_that_is_sound_again_soon_gets_its_part() {
    let mut gateway = gateway(3);
    let ask = ask("/once/x");
    let endpoint = place(&mut gateway, &ask);
    for n in 0..12 {
        let mut ticket = admit(&mut gateway, &ask);
        gateway.sent(Time(n * 100), &mut ticket, endpoint);
        gateway.ended(Time(n * 100), &mut ticket, endpoint, Fate::Broken);
    }
    let mut chosen = 0;
    for n in 0..100 {
        let now = Time(7000 + n * 10);
        gateway.proved(now, now);
        let mut ticket = gateway.admit(now, &ask).expect("it is admitted");
        let placed = gateway.place(now, &ticket, &ask).expect("there is one");
        gateway.sent(now, &mut ticket, placed.endpoint);
        // The others have long queues.
        let took = if placed.endpoint == endpoint { 60 } else { 290 };
        gateway.ended(
            now + Millis(took),
            &mut ticket,
            placed.endpoint,
            Fate::Answered,
        );
        chosen += u32::from(placed.endpoint == endpoint);
    }
    expect_that!(chosen, gt(33));
}

/// Symptom: one endpoint gets three times its part and fails all of it.
/// Sequence: it fails each request within some milliseconds; the others take their time.
/// Cause: what failed at once counted as a quick answer.
#[gtest]
fn verify_an_endpoint_that_fails_at_once_does_not_look_quick() {
    let mut gateway = gateway(4);
    let ask = ask("/once/x");
    let mut chosen = 0;
    let mut bad = None;
    for n in 0..400 {
        let now = Time(10 + n * 20);
        gateway.proved(now, now);
        let mut ticket = gateway.admit(now, &ask).expect("it is admitted");
        let placed = gateway.place(now, &ticket, &ask).expect("there is one");
        let bad = *bad.get_or_insert(placed.endpoint);
        gateway.sent(now, &mut ticket, placed.endpoint);
        let (took, fate) = if placed.endpoint == bad {
            (7, Fate::Failed)
        } else {
            (80, Fate::Answered)
        };
        gateway.ended(now + Millis(took), &mut ticket, placed.endpoint, fate);
        chosen += u32::from(placed.endpoint == bad);
    }
    expect_that!(chosen, lt(40));
}

/// Symptom: 22 % of a model's requests reached engines over the multiple while one session got 30 % of
/// the traffic of 66 routers. Sequence: each router sees the session's engine below its limit, and sends
/// there before it hears of the others. Cause: a part was spread only once its engine was known to be
/// full.
#[gtest]
fn verify_a_hot_part_is_spread_before_its_endpoint_is_full() {
    let mut gateway = gateway(60);
    let mut chosen = std::collections::HashSet::new();
    for n in 0..200 {
        // Each ends at once, so that loads say nothing.
        let hot = n % 3 == 0;
        let ask = chat(if hot { 7 } else { 1000 + n }, n);
        let endpoint = place(&mut gateway, &ask);
        if hot && n >= 100 {
            chosen.insert(endpoint);
        }
    }
    // A third of the traffic is 20 times the mean of 60, and one may carry twice the mean of all parts.
    expect_that!(chosen.len(), all!(ge(10), le(24)));
}

/// A router of a large fleet sees a session that has just become hot once in some seconds, and knew it by the
/// loads of its engines alone: up to 4.2 % of a fleet's requests reached engines over the multiple. What others
/// placed shows it before its first request comes here, and only what they placed since they last told.
#[gtest]
fn verify_a_part_that_is_hot_elsewhere_is_spread_from_its_first_request() {
    let chosen = |gateway: &mut Gateway, shared| {
        let ask = chat(shared, 1);
        let ticket = admit(gateway, &ask);
        let placed = gateway.place(Time(10), &ticket, &ask);
        placed.expect("there is one").endpoint
    };
    let hot = |n: u64| if n.is_multiple_of(2) { 7 } else { 1000 + n };
    let mut others = gateway(20);
    let mut one = gateway(20);
    for n in 0..40 {
        chosen(&mut others, hot(n));
        let samples = others.samples();
        expect_that!(samples.len(), eq(1));
        one.sampled(Time(10), &samples);
    }
    expect_that!(others.samples(), is_empty());
    let spread: std::collections::HashSet<_> = (0..20).map(|_| chosen(&mut one, 7)).collect();
    expect_that!(spread.len(), ge(4));
    let alone: std::collections::HashSet<_> =
        (0..20).map(|_| chosen(&mut gateway(20), 7)).collect();
    expect_that!(alone.len(), eq(1));
}

/// Parts that get little more than others by chance stay at one endpoint: spread, they would be read at
/// several.
#[gtest]
fn verify_parts_that_return_now_and_then_are_not_spread() {
    let mut gateway = gateway(60);
    let mut first: std::collections::HashMap<u64, EndpointKey> = Default::default();
    for n in 0..600_u64 {
        let part = n * 7919 % 127;
        let endpoint = place(&mut gateway, &chat(part, n));
        let held = *first.entry(part).or_insert(endpoint);
        expect_that!(endpoint, eq(held), "part {part}");
    }
}
