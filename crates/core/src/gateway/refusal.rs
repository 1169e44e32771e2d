//! Why a caller gets no answer of an endpoint, and what it is told.

use crate::units::Millis;

/// `Cause` is why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// No configuration is in force yet.
    NotReady,
    /// What is known of keys and routes is too old to act on.
    Stale,
    /// Nothing confirms that an endpoint that could take it isn't leaving.
    Unconfirmed,
    /// The request is not well formed.
    Malformed,
    /// The request is larger than callers may send.
    TooLarge,
    /// The caller took too long to send it.
    TooSlow,
    /// No route matches.
    UnknownRoute,
    /// No workspace holds the key.
    UnknownKey,
    /// No endpoint can take it.
    NoEndpoint,
    /// Endpoints took it and failed.
    EndpointFailed,
    /// Time ran out.
    Deadline,
    /// This router stops before the request could be done.
    Stopping,
    /// The service has more work than it can do in time.
    Overloaded,
    /// Endpoints that ran the same request before have ended with it.
    Quarantined,
    /// All endpoints that could take it are cold, and have as many requests as they tolerate.
    WarmingUp,
}

/// `Refusal` is the final answer to a request that is given up; it goes out at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// Whether it may have run. If not, that is a promise, and the caller is told when to come
    /// back.
    pub may_have_run: bool,
    /// Whether coming back could help.
    pub again: bool,
    /// Time before which coming back can't help, where it is known.
    pub after: Option<Millis>,
}

impl Refusal {
    /// Refuses what was not run and may be served later.
    pub const fn later(cause: Cause) -> Self {
        Self {
            cause,
            may_have_run: false,
            again: true,
            after: None,
        }
    }

    /// Refuses what would be refused again.
    pub const fn never(cause: Cause) -> Self {
        Self {
            cause,
            may_have_run: false,
            again: false,
            after: None,
        }
    }

    /// Gives up a request after its attempts.
    pub const fn given_up(cause: Cause, may_have_run: bool) -> Self {
        Self {
            cause,
            may_have_run,
            again: !may_have_run,
            after: None,
        }
    }

    /// Holds a request back for a time.
    pub const fn held(left: Millis, may_have_run: bool) -> Self {
        Self::until(Cause::Quarantined, left, may_have_run)
    }

    /// Gives up a request that may be served after a time.
    pub const fn until(cause: Cause, left: Millis, may_have_run: bool) -> Self {
        Self {
            after: Some(left),
            ..Self::given_up(cause, may_have_run)
        }
    }
}
