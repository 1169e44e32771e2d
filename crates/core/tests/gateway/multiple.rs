//! Tests of the loads that routers ask their keepers for: what a keeper counts, when it is asked, and what becomes of
//! its estimates.

use googletest::prelude::*;
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        Ticket,
        endpoint::Load,
        incoming_request::IncomingRequest,
        multiple::{
            LoadEstimate,
            LoadNote,
            LoadQuery,
            MAX_QUEUED_NOTES, //
        },
        variability::Speeds, //
    },
    ids::Tag,
    units::{
        Millis,
        Time, //
    },
};

use crate::fixture::{
    gateway,
    prompt,
    request, //
};

const ENDPOINTS: u8 = 12;
const ROUTERS: u32 = 86;
/// Load of all endpoints, of which a prompt's first one is asked for.
const BUSY: u32 = 4;
const NOW: Time = Time(10);
const NO_LIMIT: u32 = 1000;

fn keys(gateway: &Gateway) -> Vec<EndpointKey> {
    gateway.registry().of(b"engines").map(|(k, _)| k).collect()
}

fn tag_of(gateway: &Gateway, key: EndpointKey) -> Tag {
    gateway.registry().get(key).expect("it is listed").tag()
}

fn load_of(gateway: &Gateway, now: Time, key: EndpointKey) -> u32 {
    gateway.registry().get(key).expect("it is listed").load(now)
}

/// Makes a router of many before endpoints that hold so many requests.
fn router(load: u32) -> Gateway {
    let mut gateway = gateway(ENDPOINTS);
    gateway.fleet(Time(0), ROUTERS);
    for key in keys(&gateway) {
        let load = Load {
            running: load,
            slots: 64,
            ..Load::default()
        };
        gateway.record_load(NOW, key, load);
    }
    gateway
}

fn chat(shared: u64) -> IncomingRequest {
    IncomingRequest {
        prompt: Some(prompt(shared, 1000 + shared)),
        ..request("/chat/x")
    }
}

fn admit(gateway: &mut Gateway, incoming_request: &IncomingRequest) -> Ticket {
    let ticket = gateway.admit(NOW, incoming_request);
    ticket.expect("it is admitted")
}

/// Makes the query for a prompt, if there is one.
fn query(gateway: &mut Gateway, now: Time, shared: u64) -> Option<(EndpointKey, LoadQuery)> {
    let chat = chat(shared);
    let ticket = admit(gateway, &chat);
    gateway.load_query(now, &ticket, &chat)
}

/// Asks a keeper for an endpoint's load.
fn ask(gateway: &mut Gateway, now: Time, key: EndpointKey, limit: u32) -> Option<u32> {
    let query = LoadQuery {
        nonce: 1,
        endpoint: tag_of(gateway, key),
        limit,
    };
    gateway.answer_load_query(now, &query, true).load
}

fn note(gateway: &mut Gateway, now: Time, key: EndpointKey, load: u32) {
    let endpoint = tag_of(gateway, key);
    gateway.record_load_note(now, LoadNote { endpoint, load });
}

/// Guards against two routers that send to an endpoint at once, as neither knows of the other.
#[gtest]
fn verify_a_keeper_tells_the_second_router_of_the_first() {
    let mut keeper = router(BUSY);
    let key = keys(&keeper)[0];
    for asked_before in 0..5 {
        expect_that!(
            ask(&mut keeper, NOW + Millis(1), key, NO_LIMIT),
            some(eq(BUSY + asked_before))
        );
    }
    expect_that!(load_of(&keeper, NOW + Millis(1), key), eq(BUSY + 5));
}

/// Guards against requests that are counted where they don't go, so that an endpoint looks full.
#[gtest]
fn verify_a_keeper_counts_nothing_from_the_limit_on() {
    let mut keeper = router(BUSY);
    let key = keys(&keeper)[0];
    for limit in [BUSY, 0, BUSY - 1] {
        expect_that!(
            ask(&mut keeper, NOW + Millis(1), key, limit),
            some(eq(BUSY))
        );
    }
    let unknown = LoadQuery {
        nonce: 1,
        endpoint: tag_of(&keeper, key),
        limit: NO_LIMIT,
    };
    let estimate = keeper.answer_load_query(NOW + Millis(1), &unknown, false);
    expect_that!(estimate.load, some(eq(BUSY)));
    expect_that!(load_of(&keeper, NOW + Millis(1), key), eq(BUSY));
}

/// Guards against requests that are counted twice, in a keeper's count and in a load that an answer states.
#[gtest]
fn verify_a_newer_load_replaces_what_a_keeper_has_counted() {
    let mut keeper = router(BUSY);
    let key = keys(&keeper)[0];
    ask(&mut keeper, NOW + Millis(1), key, NO_LIMIT);
    note(&mut keeper, NOW + Millis(2), key, 9);
    expect_that!(load_of(&keeper, NOW + Millis(2), key), eq(9));
    expect_that!(
        ask(&mut keeper, NOW + Millis(3), key, NO_LIMIT),
        some(eq(9))
    );
    expect_that!(load_of(&keeper, NOW + Millis(3), key), eq(10));
}

