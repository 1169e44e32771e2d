//! The choice of the endpoint of an attempt, and the refusal where there is none.

use bytes::Bytes;

use crate::{
    gateway::{
        Gateway,
        Ticket,
        hot_spots,
        incoming_request::{
            IncomingRequest,
            Prompt, //
        },
        place,
        refusal::{
            Cause,
            Refusal, //
        },
        retry_delay_after,
        spread_retry_delay, //
    },
    units::{
        Millis,
        Time, //
    },
};

/// Time within which endpoints that are full have room again: callers who are refused come back spread
/// over it.
pub(in crate::gateway) const FULL_RETRY_DELAY: Millis = Millis(1000);

/// Refuses a request that no endpoint could be chosen for, if it is known what would make room; else
/// returns why there is no endpoint.
pub(in crate::gateway) fn refuse_unplaced(
    context: &place::PlacementContext<'_>,
    ticket: &Ticket,
) -> Result<Refusal, Cause> {
    let retry_delay = |room| spread_retry_delay(context.now, ticket.deadline, room, context.draw);
    let may_have_run = ticket.may_have_run;
    if let Some(warm) = place::time_until_warm(context, ticket) {
        let wait = retry_delay(warm);
        return Ok(Refusal::with_retry_after(
            Cause::WarmingUp,
            wait,
            may_have_run,
        ));
    }
    let has_full_share = place::has_full_share(context, ticket);
    if has_full_share || place::has_spared(context, ticket) {
        let wait = retry_delay(FULL_RETRY_DELAY);
        return Ok(Refusal {
            peers_have_room: has_full_share,
            ..Refusal::with_retry_after(Cause::Overloaded, wait, may_have_run)
        });
    }
    Err(if place::has_unconfirmed(context, ticket) {
        Cause::Unconfirmed
    } else {
        Cause::NoEndpoint
    })
}

/// Refuses a request that is given up; `back_off_end` is the time until its endpoints want requests again, if
/// that is why.
pub(in crate::gateway) fn refuse_given_up(
    now: Time,
    ticket: &Ticket,
    cause: Cause,
    back_off_end: Option<Millis>,
    draw: impl FnOnce() -> u64,
) -> Refusal {
    let Some(left) = back_off_end else {
        return Refusal::given_up(cause, ticket.may_have_run);
    };
    let wait = retry_delay_after(now, ticket.deadline, left, draw());
    Refusal::with_retry_after(Cause::BackingOff, wait, ticket.may_have_run)
}

impl Gateway {
    /// Chooses the endpoint of the next attempt.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets immediately.
    pub fn place(
        &mut self,
        now: Time,
        ticket: &Ticket,
        incoming_request: &IncomingRequest,
    ) -> Result<place::Placed, Refusal> {
        let placed = self.choose_endpoint(now, ticket, incoming_request);
        match &placed {
            Ok(placed) => self.note_prefill(now, ticket, incoming_request, placed.endpoint),
            Err(_) => self.release_prefill(ticket.owner),
        }
        placed
    }

    fn choose_endpoint(
        &mut self,
        now: Time,
        ticket: &Ticket,
        incoming_request: &IncomingRequest,
    ) -> Result<place::Placed, Refusal> {
        if now >= ticket.until {
            return Err(Refusal::given_up(Cause::Deadline, ticket.may_have_run));
        }
        self.check_origin(ticket)?;
        let trial = self.check_quarantine(now, ticket)?;
        if self.cannot_help(now, ticket) {
            return Err(Refusal::given_up(Cause::Unreached, ticket.may_have_run));
        }
        let draw = self.draw();
        let part = incoming_request
            .prompt
            .as_ref()
            .and_then(Prompt::placement_part);
        let is_first = ticket.tried.is_empty() && ticket.unreached.is_empty();
        if let Some(part) = part.filter(|_| is_first) {
            self.record_request_sample(
                now,
                &ticket.service,
                hot_spots::tag(part.id),
                incoming_request.work(),
            );
        }
        if self.warmup.has_cold_endpoints() {
            self.warmup.record_waiting(now, ticket.workspace_tag());
        }
        let context = self.placement_context(now, ticket, draw);
        let placed = place::choose(&context, ticket, incoming_request.prompt.as_ref());
        let Some(placed) = placed else {
            let cause = match refuse_unplaced(&context, ticket) {
                Ok(refusal) => return Err(refusal),
                Err(cause) => cause,
            };
            return Err(self.give_up(now, ticket, cause));
        };
        self.record_shared_reads(now, incoming_request, placed.endpoint);
        if placed.at_risk {
            self.brittleness.record_placed(now, placed.endpoint);
        }
        if placed.cold {
            let workspace = ticket.workspace_tag();
            self.warmup.record_placed(now, workspace, placed.endpoint);
        }
        let engines_share = self
            .catalog
            .as_ref()
            .is_some_and(|c| c.engines_share_cache(&ticket.service));
        Ok(place::Placed {
            holder: placed.holder.filter(|_| engines_share),
            trial,
            ..placed
        })
    }

    /// Gets what a placement depends on; `draw` is a random number.
    pub(in crate::gateway) fn placement_context(
        &self,
        now: Time,
        ticket: &Ticket,
        draw: u64,
    ) -> place::PlacementContext<'_> {
        let service = &ticket.service;
        place::PlacementContext {
            share: self.connection_share(service),
            hot_spots: self.hot_spots.get(service),
            shared_reads: &self.shared_reads,
            registry: &self.registry,
            proof: &self.proof,
            bounds: &self.bounds,
            warmup: self.warmup_limit(service).map(|_| &self.warmup),
            brittle: self.brittle_context(now, service),
            routers: self.routers,
            is_short: self.pressure(now, ticket).is_some(),
            speeds_vary: self.variability.is_stated(now),
            advice: self.prefill.advice(ticket.owner),
            now,
            draw,
        }
    }

    /// Gives up a request for which there is no endpoint, or no further attempt. Where all endpoints
    /// of its service have asked for a time without requests, the refusal says when the first of
    /// these times ends.
    pub fn give_up(&mut self, now: Time, ticket: &Ticket, cause: Cause) -> Refusal {
        self.release_prefill(ticket.owner);
        let back_off_end = self.first_back_off_end(now, ticket, cause);
        refuse_given_up(now, ticket, cause, back_off_end, || self.draw())
    }

    /// Gets the time until the first back-off ends if that is why there is no endpoint.
    pub(in crate::gateway) fn first_back_off_end(
        &self,
        now: Time,
        ticket: &Ticket,
        cause: Cause,
    ) -> Option<Millis> {
        let back_offs = self.registry.of(&ticket.service);
        let back_offs = back_offs.map(|(_, e)| e.back_off(now));
        let first_end = back_offs.min().filter(|left| *left > Millis(0));
        first_end.filter(|_| cause == Cause::NoEndpoint)
    }

    pub(super) fn brittle_context(
        &self,
        now: Time,
        service: &Bytes,
    ) -> Option<place::BrittleContext<'_>> {
        self.brittleness.limit(now, service)?;
        let used = self.registry.of(service).map(|(_, e)| e.own_in_flight);
        let used = used.fold(0, u32::saturating_add);
        Some(place::BrittleContext {
            brittleness: &self.brittleness,
            routers: self.routers,
            confined: self.brittleness.uses_free_share(service, used),
        })
    }
}
