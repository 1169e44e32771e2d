//! Tests that nothing is taken for allowed because a router has heard nothing: it was suspended, cut off, or knows no
//! other router.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use bytes::Bytes;
use googletest::prelude::*;
use slotmap::SlotMap;
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Change, Gateway, Ticket,
        endpoint::Load,
        fingerprint::{
            Content,
            Fingerprint, //
        },
        incoming_request::IncomingRequest,
        mesh::{
            EndpointReport,
            Heartbeat,
            Mesh, //
        },
        outcome::AttemptOutcome,
        quarantine::{
            CrashReport,
            Record, //
        },
        refusal::Cause,
        warmup::{
            ColdEndpoint,
            Fleet,
            Warmup, //
        },
    },
    ids::Tag,
    load::score,
    units::{
        Incarnation,
        Millis,
        Time, //
    },
};

use crate::fixture::{
    bounds,
    entry,
    gateway,
    prompt,
    request, //
};

/// Pauses of a process, in milliseconds.
const PAUSES_MS: [u64; 5] = [300, 1000, 1400, 3000, 10_000];
/// Shortest pause that a router notices, in milliseconds; messages may be as late in a running one.
const NOTICED_MS: u64 = 500;
/// When the pause of a router begins, in milliseconds.
const PAUSED_AT: u64 = 2000;
/// Time between two reads of the registry, in milliseconds.
const READ_MS: u64 = 500;

static WORKSPACE: Bytes = Bytes::from_static(b"one");

/// Runs a gateway that reads the registry from one time to another.
fn run(gateway: &mut Gateway, from: u64, to: u64) {
    for now in (from..=to).step_by(100) {
        gateway.tick(Time(now));
        if now % READ_MS == 0 {
            gateway.record_registry_read(Time(now), Time(now));
        }
    }
}

/// Makes a gateway that has run until it is paused at [`PAUSED_AT`].
fn paused_gateway(endpoints: u8) -> Gateway {
    let mut gateway = gateway(endpoints);
    run(&mut gateway, 100, PAUSED_AT);
    gateway
}

fn usable_count(gateway: &Gateway) -> usize {
    gateway.registry().usable().count()
}

fn removals(numbers: std::ops::Range<u8>) -> Vec<Change> {
    let removal = |n| Change::Removed(Bytes::from(format!("e-{n}")));
    numbers.map(removal).collect()
}

fn fingerprint() -> Fingerprint {
    Fingerprint::of(&Content {
        workspace: Some(&WORKSPACE),
        parts: [b"POST", b"shop.example", b"/once/x", b"fatal"],
    })
}

fn place(gateway: &mut Gateway, now: Time, request: &IncomingRequest) -> Result<Ticket, Cause> {
    let mut ticket = gateway.admit(now, request).map_err(|r| r.cause)?;
    ticket.content = Some(fingerprint());
    let placed = gateway.place(now, &ticket, request).map_err(|r| r.cause)?;
    gateway.sent(now, &mut ticket, placed.endpoint);
    Ok(ticket)
}

/// Sends a request whose endpoint ends on it.
fn crash(gateway: &mut Gateway, now: Time, request: &IncomingRequest) {
    let mut ticket = place(gateway, now, request).expect("the request is placed");
    let endpoint = ticket.tried[0];
    gateway.ended(now, &mut ticket, endpoint, AttemptOutcome::Broken);
    let listed = gateway.registry().get(endpoint).map(|e| e.entry.id.clone());
    let removed = Change::Removed(listed.expect("it is listed"));
    gateway.apply_changes(now, vec![removed]);
}

fn crash_report(endpoint: u32, age: u64) -> CrashReport {
    CrashReport {
        endpoint: Tag(endpoint),
        age: Millis(age),
        ran: Millis(10),
    }
}

fn record(crashes: Vec<CrashReport>, answered: Option<u64>) -> Record {
    Record {
        request: fingerprint(),
        is_part: false,
        crashes,
        answered: answered.map(Millis),
    }
}

fn is_held(gateway: &mut Gateway, now: Time) -> bool {
    gateway.record_registry_read(now, now);
    let placed = place(gateway, now, &request("/once/x"));
    placed.is_err_and(|cause| cause == Cause::Quarantined)
}

