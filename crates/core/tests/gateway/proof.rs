//! Tests of the age of a router's copy of the registry.

use googletest::prelude::*;
use toucanturn_core::{
    gateway::proof::FreshnessProof,
    units::{
        Millis,
        Time, //
    },
};

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
