//! A configuration, and every decision under it.

use toucanturn_core::{
    action::Decision,
    arena::{
        EndpointKey,
        RouterKey,
        WorkspaceKey, //
    },
    config::Config,
    ids::Id,
    membership::State,
    orders::{
        Change,
        HoldReason,
        Order,
        OrderNumber,
        OrderOutcome, //
    },
    request::{
        Attempt,
        Call,
        Code,
        Outcome,
        Placed,
        Reason,
        Refusal, //
    },
    units::{
        Millis,
        Revision,
        Time, //
    },
};

/// Gets the SHA-256 hash of the workspace's bearer key, as published.
pub(crate) fn key_hash() -> String {
    "5e".repeat(32)
}

/// Gets a published configuration as one file.
pub(crate) fn document() -> serde_json::Value {
    let engine = |n: u8| {
        serde_json::json!({
            "kind": "engine", "address": format!("10.0.1.{n}:80"), "data_center": "be-north-1",
            "models": ["assistant"]
        })
    };
    serde_json::json!({
        "policy": {"data_centers": {"be-north-1": "be-north"}},
        "fleet": {"entry-1": {
            "address": "10.0.0.1:80", "peer_address": "10.0.0.1:81", "data_center": "be-north-1"
        }},
        "models": {"assistant": {"version": "v3", "min_replicas": 1}},
        "services": {},
        "endpoints": {"eng-1": engine(1), "eng-2": engine(2)},
        "workspaces": {"vitalbox-chat": {
            "key_sha256": [key_hash()], "priority": 7, "requests_per_s": 100,
            "models": ["assistant"], "deadline_ms": 10000
        }}
    })
}

/// Gets that configuration, checked.
#[expect(clippy::expect_used, reason = "a test without a configuration fails")]
pub(crate) fn config() -> Config {
    Config::try_from(document().to_string().as_bytes()).expect("a valid configuration")
}

/// Makes a name.
#[expect(clippy::expect_used, reason = "a test without its names fails")]
pub(crate) fn id(name: &str) -> Id {
    Id::try_from(name).expect("a name")
}

#[expect(clippy::expect_used, reason = "a test without its names fails")]
fn keys(config: &Config) -> (EndpointKey, EndpointKey, WorkspaceKey, RouterKey) {
    let endpoint = |name| config.endpoints.key(&id(name)).expect("an endpoint");
    let workspace = config.workspaces.key(&id("vitalbox-chat"));
    let router = config.fleet.key(&id("entry-1"));
    (
        endpoint("eng-1"),
        endpoint("eng-2"),
        workspace.expect("a workspace"),
        router.expect("a router"),
    )
}

/// Number of variants of [`Decision`].
pub(crate) const VARIANTS: usize = 14;

/// Gets the place of a decision's variant. A new variant breaks the build here: give it an example
/// below.
pub(crate) fn variant(decision: &Decision) -> usize {
    match decision {
        Decision::Placed { .. } => 0,
        Decision::Refused { .. } => 1,
        Decision::Forwarded { .. } => 2,
        Decision::Replayed { .. } => 3,
        Decision::AttemptFailed { .. } => 4,
        Decision::Done { .. } => 5,
        Decision::Member { .. } => 6,
        Decision::Applied { .. } => 7,
        Decision::Rejected { .. } => 8,
        Decision::Lease { .. } => 9,
        Decision::Draining { .. } => 10,
        Decision::Ordered { .. } => 11,
        Decision::OrderHeld { .. } => 12,
        Decision::OrderEnded { .. } => 13,
    }
}

fn order() -> Order {
    Order {
        number: OrderNumber(3),
        fence: 5,
        revision: Revision(42),
        change: Change::LoadVersion {
            model: id("assistant"),
            version: id("v4"),
        },
        not_after: Time(100),
    }
}

/// Gets an example of every decision, with and without what may be missing.
pub(crate) fn all(config: &Config) -> Vec<Decision> {
    let (endpoint, other, workspace, router) = keys(config);
    let call = Call(17);
    let attempt = Attempt(1);
    let view_age = Millis(120);
    let placed = |runner_up| Decision::Placed {
        call,
        attempt,
        workspace,
        placed: Placed {
            endpoint,
            runner_up,
            import_from: runner_up,
            limit: 8,
            reason: Reason::Home,
        },
        load: 3,
        view_age,
    };
    let refused = |retry_after| Decision::Refused {
        call,
        workspace,
        refusal: Refusal::not_run(Code::OverLimit, retry_after),
        view_age,
    };
    vec![
        placed(Some(other)),
        placed(None),
        refused(Some(Millis(500))),
        refused(None),
        Decision::Forwarded { call, router },
        Decision::Replayed { call },
        Decision::AttemptFailed {
            call,
            attempt,
            endpoint,
            retried: true,
        },
        Decision::Done {
            call,
            outcome: Outcome::Done,
            attempts: 1,
        },
        Decision::Member {
            endpoint,
            state: State::Leaving,
        },
        Decision::Applied {
            revision: Revision(42),
        },
        Decision::Rejected {
            revision: Revision(43),
            errors: "endpoints/eng-1.address: found 7, expected `IP:PORT`".to_owned(),
        },
        Decision::Lease {
            epoch: Revision(40),
            held: true,
        },
        Decision::Draining { open: 5 },
        Decision::Ordered {
            endpoint,
            order: order(),
        },
        Decision::OrderHeld {
            endpoint,
            hold: HoldReason::MinReplicas,
        },
        Decision::OrderEnded {
            endpoint,
            reply: OrderOutcome::Obeyed,
        },
        Decision::OrderEnded {
            endpoint,
            reply: OrderOutcome::Fenced(7),
        },
    ]
}
