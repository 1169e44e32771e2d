//! Tests of which router polls which endpoint, and which routers take over from it.

use std::sync::Arc;

use googletest::prelude::*;
use toucanturn_core::{
    arena::RouterKey,
    config::{
        Config,
        Policy, //
    },
    event::TICK,
    membership::{
        MAX_CONFIRMATION_AGE,
        State,
        View,
        pollers, //
    },
    units::{
        Incarnation,
        Millis,
        Time, //
    },
};

#[path = "membership/fixture.rs"]
#[expect(dead_code, reason = "shared with other test files")]
mod fixture;
use fixture::*;

const START: Time = Time(100_000);

/// Creates a configuration of ten regions with two data centres each.
fn config_of_ten_regions(routers: u16, endpoints: u16) -> Config {
    let mut config = Config::default();
    let mut policy = Policy::default();
    let dc = |n: u16| format!("dc-{}", n % 20);
    for n in 0..20 {
        policy
            .data_centers
            .insert(id(&dc(n)), id(&format!("region-{}", n / 2)));
    }
    config.policy = Arc::new(policy);
    for n in 0..routers {
        let member = router(n, &dc(n));
        config.fleet.put(&member.id.clone(), Arc::new(member));
    }
    for n in 0..endpoints {
        let member = endpoint(n, &dc(n));
        config.endpoints.put(&member.id.clone(), Arc::new(member));
    }
    config
}

fn count_first_ranked(config: &Config, router: RouterKey) -> usize {
    let first = |e| pollers::rank(config, router, e) == Some(0);
    config.endpoints.iter().filter(|(_, e)| first(e)).count()
}

#[googletest::test]
fn verify_each_endpoint_has_one_first_poller_in_its_region() {
    let config = config_of_ten_regions(330, 390);
    let shares: Vec<_> = config
        .fleet
        .iter()
        .map(|(r, _)| count_first_ranked(&config, r))
        .collect();
    expect_that!(shares.iter().sum::<usize>(), eq(390));
    expect_that!(shares.iter().max(), some(le(&8)));
    for (_, e) in config.endpoints.iter().take(50) {
        let ranked = config
            .fleet
            .iter()
            .filter(|(r, _)| pollers::rank(&config, *r, e).is_some());
        // A region has two data centres of 16 or 17 routers each.
        expect_that!(ranked.count(), any![eq(32), eq(34)]);
    }
}

#[googletest::test]
fn verify_region_without_routers_is_polled_from_elsewhere() {
    let mut config = config_of_ten_regions(0, 20);
    for n in 2..6 {
        let member = router(n, &format!("dc-{n}"));
        config.fleet.put(&member.id.clone(), Arc::new(member));
    }
    let shares = config
        .fleet
        .iter()
        .map(|(r, _)| count_first_ranked(&config, r));
    expect_that!(shares.sum::<usize>(), eq(20));
}

/// Simulates the views of `routers` routers. Polls are answered at once, and reports reach the
/// other routers with the next summary. The first `silent_routers` routers do nothing. Returns the
/// number of polls that each router sent, and the greatest age of a confirmation.
fn simulate_shared_polls(
    routers: u16,
    endpoints: u16,
    silent_routers: usize,
    span: Millis,
) -> (Vec<usize>, Millis) {
    let config = config(endpoints, routers);
    let mut views = Vec::new();
    for (me, _) in config.fleet.iter() {
        let mut view = View::default();
        view.apply(START, &config);
        view.assign(&config, Some(me));
        views.push(view);
    }
    let interval = config.policy.summary_interval;
    let mut polls = vec![0; views.len()];
    let mut oldest_confirmation = Millis(0);
    let mut unsent_reports: Vec<Vec<_>> = vec![Vec::new(); views.len()];
    let mut now = START;
    while now.since(START) < span {
        now = now + TICK;
        let summary_due = now.0.is_multiple_of(interval.0);
        for n in silent_routers..views.len() {
            let view = &mut views[n];
            view.advance(now);
            for key in view.to_poll(now, &config.policy) {
                view.asked(now, key);
                view.self_report(now, key, poll_answer(1));
                polls[n] += 1;
                unsent_reports[n].push(key);
            }
        }
        for (n, polled) in unsent_reports
            .iter_mut()
            .enumerate()
            .filter(|_| summary_due)
        {
            for key in std::mem::take(polled) {
                let others = views.iter_mut().enumerate().filter(|(m, _)| *m != n);
                for (_, view) in others {
                    view.reported(now, key, Incarnation(1), interval);
                }
            }
        }
        for view in &views[silent_routers..] {
            for (key, _) in config.endpoints.iter() {
                if now.since(START) > MAX_CONFIRMATION_AGE {
                    assert_that!(view.state(now, key), eq(State::Live));
                    let last_confirmed = view.last_confirmed(key).unwrap_or_default();
                    oldest_confirmation = oldest_confirmation.max(now.since(last_confirmed));
                }
            }
        }
    }
    (polls, oldest_confirmation)
}

#[googletest::test]
fn verify_polls_are_shared_and_reports_keep_all_views_fresh() {
    let (polls, oldest_confirmation) = simulate_shared_polls(7, 14, 0, Millis::from_secs(30));
    let all: usize = polls.iter().sum();
    println!(
        "{polls:?} polls in 30 s, oldest confirmation {} ms",
        oldest_confirmation.0
    );
    // One of the seven routers polls each endpoint once in 500 ms. At the start each router may
    // poll each endpoint once.
    expect_that!(all, le(14 * 2 * 30 + 7 * 14));
    expect_that!(oldest_confirmation, lt(Millis(1300)));
}

#[googletest::test]
fn verify_others_take_over_from_silent_pollers() {
    // Guards against a healthy engine that gets no work: the router that polls it stops, the
    // published fleet still names that router, and all others wait for its reports.
    let (polls, oldest_confirmation) = simulate_shared_polls(7, 14, 3, Millis::from_secs(30));
    println!(
        "{polls:?} polls in 30 s, oldest confirmation {} ms",
        oldest_confirmation.0
    );
    expect_that!(oldest_confirmation, lt(MAX_CONFIRMATION_AGE));
    expect_that!(polls[..3], each(eq(&0)));
}

#[googletest::test]
fn verify_polls_are_bounded_when_all_reports_stop() {
    let config = config(2000, 1);
    let me = config.fleet.iter().next().expect("one router").0;
    let mut view = View::default();
    view.apply(START, &config);
    view.assign(&config, Some(me));
    let (mut now, mut polls) = (START, 0);
    for _ in 0..200 {
        now = now + TICK;
        view.advance(now);
        let due = view.to_poll(now, &config.policy);
        due.iter().for_each(|key| view.asked(now, *key));
        polls += due.len();
    }
    expect_that!(
        polls,
        le(usize::try_from(pollers::MAX_POLLS_PER_SECOND).unwrap_or(0) * 11)
    );
    expect_that!(polls, gt(350));
}
