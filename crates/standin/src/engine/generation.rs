//! The making of an answer, one token at a time.

use crate::{
    endpoint::InFlight,
    engine::{
        Engine,
        answer::Answer,
        slots::Permit, //
    },
    sync::lock,
    truth::Run,
};
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::time::sleep;

/// `Step` is what comes next of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// The token of this number.
    Token(usize),
    /// Nothing, the answer is whole.
    End,
    /// Nothing, the request was cancelled.
    Cancelled,
}

/// `Generation` is a request in the batch; dropping it gives up its place.
#[derive(Debug)]
pub(super) struct Generation {
    pub(super) answer: Arc<Answer>,
    pub(super) next: usize,
    /// How many tokens of the prompt were cached.
    pub(super) cached_tokens: usize,
    first_token: Duration,
    per_token: Duration,
    run: Run,
    permit: Option<Permit>,
    _in_flight: InFlight,
}

impl Generation {
    /// Puts a request into the batch: its prompt is looked up in the cache and stored there.
    pub(super) fn new(
        engine: &Engine,
        answer: Arc<Answer>,
        prefix: Option<&str>,
        run: Run,
        permit: Permit,
        in_flight: InFlight,
    ) -> Self {
        let cached = prefix.and_then(|prefix| touch(engine, &answer, prefix));
        let cached_tokens = cached.unwrap_or_default();
        run.note(|request| request.cached_tokens = cached_tokens);
        let options = &engine.options;
        let first_token = if cached.is_some() {
            options.first_token_cached
        } else {
            options.first_token
        };
        let per_token = options.per_token;
        let (permit, _in_flight) = (Some(permit), in_flight);
        Self {
            answer,
            next: 0,
            cached_tokens,
            first_token,
            per_token,
            run,
            permit,
            _in_flight,
        }
    }

    /// Makes every token take so much longer.
    pub(super) fn slow_down(&mut self, delay: Duration) {
        self.first_token += delay;
        self.per_token += delay;
    }

    /// Works out the next token.
    pub(super) async fn step(&mut self) -> Step {
        if self.run.cancel.is_cancelled() {
            return Step::Cancelled;
        }
        if self.next >= self.answer.tokens.len() {
            self.run.done();
            return Step::End;
        }
        if self.next >= self.answer.produced() {
            let delay = if self.next == 0 {
                self.first_token
            } else {
                self.per_token
            };
            tokio::select! {
                () = self.run.cancel.cancelled() => return Step::Cancelled,
                () = sleep(delay) => {}
            }
        }
        self.next += 1;
        self.answer.set_produced(self.next);
        Step::Token(self.next - 1)
    }

    /// Works out the rest, leaves the batch and gets how it ended.
    pub(super) async fn finish(&mut self) -> Step {
        loop {
            match self.step().await {
                Step::Token(_) => {}
                end => {
                    self.permit = None;
                    return end;
                }
            }
        }
    }
}

/// Looks a prefix up and stores it; gets how many tokens of the prompt were cached.
fn touch(engine: &Engine, answer: &Answer, prefix: &str) -> Option<usize> {
    let mut cache = lock(&engine.cache);
    let cached = cache
        .tokens(prefix)
        .map(|tokens| tokens.min(answer.prompt_tokens));
    cache.store(prefix, answer.prompt_tokens + answer.tokens.len());
    cached
}
