//! Tests of how routers know which software version began a stream.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use bytes::Bytes;
use googletest::prelude::*;
use toucanturn_core::{
    gateway::{
        Change,
        Gateway,
        catalog::Catalog,
        endpoint::Entry,
        handoff::PeerReport,
        incoming_request::IncomingRequest,
        mesh::{
            Heartbeat,
            Mesh, //
        },
        origin::{
            Build,
            BuildHistory,
            Changes,
            Lookup,
            MAX_STREAMS,
            Origin,
            StreamKey,
            StreamRecord,
            StreamReport,
            Streams,
            Versions, //
        },
        outcome::{
            AttemptOutcome,
            NextStep, //
        },
        refusal::Cause,
        route::Share,
        warmup::Fleet, //
    },
    units::{
        Incarnation,
        Millis,
        Revision,
        Time, //
    },
};

use crate::fixture::{
    entry,
    gateway,
    raw_catalog,
    request, //
};

const SERVICE: &[u8] = b"engines";
const OTHER: &[u8] = b"others";
const OLD: &[u8] = b"v1";
const NEW: &[u8] = b"v2";

fn build(version: &'static [u8]) -> Build {
    Build::of(SERVICE, version)
}

fn entry_of(number: u8, version: &'static [u8]) -> Entry {
    Entry {
        build: Bytes::from_static(version),
        ..entry(number)
    }
}

fn list(gateway: &mut Gateway, now: Time, number: u8, version: &'static [u8]) {
    gateway.record_registry_read(now, now);
    gateway.apply_changes(now, vec![Change::Entry(entry_of(number, version))]);
}

fn remove(gateway: &mut Gateway, now: Time, numbers: std::ops::Range<u8>) {
    gateway.record_registry_read(now, now);
    let removed = numbers.map(|n| Change::Removed(entry(n).id));
    gateway.apply_changes(now, removed.collect());
}

/// Makes a gateway with two endpoints of each version.
fn mixed_gateway() -> Gateway {
    let mut gateway = gateway(2);
    list(&mut gateway, Time(0), 2, NEW);
    list(&mut gateway, Time(0), 3, NEW);
    gateway
}

/// Makes a request that takes up the stream that the request `began` has begun.
fn take_up(began: &'static str) -> IncomingRequest {
    IncomingRequest {
        id: Bytes::from_static(b"a2"),
        resume: Some(4),
        resumes: Some(Bytes::from_static(began.as_bytes())),
        ..request("/chat/x")
    }
}

fn look_up(gateway: &mut Gateway, now: Time, request: &IncomingRequest) -> Lookup {
    let ticket = gateway.admit(now, request).expect("admitted");
    gateway.look_up_origin(now, &ticket, request)
}

/// Begins a stream at a version, as request `a1`; returns whether peers are to be told.
fn begin(gateway: &mut Gateway, now: Time, version: &'static [u8]) -> bool {
    let request = request("/chat/x");
    let mut ticket = gateway.admit(now, &request).expect("admitted");
    let begun_by = (Some(build(version)), None);
    gateway.begin_stream(now, &mut ticket, &request.id, begun_by)
}

fn report(workspace: u32, stream: u64, version: &'static [u8], age: u64) -> StreamReport {
    StreamReport {
        key: StreamKey { workspace, stream },
        build: build(version),
        age: Millis(age),
        left: Millis(5000),
    }
}

fn record(version: &'static [u8], began: u64) -> StreamRecord {
    StreamRecord {
        incarnation: None,
        build: build(version),
        began: Time(began),
        until: Time(100_000),
        service: None,
    }
}

#[gtest]
fn verify_a_stream_is_placed_at_its_version_only() {
    let mut gateway = mixed_gateway();
    for (version, other) in [(OLD, NEW), (NEW, OLD)] {
        for _ in 0..50 {
            let request = take_up("a1");
            let mut ticket = gateway.admit(Time(10), &request).expect("admitted");
            gateway.set_origin(&mut ticket, Origin::Build(build(version)));
            let placed = gateway.place(Time(10), &ticket, &request).expect("placed");
            let chosen = gateway.registry().get(placed.endpoint).expect("listed");
            expect_that!(chosen.build, eq(build(version)));
            expect_that!(chosen.build, not(eq(build(other))));
        }
    }
}

