//! Tests of endpoints that restart under the same id, and of entries that can't be used.

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
            Load,
            Signal, //
        },
        mirror::{
            Delta,
            Mirror,
            Record, //
        },
        outcome::{
            AttemptOutcome,
            NextStep, //
        },
    },
    units::{
        Millis,
        Permille,
        Revision,
        Time,
        Wall, //
    },
};

use crate::fixture::{
    entry,
    gateway,
    request, //
};

fn entry_started_at(number: u8, at: u64) -> Entry {
    Entry {
        born: Some(Wall(at)),
        ..entry(number)
    }
}

fn apply_entry(gateway: &mut Gateway, now: u64, entry: Entry) {
    gateway.apply_changes(Time(now), vec![Change::Entry(entry)]);
}

fn usable_count(gateway: &Gateway) -> usize {
    gateway.registry().of(b"engines").count()
}

/// Guards against a restarted endpoint that gets no requests: it leaves, stops, and starts again
/// under the same id before its old entry is removed, and the router still takes it for leaving.
#[gtest]
fn verify_a_restarted_endpoint_is_no_longer_leaving() {
    let mut gateway = gateway(0);
    apply_entry(&mut gateway, 1, entry_started_at(0, 100));
    let leaving = Entry {
        leaving: true,
        ..entry_started_at(0, 100)
    };
    apply_entry(&mut gateway, 2, leaving);
    expect_that!(usable_count(&gateway), eq(0));
    apply_entry(&mut gateway, 3, entry_started_at(0, 200));
    expect_that!(usable_count(&gateway), eq(1));
    // A late entry of the old incarnation is ignored.
    apply_entry(&mut gateway, 4, entry_started_at(0, 100));
    let (_, endpoint) = gateway
        .registry()
        .of(b"engines")
        .next()
        .expect("the endpoint is listed");
    expect_that!(endpoint.entry.born, some(eq(Wall(200))));
}

/// Guards against a busy endpoint that restarts under the same id and inherits the old load, pauses
/// and cache contents: requests avoid it though it is idle, and prompts are fetched from it though
/// its cache is empty.
#[gtest]
fn verify_a_restarted_endpoint_inherits_no_state() {
    let mut gateway = gateway(0);
    apply_entry(&mut gateway, 0, entry_started_at(0, 100));
    apply_entry(&mut gateway, 1, entry_started_at(1, 100));
    let (key, _) = gateway
        .registry()
        .of(b"engines")
        .next()
        .expect("the endpoint is listed");
    let id_of = |g: &Gateway, k| g.registry().get(k).map(|e| e.entry.id.clone());
    let id = id_of(&gateway, key).expect("the endpoint is listed");
    let number = if id == "e-0" { 0 } else { 1 };
    let request = request("/chat/x");
    let mut ticket = gateway
        .admit(Time(5), &request)
        .expect("the request is admitted");
    gateway.sent(Time(5), &mut ticket, key);
    let load = Load {
        running: 40,
        waiting: 9,
        slots: 64,
        slowdown: None,
    };
    gateway.record_load(Time(6), key, load);
    let reports = gateway.digest_contents(Time(7), 1).reports;
    apply_entry(&mut gateway, 8, entry_started_at(number, 200));
    expect_that!(gateway.registry().get(key).is_none(), eq(true));
    // A report about the old incarnation, from a router that has not heard of the restart.
    gateway.record_peer_report(Time(9), &reports);
    let mut all = gateway.registry().of(b"engines");
    let (new_key, endpoint) = all
        .find(|(_, e)| e.entry.id == id)
        .expect("the endpoint is listed");
    expect_that!(new_key, not(eq(key)));
    expect_that!(endpoint.load(Time(9)), eq(0));
    expect_true!(endpoint.recently_joined(Time(9)));
}

