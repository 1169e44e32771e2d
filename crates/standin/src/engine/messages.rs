//! The messages of the chat-completions interface.

use crate::engine::answer::Answer;
use serde::{
    Deserialize,
    Serialize, //
};

/// Longest answer; a larger `max_tokens` is cut to it.
const MAX_TOKENS: usize = 4096;
/// Length of an answer whose request names none.
const DEFAULT_TOKENS: usize = 16;

/// `Request` is a chat-completions request, as far as a stand-in cares.
#[derive(Debug, Deserialize)]
pub(super) struct Request {
    pub(super) model: String,
    messages: Vec<Message>,
    max_tokens: Option<usize>,
    #[serde(default)]
    pub(super) stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: String,
}

impl Request {
    /// Gets the content of the last message of the user.
    pub(super) fn text(&self) -> &str {
        let last = self.messages.iter().rfind(|message| message.role == "user");
        last.map_or("", |message| &message.content)
    }

    /// Gets how long the answer shall be.
    pub(super) fn tokens(&self) -> usize {
        self.max_tokens.unwrap_or(DEFAULT_TOKENS).min(MAX_TOKENS)
    }

    /// Gets how long all messages are together.
    pub(super) fn chat_bytes(&self) -> usize {
        self.messages
            .iter()
            .map(|message| message.content.len())
            .sum()
    }
}

/// `Completion` is a whole answer.
#[derive(Serialize)]
pub(super) struct Completion<'a> {
    id: String,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct Choice {
    index: u32,
    message: Spoken,
    finish_reason: &'static str,
}

#[derive(Serialize)]
struct Spoken {
    role: &'static str,
    content: String,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: usize,
    completion_tokens: usize,
    total_tokens: usize,
}

impl<'a> From<&'a Answer> for Completion<'a> {
    fn from(answer: &'a Answer) -> Self {
        let completion_tokens = answer.tokens.len();
        let message = Spoken {
            role: "assistant",
            content: answer.tokens.concat(),
        };
        Self {
            id: completion_id(answer),
            object: "chat.completion",
            created: 0,
            model: &answer.model,
            choices: [Choice {
                index: 0,
                message,
                finish_reason: "stop",
            }],
            usage: Usage {
                prompt_tokens: answer.prompt_tokens,
                completion_tokens,
                total_tokens: answer.prompt_tokens + completion_tokens,
            },
        }
    }
}

/// `Chunk` is one token of a streamed answer.
#[derive(Serialize)]
pub(super) struct Chunk<'a> {
    id: String,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Part<'a>; 1],
}

#[derive(Serialize)]
struct Part<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    content: &'a str,
}

impl<'a> Chunk<'a> {
    /// Creates the chunk of the token `number`, if the answer has it.
    pub(super) fn new(answer: &'a Answer, number: usize) -> Option<Self> {
        let role = (number == 0).then_some("assistant");
        let delta = Delta {
            role,
            content: answer.tokens.get(number)?,
        };
        let finish_reason = (number + 1 == answer.tokens.len()).then_some("stop");
        Some(Self {
            id: completion_id(answer),
            object: "chat.completion.chunk",
            created: 0,
            model: &answer.model,
            choices: [Part {
                index: 0,
                delta,
                finish_reason,
            }],
        })
    }
}

fn completion_id(answer: &Answer) -> String {
    format!("chatcmpl-{}", answer.id)
}
