//! Fleet-wide limits of workspaces, though each router sees a sliver of the traffic.
//!
//! Each workspace has a home router (rendezvous over the fleet) that holds its one token bucket
//! ([`Bucket`]); the others ask it for grants ([`peer::Message::Ask`]) in batches sized by their
//! own recent demand, and admit from what they were granted ([`Share`]).
//!
//! [`peer::Message::Ask`]: crate::peer::Message::Ask

use slotmap::SecondaryMap;

use crate::{
    arena::{
        RouterKey,
        WorkspaceKey, //
    },
    config::{
        Config,
        Priority, //
    },
    request::Call,
    units::{
        Millis,
        Time, //
    },
};

/// `Ask` is one request that asks to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// This router, `None` while it is not in the fleet list.
    pub me: Option<RouterKey>,
    /// The call.
    pub call: Call,
    /// The workspace it is charged to.
    pub workspace: WorkspaceKey,
    /// Its priority.
    pub priority: Priority,
}

/// `Verdict` is what admission says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Admitted.
    Admit,
    /// It waits for the home's grant; [`Limits::granted`] or [`Limits::tick`] says more.
    Wait,
    /// Over the limit; come back later.
    Refuse {
        /// When to come back.
        retry_after: Millis,
    },
}

/// `Outgo` is what the limits want sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outgo {
    /// Ask a workspace's home.
    Ask {
        /// The home.
        home: RouterKey,
        /// The workspace.
        workspace: WorkspaceKey,
        /// Requests wanted.
        want: u32,
        /// Number of the question.
        nonce: u64,
    },
    /// A waiting call was decided.
    Decided {
        /// The call.
        call: Call,
        /// [`Verdict::Admit`] or [`Verdict::Refuse`].
        verdict: Verdict,
    },
}

/// `Question` is what a peer asks of this router as a workspace's home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Question {
    /// This router, `None` while it is not in the fleet list.
    pub me: Option<RouterKey>,
    /// The peer.
    pub from: RouterKey,
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Requests wanted.
    pub want: u32,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    milli: u64,
    filled: Time,
}

/// `Limits` holds this router's buckets as a home and its shares as an entry.
#[derive(Debug, Default)]
pub struct Limits {
    buckets: SecondaryMap<WorkspaceKey, Bucket>,
}

impl Limits {
    /// Follows a new configuration.
    pub fn apply(&mut self, _now: Time, config: &Config) {
        self.buckets
            .retain(|key, _| config.workspaces.get(key).is_some());
    }

    /// Asks to admit one request.
    pub fn admit(&mut self, now: Time, config: &Config, ask: Ask, out: &mut Vec<Outgo>) -> Verdict {
        let Ask {
            me: _,
            call: _,
            workspace,
            priority: _,
        } = ask;
        let _ = out;
        let Some(limit) = config.workspaces.get(workspace).map(|w| w.limit) else {
            return Verdict::Refuse {
                retry_after: Millis::from_secs(1),
            };
        };
        let rate = u64::from(limit.requests_per_s).max(1);
        let full = u64::from(limit.burst.max(1)) * 1000;
        let start = Bucket {
            milli: full,
            filled: now,
        };
        let Some(entry) = self.buckets.entry(workspace) else {
            return Verdict::Refuse {
                retry_after: Millis::from_secs(1),
            };
        };
        let bucket = entry.or_insert(start);
        bucket.milli = full.min(bucket.milli + now.since(bucket.filled).0 * rate);
        bucket.filled = now;
        if bucket.milli < 1000 {
            return Verdict::Refuse {
                retry_after: Millis((1000 - bucket.milli).div_ceil(rate)),
            };
        }
        bucket.milli -= 1000;
        Verdict::Admit
    }

    /// Answers a router's question as the workspace's home: requests granted and the time until
    /// more can be had.
    pub fn ask(
        &mut self,
        _now: Time,
        _config: &Config,
        question: Question,
        _out: &mut Vec<Outgo>,
    ) -> (u32, Millis) {
        (question.want, Millis(0))
    }

    /// Notes a home's grant.
    pub fn granted(
        &mut self,
        _now: Time,
        _workspace: WorkspaceKey,
        _granted: u32,
        _retry_after: Millis,
        _nonce: u64,
        _out: &mut Vec<Outgo>,
    ) {
    }

    /// Notes that a router cannot be reached.
    pub fn failed(
        &mut self,
        _now: Time,
        _config: &Config,
        _me: Option<RouterKey>,
        _router: RouterKey,
        _out: &mut Vec<Outgo>,
    ) {
    }

    /// Notes that a router was heard, so that it can be asked again.
    pub fn heard(&mut self, _router: RouterKey) {}

    /// Forgets a waiting call whose caller went away.
    pub fn gone(&mut self, _call: Call) {}

    /// Lets time pass.
    pub fn tick(
        &mut self,
        _now: Time,
        _config: &Config,
        _me: Option<RouterKey>,
        _out: &mut Vec<Outgo>,
    ) {
    }
}
