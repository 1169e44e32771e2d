//! Promises 2, 4, 5, 6 and 7 one by one, each under the failures that threaten it.

use std::time::{
    Duration,
    Instant, //
};

use futures_util::future::join_all;
use googletest::prelude::*;
use serde_json::json;
use toucanturn_standin::{
    engine,
    link::Mode, //
};
use uuid::Uuid;

use crate::{
    caller::{
        Callers,
        Kind,
        Told,
        Word, //
    },
    cluster::{
        self,
        Cluster,
        Options, //
    },
    judge,
};

/// Time within which an accepted configuration is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(5);
/// Time for which a caller that is turned away comes back.
const PERSISTENCE: Duration = Duration::from_secs(20);
/// Time after which an endpoint that is leaving gets no new work.
const LEFT: Duration = Duration::from_secs(3);

async fn gather(sent: Vec<tokio::task::JoinHandle<Told>>) -> Vec<Told> {
    let told = join_all(sent).await;
    let told = told.into_iter();
    told.map(|one| one.expect("a caller does not panic"))
        .collect()
}

/// Sends a chat, and again whenever it was told "not run, come back after a while", as callers do.
/// Gives what was told each time; each try is a request of its own.
async fn persist(callers: Callers, n: usize) -> Vec<Told> {
    let kind = [Kind::Stream, Kind::Whole][n % 2];
    let end = Instant::now() + PERSISTENCE;
    let mut told = Vec::new();
    loop {
        let id = format!("caller-{n}-{}", told.len());
        let one = callers.send(n % 3, kind, &id, Uuid::nil(), 8).await;
        let wait = one.retry_after();
        told.push(one);
        match wait {
            Some(wait) if Instant::now() + wait < end => tokio::time::sleep(wait).await,
            _ => return told,
        }
    }
}

/// Symptom: a caller gets another's bytes, or a part for the whole. Sequence: 1,000 callers at
/// once, three times what the engines take, while engines answer late, crossed, truncated and
/// without an end mark; who is turned away comes back when told. Cause: identity or end mark that
/// nobody checks.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_thousand_callers_get_their_own_whole_answer_or_an_error() -> Result<()> {
    let options = Options {
        engines: 5,
        deadline: Duration::from_secs(15),
        idle_timeout: Duration::from_secs(3),
        ..Options::default()
    };
    let cluster = Cluster::start(options).await;
    let modes = ["late", "crossed", "truncate", "no_done"];
    for (engine, mode) in cluster.engines.iter().zip(modes) {
        let fault = json!({"mode": mode, "count": 60, "delay_ms": 300});
        cluster.control(engine.control(), "fault", fault).await;
    }
    let callers = cluster.callers();
    let send = |n: usize| tokio::spawn(persist(callers.clone(), n));
    let all = join_all((0..1000).map(send)).await;
    let all: Vec<Vec<Told>> = all.into_iter().collect::<std::result::Result<_, _>>()?;
    let last = all.iter().filter_map(|tries| tries.last());
    let done = last.filter(|t| matches!(t.word, Word::Done(_))).count();
    let callers = all.len();
    let told: Vec<Told> = all.into_iter().flatten().collect();
    println!(
        "{done} of {callers} got their whole answer, in {} requests",
        told.len()
    );
    verify_that!(judge::judge(&cluster, &told).await, is_empty())?;
    verify_that!(callers, eq(1000))?;
    // Four engines spoil 60 answers each.
    verify_that!(done, gt(700))
}

/// Symptom: a leaving engine still gets work. Sequence: it leaves while one router is cut off from
/// its peers and the platform, and another sleeps and wakes late. Cause: an old view that is acted
/// on.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_leaving_engine_gets_no_new_work_after_three_seconds() -> Result<()> {
    let mut cluster = Cluster::start(Options::default()).await;
    cluster.routers[1].peers.set(Mode::Drop);
    cluster.routers[1].platform.set(Mode::Drop);
    cluster.routers[2].freeze().await;
    let left = Instant::now();
    let engine = cluster.engines[0].control();
    cluster.control(engine, "leave", json!({})).await;
    let since = cluster.engines[0].lives[0].started;
    let left_ms = u64::try_from((left - since).as_millis()).unwrap_or(u64::MAX);
    let callers = cluster.callers();
    let mut told = Vec::new();
    let mut round = 0;
    let mut awake = false;
    while left.elapsed() < LEFT * 2 {
        if !awake && left.elapsed() > LEFT {
            cluster.routers[2].wake();
            awake = true;
        }
        let routers = if awake { 0..3 } else { 0..2 };
        let send = |router: usize| {
            let callers = callers.clone();
            let id = format!("leaving-{round}-{router}");
            tokio::spawn(async move {
                callers
                    .send(router, Kind::Stream, &id, Uuid::nil(), 4)
                    .await
            })
        };
        told.extend(gather(routers.map(send).collect()).await);
        round += 1;
    }
    let truth: engine::Truth = cluster.truth(&cluster.engines[0].lives[0]).await;
    let late = judge::late_work(&truth.requests, left_ms, u64::MAX);
    verify_that!(late, is_empty())?;
    verify_that!(judge::judge(&cluster, &told).await, is_empty())
}

