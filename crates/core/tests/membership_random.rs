//! Property test of the view under observations in any order.

use std::collections::BTreeSet;

use googletest::prelude::*;
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{
        Config as Runs,
        RngAlgorithm,
        RngSeed,
        TestCaseError,
        TestRunner, //
    },
};
use toucanturn_core::{
    event::VmState,
    membership::{
        MAX_CONFIRMATION_AGE,
        Observation,
        State, //
    },
    units::{
        Incarnation,
        Millis,
        Time, //
    },
};

#[path = "membership/fixture.rs"]
mod fixture;
use fixture::*;

const START: Time = Time(100_000);
const ENDPOINTS: u16 = 4;

/// `Step` is one observation of an endpoint.
#[derive(Clone, Copy, Debug)]
enum Step {
    Poll { incarnation: u64, leaving: bool },
    PeerLeaving { incarnation: u64 },
    PeerReport { incarnation: u64 },
    Health(Observation),
    List { age_ms: u64, state: Option<VmState> },
    Pause { span_ms: u64 },
}

fn step() -> impl Strategy<Value = (u64, usize, Step)> {
    let health = prop_oneof![
        Just(Observation::Answered),
        Just(Observation::Finished),
        Just(Observation::Reached),
        Just(Observation::Refused),
        Just(Observation::Silent),
        Just(Observation::Unreached),
    ];
    let listed = prop_oneof![
        Just(None),
        Just(Some(VmState::Live)),
        Just(Some(VmState::Leaving))
    ];
    let kind = prop_oneof![
        3 => (1..4u64, prop::bool::weighted(0.2))
            .prop_map(|(incarnation, leaving)| Step::Poll { incarnation, leaving }),
        1 => (1..4u64).prop_map(|incarnation| Step::PeerLeaving { incarnation }),
        2 => (1..4u64).prop_map(|incarnation| Step::PeerReport { incarnation }),
        4 => health.prop_map(Step::Health),
        2 => (0..8000u64, listed).prop_map(|(age_ms, state)| Step::List { age_ms, state }),
        1 => (400..20_000u64).prop_map(|span_ms| Step::Pause { span_ms }),
    ];
    (0..300u64, 0..usize::from(ENDPOINTS), kind)
}

fn run_steps(steps: &[(u64, usize, Step)]) -> std::result::Result<(), String> {
    let (mut view, keys) = view(START, ENDPOINTS);
    let mut now = START;
    let mut departed = BTreeSet::new();
    let mut last_incarnations = vec![Incarnation(1); keys.len()];
    for (wait, n, step) in steps {
        let key = keys[*n];
        now = now + Millis(*wait);
        if let Step::Pause { span_ms } = step {
            now = now + Millis(*span_ms);
        }
        view.advance(now);
        match *step {
            Step::Poll {
                incarnation,
                leaving,
            } => {
                view.asked(now, key);
                let report = if leaving {
                    leaving_poll_answer(incarnation)
                } else {
                    poll_answer(incarnation)
                };
                view.self_report(now, key, report);
            }
            Step::PeerLeaving { incarnation } => {
                view.leaving(now, key, Incarnation(incarnation));
            }
            Step::PeerReport { incarnation } => {
                view.reported(now, key, Incarnation(incarnation), Millis(200));
            }
            Step::Health(seen) => {
                view.seen(now, key, seen);
            }
            Step::List { age_ms, state } => {
                let vms: Vec<_> = state.map(|s| (key, s)).into_iter().collect();
                view.listed(now, Millis(age_ms), &vms);
            }
            Step::Pause { .. } => {}
        }
        departed.extend(view.all_leaving());
        for (n, key) in keys.iter().enumerate() {
            let incarnation = view.incarnation(*key);
            let state = view.state(now, *key);
            if incarnation < last_incarnations[n] {
                return Err(format!(
                    "incarnation went back from {:?} to {incarnation:?}",
                    last_incarnations[n]
                ));
            }
            last_incarnations[n] = incarnation;
            if departed.contains(&(*key, incarnation)) && state != State::Leaving {
                return Err(format!("{incarnation:?} was leaving and is {state}"));
            }
            let usable = matches!(state, State::Live | State::Suspect);
            let old = view
                .last_confirmed(*key)
                .is_some_and(|t| now.since(t) > MAX_CONFIRMATION_AGE);
            if usable && old {
                return Err(format!(
                    "{incarnation:?} is {state}, last confirmed at {:?}",
                    view.last_confirmed(*key)
                ));
            }
        }
        if view.len() != keys.len() {
            return Err(format!("{} endpoints in the view", view.len()));
        }
    }
    // After any sequence, a next incarnation that works becomes live again within the damping's
    // bound.
    for _ in 0..1300 {
        now = now + Millis(50);
        view.advance(now);
        for key in &keys {
            view.asked(now, *key);
            view.self_report(now, *key, poll_answer(9));
            view.listed(
                now,
                Millis(0),
                &keys.iter().map(|k| (*k, VmState::Live)).collect::<Vec<_>>(),
            );
        }
    }
    let not_live = keys
        .iter()
        .find(|key| view.state(now, **key) != State::Live);
    not_live.map_or(Ok(()), |key| {
        Err(format!(
            "endpoint did not become live again: {}",
            view.state(now, *key)
        ))
    })
}

#[googletest::test]
fn verify_any_order_of_observations_keeps_the_invariants_of_the_view() {
    // Guards against work at a leaving engine, and against a flapping engine that never gets work
    // again: two kinds of observation that are each handled correctly alone conflict in some order.
    let runs = Runs {
        cases: 400,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(2026),
        failure_persistence: None,
        ..Runs::default()
    };
    let result = TestRunner::new(runs).run(&vec(step(), 1..120), |steps| {
        run_steps(&steps).map_err(TestCaseError::fail)
    });
    expect_that!(result.map_err(|e| e.to_string()), ok(anything()));
}
