//! What the log of a router that has just started must not say.

use googletest::prelude::*;
use toucanturn_core::request::Call;

use crate::{
    bench::Bench,
    decisions, //
};

/// Symptom: event 102 with reason no_endpoint although no endpoint is known to be bad. Sequence: a
/// configuration is put in force, and a chat comes before the next tick. Cause: the table of loads
/// still has every endpoint as live, the view as suspect; the rounds for live ones pass each over,
/// and the rounds of last resort look at none that was passed over.
#[gtest]
fn verify_a_chat_before_the_first_tick_is_placed() {
    let mut bench = Bench::new();
    bench.publish(0, &decisions::document());
    bench.chat(Call(1));
    let variants: Vec<_> = bench.decisions.iter().map(decisions::variant).collect();
    // Applied, placed.
    expect_that!(variants, elements_are![eq(&7), eq(&0)]);
}
