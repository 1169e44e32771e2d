//! Routes: which services a request may go to, and whether it may be retried.

use bytes::Bytes;

use crate::units::Millis;

/// `Kind` says whether requests of a route may be retried, and whether they are answered by
/// streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Idempotent requests: one may run more than once.
    Repeatable,
    /// Non-idempotent requests: one runs at most once for each time that the caller sends it.
    Once,
    /// Requests that are answered by a stream of events.
    Stream {
        /// Whether another endpoint can resume a stream after the last event.
        resumable: bool,
    },
}

impl Kind {
    /// Tells whether a request that may have run may be sent again.
    pub const fn repeatable(self) -> bool {
        matches!(self, Kind::Repeatable | Kind::Stream { resumable: true })
    }

    /// Tells whether answers are streams of events.
    pub const fn streams(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// `Share` is one service of a route, with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Name of the service.
    pub service: Bytes,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// `Route` is one published route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: Bytes,
    /// Host that it matches, in lower case.
    pub host: Bytes,
    /// Path prefix that it matches; begins and ends with a slash.
    pub prefix: Bytes,
    /// Whether requests may be retried.
    pub kind: Kind,
    /// Services that requests go to, with their weights.
    pub shares: Vec<Share>,
    /// Longest time until the final answer.
    pub limit: Millis,
    /// Time within which an answer is on time.
    pub goal: Millis,
    /// Longest on-time pause between the events of a stream; zero if none is published.
    pub pause: Millis,
    /// Most endpoints that one request is sent to.
    pub attempts: u32,
    /// Priority under overload; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no API key.
    pub anonymous: bool,
}

impl Route {
    /// Picks a service at random by `draw`, in proportion to the weights.
    pub fn service(&self, draw: u64) -> Option<Bytes> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(share.service.clone());
            }
            left -= weight;
        }
        None
    }
}
