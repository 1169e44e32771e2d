//! What a router is told when it starts.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use toucanturn_core::{
    ids::Id,
    units::Incarnation, //
};

/// `Options` of one router process.
#[derive(Clone)]
pub struct Options {
    /// Its name in the published fleet.
    pub id: Id,
    /// This life's number; greater than that of any earlier life.
    pub incarnation: Incarnation,
    /// Seed of the random numbers in decisions.
    pub seed: u64,
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where peers reach it.
    pub peer_listen: SocketAddr,
    /// Where operators reach it.
    pub admin_listen: SocketAddr,
    /// Where the platform's configuration service is.
    pub platform: SocketAddr,
    /// Key of the peers' message authentication codes.
    pub peer_key: Vec<u8>,
    /// Key of the placement tokens.
    pub token_key: Vec<u8>,
    /// Where metrics go; `None` sends none.
    pub statsd: Option<SocketAddr>,
    /// Largest request body in bytes.
    pub max_body: usize,
    /// Most requests open at once.
    pub max_open: usize,
    /// Time that a caller may take to send its request.
    pub receive_timeout: Duration,
    /// Time that connecting to an endpoint may take.
    pub connect_timeout: Duration,
}

impl std::fmt::Debug for Options {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Keys are left out: this text ends up in logs.
        f.debug_struct("Options")
            .field("id", &self.id)
            .field("incarnation", &self.incarnation)
            .field("listen", &self.listen)
            .field("peer_listen", &self.peer_listen)
            .field("platform", &self.platform)
            .finish_non_exhaustive()
    }
}
