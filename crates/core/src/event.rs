//! Events that a node handles.

use std::sync::Arc;

use crate::{
    arena::{
        EndpointKey,
        RouterKey, //
    },
    ids::Id,
    orders::{
        Loaded,
        OrderNumber,
        OrderOutcome,
        TokenReply, //
    },
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

/// `Report` is an endpoint's load report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Incarnation of the endpoint.
    pub incarnation: Incarnation,
    /// Age of the figures.
    pub age: Millis,
    /// Requests of all routers in progress there.
    pub in_flight: u32,
    /// Requests queued there.
    pub queued: u32,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// Models, adapters and version that it has loaded, if it reports them.
    pub loaded: Option<Arc<Loaded>>,
}

/// `VmState` is the state of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be taken out of service.
    Leaving,
}

/// `Source` tells where a configuration change came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The configuration service.
    Service,
    /// A peer.
    Peer(RouterKey),
}

/// `Event` is an event that the driver reports to the node.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request passed authentication and classification.
    Request {
        /// The number that the driver gave the request.
        call: Call,
        /// The request.
        request: Request,
    },
    /// The head of an attempt's answer arrived.
    Head {
        /// The call.
        call: Call,
        /// The attempt.
        attempt: Attempt,
        /// Requests in progress at the endpoint, if it states them.
        in_flight: Option<u32>,
        /// Whether the endpoint states that it is leaving.
        leaving: bool,
        /// Incarnation of the endpoint, if it states it.
        incarnation: Option<Incarnation>,
    },
    /// An attempt ended.
    Ended {
        /// The call.
        call: Call,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        end: End,
    },
    /// A call could not be forwarded to its home, or its answer did not come back.
    ForwardFailed {
        /// The call.
        call: Call,
        /// Whether bytes of the call may have left.
        sent: bool,
    },
    /// The answer to a forwarded call came back; the driver relays it.
    ForwardDone {
        /// The call.
        call: Call,
        /// Outcome that the home reported.
        outcome: Outcome,
        /// The home's refusal, if it refused the call.
        refusal: Option<Refusal>,
    },
    /// The caller disconnected.
    Gone {
        /// The call.
        call: Call,
    },
    /// The poll of an endpoint's load report ended.
    Polled {
        /// The endpoint.
        endpoint: EndpointKey,
        /// The report; `None` when the poll failed.
        report: Option<Report>,
    },
    /// A probe on a new connection ended.
    Probed {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Whether the endpoint answered.
        answered: bool,
    },
    /// An authenticated message of a peer arrived.
    Peer {
        /// The sender.
        from: RouterKey,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// The message.
        message: peer::Message,
    },
    /// A peer could not be reached.
    PeerFailed {
        /// The peer.
        router: RouterKey,
    },
    /// A configuration change arrived from the configuration service or a peer.
    Publish {
        /// Where the change came from.
        source: Source,
        /// The change.
        change: peer::Change,
    },
    /// A read of the configuration service failed.
    ReadFailed,
    /// The platform's list of VMs was read.
    Vms {
        /// Age of the list, as the list states it.
        age: Millis,
        /// Names and states of the VMs.
        vms: Vec<(Id, VmState)>,
    },
    /// An engine reported changes of its prefix cache.
    Cache {
        /// The engine.
        endpoint: EndpointKey,
        /// Prefixes, and whether the engine now holds them.
        prefixes: Vec<(crate::request::Prefix, bool)>,
    },
    /// A question to the weight store ended.
    Weights {
        /// The engine that is to load.
        endpoint: EndpointKey,
        /// Number of the question.
        number: OrderNumber,
        /// The weight store's answer, or why there is none.
        grant: TokenReply,
    },
    /// An order was answered, or will not be answered any more.
    OrderEnded {
        /// The engine.
        endpoint: EndpointKey,
        /// Number of the order.
        number: OrderNumber,
        /// The engine's reply, or why there is none.
        reply: OrderOutcome,
    },
    /// Regular tick, which the driver sends every [`TICK`].
    Tick,
    /// An operator or a signal requested a drain.
    Drain,
}

/// Interval between ticks.
pub const TICK: Millis = Millis(50);
