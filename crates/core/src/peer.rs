//! Messages between routers in typed form. The wire crate encodes and decodes them.

use bytes::Bytes;

use crate::{
    ids::Tag,
    units::{
        Incarnation,
        Millis,
        Revision, //
    },
};

/// `Load` is the number of requests that the sender of a summary has in progress at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// The endpoint.
    pub endpoint: Tag,
    /// Requests of the sender in progress there.
    pub in_flight: u32,
}

/// `Leaving` tells that one incarnation of an endpoint is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// The endpoint.
    pub endpoint: Tag,
    /// The incarnation that is leaving.
    pub incarnation: Incarnation,
}

/// `Report` is an endpoint's load report, passed on by the router that polled it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The endpoint.
    pub endpoint: Tag,
    /// Incarnation of the endpoint.
    pub incarnation: Incarnation,
    /// Requests of all routers in progress there.
    pub in_flight: u32,
    /// Requests queued there.
    pub queued: u32,
    /// Age of the figures when the message was made.
    pub age: Millis,
}

/// `Summary` is the state that a router sends its peers at regular intervals.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Configuration revision in force at the sender.
    pub revision: Revision,
    /// Revision of its fleet list.
    pub epoch: Revision,
    /// Requests of the sender in progress at each endpoint that has any.
    pub loads: Vec<Load>,
    /// Endpoints that the sender knows to be leaving.
    pub leaving: Vec<Leaving>,
    /// Reports that the sender polled since its last summary.
    pub reports: Vec<Report>,
}

/// `Entry` is one key of the published configuration with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Key, such as `workspaces/vitalbox-chat`.
    pub key: Bytes,
    /// Revision at which it was last written.
    pub revision: Revision,
    /// JSON value; `None` when it was deleted.
    pub value: Option<Bytes>,
}

/// `Change` holds all that the configuration service wrote after one revision up to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Revision after which the change starts; zero for a full snapshot.
    pub since: Revision,
    /// Revision that the reader has after applying the change.
    pub revision: Revision,
    /// In a peer's snapshot, the revision above which the snapshot lists every deletion. `None`
    /// where it need not list deletions, as in a snapshot of the configuration service.
    pub floor: Option<Revision>,
    /// Entries in ascending revision.
    pub entries: Vec<Entry>,
}

/// `Message` is one message between routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The sender's regular summary of load, membership and revisions.
    Summary(Summary),
    /// Asks for the configuration changes after a revision.
    Pull {
        /// Revision that the sender holds.
        since: Revision,
    },
    /// Answers [`Message::Pull`].
    Push(Change),
    /// Asks the workspace's home router for a grant of requests to admit.
    Ask {
        /// The workspace.
        workspace: Tag,
        /// Requests wanted, including those that wait now.
        want: u32,
        /// Number of the question, which the answer repeats.
        nonce: u64,
    },
    /// Answers [`Message::Ask`].
    Grant {
        /// The workspace.
        workspace: Tag,
        /// Requests that may be admitted.
        granted: u32,
        /// Time until more can be granted, if fewer than wanted were granted.
        retry_after: Millis,
        /// Number of the question.
        nonce: u64,
    },
    /// Asks a member of the fleet to confirm the sender's lease as a home.
    LeaseAsk {
        /// Fleet epoch that the sender holds.
        epoch: Revision,
        /// Number of the voting round.
        round: u64,
        /// Duration of the lease; the voter keeps its promise at least that long.
        lease: Millis,
    },
    /// Answers [`Message::LeaseAsk`].
    LeaseAnswer {
        /// Fleet epoch that the voter holds.
        epoch: Revision,
        /// Number of the voting round.
        round: u64,
        /// Whether the voter confirms the lease.
        confirmed: bool,
        /// The epoch that the voter confirmed to any member before this one; zero if it confirmed
        /// none in its present incarnation. It shows the sender of the question that no epoch in
        /// between took effect.
        previous: Revision,
    },
}
