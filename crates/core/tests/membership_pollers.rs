//! Who polls whom, and who takes over.

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

/// Makes ten regions of two data centres.
fn big(routers: u16, endpoints: u16) -> Config {
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
        let one = router(n, &dc(n));
        config.fleet.put(&one.id.clone(), Arc::new(one));
    }
    for n in 0..endpoints {
        let one = endpoint(n, &dc(n));
        config.endpoints.put(&one.id.clone(), Arc::new(one));
    }
    config
}

fn firsts(config: &Config, router: RouterKey) -> usize {
    let first = |e| pollers::rank(config, router, e) == Some(0);
    config.endpoints.iter().filter(|(_, e)| first(e)).count()
}

#[googletest::test]
fn verify_each_endpoint_has_one_first_poller_in_its_region() {
    let config = big(330, 390);
    let shares: Vec<_> = config
        .fleet
        .iter()
        .map(|(r, _)| firsts(&config, r))
        .collect();
    expect_that!(shares.iter().sum::<usize>(), eq(390));
    expect_that!(shares.iter().max(), some(le(&8)));
    for (_, e) in config.endpoints.iter().take(50) {
        let ranked = config
            .fleet
            .iter()
            .filter(|(r, _)| pollers::rank(&config, *r, e).is_some());
        // Two data centres of 16 or 17 routers.
        expect_that!(ranked.count(), any![eq(32), eq(34)]);
    }
}

#[googletest::test]
fn verify_region_without_routers_is_polled_from_elsewhere() {
    let mut config = big(0, 20);
    for n in 2..6 {
        let one = router(n, &format!("dc-{n}"));
        config.fleet.put(&one.id.clone(), Arc::new(one));
    }
    let shares = config.fleet.iter().map(|(r, _)| firsts(&config, r));
    expect_that!(shares.sum::<usize>(), eq(20));
}

/// Runs `routers` views side by side: polls are answered at once, reports reach the others with
/// the next summary. `silent` routers do nothing. Gives polls sent by each and the oldest view.
fn share(routers: u16, endpoints: u16, silent: usize, span: Millis) -> (Vec<usize>, Millis) {
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
    let mut oldest = Millis(0);
    let mut news: Vec<Vec<_>> = vec![Vec::new(); views.len()];
    let mut now = START;
    while now.since(START) < span {
        now = now + TICK;
        let told = now.0.is_multiple_of(interval.0);
        for n in silent..views.len() {
            let view = &mut views[n];
            view.advance(now);
            for key in view.to_poll(now, &config.policy) {
                view.asked(now, key);
                view.self_report(now, key, self_report(1));
                polls[n] += 1;
                news[n].push(key);
            }
        }
        for (n, polled) in news.iter_mut().enumerate().filter(|_| told) {
            for key in std::mem::take(polled) {
                let others = views.iter_mut().enumerate().filter(|(m, _)| *m != n);
                for (_, view) in others {
                    view.reported(now, key, Incarnation(1), interval);
                }
            }
        }
        for view in &views[silent..] {
            for (key, _) in config.endpoints.iter() {
                if now.since(START) > MAX_CONFIRMATION_AGE {
                    assert_that!(view.state(now, key), eq(State::Live));
                    let last_confirmed = view.last_confirmed(key).unwrap_or_default();
                    oldest = oldest.max(now.since(last_confirmed));
                }
            }
        }
    }
    (polls, oldest)
}

#[googletest::test]
fn verify_polls_are_shared_and_reports_keep_all_views_fresh() {
    let (polls, oldest) = share(7, 14, 0, Millis::from_secs(30));
    let all: usize = polls.iter().sum();
    println!("{polls:?} polls in 30 s, oldest view {} ms", oldest.0);
    // Once in 500 ms for each endpoint by one router, not by seven; a few at the start.
    expect_that!(all, le(14 * 2 * 30 + 7 * 14));
    expect_that!(oldest, lt(Millis(1300)));
}

#[googletest::test]
fn verify_others_take_over_from_silent_pollers() {
    // Symptom: an engine got no work though it was well. Sequence: the router that polls it dies,
    // the published fleet still names it. Cause: all waited for its reports.
    let (polls, oldest) = share(7, 14, 3, Millis::from_secs(30));
    println!("{polls:?} polls in 30 s, oldest view {} ms", oldest.0);
    expect_that!(oldest, lt(MAX_CONFIRMATION_AGE));
    expect_that!(polls[..3], each(eq(&0)));
}

#[googletest::test]
fn verify_polls_are_bounded_when_all_news_stops() {
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
