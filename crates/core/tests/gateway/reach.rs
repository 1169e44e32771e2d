//! Which services a router reaches, by its own connections.

use bytes::Bytes;
use googletest::prelude::*;
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        RegistryEvent,
        outcome::AttemptOutcome,
        reach::{
            Outage,
            Reach, //
        },
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::fixture::{
    gateway,
    request, //
};

fn keys(count: usize) -> Vec<EndpointKey> {
    let mut arena = slotmap::SlotMap::<EndpointKey, ()>::with_key();
    (0..count).map(|_| arena.insert(())).collect()
}

fn service() -> Bytes {
    Bytes::from_static(b"engines")
}

#[gtest]
fn verify_a_service_is_unreached_after_a_third_of_its_endpoints_failed_in_a_row() {
    for (endpoints, needed) in [(1, 1), (3, 1), (4, 2), (9, 3), (3000, 3)] {
        let mut reach = Reach::default();
        reach.heard(Time(5), &service());
        let keys = keys(4);
        for key in &keys[..needed - 1] {
            expect_that!(reach.failed(Time(10), &service(), *key, endpoints), none());
        }
        let outage = reach.failed(Time(20), &service(), keys[needed - 1], endpoints);
        let expected = Outage {
            since: Time(20),
            last_contact: Some(Time(5)),
        };
        expect_that!(outage, some(eq(expected)), "{endpoints} endpoints");
        let again = reach.failed(Time(30), &service(), keys[3], endpoints);
        expect_that!(again, none(), "an outage is told once");
    }
}

#[gtest]
fn verify_one_endpoint_that_fails_again_and_again_is_no_outage() {
    let mut reach = Reach::default();
    let key = keys(1)[0];
    for at in 0..20 {
        expect_that!(reach.failed(Time(at), &service(), key, 9), none());
    }
}

#[gtest]
fn verify_an_answer_in_between_starts_the_count_again() {
    let mut reach = Reach::default();
    let keys = keys(4);
    for round in 0..10 {
        expect_that!(reach.failed(Time(round), &service(), keys[0], 9), none());
        expect_that!(reach.failed(Time(round), &service(), keys[1], 9), none());
        reach.heard(Time(round), &service());
    }
}

#[gtest]
fn verify_only_a_new_connection_ends_an_outage() {
    let mut reach = Reach::default();
    reach.failed(Time(100), &service(), keys(1)[0], 1);
    reach.heard(Time(200), &service());
    expect_that!(reach.outage(&service()), some(anything()));
    expect_that!(
        reach.connected(Time(350), &service()),
        some(eq(Millis(250)))
    );
    expect_that!(reach.outage(&service()), none());
    expect_that!(reach.connected(Time(400), &service()), none());
}

/// Guards against an outage that nobody is told of: begin and end are events of the next tick.
#[gtest]
fn verify_an_outage_and_its_end_are_events() {
    let mut gateway = gateway(3);
    let request = request("/read/x");
    let mut ticket = gateway.admit(Time(100), &request).expect("admitted");
    let placed = gateway
        .place(Time(100), &ticket, &request)
        .expect("an endpoint");
    gateway.sent(Time(100), &mut ticket, placed.endpoint);
    gateway.ended(
        Time(400),
        &mut ticket,
        placed.endpoint,
        AttemptOutcome::Stalled,
    );
    let unreached = RegistryEvent::Unreached {
        service: service(),
        silent: None,
    };
    expect_that!(gateway.tick(Time(450)), contains(eq(&unreached)));
    gateway.connected(Time(900), placed.endpoint);
    let reached = RegistryEvent::Reached {
        service: service(),
        after: Millis(500),
    };
    expect_that!(gateway.tick(Time(950)), contains(eq(&reached)));
    expect_that!(gateway.tick(Time(1000)), is_empty());
}
