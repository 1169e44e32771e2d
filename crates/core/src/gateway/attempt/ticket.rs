//! An admitted request, and the state of its attempts.

use std::{
    net::SocketAddrV4,
    sync::Arc, //
};

use bytes::Bytes;
use indexmap::IndexSet;

use crate::{
    arena::EndpointKey,
    gateway::{
        catalog::Workspace,
        endpoint::Incarnation,
        fingerprint::{
            self,
            Fingerprint, //
        },
        incoming_request::{
            IncomingRequest,
            Length,
            Prompt, //
        },
        origin::{
            Build,
            Origin, //
        },
        prefill::Owner,
        quarantine::parts::PromptParts,
        route::Route, //
    },
    ids::Tag,
    units::Time, //
};

/// `Ticket` is an admitted request and the state of its attempts.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Names the request in this router.
    pub owner: Owner,
    /// Route that the request matched.
    pub route: Arc<Route>,
    /// Service drawn from the route's weighted services.
    pub service: Bytes,
    /// Workspace that sent it; `None` if it came without a known key on a route that needs none.
    pub workspace: Option<Arc<Workspace>>,
    /// Priority under overload; 0 is the most urgent.
    pub priority: u8,
    /// When its first byte arrived.
    pub began: Time,
    /// Class of its prompt by length; `None` without a prompt.
    pub length: Option<Length>,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// When the final answer is due: the deadline, or the route's time limit if that is earlier.
    pub until: Time,
    /// Version of the configuration that admitted it.
    pub version: u64,
    /// Endpoints that it was sent to.
    pub tried: Vec<EndpointKey>,
    /// When it was last sent to an endpoint.
    pub sent: Time,
    /// Incarnation of the endpoint that it was last sent to.
    pub life: Option<Tag>,
    /// Endpoints that could not be connected to; they don't count as attempts.
    pub unreached: Vec<EndpointKey>,
    /// Attempts of peers at endpoints that are not listed here.
    pub remote_attempts: u32,
    /// Most endpoints that it may be sent to.
    pub max_attempts: u32,
    /// Endpoints that it must not be sent to because another router has tried them.
    pub excluded: Vec<EndpointKey>,
    /// Peers that it was handed to, or that could not be connected to.
    pub peers: Vec<SocketAddrV4>,
    /// Whether a peer has handed it to this router.
    pub from_peer: bool,
    /// Whether the retry budget counts it as a request.
    pub counted: bool,
    /// When the first connection that it waited for was begun.
    pub connecting_since: Option<Time>,
    /// Whether an endpoint may have run it.
    pub may_have_run: bool,
    /// Whether the retry budget is already charged for a retry that has not been sent yet.
    pub retry_reserved: bool,
    /// Fingerprint of its content, if that was computed.
    pub content: Option<Fingerprint>,
    /// Hashes of the shared parts of its prompt, each once.
    pub parts: Arc<[u64]>,
    /// Whether the newest answer has a status of success.
    pub succeeded: bool,
    /// Software version at which it may run, if its caller has events of its stream.
    pub origin: Origin,
    /// Software version of the endpoint that it was last sent to.
    pub build: Option<Build>,
    /// When the connection was opened on which it is sent to an endpoint.
    pub opened: Option<Time>,
    /// Endpoint that it was last sent to, and when the connection was opened, if the registry has not been read since
    /// and the endpoint may have restarted: `build` is its entry's, and may not be that of its process.
    pub unconfirmed: Option<(EndpointKey, Time)>,
    /// Endpoint that has begun its stream, and when its first event was delivered.
    pub begun: Option<(Incarnation, Time)>,
    /// Whether nothing but the end of its connection shows that the newest answer is complete.
    pub unproved: bool,
}

impl Ticket {
    /// Counts its attempts: the endpoints that it was sent to.
    pub fn attempts(&self) -> u32 {
        let tried = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        tried.saturating_add(self.remote_attempts)
    }

    /// Notes that it is not known whether an endpoint has restarted, so that another one is to go on with its stream.
    pub fn pass_over(&mut self, endpoint: EndpointKey) {
        self.unreached.push(endpoint);
    }

    /// Gets the tag of the workspace that sent it.
    pub(in crate::gateway) fn workspace_tag(&self) -> u64 {
        self.fingerprint_workspace().into()
    }

    /// Gets the workspace tag of its fingerprints.
    pub(super) fn fingerprint_workspace(&self) -> u32 {
        fingerprint::workspace(self.workspace.as_ref().map(|w| &w.name))
    }

    pub(super) fn prompt_parts(&self) -> PromptParts<'_> {
        PromptParts {
            workspace: self.fingerprint_workspace(),
            parts: &self.parts,
            service: &self.service,
        }
    }
}

/// Gets when the caller stops waiting, and when the final answer is due.
pub(in crate::gateway) fn due(
    now: Time,
    route: &Route,
    incoming_request: &IncomingRequest,
) -> (Time, Time) {
    let began = now - incoming_request.waited;
    let limit = began + route.limit;
    let deadline = incoming_request.deadline.map_or(limit, |left| began + left);
    (deadline, deadline.min(limit))
}

/// Lists the hashes of the shared parts of a request's prompt, each once.
fn shared_parts(incoming_request: &IncomingRequest) -> Arc<[u64]> {
    let shared = incoming_request.prompt.iter().flat_map(Prompt::shared);
    let parts: IndexSet<u64> = shared.map(|part| part.id).collect();
    parts.into_iter().collect()
}

impl Ticket {
    /// Makes the ticket of a request that is admitted now.
    pub(in crate::gateway) fn new(
        now: Time,
        version: u64,
        route: &Arc<Route>,
        service: Bytes,
        workspace: Option<Arc<Workspace>>,
        incoming_request: &IncomingRequest,
    ) -> Self {
        let priority = workspace
            .as_ref()
            .and_then(|w| w.priority)
            .unwrap_or(route.priority);
        let (deadline, until) = due(now, route, incoming_request);
        Self {
            owner: Owner::default(),
            service,
            workspace,
            priority,
            began: now - incoming_request.waited,
            length: incoming_request.prompt.as_ref().map(Prompt::length),
            deadline,
            until,
            version,
            max_attempts: route.attempts,
            route: Arc::clone(route),
            remote_attempts: 0,
            excluded: Vec::new(),
            peers: Vec::new(),
            from_peer: false,
            counted: true,
            connecting_since: None,
            tried: Vec::new(),
            sent: now,
            life: None,
            unreached: Vec::new(),
            may_have_run: false,
            retry_reserved: false,
            content: None,
            parts: shared_parts(incoming_request),
            succeeded: true,
            origin: Origin::New,
            build: None,
            opened: None,
            unconfirmed: None,
            begun: None,
            unproved: false,
        }
    }
}
