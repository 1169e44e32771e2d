//! One test a row: each runs the fault at every step and names the cells that fail.

use std::sync::LazyLock;

use googletest::prelude::*;
use strum::IntoEnumIterator;
use tokio::sync::Semaphore;

use crate::{
    cluster::{
        Cluster,
        Options, //
    },
    matrix::{
        self,
        Cell,
        Fault,
        Step, //
    },
    run,
};

/// Fleets that run at once; a test waits for its turn, so that a loaded machine isn't overrun.
static FLEETS: LazyLock<Semaphore> = LazyLock::new(|| Semaphore::new(12));

async fn row(fault: Fault) -> Vec<String> {
    let _turn = FLEETS.acquire().await.expect("the semaphore stays open");
    let mut cluster = Cluster::start(Options::default()).await;
    let mut faults = Vec::new();
    for step in Step::iter() {
        if matrix::cell(fault, step) == Cell::Holds {
            let began = std::time::Instant::now();
            let found = run::cell(&mut cluster, fault, step).await;
            let verdict = if found.is_empty() { "holds" } else { "fails" };
            println!(
                "{} {}: {verdict} ({} ms)",
                matrix::name(fault),
                matrix::name(step),
                began.elapsed().as_millis()
            );
            found.iter().for_each(|fault| println!("{fault}"));
            if !found.is_empty() {
                // The next cell shall not fail for what this one left behind.
                cluster = Cluster::start(Options::default()).await;
            }
            faults.extend(found);
        }
    }
    faults
}

macro_rules! rows {
    ($($name:ident: $fault:ident, $story:literal;)*) => {
        $(
            #[doc = $story]
            #[gtest]
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() -> Result<()> {
                verify_that!(row(Fault::$fault).await, is_empty())
            }
        )*
    };
}

