//! Settings of a gateway: which are valid, and that the error of invalid ones names what is wrong.

#![expect(clippy::expect_used, reason = "a test fails by its panic")]

use googletest::prelude::*;
use toucanturn_core::{
    gateway::variability::Speeds,
    units::Millis, //
};
use toucanturn_gateway::settings::Settings;

const GOOD: &str = r#"{"id":"r1","data_center":"a",
  "listen":{"callers":"10.0.0.1:80","ready":"10.0.0.1:81","peers":"10.0.0.1:82"},
  "registry":"10.0.0.9:90","seeds":["10.0.0.2:82"],
  "bounds":{"config_ms":2000,"revoke_ms":5000,"leaving_ms":2000,"stop_s":8,"lapse_s":2,"skew":2,
    "retry_share":0.2,"retry_extra":54,"retry_window_s":10}}"#;

fn error_of(from: &str, to: &str) -> String {
    let text = GOOD.replace(from, to);
    assert!(text != GOOD, "the case changes nothing");
    let settings = Settings::try_from(text.as_bytes());
    settings.expect_err("the settings are refused").to_string()
}

#[gtest]
fn verify_bounds_follow_from_what_is_published() {
    let settings = Settings::try_from(GOOD.as_bytes()).expect("the settings are valid");
    let bounds = settings.bounds.bounds();
    expect_that!(bounds.keys, eq(Millis(4750)));
    expect_that!(bounds.routes, eq(Millis(1900)));
    expect_that!(bounds.max_confirmation_age, eq(Millis(1800)));
    expect_that!(bounds.lapse_grace, eq(Millis(2000)));
    expect_that!(settings.bounds.read_interval(), eq(Millis(666)));
    // Above the normal maximum age of a peer's copy: two read intervals and a long poll's wait.
    expect_that!(bounds.outage_threshold, gt(Millis(666 * 2 + 500)));
    expect_that!(bounds.retry.share.0, eq(160));
    expect_that!(bounds.hold.first, eq(Millis(5000)));
}

#[gtest]
fn verify_what_cannot_be_used_is_named() {
    expect_that!(error_of("\"id\":\"r1\",", ""), contains_substring("id"));
    expect_that!(
        error_of("\"id\"", "\"other\":1,\"id\""),
        contains_substring("other")
    );
    expect_that!(error_of("10.0.0.9:90", "store"), contains_substring("JSON"));
    expect_that!(error_of("5000", "\"x\""), contains_substring("JSON"));
    expect_that!(error_of("5000", "0"), contains_substring("revoke_ms"));
    expect_that!(
        error_of("\"skew\":2", "\"skew\":0.5"),
        contains_substring("skew")
    );
    expect_that!(
        error_of("\"stop_s\":8", "\"stop_s\":-1"),
        contains_substring("stop_s")
    );
    expect_that!(
        error_of("\"retry_share\":0.2", "\"retry_share\":1e9"),
        contains_substring("retry_share")
    );
    expect_that!(
        error_of("\"skew\":2", "\"skew\":2,\"hold_s\":4000"),
        contains_substring("hold_s")
    );
    for (name, value) in [
        ("evacuation_ms", "50"),
        ("evacuation_ms", "900000"),
        ("warmup_over", "-1"),
        ("warmup_slack", "1e9"),
    ] {
        let with = format!("\"skew\":2,\"{name}\":{value}");
        expect_that!(error_of("\"skew\":2", &with), contains_substring(name));
    }
    expect_that!(error_of("}}", "}"), contains_substring("JSON"));
}

/// Without `warmup_over` and `warmup_slack`, the published bounds of a service's cold endpoints apply unchanged.
#[gtest]
fn verify_bounds_of_evacuations_and_cold_endpoints_may_be_left_out() {
    let defaults = Settings::try_from(GOOD.as_bytes()).expect("the settings are valid");
    let bounds = defaults.bounds.bounds();
    expect_that!(bounds.evacuation, none());
    expect_that!((bounds.warmup.over.0, bounds.warmup.slack), eq((1000, 0)));
    let more = "\"skew\":2,\"evacuation_ms\":1500,\"warmup_over\":1.5,\"warmup_slack\":5";
    let text = GOOD.replace("\"skew\":2", more);
    let settings = Settings::try_from(text.as_bytes()).expect("the settings are valid");
    let bounds = settings.bounds.bounds();
    expect_that!(bounds.evacuation, some(eq(Millis(1425))));
    expect_that!((bounds.warmup.over.0, bounds.warmup.slack), eq((1500, 5)));
    // The read interval also follows from the bound on evacuations.
    expect_that!(settings.bounds.read_interval(), eq(Millis(500)));
}

/// Guards against settings with fewer seeds or bounds than the published ones, read while the file is written.
#[gtest]
fn verify_no_beginning_of_the_settings_is_valid() {
    for to in 0..GOOD.len() {
        let settings = Settings::try_from(&GOOD.as_bytes()[..to]);
        expect_that!(settings, err(anything()), "first {to} bytes");
    }
}

#[gtest]
fn verify_what_settings_say_of_speeds_is_read() {
    let settings = Settings::try_from(GOOD.as_bytes()).expect("the settings are valid");
    expect_that!(settings.speeds, eq(Speeds::Stated));
    let varying = GOOD.replace("\"id\"", "\"speeds\":\"varying\",\"id\"");
    let settings = Settings::try_from(varying.as_bytes()).expect("the settings are valid");
    expect_that!(settings.speeds, eq(Speeds::Varying));
    let error = error_of("\"id\"", "\"speeds\":\"fast\",\"id\"");
    expect_that!(error, contains_substring("varying"));
}

/// Peers are told the address that the router listens on, unless they reach it at another one.
#[gtest]
fn verify_an_advertised_address_may_be_left_out() {
    let settings = Settings::try_from(GOOD.as_bytes()).expect("the settings are valid");
    expect_that!(settings.listen.advertised, none());
    let text = GOOD.replace(
        "10.0.0.1:82\"",
        "10.0.0.1:82\",\"advertised\":\"10.1.0.1:82\"",
    );
    let settings = Settings::try_from(text.as_bytes()).expect("the settings are valid");
    let advertised = settings
        .listen
        .advertised
        .map(|address| address.to_string());
    expect_that!(advertised, some(eq("10.1.0.1:82")));
    let error = error_of("10.0.0.1:82\"", "10.0.0.1:82\",\"advertised\":\"peer\"");
    expect_that!(error, contains_substring("JSON"));
}

#[gtest]
fn verify_the_memory_of_the_process_may_be_left_out() {
    let settings = Settings::try_from(GOOD.as_bytes()).expect("the settings are valid");
    expect_that!(settings.bounds.memory_mb, eq(256));
    let stated = GOOD.replace("\"skew\":2", "\"skew\":2,\"memory_mb\":260");
    let settings = Settings::try_from(stated.as_bytes()).expect("the settings are valid");
    expect_that!(settings.bounds.memory_mb, eq(260));
    let none = error_of("\"skew\":2", "\"skew\":2,\"memory_mb\":0");
    expect_that!(none, contains_substring("memory_mb"));
}
