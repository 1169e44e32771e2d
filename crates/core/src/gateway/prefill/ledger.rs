//! What the keeper of a backlog keeps of each endpoint: the noted prompts that are still unread there, and how
//! fast prompts are read.
//!
//! Notes come over links that lose, repeat and reorder datagrams, from routers that may be lost. So a nonce is
//! noted once and released once in any order, and a note ends by itself.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::{
    gateway::remaining_fraction,
    ids::Tag,
    units::{
        Millis,
        Time, //
    },
};

/// Time after which a note ends without a release: its router or the release may be lost.
pub const NOTE_TTL: Millis = Millis(2000);
/// Limit of the endpoints with a backlog; beyond it the one that was noted at or released from least recently
/// is evicted, and counts as idle.
pub const MAX_ENDPOINTS: usize = 1024;
/// Limit of the notes of an endpoint; beyond it prompts are not noted, so that the wait counts as shorter than
/// it is.
pub const MAX_NOTES: usize = 64;
/// Limit of the released nonces that are kept for an endpoint; beyond it the oldest is dropped, and its note
/// stands until it ends if it comes as late as that.
const MAX_RELEASED: usize = 64;
/// Prompt tokens that an endpoint is taken to read in a millisecond before anything is learnt.
pub(super) const INITIAL_RATE: f32 = 40.0;
/// Least rate that is learnt, in prompt tokens a millisecond. One hung endpoint would otherwise be avoided for
/// long after it has come back.
const MIN_RATE: f32 = 2.0;
/// Greatest rate that is learnt, in prompt tokens a millisecond. Prompts that are held are read at once; the
/// next one may not be held.
const MAX_RATE: f32 = 200.0;
/// Time of reading, in milliseconds, for which the initial rate counts among what is learnt.
const INITIAL_WEIGHT: f32 = 100.0;
/// Time in which half of what is learnt is forgotten.
const RATE_HALF_LIFE: Millis = Millis(500);
/// Time within which a release says nothing of the rate: the prompt went elsewhere, was turned away, or was
/// held.
const MIN_READ_TIME: Millis = Millis(15);
/// Time by which notes may come in another order than the prompts reach the endpoint.
const REORDER_TIME: Millis = Millis(50);

/// `Unread` is a prompt that is noted and not released.
#[derive(Clone, Copy, Debug)]
struct Unread {
    nonce: u64,
    tokens: u32,
    since: Time,
    /// Tokens that were unread before it.
    ahead: u64,
}

impl Unread {
    fn stands(&self, now: Time) -> bool {
        now.since(self.since) < NOTE_TTL
    }
}

/// `Rate` is how fast an endpoint reads, as seen lately.
///
/// It is one of tokens as they are counted: with many prompts whose parts are held it is greater than the
/// endpoint's own, and with many that are not noted it is less.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    at: Time,
    tokens: f32,
    millis: f32,
}

impl Rate {
    #[expect(
        clippy::cast_precision_loss,
        reason = "tokens of an endpoint within seconds are few enough"
    )]
    fn learn(&mut self, now: Time, tokens: u64, took: Millis) {
        let kept = remaining_fraction(now.since(self.at), RATE_HALF_LIFE);
        let millis = took.0 as f32;
        self.at = now;
        self.tokens = self.tokens * kept + (tokens as f32).min(millis * MAX_RATE);
        self.millis = self.millis * kept + millis;
    }

    fn tokens_per_milli(&self, now: Time) -> f32 {
        let kept = remaining_fraction(now.since(self.at), RATE_HALF_LIFE);
        let tokens = INITIAL_RATE * INITIAL_WEIGHT + self.tokens * kept;
        let millis = INITIAL_WEIGHT + self.millis * kept;
        (tokens / millis).clamp(MIN_RATE, MAX_RATE)
    }
}

/// `Backlog` is what is kept of one endpoint.
#[derive(Clone, Debug, Default)]
struct Backlog {
    /// Noted prompts, oldest first.
    unread: VecDeque<Unread>,
    /// Nonces that are released, oldest first: a note that comes late doesn't count.
    released: VecDeque<(u64, Time)>,
    rate: Rate,
    /// When a note or a release came last.
    changed: Time,
}

