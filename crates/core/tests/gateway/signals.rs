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
        Change, Gateway, RegistryEvent, Ticket,
        endpoint::{
            Entry,
            Load,
            Signal,
            State, //
        },
        incoming_request::IncomingRequest,
        mesh::{
            BackOffReport,
            MAX_BACK_OFFS,
            MAX_PEER_BACK_OFF,
            MAX_REPORTS, //
        },
        outcome::AttemptOutcome,
        refusal::{
            Cause,
            Refusal, //
        },
    },
    units::{
        Millis,
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
    assert!(
        gateway.record_signal(Time(now), &ticket, Signal::Leaving),
        "it is news"
    );
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
    expect_true!(gateway.record_signal(Time(500), &ticket, Signal::Leaving));
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

/// Guards against endpoints without an entry that stay listed for good because they said that they leave.
#[gtest]
fn verify_a_lapsed_endpoint_that_leaves_is_removed() {
    let mut gateway = gateway(2);
    let (ticket, _) = send(&mut gateway, 100, 0);
    gateway.record_registry_read(Time(9000), Time(9000));
    let gone = vec![Change::Removed(id(0)), Change::Removed(id(1))];
    gateway.apply_changes(Time(9000), gone);
    gateway.record_signal(Time(9100), &ticket, Signal::Leaving);
    expect_false!(is_usable(&gateway, 0));
    expect_true!(is_usable(&gateway, 1));
    gateway.tick(Time(11_000));
    expect_that!(key_of(&gateway, &id(0)), none());
    apply(&mut gateway, 11_100, Change::Entry(entry(0)));
    expect_false!(is_usable(&gateway, 0));
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
    expect_true!(gateway.record_signal(Time(3), &first, Signal::Leaving));
    expect_false!(
        gateway.record_signal(Time(3), &first, Signal::Leaving),
        "it is no news"
    );
    apply(&mut gateway, 4, Change::Entry(started(200)));
    expect_true!(is_usable(&gateway, 0));
    gateway.record_signal(Time(4), &late, Signal::Leaving);
    expect_true!(is_usable(&gateway, 0));
    // An entry of the first incarnation that comes late changes nothing.
    apply(&mut gateway, 5, Change::Entry(started(100)));
    expect_true!(is_usable(&gateway, 0));
}

/// An answer does not tell which incarnation gave it. One that began under an old name before the registry told of it is
/// used until it says itself, to a request that was sent to it, that it leaves.
#[gtest]
fn verify_a_new_incarnation_is_used_until_it_says_that_it_leaves() {
    let started = |at| Entry {
        born: Some(Wall(at)),
        ..entry(0)
    };
    let mut gateway = gateway(0);
    apply(&mut gateway, 1, Change::Entry(started(100)));
    leave(&mut gateway, 2, 0);
    apply(&mut gateway, 3, Change::Entry(started(200)));
    expect_true!(is_usable(&gateway, 0));
    leave(&mut gateway, 4, 0);
    expect_false!(is_usable(&gateway, 0));
    apply(&mut gateway, 5, Change::Entry(started(200)));
    expect_false!(is_usable(&gateway, 0));
}

/// What a router knew is gone with its process, and the next answer tells it again.
#[gtest]
fn verify_a_restarted_router_is_told_by_the_next_answer() {
    let mut before = gateway(2);
    leave(&mut before, 100, 0);
    back_off(&mut before, 100, 1, 3000);
    let mut after = gateway(2);
    expect_true!(is_usable(&after, 0));
    leave(&mut after, 200, 0);
    back_off(&mut after, 200, 1, 2000);
    expect_that!(
        place(&mut after, 201).map_err(|r| r.cause),
        err(eq(Cause::BackingOff))
    );
}

/// A router that was suspended must count the time in which it did not run.
#[gtest]
fn verify_a_pause_ends_while_the_router_is_suspended() {
    let mut gateway = gateway(2);
    leave(&mut gateway, 100, 0);
    back_off(&mut gateway, 100, 1, 3000);
    gateway.tick(Time(200));
    let woken = 60_000;
    expect_that!(place(&mut gateway, woken), ok(anything()));
    let ended = RegistryEvent::BackOffEnded { id: id(1) };
    expect_that!(gateway.tick(Time(woken)), container_eq([ended]));
    expect_false!(is_usable(&gateway, 0));
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
        gateway.record_signal(Time(2), &ticket, Signal::Leaving);
        apply(&mut gateway, 2, Change::Removed(id));
    }
    apply(&mut gateway, 3, Change::Entry(entry(0)));
    expect_false!(is_usable(&gateway, 0));
    let kept = gateway.registry().unlisted_signals();
    expect_that!(kept, all!(ge(1000), le(1100)));
}

