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
fn verify_a_service_is_unreached_after_a_few_of_its_endpoints_failed_in_a_row() {
    for (endpoints, needed) in [(1, 1), (2, 2), (3, 2), (4, 2), (9, 3), (3000, 3)] {
        let mut reach = Reach::default();
        reach.heard(Time(5), &service(), Time(0));
        let keys = keys(4);
        for key in &keys[..needed - 1] {
            expect_that!(
                reach.failed(Time(10), &service(), (*key, Time(6)), endpoints),
                none()
            );
        }
        let outage = reach.failed(Time(20), &service(), (keys[needed - 1], Time(6)), endpoints);
        let expected = Outage {
            since: Time(20),
            last_contact: Some(Time(5)),
        };
        expect_that!(outage, some(eq(expected)), "{endpoints} endpoints");
        let again = reach.failed(Time(30), &service(), (keys[3], Time(6)), endpoints);
        expect_that!(again, none(), "an outage is told once");
    }
}

#[gtest]
fn verify_one_endpoint_that_fails_again_and_again_is_no_outage() {
    let mut reach = Reach::default();
    let key = keys(1)[0];
    for at in 0..20 {
        expect_that!(
            reach.failed(Time(at), &service(), (key, Time(at)), 9),
            none()
        );
    }
}

#[gtest]
fn verify_an_answer_in_between_starts_the_count_again() {
    let mut reach = Reach::default();
    let keys = keys(4);
    for round in 0..10 {
        expect_that!(
            reach.failed(Time(round), &service(), (keys[0], Time(round)), 9),
            none()
        );
        expect_that!(
            reach.failed(Time(round), &service(), (keys[1], Time(round)), 9),
            none()
        );
        reach.heard(Time(round), &service(), Time(0));
    }
}

/// Guards against an outage that ends with each answer on a connection of before, while new ones are refused.
#[gtest]
fn verify_only_an_answer_on_a_new_connection_ends_an_outage() {
    let mut reach = Reach::default();
    reach.failed(Time(100), &service(), (keys(1)[0], Time(100)), 1);
    expect_that!(reach.heard(Time(200), &service(), Time(99)), none());
    expect_that!(reach.outage(&service()), some(anything()));
    let ended = reach.heard(Time(350), &service(), Time(120));
    expect_that!(ended, some(eq(Millis(250))));
    expect_that!(reach.outage(&service()), none());
    expect_that!(reach.heard(Time(400), &service(), Time(380)), none());
}

#[gtest]
fn verify_probes_become_rarer_while_an_outage_lasts_and_after_one_that_came_back() {
    let probes = |reach: &mut Reach, from: u64| {
        let due = (from..from + 4000).filter(|at| reach.begin_probe(Time(*at), &service()));
        due.map(|at| at - from).collect::<Vec<_>>()
    };
    let mut reach = Reach::default();
    expect_that!(probes(&mut reach, 0), is_empty(), "nothing to probe");
    reach.failed(Time(4000), &service(), (keys(1)[0], Time(4000)), 1);
    let first = probes(&mut reach, 4000);
    expect_that!(first, eq(&vec![100, 300, 700, 1500, 2300, 3100, 3900]));
    reach.heard(Time(8000), &service(), Time(8000));
    reach.failed(Time(8500), &service(), (keys(1)[0], Time(8500)), 1);
    let again = probes(&mut reach, 8500);
    expect_that!(again, eq(&vec![800, 1600, 2400, 3200]));
}

/// Guards against an outage that nobody is told of: begin and end are events of the next tick.
#[gtest]
fn verify_an_outage_and_its_end_are_events() {
    let mut gateway = gateway(1);
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
    gateway.heard(Time(900), placed.endpoint, Time(850));
    let reached = RegistryEvent::Reached {
        service: service(),
        after: Millis(500),
    };
    expect_that!(gateway.tick(Time(950)), contains(eq(&reached)));
    expect_that!(gateway.tick(Time(1000)), is_empty());
}

/// Guards against an outage in which the service is reached: endpoints reset connections after they have run requests.
#[gtest]
fn verify_connections_that_endpoints_reset_are_no_outage() {
    let mut gateway = gateway(3);
    for at in 0..30 {
        let at = Time(100 + at);
        let request = request("/read/x");
        let mut ticket = gateway.admit(at, &request).expect("admitted");
        let Ok(placed) = gateway.place(at, &ticket, &request) else {
            continue;
        };
        gateway.sent(at, &mut ticket, placed.endpoint);
        gateway.ended(at, &mut ticket, placed.endpoint, AttemptOutcome::Broken);
        expect_that!(gateway.reach().outage(&service()), none());
    }
}

/// Guards against an outage in which the service is reached: some endpoints keep silent, and others answer meanwhile.
#[gtest]
fn verify_silent_endpoints_are_no_outage_while_others_answer() {
    let mut reach = Reach::default();
    let keys = keys(9);
    for (number, key) in keys.iter().enumerate() {
        let at = 1000 + number as u64 * 100;
        reach.heard(Time(at - 50), &service(), Time(0));
        let silent = (*key, Time(at - 600));
        expect_that!(reach.failed(Time(at), &service(), silent, 9), none());
    }
}