/// Guards against keys and entries that a router uses after a pause beyond the age up to which they count.
#[gtest]
fn verify_a_router_that_wakes_uses_keys_and_entries_by_the_age_of_its_last_read() {
    for pause in PAUSES_MS {
        let mut gateway = paused_gateway(2);
        let woken = Time(PAUSED_AT + pause);
        let expected = match Millis(pause) {
            age if age >= bounds().keys => Err(Cause::Stale),
            age if age >= bounds().max_confirmation_age => Err(Cause::Unconfirmed),
            _ => Ok(()),
        };
        let placed = place(&mut gateway, woken, &request("/read/x")).map(|_| ());
        expect_that!(placed, eq(expected), "paused for {pause} ms");
    }
}

/// Guards against requests to endpoints that left while a router was suspended: what it didn't read is taken for an
/// outage of the registry, and their entries for ones that nobody could renew.
#[gtest]
fn verify_endpoints_removed_while_a_router_was_suspended_are_gone() {
    for pause in PAUSES_MS {
        let woken = PAUSED_AT + pause;
        for read in [woken + 1, woken - 200] {
            let mut gateway = paused_gateway(6);
            gateway.tick(Time(woken));
            gateway.record_registry_read(Time(woken + 5), Time(read));
            gateway.apply_changes(Time(woken + 5), removals(0..3));
            expect_that!(usable_count(&gateway), eq(3), "paused for {pause} ms");
        }
    }
}

/// Guards against a service without endpoints after an outage of the registry through which a router was suspended for
/// a part of the time.
#[gtest]
fn verify_an_outage_is_noticed_by_a_router_that_was_suspended_within_it() {
    for pause in [1000, 1400, 3000] {
        let mut gateway = paused_gateway(6);
        let suspended_at = PAUSED_AT + 1500;
        for now in (PAUSED_AT..=suspended_at).step_by(100) {
            gateway.tick(Time(now));
        }
        let woken = suspended_at + pause;
        for now in (woken..=woken + 1500).step_by(100) {
            gateway.tick(Time(now));
        }
        gateway.record_registry_read(Time(woken + 1505), Time(woken + 1500));
        gateway.apply_changes(Time(woken + 1505), removals(0..6));
        expect_that!(usable_count(&gateway), eq(6), "paused for {pause} ms");
    }
}

/// Guards against loads from before a pause that a router takes for new ones and passes on to its peers.
#[gtest]
fn verify_loads_that_waited_for_a_suspended_router_are_not_passed_on() {
    for pause in PAUSES_MS {
        let mut gateway = paused_gateway(1);
        let woken = PAUSED_AT + pause;
        let (_, endpoint) = gateway.registry().usable().next().expect("one is listed");
        let report = EndpointReport {
            endpoint: endpoint.tag().0,
            load: Some(40),
            age: Millis(10),
            confirmed: false,
            delay: None,
        };
        // Some are read before the first tick.
        gateway.record_peer_report(Time(woken), &[report]);
        gateway.tick(Time(woken + 1));
        gateway.record_peer_report(Time(woken + 2), &[report]);
        let told = gateway.digest_contents(Time(woken + 3), 1).reports;
        let expected = usize::from(pause < NOTICED_MS);
        expect_that!(told.len(), eq(expected), "paused for {pause} ms");
        gateway.tick(Time(woken + 101));
        gateway.record_peer_report(Time(woken + 101), &[report]);
        let told = gateway.digest_contents(Time(woken + 102), 1).reports;
        expect_that!(told.len(), eq(1), "paused for {pause} ms");
    }
}

/// Guards against the same with loads in answers to own requests, which waited as well.
#[gtest]
fn verify_loads_in_answers_that_waited_for_a_suspended_router_are_not_passed_on() {
    for pause in PAUSES_MS {
        let mut gateway = paused_gateway(1);
        let ticket = place(&mut gateway, Time(PAUSED_AT), &request("/read/x"));
        let endpoint = ticket.expect("it is placed").tried[0];
        let load = Load {
            running: 40,
            slots: 64,
            ..Load::default()
        };
        let woken = PAUSED_AT + pause;
        gateway.record_load(Time(woken), endpoint, load);
        gateway.tick(Time(woken + 1));
        gateway.record_load(Time(woken + 2), endpoint, load);
        let loads = |gateway: &mut Gateway, now| {
            let told = gateway.digest_contents(Time(now), 1).reports;
            told.iter().filter(|r| r.load.is_some()).count()
        };
        let expected = usize::from(pause < NOTICED_MS);
        expect_that!(
            loads(&mut gateway, woken + 3),
            eq(expected),
            "paused for {pause} ms"
        );
        gateway.tick(Time(woken + 101));
        gateway.record_load(Time(woken + 102), endpoint, load);
        expect_that!(loads(&mut gateway, woken + 103), eq(1));
    }
}