/// Guards against a retry, a strike or a hand-off that is spent although no endpoint of the version is left.
#[gtest]
fn verify_no_retry_is_spent_where_no_endpoint_of_the_version_is_left() {
    let mut gateway = mixed_gateway();
    remove(&mut gateway, Time(10), 1..2);
    let request = request("/chat/x");
    let mut ticket = gateway.admit(Time(20), &request).expect("admitted");
    gateway.set_origin(&mut ticket, Origin::Build(build(OLD)));
    let placed = gateway.place(Time(20), &ticket, &request).expect("placed");
    gateway.sent(Time(20), &mut ticket, placed.endpoint);
    let next = gateway.ended(
        Time(30),
        &mut ticket,
        placed.endpoint,
        AttemptOutcome::Broken,
    );
    expect_that!(next, eq(NextStep::GiveUp));
    expect_false!(ticket.retry_reserved);
}

#[gtest]
fn verify_the_refusal_tells_a_version_that_has_left_from_one_not_seen_yet() {
    let mut gateway = mixed_gateway();
    remove(&mut gateway, Time(10), 0..2);
    let request = take_up("a1");
    for (version, retryable) in [(OLD, false), (b"v3".as_slice(), true)] {
        let mut ticket = gateway.admit(Time(20), &request).expect("admitted");
        gateway.set_origin(&mut ticket, Origin::Build(build(version)));
        let refusal = gateway.place(Time(20), &ticket, &request);
        let refusal = refusal.expect_err("refused");
        expect_that!(refusal.cause, eq(Cause::VersionGone));
        expect_false!(refusal.may_have_run);
        expect_that!(refusal.retryable, eq(retryable));
    }
}

/// Guards against a join by a stream whose only version is replaced while it goes on.
#[gtest]
fn verify_a_stream_of_the_only_version_does_not_go_on_at_the_next_one() {
    let mut gateway = gateway(2);
    let request = take_up("nobody");
    let mut ticket = gateway.admit(Time(10), &request).expect("admitted");
    gateway.set_origin(&mut ticket, Origin::Build(build(OLD)));
    let placed = gateway.place(Time(10), &ticket, &request).expect("placed");
    expect_true!(gateway.may_send_placed(Time(10), &ticket, &placed));
    remove(&mut gateway, Time(20), 0..2);
    list(&mut gateway, Time(20), 2, NEW);
    expect_false!(gateway.may_send_placed(Time(20), &ticket, &placed));
    let refusal = gateway
        .place(Time(20), &ticket, &request)
        .expect_err("refused");
    expect_that!(refusal.cause, eq(Cause::VersionGone));
}

/// Gets what is proved at `now` of a take-up that arrived at `arrived`.
fn proved(gateway: &Gateway, now: u64, arrived: u64) -> Versions {
    gateway.versions_before(Time(now), Time(arrived), SERVICE)
}

/// Notes a read of the registry at a revision, and the changes of the rest of the time.
fn read(gateway: &mut Gateway, now: u64, revision: u64, changes: Changes) {
    let now = Time(now);
    gateway.record_history(now, Revision(revision), changes);
    gateway.record_registry_read(now, now);
    gateway.tick(now);
}

#[gtest]
fn verify_a_version_that_has_left_counts_for_the_life_of_a_stream() {
    let mut gateway = mixed_gateway();
    remove(&mut gateway, Time(1000), 0..2);
    gateway.tick(Time(1000));
    gateway.record_registry_read(Time(60_900), Time(60_900));
    gateway.tick(Time(60_900));
    let request = take_up("nobody");
    let found = look_up(&mut gateway, Time(60_900), &request);
    expect_that!(found, matches_pattern!(Lookup::Ask(anything())));
    expect_that!(proved(&gateway, 60_900, 0), eq(Versions::Several));
    gateway.tick(Time(61_100));
    let found = look_up(&mut gateway, Time(61_100), &request);
    expect_that!(found, matches_pattern!(Lookup::Prove(anything())));
    expect_that!(proved(&gateway, 61_100, 0), eq(Versions::Only(build(NEW))));
}

#[gtest]
fn verify_no_report_is_made_where_one_version_serves() {
    let mut gateway = gateway(4);
    expect_false!(begin(&mut gateway, Time(10), OLD));
    gateway.tick(Time(100));
    expect_that!(gateway.take_unsent_streams(Time(100)), is_empty());
    expect_that!(gateway.mixed_services(0), is_empty());
    expect_that!(gateway.streams().len(), eq(1));
}

