//! Tests of fetching the first parts of prompts from where they were read.

use bytes::Bytes;
use googletest::prelude::*;
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Change,
        Gateway,
        endpoint::Entry,
        incoming_request::{
            IncomingRequest,
            Part,
            Prompt, //
        },
        mesh::MAX_REPORTS,
        place::Placed,
        settings::Bounds,
        shared_reads::{
            MAX_READS,
            ReadReport, //
        }, //
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::fixture::{
    bounds,
    entry,
    gateway,
    gateway_with_seed,
    request,
    state_slowdown, //
};

/// Gets a request of a subject whose prompt begins with `first` of so many tokens.
fn chat((first, tokens): (u64, u32), subject: u64) -> IncomingRequest {
    let part = |id, tokens| Part { id, tokens };
    let parts = [
        part(first, tokens),
        part(subject, 3000),
        part(subject + 10_000, 100),
    ];
    IncomingRequest {
        prompt: Some(Prompt {
            parts: parts.into(),
            input: tokens + 3100,
            output: 50,
            ..Prompt::default()
        }),
        ..request("/chat/x")
    }
}

fn place(gateway: &mut Gateway, now: Time, request: &IncomingRequest) -> Placed {
    let ticket = gateway.admit(now, request).expect("it is admitted");
    let placed = gateway.place(now, &ticket, request);
    placed.expect("there is an endpoint")
}

/// Places a prompt of the long part 1 at 10 ms.
fn reader_of(gateway: &mut Gateway) -> EndpointKey {
    state_slowdown(gateway, Time(10));
    place(gateway, Time(10), &chat((1, 2500), 100)).endpoint
}

/// Counts the prompts of other subjects that fetch from `from`, of those that go to another endpoint.
fn fetches(
    gateway: &mut Gateway,
    now: Time,
    first: (u64, u32),
    from: EndpointKey,
) -> (usize, usize) {
    let placed = (101..141).map(|subject| place(gateway, now, &chat(first, subject)));
    let others: Vec<Placed> = placed.filter(|p| p.endpoint != from).collect();
    let named = others.iter().filter(|p| p.holder == Some(from));
    (named.count(), others.len())
}

/// Guards against reading a part at each endpoint that all subjects share and one has read.
#[gtest]
fn verify_a_new_subject_fetches_the_first_part_from_where_it_was_read() {
    let mut gateway = gateway(8);
    let reader = reader_of(&mut gateway);
    let (named, others) = fetches(&mut gateway, Time(300), (1, 2500), reader);
    expect_that!(others, gt(20));
    expect_that!(named, eq(others));
}

/// Guards against any effect where endpoints state no slowdown.
#[gtest]
fn verify_holders_are_named_by_subjects_where_speeds_do_not_vary() {
    let mut gateway = gateway(8);
    let reader = place(&mut gateway, Time(10), &chat((1, 2500), 100)).endpoint;
    let (named, others) = fetches(&mut gateway, Time(300), (1, 2500), reader);
    expect_that!(named, lt(others / 2));
    expect_that!(gateway.digest_contents(Time(300), 1).reads, is_empty());
}

/// Guards against naming an endpoint that has not read the part yet, or has displaced it since.
#[gtest]
fn verify_a_part_counts_from_its_reading_until_it_is_displaced() {
    for (now, known) in [(100, false), (260, true), (9000, true), (10_100, false)] {
        let reader = reader_of(&mut gateway(8));
        let all = (101..141).map(|subject| chat((1, 2500), subject));
        let named = all.filter(|request| {
            let mut gateway = gateway(8);
            reader_of(&mut gateway);
            gateway.record_registry_read(Time(now), Time(now));
            let placed = place(&mut gateway, Time(now), request);
            placed.endpoint == reader || placed.holder == Some(reader)
        });
        expect_that!(named.count() == 40, eq(known), "at {now} ms");
    }
}

/// Guards against moving parts that are read as soon as they are fetched.
#[gtest]
fn verify_short_parts_are_not_told_of() {
    let mut gateway = gateway(8);
    state_slowdown(&mut gateway, Time(10));
    place(&mut gateway, Time(10), &chat((1, 300), 100));
    expect_that!(gateway.digest_contents(Time(300), 1).reads, is_empty());
}

/// Guards against reading parts again that only a peer knows to be held.
#[gtest]
fn verify_peers_tell_where_a_part_is_read() {
    let mut teller = gateway(8);
    let reader = reader_of(&mut teller);
    let told = teller.digest_contents(Time(100), 1).reads;
    expect_that!(told.len(), eq(1));
    let mut hearer = gateway_with_seed(8, 2);
    state_slowdown(&mut hearer, Time(100));
    hearer.record_peer_reads(Time(100), &told);
    // It passes on what it heard.
    let passed_on = hearer.digest_contents(Time(200), 1).reads;
    expect_that!(passed_on.first().map(|r| r.age), some(ge(Millis(190))));
    let (named, others) = fetches(&mut hearer, Time(300), (1, 2500), reader);
    expect_that!(named, eq(others));
}

