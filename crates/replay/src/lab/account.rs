//! What an experiment shows: by the time to the first event, the load multiple, and what was read.

use hdrhistogram::Histogram;
use toucanturn_judge::multiple;

/// Fewest requests of a window that says something.
const MULTIPLE_LEAST: usize = 20;
/// Length of the windows over which the worst moment is judged, in milliseconds.
const WORST_SPAN: u64 = 2000;

/// Length of the windows in which arrivals at an engine are counted, in milliseconds.
const CROWD_SPAN: u64 = 100;

/// `Arrival` is one request that reached an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When, in milliseconds.
    pub at: u64,
    /// Whether the engine was over the multiple then.
    pub over: bool,
}

/// `Outcome` is what became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// When its caller first sent it.
    pub asked: u64,
    /// Its kind.
    pub kind: usize,
    /// Tokens of its prompt.
    pub tokens: u32,
    /// Time until its first event, if one came.
    pub first: Option<u64>,
    /// Whether that was in time.
    pub on_time: bool,
}

/// `Decision` is one placement beside the best that could be had with the state of all engines at that moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// When, in milliseconds.
    pub at: u64,
    /// The kind of request.
    pub kind: usize,
    /// Milliseconds from then until the first event at the engine that was chosen, if nothing else came.
    pub chosen: u64,
    /// The same at the best engine.
    pub best: u64,
    /// Milliseconds that were left until the answer is late.
    pub left: u64,
}

impl Decision {
    /// Tells whether the request would be late where it was sent, and in time at the best engine.
    pub fn is_missed(&self) -> bool {
        self.chosen > self.left && self.best <= self.left
    }
}

/// `Account` is the result of one experiment.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// All arrivals, in order.
    pub arrivals: Vec<Arrival>,
    /// All requests, in order.
    pub outcomes: Vec<Outcome>,
    /// Tokens of shared parts that were read.
    pub read: u64,
    /// Tokens of shared parts that were read though another engine held them.
    pub read_again: u64,
    /// Tokens of shared parts that were fetched from another engine.
    pub moved: u64,
    /// When engines were ended by a request, in order.
    pub crashes: Vec<u64>,
    /// When requests that end engines reached one, in order.
    pub fatal: Vec<u64>,
    /// Answers of other requests that broke off as their engine ended.
    pub broken: usize,
    /// Other requests that were held back.
    pub held: usize,
    /// When engines turned requests away, in order.
    pub rejected: Vec<u64>,
    /// When engines crashed as they had to turn too many requests away, in order.
    pub falls: Vec<u64>,
    /// Arrivals from a router at an engine in the time for which the engine had asked it for none, beyond those that
    /// are allowed.
    pub in_back_off: usize,
    /// Arrivals from a router at an engine that had told it that it leaves, later than allowed.
    pub after_leaving: usize,
    /// Queries that routers sent to keepers of prefill backlogs.
    pub queries: usize,
    /// Queries that had no estimate in time.
    pub silent: usize,
    /// Notes that routers sent to keepers.
    pub notes: usize,
    /// Decisions that were compared with the best one.
    pub decisions: Vec<Decision>,
    /// Arrivals by engine and tenth of a second.
    pub crowds: std::collections::BTreeMap<(u64, usize), u32>,
}

impl Account {
    /// Gets the largest share of requests over the multiple in any window, with where it begins.
    pub fn worst_multiple(&self) -> (f64, u64) {
        self.worst_multiple_since(0)
    }

    /// Gets the same for windows that begin at a time or later.
    pub fn worst_multiple_since(&self, first: u64) -> (f64, u64) {
        let over: Vec<(u64, bool)> = self.arrivals.iter().map(|a| (a.at, a.over)).collect();
        let mut windows = multiple::windows(&over, first);
        windows.retain(|window| window.arrivals >= MULTIPLE_LEAST);
        let worst = multiple::worst(&windows).unwrap_or_default();
        (worst.share(), worst.from)
    }

    /// Counts the arrivals of requests that end engines later than `known` after the third engine ended.
    pub fn late_fatal(&self, known: u64) -> usize {
        let third = self.crashes.get(2);
        let late = |third: &u64| self.fatal.iter().filter(|at| **at > third + known).count();
        third.map_or(0, late)
    }

    /// Gets the most requests that reached an engine in a tenth of a second, in a span.
    pub fn largest_crowd(&self, from: u64, to: u64) -> u32 {
        let span = self
            .crowds
            .range((from / CROWD_SPAN, 0)..(to / CROWD_SPAN, 0));
        span.map(|(_, count)| *count).max().unwrap_or_default()
    }

    /// Counts an arrival at an engine.
    pub fn count_arrival(&mut self, now: u64, engine: usize) {
        *self.crowds.entry((now / CROWD_SPAN, engine)).or_default() += 1;
    }

    /// Gets the milliseconds by which the chosen engine's first event would come later than the best one's, which a share
    /// of the compared decisions stayed below.
    pub fn regret(&self, share: f64) -> u64 {
        let Ok(mut times) = Histogram::<u64>::new(3) else {
            return 0;
        };
        for decision in &self.decisions {
            times.saturating_record(decision.chosen - decision.best);
        }
        times.value_at_quantile(share)
    }

    /// Gets the share of compared decisions, in a span, that made a request late that could have been in time.
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    pub fn missed(&self, from: u64, to: u64) -> f64 {
        let within = |d: &&Decision| (from..to).contains(&d.at);
        let window: Vec<&Decision> = self.decisions.iter().filter(within).collect();
        let missed = window.iter().filter(|d| d.is_missed()).count();
        missed as f64 / window.len().max(1) as f64
    }

    /// Gets the share of requests that were answered in time, of those asked in a span.
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    pub fn on_time(&self, from: u64, to: u64) -> f64 {
        let asked = |o: &&Outcome| (from..to).contains(&o.asked);
        let window: Vec<&Outcome> = self.outcomes.iter().filter(asked).collect();
        let good = window.iter().filter(|o| o.on_time).count();
        good as f64 / window.len().max(1) as f64
    }

    /// Gets the smallest share of requests that were answered in time, of any window.
    pub fn worst_window(&self, length: u64) -> f64 {
        let windows = (0..length.saturating_sub(WORST_SPAN)).step_by(250);
        let shares = windows.map(|from| self.on_time(from, from + WORST_SPAN));
        shares.fold(1.0, f64::min)
    }

    /// Gets the time to the first event that a share of a kind's requests stayed below.
    pub fn first(&self, kind: usize, share: f64) -> u64 {
        self.first_in(kind, share, 0, u64::MAX)
    }

    /// Gets the same for the requests that were asked in a span.
    pub fn first_in(&self, kind: usize, share: f64, from: u64, to: u64) -> u64 {
        self.first_where(share, |o| o.kind == kind && (from..to).contains(&o.asked))
    }

    /// Gets the time to the first event that a share of some requests stayed below.
    pub fn first_where(&self, share: f64, counts: impl Fn(&Outcome) -> bool) -> u64 {
        let Ok(mut times) = Histogram::<u64>::new(3) else {
            return 0;
        };
        let counted = self.outcomes.iter().filter(|o| counts(o));
        for first in counted.filter_map(|o| o.first) {
            times.saturating_record(first);
        }
        times.value_at_quantile(share)
    }
}
