//! Settings of the process, as far as the thin path needs them.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use serde::Deserialize;
use toucanturn_core::{
    ids::Id,
    units::Incarnation, //
};
use toucanturn_router::options::Options;

/// `Settings` as written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Settings {
    id: Id,
    listen: SocketAddr,
    peer_listen: SocketAddr,
    admin_listen: SocketAddr,
    platform: SocketAddr,
    peer_key: String,
    token_key: String,
}

impl Settings {
    pub(crate) fn options(self, incarnation: Incarnation) -> Options {
        Options {
            id: self.id,
            incarnation,
            seed: incarnation.0,
            listen: self.listen,
            peer_listen: self.peer_listen,
            admin_listen: self.admin_listen,
            platform: self.platform,
            peer_key: self.peer_key.into_bytes(),
            token_key: self.token_key.into_bytes(),
            statsd: None,
            max_body: 4 << 20,
            max_open: 4096,
            receive_timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_secs(1),
        }
    }
}
