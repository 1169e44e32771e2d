//! Tests of the quarantine of requests that crash endpoints: which are quarantined, for how long, and how the fleet
//! learns of them.

use bytes::Bytes;
use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Change, Gateway, Ticket,
        endpoint::Load,
        fingerprint::{
            Content,
            Fingerprint, //
        },
        mesh::{
            FANOUT,
            GOSSIP_INTERVAL, //
        },
        outcome::AttemptOutcome,
        quarantine::{
            self,
            MAX_DIGEST_CRASHES,
            MAX_DIGEST_RECORDS,
            MAX_SUSPECTS,
            MAX_SUSPECTS_PER_WORKSPACE,
            Policy,
            Quarantine, //
        },
        refusal::Cause,
    },
    ids::Tag,
    units::{
        Millis,
        Time, //
    },
};

use crate::fixture::{
    bounds,
    entry,
    gateway,
    request, //
};

/// Longest time until all routers know of the third crash.
const PROPAGATION_LIMIT: Millis = Millis(3000);
/// Records and crashes that a digest has room for.
const ROOM: (usize, usize) = (MAX_DIGEST_RECORDS, MAX_DIGEST_CRASHES);
/// Time until a request that crashes nothing is answered.
const ANSWER_TIME: Millis = Millis(40);

static WORKSPACE: Bytes = Bytes::from_static(b"one");

fn content(body: &str) -> Content<'_> {
    Content {
        workspace: Some(&WORKSPACE),
        parts: [b"POST", b"shop.example", b"/once/x", body.as_bytes()],
    }
}

fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::of(&content(body))
}

fn admit_request(gateway: &mut Gateway, now: Time, body: &str) -> Ticket {
    gateway.record_registry_read(now, now);
    let mut ticket = gateway
        .admit(now, &request("/once/x"))
        .expect("the request is admitted");
    ticket.content = Some(fingerprint(body));
    ticket
}

/// Sends a request whose endpoint breaks the connection at once.
fn send_crashing_request(gateway: &mut Gateway, now: Time, body: &str) {
    let mut ticket = admit_request(gateway, now, body);
    let placed = gateway.place(now, &ticket, &request("/once/x"));
    let placed = placed.expect("the request is not quarantined");
    gateway.sent(now, &mut ticket, placed.endpoint);
    gateway.ended(now, &mut ticket, placed.endpoint, AttemptOutcome::Broken);
    // The endpoint's port is closed afterwards.
    gateway.unreached(now, &mut ticket, placed.endpoint);
}

fn is_quarantined(gateway: &mut Gateway, now: Time, body: &str) -> bool {
    let ticket = admit_request(gateway, now, body);
    let placed = gateway.place(now, &ticket, &request("/once/x"));
    placed.is_err_and(|refusal| refusal.cause == Cause::Quarantined)
}

#[gtest]
fn verify_a_request_is_quarantined_after_its_third_crash() {
    let mut gateway = gateway(8);
    for n in 0..3 {
        let now = Time(1000 + n * 700);
        expect_false!(is_quarantined(&mut gateway, now, "a"));
        send_crashing_request(&mut gateway, now, "a");
    }
    let ticket = admit_request(&mut gateway, Time(3000), "a");
    let refusal = gateway.place(Time(3000), &ticket, &request("/once/x"));
    let refusal = refusal.expect_err("the request is quarantined");
    expect_that!(refusal.cause, eq(Cause::Quarantined));
    expect_false!(refusal.may_have_run);
    expect_that!(
        refusal.retry_after,
        some(ge(Millis(4000))),
        "an early retry can't succeed"
    );
    expect_false!(
        is_quarantined(&mut gateway, Time(3000), "b"),
        "other requests are served"
    );
}

