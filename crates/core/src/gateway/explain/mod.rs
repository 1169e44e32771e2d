//! Where a request would go now, and why, without sending it.
//!
//! [`Gateway::explain`] decides as [`Gateway::admit`] and [`Gateway::place`] do, by the same functions,
//! and changes nothing: it records no request and draws no random number. A hash of the query stands
//! in for the draw. A request's content is not sent to it, only the fingerprint that a log line names.

use std::sync::Arc;

use bytes::Bytes;
use snafu::{
    OptionExt,
    Snafu,
    ensure, //
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        Ticket,
        attempt::{
            refuse_given_up,
            refuse_unplaced,
            silence_limit, //
        },
        catalog::{
            Catalog,
            Found,
            Workspace, //
        },
        fingerprint::Fingerprint,
        incoming_request::{
            IncomingRequest,
            Prompt, //
        },
        place::{
            self,
            Placed,
            PlacementContext,
            Standing, //
        },
        quarantine::contents,
        refusal::{
            Cause,
            Refusal, //
        },
        retry_delay,
        route::Route,
        stop::Span, //
    },
    load::score,
    units::{
        Millis,
        Time, //
    },
};

mod answer;
mod held;

pub use answer::{
    Choice,
    Denial,
    Explanation,
    Group,
    Other,
    Wait, //
};
pub use held::{
    Ended,
    Ground,
    Held, //
};

/// Most endpoints beside the chosen one that an explanation describes; of the others it gives the names and
/// reasons. With more, an answer would cost a router more than a request does.
pub const MAX_DESCRIBED: usize = 16;

/// `Target` names a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// By its name.
    Name(Bytes),
    /// By what a request names.
    Address {
        /// Host, in lower case and without a port.
        host: Bytes,
        /// Path without the query.
        path: Bytes,
    },
}

/// `Query` is a request to explain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// Its route.
    pub target: Target,
    /// One of the route's services; `None` to take one as a draw by their weights would.
    pub service: Option<Bytes>,
    /// Name of the workspace that sends it; `None` if it comes without a known key.
    pub workspace: Option<Bytes>,
    /// Its prompt, if it asks for text generation.
    pub prompt: Option<Prompt>,
    /// How long the caller waits.
    pub deadline: Option<Millis>,
    /// Fingerprint of its content, as log lines name it; `None` if it is not known.
    pub content: Option<Fingerprint>,
}

/// `Error` says which name of a query is not in the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No route.
    #[snafu(display("no published route has this name, or this host and path"))]
    Route,
    /// No service.
    #[snafu(display("the route has no service of this name"))]
    Service,
    /// No workspace.
    #[snafu(display("no published workspace has this name"))]
    Workspace,
    /// A content of another workspace's request.
    #[snafu(display("the content is that of another workspace's request"))]
    Content,
}

