//! Tests of what follows from the outcome of an attempt.

use googletest::prelude::*;
use toucanturn_core::gateway::{
    outcome::AttemptOutcome,
    route::Kind, //
};

const OUTCOMES: [AttemptOutcome; 8] = [
    AttemptOutcome::NotSent,
    AttemptOutcome::Rejected,
    AttemptOutcome::Misdirected,
    AttemptOutcome::Failed,
    AttemptOutcome::Broken,
    AttemptOutcome::Stalled,
    AttemptOutcome::Answered,
    AttemptOutcome::Left,
];

/// A non-idempotent request is never sent again after an attempt that may have run.
#[gtest]
fn verify_a_non_idempotent_request_that_may_have_run_is_not_repeated() {
    for outcome in OUTCOMES {
        for kind in [Kind::Once, Kind::Stream { resumable: false }] {
            let may_run_twice = outcome.may_have_run() && outcome.repeatable(kind);
            expect_false!(may_run_twice, "{outcome} of {kind}");
        }
    }
}

#[gtest]
fn verify_only_unsent_rejected_and_misdirected_attempts_did_not_run() {
    let not_run = OUTCOMES.into_iter().filter(|f| !f.may_have_run());
    let not_run: Vec<AttemptOutcome> = not_run.collect();
    expect_that!(
        not_run,
        elements_are![
            eq(&AttemptOutcome::NotSent),
            eq(&AttemptOutcome::Rejected),
            eq(&AttemptOutcome::Misdirected)
        ]
    );
}

#[gtest]
fn verify_a_request_that_was_answered_or_abandoned_is_not_repeated() {
    for kind in [Kind::Repeatable, Kind::Stream { resumable: true }] {
        expect_false!(AttemptOutcome::Answered.repeatable(kind));
        expect_false!(AttemptOutcome::Left.repeatable(kind));
        expect_true!(AttemptOutcome::Broken.repeatable(kind));
    }
}
