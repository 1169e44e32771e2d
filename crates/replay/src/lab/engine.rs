//! One engine: a batch that runs in steps, prompts read in chunks between them, shared parts in
//! bounded memory.
//!
//! A step takes a fixed time, more for each running request, and the time of the chunk that is read in
//! it. Each running request writes one token a step. Parts that are cached from the front of a prompt
//! on are not read again; the least recently used go first. Preemption and the growth of a context are
//! not modelled: with the sheets of the tests memory is never short of running requests.

use std::collections::VecDeque;

use indexmap::IndexMap;
use toucanturn_core::gateway::{
    endpoint::Load,
    incoming_request::Part, //
};

/// `Shape` is what an engine's maker states of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shape {
    /// Requests that run at once.
    pub slots: u32,
    /// Milliseconds of a step.
    pub step: f64,
    /// Milliseconds more for each request that runs.
    pub per_request: f64,
    /// Prompt tokens read in a millisecond.
    pub read: f64,
    /// Most prompt tokens read in a step.
    pub chunk: f64,
    /// Milliseconds from the end of reading to the first event.
    pub first: f64,
    /// Tokens of shared parts that it can hold.
    pub memory: u64,
}

/// `Job` is a request as an engine sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Its number in the experiment.
    pub number: usize,
    /// Shared parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// Tokens of its own after them.
    pub own: u32,
    /// Tokens that it writes.
    pub output: u32,
}

/// `Event` is what an engine tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request's first tokens are there.
    First(usize),
    /// A request's answer is whole.
    Whole(usize),
}

#[derive(Clone, Debug)]
struct Run {
    number: usize,
    unread: f64,
    /// When its first event leaves, once it is read.
    first: Option<f64>,
    told: bool,
    left: u32,
}

/// `Engine` is one life of an engine.
#[derive(Clone, Debug)]
pub struct Engine {
    shape: Shape,
    waiting: VecDeque<Job>,
    running: Vec<Run>,
    /// Cached parts with their tokens, the least recently used first.
    cache: IndexMap<u64, u32>,
    cached: u64,
    /// When the step under way ends.
    until: f64,
    /// Thousandths of the usual time that a step takes.
    slowdown: u32,
    /// Tokens of shared parts that it has read.
    pub read: u64,
}

impl Engine {
    /// Makes an idle engine that holds nothing.
    pub fn new(shape: Shape) -> Self {
        Self {
            shape,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: IndexMap::new(),
            cached: 0,
            until: 0.0,
            slowdown: 1000,
            read: 0,
        }
    }

    /// Gets the load that it states.
    pub fn load(&self) -> Load {
        Load {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            slots: self.shape.slots,
            slowdown: None,
        }
    }

    /// Sets the thousandths of the usual time that its work takes from the next step on.
    pub fn set_slowdown(&mut self, slowdown: u32) {
        self.slowdown = slowdown;
    }

    /// Gets the thousandths of the usual time that its work takes.
    pub fn slowdown(&self) -> u32 {
        self.slowdown
    }

    /// Tells whether it holds a part.
    pub fn holds(&self, part: u64) -> bool {
        self.cache.contains_key(&part)
    }

    /// Takes a request.
    pub fn take(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    /// Puts parts into the cache without reading them, as a transfer does.
    pub fn fetch(&mut self, parts: &[Part]) {
        for part in parts {
            self.keep(*part);
        }
    }

    /// Gets the milliseconds until a request that comes at `now` has its first event, if nothing else came; `None` if
    /// that takes longer than `limit`. `fetched` are the parts that are put into the cache before.
    pub fn time_to_first(&self, now: f64, job: &Job, fetched: &[Part], limit: f64) -> Option<f64> {
        let mut ahead = self.clone();
        ahead.fetch(fetched);
        ahead.take(job.clone());
        let mut at = now;
        while at <= now + limit {
            if ahead.advance(at).contains(&Event::First(job.number)) {
                return Some(at - now);
            }
            at = at.max(ahead.until);
        }
        None
    }

    /// Takes a request back whose caller has left.
    pub fn cancel(&mut self, number: usize) {
        self.waiting.retain(|job| job.number != number);
        self.running.retain(|run| run.number != number);
    }

    /// Gets when the next step ends; `None` if there is no work.
    pub fn next_step(&self) -> Option<f64> {
        let idle = self.running.is_empty() && self.waiting.is_empty();
        (!idle).then_some(self.until)
    }

    /// Goes on to `now`.
    pub fn advance(&mut self, now: f64) -> Vec<Event> {
        let mut events = Vec::new();
        while self.until <= now {
            self.admit();
            if self.running.is_empty() {
                self.until = now + 1.0;
                break;
            }
            self.step(&mut events);
        }
        events
    }

    fn admit(&mut self) {
        while self.running.len() < self.shape.slots as usize
            && let Some(job) = self.waiting.pop_front()
        {
            let mut unread = f64::from(job.own);
            let mut kept = true;
            for part in job.parts {
                kept &= self.holds(part.id);
                if !kept {
                    unread += f64::from(part.tokens);
                    self.read += u64::from(part.tokens);
                }
                self.keep(part);
            }
            self.running.push(Run {
                number: job.number,
                unread,
                first: None,
                told: false,
                left: job.output.max(1),
            });
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "batches are small")]
    fn step(&mut self, events: &mut Vec<Event>) {
        let mut room = self.shape.chunk;
        let mut end =
            self.until + self.shape.step + self.shape.per_request * self.running.len() as f64;
        for run in &mut self.running {
            let read = run.unread.min(room);
            room -= read;
            run.unread -= read;
            end += read / self.shape.read;
        }
        end = self.until + (end - self.until) * f64::from(self.slowdown) / 1000.0;
        for run in &mut self.running {
            if run.unread > 0.0 {
                continue;
            }
            let first = *run.first.get_or_insert(end + self.shape.first);
            if end >= first {
                if !run.told {
                    run.told = true;
                    events.push(Event::First(run.number));
                }
                run.left -= 1;
                if run.left == 0 {
                    events.push(Event::Whole(run.number));
                }
            }
        }
        self.running.retain(|run| run.left > 0);
        self.until = end;
    }

    fn keep(&mut self, part: Part) {
        if self.cache.shift_remove(&part.id).is_none() {
            self.cached += u64::from(part.tokens);
        }
        self.cache.insert(part.id, part.tokens);
        while self.cached > self.shape.memory
            && let Some((_, tokens)) = self.cache.shift_remove_index(0)
        {
            self.cached -= u64::from(tokens);
        }
    }
}