impl Backlog {
    fn expire(&mut self, now: Time) {
        self.unread.retain(|u| u.stands(now));
        self.released.retain(|(_, at)| now.since(*at) < NOTE_TTL);
    }

    /// Gets how long a prompt waits behind those that are noted, except for `nonce`, its own.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "the number of notes is bounded, and the cast saturates"
    )]
    fn wait(&self, now: Time, nonce: u64) -> Millis {
        let others = self.unread.iter();
        let mut others = others.filter(|u| u.stands(now) && u.nonce != nonce);
        let Some(oldest) = others.next() else {
            return Millis(0);
        };
        let tokens = others.map(|u| u64::from(u.tokens)).sum::<u64>() + u64::from(oldest.tokens);
        let reading = tokens as f32 / self.rate.tokens_per_milli(now);
        Millis(reading as u64).max(now.since(oldest.since))
    }

    fn reserve(&mut self, now: Time, nonce: u64, tokens: u32) -> bool {
        self.expire(now);
        if self.unread.iter().any(|u| u.nonce == nonce) {
            return true;
        }
        let is_released = self.released.iter().any(|(n, _)| *n == nonce);
        if is_released || self.unread.len() >= MAX_NOTES {
            return false;
        }
        self.changed = now;
        self.unread.push_back(Unread {
            nonce,
            tokens,
            since: now,
            ahead: self.unread.iter().map(|u| u64::from(u.tokens)).sum(),
        });
        true
    }

    fn release(&mut self, now: Time, nonce: u64) {
        self.expire(now);
        self.changed = now;
        self.bar(now, nonce);
        let Some(index) = self.unread.iter().position(|u| u.nonce == nonce) else {
            return;
        };
        let Some(read) = self.unread.remove(index) else {
            return;
        };
        let took = now.since(read.since);
        if took < MIN_READ_TIME {
            let behind = self.unread.iter_mut().skip(index);
            behind.for_each(|u| u.ahead = u.ahead.saturating_sub(read.tokens.into()));
            return;
        }
        self.rate
            .learn(now, read.ahead + u64::from(read.tokens), took);
        // Endpoints read in the order of arrival, so the release of an earlier one is lost.
        while let Some(first) = self.unread.front()
            && first.since + REORDER_TIME < read.since
        {
            let nonce = first.nonce;
            self.unread.pop_front();
            self.bar(now, nonce);
        }
    }

    /// Keeps a nonce from being noted again.
    fn bar(&mut self, now: Time, nonce: u64) {
        if self.released.iter().any(|(n, _)| *n == nonce) {
            return;
        }
        self.released.push_back((nonce, now));
        if self.released.len() > MAX_RELEASED {
            self.released.pop_front();
        }
    }
}

/// `Ledger` holds the backlogs that this router keeps.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    endpoints: IndexMap<Tag, Backlog>,
}

impl Ledger {
    /// Gets how long a prompt would wait at an endpoint; the note of `nonce`, if there is one, is its own.
    pub fn wait(&self, now: Time, endpoint: Tag, nonce: u64) -> Millis {
        let backlog = self.endpoints.get(&endpoint);
        backlog.map_or(Millis(0), |b| b.wait(now, nonce))
    }

    /// Notes a prompt, once for each nonce; tells whether it is noted now.
    pub fn reserve(&mut self, now: Time, endpoint: Tag, nonce: u64, tokens: u32) -> bool {
        self.backlog(endpoint).reserve(now, nonce, tokens)
    }

    /// Ends the note of a prompt, also of one that comes later.
    pub fn release(&mut self, now: Time, endpoint: Tag, nonce: u64) {
        self.backlog(endpoint).release(now, nonce);
    }

    /// Counts the endpoints with a backlog.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Tells whether no endpoint has a backlog.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    fn backlog(&mut self, endpoint: Tag) -> &mut Backlog {
        if !self.endpoints.contains_key(&endpoint) && self.endpoints.len() >= MAX_ENDPOINTS {
            let all = self.endpoints.values().enumerate();
            let oldest = all.min_by_key(|(_, b)| b.changed).map(|(index, _)| index);
            oldest.and_then(|index| self.endpoints.swap_remove_index(index));
        }
        self.endpoints.entry(endpoint).or_default()
    }
}