/// Guards against a caller that corrects its request and is still refused.
#[gtest]
fn verify_the_fingerprint_covers_each_part_of_the_content() {
    let one = Bytes::from_static(b"one");
    let two = Bytes::from_static(b"two");
    let parts: [&[u8]; 4] = [b"POST", b"h", b"/p", b"body"];
    let fingerprint_of = |workspace, parts| Fingerprint::of(&Content { workspace, parts });
    let same = fingerprint_of(Some(&one), parts);
    expect_that!(fingerprint_of(Some(&one), parts), eq(same));
    for other in [
        fingerprint_of(Some(&two), parts),
        fingerprint_of(None, parts),
        fingerprint_of(Some(&one), [b"GET", b"h", b"/p", b"body"]),
        fingerprint_of(Some(&one), [b"POST", b"i", b"/p", b"body"]),
        fingerprint_of(Some(&one), [b"POST", b"h", b"/p?q=1", b"body"]),
        fingerprint_of(Some(&one), [b"POST", b"h", b"/p", b"bodY"]),
        fingerprint_of(Some(&one), [b"POST", b"h/", b"p", b"body"]),
    ] {
        expect_that!(other, not(eq(same)));
    }
}

/// Guards against quarantining a frequent request because the endpoints that ran it failed at the same time.
#[gtest]
fn verify_endpoints_that_fail_together_count_as_one_crash() {
    let mut gateway = gateway(8);
    let keys: Vec<_> = gateway.registry().usable().map(|(key, _)| key).collect();
    let sent = keys.iter().map(|key| {
        let mut ticket = admit_request(&mut gateway, Time(900), "a");
        gateway.sent(Time(900), &mut ticket, *key);
        (ticket, *key)
    });
    let sent: Vec<_> = sent.collect();
    for (n, (mut ticket, key)) in (0..).zip(sent) {
        gateway.ended(
            Time(1000 + n * 40),
            &mut ticket,
            key,
            AttemptOutcome::Broken,
        );
    }
    expect_false!(is_quarantined(&mut gateway, Time(1300), "a"));
    expect_false!(is_quarantined(&mut gateway, Time(5000), "a"));
}

/// Guards against taking the endpoints that one caller's request crashes in quick succession for a simultaneous
/// failure, and against quarantining a frequent request because of a simultaneous failure alone.
#[gtest]
fn verify_two_endpoints_that_fail_in_succession_count_as_two_crashes() {
    let mut gateway = gateway(8);
    for n in 0..4 {
        send_crashing_request(&mut gateway, Time(1000 + n * 40), "a");
    }
    expect_false!(is_quarantined(&mut gateway, Time(1200), "a"));
    expect_false!(is_quarantined(&mut gateway, Time(5000), "a"));
    send_crashing_request(&mut gateway, Time(5000), "a");
    expect_true!(is_quarantined(&mut gateway, Time(5100), "a"));
}

/// Sends a request whose endpoint answers without a proof that the answer is complete.
fn send_unproved_request(gateway: &mut Gateway, now: Time, body: &str) -> (Ticket, EndpointKey) {
    let mut ticket = admit_request(gateway, now, body);
    let placed = gateway.place(now, &ticket, &request("/once/x"));
    let endpoint = placed.expect("the request is not quarantined").endpoint;
    gateway.sent(now, &mut ticket, endpoint);
    ticket.unproved = true;
    gateway.record_unproved_answer(now, &ticket, endpoint, &content(body));
    gateway.ended(now, &mut ticket, endpoint, AttemptOutcome::Answered);
    (ticket, endpoint)
}

/// Guards against a request that crashes endpoints and is not quarantined: each answers without length and chunks, and its
/// end closes the connection between two events, which looks like a complete answer.
#[gtest]
fn verify_an_answer_that_ended_with_its_connection_and_endpoint_is_a_crash() {
    let mut gateway = gateway(8);
    for n in 0..3 {
        let now = Time(1000 + n * 700);
        expect_false!(is_quarantined(&mut gateway, now, "a"));
        let (mut ticket, endpoint) = send_unproved_request(&mut gateway, now, "a");
        gateway.unreached(now + Millis(20), &mut ticket, endpoint);
        gateway.tick(now + Millis(100));
    }
    expect_true!(is_quarantined(&mut gateway, Time(3000), "a"));
}

