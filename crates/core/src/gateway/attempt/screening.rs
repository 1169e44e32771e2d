//! Whether the quarantine holds a request back.

use std::sync::Arc;

use crate::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        Ticket,
        fingerprint::{
            self,
            Content,
            Fingerprint, //
        },
        quarantine::{
            Crash,
            UnprovedAnswer,
            Verdict,
            parts::PartVerdict, //
        },
        refusal::Refusal, //
    },
    units::Time, //
};

impl Gateway {
    /// Checks that a request is not held back by the quarantine; returns whether it is let through as
    /// a trial.
    pub(super) fn check_quarantine(&mut self, now: Time, ticket: &Ticket) -> Result<bool, Refusal> {
        let held = self.part_verdict(now, ticket);
        if let Some(held) = &held
            && !self.part_quarantine.admit_trial(now, held)
        {
            let left = held.verdict.left;
            return Err(Refusal::part_quarantined(left, ticket.may_have_run));
        }
        let (Some(verdict), Some(content)) = (self.verdict(now, ticket), ticket.content) else {
            return Ok(held.is_some());
        };
        let draw = self.draw();
        let routers = self.routers;
        if self
            .quarantine
            .admit_trial(now, content, &verdict, draw, routers)
        {
            return Ok(true);
        }
        Err(Refusal::quarantined(verdict.left, ticket.may_have_run))
    }

    /// Gets the fingerprint of a request's content, and tells the quarantine if the same content
    /// was answered completely through this router before.
    pub fn identify(&mut self, now: Time, content: &Content<'_>) -> Fingerprint {
        let request = Fingerprint::of(content);
        let hash = fingerprint::keyed_hash(self.seed, content);
        self.quarantine.apply_remembered_answer(now, request, hash);
        request
    }

    /// Notes that a request with this content was answered completely.
    pub fn record_complete_answer(&mut self, now: Time, content: &Content<'_>) {
        let hash = fingerprint::keyed_hash(self.seed, content);
        self.quarantine.record_complete_answer(now, hash);
    }

    /// Notes an answer to a request with this content that ended with its connection; its ticket says so.
    pub fn record_unproved_answer(
        &mut self,
        now: Time,
        ticket: &Ticket,
        endpoint: EndpointKey,
        content: &Content<'_>,
    ) {
        let Some(endpoint) = self.registry.get(endpoint).filter(|e| e.usable()) else {
            return;
        };
        self.quarantine.answered_unproved(UnprovedAnswer {
            request: Fingerprint::of(content),
            hash: fingerprint::keyed_hash(self.seed, content),
            crash: Crash {
                endpoint: endpoint.tag(),
                sent: ticket.sent,
                at: now,
                observed_here: true,
            },
            parts: Arc::clone(&ticket.parts),
            service: ticket.service.clone(),
        });
    }

    /// Tells whether the contents of this workspace's requests must be fingerprinted, because some
    /// of them were in progress at endpoints whose connections broke.
    pub fn has_suspects(&self, ticket: &Ticket) -> bool {
        self.quarantine.has_suspects(ticket.fingerprint_workspace())
    }

    /// Tells whether, why and for how long a request is held back.
    pub fn verdict(&self, now: Time, ticket: &Ticket) -> Option<Verdict> {
        let liveness_since = |life, since| self.registry.liveness_since(life, since);
        let content = ticket.content?;
        self.quarantine
            .verdict(now, content, self.bounds.hold, liveness_since)
    }

    /// Tells whether, why and for how long a request is held back for a part of its prompt.
    pub fn part_verdict(&self, now: Time, ticket: &Ticket) -> Option<PartVerdict> {
        if self.part_quarantine.is_empty() {
            return None;
        }
        let liveness_since = |life, since| self.registry.liveness_since(life, since);
        let prompt = ticket.prompt_parts();
        self.part_quarantine
            .verdict(now, prompt, self.bounds.hold, liveness_since)
    }
}
