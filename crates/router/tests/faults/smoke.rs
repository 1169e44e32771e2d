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
    judge,
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
