//! Replay of recorded traces against the decision library, with stated outcomes.
//!
//! A trace ([`trace::Trace`], JSON lines) says what callers, engines and the platform do. The
//! replay leads it through several whole [`Node`](toucanturn_core::node::Node)s in one process and
//! through other ways to place, and reports cache reuse, skew and control bytes. Engines are
//! bounded memory and work in flight: this is no simulator of a cluster, and its times are those
//! that the trace states. The same trace and seed give the same bytes.
//!
//! Start at [`run`]; [`generate::Profile`] makes traces.

#![forbid(unsafe_code)]

pub mod baseline;
pub mod control;
pub mod engine;
pub mod fleet;
pub mod generate;
pub mod lab;
pub mod report;
pub mod service;
pub mod size;
pub mod trace;
pub mod world;

use strum::IntoEnumIterator;
use toucanturn_core::peer::Message;

use crate::{
    baseline::Kind,
    fleet::Fleet,
    report::{
        Report,
        Row,
        Skew, //
    },
    trace::{
        Setup,
        Trace, //
    },
};

/// Replays a trace through the library and every other way to place. `size` gives the encoded
/// length of a message between routers; [`size::estimated`] where no codec is at hand.
pub fn run(trace: &Trace, size: &dyn Fn(&Message) -> usize) -> Report {
    let mut report = run_library(trace, size);
    let multiple = multiple(&trace.setup);
    let engines = engines(&trace.setup);
    for kind in Kind::iter().filter(|k| *k != Kind::Toucanturn) {
        let world = control::run(trace, kind, multiple);
        report.rows.push(Row {
            kind,
            account: world.account,
            skew: Skew::measure(&world, &engines, multiple),
        });
    }
    report
}

/// Replays a trace through the library alone.
pub fn run_library(trace: &Trace, size: &dyn Fn(&Message) -> usize) -> Report {
    let setup = &trace.setup;
    let multiple = multiple(setup);
    let mut fleet = Fleet::new(trace, size);
    fleet.run();
    let account = fleet.world.account;
    let row = Row {
        kind: Kind::Toucanturn,
        account,
        skew: Skew::measure(&fleet.world, &engines(setup), multiple),
    };
    let reason = |(r, n): (&toucanturn_core::request::Reason, &u64)| (r.to_string(), *n);
    Report {
        name: setup.name.clone(),
        expect: setup.expect.clone(),
        rows: vec![row],
        reasons: fleet.reasons.iter().map(reason).collect(),
        peer_bytes_per_s: report::per_second(account.peer_bytes, setup),
        poll_bytes_per_s: report::per_second(account.poll_bytes, setup),
        bytes: fleet
            .sent
            .iter()
            .map(|(k, n)| (*k, report::per_second(2 * n, setup)))
            .collect(),
        revisions: fleet.revisions(),
        cut: fleet.cut,
    }
}

fn multiple(setup: &Setup) -> f64 {
    let policy = setup.publish.get("policy");
    let stated = policy.and_then(|p| p.get("load_multiple")?.as_f64());
    stated.unwrap_or(1.25)
}

/// Gets the indices of the endpoints that serve a model or a plain service.
pub(crate) fn pool(setup: &Setup, target: &str) -> Vec<usize> {
    let serves = |id: &String| {
        let about = setup.publish.get(&format!("endpoints/{id}"));
        let has = |about: &serde_json::Value| {
            let models = about.get("models").and_then(|m| m.as_array());
            let model = models.is_some_and(|all| all.iter().any(|m| m == target));
            model || about.get("service").is_some_and(|s| s == target)
        };
        about.is_some_and(has)
    };
    let all = setup.engines.keys().enumerate();
    all.filter(|(_, id)| serves(id)).map(|(i, _)| i).collect()
}

fn engines(setup: &Setup) -> Vec<usize> {
    let all = setup.engines.values().enumerate();
    all.filter(|(_, e)| e.cache_tokens > 0)
        .map(|(i, _)| i)
        .collect()
}