/// Guards against a request that crashes endpoints and that the whole fleet lets through, because a router that wakes
/// takes an answer from before its crashes for a later one, and passes that on.
#[gtest]
fn verify_an_answer_that_waited_for_a_suspended_router_clears_no_later_crash() {
    for pause in PAUSES_MS {
        let woken = PAUSED_AT + pause;
        let early = record(vec![crash_report(20, 1000)], None);
        let mut paused = paused_gateway(8);
        let mut running = paused_gateway(8);
        for router in [&mut paused, &mut running] {
            router.record_peer_crashes(Time(PAUSED_AT - 100), std::slice::from_ref(&early));
        }
        // The first message is sent 40 ms after the pause begins, the second one before it ends.
        let answered = record(Vec::new(), Some(10));
        let crashes: Vec<u32> = (0..6).collect();
        let interval = pause / 7;
        let age_at = |end: u64, n: u32| end - (PAUSED_AT + 40 + interval * u64::from(n + 1));
        let told_at = |end: u64| {
            let reports = crashes.iter().map(|n| crash_report(*n, age_at(end, *n)));
            record(reports.collect(), Some(end - (PAUSED_AT + 30)))
        };
        running.record_peer_crashes(Time(PAUSED_AT + 40), std::slice::from_ref(&answered));
        run(&mut running, PAUSED_AT + 100, woken);
        running.record_peer_crashes(Time(woken), &[told_at(woken)]);
        if !is_held(&mut running, Time(woken + 1)) {
            // The crashes are too close together to count.
            expect_that!(pause, lt(NOTICED_MS));
            continue;
        }
        paused.record_peer_crashes(Time(woken), &[answered]);
        paused.tick(Time(woken + 1));
        paused.record_peer_crashes(Time(woken + 2), &[told_at(woken - 50)]);
        for now in [woken + 101, woken + 201] {
            paused.tick(Time(now));
            running.tick(Time(now));
            let told = running.digest_contents(Time(now), 1).crashes;
            paused.record_peer_crashes(Time(now), &told);
            let told = paused.digest_contents(Time(now), 1).crashes;
            running.record_peer_crashes(Time(now), &told);
        }
        let now = Time(woken + 300);
        expect_true!(is_held(&mut paused, now), "paused for {pause} ms");
        expect_true!(is_held(&mut running, now), "paused for {pause} ms");
    }
}

/// Guards against a router that wakes and tries a request that crashes endpoints, as it has not read yet that a trial
/// at another router has just crashed one.
#[gtest]
fn verify_a_router_that_wakes_admits_no_trial_before_it_knows_of_others() {
    let trial_interval = 3000;
    for pause in PAUSES_MS {
        let mut gateway = gateway(8);
        gateway.fleet(Time(0), 7);
        for n in 0..3 {
            crash(&mut gateway, Time(500 + 300 * n), &request("/once/x"));
        }
        let over = 1100 + bounds().hold.first.0;
        let paused_at = over - over % 100;
        run(&mut gateway, 100, paused_at);
        let woken = paused_at + pause.max(100);
        // Some requests are read before the first tick.
        let admitted = |gateway: &mut Gateway, now: u64| {
            (0..200).filter(|_| !is_held(gateway, Time(now))).count()
        };
        let expected = usize::from(pause < NOTICED_MS);
        expect_that!(
            admitted(&mut gateway, woken),
            eq(expected),
            "paused for {pause} ms"
        );
        run(&mut gateway, woken, woken + 500);
        expect_that!(admitted(&mut gateway, woken + 500), eq(0));
        if pause >= NOTICED_MS {
            let mut crashed = gateway;
            run(&mut crashed, woken + 600, woken + 600);
            crashed.record_peer_crashes(
                Time(woken + 600),
                &[record(vec![crash_report(77, pause / 2)], None)],
            );
            run(&mut crashed, woken + 700, woken + trial_interval);
            expect_that!(admitted(&mut crashed, woken + trial_interval), eq(0));
        }
    }
}