/// Guards against quarantining a request that endpoints answer without length and chunks.
#[gtest]
fn verify_an_answer_that_ended_with_its_connection_alone_is_complete() {
    let mut gateway = gateway(12);
    for n in 0..2 {
        send_crashing_request(&mut gateway, Time(1000 + n * 1000), "a");
    }
    send_unproved_request(&mut gateway, Time(2500), "a");
    gateway.tick(Time(2600));
    gateway.tick(Time(3100));
    for n in 0..5 {
        send_crashing_request(&mut gateway, Time(3200 + n * 300), "a");
    }
    // Earlier crashes no longer count, and a request that was answered needs more of them.
    expect_false!(is_quarantined(&mut gateway, Time(5500), "a"));
    send_crashing_request(&mut gateway, Time(5500), "a");
    expect_true!(is_quarantined(&mut gateway, Time(7000), "a"));
}

/// Guards against quarantining a request that endpoints answer.
#[gtest]
fn verify_a_complete_answer_clears_earlier_crashes() {
    for outcome in [AttemptOutcome::Answered, AttemptOutcome::Failed] {
        let mut gateway = gateway(12);
        send_crashing_request(&mut gateway, Time(1000), "a");
        send_crashing_request(&mut gateway, Time(2000), "a");
        let mut ticket = admit_request(&mut gateway, Time(2500), "a");
        let placed = gateway.place(Time(2500), &ticket, &request("/once/x"));
        let placed = placed.expect("the request is not quarantined");
        gateway.sent(Time(2500), &mut ticket, placed.endpoint);
        gateway.ended(
            Time(2500) + ANSWER_TIME,
            &mut ticket,
            placed.endpoint,
            outcome,
        );
        // Earlier crashes no longer count, and a request that was answered needs more of them.
        for n in 0..5 {
            send_crashing_request(&mut gateway, Time(3000 + n * 300), "a");
        }
        expect_false!(is_quarantined(&mut gateway, Time(5500), "a"));
        send_crashing_request(&mut gateway, Time(5500), "a");
        expect_true!(is_quarantined(&mut gateway, Time(7000), "a"));
    }
}

/// Guards against taking answers that are lost in the network, or connections that are reset, for crashes.
#[gtest]
fn verify_an_endpoint_that_still_answers_has_not_crashed() {
    let mut gateway = gateway(8);
    for n in 0..5 {
        let now = Time(1000 + n * 1000);
        let mut ticket = admit_request(&mut gateway, now, "a");
        let placed = gateway.place(now, &ticket, &request("/once/x"));
        let placed = placed.expect("the request is not quarantined");
        gateway.sent(now, &mut ticket, placed.endpoint);
        gateway.ended(now, &mut ticket, placed.endpoint, AttemptOutcome::Broken);
        // A request that was sent later is answered there.
        let after = now + Millis(300);
        let mut other = admit_request(&mut gateway, after, "b");
        gateway.sent(after, &mut other, placed.endpoint);
        gateway.confirm(&other, placed.endpoint);
        gateway.record_load(after, placed.endpoint, Load::default());
        gateway.ended(after, &mut other, placed.endpoint, AttemptOutcome::Answered);
        gateway.tick(after);
        expect_false!(is_quarantined(&mut gateway, now + Millis(900), "a"));
    }
    // The endpoints leave as planned later, which doesn't turn the broken connections into crashes.
    let removed = (0..8).map(|n| Change::Removed(entry(n).id));
    gateway.apply_changes(Time(9000), removed.collect());
    let returned = (10..14).map(|n| Change::Entry(entry(n)));
    gateway.apply_changes(Time(9100), returned.collect());
    expect_false!(is_quarantined(&mut gateway, Time(9200), "a"));
}

/// Guards against quarantining a frequent request that a new router sends to endpoints that have already crashed: a
/// proxy accepts the connections in their name and breaks them.
#[gtest]
fn verify_an_endpoint_that_has_crashed_does_not_crash_again() {
    for forwarded in [false, true] {
        let (mut one, mut other) = (gateway(8), gateway(8));
        for n in 0..4 {
            let now = Time(1000 + n * 100);
            let id = entry(u8::try_from(n).expect("the number fits")).id;
            break_connection(&mut one, now, &format!("fatal-{n}"), &id);
        }
        let records = one.digest_contents(Time(1300), 1).crashes;
        other.record_peer_crashes(Time(1310), &records);
        for n in 0..4 {
            let now = Time(1700 + n * 300);
            let id = entry(u8::try_from(n).expect("the number fits")).id;
            break_connection(&mut other, now, "a", &id);
            other.tick(now + Millis(50));
            if forwarded {
                let records = other.digest_contents(now + Millis(60), 1).crashes;
                one.record_peer_crashes(now + Millis(70), &records);
                one.tick(now + Millis(100));
            }
        }
        let checked = if forwarded { &mut one } else { &mut other };
        expect_false!(
            is_quarantined(checked, Time(4000), "a"),
            "records forwarded: {forwarded}"
        );
    }
}

