//! What the quarantine holds a request back for.

use serde::Serialize;

use crate::{
    gateway::{
        Gateway, Ticket,
        explain::text,
        incoming_request::Prompt,
        quarantine::{
            Crash,
            Verdict, //
        },
    },
    units::{
        Millis,
        Time, //
    },
};

/// `Ground` is what endpoints ended on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ground {
    /// The whole content.
    Content,
    /// A part of the prompt.
    PromptPart,
}

/// `Ended` is an endpoint that ended while such a request was in progress there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Ended {
    /// Its name, or a hash of it where it is not known any more.
    pub endpoint: String,
    /// How long ago.
    pub age_ms: Millis,
    /// Whether this router saw it; otherwise a peer reported it.
    pub observed_here: bool,
}

/// `Held` is one thing for which a request is held back, or let through as a trial.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Held {
    /// Whether the content or a part.
    pub by: Ground,
    /// Hash of the part.
    pub part: Option<String>,
    /// Its position in the prompt, from 1.
    pub place: Option<usize>,
    /// Time until a trial may be admitted.
    pub left_ms: Millis,
    /// The endpoints, by time.
    pub crashes: Vec<Ended>,
}

impl Gateway {
    /// Lists what a request is held back for: a part of its prompt, its content, or both.
    pub(super) fn held(&self, now: Time, ticket: &Ticket, prompt: Option<&Prompt>) -> Vec<Held> {
        let part = self.part_verdict(now, ticket).map(|held| Held {
            by: Ground::PromptPart,
            part: Some(format!("{:016x}", held.part)),
            place: prompt
                .and_then(|p| p.parts.iter().position(|p| p.id == held.part))
                .map(|index| index + 1),
            left_ms: held.verdict.left,
            crashes: self.describe_crashes(now, &held.verdict),
        });
        let content = self.verdict(now, ticket).map(|verdict| Held {
            by: Ground::Content,
            part: None,
            place: None,
            left_ms: verdict.left,
            crashes: self.describe_crashes(now, &verdict),
        });
        part.into_iter().chain(content).collect()
    }

    fn describe_crashes(&self, now: Time, verdict: &Verdict) -> Vec<Ended> {
        let ended = |crash: &Crash| {
            let endpoint = self.registry.life(crash.endpoint);
            let hash = || format!("{:08x}", crash.endpoint.0);
            Ended {
                endpoint: endpoint.map_or_else(hash, |e| text(&e.entry.id)),
                age_ms: now.since(crash.at),
                observed_here: crash.observed_here,
            }
        };
        verdict.crashes.iter().map(ended).collect()
    }
}
