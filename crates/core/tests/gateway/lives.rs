//! Endpoints that start again under the name that they had, and entries that name nobody.

use bytes::Bytes;
use googletest::prelude::*;
use proptest::prelude::{
    Strategy,
    prop,
    prop_assert_eq,
    prop_oneof,
    proptest, //
};
use toucanturn_core::{
    gateway::{
        Change, Gateway,
        endpoint::{
            Entry,
            Load, //
        },
        fate::{
            Fate,
            Next, //
        },
        mirror::{
            Delta,
            Mirror,
            Record, //
        },
    },
    units::{
        Revision,
        Time,
        Wall, //
    },
};

use crate::fixture::{
    ask,
    entry,
    gateway, //
};

fn born(number: u8, at: u64) -> Entry {
    Entry {
        born: Some(Wall(at)),
        ..entry(number)
    }
}

fn put(gateway: &mut Gateway, now: u64, entry: Entry) {
    gateway.follow(Time(now), vec![Change::Entry(entry)]);
}

fn usable(gateway: &Gateway) -> usize {
    gateway.registry().of(b"engines").count()
}

/// Symptom: a restarted endpoint got no work. Sequence: it leaves, ends, and starts again under its name
/// before its entry is gone. Cause: what leaves was taken to leave for good.
#[gtest]
fn verify_a_new_life_is_not_leaving() {
    let mut gateway = gateway(0);
    put(&mut gateway, 1, born(0, 100));
    let leaving = Entry {
        leaving: true,
        ..born(0, 100)
    };
    put(&mut gateway, 2, leaving);
    expect_that!(usable(&gateway), eq(0));
    put(&mut gateway, 3, born(0, 200));
    expect_that!(usable(&gateway), eq(1));
    // An entry of the life before that came late says nothing any more.
    put(&mut gateway, 4, born(0, 100));
    let (_, endpoint) = gateway
        .registry()
        .of(b"engines")
        .next()
        .expect("it is there");
    expect_that!(endpoint.entry.born, some(eq(Wall(200))));
}

/// Symptom: requests went past an idle endpoint, and prompts were fetched from one that held nothing.
/// Sequence: an endpoint with many requests restarts under its name. Cause: its load, its pauses and what
/// it was taken to hold were those of the life before.
#[gtest]
fn verify_a_new_life_is_known_by_nothing_of_before() {
    let mut gateway = gateway(0);
    put(&mut gateway, 0, born(0, 100));
    put(&mut gateway, 1, born(1, 100));
    let (key, _) = gateway
        .registry()
        .of(b"engines")
        .next()
        .expect("it is there");
    let name = |g: &Gateway, k| g.registry().get(k).map(|e| e.entry.id.clone());
    let id = name(&gateway, key).expect("it is there");
    let number = if id == "e-0" { 0 } else { 1 };
    let ask = ask("/chat/x");
    let mut ticket = gateway.admit(Time(5), &ask).expect("it is admitted");
    gateway.sent(Time(5), &mut ticket, key);
    let load = Load {
        running: 40,
        waiting: 9,
        slots: 64,
    };
    gateway.stated(Time(6), key, load);
    let (sights, _) = gateway.observed(Time(7), 1);
    put(&mut gateway, 8, born(number, 200));
    expect_that!(gateway.registry().get(key).is_none(), eq(true));
    // News of the life before, from a router that has not heard of the restart.
    gateway.seen(Time(9), &sights);
    let mut all = gateway.registry().of(b"engines");
    let (new, endpoint) = all.find(|(_, e)| e.entry.id == id).expect("it is there");
    expect_that!(new, not(eq(key)));
    expect_that!(endpoint.load(Time(9)), eq(0));
    expect_true!(endpoint.young(Time(9)));
}

/// What was sent to the life before may have run: the new one can't say that it did not.
#[gtest]
fn verify_a_new_life_does_not_answer_for_the_one_before() {
    let mut gateway = gateway(0);
    put(&mut gateway, 0, born(0, 100));
    let ask = ask("/once/x");
    let mut ticket = gateway.admit(Time(5), &ask).expect("it is admitted");
    let placed = gateway.place(Time(5), &ticket, &ask).expect("there is one");
    gateway.sent(Time(5), &mut ticket, placed.endpoint);
    put(&mut gateway, 6, born(0, 200));
    let next = gateway.ended(Time(7), &mut ticket, placed.endpoint, Fate::Broken);
    expect_that!(next, eq(Next::GiveUp));
    expect_true!(ticket.may_have_run);
    let (new, _) = gateway
        .registry()
        .of(b"engines")
        .next()
        .expect("it is there");
    let next = gateway.ended(Time(8), &mut ticket, new, Fate::Rejected);
    expect_that!(next, eq(Next::GiveUp));
    expect_true!(ticket.may_have_run);
}

