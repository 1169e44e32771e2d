//! The decision log: numbered events, one line each. docs/EVENTS.md is the catalogue.
//!
//! Every line of the router is written here, so that each has a number and the catalogue's test
//! sees it. No message text, key or token is ever logged: ids, names and figures only.

use std::{
    fmt::Display,
    net::SocketAddr, //
};

use strum::{
    EnumIter,
    IntoStaticStr, //
};
use toucanturn_core::{
    action::Decision,
    arena::{
        EndpointKey,
        RouterKey,
        WorkspaceKey, //
    },
    config::Config,
    ids::{
        Id,
        Tag, //
    },
    orders::OrderOutcome,
    request::Call, //
};

/// Target of the lines, by which a subscriber can pick them out.
pub const TARGET: &str = "toucanturn::decision";

/// `Number` is an event's number in the log. A number is never given to another event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[repr(u16)]
pub enum Number {
    /// A request was placed at an endpoint.
    Placed = 101,
    /// A request was refused.
    Refused = 102,
    /// A call that runs once was sent to its home.
    Forwarded = 103,
    /// A repeated key got its first answer.
    Replayed = 104,
    /// An attempt failed.
    AttemptFailed = 105,
    /// A call ended with an answer.
    Done = 106,
    /// An engine did not import a prefix.
    NotImported = 107,
    /// A filter refused a request before a decision.
    Denied = 108,
    /// An endpoint's state changed.
    Member = 201,
    /// An engine is given an order.
    Ordered = 202,
    /// An engine needs an order and gets none now.
    OrderHeld = 203,
    /// An order was answered, or will not be.
    OrderEnded = 204,
    /// The configuration service could not be read.
    Unread = 301,
    /// A configuration was put in force.
    Applied = 302,
    /// A configuration was refused.
    Rejected = 303,
    /// The list of VMs could not be read.
    VmsUnread = 304,
    /// A home's lease began or ended.
    Lease = 401,
    /// A peer's message was refused.
    PeerRejected = 402,
    /// A call could not be brought to its home or back.
    NotForwarded = 403,
    /// Messages could not be brought to a peer.
    PeerUnreached = 404,
    /// The port for other routers is closed.
    PeerPortClosed = 405,
    /// The drain began.
    Draining = 501,
    /// The drain ended before every call did.
    Cut = 502,
}

impl Number {
    /// Gets the number itself.
    pub const fn code(self) -> u16 {
        self as u16
    }

    /// Gets the event's name, the field `label` of its line.
    pub fn label(self) -> &'static str {
        self.into()
    }
}

macro_rules! event {
    ($level:ident, $number:ident $(, $($field:tt)+)?) => {
        tracing::$level!(
            target: TARGET,
            event = Number::$number.code(),
            label = Number::$number.label()
            $(, $($field)+)?
        )
    };
}

/// Gets the call that a decision is about; `None` where it is about no single one.
pub const fn call(decision: &Decision) -> Option<Call> {
    match decision {
        Decision::Placed { call, .. }
        | Decision::Refused { call, .. }
        | Decision::Forwarded { call, .. }
        | Decision::Replayed { call }
        | Decision::AttemptFailed { call, .. }
        | Decision::Done { call, .. } => Some(*call),
        Decision::Member { .. }
        | Decision::Ordered { .. }
        | Decision::OrderHeld { .. }
        | Decision::OrderEnded { .. }
        | Decision::Applied { .. }
        | Decision::Rejected { .. }
        | Decision::Lease { .. }
        | Decision::Draining { .. } => None,
    }
}

