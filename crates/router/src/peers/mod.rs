//! The peer link: how this router talks with the others of the fleet.
//!
//! [`Client`] keeps one connection to each peer, made when first needed. [`Client::send`] puts a
//! control message into that peer's bounded queue and returns at once; messages that wait together
//! go in one envelope. They may be lost, and the node sends them again by its own timers; a loss
//! that the link notices is reported, so that the driver can make an `Event::PeerFailed` of it.
//! [`Client::forward`] carries a call that runs once to its home and says, if that fails, whether
//! any of it may have left.
//!
//! [`server::serve`] takes a bound listener and hands what arrives, once authenticated and checked
//! for replays, to the driver: batches through a channel, forwarded calls through a closure.
//!
//! # Examples
//!
//! ```no_run
//! # use std::sync::Arc;
//! # use toucanturn_router::peers::{self, Client, Counters, Identity, Options, server};
//! # async fn example(identity: Identity) -> Result<(), Box<dyn std::error::Error>> {
//! let counters = Arc::new(Counters::default());
//! let failed = Arc::new(|router| println!("peer {router:?} failed"));
//! let client = Client::new(identity.clone(), Options::default(), Arc::clone(&counters), failed);
//! client.update(Vec::new()); // The published fleet without this router, on each Action::Apply.
//!
//! let (deliveries, mut inbox) = tokio::sync::mpsc::channel(256);
//! let state = server::State {
//!     identity,
//!     resolve: Arc::new(|_tag| None), // Looks the tag up in the configuration in force.
//!     deliveries,
//!     forward: Arc::new(|call| Box::pin(async move { unimplemented!("{call:?}") })),
//!     rejected: Arc::new(|tag, error| println!("{tag:?}: {error}")),
//!     counters,
//! };
//! let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
//! let server = server::serve(listener, Options::default(), state, std::future::pending());
//! tokio::spawn(server);
//! while let Some(delivery) = inbox.recv().await {
//!     println!("{:?}: {:?}", delivery.from, delivery.messages);
//! }
//! # Ok(())
//! # }
//! ```

use std::{
    net::SocketAddr,
    time::Duration, //
};

use toucanturn_core::{
    arena::RouterKey,
    ids::Tag,
    units::Incarnation, //
};
use toucanturn_wire::envelope::Key;

pub mod client;
pub mod counters;
pub mod errors;
mod gate;
mod incoming;
mod link;
mod queue;
pub mod server;

pub use client::Client;
pub use counters::Counters;
pub use errors::ForwardError;

/// `Identity` is who this router is towards its peers.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Tag of its name.
    pub tag: Tag,
    /// Its incarnation. Zero stands for "not known" between routers and is never accepted.
    pub incarnation: Incarnation,
    /// The fleet's key.
    pub key: Key,
}

/// `Peer` is another router of the published fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its key in the configuration.
    pub router: RouterKey,
    /// Tag of its name.
    pub tag: Tag,
    /// Where its peer link listens.
    pub address: SocketAddr,
}

/// `Options` are the times and bounds of the peer link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Longest time to connect and learn the peer's incarnation. Default: 1 s.
    pub connect_timeout: Duration,
    /// Longest time for a batch to be acknowledged; then the connection is given up.
    /// Default: 1 s.
    pub deliver_timeout: Duration,
    /// Time after a failure in which no new connection is tried. Default: 250 ms.
    pub backoff: Duration,
    /// Silence on a connection after which an HTTP/2 ping goes out. Default: 2 s.
    pub ping_interval: Duration,
    /// Longest time for a ping's answer; then the connection is closed. Default: 1 s.
    pub ping_timeout: Duration,
    /// Silence on a connection after which it is probed before a call is forwarded over it.
    /// Default: 1 s.
    pub probe_after: Duration,
    /// Messages that wait for one peer; at the bound the oldest is dropped. Default: 64.
    pub queue: usize,
    /// Forwarded calls in progress towards one peer; more wait, unsent, until their deadlines. Less
    /// than `streams`, so that control messages always find a stream. Default: 96.
    pub peer_forwards: usize,
    /// Forwarded calls in progress that the server takes from all peers; more are refused as
    /// "not run". Default: 1024.
    pub forwards: usize,
    /// Streams that one connection may have open at the server. Default: 128.
    pub streams: u32,
    /// Connections that the server holds; further ones wait to be accepted. Default: 1024.
    pub connections: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            deliver_timeout: Duration::from_secs(1),
            backoff: Duration::from_millis(250),
            ping_interval: Duration::from_secs(2),
            ping_timeout: Duration::from_secs(1),
            probe_after: Duration::from_secs(1),
            queue: 64,
            peer_forwards: 96,
            forwards: 1024,
            streams: 128,
            connections: 1024,
        }
    }
}
