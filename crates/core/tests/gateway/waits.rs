//! Tests of expected waits: what routers know of unanswered requests, and which prompts avoid them.

use googletest::prelude::*;
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        Ticket,
        endpoint::Load,
        incoming_request::{
            IncomingRequest,
            Part,
            Prompt, //
        },
        mesh::{
            EndpointReport,
            MAX_REPORTS,
            MAX_WAIT_REPORTS, //
        },
        outcome::AttemptOutcome,
        waits::Waits, //
    },
    units::{
        Millis,
        Permille,
        Time, //
    },
};

use crate::fixture::{
    gateway,
    request,
    state_slowdown, //
};

/// Gets a request with a shared part of so many tokens.
fn chat(shared: u64, tokens: u32) -> IncomingRequest {
    let part = |id, tokens| Part { id, tokens };
    IncomingRequest {
        prompt: Some(Prompt {
            parts: vec![part(shared, tokens), part(shared + 1000, 100)].into(),
            input: tokens + 100,
            output: 50,
            ..Prompt::default()
        }),
        ..request("/chat/x")
    }
}

fn place(gateway: &mut Gateway, now: Time, request: &IncomingRequest) -> (Ticket, EndpointKey) {
    let ticket = gateway.admit(now, request).expect("it is admitted");
    let placed = gateway.place(now, &ticket, request);
    (ticket, placed.expect("there is an endpoint").endpoint)
}

fn wait_report(gateway: &Gateway, key: EndpointKey, wait: u64) -> EndpointReport {
    let endpoint = gateway.registry().get(key).expect("it is listed");
    EndpointReport {
        endpoint: endpoint.tag().0,
        load: None,
        age: Millis(0),
        confirmed: false,
        delay: Some(Millis(wait)),
    }
}

/// Tells whether a prompt of so many tokens goes, at `now`, where another one has been sent at 10 ms that is
/// answered at `answered`.
fn stays(now: u64, tokens: u32, answered: Option<u64>) -> bool {
    let mut gateway = gateway(12);
    state_slowdown(&mut gateway, Time(10));
    let (mut ticket, first) = place(&mut gateway, Time(10), &chat(7, tokens));
    gateway.sent(Time(10), &mut ticket, first);
    if let Some(at) = answered {
        gateway.record_begun(Time(at), &ticket, first);
    }
    place(&mut gateway, Time(now), &chat(7, tokens)).1 == first
}

/// Guards against short prompts that are late behind a long one that is read.
#[gtest]
fn verify_short_prompts_avoid_an_endpoint_where_a_request_waits() {
    expect_true!(stays(100, 600, None), "a short wait");
    expect_false!(stays(300, 600, None));
    expect_true!(stays(300, 9000, None), "reading takes longer");
    expect_false!(stays(1200, 9000, None));
    expect_true!(stays(2000, 600, Some(410)), "the wait is over");
}

/// Guards against long prompts that stay where they are certainly late, as reading elsewhere takes long, too.
#[gtest]
fn verify_a_long_prompt_leaves_an_endpoint_where_it_would_be_late() {
    expect_true!(stays(400, 14_000, None), "it may still be on time");
    expect_false!(stays(700, 14_000, None));
    expect_false!(stays(700, 9000, None));
}

/// Guards against any effect where endpoints state no slowdown.
#[gtest]
fn verify_waits_decide_nothing_where_speeds_do_not_vary() {
    let mut gateway = gateway(12);
    let (mut ticket, first) = place(&mut gateway, Time(10), &chat(7, 600));
    gateway.sent(Time(10), &mut ticket, first);
    let (_, second) = place(&mut gateway, Time(900), &chat(7, 600));
    expect_that!(second, eq(first));
    expect_that!(
        gateway.digest_contents(Time(900), 1).reports,
        each(field!(&EndpointReport.delay, none()))
    );
}

/// Guards against a loss of locality: where all wait alike, the prompt goes where its parts are held.
#[gtest]
fn verify_a_prompt_stays_where_all_endpoints_wait_alike() {
    let mut gateway = gateway(12);
    let (_, first) = place(&mut gateway, Time(10), &chat(7, 600));
    let keys: Vec<EndpointKey> = gateway.registry().usable().map(|(k, _)| k).collect();
    for key in keys {
        let report = wait_report(&gateway, key, 800);
        gateway.record_peer_report(Time(10), &[report]);
    }
    let (_, second) = place(&mut gateway, Time(20), &chat(7, 600));
    expect_that!(second, eq(first));
}