/// Writes one decision's line. `request_id` is the id of the request that it is about, where the
/// driver still knows it.
pub fn log(config: &Config, request_id: Option<&str>, decision: &Decision) {
    match decision {
        Decision::Placed {
            call,
            attempt,
            workspace: w,
            placed,
            load,
            view_age,
        } => event!(
            info,
            Placed,
            request_id,
            call = call.0,
            attempt = attempt.0,
            workspace = workspace(config, *w),
            endpoint = endpoint(config, placed.endpoint),
            runner_up = placed.runner_up.map(|key| endpoint(config, key)),
            reason = %placed.reason,
            import_from = placed.import_from.map(|key| endpoint(config, key)),
            load,
            limit = placed.limit,
            view_age_ms = view_age.0,
            revision = config.revision.0
        ),
        Decision::Refused {
            call,
            workspace: w,
            refusal,
            view_age,
        } => event!(
            info,
            Refused,
            request_id,
            call = call.0,
            workspace = workspace(config, *w),
            reason = %refusal.code,
            outcome = %refusal.outcome,
            retry_after_ms = refusal.retry_after.map(|m| m.0),
            view_age_ms = view_age.0,
            revision = config.revision.0
        ),
        Decision::Forwarded { call, router: r } => event!(
            info,
            Forwarded,
            request_id,
            call = call.0,
            home = router(config, *r)
        ),
        Decision::Replayed { call } => event!(info, Replayed, request_id, call = call.0),
        Decision::AttemptFailed {
            call,
            attempt,
            endpoint: e,
            retried,
        } => event!(
            warn,
            AttemptFailed,
            request_id,
            call = call.0,
            attempt = attempt.0,
            endpoint = endpoint(config, *e),
            retried
        ),
        Decision::Done {
            call,
            outcome,
            attempts,
        } => event!(
            info,
            Done,
            request_id,
            call = call.0,
            outcome = %outcome,
            attempts
        ),
        Decision::Member { endpoint: e, state } => event!(
            info,
            Member,
            endpoint = endpoint(config, *e),
            state = %state
        ),
        Decision::Ordered { endpoint: e, order } => {
            let (model, version) = order.change.weights();
            event!(
                info,
                Ordered,
                endpoint = endpoint(config, *e),
                change = %order.change,
                model = model.as_str(),
                version = version.as_str(),
                fence = order.fence,
                revision = order.revision.0
            );
        }
        Decision::OrderHeld { endpoint: e, hold } => event!(
            info,
            OrderHeld,
            endpoint = endpoint(config, *e),
            reason = %hold
        ),
        Decision::OrderEnded { endpoint: e, reply } => {
            let held_fence = match reply {
                OrderOutcome::Fenced(fence) => Some(*fence),
                _ => None,
            };
            event!(
                info,
                OrderEnded,
                endpoint = endpoint(config, *e),
                reply = %reply,
                held_fence
            );
        }
        Decision::Applied { revision } => event!(info, Applied, revision = revision.0),
        Decision::Rejected { revision, errors } => {
            event!(error, Rejected, revision = revision.0, errors)
        }
        Decision::Lease { epoch, held } => event!(info, Lease, epoch = epoch.0, held),
        Decision::Draining { open } => event!(info, Draining, open),
    }
}

/// Writes that an engine did not import a prefix from another.
pub fn not_imported(from: &Id, to: &Id, error: &dyn Display) {
    event!(debug, NotImported, from = from.as_str(), to = to.as_str(), error = %error);
}

/// Writes that a filter refused a request. The caller's own words are not in the line: they may
/// hold its key or its text.
pub fn denied(request_id: &str, status: u16, code: &str) {
    event!(info, Denied, request_id, status, code);
}

/// Writes that the configuration service could not be read.
pub fn unread(error: &dyn Display) {
    event!(warn, Unread, error = %error);
}

/// Writes that the list of VMs could not be read.
pub fn vms_unread(error: &dyn Display) {
    event!(warn, VmsUnread, error = %error);
}

/// Writes that a peer's message was refused.
pub fn peer_rejected(from: Tag, error: &toucanturn_wire::Error) {
    event!(warn, PeerRejected, from = from.0, error = %error);
}

/// Writes that a call could not be brought to its home or back; `sent` says whether bytes of it may
/// have left.
pub fn not_forwarded(request_id: &str, call: Call, sent: bool, error: &dyn Display) {
    event!(debug, NotForwarded, request_id, call = call.0, sent, error = %error);
}

/// Writes that messages could not be brought to a peer.
pub fn peer_unreached(peer: Tag, address: SocketAddr, error: &dyn Display) {
    event!(debug, PeerUnreached, peer = peer.0, address = %address, error = %error);
}

/// Writes that the port for other routers is closed.
pub fn peer_port_closed(error: &dyn Display) {
    event!(error, PeerPortClosed, error = %error);
}

/// Writes that a drain ended while calls were in progress.
pub fn cut(calls: usize) {
    event!(error, Cut, cut = calls);
}

fn name(id: Option<&Id>) -> &str {
    id.map_or("", Id::as_str)
}

fn endpoint(config: &Config, key: EndpointKey) -> &str {
    name(config.endpoints.get(key).map(|e| &e.id))
}

fn workspace(config: &Config, key: WorkspaceKey) -> &str {
    name(config.workspaces.get(key).map(|w| &w.id))
}

fn router(config: &Config, key: RouterKey) -> &str {
    name(config.fleet.get(key).map(|r| &r.id))
}