/// Guards against taking the connections that a leaving endpoint closes for crashes.
#[gtest]
fn verify_an_endpoint_that_leaves_has_not_crashed() {
    let mut gateway = gateway(8);
    for n in 0..4 {
        let now = Time(1000 + n * 1000);
        let mut ticket = admit_request(&mut gateway, now, "a");
        let placed = gateway.place(now, &ticket, &request("/once/x"));
        let placed = placed.expect("the request is not quarantined");
        gateway.sent(now, &mut ticket, placed.endpoint);
        let listed = gateway
            .registry()
            .get(placed.endpoint)
            .expect("the endpoint is listed");
        let mut leaving = listed.entry.clone();
        leaving.leaving = true;
        gateway.apply_changes(now, vec![Change::Entry(leaving)]);
        gateway.ended(now, &mut ticket, placed.endpoint, AttemptOutcome::Broken);
    }
    expect_false!(is_quarantined(&mut gateway, Time(8000), "a"));
}

/// Counts how many of several repeats are admitted.
fn count_admitted(gateway: &mut Gateway, now: Time, repeats: usize) -> usize {
    let admits = |_: &usize| !is_quarantined(gateway, now, "a");
    (0..repeats).filter(admits).count()
}

/// Guards against quarantining a harmless request forever, and against all routers admitting a trial at the same
/// time.
#[gtest]
fn verify_one_trial_is_admitted_after_the_quarantine_and_its_crash_extends_it() {
    let hold_ms = bounds().hold.first.0;
    let mut gateway = gateway(8);
    gateway.fleet(Time(0), 7);
    for n in 0..3 {
        send_crashing_request(&mut gateway, Time(1000 + n * 1000), "a");
    }
    expect_that!(
        count_admitted(&mut gateway, Time(3000 + hold_ms - 1), 200),
        eq(0)
    );
    expect_that!(
        count_admitted(&mut gateway, Time(3000 + hold_ms), 200),
        eq(1)
    );
    // The next trial may follow only once this one has had time to end.
    expect_that!(
        count_admitted(&mut gateway, Time(3000 + hold_ms + 1000), 200),
        eq(0)
    );
    expect_that!(
        count_admitted(&mut gateway, Time(3000 + hold_ms + 3000), 200),
        eq(1)
    );
    // The trial crashes another endpoint, which counts at once.
    let crashed_at = Time(3000 + hold_ms + 3100);
    let records = vec![quarantine::Record {
        request: fingerprint("a"),
        is_part: false,
        crashes: vec![quarantine::CrashReport {
            endpoint: Tag(9),
            age: Millis(0),
            ran: Millis(100),
        }],
        answered: None,
    }];
    gateway.record_peer_crashes(crashed_at, &records);
    let trial_at = crashed_at + Millis(hold_ms * 12);
    expect_that!(
        count_admitted(&mut gateway, trial_at - Millis(1), 200),
        eq(0)
    );
    expect_that!(count_admitted(&mut gateway, trial_at, 200), eq(1));
}

/// Guards against counting crashes by requests that were sent before the fleet knew of the quarantine as failed
/// trials.
#[gtest]
fn verify_crashes_by_requests_already_in_progress_do_not_extend_the_quarantine() {
    let hold_ms = bounds().hold.first.0;
    let mut gateway = gateway(8);
    for n in 0..3 {
        send_crashing_request(&mut gateway, Time(1000 + n * 700), "a");
    }
    let crashes = |n: u32| quarantine::CrashReport {
        endpoint: Tag(n),
        age: Millis(u64::from(n) * 300),
        ran: Millis(100),
    };
    let records = vec![quarantine::Record {
        request: fingerprint("a"),
        is_part: false,
        crashes: (0..3).map(crashes).collect(),
        answered: None,
    }];
    gateway.record_peer_crashes(Time(3400), &records);
    expect_that!(
        count_admitted(&mut gateway, Time(3400 + hold_ms - 1), 200),
        eq(0)
    );
    expect_that!(
        count_admitted(&mut gateway, Time(3400 + hold_ms), 200),
        eq(1)
    );
}

