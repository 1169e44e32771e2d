//! Engines of the replay: prefixes in bounded memory, least recently used out first, and work in
//! flight. Nothing of a batch, a clock or a network is modelled.

use indexmap::IndexMap;

use crate::trace::EngineState;

/// Time between two samples of the work in flight.
pub const SAMPLE_MS: u64 = 100;

/// `Engine` is one engine, or one replica of a plain service.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// True state.
    pub state: EngineState,
    /// Number of its life; goes up when it comes back.
    pub life: u64,
    /// Requests in progress.
    pub in_flight: u32,
    /// Work in flight at each sample.
    pub samples: Vec<u32>,
    /// Request-milliseconds within each sample.
    pub areas: Vec<u64>,
    /// Whether it took work throughout each sample.
    pub live: Vec<bool>,
    area: u64,
    since: u64,
    capacity: u64,
    held: u64,
    // Oldest first, by chat, with the tokens held.
    cache: IndexMap<u64, u64>,
}

impl Engine {
    /// Makes an engine whose cache holds `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            life: 1,
            ..Self::default()
        }
    }

    /// Changes the true state.
    pub fn change(&mut self, now: u64, state: EngineState) {
        if self.state == EngineState::Down && state == EngineState::Live {
            self.life += 1;
        }
        if state == EngineState::Down {
            self.cache.clear();
            self.held = 0;
            self.add(now, -i64::from(self.in_flight));
        }
        self.state = state;
    }

    /// Changes the work in flight.
    pub fn add(&mut self, now: u64, delta: i64) {
        self.area += u64::from(self.in_flight) * (now - self.since);
        self.since = now;
        let next = i64::from(self.in_flight) + delta;
        self.in_flight = u32::try_from(next).unwrap_or_default();
    }

    /// Takes a sample.
    pub fn sample(&mut self, now: u64) {
        self.add(now, 0);
        self.samples.push(self.in_flight);
        self.areas.push(std::mem::take(&mut self.area));
        self.live.push(self.state == EngineState::Live);
    }

    /// Gets the work in flight as it was `lag` before `now`.
    pub fn lagged(&self, now: u64, lag: u64) -> u32 {
        let at = usize::try_from(now.saturating_sub(lag) / SAMPLE_MS).unwrap_or(usize::MAX);
        let found = self.samples.get(at).or(self.samples.last());
        found.copied().unwrap_or_default()
    }

    /// Gets the tokens of a chat that the cache holds.
    pub fn cached(&self, chat: u64) -> u64 {
        self.cache.get(&chat).copied().unwrap_or_default()
    }

    /// Drops a chat's prefix.
    pub fn drop(&mut self, chat: u64) {
        self.held -= self.cache.shift_remove(&chat).unwrap_or_default();
    }

    /// Stores a chat's prefix as the most recently used.
    pub fn store(&mut self, chat: u64, tokens: u64) {
        let old = self.cache.shift_remove(&chat).unwrap_or_default();
        let kept = tokens.max(old).min(self.capacity);
        self.held = self.held - old + kept;
        if kept > 0 {
            self.cache.insert(chat, kept);
        }
        while self.held > self.capacity {
            let Some((_, out)) = self.cache.shift_remove_index(0) else {
                break;
            };
            self.held -= out;
        }
    }
}