/// Sends a request to an endpoint, whose answer asks for a time without requests.
fn back_off(gateway: &mut Gateway, now: u64, number: u8, asked: u64) -> bool {
    let (ticket, _) = send(gateway, now, number);
    gateway.record_signal(Time(now), &ticket, Signal::BackOff(Millis(asked)))
}

/// Keeps what is known confirmed, and tries to place a request.
fn place(gateway: &mut Gateway, now: u64) -> std::result::Result<EndpointKey, Refusal> {
    gateway.record_registry_read(Time(now), Time(now));
    let ticket = gateway.admit(Time(now), &request("/read/x"))?;
    let placed = gateway.place(Time(now), &ticket, &request("/read/x"));
    placed.map(|p| p.endpoint)
}

#[gtest]
fn verify_an_endpoint_gets_nothing_until_the_end_of_its_pause() {
    let mut gateway = gateway(2);
    expect_true!(back_off(&mut gateway, 1000, 0, 3000));
    let resting = key_of(&gateway, &id(0)).expect("the endpoint is listed");
    for now in (1000..4000).step_by(37) {
        expect_that!(place(&mut gateway, now), ok(not(eq(resting))), "at {now}");
        expect_false!(gateway.may_send(Time(now), resting));
    }
    expect_true!(gateway.may_send(Time(4000), resting));
}

/// The same where it is the only endpoint, which would be chosen whatever its load.
#[gtest]
fn verify_the_only_endpoint_gets_nothing_until_the_end_of_its_pause() {
    let mut gateway = gateway(1);
    back_off(&mut gateway, 1000, 0, 3000);
    for now in (1000..4000).step_by(37) {
        let cause = place(&mut gateway, now).map_err(|refusal| refusal.cause);
        expect_that!(cause, err(eq(Cause::BackingOff)), "at {now}");
    }
    expect_that!(place(&mut gateway, 4000), ok(anything()));
}

/// A later answer that asks for less does not shorten the pause, one that asks for more extends it.
#[gtest]
fn verify_the_latest_end_counts() {
    let mut gateway = gateway(1);
    let key = key_of(&gateway, &id(0)).expect("the endpoint is listed");
    expect_true!(back_off(&mut gateway, 0, 0, 2000));
    expect_false!(back_off(&mut gateway, 100, 0, 500));
    expect_false!(gateway.may_send(Time(1999), key));
    expect_false!(back_off(&mut gateway, 200, 0, 2300));
    expect_false!(gateway.may_send(Time(2499), key));
    expect_true!(gateway.may_send(Time(2500), key));
    expect_false!(back_off(&mut gateway, 2600, 0, 0), "no time is no pause");
    expect_true!(gateway.may_send(Time(2600), key));
}

/// An endpoint that asks for a year by mistake is tried again after an hour.
#[gtest]
fn verify_a_pause_is_bounded() {
    let mut gateway = gateway(1);
    let key = key_of(&gateway, &id(0)).expect("the endpoint is listed");
    back_off(&mut gateway, 0, 0, u64::MAX);
    gateway.record_registry_read(Time(3_599_999), Time(3_599_999));
    expect_false!(gateway.may_send(Time(3_599_999), key));
    expect_true!(gateway.may_send(Time(3_600_000), key));
}

/// A pause outlasts the entry of its endpoint, and ends with its incarnation.
#[gtest]
fn verify_a_pause_belongs_to_one_incarnation() {
    let started = |at| Entry {
        born: Some(Wall(at)),
        ..entry(0)
    };
    let mut gateway = gateway(0);
    apply(&mut gateway, 1, Change::Entry(started(100)));
    back_off(&mut gateway, 2, 0, 3000);
    apply(&mut gateway, 3, Change::Removed(id(0)));
    apply(&mut gateway, 4, Change::Entry(started(100)));
    let may_send = |gateway: &Gateway, now| {
        let key = key_of(gateway, &id(0)).expect("the endpoint is listed");
        gateway.may_send(Time(now), key)
    };
    expect_false!(may_send(&gateway, 5));
    apply(&mut gateway, 6, Change::Entry(started(200)));
    expect_true!(may_send(&gateway, 7));
}

