//! Outcomes of attempts. Retries, refusals and status codes depend on nothing else about an
//! attempt.

use crate::gateway::{
    refusal::Cause,
    route::Kind, //
};

/// `AttemptOutcome` is the outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptOutcome {
    /// No byte of the request left this router.
    NotSent,
    /// The endpoint rejected the request: it did not run it and will not.
    Rejected,
    /// The endpoint answered that it is not the one that the request was meant for; it did not run
    /// it.
    Misdirected,
    /// The endpoint ran the request and answered with an error of its own.
    Failed,
    /// Bytes may have reached the endpoint, and no complete answer of its own came back.
    Broken,
    /// The endpoint sent nothing until the silence time-out; it may have run the request.
    Stalled,
    /// The complete answer arrived.
    Answered,
    /// The caller left before the answer was complete.
    Left,
}

impl AttemptOutcome {
    /// Tells whether the endpoint may have run the request.
    pub const fn may_have_run(self) -> bool {
        !matches!(
            self,
            AttemptOutcome::NotSent | AttemptOutcome::Rejected | AttemptOutcome::Misdirected
        )
    }

    /// Tells whether the connection has ended, which may be the end of the endpoint's process.
    pub const fn breaks_connection(self) -> bool {
        matches!(
            self,
            AttemptOutcome::NotSent | AttemptOutcome::Broken | AttemptOutcome::Stalled
        )
    }

    /// Tells whether another attempt may follow for a request of this kind.
    pub const fn repeatable(self, kind: Kind) -> bool {
        match self {
            AttemptOutcome::NotSent | AttemptOutcome::Rejected | AttemptOutcome::Misdirected => {
                true
            }
            AttemptOutcome::Failed | AttemptOutcome::Broken | AttemptOutcome::Stalled => {
                kind.repeatable()
            }
            AttemptOutcome::Answered | AttemptOutcome::Left => false,
        }
    }

    /// Gets the cause that the caller is told if no other attempt follows.
    pub const fn cause(self) -> Cause {
        match self {
            AttemptOutcome::Stalled => Cause::Deadline,
            AttemptOutcome::NotSent | AttemptOutcome::Rejected | AttemptOutcome::Misdirected => {
                Cause::NoEndpoint
            }
            _ => Cause::EndpointFailed,
        }
    }
}

/// `NextStep` is what follows the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum NextStep {
    /// The answer is delivered to the caller.
    Deliver,
    /// Another attempt is made.
    Again,
    /// The request is given up, and the caller gets a refusal.
    GiveUp,
}