/// Guards against streams that no peer knows because they began before a second version was known.
#[gtest]
fn verify_streams_from_before_are_reported_when_a_second_version_appears() {
    let by_peers: fn(&mut Gateway) = |g| g.record_peer_mixed(Time(200), &[0]);
    let by_registry: fn(&mut Gateway) = |g| list(g, Time(200), 2, NEW);
    for learn in [by_peers, by_registry] {
        let mut gateway = gateway(2);
        begin(&mut gateway, Time(10), OLD);
        learn(&mut gateway);
        gateway.tick(Time(200));
        let reports = gateway.take_unsent_streams(Time(210));
        expect_that!(reports.len(), eq(1));
        expect_that!(reports[0].build, eq(build(OLD)));
        expect_that!(reports[0].age, eq(Millis(200)));
        gateway.tick(Time(300));
        expect_that!(gateway.take_unsent_streams(Time(300)), is_empty());
    }
}

/// Guards against a join by a router that has not read of the second version.
#[gtest]
fn verify_a_peer_s_statement_makes_a_stream_unknown() {
    let mut gateway = gateway(2);
    gateway.record_peer_mixed(Time(100), &[0]);
    let found = look_up(&mut gateway, Time(200), &take_up("nobody"));
    expect_that!(found, matches_pattern!(Lookup::Ask(anything())));
    gateway.record_registry_read(Time(5200), Time(5200));
    let found = look_up(&mut gateway, Time(5200), &take_up("nobody"));
    expect_that!(found, matches_pattern!(Lookup::Prove(anything())));
    expect_that!(proved(&gateway, 5200, 0), eq(Versions::Only(build(OLD))));
}

/// Guards against a join by a router whose knowledge is older than the stream: a version has joined since.
#[gtest]
fn verify_only_a_read_after_a_take_up_proves_its_version() {
    for expected in [true, false] {
        let mut gateway = gateway(2);
        let fleet = Fleet {
            expected,
            ..Fleet::default()
        };
        gateway.update_fleet(Time(0), &fleet);
        read(&mut gateway, 1000, 5, Changes::Each);
        for arrived in [1000, 1010, 1400, 4000] {
            let now = arrived + 100;
            let found = look_up(&mut gateway, Time(arrived), &take_up("x"));
            expect_that!(found, matches_pattern!(Lookup::Prove(anything())));
            expect_that!(proved(&gateway, now, arrived), eq(Versions::Unproven));
            let key = report(0, 1, OLD, 0).key;
            let known = gateway.knowledge_of(Time(now), Time(arrived), key, SERVICE);
            expect_that!(known.versions, eq(Versions::Unproven));
        }
        read(&mut gateway, 4001, 5, Changes::Each);
        expect_that!(proved(&gateway, 4100, 4000), eq(Versions::Only(build(OLD))));
        expect_that!(proved(&gateway, 4100, 4001), eq(Versions::Unproven));
    }
}

/// Guards against a join by a router whose own list says otherwise than the peer that it asks: one of them is behind.
#[gtest]
fn verify_a_peer_s_proof_counts_only_where_no_other_version_is_listed() {
    let mut gateway = gateway(2);
    let mut ticket = gateway.admit(Time(0), &take_up("x")).expect("admitted");
    expect_true!(gateway.must_have_begun(Time(0), &ticket, build(OLD)));
    expect_false!(gateway.must_have_begun(Time(0), &ticket, build(NEW)));
    ticket.service = Bytes::from_static(b"unlisted");
    expect_true!(gateway.must_have_begun(Time(0), &ticket, build(NEW)));
    ticket.service = Bytes::from_static(SERVICE);
    list(&mut gateway, Time(10), 2, NEW);
    for version in [OLD, NEW] {
        expect_false!(gateway.must_have_begun(Time(10), &ticket, build(version)));
    }
}

