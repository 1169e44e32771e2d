//! Settings of a gateway: which are valid, and that the error of invalid ones names what is wrong.

#![expect(clippy::expect_used, reason = "a test fails by its panic")]

use googletest::prelude::*;
use toucanturn_core::{
    gateway::variability::Speeds,
    units::Millis, //
};
use toucanturn_gateway::settings::{
    Loaded,
    Settings, //
};

const GOOD: &str = r#"{"id":"r1","data_center":"a",
  "listen":{"callers":"10.0.0.1:80","ready":"10.0.0.1:81","peers":"10.0.0.1:82"},
  "registry":"10.0.0.9:90","seeds":["10.0.0.2:82"],
  "bounds":{"config_ms":2000,"revoke_ms":5000,"leaving_ms":2000,"stop_s":8,"lapse_s":2,"skew":2,
    "retry_share":0.2,"retry_extra":54,"retry_window_s":10}}"#;

fn changed(from: &str, to: &str) -> String {
    let text = GOOD.replace(from, to);
    assert!(text != GOOD, "the case changes nothing");
    text
}

fn error_of(from: &str, to: &str) -> String {
    let settings = Settings::try_from(changed(from, to).as_bytes());
    settings.expect_err("the settings are refused").to_string()
}

/// Reads changed settings; returns them, and what can't be used.
fn read(from: &str, to: &str, held: Option<&Settings>) -> (Settings, String) {
    let loaded = Settings::read(changed(from, to).as_bytes(), held);
    let Loaded { settings, faults } = loaded.expect("the settings can be used in part");
    (settings, faults.join("; "))
}