rows! {
    verify_promises_hold_when_endpoint_killed: EndpointKilled,
        "Symptom: callers hang or an order runs twice. Sequence: the endpoint's process dies at the step; its connections are reset, new ones refused. Cause: a dead endpoint that still gets work.";
    verify_promises_hold_when_home_killed: HomeKilled,
        "Symptom: an order runs twice or is silently lost. Sequence: the key's home dies at the step and comes back empty. Cause: what it ran is forgotten with it.";
    verify_promises_hold_when_entry_killed: EntryKilled,
        "Symptom: a repeat through another router runs the order again. Sequence: the caller's router dies at the step. Cause: the order goes on at its home without its caller.";
    verify_promises_hold_when_endpoint_frozen: EndpointFrozen,
        "Symptom: a request runs long after its caller was told that it did not. Sequence: the endpoint stops at the step and wakes late. Cause: what is in its sockets is still there.";
    verify_promises_hold_when_home_frozen: HomeFrozen,
        "Symptom: an order runs twice. Sequence: the home stops at the step, its lease ends, it wakes and goes on. Cause: it acts on an old view.";
    verify_promises_hold_when_entry_frozen: EntryFrozen,
        "Symptom: an answer that is late or another's. Sequence: the caller's router stops at the step and wakes late. Cause: timers that all fire at once.";
    verify_promises_hold_when_endpoint_cut_both_ways: EndpointCutBothWays,
        "Symptom: callers hang. Sequence: all packets to and from the endpoint are lost from the step on. Cause: a partition.";
    verify_promises_hold_when_peer_cut_both_ways: PeerCutBothWays,
        "Symptom: an order runs twice. Sequence: nobody reaches the home from the step on. Cause: a partition between routers.";
    verify_promises_hold_when_endpoint_requests_lost: EndpointRequestsLost,
        "Symptom: callers hang. Sequence: packets to the endpoint are lost, its own arrive. Cause: a partition one way.";
    verify_promises_hold_when_endpoint_answers_lost: EndpointAnswersLost,
        "Symptom: an order runs twice. Sequence: the request arrives, the answer is lost. Cause: a partition one way.";
    verify_promises_hold_when_peer_requests_lost: PeerRequestsLost,
        "Symptom: an order is silently lost. Sequence: what is sent to the home is lost. Cause: a partition one way.";
    verify_promises_hold_when_peer_answers_lost: PeerAnswersLost,
        "Symptom: an order runs twice. Sequence: the home runs it, its answer to the entry is lost. Cause: a partition one way.";
    verify_promises_hold_when_endpoint_silent: EndpointSilent,
        "Symptom: callers hang. Sequence: open connections to the endpoint go silent for good, new ones work. Cause: a middlebox lost its table.";
    verify_promises_hold_when_peer_silent: PeerSilent,
        "Symptom: orders hang or run twice. Sequence: open connections between routers go silent for good, new ones work. Cause: a middlebox lost its table.";
    verify_promises_hold_when_endpoint_slow: EndpointSlow,
        "Symptom: answers that pass for whole. Sequence: every piece comes late. Cause: a slow link.";
    verify_promises_hold_when_peer_slow: PeerSlow,
        "Symptom: leases flutter. Sequence: every piece between routers comes late. Cause: a slow link.";
    verify_promises_hold_when_answer_late: AnswerLate,
        "Symptom: a late answer goes to the wrong request. Sequence: the endpoint holds its answers back. Cause: a slow endpoint.";
    verify_promises_hold_when_answer_crossed: AnswerCrossed,
        "Symptom: a caller gets another's answer. Sequence: the endpoint answers with another request's id and body. Cause: an endpoint that mixes up its answers.";
    verify_promises_hold_when_answer_truncated: AnswerTruncated,
        "Symptom: a part passes for the whole. Sequence: the answer breaks off in good order. Cause: an endpoint or middlebox that closes early.";
    verify_promises_hold_when_reset_after_request: ResetAfterRequest,
        "Symptom: an order runs twice. Sequence: the request leaves and runs, the connection is reset in place of the answer. Cause: a retry of what may have run.";
    verify_promises_hold_when_endpoint_leaves: EndpointLeaves,
        "Symptom: requests are lost at an endpoint that goes away. Sequence: it starts to leave at the step. Cause: work that is still sent there.";
    verify_promises_hold_when_endpoint_flaps: EndpointFlaps,
        "Symptom: requests follow the endpoint up and down. Sequence: it leaves, refuses, comes back, three times. Cause: every change is believed at once.";
    verify_promises_hold_when_endpoint_replaced: EndpointReplaced,
        "Symptom: an order runs twice, a chat gets another's answer. Sequence: another process takes the endpoint's address. Cause: what was learnt of the first is held of the second.";
    verify_promises_hold_when_router_replaced: RouterReplaced,
        "Symptom: an order runs twice. Sequence: another process takes the home's address and name. Cause: its predecessor's promises are forgotten.";
    verify_promises_hold_when_service_down: ServiceDown,
        "Symptom: routers stop serving. Sequence: the configuration service refuses every call. Cause: a router that needs it to serve.";
    verify_promises_hold_when_service_stale: ServiceStale,
        "Symptom: a configuration is not in force in time. Sequence: the service shows an earlier state, then the present one. Cause: a stale replica.";
    verify_promises_hold_when_service_older: ServiceOlder,
        "Symptom: a configuration reverts. Sequence: the service answers whole earlier revisions. Cause: a stale replica that ignores what the reader has.";
    verify_promises_hold_when_service_rubbish: ServiceRubbish,
        "Symptom: routers stop serving. Sequence: the service answers what is no configuration. Cause: a broken proxy in front of it.";
    verify_promises_hold_when_vm_lists_differ: VmListsDiffer,
        "Symptom: an order runs twice. Sequence: each router reads another list of VMs. Cause: lists lag.";
    verify_promises_hold_when_two_publishes: TwoPublishes,
        "Symptom: one of two changes is lost. Sequence: both are published at once. Cause: a reader that takes the last only.";
    verify_promises_hold_when_invalid_publish: InvalidPublish,
        "Symptom: routers stop serving or differ. Sequence: a transaction is published that no router may accept. Cause: it is applied in part.";
    verify_promises_hold_when_workspace_removed: WorkspaceRemoved,
        "Symptom: a request of a removed workspace ends in silence. Sequence: its workspace is removed at the step. Cause: a key into what is gone.";
    verify_promises_hold_when_endpoint_removed: EndpointRemoved,
        "Symptom: a request at a removed endpoint ends in silence. Sequence: its endpoint is removed at the step. Cause: a key into what is gone.";
    verify_promises_hold_when_home_frozen_and_reset: HomeFrozenAndReset,
        "Symptom: an order runs twice. Sequence: the home stops, the endpoint's answer is reset, the home wakes. Cause: two faults that each alone are handled.";
    verify_promises_hold_when_peer_cut_and_service_stale: PeerCutAndServiceStale,
        "Symptom: a configuration is not in force in time or reverts. Sequence: the home is cut off from its peers while the service is stale. Cause: no fresh source at all.";
    verify_promises_hold_when_endpoint_killed_and_home_killed: EndpointKilledAndHomeKilled,
        "Symptom: an order runs twice. Sequence: endpoint and home die together at the step. Cause: nobody is left who knows what ran.";
}
