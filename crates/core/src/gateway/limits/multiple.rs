//! What an endpoint's keeper knows of its load, asked for before a prompt is placed.
//!
//! The load that it answers: endpoints that hold one to three requests, before so many routers that several
//! send to one of them within the time in which digests tell of it.
//!
//! - **Bound**: the requests that an endpoint gets over the permitted multiple of the mean load.
//! - **Who counts**: one router for each endpoint, the one that would keep its prefill backlog. The others tell
//!   it each load that an answer states. It counts besides the requests for which it was asked since then.
//! - **A router whose keeper is silent** places by what digests tell.
//! - **Why it holds**: of two routers that ask within milliseconds the keeper tells the second one of the
//!   first. Endpoints that are believed to hold less than [`ASKED_SHARE`] of their limit are not asked for;
//!   what reaches them at once is seldom as much as the rest.
//!
//! Messages count in the budget of the prefill backlogs, which are off where this is on.

use std::collections::VecDeque;

use crate::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        Ticket,
        incoming_request::IncomingRequest,
        place, //
    },
    ids::Tag,
    load::score,
    units::{
        Permille,
        Time, //
    },
};

/// Part of an endpoint's limit from which its keeper is asked.
const ASKED_SHARE: Permille = Permille(400);
/// Limit of the notes that are not yet taken; beyond it the oldest is dropped.
pub const MAX_QUEUED_NOTES: usize = 256;

/// `LoadQuery` asks an endpoint's keeper for its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadQuery {
    /// Comes back in the estimate.
    pub nonce: u64,
    /// Tag of the endpoint's incarnation.
    pub endpoint: Tag,
    /// Load below which the request goes there, so that the keeper counts it at once.
    pub limit: u32,
}

/// `LoadEstimate` is what a keeper answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadEstimate {
    /// Number of the query.
    pub nonce: u64,
    /// Requests that the endpoint probably holds; `None` if the keeper knows no load.
    pub load: Option<u32>,
}

/// `LoadNote` tells a keeper of the load that an answer states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadNote {
    /// Tag of the endpoint's incarnation.
    pub endpoint: Tag,
    /// Requests that it holds.
    pub load: u32,
}

/// `LoadNotes` holds the notes that keepers have not been sent.
#[derive(Debug, Default)]
pub(in crate::gateway) struct LoadNotes {
    queued: VecDeque<LoadNote>,
}

impl LoadNotes {
    fn queue(&mut self, note: LoadNote) {
        if self.queued.len() >= MAX_QUEUED_NOTES {
            self.queued.pop_front();
        }
        self.queued.push_back(note);
    }
}

impl Gateway {
    /// Makes the query for the endpoint that a request would go to; `None` where its load is low, or nobody is
    /// to be asked.
    pub fn load_query(
        &mut self,
        now: Time,
        ticket: &Ticket,
        incoming_request: &IncomingRequest,
    ) -> Option<(EndpointKey, LoadQuery)> {
        let prompt = incoming_request.prompt.as_ref()?;
        prompt.placement_part()?;
        if !self.asks_for_loads(now) || !self.prefill.allows_load_query(now) {
            return None;
        }
        // Another draw than that of the placement, which stays the same with and without queries.
        let draw = score(score(self.seed, ticket.owner.0), now.0);
        let context = self.placement_context(now, ticket, draw);
        let placed = place::choose(&context, ticket, Some(prompt))?;
        placed.load_age?;
        let (load, limit) = (f64::from(placed.load), f64::from(placed.limit));
        if load < limit * f64::from(ASKED_SHARE.0) / 1000.0 {
            return None;
        }
        let query = LoadQuery {
            nonce: self.prefill.salted(draw),
            endpoint: self.registry.get(placed.endpoint)?.tag(),
            limit: whole(placed.limit),
        };
        self.prefill.charge_load_query(self.routers);
        Some((placed.endpoint, query))
    }

    /// Answers a query, as the endpoint's keeper; with `reserves`, a request that goes there is counted.
    pub fn answer_load_query(
        &mut self,
        now: Time,
        query: &LoadQuery,
        reserves: bool,
    ) -> LoadEstimate {
        let endpoint = self.registry.by_tag_mut(query.endpoint);
        let load = endpoint.and_then(|e| {
            e.age(now)?;
            let load = e.load(now);
            if reserves && load < query.limit {
                e.reserve(now);
            }
            Some(load)
        });
        LoadEstimate {
            nonce: query.nonce,
            load,
        }
    }

    /// Takes a keeper's estimate in.
    pub fn record_load_estimate(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        estimate: &LoadEstimate,
    ) {
        if let Some(load) = estimate.load {
            self.registry.record_load_estimate(now, endpoint, load);
        }
    }

    /// Takes a note in, as the endpoint's keeper.
    pub fn record_load_note(&mut self, now: Time, note: LoadNote) {
        if let Some(endpoint) = self.registry.by_tag_mut(note.endpoint) {
            endpoint.record_load_note(now, note.load);
        }
    }

    /// Takes the notes that keepers have not been sent.
    pub fn take_load_notes(&mut self) -> Vec<LoadNote> {
        self.load_notes.queued.drain(..).collect()
    }

    /// Lets an endpoint's keeper know of a load that an answer states.
    pub(in crate::gateway) fn note_load(&mut self, now: Time, endpoint: EndpointKey, load: u32) {
        let Some(endpoint) = self.registry.get(endpoint) else {
            return;
        };
        let has_prompts = self.hot_spots.contains_key(&endpoint.entry.service);
        let endpoint = endpoint.tag();
        if has_prompts
            && self.asks_for_loads(now)
            && self.prefill.admits_load_note(now, self.routers)
        {
            self.load_notes.queue(LoadNote { endpoint, load });
        }
    }

    /// Tells whether keepers are asked for loads: there are other routers, and prefill backlogs are not asked for.
    fn asks_for_loads(&self, now: Time) -> bool {
        self.routers > 1 && !self.variability.is_stated(now)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates"
)]
fn whole(limit: f32) -> u32 {
    limit.ceil() as u32
}
