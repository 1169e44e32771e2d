//! A deployment's load on the real programs, scaled to a few routers.

#![expect(clippy::expect_used, reason = "a test fails by its panic")]

use std::{
    path::Path,
    sync::{
        Mutex,
        PoisonError, //
    },
};

use googletest::prelude::*;
use tempfile::TempDir;
use tokio::task::LocalSet;
use toucanturn_judge::multiple::worst;
use toucanturn_platform_standin::replica::{
    RequestEvent,
    RequestEventKind, //
};
use toucanturn_soak::load::{
    fleet::{
        Call,
        Seen, //
    },
    judge::{
        Finding,
        judge,
        served, //
    },
    plan::{
        Act,
        Step,
        hard_plan,
        plan, //
    },
    run,
    sheet::Sheet, //
};

const SECONDS: u64 = 12;
const LONG_SECONDS: u64 = 20;

/// Held while a fleet plays. Fleets that play at once starve each other of processor time, and the times that are judged
/// are then those of processes that wait to run.
static MACHINE: Mutex<()> = Mutex::new(());

/// Plays a load while no other test of this binary plays one.
fn play(sheet: &Sheet, steps: &[Step], (seed, seconds): (u64, u64), folder: &Path) -> Seen {
    // Dropped after the fleet's processes. A failed play says nothing of the next, thus poison is ignored.
    let _turn = MACHINE.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    let played = run(sheet, steps, (seed, seconds), folder);
    let seen = LocalSet::new().block_on(&runtime, played);
    seen.expect("the programs were built")
}

/// Plays a load and expects each service to keep the load multiple in all five seconds.
fn expect_within_multiple(sheet: &Sheet, steps: &[Step], (seed, seconds): (u64, u64)) {
    let folder = tempfile::tempdir().expect("there is room");
    let seen = play(sheet, steps, (seed, seconds), folder.path());
    let (served, calls) = seen.served();
    expect_that!(served * 100, ge(calls * 95), "{served} of {calls} served");
    let mut broken = false;
    for service in seen.services() {
        let windows = seen.windows(service);
        let worst = worst(&windows);
        let bad = windows.iter().filter(|w| w.is_broken()).count();
        broken |= bad > 0;
        expect_that!(bad, eq(0), "{service}, seed {seed}: worst {worst:?}");
    }
    if broken {
        keep(folder, &seen, seed);
    }
}

/// Keeps what was seen, and the routers' logs, which tell what each placement went by.
fn keep(folder: TempDir, seen: &Seen, seed: u64) {
    let kept = folder.keep();
    let text = serde_json::to_vec(seen).expect("what was seen is JSON");
    std::fs::write(kept.join("record.json"), text).expect("there is room");
    println!("seed {seed}: kept in {}", kept.display());
}

/// Guards against routers that place by loads that are older than what other routers have sent since.
#[gtest]
fn verify_a_calm_fleet_of_processes_is_within_the_multiple() {
    expect_within_multiple(&Sheet::shifted(20), &[], (1, SECONDS));
}

/// Guards against a mean over the remaining engines alone while a data centre is evacuated.
#[gtest]
fn verify_a_fleet_of_processes_is_within_the_multiple_in_an_evacuation() {
    let steps = [
        Step {
            at: 2000,
            lasts: 8000,
            act: Act::Evacuate { data_center: 0 },
        },
        Step {
            at: 3000,
            lasts: 6000,
            act: Act::HotSession {
                kind: 0,
                share: 0.3,
            },
        },
    ];
    expect_within_multiple(&Sheet::shifted(30), &steps, (2, SECONDS));
}

/// Guards against routers that all send to an endpoint without a stated load as soon as its data centre is restored.
#[gtest]
fn verify_a_restored_pool_is_within_the_multiple() {
    let mut sheet = Sheet::shifted(30);
    sheet.pools = 6;
    for kind in sheet.kinds.iter_mut().filter(|kind| kind.prompt.is_none()) {
        kind.per_second *= 2.8;
    }
    let evacuated = Step {
        at: 1000,
        lasts: 6000,
        act: Act::Evacuate { data_center: 1 },
    };
    expect_within_multiple(&sheet, &[evacuated], (3, SECONDS));
}

/// Guards against hot sessions at engines that hold little, where what routers have heard of the engines is old.
#[gtest]
fn verify_hot_sessions_in_planned_work_are_within_the_multiple() {
    for seed in [11, 12, 14, 17] {
        let steps = plan(seed, LONG_SECONDS);
        expect_within_multiple(&Sheet::shifted(40), &steps, (seed, LONG_SECONDS));
    }
}

/// Guards against callers who wait past their bound, are told that a request which runs has not run, or get less than others who
/// send as much, while one workspace crowds the pools and machines of engines are slow.
#[gtest]
fn verify_hard_load_leaves_callers_what_they_are_owed() {
    let sheet = Sheet::hard(6);
    let steps = hard_plan(1, SECONDS);
    let folder = tempfile::tempdir().expect("there is room");
    let seen = play(&sheet, &steps, (1, SECONDS), folder.path());
    let refused = seen.calls.iter().filter(|c| matches!(c.status, 429 | 503));
    // Otherwise the pools were not short of room, and the rest shows nothing.
    expect_that!(refused.count(), gt(0));
    expect_that!(served(&sheet, &seen, Some(0)).len(), eq(3));
    let found = judge(&sheet, &seen, Some(0));
    expect_that!(found, is_empty());
    if !found.is_empty() {
        keep(folder, &seen, 1);
    }
}

fn call(n: u64, workspace: usize, status: u16, waited: u64) -> Call {
    Call {
        route: "pay",
        id: format!("pay-{n}"),
        request: n,
        workspace,
        router: 0,
        status,
        times: (1000, 1000 + waited),
    }
}

/// A judge that finds nothing in bad runs would show nothing in others.
#[gtest]
fn verify_the_judge_of_hard_load_notices_each_fault() {
    let sheet = Sheet::hard(12);
    let began = RequestEvent {
        at_ms: 1,
        replica: "pool-1".to_owned(),
        id: "pay-3".to_owned(),
        after: None,
        what: RequestEventKind::Began,
        says_leaving: false,
        back_off_ms: 0,
        unmarked: false,
    };
    let mut seen = Seen {
        calls: vec![
            call(1, 0, 200, 20),
            call(2, 0, 502, 1200),
            call(4, 0, 503, 5),
        ],
        notes: vec![began],
        ..Seen::default()
    };
    expect_that!(judge(&sheet, &seen, None), eq(&vec![]));
    seen.calls.push(call(3, 0, 503, 10));
    seen.calls.push(call(5, 0, 0, 1400));
    let ids = vec!["pay-3".to_owned()];
    let waits = vec![("pay-5".to_owned(), 1400)];
    let expected = vec![Finding::RanThoughRefused { ids }, Finding::Late { waits }];
    expect_that!(judge(&sheet, &seen, None), eq(&expected));
    // Each of three workspaces sends 500 requests; the last one is served half of them, and so is the one that crowds.
    let status = |n, workspace| {
        if workspace % 2 == 0 && n % 2 == 0 {
            503
        } else {
            200
        }
    };
    let calls = (0..1500_u64).map(|n| (n, usize::try_from(n % 3).unwrap_or_default()));
    seen.calls = calls
        .map(|(n, workspace)| call(10 + n, workspace, status(n / 3, workspace), 20))
        .collect();
    let served = vec![(1, 1.0), (2, 0.5)];
    let expected = vec![Finding::Unequal { served }];
    expect_that!(judge(&sheet, &seen, Some(0)), eq(&expected));
}
