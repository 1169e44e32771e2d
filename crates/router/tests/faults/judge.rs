//! Judges what callers were told by what the stand-ins did.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use toucanturn_standin::{
    engine,
    service,
    truth::State, //
};

use crate::{
    caller::{
        Kind,
        Told,
        Word, //
    },
    cluster::Cluster,
};

/// Gets everything that contradicts the promises, one line each.
pub(crate) async fn judge(cluster: &Cluster, told: &[Told]) -> Vec<String> {
    let mut faults = words(told);
    let mut orders: BTreeMap<&str, Vec<&Told>> = BTreeMap::new();
    for one in told.iter().filter(|one| one.kind == Kind::Order) {
        orders.entry(&one.name).or_default().push(one);
    }
    let runs = runs(cluster).await;
    for (key, told) in orders {
        let runs = runs.get(key).copied().unwrap_or_default();
        order(key, runs, &told, &mut faults);
    }
    let ran = chats(cluster).await;
    for one in told.iter().filter(|one| one.kind != Kind::Order) {
        if matches!(one.word, Word::NotRun(_)) && ran.contains(&one.name) {
            faults.push(format!("told not run, later run: {one:?}"));
        }
    }
    faults
}

fn words(told: &[Told]) -> Vec<String> {
    let mut faults = Vec::new();
    for one in told {
        match &one.word {
            Word::Wrong(what) => faults.push(format!("{}: {what}", one.name)),
            Word::Broken(what) if what.contains("TimedOut") => {
                faults.push(format!("{} was never answered: {what}", one.name));
            }
            Word::NotRun(what) if one.runs_then > 0 && one.kind != Kind::Order => {
                faults.push(format!("{} was told not run and ran: {what}", one.name));
            }
            _ => {}
        }
    }
    faults
}

fn order(key: &str, runs: u64, told: &[&Told], faults: &mut Vec<String>) {
    if runs > 1 {
        faults.push(format!("{key} ran {runs} times: {told:?}"));
    }
    let answers: Vec<_> = told
        .iter()
        .filter_map(|one| match &one.word {
            Word::Done(answer) => Some(answer),
            _ => None,
        })
        .collect();
    if !answers.is_empty() && runs == 0 {
        faults.push(format!("{key} was told done and did not run"));
    }
    if answers.windows(2).any(|two| two[0] != two[1]) {
        faults.push(format!("{key} had different answers: {answers:?}"));
    }
    for one in told
        .iter()
        .filter(|one| matches!(one.word, Word::NotRun(_)))
    {
        // Whatever else was sent with this key and may have run it.
        let others = || told.iter().filter(|other| !std::ptr::eq(**other, *one));
        let alone = others().all(|other| other.ended <= one.started);
        if one.runs_then > 0 && alone {
            faults.push(format!("{key} was told not run after it had run: {told:?}"));
        } else if runs > 0 && alone {
            faults.push(format!("{key} was told not run and ran later: {told:?}"));
        }
    }
}

/// Gets the ids of all chats that ran, at any engine and in any of its lives.
async fn chats(cluster: &Cluster) -> BTreeSet<String> {
    let mut ran = BTreeSet::new();
    for life in cluster.engines.iter().flat_map(|e| &e.lives) {
        let truth: engine::Truth = cluster.truth(life).await;
        let requests = truth.requests.into_iter();
        ran.extend(
            requests
                .filter(|r| r.state != State::TurnedAway)
                .map(|r| r.id),
        );
    }
    ran
}

async fn runs(cluster: &Cluster) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for life in cluster.replicas.iter().flat_map(|r| &r.lives) {
        let truth: service::Truth = cluster.truth(life).await;
        for (key, count) in truth.runs {
            *runs.entry(key).or_default() += count;
        }
    }
    runs
}

/// Gets the requests that endpoints took up more than the promised time after they began to leave.
pub(crate) fn late_work(
    requests: &[toucanturn_standin::truth::Request],
    left_ms: u64,
    until_ms: u64,
) -> Vec<String> {
    let late = |r: &&toucanturn_standin::truth::Request| {
        r.state != State::TurnedAway && (left_ms + 3000..until_ms).contains(&r.came_ms)
    };
    requests
        .iter()
        .filter(late)
        .map(|r| format!("new work at a leaving endpoint: {r:?}"))
        .collect()
}
