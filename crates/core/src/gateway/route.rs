//! Routes: which service a request goes to, and what may be done with it.

use bytes::Bytes;

use crate::units::Millis;

/// `Kind` says what may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Idempotent: it may run more than once.
    Repeatable,
    /// It runs at most once for each attempt of the caller.
    Once,
    /// A stream of events.
    Stream {
        /// Whether another endpoint may go on after the last event.
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

/// `Share` is a service's part of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Name of the service.
    pub service: Bytes,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// `Route` is one published route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Bytes,
    /// Host, in lower case.
    pub host: Bytes,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: Bytes,
    /// What may be repeated.
    pub kind: Kind,
    /// Services that it goes to.
    pub shares: Vec<Share>,
    /// Longest time until the final answer.
    pub limit: Millis,
    /// Time within which an answer is on time.
    pub goal: Millis,
    /// Longest pause between events that is still on time; zero where none is published.
    pub pause: Millis,
    /// Most endpoints that one request is sent to.
    pub attempts: u32,
    /// Rank under overload; 0 goes first.
    pub priority: u8,
    /// Whether it needs no key.
    pub anonymous: bool,
}

impl Route {
    /// Gets the service for a random `draw`, by the weights of the shares.
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
