//! The filter chain of callers' requests: accept, authenticate, deadline, priority,
//! classify, serve.
//!
//! Each filter fills its part of the [`Draft`] or ends the chain with a clear error; what a filter
//! ends was not run.

use std::sync::Arc;

use bytes::Bytes;
use salvo::{
    Depot,
    FlowCtrl,
    Response,
    Router, //
};
use toucanturn_core::{
    arena::WorkspaceKey,
    config::{
        Priority,
        Workspace, //
    },
    request::{
        Outcome,
        Work, //
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::{
    answers,
    driver::Driver,
    events,
    exchange::Shape,
    metrics::Name, //
};

mod accept;
mod authenticate;
mod body;
mod classify;
mod deadline;
mod json;
mod priority;
mod serve;

/// `Draft` is a request on its way through the chain.
#[derive(Clone, Debug, Default)]
struct Draft {
    /// Its id, the caller's or a new one.
    id: String,
    /// Whether it carries an idempotency key: an earlier request with it may have run.
    keyed: bool,
    /// When it came.
    arrived: Time,
    /// The workspace that its bearer key belongs to.
    workspace: Option<(WorkspaceKey, Arc<Workspace>)>,
    /// What it asks for.
    work: Option<Work>,
    /// How its answer goes back.
    shape: Option<Shape>,
    /// Its body.
    body: Bytes,
    /// When its answer must be whole.
    deadline: Time,
    /// Its priority, at most its workspace's.
    priority: Priority,
}

/// Makes the chain.
pub(crate) fn chain(driver: &Arc<Driver>) -> Router {
    Router::with_path("{**rest}")
        .hoop(accept::Accept(Arc::clone(driver)))
        .hoop(authenticate::Authenticate(Arc::clone(driver)))
        .hoop(deadline::Deadline(Arc::clone(driver)))
        .hoop(priority::Priorities(Arc::clone(driver)))
        .hoop(classify::Classify(Arc::clone(driver)))
        .goal(serve::Serve(Arc::clone(driver)))
}

/// `Denial` is why a filter ends the chain.
#[derive(Clone, Debug)]
pub(crate) struct Denial {
    /// HTTP status.
    pub(crate) status: u16,
    /// Stable code.
    pub(crate) code: &'static str,
    /// What was found and what was expected.
    pub(crate) message: String,
    /// When to come back.
    pub(crate) retry_after: Option<Millis>,
    /// The method that the path takes, where another was found.
    pub(crate) allow: Option<&'static str>,
}

impl Denial {
    fn new(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            retry_after: None,
            allow: None,
        }
    }
}

/// Ends the chain with an error. The decisions never hear of the request, so it is counted and
/// logged here.
fn deny(driver: &Driver, depot: &Depot, res: &mut Response, ctrl: &mut FlowCtrl, denial: Denial) {
    let draft = depot.get_typed::<Draft>().ok();
    let id = draft.map(|d| d.id.clone()).unwrap_or_default();
    // This request was not run, but a caller asks about its key: a repeat of a payment that ran
    // must not read "not run", or it would be made anew under another key.
    let (outcome, count) = match draft.is_some_and(|d| d.keyed) {
        true => (Outcome::Unknown, Name::Unknown),
        false => (Outcome::NotRun, Name::NotRun),
    };
    driver.metrics.count(Name::Refusals, 1);
    driver.metrics.count(count, 1);
    events::denied(&id, denial.status, denial.code);
    answers::reject(res, &id, outcome, &denial);
    ctrl.skip_rest();
}
