//! What a node wants done.

use crate::{
    arena::{
        EndpointKey,
        RouterKey,
        WorkspaceKey, //
    },
    orders::{
        Change,
        Hold,
        Number,
        Order,
        Reply, //
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

/// `Action` is one thing for the driver to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the call to an endpoint.
    Dispatch {
        /// The call.
        call: Call,
        /// The attempt.
        attempt: Attempt,
        /// Where.
        endpoint: EndpointKey,
        /// When the answer must be whole.
        deadline: Time,
        /// Time without progress after which the attempt is broken.
        idle: Millis,
        /// Placement token to hand to the caller with the answer.
        token: Option<Token>,
        /// For a call that runs at most once: the end of the home's lease. The driver reads the
        /// clock right before it writes the first byte and, from this time on, writes nothing and
        /// reports [`End::NotSent`](crate::request::End::NotSent): a process that was paused must
        /// not send what another home may meanwhile answer for.
        not_after: Option<Time>,
    },
    /// Have an engine import a prefix's KV cache from another engine. It is advice: where it fails,
    /// the prompt is computed again.
    Import {
        /// The call that waits for it, whose dispatch follows; `None` for a chat that is to move
        /// before it returns.
        call: Option<Call>,
        /// The prefix.
        prefix: Prefix,
        /// Engine that holds it.
        from: EndpointKey,
        /// Engine that is to hold it.
        to: EndpointKey,
    },
    /// Send the call to its home router.
    Forward {
        /// The call.
        call: Call,
        /// The home.
        router: RouterKey,
        /// When the answer must be back.
        deadline: Time,
    },
    /// Give the final answer: a refusal.
    Refuse {
        /// The call.
        call: Call,
        /// Why.
        refusal: Refusal,
    },
    /// Give the final answer: an earlier one of the same key.
    Replay {
        /// The call.
        call: Call,
        /// The first answer.
        answer: Answer,
    },
    /// Give the final answer: the one that the endpoint gave and the driver holds.
    Finish {
        /// The call.
        call: Call,
        /// What to tell the caller.
        outcome: Outcome,
    },
    /// End an attempt at its endpoint; its answer is no longer wanted.
    Cancel {
        /// The call.
        call: Call,
        /// The attempt.
        attempt: Attempt,
    },
    /// Send a message to a peer.
    Send {
        /// To whom.
        router: RouterKey,
        /// What.
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
    /// Read the configuration service from a revision on, and wait there.
    Watch {
        /// The revision held.
        since: Revision,
    },
    /// Read the platform's list of VMs.
    ReadVms,
    /// Ask the weight store for the token of a load.
    AskWeights {
        /// The engine that is to load.
        endpoint: EndpointKey,
        /// Number of the question.
        number: Number,
        /// What is to be loaded.
        change: Change,
    },
    /// Give an engine an order. Right before the first byte the driver looks whether the time is
    /// before `not_after` and the order's revision still in force; otherwise it writes nothing and
    /// reports [`Reply::NotSent`].
    Order {
        /// The engine.
        endpoint: EndpointKey,
        /// The order.
        order: Order,
    },
    /// A new configuration is in force.
    Apply {
        /// Its revision.
        revision: Revision,
    },
    /// The drain is over; the process may end.
    Exit {
        /// Calls that were cut off.
        cut: usize,
    },
    /// Write a line to the decision log.
    Log(Decision),
}

/// `Decision` is one line of the decision log. docs/EVENTS.md is the catalogue.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A request was placed.
    Placed {
        /// The call.
        call: Call,
        /// The attempt.
        attempt: Attempt,
        /// Its workspace.
        workspace: WorkspaceKey,
        /// Where and why.
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
        /// Its workspace.
        workspace: WorkspaceKey,
        /// Why.
        refusal: Refusal,
        /// Age of the view.
        view_age: Millis,
    },
    /// A call that runs once was sent to its home.
    Forwarded {
        /// The call.
        call: Call,
        /// The home.
        router: RouterKey,
    },
    /// A repeated key got its first answer.
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
        /// Where.
        endpoint: EndpointKey,
        /// Whether another attempt follows.
        retried: bool,
    },
    /// A call ended with an answer.
    Done {
        /// The call.
        call: Call,
        /// Outcome told.
        outcome: Outcome,
        /// Attempts made.
        attempts: u32,
    },
    /// An endpoint's state changed in this router's view.
    Member {
        /// The endpoint.
        endpoint: EndpointKey,
        /// The new state.
        state: crate::membership::State,
    },
    /// An engine is given an order.
    Ordered {
        /// The engine.
        endpoint: EndpointKey,
        /// The order.
        order: Order,
    },
    /// An engine needs an order and gets none now.
    OrderHeld {
        /// The engine.
        endpoint: EndpointKey,
        /// Why.
        hold: Hold,
    },
    /// An order was answered, or will not be.
    OrderEnded {
        /// The engine.
        endpoint: EndpointKey,
        /// What came of it.
        reply: Reply,
    },
    /// A configuration was put in force.
    Applied {
        /// Its revision.
        revision: Revision,
    },
    /// A configuration was refused; the old one stays in force.
    Rejected {
        /// Its revision.
        revision: Revision,
        /// Errors found, one a line: JSON path, value and what was expected.
        errors: String,
    },
    /// A home's lease began or ended.
    Lease {
        /// Fleet epoch.
        epoch: Revision,
        /// Whether it is held now.
        held: bool,
    },
    /// The drain began.
    Draining {
        /// Calls in progress.
        open: usize,
    },
}
