//! Actions that a node requests of its driver, and the lines of its decision log.

use crate::{
    arena::{
        EndpointKey,
        RouterKey,
        WorkspaceKey, //
    },
    orders::{
        Change,
        HoldReason,
        Order,
        OrderNumber,
        OrderOutcome, //
    },
    peer,
    request::{
        Answer,
        Attempt,
        Call,
        Outcome,
        Placed,
        Prefix,
        Refusal,
        Token, //
    },
    units::{
        Millis,
        Revision,
        Time, //
    },
};

/// `Action` is an action for the driver to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the call to an endpoint.
    Dispatch {
        /// The call.
        call: Call,
        /// The attempt.
        attempt: Attempt,
        /// The endpoint.
        endpoint: EndpointKey,
        /// Time by which the answer must be complete.
        deadline: Time,
        /// Time without progress after which the attempt counts as broken.
        idle: Millis,
        /// Placement token for the caller, sent with the answer.
        token: Option<Token>,
        /// For a call that runs at most once, the end of the home's lease. The driver reads the
        /// clock right before it writes the first byte. From this time on, it writes nothing and
        /// reports [`End::NotSent`](crate::request::End::NotSent): a process that was paused must
        /// not send a call for whose key another router may be the home by now.
        not_after: Option<Time>,
    },
    /// Have an engine import a prefix's KV cache from another engine. It is an optimization only:
    /// where it fails, the engine computes the prompt again.
    Import {
        /// The call that waits for the import, whose dispatch follows; `None` for a chat that is
        /// moved before it returns.
        call: Option<Call>,
        /// The prefix.
        prefix: Prefix,
        /// Engine that holds the prefix.
        from: EndpointKey,
        /// Engine that imports it.
        to: EndpointKey,
    },
    /// Send the call to its home router.
    Forward {
        /// The call.
        call: Call,
        /// The home.
        router: RouterKey,
        /// Time by which the answer must be back.
        deadline: Time,
    },
    /// End the call with a refusal.
    Refuse {
        /// The call.
        call: Call,
        /// The refusal.
        refusal: Refusal,
    },
    /// End the call with the stored answer to an earlier call of the same key.
    Replay {
        /// The call.
        call: Call,
        /// The stored answer.
        answer: Answer,
    },
    /// End the call with the endpoint's answer, which the driver holds.
    Finish {
        /// The call.
        call: Call,
        /// Outcome to report to the caller.
        outcome: Outcome,
    },
    /// Cancel an attempt at its endpoint, as its answer is no longer needed.
    Cancel {
        /// The call.
        call: Call,
        /// The attempt.
        attempt: Attempt,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        router: RouterKey,
        /// The message.
        message: peer::Message,
    },
    /// Poll an endpoint's load report.
    Poll {
        /// The endpoint.
        endpoint: EndpointKey,
    },
    /// Probe an endpoint on a new connection.
    Probe {
        /// The endpoint.
        endpoint: EndpointKey,
    },
    /// Read the configuration changes after a revision, and wait for further ones.
    Watch {
        /// Revision that the node holds.
        since: Revision,
    },
    /// Read the platform's list of VMs.
    ReadVms,
    /// Ask the weight store for a token that permits a load.
    AskWeights {
        /// The engine that is to load.
        endpoint: EndpointKey,
        /// Number of the question.
        number: OrderNumber,
        /// The change for which the engine loads weights.
        change: Change,
    },
    /// Send an order to an engine. Right before the first byte, the driver checks that the time is
    /// before `not_after` and that the order's revision is still in force. Otherwise it writes
    /// nothing and reports [`OrderOutcome::NotSent`].
    Order {
        /// The engine.
        endpoint: EndpointKey,
        /// The order.
        order: Order,
    },
    /// Apply a new configuration, which is now in force.
    Apply {
        /// Revision of the configuration.
        revision: Revision,
    },
    /// The drain is complete; the process may exit.
    Exit {
        /// Number of calls that were aborted.
        cut: usize,
    },
    /// Write a line to the decision log.
    Log(Decision),
}

/// `Decision` is one line of the decision log. docs/EVENTS.md describes the events.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A request was placed.
    Placed {
        /// The call.
        call: Call,
        /// The attempt.
        attempt: Attempt,
        /// Workspace of the call.
        workspace: WorkspaceKey,
        /// The chosen endpoint, and why it was chosen.
        placed: Placed,
        /// Requests in progress there, as estimated.
        load: u32,
        /// Age of the view.
        view_age: Millis,
    },
    /// A request was refused.
    Refused {
        /// The call.
        call: Call,
        /// Workspace of the call.
        workspace: WorkspaceKey,
        /// The refusal.
        refusal: Refusal,
        /// Age of the view.
        view_age: Millis,
    },
    /// A call that runs at most once was forwarded to its home.
    Forwarded {
        /// The call.
        call: Call,
        /// The home.
        router: RouterKey,
    },
    /// A call with a repeated key was answered with the stored answer.
    Replayed {
        /// The call.
        call: Call,
    },
    /// An attempt failed.
    AttemptFailed {
        /// The call.
        call: Call,
        /// The attempt.
        attempt: Attempt,
        /// The endpoint.
        endpoint: EndpointKey,
        /// Whether another attempt follows.
        retried: bool,
    },
    /// A call ended with an answer.
    Done {
        /// The call.
        call: Call,
        /// Outcome reported to the caller.
        outcome: Outcome,
        /// Number of attempts.
        attempts: u32,
    },
    /// An endpoint's state changed in this router's view.
    Member {
        /// The endpoint.
        endpoint: EndpointKey,
        /// The new state.
        state: crate::membership::State,
    },
    /// An order is sent to an engine.
    Ordered {
        /// The engine.
        endpoint: EndpointKey,
        /// The order.
        order: Order,
    },
    /// An engine needs an order, but none is sent now.
    OrderHeld {
        /// The engine.
        endpoint: EndpointKey,
        /// Why none is sent.
        hold: HoldReason,
    },
    /// An order was answered, or will not be answered any more.
    OrderEnded {
        /// The engine.
        endpoint: EndpointKey,
        /// The engine's reply, or why there is none.
        reply: OrderOutcome,
    },
    /// A configuration was put in force.
    Applied {
        /// Revision of the configuration.
        revision: Revision,
    },
    /// A configuration was rejected; the old one stays in force.
    Rejected {
        /// Revision of the configuration.
        revision: Revision,
        /// Errors, one on each line: JSON path, value and what was expected.
        errors: String,
    },
    /// This router's lease as a home began or ended.
    Lease {
        /// Fleet epoch of the lease.
        epoch: Revision,
        /// Whether this router holds the lease now.
        held: bool,
    },
    /// The drain began.
    Draining {
        /// Number of calls in progress.
        open: usize,
    },
}
