//! What can happen to a node.

use crate::{
    arena::{
        EndpointKey,
        RouterKey, //
    },
    ids::Id,
    peer,
    request::{
        Attempt,
        Call,
        End,
        Outcome,
        Refusal,
        Request, //
    },
    units::{
        Incarnation,
        Millis, //
    },
};

/// `Report` is an endpoint's own load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Its life.
    pub incarnation: Incarnation,
    /// Age of the figures.
    pub age: Millis,
    /// Requests in progress there from all routers.
    pub in_flight: u32,
    /// Requests waiting there.
    pub queued: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// `VmState` is a VM's state in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// About to go.
    Leaving,
}

/// `Source` says who brought a configuration change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The configuration service.
    Service,
    /// A peer.
    Peer(RouterKey),
}

/// `Event` is one thing that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request passed authentication and classification.
    Request {
        /// Its number.
        call: Call,
        /// The request.
        request: Request,
    },
    /// An attempt's answer has begun.
    Head {
        /// The call.
        call: Call,
        /// The attempt.
        attempt: Attempt,
        /// Requests in progress that the endpoint stated.
        in_flight: Option<u32>,
        /// Whether the endpoint says that it is leaving.
        leaving: bool,
        /// The endpoint's life, where it says.
        incarnation: Option<Incarnation>,
    },
    /// An attempt ended.
    Ended {
        /// The call.
        call: Call,
        /// The attempt.
        attempt: Attempt,
        /// How.
        end: End,
    },
    /// A call that was forwarded to its home could not be brought there or back.
    ForwardFailed {
        /// The call.
        call: Call,
        /// Whether bytes of it may have left.
        sent: bool,
    },
    /// A forwarded call's answer came back (the driver relays it).
    ForwardDone {
        /// The call.
        call: Call,
        /// What the home says became of the action.
        outcome: Outcome,
        /// The home's refusal, if it was one.
        refusal: Option<Refusal>,
    },
    /// The caller went away.
    Gone {
        /// The call.
        call: Call,
    },
    /// An endpoint's load report was polled; `None` when the poll failed.
    Polled {
        /// The endpoint.
        endpoint: EndpointKey,
        /// The report.
        report: Option<Report>,
    },
    /// A probe on a new connection ended.
    Probed {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Whether it answered.
        answered: bool,
    },
    /// A peer's message, authenticated.
    Peer {
        /// The sender.
        from: RouterKey,
        /// The sender's life.
        incarnation: Incarnation,
        /// The message.
        message: peer::Message,
    },
    /// A peer could not be reached.
    PeerFailed {
        /// The peer.
        router: RouterKey,
    },
    /// The configuration service or a peer brought a change.
    Publish {
        /// Who brought it.
        source: Source,
        /// The change.
        change: peer::Change,
    },
    /// The configuration service was read in vain.
    ReadFailed,
    /// The platform's list of VMs.
    Vms {
        /// Age of the list by its own word.
        age: Millis,
        /// States by name.
        vms: Vec<(Id, VmState)>,
    },
    /// Cache events of an engine.
    Cache {
        /// The engine.
        endpoint: EndpointKey,
        /// Prefixes and whether they are stored now.
        prefixes: Vec<(crate::request::Prefix, bool)>,
    },
    /// Time has passed; the driver sends this every [`TICK`].
    Tick,
    /// The operator or a signal asked for a drain.
    Drain,
}

/// Time between two ticks.
pub const TICK: Millis = Millis(50);
