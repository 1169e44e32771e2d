//! Expected times: prompts pass over endpoints where they would wait for too long.
//!
//! The first endpoint in a prompt's order most likely holds its shared parts. Where requests wait there
//! to be read, a prompt may be better off at one that reads the parts anew or fetches them, unless that one
//! is far down the order, where the next prompts don't find them. A prompt with a short goal leaves sooner
//! than one with a long goal, and one with few tokens sooner than one with many; so short prompts avoid the
//! endpoints where long ones are read.

use crate::{
    arena::EndpointKey,
    gateway::{
        endpoint::Endpoint,
        incoming_request::Prompt,
        place::{
            Advice,
            PlacementContext, //
        },
    },
    units::{
        Millis,
        Permille, //
    },
};

/// Endpoints in a prompt's order among which the wait decides.
pub(super) const MAX_ENDPOINTS: usize = 4;
/// Part of a route's goal that may be spent on waiting; the rest is for reading the prompt, and for what the
/// wait is longer than was heard.
const WAIT_SHARE: Permille = Permille(250);
/// Part of a route's goal by which another endpoint must be sooner, besides the reading there. Never more than
/// the goal in all: a prompt that waits for so much longer is late, however many tokens it has.
const MIN_GAIN: Permille = Permille(100);
/// Prompt tokens in a millisecond by which the reading at another endpoint is counted. Engines read faster;
/// but the prompts after it wait for it, too.
const TOKENS_PER_MILLI: u64 = 10;

/// `Reader` is a prompt's claims on the time at endpoints.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reader {
    /// Time within which its first event is on time.
    goal: Millis,
    /// Time by which another endpoint must be sooner.
    gain: Millis,
}

impl Reader {
    pub(super) fn new(goal: Millis, prompt: &Prompt) -> Self {
        let reading = Millis(u64::from(prompt.input) / TOKENS_PER_MILLI);
        Self {
            goal,
            gain: goal.min(part(goal, MIN_GAIN) + reading),
        }
    }

    /// Tells whether a request that waits so long first is still on time.
    pub(super) fn bears(&self, wait: Millis) -> bool {
        wait <= part(self.goal, WAIT_SHARE)
    }
}

/// Gets the longest wait at which a prompt stays at the first endpoint in its order, whatever it is at others.
pub(in crate::gateway) fn longest_wait(goal: Millis, prompt: &Prompt) -> Millis {
    let gain = Reader::new(goal, prompt).gain;
    part(goal, WAIT_SHARE).max(Millis(gain.0.saturating_sub(1)))
}

/// Chooses `first`, the first endpoint that fits, or where the wait there is too long, the next one in the
/// order where it is shorter by enough. If keepers of backlogs have told the waits, it is the next one of these
/// at which the prompt is on time, or else the one where it is soonest: they know them well enough.
pub(super) fn first_in_time(
    context: &PlacementContext<'_>,
    candidates: &[(EndpointKey, &Endpoint)],
    first: usize,
    fits: impl Fn(&(EndpointKey, &Endpoint)) -> bool,
    reader: Reader,
) -> usize {
    let expected = |rank: usize| candidates[rank].1.waits.expected(context.now);
    let wait = expected(first);
    if reader.bears(wait) {
        return first;
    }
    let others = (first + 1..candidates.len()).filter(|rank| fits(&candidates[*rank]));
    let others = others.take(MAX_ENDPOINTS - 1);
    let mut sooner = others.filter(|rank| expected(*rank) + reader.gain <= wait);
    let chosen = if context.advice == Advice::Leave {
        let on_time = sooner.clone().find(|rank| reader.bears(expected(*rank)));
        on_time.or_else(|| sooner.min_by_key(|rank| expected(*rank)))
    } else {
        sooner.next()
    };
    chosen.unwrap_or(first)
}

/// Gets a part of a time.
fn part(of: Millis, share: Permille) -> Millis {
    Millis(of.0.saturating_mul(share.0.into()) / 1000)
}
