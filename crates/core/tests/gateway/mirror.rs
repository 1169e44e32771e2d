//! Tests of routers' copies of the registry.

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

fn full_delta(revision: u64, records: Vec<Record>) -> Delta {
    Delta {
        revision: Revision(revision),
        whole: true,
        records,
    }
}

#[gtest]
fn verify_a_full_read_reports_removed_records() {
    let mut mirror = Mirror::default();
    mirror.apply(full_delta(5, vec![record(1, 2), record(2, 5)]));
    let changed = mirror.apply(full_delta(9, vec![record(2, 5), record(3, 8)]));
    let gone = Record {
        key: key(1),
        value: None,
        revision: Revision(9),
    };
    expect_that!(changed, elements_are![eq(&gone), eq(&record(3, 8))]);
}

/// Guards against an endpoint that has left and reappears: of two concurrent reads, the older one is
/// answered last, and its answer is taken for the newest state.
#[gtest]
fn verify_an_older_read_is_ignored() {
    let mut mirror = Mirror::default();
    mirror.apply(full_delta(9, vec![record(2, 5)]));
    expect_that!(
        mirror.apply(full_delta(8, vec![record(1, 2), record(2, 5)])),
        is_empty()
    );
    expect_that!(mirror.revision(), eq(Revision(9)));
}

#[gtest]
fn verify_a_copy_older_than_the_known_removals_gets_the_full_state() {
    let mut mirror = Mirror::default();
    mirror.apply(full_delta(1, vec![record(0, 1)]));
    for at in 2..4000 {
        let one = record(0, 1);
        let other = Record {
            key: Bytes::from(format!("x{at}")),
            value: Some(Bytes::new()),
            revision: Revision(at),
        };
        mirror.apply(full_delta(at, vec![one, other]));
    }
    expect_true!(mirror.since(Revision(10)).whole);
    expect_false!(mirror.since(Revision(3990)).whole);
    // A copy with a higher revision comes from another history.
    expect_true!(mirror.since(Revision(5000)).whole);
}

fn removal(n: u8, at: u64) -> Record {
    Record {
        key: key(n),
        value: None,
        revision: Revision(at),
    }
}

fn partial_delta(revision: u64, records: Vec<Record>) -> Delta {
    Delta {
        revision: Revision(revision),
        whole: false,
        records,
    }
}

/// Guards against requests to an endpoint 4.2 s after it has left, though the router's copy counts as
/// only 0.6 s old. When all routers start, one reads the full registry, an endpoint is removed, a second
/// router reads the full registry, and the first asks the second for changes. The second never knew the
/// endpoint and has no removal of it, so it must not claim to know all removals since the beginning.
#[gtest]
fn verify_what_was_removed_before_the_first_read_is_told() {
    let (mut early, mut late) = (Mirror::default(), Mirror::default());
    early.apply(full_delta(5, vec![record(1, 2), record(2, 4)]));
    late.apply(full_delta(9, vec![record(2, 4), record(3, 8)]));
    let changed = early.apply_from_peer(late.since(early.revision()));
    expect_that!(changed, contains(eq(&removal(1, 9))));
}

/// Guards against the same failure at a later read: a router that does two full reads misses an endpoint
/// that was added and removed between them, and is asked for changes by one whose copy has it.
#[gtest]
fn verify_a_record_added_and_removed_between_two_full_reads_is_reported() {
    let (mut reader, mut other) = (Mirror::default(), Mirror::default());
    reader.apply(full_delta(10, vec![record(1, 2)]));
    reader.apply(full_delta(14, vec![record(1, 2)]));
    other.apply(full_delta(12, vec![record(1, 2), record(2, 11)]));
    other.apply_from_peer(reader.since(other.revision()));
    expect_that!(
        other.since(Revision(0)).records,
        elements_are![eq(&record(1, 2))]
    );
    // A copy from before the gap needs only the changes.
    expect_false!(reader.since(Revision(10)).whole);
}

/// Guards against the same failure because the pages of a full read are no snapshot: a read at revision 7
/// already lacks a record that is removed at 8, and the removal arrives next. It must be kept with its own
/// revision although the record was missing, for routers whose copy is of revision 7.
#[gtest]
fn verify_a_removal_that_a_full_read_already_lacked_is_reported() {
    let (mut reader, mut other) = (Mirror::default(), Mirror::default());
    reader.apply(full_delta(6, vec![record(1, 2), record(2, 3)]));
    reader.apply(full_delta(7, vec![record(2, 3)]));
    other.apply(full_delta(7, vec![record(1, 2), record(2, 3)]));
    reader.apply(partial_delta(8, vec![removal(1, 8)]));
    let changed = other.apply_from_peer(reader.since(other.revision()));
    expect_that!(changed, elements_are![eq(&removal(1, 8))]);
}

