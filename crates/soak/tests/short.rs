//! A short run of fixed seeds against the programs that this build made, and the plan itself.

#![expect(clippy::expect_used, reason = "a test fails by its panic")]

use googletest::prelude::*;
use tokio::task::LocalSet;
use toucanturn_soak::{
    judge::{
        Finding,
        judge, //
    },
    plan::{
        Size,
        plan, //
    },
    run::run,
};

/// Long enough for the bounds on keys and on leaving.
const SHORT: Size = Size {
    routers: 2,
    replicas: 4,
    callers: 12,
    millis: 6000,
};

fn findings(seed: u64, size: Size) -> Vec<Finding> {
    let folder = tempfile::tempdir().expect("there is room");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    let played = LocalSet::new().block_on(&runtime, run(seed, size, folder.path()));
    let record = played.expect("the programs were built");
    assert!(record.calls.len() > 100, "callers were served");
    judge(&record)
}

#[gtest]
fn verify_promises_hold_under_the_faults_of_some_seeds() {
    for seed in [1, 2] {
        expect_that!(findings(seed, SHORT), is_empty(), "seed {seed}");
    }
}

#[gtest]
fn verify_a_seed_makes_one_plan() {
    for seed in 0..20 {
        let (one, other) = (plan(seed, &SHORT), plan(seed, &SHORT));
        expect_that!(one, eq(&other));
        expect_false!(one.is_empty());
    }
    expect_that!(plan(1, &SHORT), not(eq(&plan(2, &SHORT))));
}
