//! What a replay gives: cache reuse, skew and control bytes, beside the stated outcomes.

use std::fmt::Write as _;

use crate::{
    baseline::Kind,
    engine::SAMPLE_MS,
    trace::{
        Expect,
        Setup, //
    },
    world::{
        Account,
        World, //
    },
};

/// Samples in the window over which skew is judged.
const WINDOW: usize = (1000 / SAMPLE_MS) as usize;
/// Least mean at which the plain multiple is judged; below it a single request weighs too much.
const STEADY_MEAN: f64 = 8.0;

/// `Skew` is the unevenness of a pool over every one-second window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Skew {
    /// Worst load over the mean, in windows with a mean of 8 or more.
    pub worst: f64,
    /// Worst load above the published multiple of the mean, in requests.
    pub excess: f64,
    /// Worst load above the published multiple of the mean rounded up, in requests.
    pub beyond: f64,
    /// When that was.
    pub beyond_at: u64,
    /// Share of windows in which some engine was above the multiple rounded up.
    pub over: f64,
    /// Worst load over the mean in the median window.
    pub typical: f64,
    /// Mean load over all windows.
    pub mean: f64,
}

impl Skew {
    /// Measures the engines `pool` of a world under the multiple.
    pub fn measure(world: &World, pool: &[usize], multiple: f64) -> Self {
        let samples = world.engines.first().map_or(0, |e| e.areas.len());
        let mut skew = Self::default();
        let mut ratios = Vec::new();
        let (mut over, mut windows, mut sum) = (0u64, 0u64, 0.0);
        for start in 0..(samples + 1).saturating_sub(WINDOW) {
            let span = start..start + WINDOW;
            let engine = |e: &usize| &world.engines[*e];
            let live = |e: &usize| engine(e).live[span.clone()].iter().all(|l| *l);
            let load =
                |e: &usize| engine(e).areas[span.clone()].iter().sum::<u64>() as f64 / 1000.0;
            let loads: Vec<f64> = pool.iter().filter(|e| live(e)).map(load).collect();
            let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
            let most = loads.iter().copied().fold(0.0, f64::max);
            if mean == 0.0 {
                continue;
            }
            windows += 1;
            sum += mean;
            ratios.push(most / mean);
            skew.excess = skew.excess.max(most - multiple * mean);
            let beyond = most - (multiple * mean).ceil();
            if beyond > skew.beyond {
                skew.beyond = beyond;
                skew.beyond_at = start as u64 * SAMPLE_MS;
            }
            over += u64::from(most > (multiple * mean).ceil());
            if mean >= STEADY_MEAN {
                skew.worst = skew.worst.max(most / mean);
            }
        }
        ratios.sort_by(f64::total_cmp);
        skew.typical = ratios.get(ratios.len() / 2).copied().unwrap_or_default();
        skew.over = over as f64 / windows.max(1) as f64;
        skew.mean = sum / windows.max(1) as f64;
        skew
    }
}

/// `Row` is what one way to place gives.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The way.
    pub kind: Kind,
    /// Counts.
    pub account: Account,
    /// Unevenness over the engines.
    pub skew: Skew,
}

impl Row {
    /// Gets the share of returning chats that found their prefix at the engine.
    pub fn reuse(&self) -> f64 {
        self.account.found as f64 / self.account.returns.max(1) as f64
    }

    /// Gets the same with prefixes that were imported.
    pub fn reuse_imported(&self) -> f64 {
        let found = self.account.found + self.account.imported;
        found as f64 / self.account.returns.max(1) as f64
    }

    /// Gets the share of returning chats' tokens that needed no prefill.
    pub fn token_reuse(&self) -> f64 {
        self.account.cached as f64 / self.account.tokens.max(1) as f64
    }
}

/// `Report` is the outcome of a replay.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Name of the trace.
    pub name: String,
    /// What was stated.
    pub expect: Expect,
    /// One row for each way to place, the library's first.
    pub rows: Vec<Row>,
    /// Placements of the library by reason.
    pub reasons: Vec<(String, u64)>,
    /// Bytes a second and router between routers, sent and received.
    pub peer_bytes_per_s: u64,
    /// Bytes a second and router of polls and probes.
    pub poll_bytes_per_s: u64,
    /// Bytes a second and router by kind of message, sent and received.
    pub bytes: Vec<(&'static str, u64)>,
    /// Revisions in force at the end, by router.
    pub revisions: Vec<u64>,
    /// Calls cut off by a router's end.
    pub cut: u64,
}

impl Report {
    /// Gets the row of a way to place.
    pub fn row(&self, kind: Kind) -> Option<&Row> {
        self.rows.iter().find(|r| r.kind == kind)
    }

    /// Gets the reuse of the library as a share of the oracle's, in percent.
    pub fn reuse_of_oracle(&self) -> f64 {
        self.of_oracle(Row::reuse_imported)
    }

    /// Gets the same for engines' own caches.
    pub fn own_cache_of_oracle(&self) -> f64 {
        self.of_oracle(Row::reuse)
    }

    fn of_oracle(&self, reuse: impl Fn(&Row) -> f64) -> f64 {
        let reuse = |kind| self.row(kind).map_or(0.0, &reuse);
        100.0 * reuse(Kind::Toucanturn) / reuse(Kind::Oracle).max(f64::MIN_POSITIVE)
    }

