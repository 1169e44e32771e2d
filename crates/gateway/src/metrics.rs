//! Counters, gauges and latency histograms in the text format of Prometheus.

use std::{
    cell::RefCell,
    fmt::Write as _, //
};

use indexmap::IndexMap;
use toucanturn_core::units::Millis;

/// Upper bounds of the histogram buckets in milliseconds, each about twice the one before.
const BUCKET_BOUNDS_MS: [u64; 14] = [
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 20_000,
];

/// `Metrics` holds all counters, gauges and histograms of the process.
#[derive(Debug, Default)]
pub struct Metrics {
    counters: RefCell<IndexMap<(&'static str, String), u64>>,
    gauges: RefCell<IndexMap<(&'static str, &'static str), usize>>,
    histograms: RefCell<IndexMap<(&'static str, String), Histogram>>,
}

#[derive(Debug, Default)]
struct Histogram {
    buckets: [u64; BUCKET_BOUNDS_MS.len()],
    count: u64,
    sum: u64,
}

impl Metrics {
    /// Increments a counter; `label` must come from a bounded set.
    pub fn count(&self, name: &'static str, label: &str) {
        let mut counters = self.counters.borrow_mut();
        *counters.entry((name, label.to_owned())).or_default() += 1;
    }

    /// Adds a duration to a histogram; `label` must come from a bounded set.
    pub fn time(&self, name: &'static str, label: &str, duration: Millis) {
        let mut histograms = self.histograms.borrow_mut();
        let entry = histograms.entry((name, label.to_owned())).or_default();
        entry.count += 1;
        entry.sum += duration.0;
        if let Some(index) = BUCKET_BOUNDS_MS
            .iter()
            .position(|bound| duration.0 <= *bound)
        {
            entry.buckets[index] += 1;
        }
    }

    /// Sets a gauge; `label` must come from a bounded set.
    pub fn gauge(&self, name: &'static str, label: &'static str, value: usize) {
        self.gauges.borrow_mut().insert((name, label), value);
    }

    /// Returns all metrics in the text format of Prometheus (version 0.0.4).
    pub fn text(&self) -> String {
        let mut out = String::new();
        for ((name, label), value) in self.counters.borrow().iter() {
            let _ = writeln!(out, "toucanturn_{name}_total{{what=\"{label}\"}} {value}");
        }
        for ((name, label), value) in self.gauges.borrow().iter() {
            let _ = writeln!(out, "toucanturn_{name}{{what=\"{label}\"}} {value}");
        }
        for ((name, label), histogram) in self.histograms.borrow().iter() {
            let mut cumulative = 0;
            for (bound, count) in BUCKET_BOUNDS_MS.iter().zip(histogram.buckets) {
                cumulative += count;
                let _ = writeln!(
                    out,
                    "toucanturn_{name}_ms_bucket{{what=\"{label}\",le=\"{bound}\"}} {cumulative}"
                );
            }
            let _ = writeln!(
                out,
                "toucanturn_{name}_ms_bucket{{what=\"{label}\",le=\"+Inf\"}} {0}\n\
                 toucanturn_{name}_ms_sum{{what=\"{label}\"}} {1}\n\
                 toucanturn_{name}_ms_count{{what=\"{label}\"}} {0}",
                histogram.count, histogram.sum
            );
        }
        out
    }
}
