//! The properties of a request that the gateway's decisions depend on, the same for all API
//! dialects.

use bytes::Bytes;

use crate::units::Millis;

/// Tokens that an engine generates in the time that the first token of an answer takes.
const FIRST_TOKEN_COST: u32 = 12;

/// `IncomingRequest` is one parsed request of a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IncomingRequest {
    /// Id of this request, unique for each time that the caller sends it.
    pub id: Bytes,
    /// Name of the endpoint that it is meant for, if the sender took this router for one.
    pub addressee: Option<Bytes>,
    /// Host that it names, in lower case and without a port.
    pub host: Bytes,
    /// Path as received, without the query.
    pub path: Bytes,
    /// API key, which identifies the workspace.
    pub key: Option<Bytes>,
    /// How long the caller waits, from the arrival of the request's head.
    pub deadline: Option<Millis>,
    /// How long ago the request's head arrived.
    pub waited: Millis,
    /// Prompt, if the request asks for text generation.
    pub prompt: Option<Prompt>,
    /// Caller's estimate of the output length in tokens.
    pub hint: Option<u32>,
    /// Id of the last event of the stream that the caller already has.
    pub resume: Option<u64>,
    /// Id of the request that brought the first event of the stream, if this one takes it up.
    pub resumes: Option<Bytes>,
}

/// `Prompt` is the prompt of a generation request, with the limit of its output.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Name of the model.
    pub model: Bytes,
    /// Parts in order; the last one is specific to the request or its session.
    pub parts: Box<[Part]>,
    /// Tokens of the prompt.
    pub input: u32,
    /// Most tokens that may be generated.
    pub output: u32,
}

/// `Part` is a piece of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Hash that identifies it.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Prompts of so many tokens and more are not short.
const SHORT_PROMPT_TOKENS: u32 = 500;
/// Prompts of more tokens than this are long.
const LONG_PROMPT_TOKENS: u32 = 3000;

/// `Length` is a class of prompts by their tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Length {
    /// Fewer than [`SHORT_PROMPT_TOKENS`].
    Short,
    /// Up to [`LONG_PROMPT_TOKENS`].
    Medium,
    /// More.
    Long,
}

impl IncomingRequest {
    /// Tells whether its caller already has events of the stream that it asks for.
    pub fn takes_up_stream(&self) -> bool {
        self.resume.is_some() || self.resumes.is_some()
    }

    /// Estimates how long the request occupies an engine, measured in generated tokens: the
    /// caller's estimate of the output length, or without one its limit, plus the cost of the first
    /// token.
    pub fn work(&self) -> u32 {
        let most = self.prompt.as_ref().map_or(0, |p| p.output);
        let output = self.hint.map_or(most, |hint| hint.min(most.max(1)));
        output.saturating_add(FIRST_TOKEN_COST)
    }
}

impl Prompt {
    /// Gets its class by length.
    pub const fn length(&self) -> Length {
        match self.input {
            0..SHORT_PROMPT_TOKENS => Length::Short,
            SHORT_PROMPT_TOKENS..=LONG_PROMPT_TOKENS => Length::Medium,
            _ => Length::Long,
        }
    }

    /// Gets the parts that other prompts may share: all but the last.
    pub fn shared(&self) -> &[Part] {
        let rest = self.parts.len().saturating_sub(1);
        &self.parts[..rest]
    }

    /// Gets the part that decides where the request is placed: the last shared one, because an
    /// engine that has cached it has also cached all parts before it.
    pub fn placement_part(&self) -> Option<Part> {
        self.shared().last().or(self.parts.last()).copied()
    }
}
