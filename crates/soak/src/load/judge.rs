//! What callers are owed under hard load, whatever the endpoints have room for.

use std::{
    collections::HashSet,
    fmt, //
};

use indexmap::IndexMap;
use toucanturn_platform_standin::replica::RequestEventKind;

use crate::load::{
    fleet::Seen,
    sheet::Sheet, //
};

/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Time after the route's timeout within which an answer must have come, in milliseconds.
const SLACK_MS: u64 = 500;
/// Greatest difference between the parts of two workspaces' requests that are served.
const MAX_DIFFERENCE: f64 = 0.1;
/// Requests from which on a workspace is compared: with fewer, chance alone makes such a difference.
const MIN_REQUESTS: usize = 400;

/// `Finding` is a promise that was not kept.
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// Requests were refused as not run, and have run.
    RanThoughRefused {
        /// Their ids.
        ids: Vec<String>,
    },
    /// Callers were kept waiting for longer than their route's timeout.
    Late {
        /// Ids and milliseconds.
        waits: Vec<(String, u64)>,
    },
    /// Workspaces that send their usual were not served alike.
    Unequal {
        /// Part of the requests that was served, by workspace.
        served: Vec<(usize, f64)>,
    },
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Finding::RanThoughRefused { ids } => write!(f, "ran though refused: {ids:?}"),
            Finding::Late { waits } => write!(f, "past the timeout: {waits:?}"),
            Finding::Unequal { served } => write!(f, "served unequally: {served:?}"),
        }
    }
}

/// Judges a run; the workspace `crowding` sent more than its usual.
pub fn judge(sheet: &Sheet, seen: &Seen, crowding: Option<usize>) -> Vec<Finding> {
    let mut findings = Vec::new();
    let ids = ran_though_refused(seen);
    if !ids.is_empty() {
        findings.push(Finding::RanThoughRefused { ids });
    }
    let waits = late(sheet, seen);
    if !waits.is_empty() {
        findings.push(Finding::Late { waits });
    }
    let served = served(sheet, seen, crowding);
    let shares = || served.iter().map(|(_, share)| *share);
    let most = shares().fold(0.0, f64::max);
    let least = shares().fold(1.0, f64::min);
    if most - least > MAX_DIFFERENCE {
        findings.push(Finding::Unequal { served });
    }
    findings
}

/// Lists the requests that were refused as not run, and that an endpoint began to run at any time.
fn ran_though_refused(seen: &Seen) -> Vec<String> {
    let began = seen
        .notes
        .iter()
        .filter(|note| note.what == RequestEventKind::Began);
    let began: HashSet<&str> = began.map(|note| note.id.as_str()).collect();
    let refused = seen.calls.iter().filter(|c| NOT_RUN.contains(&c.status));
    let ran = refused.filter(|call| began.contains(call.id.as_str()));
    ran.map(|call| call.id.clone()).collect()
}

/// Lists the requests without an answer at their route's timeout and the slack.
fn late(sheet: &Sheet, seen: &Seen) -> Vec<(String, u64)> {
    let timeout = |route| {
        let kind = sheet.kinds.iter().find(|kind| kind.route.name == route);
        kind.map_or(u64::MAX, |kind| kind.route.times_ms.0)
    };
    let waits = seen.calls.iter().filter_map(|call| {
        let waited = call.times.1.saturating_sub(call.times.0);
        let bound = timeout(call.route).saturating_add(SLACK_MS);
        (waited > bound).then(|| (call.id.clone(), waited))
    });
    waits.collect()
}

/// Gets the part of the requests to pools that was served, at the first attempt or a later one, of each workspace that sent its
/// usual.
pub fn served(sheet: &Sheet, seen: &Seen, crowding: Option<usize>) -> Vec<(usize, f64)> {
    let plain = |route| {
        let mut kinds = sheet.kinds.iter();
        kinds.any(|kind| kind.route.name == route && kind.prompt.is_none())
    };
    let mut requests: IndexMap<(usize, u64), bool> = IndexMap::new();
    for call in seen.calls.iter().filter(|call| plain(call.route)) {
        let served = requests.entry((call.workspace, call.request)).or_default();
        *served |= call.status == 200;
    }
    let mut counts: IndexMap<usize, (usize, usize)> = IndexMap::new();
    for ((workspace, _), served) in requests {
        let (good, all) = counts.entry(workspace).or_default();
        *good += usize::from(served);
        *all += 1;
    }
    counts.sort_keys();
    let usual = counts
        .into_iter()
        .filter(|(workspace, (_, all))| Some(*workspace) != crowding && *all >= MIN_REQUESTS);
    usual
        .map(|(workspace, (good, all))| (workspace, good as f64 / all as f64))
        .collect()
}
