//! Why a request is refused, and what its caller is told.

use crate::{
    gateway::quarantine::MIN_RETRY_AFTER,
    units::Millis, //
};

/// `Cause` is the reason of a refusal.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// No configuration has been read yet.
    NotReady,
    /// The configuration is too old to act on: its keys and routes may have changed.
    Stale,
    /// No endpoint that could serve the request is confirmed recently enough not to be leaving.
    Unconfirmed,
    /// The request is malformed.
    Malformed,
    /// The request is larger than the configured limits.
    TooLarge,
    /// No memory is left for the request's body.
    NoMemory,
    /// The caller took too long to send the request.
    TooSlow,
    /// No route matches.
    UnknownRoute,
    /// No workspace holds the key.
    UnknownKey,
    /// The route or the key is published, or may be, but this version can't use it.
    UnusableConfiguration,
    /// No endpoint can serve the request.
    NoEndpoint,
    /// Endpoints got the request and failed.
    EndpointFailed,
    /// The deadline passed.
    Deadline,
    /// This router shuts down before the request could be completed.
    Stopping,
    /// The service has more work than it can complete in time.
    Overloaded,
    /// Earlier runs of the same request crashed endpoints.
    Quarantined,
    /// A part of the prompt crashed the endpoints that ran requests with it.
    PartQuarantined,
    /// All endpoints that could serve the request are cold and at their warm-up limit.
    WarmingUp,
    /// All endpoints that could serve the request have asked for a time without requests.
    BackingOff,
    /// This router reaches no endpoint of the service.
    Unreached,
    /// No endpoint of the software version that began the stream is left.
    VersionGone,
    /// Several software versions serve, and which one began the stream is not known.
    VersionUnknown,
    /// The request was sent to an endpoint whose entry has this router's address.
    Misdirected,
}

/// `Refusal` is the final answer to a request that is not served; it is sent immediately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub cause: Cause,
    /// Whether an endpoint may have run the request. `false` is a guarantee, and the caller is then
    /// told when to retry.
    pub may_have_run: bool,
    /// Whether a retry could succeed.
    pub retryable: bool,
    /// Time before which a retry can't succeed, if known.
    pub retry_after: Option<Millis>,
    /// Whether only this router's share is used up, so that a peer may serve the request.
    pub peers_have_room: bool,
}

impl Refusal {
    /// Refuses a request that was not run; a retry may succeed.
    pub const fn temporary(cause: Cause) -> Self {
        Self {
            cause,
            may_have_run: false,
            retryable: true,
            retry_after: None,
            peers_have_room: false,
        }
    }

    /// Refuses a request that was not run; a retry would be refused as well.
    pub const fn permanent(cause: Cause) -> Self {
        Self {
            cause,
            may_have_run: false,
            retryable: false,
            retry_after: None,
            peers_have_room: false,
        }
    }

    /// Gives up an admitted request; a retry may succeed if it was not run.
    pub const fn given_up(cause: Cause, may_have_run: bool) -> Self {
        Self {
            cause,
            may_have_run,
            retryable: !may_have_run,
            retry_after: None,
            peers_have_room: false,
        }
    }

    /// Refuses a request that the quarantine holds back for the time `left`; its caller is told
    /// [`MIN_RETRY_AFTER`] at least.
    pub fn quarantined(left: Millis, may_have_run: bool) -> Self {
        Self::with_retry_after(Cause::Quarantined, left.max(MIN_RETRY_AFTER), may_have_run)
    }

    /// Refuses a request with a prompt part that the quarantine holds back, alike.
    pub fn part_quarantined(left: Millis, may_have_run: bool) -> Self {
        Self::with_retry_after(
            Cause::PartQuarantined,
            left.max(MIN_RETRY_AFTER),
            may_have_run,
        )
    }

    /// Gives up a request that may be served after the time `left`.
    pub const fn with_retry_after(cause: Cause, left: Millis, may_have_run: bool) -> Self {
        Self {
            retry_after: Some(left),
            ..Self::given_up(cause, may_have_run)
        }
    }
}