fn good() -> Settings {
    Settings::try_from(GOOD.as_bytes()).expect("the settings are valid")
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

/// A router that does not know these must not serve.
#[gtest]
fn verify_settings_without_what_must_be_known_are_refused() {
    for (from, to, named) in [
        ("\"id\":\"r1\",", "", "id"),
        ("\"id\":\"r1\"", "\"id\":7", "id"),
        ("\"data_center\":\"a\",", "", "data_center"),
        ("10.0.0.9:90", "store", "registry"),
        ("10.0.0.1:81", "10.0.0.1", "listen"),
        ("\"bounds\"", "\"others\"", "bounds"),
        ("\"config_ms\":2000,", "", "config_ms"),
        ("\"revoke_ms\":5000", "\"revoke_ms\":\"x\"", "revoke_ms"),
        ("\"leaving_ms\":2000", "\"leaving_ms\":null", "leaving_ms"),
        ("\"stop_s\":8", "\"stop_s\":[8]", "stop_s"),
        ("\"skew\":2", "\"skew\":\"2\"", "skew"),
    ] {
        expect_that!(
            error_of(from, to),
            contains_substring(format!("`{named}`")).or(contains_substring(format!(".{named}`"))),
            "{to}"
        );
    }
    expect_that!(error_of("}}", "}"), contains_substring("JSON"));
    expect_that!(Settings::try_from(b"[]".as_slice()), err(anything()));
}

/// Guards against routers that don't start, or go on with a longer bound, because a bound is out of range.
#[gtest]
fn verify_a_bound_out_of_range_becomes_the_nearest() {
    type Bound = fn(&Settings) -> f64;
    #[expect(clippy::cast_precision_loss, reason = "the values are small")]
    let cases: [(&str, &str, f64, Bound); 13] = [
        ("revoke_ms", "0", 100.0, |s| s.bounds.revoke_ms as f64),
        ("revoke_ms", "-5", 100.0, |s| s.bounds.revoke_ms as f64),
        ("revoke_ms", "1e30", 600_000.0, |s| {
            s.bounds.revoke_ms as f64
        }),
        ("skew", "0.5", 1.0, |s| s.bounds.skew),
        ("stop_s", "-1", 0.0, |s| s.bounds.stop_s),
        ("stop_s", "700", 600.0, |s| s.bounds.stop_s),
        ("retry_share", "1e9", 10.0, |s| s.bounds.retry_share),
        ("hold_s", "4000", 600.0, |s| s.bounds.hold_s),
        ("evacuation_ms", "50", 100.0, |s| {
            s.bounds.evacuation_ms.unwrap_or(0) as f64
        }),
        ("warmup_over", "-1", 0.0, |s| s.bounds.warmup_over),
        ("warmup_slack", "1e9", 1e6, |s| s.bounds.warmup_slack),
        ("memory_mb", "0", 1.0, |s| s.bounds.memory_mb as f64),
        ("max_descriptors", "0", 64.0, |s| {
            s.bounds.max_descriptors.unwrap_or(0) as f64
        }),
    ];
    for (name, value, nearest, bound) in cases {
        let present = good();
        let number = |name: &str| format!("\"{name}\":{}", serde_json::json!(bound(&present)));
        let from = match GOOD.contains(&format!("\"{name}\"")) {
            true => number(name).replace(".0", ""),
            false => "\"skew\":2".to_owned(),
        };
        let to = match GOOD.contains(&format!("\"{name}\"")) {
            true => format!("\"{name}\":{value}"),
            false => format!("\"skew\":2,\"{name}\":{value}"),
        };
        for held in [None, Some(&present)] {
            let (settings, faults) = read(&from, &to, held);
            expect_that!(bound(&settings), eq(nearest), "{to}");
            expect_that!(faults, contains_substring(name), "{to}");
        }
    }
}

/// Guards against settings that are refused because of the spelling of a number.
#[gtest]
fn verify_numbers_are_read_however_they_are_spelled() {
    for (from, to) in [
        ("\"config_ms\":2000", "\"config_ms\":2000.0"),
        ("\"revoke_ms\":5000", "\"revoke_ms\":5e3"),
        ("\"skew\":2", "\"skew\":2.0"),
    ] {
        let (settings, faults) = read(from, to, None);
        expect_that!(settings, eq(&good()), "{to}");
        expect_that!(faults, eq(""), "{to}");
    }
}

/// Guards against a bound that was shortened and is not in force because another value can't be used.
#[gtest]
fn verify_a_shortened_bound_is_in_force_though_another_value_is_odd() {
    let held = good();
    for (from, to, named) in [
        ("\"stop_s\":8", "\"stop_s\":\"x\"", "stop_s"),
        ("\"config_ms\":2000,", "", "config_ms"),
        ("\"leaving_ms\":2000", "\"leaving_ms\":null", "leaving_ms"),
        ("\"skew\":2", "\"skew\":{}", "skew"),
        ("\"skew\":2", "\"skew\":2,\"memory_mb\":\"x\"", "memory_mb"),
        ("\"skew\":2", "\"skew\":2,\"other\":1", "other"),
        ("\"id\":\"r1\"", "\"id\":\"r1\",\"other\":1", "other"),
        ("\"id\":\"r1\",", "", "id"),
        ("10.0.0.9:90", "store", "registry"),
        ("\"10.0.0.2:82\"", "\"10.0.0.2:82\",7", "seeds"),
        ("\"id\"", "\"first_start\":1,\"id\"", "first_start"),
        ("\"id\"", "\"speeds\":\"fast\",\"id\"", "speeds"),
    ] {
        let text = changed(from, to).replace("5000", "1000");
        let loaded = Settings::read(text.as_bytes(), Some(&held));
        let Loaded { settings, faults } = loaded.expect("the settings can be used in part");
        let mut expected = held.clone();
        expected.bounds.revoke_ms = 1000;
        expect_that!(settings, eq(&expected), "{to}");
        expect_that!(faults, elements_are![contains_substring(named)], "{to}");
    }
    let loaded = Settings::read(br#"{"seeds":["10.0.0.2:82"],"bounds":7}"#, Some(&held));
    let loaded = loaded.expect("the held ones count");
    expect_that!(loaded.settings, eq(&held));
}

/// Without settings in force, a default stands in where the field may be absent, and evacuated data centres are bound as
/// leaving endpoints are.
#[gtest]
fn verify_an_odd_value_of_a_field_that_may_be_absent_does_not_keep_a_router_from_its_start() {
    for value in ["\"x\"", "{}", "true"] {
        let mut expected = good();
        for name in [
            "memory_mb",
            "max_descriptors",
            "hold_s",
            "warmup_over",
            "warmup_slack",
        ] {
            let to = format!("\"skew\":2,\"{name}\":{value}");
            let (settings, faults) = read("\"skew\":2", &to, None);
            expect_that!(settings, eq(&expected), "{to}");
            expect_that!(faults, contains_substring(name), "{to}");
        }
        let to = format!("\"skew\":2,\"evacuation_ms\":{value}");
        let (settings, _) = read("\"skew\":2", &to, None);
        expected.bounds.evacuation_ms = Some(2000);
        expect_that!(settings, eq(&expected), "{to}");
        // One that was not in force before.
        let (settings, _) = read("\"skew\":2", &to, Some(&good()));
        expect_that!(settings, eq(&expected), "{to}");
    }
    let (settings, faults) = read("\"10.0.0.2:82\"", "\"peer\",\"10.0.0.3:82\"", None);
    let seeds: Vec<String> = settings.seeds.iter().map(ToString::to_string).collect();
    expect_that!(seeds, elements_are![eq("10.0.0.3:82")]);
    expect_that!(faults, contains_substring("seeds"));
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
    let (settings, faults) = read("\"id\"", "\"speeds\":\"fast\",\"id\"", None);
    expect_that!(settings.speeds, eq(Speeds::Stated));
    expect_that!(faults, contains_substring("speeds"));
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
    expect_that!(error, contains_substring("listen"));
}

#[gtest]
fn verify_the_memory_of_the_process_may_be_left_out() {
    let settings = Settings::try_from(GOOD.as_bytes()).expect("the settings are valid");
    expect_that!(settings.bounds.memory_mb, eq(256));
    let stated = GOOD.replace("\"skew\":2", "\"skew\":2,\"memory_mb\":260");
    let settings = Settings::try_from(stated.as_bytes()).expect("the settings are valid");
    expect_that!(settings.bounds.memory_mb, eq(260));
}

#[gtest]
fn verify_the_descriptors_of_the_process_may_be_left_out() {
    let settings = Settings::try_from(GOOD.as_bytes()).expect("the settings are valid");
    expect_that!(settings.bounds.max_descriptors, none());
    let stated = GOOD.replace("\"skew\":2", "\"skew\":2,\"max_descriptors\":4100");
    let settings = Settings::try_from(stated.as_bytes()).expect("the settings are valid");
    expect_that!(settings.bounds.max_descriptors, some(eq(4100)));
}
