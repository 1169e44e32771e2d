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
    units::{
        Millis,
        Time, //
    },
};

/// Time after a suspension within which peers report the crashes that trials have caused meanwhile.
const TRIAL_REPORT_TIME: Millis = Millis(1000);

impl Gateway {
    /// Tells whether this router knows of the trials that others have made. One that was suspended does
    /// only after a while: by what it knows, hold times have passed.
    pub(in crate::gateway) fn knows_of_trials(&self, now: Time) -> bool {
        !self.is_late(now) && !self.resumed_within(now, TRIAL_REPORT_TIME)
    }

    /// Checks that a request is not held back by the quarantine; returns whether it is let through as
    /// a trial.
    pub(super) fn check_quarantine(&mut self, now: Time, ticket: &Ticket) -> Result<bool, Refusal> {
        let may_try = self.knows_of_trials(now);
        let held = self.part_verdict(now, ticket);
        if let Some(held) = &held
            && !(may_try && self.part_quarantine.admit_trial(now, held))
        {
            let left = held.verdict.left;
            return Err(Refusal::part_quarantined(left, ticket.may_have_run));
        }
        let (Some(verdict), Some(content)) = (self.verdict(now, ticket), ticket.content) else {
            return Ok(held.is_some());
        };
        let draw = self.draw();
        let routers = self.routers;
        let is_trial = may_try
            && self
                .quarantine
                .admit_trial(now, content, &verdict, draw, routers);
        if is_trial {
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
