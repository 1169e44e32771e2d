//! The step in which a request's router places it.

use rand::RngExt;
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        Ticket,
        fingerprint::Fingerprint,
        outcome::NextStep as After,
        refusal::Cause, //
    },
    units::Time,
};

use crate::lab::{
    fleet::{
        Fleet, Next, WAY,
        deployment::{
            SERVICE,
            entry, //
        },
    },
    sheet::Trouble,
};

impl Fleet<'_> {
    /// Draws the router that a request comes to.
    fn draw_router(&mut self, now: u64) -> usize {
        let crowded = self.sheet.at(now).find_map(|t| match t {
            Trouble::Crowded { router, share } => Some((router, share)),
            _ => None,
        });
        if let Some((router, share)) = crowded
            && self.rng.random_bool(share)
        {
            return router;
        }
        let lost = self.lost_router(now);
        loop {
            let drawn = self.rng.random_range(0..self.routers.len());
            if lost != Some(drawn) {
                return drawn;
            }
        }
    }

    pub(super) fn place(&mut self, now: u64, number: usize) {
        let who = self.draw_router(now);
        let router = &mut self.routers[who];
        let at = Time(now);
        router.record_registry_read(at, at);
        let request = &mut self.requests[number];
        let Ok(mut ticket) = router.admit(at, &request.incoming_request) else {
            return;
        };
        ticket.content = Some(content(number, request.repeated));
        request.router = who;
        self.inquire(now, number, ticket);
    }

    /// Sends a request to the endpoint that its router chooses, if there is one.
    pub(super) fn send(&mut self, now: u64, number: usize, mut ticket: Ticket) {
        let request = &mut self.requests[number];
        let router = &mut self.routers[request.router];
        let at = Time(now);
        let index = |router: &Gateway, key| {
            let endpoint = router.registry().get(key)?;
            let name = std::str::from_utf8(&endpoint.entry.id).ok()?;
            name.split('.').next()?.parse::<usize>().ok()
        };
        let (placed, engine) = loop {
            let placed = match router.place(at, &ticket, &request.incoming_request) {
                Ok(placed) => placed,
                Err(refusal) => {
                    let held = matches!(refusal.cause, Cause::Quarantined | Cause::PartQuarantined)
                        && !request.fatal;
                    self.account.held += usize::from(held);
                    if matches!(refusal.cause, Cause::BackingOff | Cause::Overloaded) {
                        self.refused(now, number, refusal);
                    }
                    return;
                }
            };
            let engine = index(router, placed.endpoint).unwrap_or_default();
            if !self.lives[engine].down {
                break (placed, engine);
            }
            if router.unreached(at, &mut ticket, placed.endpoint) != After::Again {
                return;
            }
        };
        let holder = placed.holder.and_then(|key| index(router, key));
        let (engine, holder, endpoint) = match self.consult_oracle(now, number, engine, holder) {
            Some((best, holder)) => (best, holder, self.key_of(number, best)),
            None => (engine, holder, Some(placed.endpoint)),
        };
        let Some(endpoint) = endpoint else {
            return;
        };
        let request = &mut self.requests[number];
        let router = &mut self.routers[request.router];
        router.sent(at, &mut ticket, endpoint);
        request.engine = engine;
        request.ticket = Some((ticket, endpoint));
        let shared = request.incoming_request.prompt.as_ref().map(|p| p.parts[0]);
        if let (Some(holder), Some(part)) = (holder, shared)
            && self.engines[holder].holds(part.id)
            && !self.engines[engine].holds(part.id)
        {
            self.engines[engine].fetch(&[part]);
            self.account.moved += u64::from(part.tokens);
        }
        self.later(now + WAY, Next::Arrive(number, engine));
    }

    /// Gets a router's key of an engine, if it lists it.
    pub(super) fn key_of(&self, number: usize, engine: usize) -> Option<EndpointKey> {
        let router = &self.routers[self.requests[number].router];
        let id = entry(self.sheet, engine, self.lives[engine].number).id;
        let mut all = router.registry().of(SERVICE);
        all.find(|(_, e)| e.entry.id == id).map(|(key, _)| key)
    }
}

/// Gets the fingerprint of a request; those that are repeats have the same.
fn content(number: usize, repeated: bool) -> Fingerprint {
    Fingerprint {
        workspace: 0,
        content: if repeated { u64::MAX } else { number as u64 },
    }
}
