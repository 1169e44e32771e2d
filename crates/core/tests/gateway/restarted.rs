//! Tests of endpoints that start again under their names with another software version, before their new entries are
//! read.

use bytes::Bytes;
use googletest::prelude::*;
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Change,
        Gateway,
        Ticket,
        endpoint::Entry,
        incoming_request::IncomingRequest,
        origin::{
            Build,
            Lookup,
            Origin, //
        },
        outcome::AttemptOutcome, //
    },
    units::{
        Millis,
        Time,
        Wall, //
    },
};

use crate::fixture::{
    entry,
    gateway,
    request, //
};

fn old() -> Build {
    Build::of(b"engines", b"v1")
}

fn first(gateway: &Gateway) -> EndpointKey {
    let mut listed = gateway.registry().known(b"engines");
    let key = listed
        .find(|(_, e)| e.entry.id == entry(0).id)
        .map(|(k, _)| k);
    key.expect("it is listed")
}

/// Sends a request to the first endpoint on a connection that was opened at `opened`.
fn send(gateway: &mut Gateway, opened: Time) -> (Ticket, EndpointKey) {
    let mut ticket = gateway
        .admit(opened, &request("/chat/x"))
        .expect("admitted");
    let key = first(gateway);
    ticket.opened = Some(opened);
    gateway.sent(opened, &mut ticket, key);
    (ticket, key)
}

/// Breaks a connection to the first endpoint.
fn break_off(gateway: &mut Gateway, now: Time, outcome: AttemptOutcome) {
    let (mut ticket, key) = send(gateway, now);
    gateway.ended(now, &mut ticket, key, outcome);
}

/// Tells whether a stream of the old version may be sent on a connection to the first endpoint.
fn may_go_on(gateway: &mut Gateway, opened: Time) -> bool {
    let mut ticket = gateway
        .admit(opened, &request("/chat/x"))
        .expect("admitted");
    gateway.set_origin(&mut ticket, Origin::Build(old()));
    let key = first(gateway);
    gateway.is_sure_of_process(&ticket, key, opened)
}

/// Begins a stream on a connection; returns the request.
fn begin(gateway: &mut Gateway, opened: Time) -> Ticket {
    let (mut ticket, key) = send(gateway, opened);
    gateway.heard(opened, key, opened);
    let build = ticket.build;
    let life = ticket.life;
    gateway.begin_stream(opened, &mut ticket, b"a1", (build, life));
    ticket
}

fn list_new(gateway: &mut Gateway, now: Time) {
    let entry = Entry {
        build: Bytes::from_static(b"v2"),
        ..entry(0)
    };
    gateway.record_registry_read(now, now);
    gateway.apply_changes(now, vec![Change::Entry(entry)]);
}

/// Guards against a join at the new process of an endpoint whose connections have broken, or could not be opened.
#[gtest]
fn verify_a_bound_stream_needs_a_read_after_its_connection_was_opened() {
    for outcome in [
        AttemptOutcome::Broken,
        AttemptOutcome::Stalled,
        AttemptOutcome::NotSent,
    ] {
        let mut gateway = gateway(2);
        expect_true!(may_go_on(&mut gateway, Time(50)));
        break_off(&mut gateway, Time(100), outcome);
        // A read between the break and the connection may have come while the endpoint was down.
        gateway.record_registry_read(Time(200), Time(200));
        expect_false!(may_go_on(&mut gateway, Time(300)), "{outcome}");
        gateway.record_registry_read(Time(400), Time(400));
        expect_true!(may_go_on(&mut gateway, Time(300)), "{outcome}");
    }
}

/// Guards against a join after an idle connection has broken, on which no request was in progress.
#[gtest]
fn verify_a_lost_idle_connection_counts_as_a_break() {
    let mut gateway = gateway(2);
    let key = first(&gateway);
    gateway.connection_lost(Time(100), key);
    expect_false!(may_go_on(&mut gateway, Time(300)));
}

/// Guards against doubt without an end: an answer on a connection of after the break and a read of after that end it.
#[gtest]
fn verify_a_read_after_an_answer_on_a_new_connection_ends_the_doubt() {
    let mut gateway = gateway(2);
    break_off(&mut gateway, Time(100), AttemptOutcome::Broken);
    let key = first(&gateway);
    gateway.heard(Time(310), key, Time(300));
    expect_false!(may_go_on(&mut gateway, Time(500)));
    gateway.record_registry_read(Time(400), Time(400));
    expect_true!(may_go_on(&mut gateway, Time(500)));
    break_off(&mut gateway, Time(600), AttemptOutcome::Broken);
    expect_false!(may_go_on(&mut gateway, Time(700)));
}

/// Guards against a resumption of a stream that the new process has begun at an endpoint of the old version.
#[gtest]
fn verify_a_stream_of_a_restarted_endpoint_is_of_unknown_version_until_its_entry_is_read() {
    let mut gateway = gateway(2);
    break_off(&mut gateway, Time(100), AttemptOutcome::Broken);
    let mut ticket = begin(&mut gateway, Time(300));
    expect_that!(
        gateway.settles_after(Time(300), &ticket),
        some(eq(Time(300)))
    );
    list_new(&mut gateway, Time(400));
    gateway.settle_origin(&mut ticket);
    expect_that!(ticket.origin, eq(Origin::Unknown));
}