impl Gateway {
    /// Explains where a request would go now.
    ///
    /// # Errors
    ///
    /// A name of the query that is not in the configuration in force.
    pub fn explain(&self, now: Time, query: &Query) -> Result<Explanation, Error> {
        let base = Explanation {
            registry_age_ms: self.proof.age(now),
            routers: self.routers,
            services: 1,
            ..Explanation::default()
        };
        let refused = |cause| {
            let deadline = now + query.deadline.unwrap_or_default();
            Explanation {
                refusal: Some(denial(now, deadline, 0, Refusal::temporary(cause))),
                ..base.clone()
            }
        };
        let Some(catalog) = &self.catalog else {
            return Ok(refused(Cause::NotReady));
        };
        let route = match find_route(catalog, &query.target) {
            Found::Usable(route) => route,
            Found::Unusable => return Ok(refused(Cause::UnusableConfiguration)),
            Found::Nothing => return RouteSnafu.fail(),
        };
        let workspace = match &query.workspace {
            Some(name) => Some(catalog.workspace(name).context(WorkspaceSnafu)?),
            None => None,
        };
        let draw = draw(route, query);
        let weighted = route.shares.iter().filter(|s| s.weight > 0);
        let (service, services) = match &query.service {
            Some(name) => {
                let mut named = weighted.filter(|s| s.service == name);
                (named.next().context(ServiceSnafu)?.service.clone(), 1)
            }
            None => (route.service(draw).unwrap_or_default(), weighted.count()),
        };
        let incoming_request = IncomingRequest {
            prompt: query.prompt.clone(),
            deadline: query.deadline,
            ..IncomingRequest::default()
        };
        let workspace = workspace.cloned();
        let version = catalog.version;
        let mut ticket = Ticket::new(now, version, route, service, workspace, &incoming_request);
        let content = query.content;
        let is_own = content.is_none_or(|c| u64::from(c.workspace) == ticket.workspace_tag());
        ensure!(is_own, ContentSnafu);
        ticket.content = content;
        let context = self.placement_context(now, &ticket, draw);
        let prompt = query.prompt.as_ref();
        let placed = self.foresee(&context, catalog, &ticket, prompt);
        let chosen = placed.as_ref().ok().map(|p| p.endpoint);
        let standings = place::standings(&context, &ticket, prompt, chosen);
        let unchosen = standings.endpoints.iter().filter(|s| s.reason.is_some());
        let outage = self.reach.outage(&ticket.service);
        let explanation = Explanation {
            route: text(&route.name),
            service: text(&ticket.service),
            services,
            workspace: ticket
                .workspace
                .as_ref()
                .map(|w: &Arc<Workspace>| text(&w.name)),
            priority: ticket.priority,
            version,
            unreached_ms: outage.map(|o| now.since(o.since)),
            admitted: self.admitted_part(now, &ticket),
            held: self.held(now, &ticket, prompt),
            more: self.more(unchosen.clone().skip(MAX_DESCRIBED)),
            others: unchosen
                .take(MAX_DESCRIBED)
                .map(|standing| self.other(now, standing))
                .collect(),
            ..base
        };
        Ok(match placed {
            Ok(placed) => {
                let runner_up = standings.runner_up;
                let may_repeat = route.kind.repeatable() && ticket.max_attempts > 1;
                let silence = runner_up.filter(|_| may_repeat);
                let delay = self
                    .registry
                    .get(placed.endpoint)
                    .and_then(|e| e.delay(now));
                let wait = Wait {
                    endpoint: self.name(placed.endpoint),
                    last_ms: delay.map(|(waited, _)| waited),
                    last_age_ms: delay.map(|(_, age)| age),
                    silence_ms: silence.map(|_| silence_limit(route, false)),
                    at_most_ms: ticket.until.since(now),
                };
                let choice = Choice {
                    endpoint: self.name(placed.endpoint),
                    decision: standings.decision,
                    among: standings.among,
                    rank: placed.rank,
                    load: placed.load,
                    load_age_ms: placed.load_age,
                    limit: placed.limit,
                    mean: placed.mean,
                    cold: placed.cold,
                    at_risk: placed.at_risk,
                    trial: placed.trial,
                    holder: placed.holder.map(|key| self.name(key)),
                    runner_up: runner_up.map(|key| self.name(key)),
                };
                Explanation {
                    choice: Some(choice),
                    wait: Some(wait),
                    ..explanation
                }
            }
            Err(refusal) => Explanation {
                refusal: Some(denial(now, ticket.deadline, draw, refusal)),
                ..explanation
            },
        })
    }

