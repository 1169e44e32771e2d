//! The fleet of the matrix works as long as nothing fails.

use googletest::prelude::*;

use crate::{
    caller::{
        self,
        Kind,
        Word, //
    },
    cluster::{
        Cluster,
        Options, //
    },
    inject::{
        HOME,
        Targets, //
    },
    judge,
    matrix::Fault,
    run,
};

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_fleet_without_faults_answers_everything() -> Result<()> {
    let cluster = Cluster::start(Options::default()).await;
    let callers = cluster.callers();
    let mut told = Vec::new();
    for router in 0..3 {
        told.push(caller::chat(&callers, router, &format!("s-{router}"), Kind::Stream, 8).await);
        told.push(caller::chat(&callers, router, &format!("w-{router}"), Kind::Whole, 8).await);
        let key = cluster.key_at(1);
        told.push(caller::order(&callers, router, key, &format!("o-{router}")).await);
    }
    let undone = told.iter().filter(|t| !matches!(t.word, Word::Done(_)));
    verify_that!(undone.collect::<Vec<_>>(), is_empty())?;
    verify_that!(judge::judge(&cluster, &told).await, is_empty())
}

/// Symptom: a cell's held order is refused as not run with `no_endpoint` a few milliseconds after it
/// came. Sequence: both replicas fail at one home and come back; the fleet counts as recovered; an
/// order of that home comes next. Cause: the orders that were to show that the fleet recovered had
/// keys of any home, so that a home whose next probe was still due could be missed by all of them.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_fleet_has_recovered_only_when_each_home_runs_orders() -> Result<()> {
    let mut cluster = Cluster::start(Options::default()).await;
    let callers = cluster.callers();
    let both = Targets {
        engines: Vec::new(),
        replicas: vec![0, 1],
    };
    for round in 0..3 {
        cluster.inject(Fault::EndpointKilled, &both).await;
        let mut tries = 0;
        while !run::sees_down(&cluster.routers[HOME], "orders") {
            tries += 1;
            let key = cluster.key_at(HOME);
            caller::order(&callers, HOME, key, &format!("down-{round}-{tries}")).await;
        }
        cluster.lift(Fault::EndpointKilled, &both).await;
        let (mut told, key) = (Vec::new(), cluster.key_at(HOME));
        let late = run::recovered(&cluster, &format!("round-{round}"), &mut told, key).await;
        verify_that!(late, is_empty())?;
        let key = cluster.key_at(HOME);
        let told = caller::order(&callers, HOME, key, &format!("next-{round}")).await;
        verify_that!(told.word, matches_pattern!(Word::Done(_)))?;
    }
    Ok(())
}