/// Guards against quarantining a frequent request because it was in progress at each endpoint that another
/// request crashed.
#[gtest]
fn verify_a_request_that_was_answered_before_needs_more_crashes() {
    let mut gateway = gateway(12);
    let parts: [&[u8]; 4] = [b"POST", b"shop.example", b"/once/x", b"a"];
    let workspace = Bytes::from_static(b"one");
    let answered = Content {
        workspace: Some(&workspace),
        parts,
    };
    gateway.record_complete_answer(Time(500), &answered);
    for n in 0..5 {
        send_crashing_request(&mut gateway, Time(1000 + n * 300), "a");
        expect_that!(
            gateway.identify(Time(1000), &answered),
            eq(fingerprint("a"))
        );
    }
    expect_false!(is_quarantined(&mut gateway, Time(4000), "a"));
    send_crashing_request(&mut gateway, Time(4000), "a");
    expect_true!(is_quarantined(&mut gateway, Time(6000), "a"));
}

/// Guards against a router that keeps a request quarantined that all others have seen answered.
#[gtest]
fn verify_a_router_that_missed_the_answer_is_informed_again() {
    let mut one = gateway(8);
    let mut other = gateway(8);
    for n in 0..3 {
        send_crashing_request(&mut other, Time(1000 + n * 300), "a");
    }
    let records = other.digest_contents(Time(2000), 1).crashes;
    one.record_peer_crashes(Time(2000), &records);
    let mut ticket = admit_request(&mut one, Time(2500), "b");
    ticket.content = Some(fingerprint("a"));
    let key = one
        .registry()
        .usable()
        .next()
        .expect("an endpoint is usable")
        .0;
    one.sent(Time(2500), &mut ticket, key);
    one.ended(Time(2600), &mut ticket, key, AttemptOutcome::Answered);
    // `other` receives nothing for a long time.
    let later = Time(8000);
    expect_that!(one.digest_contents(later, 1).crashes, is_empty());
    let records = other.digest_contents(later, 1).crashes;
    one.record_peer_crashes(later, &records);
    let records = one.digest_contents(later + GOSSIP_INTERVAL, 1).crashes;
    other.record_peer_crashes(later + GOSSIP_INTERVAL, &records);
    expect_false!(is_quarantined(&mut other, later + GOSSIP_INTERVAL, "a"));
}

#[gtest]
fn verify_a_hold_time_of_zero_disables_the_quarantine() {
    let mut gateway = gateway(8);
    for n in 0..3 {
        send_crashing_request(&mut gateway, Time(1000 + n * 1000), "a");
    }
    expect_true!(is_quarantined(&mut gateway, Time(4500), "a"));
    let hold = Policy { first: Millis(0) };
    gateway.set_bounds(toucanturn_core::gateway::settings::Bounds { hold, ..bounds() });
    expect_false!(is_quarantined(&mut gateway, Time(4500), "a"));
}

/// Guards against a workspace that evicts the crash records of others, or fills the memory.
#[gtest]
fn verify_records_are_limited_per_workspace() {
    let mut table = Quarantine::default();
    let record_key = |workspace, content| Fingerprint { workspace, content };
    let always_ended = |_, _| toucanturn_core::gateway::endpoint::Liveness::Dead;
    let policy = bounds().hold;
    let kept = record_key(1, 7);
    for n in 0..3 {
        table.crashed(Time(1000 + u64::from(n) * 1000), kept, Tag(n), Time(0));
    }
    for n in 0..10_000 {
        let content = u64::from(n);
        table.crashed(
            Time(4000 + content),
            record_key(2, content),
            Tag(n),
            Time(0),
        );
    }
    expect_that!(table.len(), eq(MAX_SUSPECTS_PER_WORKSPACE + 1));
    expect_that!(
        table.verdict(Time(20_000), kept, policy, always_ended),
        some(anything())
    );
    for n in 0..10_000 {
        let content = u64::from(n);
        let other = record_key(3 + n % 50, content);
        table.crashed(Time(20_000 + content), other, Tag(n), Time(0));
    }
    expect_that!(table.len(), eq(MAX_SUSPECTS));
    expect_that!(
        table.verdict(Time(30_000), kept, policy, always_ended),
        some(anything()),
        "records with the most crashes are kept"
    );
    expect_false!(
        table.has_suspects(999),
        "a workspace without records isn't watched"
    );
}

