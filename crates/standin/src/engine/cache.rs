//! The prefix cache, and the events it publishes late and with gaps.

use indexmap::IndexMap;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    collections::VecDeque,
    time::Duration, //
};
use tokio::time::Instant;

/// Most events kept; beyond it the oldest is forgotten, which readers see as a gap.
const MAX_EVENTS: usize = 4096;
/// Number of the first event, so that `since=0` reads everything.
const FIRST_NUMBER: u64 = 1;

/// `Kind` is what happened to a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// It's in the cache now.
    Stored,
    /// It's no longer in the cache.
    Evicted,
}

/// `Event` is one change of the cache.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Event {
    /// Its number; they count up without a hole, lost ones included.
    pub number: u64,
    /// The prefix that it's about.
    pub prefix: String,
    /// What happened.
    pub kind: Kind,
}

/// `Events` is what a reader is told.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Events {
    /// What to ask for next time.
    pub next: u64,
    /// Whether events between the number asked for and `next` are missing.
    pub gap: bool,
    /// The events, by number.
    pub events: Vec<Event>,
}

/// `Settings` of the cache.
#[derive(Clone, Copy, Debug)]
pub(super) struct Settings {
    pub(super) prefixes: usize,
    pub(super) event_lag: Duration,
    pub(super) event_loss: f64,
    pub(super) seed: u64,
}

/// `Published` is an event with its time, none for a lost one.
type Published = (Instant, Option<Event>);

/// `Cache` is a bounded set of prefixes, the least recently used evicted first.
#[derive(Debug)]
pub(super) struct Cache {
    settings: Settings,
    /// Tokens of each prefix, the least recently used first.
    prefixes: IndexMap<String, usize>,
    events: VecDeque<Published>,
    /// Number of the next event.
    next: u64,
    random: StdRng,
}

impl Cache {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            settings,
            prefixes: IndexMap::new(),
            events: VecDeque::new(),
            next: FIRST_NUMBER,
            random: StdRng::seed_from_u64(settings.seed),
        }
    }

    /// Gets the tokens of a cached prefix.
    pub(super) fn tokens(&self, prefix: &str) -> Option<usize> {
        self.prefixes.get(prefix).copied()
    }

    /// Stores a prefix as the most recently used one.
    pub(super) fn store(&mut self, prefix: &str, tokens: usize) {
        if self.settings.prefixes == 0 {
            return;
        }
        if self.prefixes.shift_remove(prefix).is_none() {
            self.make_room();
            self.publish(prefix, Kind::Stored);
        }
        self.prefixes.insert(prefix.into(), tokens);
    }

    /// Evicts everything.
    pub(super) fn clear(&mut self) {
        for (prefix, _) in std::mem::take(&mut self.prefixes) {
            self.publish(&prefix, Kind::Evicted);
        }
    }

    /// Gets the visible events from number `since` on.
    pub(super) fn events_since(&self, since: u64) -> Events {
        let now = Instant::now();
        let first = self.next - self.events.len() as u64;
        let visible = self
            .events
            .partition_point(|(at, _)| *at + self.settings.event_lag <= now);
        let next = first + visible as u64;
        let from = since.max(FIRST_NUMBER);
        let skip = usize::try_from(from.saturating_sub(first)).unwrap_or(usize::MAX);
        let asked = self.events.iter().take(visible).skip(skip);
        let events: Vec<_> = asked.filter_map(|(_, event)| event.clone()).collect();
        let gap = (events.len() as u64) < next.saturating_sub(from);
        Events { next, gap, events }
    }

    fn make_room(&mut self) {
        while self.prefixes.len() >= self.settings.prefixes {
            let Some((oldest, _)) = self.prefixes.shift_remove_index(0) else {
                return;
            };
            self.publish(&oldest, Kind::Evicted);
        }
    }

    fn publish(&mut self, prefix: &str, kind: Kind) {
        let lost = self.random.random_bool(self.settings.event_loss);
        let event = Event {
            number: self.next,
            prefix: prefix.into(),
            kind,
        };
        self.next += 1;
        self.events
            .push_back((Instant::now(), (!lost).then_some(event)));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
