//! Tests which requests are retried, how often and when, and when refused callers are told to come
//! back.

use googletest::prelude::*;
use proptest::{
    prelude::any,
    test_runner::{
        Config as RunnerConfig,
        RngAlgorithm,
        RngSeed,
        TestCaseError,
        TestRunner, //
    },
};
use rand::{
    SeedableRng,
    rngs::StdRng, //
};
use toucanturn_core::{
    action::Action,
    arena::ServiceKey,
    config::Policy,
    event::{
        Event,
        Report,
        TICK, //
    },
    node::Node,
    request::{
        Answer,
        Attempt,
        Call,
        Code,
        End,
        Key,
        Outcome,
        Prefix,
        Refusal,
        Request,
        Work, //
    },
    retry::{
        self,
        RefusalCause,
        RetryBudget, //
    },
    units::{
        Incarnation,
        Millis,
        Permille,
        Time, //
    },
};

#[path = "membership/rig.rs"]
mod rig;
use rig::*;

fn test_runner() -> TestRunner {
    TestRunner::new(RunnerConfig {
        cases: 200,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(2026),
        failure_persistence: None,
        ..RunnerConfig::default()
    })
}

/// Lists each kind of work, with whether a request of it may run twice.
fn works_with_repeatability() -> [(Work, bool); 3] {
    let service = ServiceKey::default();
    let (key, content) = (Key::default(), 0);
    let plain = |idempotent| Work::Plain {
        service,
        idempotent,
    };
    let once = Work::Once {
        service,
        key,
        content,
    };
    [(plain(true), true), (plain(false), false), (once, false)]
}

#[googletest::test]
fn verify_what_may_not_be_repeated_is_sent_again_only_when_nothing_left() {
    // The connection breaks after a request that must not run twice has left. A retry that looks at
    // the error alone sends it to another replica and, for example, charges a renewal twice.
    let policy = Policy::default();
    let deadline = Time(10);
    let failed = |status| {
        End::Failed(Answer {
            status,
            ..Answer::default()
        })
    };
    let is_allowed =
        |work: &Work, end: End| retry::allowed(&policy, work, 1, &end, Time(0), deadline);
    for (work, repeatable) in works_with_repeatability() {
        for leaving in [false, true] {
            expect_true!(is_allowed(&work, End::NotSent { leaving }));
        }
        expect_that!(
            is_allowed(&work, End::Broken { relayed: false }),
            eq(repeatable)
        );
        expect_that!(is_allowed(&work, failed(503)), eq(repeatable));
        for end in [
            End::Broken { relayed: true },
            End::Cancelled,
            failed(501),
            End::Whole(Answer::default()),
        ] {
            expect_false!(is_allowed(&work, end));
        }
        let end = End::NotSent { leaving: false };
        expect_false!(retry::allowed(&policy, &work, 3, &end, Time(0), deadline));
        expect_false!(retry::allowed(&policy, &work, 1, &end, deadline, deadline));
    }
}

#[googletest::test]
fn verify_retries_stay_within_the_budget_at_any_time() {
    let result = test_runner().run(&(any::<u64>(), 0..=1000u32), |(seed, share)| {
        let mut rng = StdRng::seed_from_u64(seed);
        let policy = Policy {
            retry_budget: Permille(share),
            ..Policy::default()
        };
        let (mut budget, mut first_attempts, mut retries) = (RetryBudget::default(), 0u64, 0u64);
        for _ in 0..2000 {
            if rand::RngExt::random_bool(&mut rng, 0.5) {
                budget.first(&policy);
                first_attempts += 1;
            } else {
                retries += u64::from(budget.take());
            }
            if retries * 1000 > first_attempts * u64::from(share) {
                return Err(TestCaseError::fail(format!(
                    "{retries} retries after {first_attempts} first attempts"
                )));
            }
        }
        Ok(())
    });
    expect_that!(result.map_err(|e| e.to_string()), ok(anything()));
}

#[googletest::test]
fn verify_retry_backoff_is_random_and_bounded() {
    let mut rng = StdRng::seed_from_u64(1);
    expect_that!(retry::backoff(1, &mut rng), eq(Millis(0)));
    let waits: Vec<_> = (0..500).map(|_| retry::backoff(2, &mut rng).0).collect();
    expect_that!(waits.iter().max(), some(le(&100)));
    let distinct: std::collections::BTreeSet<_> = waits.iter().collect();
    expect_that!(distinct.len(), gt(80));
    let longest = (0..500).map(|_| retry::backoff(u32::MAX, &mut rng)).max();
    expect_that!(longest, some(le(Millis(2000))));
}