/// Makes a gateway with two services of one version each, and a configuration with these shares of the route of chats.
fn two_services() -> (Gateway, impl Fn(u64, &[&'static [u8]]) -> Change) {
    let mut gateway = gateway(2);
    let other = Entry {
        service: Bytes::from_static(OTHER),
        ..entry(9)
    };
    gateway.apply_changes(Time(0), vec![Change::Entry(other)]);
    let catalog = |version, services: &[&'static [u8]]| {
        let mut raw = raw_catalog(version);
        let shares = services.iter().map(|service| Share {
            service: Bytes::from_static(service),
            weight: 1,
        });
        raw.routes[0].shares = shares.collect();
        Change::Catalog(Box::new(Catalog::try_from(raw).expect("valid")))
    };
    (gateway, catalog)
}

/// Guards against a join by a route that has been given another service since the stream began.
#[gtest]
fn verify_an_unknown_stream_of_a_moved_route_does_not_go_on_by_a_proof() {
    let (mut gateway, catalog) = two_services();
    begin(&mut gateway, Time(10), OLD);
    gateway.apply_changes(Time(1000), vec![catalog(3, &[SERVICE])]);
    let unmoved = look_up(&mut gateway, Time(1010), &take_up("x"));
    expect_that!(unmoved, matches_pattern!(Lookup::Prove(anything())));
    let before = gateway.admit(Time(1010), &take_up("x")).expect("admitted");
    gateway.apply_changes(Time(1100), vec![catalog(4, &[OTHER])]);
    expect_that!(gateway.take_unsent_streams(Time(1100)).len(), eq(1));
    for now in [1100, 30_000, 61_000] {
        let now = Time(now);
        gateway.record_registry_read(now, now);
        let found = look_up(&mut gateway, now, &take_up("x"));
        expect_that!(found, matches_pattern!(Lookup::Ask(anything())));
        expect_false!(gateway.must_have_begun(now, &before, build(OLD)));
        expect_true!(begin(&mut gateway, now, OLD));
    }
    gateway.record_registry_read(Time(61_200), Time(61_200));
    gateway.tick(Time(61_200));
    let found = look_up(&mut gateway, Time(61_200), &take_up("x"));
    expect_that!(found, matches_pattern!(Lookup::Prove(anything())));
}

/// Guards against a join of the services of a split route.
#[gtest]
fn verify_an_unknown_stream_of_a_split_route_does_not_go_on_by_a_proof() {
    let (mut gateway, catalog) = two_services();
    gateway.apply_changes(Time(10), vec![catalog(3, &[SERVICE, OTHER])]);
    gateway.tick(Time(100_000));
    gateway.record_registry_read(Time(100_000), Time(100_000));
    let found = look_up(&mut gateway, Time(100_100), &take_up("x"));
    expect_that!(found, matches_pattern!(Lookup::Ask(anything())));
    expect_true!(begin(&mut gateway, Time(100_100), OLD));
}

/// Guards against a router that vouches for versions that joined and left between two of its reads.
#[gtest]
fn verify_a_router_doubts_what_it_has_not_read() {
    let unread = |changes, gap| {
        let mut gateway = gateway(2);
        read(&mut gateway, 1000, 5, Changes::Each);
        read(&mut gateway, 1000 + gap, 9, changes);
        gateway
    };
    for (changes, gap, until) in [
        (Changes::Each, 30_000, Some(Revision(9))),
        (Changes::Difference, 1600, Some(Revision(9))),
        (Changes::Difference, 1700, None),
        (Changes::Incomplete, 100, None),
    ] {
        let gateway = unread(changes, gap);
        expect_that!(gateway.versions_until(Time(1000 + gap)), eq(until));
    }
    let mut gateway = unread(Changes::Difference, 10_000);
    expect_that!(proved(&gateway, 11_000, 10_900), eq(Versions::Unproven));
    for (revision, until) in [(8, None), (9, Some(Revision(9)))] {
        gateway.heard_peer(Time(11_100), Some(Revision(revision)), &[]);
        expect_that!(gateway.versions_until(Time(11_100)), eq(until));
    }
}

/// Makes a gateway that is restarted with one endpoint listed, and has peers.
fn restarted_gateway() -> Gateway {
    let mut gateway = gateway(1);
    gateway.update_fleet(
        Time(0),
        &Fleet {
            expected: true,
            ..Fleet::default()
        },
    );
    gateway.restarted(Time(0));
    gateway
}

/// Guards against joins after all routers were killed: the version that began a stream may have left before.
#[gtest]
fn verify_a_restarted_router_does_not_trust_its_only_version_for_the_life_of_a_stream() {
    let mut gateway = restarted_gateway();
    let key = report(0, 1, OLD, 0).key;
    for (now, revision) in [(1, 5), (1000, 6), (3100, 7), (59_000, 8)] {
        read(&mut gateway, now, revision, Changes::Each);
        expect_that!(proved(&gateway, now, 0), eq(Versions::Unproven));
        let known = gateway.knowledge_of(Time(now), Time(0), key, SERVICE);
        expect_that!(known.versions, eq(Versions::Unproven));
        expect_that!(gateway.versions_until(Time(now)), none());
        gateway.heard_peer(Time(now), None, &[]);
    }
    read(&mut gateway, 60_100, 9, Changes::Each);
    expect_that!(proved(&gateway, 60_100, 0), eq(Versions::Only(build(OLD))));
    expect_that!(gateway.versions_until(Time(60_100)), some(eq(Revision(9))));
}

/// Guards against refusals of all streams where a peer has lived through the restart, and against trust in a peer that
/// did not know the versions when this router began to read.
#[gtest]
fn verify_a_restarted_router_relies_on_a_peer_that_knew_the_versions_before() {
    let mut gateway = restarted_gateway();
    gateway.heard_peer(Time(1), Some(Revision(9)), &[]);
    read(&mut gateway, 2, 5, Changes::Difference);
    expect_that!(proved(&gateway, 2, 0), eq(Versions::Unproven));
    gateway.heard_peer(Time(5000), Some(Revision(4)), &[]);
    expect_that!(proved(&gateway, 5000, 0), eq(Versions::Unproven));
    gateway.heard_peer(Time(5100), Some(Revision(5)), &[]);
    expect_that!(proved(&gateway, 5100, 0), eq(Versions::Only(build(OLD))));
}

/// Guards against a join by a router whose only peer that knew the version that left is killed next.
#[gtest]
fn verify_versions_that_a_peer_has_stated_count_after_its_end() {
    let mut gateway = restarted_gateway();
    read(&mut gateway, 1, 5, Changes::Difference);
    gateway.heard_peer(Time(2100), Some(Revision(6)), &[0]);
    for (now, revision) in [(2100, 7), (10_000, 8), (62_000, 9)] {
        read(&mut gateway, now, revision, Changes::Each);
        let found = look_up(&mut gateway, Time(now), &take_up("x"));
        expect_that!(found, matches_pattern!(Lookup::Ask(anything())));
        expect_that!(proved(&gateway, now, 0), eq(Versions::Several));
        expect_that!(gateway.mixed_services(0), elements_are![eq(&0)]);
        let until = gateway.versions_until(Time(now));
        expect_that!(until, some(eq(Revision(revision))));
    }
    read(&mut gateway, 62_200, 10, Changes::Each);
    expect_that!(proved(&gateway, 62_200, 0), eq(Versions::Only(build(OLD))));
}

/// Guards against refusals of streams that began while the registry could not be read.
#[gtest]
fn verify_streams_are_reported_while_the_registry_is_not_read() {
    let mut gateway = gateway(2);
    read(&mut gateway, 1000, 5, Changes::Each);
    expect_false!(begin(&mut gateway, Time(1010), OLD));
    gateway.tick(Time(1500));
    expect_that!(gateway.take_unsent_streams(Time(1500)), is_empty());
    gateway.tick(Time(2100));
    expect_that!(gateway.take_unsent_streams(Time(2100)).len(), eq(1));
    gateway.tick(Time(2200));
    expect_that!(gateway.take_unsent_streams(Time(2200)), is_empty());
    expect_true!(begin(&mut gateway, Time(2300), OLD));
    expect_that!(gateway.take_unsent_streams(Time(2300)).len(), eq(1));
    gateway.tick(Time(2400));
    expect_that!(gateway.take_unsent_streams(Time(2400)), is_empty());
}

/// Guards against refusals of streams that began after a kill of all routers.
#[gtest]
fn verify_a_restarted_router_reports_the_streams_that_it_begins() {
    let mut gateway = restarted_gateway();
    expect_true!(begin(&mut gateway, Time(10), OLD));
    let reports = gateway.take_unsent_streams(Time(20));
    expect_that!(reports.len(), eq(1));
}

#[gtest]
fn verify_a_stream_belongs_to_its_workspace_and_route() {
    let mut gateway = mixed_gateway();
    begin(&mut gateway, Time(10), NEW);
    let known = eq(Lookup::Found(Origin::Build(build(NEW))));
    expect_that!(look_up(&mut gateway, Time(20), &take_up("a1")), known);
    let mut ticket = gateway.admit(Time(20), &take_up("a1")).expect("admitted");
    ticket.workspace = None;
    let found = gateway.look_up_origin(Time(20), &ticket, &take_up("a1"));
    expect_that!(found, matches_pattern!(Lookup::Ask(anything())));
}

#[gtest]
fn verify_the_stream_that_began_later_counts() {
    let mut gateway = mixed_gateway();
    let key = report(1, 7, OLD, 0).key;
    let known = |gateway: &Gateway| {
        let known = gateway.knowledge_of(Time(1000), Time(1000), key, SERVICE);
        known.build
    };
    gateway.record_peer_streams(Time(1000), &[report(1, 7, OLD, 100)]);
    gateway.record_peer_streams(Time(1000), &[report(1, 7, NEW, 500)]);
    expect_that!(known(&gateway), some(eq(build(OLD))));
    gateway.record_peer_streams(Time(1000), &[report(1, 7, NEW, 20)]);
    expect_that!(known(&gateway), some(eq(build(NEW))));
}

/// Guards against a caller that pushes the streams of other workspaces out.
#[gtest]
fn verify_a_workspace_pushes_out_only_its_own_streams() {
    let mut streams = Streams::default();
    for stream in 0..10 {
        streams.insert(
            StreamKey {
                workspace: 1,
                stream,
            },
            record(OLD, 0),
        );
    }
    for stream in 0..MAX_STREAMS as u64 + 500 {
        streams.insert(
            StreamKey {
                workspace: 2,
                stream,
            },
            record(NEW, stream),
        );
    }
    expect_that!(streams.len(), eq(MAX_STREAMS));
    for stream in 0..10 {
        let key = StreamKey {
            workspace: 1,
            stream,
        };
        expect_that!(streams.get(Time(1), key), some(anything()));
    }
    let newest = StreamKey {
        workspace: 2,
        stream: MAX_STREAMS as u64 + 499,
    };
    expect_that!(streams.get(Time(1), newest), some(anything()));
    let oldest = StreamKey {
        workspace: 2,
        stream: 0,
    };
    expect_that!(streams.get(Time(1), oldest), none());
}

#[gtest]
fn verify_a_stream_is_forgotten_after_its_deadline() {
    let mut gateway = mixed_gateway();
    begin(&mut gateway, Time(10), NEW);
    gateway.tick(Time(3900));
    expect_that!(gateway.streams().len(), eq(1));
    gateway.tick(Time(5000));
    expect_that!(gateway.streams().len(), eq(0));
}

#[gtest]
fn verify_a_stream_of_a_split_route_returns_to_its_service() {
    let mut raw = raw_catalog(2);
    raw.routes[0].shares.push(Share {
        service: Bytes::from_static(b"others"),
        weight: 1,
    });
    let mut gateway = gateway(2);
    let catalog = Catalog::try_from(raw).expect("valid");
    let other = Entry {
        service: Bytes::from_static(b"others"),
        ..entry(9)
    };
    let changes = vec![Change::Catalog(Box::new(catalog)), Change::Entry(other)];
    gateway.apply_changes(Time(0), changes);
    let origin = Build::of(b"others", OLD);
    for _ in 0..20 {
        let mut ticket = gateway.admit(Time(10), &take_up("a1")).expect("admitted");
        gateway.set_origin(&mut ticket, Origin::Build(origin));
        expect_that!(ticket.service, eq(&Bytes::from_static(b"others")));
        expect_that!(
            gateway.place(Time(10), &ticket, &take_up("a1")),
            ok(anything())
        );
    }
}

/// Guards against an endpoint that keeps its place after its entry has changed its version.
#[gtest]
fn verify_an_entry_with_another_version_is_another_instance() {
    let mut gateway = gateway(1);
    let (before, _) = gateway.registry().of(SERVICE).next().expect("listed");
    list(&mut gateway, Time(10), 0, NEW);
    expect_true!(gateway.registry().get(before).is_none());
    let (_, now) = gateway.registry().of(SERVICE).next().expect("listed");
    expect_that!(now.build, eq(build(NEW)));
    expect_true!(gateway.is_mixed(Time(10), SERVICE));
}

#[gtest]
fn verify_the_version_of_a_handed_off_stream_is_that_of_the_peer_s_endpoint() {
    let mut gateway = mixed_gateway();
    let request = request("/chat/x");
    let mut ticket = gateway.admit(Time(10), &request).expect("admitted");
    let (endpoint, _) = gateway.registry().of(SERVICE).last().expect("listed");
    gateway.sent(Time(10), &mut ticket, endpoint);
    let reported = gateway.peer_report(&ticket, None);
    let expected = PeerReport {
        build: Some(build(NEW)),
        ..reported.clone()
    };
    expect_that!(reported, eq(&expected));
    gateway.begin_stream(Time(20), &mut ticket, &request.id, (reported.build, None));
    let grant = gateway.grant(Time(30), &ticket, Some(3));
    expect_that!(grant.origin, eq(Origin::Build(build(NEW))));
    let accepted = gateway.admit_from_peer(Time(40), &take_up("a1"), &grant);
    expect_that!(
        accepted.expect("admitted").origin,
        eq(Origin::Build(build(NEW)))
    );
}

/// Guards against a join after a hand-off to a peer of an earlier build, which reports no version.
#[gtest]
fn verify_a_stream_without_a_reported_version_does_not_go_on() {
    for mut gateway in [mixed_gateway(), gateway(2)] {
        let request = request("/chat/x");
        let mut ticket = gateway.admit(Time(10), &request).expect("admitted");
        gateway.begin_stream(Time(20), &mut ticket, &request.id, (None, None));
        expect_that!(ticket.origin, eq(Origin::Unknown));
    }
}

#[gtest]
fn verify_a_history_forgets_versions_after_the_retention() {
    let mut history = BuildHistory::default();
    let service = Bytes::from_static(SERVICE);
    let name = |version| Bytes::from_static(version);
    history.add(&service, build(OLD), &name(OLD));
    history.add(&service, build(OLD), &name(OLD));
    history.add(&service, build(NEW), &name(NEW));
    expect_true!(history.is_mixed(SERVICE));
    history.remove(&service, build(OLD));
    history.expire(Time(0), Millis(100));
    history.expire(Time(500), Millis(100));
    expect_true!(history.is_mixed(SERVICE), "one endpoint is left");
    history.remove(&service, build(OLD));
    history.expire(Time(600), Millis(100));
    history.expire(Time(690), Millis(100));
    expect_true!(history.is_mixed(SERVICE));
    history.expire(Time(700), Millis(100));
    expect_false!(history.is_mixed(SERVICE));
}

fn heartbeat(number: u32) -> Heartbeat {
    Heartbeat {
        address: SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + number), 7000),
        data_center: number % 19,
        incarnation: Incarnation(1),
        beat: 100,
        reads: false,
    }
}

