//! Tests of what endpoints say of themselves in their answers: that they leave, and that they want no
//! requests for a time.

use bytes::Bytes;
use googletest::prelude::*;
use proptest::prelude::{
    ProptestConfig,
    Strategy,
    prop,
    prop_assert,
    prop_oneof,
    proptest, //
};
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Change,
        Gateway,
        Ticket,
        endpoint::{
            Entry,
            State, //
        },
        refusal::Cause, //
    },
    units::{
        Time,
        Wall, //
    },
};

use crate::fixture::{
    catalog_change,
    entry,
    gateway,
    request, //
};

fn apply(gateway: &mut Gateway, now: u64, change: Change) {
    gateway.record_registry_read(Time(now), Time(now));
    gateway.apply_changes(Time(now), vec![change]);
}

fn id(number: u8) -> Bytes {
    entry(number).id
}

fn key_of(gateway: &Gateway, id: &Bytes) -> Option<EndpointKey> {
    let mut known = gateway.registry().known(b"engines");
    known.find(|(_, e)| e.entry.id == *id).map(|(key, _)| key)
}

fn is_usable(gateway: &Gateway, number: u8) -> bool {
    let mut usable = gateway.registry().of(b"engines");
    usable.any(|(_, e)| e.entry.id == id(number))
}

/// Sends a request to an endpoint; its answer may come later.
fn send(gateway: &mut Gateway, now: u64, number: u8) -> (Ticket, EndpointKey) {
    let admitted = gateway.admit(Time(now), &request("/read/x"));
    let mut ticket = admitted.expect("the request is admitted");
    let key = key_of(gateway, &id(number)).expect("the endpoint is listed");
    gateway.sent(Time(now), &mut ticket, key);
    (ticket, key)
}

/// Sends a request to an endpoint, whose answer says that it leaves.
fn leave(gateway: &mut Gateway, now: u64, number: u8) {
    let (ticket, _) = send(gateway, now, number);
    assert!(gateway.record_leaving(&ticket), "it is news");
}

/// An entry that is older than the answer must not make the endpoint usable again.
#[gtest]
fn verify_a_registry_entry_does_not_end_what_the_endpoint_said() {
    let mut gateway = gateway(2);
    leave(&mut gateway, 100, 0);
    expect_false!(is_usable(&gateway, 0));
    let key = key_of(&gateway, &id(0)).expect("the endpoint is listed");
    expect_false!(gateway.may_send(Time(101), key));
    apply(&mut gateway, 200, Change::Entry(entry(0)));
    apply(&mut gateway, 300, catalog_change(2));
    expect_false!(is_usable(&gateway, 0));
    expect_true!(is_usable(&gateway, 1));
}

/// Guards against an endpoint that is taken back in as its entry lapsed in an outage and came back ready.
#[gtest]
fn verify_an_entry_that_comes_back_does_not_end_what_the_endpoint_said() {
    let mut gateway = gateway(2);
    leave(&mut gateway, 100, 0);
    apply(&mut gateway, 200, Change::Removed(id(0)));
    apply(&mut gateway, 300, Change::Entry(entry(0)));
    expect_false!(is_usable(&gateway, 0));
    // The same if the answer comes while there is no entry.
    let (ticket, _) = send(&mut gateway, 400, 1);
    apply(&mut gateway, 500, Change::Unreadable(id(1)));
    expect_true!(gateway.record_leaving(&ticket));
    apply(&mut gateway, 600, Change::Entry(entry(1)));
    expect_false!(is_usable(&gateway, 1));
}

/// After an outage, lapsed entries are used for a while, but not that of an endpoint that said it leaves.
#[gtest]
fn verify_a_leaving_endpoint_does_not_lapse_into_use() {
    let mut gateway = gateway(2);
    leave(&mut gateway, 100, 0);
    gateway.record_registry_read(Time(9000), Time(9000));
    let gone = vec![Change::Removed(id(0)), Change::Removed(id(1))];
    gateway.apply_changes(Time(9000), gone);
    expect_false!(is_usable(&gateway, 0));
    expect_true!(is_usable(&gateway, 1));
}

/// What an endpoint said holds for its incarnation alone, in whatever order answers and entries come.
#[gtest]
fn verify_a_signal_belongs_to_one_incarnation() {
    let started = |at| Entry {
        born: Some(Wall(at)),
        ..entry(0)
    };
    let mut gateway = gateway(0);
    apply(&mut gateway, 1, Change::Entry(started(100)));
    let (first, _) = send(&mut gateway, 2, 0);
    let (late, _) = send(&mut gateway, 3, 0);
    expect_true!(gateway.record_leaving(&first));
    expect_false!(gateway.record_leaving(&first), "it is no news");
    apply(&mut gateway, 4, Change::Entry(started(200)));
    expect_true!(is_usable(&gateway, 0));
    gateway.record_leaving(&late);
    expect_true!(is_usable(&gateway, 0));
    // An entry of the first incarnation that comes late changes nothing.
    apply(&mut gateway, 5, Change::Entry(started(100)));
    expect_true!(is_usable(&gateway, 0));
}

