//! The prefill backlog: prompts that engines have still to read, kept by one router for each engine.
//!
//! The load that it answers: a cold fleet, engines of uneven speed and long prompts, where what a prompt
//! waits for was sent within the last few hundred milliseconds, before gossip has told of it.
//!
//! - this file: the messages, and what a router does with them.
//! - `ledger`: what a keeper keeps of each endpoint.
//! - `claims`: what keepers have noted for this router's prompts.
//! - `budget`: how many messages that takes.

use crate::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        Ticket,
        incoming_request::{
            IncomingRequest,
            Prompt, //
        },
        place, //
    },
    ids::Tag,
    load::score,
    units::{
        Millis,
        Permille,
        Time, //
    },
};

mod budget;
mod claims;
mod ledger;

pub use budget::{
    MAX_BURST,
    MESSAGES_PER_SECOND, //
};
pub use claims::{
    MAX_QUEUED_NOTES,
    Owner, //
};
pub use ledger::{
    Ledger,
    MAX_ENDPOINTS,
    MAX_NOTES,
    NOTE_TTL, //
};

use budget::{
    Budget,
    NOTE,
    QUERY,
    RELEASE, //
};
use claims::{
    Claim,
    Claims,
    Noted, //
};
use ledger::INITIAL_RATE;

/// Part of a route's goal from which the reading of a prompt is noted: others would be late behind it. Shorter
/// ones are many, and what they take shows in the rate that keepers learn.
const NOTED_SHARE: Permille = Permille(50);

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

/// `Prefill` is what a router keeps for the backlogs of engines: as a keeper, and for its own prompts.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Prefill {
    ledger: Ledger,
    claims: Claims,
    budget: Budget,
    /// When a prompt's readers were last listed.
    listed: Time,
    /// Requests that were admitted.
    admitted: u64,
    /// Differs between routers, also between those that draw the same numbers.
    salt: u64,
}

impl Prefill {
    /// Names the next request.
    pub(in crate::gateway) fn next_owner(&mut self) -> Owner {
        self.admitted += 1;
        Owner(self.admitted)
    }

    /// Tells whether a keeper may be asked for a load.
    pub(in crate::gateway) fn allows_load_query(&mut self, now: Time) -> bool {
        self.budget.allows_query(now, true)
    }

    /// Charges such a query.
    pub(in crate::gateway) fn charge_load_query(&mut self, routers: u32) {
        self.budget.charge(QUERY, true, routers);
    }

    /// Tells whether a keeper may be told of a load, and charges it.
    pub(in crate::gateway) fn admits_load_note(&mut self, now: Time, routers: u32) -> bool {
        let allowed = self.budget.allows_query(now, true);
        if allowed {
            self.budget.charge(NOTE, true, routers);
        }
        allowed
    }

    /// Makes a number differ between routers that draw alike.
    pub(in crate::gateway) fn salted(&self, drawn: u64) -> u64 {
        score(drawn, self.salt)
    }

    /// Gets what the keeper that was asked first advises for a request.
    pub(in crate::gateway) fn advice(&self, owner: Owner) -> place::Advice {
        let claim = self.claims.get(owner);
        match claim.and_then(|c| Some((c.reader.endpoint, c.fits?))) {
            Some((endpoint, true)) => place::Advice::Go(endpoint),
            Some((_, false)) => place::Advice::Leave,
            None => place::Advice::None,
        }
    }
}

/// Tells whether keepers note a prompt, as its reading is a noticeable part of the goal.
#[expect(
    clippy::cast_precision_loss,
    reason = "goals and prompts are small numbers"
)]
fn is_noted(goal: Millis, prompt: &Prompt) -> bool {
    let least = goal.0 as f32 * NOTED_SHARE.0 as f32 / 1000.0;
    prompt.input as f32 / INITIAL_RATE >= least
}

impl Gateway {
    /// Lists the endpoints whose keepers are asked before a prompt is placed, in the order in which it prefers
    /// them; none where nothing is to be asked.
    ///
    /// The keeper of the first one is asked alone, as the prompt mostly goes there.
    pub fn prefill_readers(
        &mut self,
        now: Time,
        ticket: &Ticket,
        incoming_request: &IncomingRequest,
    ) -> Vec<Reader> {
        let Some(prompt) = &incoming_request.prompt else {
            return Vec::new();
        };
        let is_long = is_noted(ticket.route.goal, prompt);
        if !self.variability.is_stated(now) || !self.prefill.budget.allows_query(now, is_long) {
            return Vec::new();
        }
        self.prefill.listed = now;
        let draw = self.draw();
        let context = self.placement_context(now, ticket, draw);
        let readers = place::readers(&context, ticket, prompt).into_iter();
        readers.filter_map(|key| self.reader(key)).collect()
    }

