//! Tests of the quarantine of prompt parts that crash endpoints: which are quarantined, which are not, for how long, and
//! how the fleet learns of them.

use std::collections::BTreeSet;

use bytes::Bytes;
use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use toucanturn_core::{
    gateway::{
        Change, Gateway, Ticket,
        endpoint::Liveness,
        fingerprint::Content,
        incoming_request::{
            IncomingRequest,
            Part,
            Prompt, //
        },
        mesh::{
            FANOUT,
            GOSSIP_INTERVAL, //
        },
        outcome::{
            AttemptOutcome,
            NextStep, //
        },
        quarantine::{
            Crash,
            MAX_DIGEST_CRASHES,
            MAX_DIGEST_RECORDS,
            Policy as QuarantinePolicy,
            parts::{
                ANY_WORKSPACE,
                MAX_PART_SUSPECTS,
                MAX_PART_SUSPECTS_PER_WORKSPACE,
                PART_THRESHOLD_ANSWERED,
                PartQuarantine,
                PromptParts, //
            }, //
        },
        refusal::Cause,
        settings::Bounds,
        warmup::Fleet as Members,
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

/// Part that all prompts begin with.
const ROOT: u64 = 1;
/// Part that crashes endpoints.
const FATAL: u64 = 1 << 40;
/// Time after the fifth crash from which at most [`MAX_LATE`] requests with the part may reach endpoints.
const HOLD_BACK_DELAY: Millis = Millis(3000);
const MAX_LATE: usize = 3;
/// Sound requests that a router answers in a round of gossip: 20 a second.
const ANSWERS_PER_ROUND: usize = 2;
/// Service of prompts whose records are made directly.
static SERVICE: Bytes = Bytes::from_static(b"llm");
/// A day.
const DAY: Millis = Millis(24 * 3600 * 1000);
/// Records and crashes that a digest has room for.
const ROOM: (usize, usize) = (MAX_DIGEST_RECORDS, MAX_DIGEST_CRASHES);

fn prompt_request(shared: &[u64]) -> IncomingRequest {
    let part = |id| Part { id, tokens: 100 };
    let own = [900_000];
    let parts = shared.iter().chain(&own).map(|id| part(*id)).collect();
    IncomingRequest {
        prompt: Some(Prompt {
            model: Bytes::from_static(b"m"),
            parts,
            input: 300,
            output: 50,
        }),
        ..request("/chat/x")
    }
}

fn admit(gateway: &mut Gateway, now: Time, shared: &[u64]) -> Ticket {
    gateway.record_registry_read(now, now);
    let ticket = gateway.admit(now, &prompt_request(shared));
    ticket.expect("the request is admitted")
}

/// Places a request; `None` if the quarantine holds it back.
fn place(gateway: &mut Gateway, now: Time, shared: &[u64]) -> Option<Ticket> {
    let mut ticket = admit(gateway, now, shared);
    match gateway.place(now, &ticket, &prompt_request(shared)) {
        Ok(placed) => {
            gateway.sent(now, &mut ticket, placed.endpoint);
            Some(ticket)
        }
        Err(refusal) => {
            assert_that!(refusal.cause, eq(Cause::PartQuarantined));
            expect_false!(refusal.may_have_run);
            None
        }
    }
}

/// Ends the last attempt of a request by the crash of its endpoint.
fn crash(gateway: &mut Gateway, now: Time, ticket: &mut Ticket) -> NextStep {
    let endpoint = *ticket.tried.last().expect("it was sent");
    let next = gateway.ended(now, ticket, endpoint, AttemptOutcome::Broken);
    let id = gateway.registry().get(endpoint).map(|e| e.entry.id.clone());
    gateway.apply_changes(now, vec![Change::Removed(id.expect("it is listed"))]);
    next
}

fn send_crashing(gateway: &mut Gateway, now: Time, shared: &[u64]) {
    let ticket = place(gateway, now, shared);
    let mut ticket = ticket.expect("the request is not held back");
    crash(gateway, now, &mut ticket);
}

fn answer(gateway: &mut Gateway, now: Time, shared: &[u64], succeeds: bool) {
    let ticket = place(gateway, now, shared);
    let mut ticket = ticket.expect("the request is not held back");
    ticket.succeeded = succeeds;
    let endpoint = ticket.tried[0];
    gateway.ended(now, &mut ticket, endpoint, AttemptOutcome::Answered);
}

fn is_held(gateway: &mut Gateway, now: Time, shared: &[u64]) -> bool {
    let ticket = admit(gateway, now, shared);
    let placed = gateway.place(now, &ticket, &prompt_request(shared));
    placed.is_err_and(|refusal| refusal.cause == Cause::PartQuarantined)
}

/// Guards against a part that crashes one endpoint after the other in requests that have nothing else in common.
#[gtest]
fn verify_a_part_is_held_back_after_its_third_crash() {
    let mut gateway = gateway(8);
    for n in 0..3 {
        let now = Time(1000 + n * 700);
        send_crashing(&mut gateway, now, &[ROOT, FATAL, 100 + n]);
        answer(&mut gateway, now + Millis(100), &[ROOT, 50], true);
    }
    let now = Time(3000);
    let ticket = admit(&mut gateway, now, &[ROOT, 7, FATAL]);
    let refusal = gateway.place(now, &ticket, &prompt_request(&[ROOT, 7, FATAL]));
    let refusal = refusal.expect_err("the part is quarantined");
    expect_that!(refusal.cause, eq(Cause::PartQuarantined));
    expect_false!(refusal.may_have_run);
    expect_that!(refusal.retry_after, some(ge(Millis(4000))));
    for sound in [[ROOT, 50], [ROOT, 101], [ROOT, 8]] {
        expect_false!(is_held(&mut gateway, now, &sound), "{sound:?}");
    }
}

/// Guards against requests that are held back for their last part, which belongs to one session.
#[gtest]
fn verify_the_last_part_is_no_suspect() {
    let mut gateway = gateway(8);
    for n in 0..4 {
        // The last part of all these requests is the same.
        send_crashing(&mut gateway, Time(1000 + n * 700), &[200 + n]);
    }
    expect_false!(is_held(&mut gateway, Time(4000), &[7]));
}

#[gtest]
fn verify_a_part_that_is_listed_twice_counts_once() {
    let mut gateway = gateway(8);
    send_crashing(&mut gateway, Time(1000), &[FATAL, FATAL, FATAL]);
    expect_false!(is_held(&mut gateway, Time(1600), &[FATAL]));
}

#[gtest]
fn verify_only_a_complete_answer_with_success_clears_a_part() {
    for (succeeds, held) in [(true, false), (false, true)] {
        let mut gateway = gateway(8);
        for n in 0..2 {
            send_crashing(&mut gateway, Time(1000 + n * 700), &[ROOT, FATAL]);
        }
        answer(&mut gateway, Time(2000), &[ROOT, FATAL], succeeds);
        send_crashing(&mut gateway, Time(2400), &[ROOT, FATAL]);
        expect_that!(is_held(&mut gateway, Time(3000), &[ROOT, FATAL]), eq(held));
    }
}

/// Guards against the quarantine of a sound part that was in each request that crashed an endpoint.
#[gtest]
fn verify_a_part_whose_crashes_another_one_explains_is_served_alone() {
    let mut gateway = gateway(8);
    for n in 0..3 {
        let now = Time(1000 + n * 700);
        send_crashing(&mut gateway, now, &[ROOT, FATAL, 9]);
        answer(&mut gateway, now + Millis(100), &[ROOT, 50], true);
    }
    let now = Time(3000);
    expect_true!(is_held(&mut gateway, now, &[ROOT, FATAL, 9]));
    expect_false!(is_held(&mut gateway, now, &[ROOT, 9]));
    answer(&mut gateway, now, &[ROOT, 9], true);
    expect_true!(
        is_held(&mut gateway, now, &[ROOT, FATAL]),
        "nothing but the part is left"
    );
}

/// Guards against a fatal part that goes on crashing endpoints, as a popular part of other requests was in progress at each
/// crash.
#[gtest]
fn verify_a_part_that_was_answered_recently_explains_no_other() {
    let popular = [2, 50];
    let mut gateway = gateway(8);
    answer(&mut gateway, Time(900), &popular, true);
    for n in 0..3 {
        let now = Time(1000 + n * 700);
        let mut fatal = place(&mut gateway, now, &[ROOT, FATAL]).expect("it is served");
        let mut other = admit(&mut gateway, now, &popular);
        gateway.sent(now, &mut other, fatal.tried[0]);
        let endpoint = fatal.tried[0];
        gateway.ended(now, &mut other, endpoint, AttemptOutcome::Broken);
        crash(&mut gateway, now, &mut fatal);
    }
    let now = Time(3000);
    expect_true!(is_held(&mut gateway, now, &[ROOT, FATAL]));
    expect_false!(is_held(&mut gateway, now, &popular));
}

/// Guards against a popular part that is held back since it was in progress at a few crashes in a row.
#[gtest]
fn verify_a_part_that_was_answered_recently_needs_more_crashes_and_time() {
    let mut gateway = gateway(12);
    answer(&mut gateway, Time(900), &[ROOT, FATAL], true);
    for n in 0..PART_THRESHOLD_ANSWERED as u64 {
        let now = Time(1000 + n * 260);
        expect_false!(is_held(&mut gateway, now, &[ROOT, FATAL]), "after {n}");
        send_crashing(&mut gateway, now, &[ROOT, FATAL, 100 + n]);
        answer(&mut gateway, now + Millis(10), &[ROOT, 50], true);
    }
    expect_false!(is_held(&mut gateway, Time(2300), &[ROOT, FATAL]));
    expect_true!(is_held(&mut gateway, Time(2600), &[ROOT, FATAL]));
}

/// Guards against an outage that goes on as a part that all prompts have is held back, although no endpoint answered anyone.
#[gtest]
fn verify_a_part_that_all_prompts_have_is_served_after_an_outage() {
    let mut gateway = gateway(12);
    answer(&mut gateway, Time(900), &[ROOT, 50], true);
    for n in 0..2 * PART_THRESHOLD_ANSWERED as u64 {
        send_crashing(&mut gateway, Time(1000 + n * 300), &[ROOT, 100 + n]);
    }
    let now = Time(6000);
    expect_false!(is_held(&mut gateway, now, &[ROOT, 50]));
    answer(&mut gateway, now, &[60], true);
    expect_true!(
        is_held(&mut gateway, now, &[ROOT, 50]),
        "others are answered"
    );
}

/// Guards against a part in use that is held back in an outage, as the few answers that there are happen to be to others.
#[gtest]
fn verify_a_part_without_answers_is_held_back_only_while_others_are_answered_as_usual() {
    for (pause, held) in [(50, true), (400, false)] {
        let mut gateway = gateway(12);
        answer(&mut gateway, Time(1000), &[ROOT, 60], true);
        let usual = (1000..4000).step_by(50);
        for at in usual {
            answer(&mut gateway, Time(at), &[ROOT, 50], true);
        }
        for at in (4000..6000).step_by(10) {
            if at < 5500 && at % 300 == 0 {
                send_crashing(&mut gateway, Time(at), &[ROOT, 60]);
            }
            if at % pause == 0 {
                answer(&mut gateway, Time(at), &[ROOT, 50], true);
            }
        }
        let now = Time(6000);
        expect_that!(
            is_held(&mut gateway, now, &[ROOT, 60]),
            eq(held),
            "{pause} ms"
        );
        expect_false!(is_held(&mut gateway, now, &[ROOT, 50]));
    }
}

/// Guards against callers who lose their second attempt by a quarantine that is turned off.
#[gtest]
fn verify_a_hold_time_of_zero_forbids_no_second_attempt() {
    let mut gateway = gateway(8);
    gateway.set_bounds(Bounds {
        hold: QuarantinePolicy { first: Millis(0) },
        ..bounds()
    });
    for n in 0..4 {
        let now = Time(1000 + n * 700);
        let ticket = place(&mut gateway, now, &[ROOT, FATAL]);
        let mut ticket = ticket.expect("the request is not held back");
        expect_that!(
            crash(&mut gateway, now, &mut ticket),
            eq(NextStep::Again),
            "after {n}"
        );
    }
}

/// Guards against a request that crashes as many endpoints as its route has attempts, each time that it comes.
#[gtest]
fn verify_a_request_with_a_suspected_part_gets_no_second_attempt() {
    let mut gateway = gateway(8);
    let mut next = |now, shared: &[u64]| {
        let mut ticket = place(&mut gateway, now, shared).expect("it is not held back");
        crash(&mut gateway, now, &mut ticket)
    };
    expect_that!(next(Time(1000), &[ROOT, FATAL]), eq(NextStep::Again));
    expect_that!(next(Time(1700), &[ROOT, FATAL]), eq(NextStep::GiveUp));
    expect_that!(
        next(Time(1800), &[77]),
        eq(NextStep::Again),
        "most break off by another's fault"
    );
}

fn always_ended(_: Tag, _: Time) -> Liveness {
    Liveness::Dead
}

fn crash_at(endpoint: u32, at: Time) -> Crash {
    Crash {
        endpoint: Tag(endpoint),
        sent: at,
        at,
        observed_here: true,
    }
}

fn parts_of(workspace: u32, parts: &[u64]) -> PromptParts<'_> {
    PromptParts {
        workspace,
        parts,
        service: &SERVICE,
    }
}

fn verdict_exists(table: &PartQuarantine, now: Time, workspace: u32, parts: &[u64]) -> bool {
    let prompt = parts_of(workspace, parts);
    let verdict = table.verdict(now, prompt, bounds().hold, always_ended);
    verdict.is_some()
}

/// Guards against a workspace that has another one's requests held back, by naming a part of theirs beside one that
/// crashes endpoints.
#[gtest]
fn verify_crashes_of_one_workspace_hold_back_no_other() {
    let mut table = PartQuarantine::default();
    for n in 0..4 {
        let at = Time(1000 + 700 * u64::from(n));
        let parts = [FATAL, 1000 + u64::from(n)];
        let prompt = parts_of(1, &parts);
        table.crashed(at, prompt, crash_at(n, at));
    }
    let now = Time(4000);
    expect_true!(verdict_exists(&table, now, 1, &[FATAL]));
    expect_false!(verdict_exists(&table, now, 2, &[FATAL]));
    let prompt = parts_of(2, &[FATAL]);
    table.crashed(now, prompt, crash_at(9, now));
    expect_true!(verdict_exists(&table, now, 2, &[FATAL]));
    expect_true!(verdict_exists(&table, now, 3, &[FATAL]), "it crashes any");
    let records = (0..4).flat_map(|_| table.records(now, ROOM));
    let scopes: BTreeSet<u32> = records.map(|r| r.request.workspace).collect();
    expect_true!(scopes.contains(&ANY_WORKSPACE));
}

/// Guards against a workspace that evicts the records of others, or fills the memory, with new parts.
#[gtest]
fn verify_records_of_parts_are_limited_per_workspace() {
    let mut table = PartQuarantine::default();
    for n in 0..3 {
        let at = Time(1000 + 1000 * u64::from(n));
        let prompt = parts_of(1, &[FATAL]);
        table.crashed(at, prompt, crash_at(n, at));
    }
    let mut flood = |workspaces: u32| {
        for n in 0..10_000_u32 {
            let at = Time(4000 + u64::from(n));
            let parts = [10_000 + u64::from(n)];
            let prompt = parts_of(2 + n % workspaces, &parts);
            table.crashed(at, prompt, crash_at(100 + n, at));
            table.answered(at, at, parts_of(2, &[1_000_000 + u64::from(n)]));
        }
        let held = verdict_exists(&table, Time(20_000), 1, &[FATAL]);
        (table.len(), held)
    };
    expect_that!(flood(1), eq((MAX_PART_SUSPECTS_PER_WORKSPACE + 1, true)));
    expect_that!(flood(50), eq((MAX_PART_SUSPECTS, true)));
}

/// `Fleet` is several routers that exchange records as their digests do.
struct Fleet {
    routers: Vec<Gateway>,
    rng: StdRng,
    now: Time,
    crashed_endpoints: u8,
    /// Shared parts besides the first that sound prompts have; 0 for no sound requests in [`Fleet::run_for`].
    parts: u64,
    /// Sound requests that were held back.
    refused: usize,
}

impl Fleet {
    fn new(routers: usize) -> Self {
        let mut fleet = Self {
            routers: (0..routers).map(|_| gateway(200)).collect(),
            rng: StdRng::seed_from_u64(5),
            now: Time(1000),
            crashed_endpoints: 0,
            parts: 0,
            refused: 0,
        };
        fleet.update_members();
        fleet
    }

    fn update_members(&mut self) {
        let hash = |n: usize| 1 + n as u64;
        let all: Vec<u64> = (0..self.routers.len()).map(hash).collect();
        for (n, router) in self.routers.iter_mut().enumerate() {
            let others = all.iter().copied().filter(|o| *o != hash(n));
            let members = Members {
                me: hash(n),
                others: others.collect(),
                expected: true,
            };
            router.update_fleet(self.now, &members);
        }
    }

    fn run_for(&mut self, time: Millis) {
        for _ in 0..time.0 / GOSSIP_INTERVAL.0 {
            self.now = self.now + GOSSIP_INTERVAL;
            let now = self.now;
            for n in 0..self.routers.len() {
                self.serve(n);
                self.routers[n].tick(now);
                let draw = self.rng.random();
                let records = self.routers[n].digest_contents(now, draw).crashes;
                for _ in 0..FANOUT {
                    let to = self.rng.random_range(0..self.routers.len());
                    self.routers[to].record_peer_crashes(now, &records);
                }
            }
        }
    }

    /// Answers sound requests at a router, as many as come in a round.
    fn serve(&mut self, router: usize) {
        for _ in 0..ANSWERS_PER_ROUND.min(usize::try_from(self.parts).unwrap_or(usize::MAX)) {
            let shared = self.random_prompt();
            let router = &mut self.routers[router];
            if is_held(router, self.now, &shared) {
                self.refused += 1;
            } else {
                answer(router, self.now, &shared, true);
            }
        }
    }

    fn random_prompt(&mut self) -> Vec<u64> {
        vec![ROOT, 100 + self.rng.random_range(0..self.parts)]
    }

    fn random_router(&mut self) -> usize {
        self.rng.random_range(0..self.routers.len())
    }

    /// Crashes an endpoint that runs these prompts, each sent by a random router.
    fn crash_endpoint(&mut self, prompts: &[Vec<u64>]) {
        let id = entry(self.crashed_endpoints).id;
        self.crashed_endpoints += 1;
        let now = self.now;
        for shared in prompts {
            let router = self.random_router();
            let router = &mut self.routers[router];
            let mut ticket = admit(router, now, shared);
            let mut listed = router.registry().usable();
            let key = listed.find(|(_, e)| e.entry.id == id).map(|(key, _)| key);
            let Some(key) = key else { continue };
            drop(listed);
            router.sent(now, &mut ticket, key);
            router.ended(now, &mut ticket, key, AttemptOutcome::Broken);
        }
        self.remove(&id);
    }

    /// Removes an endpoint that has ended from the registry.
    fn remove(&mut self, id: &Bytes) {
        for router in &mut self.routers {
            router.apply_changes(self.now, vec![Change::Removed(id.clone())]);
        }
    }

    /// Answers a prompt at a random router.
    fn answer(&mut self, shared: &[u64]) {
        let now = self.now;
        let router = self.random_router();
        answer(&mut self.routers[router], now, shared, true);
    }

    fn count_admitting(&mut self, shared: &[u64]) -> usize {
        let now = self.now;
        let routers = self.routers.iter_mut();
        routers
            .filter_map(|r| (!is_held(r, now, shared)).then_some(()))
            .count()
    }
}

/// Guards against routers that never learn of the part, as the parts of all others in progress compete with it.
#[gtest]
fn verify_all_routers_learn_of_a_part_beside_forty_others() {
    for (routers, parts) in [(7, 50), (86, 50), (295, 50), (86, 1000), (295, 1000)] {
        let mut fleet = Fleet::new(routers);
        fleet.parts = parts;
        fleet.run_for(Millis(1000));
        for crash in 0..5 {
            let mut prompts: Vec<Vec<u64>> = (0..40).map(|_| fleet.random_prompt()).collect();
            prompts.push(vec![ROOT, FATAL, 5000 + crash]);
            fleet.crash_endpoint(&prompts);
            fleet.run_for(Millis(300));
        }
        fleet.run_for(HOLD_BACK_DELAY);
        let admitting = fleet.count_admitting(&[ROOT, FATAL]);
        expect_that!(admitting, eq(0), "of {routers} routers, {parts} parts");
        expect_that!(fleet.refused, eq(0), "{routers} routers, {parts} parts");
    }
}

/// Guards against a router that starts later and sends requests with the part to endpoints.
#[gtest]
fn verify_a_router_that_starts_later_learns_of_held_parts() {
    let mut fleet = Fleet::new(20);
    for n in 0..3 {
        fleet.crash_endpoint(&[vec![ROOT, FATAL, 100 + n]]);
        fleet.answer(&[ROOT, 50]);
        fleet.run_for(Millis(700));
    }
    fleet.run_for(Millis(20_000));
    fleet.routers[3] = gateway(200);
    fleet.update_members();
    fleet.run_for(HOLD_BACK_DELAY);
    let now = fleet.now;
    let ticket = admit(&mut fleet.routers[3], now, &[ROOT, FATAL]);
    expect_that!(
        fleet.routers[3].part_verdict(now, &ticket),
        some(anything())
    );
}

/// Guards against trials that several routers admit, or that come so often that a day has more than allowed.
#[gtest]
fn verify_a_day_has_at_most_three_trials() {
    let mut fleet = Fleet::new(7);
    for n in 0..5 {
        fleet.crash_endpoint(&[vec![ROOT, FATAL, 100 + n]]);
        fleet.answer(&[ROOT, 50]);
        fleet.run_for(Millis(500));
    }
    fleet.run_for(HOLD_BACK_DELAY);
    let begin = fleet.now;
    let mut trials = Vec::new();
    while fleet.now.since(begin) < DAY {
        // One request a second at first, then one at all routers each ten minutes.
        let early = fleet.now.since(begin) < Millis(400_000);
        fleet.run_for(Millis(if early { 1000 } else { 3000 }));
        for n in 0..fleet.routers.len() {
            let now = fleet.now;
            if let Some(mut ticket) = place(&mut fleet.routers[n], now, &[ROOT, FATAL]) {
                let listed = fleet.routers[n].registry().get(ticket.tried[0]);
                let id = listed.expect("it is listed").entry.id.clone();
                crash(&mut fleet.routers[n], now, &mut ticket);
                fleet.remove(&id);
                trials.push(now.since(begin));
            }
        }
        fleet.answer(&[ROOT, 50]);
        if !early {
            fleet.now = fleet.now + Millis(597_000);
        }
    }
    expect_that!(trials.len(), le(MAX_LATE), "{trials:?}");
    expect_that!(
        trials.len(),
        ge(2),
        "a part that is sound again is found out"
    );
}

/// Guards against sound parts that are held back while endpoints crash for other reasons.
#[gtest]
fn verify_parts_in_use_are_served_while_endpoints_crash_by_themselves() {
    for (routers, parts, interval) in [(7, 3, 500), (7, 50, 500), (7, 1000, 200), (40, 9, 300)] {
        let mut fleet = Fleet::new(routers);
        fleet.parts = parts;
        for _ in 0..40 {
            let in_progress: Vec<Vec<u64>> = (0..10).map(|_| fleet.random_prompt()).collect();
            fleet.crash_endpoint(&in_progress);
            fleet.run_for(Millis(interval));
        }
        expect_that!(fleet.refused, eq(0), "{routers} routers, {parts} parts");
    }
}

/// Guards against a part that crashes endpoints in the middle of answers without length and chunks, whose ends look as
/// those of complete ones.
#[gtest]
fn verify_an_answer_that_ended_with_its_connection_and_endpoint_is_a_crash_of_its_parts() {
    let mut gateway = gateway(8);
    let workspace = Bytes::from_static(b"one");
    let content = Content {
        workspace: Some(&workspace),
        parts: [b"POST", b"h", b"/p", b"body"],
    };
    for n in 0..3 {
        let now = Time(1000 + n * 700);
        let shared = [ROOT, FATAL, 100 + n];
        let mut ticket = place(&mut gateway, now, &shared).expect("it is not held back");
        let endpoint = ticket.tried[0];
        ticket.unproved = true;
        gateway.record_unproved_answer(now, &ticket, endpoint, &content);
        gateway.ended(now, &mut ticket, endpoint, AttemptOutcome::Answered);
        gateway.unreached(now, &mut ticket, endpoint);
        gateway.tick(now + Millis(50));
        let id = gateway.registry().get(endpoint).expect("it is listed");
        let id = id.entry.id.clone();
        gateway.apply_changes(now, vec![Change::Removed(id)]);
        answer(&mut gateway, now + Millis(100), &[ROOT, 50], true);
    }
    expect_true!(is_held(&mut gateway, Time(3000), &[ROOT, FATAL]));
    expect_false!(is_held(&mut gateway, Time(3000), &[ROOT, 50]));
}
