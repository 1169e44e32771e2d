//! A replay's report as JSON.

use indexmap::IndexMap;
use serde::Serialize;
use toucanturn_replay::report::{
    Report,
    Row, //
};

/// `Placement` is what one way to place gave.
#[derive(Debug, Serialize)]
struct Placement {
    placement: String,
    /// Share of returning chats that found their prefix.
    reuse: f64,
    /// The same with imported prefixes.
    reuse_imported: f64,
    /// Share of returning chats' tokens that needed no prefill.
    token_reuse: f64,
    /// Worst load over the mean.
    skew_worst: f64,
    /// Worst load above the multiple of the mean, in requests.
    skew_excess: f64,
    /// Share of the time in which an engine was above the multiple rounded up.
    skew_over: f64,
    /// Worst load over the mean half of the time.
    skew_typical: f64,
    requests: u64,
    done: u64,
    refused: u64,
    attempts: u64,
}

impl From<&Row> for Placement {
    fn from(row: &Row) -> Self {
        Self {
            placement: row.kind.to_string(),
            reuse: row.reuse(),
            reuse_imported: row.reuse_imported(),
            token_reuse: row.token_reuse(),
            skew_worst: row.skew.worst,
            skew_excess: row.skew.excess,
            skew_over: row.skew.over,
            skew_typical: row.skew.typical,
            requests: row.account.requests,
            done: row.account.done,
            refused: row.account.refused,
            attempts: row.account.attempts,
        }
    }
}

/// `Outcome` is a whole report.
#[derive(Debug, Serialize)]
pub(super) struct Outcome {
    trace: String,
    met: bool,
    failures: Vec<String>,
    placements: Vec<Placement>,
    reuse_of_oracle_percent: f64,
    reasons: IndexMap<String, u64>,
    peer_bytes_per_s: u64,
    poll_bytes_per_s: u64,
    revisions: Vec<u64>,
    cut: u64,
}

impl Outcome {
    /// Makes the outcome of a report.
    pub(super) fn new(report: &Report, failures: Vec<String>) -> Self {
        Self {
            trace: report.name.clone(),
            met: failures.is_empty(),
            failures,
            placements: report.rows.iter().map(Placement::from).collect(),
            reuse_of_oracle_percent: report.reuse_of_oracle(),
            reasons: report.reasons.iter().cloned().collect(),
            peer_bytes_per_s: report.peer_bytes_per_s,
            poll_bytes_per_s: report.poll_bytes_per_s,
            revisions: report.revisions.clone(),
            cut: report.cut,
        }
    }
}