/// Guards against lost streams where connections break and the endpoint goes on running.
#[gtest]
fn verify_a_stream_is_of_the_entrys_version_once_a_read_confirms_it() {
    for (read, origin) in [(400, Origin::Build(old())), (200, Origin::Unknown)] {
        let mut gateway = gateway(2);
        break_off(&mut gateway, Time(100), AttemptOutcome::Broken);
        let mut ticket = begin(&mut gateway, Time(300));
        gateway.record_registry_read(Time(read), Time(read));
        gateway.settle_origin(&mut ticket);
        expect_that!(ticket.origin, eq(origin));
    }
}

/// Guards against refusals while nothing speaks for a restart.
#[gtest]
fn verify_streams_of_an_endpoint_without_breaks_are_known() {
    let mut gateway = gateway(2);
    let ticket = begin(&mut gateway, Time(300));
    expect_that!(gateway.settles_after(Time(300), &ticket), none());
    expect_that!(gateway.peer_report(&ticket, None).build, some(eq(old())));
}

/// Starts a gateway before two endpoints that state their starts.
fn gateway_with_starts() -> Gateway {
    let mut gateway = gateway(0);
    list_first(&mut gateway, 10, b"v1", 1);
    let second = Entry {
        born: Some(Wall(1)),
        ..entry(1)
    };
    gateway.apply_changes(Time(10), vec![Change::Entry(second)]);
    gateway
}

/// Has a read at `at` find the first endpoint with this version and start.
fn list_first(gateway: &mut Gateway, at: u64, build: &'static [u8], born: u64) {
    let entry = Entry {
        build: Bytes::from_static(build),
        born: Some(Wall(born)),
        ..entry(0)
    };
    gateway.record_registry_read(Time(at), Time(at));
    gateway.apply_changes(Time(at), vec![Change::Entry(entry)]);
}

/// Looks the stream of [`begin`] up for a caller that takes it up.
fn look_up(gateway: &mut Gateway, now: Time) -> Lookup {
    let request = IncomingRequest {
        resumes: Some(Bytes::from_static(b"a1")),
        resume: Some(1),
        ..request("/chat/x")
    };
    let ticket = gateway.admit(now, &request).expect("admitted");
    gateway.look_up_origin(now, &ticket, &request)
}

/// Guards against a join of a stream that a new process has begun before its entry was read, without any sign of its start:
/// in the same answer, when its caller takes it up, and at peers.
#[gtest]
fn verify_a_stream_that_a_new_process_may_have_begun_is_of_unknown_version() {
    for read_before in [10, 300] {
        let mut gateway = gateway_with_starts();
        gateway.record_registry_read(Time(read_before), Time(read_before));
        let mut ticket = begin(&mut gateway, Time(300));
        gateway.take_unsent_streams(Time(300));
        list_first(&mut gateway, 400, b"v2", 2);
        gateway.settle_origin(&mut ticket);
        expect_that!(ticket.origin, eq(Origin::Unknown), "{read_before}");
        let found = look_up(&mut gateway, Time(410));
        expect_that!(found, eq(Lookup::Found(Origin::Unknown)), "{read_before}");
        let told = gateway.take_unsent_streams(Time(420));
        let told: Vec<Build> = told.iter().map(|report| report.build).collect();
        expect_that!(told, eq(&vec![Build::UNKNOWN]), "{read_before}");
    }
}

/// Guards against lost streams of an endpoint that restarts after a read has confirmed its version.
#[gtest]
fn verify_a_stream_that_a_read_has_confirmed_keeps_its_version() {
    let mut gateway = gateway_with_starts();
    let mut ticket = begin(&mut gateway, Time(300));
    gateway.record_registry_read(Time(350), Time(350));
    list_first(&mut gateway, 400, b"v2", 2);
    gateway.settle_origin(&mut ticket);
    expect_that!(ticket.origin, eq(Origin::Build(old())));
    let found = look_up(&mut gateway, Time(410));
    expect_that!(found, eq(Lookup::Found(Origin::Build(old()))));
}

/// Guards against lost streams of an endpoint that restarts with the same version.
#[gtest]
fn verify_a_stream_of_an_endpoint_that_restarts_with_its_version_goes_on() {
    let mut gateway = gateway_with_starts();
    let mut ticket = begin(&mut gateway, Time(300));
    list_first(&mut gateway, 400, b"v1", 2);
    gateway.settle_origin(&mut ticket);
    expect_that!(ticket.origin, eq(Origin::Build(old())));
}

/// Guards against a stream that goes on before a read could show that its endpoint has restarted, and against a wait for a
/// read that confirms nothing new, or that an outage keeps from coming.
#[gtest]
fn verify_a_young_stream_waits_for_a_read_where_endpoints_state_their_starts() {
    let mut gateway = gateway_with_starts();
    let ticket = begin(&mut gateway, Time(300));
    expect_that!(
        gateway.settles_after(Time(310), &ticket),
        some(eq(Time(300)))
    );
    expect_that!(gateway.settles_after(Time(60_000), &ticket), none());
    gateway.record_registry_read(Time(320), Time(320));
    expect_that!(gateway.settles_after(Time(330), &ticket), none());
}

/// Guards against a join at a peer that was told the version of the process before: the later report counts.
#[gtest]
fn verify_peers_are_told_that_a_version_is_unknown() {
    let mut beginner = gateway_with_starts();
    begin(&mut beginner, Time(300));
    let mut peer = gateway_with_starts();
    list_first(&mut beginner, 400, b"v2", 2);
    let told = beginner.take_unsent_streams(Time(410));
    let mut earlier = told.clone();
    earlier[0].build = old();
    earlier[0].age = Millis(200);
    peer.record_peer_streams(Time(500), &earlier);
    peer.record_peer_streams(Time(500), &told);
    let found = look_up(&mut peer, Time(510));
    expect_that!(found, eq(Lookup::Found(Origin::Unknown)));
}