/// Has an endpoint break its connection while it runs a request of a router.
fn break_connection(router: &mut Gateway, now: Time, body: &str, id: &Bytes) {
    let mut ticket = admit_request(router, now, body);
    let listed = router.registry().usable();
    let keys: Vec<_> = listed.filter(|(_, e)| e.entry.id == *id).collect();
    let key = keys[0].0;
    router.sent(now, &mut ticket, key);
    router.ended(now, &mut ticket, key, AttemptOutcome::Broken);
}

/// `Fleet` is several routers that exchange records as their digests do.
struct Fleet {
    routers: Vec<Gateway>,
    rng: StdRng,
    now: Time,
    /// Number of records sent.
    sent_records: usize,
    /// Number of endpoints that have crashed.
    crashed_endpoints: u8,
    /// Index at which a partition splits the fleet: routers below it and the others don't reach each other.
    partition: Option<usize>,
}

impl Fleet {
    fn new(routers: usize) -> Self {
        Self {
            routers: (0..routers).map(|_| gateway(60)).collect(),
            rng: StdRng::seed_from_u64(11),
            now: Time(1000),
            sent_records: 0,
            crashed_endpoints: 0,
            partition: None,
        }
    }

    fn run_round(&mut self) {
        self.now = self.now + GOSSIP_INTERVAL;
        let now = self.now;
        for n in 0..self.routers.len() {
            self.routers[n].tick(now);
            let records = self.routers[n].digest_contents(now, 1).crashes;
            self.sent_records += records.len();
            for _ in 0..FANOUT {
                let to = self.rng.random_range(0..self.routers.len());
                let reachable = self.partition.is_none_or(|at| (n < at) == (to < at));
                if reachable {
                    self.routers[to].record_peer_crashes(now, &records);
                }
            }
        }
    }

    fn run_for(&mut self, time: Millis) {
        for _ in 0..time.0 / GOSSIP_INTERVAL.0 {
            self.run_round();
        }
    }

    fn random_router(&mut self) -> &mut Gateway {
        let pick = self.rng.random_range(0..self.routers.len());
        &mut self.routers[pick]
    }

    /// Counts the routers that admit a request.
    fn count_admitting(&mut self, body: &str) -> usize {
        let now = self.now;
        let admits = |g: &mut Gateway| !is_quarantined(g, now, body);
        self.routers
            .iter_mut()
            .map(admits)
            .filter(|admitted| *admitted)
            .count()
    }

    /// Crashes an endpoint that runs the fatal request and `others` unrelated ones, each sent by a random router.
    fn crash_endpoint(&mut self, others: usize) {
        let id = entry(self.crashed_endpoints).id;
        self.crashed_endpoints += 1;
        let now = self.now;
        let bodies = (0..others).map(|n| format!("{}-{n}", now.0));
        for body in bodies.chain(["fatal".to_owned()]) {
            break_connection(self.random_router(), now, &body, &id);
        }
    }
}

/// Guards against three crashes that three routers saw, one each, of which no router learns all.
#[gtest]
fn verify_all_routers_learn_of_three_crashes_in_time() {
    for routers in [7, 89, 295] {
        let mut fleet = Fleet::new(routers);
        for _ in 0..3 {
            fleet.crash_endpoint(12);
            fleet.run_for(Millis(700));
        }
        // The third crash was 700 ms ago.
        fleet.run_for(Millis(PROPAGATION_LIMIT.0 - 700));
        expect_that!(
            fleet.count_admitting("fatal"),
            eq(0),
            "of {routers} routers"
        );
    }
}

