//! Tests of the age of a router's copy of the registry.

use googletest::prelude::*;
use toucanturn_core::{
    gateway::proof::FreshnessProof,
    units::{
        Millis,
        Time, //
    },
};

use crate::fixture::bounds;

#[gtest]
fn verify_any_age_limit_is_exceeded_before_the_first_read() {
    expect_false!(FreshnessProof::default().holds(Time(0), Millis(u64::MAX)));
}

#[gtest]
fn verify_age_counts_from_the_sending_of_the_newest_read() {
    let mut proof = FreshnessProof::default();
    proof.renew(Time(1000));
    // The answer to an older read doesn't reset the age.
    proof.renew(Time(400));
    expect_that!(proof.age(Time(1500)), some(eq(Millis(500))));
    expect_true!(proof.holds(Time(5999), Millis(5000)));
    expect_false!(proof.holds(Time(6000), Millis(5000)));
}

/// Guards against a replaced configuration that reads prove anew: a read that brings one that can't be read shows that
/// the one held may have been replaced since the read before.
#[gtest]
fn verify_no_read_proves_a_configuration_after_one_that_cannot_be_read() {
    let bounds = bounds();
    let mut proof = FreshnessProof::default();
    proof.renew(Time(1000));
    proof.renew(Time(2000));
    proof.record_unreadable_configuration();
    let last = Time(1000) + bounds.routes;
    for sent in (2000..12_000).step_by(500).map(Time) {
        proof.renew(sent);
        proof.record_unreadable_configuration();
        expect_that!(
            proof.covers_routes(sent, &bounds),
            eq(sent < last),
            "{sent:?}"
        );
        expect_that!(proof.read(), some(eq(sent)));
    }
    proof.renew(Time(12_000));
    proof.record_readable_configuration();
    expect_true!(proof.covers_routes(Time(12_000), &bounds));
    let last = Time(12_000) + bounds.keys;
    expect_true!(proof.covers_routes(last - Millis(1), &bounds));
    expect_false!(proof.covers_routes(last, &bounds));
}
