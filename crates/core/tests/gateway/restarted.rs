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
        origin::{
            Build,
            Origin, //
        },
        outcome::AttemptOutcome, //
    },
    units::Time,
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
    gateway.begin_stream(opened, &mut ticket, b"a1", build);
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
    expect_that!(Gateway::settles_after(&ticket), some(eq(Time(300))));
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
    expect_that!(Gateway::settles_after(&ticket), none());
    expect_that!(gateway.peer_report(&ticket, None).build, some(eq(old())));
}