/// Makes a router that has heard all others but those that `unheard` tells.
fn router(me: u32, fleet: u32, unheard: impl Fn(u32) -> bool) -> Mesh {
    let mut mesh = Mesh::new(heartbeat(me), Vec::new());
    for other in (0..fleet).filter(|n| *n != me && !unheard(*n)) {
        let mut sender = Mesh::new(heartbeat(other), Vec::new());
        let digest = sender.digest(Time(0), heartbeat(me).address, false, Vec::new());
        mesh.receive(Time(0), &digest);
    }
    mesh
}

/// Guards against take-ups that ask none of the routers that were told, after routers have ended or have not been
/// heard.
#[gtest]
fn verify_a_router_that_is_asked_for_a_stream_was_told_of_it() {
    for fleet in [2, 7, 9, 10, 86, 330] {
        let mut missed = 0;
        let streams = 400;
        for stream in 0..streams {
            let began = router(0, fleet, |_| false);
            let told = began.stream_keepers(Time(0), stream * 7919);
            // One in ten routers has ended since, the one that began the stream among them.
            let ended = |n: u32| n.is_multiple_of(10);
            let asks = router(1, fleet, ended).possible_stream_keepers(Time(0), stream * 7919);
            let asker = heartbeat(1).address;
            let knows = told.iter().any(|t| asks.contains(t) || *t == asker);
            missed += u64::from(!knows);
        }
        // Both of the routers that were told have ended.
        expect_that!(missed, lt(streams / 20), "{fleet} routers");
    }
}