/// Guards against a router that starts later, or was partitioned, and admits a request that all others quarantine.
#[gtest]
fn verify_a_router_that_starts_later_learns_of_quarantined_requests() {
    let mut fleet = Fleet::new(20);
    for _ in 0..3 {
        fleet.crash_endpoint(12);
        fleet.run_for(Millis(700));
    }
    fleet.run_for(Millis(10_000));
    fleet.routers[3] = gateway(60);
    fleet.run_for(PROPAGATION_LIMIT);
    let now = fleet.now;
    let ticket = admit_request(&mut fleet.routers[3], now, "fatal");
    expect_that!(fleet.routers[3].verdict(now, &ticket), some(anything()));
}

/// Guards against one side of a partition that, after it has healed, still sends what the other side quarantined.
#[gtest]
fn verify_quarantined_requests_become_known_after_a_partition_heals() {
    let mut fleet = Fleet::new(30);
    fleet.partition = Some(15);
    for _ in 0..3 {
        let now = fleet.now;
        let id = entry(fleet.crashed_endpoints).id;
        fleet.crashed_endpoints += 1;
        break_connection(&mut fleet.routers[0], now, "fatal", &id);
        fleet.run_for(Millis(700));
    }
    fleet.run_for(Millis(4000));
    expect_that!(
        fleet.count_admitting("fatal"),
        eq(15),
        "the other side of the partition"
    );
    fleet.partition = None;
    fleet.run_for(PROPAGATION_LIMIT);
    let now = fleet.now;
    for router in &mut fleet.routers {
        let ticket = admit_request(router, now, "fatal");
        expect_that!(router.verdict(now, &ticket), some(anything()));
    }
}

/// Guards against records that are never sent because others always come first.
#[gtest]
fn verify_each_record_is_sent() {
    for requests in [7, 10, 16] {
        let mut table = Quarantine::default();
        for n in 0..requests {
            let record_key = Fingerprint {
                workspace: 1,
                content: n,
            };
            for endpoint in 0..=n % 5 {
                let tag = Tag(u32::try_from(10 * n + endpoint).expect("the number fits"));
                table.crashed(Time(1000 + endpoint), record_key, tag, Time(0));
            }
        }
        let mut sent = std::collections::HashSet::new();
        for round in 0..28 {
            let records = table.records(Time(1100) + Millis(round * GOSSIP_INTERVAL.0), ROOM);
            sent.extend(records.into_iter().map(|r| r.request));
        }
        expect_that!(sent.len() as u64, eq(requests));
    }
}

/// Guards against sending the record of a complete answer only after a hundred unrelated crashes.
#[gtest]
fn verify_records_of_answers_are_sent_before_unrelated_crashes() {
    let mut table = Quarantine::default();
    let record_key = |content| Fingerprint {
        workspace: 1,
        content,
    };
    for n in 0..60 {
        let tag = Tag(u32::try_from(n).expect("the number fits"));
        table.crashed(Time(1000), record_key(n), tag, Time(0));
    }
    // Many requests are answered by another endpoint, one of them repeatedly.
    for n in 20..60 {
        table.answered(Time(1100), record_key(n));
    }
    table.answered(Time(1100), record_key(59));
    let mut rounds =
        (1..5).map(|n| table.records(Time(1100) + Millis(n * GOSSIP_INTERVAL.0), ROOM));
    let sent = rounds.any(|records| records.iter().any(|r| r.request == record_key(59)));
    expect_true!(sent);
}

/// Guards against digests that keep reporting requests that no router quarantines.
#[gtest]
fn verify_records_of_requests_that_are_not_quarantined_are_sent_for_a_short_time() {
    let mut fleet = Fleet::new(20);
    fleet.crash_endpoint(12);
    fleet.run_for(Millis(10_000));
    let before = fleet.sent_records;
    fleet.run_for(Millis(5000));
    expect_that!(fleet.sent_records, eq(before));
}

#[gtest]
fn verify_workspaces_without_records_are_not_watched() {
    let mut gateway = gateway(4);
    let ticket = admit_request(&mut gateway, Time(1000), "a");
    expect_false!(gateway.has_suspects(&ticket));
    send_crashing_request(&mut gateway, Time(1000), "a");
    expect_true!(gateway.has_suspects(&ticket));
}
