//! Tests of evacuations: endpoints of an evacuated data centre get no requests.

use bytes::Bytes;
use googletest::prelude::*;
use toucanturn_core::{
    gateway::{
        Change,
        Gateway,
        RegistryEvent,
        endpoint::{
            Entry,
            Load, //
        },
        refusal::Cause, //
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::fixture::{
    bounds,
    catalog_change,
    entry,
    request, //
};

/// Makes a gateway with an endpoint in each of two data centres, which must follow an evacuation within 3 s.
fn gateway() -> Gateway {
    let mut bounds = bounds();
    bounds.evacuation = Some(Millis(3000));
    let mut gateway = Gateway::new(bounds, 1);
    gateway.record_registry_read(Time(0), Time(0));
    let changes = vec![
        catalog_change(1),
        Change::Entry(entry(0)),
        Change::Entry(entry_in_b(1)),
    ];
    gateway.apply_changes(Time(0), changes);
    gateway
}

fn entry_in_b(number: u8) -> Entry {
    Entry {
        data_center: Bytes::from_static(b"b"),
        ..entry(number)
    }
}

fn evacuation_of(name: &'static str) -> Change {
    Change::Evacuated(Bytes::from_static(name.as_bytes()))
}

/// Places a request; returns the data centre of its endpoint, or why there is none.
fn place_request(gateway: &mut Gateway, now: Time) -> Result<Bytes, Cause> {
    let request = request("/read/x");
    let ticket = gateway
        .admit(now, &request)
        .expect("the request is admitted");
    let placed = gateway.place(now, &ticket, &request);
    let placed = placed.map_err(|refusal| refusal.cause)?;
    let endpoint = gateway
        .registry()
        .get(placed.endpoint)
        .expect("the endpoint is listed");
    Ok(endpoint.entry.data_center.clone())
}

#[gtest]
fn verify_endpoints_listed_after_an_evacuation_get_no_requests() {
    let mut gateway = gateway();
    gateway.apply_changes(
        Time(10),
        vec![evacuation_of("b"), Change::Entry(entry_in_b(2))],
    );
    for _ in 0..20 {
        expect_that!(
            place_request(&mut gateway, Time(20)),
            ok(eq(&Bytes::from_static(b"a")))
        );
    }
}

#[gtest]
fn verify_an_evacuation_and_its_end_are_reported_once() {
    let mut gateway = gateway();
    let data_center = Bytes::from_static(b"b");
    let events = gateway.apply_changes(Time(10), vec![evacuation_of("b"), evacuation_of("b")]);
    expect_that!(
        events,
        elements_are![eq(&RegistryEvent::Evacuated {
            data_center: data_center.clone()
        })]
    );
    let restored = || Change::Restored(data_center.clone());
    let events = gateway.apply_changes(Time(20), vec![restored(), restored()]);
    expect_that!(events.len(), eq(1));
    // After the data centre was restored, its next evacuation is reported again.
    expect_that!(
        gateway
            .apply_changes(Time(30), vec![evacuation_of("b")])
            .len(),
        eq(1)
    );
}

/// Guards against a request that is placed before an evacuation is known and sent after it.
#[gtest]
fn verify_a_request_placed_before_an_evacuation_is_not_sent_after_it() {
    let mut gateway = gateway();
    gateway.apply_changes(Time(5), vec![evacuation_of("a")]);
    let request = request("/read/x");
    let ticket = gateway
        .admit(Time(10), &request)
        .expect("the request is admitted");
    let placed = gateway
        .place(Time(10), &ticket, &request)
        .expect("an endpoint is available");
    gateway.apply_changes(Time(20), vec![evacuation_of("b")]);
    expect_false!(gateway.may_send_placed(Time(20), &ticket, &placed));
}

/// Guards against trusting an endpoint's answer instead of a recent read: endpoints of an evacuated data centre still
/// answer.
#[gtest]
fn verify_nothing_goes_out_once_an_evacuation_could_be_unknown() {
    let mut gateway = gateway();
    let request = request("/read/x");
    let mut ticket = gateway
        .admit(Time(10), &request)
        .expect("the request is admitted");
    let placed = gateway
        .place(Time(10), &ticket, &request)
        .expect("an endpoint is available");
    gateway.sent(Time(2500), &mut ticket, placed.endpoint);
    gateway.confirm(&ticket, placed.endpoint);
    expect_true!(gateway.may_send(Time(2999), placed.endpoint));
    expect_false!(gateway.may_send(Time(3000), placed.endpoint));
}

#[gtest]
fn verify_requests_are_refused_at_once_when_a_whole_service_is_evacuated() {
    let mut gateway = gateway();
    gateway.apply_changes(Time(10), vec![evacuation_of("a"), evacuation_of("b")]);
    expect_that!(
        place_request(&mut gateway, Time(20)),
        err(eq(&Cause::NoEndpoint))
    );
}

/// Guards against a burst of prompt processing at the endpoints that take over the prompts of an evacuated data
/// centre.
#[gtest]
fn verify_prompts_are_fetched_from_an_evacuated_data_center_for_half_of_the_bound() {
    let mut gateway = gateway();
    let chat_request = |shared| toucanturn_core::gateway::incoming_request::IncomingRequest {
        prompt: Some(crate::fixture::prompt(shared, 1)),
        ..request("/chat/x")
    };
    gateway.apply_changes(Time(10), vec![evacuation_of("b")]);
    let holder = |gateway: &mut Gateway, now| {
        let request = chat_request(7);
        let ticket = gateway
            .admit(now, &request)
            .expect("the request is admitted");
        gateway
            .place(now, &ticket, &request)
            .expect("an endpoint is available")
            .holder
    };
    expect_that!(holder(&mut gateway, Time(1000)), some(anything()));
    expect_that!(holder(&mut gateway, Time(1600)), none());
}

/// Guards against a limit by the mean over the remaining endpoints, which rises with each one that is evacuated.
#[gtest]
fn verify_evacuated_endpoints_count_in_the_mean_load() {
    let mut gateway = gateway();
    let changes = vec![
        Change::Entry(entry_in_b(2)),
        Change::Entry(entry_in_b(3)),
        evacuation_of("a"),
    ];
    gateway.apply_changes(Time(0), changes);
    let remaining: Vec<_> = gateway.registry().usable().map(|(key, _)| key).collect();
    for key in &remaining {
        let load = Load {
            running: 12,
            waiting: 0,
            slots: 64,
            slowdown: None,
        };
        gateway.record_load(Time(10), *key, load);
    }
    let request = request("/read/x");
    let ticket = gateway
        .admit(Time(10), &request)
        .expect("the request is admitted");
    let placed = gateway.place(Time(10), &ticket, &request);
    let limit = placed.expect("an endpoint is available").limit;

    // Twice the mean of 9 over all four endpoints, and three.
    expect_that!(remaining.len(), eq(3));
    expect_that!(limit, all!(gt(12.0), le(2.0 * 9.0 + 3.0)));
}
