//! Data centres whose endpoints are to get nothing.

use bytes::Bytes;
use googletest::prelude::*;
use toucanturn_core::{
    gateway::{
        Change,
        Gateway,
        News,
        endpoint::Entry,
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
    entry, //
    request,
};

/// Makes a gateway with an endpoint in each of two data centres, that keeps a bound on evacuations.
fn gateway() -> Gateway {
    let mut bounds = bounds();
    bounds.evacuation = Some(Millis(3000));
    let mut gateway = Gateway::new(bounds, 1);
    gateway.proved(Time(0), Time(0));
    let changes = vec![
        catalog_change(1),
        Change::Entry(entry(0)),
        Change::Entry(in_b(1)),
    ];
    gateway.follow(Time(0), changes);
    gateway
}

fn in_b(number: u8) -> Entry {
    Entry {
        data_center: Bytes::from_static(b"b"),
        ..entry(number)
    }
}

fn evacuated(name: &'static str) -> Change {
    Change::Evacuated(Bytes::from_static(name.as_bytes()))
}

/// Places a request; gets the data centre of its endpoint, or why there is none.
fn placed(gateway: &mut Gateway, now: Time) -> Result<Bytes, Cause> {
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
fn verify_endpoints_that_are_listed_in_an_evacuated_data_center_get_nothing_either() {
    let mut gateway = gateway();
    gateway.follow(Time(10), vec![evacuated("b"), Change::Entry(in_b(2))]);
    for _ in 0..20 {
        expect_that!(
            placed(&mut gateway, Time(20)),
            ok(eq(&Bytes::from_static(b"a")))
        );
    }
}

#[gtest]
fn verify_an_evacuation_and_its_end_are_told_once() {
    let mut gateway = gateway();
    let data_center = Bytes::from_static(b"b");
    let told = gateway.follow(Time(10), vec![evacuated("b"), evacuated("b")]);
    expect_that!(
        told,
        elements_are![eq(&News::Evacuated {
            data_center: data_center.clone()
        })]
    );
    let restored = || Change::Restored(data_center.clone());
    let told = gateway.follow(Time(20), vec![restored(), restored()]);
    expect_that!(told.len(), eq(1));
    // Again, once it was restored.
    expect_that!(gateway.follow(Time(30), vec![evacuated("b")]).len(), eq(1));
}

/// Guards against requests that were placed in time and sent late.
#[gtest]
fn verify_what_was_placed_before_an_evacuation_is_not_sent_after_it() {
    let mut gateway = gateway();
    gateway.follow(Time(5), vec![evacuated("a")]);
    let request = request("/read/x");
    let ticket = gateway
        .admit(Time(10), &request)
        .expect("the request is admitted");
    let placed = gateway
        .place(Time(10), &ticket, &request)
        .expect("an endpoint is available");
    gateway.follow(Time(20), vec![evacuated("b")]);
    expect_false!(gateway.may_send_placed(Time(20), &ticket, &placed));
}

/// Guards against evidence of the endpoints themselves, which serve on while their data centre is evacuated.
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
fn verify_callers_are_told_at_once_where_a_whole_service_is_evacuated() {
    let mut gateway = gateway();
    gateway.follow(Time(10), vec![evacuated("a"), evacuated("b")]);
    expect_that!(placed(&mut gateway, Time(20)), err(eq(&Cause::NoEndpoint)));
}

/// Guards against a crowd of reads where the prompts of an evacuated data centre move.
#[gtest]
fn verify_what_is_held_in_an_evacuated_data_center_is_fetched_for_half_of_the_bound() {
    let mut gateway = gateway();
    let chat = |shared| toucanturn_core::gateway::ask::Ask {
        prompt: Some(crate::fixture::prompt(shared, 1)),
        ..request("/chat/x")
    };
    gateway.follow(Time(10), vec![evacuated("b")]);
    let holder = |gateway: &mut Gateway, now| {
        let request = chat(7);
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