/// Guards against the same for a part of a prompt.
#[gtest]
fn verify_a_router_that_wakes_admits_no_trial_of_a_part_before_it_knows_of_others() {
    for pause in PAUSES_MS {
        let mut gateway = gateway(8);
        let fleet = Fleet {
            me: 1,
            others: Vec::new(),
            expected: false,
        };
        gateway.update_fleet(Time(0), &fleet);
        for n in 0..3 {
            let prompt = Some(prompt(1 << 40, n));
            let request = IncomingRequest {
                prompt,
                ..request("/chat/x")
            };
            let mut ticket = gateway
                .admit(Time(500 + 300 * n), &request)
                .expect("it is admitted");
            let at = Time(500 + 300 * n);
            let placed = gateway.place(at, &ticket, &request).expect("it is placed");
            gateway.sent(at, &mut ticket, placed.endpoint);
            gateway.ended(at, &mut ticket, placed.endpoint, AttemptOutcome::Broken);
            gateway.unreached(at, &mut ticket, placed.endpoint);
        }
        let over = 1100 + bounds().hold.first.0;
        let paused_at = over - over % 100;
        run(&mut gateway, 100, paused_at);
        let woken = paused_at + pause.max(100);
        gateway.record_registry_read(Time(woken), Time(woken));
        let request = IncomingRequest {
            prompt: Some(prompt(1 << 40, 100)),
            ..request("/chat/x")
        };
        let ticket = gateway.admit(Time(woken), &request).expect("admitted");
        let placed = gateway.place(Time(woken), &ticket, &request);
        let cause = placed.err().map(|r| r.cause);
        let expected = (pause >= NOTICED_MS).then_some(Cause::PartQuarantined);
        expect_that!(cause, eq(expected), "paused for {pause} ms");
    }
}

/// Guards against a router that wakes and uses the connections of all routers, as it counts itself alone until it has
/// read what its peers have sent.
#[gtest]
fn verify_a_router_that_wakes_keeps_its_part_of_the_connections() {
    for pause in [3000, 10_000] {
        let mut gateway = paused_gateway(1);
        gateway.fleet(Time(PAUSED_AT), 7);
        let woken = Time(PAUSED_AT + pause);
        // The first round after the pause may come before the first tick, and hears nobody.
        gateway.fleet(woken, 1);
        gateway.tick(woken + Millis(1));
        gateway.fleet(woken + Millis(2), 1);
        gateway.record_registry_read(woken, woken);
        let (key, _) = gateway.registry().usable().next().expect("one is listed");
        for _ in 0..100 / 7 {
            gateway.connection_begun(key);
        }
        let placed = place(&mut gateway, woken + Millis(3), &request("/read/x"));
        expect_that!(placed.is_err(), eq(true), "paused for {pause} ms");
        // A fleet that is smaller by then has larger parts.
        let later = woken + Millis(102);
        gateway.tick(later);
        gateway.fleet(later, 2);
        let placed = place(&mut gateway, later, &request("/read/x"));
        expect_that!(placed.is_ok(), eq(true), "paused for {pause} ms");
    }
}

/// Guards against two sides of a fleet that together send twice the extra retries, because each side takes the other
/// for gone: regions lose each other for an hour.
#[gtest]
fn verify_both_sides_of_a_long_partition_keep_their_parts_of_the_extra_retries() {
    let sides = [3, 4];
    let mut routers: Vec<(u32, Gateway)> = sides
        .iter()
        .flat_map(|side| (0..*side).map(move |_| (*side, gateway(1))))
        .collect();
    for (_, router) in &mut routers {
        router.fleet(Time(0), 7);
    }
    for now in (1000..=3_600_000).step_by(1000) {
        for (side, router) in &mut routers {
            router.fleet(Time(now), *side);
        }
        let extra: u32 = routers.iter().map(|(_, r)| r.bounds().retry.extra).sum();
        assert_that!(extra, le(bounds().retry.fleet), "after {now} ms");
    }
}

fn heartbeat(number: u8) -> Heartbeat {
    Heartbeat {
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7000),
        data_center: 1,
        incarnation: Incarnation(1),
        beat: 0,
        reads: false,
    }
}

/// Guards against a router that takes itself for the only one because its seed list is empty, though others that have
/// it as their seed have been heard.
#[gtest]
fn verify_a_router_without_seeds_that_has_heard_of_others_expects_them() {
    let mut router = Mesh::new(heartbeat(1), Vec::new());
    expect_false!(router.fleet(Time(1000)).expected);
    let mut other = Mesh::new(heartbeat(2), vec![heartbeat(1).address]);
    other.round(Time(1000), 1);
    let digest = other.digest(Time(1000), heartbeat(1).address, false, Vec::new());
    expect_true!(router.receive(Time(1000), &digest));
    for now in [1000, 5000, 100_000] {
        router.round(Time(now), 1);
        expect_true!(router.fleet(Time(now)).expected, "at {now} ms");
    }
    // A seed list that names other routers than there are is no reason to count as alone.
    let mut lost = Mesh::new(heartbeat(3), vec![heartbeat(9).address]);
    expect_true!(lost.fleet(Time(1000)).expected);
    lost.set_seeds(vec![heartbeat(3).address]);
    expect_false!(lost.fleet(Time(1000)).expected);
}