/// Guards against reports that are accepted again when an old datagram is replayed, or one of an earlier process.
#[gtest]
fn verify_reports_of_other_rounds_are_refused() {
    let mesh = router(0, 3, |_| false);
    let from = heartbeat(1).address;
    for (beat, accepted) in [
        (100, true),
        (81, true),
        (79, false),
        (119, true),
        (121, false),
    ] {
        expect_that!(mesh.accepts_round(Time(0), from, beat), eq(accepted));
    }
    expect_false!(mesh.accepts_round(Time(0), heartbeat(7).address, 100));
}

/// Guards against messages that are refused in large fleets, where a sender's heartbeat is heard of every few seconds.
#[gtest]
fn verify_reports_of_a_router_that_was_heard_of_long_ago_are_accepted() {
    let mesh = router(0, 3, |_| false);
    let from = heartbeat(1).address;
    for (beat, accepted) in [
        (79, false),
        (81, true),
        (150, true),
        (169, true),
        (171, false),
    ] {
        expect_that!(mesh.accepts_round(Time(5000), from, beat), eq(accepted));
    }
}

/// Has a router that was restarted hear what another one states of its versions.
fn hear(gateway: &mut Gateway, now: u64, peer: &Gateway) {
    let until = peer.versions_until(Time(now));
    gateway.heard_peer(Time(now), until, &peer.mixed_services(0));
}

