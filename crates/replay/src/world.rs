//! What the routers of a replay share: engines, work in flight, the agenda and the accounts.

use std::{
    cmp::Reverse,
    collections::BinaryHeap, //
};

use indexmap::{
    IndexMap,
    IndexSet, //
};
use toucanturn_core::{
    ids::Tag,
    request::{
        Attempt,
        Call,
        Token, //
    },
};

use crate::{
    engine::{
        Engine,
        SAMPLE_MS, //
    },
    trace::{
        EngineState,
        Request,
        Setup, //
    },
};

/// Milliseconds of prefill for a thousand tokens that no cache holds.
const PREFILL_MS_PER_1000: u64 = 200;
/// Share of the prefill that an import of the KV cache takes instead, as a divisor.
const IMPORT_DIVISOR: u64 = 8;

/// `Job` is one attempt at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Index of the engine.
    pub engine: usize,
    /// The router's index and life that sent it.
    pub router: (usize, u64),
    /// The call.
    pub call: Call,
    /// The attempt.
    pub attempt: Attempt,
    /// Index of the trace's line.
    pub line: usize,
}

/// `Due` is one thing on the agenda.
#[derive(Clone, Debug)]
pub enum Due {
    /// A line of the trace, by index.
    Line(usize),
    /// A sample of all engines.
    Sample,
    /// An attempt at an engine ends, by the job's number.
    JobEnd(u64),
    /// Something for one router, of the life that it was meant for.
    Router(usize, u64, crate::fleet::Input),
}

/// `Chat` is what a caller remembers of a chat, and what the accounts need of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Chat {
    /// Placement token of the last answer.
    pub token: Option<Token>,
    /// Whether a request of it was answered before.
    pub seen: bool,
}

/// `Account` counts what came of the requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// Requests of callers.
    pub requests: u64,
    /// Whole answers.
    pub done: u64,
    /// Refusals.
    pub refused: u64,
    /// Returning chats that reached an engine.
    pub returns: u64,
    /// Those that found their prefix in the engine's own cache.
    pub found: u64,
    /// Those whose prefix was imported from another engine.
    pub imported: u64,
    /// Chats that moved before they returned.
    pub moved: u64,
    /// Prompt tokens of returning chats.
    pub tokens: u64,
    /// Those that were cached or imported.
    pub cached: u64,
    /// Bytes between routers, sent and received.
    pub peer_bytes: u64,
    /// Bytes of polls and probes.
    pub poll_bytes: u64,
    /// Attempts at engines.
    pub attempts: u64,
}

/// `World` is all that is outside the routers.
#[derive(Debug)]
pub struct World {
    /// The time.
    pub now: u64,
    /// Engines and services in the setup's order.
    pub engines: Vec<Engine>,
    /// Index of an engine by the tag of its name.
    pub by_tag: IndexMap<Tag, usize>,
    /// Work in flight by number.
    pub jobs: IndexMap<u64, Job>,
    /// Chats by number.
    pub chats: IndexMap<u64, Chat>,
    /// Accounts.
    pub account: Account,
    agenda: BinaryHeap<Reverse<(u64, u64, Slot)>>,
    sequence: u64,
    // Lines whose first attempt is in the account.
    counted: IndexSet<usize>,
}

#[derive(Debug)]
struct Slot(Due);

// The agenda's order is the time, then the sequence number, which no two entries share.
impl PartialEq for Slot {
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}

impl Eq for Slot {}

