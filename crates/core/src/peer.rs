//! Messages between routers, in their typed form. The wire crate turns them into bytes.

use bytes::Bytes;

use crate::{
    ids::Tag,
    units::{
        Incarnation,
        Millis,
        Revision, //
    },
};

/// `Load` is one endpoint's load as a peer knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// The endpoint.
    pub endpoint: Tag,
    /// Requests in progress that the sender has there.
    pub in_flight: u32,
}

/// `Leaving` says that one life of an endpoint is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// The endpoint.
    pub endpoint: Tag,
    /// The life that leaves.
    pub incarnation: Incarnation,
}

/// `Report` is an endpoint's own load report, passed on by the router that polled it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The endpoint.
    pub endpoint: Tag,
    /// Its life.
    pub incarnation: Incarnation,
    /// Requests in progress there from all routers.
    pub in_flight: u32,
    /// Requests waiting there.
    pub queued: u32,
    /// Age of the figures when the message was made.
    pub age: Millis,
}

/// `Summary` is what a router tells its peers again and again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Configuration revision in force at the sender.
    pub revision: Revision,
    /// Revision of its fleet list.
    pub epoch: Revision,
    /// Own requests in progress, endpoints with none left out.
    pub loads: Vec<Load>,
    /// Endpoints that the sender knows to be leaving.
    pub leaving: Vec<Leaving>,
    /// Reports that the sender polled since its last summary.
    pub reports: Vec<Report>,
}

/// `Entry` is one key of the published configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Key, such as `workspaces/vitalbox-chat`.
    pub key: Bytes,
    /// Revision at which it was last written.
    pub revision: Revision,
    /// JSON value; `None` when it was deleted.
    pub value: Option<Bytes>,
}

/// `Change` is all that the configuration service wrote after one revision up to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// The revision after which it starts; zero for a whole snapshot.
    pub since: Revision,
    /// The revision it brings its reader to.
    pub revision: Revision,
    /// In a snapshot of a peer: the revision above which it names every deletion. `None`: it need
    /// not name any, as in a snapshot of the configuration service.
    pub floor: Option<Revision>,
    /// Entries in ascending revision.
    pub entries: Vec<Entry>,
}

/// `Message` is one message between routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Load, membership and revision summary.
    Summary(Summary),
    /// Asks for the configuration after a revision.
    Pull {
        /// The revision that the asker holds.
        since: Revision,
    },
    /// Answers [`Message::Pull`].
    Push(Change),
    /// Asks the workspace's home for requests to admit.
    Ask {
        /// The workspace.
        workspace: Tag,
        /// Requests wanted, those that wait now included.
        want: u32,
        /// Number of the question; the answer carries it.
        nonce: u64,
    },
    /// Answers [`Message::Ask`].
    Grant {
        /// The workspace.
        workspace: Tag,
        /// Requests that may be admitted.
        granted: u32,
        /// Time until more can be had, if fewer than wanted were granted.
        retry_after: Millis,
        /// Number of the question.
        nonce: u64,
    },
    /// Asks a fleet member to confirm the sender's lease as a home.
    LeaseAsk {
        /// Fleet epoch that the sender holds.
        epoch: Revision,
        /// Number of the round.
        round: u64,
        /// Length of the lease; the voter keeps its promise at least that long.
        lease: Millis,
    },
    /// Answers [`Message::LeaseAsk`].
    LeaseAnswer {
        /// Fleet epoch that the voter holds.
        epoch: Revision,
        /// Number of the round.
        round: u64,
        /// Whether the voter confirms.
        confirmed: bool,
        /// The epoch that the voter confirmed to anyone before this one, zero for none in this
        /// life: shows the asker that no epoch in between was acted upon.
        previous: Revision,
    },
}