/// Guards against subjects that are read again though their endpoint before holds them whole: the chosen one has
/// just joined.
#[gtest]
fn verify_an_endpoint_that_joined_fetches_from_the_one_before_it() {
    let mut gateway = gateway(8);
    let reader = reader_of(&mut gateway);
    let before: Vec<Placed> = (101..141)
        .map(|subject| place(&mut gateway, Time(300), &chat((1, 2500), subject)))
        .collect();
    gateway.apply_changes(Time(310), vec![Change::Entry(entry(50))]);
    let mut moved = 0;
    for (subject, held) in (101..141).zip(before) {
        let now = place(&mut gateway, Time(320), &chat((1, 2500), subject));
        if now.endpoint != held.endpoint && held.endpoint != reader {
            expect_that!(now.holder, some(eq(held.endpoint)));
            moved += 1;
        }
    }
    expect_that!(moved, gt(1));
}

/// Guards against fetching from an endpoint that is gone, and against none at all then.
#[gtest]
fn verify_the_next_in_the_order_is_named_when_the_reader_is_gone() {
    let mut gateway = gateway(8);
    let reader = reader_of(&mut gateway);
    let id = gateway.registry().get(reader).map(|e| e.entry.id.clone());
    let removed = Change::Removed(id.expect("it is listed"));
    gateway.apply_changes(Time(20), vec![removed]);
    let request = chat((1, 2500), 101);
    let after = place(&mut gateway, Time(300), &request);
    expect_that!(after.holder, not(eq(Some(reader))));
    expect_that!(after.holder, some(anything()));
}

/// Guards against reading again what an endpoint that is leaving still holds.
#[gtest]
fn verify_an_endpoint_that_leaves_is_still_fetched_from() {
    let mut gateway = gateway(8);
    let reader = reader_of(&mut gateway);
    let listed = gateway.registry().get(reader).expect("it is listed");
    let mut leaving = listed.entry.clone();
    leaving.leaving = true;
    gateway.apply_changes(Time(20), vec![Change::Entry(leaving)]);
    let (named, others) = fetches(&mut gateway, Time(300), (1, 2500), reader);
    expect_that!(others, eq(40));
    expect_that!(named, gt(30));
}

/// Guards against fetching across a border that an evacuation closes.
#[gtest]
fn verify_nothing_is_fetched_from_an_endpoint_that_was_evacuated_for_long() {
    let evacuated = |now| {
        let mut gateway = gateway(8);
        gateway.set_bounds(Bounds {
            evacuation: Some(Millis(3000)),
            ..bounds()
        });
        let elsewhere = (20..28).map(|number| Entry {
            data_center: Bytes::from_static(b"b"),
            ..entry(number)
        });
        gateway.apply_changes(Time(0), elsewhere.map(Change::Entry).collect());
        state_slowdown(&mut gateway, Time(10));
        let mut readers = (200..240).map(|subject| {
            let reader = place(&mut gateway, Time(10), &chat((subject, 2500), subject)).endpoint;
            let listed = gateway.registry().get(reader).expect("it is listed");
            (subject, reader, listed.entry.data_center == b"b".as_slice())
        });
        let (first, reader, _) = readers.find(|reader| reader.2).expect("one is in b");
        let evacuation = Change::Evacuated(Bytes::from_static(b"b"));
        gateway.apply_changes(Time(20), vec![evacuation]);
        gateway.record_registry_read(Time(now), Time(now));
        fetches(&mut gateway, Time(now), (first, 2500), reader).0
    };
    expect_that!(evacuated(300), gt(0));
    expect_that!(evacuated(1600), eq(0));
}

/// Guards against naming nobody where nothing is known: the router has just started, and no digest came.
#[gtest]
fn verify_a_router_that_has_just_started_names_the_next_in_the_order() {
    let mut varying = gateway(8);
    state_slowdown(&mut varying, Time(10));
    let mut constant = gateway(8);
    for subject in 101..111 {
        let request = chat((subject + 500, 2500), subject);
        let holder = place(&mut varying, Time(10), &request).holder;
        expect_that!(holder, some(anything()));
        expect_that!(place(&mut constant, Time(10), &request).holder, eq(holder));
    }
}

/// Guards against messages that grow, and against state that grows with the parts that callers name.
#[gtest]
fn verify_reports_and_parts_are_bounded() {
    let mut gateway = gateway(8);
    state_slowdown(&mut gateway, Time(10));
    for first in 0..1000 {
        place(
            &mut gateway,
            Time(20),
            &chat((first, 2500), 100_000 + first),
        );
        gateway.record_peer_reads(
            Time(20),
            &[ReadReport {
                part: u32::MAX - u32::try_from(first).expect("it is small"),
                endpoint: 1,
                age: Millis(0),
            }],
        );
    }
    let contents = gateway.digest_contents(Time(30), 5);
    expect_that!(contents.reads.len(), eq(MAX_READS));
    expect_that!(contents.reports.len(), le(MAX_REPORTS - MAX_READS));
    let told: std::collections::BTreeSet<u32> = (0..1000)
        .flat_map(|draw| gateway.digest_contents(Time(30), draw).reads)
        .map(|report| report.part)
        .collect();
    expect_that!(told.len(), le(64));
}

/// Guards against old reports that go from router to router for ever.
#[gtest]
fn verify_old_reports_are_not_taken_in() {
    let mut gateway = gateway(8);
    state_slowdown(&mut gateway, Time(20_000));
    let report = ReadReport {
        part: 1,
        endpoint: 1,
        age: Millis(10_000),
    };
    gateway.record_peer_reads(Time(20_000), &[report]);
    expect_that!(gateway.digest_contents(Time(20_000), 1).reads, is_empty());
}
