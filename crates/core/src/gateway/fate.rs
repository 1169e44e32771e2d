//! What is known of an attempt once it has ended. Retries, refusals and statuses follow from it
//! alone.

use crate::gateway::{
    refusal::Cause,
    route::Kind, //
};

/// `Fate` is what became of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Fate {
    /// No byte of it left this router.
    NotSent,
    /// The endpoint said that it did not run it and will not.
    Rejected,
    /// The endpoint said that it is another one than the request was meant for; it did not run.
    Misdirected,
    /// The endpoint answered with an error of its own after it ran.
    Failed,
    /// Bytes may have reached the endpoint and no whole answer of its own came back.
    Broken,
    /// The endpoint gave no sign of life for so long that it was given up; it may have run.
    Stalled,
    /// The whole answer came.
    Answered,
    /// The caller left before the answer was whole.
    Left,
}

impl Fate {
    /// Tells whether the endpoint may have run the attempt.
    pub const fn may_have_run(self) -> bool {
        !matches!(self, Fate::NotSent | Fate::Rejected | Fate::Misdirected)
    }

    /// Tells whether another attempt of a request of `kind` may follow.
    pub const fn repeatable(self, kind: Kind) -> bool {
        match self {
            Fate::NotSent | Fate::Rejected | Fate::Misdirected => true,
            Fate::Failed | Fate::Broken | Fate::Stalled => kind.repeatable(),
            Fate::Answered | Fate::Left => false,
        }
    }

    /// Gets what a caller is told when no attempt follows this end.
    pub const fn cause(self) -> Cause {
        match self {
            Fate::Stalled => Cause::Deadline,
            Fate::NotSent | Fate::Rejected | Fate::Misdirected => Cause::NoEndpoint,
            _ => Cause::EndpointFailed,
        }
    }
}

/// `Next` is what follows an attempt's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Next {
    /// The caller has its answer.
    Deliver,
    /// Another attempt is made.
    Again,
    /// The caller is told that it failed.
    GiveUp,
}