impl PartialOrd for Slot {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Slot {
    fn cmp(&self, _other: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl World {
    /// Makes the world at time zero.
    pub fn new(setup: &Setup) -> Self {
        let engines = setup.engines.values();
        let tags = setup.engines.keys().enumerate();
        Self {
            now: 0,
            engines: engines.map(|e| Engine::new(e.cache_tokens)).collect(),
            by_tag: tags.map(|(i, id)| (Tag::of(id.as_bytes()), i)).collect(),
            jobs: IndexMap::new(),
            chats: IndexMap::new(),
            account: Account::default(),
            agenda: BinaryHeap::new(),
            sequence: 0,
            counted: IndexSet::new(),
        }
    }

    /// Puts something on the agenda.
    pub fn plan(&mut self, at: u64, due: Due) {
        self.sequence += 1;
        self.agenda.push(Reverse((at, self.sequence, Slot(due))));
    }

    /// Takes the next thing off the agenda and moves the time there.
    pub fn pop(&mut self) -> Option<Due> {
        let Reverse((at, _, Slot(due))) = self.agenda.pop()?;
        self.now = at;
        Some(due)
    }

    /// Starts an attempt at an engine, `from` the engine whose KV cache is imported first; gives
    /// the state that made it refuse, if it did.
    pub fn start(
        &mut self,
        job: Job,
        request: &Request,
        from: Option<usize>,
    ) -> Result<(), EngineState> {
        let engine = &self.engines[job.engine];
        if engine.state != EngineState::Live {
            return Err(engine.state);
        }
        let own = engine.cached(request.chat).min(request.tokens);
        let other = |i: usize| {
            let source = &self.engines[i];
            let up = source.state != EngineState::Down;
            up.then(|| source.cached(request.chat).min(request.tokens))
        };
        let lent = from.and_then(other).unwrap_or_default();
        let mut ms = request.ms;
        let held = own.max(lent);
        ms += (request.tokens - held) * PREFILL_MS_PER_1000 / 1000;
        if lent > own {
            ms += lent * PREFILL_MS_PER_1000 / 1000 / IMPORT_DIVISOR;
        }
        self.account.attempts += 1;
        if let Some(from) = from.filter(|_| lent > own) {
            self.engines[from].drop(request.chat);
        }
        let returning = self.chats.get(&request.chat).is_some_and(|c| c.seen);
        if self.counted.insert(job.line) && request.tokens > 0 && returning {
            self.account.returns += 1;
            self.account.found += u64::from(own > 0);
            self.account.imported += u64::from(own == 0 && lent > 0);
            self.account.tokens += request.tokens;
            self.account.cached += held;
        }
        let engine = &mut self.engines[job.engine];
        engine.add(self.now, 1);
        engine.store(request.chat, request.tokens);
        self.sequence += 1;
        let number = self.sequence;
        self.jobs.insert(number, job);
        self.plan(self.now + ms, Due::JobEnd(number));
        Ok(())
    }

    /// Copies a chat's KV cache from one engine to another, where both run.
    pub fn import(&mut self, chat: u64, from: usize, to: usize) {
        let source = &self.engines[from];
        let tokens = source.cached(chat);
        let both = source.state != EngineState::Down && self.engines[to].state == EngineState::Live;
        if both && tokens > 0 {
            self.account.moved += 1;
            self.engines[from].drop(chat);
            self.engines[to].store(chat, tokens);
        }
    }

    /// Takes a job out of its engine; `None` when the engine has lost it.
    pub fn finish(&mut self, number: u64) -> Option<Job> {
        let job = self.jobs.swap_remove(&number)?;
        self.engines[job.engine].add(self.now, -1);
        Some(job)
    }

    /// Notes a whole answer.
    pub fn answered(&mut self, request: &Request, token: Option<Token>) {
        self.account.done += 1;
        let chat = self.chats.entry(request.chat).or_default();
        chat.seen = true;
        chat.token = token.filter(|_| !request.tokenless);
    }

    /// Changes an engine's true state and gives the jobs that break off.
    pub fn change(&mut self, engine: usize, state: EngineState) -> Vec<Job> {
        self.engines[engine].change(self.now, state);
        if state != EngineState::Down {
            return Vec::new();
        }
        let lost = |(_, job): &(&u64, &Job)| job.engine == engine;
        let numbers: Vec<u64> = self.jobs.iter().filter(lost).map(|(n, _)| *n).collect();
        let take = |n: u64| self.jobs.swap_remove(&n);
        numbers.into_iter().filter_map(take).collect()
    }

    /// Samples every engine and plans the next sample.
    pub fn sample(&mut self, until: u64) {
        for engine in &mut self.engines {
            engine.sample(self.now);
        }
        if self.now + SAMPLE_MS <= until {
            self.plan(self.now + SAMPLE_MS, Due::Sample);
        }
    }
}