/// Guards against a join after a restart while a service has no endpoint: the peer that has lived through it knows of a
/// version that has left, and the router that relies on it does not.
#[gtest]
fn verify_a_peer_states_a_version_of_which_no_endpoint_is_left() {
    let mut peer = gateway(2);
    read(&mut peer, 900, 5, Changes::Each);
    remove(&mut peer, Time(1000), 0..2);
    read(&mut peer, 1000, 6, Changes::Each);
    let mut restarted = gateway(0);
    restarted.restarted(Time(1900));
    read(&mut restarted, 2000, 6, Changes::Difference);
    hear(&mut restarted, 2100, &peer);
    restarted.record_history(Time(2500), Revision(7), Changes::Each);
    list(&mut restarted, Time(2500), 2, NEW);
    expect_that!(
        proved(&restarted, 2500, 2400),
        not(eq(Versions::Only(build(NEW))))
    );
}

/// Guards against a join by a router that relies on a peer's list of services, as the list holds none that the
/// configuration in force at that moment does not name.
#[gtest]
fn verify_a_peer_does_not_vouch_where_a_mixed_service_has_no_index() {
    let change = |version, service: &str| {
        let mut raw = raw_catalog(version);
        raw.services
            .retain(|s| s.name != SERVICE || service == "engines");
        if service != "engines" {
            for route in &mut raw.routes {
                for share in &mut route.shares {
                    share.service = Bytes::copy_from_slice(service.as_bytes());
                }
            }
        }
        Change::Catalog(Box::new(Catalog::try_from(raw).expect("valid")))
    };
    let mut peer = mixed_gateway();
    read(&mut peer, 900, 5, Changes::Each);
    remove(&mut peer, Time(1000), 0..2);
    peer.apply_changes(Time(1000), vec![change(2, "others")]);
    read(&mut peer, 1000, 6, Changes::Each);
    expect_true!(peer.is_mixed(Time(1000), SERVICE));
    let mut restarted = gateway(0);
    restarted.restarted(Time(1900));
    restarted.apply_changes(Time(1900), vec![change(2, "others")]);
    list(&mut restarted, Time(1900), 2, NEW);
    read(&mut restarted, 2000, 6, Changes::Difference);
    hear(&mut restarted, 2100, &peer);
    restarted.apply_changes(Time(2500), vec![change(3, "engines")]);
    read(&mut restarted, 2500, 7, Changes::Each);
    expect_that!(
        proved(&restarted, 2500, 2400),
        not(eq(Versions::Only(build(NEW))))
    );
}