#[googletest::test]
fn verify_retry_after_is_spread_and_at_least_the_minimum() {
    // A thousand callers are refused at once. With one fixed `Retry-After` they return together and
    // overload the router again.
    let mut rng = StdRng::seed_from_u64(1);
    let (code, min_wait) = (Code::Overloaded, Millis(1000));
    let cause = RefusalCause { code, min_wait };
    let mut bins = [0; 60];
    for _ in 0..1000 {
        let retry_after = retry::retry_after(cause, &mut rng);
        expect_that!(retry_after, ge(min_wait));
        bins[usize::try_from(retry_after.0 / 50).unwrap_or(59).min(59)] += 1;
    }
    expect_that!(bins.iter().max(), some(le(&50)));
}

/// Starts `calls` chats, ten in each tick, and ends every attempt with `end`. Returns the number of
/// attempts and the refusals.
fn run(node: &mut Node, request: &Request, calls: u64, end: &End) -> (u64, Vec<Refusal>) {
    let (mut now, mut next, mut attempts) = (START, 0, 0);
    let mut refusals = Vec::new();
    let mut events = Vec::new();
    while now.mono < START.mono + Millis(calls * 5 + 3000) {
        now = now + TICK;
        events.push(Event::Tick);
        for _ in 0..10 {
            if next < calls {
                let mut request = request.clone();
                request.deadline = now.mono + Millis(2000);
                if let Work::Chat { prefix, .. } = &mut request.work {
                    *prefix = Prefix(next);
                }
                events.push(Event::Request {
                    call: Call(next),
                    request,
                });
                next += 1;
            }
        }
        while let Some(event) = events.pop() {
            let mut out = Vec::new();
            node.handle(now, event, &mut out);
            for action in out {
                match action {
                    Action::Dispatch { call, attempt, .. } => {
                        attempts += 1;
                        let end = end.clone();
                        events.push(Event::Ended { call, attempt, end });
                    }
                    Action::Poll { endpoint } => {
                        let report = Some(Report {
                            incarnation: Incarnation(1),
                            ..Report::default()
                        });
                        events.push(Event::Polled { endpoint, report });
                    }
                    Action::Probe { endpoint } => {
                        let answered = true;
                        events.push(Event::Probed { endpoint, answered });
                    }
                    Action::Refuse { refusal, .. } => refusals.push(refusal),
                    _ => {}
                }
            }
        }
    }
    (attempts, refusals)
}

#[googletest::test]
fn verify_attempts_are_at_most_110_percent_of_calls_when_every_endpoint_fails() {
    // All engines fail. Three attempts for every call would overload the engines again as they come
    // back.
    let ends = [
        End::NotSent { leaving: false },
        End::Broken { relayed: false },
    ];
    for end in ends {
        let (mut node, request) = node(0.1, 100_000);
        let (attempts, refusals) = run(&mut node, &request, 5000, &end);
        println!("{attempts} attempts for 5000 calls that end with {end:?}");
        expect_that!(attempts, le(5500));
        expect_that!(refusals.len(), eq(5000));
    }
}

#[googletest::test]
fn verify_outcome_is_unknown_when_any_attempt_may_have_run() {
    // The first attempt breaks after its bytes left, the second finds the connection refused. An
    // outcome taken from the last attempt alone tells the caller "not run", though an engine may
    // have run the call.
    let (mut node, request) = node(1.0, 1000);
    let mut now = START + TICK;
    let call = Call(1);
    let mut out = Vec::new();
    node.handle(now, Event::Request { call, request }, &mut out);
    for n in 1..=3 {
        let end = if n == 1 {
            End::Broken { relayed: false }
        } else {
            End::NotSent { leaving: false }
        };
        let attempt = Attempt(n);
        // The node may delay a retry by some ticks.
        for _ in 0..4 {
            now = now + TICK;
            node.handle(now, Event::Tick, &mut out);
        }
        node.handle(now, Event::Ended { call, attempt, end }, &mut out);
    }
    let outcome = out.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => Some(refusal.outcome),
        _ => None,
    });
    expect_that!(outcome, some(eq(Outcome::Unknown)));
}
