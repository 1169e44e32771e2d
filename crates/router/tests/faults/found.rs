//! Faults that the matrix found, each by the shortest sequence that shows it.

use googletest::prelude::*;
use serde_json::json;
use uuid::Uuid;

use toucanturn_standin::link::Mode;

use crate::{
    caller::{
        Kind,
        Word, //
    },
    cluster::{
        self,
        Cluster,
        Options, //
    },
    judge,
};

/// Symptom: a caller is told that its chat was not run, and the engine ran it. Sequence: the
/// engine runs the chat, the connection is reset in place of the answer, the retry finds no other
/// engine. Cause: the refusal spoke of the last attempt only.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_chat_whose_first_attempt_ran_is_never_told_not_run() -> Result<()> {
    let options = Options {
        engines: 1,
        ..Options::default()
    };
    let cluster = Cluster::start(options).await;
    cluster.engines[0].link.set(Mode::ResetAnswers);
    let callers = cluster.callers();
    let mut told = Vec::new();
    for kind in [Kind::Stream, Kind::Whole] {
        let id = format!("reset-{kind:?}");
        told.push(callers.send(0, kind, &id, Uuid::nil(), 4).await);
        // The router lost sight of its only engine's load reports too.
        cluster.engines[0].link.set(Mode::Pass);
        cluster.wait_ready().await;
        cluster.engines[0].link.set(Mode::ResetAnswers);
    }
    verify_that!(judge::judge(&cluster, &told).await, is_empty())?;
    let unknown = |word: &Word| matches!(word, Word::Unknown(_));
    verify_that!(told.iter().filter(|t| !unknown(&t.word)).count(), eq(0))
}

/// Symptom: a request is never answered. Sequence: it waits for its workspace's grant, the
/// workspace is removed. Cause: the row that it waits in goes, and nobody asks after it again.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_request_that_waits_for_admission_outlives_its_workspace() -> Result<()> {
    let cluster = Cluster::start(Options::default()).await;
    let rounds = 8;
    for round in 0..rounds {
        // Grants that are held run out while nobody asks, so that the next request must wait.
        tokio::time::sleep(std::time::Duration::from_millis(1100)).await;
        cluster
            .routers
            .iter()
            .for_each(|r| r.peers.set(Mode::Pause));
        let callers = cluster.callers();
        let sent: Vec<_> = (0..3)
            .map(|router| {
                let (callers, id) = (callers.clone(), format!("gone-{round}-{router}"));
                tokio::spawn(
                    async move { callers.send(router, Kind::Whole, &id, Uuid::nil(), 4).await },
                )
            })
            .collect();
        let open = || cluster.routers.iter().all(|r| r.driver().open() > 0);
        cluster::reached(std::time::Duration::from_millis(50), open).await;
        cluster.publish(json!({"workspaces/main": null})).await;
        for one in sent {
            let told = one.await.expect("a caller does not panic");
            let answered = !matches!(&told.word, Word::Broken(_) | Word::Wrong(_));
            verify_that!(answered, is_true()).with_failure_message(|| format!("{told:?}"))?;
        }
        cluster.routers.iter().for_each(|r| r.peers.set(Mode::Pass));
        cluster.publish(cluster.document()).await;
        cluster.wait_ready().await;
    }
    Ok(())
}