/// Guards against versions that join and leave while a read is under way: its pages come long after it was sent, where
/// the registry is slow or has not answered the read's first calls.
#[gtest]
fn verify_the_time_until_the_answer_counts_as_unread() {
    let mut gateway = gateway(2);
    read(&mut gateway, 1000, 5, Changes::Each);
    let (sent, answered) = (Time(2900), Time(6000));
    gateway.record_history(answered, Revision(9), Changes::Difference);
    gateway.record_registry_read(answered, sent);
    expect_that!(gateway.versions_until(answered), none());
}

/// Guards against doubt in calm where the registry is read less often than each two seconds.
#[gtest]
fn verify_a_router_does_not_doubt_where_nothing_has_changed() {
    let mut gateway = gateway(2);
    read(&mut gateway, 1000, 5, Changes::Each);
    read(&mut gateway, 4000, 5, Changes::Difference);
    expect_that!(gateway.versions_until(Time(4000)), some(eq(Revision(5))));
}

/// Guards against a version that is forgotten early, as a new configuration shortens the time limits: streams that began
/// under the one before last for as long as it said.
#[gtest]
fn verify_a_shorter_limit_does_not_shorten_the_streams_of_before() {
    let with_limit = |version, limit| {
        let mut raw = raw_catalog(version);
        for route in &mut raw.routes {
            route.limit = Millis(limit);
        }
        Change::Catalog(Box::new(Catalog::try_from(raw).expect("valid")))
    };
    let mut gateway = mixed_gateway();
    gateway.apply_changes(Time(0), vec![with_limit(2, 120_000)]);
    remove(&mut gateway, Time(1000), 0..2);
    read(&mut gateway, 1000, 5, Changes::Each);
    gateway.apply_changes(Time(62_000), vec![with_limit(3, 20_000)]);
    read(&mut gateway, 62_000, 6, Changes::Each);
    expect_that!(proved(&gateway, 62_000, 61_000), eq(Versions::Several));
}
