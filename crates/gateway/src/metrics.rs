//! Counters and latencies, as text for whoever asks.

use std::{
    cell::RefCell,
    fmt::Write as _, //
};

use indexmap::IndexMap;
use toucanturn_core::units::Millis;

/// Upper bounds of the latency classes in milliseconds; each about twice the one before.
const BUCKET_BOUNDS_MS: [u64; 14] = [
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 20_000,
];

/// `Metrics` is all counters and histograms of this process.
#[derive(Debug, Default)]
pub struct Metrics {
    counters: RefCell<IndexMap<(&'static str, String), u64>>,
    times: RefCell<IndexMap<(&'static str, String), Histogram>>,
}

#[derive(Debug, Default)]
struct Histogram {
    buckets: [u64; BUCKET_BOUNDS_MS.len()],
    count: u64,
    sum: u64,
}

impl Metrics {
    /// Counts one event; `label` must come from a bounded set.
    pub fn count(&self, name: &'static str, label: &str) {
        let mut counters = self.counters.borrow_mut();
        *counters.entry((name, label.to_owned())).or_default() += 1;
    }

    /// Notes how long something took.
    pub fn time(&self, name: &'static str, label: &str, took: Millis) {
        let mut times = self.times.borrow_mut();
        let entry = times.entry((name, label.to_owned())).or_default();
        entry.count += 1;
        entry.sum += took.0;
        if let Some(at) = BUCKET_BOUNDS_MS.iter().position(|bound| took.0 <= *bound) {
            entry.buckets[at] += 1;
        }
    }

    /// Writes all of them in the text format of Prometheus (version 0.0.4).
    pub fn text(&self) -> String {
        let mut out = String::new();
        for ((name, label), value) in self.counters.borrow().iter() {
            let _ = writeln!(out, "toucanturn_{name}_total{{what=\"{label}\"}} {value}");
        }
        for ((name, label), times) in self.times.borrow().iter() {
            let mut below = 0;
            for (bound, count) in BUCKET_BOUNDS_MS.iter().zip(times.buckets) {
                below += count;
                let _ = writeln!(
                    out,
                    "toucanturn_{name}_ms_bucket{{what=\"{label}\",le=\"{bound}\"}} {below}"
                );
            }
            let _ = writeln!(
                out,
                "toucanturn_{name}_ms_bucket{{what=\"{label}\",le=\"+Inf\"}} {0}\n\
                 toucanturn_{name}_ms_sum{{what=\"{label}\"}} {1}\n\
                 toucanturn_{name}_ms_count{{what=\"{label}\"}} {0}",
                times.count, times.sum
            );
        }
        out
    }
}
