//! How long the answers of each route took lately.
//!
//! A route's time limit is many times what most of its answers take. A router that stops judges by this whether a
//! request ends in time.

use std::collections::VecDeque;

use bytes::Bytes;
use indexmap::IndexMap;

use crate::{
    gateway::incoming_request::Length,
    units::{
        Millis,
        Permille,
        Time, //
    },
};

/// Routes and classes of prompts that are remembered.
const MAX_KINDS: usize = 512;
/// Newest answers of each that are remembered.
const MAX_SAMPLES: usize = 64;
/// Time for which an answer counts.
const MAX_AGE: Millis = Millis(120_000);
/// Fewest answers that say how long the next one takes.
const MIN_SAMPLES: usize = 5;
/// Least part of its time by which the next answer may take longer than those before.
const MIN_SPREAD: Permille = Permille(50);
/// Share of the answers that are at most as long as their median.
const MEDIAN: Permille = Permille(500);

/// `Sample` is how long one answer took.
#[derive(Clone, Copy, Debug)]
struct Sample {
    ended: Time,
    took: Millis,
}

/// `Durations` remembers how long answers took, by route and class of prompts.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Durations {
    kinds: IndexMap<(Bytes, Option<Length>), VecDeque<Sample>>,
}

impl Durations {
    /// Records how long an answer took, from its request's first byte to the answer's end.
    pub(in crate::gateway) fn record(
        &mut self,
        now: Time,
        kind: (&Bytes, Option<Length>),
        took: Millis,
    ) {
        let kind = (kind.0.clone(), kind.1);
        if !self.kinds.contains_key(&kind) && self.kinds.len() >= MAX_KINDS {
            self.kinds
                .retain(|_, samples| samples.back().is_some_and(|s| counts(now, s)));
            if self.kinds.len() >= MAX_KINDS {
                return;
            }
        }
        let samples = self.kinds.entry(kind).or_default();
        if samples.len() == MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back(Sample { ended: now, took });
    }

    /// Gets the time in which this share of the last answers ended, and as much more as that is above their median; `None`
    /// if too few are known. A class of prompts of which too few are known counts as the slowest class of its route.
    pub(in crate::gateway) fn expected(
        &self,
        now: Time,
        kind: (&Bytes, Option<Length>),
        share: Permille,
    ) -> Option<Millis> {
        let of_class = self.kinds.get(&(kind.0.clone(), kind.1));
        let expected = of_class.and_then(|samples| with_spread(now, samples, share));
        let of_route = || {
            let of_route = self.kinds.iter().filter(|((route, _), _)| route == kind.0);
            of_route
                .filter_map(|(_, s)| with_spread(now, s, share))
                .max()
        };
        expected.or_else(of_route)
    }
}

fn counts(now: Time, sample: &Sample) -> bool {
    now.since(sample.ended) <= MAX_AGE
}

/// Gets the time in which a share of the answers ended, with the spread of the next one.
fn with_spread(now: Time, samples: &VecDeque<Sample>, share: Permille) -> Option<Millis> {
    let recent = samples.iter().filter(|s| counts(now, s));
    let mut took: Vec<Millis> = recent.map(|s| s.took).collect();
    if took.len() < MIN_SAMPLES {
        return None;
    }
    took.sort_unstable();
    let within = quantile(&took, share)?;
    let above = within.0.saturating_sub(quantile(&took, MEDIAN)?.0);
    let least = within.0.saturating_mul(MIN_SPREAD.0.into()) / 1000;
    Some(within + Millis(above.max(least)))
}

/// Gets the shortest of the times, which are sorted, that this share of them doesn't exceed.
fn quantile(took: &[Millis], share: Permille) -> Option<Millis> {
    let share = usize::try_from(share.0).unwrap_or(usize::MAX);
    let within = took.len().saturating_mul(share).div_ceil(1000);
    took.get(within.saturating_sub(1)).copied()
}