    /// Makes the query for an endpoint; `is_first` tells whether it is the first that is asked for the prompt.
    pub fn prefill_query(
        &mut self,
        ticket: &Ticket,
        incoming_request: &IncomingRequest,
        reader: Reader,
        is_first: bool,
    ) -> Query {
        let nonce = self.prefill_nonce();
        let mut query = Query {
            nonce,
            endpoint: reader.tag,
            tokens: incoming_request.prompt.as_ref().map_or(0, |p| p.input),
            bears: None,
        };
        let goal = ticket.route.goal;
        let Some(prompt) = &incoming_request.prompt else {
            return query;
        };
        let is_long = is_noted(goal, prompt);
        let release = if is_first && is_long { RELEASE } else { 0 };
        let budget = &mut self.prefill.budget;
        budget.charge(QUERY + release, is_long, self.routers);
        if is_first {
            let bears = place::longest_wait(goal, prompt);
            query.bears = is_long.then_some(bears);
            let claim = Claim {
                at: self.prefill.listed,
                nonce,
                reader,
                bears,
                fits: None,
                noted: query.bears.map_or(Noted::No, |_| Noted::Maybe),
            };
            self.prefill.claims.put(ticket.owner, claim);
        }
        query
    }

    /// Answers a query, as the keeper of the endpoint's backlog.
    pub fn answer_prefill_query(&mut self, now: Time, query: &Query) -> Estimate {
        let ledger = &mut self.prefill.ledger;
        let (endpoint, nonce) = (query.endpoint, query.nonce);
        let wait = ledger.wait(now, endpoint, nonce);
        let fits = query.bears.is_some_and(|bears| wait <= bears);
        Estimate {
            nonce,
            wait,
            reserved: fits && ledger.reserve(now, endpoint, nonce, query.tokens),
        }
    }

    /// Takes a note in, as the keeper of the endpoint's backlog.
    pub fn record_prefill_note(&mut self, now: Time, note: Note) {
        let ledger = &mut self.prefill.ledger;
        match note {
            Note::Reserved {
                nonce,
                endpoint,
                tokens,
            } => {
                ledger.reserve(now, endpoint, nonce, tokens);
            }
            Note::Released { nonce, endpoint } => ledger.release(now, endpoint, nonce),
        }
    }

    /// Takes a keeper's estimate in; tells whether the prompt goes there, so that no other keeper is asked.
    pub fn record_prefill_estimate(
        &mut self,
        now: Time,
        ticket: &mut Ticket,
        reader: Reader,
        estimate: &Estimate,
    ) -> bool {
        self.registry
            .record_wait_estimate(now, reader.endpoint, estimate.wait);
        let Some(claim) = self.prefill.claims.get_mut(ticket.owner) else {
            return false;
        };
        let goes = estimate.wait <= claim.bears;
        if estimate.nonce == claim.nonce {
            claim.fits = Some(goes);
            claim.noted = if estimate.reserved {
                Noted::Yes
            } else {
                Noted::No
            };
        }
        goes
    }

    /// Takes the notes that keepers have not been sent.
    pub fn take_prefill_notes(&mut self) -> Vec<Note> {
        self.prefill.claims.take_notes()
    }

    /// Notes that a request no longer waits to be read, whatever has become of it; a second time does nothing.
    pub fn release_prefill(&mut self, owner: Owner) {
        self.prefill.claims.release(owner);
    }

    /// Lets the keeper of the endpoint that is chosen for a request know of it, if it doesn't yet.
    pub(in crate::gateway) fn note_prefill(
        &mut self,
        now: Time,
        ticket: &Ticket,
        incoming_request: &IncomingRequest,
        chosen: EndpointKey,
    ) {
        let speeds_vary = self.variability.is_stated(now);
        if !speeds_vary && self.prefill.claims.get(ticket.owner).is_none() {
            return;
        }
        let (Some(reader), Some(prompt)) = (self.reader(chosen), &incoming_request.prompt) else {
            return self.release_prefill(ticket.owner);
        };
        let prefill = &mut self.prefill;
        let tokens = prompt.input;
        if let Some(claim) = prefill.claims.get_mut(ticket.owner)
            && claim.reader.tag == reader.tag
            && claim.noted != Noted::No
        {
            if claim.noted == Noted::Maybe {
                claim.noted = Noted::Yes;
                let note = Note::Reserved {
                    nonce: claim.nonce,
                    endpoint: reader.tag,
                    tokens,
                };
                prefill.budget.charge(NOTE, true, self.routers);
                prefill.claims.queue(note);
            }
            return;
        }
        prefill.claims.release(ticket.owner);
        let goal = ticket.route.goal;
        if !speeds_vary || !is_noted(goal, prompt) || !prefill.budget.allows_note(now) {
            return;
        }
        prefill.budget.charge(NOTE + RELEASE, true, self.routers);
        let nonce = self.prefill_nonce();
        let claim = Claim {
            at: now,
            nonce,
            reader,
            bears: Millis(0),
            fits: None,
            noted: Noted::Yes,
        };
        let claims = &mut self.prefill.claims;
        claims.put(ticket.owner, claim);
        claims.queue(Note::Reserved {
            nonce,
            endpoint: reader.tag,
            tokens,
        });
    }

    /// Sets what makes this router's nonces differ from those of routers that started in the same millisecond and draw
    /// the same numbers; a keeper would take their prompts for one.
    pub fn set_prefill_salt(&mut self, salt: u64) {
        self.prefill.salt = salt;
    }

    /// Draws the number that names a prompt to keepers.
    pub fn prefill_nonce(&mut self) -> u64 {
        score(self.draw(), self.prefill.salt)
    }

    fn reader(&self, endpoint: EndpointKey) -> Option<Reader> {
        let tag = self.registry.get(endpoint)?.tag();
        Some(Reader { endpoint, tag })
    }
}