/// Where all endpoints pause, a request is refused at once and comes back after the first of these pauses.
#[gtest]
fn verify_a_request_that_no_endpoint_wants_is_refused_with_the_first_end() {
    let mut gateway = gateway(2);
    let patient = IncomingRequest {
        deadline: Some(Millis(60_000)),
        ..request("/read/x")
    };
    back_off(&mut gateway, 1000, 0, 900);
    back_off(&mut gateway, 1000, 1, 500);
    let mut waits = Vec::new();
    for _ in 0..200 {
        let ticket = gateway.admit(Time(1100), &patient);
        let ticket = ticket.expect("the request is admitted");
        let refusal = gateway.place(Time(1100), &ticket, &patient);
        let refusal = refusal.expect_err("no endpoint takes it");
        expect_that!(refusal.cause, eq(Cause::BackingOff));
        expect_false!(refusal.may_have_run);
        expect_true!(refusal.retryable);
        waits.extend(refusal.retry_after);
    }
    waits.sort_unstable();
    expect_that!(waits.len(), eq(200));
    expect_that!(waits[0].0, all!(ge(400), le(420)));
    expect_that!(waits[199].0, all!(ge(780), lt(800)));
    // The same where the last attempt was rejected.
    let (ticket, _) = send(&mut gateway, 1100, 0);
    let given_up = gateway.give_up(Time(1100), &ticket, Cause::NoEndpoint);
    expect_that!(given_up.cause, eq(Cause::BackingOff));
    // A caller is not told to wait for longer than a third of its time.
    let refusal = place(&mut gateway, 1100).expect_err("no endpoint takes it");
    expect_that!(refusal.retry_after.expect("a time").0, le(1000));
    // One endpoint that takes requests ends it.
    expect_that!(place(&mut gateway, 1500), ok(anything()));
}

/// The load balancer must not take routers out of rotation because endpoints pause.
#[gtest]
fn verify_a_router_stays_ready_while_all_endpoints_pause() {
    let mut gateway = gateway(1);
    back_off(&mut gateway, 100, 0, 2000);
    expect_true!(gateway.ready(Time(200)));
}

#[gtest]
fn verify_a_placed_request_is_not_sent_to_an_endpoint_that_pauses_meanwhile() {
    let mut gateway = gateway(2);
    let waiting = gateway.admit(Time(100), &request("/read/x"));
    let waiting = waiting.expect("the request is admitted");
    let placed = gateway.place(Time(100), &waiting, &request("/read/x"));
    let placed = placed.expect("both endpoints are ready");
    let resting = if key_of(&gateway, &id(0)) == Some(placed.endpoint) {
        0
    } else {
        1
    };
    back_off(&mut gateway, 110, resting, 1000);
    expect_false!(gateway.may_send_placed(Time(120), &waiting, &placed));
    expect_that!(place(&mut gateway, 120), ok(not(eq(placed.endpoint))));
}

/// An endpoint that hangs is not given up for another one that pauses.
#[gtest]
fn verify_an_endpoint_that_pauses_is_no_alternative() {
    let mut gateway = gateway(2);
    let (ticket, _) = send(&mut gateway, 100, 0);
    expect_that!(
        gateway.silence_timeout(Time(100), &ticket, false),
        some(anything())
    );
    back_off(&mut gateway, 110, 1, 1000);
    expect_that!(gateway.silence_timeout(Time(120), &ticket, false), none());
}

/// A pause is neither a failure of the endpoint nor a reason to pause it once more.
#[gtest]
fn verify_a_pause_is_not_a_failure() {
    let mut gateway = gateway(1);
    let (mut ticket, key) = send(&mut gateway, 100, 0);
    gateway.record_signal(Time(110), &ticket, Signal::BackOff(Millis(300)));
    gateway.ended(Time(110), &mut ticket, key, AttemptOutcome::Rejected);
    let endpoint = gateway.registry().get(key).expect("the endpoint is listed");
    expect_that!(endpoint.failure_rate(Time(110)), eq(0.0));
    expect_false!(endpoint.paused(Time(110)));
    expect_that!(endpoint.own_in_flight, eq(0));
    expect_true!(gateway.may_send(Time(410), key));
}

#[gtest]
fn verify_the_end_of_a_pause_is_reported_once() {
    let mut gateway = gateway(1);
    back_off(&mut gateway, 100, 0, 300);
    expect_that!(gateway.tick(Time(300)), is_empty());
    let ended = RegistryEvent::BackOffEnded { id: id(0) };
    expect_that!(gateway.tick(Time(400)), container_eq([ended]));
    expect_that!(gateway.tick(Time(500)), is_empty());
    back_off(&mut gateway, 600, 0, 0);
    expect_that!(gateway.tick(Time(700)), is_empty(), "there was none");
}

fn report_of(gateway: &Gateway, number: u8, left: u64) -> BackOffReport {
    let key = key_of(gateway, &id(number)).expect("the endpoint is listed");
    let endpoint = gateway.registry().get(key).expect("the endpoint is listed");
    BackOffReport {
        endpoint: endpoint.tag().0,
        left: Millis(left),
    }
}

