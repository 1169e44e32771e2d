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

fn removal(n: u8, at: u64) -> Record {
    Record {
        key: key(n),
        value: None,
        revision: Revision(at),
    }
}

fn part(revision: u64, records: Vec<Record>) -> Delta {
    Delta {
        revision: Revision(revision),
        whole: false,
        records,
    }
}

/// Symptom: 4.2 s after an endpoint had left, a router still sent requests there, and its proof of age
/// was 0.6 s old. Sequence: all routers start at once; one reads everything, an endpoint is removed,
/// another one reads everything; the first asks the second what has changed. Cause: the second never
/// knew the endpoint and so remembered no removal, yet took its memory to reach back to the beginning.
#[gtest]
fn verify_what_was_removed_before_the_first_read_is_told() {
    let (mut early, mut late) = (Mirror::default(), Mirror::default());
    early.apply(whole(5, vec![record(1, 2), record(2, 4)]));
    late.apply(whole(9, vec![record(2, 4), record(3, 8)]));
    let changed = early.copy(late.since(early.revision()));
    expect_that!(changed, contains(eq(&removal(1, 9))));
}

/// Symptom: as above. Sequence: a router that reads everything twice misses an endpoint that came and
/// went between; one whose copy is of that time asks it. Cause: the same, for a later read.
#[gtest]
fn verify_what_came_and_went_between_two_whole_reads_is_told() {
    let (mut reader, mut other) = (Mirror::default(), Mirror::default());
    reader.apply(whole(10, vec![record(1, 2)]));
    reader.apply(whole(14, vec![record(1, 2)]));
    other.apply(whole(12, vec![record(1, 2), record(2, 11)]));
    other.copy(reader.since(other.revision()));
    expect_that!(
        other.since(Revision(0)).records,
        elements_are![eq(&record(1, 2))]
    );
    // Who was there before the span that it can't tell of needs no more than what has changed.
    expect_false!(reader.since(Revision(10)).whole);
}

/// Symptom: as above. Sequence: pages of a whole read are no snapshot: one that says revision 7 misses
/// what is removed at 8; the removal comes next. A router whose copy is of 7 asks after that. Cause: a
/// removal of what was missing already was not remembered with its own revision.
#[gtest]
fn verify_a_removal_that_a_whole_read_foresaw_is_told() {
    let (mut reader, mut other) = (Mirror::default(), Mirror::default());
    reader.apply(whole(6, vec![record(1, 2), record(2, 3)]));
    reader.apply(whole(7, vec![record(2, 3)]));
    other.apply(whole(7, vec![record(1, 2), record(2, 3)]));
    reader.apply(part(8, vec![removal(1, 8)]));
    let changed = other.copy(reader.since(other.revision()));
    expect_that!(changed, elements_are![eq(&removal(1, 8))]);
}

/// Longest history of the property below.
const HISTORY: usize = 40;

/// `Step` is one thing that happens to three routers' copies.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The registry changes a record, or takes it out.
    Change(u8, bool),
    /// A router reads everything.
    Whole(usize),
    /// A router reads what has changed since its last own read.
    Changes(usize),
    /// A router asks another.
    Ask(usize, usize),
}

fn steps() -> impl proptest::strategy::Strategy<Value = Vec<Step>> {
    use proptest::prelude::*;
    let step = prop_oneof![
        3 => (0..6_u8, any::<bool>()).prop_map(|(n, there)| Step::Change(n, there)),
        1 => (0..3_usize).prop_map(Step::Whole),
        1 => (0..3_usize).prop_map(Step::Changes),
        2 => (0..3_usize, 0..3_usize).prop_map(|(a, b)| Step::Ask(a, b)),
    ];
    proptest::collection::vec(step, 1..HISTORY)
}

/// `World` is a registry with its history.
#[derive(Default)]
struct World {
    revision: u64,
    history: Vec<Record>,
}

impl World {
    fn change(&mut self, n: u8, there: bool) {
        if !there && !self.at(self.revision).iter().any(|r| r.key == key(n)) {
            return;
        }
        self.revision += 1;
        let change = if there { record } else { removal };
        self.history.push(change(n, self.revision));
    }

    fn at(&self, revision: u64) -> Vec<Record> {
        let newest = |n| {
            let all = self.history.iter().rev();
            let mut until = all.filter(|r| r.revision <= Revision(revision));
            until.find(|r| r.key == key(n))
        };
        let there = (0..6).filter_map(newest).filter(|r| r.value.is_some());
        there.cloned().collect()
    }

    fn since(&self, revision: Revision) -> Vec<Record> {
        let newer = self.history.iter().filter(|r| r.revision > revision);
        newer.cloned().collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 2000, ..ProptestConfig::default() })]

    /// A copy of some revision holds what the registry held then, whoever it was copied from.
    #[test]
    fn verify_each_copy_is_what_its_revision_says(steps in steps()) {
        let mut world = World::default();
        world.change(0, true);
        let mut mirrors: [Mirror; 3] = Default::default();
        let mut read = [Revision(0); 3];
        for step in steps {
            match step {
                Step::Change(n, there) => world.change(n, there),
                Step::Whole(who) => {
                    mirrors[who].apply(whole(world.revision, world.at(world.revision)));
                    read[who] = Revision(world.revision);
                }
                Step::Changes(who) if read[who] > Revision(0) => {
                    mirrors[who].apply(part(world.revision, world.since(read[who])));
                    read[who] = Revision(world.revision);
                }
                Step::Changes(_) => {}
                Step::Ask(who, whom) => {
                    let delta = mirrors[whom].since(mirrors[who].revision());
                    mirrors[who].copy(delta);
                }
            }
            for mirror in &mirrors {
                let mut held = mirror.since(Revision(0)).records;
                held.retain(|r| r.value.is_some());
                held.sort_by(|a, b| a.key.cmp(&b.key));
                prop_assert_eq!(held, world.at(mirror.revision().0));
            }
        }
    }
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
                follower.copy(first.since(follower.revision()));
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