/// Guards against a peer that is lost, or whose digests are late: what it told ends.
#[gtest]
fn verify_a_peer_s_report_of_a_wait_ends() {
    let stays = |now, age| {
        let mut gateway = gateway(12);
        let (_, first) = place(&mut gateway, Time(10), &chat(7, 600));
        let report = EndpointReport {
            age: Millis(age),
            ..wait_report(&gateway, first, 600)
        };
        gateway.record_registry_read(Time(2010), Time(2010));
        gateway.record_peer_report(Time(2010), &[report]);
        place(&mut gateway, Time(now), &chat(7, 600)).1 == first
    };
    expect_false!(stays(2020, 0));
    expect_true!(stays(3300, 0));
    expect_true!(stays(2020, 1500));
    expect_true!(stays(2020, 2000));
}

/// Guards against digests that grow, and against waits that reach only those that are told first.
#[gtest]
fn verify_digests_pass_the_longest_waits_on_within_their_size() {
    let mut gateway = gateway(60);
    let keys: Vec<EndpointKey> = gateway.registry().usable().map(|(k, _)| k).collect();
    let load = Load {
        running: 1,
        slots: 64,
        slowdown: Some(Permille(1000)),
        ..Load::default()
    };
    for (wait, key) in (100..).zip(&keys) {
        gateway.record_load(Time(10), *key, load);
        let report = wait_report(&gateway, *key, wait);
        gateway.record_peer_report(Time(10), &[report]);
    }
    let reports = gateway.digest_contents(Time(20), 1).reports;
    expect_that!(reports.len(), le(MAX_REPORTS));
    let waits = reports.iter().filter(|r| r.tells_wait());
    let waits: Vec<u64> = waits.filter_map(|r| r.delay).map(|d| d.0).collect();
    expect_that!(waits.len(), eq(MAX_WAIT_REPORTS));
    expect_that!(waits, each(ge(&152)));
    let old = gateway.digest_contents(Time(700), 1).reports;
    expect_false!(old.iter().any(EndpointReport::tells_wait));
}

/// Guards against callers that leave: an endpoint would count as busy for good.
#[gtest]
fn verify_a_request_whose_caller_left_does_not_wait_on() {
    let mut gateway = gateway(12);
    state_slowdown(&mut gateway, Time(10));
    let (mut ticket, first) = place(&mut gateway, Time(10), &chat(7, 600));
    gateway.sent(Time(10), &mut ticket, first);
    gateway.caller_left(Time(400), ticket.owner, first);
    let endpoint = gateway.registry().get(first).expect("it is listed");
    expect_that!(endpoint.waits.expected(Time(500)), eq(Millis(0)));
    let (mut ticket, first) = place(&mut gateway, Time(500), &chat(7, 600));
    gateway.sent(Time(500), &mut ticket, first);
    gateway.ended(Time(900), &mut ticket, first, AttemptOutcome::Broken);
    let endpoint = gateway.registry().get(first).expect("it is listed");
    expect_that!(endpoint.waits.expected(Time(900)), eq(Millis(0)));
}

/// Guards against a router that forgets a long wait as it hears of a request that has just been sent.
#[gtest]
fn verify_a_short_wait_that_goes_on_does_not_replace_a_long_one() {
    let mut waits = Waits::default();
    waits.record_peer(Time(1000), Millis(800), true);
    waits.record_peer(Time(1050), Millis(60), true);
    expect_that!(waits.expected(Time(1050)), gt(Millis(700)));
    waits.record_peer(Time(1060), Millis(60), false);
    expect_that!(waits.expected(Time(1060)), eq(Millis(60)));
    waits.record_peer(Time(1055), Millis(900), true);
    expect_that!(waits.expected(Time(1060)), eq(Millis(60)), "older news");
}

/// Guards against state that grows with the requests of one endpoint.
#[gtest]
fn verify_unanswered_requests_are_bounded() {
    let mut waits = Waits::default();
    for at in 0..1000 {
        waits.sent(Time(at));
    }
    expect_that!(waits.expected(Time(1000)), lt(Millis(40)));
}