/// A peer's report makes a router prefer other endpoints for a while; it can't take an endpoint out.
#[gtest]
fn verify_a_back_off_that_a_peer_reports_is_a_preference() {
    let mut gateway = gateway(2);
    let avoided = key_of(&gateway, &id(0)).expect("the endpoint is listed");
    let report = report_of(&gateway, 0, u64::MAX);
    gateway.record_peer_back_offs(Time(1000), &[report]);
    for now in (1000..4000).step_by(90) {
        expect_that!(place(&mut gateway, now), ok(not(eq(avoided))), "at {now}");
    }
    expect_true!(gateway.may_send(Time(1000), avoided));
    let after: Vec<_> = (0..40).map(|n| place(&mut gateway, 4000 + n)).collect();
    expect_that!(after, contains(ok(eq(&avoided))));
    // Where all others ask for a pause themselves, it is used.
    gateway.record_peer_back_offs(Time(5000), &[report]);
    back_off(&mut gateway, 5000, 1, 1000);
    expect_that!(place(&mut gateway, 5001), ok(eq(avoided)));
}

/// What an endpoint does for this router says more than what it told another one.
#[gtest]
fn verify_an_endpoint_that_has_just_served_is_not_avoided() {
    let mut gateway = gateway(2);
    let (ticket, key) = send(&mut gateway, 1000, 0);
    gateway.confirm(&ticket, key);
    let report = report_of(&gateway, 0, 3000);
    gateway.record_peer_back_offs(Time(1499), &[report]);
    let endpoint = gateway.registry().get(key).expect("the endpoint is listed");
    expect_false!(endpoint.avoided(Time(1499)));
    gateway.record_peer_back_offs(Time(1500), &[report]);
    let endpoint = gateway.registry().get(key).expect("the endpoint is listed");
    expect_true!(endpoint.avoided(Time(1500)));
}

/// Peers are told of a few back-offs that this router was asked for itself, none at second hand, in digests that become
/// no longer by it.
#[gtest]
fn verify_digests_report_own_back_offs_in_bounded_room() {
    let mut gateway = gateway(60);
    for number in 0..40 {
        let (_, key) = send(&mut gateway, 1000, number);
        gateway.record_load(Time(1000), key, Load::default());
    }
    let plain = gateway.digest_contents(Time(1001), 1);
    expect_that!(plain.back_offs, is_empty());
    expect_that!(plain.reports.len(), eq(MAX_REPORTS));
    let reports = [report_of(&gateway, 50, 2000)];
    gateway.record_peer_back_offs(Time(1001), &reports);
    expect_that!(gateway.digest_contents(Time(1002), 1).back_offs, is_empty());
    for number in 0..10 {
        back_off(&mut gateway, 1002, number, 60_000);
    }
    let mut told = std::collections::BTreeSet::new();
    for draw in 0..50 {
        let contents = gateway.digest_contents(Time(1003), draw);
        expect_that!(contents.back_offs.len(), eq(MAX_BACK_OFFS));
        expect_that!(contents.reports.len(), lt(MAX_REPORTS - MAX_BACK_OFFS));
        for report in contents.back_offs {
            expect_that!(report.left, eq(MAX_PEER_BACK_OFF));
            told.insert(report.endpoint);
        }
    }
    expect_that!(told.len(), eq(10), "each of them is told in some digest");
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
                    gateway.record_signal(Time(now), &ticket, Signal::Leaving);
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

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(128)
    })]

    /// Whatever endpoints ask for, and whatever becomes of their entries, none gets a request in a time
    /// for which it has asked for none.
    #[test]
    fn verify_no_request_is_sent_in_a_pause(
        requests in prop::collection::vec(
            (1..400_u64, prop::option::of(0..4000_u64), 0..40_u8), 1..200,
        ),
    ) {
        let mut gateway = gateway(4);
        let mut now = 10;
        let mut ends = [0; 4];
        for (pause, asked, act) in requests {
            now += pause;
            gateway.tick(Time(now));
            match act {
                0 => apply(&mut gateway, now, Change::Removed(id(1))),
                1 => apply(&mut gateway, now, Change::Entry(entry(1))),
                2 => apply(&mut gateway, now, catalog_change(now)),
                _ => {}
            }
            let Ok(key) = place(&mut gateway, now) else {
                let listed = key_of(&gateway, &id(1)).is_some();
                let all_pause = (0..4).all(|n| now < ends[n] || (n == 1 && !listed));
                prop_assert!(all_pause, "refused at {now}, pauses end at {ends:?}");
                continue;
            };
            let endpoint = gateway.registry().get(key).map(|e| e.entry.id.clone());
            let number = (0..4).find(|n| Some(id(*n)) == endpoint).unwrap_or(0);
            prop_assert!(now >= ends[usize::from(number)], "{number} pauses at {now}");
            let (mut ticket, key) = send(&mut gateway, now, number);
            let outcome = match asked {
                Some(asked) => {
                    gateway.record_signal(Time(now), &ticket, Signal::BackOff(Millis(asked)));
                    let end = &mut ends[usize::from(number)];
                    *end = (*end).max(now + asked);
                    AttemptOutcome::Rejected
                }
                None => AttemptOutcome::Answered,
            };
            gateway.ended(Time(now), &mut ticket, key, outcome);
        }
    }
}
