//! The prefill backlog: prompts that engines have still to read, kept by one router for each engine.
//!
//! The load that it answers: a cold fleet, engines of uneven speed and long prompts, where what a prompt
//! waits for was sent within the last few hundred milliseconds, before gossip has told of it.

use crate::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        Ticket,
        incoming_request::IncomingRequest, //
    },
    ids::Tag,
    units::{
        Millis,
        Time, //
    },
};

/// `Query` asks the keeper of an endpoint's backlog how long a prompt would wait there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Query {
    /// Comes back in the estimate, and names the prompt in notes.
    pub nonce: u64,
    /// Tag of the endpoint's incarnation.
    pub endpoint: Tag,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Longest wait at which the prompt goes there, so that the keeper notes it at once; `None` if others
    /// are asked, too.
    pub bears: Option<Millis>,
}

/// `Estimate` is what a keeper answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Number of the query.
    pub nonce: u64,
    /// How long the prompt would probably wait before it is read.
    pub wait: Millis,
    /// Whether the prompt is noted.
    pub reserved: bool,
}

/// `Note` tells a keeper of a prompt; it is not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// The prompt is sent to the endpoint.
    Reserved {
        /// Names the prompt.
        nonce: u64,
        /// Tag of the endpoint's incarnation.
        endpoint: Tag,
        /// Tokens of the prompt.
        tokens: u32,
    },
    /// The prompt has its first event, or its attempt has ended.
    Released {
        /// Names the prompt.
        nonce: u64,
        /// Tag of the endpoint's incarnation.
        endpoint: Tag,
    },
}

/// `Reader` is an endpoint at which a prompt may be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reader {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Tag of its incarnation.
    pub tag: Tag,
}

impl Gateway {
    /// Lists the endpoints whose keepers are asked before a prompt is placed, in the order in which it prefers
    /// them; none where nothing is to be asked.
    pub fn prefill_readers(
        &mut self,
        _now: Time,
        _ticket: &Ticket,
        _incoming_request: &IncomingRequest,
    ) -> Vec<Reader> {
        Vec::new()
    }

    /// Makes the query for an endpoint; `is_first` tells whether it is the first that is asked for the prompt.
    pub fn prefill_query(
        &mut self,
        _ticket: &Ticket,
        incoming_request: &IncomingRequest,
        reader: Reader,
        _is_first: bool,
    ) -> Query {
        Query {
            nonce: self.draw(),
            endpoint: reader.tag,
            tokens: incoming_request.prompt.as_ref().map_or(0, |p| p.input),
            bears: None,
        }
    }

    /// Answers a query, as the keeper of the endpoint's backlog.
    pub fn answer_prefill_query(&mut self, _now: Time, query: &Query) -> Estimate {
        Estimate {
            nonce: query.nonce,
            wait: Millis(0),
            reserved: false,
        }
    }

    /// Takes a note in, as the keeper of the endpoint's backlog.
    pub fn record_prefill_note(&mut self, _now: Time, _note: Note) {}

    /// Takes a keeper's estimate in; tells whether the prompt goes there, so that no other keeper is asked.
    pub fn record_prefill_estimate(
        &mut self,
        _now: Time,
        _ticket: &mut Ticket,
        _reader: Reader,
        _estimate: &Estimate,
    ) -> bool {
        true
    }

    /// Takes the notes that keepers have not been sent.
    pub fn take_prefill_notes(&mut self) -> Vec<Note> {
        Vec::new()
    }
}
