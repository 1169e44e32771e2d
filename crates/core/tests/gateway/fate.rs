//! What follows from how an attempt ended.

use googletest::prelude::*;
use toucanturn_core::gateway::{
    fate::Fate,
    route::Kind, //
};

const FATES: [Fate; 8] = [
    Fate::NotSent,
    Fate::Rejected,
    Fate::Misdirected,
    Fate::Failed,
    Fate::Broken,
    Fate::Stalled,
    Fate::Answered,
    Fate::Left,
];

/// What may run once is never sent again after it may have run.
#[gtest]
fn verify_what_may_have_run_once_is_not_repeated() {
    for fate in FATES {
        for kind in [Kind::Once, Kind::Stream { resumable: false }] {
            let twice = fate.may_have_run() && fate.repeatable(kind);
            expect_false!(twice, "{fate} of {kind}");
        }
    }
}

#[gtest]
fn verify_only_proof_says_not_run() {
    let proved = FATES.into_iter().filter(|f| !f.may_have_run());
    let proved: Vec<Fate> = proved.collect();
    expect_that!(
        proved,
        elements_are![
            eq(&Fate::NotSent),
            eq(&Fate::Rejected),
            eq(&Fate::Misdirected)
        ]
    );
}

#[gtest]
fn verify_what_has_ended_is_not_repeated() {
    for kind in [Kind::Repeatable, Kind::Stream { resumable: true }] {
        expect_false!(Fate::Answered.repeatable(kind));
        expect_false!(Fate::Left.repeatable(kind));
        expect_true!(Fate::Broken.repeatable(kind));
    }
}
