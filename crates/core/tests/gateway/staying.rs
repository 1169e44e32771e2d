//! Tests that endpoints get requests only while a recent read or answer confirms that they aren't leaving.

use googletest::prelude::*;
use toucanturn_core::{
    gateway::{
        Change,
        Gateway,
        Ticket,
        mesh::EndpointReport,
        refusal::Cause, //
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::fixture::{
    entry,
    gateway,
    request, //
};

/// The fixture's gateway read the registry at time 0, which confirms its endpoints for 2.7 s.
const LAST_CONFIRMED: Time = Time(2699);
const FIRST_UNCONFIRMED: Time = Time(2700);

fn admit_request(gateway: &mut Gateway, now: Time) -> Ticket {
    let admitted = gateway.admit(now, &request("/read/x"));
    admitted.expect("keys are valid for longer than endpoints are confirmed")
}

fn try_place(gateway: &mut Gateway, now: Time) -> std::result::Result<(), Cause> {
    let ticket = admit_request(gateway, now);
    let placed = gateway.place(now, &ticket, &request("/read/x"));
    placed.map(|_| ()).map_err(|refusal| refusal.cause)
}

/// Sends a request at `sent`, whose answer confirms that its endpoint isn't leaving.
fn confirm_by_answer(gateway: &mut Gateway, sent: Time) {
    let mut ticket = admit_request(gateway, sent);
    let placed = gateway.place(sent, &ticket, &request("/read/x"));
    let endpoint = placed.expect("the endpoint is confirmed").endpoint;
    gateway.sent(sent, &mut ticket, endpoint);
    gateway.confirm(&ticket, endpoint);
}

fn run_ticks(gateway: &mut Gateway, from: u64, to: u64) {
    for now in (from..=to).step_by(100) {
        gateway.tick(Time(now));
    }
}

/// Guards against a request to an endpoint 3.6 s after it has left, because its entry is trusted for as long as keys
/// are.
#[gtest]
fn verify_an_entry_confirms_its_endpoint_for_a_limited_time() {
    let mut gateway = gateway(1);
    expect_that!(try_place(&mut gateway, LAST_CONFIRMED), ok(anything()));
    expect_true!(gateway.ready(LAST_CONFIRMED));
    expect_that!(
        try_place(&mut gateway, FIRST_UNCONFIRMED),
        err(eq(Cause::Unconfirmed))
    );
    expect_false!(
        gateway.ready(FIRST_UNCONFIRMED),
        "another router may have a newer confirmation"
    );
    gateway.record_registry_read(Time(2800), Time(2790));
    expect_that!(try_place(&mut gateway, Time(2800)), ok(anything()));
}

/// If only the registry could confirm endpoints, an outage of it would stop all service 2 s before the age limit of
/// keys does.
#[gtest]
fn verify_an_answer_confirms_its_endpoint_during_a_registry_outage() {
    let mut gateway = gateway(1);
    confirm_by_answer(&mut gateway, Time(2000));
    expect_that!(try_place(&mut gateway, FIRST_UNCONFIRMED), ok(anything()));
    expect_that!(try_place(&mut gateway, Time(4699)), ok(anything()));
    expect_that!(
        try_place(&mut gateway, Time(4700)),
        err(eq(Cause::Unconfirmed))
    );
}

/// The age of a confirmation counts from the sending of the request, as its answer may have waited in this router.
#[gtest]
fn verify_the_age_of_an_answer_counts_from_its_request() {
    let mut gateway = gateway(1);
    let mut ticket = admit_request(&mut gateway, Time(1000));
    let placed = gateway.place(Time(1000), &ticket, &request("/read/x"));
    let endpoint = placed.expect("the endpoint is confirmed").endpoint;
    gateway.sent(Time(1000), &mut ticket, endpoint);
    // The process is suspended, and reads the head of the answer at 3500.
    gateway.confirm(&ticket, endpoint);
    expect_that!(try_place(&mut gateway, Time(3699)), ok(anything()));
    expect_that!(
        try_place(&mut gateway, Time(3700)),
        err(eq(Cause::Unconfirmed))
    );
}

#[gtest]
fn verify_a_leaving_endpoint_gets_no_requests_despite_a_recent_answer() {
    let mut gateway = gateway(1);
    confirm_by_answer(&mut gateway, Time(2000));
    let mut leaving = entry(0);
    leaving.leaving = true;
    gateway.apply_changes(Time(2100), vec![Change::Entry(leaving)]);
    expect_that!(
        try_place(&mut gateway, Time(2100)),
        err(eq(Cause::NoEndpoint))
    );
}

/// While a connection is being opened, the confirmation may expire or the endpoint may announce that it is leaving.
#[gtest]
fn verify_a_chosen_endpoint_is_checked_again_before_the_request_is_sent() {
    let mut gateway = gateway(1);
    let ticket = admit_request(&mut gateway, LAST_CONFIRMED);
    let chosen = gateway.place(LAST_CONFIRMED, &ticket, &request("/read/x"));
    let endpoint = chosen.expect("the endpoint is confirmed").endpoint;
    expect_true!(gateway.may_send(LAST_CONFIRMED, endpoint));
    expect_false!(gateway.may_send(FIRST_UNCONFIRMED, endpoint));
    gateway.record_registry_read(Time(2800), Time(2790));
    expect_true!(gateway.may_send(Time(2800), endpoint));
    let mut leaving = entry(0);
    leaving.leaving = true;
    gateway.apply_changes(Time(2900), vec![Change::Entry(leaving)]);
    expect_false!(gateway.may_send(Time(2900), endpoint));
}

/// An answer to another router confirms an endpoint as well, for a time reduced by the longest possible delay of the
/// report.
#[gtest]
fn verify_an_answer_to_another_router_confirms_for_a_time_reduced_by_its_delay() {
    let mut one = gateway(1);
    confirm_by_answer(&mut one, Time(2500));
    let mut other = gateway(1);
    run_ticks(&mut other, 0, 2600);
    let reports = one.digest_contents(Time(2600), 1).reports;
    other.record_peer_report(Time(2600), &reports);
    // Sent at 2500, but counted as sent at 1700: 300 ms for the answer and 500 ms for the digest's transit.
    expect_that!(try_place(&mut other, FIRST_UNCONFIRMED), ok(anything()));
    expect_that!(try_place(&mut other, Time(4399)), ok(anything()));
    expect_that!(
        try_place(&mut other, Time(4400)),
        err(eq(Cause::Unconfirmed))
    );
    // The confirmation isn't forwarded, as its transit times would add up unnoticed.
    expect_that!(other.digest_contents(Time(2600), 1).reports, is_empty());
}

/// A digest that waited in a socket while its receiver was suspended looks new, but its confirmations may be as old
/// as the suspension was long.
#[gtest]
fn verify_a_digest_that_waited_for_a_suspended_router_confirms_nothing() {
    let confirmation = |gateway: &Gateway, load| EndpointReport {
        delay: None,
        endpoint: gateway
            .registry()
            .usable()
            .next()
            .expect("an endpoint is usable")
            .1
            .tag()
            .0,
        load,
        age: Millis(10),
        confirmed: true,
    };
    for load in [None, Some(3)] {
        let mut suspended = gateway(1);
        run_ticks(&mut suspended, 0, 1000);
        let report = confirmation(&suspended, load);
        // Suspended from 1000 to 4000; the datagram is read before and after the first tick.
        suspended.record_peer_report(Time(4000), &[report]);
        suspended.tick(Time(4001));
        suspended.record_peer_report(Time(4002), &[report]);
        expect_that!(
            try_place(&mut suspended, Time(4003)),
            err(eq(Cause::Unconfirmed))
        );
        run_ticks(&mut suspended, 4100, 4200);
        suspended.record_peer_report(Time(4200), &[report]);
        expect_that!(try_place(&mut suspended, Time(4201)), ok(anything()));
    }
}

/// Digests report confirmations of endpoints without a load as well, and the receiver doesn't assume a load for them.
#[gtest]
fn verify_an_answer_without_a_load_is_reported_to_peers() {
    let mut one = gateway(1);
    confirm_by_answer(&mut one, Time(2500));
    let reports = one.digest_contents(Time(2600), 1).reports;
    expect_that!(
        reports,
        elements_are![matches_pattern!(EndpointReport {
            load: none(),
            age: eq(&Millis(100)),
            confirmed: eq(&true),
            ..
        })]
    );
    let mut other = gateway(1);
    other.record_peer_report(Time(2600), &reports);
    let (_, endpoint) = other
        .registry()
        .usable()
        .next()
        .expect("an endpoint is usable");
    expect_that!(endpoint.age(Time(2600)), none());
}

/// At 1000 the router learns of a newer revision that it can't read. It may contain a new configuration, which must
/// be in force within 3 s. During an outage of the registry nothing is published, so the old one may be used for
/// longer.
#[gtest]
fn verify_routes_expire_sooner_once_a_newer_revision_is_known() {
    let mut gateway = gateway(1);
    expect_that!(
        gateway.admit(Time(4749), &request("/read/x")),
        ok(anything())
    );
    gateway.record_newer_state(Time(1000));
    let refused = |gateway: &mut Gateway, now| {
        let admitted = gateway.admit(Time(now), &request("/read/x"));
        admitted.map(|_| ()).map_err(|refusal| refusal.cause)
    };
    expect_that!(refused(&mut gateway, 2849), ok(anything()));
    expect_that!(refused(&mut gateway, 2850), err(eq(Cause::Stale)));
    expect_false!(gateway.ready(Time(2850)));
    // A copy from before that call doesn't contain the newer revision either; a later one does.
    gateway.record_registry_read(Time(2860), Time(900));
    expect_that!(refused(&mut gateway, 3750), err(eq(Cause::Stale)));
    gateway.record_registry_read(Time(2870), Time(1000));
    expect_that!(refused(&mut gateway, 5749), ok(anything()));
}

/// The deadline counts from the request's head, though the request is admitted only when its body is complete.
#[gtest]
fn verify_a_request_that_waited_keeps_its_deadline() {
    let mut gateway = gateway(1);
    let mut delayed = request("/read/x");
    delayed.waited = Millis(600);
    let ticket = gateway.admit(Time(1000), &delayed);
    let ticket = ticket.expect("the request is admitted");
    expect_that!(ticket.deadline, eq(Time(3400)));
    expect_that!(ticket.until, eq(Time(3400)));
}
