//! The decision log: numbered events, one line each. docs/EVENTS.md is the catalogue.
//!
//! No message text, key or token is ever logged: ids, names and figures only.

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
};

/// `Number` is an event's number in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
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
    /// An endpoint's state changed.
    Member = 201,
    /// A configuration was put in force.
    Applied = 302,
    /// A configuration was refused.
    Rejected = 303,
    /// A home's lease began or ended.
    Lease = 401,
    /// A peer's message was refused.
    PeerRejected = 402,
    /// The drain began.
    Draining = 501,
    /// The process ended.
    Ended = 502,
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

macro_rules! event {
    ($level:ident, $number:ident, $($field:tt)*) => {{
        let label: &'static str = Number::$number.into();
        tracing::$level!(target: "toucanturn::decision", event = Number::$number as u16, label, $($field)*)
    }};
}

/// Writes the line of the process's end.
pub fn ended(cut: usize) {
    event!(info, Ended, cut);
}

/// Writes the line of a peer's message that was refused.
pub fn peer_rejected(from: Tag, error: &toucanturn_wire::Error) {
    event!(warn, PeerRejected, from = from.0, error = %error);
}

/// Writes one decision's line.
pub fn log(config: &Config, decision: &Decision) {
    match decision {
        Decision::Placed {
            call,
            attempt,
            workspace: w,
            placed,
            load,
            view_age,
        } => {
            let runner_up = placed.runner_up.map_or("", |key| endpoint(config, key));
            event!(info, Placed, call = call.0, attempt = attempt.0, workspace = workspace(config, *w),
                endpoint = endpoint(config, placed.endpoint), runner_up, reason = %placed.reason,
                load, view_age_ms = view_age.0);
        }
        Decision::Refused {
            call,
            workspace: w,
            refusal,
            view_age,
        } => {
            event!(info, Refused, call = call.0, workspace = workspace(config, *w),
                reason = %refusal.code, outcome = %refusal.outcome,
                retry_after_ms = refusal.retry_after.map(|m| m.0), view_age_ms = view_age.0);
        }
        Decision::Forwarded { call, router: r } => {
            event!(info, Forwarded, call = call.0, home = router(config, *r));
        }
        Decision::Replayed { call } => event!(info, Replayed, call = call.0),
        Decision::AttemptFailed {
            call,
            attempt,
            endpoint: e,
            retried,
        } => {
            event!(
                warn,
                AttemptFailed,
                call = call.0,
                attempt = attempt.0,
                endpoint = endpoint(config, *e),
                retried
            );
        }
        Decision::Done {
            call,
            outcome,
            attempts,
        } => {
            event!(info, Done, call = call.0, outcome = %outcome, attempts);
        }
        Decision::Member { endpoint: e, state } => {
            event!(info, Member, endpoint = endpoint(config, *e), state = %state);
        }
        Decision::Applied { revision } => event!(info, Applied, revision = revision.0),
        Decision::Rejected { revision, errors } => {
            event!(error, Rejected, revision = revision.0, errors);
        }
        Decision::Lease { epoch, held } => event!(info, Lease, epoch = epoch.0, held),
        Decision::Draining { open } => event!(info, Draining, open),
    }
}
