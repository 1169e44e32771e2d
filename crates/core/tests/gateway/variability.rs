//! Tests of when endpoints' speed counts as varying.

use googletest::prelude::*;
use toucanturn_core::{
    gateway::{
        Gateway,
        endpoint::Load,
        variability::Speeds, //
    },
    units::{
        Permille,
        Time, //
    },
};

use crate::fixture::{
    gateway,
    request, //
};

/// Sends a request that is answered with a load; gets whether the next digest tells delays.
fn tells_delays(gateway: &mut Gateway, now: u64, slowdown: Option<u32>) -> bool {
    let request = request("/read/x");
    let mut ticket = gateway.admit(Time(now), &request).expect("it is admitted");
    let placed = gateway.place(Time(now), &ticket, &request);
    let endpoint = placed.expect("there is an endpoint").endpoint;
    gateway.sent(Time(now), &mut ticket, endpoint);
    let load = Load {
        running: 1,
        slots: 64,
        slowdown: slowdown.map(Permille),
        ..Load::default()
    };
    gateway.record_load(Time(now + 20), endpoint, load);
    gateway.record_begun(Time(now + 20), &ticket, endpoint);
    let contents = gateway.digest_contents(Time(now + 21), 0);
    contents.reports.iter().any(|r| r.delay.is_some())
}

/// Guards against fleets whose endpoints' speed is constant that decide by delays.
#[gtest]
fn verify_delays_are_told_only_where_speeds_vary() {
    let mut gateway = gateway(3);
    expect_false!(tells_delays(&mut gateway, 100, None));
    expect_true!(tells_delays(&mut gateway, 200, Some(1000)));
    // The last statement is too old.
    gateway.record_registry_read(Time(31_000), Time(31_000));
    expect_false!(tells_delays(&mut gateway, 31_000, None));
}

/// Guards against routers that keep each other telling delays after the last endpoint that states a slowdown has gone.
#[gtest]
fn verify_what_peers_tell_decides_and_is_no_reason_to_tell() {
    let (mut first, mut second) = (gateway(3), gateway(3));
    expect_true!(tells_delays(&mut first, 100, Some(1000)));
    let told = first.digest_contents(Time(130), 0).reports;
    second.record_peer_report(Time(131), &told);
    expect_false!(tells_delays(&mut second, 200, None));
    first.record_peer_report(Time(30_000), &told);
    first.record_registry_read(Time(31_000), Time(31_000));
    expect_false!(tells_delays(&mut first, 31_000, None));
}

/// Guards against a setting that operators change in vain, or that lasts when they take it back.
#[gtest]
fn verify_settings_say_that_speeds_vary_where_no_endpoint_states_it() {
    let mut gateway = gateway(3);
    gateway.set_speeds(Speeds::Varying);
    expect_true!(tells_delays(&mut gateway, 100, None));
    gateway.set_speeds(Speeds::Stated);
    expect_false!(tells_delays(&mut gateway, 200, None));
}
