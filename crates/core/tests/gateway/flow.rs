//! Tests of a request's path through [`Gateway`]: admission, placement, attempts and refusals.

use bytes::Bytes;
use googletest::prelude::*;
use toucanturn_core::{
    gateway::{
        Change, Gateway, RegistryEvent, Ticket,
        catalog::{
            Catalog,
            Undecoded, //
        },
        outcome::{
            AttemptOutcome,
            NextStep, //
        },
        refusal::{
            Cause,
            Refusal, //
        },
        retry_delay,
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::fixture::{
    HOST,
    bounds,
    catalog_change,
    gateway,
    raw_catalog,
    request, //
};

fn cause_and_retryable(refused: std::result::Result<Ticket, Refusal>) -> (Cause, bool) {
    let refusal = refused.expect_err("the request is refused");
    expect_false!(refusal.may_have_run);
    (refusal.cause, refusal.retryable)
}

/// Sends the next attempt and ends it with `outcome`.
fn send_attempt(
    gateway: &mut Gateway,
    ticket: &mut Ticket,
    path: &str,
    outcome: AttemptOutcome,
) -> NextStep {
    let placed = gateway
        .place(Time(20), ticket, &request(path))
        .expect("an endpoint is available");
    gateway.sent(Time(20), ticket, placed.endpoint);
    gateway.ended(Time(30), ticket, placed.endpoint, outcome)
}

#[gtest]
fn verify_requests_are_refused_as_not_ready_before_the_first_configuration() {
    let mut gateway = Gateway::new(bounds(), 1);
    expect_false!(gateway.ready(Time(0)));
    let refused = gateway.admit(Time(0), &request("/chat/x"));
    expect_that!(cause_and_retryable(refused), eq((Cause::NotReady, true)));
}

#[gtest]
fn verify_unknown_routes_and_keys_are_refused_as_not_retryable() {
    let mut gateway = gateway(2);
    let unknown = gateway.admit(Time(10), &request("/nowhere/x"));
    expect_that!(
        cause_and_retryable(unknown),
        eq((Cause::UnknownRoute, false))
    );
    let mut unauthorized = request("/chat/x");
    unauthorized.key = Some(Bytes::from_static(b"other"));
    let refused = gateway.admit(Time(10), &unauthorized);
    expect_that!(cause_and_retryable(refused), eq((Cause::UnknownKey, false)));
    unauthorized.key = None;
    let refused = gateway.admit(Time(10), &unauthorized);
    expect_that!(cause_and_retryable(refused), eq((Cause::UnknownKey, false)));
}

/// Guards against a partitioned router that admits requests with a revoked key: without a limit on
/// the age of its configuration, it would never notice that the key was removed.
#[gtest]
fn verify_nothing_is_admitted_on_old_knowledge() {
    let mut gateway = gateway(2);
    expect_that!(
        gateway.admit(Time(4749), &request("/chat/x")),
        ok(anything())
    );
    let refused = gateway.admit(Time(4750), &request("/chat/x"));
    expect_that!(cause_and_retryable(refused), eq((Cause::Stale, true)));
    expect_false!(gateway.ready(Time(4750)));
    gateway.record_registry_read(Time(4800), Time(4790));
    expect_that!(
        gateway.admit(Time(4800), &request("/chat/x")),
        ok(anything())
    );
}

/// Guards against keys and routes that stay in force although the registry holds a configuration of a
/// lower version: reads went on proving the one before.
#[gtest]
fn verify_no_read_proves_a_configuration_after_one_of_a_lower_version() {
    let mut gateway = gateway(1);
    let bounds = bounds();
    gateway.record_registry_read(Time(1000), Time(1000));
    gateway.apply_changes(Time(1000), vec![catalog_change(9)]);
    gateway.record_registry_read(Time(2000), Time(2000));
    let events = gateway.apply_changes(Time(2000), vec![catalog_change(8)]);
    let older = RegistryEvent::Older {
        version: 8,
        held: 9,
    };
    expect_that!(events, elements_are![eq(&older)]);
    let last = Time(1000) + bounds.routes;
    for now in (2000..6000).step_by(100).map(Time) {
        gateway.record_registry_read(now, now);
        gateway.apply_changes(now, Vec::new());
        expect_that!(gateway.catalog().map(|c| c.version), some(eq(9)));
        let admitted = gateway.admit(now, &request("/chat/x"));
        if now < last {
            expect_that!(admitted, ok(anything()), "{now:?}");
        } else {
            expect_that!(cause_and_retryable(admitted), eq((Cause::Stale, true)));
        }
    }
    gateway.apply_changes(Time(6000), vec![catalog_change(9)]);
    expect_that!(
        gateway.admit(Time(6000), &request("/chat/x")),
        ok(anything())
    );
}

/// Guards against a key that stays in force although the registry holds another document of the same
/// version, which takes it away.
#[gtest]
fn verify_another_document_of_the_same_version_is_applied() {
    let mut gateway = gateway(1);
    gateway.apply_changes(Time(1), vec![catalog_change(9)]);
    let mut raw = raw_catalog(9);
    raw.workspaces = Some(Vec::new());
    raw.secret = [8; 32];
    let catalog = Catalog::try_from(raw).expect("the configuration is valid");
    let events = gateway.apply_changes(Time(2), vec![Change::Catalog(Box::new(catalog))]);
    expect_that!(
        events,
        elements_are![eq(&RegistryEvent::Applied { version: 9 })]
    );
    let refused = gateway.admit(Time(10), &request("/chat/x"));
    expect_that!(cause_and_retryable(refused), eq((Cause::UnknownKey, false)));
}

/// Guards against a refusal for good of a request whose route or key is published but can't be used.
#[gtest]
fn verify_a_request_of_a_piece_that_cannot_be_used_may_come_back() {
    let mut gateway = gateway(1);
    let catalog = |undecoded| {
        let mut raw = raw_catalog(9);
        raw.secret = [9; 32];
        let (catalog, _) = Catalog::from_usable(raw, undecoded);
        vec![Change::Catalog(Box::new(catalog))]
    };
    let place = (HOST, "/deep/");
    let place = (Bytes::from(place.0), Bytes::from(place.1));
    let unusable = Undecoded {
        routes: vec![place],
        keys: vec![Bytes::from_static(b"lost")],
        ..Undecoded::default()
    };
    gateway.apply_changes(Time(2), catalog(unusable));
    let mut lost = request("/chat/x");
    lost.key = Some(Bytes::from_static(b"lost"));
    for request in [request("/deep/x"), lost] {
        let refused = gateway.admit(Time(10), &request);
        let expected = (Cause::UnusableConfiguration, true);
        expect_that!(cause_and_retryable(refused), eq(expected));
    }
    let refused = gateway.admit(Time(10), &request("/nowhere/x"));
    expect_that!(
        cause_and_retryable(refused),
        eq((Cause::UnknownRoute, false))
    );
    expect_that!(gateway.admit(Time(10), &request("/chat/x")), ok(anything()));
}

#[gtest]
fn verify_a_non_idempotent_request_that_may_have_run_is_not_retried() {
    for outcome in [
        AttemptOutcome::Broken,
        AttemptOutcome::Stalled,
        AttemptOutcome::Failed,
    ] {
        let mut gateway = gateway(4);
        let mut ticket = gateway
            .admit(Time(10), &request("/once/x"))
            .expect("the request is admitted");
        let next = send_attempt(&mut gateway, &mut ticket, "/once/x", outcome);
        expect_that!(next, eq(NextStep::GiveUp));
        expect_true!(ticket.may_have_run);
    }
}

#[gtest]
fn verify_a_rejected_request_is_retried_at_another_endpoint() {
    let mut gateway = gateway(4);
    let mut ticket = gateway
        .admit(Time(10), &request("/once/x"))
        .expect("the request is admitted");
    let next = send_attempt(
        &mut gateway,
        &mut ticket,
        "/once/x",
        AttemptOutcome::Rejected,
    );
    expect_that!(next, eq(NextStep::Again));
    let placed = gateway.place(Time(40), &ticket, &request("/once/x"));
    let retried = placed.expect("another endpoint is available").endpoint;
    expect_false!(ticket.tried.contains(&retried));
}

/// Guards against a refusal that says "not run" because only the last attempt counts: the first
/// attempt breaks off and may have run, the second can't be sent.
#[gtest]
fn verify_a_refusal_reports_that_an_earlier_attempt_may_have_run() {
    let mut gateway = gateway(2);
    let mut ticket = gateway
        .admit(Time(10), &request("/read/x"))
        .expect("the request is admitted");
    let next = send_attempt(&mut gateway, &mut ticket, "/read/x", AttemptOutcome::Broken);
    expect_that!(next, eq(NextStep::Again));
    let placed = gateway
        .place(Time(40), &ticket, &request("/read/x"))
        .expect("an endpoint is available");
    gateway.unreached(Time(50), &mut ticket, placed.endpoint);
    let refusal = gateway.place(Time(60), &ticket, &request("/read/x"));
    let refusal = refusal.expect_err("all endpoints were tried");
    expect_true!(refusal.may_have_run);
    expect_false!(refusal.retryable);
}

#[gtest]
fn verify_attempts_of_one_request_are_limited() {
    let mut gateway = gateway(5);
    let mut ticket = gateway
        .admit(Time(10), &request("/read/x"))
        .expect("the request is admitted");
    expect_that!(
        send_attempt(&mut gateway, &mut ticket, "/read/x", AttemptOutcome::Failed),
        eq(NextStep::Again)
    );
    expect_that!(
        send_attempt(&mut gateway, &mut ticket, "/read/x", AttemptOutcome::Failed),
        eq(NextStep::GiveUp)
    );
}

#[gtest]
fn verify_retries_of_all_requests_are_limited() {
    let mut gateway = gateway(5);
    let retried = (0..100).filter(|_| {
        let mut ticket = gateway
            .admit(Time(10), &request("/read/x"))
            .expect("the request is admitted");
        send_attempt(&mut gateway, &mut ticket, "/read/x", AttemptOutcome::Failed)
            == NextStep::Again
            && send_attempt(&mut gateway, &mut ticket, "/read/x", AttemptOutcome::Failed)
                == NextStep::GiveUp
    });
    expect_that!(retried.count(), le(20 + 3));
}

#[gtest]
fn verify_the_route_limit_caps_the_deadline() {
    let mut gateway = gateway(2);
    let mut long_deadline = request("/chat/x");
    long_deadline.deadline = Some(Millis(60_000));
    let ticket = gateway
        .admit(Time(10), &long_deadline)
        .expect("the request is admitted");
    expect_that!(ticket.until, eq(Time(4010)));
    let refusal = gateway.place(Time(4010), &ticket, &long_deadline);
    expect_that!(
        refusal.expect_err("the deadline has passed").cause,
        eq(Cause::Deadline)
    );
}

/// Guards against streams that are cut when all routers stop at once: a router accepted a request
/// that may last 12 s, 4.1 s after the stop signal and 3.5 s before its process ended.
#[gtest]
fn verify_a_stopping_router_takes_nothing_that_outlasts_it() {
    let mut gateway = gateway(2);
    gateway.end_at(Time(0), Time(3000));
    gateway.close();
    expect_that!(gateway.admit(Time(0), &request("/chat/x")), ok(anything()));
    let refused = gateway.admit(Time(1), &request("/chat/x"));
    expect_that!(cause_and_retryable(refused), eq((Cause::Stopping, true)));
}

#[gtest]
fn verify_retry_after_is_at_most_a_third_of_the_remaining_time() {
    for draw in 0..1000 {
        let wait = retry_delay(Time(0), Time(600), draw);
        expect_that!(wait.0, le(200));
        let wait = retry_delay(Time(0), Time(60_000), draw);
        expect_that!(wait.0, all!(ge(150), lt(300)));
    }
    expect_that!(retry_delay(Time(10), Time(5), 3), eq(Millis(0)));
}

/// Guards against a caller that waits until its deadline for an endpoint that accepted the request
/// and hangs, while other endpoints are free.
#[gtest]
fn verify_the_silence_timeout_applies_only_where_another_attempt_may_follow() {
    let mut gateway = gateway(3);
    let silence_timeouts = |gateway: &mut Gateway, path: &str, attempts: u32| {
        let mut ticket = gateway
            .admit(Time(10), &request(path))
            .expect("the request is admitted");
        for _ in 0..attempts {
            let placed = gateway
                .place(Time(20), &ticket, &request(path))
                .expect("an endpoint is available");
            gateway.sent(Time(20), &mut ticket, placed.endpoint);
        }
        let first = gateway.silence_timeout(Time(30), &ticket, false);
        (first, gateway.silence_timeout(Time(30), &ticket, true))
    };
    // Twice the route's goal before the first event; four times its longest pause after it.
    let stream = silence_timeouts(&mut gateway, "/chat/x", 1);
    expect_that!(stream, eq((Some(Millis(1000)), Some(Millis(1200)))));
    // No timeout applies to a non-idempotent request that may have run, nor to the last attempt.
    expect_that!(
        silence_timeouts(&mut gateway, "/once/x", 1),
        eq((None, None))
    );
    expect_that!(
        silence_timeouts(&mut gateway, "/chat/x", 2),
        eq((None, None))
    );
}