/// Guards against a restarted endpoint that is taken for busy, slow, leaving or unreachable, where nothing but the start time
/// in its entry has changed: by what was known here, by what peers still report, and by answers to requests of before.
#[gtest]
fn verify_a_later_start_alone_ends_all_that_was_known() {
    let mut gateway = gateway(0);
    apply_entry(&mut gateway, 0, entry_started_at(0, 100));
    apply_entry(&mut gateway, 0, entry_started_at(1, 100));
    let request = request("/chat/x");
    let mut ticket = gateway
        .admit(Time(5), &request)
        .expect("the request is admitted");
    let find = |gateway: &Gateway, id: &str| {
        let mut all = gateway.registry().known(b"engines");
        let found = all.find(|(_, e)| e.entry.id == id).map(|(key, _)| key);
        found.expect("the endpoint is listed")
    };
    let old = find(&gateway, "e-0");
    let load = Load {
        running: 40,
        waiting: 9,
        slots: 64,
        slowdown: Some(Permille(4000)),
    };
    gateway.sent(Time(5), &mut ticket, old);
    gateway.record_load(Time(905), old, load);
    gateway.record_begun(Time(905), &ticket, old);
    gateway.confirm(&ticket, old);
    gateway.record_signal(Time(906), &ticket, Signal::BackOff(Millis(60_000)));
    gateway.unreached(Time(907), &mut ticket.clone(), old);
    let told = gateway.digest_contents(Time(908), 1);
    expect_that!(
        told.reports.iter().filter(|r| r.delay.is_some()).count(),
        eq(1)
    );
    expect_that!(told.back_offs.len(), eq(1));

    apply_entry(&mut gateway, 910, entry_started_at(0, 200));
    let new = find(&gateway, "e-0");
    // Connections in the pool are kept by this key.
    expect_that!(new, not(eq(old)));
    expect_that!(gateway.registry().get(old).is_none(), eq(true));
    gateway.record_peer_report(Time(911), &told.reports);
    gateway.record_peer_back_offs(Time(911), &told.back_offs);
    gateway.record_load(Time(912), old, load);
    gateway.record_begun(Time(912), &ticket, old);
    gateway.record_signal(Time(912), &ticket, Signal::Leaving);
    gateway.confirm(&ticket, old);
    gateway.ended(Time(913), &mut ticket, old, AttemptOutcome::Stalled);
    // A late entry of before, after the new one.
    apply_entry(&mut gateway, 914, entry_started_at(0, 100));

    let now = Time(915);
    let fresh = gateway.registry().get(find(&gateway, "e-0"));
    let fresh = fresh.expect("the endpoint is listed");
    expect_that!(fresh.entry.born, some(eq(Wall(200))));
    expect_that!(fresh.load(now), eq(0));
    expect_that!(fresh.delay(now), none());
    expect_that!(fresh.latency(now), none());
    expect_that!(fresh.failure_rate(now), eq(0.0));
    expect_that!(fresh.report(now), none());
    expect_false!(fresh.backing_off(now) || fresh.avoided(now));
    expect_false!(fresh.paused(now) || fresh.unreached(now));
    expect_false!(fresh.signals.leaving);
    expect_true!(fresh.usable() && fresh.recently_joined(now));
}

/// Guards against requests to what another writer has entered under a name of its own, without the start time that all endpoints
/// of the service state. Where many lack it, endpoints do not state it, and none is left out.
#[gtest]
fn verify_an_entry_without_the_start_time_that_others_state_names_no_endpoint() {
    let mut gateway = gateway(0);
    // The first of the read, before any that states its start.
    let mut changes = vec![Change::Entry(entry(0))];
    changes.extend((1..4).map(|n| Change::Entry(entry_started_at(n, 100))));
    gateway.apply_changes(Time(1), changes);
    expect_that!(usable_count(&gateway), eq(3));
    apply_entry(&mut gateway, 2, entry(4));
    expect_that!(usable_count(&gateway), eq(5), "two of five lack it");
    apply_entry(&mut gateway, 3, entry_started_at(4, 100));
    expect_that!(usable_count(&gateway), eq(4));
    apply_entry(&mut gateway, 4, entry_started_at(0, 100));
    expect_that!(usable_count(&gateway), eq(5));
}

/// Guards against requests of a service to an endpoint whose entry another writer has overwritten with a service that nobody
/// names, and against an endpoint that stays away once its own entry is back.
#[gtest]
fn verify_an_entry_of_an_unknown_service_names_no_endpoint() {
    let mut gateway = gateway(0);
    apply_entry(&mut gateway, 0, entry_started_at(0, 100));
    apply_entry(&mut gateway, 0, entry_started_at(1, 100));
    let unknown = Entry {
        service: Bytes::from_static(b"nobody"),
        ..entry_started_at(0, 100)
    };
    apply_entry(&mut gateway, 1, unknown);
    expect_that!(usable_count(&gateway), eq(1));
    apply_entry(&mut gateway, 2, entry_started_at(0, 100));
    expect_that!(usable_count(&gateway), eq(2));
}

/// A request that was sent to the old incarnation may have run, and a rejection by the new one does
/// not disprove it.
#[gtest]
fn verify_a_rejection_after_a_restart_does_not_prove_that_a_request_did_not_run() {
    let mut gateway = gateway(0);
    apply_entry(&mut gateway, 0, entry_started_at(0, 100));
    let request = request("/once/x");
    let mut ticket = gateway
        .admit(Time(5), &request)
        .expect("the request is admitted");
    let placed = gateway
        .place(Time(5), &ticket, &request)
        .expect("an endpoint is available");
    gateway.sent(Time(5), &mut ticket, placed.endpoint);
    apply_entry(&mut gateway, 6, entry_started_at(0, 200));
    let next = gateway.ended(
        Time(7),
        &mut ticket,
        placed.endpoint,
        AttemptOutcome::Broken,
    );
    expect_that!(next, eq(NextStep::GiveUp));
    expect_true!(ticket.may_have_run);
    let (new_key, _) = gateway
        .registry()
        .of(b"engines")
        .next()
        .expect("the endpoint is listed");
    let next = gateway.ended(Time(8), &mut ticket, new_key, AttemptOutcome::Rejected);
    expect_that!(next, eq(NextStep::GiveUp));
    expect_true!(ticket.may_have_run);
}