/// Guards against a follower that never learns of an endpoint that came and went between two copies: the removal of a
/// record that it does not hold says so.
#[gtest]
fn verify_a_copy_tells_of_a_record_that_came_and_went() {
    let (mut reader, mut follower) = (Mirror::default(), Mirror::default());
    reader.apply(full_delta(5, vec![record(1, 2)]));
    follower.apply_from_peer(reader.since(Revision(0)));
    reader.apply(partial_delta(8, vec![record(2, 7), removal(2, 8)]));
    let copy = reader.since(follower.revision());
    expect_false!(copy.whole);
    expect_that!(copy.records, elements_are![eq(&removal(2, 8))]);
    expect_true!(follower.holds(&key(1)));
    expect_false!(follower.holds(&key(2)));
}

/// Most steps of the property test below.
const MAX_STEPS: usize = 40;

/// `Step` is one change of the registry or of the copies of three routers.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The registry changes a record or removes it.
    Change(u8, bool),
    /// A router reads the full registry.
    ReadAll(usize),
    /// A router reads the changes since its last own read.
    ReadChanges(usize),
    /// A router copies the changes from another.
    CopyFrom(usize, usize),
}

fn steps() -> impl proptest::strategy::Strategy<Value = Vec<Step>> {
    use proptest::prelude::*;
    let step = prop_oneof![
        3 => (0..6_u8, any::<bool>()).prop_map(|(n, present)| Step::Change(n, present)),
        1 => (0..3_usize).prop_map(Step::ReadAll),
        1 => (0..3_usize).prop_map(Step::ReadChanges),
        2 => (0..3_usize, 0..3_usize).prop_map(|(a, b)| Step::CopyFrom(a, b)),
    ];
    proptest::collection::vec(step, 1..MAX_STEPS)
}

/// `RegistryModel` is a registry that keeps its history.
#[derive(Default)]
struct RegistryModel {
    revision: u64,
    history: Vec<Record>,
}

impl RegistryModel {
    fn change(&mut self, n: u8, present: bool) {
        if !present && !self.at(self.revision).iter().any(|r| r.key == key(n)) {
            return;
        }
        self.revision += 1;
        let change = if present { record } else { removal };
        self.history.push(change(n, self.revision));
    }

    fn at(&self, revision: u64) -> Vec<Record> {
        let newest = |n| {
            let all = self.history.iter().rev();
            let mut until = all.filter(|r| r.revision <= Revision(revision));
            until.find(|r| r.key == key(n))
        };
        let present = (0..6).filter_map(newest).filter(|r| r.value.is_some());
        present.cloned().collect()
    }

    fn since(&self, revision: Revision) -> Vec<Record> {
        let newer = self.history.iter().filter(|r| r.revision > revision);
        newer.cloned().collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 2000, ..ProptestConfig::default() })]

    /// A copy of a revision equals the registry at that revision, whichever router it was copied from.
    #[test]
    fn verify_each_copy_is_what_its_revision_says(steps in steps()) {
        let mut registry = RegistryModel::default();
        registry.change(0, true);
        let mut mirrors: [Mirror; 3] = Default::default();
        let mut read = [Revision(0); 3];
        for step in steps {
            match step {
                Step::Change(n, present) => registry.change(n, present),
                Step::ReadAll(router) => {
                    mirrors[router].apply(full_delta(registry.revision, registry.at(registry.revision)));
                    read[router] = Revision(registry.revision);
                }
                Step::ReadChanges(router) if read[router] > Revision(0) => {
                    mirrors[router].apply(partial_delta(registry.revision, registry.since(read[router])));
                    read[router] = Revision(registry.revision);
                }
                Step::ReadChanges(_) => {}
                Step::CopyFrom(router, source) => {
                    let delta = mirrors[source].since(mirrors[router].revision());
                    mirrors[router].apply_from_peer(delta);
                }
            }
            for mirror in &mirrors {
                let mut held = mirror.since(Revision(0)).records;
                held.retain(|r| r.value.is_some());
                held.sort_by(|a, b| a.key.cmp(&b.key));
                prop_assert_eq!(held, registry.at(mirror.revision().0));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A follower that copies from time to time equals its source after each copy.
    #[test]
    fn verify_a_follower_equals_its_source_after_each_copy(
        steps in proptest::collection::vec((any::<[bool; 6]>(), any::<bool>()), 1..40),
    ) {
        let (mut first, mut follower) = (Mirror::default(), Mirror::default());
        let mut held: Vec<Option<u64>> = vec![None; 6];
        for (at, (present_records, copies)) in (1..).zip(steps) {
            for (slot, present) in held.iter_mut().zip(present_records) {
                *slot = present.then(|| slot.unwrap_or(at));
            }
            let records = held.iter().zip(0..).filter_map(|(at, n)| Some(record(n, (*at)?)));
            first.apply(full_delta(at, records.collect()));
            if copies {
                follower.apply_from_peer(first.since(follower.revision()));
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