    /// Gets the lead of the library's reuse over the best baseline's, in percentage points.
    pub fn lead(&self) -> f64 {
        let baselines = [
            Kind::Random,
            Kind::RoundRobin,
            Kind::LeastReported,
            Kind::Rendezvous,
        ];
        let others = self.rows.iter().filter(|r| baselines.contains(&r.kind));
        let best = others.map(Row::reuse_imported).fold(0.0, f64::max);
        let own = self.row(Kind::Toucanturn).map_or(0.0, Row::reuse_imported);
        100.0 * (own - best)
    }

    /// Gets the control bytes a second and router.
    pub fn control_bytes_per_s(&self) -> u64 {
        self.peer_bytes_per_s + self.poll_bytes_per_s
    }

    /// Lists the stated outcomes that did not come about.
    pub fn failures(&self) -> Vec<String> {
        let mut out = Vec::new();
        let Some(own) = self.row(Kind::Toucanturn) else {
            return vec!["expected a row of the library".to_owned()];
        };
        let expect = &self.expect;
        let mut least = |what: &str, found: f64, stated: Option<f64>| {
            if let Some(stated) = stated.filter(|s| found < *s) {
                out.push(format!(
                    "{what}: expected {stated} or more, found {found:.2}"
                ));
            }
        };
        let reuse = self.reuse_of_oracle();
        least("reuse of oracle", reuse, expect.reuse_of_oracle);
        let own_cache = self.own_cache_of_oracle();
        least("own cache of oracle", own_cache, expect.own_cache_of_oracle);
        least("lead over baselines", self.lead(), expect.lead);
        let mut most = |what: &str, found: f64, stated: Option<f64>| {
            if let Some(stated) = stated.filter(|s| found > *s) {
                out.push(format!(
                    "{what}: expected {stated} or less, found {found:.2}"
                ));
            }
        };
        most("slack", own.skew.beyond, expect.slack);
        most("worst multiple", own.skew.worst, expect.worst_multiple);
        let refused = expect.refused.map(|n| n as f64);
        most("refused", own.account.refused as f64, refused);
        let bytes = expect.control_bytes_per_s.map(|n| n as f64);
        most("control bytes", self.control_bytes_per_s() as f64, bytes);
        if let Some(stated) = expect.revision
            && self.revisions.iter().any(|r| *r != stated)
        {
            let found = &self.revisions;
            out.push(format!(
                "revision: expected {stated} everywhere, found {found:?}"
            ));
        }
        out
    }

    /// Writes the report as text.
    pub fn text(&self) -> String {
        let mut out = String::new();
        // INVARIANT: writing to a string doesn't fail.
        let _ = self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) -> std::fmt::Result {
        writeln!(out, "trace {}", self.name)?;
        writeln!(
            out,
            "{:<17} {:>6} {:>7} {:>7} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7}",
            "placement",
            "reuse",
            "+import",
            "tokens",
            "worst",
            "excess",
            "over",
            "typical",
            "done",
            "refused"
        )?;
        for row in &self.rows {
            writeln!(
                out,
                "{:<17} {:>5.1}% {:>6.1}% {:>6.1}% {:>6.2} {:>6.2} {:>5.1}% {:>7.2} {:>7} {:>7}",
                row.kind.to_string(),
                100.0 * row.reuse(),
                100.0 * row.reuse_imported(),
                100.0 * row.token_reuse(),
                row.skew.worst,
                row.skew.excess,
                100.0 * row.skew.over,
                row.skew.typical,
                row.account.done,
                row.account.refused,
            )?;
        }
        let own = self
            .row(Kind::Toucanturn)
            .map_or(Skew::default(), |r| r.skew);
        writeln!(
            out,
            "reuse {:.1}% of the oracle's, {:.1}% in engines' own caches; lead over baselines {:+.1} points",
            self.reuse_of_oracle(),
            self.own_cache_of_oracle(),
            self.lead()
        )?;
        writeln!(
            out,
            "mean load {:.2}; worst engine {:.2} requests above the multiple rounded up, at {} ms",
            own.mean, own.beyond, own.beyond_at
        )?;
        let kind = |(name, n): &(&str, u64)| format!("{name} {n}");
        let kinds: Vec<String> = self.bytes.iter().map(kind).collect();
        writeln!(
            out,
            "control bytes a second and router: {} between routers ({}), {} polls and probes",
            self.peer_bytes_per_s,
            kinds.join(", "),
            self.poll_bytes_per_s
        )?;
        let reason = |(name, n): &(String, u64)| format!("{name} {n}");
        let reasons: Vec<String> = self.reasons.iter().map(reason).collect();
        writeln!(
            out,
            "placed by: {}; cut off: {}",
            reasons.join(", "),
            self.cut
        )?;
        let failures = self.failures();
        if failures.is_empty() {
            return writeln!(out, "stated outcomes: met");
        }
        failures
            .iter()
            .try_for_each(|f| writeln!(out, "NOT MET {f}"))
    }
}

/// Gets the mean of `bytes` by router and second.
pub(crate) fn per_second(bytes: u64, setup: &Setup) -> u64 {
    bytes * 1000 / setup.until.max(1) / setup.routers.len().max(1) as u64
}