/// Symptom: a caller's stream is cut by a restart. Sequence: every router in turn drains and is
/// replaced while long streams and orders run through all of them. Cause: a drain that ends, or a
/// socket that closes, before the last answer is out.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_rolling_restart_cuts_nothing() -> Result<()> {
    let options = Options {
        per_token: Duration::from_millis(20),
        deadline: Duration::from_secs(15),
        ..Options::default()
    };
    let mut cluster = Cluster::start(options).await;
    let mut told = Vec::new();
    for router in 0..3 {
        let callers = cluster.callers();
        let send = |n: usize| {
            let callers = callers.clone();
            let kind = [Kind::Stream, Kind::Whole, Kind::Order][n % 3];
            let (id, key) = (format!("rolling-{router}-{n}"), Uuid::now_v7());
            tokio::spawn(async move { callers.send(n % 3, kind, &id, key, 60).await })
        };
        let sent: Vec<_> = (0..60).map(send).collect();
        let driver = std::sync::Arc::clone(cluster.routers[router].driver());
        cluster
            .until("requests are open", || driver.open() > 5)
            .await;
        cluster.routers[router].drain();
        let cut = cluster.routers[router].drained().await;
        verify_that!(cut, eq(0))?;
        let all = gather(sent).await;
        let broken = all.iter().filter(|t| matches!(t.word, Word::Broken(_)));
        let broken: Vec<_> = broken.collect();
        // A caller that came after the socket had closed was refused, not cut.
        let refused = |t: &&&Told| format!("{:?}", t.word).contains("Connect");
        verify_that!(broken.iter().filter(|t| !refused(t)).count(), eq(0))
            .with_failure_message(|| format!("{broken:?}"))?;
        told.extend(all);
        cluster.start_router(router).await;
        cluster.wait_ready().await;
    }
    verify_that!(judge::judge(&cluster, &told).await, is_empty())
}

/// Symptom: routers differ in their configuration. Sequence: two of three are cut off from the
/// configuration service, not from their peers, while revisions are published. Cause: a router
/// that learns of changes from the service alone.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_configuration_is_in_force_where_the_service_is_out_of_reach() -> Result<()> {
    let cluster = Cluster::start(Options::default()).await;
    for router in &cluster.routers[1..] {
        router.platform.set(Mode::Drop);
    }
    for number in 0..5 {
        let revision = cluster.publish_something(number).await;
        let everywhere = || cluster.routers.iter().all(|r| r.revision().0 >= revision);
        verify_that!(cluster::reached(IN_FORCE, everywhere).await, is_true())?;
    }
    Ok(())
}

/// Symptom: a fresh router brings an old configuration back. Sequence: the service goes stale, a
/// router is replaced, another sleeps and wakes. Cause: a fresh router believes the service.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_fresh_router_on_a_stale_service_never_serves_an_old_configuration() -> Result<()>
{
    let mut cluster = Cluster::start(Options::default()).await;
    let old = cluster.routers[0].revision().0;
    let revision = cluster.publish_something(1).await;
    let everywhere = || cluster.routers.iter().all(|r| r.revision().0 >= revision);
    verify_that!(cluster::reached(IN_FORCE, everywhere).await, is_true())?;
    let stale = json!({"mode": "older", "revision": old});
    cluster
        .control(cluster.platform.control, "fault", stale)
        .await;
    cluster.routers[2].freeze().await;
    cluster.start_router(1).await;
    let mut served = Vec::new();
    let fresh = || {
        let router = &cluster.routers[1];
        let ready = router.driver().with_node(|node| node.ready());
        served.push((ready, router.revision().0));
        ready && router.revision().0 >= revision
    };
    verify_that!(cluster::reached(IN_FORCE, fresh).await, is_true())?;
    // It was never ready with less than what its peers have in force.
    let early = served.iter().filter(|(ready, at)| *ready && *at < revision);
    verify_that!(early.count(), eq(0))?;
    cluster.routers[2].wake();
    cluster.wait_ready().await;
    verify_that!(cluster.routers[2].revision().0, ge(revision))
}