/// Guards against a restarted endpoint that stays removed: one read contains the removal of its entry
/// and then the new entry, and all removals of the read were applied last.
#[gtest]
fn verify_changes_of_one_read_are_applied_in_order() {
    let mut gateway = gateway(0);
    apply_entry(&mut gateway, 0, entry_started_at(0, 100));
    let removal = Change::Removed(Bytes::from_static(b"e-0"));
    gateway.apply_changes(
        Time(5),
        vec![removal.clone(), Change::Entry(entry_started_at(0, 200))],
    );
    expect_that!(usable_count(&gateway), eq(1));
    gateway.apply_changes(
        Time(6),
        vec![Change::Entry(entry_started_at(0, 300)), removal],
    );
    expect_that!(usable_count(&gateway), eq(0));
}

/// Guards against requests to an endpoint whose entry another writer has overwritten, because invalid
/// entries were ignored. The invalid entry can't be parsed, or lacks the start time that this endpoint
/// always states.
#[gtest]
fn verify_an_invalid_entry_makes_its_endpoint_unusable() {
    let mut gateway = gateway(0);
    for invalid in [
        Change::Unreadable(Bytes::from_static(b"e-0")),
        Change::Entry(entry(0)),
    ] {
        apply_entry(&mut gateway, 0, entry_started_at(0, 100));
        apply_entry(&mut gateway, 0, entry_started_at(1, 100));
        gateway.apply_changes(Time(5), vec![invalid]);
        expect_that!(usable_count(&gateway), eq(1));
        apply_entry(&mut gateway, 6, entry_started_at(0, 100));
        expect_that!(usable_count(&gateway), eq(2));
    }
}

/// `Step` is one change of the registry, or of what a router knows of it.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An endpoint writes its entry: number, incarnation, whether it is leaving.
    Heartbeat(u8, u64, bool),
    /// An endpoint's entry is removed.
    Remove(u8),
    /// A router reads the registry.
    Read(usize),
    /// A router copies from another.
    Copy(usize, usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3_u8, 1..5_u64, prop::bool::weighted(0.2))
            .prop_map(|(n, i, d)| Step::Heartbeat(n, i, d)),
        (0..3_u8).prop_map(Step::Remove),
        (0..3_usize).prop_map(Step::Read),
        (0..3_usize, 0..3_usize).prop_map(|(a, b)| Step::Copy(a, b)),
    ]
}

/// `Router` is a router's copy of the registry, and the gateway that follows it.
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
                ..entry_started_at(number, u64::from(value[0]))
            })
        };
        let changes = records.iter().map(change).collect();
        self.gateway.apply_changes(Time(now), changes);
    }

    /// Lists the known endpoints: id, start time, whether they may get requests.
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

    /// In whatever order routers read the registry and copy from each other, those that have caught up
    /// agree with one that followed each change on incarnations and on which endpoints are usable.
    #[test]
    fn verify_routers_agree_on_incarnations(steps in prop::collection::vec(any_step(), 1..60)) {
        let router = || Router { mirror: Mirror::default(), gateway: gateway(0) };
        let mut store = Mirror::default();
        let mut routers = [router(), router(), router()];
        let mut reference = router();
        let mut incarnations = [0_u64; 3];
        let mut leaving_incarnations = [0_u64; 3];
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
                Step::Heartbeat(number, incarnation, leaving) => {
                    // Incarnations of an id increase, and one that is leaving stays so.
                    let at = usize::from(number);
                    incarnations[at] = incarnations[at].max(incarnation);
                    if leaving {
                        leaving_incarnations[at] = incarnations[at];
                    }
                    let state = u8::from(leaving_incarnations[at] == incarnations[at]);
                    let incarnation = u8::try_from(incarnations[at]).unwrap_or_default();
                    let value = Bytes::from(vec![incarnation, state]);
                    store.apply(write(number, Some(value)));
                }
                Step::Remove(number) => {
                    store.apply(write(number, None));
                }
                Step::Read(reader) => {
                    let delta = store.since(routers[reader].mirror.revision());
                    let records = routers[reader].mirror.apply(delta);
                    routers[reader].follow(now, &records);
                }
                Step::Copy(from, to) if from != to => {
                    let known_revision = routers[to].mirror.revision();
                    let delta = routers[from].mirror.since(known_revision);
                    let records = routers[to].mirror.apply_from_peer(delta);
                    routers[to].follow(now, &records);
                }
                Step::Copy(..) => {}
            }
            let delta = store.since(reference.mirror.revision());
            let records = reference.mirror.apply(delta);
            reference.follow(now, &records);
        }
        for router in &mut routers {
            let delta = store.since(router.mirror.revision());
            let records = router.mirror.apply(delta);
            router.follow(now + 1, &records);
            prop_assert_eq!(router.known(), reference.known());
        }
    }
}
