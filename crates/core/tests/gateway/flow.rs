//! Requests on their way through a gateway.

use bytes::Bytes;
use googletest::prelude::*;
use toucanturn_core::{
    gateway::{
        Gateway, News, Ticket, come_back,
        fate::{
            Fate,
            Next, //
        },
        refusal::{
            Cause,
            Refusal, //
        },
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::fixture::{
    ask,
    bounds,
    catalog,
    gateway, //
};

fn cause(refused: std::result::Result<Ticket, Refusal>) -> (Cause, bool) {
    let refusal = refused.expect_err("it is refused");
    expect_false!(refusal.may_have_run);
    (refusal.cause, refusal.again)
}

/// Sends the next attempt and ends it.
fn attempt(gateway: &mut Gateway, ticket: &mut Ticket, path: &str, fate: Fate) -> Next {
    let placed = gateway
        .place(Time(20), ticket, &ask(path))
        .expect("there is one");
    gateway.sent(Time(20), ticket, placed.endpoint);
    gateway.ended(Time(30), ticket, placed.endpoint, fate)
}

#[gtest]
fn verify_a_gateway_that_knows_nothing_says_so() {
    let mut gateway = Gateway::new(bounds(), 1);
    expect_false!(gateway.ready(Time(0)));
    let refused = gateway.admit(Time(0), &ask("/chat/x"));
    expect_that!(cause(refused), eq((Cause::NotReady, true)));
}

#[gtest]
fn verify_unknown_routes_and_keys_are_refused_for_good() {
    let mut gateway = gateway(2);
    let unknown = gateway.admit(Time(10), &ask("/nowhere/x"));
    expect_that!(cause(unknown), eq((Cause::UnknownRoute, false)));
    let mut stranger = ask("/chat/x");
    stranger.key = Some(Bytes::from_static(b"other"));
    let refused = gateway.admit(Time(10), &stranger);
    expect_that!(cause(refused), eq((Cause::UnknownKey, false)));
    stranger.key = None;
    let refused = gateway.admit(Time(10), &stranger);
    expect_that!(cause(refused), eq((Cause::UnknownKey, false)));
}

/// Symptom: a request with a key that was taken away ran on a router that was cut off.
/// Sequence: the router reads the registry at 0 and never again; the key is taken away at 1.
/// Cause: it acted on a configuration without asking how old it was.
#[gtest]
fn verify_nothing_is_admitted_on_old_knowledge() {
    let mut gateway = gateway(2);
    expect_that!(gateway.admit(Time(4749), &ask("/chat/x")), ok(anything()));
    let refused = gateway.admit(Time(4750), &ask("/chat/x"));
    expect_that!(cause(refused), eq((Cause::Stale, true)));
    expect_false!(gateway.ready(Time(4750)));
    gateway.proved(Time(4800), Time(4790));
    expect_that!(gateway.admit(Time(4800), &ask("/chat/x")), ok(anything()));
}

#[gtest]
fn verify_an_older_configuration_changes_nothing() {
    let mut gateway = gateway(1);
    gateway.follow(Time(1), vec![catalog(9)]);
    let news = gateway.follow(Time(2), vec![catalog(8)]);
    let older = News::Older {
        version: 8,
        held: 9,
    };
    expect_that!(news, elements_are![eq(&older)]);
    expect_that!(gateway.catalog().map(|c| c.version), some(eq(9)));
}

#[gtest]
fn verify_a_call_that_may_have_run_is_given_up() {
    for fate in [Fate::Broken, Fate::Stalled, Fate::Failed] {
        let mut gateway = gateway(4);
        let mut ticket = gateway
            .admit(Time(10), &ask("/once/x"))
            .expect("it is admitted");
        let next = attempt(&mut gateway, &mut ticket, "/once/x", fate);
        expect_that!(next, eq(Next::GiveUp));
        expect_true!(ticket.may_have_run);
    }
}

#[gtest]
fn verify_a_rejected_call_goes_elsewhere() {
    let mut gateway = gateway(4);
    let mut ticket = gateway
        .admit(Time(10), &ask("/once/x"))
        .expect("it is admitted");
    let next = attempt(&mut gateway, &mut ticket, "/once/x", Fate::Rejected);
    expect_that!(next, eq(Next::Again));
    let placed = gateway.place(Time(40), &ticket, &ask("/once/x"));
    let again = placed.expect("there is another").endpoint;
    expect_false!(ticket.tried.contains(&again));
}

/// Symptom: "not run" was said of a call that ran.
/// Sequence: the first attempt breaks off, the second can't be sent at all.
/// Cause: the answer followed from the last attempt alone.
#[gtest]
fn verify_an_earlier_attempt_that_may_have_run_is_not_forgotten() {
    let mut gateway = gateway(2);
    let mut ticket = gateway
        .admit(Time(10), &ask("/read/x"))
        .expect("it is admitted");
    let next = attempt(&mut gateway, &mut ticket, "/read/x", Fate::Broken);
    expect_that!(next, eq(Next::Again));
    let placed = gateway
        .place(Time(40), &ticket, &ask("/read/x"))
        .expect("there is one");
    gateway.unreached(Time(50), &mut ticket, placed.endpoint);
    let refusal = gateway.place(Time(60), &ticket, &ask("/read/x"));
    let refusal = refusal.expect_err("all were tried");
    expect_true!(refusal.may_have_run);
    expect_false!(refusal.again);
}

#[gtest]
fn verify_attempts_are_bounded() {
    let mut gateway = gateway(5);
    let mut ticket = gateway
        .admit(Time(10), &ask("/read/x"))
        .expect("it is admitted");
    expect_that!(
        attempt(&mut gateway, &mut ticket, "/read/x", Fate::Failed),
        eq(Next::Again)
    );
    expect_that!(
        attempt(&mut gateway, &mut ticket, "/read/x", Fate::Failed),
        eq(Next::GiveUp)
    );
}

#[gtest]
fn verify_retries_of_all_requests_are_bounded() {
    let mut gateway = gateway(5);
    let again = (0..100).filter(|_| {
        let mut ticket = gateway
            .admit(Time(10), &ask("/read/x"))
            .expect("it is admitted");
        attempt(&mut gateway, &mut ticket, "/read/x", Fate::Failed) == Next::Again
            && attempt(&mut gateway, &mut ticket, "/read/x", Fate::Failed) == Next::GiveUp
    });
    expect_that!(again.count(), le(20 + 3));
}

#[gtest]
fn verify_time_runs_out_at_the_route_s_limit() {
    let mut gateway = gateway(2);
    let mut patient = ask("/chat/x");
    patient.deadline = Some(Millis(60_000));
    let ticket = gateway.admit(Time(10), &patient).expect("it is admitted");
    expect_that!(ticket.until, eq(Time(4010)));
    let refusal = gateway.place(Time(4010), &ticket, &patient);
    expect_that!(refusal.expect_err("it is late").cause, eq(Cause::Deadline));
}

/// Symptom: a stream was cut in its middle when all routers stopped at once.
/// Sequence: the signal comes; 4.1 s later a request that may last 12 s; the process ends 3.5 s on.
/// Cause: a stopping router took requests that it could not finish.
#[gtest]
fn verify_a_stopping_router_takes_nothing_that_outlasts_it() {
    let mut gateway = gateway(2);
    gateway.end_at(Time(0), Time(3000));
    gateway.close();
    expect_that!(gateway.admit(Time(0), &ask("/chat/x")), ok(anything()));
    let refused = gateway.admit(Time(1), &ask("/chat/x"));
    expect_that!(cause(refused), eq((Cause::Stopping, true)));
}

#[gtest]
fn verify_callers_come_back_within_a_third_of_their_time() {
    for draw in 0..1000 {
        let wait = come_back(Time(0), Time(600), draw);
        expect_that!(wait.0, le(200));
        let wait = come_back(Time(0), Time(60_000), draw);
        expect_that!(wait.0, all!(ge(150), lt(300)));
    }
    expect_that!(come_back(Time(10), Time(5), 3), eq(Millis(0)));
}

/// Symptom: a caller waited until its deadline for an endpoint that hung, while others were free.
/// Sequence: an endpoint takes a request and says nothing.
/// Cause: nobody asked whether it still lived.
#[gtest]
fn verify_patience_ends_only_where_another_attempt_may_follow() {
    let mut gateway = gateway(3);
    let patience = |gateway: &mut Gateway, path: &str, sends: u32| {
        let mut ticket = gateway.admit(Time(10), &ask(path)).expect("it is admitted");
        for _ in 0..sends {
            let placed = gateway
                .place(Time(20), &ticket, &ask(path))
                .expect("there is one");
            gateway.sent(Time(20), &mut ticket, placed.endpoint);
        }
        let first = gateway.silence_timeout(Time(30), &ticket, false);
        (first, gateway.silence_timeout(Time(30), &ticket, true))
    };
    // Twice the goal before the first event, four pauses after it.
    let chat = patience(&mut gateway, "/chat/x", 1);
    expect_that!(chat, eq((Some(Millis(1000)), Some(Millis(1200)))));
    // What may have run once, and what has no attempt left, is waited for.
    expect_that!(patience(&mut gateway, "/once/x", 1), eq((None, None)));
    expect_that!(patience(&mut gateway, "/chat/x", 2), eq((None, None)));
}