    /// Decides as admission and placement do, without recording anything.
    fn foresee(
        &self,
        context: &PlacementContext<'_>,
        catalog: &Catalog,
        ticket: &Ticket,
        prompt: Option<&Prompt>,
    ) -> Result<Placed, Refusal> {
        let now = context.now;
        if !self.proof.covers_routes(now, &self.bounds) {
            return Err(Refusal::temporary(Cause::Stale));
        }
        let route = &ticket.route;
        if ticket.workspace.is_none() && !route.anonymous && catalog.has_workspaces() {
            return Err(Refusal::permanent(Cause::UnknownKey));
        }
        if self.outlasts_stop(now, route, &Span::new(ticket.began, ticket.until, prompt)) {
            return Err(Refusal::temporary(Cause::Stopping));
        }
        if now >= ticket.until {
            return Err(Refusal::given_up(Cause::Deadline, false));
        }
        let may_try = self.knows_of_trials(now);
        let held = self.part_verdict(now, ticket);
        if let Some(held) = &held
            && !(may_try && self.part_quarantine.may_try(held))
        {
            return Err(Refusal::part_quarantined(held.verdict.left, false));
        }
        let held_content = self.verdict(now, ticket);
        if let Some(held) = &held_content
            && !(may_try && contents::may_try(held, context.draw, self.routers))
        {
            return Err(Refusal::quarantined(held.left, false));
        }
        let Some(placed) = place::choose(context, ticket, prompt) else {
            let cause = match refuse_unplaced(context, ticket) {
                Ok(refusal) => return Err(refusal),
                Err(cause) => cause,
            };
            let back_off_end = self.first_back_off_end(now, ticket, cause);
            let draw = || context.draw;
            return Err(refuse_given_up(now, ticket, cause, back_off_end, draw));
        };
        let engines_share = catalog.engines_share_cache(&ticket.service);
        Ok(Placed {
            holder: placed.holder.filter(|_| engines_share),
            trial: held.is_some() || held_content.is_some(),
            ..placed
        })
    }

    /// Groups endpoints by why they are not chosen.
    fn more<'a>(&self, standings: impl Iterator<Item = &'a Standing>) -> Vec<Group> {
        let mut groups: Vec<Group> = Vec::new();
        for standing in standings {
            let name = self.name(standing.endpoint);
            match groups.iter_mut().find(|g| g.reason == standing.reason) {
                Some(group) => group.endpoints.push(name),
                None => groups.push(Group {
                    reason: standing.reason,
                    endpoints: vec![name],
                }),
            }
        }
        groups
    }

    fn other(&self, now: Time, standing: &Standing) -> Other {
        let endpoint = self.registry.get(standing.endpoint);
        Other {
            endpoint: self.name(standing.endpoint),
            reason: standing.reason,
            left_ms: standing.left,
            rank: standing.rank,
            load: endpoint.map_or(0, |e| e.load(now)),
            load_age_ms: endpoint.and_then(|e| e.age(now)),
            limit: standing.limit,
            latency_ms: endpoint.and_then(|e| e.latency(now)),
        }
    }

    fn name(&self, endpoint: EndpointKey) -> String {
        let endpoint = self.registry.get(endpoint);
        endpoint.map_or_else(String::new, |e| text(&e.entry.id))
    }
}

fn find_route<'a>(catalog: &'a Catalog, target: &Target) -> Found<&'a Arc<Route>> {
    match target {
        Target::Name(name) => {
            let named = catalog.routes().find(|r| r.name == name);
            named.map_or(Found::Nothing, Found::Usable)
        }
        Target::Address { host, path } => catalog.find_route(host, path),
    }
}

/// Gets a number that is the same for the same query.
fn draw(route: &Route, query: &Query) -> u64 {
    let workspace = query.workspace.as_deref().unwrap_or_default();
    let part = query.prompt.as_ref().and_then(Prompt::placement_part);
    let part = part.map_or(0, |part| part.id);
    score(xxh3_64(&route.name), xxh3_64(workspace) ^ part)
}

fn denial(now: Time, deadline: Time, draw: u64, refusal: Refusal) -> Denial {
    let soon = || retry_delay(now, deadline, draw);
    let wait = refusal
        .retryable
        .then(|| refusal.retry_after.unwrap_or_else(soon));
    Denial {
        cause: refusal.cause.to_string(),
        retry_after_ms: wait,
    }
}

fn text(name: &[u8]) -> String {
    String::from_utf8_lossy(name).into_owned()
}
