//! The text that an engine answers, which a test can work out for itself.

use crate::engine::messages::Request;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes that a token of the prompt is taken to have.
const BYTES_PER_TOKEN: usize = 4;

/// Gets the tokens that an engine answers to a request.
///
/// They depend on all three parameters and on nothing else: `messages_text` is the content of
/// the last message with the role `user`, `tokens` is the request's `max_tokens`.
pub fn answer(request_id: &str, messages_text: &str, tokens: usize) -> Vec<String> {
    let request = xxh3_64_with_seed(request_id.as_bytes(), 0);
    let text = xxh3_64_with_seed(messages_text.as_bytes(), request);
    let token = |number: usize| format!("{:016x} ", xxh3_64_with_seed(&number.to_le_bytes(), text));
    (0..tokens).map(token).collect()
}

/// `Answer` is the answer to one request, kept so that its stream can be resumed.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) id: String,
    pub(super) model: String,
    pub(super) prompt_tokens: usize,
    pub(super) tokens: Vec<String>,
    produced: AtomicUsize,
}

impl Answer {
    /// Works out the answer to a request.
    pub(super) fn new(id: &str, request: &Request) -> Self {
        Self {
            id: id.into(),
            model: request.model.clone(),
            prompt_tokens: request.chat_bytes().div_ceil(BYTES_PER_TOKEN),
            tokens: answer(id, request.text(), request.tokens()),
            produced: AtomicUsize::new(0),
        }
    }

    /// Makes up the answer to another request, of the same length.
    pub(super) fn another(&self) -> Self {
        let id = format!("{}-other", self.id);
        Self {
            model: self.model.clone(),
            prompt_tokens: self.prompt_tokens,
            tokens: answer(&id, "", self.tokens.len()),
            produced: AtomicUsize::new(0),
            id,
        }
    }

    /// Gets how many tokens are worked out, which cost no time any more.
    pub(super) fn produced(&self) -> usize {
        self.produced.load(Ordering::Relaxed)
    }

    /// Notes that the first `count` tokens are worked out.
    pub(super) fn set_produced(&self, count: usize) {
        self.produced.fetch_max(count, Ordering::Relaxed);
    }
}
