//! Log lines about a request's placement and about requests that are held back.

use toucanturn_account::Reservation;
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        outcome::AttemptOutcome,
        place::Placed,
        quarantine::{
            Crash,
            Verdict, //
        },
        refusal::Cause,
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::{
    log::text,
    proxied::{
        ProxiedRequest,
        Target, //
    },
    state::{
        Phase,
        now, //
    },
};

impl ProxiedRequest {
    /// Creates the reservation of memory for an answer.
    pub(crate) fn reservation(&self) -> Reservation {
        let answers = &self.state.memory.answers;
        answers.reservation(&self.ticket.service)
    }

    /// Logs that an answer ends for want of memory.
    pub(crate) fn log_no_memory(&self, target: &Target) {
        self.state.metrics.count("buffers_full", "answer");
        if !self.state.log.try_admit() {
            return;
        }
        let gateway = self.state.gateway.borrow();
        let endpoint = match target {
            Target::Endpoint(endpoint) => Some(endpoint_name(&gateway, *endpoint)),
            Target::Peer { .. } => None,
        };
        tracing::warn!(
            event = 615,
            id = %text(&self.incoming_request.id),
            service = %text(&self.ticket.service),
            endpoint,
            buffered = self.state.memory.answers.held(),
            "answer ended for want of memory"
        );
    }

    /// Lists the hashes of the prompt's shared parts for a log line, in their order.
    pub(super) fn shared_parts(&self) -> Option<String> {
        let prompt = self.incoming_request.prompt.as_ref()?;
        let hashes = prompt.shared().iter().map(|p| format!("{:016x}", p.id));
        Some(hashes.collect::<Vec<_>>().join(","))
    }

    pub(super) fn log_held(&self) {
        let gateway = self.state.gateway.borrow();
        let now = now();
        let verdict = gateway.verdict(now, &self.ticket);
        let (Some(content), Some(verdict), true) =
            (self.ticket.content, verdict, self.state.log.try_admit())
        else {
            return;
        };
        tracing::warn!(
            event = 621,
            id = %text(&self.incoming_request.id),
            %content,
            crashes = describe(&gateway, now, &verdict),
            left = verdict.left.0,
            "request held back"
        );
    }

    pub(super) fn log_part_held(&self) {
        let gateway = self.state.gateway.borrow();
        let now = now();
        let verdict = gateway.part_verdict(now, &self.ticket);
        let (Some(held), Some(prompt), true) = (
            verdict,
            &self.incoming_request.prompt,
            self.state.log.try_admit(),
        ) else {
            return;
        };
        let place = prompt.parts.iter().position(|p| p.id == held.part);
        tracing::warn!(
            event = 622,
            id = %text(&self.incoming_request.id),
            part = format!("{:016x}", held.part),
            place = place.map(|index| index + 1),
            crashes = describe(&gateway, now, &held.verdict),
            left = held.verdict.left.0,
            "request with a crashing prompt part held back"
        );
    }

    /// Logs a stream that has begun and ends without its end; `cause` is why no other endpoint goes on with it, `silent`
    /// the time since its endpoint last sent something.
    pub(crate) fn log_stream_lost(
        &self,
        outcome: AttemptOutcome,
        cause: Option<Cause>,
        (after, silent): (Option<u64>, Millis),
    ) {
        let metrics = &self.state.metrics;
        metrics.count("streams_lost", &outcome.to_string());
        if !self.state.loss_log.try_admit() {
            return;
        }
        let gateway = self.state.gateway.borrow();
        let endpoint = self.ticket.tried.last();
        tracing::warn!(
            event = 613,
            id = %text(&self.incoming_request.id),
            route = %text(&self.ticket.route.name),
            service = %text(&self.ticket.service),
            endpoint = endpoint.map(|e| endpoint_name(&gateway, *e)),
            attempts = self.ticket.attempts(),
            fate = %outcome,
            cause = cause.map(|c| c.to_string()),
            after,
            silent = silent.0,
            stopping = self.state.phase() >= Phase::Stopping,
            took = now().since(self.began).0,
            left = self.ticket.until.since(now()).0,
            "stream lost"
        );
    }

    /// Logs a request that is still open when the process ends.
    pub(super) fn log_cut_off(&self) {
        if !self.state.ended.get() || !self.state.loss_log.try_admit() {
            return;
        }
        let gateway = self.state.gateway.borrow();
        let endpoint = self.ticket.tried.last();
        tracing::warn!(
            event = 693,
            id = %text(&self.incoming_request.id),
            route = %text(&self.ticket.route.name),
            service = %text(&self.ticket.service),
            endpoint = endpoint.map(|e| endpoint_name(&gateway, *e)),
            from_peer = self.ticket.from_peer,
            events = self.received.map(|r| r.events),
            took = now().since(self.began).0,
            left = self.ticket.until.since(now()).0,
            "request cut off"
        );
    }

    pub(super) fn log_placed(&self, placed: &Placed, resume: Option<u64>) {
        if !self.state.log.try_admit() {
            return;
        }
        let gateway = self.state.gateway.borrow();
        let age = gateway.proof().age(now()).map_or(0, |a| a.0);
        tracing::info!(
            event = 610,
            id = %text(&self.incoming_request.id),
            route = %text(&self.ticket.route.name),
            workspace = self.ticket.workspace.as_ref().map(|w| text(&w.name).into_owned()),
            prompt = self.incoming_request.prompt.as_ref().map(|p| p.input),
            version = self.ticket.version,
            age,
            endpoint = %endpoint_name(&gateway, placed.endpoint),
            build = endpoint_build(&gateway, placed.endpoint),
            after = resume,
            resumes = self.incoming_request.resumes.as_deref().map(|id| text(id).into_owned()),
            load = placed.load,
            load_age = placed.load_age.map(|age| age.0),
            mean = f64::from(placed.mean),
            counted = placed.counted,
            limit = f64::from(placed.limit),
            rank = placed.rank,
            passed_wait = placed.passed_wait.map(|wait| wait.0),
            holder = placed.holder.map(|h| endpoint_name(&gateway, h)),
            cold = placed.cold,
            attempt = self.ticket.tried.len(),
            left = self.ticket.until.since(now()).0,
            "placed"
        );
    }
}

/// Describes the crashes of a verdict: which endpoints, when, and who saw it.
fn describe(gateway: &Gateway, now: Time, verdict: &Verdict) -> String {
    let seen = |c: &Crash| {
        let endpoint = gateway.registry().life(c.endpoint);
        let name = endpoint.map(|e| text(&e.entry.id).into_owned());
        let name = name.unwrap_or_else(|| format!("{:08x}", c.endpoint.0));
        let by = if c.observed_here { "here" } else { "elsewhere" };
        format!("{name} {} ms ago {by}", now.since(c.at).0)
    };
    let crashes: Vec<String> = verdict.crashes.iter().map(seen).collect();
    crashes.join(", ")
}

pub(crate) fn endpoint_name(gateway: &Gateway, endpoint: EndpointKey) -> String {
    let found = gateway.registry().get(endpoint);
    found.map_or_else(|| "gone".to_owned(), |e| text(&e.entry.id).into_owned())
}

/// Returns the software version of an endpoint; `None` if it is not listed any more.
pub(super) fn endpoint_build(gateway: &Gateway, endpoint: EndpointKey) -> Option<String> {
    let found = gateway.registry().get(endpoint);
    found.map(|e| text(&e.entry.build).into_owned())
}
