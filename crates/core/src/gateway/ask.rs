//! One request as the gateway's decisions see it, whichever interface it came by.

use bytes::Bytes;

use crate::units::Millis;

/// Tokens that an engine writes in the time until the first one of an answer.
const BEGINNING: u32 = 12;

/// `Ask` is one checked request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ask {
    /// Identity of this attempt of the caller; no other has it.
    pub id: Bytes,
    /// Host that it names, in lower case and without a port.
    pub host: Bytes,
    /// Path as it came, without the query.
    pub path: Bytes,
    /// Key that tells the workspace.
    pub key: Option<Bytes>,
    /// How long the caller waits, from when the request's head came.
    pub deadline: Option<Millis>,
    /// How long ago that was.
    pub waited: Millis,
    /// Prompt of a generation.
    pub prompt: Option<Prompt>,
    /// Caller's estimate of the output, in tokens.
    pub hint: Option<u32>,
    /// Last event that the caller already has of this stream.
    pub resume: Option<u64>,
}

/// `Prompt` is what a generation reads, and how much it may write.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Model that generates.
    pub model: Bytes,
    /// Parts in order; the last one belongs to the request or its session.
    pub parts: Box<[Part]>,
    /// Tokens of the prompt.
    pub input: u32,
    /// Most tokens of the output.
    pub output: u32,
}

/// `Part` is a piece of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Hash of its identity.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

impl Ask {
    /// Estimates how long an engine has it, in tokens that it writes: the caller's estimate of the
    /// output or, without one, the most that it may have, and what begins any answer.
    pub fn work(&self) -> u32 {
        let most = self.prompt.as_ref().map_or(0, |p| p.output);
        let output = self.hint.map_or(most, |hint| hint.min(most.max(1)));
        output.saturating_add(BEGINNING)
    }
}

impl Prompt {
    /// Gets the longest chain of parts that other prompts may share: all but the last.
    pub fn shared(&self) -> &[Part] {
        let rest = self.parts.len().saturating_sub(1);
        &self.parts[..rest]
    }

    /// Gets the part that decides where the prompt is likely to be cached: the last shared one, as
    /// all before it are then cached as well.
    pub fn anchor(&self) -> Option<Part> {
        self.shared().last().or(self.parts.last()).copied()
    }
}