/// Addresses are used again by other endpoints.
#[gtest]
fn verify_another_endpoint_at_the_address_is_used() {
    let mut gateway = gateway(1);
    leave(&mut gateway, 100, 0);
    let next = Entry {
        id: Bytes::from_static(b"e-next"),
        ..entry(0)
    };
    apply(&mut gateway, 200, Change::Entry(next));
    let usable = gateway.registry().of(b"engines").count();
    expect_that!(usable, eq(1));
}

/// A request that waits for its connection when the endpoint says that it leaves must not be sent.
#[gtest]
fn verify_a_placed_request_is_not_sent_to_an_endpoint_that_leaves_meanwhile() {
    let mut gateway = gateway(1);
    let waiting = gateway.admit(Time(100), &request("/read/x"));
    let waiting = waiting.expect("the request is admitted");
    let placed = gateway.place(Time(100), &waiting, &request("/read/x"));
    let placed = placed.expect("the endpoint is ready");
    leave(&mut gateway, 110, 0);
    expect_false!(gateway.may_send_placed(Time(120), &waiting, &placed));
    let again = gateway.place(Time(120), &waiting, &request("/read/x"));
    expect_that!(again.map_err(|r| r.cause), err(eq(Cause::NoEndpoint)));
}

/// The memory of endpoints without an entry is bounded; a listed endpoint keeps what it said.
#[gtest]
fn verify_signals_of_unlisted_endpoints_are_bounded() {
    let mut gateway = gateway(1);
    leave(&mut gateway, 1, 0);
    for n in 0..3000_u64 {
        let next = Entry {
            id: Bytes::from(format!("x-{n}")),
            ..entry(1)
        };
        let id = next.id.clone();
        apply(&mut gateway, 2, Change::Entry(next));
        let key = key_of(&gateway, &id).expect("the endpoint is listed");
        let admitted = gateway.admit(Time(2), &request("/read/x"));
        let mut ticket = admitted.expect("the request is admitted");
        gateway.sent(Time(2), &mut ticket, key);
        gateway.record_leaving(&ticket);
        apply(&mut gateway, 2, Change::Removed(id));
    }
    apply(&mut gateway, 3, Change::Entry(entry(0)));
    expect_false!(is_usable(&gateway, 0));
    let kept = gateway.registry().unlisted_signals();
    expect_that!(kept, all!(ge(1000), le(1100)));
}

#[derive(Clone, Debug)]
enum Step {
    Entry { leaving: bool },
    Removed,
    Unreadable,
    Read,
    Published,
    Tick,
    Again,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        prop::bool::ANY.prop_map(|leaving| Step::Entry { leaving }),
        prop_oneof![
            proptest::prelude::Just(Step::Removed),
            proptest::prelude::Just(Step::Unreadable),
            proptest::prelude::Just(Step::Read),
            proptest::prelude::Just(Step::Published),
            proptest::prelude::Just(Step::Tick),
            proptest::prelude::Just(Step::Again),
        ],
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    })]

    /// Nothing that the registry tells of the same incarnation ends what it has said.
    #[test]
    fn verify_nothing_ends_that_an_incarnation_leaves(
        steps in prop::collection::vec((step(), 1..6000_u64), 1..40),
    ) {
        let mut gateway = gateway(2);
        leave(&mut gateway, 10, 0);
        let mut now = 10;
        let mut version = 1;
        for (step, pause) in steps {
            now += pause;
            match step {
                Step::Entry { leaving } => {
                    apply(&mut gateway, now, Change::Entry(Entry { leaving, ..entry(0) }));
                }
                Step::Removed => apply(&mut gateway, now, Change::Removed(id(0))),
                Step::Unreadable => apply(&mut gateway, now, Change::Unreadable(id(0))),
                Step::Read => gateway.record_registry_read(Time(now), Time(now)),
                Step::Published => {
                    version += 1;
                    apply(&mut gateway, now, catalog_change(version));
                }
                Step::Tick => {
                    gateway.tick(Time(now));
                }
                Step::Again if key_of(&gateway, &id(0)).is_some() && key_of(&gateway, &id(1)).is_some() => {
                    gateway.record_registry_read(Time(now), Time(now));
                    let (ticket, _) = send(&mut gateway, now, 0);
                    gateway.record_leaving(&ticket);
                }
                Step::Again => {}
            }
            prop_assert!(!is_usable(&gateway, 0));
            let listed = key_of(&gateway, &id(0));
            let state = listed.and_then(|k| gateway.registry().get(k)).map(|e| e.state);
            prop_assert!(state.is_none_or(|s| s == State::Leaving));
        }
    }
}
