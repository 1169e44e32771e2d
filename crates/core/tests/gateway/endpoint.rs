//! Tests of the state of one endpoint.

use googletest::prelude::*;
use proptest::prelude::{
    Just,
    ProptestConfig,
    Strategy,
    any,
    prop_assert,
    prop_assert_eq,
    prop_oneof,
    proptest, //
};
use toucanturn_core::{
    gateway::{
        endpoint::{
            Endpoint,
            Load,
            State, //
        },
        mesh::EndpointReport,
        outcome::AttemptOutcome,
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::fixture::entry;

fn load(running: u32) -> Load {
    Load {
        running,
        waiting: 0,
        slots: 64,
        slowdown: None,
    }
}

#[gtest]
fn verify_a_reported_load_is_adjusted_by_own_requests() {
    let mut endpoint = Endpoint::new(None, entry(1));
    endpoint.sent(Time(0));
    endpoint.record_load(Time(10), load(5));
    endpoint.sent(Time(20));
    expect_that!(endpoint.load(Time(30)), eq(6));
    endpoint.ended(Time(40), AttemptOutcome::Answered, Millis(20));
    endpoint.ended(Time(40), AttemptOutcome::Answered, Millis(20));
    expect_that!(endpoint.load(Time(50)), eq(4));
}

/// A reported load decays, as the requests in it end and no new ones are known.
#[gtest]
fn verify_a_reported_load_decays_and_expires() {
    let mut endpoint = Endpoint::new(None, entry(1));
    endpoint.sent(Time(0));
    endpoint.record_load(Time(0), load(51));
    expect_that!(endpoint.load(Time(200)), eq(51));
    expect_that!(endpoint.load(Time(500)), eq(1 + 25));
    expect_that!(endpoint.load(Time(800)), eq(1 + 13));
    expect_that!(endpoint.load(Time(1999)), eq(2));
    expect_that!(
        endpoint.load(Time(2000)),
        eq(1),
        "only the router's own request"
    );
    expect_that!(endpoint.report(Time(2000)), none());
}

/// A newer load from a peer replaces the known one, plus this router's own requests that were sent after it.
#[gtest]
fn verify_a_peer_s_load_counts_if_it_is_newer() {
    let mut endpoint = Endpoint::new(None, entry(1));
    endpoint.record_load(Time(1000), load(5));
    let report = |load, age| EndpointReport {
        delay: None,
        endpoint: 0,
        load: Some(load),
        age: Millis(age),
        confirmed: false,
    };
    endpoint.record_peer_report(Time(1150), report(9, 250));
    expect_that!(endpoint.load(Time(1150)), eq(5));
    endpoint.sent(Time(1100));
    endpoint.record_peer_report(Time(1150), report(9, 100));
    expect_that!(endpoint.load(Time(1150)), eq(10));
}

#[gtest]
fn verify_an_unreachable_endpoint_is_paused_for_longer_each_time() {
    let mut endpoint = Endpoint::new(None, entry(1));
    endpoint.record_unreached(Time(0));
    expect_true!(endpoint.paused(Time(399)));
    expect_false!(endpoint.paused(Time(400)));
    endpoint.record_unreached(Time(400));
    expect_true!(endpoint.paused(Time(1199)));
    expect_false!(endpoint.paused(Time(1200)));
    endpoint.sent(Time(1200));
    endpoint.ended(Time(1300), AttemptOutcome::Answered, Millis(20));
    endpoint.record_unreached(Time(2000));
    expect_false!(endpoint.paused(Time(2400)));
}

#[gtest]
fn verify_two_consecutive_broken_answers_pause_an_endpoint() {
    let mut endpoint = Endpoint::new(None, entry(1));
    endpoint.sent(Time(0));
    endpoint.sent(Time(0));
    endpoint.ended(Time(10), AttemptOutcome::Broken, Millis(20));
    expect_false!(endpoint.paused(Time(11)));
    endpoint.ended(Time(12), AttemptOutcome::Stalled, Millis(20));
    expect_true!(endpoint.paused(Time(13)));
}

#[gtest]
fn verify_a_misdirected_answer_marks_the_endpoint_as_gone() {
    let mut endpoint = Endpoint::new(None, entry(1));
    endpoint.sent(Time(0));
    endpoint.ended(Time(10), AttemptOutcome::Misdirected, Millis(20));
    expect_that!(endpoint.state, eq(State::Gone));
    endpoint.update_entry(entry(1));
    expect_false!(endpoint.usable());
}

#[derive(Clone, Debug)]
enum Step {
    Ready,
    Leaving,
    Sent,
    Ended(AttemptOutcome),
    Unreached,
    Stated(u32),
}

fn any_step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        Just(AttemptOutcome::Answered),
        Just(AttemptOutcome::Failed),
        Just(AttemptOutcome::Broken),
        Just(AttemptOutcome::Rejected),
        Just(AttemptOutcome::Misdirected),
        Just(AttemptOutcome::Left),
    ];
    prop_oneof![
        4 => Just(Step::Ready),
        1 => Just(Step::Leaving),
        8 => Just(Step::Sent),
        8 => outcome.prop_map(Step::Ended),
        1 => Just(Step::Unreached),
        2 => any::<u8>().prop_map(|n| Step::Stated(u32::from(n))),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// After any sequence of events, an endpoint that is leaving never becomes usable again, this router's own
    /// requests at it are counted correctly, and a pause ends within 3.2 s.
    #[test]
    fn verify_invariants_over_random_event_sequences(steps in proptest::collection::vec(any_step(), 1..80)) {
        let mut endpoint = Endpoint::new(None, entry(1));
        let mut own_in_flight = 0_u32;
        let mut left = false;
        let mut now = Time(0);
        for step in steps {
            now = now + Millis(100);
            match step {
                Step::Ready => { endpoint.update_entry(entry(1)); }
                Step::Leaving => {
                    let mut leaving = entry(1);
                    leaving.leaving = true;
                    endpoint.update_entry(leaving);
                    left = true;
                }
                Step::Sent => { endpoint.sent(now); own_in_flight += 1; }
                Step::Ended(outcome) if own_in_flight > 0 => {
                    endpoint.ended(now, outcome, Millis(20));
                    own_in_flight -= 1;
                    left |= outcome == AttemptOutcome::Misdirected;
                }
                Step::Ended(_) => {}
                Step::Unreached => endpoint.record_unreached(now),
                Step::Stated(n) => endpoint.record_load(now, load(n)),
            }
            prop_assert_eq!(endpoint.own_in_flight, own_in_flight);
            prop_assert!(endpoint.load(now) >= own_in_flight);
            prop_assert!(!(left && endpoint.usable()));
            prop_assert!(!endpoint.paused(now + Millis(3200)));
        }
    }
}
