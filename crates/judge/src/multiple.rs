//! The load multiple: in no five calm seconds may more than a few requests reach an endpoint that holds more than
//! [`MULTIPLE`] times the mean of its service and [`SLACK`] besides.
//!
//! An endpoint holds what it has accepted and not yet ended: running and waiting requests, those whose caller has left while
//! it works on, and those whose answer was lost. The mean is over all endpoints of the service that are up, also those
//! that get little because they are cold, leaving or evacuated.

use std::{
    collections::BTreeMap,
    ops::Range, //
};

/// Greatest multiple of the mean load at which an endpoint may still get requests.
pub const MULTIPLE: f64 = 2.0;
/// Requests beyond the multiple.
pub const SLACK: f64 = 3.0;
/// Length of a window, in milliseconds.
pub const WINDOW: u64 = 5000;
/// Distance between the beginnings of two windows, in milliseconds.
pub const STEP: u64 = 250;
/// Fewest requests over the multiple in a window that break the rule.
pub const LEAST_OVER: usize = 20;
/// Share of a window's requests that may be over the multiple.
pub const SHARE: f64 = 0.03;

/// `Change` is what happens to a request at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The endpoint accepts it.
    Accepted,
    /// The endpoint turns it away.
    Rejected,
    /// The endpoint holds it no longer.
    Ended,
}

/// `Note` is one change at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Note {
    /// When, in milliseconds.
    pub at: u64,
    /// Number of the endpoint.
    pub endpoint: usize,
    /// What.
    pub change: Change,
    /// Whether the request counts against the rule; one from a router that is out of touch does not.
    pub counts: bool,
}

/// `Arrival` is a request that reached an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When, in milliseconds.
    pub at: u64,
    /// Number of the endpoint.
    pub endpoint: usize,
    /// Requests that the endpoint held before.
    pub held: u32,
    /// Mean over the service's endpoints that were up.
    pub mean: f64,
    /// Whether the request counts against the rule.
    pub counts: bool,
}

impl Arrival {
    /// Tells whether the endpoint held too much, by a router that was in touch.
    pub fn is_over(&self) -> bool {
        self.counts && is_over(f64::from(self.held), self.mean)
    }
}

/// Tells whether an endpoint that holds so much is over the multiple.
pub fn is_over(held: f64, mean: f64) -> bool {
    held > mean * MULTIPLE + SLACK
}

/// `Window` is one span of [`WINDOW`] milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Window {
    /// When it begins.
    pub from: u64,
    /// Requests that reached an endpoint.
    pub arrivals: usize,
    /// Those that reached one over the multiple.
    pub over: usize,
}

impl Window {
    /// Gets the share of requests over the multiple.
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    pub fn share(&self) -> f64 {
        self.over as f64 / self.arrivals.max(1) as f64
    }

    /// Tells whether it breaks the rule.
    pub fn is_broken(&self) -> bool {
        self.over >= LEAST_OVER && self.share() > SHARE
    }
}

/// Gets the arrivals from the notes of one service's endpoints; `up` says when each endpoint was up.
pub fn arrivals(notes: &[Note], up: &BTreeMap<usize, Range<u64>>) -> Vec<Arrival> {
    let mut notes = notes.to_vec();
    notes.sort_by_key(|note| note.at);
    let mut held: BTreeMap<usize, u32> = BTreeMap::new();
    let mut arrivals = Vec::new();
    for note in notes {
        let own = held.get(&note.endpoint).copied().unwrap_or_default();
        if note.change != Change::Ended {
            let present = up.iter().filter(|(_, span)| span.contains(&note.at));
            let present: Vec<usize> = present.map(|(endpoint, _)| *endpoint).collect();
            let all = present.iter().filter_map(|endpoint| held.get(endpoint));
            let all: u32 = all.sum();
            let count = u32::try_from(present.len().max(1)).unwrap_or(u32::MAX);
            arrivals.push(Arrival {
                at: note.at,
                endpoint: note.endpoint,
                held: own,
                mean: f64::from(all) / f64::from(count),
                counts: note.counts,
            });
        }
        let next = match note.change {
            Change::Accepted => own.saturating_add(1),
            Change::Rejected => own,
            Change::Ended => own.saturating_sub(1),
        };
        held.insert(note.endpoint, next);
    }
    arrivals
}

/// Counts the windows that lie between `first` and the last arrival; `over` holds the time of each arrival, in order,
/// and whether it was over the multiple.
pub fn windows(over: &[(u64, bool)], first: u64) -> Vec<Window> {
    let last = over.last().map_or(0, |(at, _)| *at);
    let mut windows = Vec::new();
    let mut from = first;
    // A run that is shorter than a window is judged as one.
    while from + WINDOW <= last || windows.is_empty() {
        let begin = over.partition_point(|(at, _)| *at < from);
        let end = over.partition_point(|(at, _)| *at < from + WINDOW);
        let inside = &over[begin..end];
        windows.push(Window {
            from,
            arrivals: inside.len(),
            over: inside.iter().filter(|(_, over)| *over).count(),
        });
        from += STEP;
    }
    windows
}

/// Judges the arrivals at one service's endpoints in all windows that no disturbance of an endpoint overlaps.
pub fn calm_windows(arrivals: &[Arrival], disturbed: &[Range<u64>]) -> Vec<Window> {
    let over: Vec<(u64, bool)> = arrivals.iter().map(|a| (a.at, a.is_over())).collect();
    let first = over.first().map_or(0, |(at, _)| *at);
    let mut windows = windows(&over, first);
    windows.retain(|window| {
        let overlaps =
            |span: &Range<u64>| span.start < window.from + WINDOW && span.end > window.from;
        !disturbed.iter().any(overlaps)
    });
    windows
}

/// Gets the window with the greatest share of requests over the multiple.
pub fn worst(windows: &[Window]) -> Option<Window> {
    let by_share = |a: &&Window, b: &&Window| a.share().total_cmp(&b.share());
    windows.iter().max_by(by_share).copied()
}