/// Guards against a router that its peers never hear again after its clock was set back and it was restarted.
#[gtest]
fn verify_a_router_that_restarts_with_its_clock_set_back_is_heard_after_a_while() {
    let mut peer = Mesh::new(heartbeat(1), vec![heartbeat(2).address]);
    let life = |start| Heartbeat {
        incarnation: Incarnation(start),
        ..heartbeat(2)
    };
    let mut before = Mesh::new(life(9_000_000), vec![heartbeat(1).address]);
    let mut after = Mesh::new(life(5_000_000), vec![heartbeat(1).address]);
    let mut hears = |router: &mut Mesh, now: u64| {
        let now = Time(now);
        peer.round(now, 1);
        router.round(now, 1);
        let digest = router.digest(now, heartbeat(1).address, false, Vec::new());
        peer.receive(now, &digest) && peer.size(now) == 2
    };
    expect_true!(hears(&mut before, 1000));
    expect_false!(hears(&mut after, 3000));
    expect_true!(hears(&mut after, 31_100));
    expect_true!(hears(&mut after, 31_200));
}

/// Guards against cold endpoints that crash because routers that were suspended for long each take the parts of those
/// that they have not heard again yet.
#[gtest]
fn verify_routers_that_wake_after_a_long_pause_keep_the_bound_of_a_cold_endpoint() {
    let bound = 26;
    let mut keys: SlotMap<EndpointKey, ()> = SlotMap::with_key();
    let cold = ColdEndpoint {
        key: keys.insert(()),
        seed: 5,
        bound,
    };
    let all: Vec<u64> = (0..40).map(|n| score(7, n)).collect();
    let fleet = |me: u64, known: usize| Fleet {
        me,
        others: all
            .iter()
            .copied()
            .filter(|o| *o != me)
            .take(known)
            .collect(),
        expected: true,
    };
    let mut routers: Vec<(u64, Warmup)> = all.iter().map(|m| (*m, Warmup::default())).collect();
    for now in (0..=5000).step_by(100) {
        for (me, router) in &mut routers {
            router.follow(Time(now), &fleet(*me, 39), &[cold]);
        }
    }
    let quotas = |routers: &[(u64, Warmup)]| -> u32 {
        let quotas = routers.iter().map(|(_, r)| r.share(cold.seed, bound));
        quotas.sum()
    };
    expect_that!(quotas(&routers), all![ge(1), le(bound)]);
    for pause in PAUSES_MS.into_iter().chain([700_000]) {
        let woken = 10_000_000 + pause;
        let mut paused = routers.clone();
        for now in (5100..=10_000_000).step_by(100_000) {
            for (me, router) in &mut paused {
                router.follow(Time(now), &fleet(*me, 39), &[cold]);
            }
        }
        for (round, known) in [0, 1, 2, 4, 8, 16, 32, 39, 39].into_iter().enumerate() {
            for (me, router) in &mut paused {
                let now = Time(woken + 100 * round as u64);
                router.follow(now, &fleet(*me, known), &[cold]);
            }
            expect_that!(
                quotas(&paused),
                le(bound),
                "paused for {pause} ms, {known} known"
            );
        }
    }
}

/// Guards against a removed endpoint that comes back with an entry from before the pause, read from a copy that lags.
#[gtest]
fn verify_a_leaving_endpoint_stays_out_whatever_is_read_after_a_pause() {
    for pause in PAUSES_MS {
        let mut gateway = paused_gateway(2);
        let woken = Time(PAUSED_AT + pause);
        gateway.tick(woken);
        let mut leaving = entry(0);
        leaving.leaving = true;
        gateway.record_registry_read(woken, woken);
        gateway.apply_changes(woken, vec![Change::Entry(leaving)]);
        gateway.apply_changes(woken, vec![Change::Entry(entry(0))]);
        expect_that!(usable_count(&gateway), eq(1), "paused for {pause} ms");
    }
}
