//! Which endpoints hold the first parts of prompts, which many subjects share.
//!
//! Placement goes by the last shared part of a prompt. Nobody holds a subject that is asked for the first
//! time; but the parts before it were read at other endpoints, and are fetched from there sooner than they
//! are read.

use indexmap::IndexMap;

use crate::{
    arena::EndpointKey,
    gateway::{
        Gateway, hot_spots,
        incoming_request::{
            IncomingRequest,
            Part,
            Prompt, //
        },
    },
    ids::Tag,
    units::{
        Millis,
        Time, //
    },
};

/// Length in tokens from which parts are kept; a shorter one is read about as soon as it is fetched.
const MIN_TOKENS: u32 = 512;
/// Time after a placement from which the endpoint is taken to hold the prompt's first parts. They are read
/// first, but other prompts may be ahead.
const READ_TIME: Millis = Millis(250);
/// Time after a placement from which a newer one is preferred. Until then the older one is, as its reading has
/// more probably ended.
const REFRESH_TIME: Millis = Millis(5000);
/// Time after a placement from which the endpoint is no longer taken to hold them: others displace them.
const TTL: Millis = Millis(10_000);
/// Limit of the parts that are kept; beyond it the one that was placed least recently is evicted.
const MAX_PARTS: usize = 64;
/// Limit of the reports in a digest.
pub const MAX_READS: usize = 3;

/// `ReadReport` is where a prompt with a part was placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadReport {
    /// Tag of the part.
    pub part: u32,
    /// Tag of the endpoint's incarnation.
    pub endpoint: u32,
    /// Time since the placement.
    pub age: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Read {
    endpoint: Tag,
    placed: Time,
}

impl Read {
    fn is_done(&self, now: Time) -> bool {
        now.since(self.placed) >= READ_TIME
    }

    fn is_fresh(&self, now: Time) -> bool {
        now.since(self.placed) < REFRESH_TIME
    }

    fn is_kept(&self, now: Time) -> bool {
        now.since(self.placed) < TTL
    }
}

/// `PartReads` is where a part was read, and where it is read next.
#[derive(Clone, Copy, Debug, Default)]
struct PartReads {
    done: Option<Read>,
    next: Option<Read>,
}

impl PartReads {
    fn record(&mut self, now: Time, read: Read) {
        if self.done.is_none_or(|done| !done.is_fresh(now))
            && let Some(next) = self.next.take_if(|next| next.is_done(now))
        {
            self.done = Some(next);
        }
        if self.done.is_some_and(|done| read.placed <= done.placed) {
            return;
        }
        // Of two that are read, the earlier one is done first.
        if self.next.is_none_or(|next| read.placed < next.placed) {
            self.next = Some(read);
        }
    }

    /// Gets the placement whose reading has most probably ended.
    fn surest(&self, now: Time) -> Option<Read> {
        let fresh = self.done.filter(|done| done.is_fresh(now));
        let next = || self.next.filter(|next| next.is_done(now));
        let known = fresh.or_else(next).or(self.done);
        known.filter(|read| read.is_kept(now))
    }

    fn told(&self, now: Time) -> Option<Read> {
        let fresh = self.done.filter(|done| done.is_fresh(now));
        fresh.or(self.next).or(self.done)
    }
}

/// `SharedReads` holds where the first parts of prompts were read.
#[derive(Clone, Debug, Default)]
pub struct SharedReads {
    parts: IndexMap<u32, PartReads>,
}

impl SharedReads {
    /// Notes that a prompt is placed at an endpoint.
    pub fn record_placed(&mut self, now: Time, prompt: &Prompt, endpoint: Tag) {
        let read = Read {
            endpoint,
            placed: now,
        };
        for part in first_parts(prompt) {
            self.record(now, hot_spots::tag(part.id), read);
        }
    }

    /// Takes in a peer's reports.
    pub fn record_peer(&mut self, now: Time, reports: &[ReadReport]) {
        for report in reports.iter().filter(|report| report.age < TTL) {
            let read = Read {
                endpoint: Tag(report.endpoint),
                placed: now - report.age,
            };
            self.record(now, report.part, read);
        }
    }

    /// Finds the endpoint that most likely holds the most of a prompt's first parts.
    pub fn holder(&self, now: Time, prompt: &Prompt) -> Option<Tag> {
        let read = first_parts(prompt).rev().find_map(|part| {
            let reads = self.parts.get(&hot_spots::tag(part.id))?;
            reads.surest(now)
        });
        read.map(|read| read.endpoint)
    }

    /// Picks what a digest tells peers.
    pub fn reports(&self, now: Time, draw: u64) -> Vec<ReadReport> {
        let count = self.parts.len();
        let first = usize::try_from(draw % count.max(1) as u64).unwrap_or_default();
        let order = (0..count).map(|turn| (first + turn) % count);
        let known = order.filter_map(|index| self.parts.get_index(index));
        let known = known.filter_map(|(part, reads)| Some((*part, reads.told(now)?)));
        let told = known.filter(|(_, read)| read.is_kept(now));
        let reports = told.map(|(part, read)| ReadReport {
            part,
            endpoint: read.endpoint.0,
            age: now.since(read.placed),
        });
        reports.take(MAX_READS).collect()
    }

    fn record(&mut self, now: Time, part: u32, read: Read) {
        if !self.parts.contains_key(&part) && self.parts.len() >= MAX_PARTS {
            self.evict();
        }
        self.parts.entry(part).or_default().record(now, read);
    }

    fn evict(&mut self) {
        let placed = |reads: &PartReads| reads.next.or(reads.done).map(|read| read.placed);
        let oldest = self.parts.values().enumerate();
        let oldest = oldest.min_by_key(|(_, reads)| placed(reads));
        if let Some(index) = oldest.map(|(index, _)| index) {
            self.parts.swap_remove_index(index);
        }
    }
}

impl Gateway {
    /// Notes that a request is placed at an endpoint.
    pub(in crate::gateway) fn record_shared_reads(
        &mut self,
        now: Time,
        incoming_request: &IncomingRequest,
        endpoint: EndpointKey,
    ) {
        let endpoint = self.registry.get(endpoint);
        if let (Some(prompt), Some(endpoint)) = (&incoming_request.prompt, endpoint) {
            let life = endpoint.tag();
            self.shared_reads.record_placed(now, prompt, life);
        }
    }

    /// Takes in a peer's reports of where the first parts of prompts are read.
    pub fn record_peer_reads(&mut self, now: Time, reports: &[ReadReport]) {
        self.shared_reads.record_peer(now, reports);
    }
}

/// Lists the long parts that come before the one by which a prompt is placed.
fn first_parts(prompt: &Prompt) -> impl DoubleEndedIterator<Item = &Part> {
    let shared = prompt.shared();
    let first = &shared[..shared.len().saturating_sub(1)];
    first.iter().filter(|part| part.tokens >= MIN_TOKENS)
}
