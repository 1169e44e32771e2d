//! What a digest carries, with the limits of each part.

use std::net::SocketAddrV4;

use crate::{
    gateway::{
        quarantine::Record,
        shared_reads::ReadReport, //
    },
    units::{
        Incarnation,
        Millis,
        Revision, //
    },
};

/// Limit of the heartbeats in a digest besides the sender's.
pub const MAX_HEARTBEATS: usize = 7;
/// Limit of the endpoint reports in a digest. With it, the digest fills what the control traffic
/// may send and receive.
pub const MAX_REPORTS: usize = 31;
/// Limit of the reports without a load in a digest: few services state none, and the loads of the
/// others need the room.
pub const MAX_REPORTS_WITHOUT_LOAD: usize = 2;
/// Reports by which digests are shortened while they tell delays, which need their room.
pub const DELAYS_DISPLACE: usize = 5;
/// Limit of the reports of unanswered requests in a digest; the longest waits come first.
pub const MAX_WAIT_REPORTS: usize = 8;
/// Limit of the request samples in a digest: about as many as a router of a large fleet places in a
/// round. Without samples, a session that suddenly gets much of the traffic stays on too few
/// endpoints for seconds.
pub const MAX_SAMPLES: usize = 2;
/// Limit of the endpoints in a digest that have asked for no requests.
pub const MAX_BACK_OFFS: usize = 4;
/// Longest time for which one report of a back-off makes a router prefer other endpoints.
pub const MAX_PEER_BACK_OFF: Millis = Millis(3000);
/// Longest time from a request to the head of its answer for which the answer's load is also
/// reported as a confirmation. Most heads come sooner.
pub const MAX_CONFIRMED_LATENCY: Millis = Millis(300);
/// Assumed upper bound of the transit time of a digest. A link that delays bytes for longer counts
/// as broken.
const MAX_TRANSIT_TIME: Millis = Millis(500);
/// Reports by which digests are shortened in a large fleet while more than one software version serves:
/// stream reports need their room.
pub const MIXED_DISPLACES: usize = 10;

/// `Heartbeat` is a sign of life of a router, which its peers forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Address at which the router receives gossip.
    pub address: SocketAddrV4,
    /// Tag of its data centre.
    pub data_center: u32,
    /// Incarnation of the router; greater after each restart.
    pub incarnation: Incarnation,
    /// Number of its newest round.
    pub beat: u64,
    /// Whether it reads the registry and what it holds is fresh.
    pub reads: bool,
}

/// `EndpointReport` is the state of an endpoint according to one of its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointReport {
    /// Tag of the endpoint's incarnation.
    pub endpoint: u32,
    /// Requests there, running and waiting; `None` where the endpoint states no load.
    pub load: Option<u32>,
    /// Time since the answer.
    pub age: Millis,
    /// Whether the endpoint was not leaving, according to its answer to a request that the sender
    /// sent no more than [`MAX_CONFIRMED_LATENCY`] before.
    pub confirmed: bool,
    /// How long a request waited there before that answer began; `None` if that is not told.
    pub delay: Option<Millis>,
}

/// `BackOffReport` is an endpoint that has asked the sender of a digest for no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackOffReport {
    /// Tag of the endpoint's incarnation.
    pub endpoint: u32,
    /// Time until the end of its back-off, at most [`MAX_PEER_BACK_OFF`].
    pub left: Millis,
}

/// Returns by how many reports a digest must be shortened so that these crash records and back-offs
/// leave its size about the same.
pub fn displaced_reports(records: &[Record], back_offs: &[BackOffReport]) -> usize {
    let crashes: usize = records.iter().map(|r| r.crashes.len()).sum();
    2 * records.len() + crashes + back_offs.len() + usize::from(!back_offs.is_empty())
}

impl EndpointReport {
    /// Tells whether it is about a request that was still unanswered, and says nothing else.
    pub fn tells_wait(&self) -> bool {
        self.load.is_none() && !self.confirmed
    }

    /// Returns the greatest age that the confirmation may have on arrival; `None` without a
    /// confirmation. Clocks of routers are not compared, so the longest transit time is assumed.
    pub fn confirmation_age(&self) -> Option<Millis> {
        let age = self.age + MAX_CONFIRMED_LATENCY + MAX_TRANSIT_TIME;
        self.confirmed.then_some(age)
    }
}

/// `Sample` is a request that a router placed. Sent to a few others, samples show each router
/// several times the traffic that reaches it, without bias.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Index of its service in the published configuration.
    pub service: u32,
    /// Tag of the shared prompt part that decides its placement.
    pub part: u32,
    /// Amount of work of the request.
    pub work: u32,
}

/// `Digest` is one gossip message between routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// The sender's heartbeat.
    pub from: Heartbeat,
    /// Heartbeats of other routers.
    pub heartbeats: Vec<Heartbeat>,
    /// States of endpoints.
    pub reports: Vec<EndpointReport>,
    /// Requests that the sender placed since its last round.
    pub samples: Vec<Sample>,
    /// Requests that were in progress at endpoints that broke the connection.
    pub crashes: Vec<Record>,
    /// Endpoints that have asked the sender for no requests.
    pub back_offs: Vec<BackOffReport>,
    /// Services that the sender does not reach, by their indices in the configuration.
    pub unreached_services: Vec<u32>,
    /// Services that more than one software version serves, by their indices in the configuration.
    pub mixed_services: Vec<u32>,
    /// Revision of the registry up to which the sender knows of each version that served within the life of a stream,
    /// and states all services that have several; `None` where it does not know.
    pub versions_until: Option<Revision>,
    /// Where the first parts of prompts are read.
    pub reads: Vec<ReadReport>,
}