/// Symptom: a restarted endpoint was gone for good. Sequence: one read tells that its entry was removed
/// and that it is there again. Cause: all removals of a read came after its entries.
#[gtest]
fn verify_an_entry_that_is_back_in_the_same_read_stays() {
    let mut gateway = gateway(0);
    put(&mut gateway, 0, born(0, 100));
    let gone = Change::Removed(Bytes::from_static(b"e-0"));
    gateway.follow(Time(5), vec![gone.clone(), Change::Entry(born(0, 200))]);
    expect_that!(usable(&gateway), eq(1));
    gateway.follow(Time(6), vec![Change::Entry(born(0, 300)), gone]);
    expect_that!(usable(&gateway), eq(0));
}

/// Symptom: requests went to an endpoint whose entry another writer had replaced.
/// Sequence: a sound entry is overwritten by one that can't be read, or that lacks the start which the
/// endpoint always states; a sound one comes back. Cause: what is no entry changed nothing.
#[gtest]
fn verify_an_entry_of_another_writer_names_nobody() {
    let mut gateway = gateway(0);
    for odd in [
        Change::Unreadable(Bytes::from_static(b"e-0")),
        Change::Entry(entry(0)),
    ] {
        put(&mut gateway, 0, born(0, 100));
        put(&mut gateway, 0, born(1, 100));
        gateway.follow(Time(5), vec![odd]);
        expect_that!(usable(&gateway), eq(1));
        put(&mut gateway, 6, born(0, 100));
        expect_that!(usable(&gateway), eq(2));
    }
}

/// `Step` is one thing that happens to the registry or to what routers know of it.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An endpoint beats: number, life, whether it leaves.
    Beat(u8, u64, bool),
    /// Its entry goes.
    Remove(u8),
    /// A router reads the registry.
    Read(usize),
    /// A router copies from another.
    Copy(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3_u8, 1..5_u64, prop::bool::weighted(0.2)).prop_map(|(n, l, d)| Step::Beat(n, l, d)),
        (0..3_u8).prop_map(Step::Remove),
        (0..3_usize).prop_map(Step::Read),
        (0..3_usize, 0..3_usize).prop_map(|(a, b)| Step::Copy(a, b)),
    ]
}

/// A router's copy of the registry, and what it makes of it.
struct Router {
    mirror: Mirror,
    gateway: Gateway,
}

impl Router {
    fn follow(&mut self, now: u64, records: &[Record]) {
        let change = |record: &Record| {
            let number = record.key[0];
            let Some(value) = &record.value else {
                return Change::Removed(entry(number).id);
            };
            Change::Entry(Entry {
                leaving: value[1] == 1,
                ..born(number, u64::from(value[0]))
            })
        };
        let changes = records.iter().map(change).collect();
        self.gateway.follow(Time(now), changes);
    }

    /// Lists what it knows: name, life, whether it may get work.
    fn known(&self) -> Vec<(Bytes, Option<Wall>, bool)> {
        let all = self.gateway.registry().known(b"engines");
        let mut all: Vec<_> = all
            .map(|(_, e)| (e.entry.id.clone(), e.entry.born, e.usable()))
            .collect();
        all.sort();
        all
    }
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        failure_persistence: None,
        ..proptest::prelude::ProptestConfig::default()
    })]

    /// Whatever is read and copied in which order, routers that have caught up agree with one that has
    /// followed each change, on which life it is and whether it may get work.
    #[test]
    fn verify_routers_agree_on_lives(steps in prop::collection::vec(step(), 1..60)) {
        let router = || Router { mirror: Mirror::default(), gateway: gateway(0) };
        let mut store = Mirror::default();
        let mut routers = [router(), router(), router()];
        let mut witness = router();
        let mut lives = [0_u64; 3];
        let mut left = [0_u64; 3];
        let mut now = 0;
        for step in steps {
            now += 1;
            let revision = Revision(store.revision().0 + 1);
            let write = |number: u8, value: Option<Bytes>| Delta {
                revision,
                whole: false,
                records: vec![Record { key: Bytes::from(vec![number]), value, revision }],
            };
            match step {
                Step::Beat(number, life, leaving) => {
                    // Lives of a name go up; one that has said that it leaves says so to its end.
                    let at = usize::from(number);
                    lives[at] = lives[at].max(life);
                    if leaving {
                        left[at] = lives[at];
                    }
                    let state = u8::from(left[at] == lives[at]);
                    let life = u8::try_from(lives[at]).unwrap_or_default();
                    let value = Bytes::from(vec![life, state]);
                    store.apply(write(number, Some(value)));
                }
                Step::Remove(number) => {
                    store.apply(write(number, None));
                }
                Step::Read(who) => {
                    let delta = store.since(routers[who].mirror.revision());
                    let records = routers[who].mirror.apply(delta);
                    routers[who].follow(now, &records);
                }
                Step::Copy(from, to) if from != to => {
                    let held = routers[to].mirror.revision();
                    let delta = routers[from].mirror.since(held);
                    let records = routers[to].mirror.copy(delta);
                    routers[to].follow(now, &records);
                }
                Step::Copy(..) => {}
            }
            let delta = store.since(witness.mirror.revision());
            let records = witness.mirror.apply(delta);
            witness.follow(now, &records);
        }
        for router in &mut routers {
            let delta = store.since(router.mirror.revision());
            let records = router.mirror.apply(delta);
            router.follow(now + 1, &records);
            prop_assert_eq!(router.known(), witness.known());
        }
    }
}