/// Guards against endpoints that look full for long as requests went elsewhere, or as routers ask in vain.
#[gtest]
fn verify_what_a_keeper_counts_ends_by_itself_and_is_bounded() {
    let mut keeper = router(0);
    let key = keys(&keeper)[0];
    for _ in 0..1000 {
        ask(&mut keeper, NOW + Millis(1), key, u32::MAX);
    }
    expect_that!(load_of(&keeper, NOW + Millis(1), key), eq(64));
    expect_that!(load_of(&keeper, NOW + Millis(501), key), eq(0));
}

/// Guards against estimates of keepers that know nothing of an endpoint, which would let it look idle.
#[gtest]
fn verify_a_keeper_that_knows_no_load_says_so() {
    let mut keeper = gateway(ENDPOINTS);
    keeper.fleet(Time(0), ROUTERS);
    let key = keys(&keeper)[0];
    expect_that!(ask(&mut keeper, NOW, key, NO_LIMIT), none());
    note(&mut keeper, NOW, key, BUSY);
    expect_that!(ask(&mut keeper, NOW, key, NO_LIMIT), some(eq(BUSY)));
    let gone = LoadQuery {
        nonce: 2,
        endpoint: Tag(7),
        limit: NO_LIMIT,
    };
    let estimate = keeper.answer_load_query(NOW, &gone, true);
    expect_that!(
        estimate,
        eq(LoadEstimate {
            nonce: 2,
            load: None
        })
    );
}

/// Guards against prompts that go to an endpoint though its keeper knows that it is full.
#[gtest]
fn verify_a_prompt_leaves_an_endpoint_that_its_keeper_calls_full() {
    for (load, stays) in [(Some(BUSY), true), (None, true), (Some(30), false)] {
        let mut router = router(BUSY);
        let chat = chat(2);
        let ticket = admit(&mut router, &chat);
        let asked = router.load_query(NOW, &ticket, &chat);
        let (key, query) = asked.expect("the endpoint is asked for");
        let nonce = query.nonce;
        router.record_load_estimate(NOW, key, &LoadEstimate { nonce, load });
        let placed = router.place(NOW, &ticket, &chat).expect("it is placed");
        expect_that!(placed.endpoint == key, eq(stays), "{load:?}");
    }
}

/// Guards against estimates that go round among routers as if answers had stated them.
#[gtest]
fn verify_peers_are_not_told_of_estimates() {
    let mut router = router(BUSY);
    let key = keys(&router)[0];
    let estimate = LoadEstimate {
        nonce: 1,
        load: Some(40),
    };
    router.record_load_estimate(NOW + Millis(5), key, &estimate);
    ask(&mut router, NOW + Millis(5), key, NO_LIMIT);
    let told = router.digest_contents(NOW + Millis(5), 1).reports;
    expect_that!(told.len(), eq(usize::from(ENDPOINTS)));
    expect_true!(told.iter().all(|r| r.load == Some(BUSY)));
}

/// Guards against messages for prompts that can hardly be over, and where nobody or another exchange answers.
#[gtest]
fn verify_nobody_is_asked_without_need() {
    expect_that!(query(&mut router(BUSY), NOW, 2), some(anything()));
    expect_that!(query(&mut router(0), NOW, 2), none());
    expect_that!(query(&mut router(1), NOW, 2), none());
    let mut unknown = gateway(ENDPOINTS);
    unknown.fleet(Time(0), ROUTERS);
    expect_that!(query(&mut unknown, NOW, 2), none());
    let mut alone = router(BUSY);
    alone.fleet(NOW, 1);
    expect_that!(query(&mut alone, NOW, 2), none());
    let mut varying = router(BUSY);
    varying.set_speeds(Speeds::Varying);
    expect_that!(query(&mut varying, NOW, 2), none());
    let mut plain = router(BUSY);
    let read = request("/read/x");
    let ticket = admit(&mut plain, &read);
    expect_that!(plain.load_query(NOW, &ticket, &read), none());
}

/// Guards against a fleet that spends its control traffic on loads.
#[gtest]
fn verify_messages_about_loads_are_bounded() {
    let mut router = router(BUSY);
    let asked = (0..1000).filter(|n| query(&mut router, NOW, *n).is_some());
    expect_that!(asked.count(), all![gt(2), le(13)]);
    expect_that!(router.take_load_notes(), is_empty());
    let later = NOW + Millis(10_000);
    let key = keys(&router)[0];
    let ticket = admit(&mut router, &chat(2));
    router.place(NOW, &ticket, &chat(2)).expect("it is placed");
    for _ in 0..10 * MAX_QUEUED_NOTES {
        router.record_load(later, key, Load::default());
    }
    let endpoint = tag_of(&router, key);
    let notes = router.take_load_notes();
    expect_that!(notes.len(), all![gt(10), le(27)]);
    expect_that!(notes[0], eq(LoadNote { endpoint, load: 0 }));
    expect_that!(router.take_load_notes(), is_empty());
}

/// Guards against two queries with the same number, one of which would take the other's estimate.
#[gtest]
fn verify_queries_have_numbers_of_their_own() {
    let mut nonces = std::collections::BTreeSet::new();
    for salt in 0..8 {
        let mut router = router(BUSY);
        router.set_prefill_salt(salt);
        for n in 0..5 {
            let (_, query) = query(&mut router, NOW, n).expect("it is asked for");
            nonces.insert(query.nonce);
        }
    }
    expect_that!(nonces.len(), eq(40));
}
