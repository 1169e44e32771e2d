//! Copies of the registry.

use bytes::Bytes;
use googletest::prelude::*;
use proptest::prelude::{
    ProptestConfig,
    any,
    prop_assert_eq,
    proptest, //
};
use toucanturn_core::{
    gateway::mirror::{
        Delta,
        Mirror,
        Record, //
    },
    units::Revision,
};

fn key(n: u8) -> Bytes {
    Bytes::from(format!("k{n}"))
}

fn record(n: u8, at: u64) -> Record {
    Record {
        key: key(n),
        value: Some(Bytes::from(format!("{at}"))),
        revision: Revision(at),
    }
}

fn whole(revision: u64, records: Vec<Record>) -> Delta {
    Delta {
        revision: Revision(revision),
        whole: true,
        records,
    }
}

#[gtest]
fn verify_a_whole_read_tells_what_is_gone() {
    let mut mirror = Mirror::default();
    mirror.apply(whole(5, vec![record(1, 2), record(2, 5)]));
    let changed = mirror.apply(whole(9, vec![record(2, 5), record(3, 8)]));
    let gone = Record {
        key: key(1),
        value: None,
        revision: Revision(9),
    };
    expect_that!(changed, elements_are![eq(&gone), eq(&record(3, 8))]);
}

/// Symptom: an endpoint that had left came back.
/// Sequence: two reads are under way; the older one's answer comes last.
/// Cause: whatever came last was taken for the newest.
#[gtest]
fn verify_an_older_state_changes_nothing() {
    let mut mirror = Mirror::default();
    mirror.apply(whole(9, vec![record(2, 5)]));
    expect_that!(
        mirror.apply(whole(8, vec![record(1, 2), record(2, 5)])),
        is_empty()
    );
    expect_that!(mirror.revision(), eq(Revision(9)));
}

#[gtest]
fn verify_one_who_asks_for_forgotten_removals_gets_everything() {
    let mut mirror = Mirror::default();
    mirror.apply(whole(1, vec![record(0, 1)]));
    for at in 2..4000 {
        let one = record(0, 1);
        let other = Record {
            key: Bytes::from(format!("x{at}")),
            value: Some(Bytes::new()),
            revision: Revision(at),
        };
        mirror.apply(whole(at, vec![one, other]));
    }
    expect_true!(mirror.since(Revision(10)).whole);
    expect_false!(mirror.since(Revision(3990)).whole);
    // One who is ahead has heard of another history.
    expect_true!(mirror.since(Revision(5000)).whole);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A follower that asks now and then has, after each ask, what the one that it asks has.
    #[test]
    fn verify_followers_end_up_with_the_same(
        steps in proptest::collection::vec((any::<[bool; 6]>(), any::<bool>()), 1..40),
    ) {
        let (mut first, mut follower) = (Mirror::default(), Mirror::default());
        let mut held: Vec<Option<u64>> = vec![None; 6];
        for (at, (present, asks)) in (1..).zip(steps) {
            for (slot, there) in held.iter_mut().zip(present) {
                *slot = there.then(|| slot.unwrap_or(at));
            }
            let records = held.iter().zip(0..).filter_map(|(at, n)| Some(record(n, (*at)?)));
            first.apply(whole(at, records.collect()));
            if asks {
                follower.apply(first.since(follower.revision()));
                let sorted = |mirror: &Mirror| {
                    let mut all = mirror.since(Revision(0)).records;
                    all.sort_by(|a, b| a.key.cmp(&b.key));
                    all
                };
                prop_assert_eq!(sorted(&first), sorted(&follower));
            }
        }
    }
}
