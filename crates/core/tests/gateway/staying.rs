//! Endpoints get requests only while something proves that they stay.

use googletest::prelude::*;
use toucanturn_core::{
    gateway::{
        Change,
        Gateway,
        Ticket,
        mesh::Sight,
        refusal::Cause, //
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::fixture::{
    entry,
    gateway, //
    request,
};

/// What the fixture's gateway read last, it read at time 0, and its bound is 2.7 s.
const PROVED: Time = Time(2699);
const UNPROVED: Time = Time(2700);

fn admitted(gateway: &mut Gateway, now: Time) -> Ticket {
    let admitted = gateway.admit(now, &request("/read/x"));
    admitted.expect("keys may be acted on for longer")
}

fn placed(gateway: &mut Gateway, now: Time) -> std::result::Result<(), Cause> {
    let ticket = admitted(gateway, now);
    let placed = gateway.place(now, &ticket, &request("/read/x"));
    placed.map(|_| ()).map_err(|refusal| refusal.cause)
}

/// Sends a request at `sent` and has its answer say that its endpoint stays.
fn answered(gateway: &mut Gateway, sent: Time) {
    let mut ticket = admitted(gateway, sent);
    let placed = gateway.place(sent, &ticket, &request("/read/x"));
    let endpoint = placed.expect("the endpoint is confirmed").endpoint;
    gateway.sent(sent, &mut ticket, endpoint);
    gateway.confirm(&ticket, endpoint);
}

fn tick(gateway: &mut Gateway, from: u64, to: u64) {
    for now in (from..=to).step_by(100) {
        gateway.tick(Time(now));
    }
}

/// An endpoint got a request 3.6 s after it had left: its entry was held to be true for as long as keys are.
#[gtest]
fn verify_an_entry_proves_nothing_for_longer_than_leaving_takes() {
    let mut gateway = gateway(1);
    expect_that!(placed(&mut gateway, PROVED), ok(anything()));
    expect_true!(gateway.ready(PROVED));
    expect_that!(placed(&mut gateway, UNPROVED), err(eq(Cause::Unconfirmed)));
    expect_false!(
        gateway.ready(UNPROVED),
        "another router may have heard of it"
    );
    gateway.proved(Time(2800), Time(2790));
    expect_that!(placed(&mut gateway, Time(2800)), ok(anything()));
}

/// With the registry as the only witness, an outage would end all service 2 s before the bound of keys does.
#[gtest]
fn verify_an_endpoint_s_answer_is_a_proof_while_the_registry_is_away() {
    let mut gateway = gateway(1);
    answered(&mut gateway, Time(2000));
    expect_that!(placed(&mut gateway, UNPROVED), ok(anything()));
    expect_that!(placed(&mut gateway, Time(4699)), ok(anything()));
    expect_that!(
        placed(&mut gateway, Time(4700)),
        err(eq(Cause::Unconfirmed))
    );
}

/// An answer counts from the sending of its request: it may have waited here.
#[gtest]
fn verify_an_answer_that_came_late_is_as_old_as_its_request() {
    let mut gateway = gateway(1);
    let mut ticket = admitted(&mut gateway, Time(1000));
    let placed_at = gateway.place(Time(1000), &ticket, &request("/read/x"));
    let endpoint = placed_at.expect("the endpoint is confirmed").endpoint;
    gateway.sent(Time(1000), &mut ticket, endpoint);
    // The process is suspended, and the head is read at 3500.
    gateway.confirm(&ticket, endpoint);
    expect_that!(placed(&mut gateway, Time(3699)), ok(anything()));
    expect_that!(
        placed(&mut gateway, Time(3700)),
        err(eq(Cause::Unconfirmed))
    );
}

#[gtest]
fn verify_an_endpoint_that_leaves_gets_nothing_whatever_it_said_before() {
    let mut gateway = gateway(1);
    answered(&mut gateway, Time(2000));
    let mut leaving = entry(0);
    leaving.leaving = true;
    gateway.follow(Time(2100), vec![Change::Entry(leaving)]);
    expect_that!(placed(&mut gateway, Time(2100)), err(eq(Cause::NoEndpoint)));
}

/// A connection took so long that the proof ran out, or the endpoint was heard to leave, before the request
/// could be sent.
#[gtest]
fn verify_what_was_chosen_is_looked_at_again_before_it_is_sent() {
    let mut gateway = gateway(1);
    let ticket = admitted(&mut gateway, PROVED);
    let chosen = gateway.place(PROVED, &ticket, &request("/read/x"));
    let endpoint = chosen.expect("the endpoint is confirmed").endpoint;
    expect_true!(gateway.may_send(PROVED, endpoint));
    expect_false!(gateway.may_send(UNPROVED, endpoint));
    gateway.proved(Time(2800), Time(2790));
    expect_true!(gateway.may_send(Time(2800), endpoint));
    let mut leaving = entry(0);
    leaving.leaving = true;
    gateway.follow(Time(2900), vec![Change::Entry(leaving)]);
    expect_false!(gateway.may_send(Time(2900), endpoint));
}

/// Another router's answer is a proof too, less the longest time that it may have been held and on its way.
#[gtest]
fn verify_an_answer_to_another_router_counts_with_all_the_time_that_it_may_have_taken() {
    let mut one = gateway(1);
    answered(&mut one, Time(2500));
    let mut other = gateway(1);
    tick(&mut other, 0, 2600);
    let (sights, _) = one.observed(Time(2600), 1);
    other.seen(Time(2600), &sights);
    // Sent at 2500, taken for 1700: 300 to be answered and 500 on its way.
    expect_that!(placed(&mut other, UNPROVED), ok(anything()));
    expect_that!(placed(&mut other, Time(4399)), ok(anything()));
    expect_that!(placed(&mut other, Time(4400)), err(eq(Cause::Unconfirmed)));
    // It is not handed on: how long it was on its way would add up unseen.
    expect_that!(other.observed(Time(2600), 1).0, is_empty());
}

/// A digest that waited in a socket while its receiver was suspended looks new. What it says of an endpoint's
/// staying may be as old as the suspension was long.
#[gtest]
fn verify_a_digest_that_waited_for_a_suspended_router_proves_nothing() {
    let stays = |gateway: &Gateway, load| Sight {
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
        let mut asleep = gateway(1);
        tick(&mut asleep, 0, 1000);
        let sight = stays(&asleep, load);
        // Suspended from 1000 to 4000; the datagram is read before the first tick, or after it.
        asleep.seen(Time(4000), &[sight]);
        asleep.tick(Time(4001));
        asleep.seen(Time(4002), &[sight]);
        expect_that!(placed(&mut asleep, Time(4003)), err(eq(Cause::Unconfirmed)));
        tick(&mut asleep, 4100, 4200);
        asleep.seen(Time(4200), &[sight]);
        expect_that!(placed(&mut asleep, Time(4201)), ok(anything()));
    }
}

/// Endpoints that state no load are in the digests as well, and get none by it.
#[gtest]
fn verify_an_answer_without_a_load_is_handed_on() {
    let mut one = gateway(1);
    answered(&mut one, Time(2500));
    let (sights, _) = one.observed(Time(2600), 1);
    expect_that!(
        sights,
        elements_are![matches_pattern!(Sight {
            load: none(),
            age: eq(&Millis(100)),
            confirmed: eq(&true),
            ..
        })]
    );
    let mut other = gateway(1);
    other.seen(Time(2600), &sights);
    let (_, endpoint) = other
        .registry()
        .usable()
        .next()
        .expect("an endpoint is usable");
    expect_that!(endpoint.age(Time(2600)), none());
}

/// The registry told of something newer at 1000, and it could not be read: it may be another configuration,
/// which is promised to be in force in 3 s. An outage, in which nothing is published, is borne for longer.
#[gtest]
fn verify_routes_are_acted_on_for_less_time_once_something_newer_is_known() {
    let mut gateway = gateway(1);
    expect_that!(
        gateway.admit(Time(4749), &request("/read/x")),
        ok(anything())
    );
    gateway.outdated(Time(1000));
    let refused = |gateway: &mut Gateway, now| {
        let admitted = gateway.admit(Time(now), &request("/read/x"));
        admitted.map(|_| ()).map_err(|refusal| refusal.cause)
    };
    expect_that!(refused(&mut gateway, 2849), ok(anything()));
    expect_that!(refused(&mut gateway, 2850), err(eq(Cause::Stale)));
    expect_false!(gateway.ready(Time(2850)));
    // A copy of before that call doesn't have it either; a later one does.
    gateway.proved(Time(2860), Time(900));
    expect_that!(refused(&mut gateway, 3750), err(eq(Cause::Stale)));
    gateway.proved(Time(2870), Time(1000));
    expect_that!(refused(&mut gateway, 5749), ok(anything()));
}

/// A request's time counts from its head, and what is known from when its body is there.
#[gtest]
fn verify_a_request_that_waited_keeps_its_deadline() {
    let mut gateway = gateway(1);
    let mut waited = request("/read/x");
    waited.waited = Millis(600);
    let ticket = gateway.admit(Time(1000), &waited);
    let ticket = ticket.expect("the request is admitted");
    expect_that!(ticket.deadline, eq(Time(3400)));
    expect_that!(ticket.until, eq(Time(3400)));
}
