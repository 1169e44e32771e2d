//! Short runs of releases crossed with faults of routers, against the programs that this build made, and their plans.

#![expect(clippy::expect_used, reason = "a test fails by its panic")]

use std::collections::HashSet;

use googletest::prelude::*;
use tokio::task::LocalSet;
use toucanturn_soak::{
    judge::{
        Finding,
        judge, //
    },
    plan::{
        Fault,
        Size,
        Step,
        release_plan,
        whole_plan, //
    },
    run::run_releases,
};

const SMALL: Size = Size {
    routers: 3,
    replicas: 3,
    callers: 60,
    millis: 3000,
    work_ms: 30,
};

fn findings(steps: &[Step], seed: u64) -> Vec<Finding> {
    let folder = tempfile::tempdir().expect("there is room");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    let played = run_releases(steps, seed, SMALL, folder.path());
    let record = LocalSet::new().block_on(&runtime, played);
    let record = record.expect("the programs were built");
    let taken_up: usize = record.take_ups.values().map(|count| count.sent).sum();
    assert!(taken_up > 20, "streams were taken up");
    let found = judge(&record);
    if !found.is_empty() {
        // What was seen and the routers' logs are kept: a plan's interleaving doesn't come again.
        let kept = folder.keep();
        let text = serde_json::to_vec_pretty(&record).expect("a record is JSON");
        std::fs::write(kept.join("record.json"), text).expect("there is room");
        println!("seed {seed}: kept in {}", kept.display());
    }
    found
}

const fn step(at: u64, lasts: u64, fault: Fault, variant: usize) -> Step {
    Step {
        at,
        lasts,
        fault,
        router: 1,
        replica: 0,
        variant,
    }
}

/// Guards against a router that takes a stream up at the only version that it knew of before it was suspended.
#[gtest]
fn verify_streams_keep_their_version_as_a_router_wakes_in_a_release() {
    let steps = [
        step(1500, 1000, Fault::RouterPaused, 0),
        step(1550, 900, Fault::QuickRelease, 0),
    ];
    expect_that!(findings(&steps, 1), is_empty());
}

/// Guards against a router that takes its last read of the registry, or a peer that has read no later, for a proof that no
/// other version has begun to serve.
#[gtest]
fn verify_streams_keep_their_version_at_routers_that_are_cut_off_in_a_release() {
    let store_cut = |router| Step {
        router,
        ..step(1500, 2500, Fault::StoreCut, 0)
    };
    let steps = [
        step(1500, 2500, Fault::PeersCut, 2),
        store_cut(1),
        store_cut(2),
        step(1550, 1500, Fault::QuickRelease, 0),
    ];
    expect_that!(findings(&steps, 2), is_empty());
}

/// Guards against routers that start after a kill of all and take the version that they find for the only one.
#[gtest]
fn verify_streams_keep_their_version_after_kills_of_all_routers_in_a_release() {
    let steps = [
        step(1500, 600, Fault::QuickRelease, 1),
        step(2300, 600, Fault::AllKilled, 0),
        step(3600, 600, Fault::AllKilled, 0),
    ];
    expect_that!(findings(&steps, 3), is_empty());
}

/// Guards against a router that was suspended through a kill of the others, and takes what it knew before for complete.
#[gtest]
fn verify_streams_keep_their_version_where_one_router_was_suspended_through_a_kill_of_the_others() {
    let steps = [
        step(1450, 1400, Fault::RouterPaused, 0),
        step(1500, 300, Fault::QuickRelease, 0),
        step(2200, 600, Fault::AllKilled, 0),
    ];
    expect_that!(findings(&steps, 4), is_empty());
}

/// Guards against plans that change: a seed is played again to see whether a fault is gone.
#[gtest]
fn verify_a_seed_makes_one_plan_of_releases() {
    for seed in 0..20 {
        let plan = release_plan(seed, &SMALL);
        expect_that!(plan, eq(&release_plan(seed, &SMALL)));
        let mut releases = plan.iter().filter(|s| s.fault == Fault::QuickRelease);
        expect_true!(releases.next().is_some());
    }
}

#[gtest]
fn verify_seeds_in_succession_cross_releases_with_each_fault() {
    let plans = (0..13).flat_map(|seed| release_plan(seed, &SMALL));
    let faults: HashSet<&'static str> = plans.map(|step| step.fault.into()).collect();
    for fault in [
        Fault::RouterPaused,
        Fault::PeersCut,
        Fault::StoreCut,
        Fault::RouterKilled,
        Fault::AllKilled,
    ] {
        expect_that!(faults, contains(eq(&<&str>::from(fault))));
    }
}

/// Guards against other plans of the seeds that were played before: faults of releases are drawn apart.
#[gtest]
fn verify_other_plans_have_none_of_these_faults() {
    for seed in 0..50 {
        let plan = whole_plan(seed, &Size::default());
        let apart = |s: &&Step| matches!(s.fault, Fault::QuickRelease | Fault::PeersCut);
        expect_that!(plan.iter().filter(apart).count(), eq(0));
    }
}
